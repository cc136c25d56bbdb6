"""Client of the platform's key-value store.

The store is reached through the etcd v3 JSON gateway. The interface is
narrow: single keys, prefixes, compare-and-swap, leases and watches. Each call
says what a failure means for its effect:

* :class:`StoreUnavailable`: the call had no effect.
* :class:`StoreOutcomeUnknown`: a write whose answer was lost; it may have
  taken effect, or may still take effect later.
* :class:`StoreConflict`: a compare-and-swap found another value and had no
  effect.

Reads may be stale. What a transaction reports is current when it was made.
"""

import base64

from limpetlift.coordination import entries
from limpetlift import exceptions
from limpetlift import metrics

Entry = entries.Entry
Change = entries.Change


class Store:
    """The store, over a transport.

    :param transport: has ``call(path, body, write)``, a coroutine function
        that returns the decoded answer, and ``stream(path, body)``, an
        asynchronous iterator of decoded messages. Both raise the errors of
        the module.
    :param prefix: put before every key.

    .. versionadded:: 0.1
    """

    def __init__(self, transport, prefix=""):
        self._transport = transport
        self._prefix = prefix

    async def get(self, key):
        """Return the :class:`Entry` of ``key``, or ``None``; may be stale.

        :raises StoreUnavailable: when the store does not answer.
        """
        answer = await self._call("get", "kv/range", {"key": self._key(key)})
        entries = self._entries(answer)
        return entries[0] if entries else None

    async def get_prefix(self, prefix):
        """Return ``(entries, revision)`` below ``prefix``; may be stale.

        :param prefix: at least one character.
        :returns: the entries by rising key, and the revision of the store,
            after which a watch continues.
        :raises StoreUnavailable: when the store does not answer.
        """
        body = self._range(prefix, _prefix_end(prefix))
        answer = await self._call("get_prefix", "kv/range", body)
        return self._entries(answer), _revision(answer)

    async def get_current(self, key):
        """Return the :class:`Entry` of ``key``, or ``None``; never stale.

        This costs the store a round of agreement. It is for verdicts and
        starts, not for routine reads.

        :raises StoreUnavailable: when the store does not answer.
        """
        # No key has this revision. A transaction that could write is ordered
        # among the writes, so the answer of its other branch is current.
        body = self._transaction(key, -1, {key: b""})
        answer = await self._call("get_current", "kv/txn", body)
        return self._found(answer).get(key)

    async def compare_and_swap(self, key, mod_revision, value, lease=0):
        """Write ``key`` if its last write is ``mod_revision`` (0: absent).

        :param lease: lease to bind the key to, or 0.
        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        :raises StoreConflict: when the key was written meanwhile.
        """
        await self.commit(key, mod_revision, {key: value}, lease)

    async def commit(self, key, mod_revision, values_by_key, lease=0):
        """Write several keys at once if ``key`` is unchanged.

        :param values_by_key: what to write; need not contain ``key``.
        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        :raises StoreConflict: when ``key`` was written meanwhile.
        """
        body = self._transaction(key, mod_revision, values_by_key, lease)
        answer = await self._call("commit", "kv/txn", body, write=True)
        if answer.get("succeeded"):
            return
        metrics.STORE_CALLS.labels("commit", "conflict").inc()
        found = self._found(answer)
        raise exceptions.StoreConflict(
            "%s was changed meanwhile" % key,
            {name: found.get(name) for name in (key, *values_by_key)},
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

    def _found(self, answer):
        return {
            entry.key: entry
            for response in answer.get("responses", ())
            for entry in self._entries(response.get("response_range", {}))
        }

    async def delete(self, key):
        """Delete ``key``; repeating it does no harm.

        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        """
        body = {"key": self._key(key)}
        await self._call("delete", "kv/deleterange", body, write=True)

    async def delete_range(self, start, end):
        """Delete the keys from ``start`` to before ``end``.

        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        """
        body = self._range(start, end)
        await self._call("delete", "kv/deleterange", body, write=True)

    async def grant(self, ttl_s):
        """Return the id of a new lease that lapses after ``ttl_s`` seconds.

        A lease whose id was lost in an answer lapses by itself.

        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        """
        body = {"TTL": str(ttl_s)}
        answer = await self._call("grant", "lease/grant", body, write=True)
        return int(answer.get("ID", 0))

    async def keep_alive(self, lease):
        """Renew a lease; return the seconds it has, 0 when it has lapsed.

        :raises StoreUnavailable: when the store does not answer; the lease
            may or may not have been renewed.
        """
        answer = await self._call(
            "keep_alive", "lease/keepalive", {"ID": str(lease)}
        )
        return int(answer.get("result", {}).get("TTL", 0))

    async def revoke(self, lease):
        """End a lease; its keys are deleted.

        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        """
        body = {"ID": str(lease)}
        await self._call("revoke", "lease/revoke", body, write=True)

    async def watch(self, prefix, after_revision):
        """Yield lists of :class:`Change` below ``prefix``.

        Ends when the connection ends; the caller watches again after the
        last revision it saw.

        :param after_revision: changes after this revision are reported.
        :raises StoreUnavailable: when the store does not answer, or with the
            code ``compacted`` when it has forgotten that revision and the
            caller must read the keys again.
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
                    "the watch was cancelled",
                    "compacted" if result.get("compact_revision") else None,
                )
            changes = [self._change(item) for item in result.get("events", ())]
            if changes:
                yield changes

    async def _call(self, name, path, body, write=False):
        try:
            answer = await self._transport.call(path, body, write)
        except exceptions.CoordinationError as error:
            metrics.STORE_CALLS.labels(name, error.code).inc()
            raise
        metrics.STORE_CALLS.labels(name, "ok").inc()
        return answer

    def _key(self, key):
        return _encode((self._prefix + key).encode("utf-8"))

    def _range(self, start, end):
        return {"key": self._key(start), "range_end": self._key(end)}

    def _put(self, key, value, lease):
        put = {"key": self._key(key), "value": _encode(value)}
        if lease:
            put["lease"] = str(lease)
        return put

    def _entries(self, answer):
        return [self._entry(item) for item in answer.get("kvs", ())]

    def _entry(self, item):
        key = base64.b64decode(item["key"]).decode("utf-8")
        return Entry(
            key.removeprefix(self._prefix),
            base64.b64decode(item.get("value", "")),
            int(item.get("mod_revision", 0)),
            int(item.get("lease", 0)),
        )

    def _change(self, item):
        entry = self._entry(item["kv"])
        deleted = item.get("type") == "DELETE"
        return Change(
            entry.key, None if deleted else entry, entry.mod_revision
        )


def _encode(data):
    return base64.b64encode(data).decode("ascii")


def _revision(answer):
    return int(answer.get("header", {}).get("revision", 0))


def _prefix_end(prefix):
    """Return the first key after all keys with ``prefix``.

    Keys are ASCII, so the last character can be raised by one.
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
