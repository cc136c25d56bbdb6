"""What a key-value store holds and reports, whichever client reads it."""

import attrs


@attrs.frozen
class Entry:
    """A key and its value.

    :param key: without the prefix of the client.
    :param mod_revision: changes with each write of the key; 0 when absent.
    :param lease: the lease that the key lives with, or 0.
    """

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@attrs.frozen
class Change:
    """A change that a watch reports.

    :param entry: the new entry, or ``None`` when the key was deleted.
    :param revision: the store's revision; a later watch resumes after it.
    """

    key: str
    entry: object
    revision: int
