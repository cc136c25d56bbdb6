"""Client of the platform's metadata store.

It has the types of :mod:`limpetlift.coordination.entries` and raises the same
errors as the client in :mod:`limpetlift.coordination.store`.
"""

import base64
import json
import urllib.parse

from limpetlift import clock
from limpetlift.coordination import entries
from limpetlift.coordination import eras
from limpetlift.coordination import revisions
from limpetlift import exceptions
from limpetlift.transport import http1

# A call takes 4 ms, and a few hundred milliseconds when the store is slow.
_CALL_TIMEOUT_S = 1.5
# Added to the wait of a watch for its timeout. It is shorter than the timeout
# of a call, so that a watch on a dead connection is replaced before a change
# of the routes is overdue.
_WATCH_MARGIN_S = 0.7
_BASE_PATH = "/-/"
_COMPACTED_STATUS = 410
_LEASE_ENDED_STATUS = 404
_CONFLICT_STATUS = 412
# The store did nothing. With any other status from 500 on, a write may have
# taken effect.
_REFUSED_STATUS = 503
_ERA_HEADER = "store-era"
# Code of the errors that tell to read all entries again.
_ERA_CHANGED = "era_changed"


class PlatformStore:
    """Client of the store for balancers and agents.

    Revisions are of the class
    :class:`~limpetlift.coordination.revisions.Revision`. An answer of an
    earlier era than the latest known one is treated as none.

    :param reactor: the event loop.
    :param address: ``ip:port`` of the store.
    :param measure: called with ``store_call`` and the duration of a call in
        seconds; watches are not measured.

    .. versionadded:: 0.2
    """

    def __init__(self, reactor, address, measure=lambda name, seconds: None):
        self._reactor = reactor
        self._measure = measure
        self._eras = eras.EraTracker()
        self._on_era_finding = lambda finding: None
        self.set_address(address)

    def watch_era(self, on_finding):
        """Call a function with what answers and messages tell of the era.

        :param on_finding: called with each
            :class:`~limpetlift.coordination.eras.Finding` that has an event,
            before the answer is handled.
        """
        self._on_era_finding = on_finding

    def learn_era(self, era):
        """Take notice of an era that another process knows."""
        if self._eras.era is None or era > self._eras.era:
            self._report_era(self._eras.on_era(era, "message"))

    def _report_era(self, finding):
        if finding.event:
            self._on_era_finding(finding)
        return finding

    def set_address(self, address):
        """Use the store at ``address`` from the next call on."""
        ip, _, port = address.rpartition(":")
        self._address = (ip, int(port))

    async def get(self, key):
        """Return the :class:`entries.Entry` of ``key``, or None.

        :raises StoreUnavailable: when the read failed.
        """
        status, response, era = await self._read(
            "kv-key", {"key": key}, (404,)
        )
        return None if status == 404 else _decode_entry(response, era)

    async def get_prefix(self, prefix):
        """Return ``(entries, revision)`` of the keys that begin with a prefix.

        The revision is that of the first page, so that a watch that starts
        after it reports changes made while further pages were read.

        :raises StoreUnavailable: when the read failed, or a new era began
            between two pages.
        """
        found = []
        revision = None
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            _, response, era = await self._read("kv-range", query)
            if revision is not None and revision.era != era:
                raise _era_changed(revision, era)
            found += [
                _decode_entry(item, era)
                for item in _typed_field(response, "items", list)
            ]
            if revision is None:
                number = _typed_field(response, "store_revision", int)
                revision = revisions.Revision(era, number)
            if not response.get("more_pages") or not found:
                return found, revision
            after = found[-1].key

    async def changes(self, prefix, revision, wait_s):
        """Wait for changes of the keys that begin with ``prefix``.

        :param revision: only changes after this revision are returned.
        :param wait_s: longest wait in seconds.
        :returns: ``(changes, revision)``; the revision is the one to pass to
            the next call.
        :raises StoreUnavailable: when the read failed; with the code
            ``compacted`` when the store no longer has the changes after
            ``revision``, and with the code ``era_changed`` when it is in
            another era than ``revision``.
        """
        revision = revisions.of(revision)
        if self._eras.era not in (None, revision.era):
            raise _era_changed(revision, self._eras.era)
        query = {
            "prefix": prefix,
            "after": revision.number,
            "wait_ms": int(wait_s * 1000),
        }
        status, response, era = await self._read(
            "kv-watch", query, (_COMPACTED_STATUS,), wait_s
        )
        if era != revision.era:
            raise _era_changed(revision, era)
        if status == _COMPACTED_STATUS:
            raise exceptions.StoreUnavailable(
                "the store has compacted the changes after revision %s"
                % revision,
                "compacted",
            )
        changes = [
            _decode_change(item, era)
            for item in _typed_field(response, "events", list)
        ]
        number = _typed_field(response, "store_revision", int)
        return changes, revisions.Revision(era, number)

    async def compare_and_swap(self, key, mod_revision, value, lease=0):
        """Write ``key`` if its last write has the revision ``mod_revision``.

        :param mod_revision: expected revision; 0 when the key must be absent.
        :param value: bytes to write.
        :param lease: id of a lease that the key is attached to, or 0.
        :returns: the revision of the write.
        :raises StoreUnavailable: when the write had no effect.
        :raises StoreOutcomeUnknown: when the write may have had an effect.
        :raises StoreConflict: when the key has another revision.
        :raises LeaseEnded: when the lease does not exist or has ended.
        """
        write = {"key": key, "value": _encode(value), "lease": lease}
        return await self._commit(key, mod_revision, [write], [], lease)

    async def remove(self, key, mod_revision):
        """Remove ``key`` if its last write has the revision ``mod_revision``.

        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the call may have had an effect.
        :raises StoreConflict: when the key has another revision.
        """
        await self._commit(key, mod_revision, [], [key])

    async def _commit(self, key, mod_revision, writes, removed_keys, lease=0):
        expected = revisions.of(mod_revision)
        if expected and self._eras.era not in (None, expected.era):
            # The number may be that of another write by now.
            raise _era_changed(expected, self._eras.era)
        body = {
            "precondition": [{"key": key, "revision": expected.number}],
            "writes": writes,
            "remove": removed_keys,
        }
        status, response, era = await self._write(
            "POST", "kv-txn", body, (_CONFLICT_STATUS, _LEASE_ENDED_STATUS)
        )
        if status == _LEASE_ENDED_STATUS:
            raise exceptions.LeaseEnded("lease %d has ended" % lease)
        if status == _CONFLICT_STATUS:
            found = [
                _decode_entry(item, era)
                for item in _typed_field(response, "items", list)
            ]
            raise exceptions.StoreConflict(
                "key %s has been changed by another write" % key,
                {entry.key: entry for entry in found if entry.mod_revision},
            )
        number = _acknowledged_field(response, "revision")
        return revisions.Revision(era, number)

    async def grant(self, ttl_s):
        """Return the id of a new lease that expires after ``ttl_s`` seconds.

        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the call may have had an effect.
        """
        body = {"ttl_ms": int(ttl_s * 1000)}
        _, response, _ = await self._write("POST", "kv-lease", body)
        return _acknowledged_field(response, "lease")

    async def keep_alive(self, lease):
        """Renew a lease.

        :returns: its remaining time to live in seconds, or 0 when it has
            ended.
        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the call may have had an effect.
        """
        status, response, _ = await self._write(
            "POST", "kv-keep/%d" % lease, {}, (_LEASE_ENDED_STATUS,)
        )
        if status == _LEASE_ENDED_STATUS:
            return 0
        return _acknowledged_field(response, "ttl_ms") / 1000

    async def revoke(self, lease):
        """End a lease, which deletes the keys that are attached to it.

        :raises StoreUnavailable: when the call had no effect.
        :raises StoreOutcomeUnknown: when the call may have had an effect.
        """
        path = "kv-lease-end/%d" % lease
        await self._write("DELETE", path, None, (_LEASE_ENDED_STATUS,))

    async def _read(self, path, query, expected_statuses=(), wait_s=0.0):
        path += "?" + urllib.parse.urlencode(query)
        timeout_s = wait_s + _WATCH_MARGIN_S if wait_s else _CALL_TIMEOUT_S
        try:
            return await self._call(
                "GET", path, None, expected_statuses, timeout_s
            )
        except (
            exceptions.TransportError,
            exceptions.StoreOutcomeUnknown,
            ValueError,
        ) as error:
            raise exceptions.StoreUnavailable(str(error)) from error

    async def _write(self, method, path, body, expected_statuses=()):
        data = None if body is None else json.dumps(body).encode("ascii")
        try:
            return await self._call(
                method, path, data, expected_statuses, _CALL_TIMEOUT_S
            )
        except http1.NotConnected as error:
            raise exceptions.StoreUnavailable(str(error)) from error
        except (exceptions.TransportError, ValueError) as error:
            raise exceptions.StoreOutcomeUnknown(str(error)) from error

    async def _call(self, method, path, data, expected_statuses, timeout_s):
        """Return ``(status, decoded body, era)`` of one call.

        :param expected_statuses: statuses besides 200 that the caller handles.
        :raises StoreUnavailable: when the store refused the call.
        :raises StoreOutcomeUnknown: when it failed in another way.
        """
        started_at = clock.now()
        response = await http1.call(
            self._reactor,
            self._address,
            method,
            _BASE_PATH + path,
            data,
            timeout_s,
        )
        if timeout_s == _CALL_TIMEOUT_S:
            self._measure("store_call", clock.now() - started_at)
        status = response.status
        is_refused = status != 200 and status not in expected_statuses
        era_text = response.headers_by_name.get(_ERA_HEADER)
        # Something between this process and the store may refuse a call,
        # without the header.
        if era_text is not None or not is_refused:
            finding = self._report_era(self._eras.on_answer(era_text))
            if finding.is_outdated:
                raise exceptions.StoreOutcomeUnknown(
                    "the answer is of era %d, the store is in era %d"
                    % (finding.era, self._eras.era)
                )
        if is_refused:
            error = "the store answered with status %d" % status
            if status >= 500 and status != _REFUSED_STATUS:
                raise exceptions.StoreOutcomeUnknown(error)
            raise exceptions.StoreUnavailable(error)
        fields = json.loads(response.body) if response.body else {}
        if not isinstance(fields, dict):
            raise ValueError("the response of the store is not a JSON object")
        return status, fields, finding.era


