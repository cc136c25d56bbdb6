"""Searches for the agents of flows that a balancer does not know.

A balancer first queries the agents at which it would place the flow, because
nearly all flows are there, and then more and more of the others. Several
searches share messages, and a budget bounds what all searches send. An agent
that cannot tell whether its backend server holds the flow gets a segment of
it, which the server accepts or returns. A search ends without a reset unless
every agent has confirmed that its server does not hold the flow. What agents
have confirmed stays true while the caller repeats the same segment, so a
search goes on from there when the next copy comes.
"""

import collections
import itertools

import attrs

from limpetlift.coordination import tokens
from limpetlift import defaults
from limpetlift.protocol import tunnel
from limpetlift.state import steps
from limpetlift import structs


@structs.define
class _Search:
    """A search for the agent of one flow.

    :param began_at: arrival time of the segment that started the search.
    :param expires_at: when the search ends without a result.
    :param ack: acknowledgement number of that segment.
    :param preferred: addresses of the agents that are queried first, in this
        order.
    :param waiting: datagrams of the flow that arrived so far, oldest first.
    :param pending: addresses of the agents that have been queried and have
        not given a final answer.
    :param excluded: addresses of the agents that do not hold the flow.
    :param starting: addresses of the pending agents that have just started
        and cannot answer yet.
    :param retry_at: when the ``starting`` agents are queried again.
    :param rounds: number of times that agents were queried.
    :param widen_at: when more agents are queried; infinite when all have
        been.
    :param is_delayed: whether the budget has delayed a round.
    :param is_dormant: whether it has ended without a result and waits for
        the next copy of its segment, or for late answers.
    """

    began_at: float
    expires_at: float
    ack: int
    preferred: list
    waiting: list
    pending: set = attrs.field(factory=set)
    excluded: set = attrs.field(factory=set)
    starting: set = attrs.field(factory=set)
    retry_at: float = float("inf")
    rounds: int = 0
    widen_at: float = float("-inf")
    is_delayed: bool = False
    is_dormant: bool = False

    @property
    def forgotten_at(self):
        """When a dormant search is deleted: its caller has given up."""
        return self.began_at + defaults.SEARCH_WIDENING_MAX_S

    @property
    def is_complete(self):
        """Whether all agents have been queried."""
        return self.widen_at == float("inf")

    def _unqueried(self, addresses):
        """Iterate over the addresses that are not queried yet, lazily."""
        return (
            address
            for address in addresses
            if address not in self.pending and address not in self.excluded
        )

    def has_unqueried(self, agents):
        """Whether one of ``agents`` has not been queried yet."""
        return next(self._unqueried(agents), None) is not None

    def take_next(self, agents):
        """Add the agents of the next round to ``pending``; return them.

        The last round is up to twice as large as it would be otherwise, so
        that no small round is left.

        :param agents: addresses of the agents that may hold flows.
        """
        count = defaults.SEARCH_FIRST_AGENTS
        if self.rounds:
            queried = len(self.pending) + len(self.excluded)
            count = defaults.SEARCH_GROWTH * max(queried, count)
            if len(agents) - queried <= 2 * count:
                count = len(agents)
        self.rounds += 1
        preferred = (
            address for address in self.preferred if address in agents
        )
        unqueried = self._unqueried(itertools.chain(preferred, agents))
        taken = []
        for address in itertools.islice(unqueried, count):
            # An agent that is preferred is not taken a second time.
            self.pending.add(address)
            taken.append(address)
        return taken


