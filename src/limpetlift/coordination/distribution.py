"""Configuration revisions in a process, and their way between processes.

A revision that a process holds is put in force when two of its three
*witnesses* hold it as well. The witnesses are the balancers that follow the
process on a ring of hashed ids. After a restart the process asks the same
witnesses, so that it finds what it had in force even when the store is down.
A process without two witnesses trusts the store alone.
"""

import bisect
import hashlib
import json
import random as random_module

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.protocol import messages

LOG = logs.EventLogger("distribution")


@attrs.frozen
class Head:
    """What identifies a revision of the configuration.

    :param digest: of the bytes, as bytes.
    :param size: number of bytes.
    :param token: of the writer; names the chunks in the store. Empty when
        the head came from a peer.
    """

    revision: int
    digest: bytes
    size: int
    token: str = attrs.field(default="", eq=False)

    def to_bytes(self, **remarks):
        """Return the value of the head in the store."""
        fields = dict(
            remarks,
            revision=self.revision,
            digest=self.digest.hex(),
            size=self.size,
            chunks=len(range(0, self.size, defaults.CONFIG_CHUNK_BYTES)),
            token=self.token,
        )
        return json.dumps(fields, sort_keys=True).encode("utf-8")


NOTHING = Head(0, b"", 0)


def head_from_bytes(data):
    """Return the :class:`Head` in a value of the store.

    :raises ConfigIncomplete: when the value is not a head.
    """
    try:
        fields = json.loads(data)
        return Head(
            int(fields["revision"]),
            bytes.fromhex(fields["digest"]),
            int(fields["size"]),
            str(fields["token"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.ConfigIncomplete("not a head: %s" % error) from error


def digest_of(data):
    """Return the digest by which ``data`` is known."""
    return hashlib.blake2b(data, digest_size=32).digest()


def split_chunks(data):
    """Return the chunks of ``data``; each fits into a value of the store."""
    size = defaults.CONFIG_CHUNK_BYTES
    return [data[at : at + size] for at in range(0, len(data), size)]


def check_data(head, data):
    """Check the bytes of a revision as a whole.

    :raises ConfigIncomplete: when they are not those of ``head``.
    """
    if len(data) != head.size or digest_of(data) != head.digest:
        raise exceptions.ConfigIncomplete(
            "revision %d: %d bytes do not match the digest"
            % (head.revision, len(data))
        )


class Ring:
    """Witnesses of each process, and the processes that each witness has.

    :param balancer_ids: the balancers that may be witnesses.
    :param agent_ids: the agents, which are witnesses of nobody.
    """

    def __init__(self, balancer_ids, agent_ids=()):
        self.balancer_ids = sorted(set(balancer_ids))
        self._balancers = sorted(map(_place, self.balancer_ids))
        self._agents = sorted(map(_place, set(agent_ids)))

    def witnesses(self, process_id):
        """Return the ids of the witnesses of ``process_id``."""
        ring = self._balancers
        first = bisect.bisect_right(ring, _place(process_id))
        found = []
        for step in range(len(ring)):
            other = ring[(first + step) % len(ring)][1]
            if other != process_id:
                found.append(other)
            if len(found) == defaults.CONFIG_WITNESSES:
                break
        return found

    def client_balancers(self, balancer_id):
        """Return the balancers that have ``balancer_id`` as a witness."""
        ring = self._balancers
        place = bisect.bisect_left(ring, _place(balancer_id))
        before = [
            ring[place - 1 - step][1]
            for step in range(min(defaults.CONFIG_WITNESSES, len(ring)))
        ]
        return [other for other in before if other != balancer_id]

    def client_agents(self, balancer_id):
        """Return the agents that have ``balancer_id`` as a witness."""
        ring = self._balancers
        if len(ring) <= defaults.CONFIG_WITNESSES:
            return [agent_id for _, agent_id in self._agents]
        place = bisect.bisect_left(ring, _place(balancer_id))
        start = ring[place - defaults.CONFIG_WITNESSES]
        low = bisect.bisect_left(self._agents, start)
        high = bisect.bisect_left(self._agents, _place(balancer_id))
        if start < ring[place]:
            chosen = self._agents[low:high]
        else:
            chosen = self._agents[low:] + self._agents[:high]
        return [agent_id for _, agent_id in chosen]


def _place(process_id):
    data = process_id.encode("utf-8")
    return hashlib.blake2b(data, digest_size=8).digest(), process_id


@attrs.frozen
class Notice:
    """What a process tells another about the revision it holds.

    :param ready: whether the sender is ready; only then is it sure that it
        holds what it held before a restart.
    :param wants_reply: whether the receiver answers with its own notice.
    :param answers_to: incarnation of the process whose question this
        answers, or 0. An answer to an earlier incarnation proves nothing,
        because it may be older than the restart.
    """

    head: Head
    ready: bool = False
    wants_reply: bool = False
    answers_to: int = 0

    def to_message(self):
        """Return the notice as a thrift ``ConfigNotice``."""
        return messages.structs.ConfigNotice(
            revision=self.head.revision,
            digest=self.head.digest,
            size=self.head.size,
            ready=self.ready,
            wants_reply=self.wants_reply,
            answers_to=self.answers_to,
        )


def notice_from_message(message):
    """Return the :class:`Notice` of a thrift ``ConfigNotice``."""
    head = Head(message.revision, message.digest, message.size)
    return Notice(head, message.ready, message.wants_reply, message.answers_to)


@attrs.frozen
class Notify:
    """Send a notice to another process."""

    agent_id: str
    notice: Notice


@attrs.frozen
class Pull:
    """Fetch the bytes of ``head`` from another process."""

    agent_id: str
    head: Head


@attrs.frozen
class ReadStore:
    """Read the current head and its bytes from the store."""


@attrs.frozen
class PutInForce:
    """Apply a revision; ``data`` are its checked bytes."""

    head: Head
    data: bytes


@attrs.define
class Distribution:
    """Decides which revision a process holds and has in force.

    :param agent_id: id of this process.
    :param incarnation: start time of this process in milliseconds.
    :param random: source of the random choices.
    :param is_balancer: whether this process may be a witness.
    :param has_store: whether the process can read the store.

    .. versionadded:: 0.1
    """

    agent_id: str
    incarnation: int
    random: random_module.Random
    is_balancer: bool = True
    has_store: bool = True
    held: Head = NOTHING
    data: bytes = b""
    in_force: Head = NOTHING
    ready: bool = False
    _ring: Ring = attrs.field(factory=lambda: Ring(()))
    _heads_by_id: dict = attrs.field(factory=dict)
    _answered: set = attrs.field(factory=set)
    _store_answered: bool = False
    _pull: tuple | None = None
    _pull_again_at_by_id: dict = attrs.field(factory=dict)
    _started_at: float | None = None
    _ask_store_at: float = 0.0
    _notice_at: float = 0.0
    _exchange_at: float = 0.0

    def on_view(self, now, balancer_ids, agent_ids=()):
        """Take over the processes that are alive, without this one's own.

        :param balancer_ids: must be complete when first given: the witnesses
            of a restarted process follow from it.
        """
        self._start(now)
        self._ring = Ring({*balancer_ids, *self._own_ids()}, agent_ids)
        known = set(balancer_ids) | set(agent_ids)
        for agent_id in set(self._heads_by_id) - known:
            del self._heads_by_id[agent_id]
            self._pull_again_at_by_id.pop(agent_id, None)
        self._answered &= known
        return self._progress(now)

    def _own_ids(self):
        return [self.agent_id] if self.is_balancer else []

    def _start(self, now):
        if self._started_at is None:
            self._started_at = now
            wait = self.random.uniform(*defaults.CONFIG_STORE_WAIT_RANGE_S)
            self._ask_store_at = now + wait

    def on_notice(self, now, sender_id, incarnation, notice):
        """A peer says which revision it holds.

        :param incarnation: of the sender.
        :param notice: the :class:`Notice`.
        """
        head = notice.head
        self._heads_by_id[sender_id] = head
        if not notice.ready:
            self._answered.discard(sender_id)
        elif notice.answers_to == self.incarnation:
            self._answered.add(sender_id)
        steps = []
        if head.revision > self.held.revision:
            steps += self._start_pull(now, sender_id, head)
        self._log_conflict(sender_id, head)
        if notice.wants_reply:
            steps.append(self._notify(sender_id, answers_to=incarnation))
        elif head.revision < self.held.revision:
            steps.append(self._notify(sender_id))
        return steps + self._progress(now)

    def on_revision(self, now, agent_id, revision):
        """A heartbeat or gossip shows a revision of another process."""
        if revision <= self.held.revision:
            return []
        return [self._notify(agent_id, wants_reply=True)]

    def _log_conflict(self, source, head):
        same = head.revision == self.held.revision
        if same and head.digest != self.held.digest:
            LOG.warning(
                "config_digest_conflict",
                revision=head.revision,
                source=source,
                digest=head.digest.hex(),
                held=self.held.digest.hex(),
            )

    def _start_pull(self, now, sender_id, head):
        if self._pull is not None and now < self._pull[1]:
            if self._pull[0].head.revision >= head.revision:
                return []
        if now < self._pull_again_at_by_id.get(sender_id, now):
            return []
        pull = Pull(sender_id, head)
        self._pull = (pull, now + defaults.CONFIG_PULL_TIMEOUT_S)
        return [pull]

    def on_pulled(self, now, head, data):
        """The bytes of ``head`` arrived from a peer.

        :raises ConfigIncomplete: when they do not match the digest.
        """
        self._pull = None
        return self._accept(now, "peer", head, data)

    def on_pull_failed(self, now):
        """The last pull failed; another peer is asked at the next tick."""
        if self._pull is not None:
            peer_id = self._pull[0].agent_id
            again_at = now + defaults.CONFIG_PULL_RETRY_S
            self._pull_again_at_by_id[peer_id] = again_at
        self._pull = None
        return []

    def on_store_read(self, now, head, data, current):
        """The store was read.

        :param head: ``NOTHING`` when the store has no configuration.
        :param current: whether the head was certainly current, not stale.
        :raises ConfigIncomplete: when ``data`` does not match the digest.
        """
        self._start(now)
        steps = self._accept(now, "store", head, data)
        if current:
            self._store_answered = True
        return steps + self._progress(now)

    def _accept(self, now, source, head, data):
        self._log_conflict(source, head)
        if head.revision <= self.held.revision:
            return self._progress(now)
        check_data(head, data)
        self.held = head
        self.data = data
        return self._spread() + self._progress(now)

    def _spread(self):
        """Notify witnesses, clients and some balancers of a new head."""
        steps = [
            self._notify(agent_id, wants_reply=True)
            for agent_id in self._witnesses()
        ]
        receivers = set()
        if self.is_balancer:
            receivers.update(self._ring.client_balancers(self.agent_id))
            receivers.update(self._ring.client_agents(self.agent_id))
            others = self._others()
            count = min(defaults.CONFIG_FANOUT, len(others))
            receivers.update(self.random.sample(others, count))
        receivers.difference_update(self._witnesses())
        return steps + [self._notify(peer) for peer in sorted(receivers)]

    def _others(self):
        return [i for i in self._ring.balancer_ids if i != self.agent_id]

    def _notify(self, agent_id, wants_reply=False, answers_to=0):
        notice = Notice(self.held, self.ready, wants_reply, answers_to)
        return Notify(agent_id, notice)

    def _witnesses(self):
        return self._ring.witnesses(self.agent_id)

    def _progress(self, now):
        """Become ready and put the held revision in force when allowed."""
        self.ready = self.ready or self._may_be_ready(now)
        steps = []
        if self.ready and self.held != self.in_force and self._is_confirmed():
            self.in_force = self.held
            steps.append(PutInForce(self.held, self.data))
        return steps

    def _recovery_peers(self):
        return sorted({*self._witnesses(), *self._client_balancers()})

    def _may_be_ready(self, now):
        if self._started_at is None or not self._has_newest():
            return False
        if self._store_answered:
            return True
        witnesses = self._answered.intersection(self._witnesses())
        if len(witnesses) < defaults.CONFIG_CONFIRMATIONS:
            return False
        if now >= self._started_at + defaults.CONFIG_CLIENT_WAIT_S:
            return True
        # A balancer may have been the witness of a revision that its own
        # witnesses have not seen yet; the processes concerned know it.
        return self._answered.issuperset(self._client_balancers())

    def _client_balancers(self):
        if not self.is_balancer:
            return []
        return self._ring.client_balancers(self.agent_id)

    def _has_newest(self):
        newest = max(
            (
                self._heads_by_id[agent_id].revision
                for agent_id in self._answered
                if agent_id in self._heads_by_id
            ),
            default=0,
        )
        return self.held.revision >= newest

    def _is_confirmed(self):
        witnesses = self._witnesses()
        holding = [
            agent_id for agent_id in witnesses if self._holds_ours(agent_id)
        ]
        needed = min(defaults.CONFIG_CONFIRMATIONS, len(witnesses))
        return len(holding) >= needed

    def _holds_ours(self, agent_id):
        head = self._heads_by_id.get(agent_id, NOTHING)
        if head.revision == self.held.revision:
            return head.digest == self.held.digest
        return head.revision > self.held.revision

    def tick(self, now):
        """Repeat what was not answered; compare with a peer now and then."""
        self._start(now)
        steps = self._progress(now) + self._retry_pull(now)
        if now >= self._notice_at:
            self._notice_at = now + defaults.CONFIG_NOTICE_INTERVAL_S
            steps += self._repeat_notices()
        if now >= self._exchange_at:
            self._exchange_at = now + defaults.ANTI_ENTROPY_INTERVAL_S
            others = self._others()
            if others:
                peer = self.random.choice(others)
                steps.append(self._notify(peer, wants_reply=True))
        if self.has_store and not self.ready and now >= self._ask_store_at:
            wait = self.random.uniform(*defaults.CONFIG_STORE_WAIT_RANGE_S)
            self._ask_store_at = now + wait
            steps.append(ReadStore())
        return steps

    def _repeat_notices(self):
        if not self.ready:
            return [
                self._notify(peer, wants_reply=True)
                for peer in self._recovery_peers()
            ]
        if self.held == self.in_force:
            return []
        return [
            self._notify(peer, wants_reply=True)
            for peer in self._witnesses()
            if not self._holds_ours(peer)
        ]

    def _retry_pull(self, now):
        if self._pull is not None and now < self._pull[1]:
            return []
        holders = [
            (head.revision, agent_id)
            for agent_id, head in sorted(self._heads_by_id.items())
            if head.revision > self.held.revision
            and now >= self._pull_again_at_by_id.get(agent_id, now)
        ]
        if not holders:
            return []
        newest = max(revision for revision, _ in holders)
        sender_id = self.random.choice(
            [agent_id for revision, agent_id in holders if revision == newest]
        )
        return self._start_pull(now, sender_id, self._heads_by_id[sender_id])
