"""A token bucket for the bytes that a process sends."""

import attrs

from limpetlift import defaults
from limpetlift.protocol import messages


def wire_size_bytes(message):
    """Return the bytes of a message on the wire, headers included."""
    return len(messages.encode(message)) + defaults.MESSAGE_OVERHEAD_BYTES


@attrs.define
class TokenBucket:
    """Bytes that may be sent: a rate, and one second of it as a burst.

    :param rate: bytes a second.

    .. versionadded:: 0.1
    """

    rate: float = defaults.CONTROL_BYTES_PER_S
    spent: int = 0
    _tokens: float = attrs.field(init=False)
    _filled_at: float = None

    def __attrs_post_init__(self):
        self._tokens = float(self.rate)

    def fill(self, now):
        """Add the tokens of the time since the last call."""
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self.rate
            self._tokens = min(self.rate, self._tokens + gained)
        self._filled_at = now

    def take(self, size):
        """Take ``size`` bytes if they are there; return whether they were."""
        if self._tokens < size:
            return False
        self.charge(size)
        return True

    def charge(self, size):
        """Take ``size`` bytes for a message that cannot wait.

        Heartbeats must not be late; what may wait is delayed instead.
        """
        self.spent += size
        self._tokens = max(self._tokens - size, -self.rate)
