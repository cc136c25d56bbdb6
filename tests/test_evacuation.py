"""Tests of the evacuation of data centres: decision, balancer and store."""

import collections
import json
import random
import statistics
import time

import platformstandin
import pytest
import segmentkit as kit
import soak

from limpetlift import clock
from limpetlift.coordination import revisions
from limpetlift.coordination import watching
from limpetlift import defaults
from limpetlift.platform import deployment
from limpetlift.platform import store
from limpetlift.protocol import tunnel
from limpetlift.scheduling import evacuation
from limpetlift.scheduling import rotation
from limpetlift.state import routing
from limpetlift.state import steering
from limpetlift.tasks import following
from limpetlift.tasks import segmentbalancer
from limpetlift.transport import reactor as reactors

_OWN_ADDRESS = ("10.9.0.9", 80)
_AGENTS = collections.Counter(a=3, b=2)
# Agents 1 and 2 are in the data centre of the balancer, 3 and 4 in another.
_DATA_CENTRES = ("a", "a", "b", "b")
_DELIVERY_LIMIT_S = 2.5


def _change(data_centre="a", revision=7, is_evacuated=True):
    return evacuation.Change(data_centre, revision, is_evacuated)


def _events(result):
    return [step.event for step in result if hasattr(step, "event")]


# The decision.


def test_a_full_read_replaces_the_evacuations():
    """An evacuation that ended unseen must not last forever.

    It lasts a little longer, as a store that comes back from an older copy
    may not have it for a moment.
    """
    evacuations = evacuation.Evacuations()
    evacuations.on_snapshot(0.0, [_change("a"), _change("b")], _AGENTS)
    result = evacuations.on_snapshot(1.0, [_change("b")], _AGENTS)
    assert _events(result) == ["evacuation_missing"]
    assert evacuations.covers("a") and evacuations.covers("b")
    grace_s = defaults.EVACUATION_MISSING_GRACE_S
    assert not evacuations.tick(0.9 + grace_s)
    (event,) = evacuations.tick(1.0 + grace_s)
    assert event.fields["reason"] == "missing"
    assert not evacuations.covers("a") and evacuations.covers("b")


@pytest.mark.parametrize("is_full_read", [True, False])
def test_an_evacuation_that_is_written_again_goes_on(is_full_read):
    """A store that lost an evacuation must not end it.

    Its revisions start over, so that the operator writes it again with a
    lower one.
    """
    evacuations = evacuation.Evacuations()
    evacuations.on_snapshot(0.0, [_change("a", 90)], _AGENTS)
    evacuations.on_snapshot(1.0, [], _AGENTS)
    if is_full_read:
        evacuations.on_snapshot(1.5, [_change("a", 12)], _AGENTS)
    else:
        evacuations.on_changes(1.5, [_change("a", 12)], _AGENTS)
    assert not evacuations.tick(60.0)
    assert evacuations.covers("a")
    evacuations.on_changes(61.0, [_change("a", 13, False)], _AGENTS)
    assert not evacuations.covers("a")


def test_a_removal_from_before_a_later_write_ends_nothing():
    """A watch replays changes that a full read of many pages has already."""
    evacuations = evacuation.Evacuations()
    evacuations.on_snapshot(0.0, [_change("a", 9)], _AGENTS)
    replayed = [_change("a", 7), _change("a", 8, False), _change("a", 9)]
    assert not evacuations.on_changes(0.1, replayed, _AGENTS)
    assert evacuations.covers("a")
    (event,) = evacuations.on_changes(
        3.0, [_change("a", 10, False), _change("c", 11, False)], _AGENTS
    )
    assert event.fields["reason"] == "removed"
    assert event.fields["lasted_s"] == 3.0


