"""Histograms of durations that do not depend on a metrics library.

Importing prometheus_client takes 0.1 s of processor time, which would delay
callers after each start; it is imported when the metrics are first read.
"""

import bisect

# Upper bounds of the buckets, from the one-way delay of a segment within a
# data centre to the longest time that a caller waits.
BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Durations:
    """A histogram of durations in seconds."""

    __slots__ = ("_counts", "total_s")

    def __init__(self):
        self._counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds):
        """Add a duration to the histogram."""
        self._counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds

    def buckets(self):
        """Yield ``(upper bound, number of durations up to it)``."""
        total = 0
        for bound_s, count in zip((*BOUNDS_S, float("inf")), self._counts):
            total += count
            yield bound_s, total
