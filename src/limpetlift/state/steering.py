"""Steering of segments at a balancer: the choice of the agent for each one.

A balancer asks a few agents for their loads to place a new flow. It records
the agent of each flow and sends the record to a few balancers of its data
centre that keep it, because the network fabric may deliver the next segment to
any of them. If a balancer does not know a flow, it asks these and queries
agents; the agent of the backend server that holds the flow has the
authoritative answer.
"""

import collections
import math
import random

import attrs

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift import registry
from limpetlift.scheduling import admitting
from limpetlift.scheduling import ejection
from limpetlift.scheduling import evacuation
from limpetlift.scheduling import placing
from limpetlift.scheduling import polling
from limpetlift.scheduling import uploads
from limpetlift.state import keeping
from limpetlift.state import knownagents
from limpetlift.state import routing
from limpetlift.state import searching
from limpetlift.state import steps
from limpetlift.state import unlisted as unlisted_agents
from limpetlift import structs

_handlers_by_type = {}

# After declining a flow for one of these reasons, an agent may accept flows
# again within moments.
_TEMPORARY_REASONS = frozenset(
    (
        "server_unknown",
        "server_refused",
        "server_silent",
        "stopping",
        "busy",
        "paused",
        "server_unverified",
    )
)

# Reasons that apply to the declined flow only, not to the next one.
_PER_FLOW_REASONS = frozenset(
    ("server_refused", "busy", "paused", "other_service")
)


@structs.define
class _Flow:
    """A flow and the agent that it is assigned to.

    :param address: address of the agent.
    :param active_at: arrival time of the flow's last segment.
    :param service_id: id of the service that the flow was routed to when it
        was placed. It is not derived from ``address``, at which an agent of
        another service may have started since.
    :param is_open: whether the caller has sent more than the first segment.
    :param tried: addresses of agents that declined the flow or fell silent.
    :param may_recover: whether one of them may accept flows again soon.
    :param busy_count: number of agents that declined it because their queues
        were too long.
    :param first_sequence: sequence number of the first segment that this
        balancer placed; None when it did not place the flow.
    :param may_be_open: whether it may be an open flow that was taken for an
        ended one.
    :param known_at: since when it is known to be assigned to ``address``.
    :param began_at: when this balancer learned of the flow.
    """

    address: tuple
    active_at: float
    service_id: bytes = tunnel.NO_SERVICE
    is_open: bool = False
    tried: set = attrs.field(factory=set)
    may_recover: bool = False
    busy_count: int = 0
    first_sequence: object = None
    may_be_open: bool = False
    known_at: float = attrs.field(init=False)
    began_at: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.known_at = self.began_at = self.active_at


@structs.define
class _Deferral:
    """A new flow that has not been placed yet.

    :param expires_at: when its caller has stopped sending copies of the first
        segment.
    :param copies: numbers of the copies that arrived here and that no server
        received.
    """

    expires_at: float
    copies: set = attrs.field(factory=set)


