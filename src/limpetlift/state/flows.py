"""Flow ownership at an agent."""

import attrs

from limpetlift.protocol import packet as packets
from limpetlift.state import actions


@attrs.define
class FlowTable:
    """Accepts every flow that reaches this agent.

    :param agent_id: id of this agent.
    :param service: name of its service.
    """

    agent_id: str
    service: str
    last_seen_by_key: dict = attrs.field(factory=dict)
    _service_id: bytes = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._service_id = packets.service_id(self.service)

    @property
    def flow_count(self):
        """Number of open flows."""
        return len(self.last_seen_by_key)

    def on_packet(self, now, packet):
        """Decide on a packet from a balancer or another agent."""
        if packet.service_id != self._service_id:
            return [actions.Drop("other_service")]
        self.last_seen_by_key[packet.key] = now
        return [actions.Deliver(packet.key, packet)]

    def on_closed(self, now, key, reason):
        """The backend server closed the flow."""
        self.last_seen_by_key.pop(key, None)
        return [actions.Close(key, reason)]

    def on_members(self, now, members):
        """The members of the service changed."""
        return []

    def on_message(self, now, sender_id, message):
        """Decide on a control message of another agent."""
        return []

    def tick(self, now):
        """Run the timers."""
        return []
