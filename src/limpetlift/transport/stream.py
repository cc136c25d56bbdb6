"""Length-prefixed frames over TCP.

A frame is its length as a 4-byte big-endian integer, followed by its body.
"""

import struct

from tornado import iostream
from tornado import tcpclient
from tornado import tcpserver

from limpetlift import defaults
from limpetlift import exceptions

_LENGTH = struct.Struct("!I")


class FrameStream:
    """A TCP connection that carries frames.

    :param stream: a connected :class:`tornado.iostream.IOStream`.

    .. versionadded:: 0.1
    """

    def __init__(self, stream):
        self._stream = stream
        stream.set_nodelay(True)

    async def read(self):
        """Return the body of the next frame.

        :raises ConnectionClosed: when the connection is closed.
        :raises FrameTooLarge: when the frame exceeds the maximum size.
        """
        try:
            header = await self._stream.read_bytes(_LENGTH.size)
            (length,) = _LENGTH.unpack(header)
            if length > defaults.MAX_FRAME_BYTES:
                self.close()
                raise exceptions.FrameTooLarge(
                    "frame of %d bytes exceeds the maximum size" % length
                )
            return await self._stream.read_bytes(length)
        except iostream.StreamClosedError as error:
            raise exceptions.ConnectionClosed(str(error)) from error

    async def write(self, frame):
        """Send one frame; wait while the send buffer is full.

        :param frame: body of the frame.
        :raises ConnectionClosed: when the connection is closed.
        """
        try:
            await self._stream.write(_LENGTH.pack(len(frame)) + frame)
        except iostream.StreamClosedError as error:
            raise exceptions.ConnectionClosed(str(error)) from error

    def set_close_callback(self, callback):
        """Call ``callback`` once when the connection is closed."""
        self._stream.set_close_callback(callback)

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self._stream.closed()

    def close(self):
        """Close the connection."""
        self._stream.close()


class FrameServer(tcpserver.TCPServer):
    """Accepts connections and runs a handler for each.

    :param handle: a coroutine function, called with a :class:`FrameStream`.
    """

    def __init__(self, handle):
        super().__init__(max_buffer_size=4 * defaults.MAX_FRAME_BYTES)
        self._handle = handle

    async def handle_stream(self, stream, address):
        """Serve one connection until its handler returns."""
        frames = FrameStream(stream)
        try:
            await self._handle(frames)
        except exceptions.TransportError:
            pass
        finally:
            frames.close()


async def connect(ip, port, timeout_s):
    """Connect to a frame server.

    :param timeout_s: seconds to wait for the connection.
    :returns: a :class:`FrameStream`.
    :raises TransportError: when the connection fails.
    """
    try:
        stream = await tcpclient.TCPClient().connect(
            ip,
            port,
            timeout=timeout_s,
            max_buffer_size=4 * defaults.MAX_FRAME_BYTES,
        )
    except Exception as error:
        raise exceptions.TransportError(
            "cannot connect to %s:%d: %s" % (ip, port, error)
        ) from error
    return FrameStream(stream)
