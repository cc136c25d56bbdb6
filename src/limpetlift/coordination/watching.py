"""Watches of the store that balancers share.

A few balancers wait at the store for changes and send what they learn to the
others, so that the number of calls hardly depends on the number of balancers.
Each balancer computes from its own directory which ones these are. The result
need not be the same everywhere: a balancer that has not heard for
:data:`~limpetlift.defaults.SHARED_WATCH_MAX_AGE_S` that its knowledge is
complete reads the store itself.
"""

import attrs

from limpetlift.coordination import entries
from limpetlift.coordination import revisions
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift import registry
from limpetlift import structs

policies_by_name = {}

_POSITION_BITS = 64


@structs.frozen
class Role:
    """The part of one balancer in the shared watches.

    :param is_watcher: whether it waits at the store for changes.
    :param receivers: addresses of the balancers that it sends changes to.
    """

    is_watcher: bool
    receivers: tuple = ()


@registry.register(policies_by_name, "each")
def watch_each(_own, _data_centres_by_address):
    """Return the role when every balancer watches for itself; a baseline."""
    return Role(True)


@registry.register(policies_by_name, "few")
def watch_few(own, data_centres_by_address):
    """Return the role of a balancer in its group.

    The balancers are split by their hashes into groups of a bounded size, and
    a few of each group watch for it. The load of a watcher is thus bounded,
    and a balancer that comes or goes changes the role of few others. Groups
    extend over data centres, because most deployments have few balancers in
    each. The watchers of a group are in different data centres if possible,
    so that the loss of one leaves the others.

    :param own: ``(ip, port)`` of the balancer.
    :param data_centres_by_address: name of the data centre of each balancer,
        with this one.
    """
    bits = 0
    while len(data_centres_by_address) > defaults.WATCH_GROUP_SIZE << bits:
        bits += 1
    shift = _POSITION_BITS - bits
    own_group = hashing.ring_position(own) >> shift
    first, *others = sorted(
        (
            address
            for address in data_centres_by_address
            if hashing.ring_position(address) >> shift == own_group
        ),
        key=hashing.ring_position,
    )
    others.sort(
        key=lambda address: (
            data_centres_by_address[address] == data_centres_by_address[first]
        )
    )
    watchers = [first] + others[: defaults.WATCHERS_PER_GROUP - 1]
    if own not in watchers:
        return Role(False)
    return Role(
        True,
        tuple(address for address in [first, *others] if address != own),
    )


