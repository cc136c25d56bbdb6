"""Pace of new flows at servers that have started or recovered."""

import math
import pathlib
import random
import statistics
import time
import tomllib

import attrs
import pacesim
import pytest
import segmentkit as kit

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift.scheduling import pacing
from limpetlift.state import hosting
from limpetlift.state import reports
from limpetlift.state import routing
from limpetlift.state import segmentsettings
from limpetlift.state import steering
from limpetlift.state import steps

_ROOT = pathlib.Path(__file__).parent.parent
_SERVICE_ID = hashing.service_id("desk")
_BALANCERS = [("10.9.0.%d" % number, 80) for number in range(1, 5)]
# 12 x 1.5 + 5.
_PER_S, _OVERAGE, _SLACK, _LIMIT = 12.0, 1.5, 5.0, 23
_IDLE = pacing.Load(2, 0, 0)


def _report(number=1, warmup_s=2.0, started_ms=1000, slots=2):
    return reports.Report(
        "s-1", "desk", started_ms, number, reports.READY, slots, warmup_s
    )


def _agent(is_learning=False, has_rule=True, **fields):
    """Return an agent that knows the configured rate."""
    bounds = (_OVERAGE, _SLACK) if has_rule else ()
    agent = hosting.FlowHosting(
        "desk",
        1,
        kit.decode,
        pace=pacing.Pacing(is_learning, *bounds),
        **{"knows_all_flows": True, **fields},
    )
    agent.tick(0.0)
    _hello(agent, 0.0)
    return agent


def _hello(agent, now, version=1, per_s=_PER_S, balancer=_BALANCERS[0]):
    """Let a balancer ask; return the load report that it gets."""
    result = agent.on_message(
        now, balancer, tunnel.Hello(True, version, per_s)
    )
    ((_, load),) = kit.messages(result, tunnel.LoadReport)
    return load


def _send(agent, now, port, copy=0, balancer=_BALANCERS[0], wait_ms=0):
    """Forward a first segment; return the reason to decline, or empty."""
    data = kit.datagram(port, kit.SYN, ack=copy)
    result = agent.on_message(
        now, balancer, tunnel.Forward(_SERVICE_ID, data, wait_ms)
    )
    declined = kit.messages(result, tunnel.Declined)
    assert bool(declined) != (steps.SendToServer in kit.step_types(result))
    return declined[0][1].reason if declined else ""


def _accept(agent, now, port):
    """Let the server accept the flow of a first segment."""
    agent.on_server_segment(now, kit.server_segment(port, kit.SYN | kit.ACK))


def _run_request(agent, now, port, took_s):
    """Send a request of an open flow and its answer."""
    agent.on_message(
        now,
        _BALANCERS[0],
        tunnel.Forward(
            _SERVICE_ID,
            kit.datagram(port, kit.ACK, sequence=1, ack=1, payload=b"x"),
        ),
    )
    agent.on_server_segment(
        now + took_s,
        kit.server_segment(port, kit.ACK, sequence=1, payload=b"y"),
    )


def _events(result):
    return [step.event for step in result if isinstance(step, steps.LogEvent)]


def _largest_count(times, span_s=1.0):
    """Return the largest number of times in any span of a length."""
    return max(
        sum(start <= other < start + span_s for other in times)
        for start in times
    )


# The rule.


