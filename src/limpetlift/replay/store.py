"""The simulated store of a replay, with failures on request."""

import attrs

_CALL_DELAY_S = 0.005


@attrs.define
class Store:
    """A key-value store with compare-and-swap.

    Each value has a version, which a write increments. The failures are
    ``down`` (calls are not answered), ``lose_answers`` (writes succeed but are
    not answered) and ``stale`` (a read returns the value before the last
    write).

    :param clock: the :class:`limpetlift.replay.engine.Clock`.
    """

    clock: object
    _entries_by_key: dict = attrs.field(factory=dict)
    _previous_entries_by_key: dict = attrs.field(factory=dict)
    _end_by_failure: dict = attrs.field(factory=dict)

    def fail(self, failure, end):
        """Begin a failure.

        :param failure: ``down``, ``lose_answers`` or ``stale``.
        :param end: virtual time of the end of the failure.
        """
        self._end_by_failure[failure] = end

    def is_failing(self, failure):
        """Whether the store has this failure at present."""
        return self.clock.now < self._end_by_failure.get(failure, 0.0)

    def read(self, key, process, callback):
        """Read a value and call ``callback(value, version)``.

        The callback is not called when the store is down. For a key without a
        value it gets None and 0.

        :param key: key in the store.
        :param process: the :class:`limpetlift.replay.nodes.Node` that reads;
            while it is paused, the callback waits.
        """
        if self.is_failing("down"):
            return
        entries = (
            self._previous_entries_by_key
            if self.is_failing("stale")
            else self._entries_by_key
        )
        value, version = entries.get(key, (None, 0))
        self.clock.after(
            _CALL_DELAY_S, process.receive, callback, (value, version)
        )

    def compare_and_swap(self, key, version, value, process, callback):
        """Write a value if ``version`` is current, and call ``callback()``.

        The callback is not called when nothing was written or the answer is
        lost.

        :param key: key in the store.
        :param version: version of the value that the process has read.
        :param value: the new value.
        :param process: the :class:`limpetlift.replay.nodes.Node` that writes.
        """
        if self.is_failing("down"):
            return
        current = self._entries_by_key.get(key, (None, 0))
        if current[1] != version:
            return
        self._previous_entries_by_key[key] = current
        self._entries_by_key[key] = (value, version + 1)
        if not self.is_failing("lose_answers"):
            self.clock.after(_CALL_DELAY_S, process.receive, callback, ())
