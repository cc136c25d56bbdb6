"""Decoding of the operator's configuration and of backend server reports."""

import json

from limpetlift import exceptions
from limpetlift.protocol import segment as segments
from limpetlift.state import reports
from limpetlift.state import routing

# Prefix of all keys that the operators write.
OPERATOR_PREFIX = "op/"
CONFIG_KEY = OPERATOR_PREFIX + "config"
# Followed by the name of a data centre.
EVACUATIONS_PREFIX = OPERATOR_PREFIX + "evacuate/"

_STATE_BY_NAME = {"ready": reports.READY, "draining": reports.DRAINING}


# Larger values of the optional fields are mistakes: no caller waits for a day,
# and no server takes a million requests per second.
_MAX_TIMEOUT_MS = 86_400_000
_LOWEST_PRIORITY = 255
_MAX_WARMUP_S = 86_400
_MAX_WARMUP_PER_S = 1_000_000
# Of an invalid value in a log line.
_MAX_PROBLEM_TEXT = 40

# Errors of ``json.loads`` and of the checks of decoded values.
_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def decode_routes(value):
    """Return the :class:`~limpetlift.state.routing.RouteTable` of a document.

    :param value: the operator's configuration, as JSON bytes.
    :raises MalformedMessage: when it cannot be decoded, or a field is missing
        or has another type.
    """
    try:
        document = json.loads(value)
        problems = []
        routes = [_route(fields, problems) for fields in document["routes"]]
        idle_timeout_ms = _number(document["limits"], "idle_timeout_ms")
        return routing.RouteTable(
            _typed_field(document, "version", int),
            {route.address: route for route in routes},
            idle_timeout_ms / 1000,
            _decode_paces(document.get("services", []), problems),
            tuple(problems),
        )
    except _ERRORS as error:
        raise exceptions.MalformedMessage(
            "cannot decode the operator's configuration: %r" % error
        ) from None


def _route(fields, problems):
    """Return the route; add its invalid optional fields to ``problems``."""
    # The host is the IP address that callers send to, and the prefix is the
    # port between slashes, such as "/443/".
    address = (
        _typed_field(fields, "host", str),
        int(fields["prefix"].strip("/")),
    )
    segments.check_address(*address)
    # A route to a single service names it instead of listing its backends.
    backends = fields.get("backends") or [
        {"service": fields["service"], "weight": 1}
    ]
    weighted_services = tuple(
        routing.WeightedService(
            _typed_field(backend, "service", str), _number(backend, "weight")
        )
        for backend in backends
    )
    name = _typed_field(fields, "name", str)

    def optional(field, attribute, highest, kind=(int, float)):
        subject = (routing.ROUTE, name, attribute)
        return _optional(fields, field, subject, highest, kind, problems)

    kind = fields.get("type", "")
    if not isinstance(kind, str) or kind not in routing.KINDS | {""}:
        problems.append(
            routing.InvalidField(routing.ROUTE, name, "kind", repr(kind))
        )
        kind = ""
    return routing.Route(
        name,
        address,
        weighted_services,
        _number(fields, "aim_ms", 0) / 1000,
        kind,
        optional("timeout_ms", "timeout_s", _MAX_TIMEOUT_MS) / 1000,
        int(optional("priority", "priority", _LOWEST_PRIORITY, int)),
    )


def _decode_paces(services, problems):
    """Return the :class:`routing.ServicePace` by the name of the service.

    Invalid fields are added to ``problems``.
    """
    paces_by_service = {}
    for fields in services:
        name = _typed_field(fields, "name", str)
        paces_by_service[name] = routing.ServicePace(
            *(
                _optional(
                    fields,
                    field,
                    (routing.SERVICE, name, field),
                    highest,
                    (int, float),
                    problems,
                )
                for field, highest in (
                    ("warmup_s", _MAX_WARMUP_S),
                    ("warmup_per_s", _MAX_WARMUP_PER_S),
                )
            )
        )
    return paces_by_service


def _optional(fields, field, subject, highest, kind, problems):
    """Return a number that may be missing, or 0 when it is invalid.

    An invalid one is added to ``problems`` instead of rejecting the whole
    configuration.

    :param subject: the first three fields of
        :class:`routing.InvalidField`.
    """
    try:
        value = _number(fields, field, 0, kind)
        if value <= highest:
            return value
    except (ValueError, OverflowError):
        pass
    text = repr(fields[field])[:_MAX_PROBLEM_TEXT]
    problems.append(routing.InvalidField(*subject, text))
    return 0.0


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
            int(_number(fields, "max_concurrency", kind=int)),
            _number(fields, "warmup_left_ms", 0, int) / 1000,
            _typed_field(fields, "address", str, ""),
        )
    except _ERRORS as error:
        raise exceptions.MalformedMessage(
            "cannot decode the report of a backend server: %r" % error
        ) from None


def decode_leave(body):
    """Return the start time in the notice of a server that it leaves.

    :param body: body of the HTTP request, as JSON bytes; may be empty.
    :returns: Unix milliseconds, or 0 when the notice does not contain it.
    :raises MalformedMessage: when the body is neither empty nor a JSON object,
        or the field has another type.
    """
    if not body:
        return 0
    try:
        return _typed_field(json.loads(body), "born", int, 0)
    except _ERRORS as error:
        raise exceptions.MalformedMessage(
            "cannot decode the notice of a backend server: %r" % error
        ) from None


def _typed_field(fields, name, kind, default=None):
    value = fields.get(name, default)
    # bool is a subclass of int.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ValueError("field %s has the invalid value %r" % (name, value))
    return value


def _number(fields, name, default=None, kind=(int, float)):
    """Return a finite number that is not negative, as a float."""
    value = float(_typed_field(fields, name, kind, default))
    if not 0 <= value < float("inf"):
        raise ValueError("field %s has the invalid value %r" % (name, value))
    return value
