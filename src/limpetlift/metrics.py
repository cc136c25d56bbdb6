"""Prometheus metrics of a process."""

import prometheus_client
import prometheus_client.core

# Do not export a creation time for each series; nothing uses it.
prometheus_client.disable_created_metrics()

REGISTRY = prometheus_client.CollectorRegistry()


def _counter(name, text, labels=()):
    return prometheus_client.Counter(
        "limpetlift_" + name, text, labels, registry=REGISTRY
    )


def _gauge(name, text, labels=()):
    return prometheus_client.Gauge(
        "limpetlift_" + name, text, labels, registry=REGISTRY
    )


def _histogram(name, text, labels=(), buckets=()):
    return prometheus_client.Histogram(
        "limpetlift_" + name,
        text,
        labels,
        registry=REGISTRY,
        buckets=buckets or prometheus_client.Histogram.DEFAULT_BUCKETS,
    )


class PacketCount:
    """A packet count that only one thread increments."""

    __slots__ = ("count",)

    def __init__(self):
        self.count = 0


class _PacketCounter:
    """A counter of packets by direction that needs no lock.

    The counters of prometheus_client take a lock and look up the label on
    each increment, which costs as much as receiving the datagram. Only the
    thread of the event loop counts packets.
    """

    def __init__(self, name, text, directions):
        self._name = "limpetlift_" + name
        self._text = text
        self.by_direction = {name: PacketCount() for name in directions}
        REGISTRY.register(self)

    def collect(self):
        """Yield the metric family, as a collector of prometheus_client."""
        family = prometheus_client.core.CounterMetricFamily(
            self._name, self._text, labels=("direction",)
        )
        for direction, packets in self.by_direction.items():
            family.add_metric((direction,), packets.count)
        yield family


PACKETS = _PacketCounter(
    "packets", "Packets forwarded.", ("to_agent", "to_caller")
)
PACKETS_DROPPED = _counter(
    "packets_dropped", "Packets dropped, by reason.", ("reason",)
)
FLOWS_OPENED = _counter("flows_opened", "Flows accepted by this agent.")
FLOWS_ENDED = _counter("flows_ended", "Flows ended, by reason.", ("reason",))
FLOWS = _gauge("flows", "Flows open at this agent.")
REDIRECTS = _gauge("redirects", "Redirect entries held by this agent.")
REQUESTS = _counter("requests", "Requests answered.", ("service",))
REQUESTS_CANCELLED = _counter(
    "requests_cancelled", "Requests whose caller closed the connection."
)
REFUSALS = _counter("refusals", "Requests refused, by code.", ("code",))
RETRIES = _counter("retries", "Requests sent again, by reason.", ("reason",))
SLOTS_BUSY = _gauge("slots_busy", "Slots in use at this agent.")
REQUESTS_QUEUED = _gauge("requests_queued", "Requests waiting at this agent.")
QUEUE_SECONDS = _histogram("queue_seconds", "Time spent in the queue.")
CONTROL_BYTES = _counter(
    "control_bytes", "Bytes of control messages.", ("direction",)
)
CONTROL_REJECTED = _counter(
    "control_rejected", "Control messages rejected, by code.", ("code",)
)
CONFIG_REVISION = _gauge("config_revision", "Configuration in force.")
VIEW_SIZE = _gauge("view_size", "Members known, by state.", ("state",))
STORE_CALLS = _counter(
    "store_calls",
    "Calls on the store, by call and result.",
    ("call", "result"),
)


def exposition():
    """Return all metrics in the Prometheus text format, as bytes."""
    return prometheus_client.generate_latest(REGISTRY)
