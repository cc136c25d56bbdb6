"""The balancer process."""

import asyncio
import random
import time

from limpetlift.coordination import distribution
from limpetlift.coordination import fleet
from limpetlift.coordination import member as records
from limpetlift.coordination import relays
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.state import config
from limpetlift.tasks import configuration
from limpetlift.tasks import flowpath
from limpetlift.tasks import gateway
from limpetlift.tasks import members
from limpetlift.tasks import process
from limpetlift.tasks import recorder
from limpetlift.tasks import relay

# Time in which the callers of requests that are ended get their refusals.
_REFUSE_S = 1.0


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
        rng = random.Random(self.incarnation)
        store = configuration.connect_store(
            self.settings, self.kind, self.stack
        )
        seeds = await configuration.find_seeds(self.settings, store, rng)
        self.members = members.Members(
            self.node,
            fleet.BalancerMembership(
                self.record(state=records.ACTIVE), rng, seeds
            ),
        )
        self.members.on_changed = self._on_changed
        self.members.on_joined = self._on_joined
        self.members.on_superseded = self.on_superseded
        self._joined = False
        self._configuration = None
        self._relay = None
        self._record(self.settings.balancer.record)
        if self.settings.config.folder:
            self._on_configuration(
                config.load_folder(self.settings.config.folder)
            )
        else:
            self._start_configuration(store, rng)
        self.every(defaults.MEMBERSHIP_TICK_S, self.members.tick)
        self.every(defaults.HEARTBEAT_INTERVAL_S, self._update_gauges)
        self.members.tick()

    def _record(self, path):
        """Record the traffic as a trace, where a path is set."""
        if not path:
            return
        try:
            self.recorder = recorder.Recorder(path, self.node.id)
        except OSError as error:
            raise exceptions.SettingsError(
                ["balancer.record: %s: %s" % (path, error.strerror)]
            ) from error
        self.stack.callback(self.recorder.close)
        self.flows.recorder = self.gateway.recorder = self.recorder
        self.every(defaults.HEARTBEAT_INTERVAL_S, self._begin_record)

    def _begin_record(self):
        view = self.members.view
        services = [t.service for t in self.flows.tables_by_name.values()]
        agents = [
            agent
            for service in services
            for agent in view.members_of(service.name)
        ]
        if self.ready and agents:
            self.recorder.begin(services, agents, len(view.all_balancers()))

    def _start_configuration(self, store, rng):
        decisions = distribution.Distribution(
            self.node.id, self.incarnation, rng, has_store=store is not None
        )
        self._configuration = configuration.ConfigurationTask(
            self.node,
            self.members,
            decisions,
            store,
            self._witnesses,
            self._on_configuration,
        )
        self.stack.push_async_callback(self._configuration.close)
        server = configuration.ConfigServer(self.node, self._configuration)
        self.stack.callback(server.close)
        self.every(defaults.CONFIG_TICK_S, self._tick_configuration)
        if store is not None:
            self._relay = relay.Relay(
                store,
                relays.RelaySlot(self.node.id, rng),
                self.settings.node.data_centre,
                self.address,
                self._configuration.on_store_read,
            )
            self.stack.push_async_callback(self._relay.close)

    def _witnesses(self):
        return self.members.view.all_balancers()

    def _tick_configuration(self):
        self._configuration.tick()
        self._update_ready()
        if self._relay is not None and self._joined:
            self._relay.slot.on_view(
                time.monotonic(),
                self.members.view.balancers(self.settings.node.data_centre),
            )
            self._relay.tick()

    def _on_configuration(self, found):
        self.flows.set_services(found.services)
        self.gateway.set_services(found.services)
        for service in found.services:
            members_of = self.members.view.members_of(service.name)
            self.flows.set_members(service.name, members_of)

    def _on_changed(self, services):
        for name in services:
            self.flows.set_members(name, self.members.view.members_of(name))

    def _on_joined(self):
        self._joined = True
        if self._configuration is not None:
            self._configuration.start()
        self._update_ready()

    def _update_ready(self):
        configured = self._configuration is None or self._configuration.ready
        self.ready = self._joined and configured and not self.draining

    def _update_gauges(self):
        members.update_gauges(self.members.view)

    def drain(self):
        """Accept no further requests; packets are still forwarded."""
        if self.draining:
            return
        self.draining = True
        self.ready = False
        self._forward_until = time.monotonic() + defaults.LAME_DUCK_S
        self.gateway.stop_listening()
        self.members.update(state=records.DRAINING)

    async def stop(self, deadline):
        """Finish the running requests, then leave.

        Packets are forwarded until the fabric has seen that this balancer is
        no longer ready.
        """
        await self.finish_or_stop(self._finish(deadline))
        self.gateway.stop_requests()
        await self._finish_requests(time.monotonic() + _REFUSE_S)
        self.members.leave()

    async def _finish_requests(self, deadline):
        while self.gateway.running_by_id and time.monotonic() < deadline:
            await asyncio.sleep(defaults.FLOW_TICK_S)

    async def _finish(self, deadline):
        await self._finish_requests(deadline)
        while time.monotonic() < self._forward_until:
            await asyncio.sleep(defaults.FLOW_TICK_S)

    def status(self):
        """Return the state as a JSON object."""
        status = super().status()
        status["requests_running"] = len(self.gateway.running_by_id)
        status["services"] = {
            name: [member.agent_id for member in table.members]
            for name, table in self.flows.tables_by_name.items()
        }
        return status
