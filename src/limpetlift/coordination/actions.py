"""Actions that the decisions of this layer return and tasks carry out."""

import attrs


@attrs.frozen
class Send:
    """Send a control message to another process.

    :param agent_id: id of the receiver.
    :param message: one of ``messages.structs``.
    """

    agent_id: str
    message: object


@attrs.frozen
class SendAddress:
    """Send a control message to an address whose process id is unknown.

    :param address: ``ip:port``, a seed or the source of a datagram.
    :param message: one of ``messages.structs``.
    """

    address: str
    message: object


@attrs.frozen
class OwnRecordChanged:
    """This process's own record got a new version.

    :param member: a :class:`limpetlift.coordination.member.Member`.
    :param refuted: whether it answers a false suspicion.
    """

    member: object
    refuted: bool = False


@attrs.frozen
class RevisionSeen:
    """Another process has a newer configuration.

    :param agent_id: the process that has it.
    :param revision: its configuration revision.
    """

    agent_id: str
    revision: int


@attrs.frozen
class Superseded:
    """A newer incarnation of this process's id exists; it must stop.

    :param incarnation: the incarnation seen.
    """

    incarnation: int
