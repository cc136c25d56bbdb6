"""Admission at agents, and attempts and retries at balancers."""

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

_FAR_DEADLINE = 1e9


class _Node:
    """Records the messages that are sent."""

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
    """A cancelled request must leave the queue.

    A slot given to it later would never be freed, because no task waits for
    it any more.
    """

    async def run():
        agent_slots, _ = _slots()
        await agent_slots.acquire(_start("runs"), _FAR_DEADLINE)
        first = asyncio.ensure_future(
            agent_slots.acquire(_start("gone"), _FAR_DEADLINE)
        )
        second = asyncio.ensure_future(
            agent_slots.acquire(_start("next"), _FAR_DEADLINE)
        )
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.sleep(0)
        agent_slots.finish("runs", None)
        await second
        agent_slots.abandon("next")
        await agent_slots.acquire(_start("last"), _FAR_DEADLINE)

    asyncio.run(run())


def test_drain_refuses_waiting_requests():
    """A drain must refuse queued requests with ``draining``.

    They have not run, so that the balancer may send them to other agents.
    """

    async def run():
        agent_slots, _ = _slots()
        await agent_slots.acquire(_start("runs"), _FAR_DEADLINE)
        waiting = asyncio.ensure_future(
            agent_slots.acquire(_start("w"), _FAR_DEADLINE)
        )
        await asyncio.sleep(0)
        agent_slots.drain()
        with pytest.raises(exceptions.Refused) as raised:
            await waiting
        assert raised.value.refusal == "draining"

    asyncio.run(run())


def test_repeated_request_id_does_not_affect_the_first_request():
    """A second request with the same id must be refused.

    It must not free the slot of the first one: a third request still waits.
    """

    async def run():
        agent_slots, node = _slots()
        await agent_slots.acquire(_start("id"), _FAR_DEADLINE)
        with pytest.raises(exceptions.Refused):
            await agent_slots.acquire(_start("id"), _FAR_DEADLINE)
        agent_slots.endpoints_by_id = {"agent-1": ("127.0.0.1", 1)}
        waiting = asyncio.ensure_future(
            agent_slots.acquire(_start("x"), _FAR_DEADLINE)
        )
        await asyncio.sleep(0)
        assert not waiting.done()
        waiting.cancel()

    asyncio.run(run())


def test_loads_go_to_the_other_agents_of_the_service():
    """An agent must report its load to PEER_LOAD_FANOUT other agents.

    A report to itself would be wasted, and without reports no agent can refer
    a request to a peer.
    """
    agent_slots, node = _slots(2)
    agent_slots.endpoints_by_id = {
        "agent-%d" % number: ("127.0.0.1", number) for number in range(20)
    }
    agent_slots.active_peer_ids = list(agent_slots.endpoints_by_id)
    agent_slots.send_load()
    assert len(node.sent) == defaults.PEER_LOAD_FANOUT
    assert ("127.0.0.1", 0) not in [address for _, address in node.sent]
    message = node.sent[0][0]
    assert (message.slots, message.long_running, message.wait_ms) == (2, 0, 0)


class _Exchange:
    """Returns the frames of a request without a body."""

    def __init__(self, events):
        self._events = events

    async def receive(self, *kinds):
        self._events.append("frame")
        return messages.structs.BodyEnd(request_id="id", total=0)

    async def send(self, kind, **fields):
        pass


class _Backend:
    """Records when the backend server gets the request."""

    def __init__(self, events):
        self._events = events

    async def start(self, method, path, headers):
        self._events.append("start")

    async def write(self, chunk):
        self._events.append("body")

    async def answer(self, on_start, on_chunk):
        pass


def test_backend_server_gets_nothing_before_the_first_frame():
    """The request must not be sent before the first frame after Admit.

    A balancer that did not receive Admit sends no such frame and reports that
    the request has not run.
    """
    events = []
    service = config.Service("desk", "127.0.0.1:7001")
    requests = requestpath.AgentRequests(
        _Node(), service, ("127.0.0.1", 1), None
    )
    asyncio.run(
        requests._transfer(
            _Exchange(events),
            _Backend(events),
            requestpath._RequestProgress(_start("id"), 0.0),
        )
    )
    assert events == ["frame", "start"]


def _attempts(requests):
    service_dispatch = dispatch.Dispatch()
    for _ in range(requests):
        service_dispatch.budget.on_request(0.0)
    return service_dispatch, dispatch.Attempts(service_dispatch, "key")


def test_refused_request_follows_the_hint():
    """A request that is refused in favour of a peer must be sent to it.

    The attempt uses the reserved token and reserves no other one, since none
    is left.
    """
    service_dispatch, attempts = _attempts(10)
    members = _members(3)
    first = attempts.next_member(members)
    assert attempts.movable
    hinted_member = next(
        record for record in members if record.agent_id != first.agent_id
    )
    refused = exceptions.Refused("peer_free", retry_at=hinted_member.address)
    assert attempts.next_attempt_at(refused, members) is not None
    assert attempts.next_member(members) == hinted_member
    assert not attempts.movable


def test_admission_returns_the_reserved_token():
    """A request that is admitted at once must return its reserved token.

    The retry budget would be used up without any retry otherwise.
    """
    service_dispatch, attempts = _attempts(10)
    attempts.next_member(_members(2))
    attempts.on_admitted()
    assert service_dispatch.budget.take_token(0.0)


@pytest.mark.parametrize(
    "code,is_retried",
    [
        ("queue_full", False),
        ("deadline_passed", False),
        ("connect_failed", False),
        ("draining", True),
    ],
)
def test_without_tokens_only_planned_stops_are_retried(code, is_retried):
    """Retries must stay within the budget, except after planned stops.

    A drain would lose requests if its refusals needed tokens.
    """
    _, attempts = _attempts(0)
    members = _members(3)
    attempts.next_member(members)
    refused = exceptions.Refused(code)
    assert (
        attempts.next_attempt_at(refused, members) is not None
    ) == is_retried
