"""TCP probe that checks whether a port has a listener."""

import errno
import socket

from limpetlift import clock
from limpetlift import defaults

REFUSED = errno.errorcode[errno.ECONNREFUSED]


class PortProbe:
    """Checks whether a port of this instance has a listener.

    It opens a TCP connection and closes it at once. Only a refused connection
    proves that there is no listener.

    :param reactor: the event loop.
    :param address: ``(ip, port)``.
    :param on_result: called once with the name of the outcome: ``accepted``,
        ``no_answer`` after the timeout, or the name of an error number such
        as :data:`REFUSED`.

    .. versionadded:: 0.2
    """

    def __init__(self, reactor, address, on_result):
        self._reactor = reactor
        self._on_result = on_result
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._timer = reactor.call_at(
            clock.now() + defaults.SERVER_PROBE_TIMEOUT_S,
            self._on_timeout,
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

    def _on_timeout(self):
        self.close()
        self._on_result("no_answer")

    def _finish(self, code):
        self.close()
        self._on_result(
            errno.errorcode.get(code, str(code)) if code else "accepted"
        )

    def close(self):
        """Cancel the probe and close its socket."""
        self._timer.cancel()
        if self._socket.fileno() >= 0:
            self._reactor.watch(self._socket)
            self._socket.close()
