"""Requests that wait for their keys, and the task that updates the roster."""

import asyncio
import random

import attrs
import pytest

from limpetlift.coordination import member as members
from limpetlift.coordination import roster as rosters
from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.state import actions
from limpetlift.state import claims
from limpetlift.state import config
from limpetlift.tasks import roster as roster_task
from limpetlift.tasks import slots


@attrs.define
class _Entry:
    value: bytes
    mod_revision: int


@attrs.define
class _Store:
    """A store with one entry; may be down or lose the answer of a write."""

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
    """A node whose messages arrive in the next iteration of the event loop."""

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


class _Agent:
    """The slots and the roster task of one agent."""

    def __init__(self, node, store, find, peers):
        self.table = claims.ClaimTable(node.id, node.incarnation)
        service = config.Service(name="desk", address="127.0.0.1:1", slots=9)
        self.slots = slots.Slots(node, service, self.table)
        self.slots.endpoints_by_id = {
            agent_id: find(agent_id).endpoint for agent_id in peers
        }
        self.tick = self.slots.tick
        self.roster = roster_task.RosterTask(
            node, "desk", store, self.slots, self.table, find, random.Random(1)
        )

    async def claim(self, key, request_id):
        start = messages.structs.RequestStart(
            request_id=request_id,
            service_name="desk",
            method="POST",
            path="/",
            headers=[],
            timeout_ms=60_000,
            idempotency_key=key,
            first_attempt=False,
            work_class="",
            content_length=0,
        )
        return await self.slots.acquire(start, _deadline())


async def _run_pending_callbacks():
    for _ in range(50):
        await asyncio.sleep(0)


async def _start_service(store, count=2):
    nodes, agents = {}, []
    ids = ["a%d" % number for number in range(1, count + 1)]

    def find(agent_id):
        port = int(agent_id[1:])
        return members.Member(
            agent_id, members.AGENT, "127.0.0.1:%d" % port, 1,
            state=members.ACTIVE,
        )  # fmt: skip

    for number in range(1, count + 1):
        node = _Node("a%d" % number, 7, nodes)
        nodes[number] = node
        agents.append(_Agent(node, store, find, ids))
    for agent in agents * 2:
        await agent.roster.update_roster()
        await _run_pending_callbacks()
    for _ in range(100):
        if all(agent.table.may_vote for agent in agents):
            break
        # A pull from a member that was in the earlier epoch is repeated by a
        # timer.
        await asyncio.sleep(0.02)
        for agent in agents:
            agent.tick()
        await _run_pending_callbacks()
    return agents


def _run(scenario):
    async def bounded():
        async with asyncio.timeout(20.0):
            await scenario()

    asyncio.run(bounded())


def _deadline():
    return asyncio.get_running_loop().time() + 60.0


def test_a_key_runs_at_one_agent_and_is_answered_at_the_other():
    """A retry at another agent must be answered from the first run.

    The other agent holds no answer itself and could run the key again. The
    answer has 5,000 bytes, more than fit in one message.
    """

    async def scenario():
        first, second = await _start_service(_Store())
        answer = actions.Answer(200, (("A", "b"),), b"x" * 5000)
        assert await first.claim("key", "r1") is None
        with pytest.raises(exceptions.Refused) as refused:
            await second.claim("key", "r2")
        assert refused.value.refusal == "key_running"
        waiting = asyncio.ensure_future(first.claim("key", "r3"))
        await _run_pending_callbacks()
        first.slots.finish("r1", answer)
        assert await waiting == answer
        assert await second.claim("key", "r4") == answer

    _run(scenario)


def test_a_cancelled_grant_releases_the_key():
    """A request cancelled while its key is granted must release the key.

    Retries at other agents would be refused until the claim expires.
    """

    async def scenario():
        first, second = await _start_service(_Store())
        task = asyncio.ensure_future(first.claim("key", "r1"))
        await asyncio.sleep(0)
        assert first.table.is_claimed(0.0, "key")
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await _run_pending_callbacks()
        assert await second.claim("key", "r2") is None
        second.slots.abandon("r2")
        await _run_pending_callbacks()
        assert await first.claim("key", "r3") is None

    _run(scenario)


def test_keys_need_no_store_once_the_roster_is_known():
    """Keys must be granted during a store outage.

    The members know the roster and need the store only to change it.
    """

    async def scenario():
        store = _Store()
        agents = await _start_service(store, 3)
        store.up = False
        with pytest.raises(exceptions.StoreUnavailable):
            await agents[0].roster.update_roster()
        assert await agents[0].claim("key", "r1") is None

    _run(scenario)


def test_a_lost_answer_of_the_store_joins_once():
    """A write that took effect although its answer was lost must count.

    An agent that repeated it would join again and make a further epoch.
    """

    async def scenario():
        store = _Store(lose_answer=True)
        node = _Node("a1", 7, {})
        agent = _Agent(node, store, lambda _: None, [])
        with pytest.raises(exceptions.StoreOutcomeUnknown):
            await agent.roster.update_roster()
        await agent.roster.update_roster()
        assert rosters.decode(store.entry.value).epoch == 1
        assert agent.table.may_vote
        await agent.roster.leave()
        left = rosters.decode(store.entry.value)
        assert left.current.incarnations_by_id == {}
        assert left.has_ended("a1", 7)

    _run(scenario)


class _RacingStore(_Store):
    """A store whose readers get the same entry before one of them writes."""

    async def get(self, key):
        entry = await super().get(key)
        await asyncio.sleep(0.01)
        return entry

    get_current = get

    async def compare_and_swap(self, key, revision, value):
        if revision != (self.entry.mod_revision if self.entry else 0):
            raise exceptions.StoreConflict("changed")
        self.entry = _Entry(value, revision + 1)


# Guards against requests with a key that are refused with roster_pending for
# seconds by an agent that is ready.
def test_agents_that_join_together_are_members_at_once():
    """All but one of them find that the roster has changed meanwhile."""

    async def scenario():
        store = _RacingStore()
        nodes = {}
        agents = []
        for number in (1, 2, 3):
            node = _Node("a%d" % number, 7, nodes)
            nodes[number] = node
            agents.append(_Agent(node, store, lambda _agent_id: None, []))
        tasks = [
            asyncio.ensure_future(agent.roster.follow_roster())
            for agent in agents
        ]
        await asyncio.sleep(0.7)
        for task in tasks:
            task.cancel()
        roster = rosters.decode(store.entry.value)
        assert all(roster.contains(node.id, 7) for node in nodes.values())

    _run(scenario)
