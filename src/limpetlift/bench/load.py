"""UDP load generators that run in processes of their own."""

import select
import socket
import time

from hdrh import histogram

from limpetlift import defaults

# Lowest and highest latency in microseconds, and significant digits.
_HISTOGRAM_PARAMETERS = (1, 10_000_000, 3)
_LOSS_TIMEOUT_S = 0.05
_FIRST_REPLY_TIMEOUT_S = 10.0


def open_socket(address=("127.0.0.1", 0)):
    """Return a UDP socket with the buffer sizes of balancers and agents."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, defaults.UDP_BUFFER_BYTES)
    sock.bind(address)
    return sock


def generator(connection, callers):
    """Run a load generator until the pipe closes.

    It sends the address of its sink first, and then executes the commands
    ``flood`` and ``pace``: the name, the address to send to, and the arguments
    that follow ``sockets`` in the function of that name.

    :param connection: the generator's end of the pipe.
    :param callers: number of sending sockets.
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
    """Keep ``window`` datagrams in flight and measure the throughput.

    The window is refilled when half of it has returned, so the process under
    load is never idle and its socket buffer does not overflow.

    :param sink: socket that receives what the process under load sends on.
    :param sockets: connected sockets, used in turn.
    :param datagrams: payloads, sent in turn; number n goes through socket n.
        Both numbers wrap around.
    :param seconds: duration.
    :returns: datagrams received at the sink per second.
    """
    sink.setblocking(False)
    buffer = bytearray(65536)
    sends = [sock.send for sock in sockets]
    sent_count = received_count = in_flight = 0
    started = time.monotonic()
    deadline = started + seconds
    # On a busy instance, a short run is extended until the first datagram
    # arrives at the sink.
    while time.monotonic() < deadline + (
        0 if received_count else _FIRST_REPLY_TIMEOUT_S
    ):
        for number in range(sent_count, sent_count + window - in_flight):
            sends[number % len(sends)](datagrams[number % len(datagrams)])
        sent_count += window - in_flight
        in_flight = window
        while in_flight > window // 2:
            try:
                sink.recv_into(buffer)
            except BlockingIOError:
                if not select.select([sink], [], [], _LOSS_TIMEOUT_S)[0]:
                    in_flight = 0
                continue
            in_flight -= 1
            received_count += 1
    return received_count / (time.monotonic() - started)


def pace(sink, sockets, datagram, seconds, rate):
    """Send at a constant rate and measure the latency up to the sink.

    :param sink: socket that receives what the process under load sends on.
    :param sockets: connected sockets, used in turn.
    :param datagram: payload, to which the send time is appended.
    :param seconds: duration.
    :param rate: datagrams per second.
    :returns: median and 99th percentile in microseconds, and the share of
        the datagrams that arrived at the sink.
    """
    sink.setblocking(False)
    latencies = histogram.HdrHistogram(*_HISTOGRAM_PARAMETERS)
    started_ns = time.monotonic_ns()
    total = int(seconds * rate)
    sent = received = 0
    deadline_ns = started_ns + int((seconds + _LOSS_TIMEOUT_S) * 1e9)
    while received < total and time.monotonic_ns() < deadline_ns:
        now = time.monotonic_ns()
        if sent < total and now >= started_ns + sent * 1_000_000_000 // rate:
            sent_ns_bytes = now.to_bytes(8, "big")
            sockets[sent % len(sockets)].send(datagram + sent_ns_bytes)
            sent += 1
        try:
            data = sink.recv(65536)
        except BlockingIOError:
            continue
        sent_ns = int.from_bytes(data[-8:], "big")
        latencies.record_value((time.monotonic_ns() - sent_ns) // 1000)
        received += 1
    return (
        latencies.get_value_at_percentile(50),
        latencies.get_value_at_percentile(99),
        received / total,
    )
