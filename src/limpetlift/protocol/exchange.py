"""One request and its answer over a framed connection.

Every frame carries the request id, so an answer can never be taken for that
of another request. The first frame is sealed like a control message.
"""

import attrs

from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.protocol import refusal


@attrs.define
class Exchange:
    """The frames of one request.

    :param frames: a :class:`limpetlift.transport.stream.FrameStream`.
    :param request_id: id that every frame must carry.
    :param member: the agent at the other end, at a balancer.

    .. versionadded:: 0.1
    """

    frames: object
    request_id: str
    member: object = None

    async def send(self, kind, **fields):
        """Send a message of ``kind`` with ``fields``.

        :raises PeerClosed: when the connection is closed.
        """
        struct = messages.structs_by_kind[kind]
        message = struct(request_id=self.request_id, **fields)
        await write_frame(self.frames, messages.encode_frame(message))

    async def receive(self, *kinds):
        """Return the next message, which must be of one of ``kinds``.

        :raises Refused: when the peer refused the request.
        :raises MalformedMessage: when it is another message.
        :raises PeerClosed: when the connection is closed.
        """
        message = messages.decode_frame(await read_frame(self.frames))
        kind = type(message).__name__
        if getattr(message, "request_id", None) != self.request_id:
            self.frames.close()
            raise exceptions.MalformedMessage("frame of another request")
        if kind == "Refuse" and kind not in kinds:
            raise _refused(message)
        if kind not in kinds:
            self.frames.close()
            raise exceptions.MalformedMessage("unexpected %s" % kind)
        return message

    async def refuse(self, error):
        """Send the refusal ``error``, a :class:`Refused`."""
        await self.send(
            "Refuse",
            code=error.refusal,
            message=str(error),
            retry_at=error.retry_at,
        )


def _refused(message):
    if message.code not in refusal.refusals_by_code:
        return exceptions.MalformedMessage("refusal %.40r" % message.code)
    return exceptions.Refused(message.code, message.message, message.retry_at)


async def read_frame(frames):
    """Return the next frame of a connection.

    :raises PeerClosed: when the connection failed or was closed.
    """
    try:
        return await frames.read()
    except exceptions.TransportError as error:
        raise exceptions.PeerClosed(str(error)) from error


async def write_frame(frames, frame):
    """Send a frame.

    :raises PeerClosed: when the connection failed or was closed.
    """
    try:
        await frames.write(frame)
    except exceptions.TransportError as error:
        raise exceptions.PeerClosed(str(error)) from error
