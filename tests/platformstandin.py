"""A fake of the platform's metadata store, with its published format.

It runs on the reactor of the test, in the same thread as its clients.
"""

import base64
import copy
import json
import urllib.parse

import attrs

from limpetlift import clock
from limpetlift.transport import http1

# At one copy each half second, as old as the copies of the tests.
_MAX_COPIES = 24


@attrs.frozen
class _State:
    """What the store had at a time."""

    at: float
    era: object
    items_by_key: dict
    events: list
    revision: int
    ttl_ms_by_lease: dict


class StoreStandIn:
    """HTTP server that serves the API of the store from memory.

    A test injects faults by these attributes: ``status``, unless None, is the
    status of every response; ``lost`` is the number of further writes that
    take effect but get an unreadable response; ``page_size`` is the maximum
    number of items in a response; a watch after a revision below ``oldest``
    fails, as the store has compacted those changes; ``era`` is the text of
    the header with the era, or None to leave it out; of the next
    ``former_reads`` reads, every second one is answered from the state before
    the last :meth:`restore`, with its era.

    :param reactor: the event loop.
    """

    def __init__(self, reactor):
        self.items_by_key = {}
        self.events = []
        self.revision = 10
        self.ttl_ms_by_lease = {}
        self.status = None
        self.lost = 0
        self.page_size = 500
        self.oldest = 0
        self.era = None
        self.former_reads = 0
        self.calls = []
        self._copies = []
        self._former = None
        # Leases of a copy that have not been renewed since.
        self._unrenewed = set()
        self._reactor = reactor
        self._server = http1.Server(reactor, ("127.0.0.1", 0), self._handle)
        self.address = "%s:%d" % self._server.address

    def close(self):
        """Close the server and its connections."""
        self._server.close()

    def put(self, key, value, lease=0):
        """Write an item, as the operator or another process would."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode("ascii"),
            "revision": self.revision,
            "created": self.revision,
            "lease": lease,
        }
        self.items_by_key[key] = item
        self.events.append(item)

    def remove(self, key):
        """Remove an item."""
        if key in self.items_by_key:
            del self.items_by_key[key]
            self.revision += 1
            self.events.append(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def keep_copy(self):
        """Keep a copy of what the store has now, for :meth:`restore`."""
        self._copies.append(self._state())
        del self._copies[:-_MAX_COPIES]

    def _state(self):
        return _State(
            clock.now(),
            self.era,
            dict(self.items_by_key),
            list(self.events),
            self.revision,
            dict(self.ttl_ms_by_lease),
        )

    def restore(self, age_s):
        """Come back from the newest copy of at least an age, in a new era.

        What was written since is gone. The leases of the copy end unless they
        are renewed.

        :param age_s: age in seconds; the oldest copy serves if none has it.
        """
        self._former = self._state()
        taken_by = clock.now() - age_s
        copies = [c for c in self._copies if c.at <= taken_by]
        state = copies[-1] if copies else self._copies[0]
        self.era = str(int(self.era or 0) + 1)
        self.items_by_key = dict(state.items_by_key)
        self.events = list(state.events)
        self.revision = state.revision
        self.ttl_ms_by_lease = dict(state.ttl_ms_by_lease)
        self._copies = [c for c in self._copies if c.at <= state.at]
        for lease, ttl_ms in state.ttl_ms_by_lease.items():
            self._unrenewed.add(lease)
            self._reactor.call_at(
                clock.now() + ttl_ms / 1000,
                lambda lease=lease: self._end_unrenewed(lease),
            )

    def _end_unrenewed(self, lease):
        if lease in self._unrenewed:
            self._unrenewed.discard(lease)
            self._end_lease(lease)

    def _handle(self, method, target, body):
        former = self._former
        if method == "GET" and former is not None and self.former_reads:
            self.former_reads -= 1
            if self.former_reads % 2:
                store = copy.copy(self)
                store.era = former.era
                store.items_by_key = former.items_by_key
                store.events = former.events
                store.revision = former.revision
                return store._with_era(store._answer(method, target, body))
        return self._with_era(self._answer(method, target, body))

    def _with_era(self, response):
        if self.era is None:
            return response
        return attrs.evolve(response, headers=(("Store-Era", self.era),))

    def _answer(self, method, target, body):
        path = target.partition("?")[0]
        self.calls.append((method, path))
        if self.status is not None:
            return http1.Response(self.status)
        if method == "GET":
            return self._read(target)
        fields = json.loads(body) if body else {}
        call_and_id = path.rsplit("/", 1)
        if path == "/-/kv-txn":
            return self._commit(fields)
        if path == "/-/kv-lease":
            lease = 100 + len(self.ttl_ms_by_lease)
            self._unrenewed.discard(lease)
            self.ttl_ms_by_lease[lease] = fields["ttl_ms"]
            return _json_response(lease=lease, ttl_ms=fields["ttl_ms"])
        if call_and_id[0] == "/-/kv-keep":
            if int(call_and_id[1]) not in self.ttl_ms_by_lease:
                return http1.Response(404)
            self._unrenewed.discard(int(call_and_id[1]))
            return _json_response(
                ttl_ms=self.ttl_ms_by_lease[int(call_and_id[1])]
            )
        if call_and_id[0] == "/-/kv-lease-end":
            self._end_lease(int(call_and_id[1]))
            return http1.Response(200)
        return http1.Response(404)

    def _read(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/kv-key":
            item = self.items_by_key.get(query["key"])
            if item is None:
                return http1.Response(404)
            return _json_response(store_revision=self.revision, **item)
        if url.path == "/-/kv-range":
            return self._range(query)
        if not self.oldest <= int(query["after"]) <= self.revision:
            return http1.Response(410)
        events = [
            event
            for event in self.events
            if event["key"].startswith(query["prefix"])
            and event["revision"] > int(query["after"])
        ]
        return _json_response(events=events, store_revision=self.revision)

    def _range(self, query):
        items = [
            item
            for key, item in sorted(self.items_by_key.items())
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return _json_response(
            items=items[: self.page_size],
            more_pages=len(items) > self.page_size,
            store_revision=self.revision,
        )

    def _commit(self, fields):
        conditions = fields["precondition"]
        current = [
            self.items_by_key.get(condition["key"]) for condition in conditions
        ]
        for condition, item in zip(conditions, current):
            if condition["revision"] != (item["revision"] if item else 0):
                return http1.Response(
                    412,
                    json.dumps({"items": [i for i in current if i]}).encode(),
                )
        for write in fields["writes"]:
            lease = write.get("lease", 0)
            if lease and lease not in self.ttl_ms_by_lease:
                return http1.Response(404)
        for write in fields["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in fields["remove"]:
            self.remove(key)
        if self.lost:
            self.lost -= 1
            return http1.Response(200, b"lost")
        return _json_response(revision=self.revision)

    def _end_lease(self, lease):
        self.ttl_ms_by_lease.pop(lease, None)
        for key, item in list(self.items_by_key.items()):
            if item["lease"] == lease:
                self.remove(key)

    def lapse(self):
        """Expire all leases, which removes the keys attached to them."""
        for lease in list(self.ttl_ms_by_lease):
            self._end_lease(lease)


def _json_response(**fields):
    return http1.Response(200, json.dumps(fields).encode("utf-8"))


def run_until(reactor, is_done, timeout_s=5.0):
    """Run until ``is_done`` returns true; fail when it does not in time.

    :param reactor: the event loop.
    :param is_done: function without arguments.
    :param timeout_s: in seconds.
    """
    ends_at = clock.now() + timeout_s

    def check():
        if is_done() or clock.now() > ends_at:
            reactor.stop()

    cancel = reactor.call_every(0.005, check)
    reactor.run()
    cancel()
    assert is_done()
