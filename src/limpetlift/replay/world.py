"""Everything that takes part in a replay."""

import random

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.replay import engine
from limpetlift.replay import events
from limpetlift.replay import nodes
from limpetlift.replay import outcomes
from limpetlift.replay import requests
from limpetlift.replay import store

# Time for the processes to find each other before the trace starts.
_WARM_UP_S = 5.0
# Time after the trace in which answers may still arrive.
_COOL_DOWN_S = 5.0
_SEEDS = 3
_SLOW_START_S = 5.0
# The fabric stops handing packets to a dead balancer after this time.
_FABRIC_S = 0.2


class World:
    """Everything that takes part in a replay.

    :param recorded: a :class:`limpetlift.replay.trace.Trace`.
    :param seed: replaces the seed of the trace when not None.
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
        self.offers = 0
        self.store = store.Store(self.clock)
        self.uses_retries = self.policies.get("retries", "budget") != "none"
        self._ids_by_address = {}
        self._callers = 0
        self._changes = []
        self._build()
        for event in recorded.events:
            self.clock.at(_WARM_UP_S + event.at, events.apply, self, event)
        self.trace_start = _WARM_UP_S
        # A recording does not know its end beforehand.
        last = max((event.at for event in recorded.events), default=0.0)
        self.end = _WARM_UP_S + max(self.header.duration_s, last)

    def run(self):
        """Run the trace and return its :class:`Outcomes`."""
        for process in list(self.network.processes_by_id.values()):
            process.start()
        self.clock.run(self.end + _COOL_DOWN_S)
        return self.outcomes

    def _build(self):
        sites = self.header.data_centres
        for index in range(self.header.balancers):
            site = sites[index % len(sites)]
            self.add(nodes.Balancer(self, "balancer-%d" % index, site))
        for service in self.header.services:
            for index in range(service.targets):
                site = sites[index % len(sites)]
                name = "%s-%d" % (service.name, index)
                self.add(nodes.Agent(self, name, site, service))

    def add(self, process):
        """Make a process known to the network."""
        self.network.processes_by_id[process.id] = process
        number = len(self.network.processes_by_id)
        address = "10.0.%d.%d:6000" % (number // 250, number % 250 + 1)
        self._ids_by_address[address] = process.id
        process.address = address

    def address_of(self, process_id):
        """Return the address of a process."""
        return self.network.processes_by_id[process_id].address

    def process_at(self, address):
        """Return the id of the process at an address, or None."""
        return self._ids_by_address.get(address)

    def seeds(self, process_id):
        """Return addresses of balancers for the start of a process."""
        return [
            process.address
            for process in self.balancers()
            if process.id != process_id
        ][:_SEEDS]

    def balancers(self):
        """Return all balancers, dead ones too."""
        return self._of_kind(members.BALANCER)

    def agents(self, service):
        """Return all agents of a service, dead ones too."""
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
        """Return the :class:`ServiceSpec` of a service."""
        for spec in self.header.services:
            if spec.name == name:
                return spec
        raise KeyError(name)

    # Packets.

    def send_packet(self, source, target_id, packet):
        """Send a data packet from a balancer or an agent to an agent."""
        target = self.network.processes_by_id.get(target_id)
        if target is not None:
            self.network.datagram(
                source, target_id, target.on_packet, packet, control=False
            )

    def datagram(self, service, caller):
        """A caller sends a datagram, which reaches any balancer."""
        record = self.outcomes.flow(service, caller)
        record.undelivered += 1
        ready = [
            process
            for process in self.balancers()
            if process.alive or self._died_now(process)
        ]
        if not ready:
            return
        balancer = self.rng.choice(ready)
        delay = self.header.client_ms / 1000 * self.rng.uniform(0.8, 1.5)
        if self.rng.random() >= self.header.loss and balancer.alive:
            self.clock.after(
                delay,
                balancer.receive,
                balancer.forward,
                (service, caller, b""),
            )

    def _died_now(self, process):
        died_at = getattr(process, "died_at", None)
        return died_at is not None and self.clock.now < died_at + _FABRIC_S

    def answer(self, agent, record):
        """The backend server of an agent answers on a flow."""
        record.answered = True

    def new_caller(self):
        """Return the address of a new caller."""
        self._callers += 1
        return (
            "172.16.%d.%d" % (self._callers // 250 % 250, self._callers % 250),
            1024 + self._callers // 62500,
        )

    # Spans without changes, for the imbalance.

    def note_change(self, service):
        """Remember that the members of a service changed."""
        self._changes.append((self.clock.now, service))

    def stable_spans(self, service):
        """Return the spans in which a service did not change."""
        times = [when for when, name in self._changes if name == service]
        settle = defaults.OWNERSHIP_SETTLE_S + self.slow_start_s
        starts = [0.0] + [when + settle for when in times]
        ends = times + [self.clock.now]
        return [(s, e) for s, e in zip(starts, ends) if e > s]

    def takers(self, service, when):
        """Return the agents that took new work from ``when`` on."""
        return [
            agent
            for agent in self.agents(service)
            if agent.takes_work_at(when)
        ]
