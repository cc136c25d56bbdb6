"""Routes from the addresses that callers send to, to services."""

import attrs

from limpetlift.protocol import hashing
from limpetlift import structs

# Kinds of requests: those that may run more than once, those that may not,
# and those with large bodies in the one or the other direction.
SAFE = "safe"
UNSAFE = "unsafe"
UPLOAD = "upload"
DOWNLOAD = "download"
KINDS = frozenset((SAFE, UNSAFE, UPLOAD, DOWNLOAD))


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
    :param kind: what its requests are; one of :data:`KINDS`, or empty when
        the configuration does not say.
    :param timeout_s: time after which callers give up a request; 0 when the
        configuration does not say.
    :param priority: priority of its requests; 0 is the highest.
    """

    name: str
    address: tuple
    weighted_services: tuple
    aim_s: float = 0.0
    kind: str = ""
    timeout_s: float = 0.0
    priority: int = 0

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
class ServicePace:
    """What a service's backend servers bear right after their start.

    :param warmup_s: seconds for which a server is slow after its start.
    :param warmup_per_s: new requests per second that it bears meanwhile; 0
        when the configuration does not state it.
    """

    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


# What an :class:`InvalidField` belongs to.
ROUTE = "route"
SERVICE = "service"


@structs.frozen
class InvalidField:
    """An optional field of the configuration with an invalid value.

    :param of: :data:`ROUTE` or :data:`SERVICE`.
    :param name: name of the route or service.
    :param field: name of the attribute of :class:`Route` or
        :class:`ServicePace`.
    :param value: the value as text, possibly cut.
    """

    of: str
    name: str
    field: str
    value: str


@structs.frozen
class RouteTable:
    """All routes of one version of the configuration.

    :param version: version of the configuration, which increases with each
        change; 0 before the first one is known.
    :param routes_by_address: :class:`Route` by ``(ip, port)``.
    :param idle_timeout_s: flows without packets for this long may be
        forgotten.
    :param paces_by_service: :class:`ServicePace` by the name of the service.
    :param invalid_fields: tuple of :class:`InvalidField`.

    .. versionadded:: 0.2
    """

    version: int = 0
    routes_by_address: dict = attrs.field(factory=dict)
    idle_timeout_s: float = 60.0
    paces_by_service: dict = attrs.field(factory=dict)
    invalid_fields: tuple = ()

    def with_valid_fields_of(self, former):
        """Return this table with former values in place of invalid ones.

        A route or service that is new keeps the defaults.

        :param former: the table that was in force before.
        """
        if not self.invalid_fields:
            return self
        invalid_by_subject = {}
        for invalid in self.invalid_fields:
            subject = (invalid.of, invalid.name)
            invalid_by_subject.setdefault(subject, []).append(invalid.field)

        def repaired(of, name, current, source):
            fields = invalid_by_subject.get((of, name))
            if not fields or source is None:
                return current
            return attrs.evolve(
                current, **{field: getattr(source, field) for field in fields}
            )

        routes_by_name = {
            route.name: route for route in former.routes_by_address.values()
        }
        return attrs.evolve(
            self,
            routes_by_address={
                address: repaired(
                    ROUTE, route.name, route, routes_by_name.get(route.name)
                )
                for address, route in self.routes_by_address.items()
            },
            paces_by_service={
                name: repaired(
                    SERVICE, name, pace, former.paces_by_service.get(name)
                )
                for name, pace in self.paces_by_service.items()
            },
        )
