"""Directory of the agents and balancers that are registered in the store.

Each process registers itself with an entry. A balancer's entry is attached to
a lease. An agent's entry stays until the agent leaves or has been silent for
a long time, so that the list of agents is complete even after an outage of
the store. Whether an agent is alive is known from the reports that it sends
to every balancer, not from the store.
"""

import json

import attrs

from limpetlift.coordination import revisions
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import hashing
from limpetlift.protocol import segment as segments
from limpetlift.scheduling import rotation
from limpetlift import structs

AGENTS_PREFIX = "agents/"
BALANCERS_PREFIX = "balancers/"
# Key of the last era in which processes had time to write their entries again.
# A copy of the store has that of an earlier era.
ERA_KEY = "era"


@structs.frozen
class ProcessEntry:
    """An agent or balancer, as registered in the store.

    :param process_id: id of the process.
    :param address: ``(ip, port)`` at which it receives messages from other
        processes.
    :param data_centre: name of its data centre.
    :param service: name of the service of an agent; empty for a balancer.
    :param revision: the store's revision of the entry's last write, see
        :mod:`limpetlift.coordination.revisions`; 0 for an entry that was not
        read from the store.
    :param capacity: the :class:`~limpetlift.scheduling.rotation.Capacity` of
        a balancer's instance, or None when unknown.
    :param is_leaving: whether a balancer is stopping.

    ``service_id`` is the 8-byte hash of the service's name that messages
    carry.
    """

    process_id: str
    address: tuple
    data_centre: str
    service: str = ""
    revision: object = attrs.field(default=0, eq=False)
    capacity: object = None
    is_leaving: bool = False
    service_id: bytes = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self):
        object.__setattr__(
            self, "service_id", hashing.service_id(self.service)
        )

    def encode(self):
        """Return the entry's value in the store, as JSON.

        The optional fields are left out when they say nothing.
        """
        fields = {
            "address": "%s:%d" % self.address,
            "data_centre": self.data_centre,
            "service": self.service,
        }
        if self.capacity is not None:
            fields["capacity"] = self.capacity.encode()
        if self.is_leaving:
            fields["is_leaving"] = True
        return json.dumps(fields).encode("utf-8")


def decode_entry(process_id, value, revision=0):
    """Return the :class:`ProcessEntry` that a value of the store holds.

    :param process_id: id of the process, from the entry's key.
    :param value: the value as bytes.
    :param revision: the store's revision of the value.
    :raises MalformedMessage: when the value is not a valid entry.
    """
    try:
        fields = json.loads(value)
        ip, _, port = fields["address"].rpartition(":")
        # int() also takes signs, spaces, underscores and other digits.
        if not (port.isascii() and port.isdigit()):
            raise ValueError("the port %r is not a number" % port)
        segments.check_address(ip, int(port))
        for text in (process_id, fields["data_centre"]):
            if not isinstance(text, str):
                raise ValueError("%r is not a text" % text)
            # JSON can hold surrogates, which no message can.
            text.encode("utf-8")
        return ProcessEntry(
            process_id,
            (ip, int(port)),
            fields["data_centre"],
            fields["service"],
            revision,
            rotation.decode_capacity(fields.get("capacity")),
            fields.get("is_leaving") is True,
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
    ) as error:
        raise exceptions.MalformedMessage(
            "invalid directory entry: %r" % error
        ) from None


@structs.define
class _TrackedEntry:
    """An entry of the directory and its state in the store.

    :param entry: the :class:`ProcessEntry`.
    :param revision: the store's revision of the entry's last change in the
        present era.
    :param expires_at: when the entry expires after its removal from the
        store, or None while the store has it.
    :param kept_by_reports: whether the entry is kept beyond ``expires_at``
        for as long as the process itself reports.
    :param older: the entry that a new era's first list had under the same
        key, or None. It takes effect when ``entry`` expires.
    :param may_be_older: whether it is known only from the first list of a new
        era, whose grace time has not ended.
    """

    entry: ProcessEntry
    revision: object
    expires_at: object = None
    kept_by_reports: bool = True
    older: object = None
    may_be_older: bool = False


