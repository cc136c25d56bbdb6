"""Requests at an agent: the queue for slots and the claims of keys together.

A request waits for its slot first and claims its key then, so that a request
that the queue refuses costs no votes. A repeated key that arrives while the
first request with it is queued waits for that one and takes no slot.
"""

import attrs

from limpetlift import defaults
from limpetlift.state import actions


@attrs.define
class _Request:
    """A request that this agent has not finished.

    :param admitted: whether the queue gave it a slot.
    :param granted: whether it may run.
    :param arrived_at: when the balancer offered it.
    """

    request_id: str
    key: str
    deadline: float
    first_attempt: bool
    arrived_at: float
    admitted: bool = False
    granted: bool = False


@attrs.define
class RequestTable:
    """Decides which requests run, wait, are refused or answered again.

    All methods take ``now`` in seconds (monotonic) and return actions:
    ``Admit`` when a request may run, ``Refused`` when it does not,
    ``Replay`` with the stored answer of its key, and ``Send``.

    :param queue: a :class:`limpetlift.state.admission.AdmissionQueue`.
    :param claims: a :class:`limpetlift.state.claims.ClaimTable`, or None
        where keys have no effect.

    .. versionadded:: 0.1
    """

    queue: object
    claims: object = None
    _requests_by_id: dict = attrs.field(factory=dict)
    _leader_by_key: dict = attrs.field(factory=dict)
    _followers_by_key: dict = attrs.field(factory=dict)

    def __len__(self):
        return len(self._requests_by_id)

    def on_request(
        self,
        now,
        request_id,
        deadline,
        key="",
        first_attempt=False,
        **queue_arguments,
    ):
        """A balancer offers a request.

        :param deadline: local time by which the answer must be complete.
        :param key: idempotency key, or empty.
        :param queue_arguments: passed to ``AdmissionQueue.on_request``.
        """
        if self.claims is None:
            key = ""
        request = _Request(request_id, key, deadline, first_attempt, now)
        self._requests_by_id[request_id] = request
        if key and key in self._leader_by_key:
            return self._follow(now, request)
        if key and self.claims.is_claimed(now, key):
            return self._claim(now, request)
        if key:
            self._leader_by_key[key] = request_id
        steps = self.queue.on_request(
            now, request_id, deadline, **queue_arguments
        )
        return self._on_queue(now, steps)

    def _follow(self, now, request):
        leader = self._requests_by_id[self._leader_by_key[request.key]]
        if leader.granted:
            return self._claim(now, request)
        followers = self._followers_by_key.setdefault(request.key, [])
        followers.append(request.request_id)
        return []

    def _claim(self, now, request):
        if now > request.arrived_at + defaults.CLAIM_MAX_REQUEST_AGE_S:
            refused = actions.Refused(request.request_id, "deadline_passed")
            return self._end(now, request.request_id, refused)
        return self._on_claims(
            now,
            self.claims.on_request(
                now,
                request.key,
                request.request_id,
                request.deadline,
                request.first_attempt,
            ),
        )

    def _on_queue(self, now, steps):
        """Follow up on actions of the queue."""
        results = []
        for step in steps:
            if isinstance(step, actions.Admit):
                results += self._on_admit(now, step)
            elif isinstance(step, actions.Refused):
                results += self._end(now, step.request_id, step)
            else:
                results.append(step)
        return results

    def _on_admit(self, now, step):
        request = self._requests_by_id[step.request_id]
        request.admitted = True
        if not request.key:
            request.granted = True
            return [step]
        return self._claim(now, request)

    def _on_claims(self, now, steps):
        """Follow up on actions of the claims."""
        results = []
        for step in steps:
            if isinstance(step, actions.Granted):
                results += self._on_granted(now, step.request_id)
            elif isinstance(step, actions.Denied):
                refused = actions.Refused(step.request_id, step.code)
                results += self._end(now, step.request_id, refused)
            elif isinstance(step, actions.Replay):
                results += self._end(now, step.request_id, step)
            elif not isinstance(step, actions.Wait):
                # Messages, and actions about the roster.
                results.append(step)
        return results

    def _on_granted(self, now, request_id):
        request = self._requests_by_id[request_id]
        request.granted = True
        if not request.admitted:
            # A repeated key takes over the run of a request that failed
            # before its start; its slot is free again, so it is queued anew
            # by the caller.
            return self._on_claims(
                now, self.claims.on_failed(now, request.key, ran=False)
            ) + self._end(
                now,
                request_id,
                actions.Refused(request_id, "claim_conflict"),
            )
        self._leader_by_key[request.key] = request_id
        return [actions.Admit(request_id)] + self._release(now, request.key)

    def _release(self, now, key):
        """Hand the followers of a key to the claims."""
        results = []
        for follower in self._followers_by_key.pop(key, ()):
            if follower in self._requests_by_id:
                results += self._claim(now, self._requests_by_id[follower])
        return results

    def _end(self, now, request_id, step):
        """Finish a request that does not run."""
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        results = [step]
        if request.admitted:
            results += self._on_queue(
                now, self.queue.on_cancel(now, request_id)
            )
        if self._leader_by_key.get(request.key) == request_id:
            del self._leader_by_key[request.key]
            results += self._end_followers(now, request.key, step)
        return results

    def _end_followers(self, now, key, step):
        """Give the followers what the first request with their key got."""
        results = []
        for follower in self._followers_by_key.pop(key, ()):
            results += self._end(
                now, follower, attrs.evolve(step, request_id=follower)
            )
        return results

    def on_answered(self, now, request_id, seconds, answer):
        """A request that ran is complete.

        :param seconds: how long the backend server needed.
        :param answer: the :class:`limpetlift.state.actions.Answer`, or None
            when it was too large to keep.
        """
        request = self._finish(request_id)
        steps = self.queue.on_finished(now, request_id, seconds)
        results = self._on_queue(now, steps)
        if request.key:
            results += self._on_claims(
                now, self.claims.on_done(now, request.key, answer)
            )
        return results

    def on_failed(self, now, request_id, ran):
        """A request that was admitted failed.

        :param ran: False when the backend server got no byte of it.
        """
        request = self._finish(request_id)
        results = self._on_queue(now, self.queue.on_cancel(now, request_id))
        if request.key:
            results += self._on_claims(
                now, self.claims.on_failed(now, request.key, ran)
            )
        return results

    def _finish(self, request_id):
        request = self._requests_by_id.pop(request_id)
        if self._leader_by_key.get(request.key) == request_id:
            del self._leader_by_key[request.key]
        return request

    def on_cancel(self, now, request_id):
        """The caller of a request that was not admitted has gone."""
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        results = []
        if request.key:
            results += self._on_claims(
                now, self.claims.on_cancel(now, request_id)
            )
        results += self._on_queue(now, self.queue.on_cancel(now, request_id))
        if self._leader_by_key.get(request.key) == request_id:
            del self._leader_by_key[request.key]
            results += self._end_followers(
                now,
                request.key,
                actions.Refused(request_id, "claim_conflict"),
            )
        return results

    def on_message(self, now, sender_id, message):
        """Handle a control message about claims."""
        return self._on_claims(
            now, self.claims.on_message(now, sender_id, message)
        )

    def on_roster(self, now, roster):
        """The roster of the service changed."""
        return self._on_claims(now, self.claims.on_roster(now, roster))

    def drain(self, now):
        """Refuse what waits and whatever comes."""
        return self._on_queue(now, self.queue.drain(now))

    def leave(self, now):
        """Neither vote nor claim any more; all requests have ended."""
        return self._on_claims(now, self.claims.on_leave(now))

    def tick(self, now):
        """Run the timers."""
        results = self._on_queue(now, self.queue.tick(now))
        if self.claims is not None:
            results += self._on_claims(now, self.claims.tick(now))
        return results
