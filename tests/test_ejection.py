"""Tests of servers that fail while their health check is good."""

import pathlib
import random
import re
import statistics
import time

import pytest
import segmentkit as kit

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift.scheduling import ejection
from limpetlift.scheduling import placing
from limpetlift.state import hosting
from limpetlift.state import reports
from limpetlift.state import steering

_BALANCER = ("10.9.0.1", 80)
_RUN_S = 0.02
_REQUEST = b"x" * 100


def _report(number, started_ms=1000, slots=2):
    return reports.Report(
        "s-1", "desk", started_ms, number, reports.READY, slots=slots
    )


class _Server:
    """An agent and its server, which answers as a test says.

    Each request opens a flow of its own, at the caller's next port.
    """

    def __init__(self, slots=2):
        self.reported_at = 0.0
        self.agent = hosting.FlowHosting("desk", 1, kit.decode, True)
        self.now = 0.0
        self.slots = slots
        self.report(1)
        self.port = 0
        self.result = []

    def report(self, number, started_ms=1000):
        """Let the server report."""
        self.reported_at = self.now
        self.agent.on_report(self.now, _report(number, started_ms, self.slots))

    def send(self, flags, **fields):
        """Deliver a segment of the current flow's caller."""
        data = kit.datagram(self.port, flags, **fields)
        self.result += self.agent.on_message(
            self.now,
            _BALANCER,
            tunnel.Forward(hashing.service_id("desk"), data),
        )

    def answer(self, flags, **fields):
        """Deliver a segment that the server sends."""
        self.result += self.agent.on_server_segment(
            self.now, kit.server_segment(self.port, flags, **fields)
        )

    def open(self):
        """Open a flow."""
        self.port += 1
        self.send(kit.SYN, sequence=9)
        self.answer(kit.SYN | kit.ACK, sequence=500)

    def request(self, payload=_REQUEST, sequence=10):
        """Send a request, or a part of one."""
        self.send(kit.ACK, sequence=sequence, ack=501, payload=payload)

    def wait(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + defaults.HOSTING_TICK_S, end)
            if self.now - self.reported_at >= defaults.REPORT_INTERVAL_S:
                known = self.agent.report
                self.report(known.number + 1, known.started_ms)
            self.result += self.agent.tick(self.now)

    def serve(self, run_s=_RUN_S):
        """Run one request; close its flow."""
        self.open()
        self.request()
        self.wait(run_s)
        self.answer(kit.ACK, sequence=501, payload=b"y")
        self.send(kit.RST, ack=502)

    def share(self):
        """Return the share that the next load report carries."""
        (step,) = self.agent.on_message(self.now, _BALANCER, tunnel.Hello())
        return step.message.failure_share / 255

    def reasons(self):
        """Return the reasons of the failures that were logged."""
        return [
            fields["reason"]
            for fields in kit.log_fields(self.result, "request_failed")
        ]


def _warm(count=20, slots=2):
    server = _Server(slots)
    for _ in range(count):
        server.serve()
    assert not server.share()
    return server


# Evidence at the agent.


def test_a_healthy_server_with_stragglers_does_not_fail():
    """A share of 3% of requests that take 7 times as long is normal."""
    server = _warm()
    shares = []
    for number in range(300):
        server.serve(7 * _RUN_S if number % 33 == 0 else _RUN_S)
        shares.append(server.share())
    assert max(shares) == 0.0
    assert not kit.log_fields(server.result, "server_failing")


def test_a_server_that_is_slow_on_two_fifths_fails():
    """Its health check is good, and its mean run time hides the cause."""
    server = _warm()
    draw = random.Random(1)
    for _ in range(60):
        server.serve(8 * _RUN_S if draw.random() < 0.4 else _RUN_S)
    assert server.share() >= defaults.EJECTION_SHARE
    assert set(server.reasons()) == {"overdue"}
    assert server.agent.evidence.usual_run_s == pytest.approx(
        _RUN_S, abs=0.001
    )
    (fields,) = kit.log_fields(server.result, "server_failing")
    assert fields["failure_share"] >= defaults.EJECTION_SHARE
    assert fields["report"] > 1


