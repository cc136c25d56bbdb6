"""Tests of what an agent process logs and measures."""

import json
import logging
import socket

import attrs
import pytest

from limpetlift import boundedlog
from limpetlift import clock
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.platform import web
from limpetlift.state import hosting
from limpetlift.state import reports
from limpetlift.state import segmentsettings
from limpetlift.state import steps
from limpetlift.tasks import segmentagent

_SETTINGS = {
    "id": "side-1",
    "data_centre": "a",
    "ip": "10.0.0.1",
    "segments": "10.0.0.1:70",
    "probes": "10.0.0.1:90",
    "store": "10.0.0.8:2379",
    "peer_port": 71,
    "reports": "127.0.0.1:91",
    "server_segments": "127.0.0.1:72",
    "server": "127.0.0.1:80",
    "service": "desk",
    "report_interval_ms": 250,
    "is_first_start": False,
    "address_reuse_s": 3.5,
    "link_mbps": 100,
    "cpu_share": 0.5,
    "cpu_cores": 2,
    "placing_policy": "least",
    "pacing": "off",
    "warmup_overage": "",
    "warmup_slack": "",
}


class _Store:
    """A client of the store that only notes its address."""

    address = None

    def set_address(self, address):
        """Note the address."""
        self.address = address


def _write(path, **changes):
    path.write_text(
        "".join(
            "%s = %s\n"
            % (
                name,
                (
                    str(value).lower()
                    if isinstance(value, (bool, int))
                    else '"%s"' % value
                ),
            )
            for name, value in {**_SETTINGS, **changes}.items()
        ),
        "utf-8",
    )


@pytest.fixture(name="path")
def _path(tmp_path):
    path = tmp_path / "settings.toml"
    _write(path)
    return path


@pytest.fixture(name="agent")
def _agent(path, monkeypatch):
    """Return an agent process that has opened no sockets."""
    monkeypatch.setattr(boundedlog, "configure", lambda _process: None)
    process = segmentagent.SegmentAgent(str(path), None)
    process.store = _Store()
    process.decisions = hosting.FlowHosting("desk", 1, None, True)
    process.perform = lambda _steps: None
    yield process
    process.reactor.close()


def _report(server_id="s-1", service="desk", number=1, address=""):
    return reports.Report(
        server_id,
        service,
        1000,
        number,
        reports.READY,
        slots=2,
        address=address,
    )


def _is_accepting(agent, now):
    return agent.decisions.is_accepting(now)


def _logged(caplog, event):
    return [
        (record.levelno, record.fields)
        for record in caplog.records
        if record.getMessage() == event
    ]


def _refuse(agent, *server_ids):
    for server_id in server_ids:
        with pytest.raises(exceptions.MalformedMessage):
            agent.on_report(_report(server_id, "maps"))


def test_a_report_of_another_service_is_logged_once_a_server(agent, caplog):
    """The server that replaced the agent's own one goes on reporting.

    The first line must tell of it, and the others must not fill the log.
    """
    _refuse(agent, "s-2", "s-2", "s-3", "s-2")
    assert agent.decisions.report is None
    assert agent.counts_by_event["report_other_service"] == 4
    expected = {"service": "maps", "own_service": "desk"}
    assert _logged(caplog, "report_other_service") == [
        (logging.WARNING, {"server": server, **expected})
        for server in ("s-2", "s-3")
    ]


def test_few_servers_of_other_services_are_remembered(agent, caplog):
    """Memory must not grow with the ids that others send to the port."""
    server_ids = ["s-%d" % n for n in range(defaults.MAX_OTHER_SERVERS + 1)]
    _refuse(agent, *server_ids, server_ids[-1], server_ids[0])
    assert [
        fields["server"]
        for _, fields in _logged(caplog, "report_other_service")
    ] == server_ids + server_ids[:1]
    assert len(agent._other_server_ids) == defaults.MAX_OTHER_SERVERS


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "maps"},
        {"id": "side-2"},
        {"ip": "10.0.0.2", "segments": "10.0.0.2:70"},
        {"data_centre": "b"},
        {"peer_port": 73},
        {"probes": "10.0.0.1:91"},
        {"reports": "127.0.0.1:93"},
        {"server_segments": "127.0.0.1:74"},
        {"report_interval_ms": 500},
        {"address_reuse_s": 4.5},
        {"link_mbps": 5},
        {"cpu_share": 0.25},
        {"cpu_cores": 3},
        {"placing_policy": "fastest"},
        {"pacing": "learned"},
        {"warmup_overage": 1.5, "warmup_slack": 5},
    ],
)
def test_settings_that_are_not_in_force_are_logged(
    agent, path, caplog, changes
):
    """An agent whose settings name another service serves the old one.

    The line must come once a change, and not when the change is undone.
    """
    caplog.set_level(logging.INFO)
    _write(path, store="10.0.0.9:2379", **changes)
    for _ in range(2):
        agent._reload()
    assert agent.store.address == "10.0.0.9:2379"
    (changed,) = _logged(caplog, "settings_changed")
    assert set(changed[1]["fields"].split(",")) == {"store", *changes}
    ((level, fields),) = _logged(caplog, "settings_need_restart")
    assert level == logging.WARNING
    assert set(fields["fields"].split(",")) == set(changes)
    assert agent.counts_by_event["settings_need_restart"] == 1
    _write(path)
    agent._reload()
    assert len(_logged(caplog, "settings_changed")) == 2
    assert len(_logged(caplog, "settings_need_restart")) == 1


