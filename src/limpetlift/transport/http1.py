"""HTTP/1.1 for short calls, on the reactor.

A client call has a connection of its own, so that one that goes silent costs
one call only.
"""

import errno
import socket
import time

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.transport import reactor as reactors

LOG = logs.EventLogger("http")

_READ_BYTES = 64 * 1024
_END_OF_HEAD = b"\r\n\r\n"
_REASONS_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    503: "Service Unavailable",
}


class NotConnected(exceptions.TransportError):
    """No connection came to be, so nothing was sent."""

    code = "not_connected"


class AnswerLost(exceptions.TransportError):
    """The call was sent, in part at least, and not answered."""

    code = "answer_lost"


class BadMessage(exceptions.TransportError):
    """The bytes are no message that this module understands."""

    code = "bad_message"


@attrs.define
class Message:
    """A request or an answer.

    :param start: the three words of the first line.
    :param headers_by_name: with names in lower case.
    """

    start: list
    headers_by_name: dict
    body: bytes = b""

    @property
    def status(self):
        """The status of an answer."""
        return int(self.start[1])


def parse(data, is_closed=False):
    """Return the first message in ``data`` and the bytes behind it.

    :param data: what was received.
    :param is_closed: whether no more will come.
    :returns: ``(message, rest)``, or ``(None, data)`` while it is not whole.
    :raises BadMessage: when it is none.
    """
    head, separator, rest = bytes(data).partition(_END_OF_HEAD)
    if not separator:
        if len(head) > defaults.MAX_HTTP_HEAD_BYTES:
            raise BadMessage("the head is too long")
        return None, data
    lines = head.decode("latin-1").split("\r\n")
    start = lines[0].split(" ", 2)
    if len(start) < 2 or "HTTP/1." not in lines[0]:
        raise BadMessage("no HTTP/1.1: %.40r" % lines[0])
    is_answer = lines[0].startswith("HTTP/")
    if is_answer and not start[1].isdigit():
        raise BadMessage("no status: %.40r" % lines[0])
    headers_by_name = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon:
            raise BadMessage("no header: %.40r" % line)
        headers_by_name[name.strip().lower()] = value.strip()
    message = Message(start, headers_by_name)
    if "chunked" in headers_by_name.get("transfer-encoding", "").lower():
        return _parse_chunks(message, rest, data)
    length = headers_by_name.get("content-length")
    if length is None:
        # An answer without a length ends with its connection.
        if is_answer and not _is_empty(message):
            message.body = rest
            return (message, b"") if is_closed else (None, data)
        return message, rest
    if not length.isdigit() or int(length) > defaults.MAX_HTTP_BODY_BYTES:
        raise BadMessage("wrong length: %.40r" % length)
    size = int(length)
    if len(rest) < size:
        return None, data
    message.body = rest[:size]
    return message, rest[size:]


def _is_empty(message):
    return message.status in (204, 304)


def _parse_chunks(message, rest, data):
    parts = []
    while True:
        line, separator, rest = rest.partition(b"\r\n")
        if not separator:
            return None, data
        try:
            size = int(line.partition(b";")[0], 16)
        except ValueError:
            raise BadMessage("no chunk: %.40r" % line) from None
        if len(rest) < size + 2:
            return None, data
        parts.append(rest[:size])
        rest = rest[size + 2 :]
        if not size:
            message.body = b"".join(parts)
            return message, rest


class _Call:
    """One call of a client."""

    def __init__(self, reactor, address, data, deadline):
        self._reactor = reactor
        self._unsent = data
        self._received = bytearray()
        self._is_connected = False
        self.answer = reactors.Future()
        self._timer = reactor.call_at(deadline, self._on_timeout)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        code = self._socket.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            self._fail(NotConnected(errno.errorcode.get(code, str(code))))
            return
        connect_by = time.monotonic() + defaults.HTTP_CONNECT_TIMEOUT_S
        self._connect_timer = reactor.call_at(connect_by, self._on_silence)
        reactor.watch(self._socket, None, self._on_writable)

    def _on_writable(self):
        if not self._is_connected:
            code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(NotConnected(errno.errorcode.get(code, str(code))))
                return
            self._is_connected = True
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(AnswerLost(str(error)))
            return
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._reactor.watch(self._socket, self._on_readable)

    def _on_readable(self):
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(AnswerLost(str(error)))
            return
        self._received += data
        try:
            message, _ = parse(self._received, not data)
        except BadMessage as error:
            self._fail(AnswerLost(str(error)))
            return
        if message is not None:
            self._close()
            self.answer.set_value(message)
        elif not data:
            self._fail(AnswerLost("the connection was closed"))

    def _on_silence(self):
        if not self._is_connected:
            self._fail(NotConnected("no connection in time"))

    def _on_timeout(self):
        if self._is_connected:
            self._fail(AnswerLost("no answer in time"))
        else:
            self._fail(NotConnected("no connection in time"))

    def _fail(self, error):
        self._close()
        self.answer.set_error(error)

    def _close(self):
        self._timer.cancel()
        if self._socket.fileno() >= 0:
            self._reactor.watch(self._socket)
            self._socket.close()


