"""Agents as a balancer knows them: their loads, and which are alive."""

import math

import attrs

from limpetlift.coordination import monitoring
from limpetlift.coordination import revisions
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift.state import steps
from limpetlift import structs


@structs.define
class KnownAgent:
    """An agent as a balancer knows it.

    :param entry: its :class:`~limpetlift.coordination.directory.ProcessEntry`.
    :param load: its last :class:`~limpetlift.protocol.tunnel.LoadReport`, or
        None.
    :param load_received_at: when ``load`` arrived.
    :param asked_at: when it was asked for its load and has not answered yet;
        None when no question is open.
    :param monitored_since: when this balancer began to monitor it, or None
        when it does not.
    :param is_listed: whether the store has its entry.
    :param has_left: whether it announced that it stops, after its backend
        server had stopped, and no later process is known at its address.
    :param placement_times: when this balancer placed flows there that
        ``load`` may not include.
    :param warmup: ``(config_version, warmup_per_s)`` that hellos tell it;
        empty when they don't.
    """

    entry: object
    load: object = None
    load_received_at: float = float("-inf")
    asked_at: object = None
    monitored_since: object = None
    is_listed: bool = True
    has_left: bool = False
    placement_times: list = attrs.field(factory=list)
    warmup: tuple = ()
    # Hash of its id, for the order in which flows are offered to agents.
    id_hash: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.id_hash = hashing.id_hash(self.entry.process_id)

    def event(self, name, replaced=None):
        """Return the step that logs an event of this agent.

        :param replaced: the agent that was known at its address before.
        """
        fields = {
            "agent": self.entry.process_id,
            "address": "%s:%d" % self.entry.address,
            "service": self.entry.service,
        }
        if replaced is not None:
            fields["replaced"] = replaced.entry.process_id
            fields["replaced_service"] = replaced.entry.service
        return steps.LogEvent(name, fields=fields)

    @property
    def is_gone(self):
        """Whether it certainly holds no flow.

        It announced that it stops, and the store does not have its entry. A
        later process at its address may hold flows, but it writes the entry
        again, or finds it in the store if it was not removed.
        """
        return self.has_left and not self.is_listed

    def is_silent(self, now):
        """Whether it has left a question unanswered for too long."""
        return (
            self.asked_at is not None
            and now - self.asked_at > defaults.POLL_TIMEOUT_S
        )

    def ask(self, now):
        """Return the step that asks the agent for its load."""
        if self.asked_at is None:
            self.asked_at = now
        return steps.SendToPeer(
            self.entry.address, tunnel.Hello(self.is_listed, *self.warmup)
        )

    @property
    def room(self):
        """Number of new flows that the agent has room for, most likely.

        Flows that this balancer placed after the last report take room. An
        agent that has none declines, so flows placed just before the report
        are not counted: passing over an agent that has room would cost more.
        Infinity without a limit.
        """
        if self.load is None or self.load.room == tunnel.NO_LIMIT:
            return math.inf
        placed = sum(
            placed_at >= self.load_received_at
            for placed_at in self.placement_times
        )
        return max(self.load.room - placed, 0)

    def on_load(self, now, load, is_outdated):
        """Store a load report.

        :param is_outdated: whether the report waited through a pause of this
            balancer. It then does not show that the agent is alive.

        Incarnations are checked for equality but not for their order, because
        the clock of an instance may be set back before its agent restarts.

        :returns: whether the report is newer than the stored one.
        """
        known = self.load
        if (
            known is not None
            and load.incarnation == known.incarnation
            and load.number <= known.number
        ):
            return False
        if known is None or load.incarnation != known.incarnation:
            self.has_left = False
        self.load = load
        if is_outdated:
            return True
        self.load_received_at = now
        self.asked_at = None
        # The report may not include flows that were placed while it was on
        # its way.
        oldest_kept = now - defaults.LOAD_REPORT_LAG_S
        self.placement_times = [
            placed_at
            for placed_at in self.placement_times
            if placed_at > oldest_kept
        ]
        return True


