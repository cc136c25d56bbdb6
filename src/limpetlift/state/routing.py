"""Routes: which services may take a new flow to an address."""

import attrs


@attrs.frozen
class WeightedService:
    """A service of a route.

    :param service: name of the service.
    :param weight: relative share of the route's new flows, 0 or more.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where new flows to one address go.

    :param name: for logs.
    :param address: ``(ip, port)`` that callers send to.
    :param weighted_services: the services, at least one :class:`Share`.
    :param aim_s: requests are to be answered within this time.
    """

    name: str
    address: tuple
    weighted_services: tuple
    aim_s: float = 0.0

    def services_for(self, draw):
        """Return the names of the services, the one to be tried first ahead.

        :param draw: from 0.0 to below 1.0; the same draw gives the same
            service in every process.
        """
        total = sum(share.weight for share in self.weighted_services)
        rest = draw * total
        first = 0
        for index, share in enumerate(self.weighted_services):
            if rest < share.weight:
                first = index
                break
            rest -= share.weight
        names = [
            share.service
            for share in self.weighted_services
            if share.weight > 0
        ]
        chosen = self.weighted_services[first].service
        return [chosen] + [name for name in names if name != chosen]


@attrs.frozen
class RouteTable:
    """All routes of one version of the configuration.

    :param version: rises with each change; 0 before the first one.
    :param routes_by_address: :class:`Route` by ``(ip, port)``.
    :param idle_timeout_s: a flow without packets for this long may be
        forgotten.

    .. versionadded:: 0.2
    """

    version: int = 0
    routes_by_address: dict = attrs.field(factory=dict)
    idle_timeout_s: float = 60.0
