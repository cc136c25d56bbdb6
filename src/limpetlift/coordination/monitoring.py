"""Choice of the agents whose life a balancer monitors.

Each agent is monitored by a few balancers, so that the number of messages of
an agent does not depend on the number of balancers. All balancers compute the
same choice from the addresses in the directory.
"""

import bisect

from limpetlift import defaults
from limpetlift.protocol import hashing


def monitored(own, balancers, agents):
    """Return the addresses of the agents that a balancer monitors.

    The balancers that follow an agent on a ring of hashes monitor it. A
    balancer also monitors the agents that follow itself, because without any
    it could not tell whether its own links work.

    :param own: ``(ip, port)`` of the balancer.
    :param balancers: addresses of the balancers, with or without ``own``.
    :param agents: addresses of the agents.
    """
    ring = sorted(set(balancers) | {own}, key=hashing.ring_position)
    positions = [hashing.ring_position(address) for address in ring]
    result = {
        agent
        for agent in agents
        if own in _successors(ring, positions, hashing.ring_position(agent))
    }
    ring = sorted(agents, key=hashing.ring_position)
    positions = [hashing.ring_position(address) for address in ring]
    position = hashing.ring_position(own)
    return result | set(_successors(ring, positions, position))


def _successors(ring, positions, position):
    """Return the first processes of a ring after a position."""
    start = bisect.bisect_right(positions, position)
    count = min(defaults.MONITORS_PER_AGENT, len(ring))
    return [ring[(start + offset) % len(ring)] for offset in range(count)]
