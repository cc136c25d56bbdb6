"""Searching for flows that a balancer does not know.

A balancer asks all agents, in messages that several searches share. An agent
that is unsure is given a segment, which its server takes or returns. Without
certain answers of all agents a search ends in silence.
"""

import collections

import attrs

from limpetlift import defaults
from limpetlift.protocol import tunnel
from limpetlift.state import steps


@attrs.define
class _Search:
    """A flow that the agents are asked for.

    :param began_at: when its segment came.
    :param expires_at: when it is given up.
    :param ack: what the caller acknowledged last.
    :param likely: addresses whose servers are tried first.
    :param waiting: segments that came meanwhile.
    :param asked: addresses of agents that have not answered.
    :param excluded: addresses of agents that do not have it.
    :param starting: addresses of asked agents that do not know yet.
    :param again_at: when those are asked again.
    :param untried: addresses of unsure agents that are less likely.
    :param try_all_at: when those are tried.
    """

    began_at: float
    expires_at: float
    ack: int
    likely: frozenset
    waiting: list
    asked: set = attrs.field(factory=set)
    excluded: set = attrs.field(factory=set)
    starting: set = attrs.field(factory=set)
    again_at: float = float("inf")
    untried: set = attrs.field(factory=set)
    try_all_at: float = float("inf")


@attrs.define
class FlowSearches:
    """The searches of one balancer.

    Methods take ``now`` in seconds (monotonic); those that say so return
    steps. Agents are named by their addresses.

    .. versionadded:: 0.2
    """

    _searches_by_key: dict = attrs.field(factory=dict)
    _queries_by_address: dict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def keep(self, segment):
        """Keep a segment for the search of its flow; whether there is one."""
        search = self._searches_by_key.get(segment.key)
        if search is None:
            return False
        if len(search.waiting) < defaults.MAX_SEARCH_SEGMENTS:
            search.waiting.append(segment.data)
        return True

    def begin(self, now, segment, agents, likely, excluded=()):
        """Search for the flow of a segment.

        :param agents: addresses of the agents that may have it.
        :param likely: those whose servers are tried first; all when empty.
        :param excluded: addresses of agents that do not have it.
        :returns: steps.
        """
        key = segment.key
        search = _Search(
            now,
            now + defaults.SEARCH_TIMEOUT_S,
            segment.ack,
            likely,
            [segment.data],
        )
        search.excluded.update(excluded)
        self._searches_by_key[key] = search
        self._ask(key, search, agents)
        return [
            steps.LogEvent("flow_searched", key, {"asked": len(search.asked)})
        ]

    def end(self, key):
        """End the search for a flow that was found.

        :returns: ``(segments that waited, when it began)``, or None when
            there is no such search.
        """
        search = self._searches_by_key.pop(key, None)
        return search and (search.waiting, search.began_at)

    def is_asked(self, key, address):
        """Whether an answer of the agent is expected."""
        search = self._searches_by_key.get(key)
        return search is not None and address in search.asked

    def _ask(self, key, search, agents):
        """Ask the agents that were not asked before; whether there are any."""
        asked = agents - search.excluded - search.asked
        search.asked |= asked
        self._queue_queries(key, search, asked)
        return bool(asked)

    def _queue_queries(self, key, search, addresses):
        query = tunnel.Query(key, search.ack)
        for address in addresses:
            self._queries_by_address[address].append(query)

    @property
    def has_queries(self):
        """Whether :meth:`flush_queries` has something to send."""
        return bool(self._queries_by_address)

    def flush_queries(self):
        """Return the steps that send the queries so far, in batches.

        After a loss of power every open flow is searched for at every agent;
        a message for each would fill the link of a small instance.
        """
        found = [
            steps.SendToPeer(address, tunnel.LocateRequest(batch))
            for address, queries in self._queries_by_address.items()
            for batch in tunnel.in_batches(queries, tunnel.QUERIES_PER_MESSAGE)
        ]
        self._queries_by_address.clear()
        return found

    # Answers.

    def on_absent(self, now, address, key):
        """Note that an agent is certainly without a flow; return steps."""
        if not self.is_asked(key, address):
            return []
        search = self._searches_by_key[key]
        search.asked.discard(address)
        search.starting.discard(address)
        search.excluded.add(address)
        if search.asked:
            return []
        search.expires_at = now + defaults.DIRECTORY_READ_TIMEOUT_S
        return [steps.ReadDirectory()]

    def on_left(self, now, address):
        """Note that an agent ended after its server; return steps."""
        found = []
        for key in list(self._searches_by_key):
            found += self.on_absent(now, address, key)
        return found

    def on_unsure(self, now, address, key):
        """Try the server beside an unsure agent, a likely one at once.

        :returns: steps.
        """
        search = self._searches_by_key[key]
        if search.likely and address not in search.likely:
            search.untried.add(address)
            search.try_all_at = min(
                search.try_all_at, now + defaults.SEARCH_LIKELY_TIMEOUT_S
            )
            return []
        return [
            steps.SendToPeer(
                address, tunnel.TentativeForward(search.waiting[0])
            )
        ]

    def on_starting(self, now, address, key):
        """Ask an agent again that has not heard its server yet."""
        search = self._searches_by_key[key]
        search.starting.add(address)
        search.again_at = min(search.again_at, now + defaults.SEARCH_RETRY_S)

    def on_directory_read(self, now, began_at, agents):
        """Decide on searches after all entries were read from the store.

        An agent is listed before it takes its first flow. When all agents of
        a list that was read after the segment came are without the flow, no
        backend server holds it, and its caller need not wait for a time-out.
        A list without any agent proves nothing: entries may have been lost
        while the agents live.

        :param began_at: when the read began.
        :param agents: addresses of the agents that may have flows.
        :returns: steps.
        """
        found = []
        for key, search in list(self._searches_by_key.items()):
            if search.asked or search.began_at > began_at:
                continue
            if self._ask(key, search, agents):
                search.expires_at = now + defaults.SEARCH_TIMEOUT_S
                continue
            if not search.excluded:
                continue
            del self._searches_by_key[key]
            found += [
                steps.Reset(key, search.ack, "flow_lost"),
                steps.LogEvent(
                    "flow_lost",
                    key,
                    {
                        "agents_without": len(search.excluded),
                        "directory_age_s": round(now - began_at, 3),
                    },
                ),
            ]
        return found

    # Timers.

    def tick(self, now, names_of):
        """Run the timers; return steps.

        :param names_of: addresses of agents to a text for a log line.
        """
        found = []
        for key, search in list(self._searches_by_key.items()):
            if search.again_at <= now:
                self._ask_starting(now, key, search)
            if search.try_all_at <= now:
                found += self._try_all(now, search)
            if search.expires_at <= now:
                del self._searches_by_key[key]
                found.append(
                    steps.LogEvent(
                        "flow_not_found",
                        key,
                        {
                            "waited": len(search.waiting),
                            "unanswered": names_of(search.asked),
                        },
                    )
                )
        return found + self.flush_queries()

    def _ask_starting(self, now, key, search):
        self._queue_queries(key, search, search.starting)
        search.starting = set()
        search.again_at = float("inf")
        search.expires_at = min(
            now + defaults.SEARCH_TIMEOUT_S,
            search.began_at + defaults.SEARCH_MAX_S,
        )

    @staticmethod
    def _try_all(now, search):
        message = tunnel.TentativeForward(search.waiting[0])
        found = [
            steps.SendToPeer(address, message) for address in search.untried
        ]
        search.untried = set()
        search.try_all_at = float("inf")
        search.expires_at = now + defaults.SEARCH_TIMEOUT_S
        return found
