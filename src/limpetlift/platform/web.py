"""The platform's HTTP calls to balancers and agents."""

import json
import re

from tornado import httpserver
from tornado import httputil

from limpetlift import exceptions
from limpetlift.platform import documents

_READY_PATH = "/-/ready"
_METRICS_PATH = "/metrics"
_REPORT = re.compile(r"/-/instances/([^/]{1,200})/(heartbeat|leave)")
_MAX_BODY_BYTES = 64 * 1024


class Server:
    """Serves the calls on one address.

    :param address: ``(ip, port)``.
    :param process: has ``is_ready()``, and an agent also
        ``on_report(report)`` and ``on_leave(server_id)``.

    .. versionadded:: 0.2
    """

    def __init__(self, address, process):
        self._process = process
        self._server = httpserver.HTTPServer(
            self._answer,
            max_body_size=_MAX_BODY_BYTES,
            idle_connection_timeout=30,
        )
        self._server.listen(address[1], address[0])

    def close(self):
        """Stop accepting connections."""
        self._server.stop()

    def _answer(self, request):
        status, body, kind = self._dispatch(request)
        headers = httputil.HTTPHeaders(
            {"Content-Type": kind, "Content-Length": str(len(body))}
        )
        request.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, ""), headers, body
        )
        request.connection.finish()

    def _dispatch(self, request):
        if request.method == "GET" and request.path == _READY_PATH:
            return _json(200 if self._process.is_ready() else 503, {})
        if request.method == "GET" and request.path == _METRICS_PATH:
            return 200, self._process.metrics(), "text/plain; version=0.0.4"
        match = _REPORT.fullmatch(request.path)
        if request.method == "POST" and match:
            return self._report(match[1], match[2], request.body)
        return _json(404, {"error": "no such call"})

    def _report(self, server_id, call, body):
        on_leave = getattr(self._process, "on_leave", None)
        if on_leave is None:
            return _json(404, {"error": "no backend server here"})
        try:
            if call == "leave":
                on_leave(server_id)
            else:
                self._process.on_report(
                    documents.decode_report(server_id, body)
                )
        except exceptions.ProtocolError as error:
            return _json(400, {"error": str(error)})
        return _json(200, {})


def _json(status, fields):
    return status, json.dumps(fields).encode("utf-8"), "application/json"
