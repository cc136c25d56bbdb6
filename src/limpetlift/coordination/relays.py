"""Which balancers are relays.

The first balancers of a data centre in an order by hash are the candidates
for its slots. Only candidates call the store, so the number of calls follows
the number of data centres and not the number of balancers. While views
differ, a candidate may find a slot taken; it then tries again later. Nothing
depends on a slot being held by one process only: a relay reads revisions,
which only increase, and a holder that was paused does no harm.
"""

import hashlib
import random as random_module

import attrs

from limpetlift import defaults

PREFIX = "relays/"


def slot_key(data_centre, slot):
    """Return the key of a slot."""
    return "%s%s/%d" % (PREFIX, data_centre, slot)


def candidates(balancer_ids):
    """Return the ids that compete for the slots of their data centre."""

    def place(agent_id):
        data = b"relay " + agent_id.encode("utf-8")
        return hashlib.blake2b(data, digest_size=8).digest(), agent_id

    return sorted(balancer_ids, key=place)[: defaults.RELAYS_PER_DATA_CENTRE]


@attrs.frozen
class Acquire:
    """Grant a lease and write the slot with it if it is free."""

    slot: int


@attrs.frozen
class KeepAlive:
    """Renew the lease of the slot."""


@attrs.frozen
class Release:
    """Revoke the lease of the slot."""


@attrs.define
class RelaySlot:
    """Decides when this balancer tries for, renews and leaves a slot.

    :param agent_id: id of this process.
    :param random: source of the jitter.

    .. versionadded:: 0.1
    """

    agent_id: str
    random: random_module.Random
    slot: int | None = None
    _is_candidate: bool = False
    _busy: bool = False
    _next_at: float = 0.0
    _lapses_at: float = 0.0
    _failures: int = 0
    _order: list = attrs.field(factory=list)

    def on_view(self, now, balancer_ids):
        """Take over the live balancers of the own data centre."""
        chosen = self.agent_id in candidates([*balancer_ids, self.agent_id])
        if chosen and not self._is_candidate:
            # The view may still be incomplete, and the others' as well.
            wait = defaults.RELAY_SETTLE_S * self.random.uniform(1, 2)
            self._next_at = now + wait
        self._is_candidate = chosen

    def tick(self, now):
        """Return what is due, at most one action."""
        if self.slot is not None and now >= self._lapses_at:
            self.slot = None
        if self._busy:
            return []
        if self.slot is not None and not self._is_candidate:
            self._busy = True
            return [Release()]
        if now < self._next_at or not self._is_candidate:
            return []
        self._busy = True
        if self.slot is not None:
            return [KeepAlive()]
        if not self._order:
            self._order = list(range(defaults.RELAYS_PER_DATA_CENTRE))
            self.random.shuffle(self._order)
        return [Acquire(self._order.pop())]

    def on_acquired(self, now, slot):
        """The slot is held; the lease was granted after ``now`` began."""
        self._succeeded(now)
        self.slot = slot

    def on_taken(self, now):
        """Another process holds the slot."""
        self._busy = False
        wait = 0.0 if self._order else defaults.RELAY_LEASE_S
        self._next_at = now + wait * self.random.uniform(1, 2)

    def on_keep_alive(self, now, remaining_s):
        """The lease was renewed, or has lapsed when nothing remains.

        :param now: time at which the call was started.
        """
        if remaining_s > 0:
            self._succeeded(now)
            return
        self._busy = False
        self.slot = None
        self._next_at = now

    def on_released(self, now):
        """The slot was left."""
        self._busy = False
        self.slot = None

    def on_failed(self, now):
        """The store did not answer; try again after a growing pause."""
        self._busy = False
        longest = min(
            defaults.STORE_RETRY_S * 2 ** min(self._failures, 10),
            defaults.STORE_RETRY_MAX_S,
        )
        self._failures += 1
        self._next_at = now + longest * self.random.uniform(0.5, 1)

    def _succeeded(self, now):
        self._busy = False
        self._failures = 0
        self._next_at = now + defaults.RELAY_KEEP_ALIVE_INTERVAL_S
        self._lapses_at = now + defaults.RELAY_LEASE_S
