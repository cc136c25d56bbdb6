"""HTTP API of balancers and agents, as the platform calls it."""

import json
import re
import urllib.parse

from limpetlift import exceptions
from limpetlift.platform import documents
from limpetlift.transport import http1

_READY_PATH = "/-/ready"
_METRICS_PATH = "/metrics"
_WHERETO_PATH = "/whereto"
_REPORT_PATH = re.compile(r"/-/instances/([^/]{1,200})/(heartbeat|leave)")


def serve(reactor, address, process):
    """Serve the HTTP API on one address.

    :param reactor: the event loop.
    :param address: ``(ip, port)``.
    :param process: an object with ``is_ready()`` and ``metrics()``; an agent
        also has ``on_report(report)`` and
        ``on_leave(server_id, started_ms)``, and a balancer
        ``explain_placement(flow, copy_number)``.
    :returns: a :class:`~limpetlift.transport.http1.Server`.
    """

    def handle(method, target, body):
        path, _, query = target.partition("?")
        if method == "GET" and path == _READY_PATH:
            return http1.Response(200 if process.is_ready() else 503)
        if method == "GET" and path == _METRICS_PATH:
            return http1.Response(
                200, process.metrics(), "text/plain; version=0.0.4"
            )
        if method == "GET" and path == _WHERETO_PATH:
            if hasattr(process, "explain_placement"):
                return _explain_placement(process, query)
        match = _REPORT_PATH.fullmatch(path)
        if method == "POST" and match and hasattr(process, "on_leave"):
            return _handle_report(process, match[1], match[2], body)
        return _error_response(404, "no such call")

    return http1.Server(reactor, address, handle)


def _handle_report(process, server_id, action, body):
    try:
        if action == "leave":
            process.on_leave(server_id, documents.decode_leave(body))
        else:
            process.on_report(documents.decode_report(server_id, body))
    except exceptions.ProtocolError as error:
        return _error_response(400, str(error))
    return http1.Response(200)


def _explain_placement(process, query):
    fields = dict(urllib.parse.parse_qsl(query))
    try:
        answer = process.explain_placement(
            fields.get("flow", ""), int(fields.get("copy", "0"))
        )
    except (exceptions.StateError, ValueError) as error:
        return _error_response(400, str(error))
    return http1.Response(200, json.dumps(answer).encode("utf-8"))


def _error_response(status, error):
    return http1.Response(status, json.dumps({"error": error}).encode("utf-8"))
