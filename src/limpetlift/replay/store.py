"""The store of a replay: compare-and-swap that can fail."""

import attrs


@attrs.define
class Store:
    """Values by key, each with the version of its last write.

    :param clock: the :class:`limpetlift.replay.engine.Clock`.
    """

    clock: object
    values_by_key: dict = attrs.field(factory=dict)
    _until_by_failure: dict = attrs.field(factory=dict)

    def fail(self, failure, until):
        """Be ``down``, ``lose_answers`` or be ``stale`` until a time."""
        self._until_by_failure[failure] = until

    def fails(self, failure):
        """Whether the store now fails in this way."""
        return self.clock.now < self._until_by_failure.get(failure, 0.0)
