"""The record of one process that membership distributes."""

import sys

import attrs

from limpetlift import exceptions
from limpetlift.protocol import messages

BALANCER = "balancer"
AGENT = "agent"

JOINING = "joining"
ACTIVE = "active"
DRAINING = "draining"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"

LIVE_STATES = frozenset((JOINING, ACTIVE, DRAINING))
ENDED_STATES = frozenset((DEAD, LEFT))

# Of two records with equal incarnation and sequence, the one with the higher
# rank wins.
_RANK_BY_STATE = {
    JOINING: 0,
    ACTIVE: 1,
    DRAINING: 2,
    SUSPECT: 3,
    DEAD: 4,
    LEFT: 5,
}


@attrs.frozen
class Member:
    """One version of the record of a member.

    :param agent_id: id of the process, an agent or a balancer.
    :param kind: ``BALANCER`` or ``AGENT``.
    :param address: ``ip:port`` of its node socket (UDP) and of its request
        server (TCP).
    :param incarnation: start time in milliseconds since the epoch.
    :param service: name of the agent's service; empty for a balancer.
    :param data_centre: name of its data centre.
    :param region: name of its region.
    :param sequence: increased by the member with each change of its record.
    :param state: one of the states above.
    :param weight: relative share of new flows and requests; with 0 the member
        gets none.

    .. versionadded:: 0.1
    """

    agent_id: str
    kind: str
    address: str
    incarnation: int
    service: str = ""
    data_centre: str = ""
    region: str = ""
    sequence: int = 0
    state: str = JOINING
    weight: float = 1.0

    @property
    def version(self):
        """Sort key of records of one member; the higher one is newer."""
        return self.incarnation, self.sequence, _RANK_BY_STATE[self.state]

    @property
    def accepts_new_work(self):
        """Whether the member may receive new flows and requests."""
        return self.state == ACTIVE and self.weight > 0

    @property
    def endpoint(self):
        """The address as ``(ip, port)``."""
        ip, _, port = self.address.rpartition(":")
        return ip, int(port)

    def to_message(self):
        """Return the record as a thrift ``Member``."""
        return messages.structs.Member(
            agent_id=self.agent_id,
            kind=self.kind,
            data_centre=self.data_centre,
            region=self.region,
            address=self.address,
            service_name=self.service,
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=self.state,
            weight=self.weight,
        )


def from_message(message):
    """Return the :class:`Member` that a thrift ``Member`` describes.

    :raises MalformedMessage: when a field has an invalid value.
    """
    if message.state not in _RANK_BY_STATE:
        raise exceptions.MalformedMessage(
            "member record has unknown state %.20r" % message.state
        )
    if message.kind not in (BALANCER, AGENT):
        raise exceptions.MalformedMessage(
            "member record has unknown kind %.20r" % message.kind
        )
    if not 0.0 <= message.weight <= 1e6:
        raise exceptions.MalformedMessage(
            "member record has weight %r, not 0 to 1e6" % message.weight
        )
    ip, _, port = message.address.rpartition(":")
    if not ip or not port.isdecimal():
        raise exceptions.MalformedMessage(
            "member record has address %.40r, not ip:port" % message.address
        )
    # Interning halves the memory of a view, because thousands of records
    # contain the same strings.
    return Member(
        agent_id=message.agent_id,
        kind=sys.intern(message.kind),
        data_centre=sys.intern(message.data_centre),
        region=sys.intern(message.region),
        address=message.address,
        service=sys.intern(message.service_name),
        incarnation=message.incarnation,
        sequence=message.sequence,
        state=sys.intern(message.state),
        weight=message.weight,
    )
