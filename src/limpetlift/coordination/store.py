"""Client of the platform's key-value store.

The client calls the etcd v3 JSON gateway. It supports single keys, prefixes,
compare-and-swap, leases and watches. The errors say whether a call took
effect:

* :class:`StoreUnavailable`: the call had no effect.
* :class:`StoreOutcomeUnknown`: the response to a write was lost; the write may
  have taken effect, or may still take effect later.
* :class:`StoreConflict`: a compare-and-swap found that the key had changed and
  had no effect.

Plain reads may be stale. The values that a transaction returns were current
when the store executed it.
"""

import base64

from limpetlift.coordination import entries
from limpetlift import exceptions
from limpetlift import metrics

Entry = entries.Entry
Change = entries.Change


class Store:
    """Client of the store.

    :param transport: object with ``call(path, body, write)``, a coroutine
        function that returns the decoded response, and ``stream(path, body)``,
        an asynchronous iterator of decoded messages. Both raise the errors
        that the module docstring lists.
    :param prefix: prefix that is added to all keys in the store; callers pass
        and receive keys without it.

    .. versionadded:: 0.1
    """

    def __init__(self, transport, prefix=""):
        self._transport = transport
        self._prefix = prefix

    async def get(self, key):
        """Return the :class:`Entry` of ``key``, or ``None``; may be stale.

        :raises StoreUnavailable: when the store does not answer.
        """
        response = await self._call("get", "kv/range", {"key": self._key(key)})
        found = self._decode_entries(response)
        return found[0] if found else None

    async def get_prefix(self, prefix):
        """Return ``(entries, revision)`` below ``prefix``; may be stale.

        :param prefix: at least one character.
        :returns: the entries in the order of their keys, and the revision of
            the store, to be passed to :meth:`watch`.
        :raises StoreUnavailable: when the store does not answer.
        """
        body = self._range(prefix, _prefix_end(prefix))
        response = await self._call("get_prefix", "kv/range", body)
        return self._decode_entries(response), _revision(response)

    async def get_current(self, key):
        """Return the :class:`Entry` of ``key``, or ``None``; never stale.

        The store runs a round of consensus for each call, so this is meant
        for the start of a process and for reads that a decision depends on,
        not for routine reads.

        :raises StoreUnavailable: when the store does not answer.
        """
        # No key has the revision -1, so the write is never executed. The
        # store orders a transaction with a write among all writes, so the
        # reads of its failure branch are current.
        body = self._transaction(key, -1, {key: b""})
        response = await self._call("get_current", "kv/txn", body)
        return self._entries_by_key(response).get(key)

    async def compare_and_swap(self, key, mod_revision, value, lease=0):
        """Write ``key`` if it was not written since ``mod_revision``.

        :param mod_revision: revision of the key's last write, 0 if the key
            must not exist.
        :param lease: id of the lease to attach the key to, or 0.
        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the response was lost.
        :raises StoreConflict: when the key was written meanwhile.
        """
        await self.commit(key, mod_revision, {key: value}, lease)

    async def commit(self, key, mod_revision, values_by_key, lease=0):
        """Write several keys atomically if ``key`` is unchanged.

        :param mod_revision: revision of the last write of ``key``, 0 if it
            must not exist.
        :param values_by_key: values to write; need not contain ``key``.
        :param lease: id of the lease to attach the keys to, or 0.
        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the response was lost.
        :raises StoreConflict: when ``key`` was written meanwhile; the error
            has the current entries.
        """
        body = self._transaction(key, mod_revision, values_by_key, lease)
        response = await self._call("commit", "kv/txn", body, write=True)
        if response.get("succeeded"):
            return
        metrics.STORE_CALLS.labels("commit", "conflict").inc()
        found_by_key = self._entries_by_key(response)
        raise exceptions.StoreConflict(
            "key %r was changed in the store meanwhile" % key,
            {name: found_by_key.get(name) for name in (key, *values_by_key)},
        )

    def _transaction(self, key, mod_revision, values_by_key, lease=0):
        compare = {
            "key": self._key(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(mod_revision),
        }
        writes = [
            {"request_put": self._put(name, value, lease)}
            for name, value in values_by_key.items()
        ]
        names = dict.fromkeys([key, *values_by_key])
        reads = [{"request_range": {"key": self._key(name)}} for name in names]
        return {"compare": [compare], "success": writes, "failure": reads}

    def _entries_by_key(self, response):
        return {
            entry.key: entry
            for item in response.get("responses", ())
            for entry in self._decode_entries(item.get("response_range", {}))
        }

    async def delete(self, key):
        """Delete ``key`` if it exists.

        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the response was lost; the call may
            be repeated.
        """
        body = {"key": self._key(key)}
        await self._call("delete", "kv/deleterange", body, write=True)

    async def delete_range(self, start, end):
        """Delete the keys from ``start`` (included) to ``end`` (excluded).

        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the response was lost.
        """
        body = self._range(start, end)
        await self._call("delete", "kv/deleterange", body, write=True)

    async def grant(self, ttl_s):
        """Return the id of a new lease that lapses after ``ttl_s`` seconds.

        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the response was lost. The lease may
            exist then, and lapses without renewal.
        """
        body = {"TTL": str(ttl_s)}
        response = await self._call("grant", "lease/grant", body, write=True)
        return int(response.get("ID", 0))

    async def keep_alive(self, lease):
        """Renew a lease.

        :returns: seconds until the lease lapses, 0 when it has lapsed.
        :raises StoreUnavailable: when the store does not answer; the lease
            may or may not have been renewed.
        """
        response = await self._call(
            "keep_alive", "lease/keepalive", {"ID": str(lease)}
        )
        return int(response.get("result", {}).get("TTL", 0))

    async def revoke(self, lease):
        """End a lease; the store deletes the keys that are attached to it.

        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the response was lost.
        """
        body = {"ID": str(lease)}
        await self._call("revoke", "lease/revoke", body, write=True)

    async def watch(self, prefix, after_revision):
        """Yield lists of the :class:`Change` of keys below ``prefix``.

        The iterator ends with the connection. The caller then calls this
        method again with the revision of the last change.

        :param after_revision: store revision after which changes are
            reported.
        :raises StoreUnavailable: when the store does not answer. With the
            code ``compacted``, the store no longer has the changes since that
            revision, and the caller must read the keys again.
        """
        request = self._range(prefix, _prefix_end(prefix))
        request["start_revision"] = str(after_revision + 1)
        metrics.STORE_CALLS.labels("watch", "opened").inc()
        async for message in self._transport.stream(
            "watch", {"create_request": request}
        ):
            result = message.get("result", {})
            if result.get("canceled"):
                raise exceptions.StoreUnavailable(
                    "the store cancelled the watch",
                    "compacted" if result.get("compact_revision") else None,
                )
            changes = [
                self._decode_change(item) for item in result.get("events", ())
            ]
            if changes:
                yield changes

    async def _call(self, name, path, body, write=False):
        try:
            response = await self._transport.call(path, body, write)
        except exceptions.CoordinationError as error:
            metrics.STORE_CALLS.labels(name, error.code).inc()
            raise
        metrics.STORE_CALLS.labels(name, "ok").inc()
        return response

    def _key(self, key):
        return _encode((self._prefix + key).encode("utf-8"))

    def _range(self, start, end):
        return {"key": self._key(start), "range_end": self._key(end)}

    def _put(self, key, value, lease):
        put = {"key": self._key(key), "value": _encode(value)}
        if lease:
            put["lease"] = str(lease)
        return put

    def _decode_entries(self, response):
        return [self._decode_entry(item) for item in response.get("kvs", ())]

    def _decode_entry(self, item):
        key = base64.b64decode(item["key"]).decode("utf-8")
        return Entry(
            key.removeprefix(self._prefix),
            base64.b64decode(item.get("value", "")),
            int(item.get("mod_revision", 0)),
            int(item.get("lease", 0)),
        )

    def _decode_change(self, item):
        entry = self._decode_entry(item["kv"])
        deleted = item.get("type") == "DELETE"
        return Change(
            entry.key, None if deleted else entry, entry.mod_revision
        )


def _encode(data):
    return base64.b64encode(data).decode("ascii")


def _revision(response):
    return int(response.get("header", {}).get("revision", 0))


def _prefix_end(prefix):
    """Return the first key after all keys with ``prefix``.

    Keys are ASCII, so the last character can be incremented.
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
