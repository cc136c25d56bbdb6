"""Where a balancer sends the packets of one service."""

import attrs

from limpetlift.coordination import placement
from limpetlift import defaults


@attrs.define
class ServiceTable:
    """Where a balancer sends the packets of one service.

    :param service: a :class:`limpetlift.state.config.Service`.
    :param members: the service's members that take new work.
    """

    service: object
    members: list = attrs.field(factory=list)
    _owner_by_bucket: bytes = b""
    _endpoints: list = attrs.field(factory=list)

    def set_members(self, members):
        """Replace the members; the table is built at the next packet."""
        self.members = [
            member for member in members if member.accepts_new_work
        ]
        self._owner_by_bucket = b""

    def endpoint(self, flow_hash):
        """Return the ``(ip, port)`` of the natural owner, or None."""
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
