"""Choice of the agent that a balancer sends a request to.

The choice is based on what this balancer has observed of each agent: requests
in flight, refusals, failures and latencies. Announced loads are not used,
because they lag and may be wrong.
"""

import math
import random

import attrs

from limpetlift.coordination import placement
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift import registry

OK = "ok"
REFUSED = "refused"
FAILED = "failed"
CANCELLED = "cancelled"

# Observations of former members are dropped when the number of observed agents
# exceeds twice the number of members by more than this.
_MAX_SPARE_AGENTS = 16

choices_by_name = {}


@attrs.define
class AgentStats:
    """What this balancer has observed of one agent.

    :param in_flight: number of requests sent and not yet ended.
    :param refusals: refusals since the last answer.
    :param failures: failures since the last answer.
    :param avoid_until: time until which other agents are preferred.
    :param log_latency: moving average of the logarithm of the latency in
        seconds, from sending a request to its whole answer; a few stragglers
        hardly change it. None before the first answer.
    :param answered_at: time of the last answer.
    :param wait_s: moving average of the wait for a slot in seconds.
    :param wait_updated_at: time of the last admission.
    """

    in_flight: int = 0
    refusals: int = 0
    failures: int = 0
    avoid_until: float = -math.inf
    log_latency: float | None = None
    answered_at: float = -math.inf
    wait_s: float = 0.0
    wait_updated_at: float = -math.inf


@registry.register(choices_by_name, "random")
def _choose_random(chooser, now, members):
    """Return a random member; the baseline."""
    return chooser.rng.choice(members)


@registry.register(choices_by_name, "two")
def _choose_two(chooser, now, members):
    """Return the better one of two random members."""
    sample = chooser.rng.sample(members, min(2, len(members)))
    return min(sample, key=lambda member: chooser.cost(now, member))


@registry.register(choices_by_name, "least")
def _choose_least(chooser, now, members):
    """Return the best member, a random one if several are equally good."""
    costs = [chooser.cost(now, member) for member in members]
    least = min(costs)
    return chooser.rng.choice(
        [member for member, cost in zip(members, costs) if cost == least]
    )