@pytest.mark.parametrize(
    "changes", [{"store": "10.0.0.9:2379"}, {"server": "127.0.0.1:81"}]
)
def test_settings_that_take_effect_need_no_restart(
    agent, path, caplog, changes
):
    """A needless restart would interrupt the flows of the server."""
    caplog.set_level(logging.INFO)
    _write(path, **changes)
    agent._reload()
    assert len(_logged(caplog, "settings_changed")) == 1
    assert not _logged(caplog, "settings_need_restart")


def test_a_changed_address_of_the_server_takes_effect(path, agent):
    """The agent would be sent segments for a server that is elsewhere."""
    sent = []
    agent._server_socket = None
    agent.send = lambda _socket, data, address: sent.append((data, address))
    _write(path, server="127.0.0.1:81")
    agent._reload()
    segmentagent.SegmentAgent.perform(agent, [steps.SendToServer(b"x")])
    assert sent == [(b"x", ("127.0.0.1", 81))]


def test_the_template_of_these_tests_has_every_setting():
    """A new setting must be put under test with those above."""
    fields = attrs.fields(segmentsettings.Settings)
    assert {field.name for field in fields} == set(_SETTINGS)


def test_the_age_of_the_report_and_acceptance_are_measured(agent, monkeypatch):
    """Old news of a server must show before a request goes wrong."""
    monkeypatch.setattr(clock, "now", lambda: 11.5)
    gauges = agent.gauges()
    assert (gauges["report_age_seconds"], gauges["accepting"]) == (0.0, 0)
    agent.decisions.on_report(10.0, _report())
    gauges = agent.gauges()
    assert (gauges["report_age_seconds"], gauges["accepting"]) == (1.5, 1)
    monkeypatch.setattr(clock, "now", lambda: 12.5)
    gauges = agent.gauges()
    assert (gauges["report_age_seconds"], gauges["accepting"]) == (2.5, 0)
    agent.decisions.on_report(12.4, _report(number=2))
    assert agent.gauges()["accepting"] == 1
    agent.decisions.on_leave(12.5, "s-1")
    assert agent.gauges()["accepting"] == 0


# Guards against requests that run at another service's server right after
# that server has reported to the agent of the earlier one.
def test_a_report_of_another_service_ends_the_acceptance_of_flows(agent):
    """A server of another service reports to the agent that runs on."""
    agent.decisions.on_report(0.0, _report())
    assert _is_accepting(agent, 0.5)
    with pytest.raises(exceptions.MalformedMessage):
        agent.on_report(_report("m-1", "maps", address="127.0.0.1:80"))
    assert not _is_accepting(agent, 0.6)
    agent.decisions.on_report(0.7, _report(number=2))
    assert _is_accepting(agent, 0.8)


# Guards against requests that run at another service's server after a late
# report of the earlier one, whose address it has.
def test_a_late_report_does_not_undo_that_of_another_service(
    agent, monkeypatch
):
    """A report may be delayed until a later server has reported.

    The clock of the later one may be behind, so the earlier one counts as
    running when the later one reports no more.
    """
    agent.decisions.on_report(0.0, _report())
    other = _report("m-1", "maps", address="127.0.0.1:80")
    monkeypatch.setattr(clock, "now", lambda: 0.5)
    with pytest.raises(exceptions.MalformedMessage):
        agent.on_report(attrs.evolve(other, started_ms=5000))
    agent.decisions.on_report(0.7, _report(number=2))
    assert not _is_accepting(agent, 0.8)
    silent_s = defaults.REPORT_INTERVAL_S * defaults.SERVER_SILENT_INTERVALS
    agent.decisions.on_report(0.6 + silent_s, _report(number=3))
    assert _is_accepting(agent, 0.7 + silent_s)


