"""Claims on idempotency keys, so that the request of a key runs at most once.

An agent that receives a request with a key claims the key: it asks the members
of its service for their votes and runs the request once a majority has granted
them. A member that has voted for another claim names the agent that made it,
which is then asked for the outcome and the stored answer.
"""

import collections
import hashlib

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.state import actions
from limpetlift.state import answers
from limpetlift.state import votes
from limpetlift.state import votesync

# Statuses of a key at an agent, sent in ``AnswerPart``. EXPIRED and RELEASED
# are only sent, never stored.
CLAIMING = "claiming"
RUNNING = "running"
DONE = "done"
EXPIRED = "expired"
UNKNOWN = "unknown"
RELEASED = "released"

MESSAGE_KINDS = (
    "Claim",
    "ClaimVote",
    "ClaimAbandon",
    "AnswerPull",
    "AnswerPart",
    "VotePull",
    "VoteTable",
    "RosterStatus",
    "RosterCopy",
)

# Results of a ``ClaimVote``. FULL: the voter stores too many keys. UNSYNCED:
# the voter still lacks votes of earlier epochs.
GRANTED = "granted"
HELD = "held"
EPOCH = "epoch"
UNSYNCED = "unsynced"
FULL = "full"

_CODE_BY_STATUS = {
    RUNNING: "key_running",
    EXPIRED: "answer_expired",
    UNKNOWN: "outcome_unknown",
}
# Ids start at the incarnation, a time in milliseconds, times this number. They
# would collide with those of a later incarnation only if an agent issued more
# than this many for each millisecond of its lifetime.
_IDS_PER_MS = 1 << 20


@attrs.frozen
class _Waiter:
    """A request that waits for the decision on its key.

    :param deadline: local time after which the request must not run.
    """

    request_id: str
    deadline: float


@attrs.define
class _Lookup:
    """A query for the outcome of a key to the agent whose claim holds it.

    :param pull_id: identifies the query in its messages.
    :param data: the part of the encoded answer received so far.
    """

    holder: votes.Holder
    pull_id: int
    data: bytes = b""


@attrs.define
class _KeyRecord:
    """State of a key that this agent has received a request for.

    :param key: digest of the idempotency key.
    :param waiters: waiting requests in order of arrival; the first one is
        granted the key.
    :param claim_deadline: time at which an undecided claim is given up.
    :param resend_at: time at which unanswered messages are sent again.
    :param resend_interval_s: time between two such messages, which doubles
        each time.
    :param status: one of CLAIMING, RUNNING, DONE and UNKNOWN.
    :param claim_id: id of the latest claim, 0 before the first.
    :param epoch: epoch of the claim.
    :param tried_epoch: epoch of the last attempt to claim or to look up.
    :param voter_ids: ids of members that voted for the claim.
    :param asked_ids: ids of members that may have voted for a claim.
    :param lookup: query to another agent that holds the key, or None.
    :param voter_full: whether a member had no space for the vote.
    """

    key: bytes
    waiters: list
    claim_deadline: float
    resend_at: float
    resend_interval_s: float = defaults.CLAIM_RESEND_S
    status: str = CLAIMING
    claim_id: int = 0
    epoch: int = 0
    tried_epoch: int = 0
    voter_ids: set = attrs.field(factory=set)
    asked_ids: set = attrs.field(factory=set)
    lookup: _Lookup | None = None
    voter_full: bool = False


def key_digest(key):
    """Return the digest that stands for an idempotency key in messages."""
    return hashlib.blake2b(
        key.encode("utf-8"), digest_size=defaults.IDEMPOTENCY_KEY_DIGEST_BYTES
    ).digest()


