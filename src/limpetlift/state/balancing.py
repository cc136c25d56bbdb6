"""Which agent a balancer sends a request to.

The choice rests on what this balancer has itself seen of each agent:
requests in flight, refusals, failures and latencies. Announced loads are not
used, because they lag and may be wrong.
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

# What was seen of agents that have left is kept up to this number.
_SPARE_AGENTS = 16

choices_by_name = {}


@attrs.define
class Seen:
    """What this balancer has seen of one agent.

    :param in_flight: requests sent and not yet answered.
    :param refusals: refusals in a row.
    :param failures: failures in a row.
    :param avoid_until: time until which it is a second choice.
    :param log_latency: mean of the logarithm of recent run times; a few
        stragglers hardly move it.
    :param answered_at: time of the last answer.
    :param wait: seconds that recent requests waited for a slot.
    :param waited_at: time of the last admission.
    """

    in_flight: int = 0
    refusals: int = 0
    failures: int = 0
    avoid_until: float = -math.inf
    log_latency: float | None = None
    answered_at: float = -math.inf
    wait: float = 0.0
    waited_at: float = -math.inf


@registry.register(choices_by_name, "random")
def _choose_random(chooser, now, members):
    """Any member with the same probability; the baseline."""
    return chooser.rng.choice(members)


@registry.register(choices_by_name, "two")
def _choose_two(chooser, now, members):
    """The better of two random members."""
    sample = chooser.rng.sample(members, min(2, len(members)))
    return min(sample, key=lambda member: chooser.cost(now, member))


@registry.register(choices_by_name, "least")
def _choose_least(chooser, now, members):
    """The best member, any of them when several are equally good."""
    costs = [chooser.cost(now, member) for member in members]
    least = min(costs)
    return chooser.rng.choice(
        [member for member, cost in zip(members, costs) if cost == least]
    )


@attrs.define
class Chooser:
    """Chooses agents of one service for one balancer.

    :param rng: source of random choices.
    :param choice: a key of ``choices_by_name``, for requests without a key.

    .. versionadded:: 0.1
    """

    rng: random.Random
    choice: str = "least"
    _choose: object = attrs.field(init=False, repr=False)
    _seen_by_id: dict = attrs.field(factory=dict, init=False)
    _placement: placement.Placement | None = attrs.field(
        default=None, init=False, repr=False
    )
    _fastest: float = attrs.field(default=math.inf, init=False)
    # Kept, because every cost needs it and only an answer changes it.
    _typical_s: float = attrs.field(default=1.0, init=False)

    def __attrs_post_init__(self):
        self._choose = registry.lookup(
            choices_by_name, self.choice, "choice of agent"
        )

    def pick(self, now, members, key="", tried=(), hint=""):
        """Return the member to send a request to, or None.

        :param members: :class:`limpetlift.coordination.member.Member`
            objects that take new work.
        :param key: the idempotency key, or empty.
        :param tried: ids of agents that refused this request.
        :param hint: id of an agent that may have room, or empty.
        """
        if len(self._seen_by_id) > 2 * len(members) + _SPARE_AGENTS:
            self.retain(m.agent_id for m in members)
        left = [m for m in members if m.agent_id not in tried]
        if not left:
            return None
        for member in left:
            if member.agent_id == hint and not self._is_avoided(now, member):
                return member
        if key and self.choice != "random":
            return self._pick_keyed(now, members, left, key)
        return self._choose(self, now, left)

    def on_sent(self, now, agent_id):
        """Note that a request was sent."""
        self._seen(agent_id).in_flight += 1

    def on_admitted(self, now, agent_id, seconds):
        """Note that a request got its slot ``seconds`` after it was sent."""
        seen = self._seen(agent_id)
        self._fastest = min(self._fastest, seconds)
        waited = seconds - self._fastest
        seen.wait = (self._faded_wait(now, seen) + waited) / 2
        seen.waited_at = now

    def on_outcome(self, now, agent_id, outcome, seconds):
        """Note how a request that was sent ended.

        :param outcome: ``OK``, ``REFUSED``, ``FAILED`` or ``CANCELLED``.
        :param seconds: time since it was sent.
        """
        seen = self._seen(agent_id)
        seen.in_flight = max(seen.in_flight - 1, 0)
        if outcome == OK:
            seen.refusals = seen.failures = 0
            seen.avoid_until = -math.inf
            self._note_latency(now, seen, seconds)
        elif outcome == REFUSED:
            seen.refusals += 1
            self._avoid(
                now,
                seen,
                seen.refusals,
                defaults.AVOID_REFUSED_S,
                defaults.AVOID_REFUSED_MAX_S,
            )
        elif outcome == FAILED:
            seen.failures += 1
            self._avoid(
                now,
                seen,
                seen.failures,
                defaults.AVOID_FAILED_S,
                defaults.AVOID_FAILED_MAX_S,
            )

    def retain(self, agent_ids):
        """Forget agents that are not in ``agent_ids``."""
        for agent_id in set(self._seen_by_id) - set(agent_ids):
            del self._seen_by_id[agent_id]

    def cost(self, now, member):
        """Return a sort key; the member with the lowest one is best."""
        seen = self._seen(member.agent_id)
        # A wait seen a moment ago counts like up to one more request.
        waits = min(self._faded_wait(now, seen) / self._typical_s, 1.0)
        load = (seen.in_flight + 1 + waits) / member.weight
        return (
            self._is_avoided(now, member),
            seen.failures > 0,
            load * self._slowness(now, seen),
        )

    def _seen(self, agent_id):
        seen = self._seen_by_id.get(agent_id)
        if seen is None:
            seen = self._seen_by_id[agent_id] = Seen()
        return seen

    def _is_avoided(self, now, member):
        return self._seen(member.agent_id).avoid_until > now

    def _avoid(self, now, seen, count, base, longest):
        bound = min(base * 2 ** min(count - 1, 16), longest)
        # The jitter keeps balancers from returning to an agent together.
        until = now + self.rng.uniform(bound / 2, bound)
        seen.avoid_until = max(seen.avoid_until, until)

    def _note_latency(self, now, seen, seconds):
        value = math.log(max(seconds, 1e-6))
        if seen.log_latency is None:
            seen.log_latency = value
        seen.log_latency += (value - seen.log_latency) / 16
        seen.answered_at = now
        self._typical_s = self._typical()

    def _typical(self):
        """Return the run time of an ordinary request, in seconds."""
        known = sorted(
            seen.log_latency
            for seen in self._seen_by_id.values()
            if seen.log_latency is not None
        )
        return math.exp(known[len(known) // 2])

    def _faded_wait(self, now, seen):
        memory = defaults.WAIT_DECAY_RUNS * self._typical_s
        return seen.wait * math.exp((seen.waited_at - now) / memory)

    def _slowness(self, now, seen):
        """Return how many times slower than the others an agent is."""
        if now - seen.answered_at > defaults.LATENCY_MAX_AGE_S:
            return 1.0
        factor = math.exp(seen.log_latency) / self._typical_s
        return factor if factor > defaults.SLOW_AGENT_FACTOR else 1.0

    def _pick_keyed(self, now, members, left, key):
        """Return the best member, by placement order among equals."""
        ids = {member.agent_id for member in left}
        by_id = {member.agent_id: member for member in members}
        return min(
            (
                by_id[target.agent_id]
                for target in self._order(members, key)
                if target.agent_id in ids
            ),
            key=lambda member: self.cost(now, member),
        )

    def _order(self, members, key):
        targets = [placement.Target(m.agent_id, m.weight) for m in members]
        if self._placement is None or self._placement.targets != targets:
            self._placement = placement.Placement(targets)
        digest = hashing.flow_hash(key.encode("utf-8"))
        return self._placement.order(placement.bucket_of(digest))
