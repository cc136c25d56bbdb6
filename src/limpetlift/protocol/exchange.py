"""One request and its answer over a framed connection.

Every frame carries the request id, so that an answer cannot be taken for the
answer to another request. The first frame is sealed in an envelope, like a
control message.
"""

import attrs

from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.protocol import refusal


@attrs.define
class Exchange:
    """Sends and receives the messages of one request.

    :param frames: a :class:`limpetlift.transport.stream.FrameStream`.
    :param request_id: id that every frame must carry.
    :param member: at a balancer, the agent at the other end; at an agent,
        None.
    :param attempts: at a balancer, the
        :class:`limpetlift.tasks.dispatch.Attempts` that this exchange is one
        of; at an agent, None.

    .. versionadded:: 0.1
    """

    frames: object
    request_id: str
    member: object = None
    attempts: object = None

    async def send(self, kind, **fields):
        """Send a message.

        :param kind: name of the struct.
        :param fields: its fields other than ``request_id``.
        :raises PeerClosed: when the connection is closed.
        """
        struct = messages.structs_by_kind[kind]
        message = struct(request_id=self.request_id, **fields)
        await write_frame(self.frames, messages.encode_frame(message))

    async def receive(self, *kinds):
        """Return the next message.

        :param kinds: names of the structs that are accepted.
        :raises Refused: when the peer refused the request and "Refuse" is not
            one of ``kinds``.
        :raises MalformedMessage: when the message is of another kind or
            belongs to another request, or the refusal code is unknown.
        :raises PeerClosed: when the connection is closed.
        """
        message = messages.decode_frame(await read_frame(self.frames))
        kind = type(message).__name__
        if getattr(message, "request_id", None) != self.request_id:
            self.frames.close()
            raise exceptions.MalformedMessage(
                "frame carries the id of another request"
            )
        if kind == "Refuse" and kind not in kinds:
            raise _refusal_error(message)
        if kind not in kinds:
            self.frames.close()
            raise exceptions.MalformedMessage("unexpected message %s" % kind)
        return message

    async def refuse(self, error):
        """Send ``error``, a :class:`limpetlift.exceptions.Refused`."""
        await self.send(
            "Refuse",
            code=error.refusal,
            message=str(error),
            retry_at=error.retry_at,
        )


def _refusal_error(message):
    if message.code not in refusal.refusals_by_code:
        return exceptions.MalformedMessage(
            "unknown refusal code %.40r" % message.code
        )
    return exceptions.Refused(message.code, message.message, message.retry_at)


async def read_frame(frames):
    """Return the next frame of a connection as bytes.

    :param frames: a :class:`limpetlift.transport.stream.FrameStream`.
    :raises PeerClosed: when the connection failed or was closed.
    """
    try:
        return await frames.read()
    except exceptions.TransportError as error:
        raise exceptions.PeerClosed(str(error)) from error


async def write_frame(frames, frame):
    """Send a frame.

    :param frames: a :class:`limpetlift.transport.stream.FrameStream`.
    :param frame: the bytes of the frame.
    :raises PeerClosed: when the connection failed or was closed.
    """
    try:
        await frames.write(frame)
    except exceptions.TransportError as error:
        raise exceptions.PeerClosed(str(error)) from error
