"""At-most-once keys: claims, votes and what became of a key."""

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
# More claims than this in one incarnation per millisecond of its life would
# repeat an id of a later incarnation.
_IDS_PER_MS = 1 << 20


@attrs.frozen
class _Waiter:
    """A request that waits for its key."""

    request_id: str
    deadline: float


@attrs.define
class _Lookup:
    """A question to the agent whose claim holds the key."""

    holder: votes.Holder
    pull_id: int
    data: bytes = b""


@attrs.define
class _Run:
    """What this agent knows of a key that it was asked to run.

    :param waiters: requests in order of arrival; a grant goes to the first.
    :param claim_id: 0 before the first claim.
    :param epoch: epoch of the claim.
    :param tried_epoch: epoch of the last attempt to claim or to look up.
    :param voters: ids of members that voted for the claim.
    :param asked: ids of members that may have voted for the claim.
    """

    key: bytes
    waiters: list
    give_up_at: float
    resend_at: float
    resend_s: float = defaults.CLAIM_RESEND_S
    status: str = CLAIMING
    claim_id: int = 0
    epoch: int = 0
    tried_epoch: int = 0
    voters: set = attrs.field(factory=set)
    asked: set = attrs.field(factory=set)
    lookup: _Lookup | None = None
    full: bool = False


def digest(key):
    """Return the bytes under which an idempotency key travels."""
    return hashlib.blake2b(
        key.encode("utf-8"), digest_size=defaults.IDEMPOTENCY_KEY_DIGEST_BYTES
    ).digest()


