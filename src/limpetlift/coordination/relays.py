"""Selection of the balancers that relay configurations from the store.

Each data centre has a few relay slots; a balancer that holds one watches the
configuration in the store. The candidates for the slots are the first
balancers of the data centre in the order of the hashes of their ids. Only
candidates call the store, so the number of calls grows with the number of
data centres and not with the number of balancers. While the views of the
balancers differ, there may be more candidates than slots; a candidate that
finds a slot taken tries again later.

Two processes may hold the same slot for some time, for instance after one of
them was paused. This is harmless, because relays only read revisions, which
never decrease.
"""

import hashlib
import random as random_module

import attrs

from limpetlift import defaults

PREFIX = "relays/"


def slot_key(data_centre, slot):
    """Return the key of a slot in the store."""
    return "%s%s/%d" % (PREFIX, data_centre, slot)


def candidates(balancer_ids):
    """Return the ids of the balancers that may acquire a slot.

    :param balancer_ids: ids of all live balancers of the data centre.
    """

    def sort_key(agent_id):
        data = b"relay " + agent_id.encode("utf-8")
        return hashlib.blake2b(data, digest_size=8).digest(), agent_id

    return sorted(balancer_ids, key=sort_key)[
        : defaults.RELAYS_PER_DATA_CENTRE
    ]


@attrs.frozen
class Acquire:
    """Write the slot with a new lease if it is free.

    :param slot: number of the slot in the data centre, from 0.
    """

    slot: int


@attrs.frozen
class KeepAlive:
    """Renew the lease of the slot."""


@attrs.frozen
class Release:
    """Revoke the lease of the slot."""


@attrs.define
class RelaySlot:
    """Decides when this balancer acquires, renews and releases a slot.

    At most one action is in progress. The caller reports its result by one of
    the ``on_`` methods.

    :param agent_id: id of this balancer.
    :param random: source of the jitter and of the order in which slots are
        tried.
    :param slot: number of the slot that is held, or ``None``.

    .. versionadded:: 0.1
    """

    agent_id: str
    random: random_module.Random
    slot: int | None = None
    _is_candidate: bool = False
    _call_in_progress: bool = False
    _next_call_at: float = 0.0
    _lease_lapses_at: float = 0.0
    _failure_count: int = 0
    _untried_slots: list = attrs.field(factory=list)

    def on_view(self, now, balancer_ids):
        """Set the live balancers of the data centre of this process."""
        is_candidate = self.agent_id in candidates(
            [*balancer_ids, self.agent_id]
        )
        if is_candidate and not self._is_candidate:
            # The views of this balancer and of others may be incomplete.
            wait_s = defaults.RELAY_SETTLE_S * self.random.uniform(1, 2)
            self._next_call_at = now + wait_s
        self._is_candidate = is_candidate

    def tick(self, now):
        """Return a list of the actions that are due, at most one."""
        if self.slot is not None and now >= self._lease_lapses_at:
            self.slot = None
        if self._call_in_progress:
            return []
        if self.slot is not None and not self._is_candidate:
            self._call_in_progress = True
            return [Release()]
        if now < self._next_call_at or not self._is_candidate:
            return []
        self._call_in_progress = True
        if self.slot is not None:
            return [KeepAlive()]
        if not self._untried_slots:
            self._untried_slots = list(range(defaults.RELAYS_PER_DATA_CENTRE))
            self.random.shuffle(self._untried_slots)
        return [Acquire(self._untried_slots.pop())]

    def on_acquired(self, now, slot):
        """Handle the acquisition of a slot.

        :param now: time at which the first call was started. The lease was
            granted after that, so it does not lapse before ``now`` plus
            RELAY_LEASE_S.
        :param slot: number of the slot.
        """
        self._extend_lease(now)
        self.slot = slot

    def on_taken(self, now):
        """Handle that another process holds the slot.

        Another slot is tried at once. After all slots were tried, the next
        attempt follows after one to two times RELAY_LEASE_S.
        """
        self._call_in_progress = False
        wait_s = 0.0 if self._untried_slots else defaults.RELAY_LEASE_S
        self._next_call_at = now + wait_s * self.random.uniform(1, 2)

    def on_keep_alive(self, now, remaining_s):
        """Handle the response to a renewal of the lease.

        :param now: time at which the call was started.
        :param remaining_s: seconds until the lease lapses; 0 when it has
            lapsed.
        """
        if remaining_s > 0:
            self._extend_lease(now)
            return
        self._call_in_progress = False
        self.slot = None
        self._next_call_at = now

    def on_released(self, now):
        """Handle the release of the slot."""
        self._call_in_progress = False
        self.slot = None

    def on_failed(self, now):
        """Handle a failed call; the next one follows after a backoff.

        The backoff doubles with each failure, up to STORE_RETRY_MAX_S.
        """
        self._call_in_progress = False
        max_backoff_s = min(
            defaults.STORE_RETRY_S * 2 ** min(self._failure_count, 10),
            defaults.STORE_RETRY_MAX_S,
        )
        self._failure_count += 1
        self._next_call_at = now + max_backoff_s * self.random.uniform(0.5, 1)

    def _extend_lease(self, now):
        self._call_in_progress = False
        self._failure_count = 0
        self._next_call_at = now + defaults.RELAY_KEEP_ALIVE_INTERVAL_S
        self._lease_lapses_at = now + defaults.RELAY_LEASE_S
