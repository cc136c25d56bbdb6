"""Steps that the decisions on segments return and tasks carry out."""

import attrs


@attrs.frozen
class SendToPeer:
    """Send a message to another process.

    :param address: ``(ip, port)`` of the receiver.
    :param message: a message of :mod:`limpetlift.protocol.tunnel`.
    """

    address: tuple
    message: object


@attrs.frozen
class SendToServer:
    """Hand a segment to the own backend server.

    :param data: the datagram.
    """

    data: bytes


@attrs.frozen
class SendToCaller:
    """Send a segment to the caller of a flow.

    :param key: flow key.
    :param data: the datagram.
    """

    key: bytes
    data: bytes


@attrs.frozen
class Reset:
    """Tell the caller of a flow that it has ended or was refused.

    :param key: flow key.
    :param ack: what the caller acknowledged last.
    :param reason: for logs and counters.
    """

    key: bytes
    ack: int
    reason: str


@attrs.frozen
class LogEvent:
    """A decision or a changed belief, for logs and counters.

    :param event: a short stable word.
    :param key: flow key, or empty bytes.
    :param fields: the inputs, their age or version, and the outcome.
    """

    event: str
    key: bytes = b""
    fields: dict = attrs.field(factory=dict)


@attrs.frozen
class Announce:
    """Write the own entry, for the first time or because it is missing."""


@attrs.frozen
class ProbeServer:
    """Ask whether anybody listens at the own backend server's port."""


@attrs.frozen
class ReadDirectory:
    """Read all entries from the store now."""


@attrs.frozen
class Duration:
    """How long something took, for the metrics.

    :param name: of the histogram, without unit.
    :param seconds: the duration.
    """

    name: str
    seconds: float
