"""Admission of uploads to the link of a balancer."""

import attrs
import pytest
import segmentkit as kit

from limpetlift.protocol import tunnel
from limpetlift.scheduling import uploads
from limpetlift.state import steering
from limpetlift.state import steps

# The kind of request and the bandwidth that the load tests are about.
_LINK_MBPS = 5.0
_UPLOAD_SEGMENTS = 67
_SEGMENT_BYTES = 1_231
_WINDOW = 16
_RETRANSMIT_S = 0.2


def _segment(number, flags=kit.SYN, **fields):
    return kit.caller_segment(number, flags, **fields)


def _admission(limit):
    return uploads.UploadAdmission(limit)


def test_the_limit_follows_the_bandwidth():
    """A large link must not delay uploads, and a tiny one must take one."""
    assert uploads.concurrent_uploads(5.0) == 3
    assert uploads.concurrent_uploads(100.0) >= 50
    assert uploads.concurrent_uploads(0.1) == 1


def test_without_a_limit_uploads_begin_at_once():
    """A deployment that states no bandwidth is served as before."""
    admission = uploads.UploadAdmission()
    for number in range(100):
        assert admission.begin(0.0, _segment(number), None)
    assert not admission.pop_released(1.0)


def test_uploads_begin_in_the_order_of_arrival():
    """A later upload must not overtake one that waits."""
    admission = _admission(1)
    assert admission.begin(0.0, _segment(1), "one")
    assert not admission.begin(0.1, _segment(2), "two")
    assert not admission.begin(0.2, _segment(3), "three")
    assert not admission.pop_released(0.25)
    admission.on_segment(0.25, _segment(1, kit.ACK | kit.FIN))
    assert not admission.begin(0.26, _segment(4), "four")
    (held,) = admission.pop_released(0.27)
    assert held.flow == "two"


def test_a_silent_upload_leaves_its_place():
    """The caller may be gone, or its segments may go elsewhere now."""
    admission = _admission(1)
    admission.begin(0.0, _segment(1), "one")
    admission.begin(0.0, _segment(2), "two")
    admission.on_segment(0.2, _segment(1, kit.ACK, payload=b"x"))
    assert not admission.pop_released(0.4)
    (held,) = admission.pop_released(0.51)
    assert held.flow == "two"


def test_an_upload_begins_before_its_caller_gives_up():
    """A wait beyond 1.4 s would end the try although nothing refused it."""
    admission = _admission(1)
    admission.begin(0.0, _segment(1), "one")
    admission.begin(0.0, _segment(2), "two")
    for step in range(1, 100):
        now = step / 100
        admission.on_segment(now, _segment(1, kit.ACK, payload=b"x"))
        assert not admission.pop_released(now)
    assert admission.pop_released(1.01)


def test_a_caller_that_gives_up_is_not_released():
    """Its place in the order belongs to the next one."""
    admission = _admission(1)
    admission.begin(0.0, _segment(1), "one")
    admission.begin(0.0, _segment(2), "two")
    admission.begin(0.0, _segment(3), "three")
    admission.end(_segment(2).key)
    admission.end(_segment(1).key)
    (held,) = admission.pop_released(0.1)
    assert held.flow == "three"


def _transfer_times(limit, starts):
    """Return how long uploads take through one link, in virtual time.

    Each caller has a window of segments in flight, which wait in the queue of
    the link, and sends a segment again that was not acknowledged in time. A
    repeated segment takes the link's time like any other.
    """
    admission = _admission(limit)
    sent_by_key, acked_by_key, timer_by_key, done_at = {}, {}, {}, {}
    queue = []
    begun = set()
    keys = {_segment(n).key: n for n in range(len(starts))}
    pending = sorted((at, n) for n, at in enumerate(starts))
    per_segment_s = _SEGMENT_BYTES * 8 / (_LINK_MBPS * 1e6)
    now = 0.0
    while len(done_at) < len(starts) and now < 60:
        while pending and pending[0][0] <= now:
            _, n = pending.pop(0)
            if admission.begin(now, _segment(n), n):
                begun.add(n)
        begun.update(held.flow for held in admission.pop_released(now))
        for n in begun - set(done_at):
            sent = sent_by_key.setdefault(n, 0)
            acked = acked_by_key.setdefault(n, 0)
            while sent < min(acked + _WINDOW, _UPLOAD_SEGMENTS):
                queue.append((n, sent, now))
                sent += 1
                timer_by_key.setdefault(n, now)
            sent_by_key[n] = sent
            if now - timer_by_key.get(n, now) >= _RETRANSMIT_S:
                queue += [(n, i, now) for i in range(acked, sent)]
                timer_by_key[n] = now
        if queue:
            n, index, _ = queue.pop(0)
            if n not in done_at and index == acked_by_key[n]:
                acked_by_key[n] += 1
                timer_by_key[n] = now
                is_last = acked_by_key[n] == _UPLOAD_SEGMENTS
                flags = kit.ACK | (kit.FIN if is_last else 0)
                admission.on_segment(now, _segment(n, flags, payload=b"x"))
                if is_last:
                    done_at[n] = now
        now += per_segment_s
    assert len(keys) == len(starts)
    return [done_at.get(n, 60.0) - at for n, at in enumerate(starts)]


