"""The simulation of a deployment that replays a trace."""

import random

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.replay import engine
from limpetlift.replay import events
from limpetlift.replay import nodes
from limpetlift.replay import outcomes
from limpetlift.replay import requests
from limpetlift.replay import store

# Time before the trace starts, in which the processes find each other.
_WARM_UP_S = 5.0
# Time after the trace in which answers may still arrive.
_COOL_DOWN_S = 5.0
# Balancers whose addresses a starting process gets.
_MAX_SEEDS = 3
_SLOW_START_S = 5.0
# The network fabric stops sending packets to a dead balancer after this time.
_FABRIC_DETECTION_S = 0.2


class Simulation:
    """A simulated deployment with its processes, network, store and callers.

    :param recorded: a :class:`limpetlift.replay.trace.Trace`.
    :param seed: random seed to use instead of that of the trace, or None.
    :param policies: policy name by kind of policy.

    .. versionadded:: 0.1
    """

    def __init__(self, recorded, seed=None, policies=None):
        self.header = recorded.header
        self.rng = random.Random(self.header.seed if seed is None else seed)
        self.policies = dict(policies or {})
        self.slow_start_s = _SLOW_START_S
        self.clock = engine.Clock()
        self.network = engine.Network(self.clock, self.header, self.rng)
        self.outcomes = outcomes.Outcomes(self)
        self.callers = requests.Callers(self)
        self.offer_count = 0
        self.store = store.Store(self.clock)
        self.uses_retries = self.policies.get("retries", "budget") != "none"
        self._ids_by_address = {}
        self._caller_count = 0
        self._service_changes = []
        self._add_processes()
        for event in recorded.events:
            self.clock.at(_WARM_UP_S + event.at, events.apply, self, event)
        self.trace_start = _WARM_UP_S
        # A recorder writes the header before it knows the duration.
        last_event_at = max(
            (event.at for event in recorded.events), default=0.0
        )
        self.end = _WARM_UP_S + max(self.header.duration_s, last_event_at)

    def run(self):
        """Run the trace and return what it measured.

        :returns: a :class:`limpetlift.replay.outcomes.Outcomes`.
        """
        for process in list(self.network.processes_by_id.values()):
            process.start()
        self.clock.run(self.end + _COOL_DOWN_S)
        return self.outcomes

    def _add_processes(self):
        data_centres = self.header.data_centres
        for index in range(self.header.balancers):
            data_centre_spec = data_centres[index % len(data_centres)]
            self.add(
                nodes.Balancer(self, "balancer-%d" % index, data_centre_spec)
            )
        for service in self.header.services:
            for index in range(service.targets):
                data_centre_spec = data_centres[index % len(data_centres)]
                name = "%s-%d" % (service.name, index)
                self.add(nodes.Agent(self, name, data_centre_spec, service))

    def add(self, process):
        """Add a process to the network and assign it an address."""
        self.network.processes_by_id[process.id] = process
        number = len(self.network.processes_by_id)
        address = "10.0.%d.%d:6000" % (number // 250, number % 250 + 1)
        self._ids_by_address[address] = process.id
        process.address = address

    def address_of(self, process_id):
        """Return the address of a process."""
        return self.network.processes_by_id[process_id].address

    def process_id_at(self, address):
        """Return the id of the process at an address, or None."""
        return self._ids_by_address.get(address)

    def seeds(self, process_id):
        """Return addresses of balancers that a starting process contacts."""
        return [
            process.address
            for process in self.balancers()
            if process.id != process_id
        ][:_MAX_SEEDS]

    def balancers(self):
        """Return all balancers, including dead ones."""
        return self._of_kind(members.BALANCER)

    def agents(self, service):
        """Return all agents of a service, including dead ones."""
        return [
            process
            for process in self._of_kind(members.AGENT)
            if process.service.name == service
        ]

    def _of_kind(self, kind):
        return [
            process
            for process in self.network.processes_by_id.values()
            if process.kind == kind
        ]

    def service(self, name):
        """Return the specification of a service in the header of the trace."""
        for spec in self.header.services:
            if spec.name == name:
                return spec
        raise KeyError(name)

    # Packets.

    def send_packet(self, source, target_id, packet):
        """Send a data packet from a balancer or an agent to an agent."""
        target = self.network.processes_by_id.get(target_id)
        if target is not None:
            self.network.send_datagram(
                source, target_id, target.on_packet, packet, is_control=False
            )

    def send_caller_datagram(self, service, caller):
        """Send a datagram of a caller to a random balancer.

        The network fabric may choose a balancer that has just died, and the
        datagram is lost then.
        """
        record = self.outcomes.get_or_add_flow(service, caller)
        record.undelivered_count += 1
        candidates = [
            process
            for process in self.balancers()
            if process.alive or self._died_recently(process)
        ]
        if not candidates:
            return
        balancer = self.rng.choice(candidates)
        delay_s = self.header.client_ms / 1000 * self.rng.uniform(0.8, 1.5)
        if self.rng.random() >= self.header.loss and balancer.alive:
            self.clock.after(
                delay_s,
                balancer.receive,
                balancer.forward,
                (service, caller, b""),
            )

    def _died_recently(self, process):
        died_at = getattr(process, "died_at", None)
        return (
            died_at is not None
            and self.clock.now < died_at + _FABRIC_DETECTION_S
        )

    def on_server_answer(self, agent, record):
        """Record that an agent's backend server has answered on a flow."""
        record.answered = True

    def new_caller(self):
        """Return the address of a new caller."""
        self._caller_count += 1
        return (
            "172.16.%d.%d"
            % (self._caller_count // 250 % 250, self._caller_count % 250),
            1024 + self._caller_count // 62500,
        )

    # Spans without changes, in which the imbalance of flows is measured.

    def record_service_change(self, service):
        """Record a change of the members of a service at the present time."""
        self._service_changes.append((self.clock.now, service))

    def stable_spans(self, service):
        """Return the time spans in which a service did not change.

        A span begins when the views have settled after a change and the slow
        start is over.
        """
        times = [
            when for when, name in self._service_changes if name == service
        ]
        settle_s = defaults.OWNERSHIP_SETTLE_S + self.slow_start_s
        starts = [0.0] + [when + settle_s for when in times]
        ends = times + [self.clock.now]
        return [(s, e) for s, e in zip(starts, ends) if e > s]

    def accepting_agents(self, service, when):
        """Return the agents that have accepted new work since ``when``."""
        return [
            agent
            for agent in self.agents(service)
            if agent.has_accepted_work_since(when)
        ]
