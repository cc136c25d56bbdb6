"""A small HTTP/1.1 client and server on the reactor.

The client opens a connection for each request, so that a connection that goes
silent fails one request only.
"""

import errno
import socket

from limpetlift import clock
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift import structs
from limpetlift.transport import reactor as reactors

LOG = logs.EventLogger("http")

_READ_BYTES = 64 * 1024
_END_OF_HEAD = b"\r\n\r\n"
_HEX_DIGITS = b"0123456789abcdefABCDEF"
# More than the lengths have that this module accepts.
_MAX_NUMBER_DIGITS = 16
_REASONS_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    503: "Service Unavailable",
}


class NotConnected(exceptions.TransportError):
    """No connection was established, so no part of the request was sent."""

    code = "not_connected"


class ResponseLost(exceptions.TransportError):
    """The request may have been received, but no valid response arrived."""

    code = "answer_lost"


class BadMessage(exceptions.TransportError):
    """The received bytes are not a message that this module supports."""

    code = "bad_message"


@structs.define
class Message:
    """A request or a response.

    :param start_line: the two or three parts of the first line.
    :param headers_by_name: values of the headers, with names in lower case.
    :param body: the decoded body.
    """

    start_line: list
    headers_by_name: dict
    body: bytes = b""

    @property
    def status(self):
        """The status code of a response."""
        return int(self.start_line[1])


def parse(data, is_closed=False):
    """Return the first message in ``data`` and the bytes after it.

    :param data: the bytes received so far.
    :param is_closed: whether the peer has closed the connection.
    :returns: ``(message, rest)``, or ``(None, data)`` while the message is
        incomplete.
    :raises BadMessage: when the message is malformed or too large.
    """
    head, separator, rest = bytes(data).partition(_END_OF_HEAD)
    if not separator:
        if len(head) > defaults.MAX_HTTP_HEAD_BYTES:
            raise BadMessage(
                "the header section is too long: %d bytes" % len(head)
            )
        return None, data
    lines = head.decode("latin-1").split("\r\n")
    start_line = lines[0].split(" ", 2)
    if len(start_line) < 2 or "HTTP/1." not in lines[0]:
        raise BadMessage("not a start line of HTTP/1: %.40r" % lines[0])
    is_response = lines[0].startswith("HTTP/")
    if is_response and not _is_number(start_line[1]):
        raise BadMessage("no status code in the status line: %.40r" % lines[0])
    headers_by_name = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon:
            raise BadMessage("malformed header line: %.40r" % line)
        headers_by_name[name.strip().lower()] = value.strip()
    message = Message(start_line, headers_by_name)
    if "chunked" in headers_by_name.get("transfer-encoding", "").lower():
        return _parse_chunks(message, rest, data)
    length = headers_by_name.get("content-length")
    if length is None:
        # The body of a response without a length ends with the connection.
        if is_response and not _has_no_body(message):
            message.body = rest
            return (message, b"") if is_closed else (None, data)
        return message, rest
    if not _is_number(length) or int(length) > defaults.MAX_HTTP_BODY_BYTES:
        raise BadMessage("invalid or too large Content-Length: %.40r" % length)
    size = int(length)
    if len(rest) < size:
        return None, data
    message.body = rest[:size]
    return message, rest[size:]


def _is_number(text):
    """Whether a text consists of a few of the digits 0 to 9.

    Other digits of Unicode, such as superscripts, are not allowed, and very
    long numbers cannot be converted.
    """
    return (
        len(text) <= _MAX_NUMBER_DIGITS and text.isascii() and text.isdigit()
    )


def _has_no_body(message):
    return message.status in (204, 304)


def _parse_chunks(message, rest, data):
    parts = []
    while True:
        line, separator, rest = rest.partition(b"\r\n")
        if not separator:
            return None, data
        digits = line.partition(b";")[0].strip()
        if (
            len(digits) > _MAX_NUMBER_DIGITS
            or not digits
            or digits.strip(_HEX_DIGITS)
        ):
            raise BadMessage("malformed chunk size: %.40r" % line)
        size = int(digits, 16)
        if size > defaults.MAX_HTTP_BODY_BYTES:
            raise BadMessage("too large chunk: %d bytes" % size)
        if len(rest) < size + 2:
            return None, data
        parts.append(rest[:size])
        rest = rest[size + 2 :]
        if not size:
            message.body = b"".join(parts)
            return message, rest