def test_a_report_from_another_address_ends_nothing(agent):
    """Other writers report what they like; the server still serves."""
    agent.decisions.on_report(0.0, _report())
    for address in ("127.0.0.1:81", "", "x"):
        with pytest.raises(exceptions.MalformedMessage):
            agent.on_report(_report("m-1", "maps", address=address))
    assert _is_accepting(agent, 0.6)


# Guards against requests that run at another service's server beside an agent
# whose settings file has been given that service while it runs.
def test_an_agent_keeps_the_service_that_it_was_started_for(agent, path):
    """Its entry and its balancers still name the service of its start."""
    _write(path, service="maps")
    agent._reload()
    with pytest.raises(exceptions.MalformedMessage):
        agent.on_report(_report("m-1", "maps"))
    assert not _is_accepting(agent, clock.now())


# Guards against requests that run at another service's server after the
# address of the own one has been changed in the settings.
def test_a_server_at_another_address_has_to_report_first(agent, path):
    """What was reported before may not hold for the server at the address."""
    now = clock.now()
    agent.decisions.on_report(now, _report())
    _write(path, server="127.0.0.1:81")
    agent._reload()
    assert not _is_accepting(agent, now)
    agent.decisions.on_report(now, _report(number=2))
    assert _is_accepting(agent, now)


def test_an_agent_without_a_server_refuses_other_services(agent, path):
    """Settings without a server must not end in an unhandled error."""
    _write(path, server="")
    agent._reload()
    _refuse(agent, "m-1")
    _write(path)
    agent._reload()
    assert agent.settings.server == ("127.0.0.1", 80)


# Guards against requests that run at another service's server whose address
# the settings name since, by a report of the earlier server.
def test_a_report_from_the_former_address_does_not_count(agent, path):
    """The earlier server may still report when the settings have changed."""
    now = clock.now()
    agent.on_report(_report(address="127.0.0.1:80"))
    assert _is_accepting(agent, now)
    _write(path, server="127.0.0.1:81")
    agent._reload()
    agent.on_report(_report(number=2, address="127.0.0.1:80"))
    assert not _is_accepting(agent, now)
    agent.on_report(_report(number=3, address="127.0.0.1:81"))
    assert _is_accepting(agent, now)


def _report_over_http(server, number):
    """Send a report to the server's socket; return the connection."""
    body = json.dumps(
        {
            "service": "desk",
            "address": "127.0.0.1:80",
            "max_concurrency": 2,
            "state": "ready",
            "sequence": number,
            "born": 1000,
        }
    )
    connection = socket.create_connection(server.address)
    connection.sendall(
        (
            "POST /-/instances/s-1/heartbeat HTTP/1.1\r\nHost: x\r\n"
            "Content-Length: %d\r\n\r\n%s" % (len(body), body)
        ).encode()
    )
    return connection


def _run_rounds(reactor, count):
    """Run some rounds of an event loop that wait for nothing."""
    for _ in range(count):
        reactor.call_at(clock.now(), reactor.stop)
        reactor.run()


# Guards against requests that run at another service's server by a report
# that waited in its connection through a pause of the agent.
def test_a_report_in_a_connection_is_as_old_as_a_pause(agent, monkeypatch):
    """It is read after the datagrams, when the agent has caught up."""
    now = [100.0]
    monkeypatch.setattr(clock, "now", lambda: now[0])
    agent._pauses.active_at = 100.0
    agent.open_socket(("127.0.0.1", 0), agent.on_datagram)
    server = web.serve(agent.reactor, ("127.0.0.1", 0), agent)
    agent.stack.callback(server.close)
    agent.call_every(defaults.HOSTING_TICK_S, agent.tick)
    with agent.stack:
        agent.decisions.on_report(100.0, _report())
        for number, paused_s in ((2, 5.0), (3, 0.1)):
            with _report_over_http(server, number):
                now[0] += paused_s
                for _ in range(5):
                    _run_rounds(agent.reactor, 1)
                    now[0] += defaults.HOSTING_TICK_S
            assert agent.decisions.report.number == number
            assert _is_accepting(agent, now[0]) == (paused_s < 1)