@structs.define
class KnownAgents:
    """The agents of one balancer.

    Methods take ``now`` in seconds (monotonic). Some of them return steps of
    :mod:`limpetlift.state.steps`.

    :param own_address: ``(ip, port)`` of the balancer.
    :param rng: a :class:`random.Random`.
    :param by_address: :class:`KnownAgent` by ``(ip, port)``.
    :param heard_at: time of the last answer of any agent.

    .. versionadded:: 0.2
    """

    own_address: tuple
    rng: object
    by_address: dict = attrs.field(factory=dict)
    heard_at: float = float("-inf")
    _config_version: int = 0
    _paces_by_service: dict = attrs.field(factory=dict)
    _hello_sent_at: float = float("-inf")
    # End of the last pause of the balancer.
    _resumed_at: float = float("-inf")

    def on_pause(self, now):
        """Handle the end of a pause of the balancer.

        Hellos are sent at once, and only silence from now on counts.
        """
        self._resumed_at = now
        self._hello_sent_at = float("-inf")
        for agent in self.by_address.values():
            agent.asked_at = None
            if agent.monitored_since is not None:
                agent.monitored_since = now

    def on_paces(self, config_version, paces_by_service):
        """Tell each agent in hellos what its server bears while it is cold.

        :param config_version: version of the configuration.
        :param paces_by_service:
            :class:`~limpetlift.state.routing.ServicePace` by service.
        """
        self._config_version = config_version
        self._paces_by_service = paces_by_service
        for agent in self.by_address.values():
            agent.warmup = self._warmup_of(agent.entry)

    def _warmup_of(self, entry):
        if not self._config_version:
            return ()
        pace = self._paces_by_service.get(entry.service)
        return self._config_version, pace.warmup_per_s if pace else 0.0

    def on_entries(self, entries, unlisted):
        """Update the agents from the directory.

        Of several entries with one address the last one written counts: the
        entry of a lost agent may still be there when its address is used
        again.

        :param entries: entries of the agents.
        :param unlisted: ids of the agents whose entries the store does not
            have any more.
        :returns: steps.
        """
        result = []
        known = self.by_address
        self.by_address = {}
        newest_by_address = {}
        for entry in entries:
            other = newest_by_address.get(entry.address)
            if other is None or revisions.is_later_write(
                entry.revision, other.revision
            ):
                newest_by_address[entry.address] = entry
        for entry in newest_by_address.values():
            agent = known.pop(entry.address, None)
            if agent is None or (
                (agent.entry.process_id, agent.entry.service)
                != (entry.process_id, entry.service)
            ):
                replaced = agent
                agent = KnownAgent(entry, warmup=self._warmup_of(entry))
                result.append(agent.event("agent_joined", replaced))
            elif agent.has_left and revisions.is_later_in_era(
                entry.revision, agent.entry.revision
            ):
                # A later process has registered. In another era it may be the
                # entry of the one that has left.
                agent.has_left = False
                result.append(agent.event("agent_returned"))
            agent.entry = entry
            agent.is_listed = entry.process_id not in unlisted
            self.by_address[entry.address] = agent
        return result + [agent.event("agent_gone") for agent in known.values()]

    def unlisted(self):
        """Return the entries of the agents that the store does not have.

        Those that have left are not among them.
        """
        return [
            agent.entry
            for agent in self.by_address.values()
            if not agent.is_listed and not agent.has_left
        ]

    def add_unlisted(self, now, entry):
        """Add an agent that another balancer knows; ask whether it lives.

        :returns: steps; none for an address that is known.
        """
        if entry.address in self.by_address:
            return []
        agent = KnownAgent(
            entry, is_listed=False, warmup=self._warmup_of(entry)
        )
        self.by_address[entry.address] = agent
        return [agent.event("agent_joined"), agent.ask(now)]

    def gone(self):
        """Return the addresses of the agents that certainly hold no flow."""
        return {
            address
            for address, agent in self.by_address.items()
            if agent.is_gone
        }

    def of_services(self, services):
        """Return the agents of some services.

        :param services: names of the services.
        """
        return [
            agent
            for agent in self.by_address.values()
            if agent.entry.service in services
        ]

    def format_ids(self, addresses):
        """Return the ids of the first few agents as text for a log line."""
        agent_ids = sorted(
            self.by_address[address].entry.process_id
            for address in addresses
            if address in self.by_address
        )
        return ",".join(agent_ids[: defaults.MAX_LOGGED_AGENT_IDS])

    # Which of them are alive.

    def update_monitored(self, now, balancers):
        """Choose the agents to monitor; say hello to the new ones.

        :param balancers: entries of the balancers.
        :returns: steps.
        """
        addresses = monitoring.monitored(
            self.own_address,
            [entry.address for entry in balancers],
            list(self.by_address),
        )
        result = []
        for address, agent in self.by_address.items():
            if address not in addresses:
                agent.monitored_since = None
            elif agent.monitored_since is None:
                agent.monitored_since = now
                result.append(agent.ask(now))
        return result

    def is_connected(self, now):
        """Whether any agent answered recently, or no agent is known."""
        return (
            not self.by_address
            or now - self.heard_at < defaults.AGENTS_SILENT_AFTER_S
        )

    def silent(self, now):
        """Return the monitored agents that most likely will not come back.

        If half of the monitored agents or more are silent, a fault of this
        balancer's own links is more likely, and the result is empty.

        :returns: their entries.
        """
        monitored = [
            agent
            for agent in self.by_address.values()
            if agent.monitored_since is not None
        ]
        silent = [
            agent.entry
            for agent in monitored
            if now - max(agent.load_received_at, agent.monitored_since)
            > defaults.SILENT_AGENT_REMOVE_AFTER_S
        ]
        if 2 * len(silent) >= len(monitored):
            return []
        return silent

    def is_reporting(self, now, address):
        """Whether the agent at ``address`` has answered recently.

        Silence counts only while this balancer runs.
        """
        agent = self.by_address.get(address)
        return agent is not None and (
            now - max(agent.load_received_at, self._resumed_at)
            < defaults.AGENT_HEARD_MAX_AGE_S
        )

    def say_hello(self, now):
        """Return the hellos that show which agents are alive, when due.

        Agents whose entries the store does not have get one from every
        balancer, which keeps them in the directory while they answer.
        """
        if now - self._hello_sent_at < defaults.HELLO_INTERVAL_S:
            return []
        agents = [
            agent
            for agent in self.by_address.values()
            if agent.monitored_since is not None or not agent.is_listed
        ]
        if now - self.heard_at > defaults.HELLO_INTERVAL_S:
            others = list(self.by_address.values())
            agents += self.rng.sample(
                others, min(defaults.EXTRA_HELLOS, len(others))
            )
        self._hello_sent_at = now
        return [agent.ask(now) for agent in agents]
