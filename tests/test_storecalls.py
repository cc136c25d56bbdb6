"""Calls on the store by role, for fleets of 28, 56 and 112 processes."""

import pytest

from limpetlift.testing import storefleet


@pytest.mark.parametrize("scale", [1, 2, 4])
def test_calls_do_not_grow_with_the_fleet(scale):
    """More processes must not mean more calls on the store."""
    calls = storefleet.measure(scale)
    # 9 relays renew each 5 s and read one chunk for each change.
    renewals = 9 * 600 // 5
    assert calls.by_role["balancer"] <= renewals + 9 * 2 + 9
    assert calls.by_role.get("agent", 0) == 0
    assert calls.by_role["operator"] <= 2 * 5
    # Four steps of virtual time a second, so this bounds the rounds needed.
    assert calls.slowest_s <= 4.0