class _ClientRequest:
    """A request of the client on a connection of its own."""

    def __init__(self, reactor, address, data, deadline):
        self._reactor = reactor
        self._unsent = data
        self._received = bytearray()
        self._is_connected = False
        self.response = reactors.Future()
        self._timer = reactor.call_at(deadline, self._on_timeout)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        code = self._socket.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            self._fail(NotConnected(errno.errorcode.get(code, str(code))))
            return
        connect_by = clock.now() + defaults.HTTP_CONNECT_TIMEOUT_S
        self._connect_timer = reactor.call_at(
            connect_by, self._on_connect_timeout
        )
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
            self._fail(ResponseLost(str(error)))
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
            self._fail(ResponseLost(str(error)))
            return
        self._received += data
        try:
            message, _ = parse(self._received, not data)
        except BadMessage as error:
            self._fail(ResponseLost(str(error)))
            return
        if message is not None:
            self._close()
            self.response.set_value(message)
        elif not data:
            self._fail(
                ResponseLost(
                    "connection closed before the end of the response"
                )
            )

    def _on_connect_timeout(self):
        if not self._is_connected:
            self._fail(NotConnected("timed out while connecting"))

    def _on_timeout(self):
        if self._is_connected:
            self._fail(
                ResponseLost("timed out while waiting for the response")
            )
        else:
            self._fail(NotConnected("timed out while connecting"))

    def _fail(self, error):
        self._close()
        self.response.set_error(error)

    def _close(self):
        self._timer.cancel()
        if self._socket.fileno() >= 0:
            self._reactor.watch(self._socket)
            self._socket.close()


async def call(reactor, address, method, path, body, timeout_s):
    """Send a request and wait for its response.

    :param reactor: the event loop.
    :param address: ``(ip, port)`` of the server.
    :param method: method of the request.
    :param path: path of the request, with the query.
    :param body: JSON body as bytes, or None.
    :param timeout_s: time limit for the connection, request and response.
    :returns: the response as a :class:`Message`.
    :raises NotConnected: when no part of the request was sent.
    :raises ResponseLost: when the request may have had an effect.
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
    deadline = clock.now() + timeout_s
    return await _ClientRequest(reactor, address, data, deadline).response


@structs.frozen
class Response:
    """A response of the server.

    :param status: status code.
    :param body: body as bytes.
    :param content_type: media type of the body.
    :param headers: ``(name, value)`` of each further header.
    """

    status: int
    body: bytes = b"{}"
    content_type: str = "application/json"
    headers: tuple = ()

    def encode(self):
        """Return the response as bytes."""
        return (
            "HTTP/1.1 %d %s\r\n"
            "Content-Type: %s\r\nContent-Length: %d\r\n%s\r\n"
            % (
                self.status,
                _REASONS_BY_STATUS.get(self.status, ""),
                self.content_type,
                len(self.body),
                "".join("%s: %s\r\n" % header for header in self.headers),
            )
        ).encode("ascii") + self.body


class Server:
    """HTTP server on one address.

    :param reactor: the event loop.
    :param address: ``(ip, port)``; port 0 picks a free one.
    :param handle: called with ``(method, target, body)``; returns a
        :class:`Response`.
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
        """Stop listening and close all connections."""
        for connection in list(self._connections):
            connection.close()
        if self._socket.fileno() >= 0:
            self._reactor.watch(self._socket)
            self._socket.close()


class _Connection:
    """A connection that the server has accepted."""

    def __init__(self, reactor, connection, handle, on_close):
        self._reactor = reactor
        self._socket = connection
        self._socket.setblocking(False)
        self._handle = handle
        self._on_close = on_close
        self._received = bytearray()
        self._unsent = b""
        self._closes_after_send = False
        self._timer = None
        self._wait_for_request()

    def _wait_for_request(self):
        """Wait for the next request; close the connection when it is idle."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._reactor.call_at(
            clock.now() + defaults.HTTP_IDLE_TIMEOUT_S, self.close
        )
        self._reactor.watch(self._socket, self._on_readable)

    def _on_readable(self):
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # The peer has reset the connection; handled like a close.
            data = b""
        if not data:
            self.close()
            return
        self._received += data
        self._handle_requests()

    def _handle_requests(self):
        responses = []
        while True:
            try:
                message, rest = parse(self._received)
            except BadMessage as error:
                LOG.warning("request_malformed", error=error)
                responses.append(Response(400).encode())
                self._closes_after_send = True
                break
            if message is None:
                break
            self._received = bytearray(rest)
            method, target = message.start_line[0], message.start_line[1]
            responses.append(
                self._handle(method, target, message.body).encode()
            )
            if message.headers_by_name.get("connection", "") == "close":
                self._closes_after_send = True
        if responses:
            self._unsent += b"".join(responses)
            self._on_writable()

    def _on_writable(self):
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The peer has closed the connection; the responses are dropped.
            self.close()
            return
        self._unsent = self._unsent[sent:]
        if self._unsent:
            self._reactor.watch(self._socket, None, self._on_writable)
        elif self._closes_after_send:
            self.close()
        else:
            self._wait_for_request()

    def close(self):
        """Close the connection."""
        self._timer.cancel()
        if self._socket.fileno() >= 0:
            self._reactor.watch(self._socket)
            self._socket.close()
        self._on_close(self)
