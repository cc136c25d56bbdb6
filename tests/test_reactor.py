"""Tests of the event loop, UDP sockets, port probes and HTTP module."""

import signal
import socket

import hypothesis
from hypothesis import strategies
import pytest

from limpetlift import clock
from limpetlift.transport import datagram
from limpetlift.transport import http1
from limpetlift.transport import probing
from limpetlift.transport import reactor as reactors


@pytest.fixture(name="reactor")
def _reactor():
    reactor = reactors.Reactor()
    yield reactor
    reactor.close()


def _run_until(reactor, is_done, timeout_s=5.0):
    cancel = reactor.call_every(0.005, lambda: is_done() and reactor.stop())
    limit = reactor.call_at(clock.now() + timeout_s, reactor.stop)
    reactor.run()
    cancel()
    limit.cancel()
    assert is_done()


def _call(reactor, address, method="GET", path="/x", body=None, timeout_s=2):
    results = []

    async def run():
        try:
            results.append(
                await http1.call(
                    reactor, address, method, path, body, timeout_s
                )
            )
        except http1.exceptions.TransportError as error:
            results.append(error)

    reactor.spawn(run())
    _run_until(reactor, lambda: results)
    return results[0]


def test_timers_run_in_order_unless_cancelled(reactor):
    """Guards against a timeout that fires although it was cancelled."""
    seen = []
    now = clock.now()
    reactor.call_at(now + 0.02, lambda: seen.append("late"))
    reactor.call_at(now + 0.01, lambda: seen.append("early"))
    reactor.call_at(now + 0.01, lambda: seen.append("no")).cancel()
    _run_until(reactor, lambda: len(seen) == 2)
    assert seen == ["early", "late"]


def test_a_failing_callback_does_not_stop_the_loop(reactor, caplog):
    """An exception in the callback of one packet would end all flows.

    The loop must log it and go on with the other callbacks.
    """
    seen = []
    now = clock.now()
    reactor.call_at(now, lambda: 1 / 0)
    reactor.call_at(now + 0.01, lambda: seen.append(1))
    _run_until(reactor, lambda: seen)
    assert "callback_failed" in caplog.text


def test_an_exception_in_a_task_is_logged(reactor, caplog):
    """No code awaits a task, so its exception would go unnoticed."""

    async def fail():
        await reactor.sleep(0.001)
        raise RuntimeError("no")

    task = reactor.spawn(fail())
    _run_until(reactor, lambda: task.is_done)
    assert "task_failed" in caplog.text


def test_signals_are_called_back(reactor):
    """Without a handler SIGHUP, which reloads settings, ends the process."""
    seen = []
    before = signal.getsignal(signal.SIGHUP)
    try:
        reactor.on_signal(signal.SIGHUP, lambda: seen.append(1))
        reactor.call_at(
            clock.now(), lambda: signal.raise_signal(signal.SIGHUP)
        )
        _run_until(reactor, lambda: seen)
    finally:
        signal.signal(signal.SIGHUP, before)


def test_datagrams_are_received(reactor):
    """A datagram sent by one UDP socket must reach the callback of another."""
    seen = []
    first = datagram.DatagramSocket(
        reactor, ("127.0.0.1", 0), lambda data, _: seen.append(data)
    )
    second = datagram.DatagramSocket(
        reactor, ("127.0.0.1", 0), lambda data, _: None
    )
    assert second.send(b"one", first.address) is None
    _run_until(reactor, lambda: seen)
    assert seen == [b"one"]
    first.close()
    second.close()


def test_a_call_is_answered(reactor):
    """Guards against parts of a request or response being lost.

    Method, target and body must reach the server, and status and body the
    client.
    """
    seen = []

    def handle(method, target, body):
        seen.append((method, target, body))
        return http1.Response(404, b"gone", "text/plain")

    server = http1.Server(reactor, ("127.0.0.1", 0), handle)
    response = _call(reactor, server.address, "POST", "/x?y=1", b"body")
    server.close()
    assert seen == [("POST", "/x?y=1", b"body")]
    assert (response.status, response.body) == (404, b"gone")


def test_only_a_refused_connection_proves_an_absent_server(reactor):
    """Flows of a server that is only slow must not be ended.

    A listening port gives ``accepted``, even if no process accepts the
    connection; only a closed port gives ``REFUSED``.
    """
    seen = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        probing.PortProbe(reactor, address, seen.append)
        _run_until(reactor, lambda: seen)
    probing.PortProbe(reactor, address, seen.append)
    _run_until(reactor, lambda: len(seen) > 1)
    assert seen == ["accepted", probing.REFUSED]


def test_a_large_response_arrives_whole(reactor):
    """A page of the store is larger than one read from the socket.

    A client that stops after the first read would get a part of it.
    """
    body = bytes(3 * 1024 * 1024)
    server = http1.Server(
        reactor, ("127.0.0.1", 0), lambda *_: http1.Response(200, body)
    )
    response = _call(reactor, server.address)
    server.close()
    assert response.body == body


def test_a_silent_server_fails_after_the_timeout(reactor):
    """A connection can go silent without a reset.

    The request must then fail after its timeout instead of waiting for ever.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        response = _call(reactor, listener.getsockname(), timeout_s=0.1)
    assert isinstance(response, http1.ResponseLost)


def test_a_closed_port_means_that_nothing_was_sent(reactor):
    """A write may be repeated blindly only if no part of it was sent.

    A refused connection must therefore not be reported as a lost response.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
    assert isinstance(_call(reactor, address), http1.NotConnected)


def test_a_malformed_request_is_refused(reactor):
    """Bytes of another protocol must get a response with status 400."""
    server = http1.Server(
        reactor, ("127.0.0.1", 0), lambda *_: http1.Response(200)
    )
    client = socket.create_connection(server.address)
    client.sendall(b"\x16\x03\x01 nonsense\r\n\r\n")
    client.setblocking(False)
    seen = []

    def read():
        try:
            seen.append(client.recv(1000))
        except BlockingIOError:
            pass
        return seen

    _run_until(reactor, read)
    client.close()
    server.close()
    assert seen[0].startswith(b"HTTP/1.1 400 ")


@hypothesis.given(strategies.binary(max_size=300))
def test_any_bytes_are_a_message_or_bad(data):
    """Only ``BadMessage`` is handled by the callers of the parser.

    Any other exception would leave a request without a result.
    """
    try:
        http1.parse(data, True)
    except http1.BadMessage:
        pass


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nbody",
    ],
)
def test_bodies_are_read_in_every_framing(data):
    """The server chooses how the end of a body is marked.

    With a length or chunks, an incomplete message must not be returned.
    """
    message, _ = http1.parse(data, True)
    assert message.body == b"body"
    for size in range(len(data)):
        if b"Length" in data or b"chunked" in data:
            assert http1.parse(data[:size])[0] is None
