"""A TCP connection that only asks whether anybody listens."""

import errno
import socket
import time

from limpetlift import defaults


class PortProbe:
    """Asks whether a port of this instance has a listener.

    :param reactor: the event loop.
    :param address: ``(ip, port)``.
    :param on_refused: called when there is certainly none. A port that does
        not answer in time, or accepts, calls nothing.

    .. versionadded:: 0.2
    """

    def __init__(self, reactor, address, on_refused):
        self._reactor = reactor
        self._on_refused = on_refused
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._timer = reactor.call_at(
            time.monotonic() + defaults.PROBE_TIMEOUT_S, self.close
        )
        code = self._socket.connect_ex(address)
        if code == errno.EINPROGRESS:
            reactor.watch(self._socket, None, self._on_connected)
        else:
            self._finish(code)

    def _on_connected(self):
        self._finish(
            self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        )

    def _finish(self, code):
        self.close()
        if code == errno.ECONNREFUSED:
            self._on_refused()

    def close(self):
        """Ask no longer."""
        self._timer.cancel()
        if self._socket.fileno() >= 0:
            self._reactor.watch(self._socket)
            self._socket.close()
