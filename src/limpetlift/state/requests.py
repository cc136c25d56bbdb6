"""Requests at an agent: admission to a slot and the claim of a key.

A request first waits for a slot and then claims its idempotency key, so that
a request that the queue refuses costs no votes. A request that repeats the key
of a queued request (the leader) becomes its follower: it takes no slot and
waits until the leader has claimed the key or has ended.
"""

import attrs

from limpetlift import defaults
from limpetlift.state import actions


@attrs.define
class _Request:
    """A request that has not ended at this agent.

    :param key: idempotency key, or empty.
    :param deadline: local time by which the answer must be complete.
    :param first_attempt: whether the caller sends the key for the first time.
    :param arrived_at: when the balancer offered it.
    :param admitted: whether the queue gave it a slot.
    :param granted: whether it may run, holding its key if it has one.
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
    """Decides which requests run, wait, are refused or get a stored answer.

    All methods take ``now`` in seconds (monotonic) and return actions:
    ``Admit`` when a request may run, ``Refused`` when it will not run,
    ``Replay`` to answer it with the stored answer of its key, ``Send`` to send
    a message about claims, and ``ReadRoster`` and ``RosterAdopted``.

    :param queue: a :class:`limpetlift.state.admission.AdmissionQueue`.
    :param claims: a :class:`limpetlift.state.claims.ClaimTable`, or None
        when keys have no effect.

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
        """Handle a request that a balancer offers.

        :param deadline: local time by which the answer must be complete.
        :param key: idempotency key, or empty.
        :param first_attempt: whether the caller sends the key for the first
            time.
        :param queue_arguments: passed to ``AdmissionQueue.on_request``.
        """
        if self.claims is None:
            key = ""
        request = _Request(request_id, key, deadline, first_attempt, now)
        self._requests_by_id[request_id] = request
        if key and key in self._leader_by_key:
            return self._wait_for_leader(now, request)
        if key and self.claims.is_claimed(now, key):
            return self._claim(now, request)
        if key:
            self._leader_by_key[key] = request_id
        queue_actions = self.queue.on_request(
            now, request_id, deadline, **queue_arguments
        )
        return self._on_queue_actions(now, queue_actions)

    def _wait_for_leader(self, now, request):
        """Make the request a follower, or claim if the leader has claimed."""
        leader = self._requests_by_id[self._leader_by_key[request.key]]
        if leader.granted:
            return self._claim(now, request)
        followers = self._followers_by_key.setdefault(request.key, [])
        followers.append(request.request_id)
        return []

    def _claim(self, now, request):
        """Claim the key of a request, unless the request is too old."""
        if now > request.arrived_at + defaults.CLAIM_MAX_REQUEST_AGE_S:
            refused = actions.Refused(request.request_id, "deadline_passed")
            return self._end_unrun(now, request.request_id, refused)
        return self._on_claim_actions(
            now,
            self.claims.on_request(
                now,
                request.key,
                request.request_id,
                request.deadline,
                request.first_attempt,
            ),
        )

    def _on_queue_actions(self, now, queue_actions):
        """Process actions of the queue; return those left for the caller."""
        results = []
        for action in queue_actions:
            if isinstance(action, actions.Admit):
                results += self._on_admit(now, action)
            elif isinstance(action, actions.Refused):
                results += self._end_unrun(now, action.request_id, action)
            else:
                results.append(action)
        return results

    def _on_admit(self, now, action):
        """Run an admitted request, or claim its key first."""
        request = self._requests_by_id[action.request_id]
        request.admitted = True
        if not request.key:
            request.granted = True
            return [action]
        return self._claim(now, request)

    def _on_claim_actions(self, now, claim_actions):
        """Process actions of the claims; return those left for the caller."""
        results = []
        for action in claim_actions:
            if isinstance(action, actions.Granted):
                results += self._on_granted(now, action.request_id)
            elif isinstance(action, actions.Denied):
                refused = actions.Refused(action.request_id, action.code)
                results += self._end_unrun(now, action.request_id, refused)
            elif isinstance(action, actions.Replay):
                results += self._end_unrun(now, action.request_id, action)
            elif not isinstance(action, actions.Wait):
                # A message, or an action about the roster.
                results.append(action)
        return results

    def _on_granted(self, now, request_id):
        """Run a request that holds its key, if it has a slot."""
        request = self._requests_by_id[request_id]
        request.granted = True
        if not request.admitted:
            # The request waited for the key without a slot, and got the key
            # because the request that held it failed before its run and freed
            # its slot. It must queue for a slot, so it is refused and its
            # caller sends it again.
            return self._on_claim_actions(
                now, self.claims.on_failed(now, request.key, ran=False)
            ) + self._end_unrun(
                now,
                request_id,
                actions.Refused(request_id, "claim_conflict"),
            )
        self._leader_by_key[request.key] = request_id
        return [actions.Admit(request_id)] + self._claim_for_followers(
            now, request.key
        )

    def _claim_for_followers(self, now, key):
        """Let the followers of a key claim it, now that its leader runs."""
        results = []
        for follower_id in self._followers_by_key.pop(key, ()):
            if follower_id in self._requests_by_id:
                results += self._claim(now, self._requests_by_id[follower_id])
        return results

    def _end_unrun(self, now, request_id, action):
        """End a request that does not run, and its followers.

        :param action: the ``Refused`` or ``Replay`` for the request.
        """
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        results = [action]
        if request.admitted:
            results += self._on_queue_actions(
                now, self.queue.on_cancel(now, request_id)
            )
        if self._leader_by_key.get(request.key) == request_id:
            del self._leader_by_key[request.key]
            results += self._end_followers(now, request.key, action)
        return results

    def _end_followers(self, now, key, action):
        """End the followers of a key with the same action as its leader."""
        results = []
        for follower_id in self._followers_by_key.pop(key, ()):
            results += self._end_unrun(
                now, follower_id, attrs.evolve(action, request_id=follower_id)
            )
        return results

    def on_answered(self, now, request_id, run_time_s, answer):
        """Free the slot of a request whose answer is complete.

        :param run_time_s: seconds that the backend server took.
        :param answer: the :class:`limpetlift.state.actions.Answer`, or None
            when it was too large to keep.
        """
        request = self._remove(request_id)
        queue_actions = self.queue.on_finished(now, request_id, run_time_s)
        results = self._on_queue_actions(now, queue_actions)
        if request.key:
            results += self._on_claim_actions(
                now, self.claims.on_done(now, request.key, answer)
            )
        return results

    def on_failed(self, now, request_id, ran):
        """Free the slot of an admitted request that failed.

        :param ran: False when the backend server got no byte of it.
        """
        request = self._remove(request_id)
        results = self._on_queue_actions(
            now, self.queue.on_cancel(now, request_id)
        )
        if request.key:
            results += self._on_claim_actions(
                now, self.claims.on_failed(now, request.key, ran)
            )
        return results

    def _remove(self, request_id):
        request = self._requests_by_id.pop(request_id)
        if self._leader_by_key.get(request.key) == request_id:
            del self._leader_by_key[request.key]
        return request

    def on_cancel(self, now, request_id):
        """Drop a request that does not run yet and that its caller gave up."""
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        results = []
        if request.key:
            results += self._on_claim_actions(
                now, self.claims.on_cancel(now, request_id)
            )
        results += self._on_queue_actions(
            now, self.queue.on_cancel(now, request_id)
        )
        if self._leader_by_key.get(request.key) == request_id:
            del self._leader_by_key[request.key]
            results += self._end_followers(
                now,
                request.key,
                actions.Refused(request_id, "claim_conflict"),
            )
        return results

    def on_message(self, now, sender_id, message):
        """Process a control message about claims."""
        return self._on_claim_actions(
            now, self.claims.on_message(now, sender_id, message)
        )

    def on_roster(self, now, roster):
        """Adopt a new roster of the service."""
        return self._on_claim_actions(now, self.claims.on_roster(now, roster))

    def drain(self, now):
        """Refuse all waiting and new requests."""
        return self._on_queue_actions(now, self.queue.drain(now))

    def leave(self, now):
        """Stop voting and claiming; all granted requests must have ended."""
        return self._on_claim_actions(now, self.claims.on_leave(now))

    def tick(self, now):
        """Run the timers of the queue and of the claims."""
        results = self._on_queue_actions(now, self.queue.tick(now))
        if self.claims is not None:
            results += self._on_claim_actions(now, self.claims.tick(now))
        return results