def test_uploads_that_begin_together_do_not_fill_a_small_link():
    """Twelve uploads at once through 5 Mbit/s: the sum of them takes 1.6 s.

    Without admission the queue is longer than the retransmission interval,
    and repeated segments take most of the link.
    """
    starts = [0.0] * 12
    at_once = _transfer_times(None, starts)
    admitted = _transfer_times(uploads.concurrent_uploads(_LINK_MBPS), starts)
    assert max(admitted) < 2.0
    assert max(at_once) > 1.5 * max(admitted)
    assert sum(admitted) < 0.6 * sum(at_once)


def _balancer(limit, kind="upload"):
    balancer = steering.FlowSteering(("10.9.0.1", 7), "a", kit.decode)
    balancer.upload_admission.limit = limit
    balancer.on_routes(0.0, kit.routes(kind=kind))
    balancer.on_entries(0.0, [kit.agent(1)], [])
    balancer.on_message(0.0, kit.agent(1).address, kit.load())
    return balancer


def _is_placed(result):
    return bool(kit.messages(result, tunnel.Forward))


def test_a_balancer_holds_uploads_for_its_link():
    """The first segment of a held upload must reach a server in time."""
    balancer = _balancer(1)
    assert _is_placed(balancer.on_segment(0.0, _segment(1)))
    assert not _is_placed(balancer.on_segment(0.001, _segment(2)))
    copy = _segment(2, ack=1)
    assert not _is_placed(balancer.on_segment(0.2, copy))
    balancer.on_segment(0.21, _segment(1, kit.ACK | kit.FIN))
    result = balancer.tick(0.22)
    address = kit.agent(1).address
    result += balancer.on_message(0.221, address, kit.load(2))
    ((_, forward),) = kit.messages(result, tunnel.Forward)
    assert forward.data == copy.data


def test_a_held_upload_that_another_balancer_placed_is_not_placed_again():
    """A second placement could open the flow at two servers."""
    balancer = _balancer(1)
    balancer.on_segment(0.0, _segment(1))
    balancer.on_segment(0.001, _segment(2))
    record = tunnel.FlowRecord(
        _segment(2).key, ("10.0.0.9", 70), True, kit.load().service
    )
    balancer.on_message(0.1, ("10.9.0.2", 7), tunnel.FlowRecords([record]))
    balancer.on_segment(0.2, _segment(1, kit.ACK | kit.FIN))
    balancer.tick(0.21)
    assert balancer.flows_by_key[_segment(2).key].address == ("10.0.0.9", 70)


def test_other_requests_are_not_held():
    """A small request must not wait behind uploads."""
    balancer = _balancer(1, kind="unsafe")
    assert _is_placed(balancer.on_segment(0.0, _segment(1)))
    assert _is_placed(balancer.on_segment(0.001, _segment(2)))


@pytest.mark.parametrize("limit", [None, 1])
def test_an_upload_is_placed_when_its_route_appears_meanwhile(limit):
    """A route that becomes one of uploads must not lose open flows."""
    balancer = _balancer(limit, kind="safe")
    assert _is_placed(balancer.on_segment(0.0, _segment(1)))
    table = kit.routes(2, kind="upload")
    balancer.on_routes(0.01, attrs.evolve(table))
    data = _segment(1, kit.ACK, payload=b"x")
    assert _is_placed(balancer.on_segment(0.02, data))


def test_a_refused_upload_leaves_its_place():
    """A place of an upload that nobody sends would delay the others."""
    balancer = _balancer(1)
    load = kit.load(2, accepting=False)
    balancer.on_message(0.1, kit.agent(1).address, load)
    result = balancer.on_segment(0.1, _segment(1))
    result += balancer.tick(0.2)
    assert not _is_placed(result)
    assert not balancer.upload_admission.active_count


def test_a_held_upload_that_opened_elsewhere_is_not_placed():
    """Its caller sends data, so another balancer has placed it."""
    balancer = _balancer(1)
    balancer.on_segment(0.0, _segment(1))
    balancer.on_segment(0.001, _segment(2))
    balancer.on_segment(0.3, _segment(2, kit.ACK, payload=b"x"))
    assert not balancer.upload_admission.held_count
    balancer.on_segment(0.31, _segment(1, kit.ACK | kit.FIN))
    assert not _is_placed(balancer.tick(0.32))


def test_a_late_copy_is_held_until_its_caller_gives_up_only():
    """The second copy comes 0.6 s into the try, which ends after 1.4 s."""
    admission = _admission(1)
    admission.begin(0.0, _segment(1), "one")
    admission.begin(0.0, _segment(2, ack=2), "two")
    for step in range(1, 40):
        now = step / 100
        admission.on_segment(now, _segment(1, kit.ACK, payload=b"x"))
        assert not admission.pop_released(now)
    assert admission.pop_released(0.41)


def test_copies_of_a_held_upload_count_as_arrived_here():
    """The last one must be refused at once when no server has room."""
    balancer = _balancer(1)
    balancer.on_segment(0.0, _segment(1))
    for copy, now in enumerate((0.001, 0.2, 0.6)):
        balancer.on_segment(now, _segment(2, ack=copy))
        balancer.on_segment(now, _segment(1, kit.ACK, payload=b"x"))
    busy = kit.load(2, busy=500, flows=500, run_ms=5000)
    balancer.on_message(0.7, kit.agent(1).address, busy)
    balancer.on_segment(0.7, _segment(1, kit.ACK | kit.FIN))
    table = kit.routes(2, kind="upload", aim_s=0.5)
    balancer.on_routes(0.7, table)
    result = balancer.tick(0.7) + balancer.tick(0.75)
    assert [s.reason for s in result if isinstance(s, steps.Reset)]
