"""Which agent gets a request, and whether it is sent again."""

import random
import time

import attrs

from limpetlift import defaults
from limpetlift import metrics
from limpetlift.protocol import refusal
from limpetlift.state import balancing
from limpetlift.state import retries

# These refusals come from planned stops. They add no load and are bounded by
# the number of attempts, so they need no token of the budget.
_PLANNED = ("draining", "stopping")
_FAILURES = ("connect_failed", "backend_down")


@attrs.define
class Dispatch:
    """What a balancer knows for the requests of one service.

    :param rng: source of random choices and jitter.

    .. versionadded:: 0.1
    """

    rng: random.Random = attrs.field(factory=random.Random)
    chooser: balancing.Chooser = attrs.field(init=False)
    budget: retries.RetryBudget = attrs.field(
        factory=retries.RetryBudget, init=False
    )
    backoff: retries.Backoff = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.chooser = balancing.Chooser(self.rng)
        self.backoff = retries.Backoff(self.rng)


@attrs.define
class Attempts:
    """The attempts to have one request admitted.

    :param dispatch: the :class:`Dispatch` of the service.
    :param key: idempotency key, or empty.
    """

    dispatch: Dispatch
    key: str
    tried: list = attrs.field(factory=list)
    movable: bool = False
    _hint: str = ""
    _sent_at: float = 0.0
    _open: bool = False

    def __attrs_post_init__(self):
        self.dispatch.budget.on_request(time.monotonic())

    def next_member(self, members):
        """Return the member to send the request to now, or None."""
        now = time.monotonic()
        member = self.dispatch.chooser.pick(
            now, members, self.key, self.tried, self._hint
        )
        if member is None:
            return None
        self.tried.append(member.agent_id)
        self._sent_at, self._open = now, True
        self.dispatch.chooser.on_sent(now, member.agent_id)
        # A reserved token lets the agent send the request to a peer.
        self.movable = len(
            self.tried
        ) < defaults.MAX_REQUEST_ATTEMPTS and self.dispatch.budget.take_token(
            now
        )
        return member

    def on_admitted(self):
        """Note that the agent admitted the request."""
        now = time.monotonic()
        self.dispatch.chooser.on_admitted(
            now, self.tried[-1], now - self._sent_at
        )
        self._give_back(now)

    def settle(self, outcome):
        """Note how the last attempt ended; only the first call counts."""
        if not self._open:
            return
        self._open = False
        now = time.monotonic()
        self.dispatch.chooser.on_outcome(
            now, self.tried[-1], outcome, now - self._sent_at
        )
        self._give_back(now)

    def retry_at(self, refused, members):
        """Return the time of the next attempt after a refusal, or None.

        :param refused: a :class:`limpetlift.exceptions.Refused`.
        """
        now = time.monotonic()
        movable, self.movable = self.movable, False
        failed = refused.refusal in _FAILURES
        self.settle(balancing.FAILED if failed else balancing.REFUSED)
        left = [m for m in members if m.agent_id not in self.tried]
        if not left or not self._may_retry(now, refused.refusal, movable):
            if movable:
                self.dispatch.budget.return_token(now)
            return None
        metrics.RETRIES.labels(refused.refusal).inc()
        hinted = [m for m in left if m.address == refused.retry_at]
        self._hint = hinted[0].agent_id if hinted else ""
        if hinted:
            return now
        return self.dispatch.backoff.next_at(now, len(self.tried))

    def _may_retry(self, now, code, movable):
        if not refusal.refusals_by_code[code].retryable:
            return False
        if len(self.tried) >= defaults.MAX_REQUEST_ATTEMPTS:
            return False
        if code in _PLANNED:
            if movable:
                self.dispatch.budget.return_token(now)
            return True
        return movable or self.dispatch.budget.take_token(now)

    def _give_back(self, now):
        if self.movable:
            self.movable = False
            self.dispatch.budget.return_token(now)
