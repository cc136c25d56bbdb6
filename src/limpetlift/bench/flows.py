"""Cost of opening flows, and of a packet at an agent with many open flows."""

import asyncio
import contextlib
import random
import time

import attrs

from limpetlift.bench import figures
from limpetlift.bench import load
from limpetlift.bench import workers
from limpetlift.coordination import member as members
from limpetlift.coordination import placement
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import messages
from limpetlift.protocol import packet as packets
from limpetlift.state import actions
from limpetlift.state import flows
from limpetlift.transport import udp

SERVICE = "desk"
FLOW_COUNTS = (1_000, 30_000, 300_000)
# Open flows of a service with three agents that hold redirect entries for
# each other's flows.
SHARED_FLOWS = 30_000
AGENTS = 3
# A backend server accepts this many connections, one for each session.
SESSION_SOCKETS = 2_000
PAYLOAD = bytes(100)
MAX_COST_RATIO = 1.1
# Packets of at most this many flows, chosen at random, are sent in turn.
MAX_DISTINCT_PACKETS = 20_000
WINDOW = 64
_KEY = bytes.fromhex(workers.KEY)
_SERVICE_ID = hashing.service_id(SERVICE)
_SETTLE_S = 10.0
_TICK_S = defaults.FLOW_TICK_S


def flow_packet(number):
    """Return a packet of caller ``number`` as a balancer forwards it."""
    caller = (
        "10.%d.%d.%d" % (number >> 16 & 255, number >> 8 & 255, number & 255),
        1024 + number % 60_000,
    )
    key = packets.flow_key(_SERVICE_ID, caller)
    return packets.Packet(
        kind=packets.KIND_TO_AGENT,
        hops=0,
        service_id=_SERVICE_ID,
        flow_hash=hashing.flow_hash(key),
        caller=caller,
        balancer=("127.0.0.1", 1),
        incarnation=0,
        payload=PAYLOAD,
    )


def encode_flow_packets(numbers):
    """Return the encoded packets of the callers ``numbers``."""
    return [packets.encode(flow_packet(number), _KEY) for number in numbers]


class Cluster:
    """The flow tables of a service, which exchange messages without delay.

    :param agents: number of agents.
    :param max_flows: limit of open flows per agent.
    """

    def __init__(self, agents, max_flows):
        limits = flows.FlowLimits(max_flows=max_flows, slow_start_s=0.0)
        self.now = time.monotonic() - 2 * _SETTLE_S
        self.control_bytes = 0
        self.tables_by_id = {}
        self._records_by_id = {}
        for number in range(agents):
            record = members.Member(
                agent_id="agent-%d" % number,
                kind=members.AGENT,
                address="127.0.0.1:%d" % (1 + number),
                incarnation=1,
                service=SERVICE,
            )
            self.tables_by_id[record.agent_id] = flows.FlowTable(
                record, limits
            )
            self._publish(record)
        for agent_id, table in self.tables_by_id.items():
            self._perform(agent_id, table.join(self.now))
        self.run(_SETTLE_S)

    def run(self, seconds):
        """Run the timers for ``seconds`` of virtual time."""
        end = self.now + seconds
        while self.now < end:
            self.now += _TICK_S
            for agent_id, table in self.tables_by_id.items():
                self._perform(agent_id, table.tick(self.now))

    def open(self, numbers):
        """Open a flow for each caller, and run the timers every 1000 flows.

        :param numbers: numbers of the callers.
        :returns: number of open flows.
        """
        targets = [placement.Target(name) for name in self.tables_by_id]
        owners = placement.build_table(targets)
        for count, number in enumerate(numbers):
            packet = flow_packet(number)
            bucket = placement.bucket_of(packet.flow_hash)
            agent_id = targets[owners[bucket]].agent_id
            table = self.tables_by_id[agent_id]
            self._perform(agent_id, table.on_packet(self.now, packet))
            if count % 1_000 == 0:
                self.run(_TICK_S)
        self.run(1.0)
        return sum(table.flow_count for table in self.tables_by_id.values())

    @property
    def redirect_entries(self):
        """Number of redirect entries that agents hold for flows of others."""
        return sum(
            table.redirect_count for table in self.tables_by_id.values()
        )

    def _publish(self, record):
        self._records_by_id[record.agent_id] = record
        for agent_id, table in self.tables_by_id.items():
            records = list(self._records_by_id.values())
            self._perform(agent_id, table.on_members(self.now, records))

    def _perform(self, sender_id, steps):
        for step in steps:
            if isinstance(step, actions.Announce):
                self._publish(step.member)
            elif isinstance(step, actions.Send):
                self.control_bytes += len(messages.encode(step.message))
                table = self.tables_by_id[step.agent_id]
                self._perform(
                    step.agent_id,
                    table.on_message(self.now, sender_id, step.message),
                )
            elif isinstance(step, actions.Forward):
                table = self.tables_by_id[step.agent_id]
                packet = attrs.evolve(
                    step.packet,
                    hops=step.packet.hops + 1,
                    incarnation=step.incarnation & 0xFFFFFFFF,
                    is_assigned=step.is_assigned,
                )
                self._perform(step.agent_id, table.on_packet(self.now, packet))


