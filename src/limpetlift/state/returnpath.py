"""Which balancer an agent sends the answers of a flow through."""

import attrs

from limpetlift import defaults


@attrs.define
class ReturnPath:
    """Remembers which balancers have forwarded packets lately.

    A caller may be silent for hours while its backend server keeps sending,
    so the balancer that forwarded its last packet may be gone. Every balancer
    can send an answer, and a live one forwards packets of some flow all the
    time.

    .. versionadded:: 0.1
    """

    _heard_at_by_balancer: dict = attrs.field(factory=dict)

    def on_packet(self, now, balancer):
        """A balancer, ``(ip, port)``, forwarded a packet."""
        self._heard_at_by_balancer[balancer] = now

    def choose(self, now, balancer):
        """Return the balancer for an answer.

        :param balancer: the one that forwarded the flow's last packet; it is
            kept unless it is silent and another one is not.
        """
        limit = now - defaults.BALANCER_SILENT_AFTER_S
        if self._heard_at_by_balancer.get(balancer, limit) > limit:
            return balancer
        latest = max(
            self._heard_at_by_balancer,
            key=self._heard_at_by_balancer.get,
            default=balancer,
        )
        if self._heard_at_by_balancer.get(latest, limit) <= limit:
            return balancer
        return latest

    def tick(self, now):
        """Forget balancers that have been silent for long."""
        limit = now - defaults.BALANCER_RETENTION_S
        self._heard_at_by_balancer = {
            balancer: heard_at
            for balancer, heard_at in self._heard_at_by_balancer.items()
            if heard_at > limit
        }
