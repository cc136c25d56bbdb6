"""Tests of the store client against the stand-in, over HTTP on loopback."""

import asyncio
import json

import pytest
from tornado import httpclient

from limpetlift.coordination import store
from limpetlift.coordination import storehttp
from limpetlift import exceptions
from limpetlift.testing import store as standin

_LOOPBACK = ("127.0.0.1", 0)


def _run(scenario, monkeypatch=None):
    async def run():
        server = standin.StandinStore(_LOOPBACK, _LOOPBACK)
        transport = storehttp.HttpTransport([server.address], "balancer")
        try:
            async with asyncio.timeout(20):
                await scenario(server, store.Store(transport, "test/"))
        finally:
            transport.close()
            server.close()

    asyncio.run(run())


def test_compare_and_swap_and_prefix():
    """A writer must not overwrite a change that it has not read.

    Two processes that read a key and then write it would lose one change.
    """

    async def scenario(server, client):
        assert await client.get("a/1") is None
        await client.compare_and_swap("a/1", 0, b"\x00x")
        entry = await client.get("a/1")
        assert (entry.key, entry.value) == ("a/1", b"\x00x")
        await client.compare_and_swap("a/1", entry.mod_revision, b"")
        with pytest.raises(exceptions.StoreConflict) as caught:
            await client.commit("a/1", entry.mod_revision, {"a/2": b"y"})
        current = caught.value.entries_by_key
        assert current["a/1"].value == b"" and current["a/2"] is None
        await client.commit(
            "a/1", current["a/1"].mod_revision, {"a/2": b"y", "b": b"z"}
        )
        entries, _ = await client.get_prefix("a/")
        assert [entry.key for entry in entries] == ["a/1", "a/2"]
        await client.delete_range("a/1", "a/2")
        await client.delete("b")
        (entry,), _ = await client.get_prefix("a/")
        assert entry.key == "a/2" and await client.get("b") is None

    _run(scenario)


def test_failures_say_whether_a_write_took_effect():
    """A write whose response was lost must not be reported as without effect.

    Only a refused connection shows for certain that nothing was written.
    """

    async def scenario(server, client):
        server.set_faults(lose_answers=1)
        with pytest.raises(exceptions.StoreOutcomeUnknown):
            await client.compare_and_swap("k", 0, b"v")
        assert (await client.get("k")).value == b"v"
        server.set_faults(down=True)
        with pytest.raises(exceptions.StoreUnavailable):
            await client.get("k")
        with pytest.raises(exceptions.StoreOutcomeUnknown):
            await client.compare_and_swap("k", 0, b"w")
        server.close()
        with pytest.raises(exceptions.StoreUnavailable):
            await client.compare_and_swap("k", 0, b"w")

    _run(scenario)


def test_a_slow_write_has_an_unknown_outcome(monkeypatch):
    """A write that timed out must not be reported as without effect.

    The store may execute it after the client stopped waiting.
    """
    monkeypatch.setattr(storehttp.defaults, "STORE_TIMEOUT_S", 0.1)

    async def scenario(server, client):
        server.set_faults(slow_s=0.5)
        with pytest.raises(exceptions.StoreOutcomeUnknown):
            await client.compare_and_swap("k", 0, b"v")
        with pytest.raises(exceptions.StoreUnavailable):
            await client.get("k")

    _run(scenario)


def test_another_gateway_is_tried():
    """The failure of one gateway must not fail calls while others work."""

    async def scenario(server, client):
        transport = storehttp.HttpTransport(
            ["127.0.0.1:1", server.address], "balancer"
        )
        try:
            await store.Store(transport).compare_and_swap("k", 0, b"v")
        finally:
            transport.close()
        assert b"k" in server.state.values_by_key

    _run(scenario)


def test_leases_and_watches():
    """A key must be deleted with its lease, and a watch must report that.

    Otherwise the entry of a stopped process would stay in the store, or
    watchers would not notice its removal.
    """

    async def scenario(server, client):
        lease = await client.grant(30)
        await client.compare_and_swap("r/1", 0, b"v", lease)
        assert await client.keep_alive(lease) == 30
        watch = client.watch("r/", 0)
        (change,) = await anext(watch)
        assert (change.key, change.entry.value) == ("r/1", b"v")
        admin = httpclient.AsyncHTTPClient()
        await admin.fetch(
            "http://%s/lapse" % server.admin_address,
            method="POST",
            body=json.dumps({"key": "test/r/1"}),
        )
        (change,) = await anext(watch)
        assert change.entry is None
        assert await client.keep_alive(lease) == 0
        with pytest.raises(exceptions.StoreUnavailable):
            await client.compare_and_swap("r/1", 0, b"v", lease)
        other = await client.grant(30)
        await client.compare_and_swap("r/2", 0, b"w", other)
        await client.revoke(other)
        assert await client.get("r/2") is None
        server.set_faults(down=True)
        with pytest.raises(exceptions.StoreUnavailable):
            while True:
                await anext(watch)
        answer = await admin.fetch("http://%s/calls" % server.admin_address)
        assert json.loads(answer.body)["balancer"]["watch"] == 1

    _run(scenario)


def test_reads_may_be_stale_but_conflicts_are_current():
    """A decision must not depend on a plain read, which may be stale.

    A conflict and ``get_current`` must return the current entries.
    """

    async def scenario(server, client):
        await client.compare_and_swap("k", 0, b"1")
        first = await client.get("k")
        server.set_faults(stale=True)
        await client.compare_and_swap("k", first.mod_revision, b"2")
        assert await client.get("k") == first
        assert (await client.get_current("k")).value == b"2"
        with pytest.raises(exceptions.StoreConflict) as caught:
            await client.commit("k", first.mod_revision, {"other": b""})
        assert caught.value.entries_by_key["k"].value == b"2"

    _run(scenario)
