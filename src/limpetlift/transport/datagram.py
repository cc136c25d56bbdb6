"""Non-blocking UDP sockets for the reactor."""

import socket

from limpetlift import defaults
from limpetlift import exceptions


def bind(address, connect_to=None):
    """Return a non-blocking UDP socket.

    :param address: ``(ip, port)``; port 0 picks a free one.
    :param connect_to: only exchange datagrams with this ``(ip, port)``.
    :raises TransportError: when the address cannot be bound or connected.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        udp_socket.setsockopt(
            socket.SOL_SOCKET, option, defaults.UDP_BUFFER_BYTES
        )
    try:
        udp_socket.bind(address)
        if connect_to is not None:
            udp_socket.connect(connect_to)
    except OSError as error:
        udp_socket.close()
        raise exceptions.TransportError(
            "cannot bind a UDP socket to %s:%d: %s" % (*address, error)
        ) from error
    return udp_socket


def receive_batch(udp_socket, on_datagram, on_error=None):
    """Read up to one batch of datagrams from a UDP socket.

    :param udp_socket: a non-blocking socket; ``on_datagram`` may close it.
    :param on_datagram: called with ``(data, (ip, port))`` for each datagram.
    :param on_error: called without arguments after an ICMP error, which ends
        the batch; without it such errors are ignored.
    :returns: whether the socket was read until it was empty.
    """
    recvfrom = udp_socket.recvfrom
    for _ in range(defaults.UDP_BATCH_DATAGRAMS):
        try:
            data, address = recvfrom(65535)
        except BlockingIOError:
            return True
        except OSError:
            # An ICMP error caused by a datagram sent before. It is reported
            # once, so the next read works again.
            if on_error is not None:
                on_error()
                return False
            continue
        on_datagram(data, address)
        if udp_socket.fileno() < 0:
            return False
    return False


class DatagramSocket:
    """A bound UDP socket that reads in batches.

    :param reactor: the event loop.
    :param address: ``(ip, port)``; port 0 picks a free one.
    :param on_datagram: called with ``(data, (ip, port))`` for each datagram.
    :param on_empty: called with this socket when it was read until it was
        empty.
    :raises TransportError: when the address cannot be bound.

    .. versionadded:: 0.2
    """

    def __init__(
        self, reactor, address, on_datagram, on_empty=lambda _socket: None
    ):
        self._reactor = reactor
        self._on_datagram = on_datagram
        self._on_empty = on_empty
        self._socket = bind(address)
        self.address = self._socket.getsockname()
        reactor.watch(self._socket, self.read)

    def read(self):
        """Read one batch of the datagrams that have arrived."""
        if receive_batch(self._socket, self._on_datagram):
            self._on_empty(self)

    def send(self, data, address):
        """Send one datagram.

        :returns: the :class:`OSError` when the kernel refused it, else None.
        """
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            return error
        return None

    def close(self):
        """Stop receiving and close the socket."""
        if self._socket.fileno() >= 0:
            self._reactor.watch(self._socket)
            self._socket.close()