@pytest.mark.parametrize("name", ["", "x" * 5_000, "a\n", "\ud800"])
def test_an_unreadable_name_changes_nothing_else(name):
    """An operator's mistake must not end or prevent another evacuation."""
    evacuations = evacuation.Evacuations()
    result = evacuations.on_snapshot(
        0.0, [_change(name), _change("b")], _AGENTS
    )
    assert _events(result) == ["evacuation_unreadable", "evacuation_began"]
    assert len(result[0].fields["name"]) < 2 * defaults.MAX_LOGGED_NAME * 6
    assert evacuations.by_data_centre.keys() == {"b"}
    evacuations.on_changes(1.0, [_change(name, 9, False)], _AGENTS)
    assert evacuations.by_data_centre.keys() == {"b"}


def test_an_evacuation_of_an_unknown_data_centre_is_logged_once():
    """The operator must see a misspelt name.

    Nothing is known to be unknown before the directory has been read.
    """
    evacuations = evacuation.Evacuations()
    result = evacuations.on_snapshot(0.0, [_change("c")], {})
    assert _events(result) == ["evacuation_began"]
    assert evacuations.has_unchecked()
    assert _events(evacuations.on_agents(_AGENTS)) == ["evacuation_unknown"]
    assert not evacuations.on_agents(_AGENTS)
    assert evacuations.covers("c") and not evacuations.covers("a")


def test_a_decision_takes_little_time_with_many_evacuations():
    """A balancer decides for each new flow and each of its candidates.

    Every data centre of a thousand is evacuated and changes at once.
    """
    evacuations = evacuation.Evacuations()
    names = ["centre-%d" % number for number in range(1_000)]
    agents = collections.Counter(names)
    evacuations.on_snapshot(0.0, [_change(name) for name in names], agents)
    durations_s = []
    for number, name in enumerate(names):
        began_at = time.perf_counter()
        for candidate in names[: defaults.PLACING_CANDIDATES]:
            assert evacuations.covers(candidate)
        evacuations.tick(1.0)
        evacuations.on_changes(1.0, [_change(name, 8 + number)], agents)
        durations_s.append(time.perf_counter() - began_at)
    # The tick looks at all of them, and most deployments evacuate one.
    assert statistics.median(durations_s) < 0.001
    evacuations = evacuation.Evacuations()
    evacuations.on_snapshot(0.0, [_change("a")], _AGENTS)
    durations_s = []
    for _ in range(1_000):
        began_at = time.perf_counter()
        for candidate in names[: defaults.PLACING_CANDIDATES]:
            evacuations.covers(candidate)
        evacuations.tick(1.0)
        durations_s.append(time.perf_counter() - began_at)
    assert statistics.median(durations_s) < 0.000_050


# The balancer.


def _balancer(*evacuated, data_centres=_DATA_CENTRES, services=("desk",)):
    """Return the decisions of a balancer; all agents told their loads.

    :param evacuated: names of evacuated data centres.
    :param services: services of the agents in turn.
    """
    balancer = steering.FlowSteering(
        _OWN_ADDRESS, "a", kit.decode, random.Random(1)
    )
    balancer.on_evacuations(0.0, [_change(name) for name in evacuated])
    balancer.on_routes(0.0, kit.routes())
    entries = [
        kit.agent(number, services[number % len(services)], data_centre)
        for number, data_centre in enumerate(data_centres, 1)
    ]
    balancer.on_entries(0.0, entries, [])
    _report(balancer, 0.0)
    return balancer


_numbers = iter(range(1, 1_000_000))


def _report(balancer, now, addresses=None, **fields):
    result = []
    for address, agent in list(balancer.agents.by_address.items()):
        if addresses is None or address in addresses:
            load = kit.load(
                next(_numbers), service=agent.entry.service, **fields
            )
            result += balancer.on_message(now, address, load)
    return result


def _forwarded(result):
    return [to for to, _ in kit.messages(result, tunnel.Forward)]


def _data_centre(balancer, address):
    return balancer.agents.by_address[address].entry.data_centre


