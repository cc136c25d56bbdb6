"""Searches for the agents of flows that a balancer does not know.

A balancer queries all agents, in messages that several searches share. An
agent that cannot tell whether its backend server holds the flow gets a
segment of it, which the server accepts or returns. A search ends without a
reset unless every agent has confirmed that its server does not hold the flow.
"""

import collections

import attrs

from limpetlift import defaults
from limpetlift.protocol import tunnel
from limpetlift.state import steps
from limpetlift import structs


@structs.define
class _Search:
    """A search for the agent of one flow.

    :param began_at: arrival time of the segment that started the search.
    :param expires_at: when the search is abandoned.
    :param ack: acknowledgement number of that segment.
    :param likely: addresses of the agents whose servers are tried first.
    :param waiting: datagrams of the flow that arrived so far, oldest first.
    :param pending: addresses of the agents that have been queried and have
        not given a final answer.
    :param excluded: addresses of the agents that do not hold the flow.
    :param starting: addresses of the pending agents that have just started
        and cannot answer yet.
    :param retry_at: when the ``starting`` agents are queried again.
    :param untried: addresses of the unsure agents that are less likely to
        hold the flow and have not been given a segment yet.
    :param try_all_at: when the ``untried`` agents are given a segment.
    """

    began_at: float
    expires_at: float
    ack: int
    likely: frozenset
    waiting: list
    pending: set = attrs.field(factory=set)
    excluded: set = attrs.field(factory=set)
    starting: set = attrs.field(factory=set)
    retry_at: float = float("inf")
    untried: set = attrs.field(factory=set)
    try_all_at: float = float("inf")


