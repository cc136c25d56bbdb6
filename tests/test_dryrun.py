"""Tests of the command that tells where a new flow would go, and why."""

import json
import math
import random
import subprocess
import sys
import time

import attrs
import pytest
import segmentkit as kit

from limpetlift import clock
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.platform import web
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift.scheduling import evacuation
from limpetlift.state import dryrun
from limpetlift.state import steering
from limpetlift.transport import reactor as reactors

_OWN_ADDRESS = ("10.9.0.9", 80)


def _balancer(data_centres="aaabbb", aim_s=0.5, **loads):
    """Return the decisions of a balancer whose agents told their loads.

    :param loads: fields of the load reports by ``agent_NUMBER``; None for an
        agent that has not told any.
    """
    balancer = steering.FlowSteering(
        _OWN_ADDRESS, "a", kit.decode, random.Random(1)
    )
    balancer.on_evacuations(0.0, [])
    balancer.on_routes(0.0, kit.routes(aim_s=aim_s))
    entries = [
        kit.agent(number, data_centre=data_centre)
        for number, data_centre in enumerate(data_centres, 1)
    ]
    balancer.on_entries(0.0, entries, [kit.balancer(2), kit.balancer(3)])
    for number, entry in enumerate(entries, 1):
        fields = loads.get("agent_%d" % number, {})
        if fields is not None:
            load = kit.load(2, **{"run_ms": 20, **fields})
            balancer.on_message(0.0, entry.address, load)
    return balancer


def _flow_id(port):
    return segments.format_key(kit.key_of(port))


def _fingerprint(balancer):
    """Return all state of a balancer as text."""
    return repr(
        {
            field.name: getattr(balancer, field.name)
            for field in attrs.fields(steering.FlowSteering)
            if field.name not in ("rng", "decode", "_choose", "_admit")
        }
    ) + repr(balancer.rng.getstate())


def _outcomes(answer):
    return {
        candidate["agent"]: candidate["outcome"]
        for candidate in answer["candidates"]
    }


def test_the_answer_is_what_the_balancer_then_does():
    """An answer that differs from the decision misleads the operator.

    Loads, earlier placings and random numbers decide together.
    """
    rng = random.Random(5)
    balancer = _balancer("aaaabbbb", aim_s=0.2)
    decisions = set()
    for port in range(1, 200):
        number = rng.randrange(1, 9)
        load = kit.load(
            port + 10,
            busy=rng.randrange(12),
            flows=rng.randrange(12),
            run_ms=30,
            accepting=rng.random() < 0.8,
        )
        now = 0.02 + port * 1e-5
        for address in list(balancer.agents.by_address):
            balancer.agents.by_address[address].load_received_at = now
        balancer.on_message(now, kit.agent(number).address, load)
        answer = dryrun.explain(balancer, now, _flow_id(port))
        result = balancer.on_segment(now, kit.caller_segment(port, kit.SYN))
        (event,) = [
            step
            for step in result
            if getattr(step, "key", b"") and hasattr(step, "event")
        ]
        decisions.add(event.event)
        assert answer["decision"] == event.event
        for name, value in event.fields.items():
            assert answer["fields"][name] == value
        chosen = [c for c in answer["candidates"] if c["outcome"] == "chosen"]
        forwards = kit.messages(result, tunnel.Forward)
        assert [c["address"] for c in chosen] == [
            "%s:%d" % to for to, _ in forwards
        ]
    assert {"flow_placed", "flow_deferred"} <= decisions


@pytest.mark.parametrize("copy_number", [0, 1, 2])
@pytest.mark.parametrize("is_known", [False, True])
def test_a_dry_run_changes_nothing(copy_number, is_known):
    """An operator's question must not place, move or delay a flow."""
    balancer = _balancer("aabb", agent_1={"busy": 90}, agent_2=None)
    evacuated = [evacuation.Change("b", 7)]
    balancer.on_evacuation_changes(0.0, evacuated)
    balancer.on_segment(0.0, kit.caller_segment(9, kit.SYN))
    if is_known:
        balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    before = _fingerprint(balancer)
    for now in (0.0, 0.01, 5.0):
        dryrun.explain(balancer, now, _flow_id(1), copy_number)
        assert _fingerprint(balancer) == before


