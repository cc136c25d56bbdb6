"""Simulation of flows while routes, agents and their addresses change.

Balancers and agents are their deciding classes; messages are late or lost.
The simulation records each first segment that reaches a server of a service
which no version of the routes, or not the one in force at the balancer that
sent it, lets the flow go to.
"""

import heapq
import itertools
import random

import attrs
import segmentkit as kit

from limpetlift import defaults
from limpetlift.platform import packet
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift.state import hosting
from limpetlift.state import reports
from limpetlift.state import routing
from limpetlift.state import steering
from limpetlift.state import steps

_BALANCERS = [kit.balancer(number) for number in (1, 2, 3)]
_AGENT_NUMBERS = (1, 2, 3, 4)
# Times at which a caller sends the copies of a segment.
_COPY_DELAYS_S = (0.0, 0.2, 0.6)
_FLOW_END_S = 0.9
_TICK_S = 0.01
_LOSS = 0.08
# Longest time that a message from before a change is on its way.
_MAX_DELAY_S = 0.7
_CHANGE_GRACE_S = 1.0


@attrs.define(eq=False)
class _Caller:
    """A caller's end of one flow.

    :param port: its port.
    :param balancer: where the fabric delivers most of its segments.
    :param ack: what it acknowledges, or None before the flow is open.
    """

    port: int
    balancer: tuple
    ack: object = None


@attrs.define(eq=False)
class _Instance:
    """An agent and its backend server.

    :param sequences_by_key: first sequence number of each flow of the server.
    :param silent_until: until then the server answers nothing.
    """

    agent: hosting.FlowHosting
    is_running: bool = True
    sequences_by_key: dict = attrs.field(factory=dict)
    silent_until: float = 0.0


