"""Pauses between failed calls of the store."""

from limpetlift import defaults


class Backoff:
    """Waits longer after each failure, up to a limit, with jitter.

    :param reactor: the event loop.
    :param rng: a :class:`random.Random`.

    .. versionadded:: 0.2
    """

    def __init__(self, reactor, rng):
        self._reactor = reactor
        self._rng = rng
        self.reset()

    def reset(self):
        """Begin with the shortest pause again."""
        self._pause_s = defaults.ANNOUNCE_RETRY_S

    async def wait(self):
        """Wait after a failure."""
        await self._reactor.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(2 * self._pause_s, defaults.ANNOUNCE_RETRY_MAX_S)
