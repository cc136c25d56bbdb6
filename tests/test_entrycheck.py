"""Tests of an agent that finds out that the store lost its entry."""

import random

import platformstandin
import pytest

from limpetlift import clock
from limpetlift.platform import store
from limpetlift.tasks import announcing
from limpetlift.transport import reactor as reactors


@pytest.fixture(name="reactor")
def _reactor():
    reactor = reactors.Reactor()
    yield reactor
    reactor.close()


@pytest.fixture(name="standin")
def _standin(reactor):
    standin = platformstandin.StoreStandIn(reactor)
    yield standin
    standin.close()


def _announced(reactor, standin):
    """Return an announcer whose entry is in the store."""
    client = store.PlatformStore(reactor, standin.address)
    announcer = announcing.Announcer(
        reactor, client, "x/1", b"me", random.Random(1)
    )
    reactor.spawn(announcer.run())
    platformstandin.run_until(reactor, lambda: "x/1" in standin.items_by_key)
    platformstandin.run_until(reactor, lambda: len(standin.calls) == 1)
    return announcer


# Guards against an agent that stays unknown to all balancers because it is
# never told that its entry is missing.
def test_an_entry_that_was_lost_in_an_outage_is_written_after_it(
    reactor, standin
):
    """The check must outlast the outage and end in a write."""
    announcer = _announced(reactor, standin)
    standin.remove("x/1")
    standin.status = 503
    announcer.check_entry()
    platformstandin.run_until(reactor, lambda: len(standin.calls) >= 3)
    standin.status = None
    regained_at = clock.now()
    platformstandin.run_until(reactor, lambda: "x/1" in standin.items_by_key)
    assert clock.now() - regained_at < 2.0


def test_an_entry_that_is_present_is_not_written(reactor, standin):
    """A check of each agent must not become a write of each agent.

    Calls during a check and right after it cause no further read.
    """
    announcer = _announced(reactor, standin)
    revision = standin.revision
    for _ in range(5):
        announcer.check_entry()
    platformstandin.run_until(reactor, lambda: len(standin.calls) == 2)
    announcer.check_entry()
    reactor.call_at(clock.now() + 0.3, reactor.stop)
    reactor.run()
    assert standin.calls[1:] == [("GET", "/-/kv-key")]
    assert standin.revision == revision
