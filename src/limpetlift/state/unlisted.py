"""Agents that run although the store does not have their entries.

The store may take an entry away and refuse to have it written again. The
balancers that run keep such an agent while it answers them, but one that
starts reads a list without it. It asks the others for these agents, and until
they have answered it cannot count the agents that may hold a flow.
"""

import attrs

from limpetlift.coordination import directory
from limpetlift import defaults
from limpetlift.protocol import tunnel
from limpetlift.state import steps
from limpetlift import structs


@structs.define
class Exchange:
    """What one balancer has learned of them from the other balancers.

    Methods take ``now`` in seconds (monotonic).

    :param own_address: ``(ip, port)`` of the balancer.
    :param is_complete: whether all agents are known that another balancer
        knows, as far as the others can be asked.

    .. versionadded:: 0.2
    """

    own_address: tuple
    is_complete: bool = False
    # When the missing answers are not waited for any more.
    _complete_at: float = float("inf")
    # Until then the list of the store may lack agents that are alive and that
    # no balancer knows.
    _unproven_until: float = float("-inf")
    _unanswered: set = attrs.field(factory=set)
    _ask_at: float = float("inf")
    # Ids of the agents that each balancer has named so far.
    _agent_ids_by_address: dict = attrs.field(factory=dict)

    def on_balancers(self, now, addresses):
        """Ask the other balancers when they are known for the first time.

        :param addresses: addresses of all balancers, with or without this one.
        :returns: steps.
        """
        if self.is_complete or self._complete_at != float("inf"):
            return []
        # An agent that is alive and reaches the store has written its entry
        # again by then.
        self._complete_at = now + defaults.LAPSED_ENTRY_GRACE_S
        self._unanswered = set(addresses) - {self.own_address}
        self._ask_at = now
        return self.tick(now)

    def on_unproven(self, now, until):
        """Wait because the store may lack entries of agents that are alive.

        :param until: when those that are alive have written them again;
            infinite when that is not known yet.
        :returns: steps.
        """
        if until <= now or until == self._unproven_until:
            return []
        self._unproven_until = until
        self.is_complete = False
        return [
            steps.LogEvent(
                "list_unproven", fields={"for_s": round(until - now, 3)}
            )
        ]

    def on_request(self, now, address):
        """Handle the question of another balancer.

        One that asks has just started and has nothing to tell.

        :returns: steps.
        """
        self._unanswered.discard(address)
        return self.tick(now)

    def on_answer(self, now, address, message):
        """Handle the answer of a balancer, or a part of it.

        :returns: ``(entries, steps)``: the entries of the agents in it as
            :class:`~limpetlift.coordination.directory.ProcessEntry`.
        :raises MalformedMessage: when one cannot be decoded.
        """
        entries = [
            directory.decode_entry(
                change.key.removeprefix(directory.AGENTS_PREFIX), change.value
            )
            for change in message.agents
        ]
        known = self._agent_ids_by_address.setdefault(address, set())
        known.update(entry.process_id for entry in entries)
        if len(known) < message.total:
            return entries, []
        self._unanswered.discard(address)
        if message.is_complete:
            # The others have had their time when the slowest answers are in.
            self._complete_at = min(
                self._complete_at, now + defaults.UNLISTED_TIMEOUT_S
            )
        return entries, self.tick(now)

    def tick(self, now):
        """Ask again, or stop waiting when all have answered or in due time.

        :returns: steps.
        """
        if self.is_complete or self._complete_at == float("inf"):
            return []
        if now < self._unproven_until or (
            self._unanswered and now < self._complete_at
        ):
            return self._ask(now)
        self.is_complete = True
        self._agent_ids_by_address.clear()
        return [
            steps.LogEvent(
                "unlisted_agents_known",
                fields={"unanswered": len(self._unanswered)},
            )
        ]

    def _ask(self, now):
        if now < self._ask_at:
            return []
        self._ask_at = now + defaults.UNLISTED_RETRY_S
        return [
            steps.SendToPeer(address, tunnel.UnlistedAgentsRequest())
            for address in sorted(self._unanswered)
        ]

    def answers(self, now, entries):
        """Return the messages that name some agents to another balancer.

        While agents may be missing here, the messages announce one more than
        they name, so that the other balancer goes on asking.

        :param now: the current time in seconds (monotonic).
        :param entries: entries of the agents that the store does not have.
        """
        total = len(entries) + (now < self._unproven_until)
        batches = [[]]
        size = 0
        for entry in entries:
            change = tunnel.KeyChange(
                directory.AGENTS_PREFIX + entry.process_id, entry.encode(), 0
            )
            if size + change.size > tunnel.MAX_CHANGES_BYTES:
                batches.append([])
                size = 0
            batches[-1].append(change)
            size += change.size
        return [
            tunnel.UnlistedAgents(self.is_complete, total, batch)
            for batch in batches
        ]
