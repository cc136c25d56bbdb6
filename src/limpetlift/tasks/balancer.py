"""The balancer process."""

import asyncio
import random
import time

from limpetlift.coordination import fleet
from limpetlift.coordination import member as records
from limpetlift import defaults
from limpetlift.state import config
from limpetlift.tasks import flowpath
from limpetlift.tasks import gateway
from limpetlift.tasks import members
from limpetlift.tasks import process


class Balancer(process.Process):
    """Maps packets and requests to agents.

    .. versionadded:: 0.1
    """

    kind = records.BALANCER

    async def start(self):
        """Open the services' addresses."""
        bind_ip = self.settings.balancer.bind_ip
        self.flows = flowpath.BalancerFlows(self.node, bind_ip)
        self.stack.callback(self.flows.close)
        self.gateway = gateway.Gateway(
            self.node, bind_ip, self.flows.tables_by_name
        )
        self.stack.callback(self.gateway.close)
        self.members = members.Members(
            self.node,
            fleet.BalancerMembership(
                self._record(),
                random.Random(self.incarnation),
                self.settings.seeds,
            ),
        )
        self.members.on_changed = self._on_changed
        self.members.on_joined = self._on_joined
        self.members.on_superseded = self.on_superseded
        services = config.load_folder(self.settings.config.folder)
        self.flows.set_services(services)
        self.gateway.set_services(services)
        self.every(defaults.MEMBERSHIP_TICK_S, self.members.tick)
        self.every(defaults.HEARTBEAT_S, self._update_gauges)
        self.members.tick()

    def _record(self):
        node = self.settings.node
        return records.Member(
            agent_id=self.node.id,
            kind=records.BALANCER,
            address=self.address,
            incarnation=self.incarnation,
            data_centre=node.data_centre,
            region=node.region,
            state=records.ACTIVE,
        )

    def _on_changed(self, services):
        for name in services:
            self.flows.set_members(name, self.members.view.members_of(name))

    def _on_joined(self):
        self.ready = not self.draining

    def _update_gauges(self):
        members.update_gauges(self.members.view)

    def drain(self):
        """Accept no further requests; packets are still forwarded."""
        if self.draining:
            return
        self.draining = True
        self.ready = False
        self.gateway.stop_listening()
        self.members.update(state=records.DRAINING)

    async def stop(self, deadline):
        """Finish the running requests, then leave."""
        await self.finish_or_stop(self._finish_requests(deadline))
        self.members.leave()

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
