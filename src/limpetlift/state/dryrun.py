"""Dry run of a new flow: where it would go now, and why.

:class:`~limpetlift.state.steering.FlowSteering` itself decides, on a copy of
the state that it uses for the flow. Its steps are not carried out, so that no
message is sent and nothing changes. Agents cannot be asked for
their loads. Each one that answered the last question counts as answering what
it reported last.
"""

import copy

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift.scheduling import polling
from limpetlift.state import searching
from limpetlift.state import steering
from limpetlift.state import steps
from limpetlift.state import unlisted

# More than the times that a flow waits for answers until it is decided.
_MAX_WAITS = 20
# Agents of one service that a poll asks at most; see Poll.widen().
_MAX_ASKED = 2 * defaults.PLACING_CANDIDATES * defaults.MAX_POLL_ROUNDS

# Outcomes for an agent, in the answer of :func:`explain`.
CHOSEN = "chosen"
ACCEPTS = "accepts"
QUEUE_TOO_LONG = "queue_too_long"
LEFT_OUT = "left_out"
NOT_ACCEPTING = "not_accepting"
LOAD_UNKNOWN = "load_unknown"
SILENT = "silent"
NOT_ASKED = "not_asked"
EVACUATED = "evacuated"
LEFT = "left"


@attrs.define
class _Stage:
    """The agents of one service that the flow may go to.

    :param service: name of the service.
    :param poll: the :class:`~limpetlift.scheduling.polling.Poll`.
    :param agents: its candidates in the order of the flow.
    :param window: those whose loads were compared.
    """

    service: str
    poll: object
    agents: list
    window: list = attrs.field(factory=list)