def run_agent(connection, count, sink):
    """Run the packet path of an agent with ``count`` open flows.

    All flows share one socket towards ``sink``, so that the flow table can be
    measured with more flows than a backend server has connections.

    :param connection: the process's end of the pipe.
    """

    async def run():
        cluster = Cluster(1, count + 1)
        (table,) = cluster.tables_by_id.values()
        cluster.open(range(count))
        backend = udp.UdpSocket(
            ("127.0.0.1", 0), lambda data, address: None, connect_to=sink
        )

        def receive(data, _address):
            packet = packets.decode(data, [_KEY])
            for step in table.on_packet(time.monotonic(), packet):
                if isinstance(step, actions.Deliver):
                    backend.send_connected(step.packet.payload)

        node = udp.UdpSocket(("127.0.0.1", 0), receive)
        connection.send((node.address, table.flow_count))
        await workers.serve_commands(connection, {})

    asyncio.run(run())


def _packet_us(scale, count):
    """Return the processor time per packet in us with ``count`` open flows."""
    numbers = random.Random(count).sample(
        range(count), min(count, MAX_DISTINCT_PACKETS)
    )
    datagrams = encode_flow_packets(numbers)
    with contextlib.ExitStack() as stack:
        source = stack.enter_context(workers.Worker(load.generator, 10))
        process = stack.enter_context(
            workers.Worker(run_agent, count, source.first_message)
        )
        address, _opened = process.first_message
        values = []
        for _ in range(scale.repeats):
            before = process.processor_s()
            rate = source.call(
                "flood", address, datagrams, scale.run_s, WINDOW
            )
            used = process.processor_s() - before
            values.append(used * 1e6 / (rate * scale.run_s))
    return values


def _measure_shared_flows(connection, count):
    """Open ``count`` flows at three agents, and send time and memory."""
    before = workers.resident_bytes()
    cluster = Cluster(AGENTS, count + 1)
    sent = cluster.control_bytes
    started = time.process_time()
    opened = cluster.open(range(count))
    used = time.process_time() - started
    connection.send(
        {
            "opened": opened / count,
            "entries": cluster.redirect_entries / opened,
            "open_us": used * 1e6 / opened,
            "control": (cluster.control_bytes - sent) / opened,
            "memory": (workers.resident_bytes() - before) / opened,
        }
    )
    connection.close()


def _measure_session_sockets(connection, count, sink):
    """Open the sockets of ``count`` sessions, and send the memory of each."""

    async def run():
        before = workers.resident_bytes()
        sockets = [
            udp.UdpSocket(
                ("127.0.0.1", 0), lambda data, address: None, connect_to=sink
            )
            for _ in range(count)
        ]
        connection.send((workers.resident_bytes() - before) / len(sockets))

    asyncio.run(run())


def _socket_bytes(scale):
    with contextlib.ExitStack() as stack:
        sink = stack.enter_context(
            workers.Worker(load.generator, 1)
        ).first_message
        count = scale.count(SESSION_SOCKETS)
        return [
            stack.enter_context(
                workers.Worker(_measure_session_sockets, count, sink)
            ).first_message
            for _ in range(scale.repeats)
        ]


@figures.measurement("flows")
def measure(scale):
    """Compare the cost of a packet for different numbers of open flows."""
    counts = [scale.count(count) for count in FLOW_COUNTS]
    costs = [_packet_us(scale, count) for count in counts]
    results = [
        figures.Figure("packet at the agent, %d flows" % count, "us", values)
        for count, values in zip(FLOW_COUNTS, costs)
    ]
    results.append(
        figures.Figure(
            "packet, %d flows / %d flows" % (FLOW_COUNTS[-1], FLOW_COUNTS[0]),
            "",
            figures.ratios(costs[-1], costs[0]),
            at_most=MAX_COST_RATIO,
        )
    )
    runs = []
    for _ in range(scale.repeats):
        with workers.Worker(
            _measure_shared_flows, scale.count(SHARED_FLOWS)
        ) as worker:
            runs.append(worker.first_message)

    def figure(name, unit, key):
        return figures.Figure(name, unit, [run[key] for run in runs])

    return results + [
        figure("flows accepted of those opened", "", "opened"),
        figure("entries at other agents per flow", "", "entries"),
        figure("new flow, all three agents", "us", "open_us"),
        figure("new flow, control messages", "B", "control"),
        figure("memory per flow with its entries", "B", "memory"),
        figures.Figure(
            "memory per socket towards the backend server",
            "B",
            _socket_bytes(scale),
        ),
    ]
