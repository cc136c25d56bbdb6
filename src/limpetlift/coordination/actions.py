"""Actions that the classes of this package return and tasks carry out.

The classes do no I/O themselves, so that they run on virtual time in tests.
"""

import attrs


@attrs.frozen
class Send:
    """Send a control message to another process.

    :param agent_id: id of the receiving process.
    :param message: one of ``messages.structs``.
    """

    agent_id: str
    message: object


@attrs.frozen
class SendAddress:
    """Send a control message to an address whose process id is unknown.

    :param address: ``ip:port`` of a seed, or the source address of a datagram.
    :param message: one of ``messages.structs``.
    """

    address: str
    message: object


@attrs.frozen
class OwnRecordChanged:
    """This process published a new version of its own record.

    :param member: the new version, a
        :class:`limpetlift.coordination.member.Member`.
    :param refuted: whether it was published to refute a record of another
        process that reports this one as suspect or dead.
    """

    member: object
    refuted: bool = False


@attrs.frozen
class RevisionSeen:
    """Another process has a newer configuration.

    :param agent_id: id of that process.
    :param revision: its configuration revision.
    """

    agent_id: str
    revision: int


@attrs.frozen
class Superseded:
    """A newer process uses the id of this one, which must stop.

    :param incarnation: incarnation of the newer process.
    """

    incarnation: int
