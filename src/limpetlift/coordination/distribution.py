"""Distribution of configuration revisions between processes.

A process puts a revision in force when it holds the revision and two of its
three *witnesses* do as well. The witnesses are the balancers that follow the
process on a ring of hashed ids. After a restart the process queries the same
witnesses and so recovers the revision that it had in force, even when the
store is down. A process with fewer than two witnesses becomes ready only after
a read of the store that is known to be current.
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
    """Identifies a revision of the configuration and its content.

    :param revision: number of the revision; 0 when there is none.
    :param digest: digest of the content, as bytes.
    :param size: size of the content in bytes.
    :param token: token of the attempt that wrote the revision; part of the
        keys of its chunks in the store. Empty when the head was received
        from a peer.
    """

    revision: int
    digest: bytes
    size: int
    token: str = attrs.field(default="", eq=False)

    def to_bytes(self, **extra_fields):
        """Return the JSON that is stored for the head.

        :param extra_fields: further fields, which readers ignore.
        """
        fields = dict(
            extra_fields,
            revision=self.revision,
            digest=self.digest.hex(),
            size=self.size,
            chunks=len(range(0, self.size, defaults.CONFIG_CHUNK_BYTES)),
            token=self.token,
        )
        return json.dumps(fields, sort_keys=True).encode("utf-8")


# The head when there is no configuration.
EMPTY_HEAD = Head(0, b"", 0)


def head_from_bytes(data):
    """Return the :class:`Head` that :meth:`Head.to_bytes` encoded.

    :raises ConfigIncomplete: when ``data`` is not the JSON of a head.
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
        raise exceptions.ConfigIncomplete(
            "invalid configuration head in the store: %s" % error
        ) from error


def compute_digest(data):
    """Return the digest that identifies the content ``data``."""
    return hashlib.blake2b(data, digest_size=32).digest()


def split_chunks(data):
    """Split ``data`` into chunks that fit into one value of the store."""
    size = defaults.CONFIG_CHUNK_BYTES
    return [data[at : at + size] for at in range(0, len(data), size)]


def check_data(head, data):
    """Check ``data`` against the size and the digest of ``head``.

    :raises ConfigIncomplete: when one of them differs.
    """
    if len(data) != head.size or compute_digest(data) != head.digest:
        raise exceptions.ConfigIncomplete(
            "configuration revision %d: content of %d bytes does not match"
            " the size and digest in the head" % (head.revision, len(data))
        )


class WitnessRing:
    """Hash ring that assigns witnesses to processes.

    The clients of a balancer are the processes that it is a witness of.

    :param balancer_ids: ids of the balancers; each may be a witness.
    :param agent_ids: ids of the agents, which are never witnesses.
    """

    def __init__(self, balancer_ids, agent_ids=()):
        self.balancer_ids = sorted(set(balancer_ids))
        self._balancers = sorted(map(_ring_position, self.balancer_ids))
        self._agents = sorted(map(_ring_position, set(agent_ids)))

    def witnesses(self, process_id):
        """Return the ids of the witnesses of a process."""
        ring = self._balancers
        first = bisect.bisect_right(ring, _ring_position(process_id))
        found = []
        for step in range(len(ring)):
            other = ring[(first + step) % len(ring)][1]
            if other != process_id:
                found.append(other)
            if len(found) == defaults.CONFIG_WITNESSES:
                break
        return found

    def client_balancers(self, balancer_id):
        """Return the ids of the balancers that are its clients."""
        ring = self._balancers
        index = bisect.bisect_left(ring, _ring_position(balancer_id))
        predecessors = [
            ring[index - 1 - step][1]
            for step in range(min(defaults.CONFIG_WITNESSES, len(ring)))
        ]
        return [other for other in predecessors if other != balancer_id]

    def client_agents(self, balancer_id):
        """Return the ids of the agents that are its clients."""
        ring = self._balancers
        if len(ring) <= defaults.CONFIG_WITNESSES:
            return [agent_id for _, agent_id in self._agents]
        index = bisect.bisect_left(ring, _ring_position(balancer_id))
        start = ring[index - defaults.CONFIG_WITNESSES]
        low = bisect.bisect_left(self._agents, start)
        high = bisect.bisect_left(self._agents, _ring_position(balancer_id))
        if start < ring[index]:
            clients = self._agents[low:high]
        else:
            clients = self._agents[low:] + self._agents[:high]
        return [agent_id for _, agent_id in clients]


