"""Load reports of an agent: which balancers receive them, and when."""

import attrs

from limpetlift import defaults
from limpetlift.state import steps


@attrs.define
class _Subscribers:
    """Balancers that receive reports of changes at the same interval.

    :param min_interval_s: shortest time between two reports.
    :param hello_at_by_address: time of the last hello of each balancer.
    :param sent_at: time of the last report.
    :param last_load: the last report, or None.
    """

    min_interval_s: float
    hello_at_by_address: dict = attrs.field(factory=dict)
    sent_at: float = float("-inf")
    last_load: object = None

    def is_due(self, now, load):
        """Whether ``load`` is to be sent now.

        An unchanged load is sent again after ``LOAD_REPORT_MAX_INTERVAL_S``.
        """
        since_s = now - self.sent_at
        if since_s < self.min_interval_s:
            return False
        return (
            since_s >= defaults.LOAD_REPORT_MAX_INTERVAL_S
            or not self._is_unchanged(load)
        )

    def _is_unchanged(self, load):
        last_load = self.last_load
        return last_load is not None and (
            last_load.accepting,
            last_load.is_warming,
            last_load.busy,
        ) == (load.accepting, load.is_warming, load.busy)

    def send(self, now, load):
        """Return the steps that send ``load`` to all subscribers.

        Balancers without a recent hello are removed first.
        """
        self.sent_at = now
        self.last_load = load
        oldest_hello_at = now - defaults.HELLO_MAX_AGE_S
        for address, hello_at in list(self.hello_at_by_address.items()):
            if hello_at < oldest_hello_at:
                del self.hello_at_by_address[address]
        return [
            steps.SendToPeer(address, load)
            for address in self.hello_at_by_address
        ]


@attrs.define
class LoadReporting:
    """Reports an agent's load to the balancers that subscribed with a hello.

    Balancers of the agent's data centre receive changes more often than those
    of other data centres: balancers place most flows in their own data
    centre, and the number of reports to all balancers grows with the product
    of agents and balancers.

    .. versionadded:: 0.2
    """

    _near: _Subscribers = attrs.field(
        factory=lambda: _Subscribers(defaults.LOAD_REPORT_MIN_INTERVAL_S)
    )
    _far: _Subscribers = attrs.field(
        factory=lambda: _Subscribers(defaults.LOAD_REPORT_FAR_MIN_INTERVAL_S)
    )

    def on_hello(self, now, address, is_near):
        """Subscribe a balancer, or renew its subscription.

        :param is_near: whether the balancer is in the agent's data centre.
        :returns: whether the balancer was not subscribed with this
            ``is_near`` before.
        """
        subscribers, others = self._near, self._far
        if not is_near:
            subscribers, others = others, subscribers
        others.hello_at_by_address.pop(address, None)
        is_new = address not in subscribers.hello_at_by_address
        subscribers.hello_at_by_address[address] = now
        return is_new

    def addresses(self):
        """Return the addresses of all subscribed balancers."""
        return [
            *self._near.hello_at_by_address,
            *self._far.hello_at_by_address,
        ]

    def last_hello_at(self, default):
        """Return the time of the last hello, at least ``default``."""
        times = [default]
        times += self._near.hello_at_by_address.values()
        times += self._far.hello_at_by_address.values()
        return max(times)

    def is_due(self, now):
        """Whether the interval of the near balancers has passed."""
        return now - self._near.sent_at >= self._near.min_interval_s

    def on_load(self, now, load):
        """Return the steps that report ``load`` where a report is due."""
        result = []
        for subscribers in (self._near, self._far):
            if subscribers.is_due(now, load):
                result += subscribers.send(now, load)
        return result

    def send_to_all(self, now, load):
        """Return the steps that report ``load`` to all balancers at once."""
        return self._near.send(now, load) + self._far.send(now, load)
