"""Stand-in for the platform's store.

It implements the calls of the store's JSON gateway that are used.
:class:`StoreState` holds the data and answers decoded requests;
:class:`StandinStore` serves it over HTTP, and :class:`DirectTransport` calls
it directly.
"""

import asyncio
import base64
import collections
import json
import time

import attrs
from tornado import httpserver
from tornado import web

from limpetlift import exceptions

WRITES = ("kv/txn", "kv/deleterange", "lease/grant", "lease/revoke")


@attrs.frozen
class _Value:
    """The value of a key, with its revisions and its lease (0 for none)."""

    data: bytes
    create_revision: int
    mod_revision: int
    lease: int


@attrs.define
class StoreState:
    """Keys, leases and the history of changes.

    :param clock: function that returns seconds; leases expire by it.
    :param revision: revision of the last change.
    :param values_by_key: the present values.
    :param deadlines_by_lease: when each lease expires.
    :param calls_by_role: number of calls by path, by role of the caller.

    .. versionadded:: 0.1
    """

    clock: object = time.monotonic
    revision: int = 1
    values_by_key: dict = attrs.field(factory=dict)
    deadlines_by_lease: dict = attrs.field(factory=dict)
    calls_by_role: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    _ttls_by_lease: dict = attrs.field(factory=dict)
    _events: list = attrs.field(factory=list)
    _callbacks: list = attrs.field(factory=list)
    _stale_values: dict | None = None
    _stale_revision: int = 0

    def answer(self, path, body):
        """Execute a call and return the answer as the gateway sends it.

        :param path: path of the call below ``/v3/``.
        :param body: the decoded request.
        """
        self.lapse()
        answer = getattr(self, "_on_" + path.replace("/", "_"))(body)
        revision = self.revision
        if path == "kv/range" and self._stale_values is not None:
            revision = self._stale_revision
        answer["header"] = {"revision": str(revision)}
        return answer

    def freeze_reads(self, frozen):
        """Answer reads from a copy of the present state, or stop doing so.

        :param frozen: whether the copy is used from now on.
        """
        self._stale_values = dict(self.values_by_key) if frozen else None
        self._stale_revision = self.revision

    def lapse(self, lease=None):
        """End the expired leases, and ``lease`` if it is given."""
        if lease in self.deadlines_by_lease:
            self.deadlines_by_lease[lease] = float("-inf")
        now = self.clock()
        for number, deadline in list(self.deadlines_by_lease.items()):
            if deadline <= now:
                self._end_lease(number)

    def _end_lease(self, lease):
        """Remove a lease and delete its keys."""
        if self.deadlines_by_lease.pop(lease, None) is None:
            return
        self._delete(
            key
            for key, value in self.values_by_key.items()
            if value.lease == lease
        )

    def _select_keys(self, body, values):
        """Return the keys of ``values`` in the range of a request."""
        start = base64.b64decode(body["key"])
        end = body.get("range_end")
        if end is None:
            return [start] if start in values else []
        end = base64.b64decode(end)
        return sorted(key for key in values if start <= key < end)

    def _on_kv_range(self, body, values=None):
        if values is None:
            values = self._stale_values
        if values is None:
            values = self.values_by_key
        keys = self._select_keys(body, values)
        # The gateway omits fields that are zero or empty.
        if not keys:
            return {}
        return {
            "kvs": [_key_value_json(key, values[key]) for key in keys],
            "count": str(len(keys)),
        }

    def _on_kv_deleterange(self, body):
        keys = self._select_keys(body, self.values_by_key)
        self._delete(keys)
        return {"deleted": str(len(keys))} if keys else {}

    def _delete(self, keys):
        keys = list(keys)
        if not keys:
            return
        self.revision += 1
        deleted = [(key, None) for key in keys]
        for key in keys:
            del self.values_by_key[key]
        self._publish(deleted)

    def _on_kv_txn(self, body):
        succeeded = all(map(self._is_satisfied, body.get("compare", ())))
        if not succeeded:
            return {
                "responses": [
                    {
                        "response_range": self._on_kv_range(
                            operation["request_range"], self.values_by_key
                        )
                    }
                    for operation in body.get("failure", ())
                ]
            }
        puts = [item["request_put"] for item in body.get("success", ())]
        for put in puts:
            if int(put.get("lease", 0)) not in (0, *self.deadlines_by_lease):
                raise web.HTTPError(404, "requested lease not found")
        if puts:
            self._write(puts)
        return {"succeeded": True}

    def _is_satisfied(self, compare):
        """Return whether a key has the revision of a comparison."""
        assert (compare["target"], compare["result"]) == ("MOD", "EQUAL")
        value = self.values_by_key.get(base64.b64decode(compare["key"]))
        actual_revision = value.mod_revision if value else 0
        return actual_revision == int(compare["mod_revision"])

    def _write(self, puts):
        """Store the values of a transaction under one new revision."""
        self.revision += 1
        pairs_written = []
        for put in puts:
            key = base64.b64decode(put["key"])
            previous = self.values_by_key.get(key)
            value = _Value(
                base64.b64decode(put.get("value", "")),
                previous.create_revision if previous else self.revision,
                self.revision,
                int(put.get("lease", 0)),
            )
            self.values_by_key[key] = value
            pairs_written.append((key, value))
        self._publish(pairs_written)

    def _on_lease_grant(self, body):
        lease = int(body.get("ID", 0)) or 1000 + len(self._ttls_by_lease)
        self._ttls_by_lease[lease] = int(body["TTL"])
        self.deadlines_by_lease[lease] = self.clock() + int(body["TTL"])
        return {"ID": str(lease), "TTL": str(body["TTL"])}

    def _on_lease_keepalive(self, body):
        lease = int(body["ID"])
        if lease not in self.deadlines_by_lease:
            return {"result": {"ID": str(lease)}}
        ttl = self._ttls_by_lease[lease]
        self.deadlines_by_lease[lease] = self.clock() + ttl
        return {"result": {"ID": str(lease), "TTL": str(ttl)}}

    def _on_lease_revoke(self, body):
        self._end_lease(int(body["ID"]))
        return {}

    def _publish(self, pairs):
        """Add changes to the history and call the callbacks.

        :param pairs: ``(key, value)`` of each change; None for a deletion.
        """
        for key, value in pairs:
            self._events.append((self.revision, key, value))
        for callback in list(self._callbacks):
            callback()

    def events_after(self, body, revision):
        """Return the changes after ``revision`` in the range of a watch.

        :param body: the request of the watch.
        :returns: ``(events, revision)`` with the present revision.
        """
        events = [
            _event_json(number, key, value)
            for number, key, value in self._events
            if number > revision and self._select_keys(body, {key: value})
        ]
        return events, self.revision

    def listen(self, callback):
        """Call ``callback()`` after each change."""
        self._callbacks.append(callback)

    def unlisten(self, callback):
        """Stop calling ``callback``."""
        self._callbacks.remove(callback)


