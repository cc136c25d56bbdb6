"""Reading and writing the configuration in the store.

``config/head`` is the head of the revision in force,
``config/history/<revision>`` the head of each kept revision with its author
and time, and ``config/chunks/<token>/<index>`` a part of the content. A token
begins with the revision and belongs to one attempt to write it, so that no
attempt reuses the chunks of another one or deletes them after a conflict.
"""

import secrets

import attrs

from limpetlift.coordination import distribution
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs

LOG = logs.EventLogger("publication")

HEAD_KEY = "config/head"
HISTORY_PREFIX = "config/history/"
CHUNKS_PREFIX = "config/chunks/"


def history_key(revision):
    """Return the key of the history record of a revision.

    The number is padded with zeros, so that keys sort by revision.
    """
    return "%s%012d" % (HISTORY_PREFIX, revision)


def chunk_prefix(token):
    """Return the prefix of the keys of all chunks of ``token``."""
    return "%s%s/" % (CHUNKS_PREFIX, token)


def chunk_key(token, index):
    """Return the key of the chunk at ``index``."""
    return "%s%04d" % (chunk_prefix(token), index)


async def read_data(store, head):
    """Return the content of the revision of ``head`` and check its digest.

    :raises StoreUnavailable: when the store does not answer.
    :raises ConfigIncomplete: when chunks are missing or damaged. Either they
        were pruned, and the head is outdated, or a read was stale.
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
    """Return the head in a store entry, ``EMPTY_HEAD`` for ``None``."""
    if entry is None:
        return distribution.EMPTY_HEAD
    return distribution.head_from_bytes(entry.value)


async def read_current(store):
    """Return the current head and its content, never a stale one.

    :raises StoreUnavailable: when the store does not answer.
    :raises ConfigIncomplete: when the chunks were pruned between the reads.
    """
    head = head_from_entry(await store.get_current(HEAD_KEY))
    return head, await read_data(store, head)


async def read_history(store):
    """Return the store entries of the kept history, oldest revision first."""
    entries, _ = await store.get_prefix(HISTORY_PREFIX)
    return entries


@attrs.frozen
class PublishResult:
    """Result of :meth:`Publisher.publish` when it succeeds.

    :param head: head of the revision with the new content.
    :param changed: whether a revision was written; false when the same content
        was in force already.
    """

    head: distribution.Head
    changed: bool


@attrs.define
class Publisher:
    """Writes new revisions to the store.

    :param store: a :class:`limpetlift.coordination.store.Store`.
    :param clock: function that returns the monotonic time in seconds.
    :param sleep: coroutine function that waits for a number of seconds.
    :param author: name of the operator, for the history.
    :param wall_time: seconds since the Unix epoch, for the history.
    :param new_token: function that returns a random string for the token.

    .. versionadded:: 0.1
    """

    store: object
    clock: object
    sleep: object
    author: str = ""
    wall_time: float = 0.0
    new_token: object = lambda: secrets.token_hex(8)

    async def publish(self, prepare):
        """Publish new content as the next revision.

        :param prepare: function that receives the content in force (empty
            when there is none) and returns the new content. It is called
            again when another operator published a revision meanwhile. When
            it raises, nothing is published.
        :returns: a :class:`PublishResult`.
        :raises StoreUnavailable: when nothing was published.
        :raises StoreConflict: when nothing was published, because others
            published a revision during each of the APPLY_ATTEMPTS attempts.
        :raises StoreOutcomeUnknown: when the revision may have been published
            or may still be published later.
        """
        deadline = self.clock() + defaults.APPLY_RESOLVE_TIMEOUT_S
        for _attempt in range(defaults.APPLY_ATTEMPTS):
            entry = await self._read_head(deadline)
            head = head_from_entry(entry)
            try:
                current = await read_data(self.store, head)
            except exceptions.ConfigIncomplete:
                # Another operator pruned the chunks and wrote a newer head.
                continue
            data = prepare(current)
            if distribution.compute_digest(data) == head.digest:
                return PublishResult(head, changed=False)
            written = await self._write(entry, head, data, deadline)
            if written is not None:
                await self._prune(written.revision)
                return PublishResult(written, changed=True)
        raise exceptions.StoreConflict(
            "the configuration changed during each of %d attempts to write it"
            % defaults.APPLY_ATTEMPTS
        )

    async def _read_head(self, deadline):
        while True:
            try:
                return await self.store.get_current(HEAD_KEY)
            except exceptions.StoreUnavailable as error:
                await self._wait(deadline, error)

    async def _wait(self, deadline, error):
        """Wait before the next attempt; raise ``error`` at the deadline."""
        if self.clock() >= deadline:
            raise error
        await self.sleep(defaults.APPLY_RETRY_S)

    async def _write(self, entry, earlier, data, deadline):
        """Write ``data`` as the revision after ``earlier``.

        :param entry: store entry of ``earlier``, or ``None``.
        :param earlier: the head in force.
        :returns: the new head, or ``None`` when another operator changed the
            head meanwhile.
        """
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
                # Only this attempt writes the key, so an earlier write took
                # effect and its response was lost.
                return
            except exceptions.StoreOutcomeUnknown as error:
                # A chunk has no effect until a head refers to it, so nothing
                # was published.
                if self.clock() >= deadline:
                    raise exceptions.StoreUnavailable(str(error)) from error
                await self.sleep(defaults.APPLY_RETRY_S)
            except exceptions.StoreUnavailable as error:
                await self._wait(deadline, error)

    async def _commit(self, head, mod_revision, deadline):
        """Write the head and its history record.

        After a lost response the same write is repeated instead of reading
        the head, because a read could be stale and the first write may still
        be in progress. The repeated write either succeeds or fails with a
        conflict that contains the history record of the revision. In both
        cases the first write can no longer take effect.

        :param mod_revision: store revision of the head to be replaced, 0 when
            there is none.
        :returns: whether this attempt wrote the revision; false when another
            operator changed the head first.
        """
        values = {
            HEAD_KEY: head.to_bytes(),
            history_key(head.revision): head.to_bytes(
                author=self.author, time=self.wall_time
            ),
        }
        outcome_error = None
        while True:
            try:
                await self.store.commit(HEAD_KEY, mod_revision, values)
                return True
            except exceptions.StoreConflict as error:
                return self._is_own_revision(head, error, outcome_error)
            except exceptions.StoreOutcomeUnknown as error:
                outcome_error = error
                if self.clock() >= deadline:
                    raise
            except exceptions.StoreUnavailable:
                if self.clock() >= deadline:
                    if outcome_error is not None:
                        raise outcome_error
                    raise
            await self.sleep(defaults.APPLY_RETRY_S)

    def _is_own_revision(self, head, conflict, outcome_error):
        """Return whether this attempt wrote the revision of ``head``.

        :param head: the head that this attempt writes.
        :param conflict: the :class:`StoreConflict` of the last write.
        :param outcome_error: the :class:`StoreOutcomeUnknown` of an earlier
            write of the same head, or ``None``.
        """
        record = conflict.entries_by_key[history_key(head.revision)]
        if record is not None:
            return head_from_entry(record).token == head.token
        newest = head_from_entry(conflict.entries_by_key[HEAD_KEY]).revision
        if outcome_error is not None and newest >= head.revision:
            # The history record, which has the token, was pruned.
            raise outcome_error
        return False

    async def _prune(self, revision):
        """Delete all but the newest CONFIG_HISTORY_REVISIONS revisions."""
        oldest = revision - defaults.CONFIG_HISTORY_REVISIONS + 1
        if oldest > 1:
            await self._delete(HISTORY_PREFIX, history_key(oldest))
            await self._delete(
                CHUNKS_PREFIX, "%s%012d" % (CHUNKS_PREFIX, oldest)
            )

    async def _delete(self, start, end):
        try:
            await self.store.delete_range(start, end)
        except exceptions.CoordinationError as error:
            # The next attempt to publish deletes what is left.
            LOG.warning("prune_failed", start=start, error=error)
