"""The task of a relay: holds a slot and watches the configuration."""

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
    """Drives a :class:`limpetlift.coordination.relays.RelaySlot`.

    :param store: a :class:`limpetlift.coordination.store.Store`.
    :param slot: the decisions.
    :param data_centre: of this process.
    :param address: ``ip:port`` that is published for starting processes.
    :param on_config: called with ``(head, data)`` read from the store.

    .. versionadded:: 0.1
    """

    def __init__(self, store, slot, data_centre, address, on_config):
        self._store = store
        self.slot = slot
        self._data_centre = data_centre
        self._value = json.dumps(
            {"id": slot.agent_id, "address": address}
        ).encode("utf-8")
        self._on_config = on_config
        self._lease = 0
        self._watcher = None
        self._calls = set()

    def tick(self):
        """Start what is due, and the watch while a slot is held."""
        for step in self.slot.tick(time.monotonic()):
            call = asyncio.ensure_future(self._perform(step))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
        holds = self.slot.slot is not None
        if holds and self._watcher is None:
            self._watcher = asyncio.ensure_future(self._watch())
        elif not holds and self._watcher is not None:
            self._watcher.cancel()
            self._watcher = None

    async def _perform(self, step):
        started = time.monotonic()
        try:
            if isinstance(step, relays.Acquire):
                await self._acquire(started, step.slot)
            elif isinstance(step, relays.KeepAlive):
                remaining = await self._store.keep_alive(self._lease)
                self.slot.on_keep_alive(started, remaining)
            else:
                await self._store.revoke(self._lease)
                self.slot.on_released(started)
        except exceptions.StoreConflict:
            self.slot.on_taken(time.monotonic())
        except exceptions.CoordinationError as error:
            LOG.warning("relay_call_failed", code=error.code, error=error)
            self.slot.on_failed(time.monotonic())

    async def _acquire(self, started, number):
        key = relays.slot_key(self._data_centre, number)
        if await self._store.get(key) is not None:
            self.slot.on_taken(time.monotonic())
            return
        lease = await self._store.grant(defaults.RELAY_LEASE_S)
        await self._store.compare_and_swap(key, 0, self._value, lease)
        self._lease = lease
        self.slot.on_acquired(started, number)
        LOG.info("relay_slot_acquired", slot=number)

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
                        await self._load(change.entry)
                        revision = change.revision
            except exceptions.CoordinationError as error:
                LOG.warning("watch_failed", code=error.code, error=error)
                # The changes since may be forgotten, so the head is read.
                revision = 0
                await asyncio.sleep(defaults.STORE_RETRY_S)

    async def _read_head(self):
        entries, revision = await self._store.get_prefix(publication.HEAD_KEY)
        for entry in entries:
            await self._load(entry)
        return revision

    async def _load(self, entry):
        head = publication.head_from_entry(entry)
        if head.revision:
            data = await publication.read_data(self._store, head)
            self._on_config(head, data)

    async def close(self):
        """Stop the watch and leave the slot."""
        for call in [*self._calls, self._watcher]:
            if call is not None:
                call.cancel()
        if self.slot.slot is not None:
            try:
                await self._store.revoke(self._lease)
            except exceptions.CoordinationError:
                # The lease lapses by itself.
                pass


async def read_addresses(store):
    """Return the ``ip:port`` of the relays, for a starting process.

    :raises StoreUnavailable: when the store does not answer.
    """
    entries, _ = await store.get_prefix(relays.PREFIX)
    return [json.loads(entry.value)["address"] for entry in entries]
