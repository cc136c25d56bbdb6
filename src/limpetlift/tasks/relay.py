"""Relays: balancers that watch the configuration in the store."""

import asyncio
import json
import time

from limpetlift.coordination import publication
from limpetlift.coordination import relays
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs

LOG = logs.EventLogger("relay")


class Relay:
    """Acquires a relay slot and watches the configuration while it holds it.

    It makes the calls on the store that a
    :class:`limpetlift.coordination.relays.RelaySlot` returns.

    :param store: a :class:`limpetlift.coordination.store.Store`.
    :param relay_slot: the ``RelaySlot``.
    :param data_centre: name of this process's data centre.
    :param address: ``ip:port`` of this process; processes that start read it
        from the slot's entry as a seed.
    :param on_config: called with ``(head, data)`` of each configuration read
        from the store.

    .. versionadded:: 0.1
    """

    def __init__(self, store, relay_slot, data_centre, address, on_config):
        self._store = store
        self.relay_slot = relay_slot
        self._data_centre = data_centre
        self._slot_value = json.dumps(
            {"id": relay_slot.agent_id, "address": address}
        ).encode("utf-8")
        self._on_config = on_config
        self._lease_id = 0
        self._watcher = None
        self._background_tasks = set()

    def tick(self):
        """Start the calls that are due; start or stop the watch."""
        for action in self.relay_slot.tick(time.monotonic()):
            task = asyncio.ensure_future(self._perform(action))
            self._background_tasks.add(task)
            task.add_done_callback(self._background_tasks.discard)
        is_held = self.relay_slot.slot is not None
        if is_held and self._watcher is None:
            self._watcher = asyncio.ensure_future(self._watch())
        elif not is_held and self._watcher is not None:
            self._watcher.cancel()
            self._watcher = None

    async def _perform(self, action):
        started_at = time.monotonic()
        try:
            if isinstance(action, relays.Acquire):
                await self._acquire(started_at, action.slot)
            elif isinstance(action, relays.KeepAlive):
                remaining_s = await self._store.keep_alive(self._lease_id)
                self.relay_slot.on_keep_alive(started_at, remaining_s)
            else:
                await self._store.revoke(self._lease_id)
                self.relay_slot.on_released(started_at)
        except exceptions.StoreConflict:
            self.relay_slot.on_taken(time.monotonic())
        except exceptions.CoordinationError as error:
            LOG.warning("relay_call_failed", code=error.code, error=error)
            self.relay_slot.on_failed(time.monotonic())

    async def _acquire(self, started_at, slot_number):
        key = relays.slot_key(self._data_centre, slot_number)
        if await self._store.get(key) is not None:
            self.relay_slot.on_taken(time.monotonic())
            return
        lease_id = await self._store.grant(defaults.RELAY_LEASE_S)
        await self._store.compare_and_swap(key, 0, self._slot_value, lease_id)
        self._lease_id = lease_id
        self.relay_slot.on_acquired(started_at, slot_number)
        LOG.info("relay_slot_acquired", slot=slot_number)

    async def _watch(self):
        revision = 0
        while True:
            try:
                if not revision:
                    revision = await self._read_head()
                async for changes in self._store.watch(
                    publication.HEAD_KEY, revision
                ):
                    for change in changes:
                        await self._load_config(change.entry)
                        revision = change.revision
            except exceptions.CoordinationError as error:
                LOG.warning("watch_failed", code=error.code, error=error)
                # The store may have compacted the changes since then, so the
                # head is read again.
                revision = 0
                await asyncio.sleep(defaults.STORE_RETRY_S)

    async def _read_head(self):
        entries, revision = await self._store.get_prefix(publication.HEAD_KEY)
        for entry in entries:
            await self._load_config(entry)
        return revision

    async def _load_config(self, entry):
        head = publication.head_from_entry(entry)
        if head.revision:
            data = await publication.read_data(self._store, head)
            self._on_config(head, data)

    async def close(self):
        """Stop the watch and the calls, and release the slot."""
        for task in [*self._background_tasks, self._watcher]:
            if task is not None:
                task.cancel()
        if self.relay_slot.slot is not None:
            try:
                await self._store.revoke(self._lease_id)
            except exceptions.CoordinationError:
                # Without the call, the lease expires after RELAY_LEASE_S.
                pass


async def read_addresses(store):
    """Return the ``ip:port`` of the relays, the seeds of new processes.

    :raises StoreUnavailable: when the store is unavailable.
    """
    entries, _ = await store.get_prefix(relays.PREFIX)
    return [json.loads(entry.value)["address"] for entry in entries]
