"""Request tasks around admission, retries and choice of agent."""

import asyncio

import pytest

from limpetlift.coordination import member
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.state import config
from limpetlift.tasks import dispatch
from limpetlift.tasks import requestpath
from limpetlift.tasks import slots

_FAR = 1e9


class _Node:
    """Collects what is sent."""

    id = "agent-0"

    def __init__(self):
        self.sent = []

    def on_message(self, kind, handler):
        self.handler = handler

    def send(self, message, address):
        self.sent.append((message, address))


def _start(request_id, movable=False):
    return messages.structs.RequestStart(
        request_id=request_id,
        service_name="desk",
        method="POST",
        path="/work",
        headers=[],
        timeout_ms=1000,
        idempotency_key="",
        first_attempt=True,
        work_class="",
        content_length=0,
        movable=movable,
    )


def _slots(count=1):
    node = _Node()
    service = config.Service("desk", "127.0.0.1:7001", slots=count)
    return slots.Slots(node, service, None), node


def _members(count):
    return [
        member.Member(
            agent_id="agent-%d" % number,
            kind=member.AGENT,
            address="127.0.0.1:%d" % (7000 + number),
            incarnation=1,
            state=member.ACTIVE,
        )
        for number in range(count)
    ]


def test_cancel_of_a_waiting_request_frees_its_place():
    """A caller that has gone must not get a slot later."""

    async def run():
        taken, _ = _slots()
        await taken.acquire(_start("runs"), _FAR)
        first = asyncio.ensure_future(taken.acquire(_start("gone"), _FAR))
        second = asyncio.ensure_future(taken.acquire(_start("next"), _FAR))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.sleep(0)
        taken.finish("runs", None)
        await second
        taken.abandon("next")
        await taken.acquire(_start("last"), _FAR)

    asyncio.run(run())


def test_drain_refuses_what_waits():
    """A planned stop must refuse queued requests as not run."""

    async def run():
        taken, _ = _slots()
        await taken.acquire(_start("runs"), _FAR)
        waiting = asyncio.ensure_future(taken.acquire(_start("w"), _FAR))
        await asyncio.sleep(0)
        taken.drain()
        with pytest.raises(exceptions.Refused) as caught:
            await waiting
        assert caught.value.refusal == "draining"

    asyncio.run(run())


def test_id_in_use_does_not_disturb_the_first_request():
    """A repeated id must be refused and leave the slot alone."""

    async def run():
        taken, node = _slots()
        await taken.acquire(_start("id"), _FAR)
        with pytest.raises(exceptions.Refused):
            await taken.acquire(_start("id"), _FAR)
        taken.endpoints_by_id = {"agent-1": ("127.0.0.1", 1)}
        waiting = asyncio.ensure_future(taken.acquire(_start("x"), _FAR))
        await asyncio.sleep(0)
        assert not waiting.done()
        waiting.cancel()

    asyncio.run(run())


def test_loads_go_to_the_other_agents_of_the_service():
    """Agents must know their peers' loads, and take them only from peers."""
    taken, node = _slots(2)
    taken.endpoints_by_id = {
        "agent-%d" % number: ("127.0.0.1", number) for number in range(20)
    }
    taken.active_peer_ids = list(taken.endpoints_by_id)
    taken.send_load()
    assert len(node.sent) == defaults.PEER_LOAD_FANOUT
    assert ("127.0.0.1", 0) not in [address for _, address in node.sent]
    message = node.sent[0][0]
    assert (message.slots, message.long_running, message.wait_ms) == (2, 0, 0)


class _Exchange:
    """Delivers frames of a request without a body."""

    def __init__(self, log):
        self._log = log

    async def receive(self, *kinds):
        self._log.append("frame")
        return messages.structs.BodyEnd(request_id="id", total=0)

    async def send(self, kind, **fields):
        pass


class _Backend:
    """Notes when the backend server gets the request."""

    def __init__(self, log):
        self._log = log

    async def start(self, method, path, headers):
        self._log.append("start")

    async def write(self, chunk):
        self._log.append("body")

    async def answer(self, on_start, on_chunk):
        pass


def test_backend_server_gets_nothing_before_the_first_frame():
    """A balancer that missed Admit says "not run", which must be true."""
    log = []
    service = config.Service("desk", "127.0.0.1:7001")
    requests = requestpath.AgentRequests(
        _Node(), service, ("127.0.0.1", 1), None
    )
    asyncio.run(
        requests._transfer(
            _Exchange(log),
            _Backend(log),
            requestpath._Run(_start("id"), 0.0),
        )
    )
    assert log == ["frame", "start"]


def _attempts(requests):
    shared = dispatch.Dispatch()
    for _ in range(requests):
        shared.budget.on_request(0.0)
    return shared, dispatch.Attempts(shared, "key")


def test_refused_request_follows_the_hint():
    """A hand-off must reach the named agent at the cost of one token."""
    shared, attempts = _attempts(10)
    members = _members(3)
    first = attempts.next_member(members)
    assert attempts.movable
    hint = next(m for m in members if m.agent_id != first.agent_id)
    refused = exceptions.Refused("peer_free", retry_at=hint.address)
    assert attempts.retry_at(refused, members) is not None
    assert attempts.next_member(members) == hint
    assert not attempts.movable


def test_admission_gives_the_reserved_token_back():
    """Requests that are admitted at once must not use up the budget."""
    shared, attempts = _attempts(10)
    attempts.next_member(_members(2))
    attempts.on_admitted()
    assert shared.budget.take_token(0.0)


@pytest.mark.parametrize(
    "code,again",
    [
        ("queue_full", False),
        ("deadline_passed", False),
        ("connect_failed", False),
        ("draining", True),
    ],
)
def test_without_tokens_only_planned_stops_are_retried(code, again):
    """Retries must stay in the budget, but a drain loses no request."""
    _, attempts = _attempts(0)
    members = _members(3)
    attempts.next_member(members)
    refused = exceptions.Refused(code)
    assert (attempts.retry_at(refused, members) is not None) == again
