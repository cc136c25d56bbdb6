"""Estimates of the run time of a request at one backend server.

An agent feeds its estimate with the run times of the requests that its server
answered, and sends the result in its load reports. An estimate is a class of
:data:`estimates_by_name` with the methods of :class:`MeanRunTime`. Payloads
belong to the two ends of a flow, so all kinds of requests are averaged.

.. versionadded:: 0.2
"""

import collections

import attrs

from limpetlift import defaults
from limpetlift import registry
from limpetlift import structs

estimates_by_name = {}


@registry.register(estimates_by_name, "mean")
@structs.define
class MeanRunTime:
    """Moving average of the requests that did not wait for a slot.

    :param samples: number of run times since the start.
    """

    samples: int = 0
    _mean_s: float = 0.0

    def on_queued(self, flow):
        """Handle a request that the server cannot start yet.

        :param flow: the :class:`~limpetlift.state.hostedflows.Flow`.
        """

    def on_slot_free(self, now, is_waiting):
        """Handle the end of a request whose run time was known.

        :param now: time in seconds (monotonic).
        :param is_waiting: function of a flow; returns whether its request
            still waits for a slot.
        """

    def add(self, now, run_s, is_warming):
        """Add the run time of a request that was answered at ``now``.

        :param run_s: seconds between the start of the run and the answer.
        :param is_warming: whether the server was slow after a start.
        :returns: log fields when this changes what the estimate says by more
            than noise, otherwise None.
        """
        self.samples += 1
        mean_s = self._mean_s or run_s
        self._mean_s = mean_s + defaults.RUN_TIME_WEIGHT * (run_s - mean_s)

    def on_restart(self):
        """Handle a restart of the server.

        :returns: log fields when a known estimate was dropped, else None.
        """

    def run_s(self, now, is_warming):
        """Return the expected run time in seconds; 0 when unknown.

        :param is_warming: whether the server is slow after a start.
        """
        return self._mean_s


@registry.register(estimates_by_name, "robust")
@structs.define
class RobustRunTime:
    """Average that few long requests do not distort.

    It also uses the requests that waited for a slot, as otherwise a server
    with one slot would hardly be measured under load. Requests are assumed to
    start in the order in which they came. With any other order the run times
    of single requests are wrong, but their sum is not, because a slot that is
    free always starts one of them.

    Run times at a cold server are converted to those of a warm one.

    :param samples: number of run times since the start of the server.
    """

    samples: int = 0
    # Mean run time at the warm server; 0 when unknown.
    _mean_s: float = 0.0
    _last_at: float = float("-inf")
    # The first run times, from which the estimate starts.
    _first: list = attrs.field(factory=list)
    # Flows whose requests wait for a slot, the oldest first.
    _queued: object = attrs.field(
        factory=lambda: collections.deque(maxlen=defaults.MAX_QUEUED_RUNS)
    )
    # The estimate that was logged last; 0 for none.
    _logged_s: float = 0.0

    def on_queued(self, flow):
        """Handle a request that the server cannot start yet."""
        self._queued.append(flow)

    def on_slot_free(self, now, is_waiting):
        """Let the run of the oldest waiting request begin."""
        while self._queued:
            flow = self._queued.popleft()
            if is_waiting(flow):
                flow.run_started_at = now
                return

    def add(self, now, run_s, is_warming):
        """Add the run time of a request that was answered at ``now``."""
        if is_warming:
            run_s /= defaults.WARMING_FACTOR
        if self._is_outdated(now):
            self._forget()
        self.samples += 1
        self._last_at = now
        if not self._mean_s:
            self._first.append(run_s)
            if len(self._first) < defaults.RUN_TIME_FIRST_SAMPLES:
                return None
            self._mean_s = sorted(self._first)[len(self._first) // 2]
            self._first = []
        else:
            weight = max(1.0 / self.samples, defaults.ROBUST_RUN_TIME_WEIGHT)
            self._mean_s += weight * (
                min(run_s, defaults.RUN_TIME_CLIP * self._mean_s)
                - self._mean_s
            )
        was_s = self._logged_s
        if was_s and (
            max(was_s, self._mean_s)
            < defaults.RUN_TIME_LOG_RATIO * min(was_s, self._mean_s)
        ):
            return None
        self._logged_s = self._mean_s
        return {
            "run_ms": round(self._mean_s * 1000, 3),
            "was_ms": round(was_s * 1000, 3),
            "samples": self.samples,
            "last_ms": round(run_s * 1000, 3),
            "warming": is_warming,
        }

    def on_restart(self):
        """Drop what is known of the server before its restart."""
        was_s, samples = self._mean_s, self.samples
        self._forget()
        self._queued.clear()
        if not samples:
            return None
        return {"was_ms": round(was_s * 1000, 3), "samples": samples}

    def run_s(self, now, is_warming):
        """Return the expected run time in seconds; 0 when unknown.

        An old estimate counts as unknown: a server that is taken for slow
        gets few requests, which could never correct a wrong estimate.
        """
        if self._is_outdated(now):
            return 0.0
        factor = defaults.WARMING_FACTOR if is_warming else 1.0
        return self._mean_s * factor

    def _is_outdated(self, now):
        return now - self._last_at > defaults.RUN_TIME_MAX_AGE_S

    def _forget(self):
        self.samples = 0
        self._mean_s = self._logged_s = 0.0
        self._first = []
