"""Routes from the addresses that callers send to, to services."""

import attrs

from limpetlift.protocol import hashing
from limpetlift import structs


@structs.frozen
class WeightedService:
    """A service and its share of a route's new flows.

    :param service: name of the service.
    :param weight: relative share, 0 or more.
    """

    service: str
    weight: float


@structs.frozen
class Route:
    """The services that take the new flows to one address.

    :param name: name of the route, for logs.
    :param address: ``(ip, port)`` that callers send to.
    :param weighted_services: tuple of at least one :class:`WeightedService`.
    :param aim_s: target response time of requests; 0 for no target.
    """

    name: str
    address: tuple
    weighted_services: tuple
    aim_s: float = 0.0

    def services_for(self, draw):
        """Return the names of the services in the order to try them.

        The first one is selected by ``draw`` in proportion to the weights.
        The others with a weight above 0 follow in the route's order.

        :param draw: number from 0.0 to below 1.0; every process selects the
            same service for the same draw.
        """
        total_weight = sum(
            weighted.weight for weighted in self.weighted_services
        )
        remaining = draw * total_weight
        names = [
            weighted.service
            for weighted in self.weighted_services
            if weighted.weight > 0
        ]
        # Rounding may leave a draw over.
        chosen = names[-1] if names else self.weighted_services[0].service
        for weighted in self.weighted_services:
            if remaining < weighted.weight:
                chosen = weighted.service
                break
            remaining -= weighted.weight
        return [chosen] + [name for name in names if name != chosen]

    def leads_to(self, service_id):
        """Whether new flows may go to the service with an id.

        :param service_id: as of
            :func:`~limpetlift.protocol.hashing.service_id`.
        """
        return service_id in map(hashing.service_id, self.services_for(0.0))


@structs.frozen
class RouteTable:
    """All routes of one version of the configuration.

    :param version: version of the configuration, which increases with each
        change; 0 before the first one is known.
    :param routes_by_address: :class:`Route` by ``(ip, port)``.
    :param idle_timeout_s: flows without packets for this long may be
        forgotten.

    .. versionadded:: 0.2
    """

    version: int = 0
    routes_by_address: dict = attrs.field(factory=dict)
    idle_timeout_s: float = 60.0
