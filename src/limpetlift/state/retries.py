"""When a balancer may send a request again, and after which pause."""

import random

import attrs

from limpetlift import defaults


@attrs.define
class RetryBudget:
    """A token bucket that bounds retries to a share of the requests.

    The bucket starts empty, so the retries of a process never exceed this
    share of its requests, not even right after its start.

    :param tokens_per_request: tokens gained by each new request.
    :param capacity: tokens that can be saved.

    .. versionadded:: 0.1
    """

    tokens_per_request: float = defaults.RETRY_TOKENS_PER_REQUEST
    capacity: float = defaults.RETRY_TOKENS_MAX
    _tokens: float = 0.0

    def on_request(self, now):
        """Count a request of a caller; retries do not count."""
        self._tokens = min(
            self._tokens + self.tokens_per_request, self.capacity
        )

    def take_token(self, now):
        """Take a token and return whether there was one."""
        # Ten tenths add up to slightly less than one.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True

    def return_token(self, now):
        """Return a token that was taken but not used."""
        self._tokens = min(self._tokens + 1.0, self.capacity)


@attrs.define
class Backoff:
    """Jittered exponential back-off.

    The pause is uniform between 0 and a bound that doubles with each
    attempt, so that requests refused together do not return together.

    :param rng: source of the jitter.

    .. versionadded:: 0.1
    """

    rng: random.Random
    base: float = defaults.BACKOFF_BASE_S
    longest: float = defaults.BACKOFF_MAX_S

    def next_at(self, now, attempt):
        """Return the time of the next attempt.

        :param attempt: number of attempts made so far, at least 1.
        """
        bound = min(self.base * 2 ** min(attempt - 1, 32), self.longest)
        return now + self.rng.uniform(0.0, bound)
