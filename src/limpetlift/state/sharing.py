"""Sharing policies: which member takes a new flow.

A policy is called by the first member in placement order, which may pass the
flow to a later one. Every policy is a function ``(order, loads)`` that returns
the agent id of the taker, or None when no member has room.
"""

import attrs

from limpetlift import defaults
from limpetlift import registry

policies_by_name = {}


@attrs.define
class Loads:
    """What an agent knows of the load of the members of its service.

    Counts are the open flows that were accepted under the present placement,
    so flows from before a change don't draw new flows away from a member.

    :param weights_by_id: weights of the members that take new flows.
    :param counts_by_id: last known counts; a missing count is 0.
    :param full_ids: members without room for another flow.
    """

    weights_by_id: dict = attrs.field(factory=dict)
    counts_by_id: dict = attrs.field(factory=dict)
    full_ids: set = attrs.field(factory=set)

    def reset(self, weights_by_id):
        """Start counting anew, under another placement."""
        self.weights_by_id = weights_by_id
        self.counts_by_id = {}
        self.full_ids &= set(weights_by_id)

    def update(self, agent_id, count, has_room):
        """Store what a member told of its load."""
        self.counts_by_id[agent_id] = count
        if has_room:
            self.full_ids.discard(agent_id)
        else:
            self.full_ids.add(agent_id)

    def count_passed(self, agent_id):
        """Count a flow passed to ``agent_id`` until its next report."""
        self.counts_by_id[agent_id] = self.counts_by_id.get(agent_id, 0) + 1

    def has_room(self, agent_id):
        """Whether the member may take another flow at all."""
        return agent_id not in self.full_ids

    def relative(self, agent_id):
        """Return the count for a weight of 1."""
        count = self.counts_by_id.get(agent_id, 0)
        return count / self.weights_by_id.get(agent_id, 1.0)

    def mean(self):
        """Return the mean count for a weight of 1."""
        total = sum(
            self.counts_by_id.get(agent_id, 0)
            for agent_id in self.weights_by_id
        )
        return total / (sum(self.weights_by_id.values()) or 1.0)


@registry.register(policies_by_name, "natural")
def choose_natural(order, loads):
    """Return the first member with room; the baseline."""
    return next(filter(loads.has_room, order), None)


@registry.register(policies_by_name, "bounded")
def choose_bounded(order, loads):
    """Return the first member whose count is close to the mean.

    When a member is over the bound because of old reports, every member may
    seem to be; then the one with the lowest count takes the flow.
    """
    bound = (
        defaults.SHARING_BOUND_FACTOR * loads.mean()
        + defaults.SHARING_SLACK_FLOWS
    )
    able = list(filter(loads.has_room, order))
    for agent_id in able:
        if loads.relative(agent_id) <= bound:
            return agent_id
    return min(able, key=loads.relative, default=None)


@registry.register(policies_by_name, "two")
def choose_two(order, loads):
    """Return the less loaded of the first two members with room."""
    able = list(filter(loads.has_room, order))
    return min(able[:2], key=loads.relative, default=None)
