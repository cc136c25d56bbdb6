"""Reporting of load: which balancers hear of an agent's load, and when."""

import attrs

from limpetlift import defaults
from limpetlift.state import steps


@attrs.define
class _Audience:
    """Balancers that hear of changes equally often.

    :param interval_s: least time between two reports.
    :param heard_at_by_address: when each of them said hello last.
    :param told_at: time of the last report.
    :param told: that report, or None.
    """

    interval_s: float
    heard_at_by_address: dict = attrs.field(factory=dict)
    told_at: float = float("-inf")
    told: object = None

    def is_due(self, now, load):
        """Whether the report ``load`` is to be sent now."""
        since_s = now - self.told_at
        if since_s < self.interval_s:
            return False
        return (
            since_s >= defaults.LOAD_REPORT_MAX_INTERVAL_S
            or not self._is_told(load)
        )

    def _is_told(self, load):
        told = self.told
        return told is not None and (
            told.accepting,
            told.is_warming,
            told.busy,
        ) == (load.accepting, load.is_warming, load.busy)

    def tell(self, now, load):
        """Return the steps that send ``load``."""
        self.told_at = now
        self.told = load
        horizon = now - defaults.HELLO_MAX_AGE_S
        for address, heard_at in list(self.heard_at_by_address.items()):
            if heard_at < horizon:
                del self.heard_at_by_address[address]
        return [
            steps.SendToPeer(address, load)
            for address in self.heard_at_by_address
        ]


@attrs.define
class LoadReporting:
    """Tells balancers of changes, those of the own data centre more often.

    Balancers place most flows in their own data centre, and reports to all
    of them grow with agents times balancers.

    .. versionadded:: 0.2
    """

    _near: _Audience = attrs.field(
        factory=lambda: _Audience(defaults.LOAD_REPORT_MIN_INTERVAL_S)
    )
    _far: _Audience = attrs.field(
        factory=lambda: _Audience(defaults.LOAD_REPORT_FAR_MIN_INTERVAL_S)
    )

    def on_hello(self, now, address, is_near):
        """Note that a balancer asks for reports; return whether it is new."""
        audience, other = self._near, self._far
        if not is_near:
            audience, other = other, audience
        other.heard_at_by_address.pop(address, None)
        is_new = address not in audience.heard_at_by_address
        audience.heard_at_by_address[address] = now
        return is_new

    def addresses(self):
        """Return the addresses of all balancers that asked lately."""
        return [
            *self._near.heard_at_by_address,
            *self._far.heard_at_by_address,
        ]

    def heard_at(self, default):
        """Return when a balancer asked last, or ``default``."""
        times = [default]
        times += self._near.heard_at_by_address.values()
        times += self._far.heard_at_by_address.values()
        return max(times)

    def is_due(self, now):
        """Whether a change would be reported now."""
        return now - self._near.told_at >= self._near.interval_s

    def on_load(self, now, load):
        """Report ``load`` to those that are to hear of it now."""
        found = []
        for audience in (self._near, self._far):
            if audience.is_due(now, load):
                found += audience.tell(now, load)
        return found

    def tell_all(self, now, load):
        """Report ``load`` to all at once."""
        return self._near.tell(now, load) + self._far.tell(now, load)
