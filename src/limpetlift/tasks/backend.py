"""HTTP/1.1 client of the agent towards its backend server."""

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from limpetlift import defaults
from limpetlift import exceptions

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "host",
    )
)


def end_to_end(headers):
    """Return the ``(name, value)`` pairs that are passed on."""
    listed = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    return [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in _HOP_BY_HOP and name.lower() not in listed
    ]


@attrs.define
class _Answer(httputil.HTTPMessageDelegate):
    """Passes the parts of a response on to the request task."""

    on_start: object
    on_chunk: object
    finished: bool = False

    def headers_received(self, start_line, headers):
        """Pass on status and headers, but not interim responses."""
        if start_line.code >= 200:
            return self.on_start(start_line, headers)
        return None

    def data_received(self, chunk):
        """Pass on a part of the body."""
        return self.on_chunk(chunk)

    def finish(self):
        """The response is complete."""
        self.finished = True


class BackendRequest:
    """One request to the backend server.

    :param address: ``(ip, port)`` of the backend server.
    :param host: value of the Host header.

    .. versionadded:: 0.1
    """

    def __init__(self, address, host):
        self._address = address
        self._host = host
        self._stream = None
        self._connection = None

    async def connect(self, timeout_s):
        """Open the connection; nothing is sent yet.

        :raises TransportError: when the backend server is not reachable.
        """
        try:
            self._stream = await tcpclient.TCPClient().connect(
                *self._address, timeout=timeout_s
            )
        except Exception as error:
            raise exceptions.TransportError(str(error)) from error
        self._stream.set_nodelay(True)
        self._connection = http1connection.HTTP1Connection(
            self._stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                no_keep_alive=True,
                chunk_size=defaults.BODY_CHUNK_BYTES,
                max_body_size=defaults.UNLIMITED_BYTES,
            ),
        )

    async def start(self, method, path, headers):
        """Send the request line and headers."""
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        fields["Host"] = self._host
        fields["Connection"] = "close"
        line = httputil.RequestStartLine(method, path, "HTTP/1.1")
        await self._guard(self._connection.write_headers(line, fields))

    async def write(self, chunk):
        """Send a part of the body."""
        await self._guard(self._connection.write(chunk))

    async def answer(self, on_start, on_chunk):
        """Finish the request and pass the response on.

        :param on_start: called with the start line and the headers.
        :param on_chunk: called with each part of the body.
        :raises TransportError: when the response is not complete.
        """
        self._connection.finish()
        delegate = _Answer(on_start, on_chunk)
        await self._guard(self._connection.read_response(delegate))
        if not delegate.finished:
            raise exceptions.TransportError("the response was cut")

    async def _guard(self, awaitable):
        try:
            return await awaitable
        except (
            iostream.StreamClosedError,
            httputil.HTTPInputError,
            httputil.HTTPOutputError,
        ) as error:
            raise exceptions.TransportError(
                str(error) or type(error).__name__
            ) from error

    def close(self):
        """Close the connection, which cancels an unfinished request."""
        if self._stream is not None:
            self._stream.close()
