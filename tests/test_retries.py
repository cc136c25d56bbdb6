"""Retry budget and back-off."""

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
    """No order of events may give more than one retry in ten requests."""
    budget = retries.RetryBudget()
    asked = used = 0
    for event in events:
        if event == "ask":
            budget.on_request(0.0)
            asked += 1
        elif event == "retry":
            used += budget.take_token(0.0)
        elif used:
            budget.return_token(0.0)
            used -= 1
        assert used <= asked * defaults.RETRY_TOKENS_PER_REQUEST + 1e-6


def test_saved_tokens_are_bounded():
    """A quiet time must not save up a storm of retries."""
    budget = retries.RetryBudget()
    for _ in range(10_000):
        budget.on_request(0.0)
    granted = sum(budget.take_token(0.0) for _ in range(1_000))
    assert granted == defaults.RETRY_TOKENS_MAX


def test_backoff_grows_and_has_jitter():
    """Requests refused together must not return together."""
    backoff = retries.Backoff(random.Random(1))
    for attempt in (1, 2, 3, 50):
        bound = min(
            defaults.BACKOFF_BASE_S * 2 ** (attempt - 1),
            defaults.BACKOFF_MAX_S,
        )
        pauses = [backoff.next_at(5.0, attempt) - 5.0 for _ in range(200)]
        assert 0.0 <= min(pauses) < bound / 4
        assert bound * 3 / 4 < max(pauses) <= bound