def test_agents_are_listed_with_what_refuses_them():
    """The operator has to see why an agent does not get the flow."""
    balancer = _balancer(
        "aaaaaabb",
        aim_s=0.3,
        agent_1={"busy": 1},
        agent_2={"accepting": False},
        agent_3={"busy": 900, "run_ms": 200},
        agent_4=None,
    )
    balancer.agents.by_address[kit.agent(5).address].asked_at = 0.9
    balancer.on_evacuation_changes(0.5, [evacuation.Change("b", 7)])
    answer = dryrun.explain(balancer, 1.0, _flow_id(1))
    outcomes = _outcomes(answer)
    assert outcomes["agent-2"] == "not_accepting"
    assert outcomes["agent-3"] == "queue_too_long"
    assert outcomes["agent-4"] == "load_unknown"
    assert outcomes["agent-5"] == "silent"
    assert sorted((outcomes["agent-1"], outcomes["agent-6"])) == [
        "accepts",
        "chosen",
    ]
    assert answer["counts_by_outcome"] == {"evacuated": 2}
    assert answer["evacuated"] == [
        {"data_centre": "b", "revision": 7, "known_s": 0.5}
    ]
    first = answer["candidates"][0]
    assert first["outcome"] == "chosen" and first["age_s"] == 1.0
    assert {"slots", "busy", "flows", "run_ms", "placed"} <= first.keys()
    assert math.isclose(
        answer["max_wait_s"],
        defaults.AIM_WAIT_SHARE * (0.3 - defaults.FLOW_NETWORK_TIME_S - 0.02),
    )


def test_a_refusal_and_agents_that_are_not_asked_are_shown():
    """A flow without an agent is refused; a large service is not all asked."""
    balancer = _balancer("aaa")
    balancer.on_evacuation_changes(0.0, [evacuation.Change("a", 7)])
    answer = dryrun.explain(balancer, 0.0, _flow_id(1))
    assert (answer["decision"], answer["reset"]) == (
        "flow_refused",
        "no_agent",
    )
    assert not answer["candidates"]
    answer = dryrun.explain(balancer, 0.0, _flow_id(1), 1)
    assert (answer["decision"], answer["reset"]) == ("copy_dropped", "")
    answer = dryrun.explain(_balancer("a" * 20), 0.0, _flow_id(1))
    assert len(answer["candidates"]) == defaults.PLACING_CANDIDATES
    assert answer["counts_by_outcome"] == {
        "not_asked": 20 - defaults.PLACING_CANDIDATES
    }


def test_a_known_flow_stays_with_its_agent():
    """The same first segment would be taken for a copy of a known flow."""
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = kit.messages(result, tunnel.Forward)
    answer = dryrun.explain(balancer, 0.1, _flow_id(1), 1)
    assert answer["is_known"] and not answer["is_open"]
    assert answer["decision"] == "copy_forwarded"
    assert answer["agent_address"] == "%s:%d" % address


@pytest.mark.parametrize(
    "flow, copy_number",
    [
        ("", 0),
        ("100.64.0.7:1033", 0),
        ("100.64.0.7:1033>198.18.0.1", 0),
        ("100.64.0.7:1033>198.18.0.1:444", 0),
        ("100.64.0.7:+1033>198.18.0.1:443", 0),
        ("100.64.0.7:99999>198.18.0.1:443", 0),
        ("1.2.3.4:1>1.2.3.4:1>1.2.3.4:1", 0),
        ("x" * 9_000, 0),
        ("100.64.0.7:" + "9" * 9_000 + ">198.18.0.1:443", 0),
        ("100.64.0.7:1033>198.18.0.1:443", 3),
        ("100.64.0.7:1033>198.18.0.1:443", -1),
    ],
)
def test_an_invalid_question_is_one_short_error(flow, copy_number):
    """Input of an operator must not raise another error in a balancer."""
    with pytest.raises(exceptions.StateError) as caught:
        dryrun.explain(_balancer(), 0.0, flow, copy_number)
    assert str(caught.value).isprintable() and len(str(caught.value)) < 250