def _ring_position(process_id):
    data = process_id.encode("utf-8")
    return hashlib.blake2b(data, digest_size=8).digest(), process_id


@attrs.frozen
class Notice:
    """Message that tells another process which revision the sender holds.

    :param head: head of the revision that the sender holds.
    :param ready: whether the sender is ready. Before that, a restarted sender
        may hold an older revision than before its restart.
    :param wants_reply: whether the receiver must reply with its own notice.
    :param answers_to: incarnation of the receiver at the time of the notice
        that this one replies to; 0 when it is not a reply. A reply to an
        earlier incarnation is not counted, because it may have been sent
        before the receiver restarted.
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
    """Return the :class:`Notice` in a thrift ``ConfigNotice``."""
    head = Head(message.revision, message.digest, message.size)
    return Notice(head, message.ready, message.wants_reply, message.answers_to)


@attrs.frozen
class Notify:
    """Send a notice to another process.

    :param agent_id: id of the receiver, a balancer or an agent.
    :param notice: the :class:`Notice`.
    """

    agent_id: str
    notice: Notice


@attrs.frozen
class Pull:
    """Fetch the content of a revision from another process.

    :param agent_id: id of that process, a balancer or an agent.
    :param head: head of the revision.
    """

    agent_id: str
    head: Head


@attrs.frozen
class ReadStore:
    """Read the current head and its content from the store."""


@attrs.frozen
class PutInForce:
    """Apply a revision.

    :param head: head of the revision.
    :param data: its content, which has been checked against the head.
    """

    head: Head
    data: bytes


@attrs.define
class Distribution:
    """Decides which revision a process holds and which one is in force.

    The methods return lists of actions for the caller to perform, such as
    :class:`Notify`.

    :param agent_id: id of this process, a balancer or an agent.
    :param incarnation: start time of this process in milliseconds.
    :param random: source of the random choices.
    :param is_balancer: whether this process may be a witness.
    :param has_store: whether the process can read the store.
    :param held: head of the newest revision that the process has received.
    :param data: content of ``held``.
    :param in_force: head of the revision that was last put in force.
    :param ready: whether ``held`` is at least the revision that was in force
        before a restart.

    .. versionadded:: 0.1
    """

    agent_id: str
    incarnation: int
    random: random_module.Random
    is_balancer: bool = True
    has_store: bool = True
    held: Head = EMPTY_HEAD
    data: bytes = b""
    in_force: Head = EMPTY_HEAD
    ready: bool = False
    _ring: WitnessRing = attrs.field(factory=lambda: WitnessRing(()))
    _heads_by_id: dict = attrs.field(factory=dict)
    _answered_ids: set = attrs.field(factory=set)
    _was_store_read: bool = False
    # The pull in progress and the time at which it times out.
    _pull: tuple | None = None
    _next_pull_at_by_id: dict = attrs.field(factory=dict)
    _started_at: float | None = None
    _next_store_read_at: float = 0.0
    _next_notice_at: float = 0.0
    _next_exchange_at: float = 0.0

    def on_view(self, now, balancer_ids, agent_ids=()):
        """Set the processes that are alive, apart from this one.

        :param balancer_ids: ids of the balancers. They must be complete in
            the first call, because a restarted process derives its witnesses
            from them.
        :param agent_ids: ids of the agents.
        """
        self._start_timers(now)
        self._ring = WitnessRing(
            {*balancer_ids, *self._own_balancer_ids()}, agent_ids
        )
        live_ids = set(balancer_ids) | set(agent_ids)
        for agent_id in set(self._heads_by_id) - live_ids:
            del self._heads_by_id[agent_id]
            self._next_pull_at_by_id.pop(agent_id, None)
        self._answered_ids &= live_ids
        return self._update_state(now)

    def _own_balancer_ids(self):
        return [self.agent_id] if self.is_balancer else []

    def _start_timers(self, now):
        if self._started_at is None:
            self._started_at = now
            wait_s = self.random.uniform(*defaults.CONFIG_STORE_WAIT_RANGE_S)
            self._next_store_read_at = now + wait_s

    def on_notice(self, now, sender_id, incarnation, notice):
        """Handle a notice from another process.

        :param sender_id: id of the sender.
        :param incarnation: incarnation of the sender.
        :param notice: the :class:`Notice`.
        """
        head = notice.head
        self._heads_by_id[sender_id] = head
        if not notice.ready:
            self._answered_ids.discard(sender_id)
        elif notice.answers_to == self.incarnation:
            self._answered_ids.add(sender_id)
        steps = []
        if head.revision > self.held.revision:
            steps += self._start_pull(now, sender_id, head)
        self._log_conflict(sender_id, head)
        if notice.wants_reply:
            steps.append(self._notify(sender_id, answers_to=incarnation))
        elif head.revision < self.held.revision:
            steps.append(self._notify(sender_id))
        return steps + self._update_state(now)

    def on_revision(self, now, agent_id, revision):
        """Handle the revision in a heartbeat or gossip about a process."""
        if revision <= self.held.revision:
            return []
        return [self._notify(agent_id, wants_reply=True)]

    def _log_conflict(self, source, head):
        is_same_revision = head.revision == self.held.revision
        if is_same_revision and head.digest != self.held.digest:
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
        if now < self._next_pull_at_by_id.get(sender_id, now):
            return []
        pull = Pull(sender_id, head)
        self._pull = (pull, now + defaults.CONFIG_PULL_TIMEOUT_S)
        return [pull]

    def on_pulled(self, now, head, data):
        """Handle the content of a revision that was pulled from a peer.

        :param head: head of the revision.
        :param data: its content.
        :raises ConfigIncomplete: when ``data`` does not match ``head``.
        """
        self._pull = None
        return self._accept(now, "peer", head, data)

    def on_pull_failed(self, now):
        """Handle the failure of the last pull.

        The next tick tries another peer. The one that failed is tried again
        after CONFIG_PULL_RETRY_S.
        """
        if self._pull is not None:
            peer_id = self._pull[0].agent_id
            next_pull_at = now + defaults.CONFIG_PULL_RETRY_S
            self._next_pull_at_by_id[peer_id] = next_pull_at
        self._pull = None
        return []

    def on_store_read(self, now, head, data, current):
        """Handle the configuration that was read from the store.

        :param head: ``EMPTY_HEAD`` when the store has no configuration.
        :param data: content of the revision.
        :param current: whether the head is known to be current; a plain read
            may be stale.
        :raises ConfigIncomplete: when ``data`` does not match ``head``.
        """
        self._start_timers(now)
        steps = self._accept(now, "store", head, data)
        if current:
            self._was_store_read = True
        return steps + self._update_state(now)

    def _accept(self, now, source, head, data):
        self._log_conflict(source, head)
        if head.revision <= self.held.revision:
            return self._update_state(now)
        check_data(head, data)
        self.held = head
        self.data = data
        return self._announce_head() + self._update_state(now)

    def _announce_head(self):
        """Notify witnesses, clients and some other balancers of ``held``."""
        steps = [
            self._notify(agent_id, wants_reply=True)
            for agent_id in self._witnesses()
        ]
        receivers = set()
        if self.is_balancer:
            receivers.update(self._ring.client_balancers(self.agent_id))
            receivers.update(self._ring.client_agents(self.agent_id))
            others = self._other_balancers()
            count = min(defaults.CONFIG_FANOUT, len(others))
            receivers.update(self.random.sample(others, count))
        receivers.difference_update(self._witnesses())
        return steps + [self._notify(peer) for peer in sorted(receivers)]

    def _other_balancers(self):
        return [i for i in self._ring.balancer_ids if i != self.agent_id]

    def _notify(self, agent_id, wants_reply=False, answers_to=0):
        notice = Notice(self.held, self.ready, wants_reply, answers_to)
        return Notify(agent_id, notice)

    def _witnesses(self):
        return self._ring.witnesses(self.agent_id)

    def _update_state(self, now):
        """Set ``ready`` and put ``held`` in force if their conditions hold."""
        self.ready = self.ready or self._can_become_ready(now)
        steps = []
        if self.ready and self.held != self.in_force and self._is_confirmed():
            self.in_force = self.held
            steps.append(PutInForce(self.held, self.data))
        return steps

    def _recovery_peer_ids(self):
        return sorted({*self._witnesses(), *self._client_balancers()})

    def _can_become_ready(self, now):
        if self._started_at is None or not self._has_newest():
            return False
        if self._was_store_read:
            return True
        witnesses = self._answered_ids.intersection(self._witnesses())
        if len(witnesses) < defaults.CONFIG_CONFIRMATIONS:
            return False
        if now >= self._started_at + defaults.CONFIG_CLIENT_WAIT_S:
            return True
        # Before its restart, this balancer may have been the witness of a
        # revision that its own witnesses do not hold yet. Its clients do.
        return self._answered_ids.issuperset(self._client_balancers())

    def _client_balancers(self):
        if not self.is_balancer:
            return []
        return self._ring.client_balancers(self.agent_id)

    def _has_newest(self):
        newest = max(
            (
                self._heads_by_id[agent_id].revision
                for agent_id in self._answered_ids
                if agent_id in self._heads_by_id
            ),
            default=0,
        )
        return self.held.revision >= newest

    def _is_confirmed(self):
        witnesses = self._witnesses()
        holders = [
            agent_id
            for agent_id in witnesses
            if self._holds_held_revision(agent_id)
        ]
        needed = min(defaults.CONFIG_CONFIRMATIONS, len(witnesses))
        return len(holders) >= needed

    def _holds_held_revision(self, agent_id):
        """Whether the process is known to hold ``held`` or a later one."""
        head = self._heads_by_id.get(agent_id, EMPTY_HEAD)
        if head.revision == self.held.revision:
            return head.digest == self.held.digest
        return head.revision > self.held.revision

    def tick(self, now):
        """Run the timers.

        Notices without a reply and failed pulls are repeated. Every
        ANTI_ENTROPY_INTERVAL_S, a balancer chosen at random is asked for its
        revision, which finds differences that no notice reported.
        """
        self._start_timers(now)
        steps = self._update_state(now) + self._retry_pull(now)
        if now >= self._next_notice_at:
            self._next_notice_at = now + defaults.CONFIG_NOTICE_INTERVAL_S
            steps += self._repeat_notices()
        if now >= self._next_exchange_at:
            self._next_exchange_at = now + defaults.ANTI_ENTROPY_INTERVAL_S
            others = self._other_balancers()
            if others:
                peer = self.random.choice(others)
                steps.append(self._notify(peer, wants_reply=True))
        if (
            self.has_store
            and not self.ready
            and now >= self._next_store_read_at
        ):
            wait_s = self.random.uniform(*defaults.CONFIG_STORE_WAIT_RANGE_S)
            self._next_store_read_at = now + wait_s
            steps.append(ReadStore())
        return steps

    def _repeat_notices(self):
        if not self.ready:
            return [
                self._notify(peer, wants_reply=True)
                for peer in self._recovery_peer_ids()
            ]
        if self.held == self.in_force:
            return []
        return [
            self._notify(peer, wants_reply=True)
            for peer in self._witnesses()
            if not self._holds_held_revision(peer)
        ]

    def _retry_pull(self, now):
        if self._pull is not None and now < self._pull[1]:
            return []
        holders = [
            (head.revision, agent_id)
            for agent_id, head in sorted(self._heads_by_id.items())
            if head.revision > self.held.revision
            and now >= self._next_pull_at_by_id.get(agent_id, now)
        ]
        if not holders:
            return []
        newest = max(revision for revision, _ in holders)
        sender_id = self.random.choice(
            [agent_id for revision, agent_id in holders if revision == newest]
        )
        return self._start_pull(now, sender_id, self._heads_by_id[sender_id])