@structs.define
class Directory:
    """The registered processes, kept up to date with the store.

    An entry that was removed from the store stays in the directory for
    another :data:`~limpetlift.defaults.LAPSED_ENTRY_GRACE_S`, in which a
    process that is alive registers itself again. After that time the entry
    expires if it was found missing after an outage of the store. Otherwise it
    is kept for as long as the process itself reports, because the store may
    refuse the registration of a process that is alive.

    A store that comes back from an older copy begins a new era. Its list may
    lack entries, and have former ones. What is known is kept and counts as
    not listed until the process has written it again, for the grace time and
    then for as long as the process reports.

    .. versionadded:: 0.2
    """

    _tracked_by_key: dict = attrs.field(factory=dict)
    # Until then an entry that is not listed proves nothing. Infinite before
    # the first list of a new era.
    unproven_until: float = float("-inf")
    era: int = 0
    # Entry of ERA_KEY, or None.
    _mark: object = None
    # Revision of the first list of this era, until the grace time has ended.
    _first_revision: object = None
    _has_snapshot: bool = False
    _store_reachable_since: float = float("-inf")
    _is_store_unreachable: bool = False
    # When the store answered last.
    _answered_at: float = float("-inf")
    # The latest revision of an entry that expired. All changes up to it have
    # been reported.
    _expired_revision: revisions.Revision = revisions.Revision(0, 0)
    # Error messages of entries that could not be decoded. The caller removes
    # those that it has logged.
    unreadable_by_key: dict = attrs.field(factory=dict)

    def on_snapshot(self, now, snapshot, revision):
        """Update the directory from a read of all entries.

        An entry that was written after the read is kept.

        :param snapshot: list of all
            :class:`~limpetlift.coordination.entries.Entry` in the store.
        :param revision: the store's revision of the read.
        :returns: whether the list was used; one of an earlier era is not.
        """
        revision = revisions.of(revision)
        if revision.era < self.era:
            return False
        self.on_reachable(now)
        if self._has_snapshot or self._tracked_by_key:
            self.on_era(revision.era)
        elif revision.era > self.era:
            # The era of the first list is not known to be new.
            self._enter_era(revision.era)
        is_first = not self._has_snapshot
        self._has_snapshot = True
        if self.unproven_until == float("inf"):
            self.unproven_until = now + defaults.LAPSED_ENTRY_GRACE_S
            self._first_revision = revision
        mark = self._mark
        if (
            mark is None
            or revisions.of(mark.mod_revision).era != revision.era
            or revisions.of(mark.mod_revision) <= revision
        ):
            self._mark = None
        for entry in snapshot:
            # A change that was reported while the list was on its way counts.
            if entry.key == ERA_KEY and (
                self._mark is None
                or revisions.of(entry.mod_revision)
                > revisions.of(self._mark.mod_revision)
            ):
                self._mark = entry
        snapshot = [entry for entry in snapshot if entry.key != ERA_KEY]
        if is_first and not self._is_marked:
            # The era may have begun a moment ago, and the balancers that saw
            # it begin may be among the missing entries.
            self.unproven_until = now + defaults.LAPSED_ENTRY_GRACE_S
            self._first_revision = revision
        present_keys = {entry.key for entry in snapshot}
        for entry in snapshot:
            # An unknown entry in an outdated read was removed since.
            if (
                revision >= self._expired_revision
                or entry.key in self._tracked_by_key
            ):
                self._put(now, entry)
        for key in set(self._tracked_by_key) - present_keys:
            if self._tracked_by_key[key].revision <= revision:
                self._tracked_by_key[key].older = None
                self._remove(now, key)
        return True

    def on_changes(self, now, changes):
        """Update the directory from changes that a watch reported.

        :param changes: list of
            :class:`~limpetlift.coordination.entries.Change`.
        """
        self.on_reachable(now)
        for change in changes:
            revision = revisions.of(change.revision)
            if revision.era != self.era:
                continue
            if change.key == ERA_KEY:
                self._mark = change.entry
                continue
            if change.entry is not None:
                self._put(now, change.entry)
                continue
            tracked = self._tracked_by_key.get(change.key)
            if tracked is not None and tracked.revision < revision:
                tracked.revision = revision
                tracked.older = None
                self._remove(now, change.key)

    def on_era(self, era):
        """Handle that the store is in an era.

        The revisions of former eras are void in a new one, and until its
        first list has been read and the grace time has passed, no missing
        entry proves anything.

        :param era: number of the era.
        :returns: whether it is new.
        """
        if era <= self.era:
            return False
        self.unproven_until = float("inf")
        self._enter_era(era)
        return True

    @property
    def _is_marked(self):
        """Whether the entries of this era are known to be back."""
        return not self.era or (
            self._mark is not None
            and revisions.of(self._mark.mod_revision).era == self.era
            and self._mark.value == b"%d" % self.era
        )

    def missing_mark(self, now):
        """Return the write that marks this era, as its entries are back.

        :returns: ``(revision, value)``: the revision of the last write of
            :data:`ERA_KEY`, or 0, and the value as bytes; None when there is
            nothing to write.
        """
        if (
            not self._has_snapshot
            or self._is_marked
            or now < self.unproven_until
        ):
            return None
        revision = 0
        if self._mark is not None:
            revision = revisions.of(self._mark.mod_revision)
            if revision.era != self.era:
                return None
        return revision, b"%d" % self.era

    def _enter_era(self, era):
        """Replace all revisions, which are void, by one before any write."""
        self.era = era
        self._first_revision = None
        self._expired_revision = revisions.Revision(era, 0)
        for tracked in self._tracked_by_key.values():
            tracked.revision = revisions.Revision(era, 0)
            tracked.older = None

    def on_unreachable(self):
        """Record that the store does not answer."""
        self._is_store_unreachable = True

    def on_reachable(self, now):
        """Record that the store answers.

        A directory that is read for the first time after an outage does not
        know the processes whose entries were lost in it. Those that are alive
        write them again within the grace time.
        """
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            self._store_reachable_since = now
            if not self._has_snapshot or (
                # No process could write its entry since the answer.
                self._answered_at
                < self.unproven_until
                < float("inf")
            ):
                self.unproven_until = now + defaults.LAPSED_ENTRY_GRACE_S
        self._answered_at = now

    def _put(self, now, entry):
        """Add or replace an entry, unless a newer state of it is known.

        An entry that cannot be decoded is another writer's. If it replaces
        that of a process, the process counts as one whose entry is missing,
        because it may be alive.
        """
        known = self._tracked_by_key.get(entry.key)
        revision = revisions.of(entry.mod_revision)
        if known is not None and known.revision >= revision:
            if (
                known.expires_at is None
                or known.older is not None
                or known.revision > revision
            ):
                return
        process_id = entry.key.rpartition("/")[2]
        try:
            decoded = decode_entry(process_id, entry.value, revision)
        except exceptions.MalformedMessage as error:
            self.unreadable_by_key[entry.key] = str(error)
            if known is not None:
                known.revision = revision
                self._remove(now, entry.key)
            return
        if (
            known is not None
            and self._may_be_older(revision)
            and decoded != known.entry
        ):
            known.revision = revision
            known.older = decoded
            self._remove(now, entry.key)
            return
        self._tracked_by_key[entry.key] = _TrackedEntry(
            decoded,
            revision,
            may_be_older=self._may_be_older(revision)
            and (known is None or known.may_be_older),
        )

    def _may_be_older(self, revision):
        """Whether a write may be from before the present era.

        It is in the first list of the era, whose grace time has not ended.
        """
        return (
            self._first_revision is not None
            and revision <= self._first_revision
        )

    def _remove(self, now, key):
        """Let an entry expire that is not in the store any more."""
        tracked = self._tracked_by_key[key]
        if self._first_revision is not None:
            # An older copy that lacks an entry does not show that it lapsed.
            tracked.expires_at = max(
                tracked.expires_at or now, self.unproven_until
            )
            tracked.kept_by_reports = True
        elif tracked.expires_at is None:
            tracked.expires_at = now + defaults.LAPSED_ENTRY_GRACE_S
            tracked.kept_by_reports = (
                now - self._store_reachable_since
                > defaults.LAPSED_ENTRY_GRACE_S
            )

    def add_unlisted(self, now, entry):
        """Add an agent that another balancer keeps without an entry.

        It stays like one whose entry was removed from the store.
        """
        self._tracked_by_key.setdefault(
            AGENTS_PREFIX + entry.process_id,
            _TrackedEntry(
                entry,
                revisions.Revision(self.era, 0),
                now + defaults.LAPSED_ENTRY_GRACE_S,
            ),
        )

    def expire(self, now, is_reporting):
        """Delete the entries that have expired.

        :param is_reporting: function of a :class:`ProcessEntry`; returns
            whether the process itself reported recently.
        :returns: whether the result of :meth:`agents` or of
            :meth:`balancers` may have changed.
        """
        if self.unproven_until == float("inf"):
            return False
        has_settled = (
            self._first_revision is not None and now >= self.unproven_until
        )
        if has_settled:
            self._first_revision = None
            for tracked in self._tracked_by_key.values():
                tracked.may_be_older = False
        expired_keys = [
            key
            for key, tracked in self._tracked_by_key.items()
            if tracked.expires_at is not None
            and tracked.expires_at <= now
            and not (tracked.kept_by_reports and is_reporting(tracked.entry))
        ]
        for key in expired_keys:
            tracked = self._tracked_by_key.pop(key)
            if tracked.older is not None:
                self._tracked_by_key[key] = _TrackedEntry(
                    tracked.older, tracked.revision
                )
                continue
            self._expired_revision = max(
                self._expired_revision, tracked.revision
            )
        return has_settled or bool(expired_keys)

    @property
    def is_store_reachable(self):
        """Whether the store answered this process last."""
        return not self._is_store_unreachable

    def is_listed(self, key):
        """Whether the store has the entry ``key``, as far as is known."""
        tracked = self._tracked_by_key.get(key)
        return tracked is not None and tracked.expires_at is None

    def revision(self, key):
        """Return the revision of the entry ``key``, or 0 if not listed.

        It is of the present era, so that it is valid as a precondition.
        """
        tracked = self._tracked_by_key.get(key)
        return (
            tracked.revision if tracked and tracked.expires_at is None else 0
        )

    def unlisted(self):
        """Return the ids of processes whose entries are not in the store.

        Their entries have not expired yet.
        """
        return {
            tracked.entry.process_id
            for tracked in self._tracked_by_key.values()
            if tracked.expires_at is not None
        }

    def agents(self):
        """Return the entries of the agents.

        During the grace time of an era, an entry that may be older than it
        yields to the one that is known at its address.
        """
        tracked_agents = self._of_prefix(AGENTS_PREFIX)
        known_addresses = {
            tracked.entry.address
            for tracked in tracked_agents
            if not tracked.may_be_older
        }
        return [
            tracked.entry
            for tracked in tracked_agents
            if not tracked.may_be_older
            or tracked.entry.address not in known_addresses
        ]

    def balancers(self):
        """Return the entries of the balancers."""
        return [tracked.entry for tracked in self._of_prefix(BALANCERS_PREFIX)]

    def _of_prefix(self, prefix):
        return [
            tracked
            for key, tracked in self._tracked_by_key.items()
            if key.startswith(prefix)
        ]
