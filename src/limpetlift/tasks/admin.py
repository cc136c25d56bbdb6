"""Administration API of a process, over HTTP."""

import hmac
import json

from tornado import httpserver
from tornado import web

from limpetlift import logs
from limpetlift import metrics

LOG = logs.EventLogger("admin")


class AdminServer:
    """HTTP server for health, readiness, status, drain and metrics.

    :param settings: the :class:`limpetlift.state.settings.Admin`.
    :param process: the :class:`limpetlift.tasks.process.Process`.

    .. versionadded:: 0.1
    """

    def __init__(self, settings, process):
        arguments = {"token": settings.token, "process": process}
        application = web.Application(
            [
                (r"/healthz", HealthHandler, arguments),
                (r"/readyz", ReadyHandler, arguments),
                (r"/status", StatusHandler, arguments),
                (r"/drain", DrainHandler, arguments),
                (r"/metrics", MetricsHandler, arguments),
            ],
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)
        self._server.listen(settings.port, settings.ip)

    def close(self):
        """Stop accepting connections."""
        self._server.stop()


class AdminHandler(web.RequestHandler):
    """Base class of the handlers.

    It checks the token if the settings have one and the path requires it.
    """

    needs_token = True

    def initialize(self, token, process):
        """Store the arguments of the route.

        :param token: token that requests must carry; empty for none.
        :param process: the :class:`limpetlift.tasks.process.Process`.
        """
        self._token = token
        self.process = process

    def prepare(self):
        """Reject a request without the token with status 401."""
        received = self.request.headers.get("Authorization", "")
        expected = "Bearer " + self._token
        required = self._token and self.needs_token
        if required and not hmac.compare_digest(
            received.encode("utf-8"), expected.encode("utf-8")
        ):
            self.send_error(401)

    def write_json(self, value, status=200):
        """Finish the response with ``value`` as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value, indent=2, sort_keys=True) + "\n")

    def write_error(self, status_code, **kwargs):
        """Finish the response with an error as JSON."""
        self.write_json({"error": self._reason}, status_code)


class HealthHandler(AdminHandler):
    """``GET /healthz``: whether the process runs."""

    needs_token = False

    def get(self):
        """Respond with status 200."""
        self.write_json({"status": "ok"})


class ReadyHandler(AdminHandler):
    """``GET /readyz``: whether the process accepts traffic."""

    # The network fabric checks readiness and has no token.
    needs_token = False

    def get(self):
        """Respond with status 200 if the process is ready, else 503."""
        ready = self.process.ready
        self.write_json({"ready": ready}, 200 if ready else 503)


class StatusHandler(AdminHandler):
    """``GET /status``: the state of the process."""

    def get(self):
        """Respond with the state as JSON."""
        self.write_json(self.process.status())


class DrainHandler(AdminHandler):
    """``POST /drain``: accept no new work."""

    def post(self):
        """Start draining the process and respond with status 202."""
        LOG.info("drain_requested", remote=self.request.remote_ip)
        self.process.drain()
        self.write_json({"draining": True}, 202)


class MetricsHandler(AdminHandler):
    """``GET /metrics``: the metrics in the Prometheus text format."""

    def get(self):
        """Respond with the metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(metrics.exposition())
