"""What operators and backend servers say, decoded."""

import json

from limpetlift import exceptions
from limpetlift.state import reports
from limpetlift.state import routing

CONFIG_KEY = "op/config"

_STATE_BY_WORD = {"ready": reports.READY, "draining": reports.DRAINING}


def decode_routes(value):
    """Return the :class:`~limpetlift.state.routing.RouteTable` of a document.

    :param value: bytes of the operator's configuration.
    :raises MalformedMessage: when it is none.
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
            "unreadable configuration: %r" % error
        ) from None


def _route(fields):
    # A host is the address that callers send to; a prefix is its port
    # between slashes.
    address = (fields["host"], int(fields["prefix"].strip("/")))
    # With one service the route names it directly.
    split = fields.get("backends") or [
        {"service": fields["service"], "weight": 1}
    ]
    weighted_services = tuple(
        routing.WeightedService(part["service"], float(part["weight"]))
        for part in split
    )
    return routing.Route(
        fields["name"],
        address,
        weighted_services,
        fields.get("aim_ms", 0) / 1000,
    )


def decode_report(server_id, body):
    """Return the :class:`~limpetlift.state.reports.Report` of a server.

    :param server_id: the id that the call names.
    :param body: bytes of the call.
    :raises MalformedMessage: when a field is missing or of another type.
    """
    try:
        fields = json.loads(body)
        if not isinstance(fields, dict):
            raise ValueError("not an object")
        return reports.Report(
            server_id,
            _typed(fields, "service", str),
            _typed(fields, "born", int, 0),
            _typed(fields, "sequence", int),
            _STATE_BY_WORD[_typed(fields, "state", str)],
            _typed(fields, "max_concurrency", int),
            _typed(fields, "warmup_left_ms", int, 0) / 1000,
        )
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.MalformedMessage(
            "unreadable report: %r" % error
        ) from None


def _typed(fields, name, kind, default=None):
    value = fields.get(name, default)
    # In Python, true and false are integers as well.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ValueError("%s is %r" % (name, value))
    return value