def _key_value_json(key, value):
    fields = {
        "key": base64.b64encode(key).decode("ascii"),
        "create_revision": str(value.create_revision),
        "mod_revision": str(value.mod_revision),
    }
    if value.data:
        fields["value"] = base64.b64encode(value.data).decode("ascii")
    if value.lease:
        fields["lease"] = str(value.lease)
    return fields


def _event_json(revision, key, value):
    if value is not None:
        return {"kv": _key_value_json(key, value)}
    name = base64.b64encode(key).decode("ascii")
    return {
        "type": "DELETE",
        "kv": {"key": name, "mod_revision": str(revision)},
    }


@attrs.define
class DirectTransport:
    """Calls a :class:`StoreState` in the same process, with faults.

    :param state: the :class:`StoreState`.
    :param role: role under which the calls are counted.
    :param fault: function of the path, called before each call; returns
        ``""``, ``"down"`` (no effect), ``"lost"`` (takes effect, answer lost)
        or ``"late"`` (takes effect at :meth:`deliver_late`, answer lost).
    :param pause: coroutine function awaited before each call, or None.
    :param late: ``(path, body)`` of the writes that have not taken effect.
    """

    state: StoreState
    role: str = "test"
    fault: object = lambda path: ""
    pause: object = None
    late: list = attrs.field(factory=list)

    async def call(self, path, body, write):
        """Execute a call and return its answer.

        :param write: whether the call changes the state.
        :raises StoreUnavailable: if the call has no effect.
        :raises StoreOutcomeUnknown: if the answer to a write is lost.
        """
        if self.pause is not None:
            await self.pause()
        self.state.calls_by_role[self.role][path] += 1
        fault = self.fault(path)
        if fault == "down" or (fault and not write):
            raise exceptions.StoreUnavailable("stand-in store is down")
        if fault == "late":
            self.late.append((path, body))
            raise exceptions.StoreOutcomeUnknown("write is delayed")
        try:
            answer = self.state.answer(path, body)
        except web.HTTPError as error:
            raise exceptions.StoreUnavailable(str(error)) from error
        if fault == "lost":
            raise exceptions.StoreOutcomeUnknown(
                "answer to the write was lost"
            )
        return answer

    def deliver_late(self):
        """Execute the delayed writes in their order."""
        while self.late:
            self.state.answer(*self.late.pop(0))

    async def stream(self, path, body):
        """Yield the changes so far that a watch covers, then end."""
        self.state.calls_by_role[self.role][path] += 1
        if self.fault(path):
            raise exceptions.StoreUnavailable("stand-in store is down")
        request = body["create_request"]
        events, _ = self.state.events_after(
            request, int(request["start_revision"]) - 1
        )
        if events:
            yield {"result": {"events": events}}


