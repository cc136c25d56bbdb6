"""Task that keeps the entry of this process in the store."""

from limpetlift import clock
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.tasks import backoff
from limpetlift.transport import reactor as reactors

LOG = logs.EventLogger("announcing")


class Announcer:
    """Writes an entry to the store and renews its lease, if it has one.

    Every write is conditional on the last known revision of the entry, so
    that a write whose response was lost cannot undo a later write if it takes
    effect late.

    :param reactor: the event loop.
    :param store: client of the store, with the methods ``get``,
        ``compare_and_swap``, ``remove``, ``grant``, ``keep_alive`` and
        ``revoke`` of :class:`limpetlift.platform.store.PlatformStore`.
    :param key: key of the entry.
    :param value: value of the entry, as bytes.
    :param rng: a :class:`random.Random`, for the jitter of the backoff.
    :param lease_s: time to live of the entry's lease, or 0 for an entry
        without a lease.

    .. versionadded:: 0.2
    """

    def __init__(self, reactor, store, key, value, rng, lease_s=0.0):
        self._reactor = reactor
        self._store = store
        self._key = key
        self._value = value
        self._backoff = backoff.Backoff(reactor, rng)
        self._withdraw_backoff = backoff.Backoff(reactor, rng)
        self._check_backoff = backoff.Backoff(reactor, rng)
        self._is_checking = False
        self._rng = rng
        # Number of new eras of the store so far.
        self._era_count = 0
        self._lease_s = lease_s
        self._lease = 0
        self._revision = 0
        self._is_written = False
        self._is_withdrawing = False
        self._renew_at = 0.0
        self._wakeup = reactors.Future()
        self._ignore_missing_until = float("-inf")
        self._is_announced = False

    def on_entry_missing(self):
        """Write the entry again after it was found missing in the store.

        Further calls are ignored until other processes have had time to read
        the new entry.
        """
        now = clock.now()
        if (
            not self._is_written
            or self._is_withdrawing
            or now < self._ignore_missing_until
        ):
            return
        self._ignore_missing_until = now + defaults.LAPSED_ENTRY_GRACE_S
        LOG.warning("entry_missing", key=self._key, lease=self._lease)
        self._is_written = False
        self._wakeup.set_value()

    def replace(self, value):
        """Write another value to the entry.

        :param value: the new value, as bytes.
        """
        self._value = value
        self._is_written = False
        # A write in progress is followed by one of the new value.
        self._wakeup.set_value()

    def on_era(self):
        """Write the entry again, since the store has begun a new era.

        The lease and the revision of the former era are void; another process
        may have the same ones by now. The processes spread their writes over
        :data:`~limpetlift.defaults.ERA_SPREAD_S`.
        """
        self._era_count += 1
        self._revision = 0
        self._lease = 0
        if not self._is_written or self._is_withdrawing:
            return
        self._reactor.call_at(
            clock.now() + self._rng.uniform(0.0, defaults.ERA_SPREAD_S),
            self._write_again,
        )

    def _write_again(self):
        if not self._is_withdrawing:
            self._is_written = False
            self._wakeup.set_value()

    def check_entry(self):
        """Read the entry; write it again if it is missing or another one.

        Further calls are ignored until the read has succeeded and
        :data:`~limpetlift.defaults.ENTRY_CHECK_INTERVAL_S` has passed.
        """
        if self._is_written and not (
            self._is_withdrawing or self._is_checking
        ):
            self._is_checking = True
            self._reactor.spawn(self._check_entry())

    async def _check_entry(self):
        try:
            entry = await self._read_entry()
            if self._is_withdrawing or not self._is_written:
                return
            self._revision = entry.mod_revision if entry else 0
            if entry is None or entry.value != self._value:
                LOG.warning("entry_missing", key=self._key, lease=self._lease)
                self._is_written = False
                self._wakeup.set_value()
            await self._reactor.sleep(defaults.ENTRY_CHECK_INTERVAL_S)
        finally:
            self._is_checking = False

    async def _read_entry(self):
        """Return the entry in the store, as soon as it can be read."""
        self._check_backoff.reset()
        while True:
            try:
                return await self._store.get(self._key)
            except exceptions.CoordinationError as error:
                if self._is_withdrawing:
                    return None
                LOG.warning("entry_unread", key=self._key, error=error)
            await self._check_backoff.wait()

    async def run(self):
        """Keep the entry in the store until it is withdrawn."""
        while not self._is_withdrawing:
            try:
                await self._update()
            except exceptions.CoordinationError as error:
                self._log_transition(False, error)
                await self._backoff.wait()
                continue
            self._log_transition(True, "")
            self._backoff.reset()
            await self._wait()

    async def _wait(self):
        """Wait until the entry is missing or its lease is due for renewal."""
        if not self._is_written:
            return
        self._wakeup = reactors.Future()
        timer = None
        if self._lease_s:
            timer = self._reactor.call_at(
                self._renew_at, self._wakeup.set_value
            )
        await self._wakeup
        if timer is not None:
            timer.cancel()

    async def _update(self):
        if self._lease_s:
            await self._keep_lease(clock.now())
        if not self._is_written:
            await self._write()

    async def _keep_lease(self, now):
        if self._lease and now >= self._renew_at:
            remaining_s = await self._store.keep_alive(self._lease)
            if not remaining_s:
                LOG.warning("lease_lapsed", key=self._key, lease=self._lease)
                self._lease = 0
            self._renew_at = now + defaults.ENTRY_RENEW_INTERVAL_S
        if not self._lease:
            self._lease = await self._store.grant(self._lease_s)
            self._is_written = False
            self._renew_at = now + defaults.ENTRY_RENEW_INTERVAL_S

    async def _write(self):
        value, era_count = self._value, self._era_count
        try:
            self._revision = await self._store.compare_and_swap(
                self._key, self._revision, value, self._lease
            )
        except exceptions.StoreConflict as error:
            entry = error.entries_by_key.get(self._key)
            self._revision = entry.mod_revision if entry else 0
            if entry is None or self._lease_s or entry.value != value:
                raise
            # The entry was written before a restart and is still the same.
        except exceptions.LeaseEnded:
            self._lease = 0
            raise
        # A lease of the former era may be in what was written.
        self._is_written = self._value == value and (
            era_count == self._era_count or not self._lease_s
        )
        LOG.info(
            "entry_written",
            key=self._key,
            revision=self._revision,
            lease=self._lease,
        )

    def _log_transition(self, is_announced, error):
        if is_announced == self._is_announced:
            return
        self._is_announced = is_announced
        if is_announced:
            LOG.info("announced", key=self._key)
        else:
            LOG.warning(
                "announcing_failed",
                key=self._key,
                code=error.code,
                error=error,
            )

    async def withdraw(self, give_up_at=float("-inf")):
        """Remove the entry, including one written before a restart.

        :param give_up_at: until then a failed call is repeated. An entry that
            stays is dealt with: a lease expires, and balancers remove the
            entry of an agent that stays silent.
        """
        self._is_withdrawing = True
        while True:
            try:
                await self._remove()
                return
            except exceptions.CoordinationError as error:
                LOG.warning("withdraw_failed", key=self._key, error=error)
            if clock.now() >= give_up_at:
                return
            await self._withdraw_backoff.wait()

    async def _remove(self):
        if self._lease:
            await self._store.revoke(self._lease)
            return
        # After the first try the revision is read again, because its answer
        # may have been lost.
        revision, self._revision = self._revision, 0
        if not revision:
            entry = await self._store.get(self._key)
            if entry is None:
                return
            revision = entry.mod_revision
        await self._store.remove(self._key, revision)
