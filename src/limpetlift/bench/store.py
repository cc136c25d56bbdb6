"""Rate of calls to the store by role, for fleets of 28 to 112 processes."""

from limpetlift.bench import figures
from limpetlift.testing import storefleet

# Multiples of a fleet of 28 processes.
_FLEET_SIZES = (1, 2, 4)
# Virtual time in which the calls are counted, after the first minute.
_SIMULATED_S = 600.0
_MAX_CALLS_PER_S = 2000


@figures.measurement("store")
def measure(scale):
    """Count the store calls of the configuration tasks in virtual time.

    The counts are the same in every run, so each fleet size is run once. The
    store calls for rosters are not simulated.
    """
    results = []
    for size in _FLEET_SIZES if scale.repeats > 1 else _FLEET_SIZES[:1]:
        calls = storefleet.measure(size)
        for role in ("balancer", "agent", "operator"):
            calls_per_s = calls.by_role.get(role, 0) / _SIMULATED_S
            results.append(
                figures.Figure(
                    "calls, role %s, %d processes" % (role, 28 * size),
                    "/s",
                    [calls_per_s],
                    at_most=_MAX_CALLS_PER_S,
                )
            )
        calls_at_start = sum(calls.at_start_by_role.values())
        results.append(
            figures.Figure(
                "calls in the first minute, %d processes" % (28 * size),
                "calls",
                [calls_at_start],
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
