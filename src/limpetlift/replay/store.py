"""The store of a replay: compare-and-swap that can fail."""

import attrs

_CALL_S = 0.005


@attrs.define
class Store:
    """Values by key, each with the version of its last write.

    :param clock: the :class:`limpetlift.replay.engine.Clock`.
    """

    clock: object
    _entries_by_key: dict = attrs.field(factory=dict)
    _earlier_by_key: dict = attrs.field(factory=dict)
    _until_by_failure: dict = attrs.field(factory=dict)

    def fail(self, failure, until):
        """Be ``down``, ``lose_answers`` or be ``stale`` until a time."""
        self._until_by_failure[failure] = until

    def fails(self, failure):
        """Whether the store now fails in this way."""
        return self.clock.now < self._until_by_failure.get(failure, 0.0)

    def read(self, key, process, callback):
        """Call ``callback(value, version)`` unless the store is down.

        :param process: the reader, which may be paused meanwhile.
        """
        if self.fails("down"):
            return
        entries = (
            self._earlier_by_key
            if self.fails("stale")
            else self._entries_by_key
        )
        value, version = entries.get(key, (None, 0))
        self.clock.after(_CALL_S, process.receive, callback, (value, version))

    def swap(self, key, version, value, process, callback):
        """Write if the version is current; call ``callback()`` on success."""
        if self.fails("down"):
            return
        current = self._entries_by_key.get(key, (None, 0))
        if current[1] != version:
            return
        self._earlier_by_key[key] = current
        self._entries_by_key[key] = (value, version + 1)
        if not self.fails("lose_answers"):
            self.clock.after(_CALL_S, process.receive, callback, ())