@pytest.mark.parametrize("is_learning", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_a_cold_server_gets_no_more_than_the_rule_permits(seed, is_learning):
    """Several balancers that act alone overload a server that has started.

    The flows come in bursts from several balancers, with copies, and some are
    returned. The bound holds in every span of one second, wherever it begins.
    """
    rng = random.Random(seed)
    agent = _agent(is_learning)
    agent.on_report(0.0, _report(warmup_s=4.0))
    accepted = []
    now = port = 0
    number = 1
    while now < 4.0:
        if now > 1.2 * number:
            number += 1
            agent.on_report(now, _report(number, 4.0 - now))
        now += rng.expovariate(20 if rng.random() < 0.02 else 400)
        port += 1
        balancer = rng.choice(_BALANCERS)
        if now < 4.0 and not _send(agent, now, port, 0, balancer):
            assert not _send(agent, now, port, 1, balancer)
            if rng.random() < 0.1:
                agent.on_server_segment(
                    now, kit.returned_segment(port, kit.SYN)
                )
                continue
            accepted.append(now)
            _accept(agent, now, port)
            agent.on_message(
                now,
                balancer,
                tunnel.Forward(_SERVICE_ID, kit.datagram(port, kit.RST)),
            )
    assert _largest_count(accepted) <= _LIMIT
    if not is_learning:
        # What the rule permits is given, too.
        assert len(accepted) >= 0.9 * 4 * _LIMIT


def test_a_warm_server_is_not_bound_by_the_rule():
    """The rule must not cost throughput once the server is warm."""
    agent = _agent()
    agent.on_report(0.0, _report(warmup_s=1.0))
    assert [_send(agent, 0.5, port) for port in range(30)].count("") == _LIMIT
    assert not any(_send(agent, 1.01, port) for port in range(30, 200))


def test_flows_of_before_the_report_count():
    """Flows sent on just before a cold server's first report reach it."""
    agent = _agent()
    agent.on_report(0.0, _report(warmup_s=0.0))
    for port in range(20):
        _send(agent, 0.9, port)
    agent.on_report(1.0, _report(started_ms=2000))
    sent = [_send(agent, 1.1, port) for port in range(20, 60)]
    assert sent.count("") == _LIMIT - 20


def test_a_copy_for_a_restarted_server_counts_as_a_new_flow():
    """A copy opens a flow at the server that has replaced the accepting one.

    Uncounted copies of a second's flows would exceed the rule at once.
    """
    agent = _agent()
    agent.on_report(0.0, _report(warmup_s=0.0))
    for port in range(60):
        _send(agent, 0.01, port)
    agent.on_report(0.02, _report(started_ms=2000))
    assert [_send(agent, 0.2, port, 1) for port in range(60)] == ["busy"] * 60
    agent = _agent()
    agent.on_report(0.0, _report(warmup_s=0.0))
    for port in range(60):
        _send(agent, 0.01, port)
    agent.on_report(0.02, _report(started_ms=2000))
    sent = [_send(agent, 1.2, port, 1) for port in range(60)]
    assert sent.count("") == _LIMIT
    again = [_send(agent, 1.21, port, 2) for port in range(_LIMIT)]
    assert again == [""] * _LIMIT


def test_a_restarted_agent_counts_what_its_predecessor_may_have_sent():
    """Two agents in one second would send a cold server twice the bound."""
    agent = _agent(knows_all_flows=False)
    agent.on_report(0.3, _report(number=2))
    assert _send(agent, 0.9, 1) == "busy"
    assert not _send(agent, 1.06, 1)


def test_a_restarted_agent_does_not_limit_a_warm_server():
    """An agent is restarted often, and its server's speed is unaffected."""
    agent = _agent(True, knows_all_flows=False)
    agent.on_report(0.3, _report(number=40, warmup_s=0.0))
    assert _hello(agent, 0.3).room == tunnel.NO_LIMIT
    assert not any(_send(agent, 0.3, port) for port in range(200))


def test_the_configured_rate_of_the_highest_version_counts():
    """A balancer that is behind must not undo a change of the operators."""
    pace = pacing.Pacing(False, _OVERAGE, _SLACK)
    pace.on_report(0.0, _report())
    assert pace.room(0.0, _IDLE) == 5  # Only the slack is certain.
    pace.on_configured(7, 12.0)
    pace.on_configured(6, 100.0)
    assert pace.room(0.0, _IDLE) == _LIMIT
    # Of one version the lowest stated rate counts.
    pace.on_configured(7, 0.0)
    pace.on_configured(7, 10.0)
    assert pace.room(0.0, _IDLE) == 20
    pace.on_configured(8, 0.0)
    assert pace.room(0.0, _IDLE) == math.inf
    assert [change.fields["version"] for change in pace.take_changes()] == [
        7,
        7,
        8,
    ]


@pytest.mark.parametrize(
    "warmups, cold_until",
    [
        ([(0.0, 2.0), (1.2, 0.8)], 2.0),
        # The second report was delayed by 3 s.
        ([(0.0, 2.0), (4.2, 0.8)], 2.0),
        # The first one was delayed.
        ([(5.0, 2.0), (5.1, 0.4)], 5.5),
        # A server that does not report it any more.
        ([(0.0, 2.0), (0.5, 0.0)], 2.0),
        # One that begins to report it.
        ([(0.0, 0.0), (0.5, 2.0)], 2.5),
        # A huge value, again and again.
        ([(0.0, 1e9), (20.0, 1e9)], defaults.MAX_COLD_S),
    ],
)
def test_odd_warm_up_times(warmups, cold_until):
    """A missing, delayed or huge time must neither end nor stretch the rule.

    A server is cold for as long as the most recent valid report says.
    """
    pace = pacing.Pacing(False, _OVERAGE, _SLACK)
    pace.on_configured(1, _PER_S)
    for number, (now, warmup_s) in enumerate(warmups, 1):
        pace.on_report(now, _report(number, warmup_s))
    if cold_until > warmups[-1][0]:
        assert pace.room(cold_until - 0.01, _IDLE) == _LIMIT
    assert pace.room(max(cold_until, warmups[-1][0]), _IDLE) == math.inf


# The learned limit.


def test_a_started_server_begins_at_the_lowest_limit_and_is_freed():
    """A fast server must get back to no limit within moments of its start."""
    agent = _agent(True, has_rule=False)
    agent.on_report(0.0, _report(warmup_s=0.0))
    assert _hello(agent, 0.0).room == 2 * defaults.PACE_MIN_PER_SLOT
    now, events = 0.0, []
    for port in range(40):
        now += 0.05
        agent.on_report(now, _report(port + 2, 0.0))
        assert not _send(agent, now, port)
        _accept(agent, now, port)
        _run_request(agent, now, port, 0.02)
        events += _events(agent.tick(now + 0.03))
    assert (events[0], events[-1]) == ("pace_began", "pace_ended")
    assert "pace_lowered" not in events
    assert _hello(agent, now).room == tunnel.NO_LIMIT


def _answer(pace, now, ratio, waiting, count, usual_s=0.05):
    load = pacing.Load(2, waiting, waiting)
    for _ in range(count):
        pace.on_answer(now, ratio * usual_s, pace.on_request(0, 2), load)


def _cold_pace(usual_s=0.05):
    pace = pacing.Pacing(True, usual_s=usual_s)
    pace.on_report(0.0, _report(warmup_s=20.0))
    return pace


def test_the_limit_grows_evenly_and_shrinks_by_a_factor():
    """A limit that shrinks as slowly as it grows floods a slow server."""
    pace = _cold_pace()
    floor = pace.limit
    _answer(pace, 1.0, 1.0, 20, 16)
    assert pace.limit == pytest.approx(floor + 16 * 2 * defaults.PACE_STEP)
    raised = pace.limit
    _answer(pace, 1.0, 3.0, 20, defaults.PACE_MIN_ANSWERS)
    assert floor < pace.limit < raised
    _answer(pace, 1.0, 3.0, 20, 100)
    assert pace.limit == floor
    events = [change.event for change in pace.take_changes()]
    assert events[0] == "pace_began" and "pace_lowered" in events


def test_a_limit_that_is_not_used_does_not_grow():
    """A quiet time must not permit a burst that the server has not borne."""
    pace = _cold_pace()
    floor = pace.limit
    _answer(pace, 1.0, 1.0, 1, 100)
    assert pace.limit == floor


def test_a_few_long_requests_are_not_slowness():
    """3% of the requests take 7 times as long on a server that is fast."""
    rng = random.Random(3)
    pace = _cold_pace()
    for _ in range(400):
        ratio = rng.lognormvariate(-0.125, 0.5)
        ratio *= 7 if rng.random() < 0.03 else 1
        _answer(pace, 1.0, ratio, 20, 1)
    events = [change.event for change in pace.take_changes()]
    assert events.count("pace_lowered") <= 2
    assert pace.limit > 10


def test_the_wait_in_the_queue_is_not_slowness():
    """A request that waits for a slot is late by the queue, not the server."""
    pace = _cold_pace()
    floor = pace.limit
    for _ in range(30):
        # With two slots, four requests ahead make a wait of 1.5 runs.
        turn = pace.on_request(4, 2)
        pace.on_answer(1.0, 2.5 * 0.05, turn, pacing.Load(2, 20, 20))
    assert pace.slowdown == pytest.approx(1.0) and pace.limit > floor


def test_rejections_of_a_full_server_are_not_fast_answers():
    """They would raise the limit of the server that rejects.

    A request that came behind others and is answered before any of these has
    ended was not run.
    """
    pace = _cold_pace()
    _answer(pace, 1.0, 1.2, 20, 10)
    known = (pace.limit, pace.usual_s, pace.slowdown)
    for _ in range(30):
        turn = pace.on_request(7, 2)
        pace.on_answer(1.0, 0.001, turn, pacing.Load(2, 7, 7))
    assert (pace.limit, pace.usual_s, pace.slowdown) == known
    assert pace.rejected_count == 30
    # A fast answer to a request that had a free slot is a fast answer.
    turn = pace.on_request(1, 2)
    pace.on_answer(1.0, 0.001, turn, pacing.Load(2, 2, 2))
    assert pace.slowdown < known[2]


def test_copies_join_only_the_first_part_of_the_queue():
    """Copies, late in any case, would make the answers of new flows late."""
    pace = _cold_pace()
    load = pacing.Load(2, 4, 4)
    assert pace.limit == 6
    assert pace.admits(1.0, load) and not pace.admits(1.0, load, True)
    assert pace.admits(1.0, pacing.Load(2, 2, 2), True)


def test_a_wrong_usual_time_does_not_hold_a_warm_server_back():
    """Requests may have become longer since the usual time was learned."""
    pace = _cold_pace(usual_s=0.005)
    pace.on_report(0.1, _report(2, 0.1))
    now = 1.0
    for _ in range(600):
        now += 0.02
        _answer(pace, now, 1.0, 20, 1, usual_s=0.05)
        pace.room(now, pacing.Load(2, 20, 20))
        pace.tick(now, pacing.Load(2, 20, 20))
    assert pace.limit is None


def test_idle_flows_take_room_by_their_share():
    """The later requests of long flows cannot be refused.

    A server that looks idle between them would get flows without end. It must
    not be left idle either.
    """
    pace = _cold_pace()
    load = pacing.Load(2, 4, 40)
    now = 0.0
    while now < 5.0:
        now += 0.02
        pace.tick(now, load)
    pace.on_accepted(now)
    # 0.1 of the flows ask at a time, 41 expect as many as are permitted.
    assert pace.room(now, pacing.Load(2, 1, 48)) == 0
    later = now + defaults.PACE_FLOOR_INTERVAL_S + 0.001
    assert pace.room(later, pacing.Load(2, 1, 70)) == 1
    assert pace.room(later, pacing.Load(2, 2, 70)) == 0


@pytest.mark.parametrize("by", ["segment", "report"])
def test_a_server_that_was_silent_begins_at_the_lowest_limit(by):
    """A server that thaws gets what all balancers have held back for it.

    Without a report it may be a new, cold one, so the rule holds for it.
    """
    agent = _agent(True)
    agent.on_report(0.0, _report(warmup_s=0.0, number=5))
    assert _hello(agent, 0.0).room == tunnel.NO_LIMIT
    for port in range(3):
        _send(agent, 0.5, port)
    agent.tick(0.6)
    assert _send(agent, 0.7, 4) == "server_silent"
    if by == "segment":
        _accept(agent, 0.8, 1)
        sent = [_send(agent, 0.8, port, wait_ms=0) for port in range(9, 50)]
        assert 0 < sent.count("") <= 8
        agent.pace.limit = None
        sent = [_send(agent, 0.9, port) for port in range(50, 99)]
        assert agent.pace._rule_room(0.9) == 0
    agent.on_report(1.0, _report(number=6, warmup_s=0.0))
    if by == "report":
        assert 0 < _hello(agent, 1.0).room <= 8
    assert agent.pace._rule_room(1.0) == math.inf


def test_a_pause_of_the_agent_is_no_silence_of_its_server():
    """A paused agent must not hold back a server that served all the time."""
    agent = _agent(True)
    agent.on_report(0.0, _report(warmup_s=0.0, number=5))
    agent.on_pause(4.0, 4.0)
    agent.on_caught_up()
    agent.on_report(4.1, _report(warmup_s=0.0, number=9))
    assert _hello(agent, 4.1).room == tunnel.NO_LIMIT


@pytest.mark.parametrize(
    "started_ms, is_limited", [(2000, True), (1000, False)]
)
def test_a_server_restarted_under_its_id_is_limited(started_ms, is_limited):
    """A restart under the same id is noticed by the start time."""
    agent = _agent(True, has_rule=False)
    agent.on_report(0.0, _report(warmup_s=0.0, number=5))
    agent.on_report(1.0, _report(6, 0.0, started_ms))
    assert (_hello(agent, 1.0).room != tunnel.NO_LIMIT) == is_limited


def test_a_declined_flow_tells_the_room_in_the_log():
    """Otherwise the pace and a long queue look the same to operators."""
    agent = _agent()
    agent.on_report(0.0, _report())
    for port in range(_LIMIT):
        _send(agent, 0.1, port)
    data = kit.datagram(99, kit.SYN)
    result = agent.on_message(
        0.2, _BALANCERS[0], tunnel.Forward(_SERVICE_ID, data)
    )
    (fields,) = kit.log_fields(result, "flow_passed_on")
    assert (fields["reason"], fields["room"]) == ("busy", 0)


def test_the_last_place_goes_to_one_of_many_balancers():
    """All balancers act on one report, but the server has room for some."""
    agent = _agent(True)
    agent.on_report(0.0, _report())
    room = _hello(agent, 0.0).room
    sent = [
        _send(agent, 0.001, port, 0, _BALANCERS[port % 4])
        for port in range(4 * room)
    ]
    assert sent.count("") == room
    assert sent.count("busy") == agent.pace.declined_count == 3 * room


# Balancers.


def _balancer(agents=12, room=tunnel.NO_LIMIT, **fields):
    balancer = steering.FlowSteering(
        ("10.9.0.9", 80), "a", kit.decode, random.Random(1), **fields
    )
    balancer.on_routes(0.0, kit.routes())
    balancer.on_entries(
        0.0, [kit.agent(number) for number in range(1, agents + 1)], []
    )
    _tell(balancer, 0.0, room)
    return balancer


def _tell(balancer, now, room, number=1, agents=None):
    for address in agents or list(balancer.agents.by_address):
        balancer.on_message(now, address, kit.load(number, room=room))


def _place(balancer, now, port, copy=0):
    result = balancer.on_segment(
        now, kit.caller_segment(port, kit.SYN, ack=copy)
    )
    return result, [to for to, _ in kit.messages(result, tunnel.Forward)]


def test_an_agent_without_room_is_passed_over_at_once():
    """A flow sent to a server without room costs its caller a round trip.

    The balancer counts what it placed itself since the report.
    """
    balancer = _balancer(room=0)
    roomy = kit.agent(3).address
    balancer.on_message(0.0, roomy, kit.load(2, room=2))
    taken = [_place(balancer, 0.001, port)[1] for port in range(2)]
    assert taken == [[roomy], [roomy]]
    _, (tried,) = _place(balancer, 0.002, 3)
    assert tried != roomy


def test_a_flow_without_room_anywhere_is_tried_once_and_deferred():
    """A report may be older than the room; a second try costs more.

    The flow is not refused: its caller's copies find room later.
    """
    balancer = _balancer(room=0)
    _, (address,) = _place(balancer, 0.001, 1)
    declined = tunnel.Declined("busy", kit.datagram(1, kit.SYN))
    result = balancer.on_message(0.002, address, declined)
    assert not kit.resets(result)
    assert not kit.messages(result, tunnel.Forward)
    (fields,) = kit.log_fields(result, "flow_deferred")
    assert fields["reason"] == "overloaded"
    _tell(balancer, 0.2, 3, number=2)
    _, forwards = _place(balancer, 0.2, 1, copy=1)
    assert len(forwards) == 1


def test_silent_agents_do_not_get_the_flows_that_have_no_room():
    """A dead agent costs a flow 200 ms, one without room a round trip."""
    balancer = _balancer(agents=5, room=0)
    _tell(balancer, 0.5, 0, 2, [kit.agent(n).address for n in (1, 2, 3)])
    result, forwards = _place(balancer, 0.5, 1)
    assert not forwards and kit.messages(result, tunnel.Hello)
    result = balancer.tick(0.53)
    ((address, _),) = kit.messages(result, tunnel.Forward)
    assert address in [kit.agent(n).address for n in (1, 2, 3)]


def test_a_declined_flow_takes_the_room_from_the_report():
    """Others have used up the room: further flows must go elsewhere."""
    balancer = _balancer(agents=2, room=4)
    _, (address,) = _place(balancer, 0.001, 1)
    result = balancer.on_message(
        0.002, address, tunnel.Declined("busy", kit.datagram(1, kit.SYN))
    )
    ((other, _),) = kit.messages(result, tunnel.Forward)
    assert other != address
    for port in range(2, 5):
        assert _place(balancer, 0.003, port)[1] == [other]


def _hellos(balancer, now):
    return {
        message.encode()
        for _, message in kit.messages(balancer.tick(now), tunnel.Hello)
    }


def test_hellos_tell_the_configured_rate():
    """The agent has no other way to learn the rate and its version."""
    balancer = _balancer(tells_warmup=True)
    pace = routing.ServicePace(2.0, 12.5)
    table = attrs.evolve(kit.routes(4), paces_by_service={"desk": pace})
    balancer.on_routes(0.1, table)
    (data,) = _hellos(balancer, 5.0)
    message = tunnel.decode(data)
    assert (message.config_version, message.warmup_per_s) == (4, 12.5)
    balancer.on_routes(5.1, kit.routes(5))
    (data,) = _hellos(balancer, 6.0)
    message = tunnel.decode(data)
    assert (message.config_version, message.warmup_per_s) == (5, 0.0)


def test_other_deployments_send_the_same_bytes_as_before():
    """Processes of earlier versions reject longer messages."""
    balancer = _balancer()
    pace = routing.ServicePace(2.0, 12.5)
    table = attrs.evolve(kit.routes(4), paces_by_service={"desk": pace})
    balancer.on_routes(0.1, table)
    assert _hellos(balancer, 5.0) == {tunnel.Hello().encode()}
    agent = hosting.FlowHosting("desk", 1, kit.decode, True)
    agent.on_report(0.0, _report())
    load = _hello(agent, 0.1)
    assert len(load.encode()) == len(kit.load().encode())
    assert not any(_send(agent, 0.1, port) for port in range(200))


# Settings.


def _settings(**environment):
    text = "\n".join(
        '%s = "%s"' % (name, value)
        for name, value in (
            ("id", "side-1"),
            ("data_centre", "a"),
            ("ip", "10.0.0.1"),
            ("segments", "10.0.0.1:70"),
            ("probes", "10.0.0.1:90"),
            ("store", "10.0.0.8:2379"),
        )
    )
    return segmentsettings.decode(
        (text + "\npeer_port = 71").encode(), environment
    )


@pytest.mark.parametrize(
    "overage, slack, is_learned",
    [
        ("1.5", "5", True),
        ("0", "0", True),
        ("1.5", "", False),
        ("", "", False),
    ],
)
def test_pacing_is_on_where_both_bounds_are(overage, slack, is_learned):
    """A deployment without the bounds must be served as before."""
    text = (_ROOT / "deploy" / "system.toml").read_text("utf-8")
    roles = tomllib.loads(text)["roles"]
    rendered = {
        "{{bounds.warmup_overage}}": overage,
        "{{bounds.warmup_slack}}": slack,
    }
    for role in ("agent", "balancer"):
        environment = {
            name: rendered.get(value, value)
            for name, value in roles[role]["env"].items()
            if name != "ADDRESS_REUSE_S"
        }
        settings = _settings(**environment)
        assert settings.has_cold_bounds == is_learned
        assert settings.is_pace_learned == (is_learned and role == "agent")


def test_pacing_is_off_unless_it_is_set():
    """The default must not change other deployments."""
    assert not _settings().is_pace_learned
    assert not _settings(PACING="").is_pace_learned
    assert not _settings(PACING="off").is_pace_learned
    assert _settings(PACING="learned").is_pace_learned
    assert _settings(WARMUP_SLACK="5").warmup_slack == 5.0


@pytest.mark.parametrize(
    "name, value",
    [
        ("PACING", "on"),
        ("WARMUP_OVERAGE", "-1"),
        ("WARMUP_OVERAGE", "x"),
        ("WARMUP_SLACK", "inf"),
        ("WARMUP_SLACK", "nan"),
    ],
)
def test_invalid_settings_are_refused(name, value):
    """A bound that is read wrongly breaks the rule without a sign."""
    with pytest.raises(exceptions.SettingsError):
        _settings(**{name: value})


# Load.


def test_a_decision_takes_less_than_50_microseconds():
    """The rate of the configuration may be high, and its window long."""
    pace = pacing.Pacing(True, 1.5, 5)
    pace.on_configured(1, 50_000.0)
    pace.on_report(0.0, _report(warmup_s=20.0))
    pace.limit = 1e9
    durations = []
    for number in range(60_000):
        now = number / 40_000
        began = time.perf_counter()
        if pace.admits(now, pacing.Load(2, 1, 1)):
            pace.on_accepted(now)
        durations.append(time.perf_counter() - began)
    assert statistics.median(durations) < 50e-6


_SIMULATION = {**pacesim.DEPLOYMENT, "cold": 12}


@pytest.mark.parametrize("load", [0.5, 0.9])
def test_a_whole_data_centre_that_starts_cold_serves_what_it_bears(load):
    """Neither a flood nor idle servers when all of them start at once.

    The servers must answer as many callers as without a pace, and many more
    in time than with a fixed ramp, which leaves them idle. A deployment may
    lose 0.03 at the most, which is the bound for each figure.
    """
    none, ramp, learned = (
        pacesim.figures(pace, load, **_SIMULATION)
        for pace in ("none", "ramp", "learned")
    )
    assert learned["served"] >= 0.97 * none["served"]
    assert learned["in_time"] >= none["in_time"] - 0.03
    assert learned["in_time"] >= 1.3 * ramp["in_time"]
    assert learned["answered"] >= none["answered"] - 0.03


def test_servers_that_are_in_fact_fast_lose_no_throughput():
    """A limit that is too low costs answers that the servers could give."""
    fields = {**_SIMULATION, "factor": 1.0}
    none, learned = (
        pacesim.figures(pace, 0.9, **fields) for pace in ("none", "learned")
    )
    assert learned["served"] >= 0.97 * none["served"]
    assert learned["in_time"] >= none["in_time"] - 0.03


def test_long_flows_are_served_as_without_a_pace():
    """Later requests of open flows cannot be refused and need room too."""
    fields = {**_SIMULATION, "flow_requests": 6}
    none, learned = (
        pacesim.figures(pace, 0.9, **fields) for pace in ("none", "learned")
    )
    assert learned["in_time"] >= none["in_time"] - 0.03
    assert learned["answered"] >= none["answered"] - 0.03
