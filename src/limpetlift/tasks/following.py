"""Task that follows the changes of keys under a prefix in the store."""

from limpetlift import clock
from limpetlift.coordination import revisions
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.tasks import backoff
from limpetlift.transport import reactor as reactors

LOG = logs.EventLogger("following")


class Follower:
    """Reads the entries under a prefix and then learns of their changes.

    It waits at the store for them, or gets them from another balancer that
    does so.

    :param reactor: the event loop.
    :param store: client of the store, with the methods ``get_prefix`` and
        ``changes`` of :class:`limpetlift.platform.store.PlatformStore`.
    :param prefix: prefix of the keys.
    :param watch: the :class:`~limpetlift.coordination.watching.Watch`, which
        decides when to call the store.
    :param rng: a :class:`random.Random`, for the jitter of the backoff.
    :param on_snapshot: called with a list of all
        :class:`limpetlift.coordination.entries.Entry` and the store's
        revision, at the start and whenever the store has compacted changes
        that were not read yet.
    :param on_changes: called with a list of
        :class:`limpetlift.coordination.entries.Change`.
    :param on_unreachable: called without arguments after a failed call.
    :param send: called with the messages for the balancers that get the
        changes from this one, and with their addresses.
    :param observe: returns the current time in seconds (monotonic), after it
        has told ``watch`` of a pause of this process that has just ended.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        reactor,
        store,
        prefix,
        watch,
        rng,
        on_snapshot,
        on_changes,
        on_unreachable,
        send,
        observe,
    ):
        self._reactor = reactor
        self._store = store
        self._prefix = prefix
        self.watch = watch
        self._backoff = backoff.Backoff(reactor, rng)
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_unreachable = on_unreachable
        self._send = send
        self._observe = observe
        self._rng = rng
        # The revision after which a call in progress reads changes.
        self._after = None
        self._is_reachable = True
        self._wakeup = reactors.Future()

    async def run(self):
        """Follow until the process ends."""
        while True:
            await self._wait()
            next_call_at = clock.now() + defaults.FOLLOW_PAUSE_S
            after = self.watch.revision
            try:
                await self._update()
            except exceptions.CoordinationError as error:
                if error.code == "era_changed":
                    # The store answers, so it does not count as lost.
                    self._on_era_changed(after)
                    await self._reactor.sleep(next_call_at - clock.now())
                    continue
                self._log_transition(False, error)
                if error.code == "compacted":
                    self.watch.on_compacted()
                await self._backoff.wait()
                continue
            self._log_transition(True, "")
            self._backoff.reset()
            await self._reactor.sleep(next_call_at - clock.now())

    def _on_era_changed(self, after):
        """Read all entries again, unless that has been done meanwhile.

        :param after: the revision that is of a former era, or None.
        """
        known = self.watch.revision
        if known is not None and after is not None and known.era == after.era:
            self.watch.on_compacted()

    def on_era(self, era):
        """Read all entries again when the store has begun a new era.

        A call that waits for changes does not delay it. The balancers that
        do not watch spread their reads over
        :data:`~limpetlift.defaults.ERA_SPREAD_S`.

        :param era: number of the era.
        """
        spread_s = self._rng.uniform(0.0, defaults.ERA_SPREAD_S)
        if not self.watch.on_era(era, clock.now() + spread_s):
            return
        self.wake()
        if self._after is not None:
            self._reactor.spawn(self._read_anew())

    async def _read_anew(self):
        """Read all entries while a call that waits for changes hangs."""
        await self._reactor.sleep(max(self.watch.call_at - clock.now(), 0.0))
        if self.watch.revision is not None or self._after is None:
            return
        try:
            await self._read_all()
        except exceptions.CoordinationError as error:
            LOG.warning("read_failed", prefix=self._prefix, error=error)

    def wake(self):
        """Check again whether the store has to be called now."""
        self._wakeup.set_value()

    async def _wait(self):
        """Wait until the store has to be called."""
        while self.watch.call_at > clock.now():
            self._wakeup = reactors.Future()
            timer = self._reactor.call_at(
                self.watch.call_at, self._wakeup.set_value
            )
            await self._wakeup
            timer.cancel()

    async def _update(self):
        """Call the store and handle its answer."""
        after = self.watch.revision
        began_at = clock.now()
        if after is None:
            await self._read_all()
            return
        self._after = after
        try:
            changes, revision = await self._store.changes(
                self._prefix, after, self.watch.wait_s
            )
        finally:
            self._after = None
        new_changes, messages = self.watch.on_read(
            self._observe(), began_at, after, revision, changes
        )
        self._on_changes(new_changes)
        self._send(messages, self.watch.role.receivers)

    async def _read_all(self):
        """Read all entries and handle them, unless they are outdated."""
        began_at = clock.now()
        entries, revision = await self._store.get_prefix(self._prefix)
        now = self._observe()
        if self.watch.is_outdated(revision):
            return
        known = self.watch.revision
        if known is not None and revisions.of(revision) < revisions.of(known):
            # A read that began later, or a message, has told more.
            return
        _, messages = self.watch.on_read(now, began_at, None, revision)
        self._on_snapshot(entries, revision)
        self._send(messages, self.watch.role.receivers)

    def on_message(self, message, is_outdated):
        """Handle changes that another balancer has read.

        :param message: a :class:`~limpetlift.protocol.tunnel.StoreChanges`.
        :param is_outdated: whether it waited through a pause of this process.
        """
        self._on_changes(
            self.watch.on_message(clock.now(), message, is_outdated)
        )
        if self.watch.call_at <= clock.now():
            self.wake()

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
                revision=self.watch.revision,
                code=error.code,
                error=error,
            )
