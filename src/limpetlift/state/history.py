"""Run times of finished requests, and what they say about new ones."""

import bisect
import collections
import re

import attrs

from limpetlift import defaults

_MAX_SEGMENTS = 8
_IDENTIFIER = re.compile(r"\d|^.{33,}$")


def route_of(method, path):
    """Return the route of a request: method and path without identifiers.

    Path segments with a digit or of more than 32 characters are taken for
    identifiers, so that the number of routes stays small.
    """
    segments = path.partition("?")[0].split("/", _MAX_SEGMENTS)
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
class Runs:
    """The last run times of one group of requests, in seconds."""

    _recent: collections.deque = attrs.field(factory=collections.deque)
    _sorted: list = attrs.field(factory=list)

    def __len__(self):
        return len(self._recent)

    def add(self, seconds):
        """Add a run time and forget the oldest of a full group."""
        if len(self._recent) == defaults.HISTORY_RUNS:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._recent.append(seconds)
        bisect.insort(self._sorted, seconds)

    def mean_below(self, limit):
        """Return the mean of the runs up to ``limit``, or 0 without any."""
        count = bisect.bisect_right(self._sorted, limit)
        return sum(self._sorted[:count]) / count if count else 0.0

    def residual(self, elapsed, limit):
        """Return the mean time left to runs that lasted ``elapsed`` already.

        :param limit: longer runs are left out.
        """
        first = bisect.bisect_right(self._sorted, elapsed)
        last = bisect.bisect_right(self._sorted, limit)
        if first >= last:
            return 0.0
        return sum(self._sorted[first:last]) / (last - first) - elapsed

    @property
    def median(self):
        """The median, or 0 without runs."""
        return self._sorted[len(self._sorted) // 2] if self._sorted else 0.0


@attrs.define
class History:
    """Run times by route, and of all short work together.

    :param long_factor: work is long from this many median run times on.
    """

    long_factor: float = defaults.LONG_FACTOR
    _runs_by_route: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    short: Runs = attrs.field(factory=Runs)
    long: Runs = attrs.field(factory=Runs)

    def add(self, route, seconds, was_long):
        """Record that a request of ``route`` ran for ``seconds``.

        :param was_long: whether it was started as long work.
        """
        runs = self._runs_by_route.pop(route, None) or Runs()
        self._runs_by_route[route] = runs
        if len(self._runs_by_route) > defaults.HISTORY_ROUTES:
            self._runs_by_route.popitem(last=False)
        runs.add(seconds)
        (self.long if was_long else self.short).add(seconds)

    @property
    def long_after(self):
        """Run time in seconds from which work counts as long."""
        if len(self.short) < defaults.HISTORY_MIN_RUNS:
            return float("inf")
        return self.long_factor * self.short.median

    def is_long(self, route):
        """Whether most runs of ``route`` were long."""
        runs = self._runs_by_route.get(route, ())
        return (
            len(runs) >= defaults.HISTORY_MIN_RUNS
            and runs.median > self.long_after
        )

    def estimate(self, route, long):
        """Return the expected run time in seconds, 0 when unknown."""
        runs = self._runs_by_route.get(route, ())
        if len(runs) < defaults.HISTORY_MIN_RUNS:
            runs = self.long if long else self.short
        # Stragglers among short work would hide how short the rest is.
        return runs.mean_below(float("inf") if long else self.long_after)
