"""Non-blocking UDP sockets for the event loop of tornado."""

from tornado import ioloop

from limpetlift import exceptions
from limpetlift.transport import datagram


class UdpSocket:
    """A bound UDP socket that reads in batches on the current event loop.

    :param address: ``(ip, port)``; port 0 picks a free one.
    :param on_datagram: called with ``(data, (ip, port))`` for each datagram.
    :param connect_to: only exchange datagrams with this ``(ip, port)``.
    :param on_error: called without arguments when the connected peer
        reports that its port is closed.
    :raises TransportError: when the address cannot be bound.

    .. versionadded:: 0.1
    """

    def __init__(self, address, on_datagram, connect_to=None, on_error=None):
        self._on_datagram = on_datagram
        self._on_error = on_error
        self._socket = datagram.bind(address, connect_to)
        self.address = self._socket.getsockname()
        self._loop = ioloop.IOLoop.current()
        self._loop.add_handler(
            self._socket, self._on_readable, ioloop.IOLoop.READ
        )

    def _on_readable(self, _socket, _events):
        datagram.receive_batch(self._socket, self._on_datagram, self._on_error)

    def send(self, data, address):
        """Send one datagram; return whether the kernel accepted it."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            return False
        return True

    def send_connected(self, data):
        """Send one datagram to the connected peer.

        The datagram is dropped when the send buffer is full.

        :raises TransportError: when the peer's port is closed.
        """
        try:
            self._socket.send(data)
        except BlockingIOError:
            pass
        except OSError as error:
            raise exceptions.TransportError(str(error)) from error

    def close(self):
        """Stop receiving and close the socket."""
        if self._socket.fileno() >= 0:
            self._loop.remove_handler(self._socket)
            self._socket.close()