@pytest.mark.parametrize(
    ("flags", "reason"), [(kit.RST, "reset"), (kit.FIN, "finished")]
)
def test_a_server_that_ends_flows_without_an_answer_fails(flags, reason):
    """The callers of such a server get no answer although it is fast."""
    server = _warm()
    for _ in range(10):
        server.open()
        server.request()
        server.answer(flags, sequence=501)
        server.wait(0.1)
    assert server.reasons() == [reason] * 10
    assert server.share() >= defaults.EJECTION_SHARE


def test_a_server_that_resets_first_segments_fails():
    """A reset is no answer; a full server returns the segment or answers."""
    server = _warm()
    for _ in range(10):
        server.port += 1
        server.send(kit.SYN, sequence=9)
        server.answer(kit.RST)
    assert server.share() >= defaults.EJECTION_SHARE


def test_a_server_that_hangs_fails_though_callers_give_up():
    """A request must count once, whether or not its caller waits longer."""
    server = _warm()
    for _ in range(6):
        server.open()
        server.request()
        server.wait(1.2)
        server.send(kit.RST, ack=501)
    assert server.reasons() == ["overdue"] * 6
    assert server.share() >= defaults.EJECTION_SHARE


def test_a_late_answer_is_delivered_and_counts_once():
    """A verdict must not hold an answer back, nor count it as a success."""
    server = _warm()
    server.open()
    server.request()
    server.wait(1.0)
    failed = server.agent.evidence.failed
    result = server.agent.on_server_segment(
        server.now,
        kit.server_segment(server.port, kit.ACK, sequence=501, payload=b"y"),
    )
    assert kit.step_types(result)
    assert server.agent.evidence.failed == pytest.approx(failed)


def test_a_caller_that_gives_up_early_proves_nothing():
    """Callers end flows for reasons of their own."""
    server = _warm()
    for _ in range(20):
        server.open()
        server.request()
        server.wait(_RUN_S)
        server.send(kit.RST, ack=501)
    assert not server.share() and not server.reasons()


def test_a_full_server_does_not_fail():
    """Answers that say so are answers, and returned segments are none."""
    server = _warm()
    for _ in range(20):
        server.open()
        server.request()
        server.answer(kit.ACK, sequence=501, payload=b"full")
        server.port += 1
        server.send(kit.SYN, sequence=9)
        server.result += server.agent.on_server_segment(
            server.now,
            kit.returned_segment(server.port, kit.SYN, sequence=9),
        )
    assert not server.share() and not server.reasons()


def test_a_queue_does_not_look_like_a_failure():
    """At a peak of demand every request waits for those ahead of it."""
    server = _warm(slots=1)
    ports = []
    for _ in range(12):
        server.open()
        server.request()
        ports.append(server.port)
    for port in ports:
        server.wait(_RUN_S)
        server.port = port
        server.answer(kit.ACK, sequence=501, payload=b"y")
    assert not server.reasons()


@pytest.mark.parametrize(
    "parts",
    [
        [(10, 1200), (1210, 1200)],
        [(10, 1200)],
        # The first part was lost on its way here.
        [(1210, 800)],
        [(10, 1200), (2410, 800)],
    ],
)
def test_a_lost_part_of_an_upload_is_not_a_failure_of_the_server(parts):
    """A caller sends a lost part again after 0.2 to 1.6 s.

    The links between callers, balancers and agents lose segments at peaks, or
    are cut. The server cannot answer before it has the whole request.
    """
    server = _warm()
    for _ in range(5):
        server.open()
        for sequence, length in parts:
            server.request(b"x" * length, sequence)
        server.wait(4.0)
        server.answer(kit.ACK, sequence=501, payload=b"y")
    assert not server.reasons()


def test_an_upload_that_is_never_answered_is_a_failure():
    """A hanging server of uploads must not go unnoticed."""
    server = _warm()
    server.open()
    for sequence, length in ((10, 1200), (1210, 1200), (2410, 800)):
        server.request(b"x" * length, sequence)
    server.wait(defaults.OVERDUE_PARTS_MIN_S - 0.1)
    assert not server.reasons()
    server.wait(0.2)
    assert server.reasons() == ["overdue"]