@structs.define
class FlowSteering:
    """Decides how to handle segments of callers and messages of processes.

    All ``on_`` methods and :meth:`tick` take ``now`` in seconds (monotonic)
    and return steps of :mod:`limpetlift.state.steps` to carry out.

    :param address: ``(ip, port)`` of this balancer.
    :param data_centre: name of this balancer's data centre.
    :param decode: function that decodes a caller's datagram to a
        :class:`~limpetlift.protocol.segment.Segment`.
    :param rng: a :class:`random.Random`.
    :param placing_policy: name of a policy of
        :mod:`limpetlift.scheduling.placing`.
    :param admission_policy: name of a policy of
        :mod:`limpetlift.scheduling.admitting`.
    :param record_policy: name of a policy of
        :mod:`limpetlift.state.keeping`.
    :param tells_warmup: whether agents are told what the configuration says
        that their servers bear while they are cold.
    :param routes: the :class:`~limpetlift.state.routing.RouteTable` in force.
    :param flows_by_key: the known flows.
    :param agents: the known agents.
    :param searches: the searches for unknown flows.
    :param upload_admission: when uploads begin that share the link of this
        balancer.
    :param evacuations: the evacuated data centres.
    :param ejections: the agents whose servers fail.
    :raises StateError: when a policy does not exist.

    .. versionadded:: 0.2
    """

    address: tuple
    data_centre: str
    decode: object
    rng: random.Random = attrs.field(factory=random.Random)
    placing_policy: str = defaults.PLACING_POLICY
    admission_policy: str = "priority"
    record_policy: str = "few"
    tells_warmup: bool = False
    routes: routing.RouteTable = attrs.field(factory=routing.RouteTable)
    flows_by_key: dict = attrs.field(factory=dict)
    searches: searching.FlowSearches = attrs.field(
        factory=searching.FlowSearches
    )
    upload_admission: uploads.UploadAdmission = attrs.field(
        factory=uploads.UploadAdmission
    )
    evacuations: evacuation.Evacuations = attrs.field(
        factory=evacuation.Evacuations
    )
    ejections: ejection.Ejection = attrs.field(factory=ejection.Ejection)
    _polls: polling.LoadPolls = attrs.field(factory=polling.LoadPolls)
    _deferrals_by_key: dict = attrs.field(factory=dict)
    agents: knownagents.KnownAgents = attrs.field(init=False)
    _unlisted: unlisted_agents.Exchange = attrs.field(init=False)
    _keepers: keeping.Keepers = attrs.field(init=False)
    # Records that have not been sent to their keepers yet.
    _unsent_records: list = attrs.field(factory=list)
    # End of the last pause of this balancer, its length, and whether messages
    # that waited through it are being handled.
    _resumed_at: float = float("-inf")
    _pause_s: float = 0.0
    _is_catching_up: bool = False
    # No new flow is placed before, because a data centre may have been
    # evacuated during the last pause.
    _placeable_at: float = float("-inf")
    _swept_at: float = float("-inf")
    # The routes in force as they were read, and the era of the store.
    _routes_read: object = None
    _routes_era: int = 0
    _choose: object = attrs.field(init=False)
    _admission: admitting.Admission = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._choose = registry.lookup(
            placing.policies_by_name, self.placing_policy, "placing policy"
        )
        self._admission = admitting.Admission(self.admission_policy)
        self.agents = knownagents.KnownAgents(self.address, self.rng)
        self._keepers = self._keepers_among(())
        self._unlisted = unlisted_agents.Exchange(self.address)
        self.searches.are_agents_known = False

    # Pauses.

    def on_pause(self, now, pause_s):
        """Handle the end of a pause of this balancer.

        :param pause_s: how long the process did not run, in seconds.
        """
        self._resumed_at = now
        self._pause_s = pause_s
        self._is_catching_up = True
        if pause_s >= defaults.EVACUATION_RECHECK_PAUSE_S:
            self._placeable_at = now + defaults.EVACUATION_RECHECK_S
        self.agents.on_pause(now)
        self._polls.on_pause(now, self._placeable_at)
        self.searches.on_pause(now)
        return []

    def on_caught_up(self):
        """Handle that all messages of the last pause have been read."""
        self._is_catching_up = False

    def _are_routes_outdated(self, now):
        """Whether the routes may have changed during the last pause.

        After this time the store has been asked for changes again.
        """
        return now - self._resumed_at < (
            defaults.FOLLOW_LONG_POLL_S + defaults.FOLLOW_PAUSE_S
        )

    def _has_caller_given_up(self, now, flow):
        """Whether the caller of a flow that is not open has given up.

        :param flow: the flow. Messages that waited through a pause of this
            balancer count as old as the pause.
        """
        age_s = now - flow.began_at
        if self._is_catching_up:
            age_s += self._pause_s
        return age_s > defaults.OPENING_TIMEOUT_S

    def _drop_outdated(self, key):
        """Drop a flow whose caller has given up.

        A first segment would only open a connection that nobody uses.
        """
        self.flows_by_key.pop(key, None)
        self.upload_admission.end(key)
        fields = {"pause_s": round(self._pause_s, 3)}
        return [steps.LogEvent("flow_outdated", key, fields)]

    # Routes and directory.

    def on_routes(self, now, routes, era=0):
        """Put routes in force if they are newer than those in force.

        In a later era of the store, other routes of the same version were
        written since and are newer too.

        :param era: era of the store in which they were read.
        """
        is_rewritten = (
            routes.version == self.routes.version
            and era > self._routes_era
            and routes != self._routes_read
        )
        if routes.version <= self.routes.version and not is_rewritten:
            return [
                steps.LogEvent(
                    "routes_ignored",
                    fields={
                        "version": routes.version,
                        "in_force": self.routes.version,
                    },
                )
            ]
        self._routes_era = era
        self._routes_read = routes
        self.routes = routes.with_valid_fields_of(self.routes)
        self._admission.on_routes(self.routes.routes_by_address.values())
        if self.tells_warmup:
            self.agents.on_paces(
                self.routes.version, self.routes.paces_by_service
            )
        return [
            steps.LogEvent(
                "routes_in_force",
                fields={
                    "version": routes.version,
                    "routes": len(routes.routes_by_address),
                    "ranked": self.ranked_routes,
                    "era": era,
                },
            )
        ] + [
            steps.LogEvent(
                "routes_field_invalid",
                fields={
                    "version": routes.version,
                    "of": invalid.of,
                    "name": invalid.name,
                    "field": invalid.field,
                    "value": invalid.value,
                },
            )
            for invalid in routes.invalid_fields[
                : defaults.MAX_LOGGED_INVALID_FIELDS
            ]
        ]

    def on_evacuations(self, now, changes):
        """Replace the evacuated data centres by those of a full read.

        :param changes: list of
            :class:`~limpetlift.scheduling.evacuation.Change`.
        """
        return self._evacuate(now, self.evacuations.on_snapshot, changes)

    def on_evacuation_changes(self, now, changes):
        """Handle evacuations that began or ended.

        :param changes: list of
            :class:`~limpetlift.scheduling.evacuation.Change`, the oldest
            first.
        """
        return self._evacuate(now, self.evacuations.on_changes, changes)

    def _evacuate(self, now, handler, changes):
        known = set(self.evacuations.by_data_centre)
        result = handler(now, changes, self._agents_by_data_centre())
        if known == self.evacuations.by_data_centre.keys():
            return result
        # The candidates of the polls in progress are from before the change.
        for poll in self._polls.pop_all():
            if poll.kept_agent is not None:
                self._polls.add(poll)
                continue
            poll.start_service(self._candidates_in_order(poll))
            result += self._advance(now, poll)
        return result

    def _agents_by_data_centre(self):
        """Return the number of known agents by the name of data centre."""
        return collections.Counter(
            agent.entry.data_centre
            for agent in self.agents.by_address.values()
        )

    def _is_evacuated(self, agent):
        return self.evacuations.covers(agent.entry.data_centre)

    @property
    def ranked_routes(self):
        """Number of the routes that compete with one of another priority."""
        return len(self._admission.standings_by_address)

    def on_entries(
        self, now, agents, balancers, unlisted=(), unproven_until=-math.inf
    ):
        """Update the known agents and balancers from the directory.

        :param agents: entries of the agents.
        :param balancers: entries of the balancers.
        :param unlisted: ids of the agents whose entries the store does not
            have any more.
        :param unproven_until: until then an agent that is not listed may be
            alive.
        """
        result = self.agents.on_entries(agents, unlisted)
        result += self.searches.on_agents(
            now, self.agents.by_address, self.agents.gone()
        )
        result += self._update_keepers(
            entry.address
            for entry in balancers
            if entry.data_centre == self.data_centre
        )
        result += self._unlisted.on_unproven(now, unproven_until)
        result += self._unlisted.on_balancers(
            now, [entry.address for entry in balancers]
        )
        result += self._resume_searches(now)
        if self.evacuations.has_unchecked():
            result += self.evacuations.on_agents(self._agents_by_data_centre())
        return result + self.agents.update_monitored(now, balancers)

    def _resume_searches(self, now):
        """Let flows be proved lost while all agents are known."""
        if not self._unlisted.is_complete:
            self.searches.are_agents_known = False
            return []
        if self.searches.are_agents_known:
            return []
        return self.searches.on_agents_known(now)

    def _keepers_among(self, addresses):
        """Return the keepers among this balancer and some others."""
        return keeping.Keepers(
            frozenset(addresses) | {self.address}, self.record_policy
        )

    def _update_keepers(self, addresses):
        """Choose the keepers of flows anew when balancers come or go.

        New balancers are asked for the records that this one has to keep.

        :param addresses: addresses of the balancers of this data centre.
        """
        known = self._keepers.addresses
        keepers = self._keepers_among(addresses)
        if keepers.addresses == known:
            return []
        self._keepers = keepers
        return [
            steps.SendToPeer(address, tunnel.FlowRecordsRequest())
            for address in keepers.addresses - known
        ]

    def _is_near(self, agent):
        return agent.entry.data_centre == self.data_centre

    def _delete_flows_at(self, address):
        """Delete the flows of an agent that left.

        Their next segments start searches. This is not done for an agent
        whose entry is gone, as it may be paused while its server still holds
        the flows.
        """
        for key, flow in list(self.flows_by_key.items()):
            if flow.address == address:
                del self.flows_by_key[key]

    # Segments of callers.

    def on_segment(self, now, segment):
        """Handle a segment that the fabric delivered to this balancer."""
        flow = self.flows_by_key.get(segment.key)
        may_be_open = False
        if flow is not None and self._has_ended(now, segment, flow):
            del self.flows_by_key[segment.key]
            # The same sequence number is most likely that of a late copy.
            may_be_open = (
                flow.is_open and flow.first_sequence == segment.sequence
            )
            flow = None
        if flow is None:
            if segment.opens_flow:
                # An earlier flow between the same ports has ended.
                self.searches.end(segment.key)
                if self._polls.add_copy(
                    segment
                ) or self.upload_admission.add_copy(segment):
                    return []
                return self._place_unknown(now, segment, may_be_open)
            if segment.is_reset:
                # The caller abandoned a flow that is not known here.
                self._polls.end(segment.key)
                self.upload_admission.end(segment.key)
                return []
            self.upload_admission.on_segment(now, segment)
            return self._search(now, segment)
        flow.active_at = now
        self.upload_admission.on_segment(now, segment)
        if segment.opens_flow:
            return self._on_copy(now, segment, flow)
        flow.is_open = True
        if segment.is_reset:
            del self.flows_by_key[segment.key]
        return [self._forward(flow, segment.data)]

    def _has_ended(self, now, segment, flow):
        """Whether a segment shows that a known flow has ended.

        A caller that opens a flow between the same ports has ended the
        earlier one. Within the time in which copies of a first segment are
        sent, or after a pause, it may be a late one of the known flow.
        """
        return (
            segment.opens_flow
            and not segment.ack
            and now - flow.active_at > defaults.OPENING_TIMEOUT_S
            and not self._is_catching_up
        )

    @staticmethod
    def _forward(flow, data, max_wait_s=math.inf):
        """Return the step that forwards a datagram to the agent of its flow.

        :param max_wait_s: for a first segment, the longest time that the
            flow's request may wait at the agent's server.
        """
        max_wait_ms = 0
        if max_wait_s != math.inf:
            max_wait_ms = max(round(max_wait_s * 1000), 1)
            max_wait_ms = min(max_wait_ms, tunnel.MAX_WAIT_MS)
        return steps.SendToPeer(
            flow.address, tunnel.Forward(flow.service_id, data, max_wait_ms)
        )

    def _on_copy(self, now, segment, flow):
        """Handle a copy of the first segment of a known flow.

        Its agent gets the copy and has to answer a question. If it does not,
        the flow is placed again. The segment may also be that of a later flow
        between the same ports. Without a route it opens nothing; it is not
        refused with a reset, because a server may hold the flow.
        """
        if self.routes.version and self._route(segment.key) is None:
            return [self._not_placed("copy_dropped", segment, "no_route")]
        if not self._may_open(segment.key, flow.service_id):
            if flow.is_open:
                return [
                    self._not_placed("copy_dropped", segment, "other_service")
                ]
            del self.flows_by_key[segment.key]
            return self._place(now, segment, _Flow((), now))
        if flow.is_open:
            return [
                self._forward(flow, segment.data),
                self._copy_forwarded(now, segment, flow, "known", now),
            ]
        agent = self.agents.by_address.get(flow.address)
        if (
            agent is None
            or agent.entry.service_id != flow.service_id
            or agent.is_silent(now)
        ):
            flow.tried.add(flow.address)
            return self._place(now, segment, flow)
        if self._is_evacuated(agent):
            flow.tried.add(flow.address)
            # Its server may have accepted the flow.
            flow.may_be_open = True
            return [
                self._evacuated(now, segment, flow.address, flow.known_at)
            ] + self._place(now, segment, flow)
        poll = polling.Poll(segment, flow, now, kept_agent=agent)
        asked = poll.widen(now)
        if asked:
            self._polls.add(poll)
        return [
            self._forward(flow, segment.data),
            self._copy_forwarded(now, segment, flow, "known", now),
        ] + [agent.ask(now) for agent in asked]

    def _evacuated(self, now, segment, address, known_at):
        """Return the step that logs that a flow is taken from its agent.

        :param address: address of the agent, in an evacuated data centre.
        :param known_at: since when the flow is known to be assigned to it.
        """
        agent = self.agents.by_address[address]
        data_centre = agent.entry.data_centre
        known = self.evacuations.by_data_centre[data_centre]
        return steps.LogEvent(
            "flow_evacuated",
            segment.key,
            {
                "agent": agent.entry.process_id,
                "data_centre": data_centre,
                "copy": segment.ack,
                "age_s": round(now - known_at, 3),
                "revision": known.revision,
                "evacuated_s": round(now - known.began_at, 3),
            },
        )

    def _copy_forwarded(self, now, segment, flow, way, received_at):
        """Return the step that logs a forwarded copy of a first segment.

        The service is logged by name only if the agent known at the address
        is of the service that the flow was routed to.

        :param way: how this balancer knew the agent: ``known`` before the
            copy came, or ``learned`` from another balancer while it waited.
        :param received_at: when the first copy that waited came.
        """
        agent = self.agents.by_address.get(flow.address)
        if agent is not None and agent.entry.service_id == flow.service_id:
            service = agent.entry.service
        elif flow.service_id == tunnel.NO_SERVICE:
            service = "unknown"
        else:
            service = flow.service_id.hex()
        age_s = now - flow.known_at
        waited_s = now - received_at
        if self._is_catching_up:
            waited_s += self._pause_s
        return steps.LogEvent(
            "copy_forwarded",
            segment.key,
            {
                "agent": agent.entry.process_id if agent else "unknown",
                "address": "%s:%d" % flow.address,
                "service": service,
                "copy": segment.ack,
                "way": way,
                "is_open": flow.is_open,
                "age_s": round(age_s, 3),
                "waited_s": round(waited_s, 3),
                "is_late": max(age_s, waited_s) > defaults.OPENING_TIMEOUT_S,
            },
        )

    def _on_copy_polled(self, now, poll):
        """Place a flow again when its agent did not answer."""
        flow = poll.flow
        address = poll.kept_agent.entry.address
        if (
            flow.is_open
            or flow.address != address
            or self.flows_by_key.get(poll.segment.key) is not flow
            or not poll.unanswered()
        ):
            return []
        flow.tried.add(address)
        return self._place(now, poll.segment, flow)

    def _route(self, key):
        """Return the route in force of a flow, or None."""
        return self.routes.routes_by_address.get(segments.service_of(key))

    def _may_open(self, key, service_id):
        """Whether the routes let a new flow go to a service.

        It may as long as the routes or the service are unknown. An agent
        accepts no new flow of an unknown service.

        :param service_id: id of the service, or
            :data:`~limpetlift.protocol.tunnel.NO_SERVICE`.
        """
        if not self.routes.version or service_id == tunnel.NO_SERVICE:
            return True
        route = self._route(key)
        return route is not None and route.leads_to(service_id)

    def _place_unknown(self, now, segment, may_be_open):
        """Place a flow that this balancer does not know.

        Another balancer may have placed it when an earlier copy of its first
        segment went there. So the keepers are asked first, unless all earlier
        copies came here. An upload waits until the link has room for it.
        """
        flow = _Flow((), now, may_be_open=may_be_open)
        route = self._route(segment.key)
        if (
            route is not None
            and route.kind == routing.UPLOAD
            and not self._are_all_evacuated(route)
            and not self.upload_admission.begin(now, segment, flow)
        ):
            return [
                steps.LogEvent(
                    "upload_held",
                    segment.key,
                    {
                        "copy": segment.ack,
                        "active": self.upload_admission.active_count,
                        "limit": self.upload_admission.limit,
                        "held": self.upload_admission.held_count,
                    },
                )
            ]
        return self._query_and_place(now, segment, flow)

    def _query_and_place(self, now, segment, flow, sent=0):
        """Place a flow; ask its keepers first if copies went elsewhere.

        :param sent: number of copies that the caller has sent by now, as far
            as its first segment's age tells.
        """
        deferral = self._deferrals_by_key.get(segment.key)
        copies = len(deferral.copies) if deferral else 0
        queries = []
        placeable_at = -math.inf
        if max(segment.ack, sent) > copies:
            queries = self._query_keepers(segment.key)
        if queries:
            placeable_at = now + defaults.RECORD_QUERY_TIMEOUT_S
        return queries + self._place(now, segment, flow, placeable_at)

    def _place_released(self, now):
        """Place the uploads that the link has room for now."""
        result = []
        for held in self.upload_admission.pop_released(now):
            waited_s = now - held.flow.began_at
            result += [
                steps.Duration("upload_hold", waited_s),
                steps.LogEvent(
                    "upload_released",
                    held.segment.key,
                    {
                        "waited_s": round(waited_s, 3),
                        "active": self.upload_admission.active_count,
                        "held": self.upload_admission.held_count,
                    },
                ),
            ]
            if held.segment.key in self.flows_by_key:
                # Another balancer has placed an earlier copy meanwhile.
                result += self.on_segment(now, held.segment)
            else:
                result += self._place_held(now, held)
        return result

    def _place_held(self, now, held):
        """Place a released upload; copies may have gone elsewhere."""
        key = held.segment.key
        deferral = self._deferrals_by_key.setdefault(
            key, _Deferral(now + defaults.OPENING_TIMEOUT_S)
        )
        deferral.copies |= held.copies
        # Since the caller's first copy, wherever it went.
        age_s = now - held.release_at + defaults.MAX_UPLOAD_HOLD_S
        sent = sum(delay_s <= age_s for delay_s in defaults.COPY_DELAYS_S)
        return self._query_and_place(now, held.segment, held.flow, sent)

    def _query_keepers(self, key):
        """Return steps that ask the keepers of a flow where it is."""
        message = tunnel.RecordsQuery([key])
        return [
            steps.SendToPeer(address, message)
            for address in self._keepers.of(key)
            if address != self.address
        ]

    def _place(self, now, segment, flow, placeable_at=-math.inf):
        """Place a new flow once the loads of some agents are known.

        :param placeable_at: the flow is not placed before this time.
        """
        key = segment.key
        if not self.routes.version:
            return [
                steps.LogEvent("routes_unknown", key, {"copy": segment.ack})
            ]
        route = self._route(key)
        if self._has_caller_given_up(now, flow):
            return self._drop_outdated(key)
        if route is None and self._are_routes_outdated(now):
            return [
                steps.LogEvent(
                    "routes_outdated",
                    key,
                    {
                        "resumed_s": round(now - self._resumed_at, 3),
                        "routes": self.routes.version,
                    },
                )
            ]
        if route is None:
            return self._refuse(segment, "no_route", flow)
        if (
            flow.busy_count >= defaults.MAX_BUSY_TRIES
            and not self._are_all_evacuated(route)
        ):
            return self._defer(now, segment, "overloaded", flow)
        poll = polling.Poll(
            segment,
            flow,
            now,
            route,
            _services_of(route, key),
            placeable_at=max(placeable_at, self._placeable_at),
        )
        poll.start_service(self._candidates_in_order(poll))
        asked = []
        if now < self._placeable_at:
            asked = [agent.ask(now) for agent in poll.widen(now)]
        return asked + self._advance(now, poll)

    def _candidates_in_order(self, poll):
        """Return the agents of the poll's service that may take the flow."""
        agents = [
            agent
            for agent in self.agents.of_services(poll.services[:1])
            if agent.entry.address not in poll.flow.tried
            and not agent.is_gone
            and not self._is_evacuated(agent)
        ]
        flow_hash = hashing.flow_hash(poll.segment.key)
        return polling.in_order(agents, flow_hash, self.data_centre)

    def _advance(self, now, poll):
        """Place a polled flow, ask more agents, or defer or refuse the flow.

        If no agent that answered accepts flows and no more may be asked, one
        that has not answered is taken: when all are silent, a fault of this
        balancer's links is more likely than one of every agent.
        """
        if poll.kept_agent is not None:
            return self._on_copy_polled(now, poll)
        known = self.flows_by_key.get(poll.segment.key)
        if known is not None and known.is_open:
            # Its agent holds it, as the caller has gone on in the meantime.
            return []
        if self._has_caller_given_up(now, poll.flow):
            return self._drop_outdated(poll.segment.key)
        result = []
        while True:
            if not poll.is_complete(now):
                self._polls.add(poll)
                return result
            available = poll.available()
            admitted = self._choose_admitted(available, poll)
            if admitted is None and poll.can_widen():
                asked = poll.widen(now)
                result += [agent.ask(now) for agent in asked]
                continue
            if admitted is None and not available:
                available = self._without_room_or_answer(poll)
                admitted = self._choose_admitted(available, poll)
            if admitted is not None:
                return result + self._assign(now, poll, *admitted)
            if available or poll.without_room():
                return result + self._defer(
                    now, poll.segment, poll.admission, poll.flow
                )
            if any(
                agent.load and agent.load.is_recovering
                for agent in poll.window
            ):
                poll.flow.may_recover = True
            if len(poll.services) == 1:
                break
            poll.services = poll.services[1:]
            poll.start_service(self._candidates_in_order(poll))
        if (
            poll.flow.may_recover or poll.remaining
        ) and not self._are_all_evacuated(poll.route):
            return result + self._defer(
                now, poll.segment, "no_agent", poll.flow
            )
        return result + self._refuse(poll.segment, "no_agent", poll.flow)

    def _are_all_evacuated(self, route):
        """Whether all agents that may take flows of a route are evacuated.

        Waiting for those that declined a flow is then of no use.
        """
        if not self.evacuations.by_data_centre:
            return False
        agents = [
            agent
            for agent in self.agents.of_services(
                {weighted.service for weighted in route.weighted_services}
            )
            if not agent.is_gone
        ]
        return bool(agents) and all(map(self._is_evacuated, agents))

    @staticmethod
    def _without_room_or_answer(poll):
        """Return the agents to choose from when none is known to have room.

        A report without room is up to some tens of milliseconds old, and a
        server makes room with each answer. So one agent without room is tried
        before the flow waits 200 ms for its caller's next copy. When it has
        declined, the flow is not sent to agents that may be dead, but
        deferred.
        """
        without_room = poll.without_room()
        if not without_room:
            return poll.unanswered()
        return [] if poll.flow.busy_count else without_room

    def _assign(self, now, poll, chosen, max_wait_s):
        """Forward the first segment of a flow to the chosen agent.

        :param chosen: the :class:`~limpetlift.scheduling.placing.Candidate`.
        :param max_wait_s: the longest time that the flow's request may wait.
        """
        key = poll.segment.key
        address = chosen.agent_key
        agent = self.agents.by_address[address]
        agent.placement_times.append(now)
        poll.flow.address = address
        poll.flow.service_id = agent.entry.service_id
        poll.flow.known_at = now
        poll.flow.first_sequence = poll.segment.sequence
        self.flows_by_key[key] = poll.flow
        self._unsent_records.append(self._record(key))
        load = agent.load
        return [
            self._forward(poll.flow, poll.segment.data, max_wait_s),
            steps.Duration("placing", now - poll.began_at),
            steps.LogEvent(
                "flow_placed",
                key,
                {
                    "agent": agent.entry.process_id,
                    "address": "%s:%d" % address,
                    "service": agent.entry.service,
                    "copy": poll.segment.ack,
                    "declined": len(poll.flow.tried),
                    "asked": len(poll.window),
                    "unanswered": len(poll.unanswered()),
                    "busy": load.busy if load else "unknown",
                    "run_ms": load.run_ms if load else "unknown",
                    "age_s": round(now - agent.load_received_at, 3),
                    "admission": poll.admission,
                    "routes": self.routes.version,
                    **_room_fields(agent, poll),
                },
            ),
        ]

    def _choose_admitted(self, agents, poll):
        """Choose the agent of a new flow and check its queue.

        :param agents: the agents to choose from. Those whose address an agent
            of another service has taken over are left out.
        :returns: ``(candidate, max_wait_s)``: the chosen agent and the
            longest time that the flow's request may wait there; or None when
            there is no agent or the chosen agent's queue is longer than that.
            The reason is then in the poll.
        """
        candidates = [
            self._candidate(agent)
            for agent in agents
            if self.agents.by_address.get(agent.entry.address) is agent
        ]
        if not candidates:
            return None
        # A trial costs a caller time, and requests that may not run twice
        # their answer.
        if poll.can_widen() and all(
            candidate.failure_share >= defaults.EJECTION_SHARE
            for candidate in candidates
        ):
            # More agents are compared first; others may have no room.
            return None
        may_try = poll.route.kind != routing.UNSAFE and not poll.segment.ack
        candidates = self.ejections.select(candidates, self.rng, may_try)
        chosen = self._choose(candidates, self.rng)
        queue = admitting.Queue(
            chosen.slots, chosen.busy + chosen.placed, chosen.run_s
        )
        max_wait_s, poll.admission = self._admission.decide(
            poll.route, queue, poll.segment.ack
        )
        return None if max_wait_s is None else (chosen, max_wait_s)

    def _search_order(self, key):
        """Return the agents of a flow's route as addresses.

        The agents at which the flow would be placed come first.
        """
        route = self._route(key)
        if route is None:
            return []
        services = {weighted.service for weighted in route.weighted_services}
        return [
            agent.entry.address
            for agent in polling.in_order(
                self.agents.of_services(services),
                hashing.flow_hash(key),
                self.data_centre,
            )
        ]

    def _candidate(self, agent):
        """Return an agent as a placing policy sees it."""
        load = agent.load
        return placing.Candidate(
            agent.entry.address,
            load.slots if load else 1,
            load.busy if load else 0,
            load.flows if load else 0,
            len(agent.placement_times),
            bool(load and load.is_warming),
            self._is_near(agent),
            load.run_ms / 1000 if load else 0.0,
            agent.room,
            failure_share=load.failure_share / 255 if load else 0.0,
        )

    def _defer(self, now, segment, reason, flow):
        """Postpone a new flow until the next copy of its first segment.

        The caller sends copies after fixed delays if it gets no answer. After
        a refusal it would retry at once and use up its tries. The flow is
        refused at the last copy if all copies arrived here and none was
        placed, or earlier if the caller gives up before the next one.

        :param reason: the reason, for the log and the reset.
        """
        key = segment.key
        self.flows_by_key.pop(key, None)
        self.upload_admission.end(key)
        deferral = self._deferrals_by_key.get(key)
        if deferral is None:
            deferral = _Deferral(now + defaults.OPENING_TIMEOUT_S)
            self._deferrals_by_key[key] = deferral
        if len(flow.tried) == flow.busy_count:
            # All agents tried were busy, so no server received this copy.
            deferral.copies.add(segment.ack)
        event = "flow_yielded" if reason == "priority" else "flow_deferred"
        log_event = self._not_placed(event, segment, reason, len(flow.tried))
        is_last = len(deferral.copies) > defaults.LAST_COPY_NUMBER
        if not is_last and len(deferral.copies) > segment.ack:
            # All copies so far arrived here, and no server received one.
            route = self._route(key)
            is_last = (
                route is not None
                and not flow.may_be_open
                and self._admission.expires_before_next_copy(
                    route, segment.ack
                )
            )
        if not is_last:
            return [log_event]
        del self._deferrals_by_key[key]
        return [steps.Reset(key, 0, reason), log_event]

    def _refuse(self, segment, reason, flow):
        """Refuse a new flow with a reset.

        A copy is dropped without a reset, because the first segment may have
        opened the flow through another balancer. So is a first segment that
        may be a very late one of an open flow.

        :param reason: the reason, for the log and the reset.
        """
        key = segment.key
        declined = len(flow.tried)
        self.flows_by_key.pop(key, None)
        self.upload_admission.end(key)
        if segment.ack or flow.may_be_open:
            return [
                self._not_placed("copy_dropped", segment, reason, declined)
            ]
        return [
            steps.Reset(key, 0, reason),
            self._not_placed("flow_refused", segment, reason, declined),
        ]

    def _not_placed(self, event, segment, reason, declined=0):
        """Return the step that logs why a first segment is not forwarded."""
        route = self._route(segment.key)
        services = _services_of(route, segment.key) if route else []
        agents = self.agents.of_services(services)
        return steps.LogEvent(
            event,
            segment.key,
            {
                "reason": reason,
                "copy": segment.ack,
                "declined": declined,
                "routes": self.routes.version,
                "service": services[0] if services else "",
                "known": len(agents),
                "evacuated": sum(map(self._is_evacuated, agents)),
            },
        )

    def _search(self, now, segment, excluded=()):
        """Search for the flow of a segment at the agents.

        :param excluded: addresses of agents that do not hold the flow.
        """
        if self.searches.add_segment(segment):
            return []
        result = self.searches.begin(
            now, segment, self._search_order(segment.key), excluded
        )
        if not excluded:
            # The keepers may know a flow whose agent does not answer.
            result += self._query_keepers(segment.key)
        return result

    def on_directory_read(self, now, began_at):
        """Complete searches after all entries were read from the store.

        :param began_at: when the read began.
        """
        return self.searches.on_directory_read(now, began_at)

    # Messages.

    def on_message(self, now, address, message):
        """Handle a message from an agent or another balancer."""
        handler = _handlers_by_type.get(type(message))
        if handler is None:
            return [
                steps.LogEvent("message_unexpected", fields={"from": address})
            ]
        return handler(self, now, address, message)

    @registry.register(_handlers_by_type, tunnel.LoadReport)
    def _on_load_report(self, now, address, load):
        agent = self.agents.by_address.get(address)
        if agent is None or load.service != agent.entry.service_id:
            return []
        known = agent.load
        was_gone = agent.is_gone
        if not agent.on_load(now, load, self._is_catching_up):
            return []
        result = []
        if was_gone and not agent.is_gone:
            result += self.searches.on_agents(
                now, self.agents.by_address, self.agents.gone()
            )
        if not self._is_catching_up:
            self.agents.heard_at = now
        if (
            known is None
            or known.incarnation != load.incarnation
            or known.accepting != load.accepting
        ):
            fields = {
                "agent": agent.entry.process_id,
                "accepting": load.accepting,
                "incarnation": load.incarnation,
            }
            result.append(steps.LogEvent("agent_state", fields=fields))
        if self._is_catching_up:
            return result
        for poll in self._polls.on_load(now, address):
            result += self._advance(now, poll)
        return result

    @registry.register(_handlers_by_type, tunnel.Owned)
    def _on_owned(self, now, address, owned):
        # The agent has already delivered the first waiting segment to its
        # server to find out whether the server holds the flow.
        return self._on_found(now, address, owned.key, delivered_count=1)

    def _on_found(self, now, address, key, delivered_count):
        """Record that the agent at ``address`` holds a flow.

        :param delivered_count: number of waiting segments, oldest first, that
            the agent's server has received already.
        """
        known = self.flows_by_key.get(key)
        if known is not None and known.address == address:
            known.is_open = True
        else:
            self.flows_by_key[key] = _Flow(address, now, is_open=True)
            self._unsent_records.append(self._record(key))
        return self._end_search(now, key, delivered_count, "agent")

    def _end_search(self, now, key, delivered_count, by):
        """Forward what waited for the search for a flow that was found.

        :param by: what told where the flow is, for the log.
        """
        search = self.searches.end(key)
        if search is None:
            return []
        waiting, began_at = search
        flow = self.flows_by_key[key]
        return [
            self._forward(flow, data) for data in waiting[delivered_count:]
        ] + [
            steps.Duration("search", now - began_at),
            steps.LogEvent(
                "flow_found", key, {"agent": "%s:%d" % flow.address, "by": by}
            ),
        ]

    @registry.register(_handlers_by_type, tunnel.LocateReply)
    def _on_locate_reply(self, now, address, reply):
        searches = self.searches
        result = []
        for key, verdict in reply.verdicts:
            if not searches.is_pending(key, address):
                continue
            if verdict == tunnel.HELD:
                result += self._on_found(now, address, key, delivered_count=0)
            elif verdict == tunnel.ABSENT:
                result += searches.on_absent(now, address, key)
            elif verdict == tunnel.UNSURE:
                result += searches.on_unsure(key, address)
            else:
                searches.on_starting(now, address, key)
        return result

    @registry.register(_handlers_by_type, tunnel.NotHeld)
    def _on_not_held(self, now, address, not_held):
        return self.searches.on_absent(now, address, not_held.key)

    @registry.register(_handlers_by_type, tunnel.AgentLeft)
    def _on_agent_left(self, now, address, left):
        agent = self.agents.by_address.get(address)
        if agent is None:
            return []
        if self._is_catching_up:
            # A later process may have started there during the pause.
            return [agent.event("agent_left_outdated")]
        if (
            left.incarnation
            and agent.load is not None
            and agent.load.incarnation != left.incarnation
        ):
            # Another process has reported from there.
            return [agent.event("agent_left_outdated")]
        agent.has_left = True
        self._delete_flows_at(address)
        result = [agent.event("agent_left")]
        if agent.is_gone:
            result += self.searches.on_agents(
                now, self.agents.by_address, self.agents.gone()
            )
        return result + self.searches.on_left(now, address)

    @registry.register(_handlers_by_type, tunnel.Declined)
    def _on_declined(self, now, address, declined):
        segment = self.decode(declined.data)
        agent = self.agents.by_address.get(address)
        if agent is not None and agent.load is not None:
            if declined.reason not in _PER_FLOW_REASONS:
                agent.load = attrs.evolve(agent.load, accepting=False)
            elif (
                declined.reason == "busy"
                and agent.load.room != tunnel.NO_LIMIT
            ):
                # Others have used the room that its last report told.
                agent.load = attrs.evolve(agent.load, room=0)
        flow = self.flows_by_key.get(segment.key)
        if flow is None and declined.reason == "paused":
            # It is not known how old the segment is, nor what became of its
            # flow since.
            return self._drop_outdated(segment.key)
        if flow is None:
            flow = _Flow(address, now)
        elif flow.address != address or flow.is_open:
            return []
        log_event = steps.LogEvent(
            "flow_declined",
            segment.key,
            {"agent": "%s:%d" % address, "reason": declined.reason},
        )
        flow.tried.add(address)
        flow.busy_count += declined.reason == "busy"
        if declined.reason in _TEMPORARY_REASONS:
            flow.may_recover = True
        return [log_event] + self._place(now, segment, flow)

    @registry.register(_handlers_by_type, tunnel.UnknownFlow)
    def _on_unknown_flow(self, now, address, unknown):
        segment = self.decode(unknown.data)
        flow = self.flows_by_key.get(segment.key)
        if flow is not None and flow.address != address:
            return [self._forward(flow, segment.data)]
        self.flows_by_key.pop(segment.key, None)
        return self._search(now, segment, excluded=(address,))

    @registry.register(_handlers_by_type, tunnel.FlowRecords)
    def _on_flow_records(self, now, _address, message):
        result = []
        for record in message.records:
            known = self.flows_by_key.get(record.key)
            if known is None:
                result += self._learn(now, record)
            elif not (record.is_placed and known.is_open):
                if (
                    known.address != record.address
                    or record.service != tunnel.NO_SERVICE
                ):
                    known.service_id = record.service
                if known.address != record.address:
                    known.known_at = now
                known.address = record.address
                known.is_open = known.is_open or not record.is_placed
        return result

    def _learn(self, now, record):
        """Add a flow from its record; forward what waited for it here."""
        key = record.key
        poll = self._polls.end(key)
        if poll is not None and not self._may_open(key, record.service):
            # The record is from before a change of the route.
            self._polls.add(poll)
            return []
        agent = self.agents.by_address.get(record.address)
        if (
            poll is not None
            and record.is_placed
            and agent is not None
            and self._is_evacuated(agent)
        ):
            # The other balancer does not know of the evacuation yet. The copy
            # is placed here, like one of a flow that is known already.
            poll.flow.tried.add(record.address)
            poll.flow.may_be_open = True
            self._polls.add(poll)
            return [self._evacuated(now, poll.segment, record.address, now)]
        flow = self.flows_by_key[key] = _Flow(
            record.address,
            now,
            record.service,
            not record.is_placed,
        )
        result = []
        if poll is not None:
            # Another balancer has placed the flow in the meantime.
            result += [
                self._forward(flow, poll.segment.data),
                self._copy_forwarded(
                    now, poll.segment, flow, "learned", poll.flow.active_at
                ),
            ]
        return result + self._end_search(
            now, key, delivered_count=0, by="balancer"
        )

    @registry.register(_handlers_by_type, tunnel.KeptRecords)
    def _on_kept_records(self, now, _address, message):
        result = []
        for record in message.records:
            agent = self.agents.by_address.get(record.address)
            if record.key not in self.flows_by_key and not (
                agent is not None and agent.has_left
            ):
                result += self._learn(now, record)
        return result

    @registry.register(_handlers_by_type, tunnel.RecordsQuery)
    def _on_records_query(self, _now, address, query):
        records = [
            self._record(key) for key in query.keys if key in self.flows_by_key
        ]
        if not records:
            return []
        return [steps.SendToPeer(address, tunnel.KeptRecords(records))]

    @registry.register(_handlers_by_type, tunnel.FlowRecordsRequest)
    def _on_flow_records_request(self, _now, address, _message):
        # The directory here may not have the entry of that balancer yet.
        keepers = self._keepers
        if address not in keepers.addresses:
            keepers = self._keepers_among(keepers.addresses | {address})
        return [
            steps.SendToPeer(address, message)
            for message in _record_messages(
                [
                    self._record(key)
                    for key in self.flows_by_key
                    if address in keepers.of(key)
                ]
            )
        ]

    def _record(self, key):
        """Return the record of a known flow."""
        flow = self.flows_by_key[key]
        return tunnel.FlowRecord(
            key, flow.address, not flow.is_open, flow.service_id
        )

    @registry.register(_handlers_by_type, tunnel.UnlistedAgentsRequest)
    def _on_unlisted_agents_request(self, now, address, _message):
        result = self._unlisted.on_request(now, address)
        result += self._resume_searches(now)
        return result + [
            steps.SendToPeer(address, message)
            for message in self._unlisted.answers(now, self.agents.unlisted())
        ]

    @registry.register(_handlers_by_type, tunnel.UnlistedAgents)
    def _on_unlisted_agents(self, now, address, message):
        entries, result = self._unlisted.on_answer(now, address, message)
        for entry in entries:
            added = self.agents.add_unlisted(now, entry)
            if added:
                result += added + [steps.KeepAgent(entry)]
        result += self.searches.on_agents(
            now, self.agents.by_address, self.agents.gone()
        )
        return result + self._resume_searches(now)

    # Timers.

    def tick(self, now):
        """Run the timers.

        They send flow records to their keepers and hellos to the agents,
        advance the searches and delete idle flows.
        """
        result = []
        records_by_address = self._keepers.group(
            self._unsent_records, self.address
        )
        self._unsent_records = []
        for address, records in records_by_address.items():
            result += [
                steps.SendToPeer(address, message)
                for message in _record_messages(records)
            ]
        result += self.agents.say_hello(now)
        result += self.evacuations.tick(now)
        result += self._log_ejections(now)
        if not self._unlisted.is_complete:
            result += self._unlisted.tick(now) + self._resume_searches(now)
        result += self._place_released(now)
        for poll in self._polls.pop_due(now):
            result += self._advance(now, poll)
        result += self.searches.tick(now, self.agents.format_ids)
        if now - self._swept_at >= defaults.SWEEP_INTERVAL_S:
            self._swept_at = now
            self._delete_idle(now)
        return result

    def _log_ejections(self, now):
        """Return steps that log which agents get hardly any new flows."""
        result = []
        for change in self.ejections.take_changes(self.agents.by_address):
            agent = self.agents.by_address.get(change.agent_key)
            if agent is None:
                continue
            fields = {
                "agent": agent.entry.process_id,
                "report": agent.load.number if agent.load else "none",
                "age_s": round(now - agent.load_received_at, 3),
                **change.fields,
            }
            result.append(steps.LogEvent(change.event, fields=fields))
        return result

    def _delete_idle(self, now):
        """Delete idle flows, and deferrals that have expired."""
        idle_since = (
            now - self.routes.idle_timeout_s - defaults.FLOW_IDLE_MARGIN_S
        )
        for key, flow in list(self.flows_by_key.items()):
            if flow.active_at < idle_since:
                del self.flows_by_key[key]
        for key, deferral in list(self._deferrals_by_key.items()):
            if deferral.expires_at < now:
                del self._deferrals_by_key[key]


def _room_fields(agent, poll):
    """Return the log fields of a placement that agents' room decided.

    :returns: nothing when no agent has a limit.
    """
    without_room = len(poll.without_room())
    if not without_room and agent.room == math.inf:
        return {}
    return {"room": agent.room, "without_room": without_room}


def _services_of(route, key):
    """Return the services of a flow's route in the order to try them."""
    return route.services_for(hashing.flow_hash(key) / (1 << 64))


def _record_messages(records):
    """Return the messages that carry flow records, as few as possible."""
    return [
        tunnel.FlowRecords(batch)
        for batch in tunnel.in_batches(records, tunnel.RECORDS_PER_MESSAGE)
    ]
