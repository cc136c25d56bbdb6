"""Generators of UDP load, as processes."""

import select
import socket
import time

from hdrh import histogram

from limpetlift import defaults

# Latencies between 1 us and 10 s with three significant digits.
_HISTOGRAM = (1, 10_000_000, 3)
_LOST_S = 0.05


def open_socket(address=("127.0.0.1", 0)):
    """Return a UDP socket with the buffers that the processes use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, defaults.UDP_BUFFER_BYTES)
    sock.bind(address)
    return sock


def generator(connection, callers):
    """Run a load generator: a sink and ``callers`` sending sockets.

    Commands: ``flood`` and ``pace``, see the functions below.
    """
    sink = open_socket()
    sockets = [open_socket() for _ in range(callers)]
    connection.send(sink.getsockname())
    commands = {"flood": flood, "pace": pace}
    while True:
        try:
            name, address, *arguments = connection.recv()
        except EOFError:
            return
        for sock in sockets:
            sock.connect(address)
        connection.send(commands[name](sink, sockets, *arguments))


def flood(sink, sockets, datagrams, seconds, window):
    """Keep ``window`` datagrams in flight; return what came back a second.

    The window is refilled when half of it has returned, so the process under
    load never waits and nothing is lost in its socket buffer.

    :param datagrams: payloads, sent in turn; socket n sends number n.
    """
    sink.setblocking(False)
    buffer = bytearray(65536)
    sends = [sock.send for sock in sockets]
    total = count = flying = 0
    started = time.monotonic()
    deadline = started + seconds
    while time.monotonic() < deadline:
        for number in range(total, total + window - flying):
            sends[number % len(sends)](datagrams[number % len(datagrams)])
        total += window - flying
        flying = window
        while flying > window // 2:
            try:
                sink.recv_into(buffer)
            except BlockingIOError:
                if not select.select([sink], [], [], _LOST_S)[0]:
                    flying = 0
                continue
            flying -= 1
            count += 1
    return count / (time.monotonic() - started)


def pace(sink, sockets, datagram, seconds, rate):
    """Send at ``rate`` a second; return latency percentiles.

    :returns: median and 99th percentile in microseconds, and the share of
        the datagrams that came back.
    """
    sink.setblocking(False)
    latencies = histogram.HdrHistogram(*_HISTOGRAM)
    started = time.monotonic_ns()
    total = int(seconds * rate)
    sent = received = 0
    last = started + int((seconds + _LOST_S) * 1e9)
    while received < total and time.monotonic_ns() < last:
        now = time.monotonic_ns()
        if sent < total and now >= started + sent * 1_000_000_000 // rate:
            stamp = now.to_bytes(8, "big")
            sockets[sent % len(sockets)].send(datagram + stamp)
            sent += 1
        try:
            data = sink.recv(65536)
        except BlockingIOError:
            continue
        then = int.from_bytes(data[-8:], "big")
        latencies.record_value((time.monotonic_ns() - then) // 1000)
        received += 1
    return (
        latencies.get_value_at_percentile(50),
        latencies.get_value_at_percentile(99),
        received / total,
    )
