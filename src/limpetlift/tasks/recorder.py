"""Recording of a balancer's traffic as a trace that can be replayed."""

import json
import time

from limpetlift.replay import trace

_FLUSH_INTERVAL_S = 1.0


class Recorder:
    """Writes datagrams and completed requests, one JSON line each.

    :param path: file to write, in an existing folder.
    :param balancer_id: id of the balancer, the name of the trace.
    :raises OSError: when the file cannot be written.

    .. versionadded:: 0.1
    """

    def __init__(self, path, balancer_id):
        self._file = open(path, "w", encoding="utf-8")
        self._trace_name = balancer_id
        self._started_at = None
        self._flush_at = 0.0

    def write_header(self, services, agents, balancer_count):
        """Write the header, once the agents are known.

        Traffic before the header is not recorded. Later calls have no effect.

        :param services: :class:`limpetlift.state.config.Service` objects.
        :param agents: member records of the agents.
        :param balancer_count: number of balancers; at least 1 is written.
        """
        if self._started_at is not None:
            return
        self._started_at = time.monotonic()
        regions_by_data_centre = {
            record.data_centre: record.region for record in agents
        }
        service_names = [record.service for record in agents]
        header = {
            "format": trace.FORMAT,
            "name": self._trace_name,
            "seed": 1,
            "duration_s": 0,
            "balancers": max(balancer_count, 1),
            "data_centres": [
                {"name": name, "region": region}
                for name, region in sorted(regions_by_data_centre.items())
            ],
            "services": [
                {
                    "name": service.name,
                    "targets": service_names.count(service.name),
                    "slots": service.slots,
                    "max_flows": service.max_flows,
                }
                for service in services
            ],
        }
        self._write_line(header)

    def on_datagram(self, service, caller):
        """Record a datagram of a caller.

        :param service: name of the service.
        :param caller: ``(ip, port)``.
        """
        self._write_event("flow", service, caller="%s:%d" % caller)

    def on_response(self, start, admitted_at, deadline):
        """Record a request whose response is complete.

        :param start: thrift ``RequestStart`` of the request.
        :param admitted_at: monotonic time of its admission.
        :param deadline: monotonic time of its deadline.
        """
        run_time_s = time.monotonic() - admitted_at
        self._write_event(
            "request",
            start.service_name,
            work_ms=round(run_time_s * 1000, 3),
            deadline_ms=round((deadline - admitted_at) * 1000, 3),
            key=start.idempotency_key,
            long=start.work_class == "long",
        )

    def _write_event(self, kind, service, **fields):
        if self._started_at is None:
            return
        now = time.monotonic()
        elapsed_s = round(now - self._started_at, 4)
        self._write_line(
            {"at": elapsed_s, "event": kind, "service": service, **fields}
        )
        if now >= self._flush_at:
            self._flush_at = now + _FLUSH_INTERVAL_S
            self._file.flush()

    def _write_line(self, value):
        self._file.write(json.dumps(value) + "\n")

    def close(self):
        """Close the file."""
        self._file.close()
