"""Decoding of the operator's configuration and of backend server reports."""

import json

from limpetlift import exceptions
from limpetlift.state import reports
from limpetlift.state import routing

CONFIG_KEY = "op/config"

_STATE_BY_NAME = {"ready": reports.READY, "draining": reports.DRAINING}


def decode_routes(value):
    """Return the :class:`~limpetlift.state.routing.RouteTable` of a document.

    :param value: the operator's configuration, as JSON bytes.
    :raises MalformedMessage: when it cannot be decoded.
    """
    try:
        document = json.loads(value)
        routes = [_route(fields) for fields in document["routes"]]
        return routing.RouteTable(
            document["version"],
            {route.address: route for route in routes},
            document["limits"]["idle_timeout_ms"] / 1000,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise exceptions.MalformedMessage(
            "cannot decode the operator's configuration: %r" % error
        ) from None


def _route(fields):
    # The host is the IP address that callers send to, and the prefix is the
    # port between slashes, such as "/443/".
    address = (fields["host"], int(fields["prefix"].strip("/")))
    # A route to a single service names it instead of listing its backends.
    backends = fields.get("backends") or [
        {"service": fields["service"], "weight": 1}
    ]
    weighted_services = tuple(
        routing.WeightedService(backend["service"], float(backend["weight"]))
        for backend in backends
    )
    return routing.Route(
        fields["name"],
        address,
        weighted_services,
        fields.get("aim_ms", 0) / 1000,
    )


def decode_report(server_id, body):
    """Return the :class:`~limpetlift.state.reports.Report` of a server.

    :param server_id: the id of the server in the path of the HTTP request.
    :param body: body of the HTTP request, as JSON bytes.
    :raises MalformedMessage: when the body is not a JSON object, or a field
        is missing or has another type.
    """
    try:
        fields = json.loads(body)
        if not isinstance(fields, dict):
            raise ValueError("not a JSON object")
        return reports.Report(
            server_id,
            _typed_field(fields, "service", str),
            _typed_field(fields, "born", int, 0),
            _typed_field(fields, "sequence", int),
            _STATE_BY_NAME[_typed_field(fields, "state", str)],
            _typed_field(fields, "max_concurrency", int),
            _typed_field(fields, "warmup_left_ms", int, 0) / 1000,
        )
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.MalformedMessage(
            "cannot decode the report of a backend server: %r" % error
        ) from None


def _typed_field(fields, name, kind, default=None):
    value = fields.get(name, default)
    # bool is a subclass of int.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ValueError("field %s has the invalid value %r" % (name, value))
    return value