def _place(balancer, now, port, ack=0):
    """Send a first segment; return the data centres it was forwarded to."""
    result = balancer.on_segment(
        now, kit.caller_segment(port, kit.SYN, ack=ack)
    )
    return {_data_centre(balancer, to) for to in _forwarded(result)}


def _evacuate(balancer, now, data_centre, revision=9):
    return balancer.on_evacuation_changes(
        now, [_change(data_centre, revision)]
    )


def test_new_flows_leave_an_evacuated_data_centre_and_come_back():
    """No new flow may reach an evacuated data centre, until it ends."""
    balancer = _balancer()
    assert _place(balancer, 0.0, 1) == {"a"}
    result = _evacuate(balancer, 0.01, "a")
    assert kit.log_fields(result, "evacuation_began") == [
        {"data_centre": "a", "revision": 9, "agents": 2, "evacuated": 1}
    ]
    for port in range(11, 41):
        assert _place(balancer, 0.01, port) == {"b"}
    result = balancer.on_evacuation_changes(0.015, [_change("a", 10, False)])
    assert len(kit.log_fields(result, "evacuation_ended")) == 1
    assert "a" in {
        where
        for port in range(50, 60)
        for where in _place(balancer, 0.015, port)
    }


def test_an_open_flow_stays_in_an_evacuated_data_centre():
    """Only the server that accepted a flow can continue it."""
    balancer = _balancer()
    first = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    (address,) = _forwarded(first)
    balancer.on_segment(0.01, kit.caller_segment(1, kit.ACK))
    _evacuate(balancer, 0.02, "a")
    for segment in (
        kit.caller_segment(1, kit.ACK),
        kit.caller_segment(1, kit.SYN, ack=1),
        kit.caller_segment(1, kit.FIN | kit.ACK),
    ):
        result = balancer.on_segment(0.3, segment)
        assert _forwarded(result) == [address]
        assert not kit.resets(result)


def test_a_copy_of_a_flow_that_is_not_open_is_placed_again():
    """The first segment may have been lost; the copy would open the flow."""
    balancer = _balancer()
    (first,) = _forwarded(
        balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    )
    _evacuate(balancer, 0.1, "a")
    _report(balancer, 0.2)
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    (second,) = _forwarded(result)
    assert _data_centre(balancer, second) == "b"
    (fields,) = kit.log_fields(result, "flow_evacuated")
    assert (fields["age_s"], fields["evacuated_s"]) == (0.2, 0.1)
    # A late answer of the first agent does not move the flow back.
    declined = tunnel.Declined("busy", kit.datagram(1, kit.SYN))
    assert not kit.step_types(balancer.on_message(0.21, first, declined))
    result = balancer.on_segment(0.22, kit.caller_segment(1, kit.ACK))
    assert _forwarded(result) == [second]


def test_a_flow_that_opens_while_its_copy_is_placed_again_stays():
    """The answer of the evacuated agent's server may have been on its way."""
    balancer = _balancer()
    (first,) = _forwarded(
        balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    )
    _evacuate(balancer, 0.1, "a")
    assert not _place(balancer, 0.2, 1, ack=1)
    result = balancer.on_segment(0.21, kit.caller_segment(1, kit.ACK))
    assert _forwarded(result) == [first]
    assert not _forwarded(_report(balancer, 0.215) + balancer.tick(0.3))
    result = balancer.on_segment(0.31, kit.caller_segment(1, kit.ACK))
    assert _forwarded(result) == [first]


def test_a_copy_without_another_agent_resets_nothing():
    """An earlier copy may have opened the flow at the evacuated agent."""
    balancer = _balancer(data_centres=("a", "a"))
    assert _place(balancer, 0.0, 1) == {"a"}
    _evacuate(balancer, 0.1, "a")
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    assert not kit.step_types(result)
    (fields,) = kit.log_fields(result, "copy_dropped")
    assert (fields["known"], fields["evacuated"]) == (2, 2)
    # The next segment of the flow is searched for instead of being reset.
    balancer.on_segment(0.25, kit.caller_segment(1, kit.ACK))
    assert balancer.searches.has_queries


