"""The agent process beside a backend server."""

import asyncio
import random
import time

from limpetlift.coordination import member as records
from limpetlift.coordination import membership
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.state import actions
from limpetlift.state import config
from limpetlift.state import flows
from limpetlift.tasks import flowpath
from limpetlift.tasks import members
from limpetlift.tasks import process
from limpetlift.tasks import requestpath


def _limits(service):
    return flows.FlowLimits(
        max_flows=service.max_flows,
        idle_s=service.flow_idle_s,
        policy=service.sharing,
        slow_start_s=service.slow_start_s,
    )


class Agent(process.Process):
    """The authority on one backend server.

    .. versionadded:: 0.1
    """

    kind = records.AGENT

    async def start(self):
        """Open the sockets and announce this agent."""
        own = self.settings.agent
        ip, _, port = own.backend.rpartition(":")
        backend = (ip, int(port))
        service = self._find_service(own.service)
        self.table = flows.FlowTable(self._record(), _limits(service))
        self.flows = flowpath.AgentFlows(
            self.node,
            self.table,
            backend,
            self._perform,
            service.reset_payload.encode("utf-8"),
        )
        self.stack.callback(self.flows.close)
        self.requests = requestpath.AgentRequests(self.node, service, backend)
        self.requests.listen()
        self.stack.callback(self.requests.close)
        self.members = members.Members(
            self.node,
            membership.AgentMembership(
                self._record(),
                random.Random(self.incarnation),
                self.settings.seeds,
            ),
        )
        self.members.on_changed = self._on_changed
        self.members.on_joined = self._on_joined
        self.members.on_superseded = self.on_superseded
        self.every(defaults.TICK_S, self.flows.tick)
        self.every(defaults.TICK_S, self.requests.slots.tick)
        self.every(defaults.PEER_LOAD_S, self.requests.slots.send_load)
        self.every(defaults.MEMBERSHIP_TICK_S, self.members.tick)
        self.members.tick()

    def _record(self):
        node = self.settings.node
        own = self.settings.agent
        return records.Member(
            agent_id=self.node.id,
            kind=records.AGENT,
            address=self.address,
            incarnation=self.incarnation,
            service=own.service,
            data_centre=node.data_centre,
            region=node.region,
            state=records.JOINING,
            weight=own.weight,
        )

    def _find_service(self, name):
        for service in config.load_folder(self.settings.config.folder):
            if service.name == name:
                return service
        raise exceptions.SettingsError(["agent.service: no service %r" % name])

    def _on_changed(self, _services):
        view = self.members.view
        service = self.settings.agent.service
        peers = view.members_of(service)
        # The flows of members that have ended must be told apart from those
        # of members that are not known.
        peers += [
            record
            for record in view.records_of(service)
            if record.state in records.ENDED_STATES
        ]
        self.flows.endpoints_by_id = {
            peer.agent_id: peer.endpoint for peer in peers
        }
        self.requests.slots.endpoints_by_id = {
            peer.agent_id: peer.endpoint for peer in peers if peer.takes_new
        }
        self.flows.perform(self.table.on_members(time.monotonic(), peers))

    def _on_joined(self):
        self.flows.perform(self.table.join(time.monotonic()))

    def _perform(self, step):
        if not isinstance(step, actions.Announce):
            raise NotImplementedError(step)
        member = step.member
        self.members.update(state=member.state, weight=member.weight)
        self.ready = member.takes_new and not self.draining

    def drain(self):
        """Take no new work."""
        if not self.draining:
            self.draining = True
            self.ready = False
            self.requests.refuse_new()
            self.flows.perform(self.table.drain(time.monotonic()))

    async def stop(self, deadline):
        """Finish the running requests, then leave."""
        await self.finish_or_stop(self._finish(deadline))
        self.members.leave()

    async def _finish(self, deadline):
        await self.requests.drain(deadline)
        while not self.table.is_drained and time.monotonic() < deadline:
            await asyncio.sleep(defaults.TICK_S)

    def status(self):
        """Return the state as a JSON object."""
        status = super().status()
        status["flows"] = self.table.flow_count
        status["requests_running"] = self.requests.running
        return status
