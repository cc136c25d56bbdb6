"""Pauses of a process, and the datagrams that waited through them."""

from limpetlift import clock
from limpetlift import defaults
from limpetlift.state import pauses
from limpetlift.transport import datagram
from limpetlift.transport import reactor as reactors


def test_a_gap_between_events_is_a_pause():
    """A process that was frozen does not notice it in any other way."""
    detector = pauses.PauseDetector(0.0)
    assert not detector.on_event(defaults.PAUSE_MIN_S / 2)
    assert detector.on_event(5.0) == 5.0 - defaults.PAUSE_MIN_S / 2
    assert not detector.on_event(5.1)


def test_all_sockets_are_read_after_a_pause():
    """Each socket may hold datagrams that arrived during the pause."""
    detector = pauses.PauseDetector(0.0, ["segments", "peers"])
    detector.on_event(3.0)
    assert detector.unread == ["segments", "peers"]
    assert not detector.on_read("segments")
    assert not detector.on_read("segments")
    assert detector.on_read("peers")
    assert not detector.on_read("peers")


def test_a_second_pause_starts_over():
    """A process may be frozen again before it has read everything."""
    detector = pauses.PauseDetector(0.0, ["segments", "peers"])
    detector.on_event(3.0)
    detector.on_read("segments")
    detector.on_event(6.0)
    assert detector.unread == ["segments", "peers"]


def test_a_socket_tells_when_it_is_empty():
    """A batch that was cut short must not end the time after a pause."""
    reactor = reactors.Reactor()
    empty = []
    seen = []
    socket = datagram.DatagramSocket(
        reactor,
        ("127.0.0.1", 0),
        lambda data, _address: seen.append(data),
        empty.append,
    )
    for _ in range(defaults.UDP_BATCH_DATAGRAMS + 1):
        socket.send(b"x", socket.address)
    socket.read()
    assert len(seen) == defaults.UDP_BATCH_DATAGRAMS and not empty
    socket.read()
    assert empty == [socket]
    socket.close()
    reactor.close()


def test_the_clock_never_goes_back():
    """Deadlines are stored as times of this clock."""
    times = [clock.now() for _ in range(100)]
    assert times == sorted(times)
