"""Steps: the actions that decisions on segments ask a process for.

The decision classes of balancers and agents do no I/O. They return lists of
steps, and the process that called them carries the steps out in order.
"""

import attrs

from limpetlift import structs


@structs.frozen
class SendToPeer:
    """Send a message to another balancer or agent.

    :param address: ``(ip, port)`` of the receiver.
    :param message: a message of :mod:`limpetlift.protocol.tunnel`.
    """

    address: tuple
    message: object


@structs.frozen
class SendToServer:
    """Send a segment to the backend server of this agent.

    :param data: the segment's datagram, unchanged.
    """

    data: bytes


@structs.frozen
class SendToCaller:
    """Send a segment to the caller of a flow.

    :param key: flow key.
    :param data: the segment's datagram, unchanged.
    """

    key: bytes
    data: bytes


@structs.frozen
class Reset:
    """Send a reset to the caller of a flow that has ended or was refused.

    :param key: flow key.
    :param ack: the caller's last acknowledgement number; 0 for a flow that
        was refused.
    :param reason: why the flow is reset, for logs and counters.
    """

    key: bytes
    ack: int
    reason: str


@structs.frozen
class LogEvent:
    """Log and count a decision or a change of state.

    :param event: name of the event, which stays the same between releases.
    :param key: flow key; empty when the event concerns no single flow.
    :param fields: log fields by name: the inputs of the decision, their age
        or version, and the outcome.
    """

    event: str
    key: bytes = b""
    fields: dict = attrs.field(factory=dict)


@structs.frozen
class Announce:
    """Write this agent's directory entry to the store.

    It is written for the first time, or again because it is missing.
    """


@structs.frozen
class CheckEntry:
    """Read this agent's directory entry; write it again if it is missing."""


@structs.frozen
class ProbeServer:
    """Probe whether the port of this agent's backend server has a listener."""


@structs.frozen
class ReadDirectory:
    """Read all directory entries from the store now."""


@structs.frozen
class KeepAgent:
    """Keep an agent in the directory that the store does not have.

    :param entry: its
        :class:`~limpetlift.coordination.directory.ProcessEntry`.
    """

    entry: object


@structs.frozen
class Duration:
    """Add a duration to a histogram of the metrics.

    :param name: name of the histogram, without its unit.
    :param seconds: the duration.
    """

    name: str
    seconds: float
