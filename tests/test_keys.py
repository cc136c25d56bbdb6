"""The task that keeps the roster and lets requests wait for their keys."""

import asyncio
import random

import attrs
import pytest

from limpetlift.coordination import member as members
from limpetlift.coordination import roster as rosters
from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.state import actions
from limpetlift.tasks import keys


@attrs.define
class _Entry:
    value: bytes
    mod_revision: int


@attrs.define
class _Store:
    entry: _Entry | None = None
    up: bool = True
    lose_answer: bool = False

    async def get(self, key):
        if not self.up:
            raise exceptions.StoreUnavailable("down")
        return self.entry

    get_current = get

    async def compare_and_swap(self, key, revision, value):
        found = await self.get(key)
        if revision != (found.mod_revision if found else 0):
            raise exceptions.StoreConflict("changed")
        self.entry = _Entry(value, revision + 1)
        if self.lose_answer:
            self.lose_answer = False
            raise exceptions.StoreOutcomeUnknown("lost")


@attrs.define
class _Node:
    """A node whose messages arrive on the next turn of the loop."""

    id: str
    incarnation: int
    nodes: dict
    handlers: dict = attrs.field(factory=dict)

    def on_message(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, message, address):
        receiver = self.nodes[address[1]]
        kind = type(message).__name__
        copy = messages.decode(kind, messages.encode(message))
        asyncio.get_running_loop().call_soon(
            receiver.handlers[kind], _Sender(self.id), copy, None
        )


@attrs.frozen
class _Sender:
    sender: str


async def _settle():
    for _ in range(50):
        await asyncio.sleep(0)


async def _service(store, count=2):
    nodes, tasks = {}, []

    def find(agent_id):
        port = int(agent_id[1:])
        return members.Member(
            agent_id, members.AGENT, "127.0.0.1:%d" % port, 1,
            state=members.ACTIVE,
        )  # fmt: skip

    for number in range(1, count + 1):
        node = _Node("a%d" % number, 7, nodes)
        nodes[number] = node
        tasks.append(keys.Keys(node, "desk", store, find, random.Random(1)))
    for task in tasks * 2:
        await task.update_roster()
        await _settle()
    for _ in range(100):
        if all(task.table.may_vote for task in tasks):
            break
        # A pull that met a member in the earlier epoch is repeated by timer.
        await asyncio.sleep(0.02)
        for task in tasks:
            task.tick()
        await _settle()
    return tasks


def _run(scenario):
    async def bounded():
        async with asyncio.timeout(20.0):
            await scenario()

    asyncio.run(bounded())


def _deadline():
    return asyncio.get_running_loop().time() + 60.0


def test_a_key_runs_at_one_agent_and_is_answered_at_the_other():
    """A retry through another agent must get the answer of the first run."""

    async def scenario():
        first, second = await _service(_Store())
        answer = actions.Answer(200, (("A", "b"),), b"x" * 5000)
        assert await first.claim("key", "r1", _deadline()) is None
        with pytest.raises(exceptions.Refused) as refused:
            await second.claim("key", "r2", _deadline())
        assert refused.value.refusal == "key_running"
        waiting = asyncio.ensure_future(first.claim("key", "r3", _deadline()))
        await _settle()
        first.finish("key", answer)
        assert await waiting == answer
        assert await second.claim("key", "r4", _deadline()) == answer

    _run(scenario)


def test_a_cancelled_grant_releases_the_key():
    """A caller that goes away at the moment of the grant must not block."""

    async def scenario():
        first, second = await _service(_Store())
        task = asyncio.ensure_future(first.claim("key", "r1", _deadline()))
        await asyncio.sleep(0)
        assert first.knows("key")
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await _settle()
        assert await second.claim("key", "r2", _deadline()) is None
        second.fail("key", ran=False)
        await _settle()
        assert await first.claim("key", "r3", _deadline()) is None

    _run(scenario)


def test_keys_need_no_store_once_the_roster_is_known():
    """A store outage must not stop keyed requests."""

    async def scenario():
        store = _Store()
        tasks = await _service(store, 3)
        store.up = False
        with pytest.raises(exceptions.StoreUnavailable):
            await tasks[0].update_roster()
        assert await tasks[0].claim("key", "r1", _deadline()) is None

    _run(scenario)


def test_a_lost_answer_of_the_store_joins_once():
    """A write that took effect without an answer must not be repeated."""

    async def scenario():
        store = _Store(lose_answer=True)
        node = _Node("a1", 7, {})
        task = keys.Keys(node, "desk", store, lambda _: None, random.Random(1))
        with pytest.raises(exceptions.StoreOutcomeUnknown):
            await task.update_roster()
        await task.update_roster()
        assert rosters.decode(store.entry.value).epoch == 1
        assert task.table.may_vote
        await task.leave()
        left = rosters.decode(store.entry.value)
        assert left.current.incarnations_by_id == {}
        assert left.has_ended("a1", 7)

    _run(scenario)