async def call(reactor, address, method, path, body, timeout_s):
    """Make a call; return the answer as a :class:`Message`.

    :param address: ``(ip, port)``.
    :param body: bytes, or None.
    :param timeout_s: seconds that the whole call may take.
    :raises NotConnected: when nothing was sent.
    :raises AnswerLost: when the call may have had an effect.
    """
    head = "%s %s HTTP/1.1\r\nHost: %s:%d\r\nConnection: close\r\n" % (
        method,
        path,
        *address,
    )
    if body is not None:
        head += "Content-Type: application/json\r\nContent-Length: %d\r\n" % (
            len(body)
        )
    data = head.encode("ascii") + b"\r\n" + (body or b"")
    deadline = time.monotonic() + timeout_s
    return await _Call(reactor, address, data, deadline).answer


@attrs.frozen
class Response:
    """What a server answers.

    :param content_type: of the body.
    """

    status: int
    body: bytes = b"{}"
    content_type: str = "application/json"

    def encode(self):
        """Return the bytes of the answer."""
        return (
            "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
            % (
                self.status,
                _REASONS_BY_STATUS.get(self.status, ""),
                self.content_type,
                len(self.body),
            )
        ).encode("ascii") + self.body


class Server:
    """Answers requests on one address.

    :param reactor: the event loop.
    :param address: ``(ip, port)``.
    :param handle: ``(method, target, body)`` to a :class:`Response`.
    :raises TransportError: when the address cannot be bound.

    .. versionadded:: 0.2
    """

    def __init__(self, reactor, address, handle):
        self._reactor = reactor
        self._handle = handle
        self._connections = set()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._socket.bind(address)
            self._socket.listen(defaults.HTTP_BACKLOG)
        except OSError as error:
            self._socket.close()
            raise exceptions.TransportError(
                "cannot listen on %s:%d: %s" % (*address, error)
            ) from error
        self.address = self._socket.getsockname()
        reactor.watch(self._socket, self._on_connection)

    def _on_connection(self):
        try:
            connection, _ = self._socket.accept()
        except OSError as error:
            LOG.warning("accept_failed", error=error)
            return
        if len(self._connections) >= defaults.MAX_HTTP_CONNECTIONS:
            LOG.warning("too_many_connections", open=len(self._connections))
            connection.close()
            return
        self._connections.add(
            _Connection(
                self._reactor,
                connection,
                self._handle,
                self._connections.discard,
            )
        )

    def close(self):
        """Close the server and its connections."""
        for connection in list(self._connections):
            connection.close()
        if self._socket.fileno() >= 0:
            self._reactor.watch(self._socket)
            self._socket.close()


class _Connection:
    """A connection that a server accepted."""

    def __init__(self, reactor, connection, handle, on_close):
        self._reactor = reactor
        self._socket = connection
        self._socket.setblocking(False)
        self._handle = handle
        self._on_close = on_close
        self._received = bytearray()
        self._unsent = b""
        self._is_ending = False
        self._timer = None
        self._rest()

    def _rest(self):
        """Wait for the next request, for a limited time."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._reactor.call_at(
            time.monotonic() + defaults.HTTP_IDLE_TIMEOUT_S, self.close
        )
        self._reactor.watch(self._socket, self._on_readable)

    def _on_readable(self):
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # The peer reset the connection; it wants no answer.
            data = b""
        if not data:
            self.close()
            return
        self._received += data
        self._answer()

    def _answer(self):
        answers = []
        while True:
            try:
                message, rest = parse(self._received)
            except BadMessage as error:
                LOG.warning("request_malformed", error=error)
                answers.append(Response(400).encode())
                self._is_ending = True
                break
            if message is None:
                break
            self._received = bytearray(rest)
            method, target = message.start[0], message.start[1]
            answers.append(self._handle(method, target, message.body).encode())
            if message.headers_by_name.get("connection", "") == "close":
                self._is_ending = True
        if answers:
            self._unsent += b"".join(answers)
            self._on_writable()

    def _on_writable(self):
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The peer has gone; it wants no answer.
            self.close()
            return
        self._unsent = self._unsent[sent:]
        if self._unsent:
            self._reactor.watch(self._socket, None, self._on_writable)
        elif self._is_ending:
            self.close()
        else:
            self._rest()

    def close(self):
        """Close the connection."""
        self._timer.cancel()
        if self._socket.fileno() >= 0:
            self._reactor.watch(self._socket)
            self._socket.close()
        self._on_close(self)