def test_a_poll_in_progress_forgets_agents_that_are_evacuated():
    """Answers of agents that were asked before must not place a flow."""
    balancer = _balancer()
    assert not _place(balancer, 1.0, 1)
    asked = _evacuate(balancer, 1.005, "a")
    addresses = {to for to, _ in kit.messages(asked, tunnel.Hello)}
    assert {_data_centre(balancer, to) for to in addresses} == {"b"}
    result = _report(balancer, 1.01)
    (address,) = _forwarded(result)
    assert _data_centre(balancer, address) == "b"


def test_a_poll_in_progress_is_refused_when_all_agents_are_evacuated():
    """A flow that cannot be served is refused when that becomes certain."""
    balancer = _balancer(data_centres=("a", "a"))
    assert not _place(balancer, 1.0, 1)
    result = _evacuate(balancer, 1.005, "a")
    assert [step.reason for step in kit.resets(result)] == ["no_agent"]
    assert not _forwarded(_report(balancer, 1.01) + balancer.tick(1.1))


def test_a_poll_of_a_copy_goes_on_during_an_evacuation():
    """An agent that has not answered yet must not be taken for silent."""
    balancer = _balancer()
    assert _place(balancer, 0.0, 1) == {"a"}
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    assert len(_forwarded(result)) == 1
    assert not kit.messages(_evacuate(balancer, 0.205, "b"), tunnel.Forward)
    assert not _forwarded(_report(balancer, 0.21) + balancer.tick(0.3))


def test_a_declined_flow_is_not_offered_to_an_evacuated_agent():
    """The next agent in the order of the flow may be evacuated since."""
    balancer = _balancer(data_centres=("a", "a", "a", "b"))
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, forward),) = kit.messages(result, tunnel.Forward)
    _evacuate(balancer, 0.005, "a")
    declined = tunnel.Declined("server_refused", forward.data)
    result = balancer.on_message(0.01, first, declined)
    assert [_data_centre(balancer, to) for to in _forwarded(result)] == ["b"]


@pytest.mark.parametrize("reason", ["busy", "draining", "server_silent"])
def test_a_flow_is_refused_when_the_other_agents_are_evacuated(reason):
    """An agent that declined must not be waited for once it is evacuated."""
    balancer = _balancer(data_centres=("a", "a"))
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, forward),) = kit.messages(result, tunnel.Forward)
    _evacuate(balancer, 0.005, "a")
    result = balancer.on_message(
        0.01, first, tunnel.Declined(reason, forward.data)
    )
    assert [step.reason for step in kit.resets(result)] == ["no_agent"]


def test_a_flow_without_another_agent_is_refused_at_once():
    """Waiting is useless; a copy may have been placed by another balancer."""
    balancer = _balancer("a", data_centres=("a", "a", "a"))
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    assert [step.reason for step in kit.resets(result)] == ["no_agent"]
    (fields,) = kit.log_fields(result, "flow_refused")
    assert (fields["known"], fields["evacuated"]) == (3, 3)
    result = balancer.on_segment(0.0, kit.caller_segment(2, kit.SYN, ack=1))
    result += balancer.tick(0.1)
    assert not kit.resets(result) and not _forwarded(result)


def test_a_flow_goes_to_another_service_of_its_route():
    """A route with several services has the others when one has no agent."""
    balancer = _balancer("a", services=("lamp", "desk"))
    balancer.on_entries(
        0.0, [kit.agent(1, "desk", "a"), kit.agent(2, "lamp", "b")], []
    )
    _report(balancer, 0.0)
    address, route = next(iter(kit.routes().routes_by_address.items()))
    services = tuple(
        routing.WeightedService(name, 1.0) for name in ("desk", "lamp")
    )
    route = routing.Route(route.name, address, services)
    balancer.on_routes(0.0, routing.RouteTable(2, {address: route}))
    for port in range(1, 9):
        assert _place(balancer, 0.0, port) == {"b"}