def test_a_pause_of_the_agent_is_not_a_failure_of_the_server():
    """Answers that waited through a pause are late only here."""
    server = _warm()
    for _ in range(5):
        server.open()
        server.request()
        server.now += 1.0
        server.agent.on_pause(server.now, 1.0)
        server.answer(kit.ACK, sequence=501, payload=b"y")
        server.agent.on_caught_up()
    server.wait(0.1)
    assert not server.reasons() and not server.share()


@pytest.mark.parametrize("is_answer_first", [False, True])
def test_a_stall_of_the_agent_is_not_a_failure_either(is_answer_first):
    """A busy instance stalls for less than a pause, but longer than a run."""
    server = _warm()
    for _ in range(10):
        server.open()
        server.request()
        server.wait(0.04)
        server.now += 0.15
        if not is_answer_first:
            server.result += server.agent.tick(server.now)
        server.answer(kit.ACK, sequence=501, payload=b"y")
        server.wait(0.02)
    assert not server.reasons() and not server.share()


def test_a_restart_discards_the_evidence():
    """A server that has recovered must get flows at once."""
    server = _warm()
    for _ in range(10):
        server.open()
        server.request()
        server.answer(kit.RST, sequence=501)
    assert server.share()
    server.report(1, started_ms=2000)
    assert not server.share()


def test_a_server_that_restarts_again_and_again_keeps_its_evidence():
    """A server that goes down and up every 1.4 s must not look new."""
    server = _warm()
    for start in range(2, 6):
        server.report(1, started_ms=start * 1400)
        for _ in range(4):
            server.open()
            server.request()
            server.answer(kit.RST, sequence=501)
        server.wait(1.4)
    server.report(1, started_ms=9000)
    assert server.share() >= defaults.EJECTION_SHARE


def test_the_evidence_decays():
    """A server that works again must be used again, also without traffic."""
    server = _warm()
    for _ in range(20):
        server.open()
        server.request()
        server.answer(kit.RST, sequence=501)
    assert server.share() >= defaults.EJECTION_SHARE
    server.now += 30.0
    assert not server.share()


def test_a_report_without_failures_is_as_before():
    """Processes of earlier versions reject longer load reports."""
    server = _warm()
    server.serve(7 * _RUN_S)
    (step,) = server.agent.on_message(server.now, _BALANCER, tunnel.Hello())
    plain = kit.load().encode()
    assert len(step.message.encode()) == len(plain)


# The decision at the balancer.


def _candidates(*shares):
    return [
        placing.Candidate(number, 2, 0, 0, failure_share=share)
        for number, share in enumerate(shares)
    ]


def _kept(shares, rng=None, may_try=False, ejections=None):
    ejections = ejections or ejection.Ejection()
    kept = ejections.select(_candidates(*shares), rng, may_try)
    return [candidate.agent_key for candidate in kept]


@pytest.mark.parametrize(
    ("shares", "kept"),
    [
        ((0.0, 0.0, 0.0), [0, 1, 2]),
        ((0.15, 0.0, 0.0), [0, 1, 2]),
        ((0.9, 0.0, 0.0), [1, 2]),
        ((0.9, 0.0), [1]),
        ((0.9,), [0]),
        # All fail alike: another cause is more likely.
        ((0.9, 0.9, 0.9, 0.9), [0, 1, 2, 3]),
        ((0.9, 0.85, 0.9, 0.0), [0, 1, 2, 3]),
        # Never more than half.
        ((0.9, 0.5, 0.0, 0.0, 0.0), [2, 3, 4]),
        ((0.9, 0.8, 0.7, 0.5, 0.1), [2, 3, 4]),
    ],
)
def test_the_worst_of_the_compared_agents_are_excluded(shares, kept):
    """Never all, never more than half, and none when all are alike."""
    assert _kept(shares) == kept