@structs.define
class FlowSearches:
    """The searches of one balancer that are in progress.

    Methods take ``now`` in seconds (monotonic). Some of them return steps of
    :mod:`limpetlift.state.steps`. Agents are identified by their addresses.

    .. versionadded:: 0.2
    """

    _searches_by_key: dict = attrs.field(factory=dict)
    _queries_by_address: dict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def add_segment(self, segment):
        """Keep a segment until the search for its flow ends.

        Segments beyond :data:`~limpetlift.defaults.MAX_SEARCH_SEGMENTS` are
        dropped.

        :returns: whether such a search is in progress.
        """
        search = self._searches_by_key.get(segment.key)
        if search is None:
            return False
        if len(search.waiting) < defaults.MAX_SEARCH_SEGMENTS:
            search.waiting.append(segment.data)
        return True

    def begin(self, now, segment, agents, likely, excluded=()):
        """Start a search for the flow of a segment.

        :param segment: the segment, of a flow without a search.
        :param agents: addresses of the agents that may hold the flow.
        :param likely: addresses of the agents whose servers are tried first;
            when empty, all are tried at once.
        :param excluded: addresses of agents that do not hold the flow.
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
        self._query_new(key, search, agents)
        return [
            steps.LogEvent(
                "flow_searched", key, {"asked": len(search.pending)}
            )
        ]

    def end(self, key):
        """End the search for a flow that was found.

        :returns: ``(waiting datagrams, start time of the search)``, or None
            when no search for the flow is in progress.
        """
        search = self._searches_by_key.pop(key, None)
        return search and (search.waiting, search.began_at)

    def is_pending(self, key, address):
        """Whether the agent has been queried and has not answered finally."""
        search = self._searches_by_key.get(key)
        return search is not None and address in search.pending

    def _query_new(self, key, search, agents):
        """Query the agents that have not been queried yet.

        :returns: whether there are any.
        """
        unqueried = agents - search.excluded - search.pending
        search.pending |= unqueried
        self._queue_queries(key, search, unqueried)
        return bool(unqueried)

    def _queue_queries(self, key, search, addresses):
        query = tunnel.Query(key, search.ack)
        for address in addresses:
            self._queries_by_address[address].append(query)

    @property
    def has_queries(self):
        """Whether queries are queued for :meth:`flush_queries`."""
        return bool(self._queries_by_address)

    def flush_queries(self):
        """Clear the queue of queries; return the steps that send them.

        The queries to an agent share messages. After a power failure every
        open flow is searched for at every agent, and one message per query
        would saturate the link of a small instance.
        """
        result = [
            steps.SendToPeer(address, tunnel.LocateRequest(batch))
            for address, queries in self._queries_by_address.items()
            for batch in tunnel.in_batches(queries, tunnel.QUERIES_PER_MESSAGE)
        ]
        self._queries_by_address.clear()
        return result

    # Answers of agents.

    def on_absent(self, now, address, key):
        """Record that an agent's server does not hold a flow for certain.

        :returns: steps; the last answer of a search requests a read of the
            directory.
        """
        if not self.is_pending(key, address):
            return []
        search = self._searches_by_key[key]
        search.pending.discard(address)
        search.starting.discard(address)
        search.excluded.add(address)
        if search.pending:
            return []
        search.expires_at = now + defaults.DIRECTORY_READ_TIMEOUT_S
        return [steps.ReadDirectory()]

    def on_left(self, now, address):
        """Record that an agent stopped after its server had stopped.

        :returns: steps.
        """
        result = []
        for key in list(self._searches_by_key):
            result += self.on_absent(now, address, key)
        return result

    def on_unsure(self, now, address, key):
        """Give an unsure agent a segment for its server to accept or return.

        A likely agent gets it at once. The others get it only if the flow is
        not found within :data:`~limpetlift.defaults.SEARCH_LIKELY_TIMEOUT_S`.

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
        """Schedule another query to an agent that cannot answer yet.

        The agent has just started and has no report of its server.
        """
        search = self._searches_by_key[key]
        search.starting.add(address)
        search.retry_at = min(search.retry_at, now + defaults.SEARCH_RETRY_S)

    def on_directory_read(self, now, began_at, agents):
        """Complete searches after all entries were read from the store.

        An agent registers before it accepts its first flow. If a list of
        agents was read after the segment arrived and none of its agents holds
        the flow, then no backend server holds it. The caller gets a reset, so
        that it does not have to wait for its timeout. An empty list proves
        nothing, because the store may have lost entries of agents that are
        alive.

        :param began_at: when the read began.
        :param agents: addresses of the agents that may hold flows.
        :returns: steps.
        """
        result = []
        for key, search in list(self._searches_by_key.items()):
            if search.pending or search.began_at > began_at:
                continue
            if self._query_new(key, search, agents):
                search.expires_at = now + defaults.SEARCH_TIMEOUT_S
                continue
            if not search.excluded:
                continue
            del self._searches_by_key[key]
            result += [
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
        return result

    # Timers.

    def on_pause(self, now):
        """Wait for the answers again that a pause of this process delayed."""
        for search in self._searches_by_key.values():
            search.expires_at = max(
                search.expires_at, now + defaults.SEARCH_TIMEOUT_S
            )

    def tick(self, now, format_agents):
        """Run the timers.

        :param format_agents: function of a set of agents' addresses; returns
            a text for a log line.
        :returns: steps.
        """
        result = []
        for key, search in list(self._searches_by_key.items()):
            if search.retry_at <= now:
                self._query_starting(now, key, search)
            if search.try_all_at <= now:
                result += self._try_all(now, search)
            if search.expires_at <= now:
                del self._searches_by_key[key]
                result.append(
                    steps.LogEvent(
                        "flow_not_found",
                        key,
                        {
                            "waited": len(search.waiting),
                            "unanswered": format_agents(search.pending),
                        },
                    )
                )
        return result + self.flush_queries()

    def _query_starting(self, now, key, search):
        """Query the agents again that had just started."""
        self._queue_queries(key, search, search.starting)
        search.starting = set()
        search.retry_at = float("inf")
        search.expires_at = min(
            now + defaults.SEARCH_TIMEOUT_S,
            search.began_at + defaults.SEARCH_MAX_S,
        )

    @staticmethod
    def _try_all(now, search):
        """Return steps that give all untried agents a segment of the flow."""
        message = tunnel.TentativeForward(search.waiting[0])
        result = [
            steps.SendToPeer(address, message) for address in search.untried
        ]
        search.untried = set()
        search.try_all_at = float("inf")
        search.expires_at = now + defaults.SEARCH_TIMEOUT_S
        return result