def test_a_dry_run_among_many_agents_does_not_stop_the_balancer():
    """A dry run must stay far below the time that counts as a pause.

    There are 14,000 agents, half of them of the flow's service.
    """
    balancer = _balancer("")
    entries = [
        attrs.evolve(
            kit.agent(1, "desk" if number % 2 else "lamp"),
            process_id="agent-%d" % number,
            address=(
                "10.%d.%d.%d"
                % (number >> 14, number >> 7 & 127, number & 127),
                70,
            ),
        )
        for number in range(1, 14_001)
    ]
    balancer.on_entries(0.0, entries, [])
    began_at = time.process_time()
    answer = dryrun.explain(balancer, 0.0, _flow_id(1))
    duration_s = time.process_time() - began_at
    assert answer["counts_by_outcome"]["not_asked"] > 6_900
    assert duration_s < defaults.PAUSE_MIN_S


# The command.


class _Process:
    """A balancer process that only answers questions."""

    def __init__(self, balancer):
        self._balancer = balancer

    def explain_placement(self, flow, copy_number):
        """Answer as a balancer does."""
        return {
            "balancer": "edge-1",
            **dryrun.explain(self._balancer, 0.0, flow, copy_number),
        }


@pytest.fixture(name="ask")
def _ask():
    """Return a function that runs the command against a balancer."""
    reactor = reactors.Reactor()
    server = web.serve(reactor, ("127.0.0.1", 0), _Process(_balancer()))
    address = "%s:%d" % server.address

    def ask(*arguments, address=address):
        program = subprocess.Popen(
            [sys.executable, "-m", "limpetlift", "whereto", address]
            + list(arguments),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        limit = reactor.call_at(clock.now() + 30.0, reactor.stop)
        cancel = reactor.call_every(
            0.02, lambda: program.poll() is not None and reactor.stop()
        )
        reactor.run()
        limit.cancel()
        cancel()
        output, errors = program.communicate(timeout=5.0)
        return program.returncode, output, errors

    yield ask
    server.close()
    reactor.close()


def test_the_command_prints_the_decision_and_the_candidates(ask):
    """The answer has to be readable, and the JSON complete."""
    status, output, errors = ask(_flow_id(1))
    assert (status, errors) == (0, "")
    assert "decision: flow_placed agent=agent-" in output
    assert output.count("age_s=0.0") == 6
    status, output, _ = ask(_flow_id(1), "--copy=1", "--json")
    answer = json.loads(output)
    assert status == 0 and answer["copy"] == 1
    assert answer["balancer"] == "edge-1" and len(answer["candidates"]) == 5


@pytest.mark.parametrize(
    "arguments, address, expected",
    [
        (["100.64.0.7:1>198.18.0.9:443"], None, "no route to 198.18.0.9:443"),
        (["100.64.0.7"], None, "invalid flow"),
        (["100.64.0.7:1>198.18.0.1:443", "--copy=x"], None, "invalid"),
        (["100.64.0.7:1>198.18.0.1:443"], "127.0.0.1:1", "failed"),
        (["100.64.0.7:1>198.18.0.1:443"], "nowhere", "invalid address"),
        (["100.64.0.7:1>198.18.0.1:443"], "127.0.0.1:99999", "out of range"),
    ],
)
def test_the_command_refuses_invalid_input_in_one_line(
    ask, arguments, address, expected
):
    """A script must be able to tell an error from an answer."""
    options = {} if address is None else {"address": address}
    status, output, errors = ask(*arguments, **options)
    assert status == 2 and not output
    assert errors.count("\n") == 1 and expected in errors


def test_other_processes_do_not_answer():
    """An agent serves the same API, but places no flows."""
    handlers = []

    class _Server:
        def __init__(self, _reactor, _address, handle):
            handlers.append(handle)

    original, web.http1.Server = web.http1.Server, _Server
    try:
        web.serve(None, None, object())
    finally:
        web.http1.Server = original
    assert handlers[0]("GET", "/whereto?flow=x", b"").status == 404
