"""A balancer's table of the agents that own the buckets of a service."""

import attrs

from limpetlift.coordination import placement
from limpetlift import defaults


@attrs.define
class ServiceTable:
    """The endpoint to which a balancer sends each packet of one service.

    :param service: a :class:`limpetlift.state.config.Service`.
    :param members: the members of the service that accept new flows.
    """

    service: object
    members: list = attrs.field(factory=list)
    # One byte per bucket, an index of ``_endpoints``; empty until it is built.
    _owner_by_bucket: bytes = b""
    _endpoints: list = attrs.field(factory=list)

    def set_members(self, members):
        """Replace the members; the next packet builds the table."""
        self.members = [
            member for member in members if member.accepts_new_work
        ]
        self._owner_by_bucket = b""

    def endpoint(self, flow_hash):
        """Return the endpoint of the first agent in placement order.

        :returns: ``(ip, port)``, or None when no member accepts new flows.
        """
        if not self._owner_by_bucket:
            if not self.members:
                return None
            self._build()
        bucket = flow_hash % defaults.PLACEMENT_BUCKETS
        return self._endpoints[self._owner_by_bucket[bucket]]

    def _build(self):
        targets = [
            placement.Target(member.agent_id, member.weight)
            for member in self.members
        ]
        self._owner_by_bucket = placement.build_table(targets)
        self._endpoints = [member.endpoint for member in self.members]
