"""Prometheus metrics of balancers and agents that forward segments."""

import prometheus_client
from prometheus_client import core
from prometheus_client import utils


class _Snapshot:
    """A collector of the metrics of a process at one point in time.

    :param counts_by_event: number of occurrences of each event.
    :param gauges_by_name: current values.
    :param durations_by_name: :class:`limpetlift.tallies.Durations` objects.
    :param lines_dropped: number of log lines that were not written.
    """

    def __init__(
        self,
        counts_by_event,
        gauges_by_name,
        durations_by_name,
        lines_dropped,
    ):
        self._counts_by_event = counts_by_event
        self._gauges_by_name = gauges_by_name
        self._durations_by_name = durations_by_name
        self._lines_dropped = lines_dropped

    def collect(self):
        """Yield the metric families, as a collector of prometheus_client."""
        decisions = core.CounterMetricFamily(
            "limpetlift_decisions",
            "Decisions and changed beliefs, by event.",
            labels=("event",),
        )
        for event, count in sorted(self._counts_by_event.items()):
            decisions.add_metric((event,), count)
        yield decisions
        yield core.CounterMetricFamily(
            "limpetlift_log_lines_dropped",
            "Log lines that were not written.",
            value=self._lines_dropped,
        )
        for name, value in sorted(self._gauges_by_name.items()):
            yield core.GaugeMetricFamily(
                "limpetlift_" + name, "Current value.", value=value
            )
        for name, durations in sorted(self._durations_by_name.items()):
            yield core.HistogramMetricFamily(
                "limpetlift_%s_seconds" % name,
                "Durations in seconds.",
                buckets=[
                    (utils.floatToGoString(bound), count)
                    for bound, count in durations.buckets()
                ],
                sum_value=durations.total_s,
            )


def exposition(
    counts_by_event, gauges_by_name, durations_by_name, lines_dropped
):
    """Return the metrics in the Prometheus text format, as bytes."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(
        _Snapshot(
            counts_by_event, gauges_by_name, durations_by_name, lines_dropped
        )
    )
    return prometheus_client.generate_latest(registry)
