"""Backoff between retries of failed calls to the store."""

from limpetlift import defaults


class Backoff:
    """Exponential backoff with an upper limit and jitter.

    :param reactor: the event loop.
    :param rng: a :class:`random.Random`, for the jitter.

    .. versionadded:: 0.2
    """

    def __init__(self, reactor, rng):
        self._reactor = reactor
        self._rng = rng
        self.reset()

    def reset(self):
        """Start again with the shortest pause."""
        self._pause_s = defaults.ANNOUNCE_RETRY_S

    async def wait(self):
        """Wait after a failure and lengthen the next pause."""
        await self._reactor.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(2 * self._pause_s, defaults.ANNOUNCE_RETRY_MAX_S)