@structs.define
class FlowSearches:
    """The searches of one balancer that are in progress.

    Methods take ``now`` in seconds (monotonic). Some of them return steps of
    :mod:`limpetlift.state.steps`. Agents are identified by their addresses.

    :param agents: addresses of the known agents, as the keys of a dictionary.
    :param gone: addresses of those that certainly hold no flow. They are
        queried, but no search waits for their answers.
    :param are_agents_known: whether ``agents`` has all agents that may hold
        flows. Otherwise a flow may be found, but not proved lost.

    .. versionadded:: 0.2
    """

    agents: dict = attrs.field(factory=dict)
    gone: set = attrs.field(factory=set)
    are_agents_known: bool = True
    _searches_by_key: dict = attrs.field(factory=dict)
    _queries_by_address: dict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    _budget: tokens.TokenBucket = attrs.field(
        factory=lambda: tokens.TokenBucket(
            defaults.SEARCH_BYTES_PER_S, defaults.SEARCH_BURST_S
        )
    )
    # When further rounds are sent again after the budget was used up. Rounds
    # that are sent together share messages.
    _delayed_until: float = float("-inf")

    def on_agents(self, now, agents, gone):
        """Replace the known agents and those of them that are gone.

        :returns: steps for the searches that waited only for agents that are
            gone now.
        """
        newly_gone = gone - self.gone
        self.agents = agents
        self.gone = gone
        result = []
        for key, search in self._searches_by_key.items():
            if search.is_complete and search.pending & newly_gone:
                result += self._on_answer(now, key, search)
        return result

    def on_agents_known(self, now):
        """Resume the searches that only waited for all agents to be known.

        :returns: steps.
        """
        self.are_agents_known = True
        result = []
        for key, search in self._searches_by_key.items():
            if search.is_complete and not self._is_awaiting(search):
                result += self._on_answer(now, key, search)
        return result

    def _is_awaiting(self, search):
        """Whether the answer of an agent that may hold the flow is missing."""
        return not search.pending <= self.gone

    def add_segment(self, segment):
        """Keep a segment until the search for its flow ends.

        Segments beyond :data:`~limpetlift.defaults.MAX_SEARCH_SEGMENTS` are
        dropped.

        :returns: whether such a search is in progress.
        """
        search = self._searches_by_key.get(segment.key)
        if search is None or search.is_dormant:
            return False
        if len(search.waiting) < defaults.MAX_SEARCH_SEGMENTS:
            search.waiting.append(segment.data)
        return True

    def begin(self, now, segment, preferred, excluded=()):
        """Start a search for the flow of a segment, or go on with one.

        A flow with another acknowledgement number may be a later one between
        the same ports, of which nothing has been confirmed.

        :param segment: the segment, of a flow without a search in progress.
        :param preferred: addresses of the agents that are queried first, in
            this order.
        :param excluded: addresses of agents that do not hold the flow.
        :returns: steps.
        """
        key = segment.key
        search = _Search(
            now,
            now + defaults.SEARCH_WIDENING_MAX_S,
            segment.ack,
            preferred,
            [segment.data],
        )
        search.excluded.update(excluded)
        dormant = self._searches_by_key.get(key)
        if dormant is not None and dormant.ack == segment.ack:
            search.excluded |= dormant.excluded
        self._searches_by_key[key] = search
        result = self._widen(now, key, search)
        result.append(
            steps.LogEvent(
                "flow_searched",
                key,
                {
                    "asked": len(search.pending),
                    "agents_without": len(search.excluded),
                },
            )
        )
        if (
            search.is_complete
            and search.excluded
            and not self._is_awaiting(search)
        ):
            result += self._on_answer(now, key, search)
        return result

    def _widen(self, now, key, search):
        """Query the next agents of a search, if the budget allows it.

        The first round is never delayed: it is small, and it finds nearly
        every flow that a server holds.

        :returns: steps.
        """
        self._budget.refill(now)
        if now >= self._delayed_until and not self._budget.has_tokens:
            self._delayed_until = now + defaults.SEARCH_BURST_S
        if search.rounds and now < self._delayed_until:
            search.widen_at = self._delayed_until
            if search.is_delayed:
                return []
            search.is_delayed = True
            return [
                steps.LogEvent(
                    "search_delayed", key, {"asked": len(search.pending)}
                )
            ]
        self._queue_queries(key, search, search.take_next(self.agents))
        if search.has_unqueried(self.agents):
            search.widen_at = now + defaults.SEARCH_ROUND_TIMEOUT_S
        else:
            search.widen_at = float("inf")
            search.expires_at = now + defaults.SEARCH_TIMEOUT_S
        return []

    def end(self, key):
        """End the search for a flow that was found or opened.

        :returns: ``(waiting datagrams, start time of the search)``, or None
            when no search for the flow is in progress.
        """
        search = self._searches_by_key.pop(key, None)
        return search and (search.waiting, search.began_at)

    def is_pending(self, key, address):
        """Whether the agent has been queried and has not answered finally."""
        search = self._searches_by_key.get(key)
        return search is not None and address in search.pending

    def _queue_queries(self, key, search, addresses):
        query = tunnel.Query(key, search.ack)
        for address in addresses:
            queries = self._queries_by_address[address]
            if not queries:
                self._budget.charge(2 * defaults.MESSAGE_HEADER_BYTES)
            queries.append(query)
            self._budget.charge(tunnel.QUERY_BYTES)

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
        return self._on_answer(now, key, search)

    def _on_answer(self, now, key, search):
        """Go on with a search once all agents queried so far have answered.

        Without all agents, a list of the store proves nothing and is not read.

        :returns: steps.
        """
        result = []
        if not self._is_awaiting(search) and not search.is_complete:
            result = self._widen(now, key, search)
        if (
            self._is_awaiting(search)
            or not search.is_complete
            or not self.are_agents_known
        ):
            return result
        search.expires_at = now + defaults.DIRECTORY_READ_TIMEOUT_S
        return result + [steps.ReadDirectory()]

    def on_left(self, now, address):
        """Record that an agent stopped after its server had stopped.

        :returns: steps.
        """
        result = []
        for key, search in list(self._searches_by_key.items()):
            if address in search.pending:
                result += self.on_absent(now, address, key)
            else:
                search.excluded.add(address)
        return result

    def on_unsure(self, key, address):
        """Give an unsure agent a segment for its server to accept or return.

        :returns: steps.
        """
        search = self._searches_by_key[key]
        if search.is_dormant:
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
        if search.is_dormant:
            return
        search.starting.add(address)
        search.retry_at = min(search.retry_at, now + defaults.SEARCH_RETRY_S)

    def on_directory_read(self, now, began_at):
        """Complete searches after all entries were read from the store.

        An agent registers when it accepts its first flow. If a list of
        agents was read after the segment arrived and none of its agents holds
        the flow, then no backend server holds it. The caller gets a reset, so
        that it does not have to wait for its timeout. An empty list proves
        nothing, because the store may have lost entries of agents that are
        alive.

        :param began_at: when the read began.
        :returns: steps.
        """
        result = []
        if not self.are_agents_known:
            return result
        for key, search in list(self._searches_by_key.items()):
            if (
                self._is_awaiting(search)
                or not search.is_complete
                or search.began_at > began_at
            ):
                continue
            if search.has_unqueried(self.agents):
                # Agents have joined since the last round.
                result += self._widen(now, key, search)
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
            if not search.is_complete:
                search.widen_at = now + defaults.SEARCH_ROUND_TIMEOUT_S

    def tick(self, now, format_agents):
        """Run the timers.

        :param format_agents: function of a set of agents' addresses; returns
            a text for a log line.
        :returns: steps.
        """
        result = []
        due = []
        for key, search in list(self._searches_by_key.items()):
            if search.is_dormant:
                if search.forgotten_at <= now:
                    del self._searches_by_key[key]
                continue
            if search.retry_at <= now:
                self._query_starting(now, key, search)
            if search.expires_at <= now:
                result.append(
                    steps.LogEvent(
                        "flow_not_found",
                        key,
                        {
                            "waited": len(search.waiting),
                            "unanswered": format_agents(search.pending),
                            "is_complete": search.is_complete,
                        },
                    )
                )
                search.is_dormant = True
                search.waiting = []
            elif search.widen_at <= now:
                due.append((key, search))
        # Second rounds are small and find most of the flows that are left.
        # After them the oldest searches come first, so that some callers get
        # their proof early.
        due.sort(key=lambda item: item[1].rounds > 1)
        for key, search in due:
            result += self._widen(now, key, search)
            if not self._is_awaiting(search) and search.is_complete:
                result += self._on_answer(now, key, search)
        return result + self.flush_queries()

    def _query_starting(self, now, key, search):
        """Query the agents again that had just started."""
        self._queue_queries(key, search, search.starting)
        search.starting = set()
        search.retry_at = float("inf")
        if search.is_complete:
            search.expires_at = min(
                now + defaults.SEARCH_TIMEOUT_S,
                search.began_at + defaults.SEARCH_MAX_S,
            )
