"""Runs a trace: builds the processes, applies the events, keeps the time."""

import random

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.replay import engine
from limpetlift.replay import nodes
from limpetlift.replay import outcomes
from limpetlift.replay import requests
from limpetlift.replay import store
from limpetlift.replay import trace

# Time for the processes to find each other before the trace starts.
_WARM_UP_S = 5.0
# Time after the trace in which answers may still arrive.
_COOL_DOWN_S = 5.0
_SEEDS = 3
_SLOW_START_S = 5.0
# The fabric stops handing packets to a dead balancer after this time.
_FABRIC_S = 0.2

_handlers_by_event = {}


def _handles(event):
    def decorate(function):
        _handlers_by_event[event] = function
        return function

    return decorate


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
            self.clock.at(_WARM_UP_S + event.at, self._apply, event)
        self.trace_start = _WARM_UP_S
        self.end = _WARM_UP_S + self.header.duration_s

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
        settle = defaults.SETTLE_S + self.slow_start_s
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

    def _apply(self, event):
        _handlers_by_event[type(event)](self, event)


def _process(world, event):
    return world.network.processes_by_id[event.process]


def _note(world, process):
    if process.kind == members.AGENT:
        world.note_change(process.service.name)


@_handles(trace.Flows)
def _open_flows(world, event):
    for index in range(event.count):
        caller = world.new_caller()
        start = event.over_s * world.rng.random()
        world.clock.after(
            start, _send_flow, world, event.service, caller, event.every_s
        )


def _send_flow(world, service, caller, every_s):
    world.datagram(service, caller)
    if world.clock.now + every_s < world.end:
        world.clock.after(every_s, _send_flow, world, service, caller, every_s)


@_handles(trace.Flow)
def _recorded_flow(world, event):
    ip, _, port = event.caller.rpartition(":")
    world.datagram(event.service, (ip, int(port)))


@_handles(trace.Requests)
def _send_requests(world, event, until=None):
    until = until or world.clock.now + event.for_s
    world.callers.start(_job(world, event))
    pause = world.rng.expovariate(event.per_s)
    if world.clock.now + pause < until:
        world.clock.after(pause, _send_requests, world, event, until)


def _job(world, event):
    long = world.rng.random() < event.long_share
    work_s = event.work_ms / 1000 * world.rng.uniform(0.5, 1.5)
    key = ""
    if event.keyed:
        key = "key-%d" % len(world.callers.jobs)
    return requests.Job(
        service=event.service,
        work_s=work_s * event.long_factor if long else work_s,
        deadline=world.clock.now
        + event.deadline_ms / 1000 * (event.long_factor if long else 1.0),
        sent_at=world.clock.now,
        key=key,
        long=long,
        declared=event.declared,
        retries_left=event.retries,
    )


@_handles(trace.Request)
def _recorded_request(world, event):
    world.callers.start(
        requests.Job(
            service=event.service,
            work_s=event.work_ms / 1000,
            deadline=world.clock.now + event.deadline_ms / 1000,
            sent_at=world.clock.now,
            key=event.key,
            long=event.long,
            declared=event.declared,
            retries_left=event.retries,
        )
    )


@_handles(trace.Slow)
def _slow(world, event):
    process = _process(world, event)
    process.slowness = event.factor
    world.clock.after(event.for_s, setattr, process, "slowness", 1.0)


@_handles(trace.Kill)
def _kill(world, event):
    process = _process(world, event)
    process.died_at = world.clock.now
    process.kill()
    _note(world, process)


@_handles(trace.Start)
def _start(world, event):
    process = _process(world, event)
    process.start()
    _note(world, process)


@_handles(trace.Stop)
def _stop(world, event):
    process = _process(world, event)
    process.stop()
    _note(world, process)


@_handles(trace.Join)
def _join(world, event):
    sites = world.header.data_centres
    site = sites[len(world.network.processes_by_id) % len(sites)]
    if event.service:
        process = nodes.Agent(
            world, event.process, site, world.service(event.service)
        )
    else:
        process = nodes.Balancer(world, event.process, site)
    world.add(process)
    process.start()
    _note(world, process)


@_handles(trace.Drain)
def _drain(world, event):
    process = _process(world, event)
    process.drain()
    _note(world, process)


@_handles(trace.Weight)
def _weight(world, event):
    process = _process(world, event)
    process.set_weight(event.weight)
    _note(world, process)


@_handles(trace.Pause)
def _pause(world, event):
    process = _process(world, event)
    process.pause(event.for_s)
    _note(world, process)


@_handles(trace.Lag)
def _lag(world, event):
    world.network.lag(event.process, event.delay_s, event.for_s)


@_handles(trace.Cut)
def _cut(world, event):
    world.network.cut(event.left, event.right, event.for_s)


@_handles(trace.Store)
def _store(world, event):
    world.store.fail(event.state, world.clock.now + event.for_s)


def run(paths, seed=None, policies=None):
    """Run a trace and return its :class:`Summary`.

    :param paths: files with a trace each; the header of the first one
        holds, and the events of all are merged.
    :param seed: replaces the seed of the trace.
    :param policies: policy name by kind of policy.
    :raises SettingsError: when a trace is invalid.
    """
    traces = [trace.load(path) for path in paths]
    events = [event for item in traces for event in item.events]
    recorded = trace.Trace(
        traces[0].header, sorted(events, key=lambda event: event.at)
    )
    measured = World(recorded, seed, policies).run()
    other = _run_compared(recorded, seed, policies)
    return Summary(
        name=recorded.header.name,
        results=outcomes.evaluate(measured, other),
        drops_by_reason=dict(measured.drops_by_reason),
    )


def _run_compared(recorded, seed, policies):
    compare = recorded.header.compare
    if compare is None:
        return None
    if compare.without_long:
        events = [
            (
                attrs.evolve(event, long_share=0.0)
                if isinstance(event, trace.Requests)
                else event
            )
            for event in recorded.events
        ]
        recorded = trace.Trace(recorded.header, events)
    merged = {**(policies or {}), **compare.policies}
    return World(recorded, seed, merged).run()


@attrs.frozen
class Summary:
    """The results of a replay.

    :param results: a list of :class:`limpetlift.replay.outcomes.Result`.
    """

    name: str
    results: list
    drops_by_reason: dict

    @property
    def kept(self):
        """Whether every target was met."""
        return all(result.kept for result in self.results)

    def to_json(self):
        """Return the summary as a JSON object."""
        return {
            "name": self.name,
            "kept": self.kept,
            "outcomes": [attrs.asdict(result) for result in self.results],
            "drops": self.drops_by_reason,
        }

    def to_text(self):
        """Return one line for each outcome that occurred."""
        lines = ["trace %s" % self.name]
        for result in self.results:
            if result.value is not None:
                lines.append(_line(result))
        lines.append("all targets met" if self.kept else "a target was missed")
        return "\n".join(lines)


def _line(result):
    target = ""
    if result.limit is not None:
        relation = "at least" if result.at_least else "at most"
        verdict = "" if result.kept else "  MISSED"
        target = "%s %g%s" % (relation, result.limit, verdict)
    return "%-34s %12.6g  %s" % (result.name, result.value, target)