def _era_changed(revision, era):
    """Return the error for a revision of another era than the store's."""
    return exceptions.StoreUnavailable(
        "revision %r is of another era than %d" % (revision, era), _ERA_CHANGED
    )


def _typed_field(response, name, kind):
    """Return a field of a decoded response.

    :raises StoreUnavailable: when it is missing or has another type.
    """
    value = response.get(name)
    if not isinstance(value, kind):
        raise exceptions.StoreUnavailable(
            "the store's response has an invalid field %s: %r" % (name, value)
        )
    return value


def _acknowledged_field(response, name):
    """Return a number from the response to a write that took effect.

    :raises StoreOutcomeUnknown: when it is missing or not a number.
    """
    try:
        return _typed_field(response, name, int)
    except exceptions.StoreUnavailable as error:
        raise exceptions.StoreOutcomeUnknown(str(error)) from None


def _encode(value):
    return base64.b64encode(value).decode("ascii")


def _decode_entry(item, era):
    try:
        return entries.Entry(
            item["key"],
            base64.b64decode(item.get("value") or "", validate=True),
            revisions.Revision(era, int(item.get("revision", 0))),
            int(item.get("lease", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreUnavailable(
            "cannot decode an item of the store: %r" % error
        ) from error


def _decode_change(item, era):
    try:
        key = item["key"]
        revision = revisions.Revision(era, int(item["revision"]))
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreUnavailable(
            "cannot decode an event of the store: %r" % error
        ) from error
    entry = None if item.get("removed") else _decode_entry(item, era)
    return entries.Change(key, entry, revision)