class _DryRun(steering.FlowSteering):
    """A copy of the decisions of a balancer for one flow.

    It records the candidates of the flow and the calls of policies. State
    that other modules of decisions add is copied with the rest.

    :param balancer: the :class:`~limpetlift.state.steering.FlowSteering`.
    :param now: the current time in seconds (monotonic).
    :param key: flow key.
    """

    def __init__(self, balancer, now, key):
        self.now = now
        self.stages = []
        self.choices = []
        self.max_waits_s = []
        flow = balancer.flows_by_key.get(key)
        rng = copy.deepcopy(balancer.rng)
        agents = copy.copy(balancer.agents)
        agents.by_address = dict(balancer.agents.by_address)
        agents.rng = rng
        deferral = balancer._deferrals_by_key.get(key)
        replaced = {
            "decode": balancer.decode,
            "routes": balancer.routes,
            "_routes_read": balancer._routes_read,
            "rng": rng,
            "agents": agents,
            "flows_by_key": {key: copy.deepcopy(flow)} if flow else {},
            "searches": searching.FlowSearches(),
            "_polls": polling.LoadPolls(),
            "_deferrals_by_key": (
                {key: copy.deepcopy(deferral)} if deferral else {}
            ),
            "_keepers": balancer._keepers_among(balancer._keepers.addresses),
            "_unlisted": unlisted.Exchange(balancer.address),
            "_unsent_records": [],
        }
        for field in attrs.fields(steering.FlowSteering):
            name = field.name
            if name in replaced:
                value = replaced[name]
            else:
                value = copy.deepcopy(getattr(balancer, name))
            setattr(self, name, value)
        self._original_choose, self._choose = self._choose, self._record_choice
        self.ages_s_by_address = {}
        if flow is not None and flow.address in agents.by_address:
            self._clone(agents.by_address[flow.address])

    def _clone(self, agent):
        """Return a copy of an agent that answers what it reported last."""
        address = agent.entry.address
        if address in self.ages_s_by_address:
            return agent
        agent = copy.deepcopy(agent)
        self.agents.by_address[address] = agent
        self.ages_s_by_address[address] = self.now - agent.load_received_at
        if agent.load is not None and not agent.is_silent(self.now):
            agent.load_received_at = self.now
        return agent

    def _record_choice(self, candidates, *arguments):
        self.choices.append((list(candidates), copy.deepcopy(arguments)))
        return self._original_choose(candidates, *arguments)

    def _choose_admitted(self, agents, poll):
        admitted = super()._choose_admitted(agents, poll)
        if admitted is not None:
            self.max_waits_s.append(admitted[1])
        return admitted

    def _candidates_in_order(self, poll):
        self._end_stage()
        agents = super()._candidates_in_order(poll)
        # Only these may be asked, and change thereby.
        agents[:_MAX_ASKED] = map(self._clone, agents[:_MAX_ASKED])
        self.stages.append(_Stage(poll.services[0], poll, list(agents)))
        return agents

    def _end_stage(self):
        if self.stages:
            self.stages[-1].window = list(self.stages[-1].poll.window)

    def run(self, segment):
        """Decide on a first segment; return the steps.

        Time passes until no answer is waited for any more.
        """
        now = self.now
        result = self.on_segment(now, segment)
        for _ in range(_MAX_WAITS):
            polls = self._polls.pop_all()
            if not polls:
                break
            for poll in polls:
                now = max(now, poll.decide_at, poll.placeable_at)
                result += self._advance(now, poll)
        self._end_stage()
        return result

    def describe(self, chosen_address):
        """Return the agents of the flow's services, as dictionaries.

        Agents that the placing policy compared come first, the preferred one
        first; then the other ones in the order in which they are asked.

        :param chosen_address: address of the agent that gets the flow.
        :returns: ``(candidates, counts_by_outcome)``; only agents that would
            be asked are among the candidates, all others are counted.
        """
        candidates = []
        counts_by_outcome = {}
        for stage in self.stages:
            listed = {id(agent) for agent in stage.agents}
            outcomes = [
                self._excluded_outcome(agent)
                for agent in self.agents.of_services((stage.service,))
                if id(agent) not in listed
            ] + [NOT_ASKED] * (len(stage.agents) - len(stage.window))
            for outcome in outcomes:
                counts_by_outcome[outcome] = (
                    counts_by_outcome.get(outcome, 0) + 1
                )
            ranked = self._rank(stage.window)
            ranked_ids = set(map(id, ranked))
            others = [a for a in stage.window if id(a) not in ranked_ids]
            for agent in ranked + others:
                outcome = self._outcome(
                    stage, agent, id(agent) in ranked_ids, chosen_address
                )
                candidates.append(self._facts(agent, stage.service, outcome))
        return candidates, counts_by_outcome

    def _excluded_outcome(self, agent):
        if self._is_evacuated(agent):
            return EVACUATED
        return LEFT if agent.is_gone else LEFT_OUT

    def _rank(self, window):
        """Return the agents that a policy compared, the preferred one first.

        The policy chooses among them again and again, without those that it
        has chosen already.
        """
        agents_by_address = {agent.entry.address: agent for agent in window}
        for candidates, arguments in reversed(self.choices):
            remaining = [
                candidate
                for candidate in candidates
                if candidate.agent_key in agents_by_address
            ]
            if remaining:
                break
        else:
            return []
        ranked = []
        while remaining:
            chosen = self._original_choose(remaining, *arguments)
            remaining = [c for c in remaining if c is not chosen]
            ranked.append(agents_by_address[chosen.agent_key])
        return ranked

    def _outcome(self, stage, agent, is_ranked, chosen_address):
        if agent.entry.address == chosen_address:
            return CHOSEN
        if agent.load is None:
            return LOAD_UNKNOWN
        if agent.is_silent(self.now):
            return SILENT
        if not agent.load.accepting:
            return NOT_ACCEPTING
        if not is_ranked:
            return LEFT_OUT
        if self._choose_admitted([agent], stage.poll) is None:
            return QUEUE_TOO_LONG
        return ACCEPTS

    def _facts(self, agent, service, outcome):
        address = agent.entry.address
        facts = {
            "agent": agent.entry.process_id,
            "address": "%s:%d" % address,
            "service": service,
            "data_centre": agent.entry.data_centre,
            "is_near": self._is_near(agent),
            "outcome": outcome,
            "placed": len(agent.placement_times) - (outcome == CHOSEN),
        }
        load = agent.load
        if load is not None:
            facts["age_s"] = round(self.ages_s_by_address[address], 3)
            facts.update(
                (name, getattr(load, name))
                for name in (
                    "accepting",
                    "is_recovering",
                    "is_warming",
                    "slots",
                    "busy",
                    "flows",
                    "run_ms",
                    "failure_share",
                )
            )
            if load.room != tunnel.NO_LIMIT:
                facts["room"] = load.room
        return facts


