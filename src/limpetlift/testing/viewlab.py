"""Measures the memory and the processor time of a full view.

``python -m limpetlift.testing.viewlab`` builds the view of a balancer from
encoded messages, as a process receives them. The default size is the one that
the system is designed for.
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

_CHANGE_COUNT = 2000


def _encode_view(balancers, agents):
    """Return the encoded messages that carry a whole view."""
    member_records = [
        gossiplab.make_record(member.BALANCER, index, balancers)
        for index in range(balancers)
    ] + [
        gossiplab.make_record(member.AGENT, index, agents)
        for index in range(agents)
    ]
    random.Random(1).shuffle(member_records)
    return [
        messages.encode(batch.message())
        for batch in records.batches(member_records, allow_short=False)
    ]


def _decode_view(encoded_messages):
    """Return the view that results from encoded messages."""
    full_view = view.View("me")
    for data in encoded_messages:
        message = messages.decode("Gossip", data)
        for record in records.unpack(message, full_view):
            full_view.merge(0.0, record)
    return full_view


def _time_changes(full_view):
    """Return the processor seconds to merge one changed record."""
    changed = [
        attrs.evolve(record, sequence=1)
        for record in random.Random(2).sample(
            full_view.all_records(), min(_CHANGE_COUNT, len(full_view))
        )
    ]
    started = time.process_time()
    for record in changed:
        full_view.merge(1.0, record)
    return (time.process_time() - started) / len(changed)


def _time_idle(full_view, balancers):
    """Return the share of a core that the ticks of a balancer use.

    It is measured over 3 seconds of virtual time.
    """
    own = gossiplab.make_record(member.BALANCER, 0, balancers)
    membership = fleet.BalancerMembership(own, random.Random(3))
    membership.view.load(full_view)
    membership.tick(0.0)
    started = time.process_time()
    for step in range(300):
        membership.tick(0.01 * step)
    return (time.process_time() - started) / 3.0


def _time_heartbeats(full_view, balancers):
    """Return the processor seconds to answer one heartbeat of an agent."""
    own = gossiplab.make_record(member.BALANCER, 0, balancers)
    membership = fleet.BalancerMembership(own, random.Random(3))
    membership.view.load(full_view)
    agents = [r for r in full_view.all_records() if r.service][:23]
    for record in agents:
        heartbeat_message = gossiplab.heartbeat(record, full=False)
        heartbeat_message.view_hash = full_view.agent_view_hash(
            record.service, sponsor.choose_sponsors(membership.view, record)
        )
        membership.on_message(
            0.0, record.agent_id, record.incarnation, heartbeat_message
        )
        started = time.process_time()
        for _ in range(1000):
            membership.on_message(
                0.0, record.agent_id, record.incarnation, heartbeat_message
            )
        spent = time.process_time() - started
    return spent / 1000


def main(balancers=1800, agents=14000):
    """Print the figures, one per line.

    :param balancers: number of balancers.
    :param agents: number of agents.
    """
    encoded_messages = _encode_view(balancers, agents)
    started = time.process_time()
    full_view = _decode_view(encoded_messages)
    build_s = time.process_time() - started
    print("members %d" % len(full_view))
    print("bytes on the wire %d" % sum(map(len, encoded_messages)))
    print("build %.2f s" % build_s)
    print("merge of a change %.1f us" % (1e6 * _time_changes(full_view)))
    print(
        "answer to a heartbeat %.0f us"
        % (1e6 * _time_heartbeats(full_view, balancers))
    )
    print("timers %.2f%% of a core" % (100 * _time_idle(full_view, balancers)))
    tracemalloc.start()
    view_copy = _decode_view(encoded_messages)
    size = tracemalloc.get_traced_memory()[0]
    print("memory %d bytes, %.0f a member" % (size, size / len(view_copy)))


if __name__ == "__main__":
    fire.Fire(main)
