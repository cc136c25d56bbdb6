"""Actions that the decision modules return and the tasks carry out."""

import attrs

from limpetlift.coordination import actions

Send = actions.Send


@attrs.frozen
class Deliver:
    """Send the payload of a packet to the backend server.

    :param key: flow key.
    :param packet: a :class:`limpetlift.protocol.packet.Packet`.
    """

    key: bytes
    packet: object


@attrs.frozen
class Forward:
    """Forward a packet to another agent, with its hop count increased.

    :param agent_id: id of the receiver.
    :param incarnation: incarnation of the receiver that must own the flow, or
        0 for any.
    :param packet: a :class:`limpetlift.protocol.packet.Packet`.
    :param is_assigned: value of the packet's ``is_assigned`` flag.
    """

    agent_id: str
    incarnation: int
    packet: object
    is_assigned: bool = False


@attrs.frozen
class Drop:
    """Drop a packet.

    :param reason: label of the counter of dropped packets.
    """

    reason: str


@attrs.frozen
class Close:
    """Close the socket of a flow that has ended.

    :param key: flow key.
    :param reason: label of the counter of ended flows.
    """

    key: bytes
    reason: str


@attrs.frozen
class Reset:
    """Send a reset to the caller of a packet whose flow has ended.

    :param packet: a :class:`limpetlift.protocol.packet.Packet`.
    """

    packet: object


@attrs.frozen
class Announce:
    """Publish a new version of this process's own record.

    :param member: a :class:`limpetlift.coordination.member.Member`.
    """

    member: object


@attrs.frozen
class Admit:
    """Run a request now; it occupies a slot until it finishes.

    :param request_id: id of the request.
    """

    request_id: str


@attrs.frozen
class Refused:
    """Refuse a request; this attempt does not run.

    :param request_id: id of the request.
    :param code: a key of ``refusal.refusals_by_code``. The outcome of a code
        from the admission queue is always ``not_run``.
    :param retry_at: address of an agent that may have room, or empty.
    """

    request_id: str
    code: str
    retry_at: str = ""


@attrs.frozen
class Answer:
    """An answer of the backend server to a request.

    :param status: HTTP status.
    :param headers: pairs of name and value.
    :param body: bytes.
    """

    status: int
    headers: tuple
    body: bytes


@attrs.frozen
class Granted:
    """The request has been granted its idempotency key and may run."""

    request_id: str


@attrs.frozen
class Denied:
    """The request was denied its idempotency key and does not run.

    :param code: a key of ``refusal.refusals_by_code``.
    """

    request_id: str
    code: str


@attrs.frozen
class Replay:
    """Answer the request with the stored answer for its key.

    :param answer: an :class:`Answer`.
    """

    request_id: str
    answer: object


@attrs.frozen
class Wait:
    """The request waits; a later action with its id decides on it."""

    request_id: str


@attrs.frozen
class ReadRoster:
    """Read the roster from the store, because a member has a newer one.

    :param epoch: the epoch that the member named.
    """

    epoch: int


@attrs.frozen
class RosterAdopted:
    """A roster was adopted that another member sent.

    :param roster: a :class:`limpetlift.coordination.roster.Roster`.
    """

    roster: object
