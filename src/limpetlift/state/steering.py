"""Steering at a balancer: which agent gets a segment.

A balancer places new flows by the load that agents report. It remembers where
it placed them and tells the other balancers of its data centre, because the
fabric may hand the next segment to any of them. A flow that none of them knows
is searched for at all agents; the agent beside the backend server that holds
the flow is the authority.
"""

import heapq
import math
import random

import attrs

from limpetlift.coordination import placement
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift import registry
from limpetlift.state import admitting
from limpetlift.state import placing
from limpetlift.state import routing
from limpetlift.state import searching
from limpetlift.state import steps

_handlers_by_type = {}

# An agent that declines for one of these may take flows a moment later.
_PASSING_REASONS = frozenset(
    ("server_unknown", "server_refused", "server_silent", "stopping", "busy")
)

# Those that say nothing about the next flow.
_SINGLE_REASONS = frozenset(("server_refused", "busy"))


@attrs.define
class _Agent:
    """What a balancer knows of an agent.

    :param entry: its :class:`~limpetlift.coordination.directory.ProcessEntry`.
    :param load: its last :class:`~limpetlift.protocol.tunnel.LoadReport`, or
        None.
    :param heard_at: when the load arrived.
    :param known_at: when its entry was read first.
    :param is_listed: whether the store has its entry.
    :param has_left: whether it ended after its backend server.
    :param placed_at: times of the flows placed there since.
    """

    entry: object
    load: object = None
    heard_at: float = float("-inf")
    known_at: float = 0.0
    is_listed: bool = True
    has_left: bool = False
    placed_at: list = attrs.field(factory=list)
    # Its draw in each bucket of placement.
    draws: object = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self):
        self.draws = placement.bucket_draws(self.entry.process_id)

    def is_fresh(self, now):
        return now - self.heard_at < defaults.LOAD_REPORT_MAX_AGE_S

    def on_load(self, now, load):
        """Take over a report; return whether it is news.

        Incarnations are told apart but not compared: the clock of an instance
        may be set back before its agent starts again.
        """
        known = self.load
        if (
            known is not None
            and load.incarnation == known.incarnation
            and load.number <= known.number
        ):
            return False
        if known is None or load.incarnation != known.incarnation:
            self.has_left = False
        self.load = load
        self.heard_at = now
        # Flows placed within the time of a message may be missing in it.
        horizon = now - defaults.LOAD_REPORT_LAG_S
        self.placed_at = [at for at in self.placed_at if at > horizon]
        return True


@attrs.define
class _Flow:
    """Where a flow is.

    :param address: of its agent.
    :param active_at: time of its last segment.
    :param is_open: whether its caller has sent more than the first segment.
    :param tried: addresses of agents that declined it.
    :param may_recover: whether one of them may take flows again soon.
    :param busy: how many of them declined it because of their queues.
    """

    address: tuple
    active_at: float
    is_open: bool = False
    tried: set = attrs.field(factory=set)
    may_recover: bool = False
    busy: int = 0


@attrs.define
class _Deferral:
    """A new flow that was not placed yet.

    :param expires_at: when its caller has stopped to send copies.
    :param copies: copies of the first segment that came here.
    """

    expires_at: float
    copies: set = attrs.field(factory=set)