@attrs.define
class ClaimTable:
    """Decides for one agent which requests with a key may run.

    All methods return a list of actions. ``tick`` must be called at least
    every 20 ms while requests wait.

    :param incarnation: start time of the agent in milliseconds.
    :param retry_window_s: after its first attempt, a caller may repeat a key
        for this long.
    :param record_limit: keys remembered at most; beyond it claims are
        refused with ``claims_full``.
    :param margin_s: votes are held this much longer than the retry window.

    .. versionadded:: 0.1
    """

    agent_id: str
    incarnation: int
    retry_window_s: float = defaults.RETRY_WINDOW_S
    record_limit: int = defaults.MAX_CLAIM_RECORDS
    margin_s: float = defaults.CLAIM_RETENTION_MARGIN_S
    sync: votesync.VoteSync = attrs.field(init=False)
    _book: votes.VoteBook = attrs.field(init=False)
    _answers: answers.AnswerStore = attrs.field(
        init=False, factory=answers.AnswerStore
    )
    _runs_by_key: dict = attrs.field(init=False, factory=dict)
    _claiming_by_key: dict = attrs.field(init=False, factory=dict)
    _awaited_by_key: dict = attrs.field(init=False, factory=dict)
    _run_by_request_id: dict = attrs.field(init=False, factory=dict)
    _finished: collections.deque = attrs.field(
        init=False, factory=collections.deque
    )
    _slow: set = attrs.field(init=False, factory=set)
    _leaving: bool = attrs.field(init=False, default=False)
    _last_id: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._last_id = self.incarnation * _IDS_PER_MS
        self._book = votes.VoteBook(self.retry_window_s + self.margin_s)
        self.sync = votesync.VoteSync(
            self.agent_id,
            self.incarnation,
            self._book,
            self._next_id,
            self.record_limit,
        )

    def _next_id(self):
        self._last_id += 1
        return self._last_id

    @property
    def epoch(self):
        """The current epoch, 0 without a roster."""
        return self.sync.epoch

    @property
    def roster(self):
        """The current roster."""
        return self.sync.progress.roster

    @property
    def may_vote(self):
        """Whether this agent may vote and claim in the current epoch."""
        return self.sync.progress.may_vote and not self._leaving

    @property
    def settled_epoch(self):
        """For ``roster.add`` and the others; 0 when unknown."""
        return self.sync.progress.settled_epoch

    def is_claimed(self, now, key):
        """Whether the key was claimed, here or by an agent voted for."""
        self._expire(now)
        key = digest(key)
        return key in self._runs_by_key or bool(self._book.holders(key))

    # Events of the agent.

    def on_roster(self, now, roster):
        """The roster was read from the store or written to it."""
        return self._with_claims(now, self.sync.on_roster(now, roster))

    def on_request(self, now, key, request_id, deadline, first_attempt=False):
        """A request with an idempotency key arrived.

        :param deadline: local time after which the request must not run.
        :param first_attempt: the caller's statement; it has no effect,
            because a first attempt may arrive after a second one.
        """
        self._expire(now)
        run = self._runs_by_key.get(digest(key))
        if run is not None and run.status not in (CLAIMING, RUNNING):
            return self._finished_actions(run, request_id)
        if run is None:
            if len(self._runs_by_key) >= self.record_limit:
                return [actions.Denied(request_id, "claims_full")]
            if self._leaving or not self.sync.progress.is_member:
                return [actions.Denied(request_id, "roster_pending")]
            run = _Run(digest(key), [], now + defaults.CLAIM_TIMEOUT_S, now)
            self._runs_by_key[run.key] = run
            self._claiming_by_key[run.key] = run
        elif run.status == RUNNING:
            self._awaited_by_key[run.key] = run
        run.waiters.append(_Waiter(request_id, deadline))
        self._run_by_request_id[request_id] = run
        result = []
        if len(run.waiters) == 1 and run.status == CLAIMING:
            result = self._attempt(now, run)
        if request_id in self._run_by_request_id:
            result.append(actions.Wait(request_id))
        return result

    def _finished_actions(self, run, request_id):
        data = self._answers.get(run.key)
        if run.status != DONE:
            code = _CODE_BY_STATUS[run.status]
            return [actions.Denied(request_id, code)]
        if data is None:
            return [actions.Denied(request_id, "answer_expired")]
        return [actions.Replay(request_id, answers.decode(data))]

    def on_done(self, now, key, answer):
        """The granted request of ``key`` ran.

        :param answer: an ``Answer``, or None when it was not kept.
        """
        run = self._granted_run(key)
        if answer is not None:
            self._answers.put(run.key, answer)
        result = [
            (
                actions.Replay(waiter.request_id, answer)
                if answer is not None
                else actions.Denied(waiter.request_id, "answer_expired")
            )
            for waiter in self._take_waiters(run)
        ]
        self._finish(now, run, DONE)
        return result

    def on_failed(self, now, key, ran):
        """The granted request of ``key`` failed.

        :param ran: False when the backend server got no byte of it; then
            the next waiting request may run, or the key is released.
        """
        if ran:
            return self.on_outcome_unknown(now, key)
        run = self._granted_run(key)
        late = self._deny_late(now, run, "key_running")
        if run.waiters:
            return late + self._grant(run)
        return late + self._abandon(run)

    def on_outcome_unknown(self, now, key):
        """The granted request of ``key`` may have run."""
        run = self._granted_run(key)
        result = [
            actions.Denied(waiter.request_id, "outcome_unknown")
            for waiter in self._take_waiters(run)
        ]
        self._finish(now, run, UNKNOWN)
        return result

    def _granted_run(self, key):
        run = self._runs_by_key.get(digest(key))
        if run is None or run.status != RUNNING:
            raise exceptions.StateError("the key was not granted")
        return run

    def _finish(self, now, run, status):
        run.status = status
        self._awaited_by_key.pop(run.key, None)
        self._finished.append((now + self._book.retention_s, run.key))

    def on_cancel(self, now, request_id):
        """A request that waits was cancelled by its caller."""
        run = self._run_by_request_id.pop(request_id, None)
        if run is None:
            return []
        run.waiters = [w for w in run.waiters if w.request_id != request_id]
        if run.status == CLAIMING and not run.waiters:
            return self._abandon(run)
        return []

    def on_leave(self, now):
        """The agent will write a roster without itself.

        It neither votes nor claims any more, but still hands out its votes.
        All granted requests must have ended.
        """
        self._leaving = True
        result = []
        for run in list(self._claiming_by_key.values()):
            result += self._deny(run, "draining")
        return result

    def tick(self, now):
        """Run the timers."""
        self._expire(now)
        result = self.sync.tick(now)
        for run in list(self._awaited_by_key.values()):
            result += self._deny_late(now, run, "key_running")
            if not run.waiters:
                del self._awaited_by_key[run.key]
        for run in list(self._claiming_by_key.values()):
            if now >= run.resend_at or self._is_over(now, run):
                result += self._retry(now, run)
        return self._with_claims(now, result)

    def _expire(self, now):
        self._book.expire(now)
        while self._finished and self._finished[0][0] <= now:
            _, key = self._finished.popleft()
            self._runs_by_key.pop(key, None)
            self._answers.drop(key)

    # Claims of this agent.

    def _is_over(self, now, run):
        return now >= run.give_up_at or any(
            now >= waiter.deadline for waiter in run.waiters
        )

    def _retry(self, now, run):
        self._slow |= run.asked - run.voters
        run.resend_s = min(2 * run.resend_s, defaults.CLAIM_RESEND_MAX_S)
        return self._attempt(now, run)

    def _with_claims(self, now, result):
        """After a change of epoch or of what is synced, claim again."""
        if self.may_vote:
            for run in list(self._claiming_by_key.values()):
                if run.tried_epoch != self.epoch:
                    result += self._attempt(now, run)
        return result

    def _attempt(self, now, run):
        """Ask for votes, or ask the agent that holds the key."""
        late = self._deny_late(now, run, self._give_up_code(run))
        if not run.waiters or now >= run.give_up_at:
            return late + self._deny(run, self._give_up_code(run))
        run.resend_at = now + run.resend_s
        if not self.may_vote:
            return late
        run.tried_epoch = self.epoch
        others = self._others(run.key, self.agent_id, self.incarnation)
        if others:
            return late + self._look_up(run, others[0])
        if run.epoch != self.epoch:
            if not self._has_room(run.key):
                return late + self._deny(run, "claims_full")
            self._start_claim(now, run)
        return late + self._ask(run) + self._check_won(now, run)

    def _others(self, key, claimer, incarnation):
        """Return the claims for ``key`` of all but one agent."""
        return [
            holder
            for holder in self._book.holders(key)
            if (holder.claimer, holder.incarnation) != (claimer, incarnation)
        ]

    def _has_room(self, key):
        return len(self._book) < self.record_limit or self._book.holders(key)

    def _start_claim(self, now, run):
        """Begin a claim in this epoch; an earlier one of the run is over."""
        run.epoch = self.epoch
        run.claim_id = self._next_id()
        run.voters = {self.agent_id}
        holder = votes.Holder(self.agent_id, self.incarnation, run.claim_id)
        self._book.add(now, run.key, holder)

    def _ask(self, run):
        """Ask a majority first, and everybody when it did not answer."""
        peers = [p for p in self._peers_in_turn() if p not in run.voters]
        if not run.asked & set(peers):
            needed = self.roster.current.majority - len(run.voters)
            peers = sorted(peers, key=lambda p: p in self._slow)[:needed]
        run.asked.update(peers)
        claim = messages.structs.Claim(
            key=run.key,
            claim_id=run.claim_id,
            epoch=run.epoch,
            incarnation=self.incarnation,
        )
        result = [actions.Send(agent_id, claim) for agent_id in peers]
        if run.lookup is not None:
            result += self._look_up(run, run.lookup.holder)
        return result

    def _peers_in_turn(self):
        """Return the peers from the next id on, to spread the load."""
        peers = sorted(self.sync.peers())
        return [p for p in peers if p > self.agent_id] + [
            p for p in peers if p < self.agent_id
        ]

    def _check_won(self, now, run):
        if len(run.voters) < self.roster.current.majority:
            return []
        # A claimer that was paused may be past its time by now.
        if now >= run.give_up_at:
            return self._deny(run, self._give_up_code(run))
        late = self._deny_late(now, run, "no_quorum")
        if not run.waiters:
            return late + self._abandon(run)
        del self._claiming_by_key[run.key]
        run.status = RUNNING
        run.lookup = None
        if len(run.waiters) > 1:
            self._awaited_by_key[run.key] = run
        return late + self._grant(run)

    def _grant(self, run):
        waiter = run.waiters.pop(0)
        del self._run_by_request_id[waiter.request_id]
        return [actions.Granted(waiter.request_id)]

    def _deny_late(self, now, run, code):
        late = [w for w in run.waiters if now >= w.deadline]
        run.waiters = [w for w in run.waiters if now < w.deadline]
        return self._denials(late, code)

    def _denials(self, waiters, code):
        for waiter in waiters:
            del self._run_by_request_id[waiter.request_id]
        return [actions.Denied(w.request_id, code) for w in waiters]

    def _take_waiters(self, run):
        waiters, run.waiters = run.waiters, []
        for waiter in waiters:
            del self._run_by_request_id[waiter.request_id]
        return waiters

    def _give_up_code(self, run):
        if run.lookup is not None:
            return "outcome_unknown"
        if run.full:
            return "claims_full"
        return "no_quorum" if self.may_vote else "roster_pending"

    def _deny(self, run, code):
        """End a claim without a run; all its waiters get ``code``."""
        return self._denials(list(run.waiters), code) + self._abandon(run)

    def _abandon(self, run):
        """Release the key: no request of this run will use the claim."""
        for waiter in run.waiters:
            self._run_by_request_id.pop(waiter.request_id, None)
        for runs in (
            self._runs_by_key,
            self._claiming_by_key,
            self._awaited_by_key,
        ):
            runs.pop(run.key, None)
        if not run.claim_id:
            return []
        self._book.release(
            run.key, self.agent_id, self.incarnation, run.claim_id
        )
        message = self._abandon_message(run.key, run.claim_id)
        return [actions.Send(peer, message) for peer in sorted(run.asked)]

    def _abandon_message(self, key, claim_id):
        return messages.structs.ClaimAbandon(
            key=key, claim_id=claim_id, incarnation=self.incarnation
        )

    # Questions about keys that other agents hold.

    def _look_up(self, run, holder):
        """Ask the holder what became of the key."""
        if holder.claimer == self.agent_id or self.roster.has_ended(
            holder.claimer, holder.incarnation
        ):
            return self._deny(run, "outcome_unknown")
        if run.lookup is None or run.lookup.holder != holder:
            run.lookup = _Lookup(holder, self._next_id())
        return [self._answer_pull(run)]

    def _answer_pull(self, run):
        message = messages.structs.AnswerPull(
            key=run.key,
            claim_id=run.lookup.holder.claim_id,
            incarnation=run.lookup.holder.incarnation,
            offset=len(run.lookup.data),
            pull_id=run.lookup.pull_id,
        )
        return actions.Send(run.lookup.holder.claimer, message)

    def _on_answer_pull(self, now, sender, message):
        """Tell what became of a claim of this agent."""
        status = self._status_of(message)
        data = b""
        if status == DONE:
            data = self._answers.get(message.key)
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
            # The first message about the end of the claim may be lost.
            abandon = self._abandon_message(message.key, message.claim_id)
            result += [actions.Send(p, abandon) for p in self.sync.peers()]
        return result

    def _status_of(self, message):
        if message.incarnation != self.incarnation:
            return UNKNOWN
        run = self._runs_by_key.get(message.key)
        # Claims of one agent for a key follow each other.
        if run is None or run.claim_id != message.claim_id:
            return RELEASED
        return run.status

    def _on_answer_part(self, now, sender, message):
        run = self._claiming_by_key.get(message.key)
        if (
            run is None
            or run.lookup is None
            or run.lookup.pull_id != message.pull_id
            or run.lookup.holder.claimer != sender
        ):
            return []
        if message.status in _CODE_BY_STATUS:
            return self._deny(run, _CODE_BY_STATUS[message.status])
        if message.status == DONE:
            return self._on_answer_data(run, message)
        holder, run.lookup = run.lookup.holder, None
        if message.status == RELEASED:
            self._book.release(
                run.key, holder.claimer, holder.incarnation, holder.claim_id
            )
            return self._attempt(now, run)
        # Two agents claim the key: the one with the lower id goes on.
        if holder.claimer < self.agent_id:
            return self._deny(run, "claim_conflict")
        return []

    def _on_answer_data(self, run, message):
        if message.offset != len(run.lookup.data):
            return []
        run.lookup.data += message.data
        if len(run.lookup.data) < message.total:
            return [self._answer_pull(run)]
        answer = answers.decode(run.lookup.data)
        result = [
            actions.Replay(waiter.request_id, answer)
            for waiter in self._take_waiters(run)
        ]
        return result + self._abandon(run)

    # Votes for the claims of other agents.

    def _on_claim(self, now, sender, message):
        if message.epoch != self.epoch:
            result = [self._vote(sender, message, EPOCH)]
            if message.epoch > self.epoch:
                result.append(actions.ReadRoster(message.epoch))
            return result
        if not self.may_vote:
            return [self._vote(sender, message, UNSYNCED)]
        if not self.roster.contains(sender, message.incarnation):
            return []
        holder = votes.Holder(sender, message.incarnation, message.claim_id)
        others = self._holders_against(holder, message.key)
        if others:
            return [self._vote(sender, message, HELD, others[0])]
        known = self._book.holders(message.key)
        if known and known[0].claim_id > message.claim_id:
            return []
        if not self._has_room(message.key):
            return [self._vote(sender, message, FULL)]
        self._book.add(now, message.key, holder)
        return [self._vote(sender, message, GRANTED)]

    def _holders_against(self, holder, key):
        """Return the claims that forbid a vote for ``holder``."""
        run = self._runs_by_key.get(key)
        if run is not None and run.status != CLAIMING:
            # The run may be longer than the vote for it is kept.
            return [
                votes.Holder(self.agent_id, self.incarnation, run.claim_id)
            ]
        return self._others(key, holder.claimer, holder.incarnation)

    def _vote(self, sender, message, result, holder=None):
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
        run = self._runs_by_key.get(message.key)
        if run is None or run.claim_id != message.claim_id:
            if message.result != GRANTED:
                return []
            # A vote that arrives late would block the key.
            abandon = self._abandon_message(message.key, message.claim_id)
            return [actions.Send(sender, abandon)]
        if run.status != CLAIMING:
            return []
        if message.result == GRANTED:
            return self._count_vote(now, run, sender, message)
        if message.result == HELD:
            return self._on_held(run, message)
        if message.result == FULL:
            run.full = True
        if message.epoch > self.epoch:
            return [actions.ReadRoster(message.epoch)]
        if message.epoch < self.epoch:
            return self.sync.copy_to(sender)
        return []

    def _count_vote(self, now, run, sender, message):
        if (
            message.epoch != run.epoch
            or run.epoch != self.epoch
            or not self.roster.contains(sender, message.incarnation)
        ):
            return []
        run.voters.add(sender)
        return self._check_won(now, run)

    def _on_held(self, run, message):
        if run.lookup is not None or message.claimer is None:
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
        return self._look_up(run, holder)

    def _on_abandon(self, now, sender, message):
        self._book.release(
            message.key, sender, message.incarnation, message.claim_id
        )
        return []

    # Messages.

    def on_message(self, now, sender_id, message):
        """A control message of another agent arrived.

        :raises StateError: when its content is impossible.
        """
        self._expire(now)
        self._slow.discard(sender_id)
        handle = self._handlers().get(type(message))
        if handle is None:
            raise exceptions.StateError(
                "no claim message: %s" % type(message).__name__
            )
        return self._with_claims(now, handle(now, sender_id, message))

    def _handlers(self):
        structs = messages.structs
        return {
            structs.Claim: self._on_claim,
            structs.ClaimVote: self._on_claim_vote,
            structs.ClaimAbandon: self._on_abandon,
            structs.AnswerPull: self._on_answer_pull,
            structs.AnswerPart: self._on_answer_part,
            structs.VotePull: self.sync.on_pull,
            structs.VoteTable: self.sync.on_table,
            structs.RosterStatus: self.sync.on_status,
            structs.RosterCopy: self._on_copy,
        }

    def _on_copy(self, now, sender, message):
        return self.sync.on_copy(now, message)
