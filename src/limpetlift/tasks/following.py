"""Task that follows the changes of keys under a prefix in the store."""

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.tasks import backoff

LOG = logs.EventLogger("following")


class Follower:
    """Reads the entries under a prefix and then watches them for changes.

    :param reactor: the event loop.
    :param store: client of the store, with the methods ``get_prefix`` and
        ``changes`` of :class:`limpetlift.platform.store.PlatformStore`.
    :param prefix: prefix of the keys.
    :param rng: a :class:`random.Random`, for the jitter of the backoff.
    :param on_snapshot: called with a list of all
        :class:`limpetlift.coordination.entries.Entry`, at the start and
        whenever the store has compacted changes that were not read yet.
    :param on_changes: called with a list of
        :class:`limpetlift.coordination.entries.Change`.
    :param on_unreachable: called without arguments after a failed call.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        reactor,
        store,
        prefix,
        rng,
        on_snapshot,
        on_changes,
        on_unreachable,
    ):
        self._reactor = reactor
        self._store = store
        self._prefix = prefix
        self._backoff = backoff.Backoff(reactor, rng)
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_unreachable = on_unreachable
        self._revision = None
        self._is_reachable = True

    async def run(self):
        """Follow until the process ends."""
        while True:
            try:
                await self._update()
            except exceptions.CoordinationError as error:
                self._log_transition(False, error)
                if error.code == "compacted":
                    self._revision = None
                await self._backoff.wait()
            else:
                self._log_transition(True, "")
                self._backoff.reset()
                await self._reactor.sleep(defaults.FOLLOW_PAUSE_S)

    async def _update(self):
        if self._revision is None:
            entries, revision = await self._store.get_prefix(self._prefix)
            self._revision = revision
            self._on_snapshot(entries)
            return
        changes, revision = await self._store.changes(
            self._prefix, self._revision, defaults.FOLLOW_LONG_POLL_S
        )
        self._revision = max(revision, self._revision)
        self._on_changes(changes)

    def _log_transition(self, is_reachable, error):
        if error:
            self._on_unreachable()
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        if is_reachable:
            LOG.info("store_regained", prefix=self._prefix)
        else:
            LOG.warning(
                "store_lost",
                prefix=self._prefix,
                revision=self._revision,
                code=error.code,
                error=error,
            )
