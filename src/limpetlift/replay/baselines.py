"""Baseline policies that a replay compares the decision modules with."""

import attrs

from limpetlift.coordination import member as members
from limpetlift.protocol import hashing
from limpetlift import registry
from limpetlift.state import actions
from limpetlift.state import flows

flow_tables_by_policy = {}

registry.register(flow_tables_by_policy, "redirects")(flows.FlowTable)


@registry.register(flow_tables_by_policy, "none")
@attrs.define
class UncheckedFlowTable:
    """A flow table that delivers every packet of its service.

    It has no flow ownership: balancers choose the agent of each packet by
    consistent hashing, so a flow moves when their tables change. It has the
    methods of :class:`limpetlift.state.flows.FlowTable`.

    :param member: the :class:`limpetlift.coordination.member.Member` of the
        agent.
    :param limits: a :class:`limpetlift.state.flows.FlowLimits`; not used.
    """

    member: object
    limits: object
    _service_id: bytes = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._service_id = hashing.service_id(self.member.service)

    def join(self, now):
        """Announce the agent as active at once."""
        return self._announce(state=members.ACTIVE)

    def drain(self, now):
        """Announce the agent as draining at once."""
        return self._announce(state=members.DRAINING)

    def set_weight(self, now, weight):
        """Announce a new weight at once."""
        return self._announce(weight=weight)

    def _announce(self, **changes):
        self.member = attrs.evolve(
            self.member, sequence=self.member.sequence + 1, **changes
        )
        return [actions.Announce(self.member)]

    def on_packet(self, now, packet):
        """Deliver a packet of the service, drop any other."""
        if packet.service_id != self._service_id:
            return [actions.Drop("other_service")]
        return [actions.Deliver(packet.key, packet)]

    def on_members(self, now, records):
        """Ignore changes of the members of the service."""
        return []

    def on_message(self, now, sender_id, message):
        """Ignore control messages."""
        return []

    def tick(self, now):
        """Return no actions, because the table has no timers."""
        return []
