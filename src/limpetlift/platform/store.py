"""Client of the platform's metadata store.

It raises the errors of :mod:`limpetlift.coordination.store` and returns its
types.
"""

import base64
import json
import time
import urllib.parse

from limpetlift.coordination import entries
from limpetlift import exceptions
from limpetlift.transport import http1

# A call takes 4 ms, and up to some hundred when the store is slow.
_CALL_TIMEOUT_S = 1.5
# Shorter, so that a silent watch is replaced before the routes are overdue.
_WATCH_MARGIN_S = 0.7
_BASE = "/-/"
_HISTORY_GONE = 410
_LEASE_ENDED = 404
_CONFLICT = 412


class PlatformStore:
    """The store as processes of this project use it.

    :param reactor: the event loop.
    :param address: ``ip:port`` of the store.
    :param measure: called with ``store_call`` and the seconds that a call
        took; waits for changes are left out.

    .. versionadded:: 0.2
    """

    def __init__(self, reactor, address, measure=lambda name, seconds: None):
        self._reactor = reactor
        self._measure = measure
        self.set_address(address)

    def set_address(self, address):
        """Use the store at ``address`` from the next call on."""
        ip, _, port = address.rpartition(":")
        self._address = (ip, int(port))

    async def get(self, key):
        """Return the :class:`entries.Entry` of ``key``, or None.

        :raises StoreUnavailable: when the store does not answer.
        """
        status, answer = await self._read("kv-key", {"key": key}, (404,))
        return None if status == 404 else _entry(answer)

    async def get_prefix(self, prefix):
        """Return ``(entries, revision)`` below ``prefix``.

        The pages are read one after the other. A watch continues after the
        revision of the first one and so reports what changed meanwhile.

        :raises StoreUnavailable: when the store does not answer.
        """
        found = []
        revision = None
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            _, answer = await self._read("kv-range", query)
            found += [_entry(item) for item in _field(answer, "items", list)]
            if revision is None:
                revision = _field(answer, "store_revision", int)
            if not answer.get("more_pages") or not found:
                return found, revision
            after = found[-1].key

    async def changes(self, prefix, revision, wait_s):
        """Wait for changes below ``prefix``.

        :param revision: changes after this one are wanted.
        :param wait_s: longest wait in seconds.
        :returns: ``(changes, revision)``; the next call goes on after it.
        :raises StoreUnavailable: when the store does not answer, or with the
            code ``compacted`` when it has forgotten that revision.
        """
        query = {
            "prefix": prefix,
            "after": revision,
            "wait_ms": int(wait_s * 1000),
        }
        status, answer = await self._read(
            "kv-watch", query, (_HISTORY_GONE,), wait_s
        )
        if status == _HISTORY_GONE:
            raise exceptions.StoreUnavailable(
                "the history after %d is gone" % revision, "compacted"
            )
        found = [_change(item) for item in _field(answer, "events", list)]
        return found, _field(answer, "store_revision", int)

    async def compare_and_swap(self, key, mod_revision, value, lease=0):
        """Write ``key`` if its last write is ``mod_revision`` (0: absent).

        :returns: the revision of the write.
        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        :raises StoreConflict: when the key was written meanwhile.
        :raises LeaseEnded: when there is no such lease.
        """
        write = {"key": key, "value": _encode(value), "lease": lease}
        return await self._commit(key, mod_revision, [write], [], lease)

    async def remove(self, key, mod_revision):
        """Remove ``key`` if its last write is ``mod_revision``.

        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        :raises StoreConflict: when the key was written meanwhile.
        """
        await self._commit(key, mod_revision, [], [key])

    async def _commit(self, key, mod_revision, writes, removed, lease=0):
        body = {
            "precondition": [{"key": key, "revision": mod_revision}],
            "writes": writes,
            "remove": removed,
        }
        status, answer = await self._write(
            "POST", "kv-txn", body, (_CONFLICT, _LEASE_ENDED)
        )
        if status == _LEASE_ENDED:
            raise exceptions.LeaseEnded("lease %d has ended" % lease)
        if status == _CONFLICT:
            items = [_entry(item) for item in _field(answer, "items", list)]
            raise exceptions.StoreConflict(
                "%s was changed meanwhile" % key,
                {entry.key: entry for entry in items if entry.mod_revision},
            )
        return _field(answer, "revision", int)

    async def grant(self, ttl_s):
        """Return the id of a new lease that lapses after ``ttl_s`` seconds.

        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        """
        body = {"ttl_ms": int(ttl_s * 1000)}
        _, answer = await self._write("POST", "kv-lease", body)
        return _field(answer, "lease", int)

    async def keep_alive(self, lease):
        """Renew a lease; return the seconds it has, 0 when it has ended.

        :raises StoreUnavailable: when the store does not answer.
        :raises StoreOutcomeUnknown: when the answer was lost.
        """
        status, answer = await self._write(
            "POST", "kv-keep/%d" % lease, {}, (_LEASE_ENDED,)
        )
        if status == _LEASE_ENDED:
            return 0
        return _field(answer, "ttl_ms", int) / 1000

    async def revoke(self, lease):
        """End a lease; its keys are deleted.

        :raises StoreUnavailable: without effect.
        :raises StoreOutcomeUnknown: when the answer was lost.
        """
        path = "kv-lease-end/%d" % lease
        await self._write("DELETE", path, None, (_LEASE_ENDED,))

    async def _read(self, path, query, statuses=(), wait_s=0.0):
        path += "?" + urllib.parse.urlencode(query)
        timeout_s = wait_s + _WATCH_MARGIN_S if wait_s else _CALL_TIMEOUT_S
        try:
            return await self._call("GET", path, None, statuses, timeout_s)
        except (exceptions.TransportError, ValueError) as error:
            raise exceptions.StoreUnavailable(str(error)) from error

    async def _write(self, method, path, body, statuses=()):
        data = None if body is None else json.dumps(body).encode("ascii")
        try:
            return await self._call(
                method, path, data, statuses, _CALL_TIMEOUT_S
            )
        except http1.NotConnected as error:
            raise exceptions.StoreUnavailable(str(error)) from error
        except (exceptions.TransportError, ValueError) as error:
            raise exceptions.StoreOutcomeUnknown(str(error)) from error

    async def _call(self, method, path, data, statuses, timeout_s):
        """Return ``(status, decoded body)`` of one call.

        :param statuses: those besides success that the caller understands.
        :raises StoreUnavailable: when the store refused the call.
        """
        began_at = time.monotonic()
        answer = await http1.call(
            self._reactor, self._address, method, _BASE + path, data, timeout_s
        )
        if timeout_s == _CALL_TIMEOUT_S:
            self._measure("store_call", time.monotonic() - began_at)
        status = answer.status
        if status != 200 and status not in statuses:
            raise exceptions.StoreUnavailable("the store answered %d" % status)
        fields = json.loads(answer.body) if answer.body else {}
        if not isinstance(fields, dict):
            raise ValueError("the answer is not a JSON object")
        return status, fields


def _field(answer, name, kind):
    """Return a field of an answer.

    :raises StoreUnavailable: when it is missing or of another type.
    """
    value = answer.get(name)
    if not isinstance(value, kind):
        raise exceptions.StoreUnavailable(
            "the answer has no %s: %r" % (name, value)
        )
    return value


def _encode(value):
    return base64.b64encode(value).decode("ascii")


def _entry(item):
    try:
        return entries.Entry(
            item["key"],
            base64.b64decode(item.get("value") or "", validate=True),
            int(item.get("revision", 0)),
            int(item.get("lease", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreUnavailable(
            "unreadable item: %r" % error
        ) from error


def _change(item):
    try:
        key, revision = item["key"], int(item["revision"])
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreUnavailable(
            "unreadable event: %r" % error
        ) from error
    entry = None if item.get("removed") else _entry(item)
    return entries.Change(key, entry, revision)