@attrs.define
class Chooser:
    """Chooses agents of one service for the requests of one balancer.

    All methods that take ``now`` take it in seconds (monotonic).

    :param rng: source of random choices and of jitter.
    :param choice: a key of ``choices_by_name``. It applies to requests without
        an idempotency key; with ``random`` also to the others.
    :raises StateError: when there is no such choice.

    .. versionadded:: 0.1
    """

    rng: random.Random
    choice: str = "least"
    _choose: object = attrs.field(init=False, repr=False)
    _stats_by_id: dict = attrs.field(factory=dict, init=False)
    _placement: placement.Placement | None = attrs.field(
        default=None, init=False, repr=False
    )
    # Shortest time seen from sending a request to its admission; longer times
    # are taken for a wait.
    _min_admission_s: float = attrs.field(default=math.inf, init=False)
    # Cached, because every cost uses it and only an answer changes it.
    _typical_latency_s: float = attrs.field(default=1.0, init=False)

    def __attrs_post_init__(self):
        self._choose = registry.lookup(
            choices_by_name, self.choice, "choice of agent"
        )

    def pick(self, now, members, key="", tried=(), hint=""):
        """Return the member to send a request to, or None.

        :param members: :class:`limpetlift.coordination.member.Member`
            objects that take new work.
        :param key: the idempotency key, or empty.
        :param tried: ids of agents that this request was sent to already.
        :param hint: id of an agent that may have a free slot, or empty. It is
            chosen unless it was tried or is avoided.
        """
        if len(self._stats_by_id) > 2 * len(members) + _MAX_SPARE_AGENTS:
            self.retain(m.agent_id for m in members)
        untried = [m for m in members if m.agent_id not in tried]
        if not untried:
            return None
        for member in untried:
            if member.agent_id == hint and not self._is_avoided(now, member):
                return member
        if key and self.choice != "random":
            return self._pick_keyed(now, members, untried, key)
        return self._choose(self, now, untried)

    def on_sent(self, now, agent_id):
        """Record that a request was sent."""
        self._stats_of(agent_id).in_flight += 1

    def on_admitted(self, now, agent_id, elapsed_s):
        """Record that a request got a slot ``elapsed_s`` after it was sent."""
        stats = self._stats_of(agent_id)
        self._min_admission_s = min(self._min_admission_s, elapsed_s)
        waited_s = elapsed_s - self._min_admission_s
        stats.wait_s = (self._decayed_wait_s(now, stats) + waited_s) / 2
        stats.wait_updated_at = now

    def on_outcome(self, now, agent_id, outcome, elapsed_s):
        """Record how a request that was sent has ended.

        :param outcome: ``OK``, ``REFUSED``, ``FAILED`` or ``CANCELLED``.
        :param elapsed_s: seconds since it was sent.
        """
        stats = self._stats_of(agent_id)
        stats.in_flight = max(stats.in_flight - 1, 0)
        if outcome == OK:
            stats.refusals = stats.failures = 0
            stats.avoid_until = -math.inf
            self._record_latency(now, stats, elapsed_s)
        elif outcome == REFUSED:
            stats.refusals += 1
            self._avoid(
                now,
                stats,
                stats.refusals,
                defaults.AVOID_REFUSED_S,
                defaults.AVOID_REFUSED_MAX_S,
            )
        elif outcome == FAILED:
            stats.failures += 1
            self._avoid(
                now,
                stats,
                stats.failures,
                defaults.AVOID_FAILED_S,
                defaults.AVOID_FAILED_MAX_S,
            )

    def retain(self, agent_ids):
        """Drop the observations of agents that are not in ``agent_ids``."""
        for agent_id in set(self._stats_by_id) - set(agent_ids):
            del self._stats_by_id[agent_id]

    def cost(self, now, member):
        """Return a sort key; the member with the lowest one is best."""
        stats = self._stats_of(member.agent_id)
        # A recent wait counts like up to one more request in flight.
        waiting = min(
            self._decayed_wait_s(now, stats) / self._typical_latency_s, 1.0
        )
        load = (stats.in_flight + 1 + waiting) / member.weight
        return (
            self._is_avoided(now, member),
            stats.failures > 0,
            load * self._slowdown(now, stats),
        )

    def _stats_of(self, agent_id):
        stats = self._stats_by_id.get(agent_id)
        if stats is None:
            stats = self._stats_by_id[agent_id] = AgentStats()
        return stats

    def _is_avoided(self, now, member):
        return self._stats_of(member.agent_id).avoid_until > now

    def _avoid(self, now, stats, count, base_s, max_s):
        """Avoid an agent for a time that doubles with each event.

        :param count: refusals or failures since the last answer.
        """
        bound_s = min(base_s * 2 ** min(count - 1, 16), max_s)
        # Jitter, so that balancers do not return to an agent all at once.
        until = now + self.rng.uniform(bound_s / 2, bound_s)
        stats.avoid_until = max(stats.avoid_until, until)

    def _record_latency(self, now, stats, latency_s):
        log_latency = math.log(max(latency_s, 1e-6))
        if stats.log_latency is None:
            stats.log_latency = log_latency
        stats.log_latency += (log_latency - stats.log_latency) / 16
        stats.answered_at = now
        self._typical_latency_s = self._median_latency_s()

    def _median_latency_s(self):
        """Return the median over the agents of their mean latency."""
        log_latencies = sorted(
            stats.log_latency
            for stats in self._stats_by_id.values()
            if stats.log_latency is not None
        )
        return math.exp(log_latencies[len(log_latencies) // 2])

    def _decayed_wait_s(self, now, stats):
        """Return the wait at an agent, reduced by the age of that value."""
        decay_s = defaults.WAIT_DECAY_RUNS * self._typical_latency_s
        return stats.wait_s * math.exp((stats.wait_updated_at - now) / decay_s)

    def _slowdown(self, now, stats):
        """Return how many times slower than usual an agent answers.

        Factors up to ``SLOW_AGENT_FACTOR`` count as 1, and so does an agent
        without a recent answer.
        """
        if now - stats.answered_at > defaults.LATENCY_MAX_AGE_S:
            return 1.0
        factor = math.exp(stats.log_latency) / self._typical_latency_s
        return factor if factor > defaults.SLOW_AGENT_FACTOR else 1.0

    def _pick_keyed(self, now, members, untried, key):
        """Return the best untried member for an idempotency key.

        Among equals it is the first in the placement order of the key, which
        is the same at all balancers that have the same members.
        """
        untried_ids = {member.agent_id for member in untried}
        members_by_id = {member.agent_id: member for member in members}
        return min(
            (
                members_by_id[target.agent_id]
                for target in self._placement_order(members, key)
                if target.agent_id in untried_ids
            ),
            key=lambda member: self.cost(now, member),
        )

    def _placement_order(self, members, key):
        """Return the placement targets of all members, best first."""
        targets = [placement.Target(m.agent_id, m.weight) for m in members]
        if self._placement is None or self._placement.targets != targets:
            self._placement = placement.Placement(targets)
        digest = hashing.flow_hash(key.encode("utf-8"))
        return self._placement.order(placement.bucket_of(digest))
