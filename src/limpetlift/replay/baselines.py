"""Baselines that a replay compares the decisions with."""

import attrs

from limpetlift.coordination import member as members
from limpetlift.protocol import hashing
from limpetlift import registry
from limpetlift.state import actions
from limpetlift.state import flows

tables_by_name = {}

registry.register(tables_by_name, "redirects")(flows.FlowTable)


@registry.register(tables_by_name, "none")
@attrs.define
class AcceptAll:
    """Accepts every flow of its service that reaches it.

    This is plain consistent hashing: a flow follows the balancers' tables.

    :param member: the record of the agent.
    :param limits: a :class:`limpetlift.state.flows.FlowLimits`.
    """

    member: object
    limits: object
    _service_id: bytes = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._service_id = hashing.service_id(self.member.service)

    def join(self, now):
        """Announce the agent at once."""
        return self._announce(state=members.ACTIVE)

    def drain(self, now):
        """Announce the drain at once."""
        return self._announce(state=members.DRAINING)

    def set_weight(self, now, weight):
        """Announce the weight at once."""
        return self._announce(weight=weight)

    def _announce(self, **changes):
        self.member = attrs.evolve(
            self.member, sequence=self.member.sequence + 1, **changes
        )
        return [actions.Announce(self.member)]

    def on_packet(self, now, packet):
        """Deliver every packet of the service."""
        if packet.service_id != self._service_id:
            return [actions.Drop("other_service")]
        return [actions.Deliver(packet.key, packet)]

    def on_members(self, now, records):
        """Ignore the other members."""
        return []

    def on_message(self, now, sender_id, message):
        """Ignore control messages."""
        return []

    def tick(self, now):
        """There are no timers."""
        return []
