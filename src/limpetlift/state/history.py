"""Run times of finished requests and the estimates derived from them."""

import bisect
import collections
import re

import attrs

from limpetlift import defaults

# Slashes of a path that are split at; the rest counts as one segment.
_MAX_PATH_SPLITS = 8
_IDENTIFIER = re.compile(r"\d|^.{33,}$")


def route_of(method, path):
    """Return the route of a request: method and path without identifiers.

    Path segments that contain a digit or have more than 32 characters are
    taken for identifiers and replaced by ``*``, so that the number of routes
    stays small.
    """
    segments = path.partition("?")[0].split("/", _MAX_PATH_SPLITS)
    return " ".join(
        (
            method,
            "/".join(
                "*" if _IDENTIFIER.search(segment) else segment
                for segment in segments
            ),
        )
    )


@attrs.define
class RunTimes:
    """The latest ``HISTORY_RUNS`` run times of a group of requests."""

    _recent: collections.deque = attrs.field(factory=collections.deque)
    _sorted: list = attrs.field(factory=list)

    def __len__(self):
        return len(self._recent)

    def add(self, run_time_s):
        """Add a run time; it replaces the oldest one when the group is full.

        :param run_time_s: run time in seconds.
        """
        if len(self._recent) == defaults.HISTORY_RUNS:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._recent.append(run_time_s)
        bisect.insort(self._sorted, run_time_s)

    def mean_up_to(self, limit_s):
        """Return the mean of the run times up to ``limit_s``, 0 if none."""
        count = bisect.bisect_right(self._sorted, limit_s)
        return sum(self._sorted[:count]) / count if count else 0.0

    def mean_residual(self, elapsed_s, limit_s):
        """Return the mean time left to runs that took over ``elapsed_s``.

        :param elapsed_s: seconds that the runs have taken already.
        :param limit_s: longer run times are ignored.
        """
        first = bisect.bisect_right(self._sorted, elapsed_s)
        last = bisect.bisect_right(self._sorted, limit_s)
        if first >= last:
            return 0.0
        return sum(self._sorted[first:last]) / (last - first) - elapsed_s

    @property
    def median_s(self):
        """The median run time in seconds, 0 if none is recorded."""
        return self._sorted[len(self._sorted) // 2] if self._sorted else 0.0


@attrs.define
class RunTimeHistory:
    """Run times by key, and of all short and all long work.

    :param long_factor: work is long from this many median run times of short
        work on.
    :param short: run times of requests that started as short work.
    :param long: run times of requests that started as long work.
    """

    long_factor: float = defaults.LONG_FACTOR
    _run_times_by_key: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    short: RunTimes = attrs.field(factory=RunTimes)
    long: RunTimes = attrs.field(factory=RunTimes)

    def add(self, key, run_time_s, was_long):
        """Record the run time of a finished request.

        :param key: groups requests with similar run times. With more than
            ``HISTORY_ROUTES`` keys, the least recently updated is dropped.
        :param was_long: whether it was started as long work.
        """
        run_times = self._run_times_by_key.pop(key, None) or RunTimes()
        self._run_times_by_key[key] = run_times
        if len(self._run_times_by_key) > defaults.HISTORY_ROUTES:
            self._run_times_by_key.popitem(last=False)
        run_times.add(run_time_s)
        (self.long if was_long else self.short).add(run_time_s)

    @property
    def long_after_s(self):
        """Run time from which work counts as long, infinite when unknown."""
        if len(self.short) < defaults.HISTORY_MIN_RUNS:
            return float("inf")
        return self.long_factor * self.short.median_s

    def is_long(self, key):
        """Return whether the median run time of ``key`` is that of long work.

        False until ``HISTORY_MIN_RUNS`` run times of the key are recorded.
        """
        run_times = self._run_times_by_key.get(key, ())
        return (
            len(run_times) >= defaults.HISTORY_MIN_RUNS
            and run_times.median_s > self.long_after_s
        )

    def estimate_s(self, key, is_long):
        """Return the expected run time in seconds, 0 when unknown.

        :param is_long: whether to estimate for long work; if the key has too
            few run times, those of all long or all short work are used.
        """
        run_times = self._run_times_by_key.get(key, ())
        if len(run_times) < defaults.HISTORY_MIN_RUNS:
            run_times = self.long if is_long else self.short
        # Stragglers would distort the mean of short work, so they are left
        # out.
        return run_times.mean_up_to(
            float("inf") if is_long else self.long_after_s
        )
