"""Polls of the agents' loads for new flows that are about to be placed.

A balancer asks a few agents for their loads when it has a new flow, and
places the flow by their answers. The number of messages follows the number of
new flows. Reports of every agent to every balancer would grow with the
product of both.
"""

import collections

import attrs

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift import structs


def in_order(agents, flow_hash, data_centre):
    """Return the agents in the order in which a flow is offered to them.

    Every balancer of a data centre computes the same order from the flow's
    hash, so that after a restart of all processes the flow is found at one of
    the first agents. The first ones are of the balancers' own data centre,
    followed by some of all others, which may have less work.

    :param agents: objects with ``entry`` and ``id_hash``.
    :param flow_hash: 64-bit hash of the flow's key.
    :param data_centre: name of the balancer's data centre.
    """
    ordered = sorted(
        agents, key=lambda agent: hashing.mixed(agent.id_hash ^ flow_hash)
    )
    near = [
        agent for agent in ordered if agent.entry.data_centre == data_centre
    ][: defaults.NEAR_CANDIDATES]
    near_addresses = {agent.entry.address for agent in near}
    return near + [
        agent for agent in ordered if agent.entry.address not in near_addresses
    ]


@structs.define
class Poll:
    """A new flow and the agents that are asked for their loads.

    :param segment: the last copy of the flow's first segment.
    :param flow: what the balancer knows of the flow.
    :param began_at: when the poll began.
    :param route: the route of the flow.
    :param services: names of the services that may take the flow, the
        preferred one first; the first of them is being asked.
    :param kept_agent: the agent that has the flow already and is asked only
        whether it is alive; None for a flow that has to be placed.
    :param placeable_at: the flow is not placed before this time, because
        another balancer has been asked whether the flow is placed already.
    :param decide_at: when the flow is placed by the answers received so far.
    :param remaining: agents of the service that have not been asked, in the
        order of :func:`in_order`.
    :param window: agents whose loads are compared.
    :param rounds: number of times that agents were added to ``window``.
    :param admission: why the flow was admitted last, or was not; see
        :meth:`limpetlift.scheduling.admitting.Admission.decide`.
    """

    segment: object
    flow: object
    began_at: float
    route: object = None
    services: list = attrs.field(factory=list)
    kept_agent: object = None
    placeable_at: float = float("-inf")
    decide_at: float = float("-inf")
    remaining: list = attrs.field(factory=list)
    window: list = attrs.field(factory=list)
    rounds: int = 0
    admission: str = "overloaded"

    def __attrs_post_init__(self):
        if self.kept_agent is not None:
            self.remaining = [self.kept_agent]

    def start_service(self, agents):
        """Start over with the agents of the first of ``services``."""
        self.remaining = agents
        self.window = []
        self.rounds = 0

    def can_widen(self):
        """Whether more agents of the service may be asked."""
        return bool(self.remaining) and (
            self.rounds < defaults.MAX_POLL_ROUNDS
        )

    def widen(self, now):
        """Add the next agents of the service to the window.

        Agents that are known to be silent are asked besides, as many at the
        most, because they are not waited for.

        :returns: the added agents whose loads have to be asked for.
        """
        self.rounds += 1
        self.decide_at = now + defaults.POLL_TIMEOUT_S
        added = []
        responsive = 0
        while (
            self.remaining
            and responsive < defaults.PLACING_CANDIDATES
            and len(added) < 2 * defaults.PLACING_CANDIDATES
        ):
            agent = self.remaining.pop(0)
            added.append(agent)
            responsive += not agent.is_silent(now)
        self.window += added
        return [agent for agent in added if not self.is_answered(agent)]

    def is_answered(self, agent):
        """Whether the agent's load is recent enough to place this flow.

        A load that was recent when the poll began stays so until it ends.
        """
        return agent.load_received_at >= self.began_at - defaults.LOAD_REUSE_S

    def is_complete(self, now):
        """Whether no answer is worth waiting for.

        Silent agents are not waited for, unless no other one has answered.
        """
        if now < self.placeable_at:
            return False
        if self.decide_at <= now:
            return True
        unanswered = self.unanswered()
        return not unanswered or (
            len(unanswered) < len(self.window)
            and all(agent.is_silent(now) for agent in unanswered)
        )

    def available(self):
        """Return the agents of the window that accept new flows.

        Those without room under the pace of their servers are left out.
        """
        return [agent for agent in self._accepting() if agent.room >= 1]

    def without_room(self):
        """Return the agents that accept flows, but have no room now."""
        return [agent for agent in self._accepting() if agent.room < 1]

    def _accepting(self):
        return [
            agent
            for agent in self.window
            if self.is_answered(agent) and agent.load.accepting
        ]

    def unanswered(self):
        """Return the agents of the window that did not answer."""
        return [agent for agent in self.window if not self.is_answered(agent)]


@structs.define
class LoadPolls:
    """The polls of one balancer that wait for answers.

    .. versionadded:: 0.2
    """

    _polls_by_key: dict = attrs.field(factory=dict)
    # Keys of the polls that wait for the answer of an agent.
    _keys_by_address: dict = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )

    def add(self, poll):
        """Add a poll that waits for answers."""
        key = poll.segment.key
        self._polls_by_key[key] = poll
        for agent in poll.unanswered():
            self._keys_by_address[agent.entry.address].add(key)

    def add_copy(self, segment):
        """Keep the newest copy of the first segment of a polled flow.

        :returns: whether such a poll is in progress.
        """
        poll = self._polls_by_key.get(segment.key)
        if poll is None:
            return False
        poll.segment = segment
        return True

    def end(self, key):
        """End the poll of a flow; return it, or None when there is none."""
        return self._polls_by_key.pop(key, None)

    def pop_all(self):
        """Remove and return all polls."""
        polls = list(self._polls_by_key.values())
        self._polls_by_key.clear()
        self._keys_by_address.clear()
        return polls

    def on_load(self, now, address):
        """Remove and return the polls that an agent's answer completes."""
        result = []
        for key in self._keys_by_address.pop(address, ()):
            poll = self._polls_by_key.get(key)
            if poll is not None and poll.is_complete(now):
                result.append(self._polls_by_key.pop(key))
        return result

    def on_pause(self, now, placeable_at=float("-inf")):
        """Wait for the answers again that a pause of this process delayed.

        :param placeable_at: no flow is placed before this time.
        """
        for poll in self._polls_by_key.values():
            poll.decide_at = now + defaults.POLL_TIMEOUT_S
            poll.placeable_at = max(poll.placeable_at, placeable_at)

    def pop_due(self, now):
        """Remove and return the polls that have waited long enough."""
        due = [
            poll
            for poll in self._polls_by_key.values()
            if max(poll.decide_at, poll.placeable_at) <= now
        ]
        for poll in due:
            del self._polls_by_key[poll.segment.key]
        if not self._polls_by_key:
            self._keys_by_address.clear()
        return due
