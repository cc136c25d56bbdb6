"""Counts of durations, kept without a metrics library.

Importing prometheus_client takes 0.1 s of processor time, which callers would
wait for after each start; it is imported when the metrics are first read.
"""

import bisect

# Upper bounds of the buckets in seconds: from a segment's way within a data
# centre to the longest time that a caller waits.
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
        """Count a duration."""
        self._counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds

    def buckets(self):
        """Yield ``(upper bound, count of durations up to it)``."""
        count = 0
        for bound, own in zip((*BOUNDS_S, float("inf")), self._counts):
            count += own
            yield bound, count
