"""Traces that a balancer records."""

from limpetlift.coordination import member as members
from limpetlift.protocol import messages
from limpetlift.replay import runner
from limpetlift.replay import trace
from limpetlift.state import config
from limpetlift.tasks import recorder


def test_recording_is_a_trace_that_replays(tmp_path):
    """A recorded trace must load and replay.

    It could not be used to analyse an incident otherwise. Traffic before the
    header is left out.
    """
    path = tmp_path / "balancer-1.jsonl"
    recording = recorder.Recorder(path, "balancer-1")
    recording.on_datagram("desk", ("127.0.0.1", 1))
    agents = [
        members.Member(
            agent_id="desk-%d" % number,
            kind=members.AGENT,
            address="127.0.0.1:1",
            incarnation=1,
            service="desk",
            data_centre="dc-%d" % number,
        )
        for number in range(3)
    ]
    recording.write_header(
        [config.Service("desk", "127.0.0.1:7001")], agents, 2
    )
    for number in range(20):
        recording.on_datagram("desk", ("127.0.0.1", 1 + number % 4))
    start = messages.structs.RequestStart(
        service_name="desk", idempotency_key="k", work_class=""
    )
    recording.on_response(start, 0.0, 9.0)
    recording.close()
    events = trace.load(path).events
    assert len(events) == 21
    summary = runner.run([path])
    values_by_name = {result.name: result.value for result in summary.results}
    assert values_by_name["flows_opened"] == 4
    assert values_by_name["requests_sent"] == 1
