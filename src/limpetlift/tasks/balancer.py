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

# Time for sending refusals to the callers of requests that a stop cuts off.
_REFUSAL_SEND_TIMEOUT_S = 1.0


class Balancer(process.Process):
    """Forwards packets and requests of callers to agents.

    .. versionadded:: 0.1
    """

    kind = records.BALANCER

    async def start(self):
        """Join the membership and open the addresses of the services."""
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
                self.initial_record(state=records.ACTIVE), rng, seeds
            ),
        )
        self.members.on_members_changed = self._on_members_changed
        self.members.on_joined = self._on_joined
        self.members.on_superseded = self.on_superseded
        self._has_joined = False
        self._configuration = None
        self._relay = None
        self._start_recording(self.settings.balancer.record)
        if self.settings.config.folder:
            self._on_new_configuration(
                config.load_folder(self.settings.config.folder)
            )
        else:
            self._start_configuration(store, rng)
        self.call_every(defaults.MEMBERSHIP_TICK_S, self.members.tick)
        self.call_every(defaults.HEARTBEAT_INTERVAL_S, self._update_gauges)
        self.members.tick()

    def _start_recording(self, path):
        """Record the traffic as a trace, if a path is configured."""
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
        self.call_every(defaults.HEARTBEAT_INTERVAL_S, self._begin_recording)

    def _begin_recording(self):
        view = self.members.view
        services = [
            table.service for table in self.flows.tables_by_name.values()
        ]
        agents = [
            agent
            for service in services
            for agent in view.members_of(service.name)
        ]
        if self.ready and agents:
            self.recorder.write_header(
                services, agents, len(view.all_balancers())
            )

    def _start_configuration(self, store, rng):
        config_distribution = distribution.Distribution(
            self.node.id, self.incarnation, rng, has_store=store is not None
        )
        self._configuration = configuration.ConfigurationTask(
            self.node,
            self.members,
            config_distribution,
            store,
            self._find_witness_candidates,
            self._on_new_configuration,
        )
        self.stack.push_async_callback(self._configuration.close)
        server = configuration.ConfigServer(self.node, self._configuration)
        self.stack.callback(server.close)
        self.call_every(defaults.CONFIG_TICK_S, self._tick_configuration)
        if store is not None:
            self._relay = relay.Relay(
                store,
                relays.RelaySlot(self.node.id, rng),
                self.settings.node.data_centre,
                self.address,
                self._configuration.on_store_read,
            )
            self.stack.push_async_callback(self._relay.close)

    def _find_witness_candidates(self):
        return self.members.view.all_balancers()

    def _tick_configuration(self):
        self._configuration.tick()
        self._update_readiness()
        if self._relay is not None and self._has_joined:
            self._relay.relay_slot.on_view(
                time.monotonic(),
                self.members.view.balancers(self.settings.node.data_centre),
            )
            self._relay.tick()

    def _on_new_configuration(self, new_configuration):
        self.flows.set_services(new_configuration.services)
        self.gateway.set_services(new_configuration.services)
        for service in new_configuration.services:
            service_members = self.members.view.members_of(service.name)
            self.flows.set_members(service.name, service_members)

    def _on_members_changed(self, services):
        for name in services:
            self.flows.set_members(name, self.members.view.members_of(name))

    def _on_joined(self):
        self._has_joined = True
        if self._configuration is not None:
            self._configuration.start()
        self._update_readiness()

    def _update_readiness(self):
        is_configured = (
            self._configuration is None or self._configuration.ready
        )
        self.ready = self._has_joined and is_configured and not self.draining

    def _update_gauges(self):
        members.update_gauges(self.members.view)

    def drain(self):
        """Stop accepting requests; packets are still forwarded."""
        if self.draining:
            return
        self.draining = True
        self.ready = False
        self._forward_until = time.monotonic() + defaults.LAME_DUCK_S
        self.gateway.stop_listening()
        self.members.update(state=records.DRAINING)

    async def stop(self, deadline):
        """Finish the running requests, then leave the membership.

        Packets are forwarded for LAME_DUCK_S after the drain, until the
        network fabric has detected that this balancer is not ready.

        :param deadline: monotonic time at which to stop waiting for requests.
        """
        await self.run_until_second_signal(self._wait_until_drained(deadline))
        self.gateway.stop_requests()
        await self._wait_for_requests(
            time.monotonic() + _REFUSAL_SEND_TIMEOUT_S
        )
        self.members.leave()

    async def _wait_for_requests(self, deadline):
        while self.gateway.running_by_id and time.monotonic() < deadline:
            await asyncio.sleep(defaults.FLOW_TICK_S)

    async def _wait_until_drained(self, deadline):
        await self._wait_for_requests(deadline)
        while time.monotonic() < self._forward_until:
            await asyncio.sleep(defaults.FLOW_TICK_S)

    def status(self):
        """Return the state for the administration API, as a JSON object."""
        status = super().status()
        status["requests_running"] = len(self.gateway.running_by_id)
        status["services"] = {
            name: [member.agent_id for member in table.members]
            for name, table in self.flows.tables_by_name.items()
        }
        return status