@structs.define
class Watch:
    """What one balancer knows of the keys under one prefix.

    Methods take ``now`` in seconds (monotonic).

    :param topic: number that identifies the prefix in messages.
    :param address: ``(ip, port)`` of the balancer.
    :param data_centre: name of its data centre.
    :param policy: name of a policy of this module, which decides whether the
        balancer watches.
    :param role: its :class:`Role`.
    :param revision: the
        :class:`~limpetlift.coordination.revisions.Revision` up to which all
        changes are known; None before the first read, and again in a new era
        of the store.
    :param era: the latest era of the store that is known.
    :raises StateError: when the policy does not exist.

    .. versionadded:: 0.2
    """

    topic: int
    address: tuple
    data_centre: str = ""
    policy: str = "few"
    # Until the directory is known, a balancer watches for itself.
    role: Role = Role(True)
    revision: object = None
    era: int = 0
    # When all entries are read, while no revision is known.
    _read_at: float = float("-inf")
    # When the store or a watcher last confirmed that all changes are known.
    _confirmed_at: float = float("-inf")
    # Whether a watcher knows changes that this balancer does not.
    _is_behind: bool = False
    _resumed_at: float = float("-inf")
    _choose_role: object = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._choose_role = registry.lookup(
            policies_by_name, self.policy, "watch policy"
        )

    def on_balancers(self, data_centres_by_address):
        """Update the role by the balancers of the deployment.

        :param data_centres_by_address: name of the data centre of each
            balancer, with or without this one.
        :returns: whether this balancer has become a watcher.
        """
        was_watcher = self.role.is_watcher
        self.role = self._choose_role(
            self.address,
            {self.address: self.data_centre, **data_centres_by_address},
        )
        return self.role.is_watcher and not was_watcher

    def on_pause(self, now):
        """Handle the end of a pause of this balancer.

        What it knows is as old as the pause, and so are the answers to calls
        that began before its end.
        """
        self._resumed_at = now
        self._confirmed_at = float("-inf")

    @property
    def call_at(self):
        """When the store has to be called next."""
        if self.revision is None:
            return self._read_at
        if self.role.is_watcher or self._is_behind:
            return float("-inf")
        return self._confirmed_at + defaults.SHARED_WATCH_MAX_AGE_S

    @property
    def wait_s(self):
        """How long the next call waits at the store for changes, in seconds.

        A balancer that does not watch reads what it has missed and does not
        wait.
        """
        if self.role.is_watcher and not self._is_behind:
            return defaults.FOLLOW_LONG_POLL_S
        return 0.0

    def on_compacted(self):
        """Record that the store no longer has the changes to read next."""
        self.revision = None

    def on_era(self, era, read_at):
        """Handle that the store is in an era.

        In a new one, all entries have to be read again. What was known of the
        changes before confirms nothing.

        :param era: number of the era.
        :param read_at: when a balancer that does not watch reads the entries.
        :returns: whether the era is new.
        """
        if era <= self.era:
            return False
        self.era = era
        self.revision = None
        self._confirmed_at = float("-inf")
        self._is_behind = False
        self._read_at = float("-inf") if self.role.is_watcher else read_at
        return True

    def is_outdated(self, revision):
        """Whether a revision is of an earlier era than the latest one."""
        return revisions.of(revision).era < self.era

    def on_read(self, now, began_at, after, revision, changes=()):
        """Record the answer of the store to a call.

        The answer of an earlier era is ignored, and so are changes after a
        revision of another era than that of the answer.

        :param began_at: when the call began.
        :param after: the revision after which the answer has all changes, or
            None for an answer that has all keys.
        :param revision: the store's revision in the answer.
        :param changes: the :class:`~limpetlift.coordination.entries.Change`
            in the answer, the oldest first.
        :returns: ``(changes, messages)``: the changes that were not known,
            and the messages to the receivers.
        """
        revision = revisions.of(revision)
        if self.is_outdated(revision):
            return [], []
        self.on_era(revision.era, now)
        if after is not None:
            after = revisions.of(after)
            if after.era != revision.era:
                self.revision = None
                return [], []
        known = self.revision
        self.revision = revision if known is None else max(known, revision)
        unknown = [
            change
            for change in changes
            if known is None or revisions.of(change.revision) > known
        ]
        if began_at < self._resumed_at:
            # The answer may have waited through the pause, and must not pass
            # for recent knowledge.
            return unknown, []
        self._confirmed_at = now
        self._is_behind = False
        messages = []
        if self.role.receivers:
            messages = _messages(
                self.topic,
                revision if after is None else after,
                revision,
                changes,
            )
        return unknown, messages

    def on_message(self, now, message, is_outdated=False):
        """Handle what a watcher has learned.

        :param message: a :class:`~limpetlift.protocol.tunnel.StoreChanges`.
        :param is_outdated: whether the message waited through a pause of this
            balancer. It then confirms nothing.
        :returns: the :class:`~limpetlift.coordination.entries.Change` that
            were not known.
        """
        if self.on_era(message.era, now) or message.era < self.era:
            return []
        if self.revision is None:
            return []
        if self.revision.number < message.after:
            # A message was lost, or a change was too large for one.
            self._is_behind = True
            return []
        known = self.revision
        self.revision = max(
            known, revisions.Revision(message.era, message.revision)
        )
        if not is_outdated:
            self._confirmed_at = now
        return [
            _decoded(change, message.era)
            for change in message.changes
            if change.revision > known.number
        ]


def _decoded(change, era):
    """Return the :class:`entries.Change` for a change in a message.

    Leases are not sent, because only the process that holds one needs it.
    """
    revision = revisions.Revision(era, change.revision)
    entry = None
    if change.value is not None:
        entry = entries.Entry(change.key, change.value, revision)
    return entries.Change(change.key, entry, revision)


def _encoded(change):
    """Return the :class:`~limpetlift.protocol.tunnel.KeyChange`."""
    value = None if change.entry is None else change.entry.value
    number = revisions.of(change.revision).number
    return tunnel.KeyChange(change.key, value, number)


def _messages(topic, after, revision, changes):
    """Return the messages that carry changes up to a revision.

    A change that is too large for a message is left out. The next message
    then begins after it, by which its receiver detects the gap.

    :param after: a :class:`~limpetlift.coordination.revisions.Revision`.
    :param revision: a later or the same one, of the same era.
    """
    era, after, revision = revision.era, after.number, revision.number
    result = []
    batch = []
    size = 0

    def flush(until):
        nonlocal after, batch, size
        result.append(tunnel.StoreChanges(topic, after, until, batch, era))
        after, batch, size = until, [], 0

    for change in sorted(
        map(_encoded, changes), key=lambda change: change.revision
    ):
        if change.size > tunnel.MAX_CHANGES_BYTES:
            if batch:
                # Another change of the same transaction may be in the batch.
                flush(min(batch[-1].revision, change.revision - 1))
            after = change.revision
            continue
        # Changes of one transaction have one revision and stay together.
        if (
            batch
            and size + change.size > tunnel.MAX_CHANGES_BYTES
            and change.revision > batch[-1].revision
        ):
            flush(batch[-1].revision)
        batch.append(change)
        size += change.size
    flush(revision)
    return result
