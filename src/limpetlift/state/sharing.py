"""Sharing policies, which choose the member that accepts a new flow.

The first member of the placement order applies the policy and may pass the
flow on to a later member. A policy is a function ``(order, loads)`` that
returns the agent id of the chosen member, or None when no member has room.
"""

import attrs

from limpetlift import defaults
from limpetlift import registry

policies_by_name = {}


@attrs.define
class Loads:
    """The last known load of the members of a service.

    A count is the number of open flows that a member accepted under the
    present placement. Flows accepted before the last change of the placement
    do not count, so they do not reduce a member's share of the new flows.

    :param weights_by_id: weights of the members that accept new flows.
    :param counts_by_id: last known count of each member; a missing count
        is 0.
    :param full_ids: ids of members without room for another flow.
    """

    weights_by_id: dict = attrs.field(factory=dict)
    counts_by_id: dict = attrs.field(factory=dict)
    full_ids: set = attrs.field(factory=set)

    def reset(self, weights_by_id):
        """Reset all counts, because the placement has changed."""
        self.weights_by_id = weights_by_id
        self.counts_by_id = {}
        self.full_ids &= set(weights_by_id)

    def update(self, agent_id, count, has_room):
        """Store the load that a member reported."""
        self.counts_by_id[agent_id] = count
        if has_room:
            self.full_ids.discard(agent_id)
        else:
            self.full_ids.add(agent_id)

    def count_passed(self, agent_id):
        """Count a flow that was passed on to a member.

        It counts until the next report of the member.
        """
        self.counts_by_id[agent_id] = self.counts_by_id.get(agent_id, 0) + 1

    def has_room(self, agent_id):
        """Whether the member can accept another flow."""
        return agent_id not in self.full_ids

    def relative_count(self, agent_id):
        """Return the count of a member divided by its weight."""
        count = self.counts_by_id.get(agent_id, 0)
        return count / self.weights_by_id.get(agent_id, 1.0)

    def mean_count(self):
        """Return the sum of all counts divided by the sum of the weights."""
        total = sum(
            self.counts_by_id.get(agent_id, 0)
            for agent_id in self.weights_by_id
        )
        return total / (sum(self.weights_by_id.values()) or 1.0)


@registry.register(policies_by_name, "natural")
def choose_natural(order, loads):
    """Return the first member with room.

    The other policies are compared with this one.
    """
    return next(filter(loads.has_room, order), None)


@registry.register(policies_by_name, "bounded")
def choose_bounded(order, loads):
    """Return the first member whose count does not exceed the bound.

    The bound is SHARING_BOUND_FACTOR times the mean plus
    SHARING_SLACK_FLOWS. With outdated reports, all members may appear to
    exceed it; then the member with the lowest count is chosen. Counts are
    divided by the weight.
    """
    bound = (
        defaults.SHARING_BOUND_FACTOR * loads.mean_count()
        + defaults.SHARING_SLACK_FLOWS
    )
    available = list(filter(loads.has_room, order))
    for agent_id in available:
        if loads.relative_count(agent_id) <= bound:
            return agent_id
    return min(available, key=loads.relative_count, default=None)


@registry.register(policies_by_name, "two")
def choose_two(order, loads):
    """Return one of the first two members with room.

    It is the one with the lower count in relation to its weight.
    """
    available = list(filter(loads.has_room, order))
    return min(available[:2], key=loads.relative_count, default=None)