def test_a_record_of_a_balancer_without_the_evacuation_is_not_followed():
    """A balancer that is cut off from the store places flows as before.

    The record of such a flow must not make this one forward its copy there.
    """
    balancer = _balancer("a")
    balancer.on_entries(
        0.0,
        [agent.entry for agent in balancer.agents.by_address.values()],
        [kit.balancer(2), kit.balancer(3)],
    )
    assert not _place(balancer, 1.0, 1, ack=1)
    record = tunnel.FlowRecord(
        kit.key_of(1), kit.agent(1).address, True, kit.load().service
    )
    result = balancer.on_message(
        1.005, kit.balancer(2).address, tunnel.KeptRecords([record])
    )
    assert not _forwarded(result)
    result = balancer.tick(1.03) + _report(balancer, 1.035)
    (address,) = _forwarded(result)
    assert _data_centre(balancer, address) == "b"


def test_no_flow_is_placed_by_evacuations_from_before_a_long_pause():
    """A data centre may have been evacuated while the balancer stood still.

    Its first segments wait until the store has been read again.
    """
    balancer = _balancer()
    balancer.on_pause(20.0, 10.0)
    balancer.on_caught_up()
    result = balancer.on_segment(20.0, kit.caller_segment(1, kit.SYN))
    assert kit.messages(result, tunnel.Hello)
    result = _report(balancer, 20.01) + balancer.tick(20.05)
    assert not _forwarded(result)
    _evacuate(balancer, 20.06, "a")
    result = balancer.tick(20.11) + _report(balancer, 20.12)
    (address,) = _forwarded(result)
    assert _data_centre(balancer, address) == "b"


def test_a_flow_is_placed_after_a_pause_without_an_answer_of_the_store():
    """A balancer that is cut off goes by what it knows, and must not stop."""
    balancer = _balancer("a")
    balancer.on_pause(20.0, 10.0)
    balancer.on_caught_up()
    balancer.on_segment(20.0, kit.caller_segment(1, kit.SYN))
    _report(balancer, 20.01)
    (address,) = _forwarded(balancer.tick(20.11))
    assert _data_centre(balancer, address) == "b"


# The process and the store.


def _process(balancer=None):
    """Return a balancer process without sockets."""
    process = object.__new__(segmentbalancer.SegmentBalancer)
    process.deployment = deployment.DEPLOYMENT
    process.counts_by_event = collections.Counter()
    process.is_stopping = False
    process._has_directory = True
    process._rotation = rotation.Rotation("b1", "a")
    process.decisions = balancer or steering.FlowSteering(
        _OWN_ADDRESS, "a", kit.decode
    )
    return process


def _config(version=1, padding=0):
    route = {
        "name": "r",
        "host": "198.18.0.1",
        "prefix": "/443/",
        "service": "desk",
        "notes": "x" * padding,
    }
    return json.dumps(
        {
            "version": version,
            "routes": [route],
            "limits": {"idle_timeout_ms": 60_000},
        }
    ).encode()


def _follower(process, client=None, reactor=None, send=None, address=None):
    """Return the follower of the operators' keys of a balancer."""
    return following.Follower(
        reactor,
        client,
        deployment.DEPLOYMENT.operator_prefix,
        watching.Watch(3, address or _OWN_ADDRESS),
        random.Random(1),
        process._on_operator_entries,
        process._on_operator_changes,
        lambda: None,
        send or (lambda messages, addresses: None),
        clock.now,
    )


def _evacuated(process):
    return set(process.decisions.evacuations.by_data_centre)


@pytest.fixture(name="reactor")
def _reactor():
    reactor = reactors.Reactor()
    yield reactor
    reactor.close()


@pytest.fixture(name="standin")
def _standin(reactor):
    standin = platformstandin.StoreStandIn(reactor)
    yield standin
    standin.close()


