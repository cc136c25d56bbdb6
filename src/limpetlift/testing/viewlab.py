"""Measures the memory and the processor time of a full view.

``python -m limpetlift.testing.viewlab`` builds the view of a balancer at the
design size from decoded messages, as a process receives them.
"""

import random
import time
import tracemalloc

import attrs
import fire

from limpetlift.coordination import fleet
from limpetlift.coordination import member
from limpetlift.coordination import records
from limpetlift.coordination import sponsor
from limpetlift.coordination import view
from limpetlift.protocol import messages
from limpetlift.testing import gossiplab

_CHANGES = 2000


def _wire(balancers, agents):
    """Return the encoded messages that carry a whole view."""
    found = [
        gossiplab.make_record(member.BALANCER, index, balancers)
        for index in range(balancers)
    ] + [
        gossiplab.make_record(member.AGENT, index, agents)
        for index in range(agents)
    ]
    random.Random(1).shuffle(found)
    return [
        messages.encode(batch.message())
        for batch in records.batches(found, allow_short=False)
    ]


def _build(wire):
    one = view.View("me")
    for data in wire:
        message = messages.decode("Gossip", data)
        for record in records.unpack(message, one):
            one.merge(0.0, record)
    return one


def _time_changes(one):
    """Return the seconds to merge one changed record."""
    changed = [
        attrs.evolve(record, sequence=1)
        for record in random.Random(2).sample(
            one.all_records(), min(_CHANGES, len(one))
        )
    ]
    started = time.process_time()
    for record in changed:
        one.merge(1.0, record)
    return (time.process_time() - started) / len(changed)


def _time_idle(one, balancers):
    """Return the share of a core that the timers of a balancer need."""
    own = gossiplab.make_record(member.BALANCER, 0, balancers)
    process = fleet.BalancerMembership(own, random.Random(3))
    process.view.load(one)
    process.tick(0.0)
    started = time.process_time()
    for step in range(300):
        process.tick(0.01 * step)
    return (time.process_time() - started) / 3.0


def _time_heartbeats(one, balancers):
    """Return the seconds to answer one heartbeat of an agent."""
    own = gossiplab.make_record(member.BALANCER, 0, balancers)
    process = fleet.BalancerMembership(own, random.Random(3))
    process.view.load(one)
    agents = [r for r in one.all_records() if r.service][:23]
    for record in agents:
        beat = gossiplab.heartbeat(record, full=False)
        beat.view_hash = one.agent_view_hash(
            record.service, sponsor.choose_sponsors(process.view, record)
        )
        process.on_message(0.0, record.agent_id, record.incarnation, beat)
        started = time.process_time()
        for _ in range(1000):
            process.on_message(0.0, record.agent_id, record.incarnation, beat)
        spent = time.process_time() - started
    return spent / 1000


def main(balancers=1800, agents=14000):
    """Print the figures, one a line."""
    wire = _wire(balancers, agents)
    started = time.process_time()
    one = _build(wire)
    build_s = time.process_time() - started
    print("members %d" % len(one))
    print("bytes on the wire %d" % sum(map(len, wire)))
    print("build %.2f s" % build_s)
    print("merge of a change %.1f us" % (1e6 * _time_changes(one)))
    print(
        "answer to a heartbeat %.0f us"
        % (1e6 * _time_heartbeats(one, balancers))
    )
    print("timers %.2f%% of a core" % (100 * _time_idle(one, balancers)))
    tracemalloc.start()
    kept = _build(wire)
    size = tracemalloc.get_traced_memory()[0]
    print("memory %d bytes, %.0f a member" % (size, size / len(kept)))


if __name__ == "__main__":
    fire.Fire(main)
