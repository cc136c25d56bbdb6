"""Reading and writing the configuration in the store.

Keys: ``config/head`` (the revision in force), ``config/history/<revision>``
(the head and who wrote it) and ``config/chunks/<token>/<n>`` (the bytes). A
token begins with the revision and belongs to one attempt to apply, so no
attempt ever reuses or deletes the chunks of another one.
"""

import secrets

import attrs

from limpetlift.coordination import distribution
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs

LOG = logs.EventLogger("publication")

HEAD_KEY = "config/head"
HISTORY = "config/history/"
CHUNKS = "config/chunks/"


def history_key(revision):
    """Return the key of a revision's record; keys sort by revision."""
    return "%s%012d" % (HISTORY, revision)


def chunk_prefix(token):
    """Return the prefix of the keys of the chunks of ``token``."""
    return "%s%s/" % (CHUNKS, token)


def chunk_key(token, index):
    """Return the key of one chunk."""
    return "%s%04d" % (chunk_prefix(token), index)


async def read_data(store, head):
    """Return the checked bytes of ``head``.

    :raises StoreUnavailable: when the store does not answer.
    :raises ConfigIncomplete: when chunks are missing or damaged; either they
        were pruned, and the head is outdated, or the read was stale.
    """
    if not head.revision:
        return b""
    count = len(range(0, head.size, defaults.CONFIG_CHUNK_BYTES))
    chunks = []
    for index in range(count):
        key = chunk_key(head.token, index)
        entry = await store.get(key) or await store.get_current(key)
        chunks.append(entry.value if entry is not None else b"")
    data = b"".join(chunks)
    distribution.check_data(head, data)
    return data


def head_from_entry(entry):
    """Return the head in an entry, ``EMPTY_HEAD`` for ``None``."""
    if entry is None:
        return distribution.EMPTY_HEAD
    return distribution.head_from_bytes(entry.value)


async def read_current(store):
    """Return ``(head, data)`` as they certainly are now.

    :raises StoreUnavailable: when the store does not answer.
    :raises ConfigIncomplete: when the bytes were pruned meanwhile.
    """
    head = head_from_entry(await store.get_current(HEAD_KEY))
    return head, await read_data(store, head)


async def read_history(store):
    """Return the kept records by rising revision, as entries."""
    entries, _ = await store.get_prefix(HISTORY)
    return entries


@attrs.frozen
class Verdict:
    """What an apply did. Errors say that, or whether, it did nothing.

    :param head: the revision that holds the configuration.
    :param changed: false when it was in force already.
    """

    head: distribution.Head
    changed: bool


