"""Actions that decision modules return and tasks carry out."""

import attrs

from limpetlift.coordination import actions

Send = actions.Send


@attrs.frozen
class Deliver:
    """Hand the payload of a packet to the backend server.

    :param key: flow key.
    :param packet: a :class:`limpetlift.protocol.packet.Packet`.
    """

    key: bytes
    packet: object


@attrs.frozen
class Forward:
    """Pass a packet on to another agent, one hop further.

    :param agent_id: id of the receiver.
    :param incarnation: incarnation that must own the flow, or 0 for any.
    :param is_assigned: value of the packet's ``is_assigned`` flag.
    """

    agent_id: str
    incarnation: int
    packet: object
    is_assigned: bool = False


@attrs.frozen
class Drop:
    """Drop a packet and count the reason."""

    reason: str


@attrs.frozen
class Close:
    """Release what the task holds for a flow that has ended.

    :param key: flow key.
    :param reason: for the counter of ended flows.
    """

    key: bytes
    reason: str


@attrs.frozen
class Reset:
    """Tell the caller of ``packet`` that its flow has ended."""

    packet: object


@attrs.frozen
class Announce:
    """Publish a new version of this process's own record.

    :param member: a :class:`limpetlift.coordination.member.Member`.
    """

    member: object


@attrs.frozen
class Admit:
    """Run a request now; it holds a slot until it finishes.

    :param request_id: id of the request.
    """

    request_id: str


@attrs.frozen
class Refused:
    """Answer a request that was never admitted with a refusal.

    :param request_id: id of the request.
    :param code: a key of ``refusal.refusals_by_code`` that says ``not_run``.
    :param retry_at: address of an agent that may have room, or empty.
    """

    request_id: str
    code: str
    retry_at: str = ""


@attrs.frozen
class Answer:
    """A stored answer of the backend server.

    :param headers: pairs of name and value.
    :param body: bytes.
    """

    status: int
    headers: tuple
    body: bytes


@attrs.frozen
class Granted:
    """The request holds its key and may run."""

    request_id: str


@attrs.frozen
class Denied:
    """The request does not run.

    :param code: a key of ``refusal.refusals_by_code``.
    """

    request_id: str
    code: str


@attrs.frozen
class Replay:
    """Answer the request with the stored answer of its key.

    :param answer: an :class:`Answer`.
    """

    request_id: str
    answer: object


@attrs.frozen
class Wait:
    """The request waits for a later action with its id."""

    request_id: str


@attrs.frozen
class ReadRoster:
    """Read the roster from the store: a member has a newer one.

    :param epoch: an epoch that exists.
    """

    epoch: int


@attrs.frozen
class RosterAdopted:
    """The roster came from another member, not from the store.

    :param roster: a :class:`limpetlift.coordination.roster.Roster`.
    """

    roster: object
