"""Entries and changes of a key-value store, common to all store clients."""

from limpetlift import structs


@structs.frozen
class Entry:
    """A key and its value.

    :param key: the key, without the client's prefix.
    :param value: the value as bytes.
    :param mod_revision: revision of the last write of the key; 0 when the
        key does not exist. It is a
        :class:`~limpetlift.coordination.revisions.Revision`, or a plain
        number from a store without eras.
    :param lease: id of the lease that the key is attached to, or 0.
    """

    key: str
    value: bytes
    mod_revision: object
    lease: int = 0


@structs.frozen
class Change:
    """A change of one key that a watch reports.

    :param key: the key, without the client's prefix.
    :param entry: the new :class:`Entry`, or ``None`` when the key was
        deleted.
    :param revision: the store's revision of the change, of the same type as
        that of an :class:`Entry`; a later watch resumes after it.
    """

    key: str
    entry: object
    revision: object
