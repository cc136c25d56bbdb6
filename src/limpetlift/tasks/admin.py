"""Administration HTTP API of a process."""

import hmac
import json

from tornado import httpserver
from tornado import web

from limpetlift import logs
from limpetlift import metrics

LOG = logs.EventLogger("admin")


class AdminServer:
    """Serves health, readiness, status, drain and metrics.

    :param settings: the :class:`limpetlift.state.settings.Admin`.
    :param process: a balancer or an agent, with ``ready``, ``status()`` and
        ``drain()``.

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
    """Checks the token, where one is set and the path needs it."""

    needs_token = True

    def initialize(self, token, process):
        """Take the token and the process."""
        self._token = token
        self.process = process

    def prepare(self):
        """Answer 401 without the right token."""
        given = self.request.headers.get("Authorization", "")
        wanted = "Bearer " + self._token
        required = self._token and self.needs_token
        if required and not hmac.compare_digest(
            given.encode("utf-8"), wanted.encode("utf-8")
        ):
            self.send_error(401)

    def write_json(self, value, status=200):
        """Send ``value`` as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value, indent=2, sort_keys=True) + "\n")

    def write_error(self, status_code, **kwargs):
        """Send an error as JSON."""
        self.write_json({"error": self._reason}, status_code)


class HealthHandler(AdminHandler):
    """``GET /healthz``: the process runs."""

    needs_token = False

    def get(self):
        """Answer 200."""
        self.write_json({"status": "ok"})


class ReadyHandler(AdminHandler):
    """``GET /readyz``: the process takes traffic."""

    # A fabric that checks readiness holds no token.
    needs_token = False

    def get(self):
        """Answer 200 when ready, else 503."""
        ready = self.process.ready
        self.write_json({"ready": ready}, 200 if ready else 503)


class StatusHandler(AdminHandler):
    """``GET /status``: the state of the process."""

    def get(self):
        """Answer the state as JSON."""
        self.write_json(self.process.status())


class DrainHandler(AdminHandler):
    """``POST /drain``: take no new work."""

    def post(self):
        """Start the drain; answer 202."""
        LOG.info("drain_requested", remote=self.request.remote_ip)
        self.process.drain()
        self.write_json({"draining": True}, 202)


class MetricsHandler(AdminHandler):
    """``GET /metrics`` in the Prometheus text format."""

    def get(self):
        """Answer the metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(metrics.exposition())
