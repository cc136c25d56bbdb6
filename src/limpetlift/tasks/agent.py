"""The agent process beside a backend server."""

import time

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.state import config
from limpetlift.state import flows
from limpetlift.tasks import flowpath
from limpetlift.tasks import process
from limpetlift.tasks import requestpath


class Agent(process.Process):
    """The authority on one backend server.

    .. versionadded:: 0.1
    """

    kind = members.AGENT

    async def start(self):
        """Open the sockets and announce this agent."""
        own = self.settings.agent
        ip, _, port = own.backend.rpartition(":")
        backend = (ip, int(port))
        service = self._find_service(own.service)
        self.member = members.Member(
            agent_id=self.node.id,
            kind=members.AGENT,
            address=self.address,
            incarnation=self.incarnation,
            service=own.service,
            data_centre=self.settings.node.data_centre,
            region=self.settings.node.region,
            state=members.ACTIVE,
            weight=own.weight,
        )
        self.table = flows.FlowTable(self.node.id, own.service)
        self.flows = flowpath.AgentFlows(
            self.node, self.table, backend, self._perform
        )
        self.stack.callback(self.flows.close)
        self.requests = requestpath.AgentRequests(self.node, service, backend)
        self.requests.listen()
        self.stack.callback(self.requests.close)
        self.node.on_message("HeartbeatReply", self._on_reply)
        self.every(defaults.TICK_S, self.flows.tick)
        self.every(defaults.HEARTBEAT_S, self._heartbeat)
        self._heartbeat()
        self.ready = True

    def _find_service(self, name):
        configuration = config.load_folder(self.settings.config.folder)
        if name not in configuration.services_by_name:
            raise exceptions.SettingsError(
                ["agent.service: found %r, expected a service" % name]
            )
        return configuration.services_by_name[name]

    def _heartbeat(self):
        message = messages.structs.Heartbeat(
            member=self.member.to_message(), config_revision=0, view_hash=b""
        )
        for seed in self.settings.seeds:
            ip, _, port = seed.rpartition(":")
            self.node.send(message, (ip, int(port)))

    def _on_reply(self, sealed, reply, address):
        peers = [members.from_message(message) for message in reply.members]
        self.flows.endpoints_by_id = {
            peer.agent_id: peer.endpoint for peer in peers
        }
        self.flows.perform(self.table.on_members(time.monotonic(), peers))

    def _perform(self, step):
        raise NotImplementedError(step)

    def _set_state(self, state):
        self.member = attrs.evolve(
            self.member, state=state, sequence=self.member.sequence + 1
        )
        self._heartbeat()

    def drain(self):
        """Take no new work."""
        if not self.draining:
            self.draining = True
            self.ready = False
            self.requests.draining = True
            self._set_state(members.DRAINING)

    async def stop(self, deadline):
        """Finish the running requests, then leave."""
        await self.finish_or_stop(self.requests.drain(deadline))
        self._set_state(members.LEFT)

    def status(self):
        """Return the state as a JSON object."""
        status = super().status()
        status["flows"] = self.table.flow_count
        status["requests_running"] = self.requests.running
        return status
