"""Records the traffic of a balancer as a trace for replays."""

import json
import time

from limpetlift.replay import trace

_FLUSH_S = 1.0


class Recorder:
    """Writes datagrams and answered requests, one JSON line each.

    :param path: file to write; its folder must exist.
    :param balancer_id: name of the trace.
    :raises OSError: when the file cannot be written.

    .. versionadded:: 0.1
    """

    def __init__(self, path, balancer_id):
        self._file = open(path, "w", encoding="utf-8")
        self._name = balancer_id
        self._started_at = None
        self._flush_at = 0.0

    def begin(self, services, agents, balancers):
        """Write the header, once the view is known.

        :param services: :class:`limpetlift.state.config.Service` objects.
        :param agents: member records of the agents.
        :param balancers: number of balancers.
        """
        if self._started_at is not None:
            return
        self._started_at = time.monotonic()
        sites = {record.data_centre: record.region for record in agents}
        targets = [record.service for record in agents]
        header = {
            "format": trace.FORMAT,
            "name": self._name,
            "seed": 1,
            "duration_s": 0,
            "balancers": max(balancers, 1),
            "data_centres": [
                {"name": name, "region": region}
                for name, region in sorted(sites.items())
            ],
            "services": [
                {
                    "name": service.name,
                    "targets": targets.count(service.name),
                    "slots": service.slots,
                    "max_flows": service.max_flows,
                }
                for service in services
            ],
        }
        self._write(header)

    def on_datagram(self, service, caller):
        """A caller sent a datagram.

        :param caller: ``(ip, port)``.
        """
        self._event("flow", service, caller="%s:%d" % caller)

    def on_answer(self, start, admitted_at, deadline):
        """A request was answered.

        :param start: its thrift ``RequestStart``.
        :param admitted_at: monotonic time of its admission.
        :param deadline: monotonic time of its deadline.
        """
        work_s = time.monotonic() - admitted_at
        self._event(
            "request",
            start.service_name,
            work_ms=round(work_s * 1000, 3),
            deadline_ms=round((deadline - admitted_at) * 1000, 3),
            key=start.idempotency_key,
            long=start.work_class == "long",
        )

    def _event(self, kind, service, **fields):
        if self._started_at is None:
            return
        now = time.monotonic()
        at = round(now - self._started_at, 4)
        self._write({"at": at, "event": kind, "service": service, **fields})
        if now >= self._flush_at:
            self._flush_at = now + _FLUSH_S
            self._file.flush()

    def _write(self, value):
        self._file.write(json.dumps(value) + "\n")

    def close(self):
        """Close the file."""
        self._file.close()
