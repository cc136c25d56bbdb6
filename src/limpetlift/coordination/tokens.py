"""Rate limit for the control messages that a process sends."""

import attrs

from limpetlift import defaults
from limpetlift import structs


@structs.define
class TokenBucket:
    """Limits the bytes sent per second.

    :param rate_bytes_per_s: the rate.
    :param burst_s: the burst, in seconds of the rate.
    :param spent_bytes: bytes taken so far.

    .. versionadded:: 0.1
    """

    rate_bytes_per_s: float = defaults.CONTROL_BYTES_PER_S
    burst_s: float = 1.0
    spent_bytes: int = 0
    _tokens: float = attrs.field(init=False)
    _refilled_at: float = None

    def __attrs_post_init__(self):
        self._tokens = self._burst_bytes

    @property
    def _burst_bytes(self):
        return self.rate_bytes_per_s * self.burst_s

    @property
    def has_tokens(self):
        """Whether the balance is positive."""
        return self._tokens > 0

    def refill(self, now):
        """Add the tokens earned since the last call."""
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self.rate_bytes_per_s
            self._tokens = min(self._burst_bytes, self._tokens + gained)
        self._refilled_at = now

    def take(self, size):
        """Take ``size`` bytes if available; return whether they were."""
        if self._tokens < size:
            return False
        self.charge(size)
        return True

    def charge(self, size):
        """Take ``size`` bytes for a message that must not be delayed.

        The balance may become negative, down to one second of the rate;
        messages that may be delayed, such as gossip, wait until it recovers.
        Late heartbeats would cause false suspicions.
        """
        self.spent_bytes += size
        self._tokens = max(self._tokens - size, -self.rate_bytes_per_s)