@attrs.define
class Publisher:
    """Writes new revisions.

    :param store: a :class:`limpetlift.coordination.store.Store`.
    :param clock: returns monotonic seconds.
    :param sleep: coroutine function that waits some seconds.
    :param author: who applies, for the history.
    :param wall_time: seconds since the epoch, for the history.

    .. versionadded:: 0.1
    """

    store: object
    clock: object
    sleep: object
    author: str = ""
    wall_time: float = 0.0
    new_token: object = lambda: secrets.token_hex(8)

    async def publish(self, prepare):
        """Apply what ``prepare(data)`` returns; return a :class:`Verdict`.

        :param prepare: called with the bytes now in force (empty when there
            are none), and again when they changed meanwhile; returns the new
            bytes or raises, in which case nothing is applied.
        :raises StoreUnavailable: nothing was applied.
        :raises StoreConflict: nothing was applied; others write too often.
        :raises StoreOutcomeUnknown: it may have been applied or may yet be.
        """
        deadline = self.clock() + defaults.APPLY_RESOLVE_TIMEOUT_S
        for _attempt in range(defaults.APPLY_ATTEMPTS):
            entry = await self._read_head(deadline)
            head = head_from_entry(entry)
            try:
                current = await read_data(self.store, head)
            except exceptions.ConfigIncomplete:
                # Another operator pruned it; the head has moved on.
                continue
            data = prepare(current)
            if distribution.compute_digest(data) == head.digest:
                return Verdict(head, changed=False)
            written = await self._write(entry, head, data, deadline)
            if written is not None:
                await self._prune(written.revision)
                return Verdict(written, changed=True)
        raise exceptions.StoreConflict(
            "the configuration changed %d times meanwhile"
            % defaults.APPLY_ATTEMPTS
        )

    async def _read_head(self, deadline):
        while True:
            try:
                return await self.store.get_current(HEAD_KEY)
            except exceptions.StoreUnavailable as error:
                await self._wait(deadline, error)

    async def _wait(self, deadline, error):
        """Wait before the next try; raise ``error`` after the deadline."""
        if self.clock() >= deadline:
            raise error
        await self.sleep(defaults.APPLY_RETRY_S)

    async def _write(self, entry, earlier, data, deadline):
        """Return the new head, or ``None`` when another one was faster."""
        revision = earlier.revision + 1
        token = "%012d-%s" % (revision, self.new_token())
        for index, chunk in enumerate(distribution.split_chunks(data)):
            await self._write_chunk(chunk_key(token, index), chunk, deadline)
        head = distribution.Head(
            revision, distribution.compute_digest(data), len(data), token
        )
        mod_revision = entry.mod_revision if entry is not None else 0
        if await self._commit(head, mod_revision, deadline):
            return head
        await self._delete(chunk_prefix(token), chunk_prefix(token) + "~")
        return None

    async def _write_chunk(self, key, chunk, deadline):
        while True:
            try:
                await self.store.compare_and_swap(key, 0, chunk)
                return
            except exceptions.StoreConflict:
                # Only this attempt writes the key: an answer was lost.
                return
            except exceptions.StoreOutcomeUnknown as error:
                # Without a head that names it, a chunk has no effect.
                if self.clock() >= deadline:
                    raise exceptions.StoreUnavailable(str(error)) from error
                await self.sleep(defaults.APPLY_RETRY_S)
            except exceptions.StoreUnavailable as error:
                await self._wait(deadline, error)

    async def _commit(self, head, mod_revision, deadline):
        """Return whether ``head`` is in force as its revision.

        After a lost answer the same write is repeated. A read could be stale,
        and the first write may still be under way. The repeated write
        either succeeds, or its conflict shows who wrote the revision, and
        after either the first write can no longer take effect.
        """
        values = {
            HEAD_KEY: head.to_bytes(),
            history_key(head.revision): head.to_bytes(
                author=self.author, time=self.wall_time
            ),
        }
        lost = None
        while True:
            try:
                await self.store.commit(HEAD_KEY, mod_revision, values)
                return True
            except exceptions.StoreConflict as error:
                return self._is_own(head, error, lost)
            except exceptions.StoreOutcomeUnknown as error:
                lost = error
                if self.clock() >= deadline:
                    raise
            except exceptions.StoreUnavailable:
                if self.clock() >= deadline:
                    if lost is not None:
                        raise lost
                    raise
            await self.sleep(defaults.APPLY_RETRY_S)

    def _is_own(self, head, conflict, lost):
        record = conflict.entries_by_key[history_key(head.revision)]
        if record is not None:
            return head_from_entry(record).token == head.token
        newest = head_from_entry(conflict.entries_by_key[HEAD_KEY]).revision
        if lost is not None and newest >= head.revision:
            # The record that would tell was pruned.
            raise lost
        return False

    async def _prune(self, revision):
        oldest = revision - defaults.CONFIG_HISTORY_REVISIONS + 1
        if oldest > 1:
            await self._delete(HISTORY, history_key(oldest))
            await self._delete(CHUNKS, "%s%012d" % (CHUNKS, oldest))

    async def _delete(self, start, end):
        try:
            await self.store.delete_range(start, end)
        except exceptions.CoordinationError as error:
            # What is left is deleted by the next apply.
            LOG.warning("prune_failed", start=start, error=error)