def explain(balancer, now, flow, copy_number=0):
    """Return what a balancer would do with a new flow, and why.

    :param balancer: a :class:`~limpetlift.state.steering.FlowSteering`; it
        does not change.
    :param now: the current time in seconds (monotonic).
    :param flow: id of the flow, ``caller_ip:port>service_ip:port``.
    :param copy_number: number of times that the first segment was sent before.
    :returns: a dictionary for JSON; times are in seconds or, where their
        names end in ``_ms``, in milliseconds. ``decision`` is the event that
        the balancer would log and ``fields`` are its fields; ``reset`` is the
        reason of a reset. ``candidates`` and ``counts_by_outcome`` are of
        :meth:`_DryRun.describe`.
    :raises StateError: when the id is malformed or no route is known.
    """
    try:
        key = segments.parse_key(flow)
    except ValueError as error:
        raise exceptions.StateError(
            "invalid flow %s: %s" % (ascii(flow[:80]), error)
        ) from None
    if not 0 <= copy_number <= defaults.LAST_COPY_NUMBER:
        raise exceptions.StateError(
            "invalid copy: not a number from 0 to %d"
            % defaults.LAST_COPY_NUMBER
        )
    routes = balancer.routes
    if not routes.version:
        raise exceptions.StateError("the balancer does not know any routes")
    route = routes.routes_by_address.get(segments.service_of(key))
    if route is None:
        raise exceptions.StateError(
            "no route to %s:%d in version %d of the configuration"
            % (*segments.service_of(key), routes.version)
        )
    known = balancer.flows_by_key.get(key)
    dry_run = _DryRun(balancer, now, key)
    result = dry_run.run(
        segments.Segment(
            key, True, True, False, False, False, 0, copy_number, 0, b""
        )
    )
    forwarded = [
        step
        for step in result
        if isinstance(step, steps.SendToPeer)
        and isinstance(step.message, tunnel.Forward)
    ]
    events = [
        step
        for step in result
        if isinstance(step, steps.LogEvent) and step.key == key
    ]
    resets = [step.reason for step in result if isinstance(step, steps.Reset)]
    chosen_address = forwarded[-1].address if forwarded else None
    max_wait_s = dry_run.max_waits_s[-1] if dry_run.max_waits_s else None
    candidates, counts_by_outcome = dry_run.describe(chosen_address)
    return {
        "flow": segments.format_key(key),
        "copy": copy_number,
        "data_centre": balancer.data_centre,
        "decision": events[-1].event if events else "none",
        "fields": {
            name: _plain(value)
            for name, value in (events[-1].fields if events else {}).items()
        },
        "reset": resets[-1] if resets else "",
        "agent_address": (
            "%s:%d" % chosen_address if chosen_address is not None else ""
        ),
        "is_known": known is not None,
        "is_open": known is not None and known.is_open,
        "route": route.name,
        "routes_version": routes.version,
        "aim_s": route.aim_s,
        "priority": route.priority,
        "services": [stage.service for stage in dry_run.stages],
        "placing_policy": balancer.placing_policy,
        "admission_policy": balancer.admission_policy,
        "max_wait_s": _finite(max_wait_s),
        "evacuated": [
            {
                "data_centre": data_centre,
                "revision": _plain(evacuated.revision),
                "known_s": round(now - evacuated.began_at, 3),
            }
            for data_centre, evacuated in sorted(
                balancer.evacuations.by_data_centre.items()
            )
        ],
        "candidates": candidates,
        "counts_by_outcome": counts_by_outcome,
    }


def _plain(value):
    """Return a value that JSON has: a number as it is, others as text."""
    return value if isinstance(value, (int, float)) else str(value)


def _finite(seconds):
    """Return a time, or None for one without a limit, which JSON lacks."""
    if not isinstance(seconds, (int, float)) or seconds == float("inf"):
        return None
    return round(seconds, 4)
