"""The balancer process."""

import asyncio
import time

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.protocol import messages
from limpetlift.state import config
from limpetlift.tasks import flowpath
from limpetlift.tasks import gateway
from limpetlift.tasks import process


class Balancer(process.Process):
    """Maps packets and requests to agents.

    .. versionadded:: 0.1
    """

    kind = members.BALANCER

    async def start(self):
        """Open the services' addresses."""
        bind_ip = self.settings.balancer.bind_ip
        self.flows = flowpath.BalancerFlows(self.node, bind_ip)
        self.stack.callback(self.flows.close)
        self.gateway = gateway.Gateway(
            self.node, bind_ip, self.flows.tables_by_name
        )
        self.stack.callback(self.gateway.close)
        self._members_by_id = {}
        self._deadlines_by_id = {}
        services = config.load_folder(self.settings.config.folder).services
        self.flows.set_services(services)
        self.gateway.set_services(services)
        self.node.on_message("Heartbeat", self._on_heartbeat)
        self.every(defaults.HEARTBEAT_S, self._expire)
        self.ready = True

    def _on_heartbeat(self, sealed, heartbeat, address):
        member = members.from_message(heartbeat.member)
        known = self._members_by_id.get(member.agent_id)
        self._deadlines_by_id[member.agent_id] = (
            time.monotonic() + defaults.DEAD_S
        )
        if known is None or known.version < member.version:
            self._members_by_id[member.agent_id] = member
            self._rebuild(member.service)
        reply = messages.structs.HeartbeatReply(
            config_revision=0,
            members=[
                peer.to_message() for peer in self._service(member.service)
            ],
        )
        self.node.send(reply, address)

    def _service(self, name):
        return [
            member
            for member in self._members_by_id.values()
            if member.service == name
        ]

    def _rebuild(self, name):
        self.flows.set_members(name, self._service(name))

    def _expire(self):
        now = time.monotonic()
        for agent_id, deadline in list(self._deadlines_by_id.items()):
            if deadline < now:
                del self._deadlines_by_id[agent_id]
                gone = attrs.evolve(
                    self._members_by_id[agent_id], state=members.DEAD
                )
                self._members_by_id[agent_id] = gone
                self._rebuild(gone.service)

    def drain(self):
        """Accept no further requests; packets are still forwarded."""
        self.draining = True
        self.ready = False
        self.gateway.stop_listening()

    async def stop(self, deadline):
        """Finish the running requests."""
        await self.finish_or_stop(self._finish_requests(deadline))

    async def _finish_requests(self, deadline):
        while self.gateway.running_by_id and time.monotonic() < deadline:
            await asyncio.sleep(0.02)

    def status(self):
        """Return the state as a JSON object."""
        status = super().status()
        status["requests_running"] = len(self.gateway.running_by_id)
        status["services"] = {
            name: [member.agent_id for member in table.members]
            for name, table in self.flows.tables_by_name.items()
        }
        return status