@attrs.define
class FlowSteering:
    """Decides on the segments of callers and on messages of other processes.

    All methods take ``now`` in seconds (monotonic) and return steps.

    :param address: ``(ip, port)`` of this balancer.
    :param data_centre: its data centre.
    :param decode: turns a datagram of a caller into a segment.
    :param rng: a :class:`random.Random`.
    :param policy: name of a placing policy.
    :param admission: name of an admission policy.
    :raises StateError: when there is no such policy.

    .. versionadded:: 0.2
    """

    address: tuple
    data_centre: str
    decode: object
    rng: random.Random = attrs.field(factory=random.Random)
    policy: str = "least"
    admission: str = "timely"
    routes: routing.RouteTable = attrs.field(factory=routing.RouteTable)
    flows_by_key: dict = attrs.field(factory=dict)
    _agents_by_address: dict = attrs.field(factory=dict)
    searches: searching.FlowSearches = attrs.field(
        factory=searching.FlowSearches
    )
    _deferrals_by_key: dict = attrs.field(factory=dict)
    _peers: list = attrs.field(factory=list)
    _records: list = attrs.field(factory=list)
    _hello_at: float = float("-inf")
    _swept_at: float = float("-inf")
    _choose: object = attrs.field(init=False)
    _admit: object = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._choose = registry.lookup(
            placing.policies_by_name, self.policy, "placing policy"
        )
        self._admit = registry.lookup(
            admitting.policies_by_name, self.admission, "admission policy"
        )

    # News.

    def on_routes(self, now, routes):
        """Take over a newer version of the routes."""
        if routes.version <= self.routes.version:
            return [
                steps.LogEvent(
                    "routes_ignored",
                    fields={
                        "version": routes.version,
                        "in_force": self.routes.version,
                    },
                )
            ]
        self.routes = routes
        return [
            steps.LogEvent(
                "routes_in_force",
                fields={
                    "version": routes.version,
                    "routes": len(routes.routes_by_address),
                },
            )
        ]

    def on_entries(self, now, agents, balancers, unlisted=()):
        """Take over the directory.

        :param agents: entries of the live agents.
        :param balancers: entries of the live balancers.
        :param unlisted: ids of agents that are not in the store any more.
        """
        found = []
        known = self._agents_by_address
        self._agents_by_address = {}
        for entry in agents:
            agent = known.pop(entry.address, None)
            if agent is None or agent.entry.service != entry.service:
                agent = _Agent(entry, known_at=now)
                found += [
                    self._hello(agent),
                    _agent_note("agent_joined", entry),
                ]
            agent.entry = entry
            agent.is_listed = entry.process_id not in unlisted
            self._agents_by_address[entry.address] = agent
        found += [
            _agent_note("agent_gone", agent.entry) for agent in known.values()
        ]
        peers = [
            entry.address
            for entry in balancers
            if entry.data_centre == self.data_centre
            and entry.address != self.address
        ]
        for address in set(peers) - set(self._peers):
            found.append(
                steps.SendToPeer(address, tunnel.FlowRecordsRequest())
            )
        self._peers = peers
        return found

    def _hello(self, agent):
        is_near = agent.entry.data_centre == self.data_centre
        message = tunnel.Hello(agent.is_listed, is_near)
        return steps.SendToPeer(agent.entry.address, message)

    def _forget_flows_at(self, address):
        """Search for the flows of an agent that left when they go on.

        Those of an agent whose entry is gone stay: it may be paused beside a
        server that holds them.
        """
        for key, flow in list(self.flows_by_key.items()):
            if flow.address == address:
                del self.flows_by_key[key]

    def is_connected(self, now):
        """Whether an agent was heard lately, or none is known."""
        return not self._agents_by_address or any(
            now - agent.heard_at < defaults.AGENTS_SILENT_AFTER_S
            for agent in self._agents_by_address.values()
        )

    def silent_agents(self, now):
        """Return the entries of agents that are most likely gone for good.

        A balancer that does not hear most of the agents blames its own links.
        """
        silent = [
            agent.entry
            for agent in self._agents_by_address.values()
            if now - max(agent.heard_at, agent.known_at)
            > defaults.SILENT_AGENT_REMOVE_AFTER_S
        ]
        if 2 * len(silent) >= len(self._agents_by_address):
            return []
        return silent

    def is_reporting(self, now, address):
        """Whether the agent at ``address`` was heard lately."""
        agent = self._agents_by_address.get(address)
        return agent is not None and agent.is_fresh(now)

    # Segments of callers.

    def on_segment(self, now, segment):
        """Decide on a segment that the fabric handed to this balancer."""
        flow = self.flows_by_key.get(segment.key)
        if flow is None:
            if segment.opens_flow:
                return self._place(now, segment, _Flow((), now))
            if segment.is_reset:
                # The caller gave up a flow that is not known here.
                return []
            return self._search(now, segment)
        flow.active_at = now
        if segment.opens_flow:
            return self._repeat(now, segment, flow)
        flow.is_open = True
        if segment.is_reset:
            del self.flows_by_key[segment.key]
        return [self._forward(flow.address, segment.data)]

    def _forward(self, address, data, wait_s=math.inf):
        agent = self._agents_by_address.get(address)
        service = agent.entry.service_id if agent else b"\0" * 8
        wait_ms = 0 if wait_s == math.inf else max(round(wait_s * 1000), 1)
        return steps.SendToPeer(
            address, tunnel.Forward(service, data, wait_ms)
        )

    def _repeat(self, now, segment, flow):
        """Decide on a copy of a flow's first segment."""
        agent = self._agents_by_address.get(flow.address)
        if flow.is_open or agent is not None and agent.is_fresh(now):
            return [self._forward(flow.address, segment.data)]
        flow.tried.add(flow.address)
        return self._place(now, segment, flow)

    def _place(self, now, segment, flow):
        """Choose an agent for a first segment, or refuse it."""
        key = segment.key
        if not self.routes.version:
            return [
                steps.LogEvent("routes_unknown", key, {"copy": segment.ack})
            ]
        route = self.routes.routes_by_address.get(segments.service_of(key))
        if route is None:
            return self._refuse(segment, "no_route")
        hashed = hashing.flow_hash(key)
        for service in route.services_for(hashed / (1 << 64)):
            able = self._able(now, service, flow.tried)
            if able:
                break
        else:
            if flow.may_recover:
                return self._defer(now, segment, "no_agent", flow)
            return self._refuse(segment, "no_agent", len(flow.tried))
        if flow.busy >= defaults.MAX_BUSY_TRIES:
            return self._defer(now, segment, "overloaded", flow)
        preferred = _first_in_order(able, hashed)
        admitted = self._admitted(preferred, route, segment)
        if admitted is None and len(preferred) < len(able):
            admitted = self._admitted(able, route, segment)
        if admitted is None:
            return self._defer(now, segment, "overloaded", flow)
        chosen, wait_s = admitted
        address = chosen.agent_key
        agent = self._agents_by_address[address]
        agent.placed_at.append(now)
        flow.address = address
        self.flows_by_key[key] = flow
        self._records.append(tunnel.FlowRecord(key, address, True))
        load = agent.load
        return [
            self._forward(address, segment.data, wait_s),
            steps.LogEvent(
                "flow_placed",
                key,
                {
                    "agent": agent.entry.process_id,
                    "copy": segment.ack,
                    "declined": len(flow.tried),
                    "candidates": len(able),
                    "busy": load.busy if load else "unknown",
                    "age_s": round(now - agent.heard_at, 3),
                    "routes": self.routes.version,
                },
            ),
        ]

    def _admitted(self, agents, route, segment):
        """Return ``(candidate, wait_s)`` for a flow, or None if none can.

        :returns: the candidate that takes the flow and the seconds that its
            request may wait there.
        """
        candidates = [self._candidate(agent) for agent in agents]
        chosen = self._choose(candidates, self.rng)
        queue = admitting.with_assumed_run_time(
            admitting.Queue(
                chosen.slots, chosen.busy + chosen.placed, chosen.run_s
            ),
            route.aim_s,
        )
        wait_s = self._admit(route.aim_s, queue.run_s, segment.ack)
        return (chosen, wait_s) if queue.is_wait_within(wait_s) else None

    def _able(self, now, service, tried):
        """Return the agents that may take a flow of ``service``.

        Without news of any of them, all count: silence of all is more likely
        a fault of this balancer's links than of every agent.
        """
        agents = [
            agent
            for address, agent in self._agents_by_address.items()
            if agent.entry.service == service and address not in tried
        ]
        able = [
            agent
            for agent in agents
            if agent.is_fresh(now) and agent.load.accepting
        ]
        return able or [agent for agent in agents if not agent.is_fresh(now)]

    def _likely(self, key):
        """Return the addresses of the agents that most likely have a flow."""
        route = self.routes.routes_by_address.get(segments.service_of(key))
        if route is None:
            return frozenset()
        services = {share.service for share in route.weighted_services}
        agents = [
            agent
            for agent in self._agents_by_address.values()
            if agent.entry.service in services
        ]
        return frozenset(
            agent.entry.address
            for agent in _first_in_order(agents, hashing.flow_hash(key))
        )

    def _candidate(self, agent):
        load = agent.load
        return placing.Candidate(
            agent.entry.address,
            load.slots if load else 1,
            load.busy if load else 0,
            load.flows if load else 0,
            len(agent.placed_at),
            bool(load and load.is_warming),
            agent.entry.data_centre == self.data_centre,
            load.run_ms / 1000 if load else 0.0,
        )

    def _defer(self, now, segment, reason, flow):
        """Leave a new flow to the next copy of its first segment.

        The caller sends copies by itself, so this tells it when to come back;
        after a refusal it would come back at once and use up its tries. The
        last copy is refused, when all of them came here and none was placed.
        """
        key = segment.key
        self.flows_by_key.pop(key, None)
        deferral = self._deferrals_by_key.get(key)
        if deferral is None:
            deferral = _Deferral(now + defaults.OPENING_TIMEOUT_S)
            self._deferrals_by_key[key] = deferral
        if len(flow.tried) == flow.busy:
            # No server has got this copy.
            deferral.copies.add(segment.ack)
        note = steps.LogEvent(
            "flow_deferred",
            key,
            {
                "reason": reason,
                "copy": segment.ack,
                "declined": len(flow.tried),
                "routes": self.routes.version,
            },
        )
        if len(deferral.copies) <= defaults.LAST_COPY_NUMBER:
            return [note]
        del self._deferrals_by_key[key]
        return [steps.Reset(key, 0, reason), note]

    def _refuse(self, segment, reason, declined=0):
        """Refuse a new flow.

        A copy is left alone: the first segment may have opened the flow by
        way of another balancer.
        """
        key = segment.key
        self.flows_by_key.pop(key, None)
        note = steps.LogEvent(
            "flow_refused" if not segment.ack else "copy_dropped",
            key,
            {
                "reason": reason,
                "copy": segment.ack,
                "declined": declined,
                "routes": self.routes.version,
            },
        )
        if segment.ack:
            return [note]
        return [steps.Reset(key, 0, reason), note]

    def _search(self, now, segment, excluded=()):
        """Ask the agents for the flow of a segment."""
        if self.searches.keep(segment):
            return []
        return self.searches.begin(
            now,
            segment,
            self._asked_agents(),
            self._likely(segment.key),
            excluded,
        )

    def _asked_agents(self):
        """Return the addresses of the agents that may have flows."""
        return {
            address
            for address, agent in self._agents_by_address.items()
            if not agent.has_left
        }

    def on_directory_read(self, now, began_at):
        """Decide on searches after all entries were read from the store.

        :param began_at: when the read began.
        """
        return self.searches.on_directory_read(
            now, began_at, self._asked_agents()
        )

    # Messages.

    def on_message(self, now, address, message):
        """Decide on a message of an agent or another balancer."""
        handler = _handlers_by_type.get(type(message))
        if handler is None:
            return [
                steps.LogEvent("message_unexpected", fields={"from": address})
            ]
        return handler(self, now, address, message)

    @registry.register(_handlers_by_type, tunnel.LoadReport)
    def _on_load(self, now, address, load):
        agent = self._agents_by_address.get(address)
        if agent is None or load.service != agent.entry.service_id:
            return []
        known = agent.load
        was_fresh = agent.is_fresh(now)
        if not agent.on_load(now, load):
            return []
        if was_fresh and known and known.accepting == load.accepting:
            return []
        fields = {
            "agent": agent.entry.process_id,
            "accepting": load.accepting,
            "was_silent": not was_fresh,
            "incarnation": load.incarnation,
        }
        return [steps.LogEvent("agent_state", fields=fields)]

    @registry.register(_handlers_by_type, tunnel.Owned)
    def _on_owned(self, now, address, owned):
        # The owner delivered the first segment when it was asked.
        return self._on_found(now, address, owned.key, delivered=1)

    def _on_found(self, now, address, key, delivered):
        """Note that the agent at ``address`` has a flow.

        :param delivered: waiting segments that its server has got already.
        """
        search = self.searches.end(key)
        known = self.flows_by_key.get(key)
        if known is not None and known.address == address:
            known.is_open = True
        else:
            self.flows_by_key[key] = _Flow(address, now, True)
            self._records.append(tunnel.FlowRecord(key, address))
        if search is None:
            return []
        waiting, began_at = search
        return [
            self._forward(address, data) for data in waiting[delivered:]
        ] + [
            steps.Duration("search", now - began_at),
            steps.LogEvent("flow_found", key, {"agent": "%s:%d" % address}),
        ]

    @registry.register(_handlers_by_type, tunnel.LocateReply)
    def _on_located(self, now, address, located):
        searches = self.searches
        found = []
        for key, verdict in located.verdicts:
            if not searches.is_asked(key, address):
                continue
            if verdict == tunnel.HELD:
                found += self._on_found(now, address, key, delivered=0)
            elif verdict == tunnel.ABSENT:
                found += searches.on_absent(now, address, key)
            elif verdict == tunnel.UNSURE:
                found += searches.on_unsure(now, address, key)
            else:
                searches.on_starting(now, address, key)
        return found

    @registry.register(_handlers_by_type, tunnel.NotHeld)
    def _on_not_here(self, now, address, not_here):
        return self.searches.on_absent(now, address, not_here.key)

    @registry.register(_handlers_by_type, tunnel.AgentLeft)
    def _on_left(self, now, address, _left):
        agent = self._agents_by_address.get(address)
        if agent is None:
            return []
        agent.has_left = True
        self._forget_flows_at(address)
        return [
            _agent_note("agent_left", agent.entry)
        ] + self.searches.on_left(now, address)

    @registry.register(_handlers_by_type, tunnel.Declined)
    def _on_declined(self, now, address, declined):
        segment = self.decode(declined.data)
        agent = self._agents_by_address.get(address)
        if agent is not None and agent.load is not None:
            if declined.reason not in _SINGLE_REASONS:
                agent.load = attrs.evolve(agent.load, accepting=False)
        flow = self.flows_by_key.get(segment.key)
        if flow is None:
            flow = _Flow(address, now)
        elif flow.address != address:
            return []
        note = steps.LogEvent(
            "flow_declined",
            segment.key,
            {"agent": "%s:%d" % address, "reason": declined.reason},
        )
        flow.tried.add(address)
        flow.busy += declined.reason == "busy"
        if declined.reason in _PASSING_REASONS:
            flow.may_recover = True
        return [note] + self._place(now, segment, flow)

    @registry.register(_handlers_by_type, tunnel.UnknownFlow)
    def _on_unknown(self, now, address, unknown):
        segment = self.decode(unknown.data)
        flow = self.flows_by_key.get(segment.key)
        if flow is not None and flow.address != address:
            return [self._forward(flow.address, segment.data)]
        self.flows_by_key.pop(segment.key, None)
        return self._search(now, segment, excluded=(address,))

    @registry.register(_handlers_by_type, tunnel.FlowRecords)
    def _on_flows(self, now, _address, message):
        for record in message.records:
            known = self.flows_by_key.get(record.key)
            if known is None:
                self.flows_by_key[record.key] = _Flow(
                    record.address, now, not record.is_placed
                )
            elif not (record.is_placed and known.is_open):
                known.address = record.address
        return []

    @registry.register(_handlers_by_type, tunnel.FlowRecordsRequest)
    def _on_flows_wanted(self, _now, address, _message):
        records = [
            tunnel.FlowRecord(key, flow.address, not flow.is_open)
            for key, flow in self.flows_by_key.items()
        ]
        return [
            steps.SendToPeer(address, message) for message in _batches(records)
        ]

    # Timers.

    def tick(self, now):
        """Run the timers."""
        found = []
        if self._records:
            for message in _batches(self._records):
                found += [
                    steps.SendToPeer(address, message)
                    for address in self._peers
                ]
            self._records = []
        if now - self._hello_at >= defaults.HELLO_INTERVAL_S:
            self._hello_at = now
            found += [
                self._hello(agent)
                for agent in self._agents_by_address.values()
            ]
        found += self.searches.tick(now, self._names_of)
        if now - self._swept_at >= defaults.SWEEP_INTERVAL_S:
            self._swept_at = now
            self._forget(now)
        return found

    def _names_of(self, addresses):
        """Return the ids of some agents, for a log line."""
        known = self._agents_by_address
        names = sorted(
            known[address].entry.process_id
            for address in addresses
            if address in known
        )
        return ",".join(names[: defaults.MAX_LOGGED_AGENT_IDS])

    def _forget(self, now):
        """Forget flows without segments for the time that routes allow."""
        horizon = (
            now - self.routes.idle_timeout_s - defaults.FLOW_IDLE_MARGIN_S
        )
        for key, flow in list(self.flows_by_key.items()):
            if flow.active_at < horizon:
                del self.flows_by_key[key]
        for key, deferral in list(self._deferrals_by_key.items()):
            if deferral.expires_at < now:
                del self._deferrals_by_key[key]


def _first_in_order(agents, hashed):
    """Return the first agents in the placement order of a flow's hash.

    Every process computes the same, so that a flow is found again after a
    restart of all without asking every server.
    """
    bucket = placement.bucket_of(hashed)
    return heapq.nlargest(
        defaults.PLACING_CANDIDATES,
        agents,
        key=lambda agent: agent.draws[bucket],
    )


def _batches(records):
    return [
        tunnel.FlowRecords(batch)
        for batch in tunnel.in_batches(records, tunnel.RECORDS_PER_MESSAGE)
    ]


def _agent_note(event, entry):
    return steps.LogEvent(
        event,
        fields={
            "agent": entry.process_id,
            "address": "%s:%d" % entry.address,
            "service": entry.service,
        },
    )
