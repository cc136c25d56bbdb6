"""Retry budget and backoff."""

import random

import hypothesis
from hypothesis import strategies

from limpetlift import defaults
from limpetlift.state import retries


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(["ask", "ask", "ask", "retry", "give back"]),
        max_size=300,
    )
)
def test_retries_stay_within_the_budget(events):
    """No order of events may permit more retries than a tenth of the requests.

    Rounding errors or returned tokens could let them exceed that share.
    """
    budget = retries.RetryBudget()
    request_count = retry_count = 0
    for event in events:
        if event == "ask":
            budget.on_request(0.0)
            request_count += 1
        elif event == "retry":
            retry_count += budget.take_token(0.0)
        elif retry_count:
            budget.return_token(0.0)
            retry_count -= 1
        assert (
            retry_count
            <= request_count * defaults.RETRY_TOKENS_PER_REQUEST + 1e-6
        )


def test_saved_tokens_are_bounded():
    """A long time without retries must not save tokens for a burst of them.

    All of them would be sent when many agents fail at once.
    """
    budget = retries.RetryBudget()
    for _ in range(10_000):
        budget.on_request(0.0)
    granted = sum(budget.take_token(0.0) for _ in range(1_000))
    assert granted == defaults.RETRY_TOKENS_MAX


def test_backoff_grows_and_has_jitter():
    """Requests refused at the same time must not be sent again together.

    Pauses without jitter, or with a bound that does not grow, would repeat the
    peak that caused the refusals.
    """
    backoff = retries.Backoff(random.Random(1))
    for attempt in (1, 2, 3, 50):
        bound_s = min(
            defaults.BACKOFF_BASE_S * 2 ** (attempt - 1),
            defaults.BACKOFF_MAX_S,
        )
        pauses_s = [backoff.next_at(5.0, attempt) - 5.0 for _ in range(200)]
        assert 0.0 <= min(pauses_s) < bound_s / 4
        assert bound_s * 3 / 4 < max(pauses_s) <= bound_s
