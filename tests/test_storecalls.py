"""Tests of the number of store calls with 28, 56 and 112 processes."""

import pytest

from limpetlift.testing import storefleet


@pytest.mark.parametrize("scale", [1, 2, 4])
def test_calls_do_not_grow_with_the_fleet(scale):
    """The number of store calls must not grow with the number of processes.

    It would if processes that are not relays read the configuration from the
    store instead of receiving it from their peers.
    """
    calls = storefleet.measure(scale)
    # 9 relays renew their leases every 5 s for 600 s and read one chunk for
    # each of the 2 changes.
    renewals = 9 * 600 // 5
    assert calls.by_role["balancer"] <= renewals + 9 * 2 + 9
    assert calls.by_role.get("agent", 0) == 0
    assert calls.by_role["operator"] <= 2 * 5
    # Virtual time advances by 0.25 s and messages arrive in the next step, so
    # this limits the number of message rounds until all have a change.
    assert calls.slowest_s <= 4.0