def _run_until(reactor, is_done, timeout_s=_DELIVERY_LIMIT_S):
    """Run until ``is_done`` returns true; fail when it does not in time."""
    limit = reactor.call_at(clock.now() + timeout_s, reactor.stop)
    cancel = reactor.call_every(0.01, lambda: is_done() and reactor.stop())
    reactor.run()
    limit.cancel()
    cancel()
    assert is_done(), "not in time"


def test_a_starting_balancer_knows_evacuations_before_it_places(
    reactor, standin
):
    """A balancer that starts during an evacuation must not break it.

    It is not ready without the keys of the operators, and never knows routes
    without them.
    """
    process = _process()
    known_with_routes = []
    on_routes = process._on_routes

    def check_routes(entry):
        known_with_routes.append(process.decisions.evacuations.is_known)
        return on_routes(entry)

    process._on_routes = check_routes
    standin.put("op/config", _config())
    standin.put("op/evacuate/b", b"\xff")
    standin.status = 503
    client = store.PlatformStore(reactor, standin.address)
    reactor.spawn(_follower(process, client, reactor).run())
    reactor.call_at(clock.now() + 0.3, reactor.stop)
    reactor.run()
    assert not process.is_ready()
    # Routes alone do not make it ready.
    process.decisions.on_routes(0.0, kit.routes())
    assert not process.is_ready()
    process.decisions.routes = routing.RouteTable()
    standin.status = None
    _run_until(reactor, process.is_ready)
    assert _evacuated(process) == {"b"}
    assert known_with_routes == [True]
    assert process.counts_by_event["evacuation_began"] == 1


def test_evacuations_follow_the_store_and_outlast_its_outage(reactor, standin):
    """Each write and removal of an operator takes effect in time.

    Other keys of operators change nothing, and neither does an outage of the
    store or a full read after lost history.
    """
    process = _process()
    standin.put("op/config", _config())
    client = store.PlatformStore(reactor, standin.address)
    reactor.spawn(_follower(process, client, reactor).run())
    _run_until(reactor, process.is_ready)
    standin.put("op/evacuate/a", b"")
    standin.put("op/config-notes", b"{}")
    standin.put("op/evacuate", b"a")
    standin.put("op/evacuated/b", b"b")
    _run_until(reactor, lambda: _evacuated(process) == {"a"})
    standin.status = 503
    reactor.call_at(clock.now() + 0.7, reactor.stop)
    reactor.run()
    assert _evacuated(process) == {"a"}
    standin.put("op/evacuate/b", b"1")
    standin.remove("op/evacuate/a")
    standin.oldest = standin.revision
    standin.status = None
    _run_until(reactor, lambda: _evacuated(process) == {"a", "b"})
    process.decisions.tick(
        clock.now() + defaults.EVACUATION_MISSING_GRACE_S + 1.0
    )
    assert _evacuated(process) == {"b"}
    standin.remove("op/evacuate/b")
    _run_until(reactor, lambda: not _evacuated(process))
    assert process.decisions.routes.version == 1
    assert {path for _, path in standin.calls} == {
        "/-/kv-range",
        "/-/kv-watch",
    }


