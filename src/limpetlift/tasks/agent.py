"""The agent process, which runs next to a backend server."""

import asyncio
import random
import time

from limpetlift.coordination import distribution
from limpetlift.coordination import member as records
from limpetlift.coordination import membership
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.state import actions
from limpetlift.state import claims
from limpetlift.state import config
from limpetlift.state import flows
from limpetlift.tasks import configuration
from limpetlift.tasks import flowpath
from limpetlift.tasks import members
from limpetlift.tasks import process
from limpetlift.tasks import requestpath
from limpetlift.tasks import roster

LOG = logs.EventLogger("agent")


def _flow_limits(service):
    return flows.FlowLimits(
        max_flows=service.max_flows,
        idle_s=service.flow_idle_s,
        policy=service.sharing,
        slow_start_s=service.slow_start_s,
    )


class Agent(process.Process):
    """Passes flows and requests to one backend server.

    It owns the flows and the request slots of this backend server.

    .. versionadded:: 0.1
    """

    kind = records.AGENT

    async def start(self):
        """Join the membership and load the configuration."""
        rng = random.Random(self.incarnation)
        store = configuration.connect_store(
            self.settings, self.kind, self.stack
        )
        seeds = await configuration.find_seeds(self.settings, store, rng)
        self.table = None
        self.requests = None
        self.roster = None
        self._store = store
        self._has_joined = False
        self._configuration = None
        self.members = members.Members(
            self.node,
            membership.AgentMembership(self._joining_record(), rng, seeds),
        )
        self.members.on_members_changed = self._on_members_changed
        self.members.on_joined = self._on_joined
        self.members.on_superseded = self.on_superseded
        if self.settings.config.folder:
            self._start_serving(
                self._find_service(self.settings.agent.service)
            )
        else:
            self._start_configuration(store, rng)
        self.call_every(defaults.MEMBERSHIP_TICK_S, self.members.tick)
        self.members.tick()

    def _start_configuration(self, store, rng):
        config_distribution = distribution.Distribution(
            self.node.id,
            self.incarnation,
            rng,
            is_balancer=False,
            has_store=store is not None,
        )
        self._configuration = configuration.ConfigurationTask(
            self.node,
            self.members,
            config_distribution,
            store,
            # An agent is in contact with its sponsors only, so these are its
            # witnesses.
            lambda: self.members.membership.heartbeats.sponsors(),
            self._on_new_configuration,
        )
        self.stack.push_async_callback(self._configuration.close)
        self.call_every(defaults.CONFIG_TICK_S, self._configuration.tick)

    def _on_new_configuration(self, new_configuration):
        service = new_configuration.services_by_name.get(
            self.settings.agent.service
        )
        if service is None:
            LOG.warning("service_unknown", revision=new_configuration.revision)
        elif self.requests is None:
            self._start_serving(service)
        else:
            self.requests.service = service

    def _start_serving(self, service):
        """Accept flows and requests, once the service is configured."""
        agent_settings = self.settings.agent
        ip, _, port = agent_settings.backend.rpartition(":")
        backend = (ip, int(port))
        self.table = flows.FlowTable(
            self._joining_record(), _flow_limits(service)
        )
        self.flows = flowpath.AgentFlows(
            self.node,
            self.table,
            backend,
            self._announce_record,
            service.reset_payload,
        )
        self.stack.callback(self.flows.close)
        self.claims = claims.ClaimTable(
            self.node.id, self.incarnation, service.retry_window_s
        )
        self.requests = requestpath.AgentRequests(
            self.node, service, backend, self.claims
        )
        if self.draining:
            self.requests.refuse_new()
        self.requests.listen()
        self.stack.callback(self.requests.close)
        self.call_every(defaults.FLOW_TICK_S, self.flows.tick)
        self.call_every(defaults.FLOW_TICK_S, self.requests.slots.tick)
        self.call_every(
            defaults.PEER_LOAD_INTERVAL_S, self.requests.slots.send_load
        )
        self._start_roster(service.name)
        self._on_members_changed(())
        self._activate()

    def _start_roster(self, service_name):
        """Join the roster of the service.

        Without a store there is no roster, and requests with an idempotency
        key are refused before they run.
        """
        if self._store is None:
            LOG.warning(
                "no_store",
                effect="requests with an idempotency key are refused",
            )
            return
        self.roster = roster.RosterTask(
            self.node,
            service_name,
            self._store,
            self.requests.slots,
            self.claims,
            self.members.view.get,
            random.Random(self.incarnation),
        )
        roster_future = asyncio.ensure_future(self.roster.follow_roster())
        self.stack.callback(roster_future.cancel)
        self.call_every(
            defaults.HEARTBEAT_INTERVAL_S, self.roster.check_silence
        )

    def _joining_record(self):
        agent_settings = self.settings.agent
        # The record becomes active once the service is configured.
        return self.initial_record(
            service=agent_settings.service,
            state=records.JOINING,
            weight=agent_settings.weight,
        )

    def _find_service(self, name):
        configuration = config.load_folder(self.settings.config.folder)
        if name not in configuration.services_by_name:
            raise exceptions.SettingsError(
                [
                    "agent.service: found %r, expected the name of a service"
                    % name
                ]
            )
        return configuration.services_by_name[name]

    def _on_members_changed(self, _services):
        if self.table is None:
            return
        view = self.members.view
        service = self.settings.agent.service
        peers = view.members_of(service)
        # Members that have ended are included, because their flows are
        # handled differently from those of unknown members.
        peers += [
            record
            for record in view.records_of(service)
            if record.state in records.ENDED_STATES
        ]
        self.flows.endpoints_by_id = {
            peer.agent_id: peer.endpoint for peer in peers
        }
        self.requests.slots.endpoints_by_id = self.flows.endpoints_by_id
        self.requests.slots.active_peer_ids = [
            peer.agent_id for peer in peers if peer.accepts_new_work
        ]
        self.flows.perform(self.table.on_members(time.monotonic(), peers))

    def _on_joined(self):
        self._has_joined = True
        if self._configuration is not None:
            self._configuration.start()
        self._activate()

    def _activate(self):
        """Accept flows if the service and the other members are known."""
        if self._has_joined and self.table is not None and not self.draining:
            self.flows.perform(self.table.join(time.monotonic()))

    def _announce_record(self, action):
        if not isinstance(action, actions.Announce):
            raise NotImplementedError(action)
        member = action.member
        self.members.update(state=member.state, weight=member.weight)
        self.ready = member.accepts_new_work and not self.draining

    def drain(self):
        """Stop accepting new flows and requests."""
        if not self.draining:
            self.draining = True
            self.ready = False
            if self.requests is None:
                self.members.update(state=records.DRAINING)
                return
            self.requests.refuse_new()
            self.flows.perform(self.table.drain(time.monotonic()))

    async def stop(self, deadline):
        """Finish the requests and flows, then leave roster and membership.

        :param deadline: monotonic time at which to stop waiting for requests.
        """
        if self.requests is not None:
            await self.run_until_second_signal(
                self._wait_until_drained(deadline)
            )
            self.flows.end_all_flows()
        if self.roster is not None:
            await self.roster.leave()
        self.members.leave()

    async def _wait_until_drained(self, deadline):
        """Wait for the requests until ``deadline``, then for all flows.

        Flows may last for hours; a second signal ends the wait.
        """
        await self.requests.drain(deadline)
        while not self.table.is_drained:
            await asyncio.sleep(defaults.FLOW_TICK_S)

    def status(self):
        """Return the state for the administration API, as a JSON object."""
        status = super().status()
        if self.requests is not None:
            status["flows"] = self.table.flow_count
            status["requests_running"] = self.requests.request_count
        return status
