"""Choice of the agent for each attempt of a request, and its retries."""

import random
import time

import attrs

from limpetlift import defaults
from limpetlift import metrics
from limpetlift.protocol import refusal
from limpetlift.state import balancing
from limpetlift.state import retries

# Refusals of a process that stops as planned. Retries after them need no token
# of the retry budget, because they add no load and MAX_REQUEST_ATTEMPTS bounds
# them.
_PLANNED_STOP_CODES = ("draining", "stopping")
_FAILURE_CODES = ("connect_failed", "backend_down")


@attrs.define
class Dispatch:
    """State that all requests of one service share at a balancer.

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
    """The attempts to have one request admitted by an agent.

    :param dispatch: the :class:`Dispatch` of the service.
    :param key: idempotency key, or empty.
    :param tried_ids: ids of the agents that got the request, in order.
    :param movable: whether the last of them may refer the request to a peer;
        a token of the retry budget is reserved for that.
    """

    dispatch: Dispatch
    key: str
    tried_ids: list = attrs.field(factory=list)
    movable: bool = False
    _hinted_id: str = ""
    _sent_at: float = 0.0
    _is_pending: bool = False

    def __attrs_post_init__(self):
        self.dispatch.budget.on_request(time.monotonic())

    def next_member(self, members):
        """Choose the agent for the next attempt, which begins now.

        :param members: records of the agents that accept new requests.
        :returns: the record of the agent, or None if there is none left.
        """
        now = time.monotonic()
        member = self.dispatch.chooser.pick(
            now, members, self.key, self.tried_ids, self._hinted_id
        )
        if member is None:
            return None
        self.tried_ids.append(member.agent_id)
        self._sent_at, self._is_pending = now, True
        self.dispatch.chooser.on_sent(now, member.agent_id)
        # The token is reserved for an attempt at a peer that the agent names.
        self.movable = len(
            self.tried_ids
        ) < defaults.MAX_REQUEST_ATTEMPTS and self.dispatch.budget.take_token(
            now
        )
        return member

    def on_admitted(self):
        """Record that the agent admitted the request."""
        now = time.monotonic()
        self.dispatch.chooser.on_admitted(
            now, self.tried_ids[-1], now - self._sent_at
        )
        self._return_reserved_token(now)

    def record_outcome(self, outcome):
        """Record the outcome of the last attempt; later calls are ignored.

        :param outcome: an outcome of :mod:`limpetlift.state.balancing`.
        """
        if not self._is_pending:
            return
        self._is_pending = False
        now = time.monotonic()
        self.dispatch.chooser.on_outcome(
            now, self.tried_ids[-1], outcome, now - self._sent_at
        )
        self._return_reserved_token(now)

    def next_attempt_at(self, refused, members):
        """Return when to make the next attempt, or None for no further one.

        :param refused: the :class:`limpetlift.exceptions.Refused` that ended
            the last attempt.
        :param members: records of the agents that accept new requests.
        :returns: monotonic time.
        """
        now = time.monotonic()
        movable, self.movable = self.movable, False
        has_failed = refused.refusal in _FAILURE_CODES
        self.record_outcome(
            balancing.FAILED if has_failed else balancing.REFUSED
        )
        untried = [
            member
            for member in members
            if member.agent_id not in self.tried_ids
        ]
        if not untried or not self._acquire_retry(
            now, refused.refusal, movable
        ):
            if movable:
                self.dispatch.budget.return_token(now)
            return None
        metrics.RETRIES.labels(refused.refusal).inc()
        hinted = [
            member for member in untried if member.address == refused.retry_at
        ]
        self._hinted_id = hinted[0].agent_id if hinted else ""
        if hinted:
            return now
        return self.dispatch.backoff.next_at(now, len(self.tried_ids))

    def _acquire_retry(self, now, code, movable):
        """Return whether to retry the request.

        Except after a planned stop, a retry uses the reserved token or takes
        one from the retry budget.
        """
        if not refusal.refusals_by_code[code].retryable:
            return False
        if len(self.tried_ids) >= defaults.MAX_REQUEST_ATTEMPTS:
            return False
        if code in _PLANNED_STOP_CODES:
            if movable:
                self.dispatch.budget.return_token(now)
            return True
        return movable or self.dispatch.budget.take_token(now)

    def _return_reserved_token(self, now):
        if self.movable:
            self.movable = False
            self.dispatch.budget.return_token(now)
