"""The record of one process, as membership spreads it."""

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

# With equal incarnation and sequence, the higher rank wins.
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
    """A version of a member's record.

    :param agent_id: id of the process, also of a balancer.
    :param kind: ``BALANCER`` or ``AGENT``.
    :param address: ``ip:port`` of its node socket (UDP) and of its request
        server (TCP).
    :param service: name of the agent's service; empty for a balancer.
    :param incarnation: start time in milliseconds since the epoch.
    :param sequence: grows with each change made by the member itself.
    :param weight: relative share of new work; 0 takes none.

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
        """Key by which the newer of two records wins."""
        return self.incarnation, self.sequence, _RANK_BY_STATE[self.state]

    @property
    def accepts_new_work(self):
        """Whether the member may be given new flows and requests."""
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
    """Return the :class:`Member` of a thrift ``Member``.

    :raises MalformedMessage: when a field has an impossible value.
    """
    if message.state not in _RANK_BY_STATE:
        raise exceptions.MalformedMessage("state %.20r" % message.state)
    if message.kind not in (BALANCER, AGENT):
        raise exceptions.MalformedMessage("kind %.20r" % message.kind)
    if not 0.0 <= message.weight <= 1e6:
        raise exceptions.MalformedMessage("weight %r" % message.weight)
    ip, _, port = message.address.rpartition(":")
    if not ip or not port.isdecimal():
        raise exceptions.MalformedMessage("address %.40r" % message.address)
    # Thousands of records share these strings; interning halves the view.
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