@attrs.define
class ClaimTable:
    """Decides for one agent which requests with a key may run.

    All event handlers return a list of actions. ``tick`` must be called at
    least every 20 ms while requests wait.

    :param agent_id: id of the agent.
    :param incarnation: start time of the agent in milliseconds.
    :param retry_window_s: time after its first attempt for which a caller may
        repeat a key.
    :param record_limit: maximum number of keys; requests and claims for
        further ones are refused with ``claims_full``.
    :param margin_s: time for which votes are stored beyond the retry window.

    .. versionadded:: 0.1
    """

    agent_id: str
    incarnation: int
    retry_window_s: float = defaults.RETRY_WINDOW_S
    record_limit: int = defaults.MAX_CLAIM_RECORDS
    margin_s: float = defaults.CLAIM_RETENTION_MARGIN_S
    vote_sync: votesync.VoteSync = attrs.field(init=False)
    _vote_store: votes.VoteStore = attrs.field(init=False)
    _answer_store: answers.AnswerStore = attrs.field(
        init=False, factory=answers.AnswerStore
    )
    _records_by_key: dict = attrs.field(init=False, factory=dict)
    # The records whose claim is not decided yet.
    _claiming_by_key: dict = attrs.field(init=False, factory=dict)
    # The records of running keys that further requests wait for.
    _awaited_by_key: dict = attrs.field(init=False, factory=dict)
    _record_by_request_id: dict = attrs.field(init=False, factory=dict)
    # ``(time, key)``: when to drop the records of finished keys.
    _expiries: collections.deque = attrs.field(
        init=False, factory=collections.deque
    )
    # Members that did not vote in time. They are asked last until a message
    # from them arrives.
    _slow_peer_ids: set = attrs.field(init=False, factory=set)
    _leaving: bool = attrs.field(init=False, default=False)
    _last_id: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._last_id = self.incarnation * _IDS_PER_MS
        self._vote_store = votes.VoteStore(self.retry_window_s + self.margin_s)
        self.vote_sync = votesync.VoteSync(
            self.agent_id,
            self.incarnation,
            self._vote_store,
            self._next_id,
            self.record_limit,
        )

    def _next_id(self):
        self._last_id += 1
        return self._last_id

    @property
    def epoch(self):
        """Number of the current epoch, or 0 without a roster."""
        return self.vote_sync.epoch

    @property
    def roster(self):
        """The current roster."""
        return self.vote_sync.epoch_sync.roster

    @property
    def may_vote(self):
        """Whether this agent may vote and claim in the current epoch."""
        return self.vote_sync.epoch_sync.may_vote and not self._leaving

    @property
    def settled_epoch(self):
        """The newest epoch that a majority is known to be synced for, or 0.

        The functions that change a roster take it as ``settled``.
        """
        return self.vote_sync.epoch_sync.settled_epoch

    def is_claimed(self, now, key):
        """Whether this agent has a claim or stores a vote for the key."""
        self._expire(now)
        key = key_digest(key)
        return key in self._records_by_key or bool(
            self._vote_store.holders(key)
        )

    # Events at the agent.

    def on_roster(self, now, roster):
        """Handle a roster that was read from or written to the store."""
        return self._with_renewed_claims(
            now, self.vote_sync.on_roster(now, roster)
        )

    def on_request(self, now, key, request_id, deadline, first_attempt=False):
        """Handle a new request with an idempotency key.

        :param deadline: local time after which the request must not run.
        :param first_attempt: whether the caller says that it sends the key for
            the first time. Ignored, because a first attempt may arrive after
            a second one.
        """
        self._expire(now)
        record = self._records_by_key.get(key_digest(key))
        if record is not None and record.status not in (CLAIMING, RUNNING):
            return self._actions_for_finished(record, request_id)
        if record is None:
            if len(self._records_by_key) >= self.record_limit:
                return [actions.Denied(request_id, "claims_full")]
            if self._leaving or not self.vote_sync.epoch_sync.is_member:
                return [actions.Denied(request_id, "roster_pending")]
            record = _KeyRecord(
                key_digest(key), [], now + defaults.CLAIM_TIMEOUT_S, now
            )
            self._records_by_key[record.key] = record
            self._claiming_by_key[record.key] = record
        elif record.status == RUNNING:
            self._awaited_by_key[record.key] = record
        record.waiters.append(_Waiter(request_id, deadline))
        self._record_by_request_id[request_id] = record
        result = []
        if len(record.waiters) == 1 and record.status == CLAIMING:
            result = self._claim_or_look_up(now, record)
        if request_id in self._record_by_request_id:
            result.append(actions.Wait(request_id))
        return result

    def _actions_for_finished(self, record, request_id):
        """Answer a request whose key has run or may have run."""
        data = self._answer_store.get(record.key)
        if record.status != DONE:
            code = _CODE_BY_STATUS[record.status]
            return [actions.Denied(request_id, code)]
        if data is None:
            return [actions.Denied(request_id, "answer_expired")]
        return [actions.Replay(request_id, answers.decode(data))]

    def on_done(self, now, key, answer):
        """Handle the end of the run that was granted for ``key``.

        :param answer: a :class:`limpetlift.state.actions.Answer`, or None
            when it was not kept.
        :raises StateError: when no request of the key is running.
        """
        record = self._running_record(key)
        if answer is not None:
            self._answer_store.put(record.key, answer)
        result = [
            (
                actions.Replay(waiter.request_id, answer)
                if answer is not None
                else actions.Denied(waiter.request_id, "answer_expired")
            )
            for waiter in self._remove_waiters(record)
        ]
        self._finish(now, record, DONE)
        return result

    def on_failed(self, now, key, ran):
        """Handle the failure of the request that was granted ``key``.

        :param ran: False when the backend server received no byte of it; then
            the next waiting request may run, or the key is released.
        :raises StateError: when no request of the key is running.
        """
        if ran:
            return self.on_outcome_unknown(now, key)
        record = self._running_record(key)
        denials = self._deny_expired(now, record, "key_running")
        if record.waiters:
            return denials + self._grant_first(record)
        return denials + self._abandon(record)

    def on_outcome_unknown(self, now, key):
        """Handle that the request granted ``key`` may or may not have run.

        :raises StateError: when no request of the key is running.
        """
        record = self._running_record(key)
        result = [
            actions.Denied(waiter.request_id, "outcome_unknown")
            for waiter in self._remove_waiters(record)
        ]
        self._finish(now, record, UNKNOWN)
        return result

    def _running_record(self, key):
        record = self._records_by_key.get(key_digest(key))
        if record is None or record.status != RUNNING:
            raise exceptions.StateError(
                "no request was granted the idempotency key %r" % key
            )
        return record

    def _finish(self, now, record, status):
        """Set the final status of a key and schedule the record's removal."""
        record.status = status
        self._awaited_by_key.pop(record.key, None)
        self._expiries.append((now + self._vote_store.retention_s, record.key))

    def on_cancel(self, now, request_id):
        """Handle a waiting request that its caller has cancelled."""
        record = self._record_by_request_id.pop(request_id, None)
        if record is None:
            return []
        record.waiters = [
            w for w in record.waiters if w.request_id != request_id
        ]
        if record.status == CLAIMING and not record.waiters:
            return self._abandon(record)
        return []

    def on_leave(self, now):
        """Prepare to leave the roster.

        The agent neither votes nor claims any more, but still sends its votes
        to members that pull them. All granted requests must have ended.
        """
        self._leaving = True
        result = []
        for record in list(self._claiming_by_key.values()):
            result += self._deny_all(record, "draining")
        return result

    def tick(self, now):
        """Handle expired timers."""
        self._expire(now)
        result = self.vote_sync.tick(now)
        for record in list(self._awaited_by_key.values()):
            result += self._deny_expired(now, record, "key_running")
            if not record.waiters:
                del self._awaited_by_key[record.key]
        for record in list(self._claiming_by_key.values()):
            if now >= record.resend_at or self._has_timed_out(now, record):
                result += self._retry(now, record)
        return self._with_renewed_claims(now, result)

    def _expire(self, now):
        self._vote_store.expire(now)
        while self._expiries and self._expiries[0][0] <= now:
            _, key = self._expiries.popleft()
            self._records_by_key.pop(key, None)
            self._answer_store.drop(key)

    # Claims of this agent.

    def _has_timed_out(self, now, record):
        return now >= record.claim_deadline or any(
            now >= waiter.deadline for waiter in record.waiters
        )

    def _retry(self, now, record):
        self._slow_peer_ids |= record.asked_ids - record.voter_ids
        record.resend_interval_s = min(
            2 * record.resend_interval_s, defaults.CLAIM_RESEND_MAX_S
        )
        return self._claim_or_look_up(now, record)

    def _with_renewed_claims(self, now, result):
        """Append the actions that claim all undecided keys in a new epoch.

        Has an effect once the agent may vote in an epoch in which it has not
        tried to claim them yet.
        """
        if self.may_vote:
            for record in list(self._claiming_by_key.values()):
                if record.tried_epoch != self.epoch:
                    result += self._claim_or_look_up(now, record)
        return result

    def _claim_or_look_up(self, now, record):
        """Request votes, or query the agent that holds the key."""
        denials = self._deny_expired(now, record, self._failure_code(record))
        if not record.waiters or now >= record.claim_deadline:
            return denials + self._deny_all(record, self._failure_code(record))
        record.resend_at = now + record.resend_interval_s
        if not self.may_vote:
            return denials
        record.tried_epoch = self.epoch
        other_holders = self._other_holders(
            record.key, self.agent_id, self.incarnation
        )
        if other_holders:
            return denials + self._look_up(record, other_holders[0])
        if record.epoch != self.epoch:
            if not self._can_add_vote(record.key):
                return denials + self._deny_all(record, "claims_full")
            self._start_claim(now, record)
        return (
            denials
            + self._request_votes(record)
            + self._check_majority(now, record)
        )

    def _other_holders(self, key, claimer, incarnation):
        """Return the holders of ``key`` other than the given incarnation."""
        return [
            holder
            for holder in self._vote_store.holders(key)
            if (holder.claimer, holder.incarnation) != (claimer, incarnation)
        ]

    def _can_add_vote(self, key):
        return len(
            self._vote_store
        ) < self.record_limit or self._vote_store.holders(key)

    def _start_claim(self, now, record):
        """Start a claim in this epoch; it replaces one of an earlier epoch."""
        record.epoch = self.epoch
        record.claim_id = self._next_id()
        record.voter_ids = {self.agent_id}
        holder = votes.Holder(self.agent_id, self.incarnation, record.claim_id)
        self._vote_store.add(now, record.key, holder)

    def _request_votes(self, record):
        """Send the claim to a majority first, then to all members.

        The first request goes to as many members as are needed for a
        majority; when it is repeated, it goes to all that have not voted.
        """
        peer_ids = [
            p
            for p in self._peer_ids_in_ring_order()
            if p not in record.voter_ids
        ]
        if not record.asked_ids & set(peer_ids):
            needed = self.roster.current.majority - len(record.voter_ids)
            peer_ids = sorted(
                peer_ids, key=lambda p: p in self._slow_peer_ids
            )[:needed]
        record.asked_ids.update(peer_ids)
        claim = messages.structs.Claim(
            key=record.key,
            claim_id=record.claim_id,
            epoch=record.epoch,
            incarnation=self.incarnation,
        )
        result = [actions.Send(agent_id, claim) for agent_id in peer_ids]
        if record.lookup is not None:
            result += self._look_up(record, record.lookup.holder)
        return result

    def _peer_ids_in_ring_order(self):
        """Return the ids of the peers, beginning after the agent's own id.

        Agents thereby begin with different members, which spreads the load.
        """
        peer_ids = sorted(self.vote_sync.peer_ids())
        return [p for p in peer_ids if p > self.agent_id] + [
            p for p in peer_ids if p < self.agent_id
        ]

    def _check_majority(self, now, record):
        """Grant the key to the first waiter if a majority has voted for it."""
        if len(record.voter_ids) < self.roster.current.majority:
            return []
        # If this agent was paused, the deadline may have passed meanwhile.
        if now >= record.claim_deadline:
            return self._deny_all(record, self._failure_code(record))
        denials = self._deny_expired(now, record, "no_quorum")
        if not record.waiters:
            return denials + self._abandon(record)
        del self._claiming_by_key[record.key]
        record.status = RUNNING
        record.lookup = None
        if len(record.waiters) > 1:
            self._awaited_by_key[record.key] = record
        return denials + self._grant_first(record)

    def _grant_first(self, record):
        waiter = record.waiters.pop(0)
        del self._record_by_request_id[waiter.request_id]
        return [actions.Granted(waiter.request_id)]

    def _deny_expired(self, now, record, code):
        """Deny the waiters whose deadline has passed."""
        expired = [w for w in record.waiters if now >= w.deadline]
        record.waiters = [w for w in record.waiters if now < w.deadline]
        return self._denials(expired, code)

    def _denials(self, waiters, code):
        for waiter in waiters:
            del self._record_by_request_id[waiter.request_id]
        return [actions.Denied(w.request_id, code) for w in waiters]

    def _remove_waiters(self, record):
        waiters, record.waiters = record.waiters, []
        for waiter in waiters:
            del self._record_by_request_id[waiter.request_id]
        return waiters

    def _failure_code(self, record):
        """Return the refusal code for a claim that is still undecided."""
        if record.lookup is not None:
            return "outcome_unknown"
        if record.voter_full:
            return "claims_full"
        return "no_quorum" if self.may_vote else "roster_pending"

    def _deny_all(self, record, code):
        """End an undecided claim and deny all its waiters with ``code``."""
        return self._denials(list(record.waiters), code) + self._abandon(
            record
        )

    def _abandon(self, record):
        """Remove the record and tell the members asked to release the key."""
        for waiter in record.waiters:
            self._record_by_request_id.pop(waiter.request_id, None)
        for records in (
            self._records_by_key,
            self._claiming_by_key,
            self._awaited_by_key,
        ):
            records.pop(record.key, None)
        if not record.claim_id:
            return []
        self._vote_store.release(
            record.key, self.agent_id, self.incarnation, record.claim_id
        )
        message = self._abandon_message(record.key, record.claim_id)
        return [
            actions.Send(peer, message) for peer in sorted(record.asked_ids)
        ]

    def _abandon_message(self, key, claim_id):
        return messages.structs.ClaimAbandon(
            key=key, claim_id=claim_id, incarnation=self.incarnation
        )

    # Queries about keys that other agents hold.

    def _look_up(self, record, holder):
        """Query the holder for the outcome of the key.

        If the holder has ended, or is another incarnation of this agent, the
        outcome is unknown.
        """
        if holder.claimer == self.agent_id or self.roster.has_ended(
            holder.claimer, holder.incarnation
        ):
            return self._deny_all(record, "outcome_unknown")
        if record.lookup is None or record.lookup.holder != holder:
            record.lookup = _Lookup(holder, self._next_id())
        return [self._request_answer(record)]

    def _request_answer(self, record):
        message = messages.structs.AnswerPull(
            key=record.key,
            claim_id=record.lookup.holder.claim_id,
            incarnation=record.lookup.holder.incarnation,
            offset=len(record.lookup.data),
            pull_id=record.lookup.pull_id,
        )
        return actions.Send(record.lookup.holder.claimer, message)

    def _on_answer_pull(self, now, sender, message):
        """Send the status of one of this agent's claims and its answer."""
        status = self._claim_status(message)
        data = b""
        if status == DONE:
            data = self._answer_store.get(message.key)
            if data is None:
                status, data = EXPIRED, b""
        offset = min(max(message.offset, 0), len(data))
        part = messages.structs.AnswerPart(
            key=message.key,
            pull_id=message.pull_id,
            status=status,
            offset=offset,
            total=len(data),
            data=data[offset : offset + defaults.MAX_PAGE_BYTES],
        )
        result = [actions.Send(sender, part)]
        if status == RELEASED:
            # The message sent when the claim was abandoned may be lost.
            abandon = self._abandon_message(message.key, message.claim_id)
            result += [
                actions.Send(p, abandon) for p in self.vote_sync.peer_ids()
            ]
        return result

    def _claim_status(self, message):
        if message.incarnation != self.incarnation:
            return UNKNOWN
        record = self._records_by_key.get(message.key)
        # An agent has at most one live claim for a key, so any other claim
        # has ended.
        if record is None or record.claim_id != message.claim_id:
            return RELEASED
        return record.status

    def _on_answer_part(self, now, sender, message):
        record = self._claiming_by_key.get(message.key)
        if (
            record is None
            or record.lookup is None
            or record.lookup.pull_id != message.pull_id
            or record.lookup.holder.claimer != sender
        ):
            return []
        if message.status in _CODE_BY_STATUS:
            return self._deny_all(record, _CODE_BY_STATUS[message.status])
        if message.status == DONE:
            return self._on_answer_data(record, message)
        holder, record.lookup = record.lookup.holder, None
        if message.status == RELEASED:
            self._vote_store.release(
                record.key, holder.claimer, holder.incarnation, holder.claim_id
            )
            return self._claim_or_look_up(now, record)
        # Both agents claim the key: the one with the lower id continues.
        if holder.claimer < self.agent_id:
            return self._deny_all(record, "claim_conflict")
        return []

    def _on_answer_data(self, record, message):
        if message.offset != len(record.lookup.data):
            return []
        record.lookup.data += message.data
        if len(record.lookup.data) < message.total:
            return [self._request_answer(record)]
        answer = answers.decode(record.lookup.data)
        result = [
            actions.Replay(waiter.request_id, answer)
            for waiter in self._remove_waiters(record)
        ]
        return result + self._abandon(record)

    # Votes for the claims of other agents.

    def _on_claim(self, now, sender, message):
        if message.epoch != self.epoch:
            result = [self._vote_reply(sender, message, EPOCH)]
            if message.epoch > self.epoch:
                result.append(actions.ReadRoster(message.epoch))
            return result
        if not self.may_vote:
            return [self._vote_reply(sender, message, UNSYNCED)]
        if not self.roster.contains(sender, message.incarnation):
            return []
        holder = votes.Holder(sender, message.incarnation, message.claim_id)
        conflicting = self._conflicting_holders(holder, message.key)
        if conflicting:
            return [self._vote_reply(sender, message, HELD, conflicting[0])]
        known_holders = self._vote_store.holders(message.key)
        # A delayed copy of a claim that a later one has replaced.
        if known_holders and known_holders[0].claim_id > message.claim_id:
            return []
        if not self._can_add_vote(message.key):
            return [self._vote_reply(sender, message, FULL)]
        self._vote_store.add(now, message.key, holder)
        return [self._vote_reply(sender, message, GRANTED)]

    def _conflicting_holders(self, holder, key):
        """Return the claims that forbid a vote for ``holder``."""
        record = self._records_by_key.get(key)
        if record is not None and record.status != CLAIMING:
            # A run may last longer than the vote for it is stored.
            return [
                votes.Holder(self.agent_id, self.incarnation, record.claim_id)
            ]
        return self._other_holders(key, holder.claimer, holder.incarnation)

    def _vote_reply(self, sender, message, result, holder=None):
        vote = messages.structs.ClaimVote(
            key=message.key,
            claim_id=message.claim_id,
            result=result,
            epoch=self.epoch,
            incarnation=self.incarnation,
        )
        if holder is not None:
            vote.claimer = holder.claimer
            vote.claimer_incarnation = holder.incarnation
            vote.holder_claim_id = holder.claim_id
        return actions.Send(sender, vote)

    def _on_claim_vote(self, now, sender, message):
        record = self._records_by_key.get(message.key)
        if record is None or record.claim_id != message.claim_id:
            if message.result != GRANTED:
                return []
            # The claim has ended meanwhile; the vote would block the key.
            abandon = self._abandon_message(message.key, message.claim_id)
            return [actions.Send(sender, abandon)]
        if record.status != CLAIMING:
            return []
        if message.result == GRANTED:
            return self._count_vote(now, record, sender, message)
        if message.result == HELD:
            return self._on_held(record, message)
        if message.result == FULL:
            record.voter_full = True
        if message.epoch > self.epoch:
            return [actions.ReadRoster(message.epoch)]
        if message.epoch < self.epoch:
            return self.vote_sync.send_roster(sender)
        return []

    def _count_vote(self, now, record, sender, message):
        if (
            message.epoch != record.epoch
            or record.epoch != self.epoch
            or not self.roster.contains(sender, message.incarnation)
        ):
            return []
        record.voter_ids.add(sender)
        return self._check_majority(now, record)

    def _on_held(self, record, message):
        if record.lookup is not None or message.claimer is None:
            return []
        holder = votes.Holder(
            message.claimer,
            message.claimer_incarnation,
            message.holder_claim_id,
        )
        if (holder.claimer, holder.incarnation) == (
            self.agent_id,
            self.incarnation,
        ):
            return []
        return self._look_up(record, holder)

    def _on_abandon(self, now, sender, message):
        self._vote_store.release(
            message.key, sender, message.incarnation, message.claim_id
        )
        return []

    # Messages.

    def on_message(self, now, sender_id, message):
        """Handle a control message of another agent.

        :param message: one of ``messages.structs`` named in MESSAGE_KINDS.
        :raises StateError: when its kind or its content is invalid.
        """
        self._expire(now)
        self._slow_peer_ids.discard(sender_id)
        handle = self._handlers().get(type(message))
        if handle is None:
            raise exceptions.StateError(
                "not a message about keys or rosters: %s"
                % type(message).__name__
            )
        return self._with_renewed_claims(now, handle(now, sender_id, message))

    def _handlers(self):
        structs = messages.structs
        return {
            structs.Claim: self._on_claim,
            structs.ClaimVote: self._on_claim_vote,
            structs.ClaimAbandon: self._on_abandon,
            structs.AnswerPull: self._on_answer_pull,
            structs.AnswerPart: self._on_answer_part,
            structs.VotePull: self.vote_sync.on_pull,
            structs.VoteTable: self.vote_sync.on_table,
            structs.RosterStatus: self.vote_sync.on_status,
            structs.RosterCopy: self._on_roster_copy,
        }

    def _on_roster_copy(self, now, sender, message):
        return self.vote_sync.on_copy(now, message)