def test_messages_between_balancers_carry_evacuations(reactor, standin):
    """A balancer that does not watch learns of an evacuation in time.

    A configuration that is too large for a message comes between two
    evacuations, and a key that no message can carry after them.
    """
    watcher, other = _process(), _process()
    other_address = ("10.9.0.8", 80)
    sent = []

    def send(messages, _addresses):
        sent.extend(messages)
        for message in messages:
            follower.on_message(tunnel.decode(message.encode()), False)

    client = store.PlatformStore(reactor, standin.address)
    source = _follower(watcher, client, reactor, send)
    follower = _follower(other, client, reactor, address=other_address)
    standin.put("op/config", _config())
    reactor.spawn(source.run())
    reactor.spawn(follower.run())
    _run_until(reactor, lambda: watcher.is_ready() and other.is_ready())
    source.watch.role = watching.Role(True, (other_address,))
    follower.watch.role = watching.Role(False)
    standin.put("op/evacuate/a", b"")
    _run_until(reactor, lambda: _evacuated(other) == {"a"})
    assert any(
        change.key == "op/evacuate/a"
        for message in sent
        for change in message.changes
    )
    standin.put("op/evacuate/b", b"")
    standin.put("op/config", _config(2, padding=5_000))
    standin.remove("op/evacuate/a")
    standin.put("op/" + "x" * 300, b"")
    standin.put("op/evacuate/\ud800", b"")
    _run_until(
        reactor,
        lambda: _evacuated(other) == {"b"}
        and other.decisions.routes.version == 2,
    )
    assert _evacuated(watcher) == {"b"}
    assert other.counts_by_event["evacuation_unreadable"] == 1
    standin.put("op/evacuate/c", b"")
    _run_until(reactor, lambda: _evacuated(other) == {"b", "c"})


def test_a_lost_message_does_not_hide_an_evacuation():
    """A balancer that missed a message must read the store itself."""
    process = _process()
    follower = _follower(process)
    follower.watch.role = watching.Role(False)
    now = clock.now()
    follower.watch.on_read(now, now, None, 5)
    assert follower.watch.call_at > now
    lost = tunnel.KeyChange("op/evacuate/a", b"", 6)
    assert lost.size < tunnel.MAX_CHANGES_BYTES
    later = tunnel.KeyChange("op/evacuate/b", b"", 7)
    follower.on_message(tunnel.StoreChanges(3, 6, 7, [later]), False)
    assert follower.watch.call_at < now and not _evacuated(process)


def test_names_of_operator_keys_occur_only_in_the_adapter():
    """The keys belong to the platform, which the rest must not know."""
    names = (
        deployment.DEPLOYMENT.operator_prefix,
        deployment.DEPLOYMENT.evacuations_prefix,
    )
    assert deployment.DEPLOYMENT.routes_key.startswith(names[0])
    assert names[1].startswith(names[0])
    for module in (evacuation, segmentbalancer, steering, following):
        with open(module.__file__, encoding="utf-8") as file:
            text = file.read()
        assert '"op/' not in text and "evacuate/" not in text


# The programs.


def test_no_new_flow_reaches_an_evacuated_data_centre_under_faults(tmp_path):
    """Evacuations must hold while programs, servers and the store fail.

    Processes are killed, paused and stopped, and the store refuses calls and
    forgets its history.
    """
    soak_run = soak.run_once(1, 12.0, tmp_path, evacuations=True)
    assert ("evacuate" in {name for name, _ in soak_run.injected_faults}) and (
        not soak_run.violations
    )


def test_soak_detects_balancers_that_ignore_evacuations(tmp_path):
    """A soak that passes without the protection does not test it."""
    soak_run = soak.SoakRun(3, 4.0, tmp_path, "evacuation", evacuations=True)
    soak_run.first_faults = ["evacuate"]
    assert any("the evacuation of" in text for text in soak_run.run())


def test_evacuations_follow_the_store_into_a_new_era():
    """Revisions start over when the store comes back from an older copy.

    Compared with those of before they would raise, or hide the removal.
    """
    known = evacuation.Evacuations()
    before, after = revisions.Revision(1, 90), revisions.Revision(2, 5)
    known.on_snapshot(0.0, [_change("a", before), _change("b", before)], {})
    known.on_snapshot(1.0, [_change("a", after)], {})
    assert known.covers("b")
    known.on_changes(1.1, [_change("b", revisions.Revision(2, 6))], {})
    known.tick(9.0)
    assert known.covers("a") and known.covers("b")
    ended = _change("a", revisions.Revision(2, 7), is_evacuated=False)
    known.on_changes(9.1, [ended], {})
    assert not known.covers("a")
