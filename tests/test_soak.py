"""Short runs of the soak, with all protections and without one of them."""

import pytest
import soak

# How long faults are injected; a whole run takes 14 s more.
_SECONDS = 8.0


# Seeds that found faults. 11: new flows of a restarted server were reset. 201:
# flows of a paused agent whose entry was no longer in the store were reset.
@pytest.mark.parametrize("seed, seconds", [(11, _SECONDS), (201, 20.0)])
def test_no_promise_breaks_under_faults(seed, seconds, tmp_path):
    """Callers and servers must see no broken promise under faults.

    Processes are killed, paused and stopped, servers crash and drain, and the
    store fails; see :mod:`soak`.
    """
    soak_run = soak.run_once(seed, seconds, tmp_path)
    assert soak_run.injected_faults
    assert not soak_run.violations


def test_no_promise_breaks_when_programs_freeze(tmp_path):
    """A request must run at one server at most when programs stand still.

    Half of the faults are freezes of several programs at once, twice in a
    row, during a drain, and during a change of the configuration.
    """
    soak_run = soak.run_once(7, 12.0, tmp_path, freezes=True)
    assert soak_run.injected_faults
    assert not soak_run.violations


def test_no_promise_breaks_when_keepers_fail(tmp_path):
    """The loss of the balancers that others rely on must break no promise.

    Half of the faults hit the balancers that keep the record of an open flow
    or wait at the store: they are killed, stopped, frozen and replaced.
    """
    soak_run = soak.run_once(5, 12.0, tmp_path, keepers=True)
    assert soak_run.injected_faults
    assert not soak_run.violations


def test_no_promise_breaks_when_addresses_are_reused(tmp_path):
    """No flow or request may reach a server of a service it is not routed to.

    Half of the faults lose an instance, all those of a service, or all. The
    new ones at their addresses belong to the other service.
    """
    soak_run = soak.run_once(1, 12.0, tmp_path, reuse="reuse_machine")
    assert soak_run.injected_faults
    assert not soak_run.violations


@pytest.mark.parametrize(
    "fault", ["replace_server", "replace_server_and_settings"]
)
def test_no_promise_breaks_when_a_server_is_replaced(fault, tmp_path):
    """An agent must not forward flows to a server of another service.

    The agent runs on when a server of the other service gets the address of
    its lost one, with its settings as they are or rewritten meanwhile.
    """
    soak_run = soak.run_once(1, 12.0, tmp_path, reuse=fault)
    assert soak_run.injected_faults
    assert not soak_run.violations


# Guards against resets of open flows by balancers that all start during an
# outage of the store in which it has taken an agent's entry away.
def test_no_flow_is_reset_when_all_balancers_start_during_an_outage(tmp_path):
    """The first list after the outage may lack agents that are alive.

    Their entries are back within 2 s, and no balancer is left that knew them.
    """
    soak_run = soak.run_once(12408, 12.0, tmp_path)
    assert not soak_run.violations


def test_no_promise_breaks_when_the_store_is_restored(tmp_path):
    """A store that comes back from an older copy must cost no open flow.

    Half of the faults restore it, twice in a row, beside former answers, and
    during a release, a drain and a change of the configuration. Balancers
    that do not know the flows are started between two of them.
    """
    soak_run = soak.SoakRun(7, 12.0, tmp_path, restores=True)
    soak_run.first_faults = [
        "restore",
        "kill_balancers",
        "restore_twice",
        "restore_with_former_answers",
    ]
    assert not soak_run.run()
    assert int(soak_run.store.era) >= 6


def test_soak_detects_flows_of_another_service(tmp_path):
    """Agents that take flows of any service must break a promise.

    Entries of lost agents lead balancers to new ones of the other service.
    """
    soak_run = soak.SoakRun(
        3, _SECONDS, tmp_path, "service", reuse="reuse_machine"
    )
    # All instances are lost at least once.
    soak_run.first_faults = 4 * ["reuse_machine"]
    violations = soak_run.run()
    assert any("was never routed, took" in text for text in violations)
    assert any("was never routed, ran" in text for text in violations)


@pytest.mark.parametrize("protection", ["drain", "proof", "routes", "search"])
def test_soak_detects_disabled_protection(protection, tmp_path):
    """A soak that passes without a protection does not test it.

    The programs run with one protection switched off; the soak must fail.
    """
    soak_run = soak.SoakRun(3, _SECONDS, tmp_path, protection)
    # Balancers that were killed don't know the open flows. Several servers
    # drain, so that one of them gets a new flow too late.
    soak_run.first_faults = ["kill_balancers", "kill_balancers"]
    soak_run.first_faults += 4 * ["server_drain"]
    assert soak_run.run()