def test_an_excluded_agent_comes_back_with_hysteresis():
    """A share near the limit must not give and take flows by turns."""
    ejections = ejection.Ejection()
    for share, is_kept in ((0.19, True), (0.21, False), (0.13, False)):
        assert (0 in _kept((share, 0, 0), ejections=ejections)) == is_kept
    assert 0 in _kept((0.11, 0, 0), ejections=ejections)
    changes = ejections.take_changes({0, 1, 2})
    assert [change.event for change in changes] == [
        "agent_ejected",
        "agent_readmitted",
    ]
    assert not ejections.ejected and not ejections.take_changes(())


def test_an_agent_that_is_gone_is_forgotten():
    """Addresses of former agents must not pile up."""
    ejections = ejection.Ejection()
    _kept((0.9, 0.0, 0.0), ejections=ejections)
    ejections.take_changes({1, 2})
    assert not ejections.ejected


def test_a_few_flows_are_tried():
    """A balancer must learn that a server works again."""
    rng = random.Random(1)
    tried = sum(
        0 in _kept((0.9, 0.0, 0.0), rng, may_try=True) for _ in range(5000)
    )
    assert tried / 5000 == pytest.approx(
        defaults.EJECTION_TRIAL_SHARE, rel=0.4
    )


def test_random_choices_are_as_before_without_failures():
    """A day without failing servers must be served as before."""
    rng = random.Random(1)
    state = rng.getstate()
    _kept((0.15, 0.0, 0.0), rng, may_try=True)
    assert rng.getstate() == state


def test_a_balancer_avoids_a_failing_server():
    """An idle server that fails attracts all new flows by its load."""
    balancer = steering.FlowSteering(
        ("10.9.0.9", 80), "a", kit.decode, random.Random(1)
    )
    balancer.on_routes(0.0, kit.routes())
    entries = [kit.agent(number) for number in (1, 2, 3)]
    balancer.on_entries(0.0, entries, [])
    placed = []
    for port in range(1, 201):
        now = port / 100
        for entry in entries:
            is_failing = entry == entries[0]
            fields = {"failure_share": 200} if is_failing else {"busy": 1}
            balancer.on_message(now, entry.address, kit.load(port, **fields))
        result = balancer.on_segment(now, kit.caller_segment(port, kit.SYN))
        placed += [to for to, _ in kit.messages(result, tunnel.Forward)]
    assert len(placed) == 200
    assert placed.count(entries[0].address) < 12
    (fields,) = kit.log_fields(balancer.tick(2.1), "agent_ejected")
    assert fields["agent"] == entries[0].process_id
    assert fields["report"] == 200 and fields["failure_share"] == 0.78


# Load.


def test_decisions_are_cheap():
    """Each request and each new flow passes through these decisions."""
    evidence = ejection.Evidence()
    ejections = ejection.Ejection()
    candidates = _candidates(0.9, 0.3, 0.0, 0.0, 0.0)
    rng = random.Random(1)

    class _Flow:
        verdict_due_at = None

    def request(now):
        flow = _Flow()
        evidence.on_request(now, flow, True, False, 0.0)
        evidence.on_run(0.02)
        evidence.on_answer(now + 0.02, flow)
        evidence.pop_overdue(now, lambda flow: True)

    for decide in (request, lambda _: ejections.select(candidates, rng)):
        durations = []
        for number in range(2000):
            started_at = time.perf_counter()
            decide(number / 1000)
            durations.append(time.perf_counter() - started_at)
        assert statistics.median(durations) < 0.00005
    assert len(evidence._due) < 3000


def test_events_of_changed_beliefs_are_documented():
    """An operator cannot act on an event that the page does not explain."""
    root = pathlib.Path(__file__).parent.parent
    page = (root / "docs" / "OPERATIONS.md").read_text("utf-8")
    package = root / "src" / "limpetlift" / "scheduling"
    for module in ("ejection", "rotation"):
        text = (package / (module + ".py")).read_text("utf-8")
        events = re.findall(r'"((?:agent|rotation)_[a-z]+)"', text)
        assert events
        assert all("`%s`" % event in page for event in events)
