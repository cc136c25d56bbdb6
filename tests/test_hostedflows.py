"""Tests for the table of flows that a backend server holds.

The load is that of an agent with many open flows: the limit of a backend
server is 2,000, and each balancer that places a flow asks for the counts.
"""

import hypothesis
from hypothesis import strategies
import segmentkit as kit

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift.state import hostedflows
from limpetlift.state import hosting
from limpetlift.state import reports

_BALANCER = ("10.1.0.1", 7720)
_SERVICE_ID = hashing.service_id("desk")


class _CountingDict(dict):
    """A dict that counts how often all of its items are read."""

    scans = 0

    def __iter__(self):
        type(self).scans += 1
        return super().__iter__()

    def values(self):
        type(self).scans += 1
        return super().values()

    def items(self):
        type(self).scans += 1
        return super().items()


def _agent():
    agent = hosting.FlowHosting("desk", 1, kit.decode, True)
    agent.on_report(
        0.0, reports.Report("s-1", "desk", 1000, 1, reports.READY, 2)
    )
    return agent


def _forward(agent, now, port, flags=0, **fields):
    data = kit.datagram(port, flags, **fields)
    return agent.on_message(now, _BALANCER, tunnel.Forward(_SERVICE_ID, data))


def _load(agent, now):
    steps = agent.on_message(now, _BALANCER, tunnel.Hello(True))
    ((_, report),) = kit.messages(steps, tunnel.LoadReport)
    return report


def test_idle_flows_cost_nothing():
    """Pattern: live boards keep 2,000 flows open at one backend server.

    With a look at every flow, each load report, new request and tick of 20 ms
    took 1.9 ms, in which callers waited.
    """
    agent = _agent()
    for port in range(defaults.MAX_FLOWS_PER_SERVER - 1):
        _forward(agent, 0.0, port, kit.SYN)
        agent.on_server_segment(
            0.0, kit.server_segment(port, kit.SYN | kit.ACK)
        )
    agent.tick(0.5)
    agent.flows.by_key = _CountingDict(agent.flows.by_key)
    _CountingDict.scans = 0
    assert _load(agent, 0.6).flows == defaults.MAX_FLOWS_PER_SERVER - 1
    port = defaults.MAX_FLOWS_PER_SERVER
    _forward(agent, 0.6, port, kit.SYN)
    agent.on_server_segment(0.6, kit.server_segment(port, kit.SYN | kit.ACK))
    _forward(agent, 0.6, port, kit.ACK, ack=1, payload=b"request")
    agent.tick(0.62)
    assert agent.is_idle is False
    assert _CountingDict.scans == 0


def _flow(port, now=0.0, first_segment=b"syn", is_tentative=False):
    return hostedflows.Flow(
        port,
        _BALANCER,
        now,
        first_segment=first_segment,
        answer_due_at=now + 1.0,
        is_tentative=is_tentative,
    )


def test_an_unanswered_flow_is_returned_once_when_it_is_due():
    """A first segment that the server did not answer goes elsewhere.

    Too early, two servers hold the flow; twice, it is sent to two others.
    """
    table = hostedflows.FlowTable()
    flow = _flow(1)
    table.add(flow)
    assert table.pop_overdue(0.9) == []
    assert table.pop_overdue(1.0) == [flow]
    assert table.pop_overdue(9.0) == []


def test_an_answered_or_removed_flow_is_not_overdue():
    """A flow that the server answered must not be placed again."""
    table = hostedflows.FlowTable()
    answered, removed, replaced = _flow(1), _flow(2), _flow(3)
    for flow in (answered, removed, replaced):
        table.add(flow)
    answered.first_segment = b""
    table.update(answered)
    table.remove(removed.key)
    table.add(_flow(3, now=5.0))
    assert table.pop_overdue(2.0) == []


def test_a_pause_gives_every_first_segment_more_time():
    """An answer may wait in the socket of an agent that was paused."""
    table = hostedflows.FlowTable()
    flow = _flow(1)
    table.add(flow)
    table.extend_answer_times(3.0)
    assert table.pop_overdue(2.0) == []
    assert table.pop_overdue(3.0) == [flow]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4),
            strategies.sampled_from(
                ["add", "tentative", "remove", "answer", "request"]
                + ["reply", "found", "finish", "clear"]
            ),
        ),
        max_size=60,
    )
)
def test_counts_are_those_of_the_flows(operations):
    """A count that drifts makes balancers avoid or overload the server."""
    table = hostedflows.FlowTable()
    for port, operation in operations:
        flow = table.by_key.get(port)
        if operation in ("add", "tentative"):
            table.add(_flow(port, is_tentative=operation == "tentative"))
        elif operation == "remove":
            table.remove(port)
        elif operation == "clear":
            table.clear()
        if flow is None:
            continue
        if operation == "answer":
            flow.first_segment = b""
        elif operation == "request":
            flow.is_awaiting_answer = True
        elif operation == "reply":
            flow.is_awaiting_answer = False
        elif operation == "found":
            flow.is_tentative = False
        elif operation == "finish":
            flow.caller_finished = flow.server_finished = True
            flow.close_if_finished(1.0)
        # A flow that is no longer in the table must not be counted.
        table.update(flow)
    flows = list(table.by_key.values())
    assert table.open_count == sum(flow.is_open for flow in flows)
    assert table.awaiting_count == sum(
        flow.is_awaiting_answer for flow in flows
    )
    assert table.waiting_count == sum(flow.is_caller_waiting for flow in flows)