class Simulation:
    """One run.

    :param seed: seed of all random choices.
    :param port_count: number of ports that callers use in turn.
    """

    def __init__(self, seed, port_count):
        self._rng = random.Random(seed)
        self._events = []
        self._numbers = itertools.count(1)
        self._ports = itertools.cycle(range(1, port_count + 1))
        self._callers_by_key = {}
        self._instances_by_address = {}
        self._entries_by_id = {}
        self._version = 0
        self._services_so_far = set()
        # When a balancer put the service in force that its route names.
        self._routes_by_balancer = {}
        self.now = 0.0
        self.request_count = 0
        self.misrouted = []
        self.outdated = []
        self._balancers_by_address = {
            entry.address: steering.FlowSteering(
                entry.address, "a", kit.decode, random.Random(seed)
            )
            for entry in _BALANCERS
        }
        for number in _AGENT_NUMBERS:
            self._start_agent(number, self._rng.choice(["desk", "maps"]))
        self._change_routes("desk", max_delay_s=0.0)
        self._tell_entries(max_delay_s=0.0)

    def run(self, until):
        """Run until the time ``until``."""
        self._tick()
        self._change()
        self._open_flow()
        while self.now < until:
            at, _, callback, values = heapq.heappop(self._events)
            self.now = at
            callback(*values)

    def _after(self, delay_s, callback, *values):
        event = (self.now + delay_s, next(self._numbers), callback, values)
        heapq.heappush(self._events, event)

    def _delay_s(self):
        if self._rng.random() < 0.9:
            return self._rng.uniform(0.0005, 0.005)
        return self._rng.uniform(0.01, _MAX_DELAY_S)

    # Changes.

    def _change(self):
        kind = self._rng.random()
        if kind < 0.35:
            address = self._rng.choice(list(self._instances_by_address))
            self._instances_by_address[address].is_running = False
            number = int(address[0].rpartition(".")[2])
            self._after(self._rng.uniform(0.1, 2.0), self._replace, number)
        elif kind < 0.65:
            self._change_routes(self._rng.choice(["desk", "maps", ""]), 2.0)
        elif kind < 0.8:
            instances = list(self._instances_by_address.values())
            instance = self._rng.choice(instances)
            instance.silent_until = self.now + self._rng.uniform(0.1, 1.0)
        self._after(self._rng.uniform(0.1, 0.8), self._change)

    def _change_routes(self, service, max_delay_s):
        self._version += 1
        if service:
            self._services_so_far.add(service)
        for address in self._balancers_by_address:
            self._after(
                self._rng.uniform(0.0, max_delay_s),
                self._put_routes,
                address,
                self._version,
                service,
            )

    def _put_routes(self, address, version, service):
        balancer = self._balancers_by_address[address]
        if version > balancer.routes.version:
            self._routes_by_balancer[address] = (self.now, service)
        routes = routing.RouteTable(version)
        if service:
            routes = kit.routes(version, service)
        self._perform(address, balancer.on_routes(self.now, routes))

    def _replace(self, number):
        # No route ever names the last service.
        self._start_agent(
            number, self._rng.choice(["desk", "maps", "news", "news"])
        )
        self._tell_entries(max_delay_s=1.0)

    def _start_agent(self, number, service):
        entry = attrs.evolve(
            kit.agent(number, service),
            process_id="agent-%d" % next(self._numbers),
            revision=next(self._numbers),
        )
        instance = self._instances_by_address[entry.address] = _Instance(
            hosting.FlowHosting(
                service=service,
                incarnation=next(self._numbers),
                decode_segment=kit.decode,
                knows_all_flows=self._rng.random() < 0.5,
            )
        )
        self._report(instance, service, 3)
        # The entry of the earlier agent may stay for a while.
        for other in list(self._entries_by_id.values()):
            if other.address == entry.address and self._rng.random() < 0.5:
                del self._entries_by_id[other.process_id]
        self._entries_by_id[entry.process_id] = entry

    def _report(self, instance, service, number):
        """Let a server report to its agent until the instance is lost."""
        if not instance.is_running:
            return
        report = reports.Report("s", service, 1, number, reports.READY, 2)
        instance.agent.on_report(self.now, report)
        self._after(
            defaults.REPORT_INTERVAL_S,
            self._report,
            instance,
            service,
            number + 1,
        )

    def _tell_entries(self, max_delay_s):
        entries = list(self._entries_by_id.values())
        for address in self._balancers_by_address:
            self._after(
                self._rng.uniform(0.0, max_delay_s),
                self._put_entries,
                address,
                entries,
            )

    def _put_entries(self, address, entries):
        balancer = self._balancers_by_address[address]
        result = balancer.on_entries(self.now, entries, _BALANCERS)
        self._perform(address, result)

    def _tick(self):
        for address, balancer in self._balancers_by_address.items():
            self._perform(address, balancer.tick(self.now))
        for address, instance in self._instances_by_address.items():
            if instance.is_running:
                self._perform(address, instance.agent.tick(self.now))
        self._after(_TICK_S, self._tick)

    # Messages and segments.

    def _perform(self, address, result, sender=None):
        """Carry out the steps of the process at ``address``.

        :param sender: address of the process whose message led to them.
        """
        for step in result:
            if isinstance(step, steps.SendToServer):
                self._serve(address, step.data, sender)
            elif self._rng.random() < _LOSS:
                continue
            elif isinstance(step, steps.SendToPeer):
                self._after(
                    self._delay_s(),
                    self._on_message,
                    address,
                    step.address,
                    step.message.encode(),
                )
            elif isinstance(step, steps.SendToCaller):
                self._after(
                    self._delay_s(), self._on_answer, step.key, step.data
                )
            elif isinstance(step, steps.Reset):
                self._callers_by_key.pop(step.key, None)

    def _on_message(self, sender, address, data):
        process = self._balancers_by_address.get(address)
        if process is None:
            instance = self._instances_by_address[address]
            if not instance.is_running:
                return
            process = instance.agent
        message = tunnel.decode(data)
        result = process.on_message(self.now, sender, message)
        self._perform(address, result, sender)

    def _serve(self, address, data, sender):
        """Let the server of an agent handle a segment."""
        instance = self._instances_by_address[address]
        if self.now < instance.silent_until:
            return
        segment = kit.decode(data)
        key = segment.key
        _, port = segments.caller_of(key)
        flags = kit.ACK | (kit.FIN if segment.is_final else 0)
        if segment.opens_flow:
            self._check(instance.agent.service, sender, segment)
            sequence = instance.sequences_by_key.setdefault(
                key, self._rng.getrandbits(32)
            )
            answer = kit.server_segment(
                port, kit.SYN | kit.ACK, sequence=sequence, ack=1
            )
        elif key in instance.sequences_by_key:
            self.request_count += bool(segment.length)
            if segment.is_final:
                del instance.sequences_by_key[key]
            answer = kit.server_segment(
                port, flags, sequence=segment.ack, ack=2
            )
        else:
            answer = kit.returned_segment(
                port,
                flags,
                sequence=segment.sequence,
                ack=segment.ack,
                payload=b"x" * segment.length,
            )
        self._after(0.001, self._on_served, address, instance, answer)

    def _check(self, service, sender, segment):
        case = (round(self.now, 3), service, sender, segment.ack)
        if service not in self._services_so_far:
            self.misrouted.append(case)
        since, in_force = self._routes_by_balancer.get(sender, (0.0, service))
        if service != in_force and self.now - since > _CHANGE_GRACE_S:
            self.outdated.append(case)

    def _on_served(self, address, instance, segment):
        if (
            instance.is_running
            and self._instances_by_address[address] is instance
        ):
            result = instance.agent.on_server_segment(self.now, segment)
            self._perform(address, result)

    # Callers.

    def _open_flow(self):
        port = next(self._ports)
        caller = _Caller(
            port, self._rng.choice(list(self._balancers_by_address))
        )
        self._callers_by_key[kit.key_of(port)] = caller
        for copy, delay_s in enumerate(_COPY_DELAYS_S):
            self._after(delay_s, self._send_first, caller, copy)
        self._after(self._rng.uniform(0.01, 0.08), self._open_flow)

    def _send_first(self, caller, copy):
        if (
            self._callers_by_key.get(kit.key_of(caller.port)) is caller
            and caller.ack is None
        ):
            self._send(
                caller, kit.caller_segment(caller.port, kit.SYN, ack=copy)
            )

    def _send(self, caller, segment):
        address = caller.balancer
        if self._rng.random() < 0.4:
            address = self._rng.choice(list(self._balancers_by_address))
        self._after(self._delay_s(), self._on_segment, address, segment)

    def _on_segment(self, address, segment):
        balancer = self._balancers_by_address[address]
        self._perform(address, balancer.on_segment(self.now, segment))

    def _on_answer(self, key, data):
        """Let a caller whose flow opens send a request and end the flow."""
        segment = packet.decode(data, False)
        caller = self._callers_by_key.get(key)
        if caller is None or not segment.is_syn or caller.ack is not None:
            return
        caller.ack = segment.sequence + 1 & 0xFFFFFFFF
        request = kit.caller_segment(
            caller.port, kit.ACK, sequence=1, ack=caller.ack, payload=b"x"
        )
        for delay_s in _COPY_DELAYS_S:
            self._after(delay_s, self._send, caller, request)
        end = kit.caller_segment(
            caller.port, kit.FIN | kit.ACK, sequence=2, ack=caller.ack
        )
        self._after(_FLOW_END_S, self._send, caller, end)
