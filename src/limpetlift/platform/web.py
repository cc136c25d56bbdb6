"""The platform's HTTP calls to balancers and agents."""

import json
import re

from limpetlift import exceptions
from limpetlift.platform import documents
from limpetlift.transport import http1

_READY_PATH = "/-/ready"
_METRICS_PATH = "/metrics"
_REPORT = re.compile(r"/-/instances/([^/]{1,200})/(heartbeat|leave)")


def serve(reactor, address, process):
    """Serve the calls on one address; return the server.

    :param address: ``(ip, port)``.
    :param process: has ``is_ready()`` and ``metrics()``, and an agent also
        ``on_report(report)`` and ``on_leave(server_id)``.
    """

    def handle(method, target, body):
        path = target.partition("?")[0]
        if method == "GET" and path == _READY_PATH:
            return http1.Response(200 if process.is_ready() else 503)
        if method == "GET" and path == _METRICS_PATH:
            return http1.Response(
                200, process.metrics(), "text/plain; version=0.0.4"
            )
        match = _REPORT.fullmatch(path)
        if method == "POST" and match and hasattr(process, "on_leave"):
            return _report(process, match[1], match[2], body)
        return _refusal(404, "no such call")

    return http1.Server(reactor, address, handle)


def _report(process, server_id, call, body):
    try:
        if call == "leave":
            process.on_leave(server_id)
        else:
            process.on_report(documents.decode_report(server_id, body))
    except exceptions.ProtocolError as error:
        return _refusal(400, str(error))
    return http1.Response(200)


def _refusal(status, error):
    return http1.Response(status, json.dumps({"error": error}).encode("utf-8"))
