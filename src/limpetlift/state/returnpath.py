"""Choice of the balancer through which an agent sends a flow's answers."""

import attrs

from limpetlift import defaults


@attrs.define
class ReturnPath:
    """Records when each balancer last forwarded a packet.

    A caller may send nothing for hours while its backend server keeps
    sending, and the balancer that forwarded the caller's last packet may have
    failed meanwhile. Every balancer can send an answer to any caller, and a
    balancer that works forwards packets of some flow all the time.

    .. versionadded:: 0.1
    """

    _active_at_by_balancer: dict = attrs.field(factory=dict)

    def on_packet(self, now, balancer):
        """Record that a balancer forwarded a packet.

        :param balancer: ``(ip, port)`` of the balancer.
        """
        self._active_at_by_balancer[balancer] = now

    def choose(self, now, balancer):
        """Return the balancer to send an answer through.

        :param balancer: the one that forwarded the flow's last packet. It is
            returned unless it has been silent for BALANCER_SILENT_AFTER_S
            and another one has not.
        """
        silent_before = now - defaults.BALANCER_SILENT_AFTER_S
        if (
            self._active_at_by_balancer.get(balancer, silent_before)
            > silent_before
        ):
            return balancer
        latest = max(
            self._active_at_by_balancer,
            key=self._active_at_by_balancer.get,
            default=balancer,
        )
        if (
            self._active_at_by_balancer.get(latest, silent_before)
            <= silent_before
        ):
            return balancer
        return latest

    def tick(self, now):
        """Forget balancers that were silent for BALANCER_RETENTION_S."""
        silent_before = now - defaults.BALANCER_RETENTION_S
        self._active_at_by_balancer = {
            balancer: active_at
            for balancer, active_at in self._active_at_by_balancer.items()
            if active_at > silent_before
        }
