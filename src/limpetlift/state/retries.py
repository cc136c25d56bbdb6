"""Retry budget and backoff of a balancer."""

import random

import attrs

from limpetlift import defaults


@attrs.define
class RetryBudget:
    """A token bucket that limits retries to a share of the requests.

    The bucket starts empty, so that the retries of a process never exceed that
    share, not even right after its start.

    :param tokens_per_request: tokens added by each new request.
    :param capacity: largest number of tokens that the bucket holds.

    .. versionadded:: 0.1
    """

    tokens_per_request: float = defaults.RETRY_TOKENS_PER_REQUEST
    capacity: float = defaults.RETRY_TOKENS_MAX
    _tokens: float = 0.0

    def on_request(self, now):
        """Add the tokens of a request of a caller; not called for retries."""
        self._tokens = min(
            self._tokens + self.tokens_per_request, self.capacity
        )

    def take_token(self, now):
        """Take a token and return True, or return False if there is none."""
        # Ten times 0.1 add up to slightly less than 1.0 in floating point.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True

    def return_token(self, now):
        """Return a token that was taken but not used."""
        self._tokens = min(self._tokens + 1.0, self.capacity)


@attrs.define
class Backoff:
    """Exponential backoff with full jitter.

    The pause is drawn uniformly between 0 and a bound that doubles with each
    attempt, so that requests refused at the same time are not sent again at
    the same time.

    :param rng: source of the jitter.
    :param base_s: bound of the pause after the first attempt.
    :param max_s: largest bound.

    .. versionadded:: 0.1
    """

    rng: random.Random
    base_s: float = defaults.BACKOFF_BASE_S
    max_s: float = defaults.BACKOFF_MAX_S

    def next_at(self, now, attempt):
        """Return the time of the next attempt.

        :param attempt: number of attempts made so far, at least 1.
        """
        bound_s = min(self.base_s * 2 ** min(attempt - 1, 32), self.max_s)
        return now + self.rng.uniform(0.0, bound_s)
