"""Calls on the store by role, with the fleet at 1, 2 and 4 times its size."""

from limpetlift.bench import figures
from limpetlift.testing import storefleet

_SCALES = (1, 2, 4)
_SPAN_S = 600.0
_READS_LIMIT = 2000


@figures.measurement("store")
def measure(scale):
    """Count the calls of the configuration tasks on virtual time.

    The counts are the same in every run. Rosters are not part of the model.
    """
    results = []
    for size in _SCALES if scale.repeats > 1 else _SCALES[:1]:
        calls = storefleet.measure(size)
        for role in ("balancer", "agent", "operator"):
            rate = calls.by_role.get(role, 0) / _SPAN_S
            results.append(
                figures.Figure(
                    "calls, role %s, %d processes" % (role, 28 * size),
                    "/s",
                    [rate],
                    at_most=_READS_LIMIT,
                )
            )
        start = sum(calls.at_start_by_role.values())
        results.append(
            figures.Figure(
                "calls in the first minute, %d processes" % (28 * size),
                "calls",
                [start],
            )
        )
        results.append(
            figures.Figure(
                "slowest change, %d processes" % (28 * size),
                "s",
                [calls.slowest_s],
                at_most=4.0,
            )
        )
    return results