class StandinStore:
    """The stand-in as an HTTP server, with an admin server for faults.

    ``POST /faults`` to the admin server sets any of ``down`` (connections are
    closed without an answer), ``slow_s`` (seconds until a call is executed),
    ``stale`` (reads return the state at the time of this request) and
    ``lose_answers`` (the number of writes that take effect without an
    answer). ``POST /lapse`` with ``lease`` or ``key`` ends a lease. ``GET
    /calls`` returns the numbers of calls by role.

    :param address: ``(ip, port)`` of the gateway; port 0 selects a free one.
    :param admin_address: ``(ip, port)`` of the admin server.

    .. versionadded:: 0.1
    """

    def __init__(self, address, admin_address):
        self.state = StoreState()
        self.slow_s = 0.0
        self.lose_answers = 0
        self._down = False
        self._handlers = set()
        self._gateway = _listen(
            [(r"/v3/(.*)", _GatewayHandler, {"store": self})], address
        )
        self._admin = _listen(
            [(r"/(.*)", _AdminHandler, {"store": self})], admin_address
        )
        self.address = _address(self._gateway)
        self.admin_address = _address(self._admin)

    @property
    def down(self):
        """Whether connections are closed without an answer."""
        return self._down

    def set_faults(
        self, down=None, slow_s=None, stale=None, lose_answers=None
    ):
        """Change the faults whose values are given."""
        if down is not None:
            self._down = down
            if down:
                for handler in list(self._handlers):
                    handler.cut()
        if slow_s is not None:
            self.slow_s = slow_s
        if stale is not None:
            self.state.freeze_reads(stale)
        if lose_answers is not None:
            self.lose_answers = lose_answers

    def lapse(self, lease=0, key=""):
        """End the lease of an existing key ``key``, else ``lease``."""
        value = self.state.values_by_key.get(key.encode("utf-8"))
        self.state.lapse(value.lease if value else lease)

    def close(self):
        """Stop both servers and close the connections of running calls."""
        self.set_faults(down=True)
        self._gateway.stop()
        self._admin.stop()


def _listen(routes, address):
    application = web.Application(routes, log_function=lambda handler: None)
    server = httpserver.HTTPServer(application)
    server.listen(address[1], address[0])
    return server


def _address(server):
    (listening_socket,) = server._sockets.values()
    return "%s:%d" % listening_socket.getsockname()


class _GatewayHandler(web.RequestHandler):
    """Handles one call or one watch."""

    def initialize(self, store):
        self._store = store
        self._changed = asyncio.Event()
        self._cut = False

    def cut(self):
        """Close the connection without an answer."""
        self._cut = True
        self._changed.set()
        if self.request.connection.stream is not None:
            self.request.connection.stream.close()

    async def post(self, path):
        """Answer a call, or send the changes of a watch until it ends."""
        if self._store.down:
            self.cut()
            return
        body = json.loads(self.request.body)
        role = self.request.headers.get("User-Agent", "").rpartition("/")[2]
        self._store.state.calls_by_role[role][path] += 1
        self._store._handlers.add(self)
        try:
            if path == "watch":
                await self._watch(body["create_request"])
            else:
                await self._call(path, body)
        finally:
            self._store._handlers.discard(self)

    async def _call(self, path, body):
        if self._store.slow_s:
            await asyncio.sleep(self._store.slow_s)
        if self._cut:
            return
        answer = self._store.state.answer(path, body)
        if path in WRITES and self._store.lose_answers > 0:
            self._store.lose_answers -= 1
            self.cut()
            return
        self.write(answer)

    async def _watch(self, request):
        state = self._store.state
        revision_seen = (
            int(request.get("start_revision", state.revision + 1)) - 1
        )
        state.listen(self._changed.set)
        try:
            self.write(json.dumps({"result": {"created": True}}) + "\n")
            await self.flush()
            while not self._cut:
                self._changed.clear()
                events, revision_seen = state.events_after(
                    request, revision_seen
                )
                if events:
                    message = {"result": {"events": events}}
                    self.write(json.dumps(message) + "\n")
                    await self.flush()
                await self._changed.wait()
        finally:
            state.unlisten(self._changed.set)

    def on_connection_close(self):
        """End the watch of a client that has disconnected."""
        self._cut = True
        self._changed.set()


class _AdminHandler(web.RequestHandler):
    """Sets faults, ends leases and returns the numbers of calls."""

    def initialize(self, store):
        self._store = store

    def get(self, path):
        """Answer with the numbers of calls by path, by role."""
        self.write(
            {
                role: dict(calls)
                for role, calls in self._store.state.calls_by_role.items()
            }
        )

    def post(self, path):
        """Change the faults, or end a lease."""
        methods_by_path = {
            "faults": self._store.set_faults,
            "lapse": self._store.lapse,
        }
        if path not in methods_by_path:
            raise web.HTTPError(404)
        methods_by_path[path](**json.loads(self.request.body))


async def run(ip, port, admin_port):
    """Run the stand-in until the process is stopped.

    :param ip: IP address of both servers.
    :param port: port of the gateway.
    :param admin_port: port of the admin server.
    """
    store = StandinStore((ip, port), (ip, admin_port))
    try:
        while True:
            # Expire leases even without calls, so that watches report the
            # deleted keys.
            store.state.lapse()
            await asyncio.sleep(0.1)
    finally:
        store.close()
