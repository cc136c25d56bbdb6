"""Tests of lists of the store that may lack agents that are alive."""

import random

import segmentkit as kit

from limpetlift.coordination import directory
from limpetlift.coordination import entries
from limpetlift import defaults
from limpetlift.protocol import tunnel
from limpetlift.state import steering

_LISTED = kit.agent(1)
_MISSING = kit.agent(2)
_OTHER = kit.balancer(1)
_GRACE_S = defaults.LAPSED_ENTRY_GRACE_S


def _store_entry(entry, revision):
    return entries.Entry(
        directory.AGENTS_PREFIX + entry.process_id, entry.encode(), revision
    )


class _Balancer:
    """A balancer and its directory, without a network.

    :param has_outage: whether its first call to the store failed.
    """

    def __init__(self, has_outage):
        self.directory = directory.Directory()
        self.steering = steering.FlowSteering(
            kit.balancer(9).address, "a", kit.decode, random.Random(1)
        )
        self.steering.on_routes(0.0, kit.routes())
        if has_outage:
            self.directory.on_unreachable()

    def read(self, now, revision, *agents, others=()):
        """Read a list of the store; return the steps."""
        self.directory.on_snapshot(
            now,
            [_store_entry(agent, revision) for agent in agents],
            revision,
        )
        return self.update(now, others)

    def update(self, now, others=()):
        """Pass the directory on to the decisions; return the steps."""
        return self.steering.on_entries(
            now,
            self.directory.agents(),
            others,
            self.directory.unlisted(),
            self.directory.unproven_until,
        )

    def search(self, now, port=1):
        """Search for a flow that the listed agent denies; return the steps."""
        result = self.steering.on_segment(
            now, kit.caller_segment(port, kit.ACK, ack=5)
        )
        result += self.steering.on_message(
            now, _LISTED.address, tunnel.NotHeld(kit.key_of(port))
        )
        return result + self.steering.on_directory_read(
            now + 0.002, now + 0.001
        )


# Guards against the reset of an open flow 0.1 s after an outage, in which all
# balancers had started and the store had lost the entry of the flow's agent.
def test_a_balancer_that_starts_in_an_outage_waits_for_lapsed_entries():
    """The first list after an outage may lack an agent that is alive.

    A segment that arrived in the wait has its search resumed after it.
    """
    balancer = _Balancer(has_outage=True)
    result = balancer.read(10.0, 5, _LISTED)
    assert kit.log_fields(result, "list_unproven") == [{"for_s": _GRACE_S}]
    assert not kit.resets(balancer.search(10.1))
    assert not kit.resets(balancer.steering.tick(10.0 + _GRACE_S - 0.01))
    assert not balancer.steering.searches.are_agents_known
    result = balancer.steering.tick(10.0 + _GRACE_S)
    assert balancer.steering.searches.are_agents_known
    assert kit.log_fields(result, "unlisted_agents_known")
    assert kit.resets(balancer.search(10.1 + _GRACE_S, port=2))


def test_an_entry_that_comes_back_in_the_wait_is_asked():
    """The agent that wrote its entry again must deny the flow too."""
    balancer = _Balancer(has_outage=True)
    balancer.read(10.0, 5, _LISTED)
    balancer.search(10.1)
    balancer.read(11.5, 6, _LISTED, _MISSING)
    balancer.steering.tick(10.0 + _GRACE_S)
    result = balancer.steering.on_directory_read(12.2, 12.1)
    assert not kit.resets(result)
    queries = balancer.steering.searches.flush_queries()
    asked = kit.messages(queries, tunnel.LocateRequest)
    assert _MISSING.address in [address for address, _ in asked]


def test_the_answers_of_the_others_do_not_end_the_wait():
    """Balancers that all start in the outage know no more than each other."""
    balancer = _Balancer(has_outage=True)
    balancer.read(10.0, 5, _LISTED, others=[_OTHER])
    answer = tunnel.UnlistedAgents(True, 0, [])
    balancer.steering.on_message(10.1, _OTHER.address, answer)
    balancer.steering.on_message(
        10.1, _OTHER.address, tunnel.UnlistedAgentsRequest()
    )
    assert not kit.resets(balancer.search(10.2))


def test_a_restart_on_a_calm_day_proves_at_once():
    """A caller of a lost flow must not wait for 2 s after each restart."""
    balancer = _Balancer(has_outage=False)
    assert not kit.log_fields(balancer.read(10.0, 5, _LISTED), "list_unproven")
    assert kit.resets(balancer.search(10.1))


def test_an_outage_after_the_first_read_does_not_stop_proofs():
    """A balancer that ran through an outage still knows the lapsed agents."""
    balancer = _Balancer(has_outage=False)
    balancer.read(10.0, 5, _LISTED, _MISSING)
    balancer.directory.on_unreachable()
    balancer.read(20.0, 6, _LISTED)
    # It waits for the lapsed agent alone, which denies the flow too.
    assert not kit.resets(balancer.search(20.1))
    balancer.steering.on_message(
        20.2, _MISSING.address, tunnel.NotHeld(kit.key_of(1))
    )
    assert kit.resets(balancer.steering.on_directory_read(20.4, 20.3))


def _answer(balancer, now):
    """Return what a balancer answers to one that has just started."""
    result = balancer.steering.on_message(
        now, ("10.9.0.7", 80), tunnel.UnlistedAgentsRequest()
    )
    ((_, answer),) = kit.messages(result, tunnel.UnlistedAgents)
    return answer


# Guards against a wait that ends early because the one balancer that could
# know the missing agents has not read them itself yet.
def test_a_balancer_that_waits_is_waited_for():
    """A balancer that starts after the outage learns of it from the others."""
    waiting = _Balancer(has_outage=True)
    waiting.read(10.0, 5, _LISTED, others=[_OTHER])
    late = _Balancer(has_outage=False)
    late.read(10.5, 5, _LISTED, others=[_OTHER])
    answer = _answer(waiting, 10.6)
    late.steering.on_message(10.7, _OTHER.address, answer)
    assert answer.total == 1 and not answer.agents
    assert not kit.resets(late.search(10.8))
    waiting.steering.tick(12.1)
    answer = _answer(waiting, 12.2)
    late.steering.on_message(12.3, _OTHER.address, answer)
    assert kit.resets(late.search(12.4, port=2))
