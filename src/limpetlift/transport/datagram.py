"""A non-blocking UDP socket on the reactor."""

import socket

from limpetlift import defaults
from limpetlift import exceptions


def bind(address, connect_to=None):
    """Return a non-blocking UDP socket.

    :param address: ``(ip, port)``; port 0 picks a free one.
    :param connect_to: only exchange datagrams with this ``(ip, port)``.
    :raises TransportError: when the address cannot be bound.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        bound.setsockopt(socket.SOL_SOCKET, option, defaults.UDP_BUFFER_BYTES)
    try:
        bound.bind(address)
        if connect_to is not None:
            bound.connect(connect_to)
    except OSError as error:
        bound.close()
        raise exceptions.TransportError(
            "cannot bind UDP %s:%d: %s" % (*address, error)
        ) from error
    return bound


def receive_batch(bound, receive, on_error=None):
    """Hand on what a UDP socket has received, up to a batch.

    :param bound: a non-blocking socket; ``receive`` may close it.
    :param receive: called with ``(data, (ip, port))`` for each datagram.
    :param on_error: called after an ICMP error, which ends the batch; without
        it errors are passed over.
    """
    recvfrom = bound.recvfrom
    for _ in range(defaults.UDP_BATCH_DATAGRAMS):
        try:
            data, address = recvfrom(65535)
        except BlockingIOError:
            return
        except OSError:
            # An ICMP error of an earlier datagram; the next read works.
            if on_error is not None:
                on_error()
                return
            continue
        receive(data, address)
        if bound.fileno() < 0:
            return


class DatagramSocket:
    """A bound UDP socket that reads in batches.

    :param reactor: the event loop.
    :param address: ``(ip, port)``; port 0 picks a free one.
    :param receive: called with ``(data, (ip, port))`` for each datagram.
    :raises TransportError: when the address cannot be bound.

    .. versionadded:: 0.2
    """

    def __init__(self, reactor, address, receive):
        self._reactor = reactor
        self._receive = receive
        self._socket = bind(address)
        self.address = self._socket.getsockname()
        reactor.watch(self._socket, self._on_readable)

    def _on_readable(self):
        receive_batch(self._socket, self._receive)

    def send(self, data, address):
        """Send one datagram; return the error if the kernel refused it."""
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
