"""The directory: which agents and balancers there are.

Each process announces itself in the store. The entry of a balancer lives with
a lease. That of an agent stays until the agent leaves or is silent for long,
so that a list of the agents is whole even after an outage of the store. Who
lives is told by the agents themselves, which report to every balancer.
"""

import json

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import hashing

AGENTS_PREFIX = "agents/"
BALANCERS_PREFIX = "balancers/"


@attrs.frozen
class ProcessEntry:
    """A process as it announces itself.

    :param process_id: its id; of an agent or a balancer.
    :param address: ``(ip, port)`` for messages of other processes.
    :param data_centre: its data centre.
    :param service: the service of an agent; empty for a balancer.
    """

    process_id: str
    address: tuple
    data_centre: str
    service: str = ""
    service_id: bytes = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self):
        object.__setattr__(
            self, "service_id", hashing.service_id(self.service)
        )

    def encode(self):
        """Return the value of the entry in the store."""
        return json.dumps(
            {
                "address": "%s:%d" % self.address,
                "data_centre": self.data_centre,
                "service": self.service,
            }
        ).encode("utf-8")


def decode_entry(process_id, value):
    """Return the :class:`ProcessEntry` in a value of the store.

    :raises MalformedMessage: when it cannot be read.
    """
    try:
        fields = json.loads(value)
        ip, _, port = fields["address"].rpartition(":")
        entry = ProcessEntry(
            process_id,
            (ip, int(port)),
            fields["data_centre"],
            fields["service"],
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise exceptions.MalformedMessage(
            "unreadable entry: %r" % error
        ) from None
    return entry


@attrs.define
class _Listing:
    """An entry and what became of it in the store.

    :param revision: of the store's last change of it.
    :param gone_at: when it counts as gone, or None while it is in the store.
    :param heard_counts: whether hearing the process itself keeps it.
    """

    entry: ProcessEntry
    revision: int
    gone_at: object = None
    heard_counts: bool = True


@attrs.define
class Directory:
    """Follows the entries in the store.

    An entry that the store no longer has counts for another
    :data:`~limpetlift.defaults.LAPSED_ENTRY_GRACE_S`, in which a living
    process announces itself again. After an outage of the store it is gone
    then; otherwise it stays for as long as the process itself is heard, which
    may be one that the store turns away.

    .. versionadded:: 0.2
    """

    _listings_by_key: dict = attrs.field(factory=dict)
    _store_back_at: float = float("-inf")
    _is_away: bool = False
    # Why an entry could not be read; emptied by who reports it.
    unreadable_by_key: dict = attrs.field(factory=dict)

    def on_snapshot(self, now, found):
        """Take over all entries.

        :param found: :class:`~limpetlift.coordination.entries.Entry` objects.
        """
        self.on_reached(now)
        present = {entry.key for entry in found}
        for entry in found:
            self._put(entry)
        for key in set(self._listings_by_key) - present:
            self._remove(now, key)

    def on_changes(self, now, changes):
        """Take over changes that a watch reported."""
        self.on_reached(now)
        for change in changes:
            if change.entry is not None:
                self._put(change.entry)
                continue
            listing = self._listings_by_key.get(change.key)
            if listing is not None and listing.revision < change.revision:
                listing.revision = change.revision
                self._remove(now, change.key)

    def on_unreachable(self):
        """Note that the store does not answer."""
        self._is_away = True

    def on_reached(self, now):
        """Note that the store answers."""
        if self._is_away:
            self._is_away = False
            self._store_back_at = now

    def _put(self, entry):
        known = self._listings_by_key.get(entry.key)
        if known is not None and known.revision >= entry.mod_revision:
            if known.gone_at is None or known.revision > entry.mod_revision:
                return
        name = entry.key.rpartition("/")[2]
        try:
            found = decode_entry(name, entry.value)
        except exceptions.MalformedMessage as error:
            # It names no process; the others hold.
            self.unreadable_by_key[entry.key] = str(error)
            self._listings_by_key.pop(entry.key, None)
            return
        self._listings_by_key[entry.key] = _Listing(found, entry.mod_revision)

    def _remove(self, now, key):
        listing = self._listings_by_key[key]
        if listing.gone_at is None:
            listing.gone_at = now + defaults.LAPSED_ENTRY_GRACE_S
            listing.heard_counts = (
                now - self._store_back_at > defaults.LAPSED_ENTRY_GRACE_S
            )

    def expire(self, now, is_reporting):
        """Forget entries that are gone; return whether any was.

        :param is_reporting: called with an entry; whether its process was
            heard itself lately.
        """
        gone = [
            key
            for key, listing in self._listings_by_key.items()
            if listing.gone_at is not None
            and listing.gone_at <= now
            and not (listing.heard_counts and is_reporting(listing.entry))
        ]
        for key in gone:
            del self._listings_by_key[key]
        return bool(gone)

    def is_listed(self, key):
        """Whether the store had the entry ``key`` when it was last read."""
        listing = self._listings_by_key.get(key)
        return listing is not None and listing.gone_at is None

    def revision(self, key):
        """Return the revision of the entry ``key`` in the store, or 0."""
        listing = self._listings_by_key.get(key)
        return listing.revision if listing and listing.gone_at is None else 0

    def unlisted(self):
        """Return the ids of processes that the store does not have now."""
        return {
            listing.entry.process_id
            for listing in self._listings_by_key.values()
            if listing.gone_at is not None
        }

    def agents(self):
        """Return the entries of the agents."""
        return self._entries(AGENTS_PREFIX)

    def balancers(self):
        """Return the entries of the balancers."""
        return self._entries(BALANCERS_PREFIX)

    def _entries(self, kind):
        return [
            listing.entry
            for key, listing in self._listings_by_key.items()
            if key.startswith(kind)
        ]
