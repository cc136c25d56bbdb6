"""Packets per second through a balancer, relative to a bare UDP loop."""

import asyncio
import contextlib
import socket
import statistics

import attrs

from limpetlift.bench import figures
from limpetlift.bench import load
from limpetlift.bench import workers
from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import packet as packets
from limpetlift.state import config
from limpetlift.tasks import flowpath

GENERATOR_COUNT = 3
CALLERS = 200
WINDOW = 64
AGENTS_PER_SERVICE = 7
# The loads alternate in short slices, so that other work on the same instance
# slows all of them equally.
SLICES_PER_RUN = 4
MIN_RATIO = 0.5
PAYLOAD_BYTES = 100
TITLES_BY_LOAD = {
    "bare": "bare loop",
    "to_agent": "balancer to agent, callers seen before",
    "new_callers": "balancer to agent, no caller seen before",
    "to_caller": "balancer to caller",
}


def payload(number):
    """Return the payload of a generator; its first byte is ``number``."""
    return bytes([number]) + bytes(PAYLOAD_BYTES - 1)


def run_bare_loop(connection):
    """Send each datagram received to the sink selected by its first byte.

    The sinks' addresses arrive on the pipe after the address of the loop was
    sent.
    """
    sock = load.open_socket()
    connection.send(sock.getsockname())
    targets = connection.recv()
    recvfrom, sendto = sock.recvfrom, sock.sendto
    while True:
        data, _address = recvfrom(65535)
        sendto(data, targets[data[0]])


def run_balancer(connection, sinks, cached_headers):
    """Run the packet path of a balancer.

    All agents of service n have the address of sink n. Answers go to the
    sinks as well, because the packets sent by the generators name them as
    callers.

    :param sinks: address of the sink of each generator.
    :param cached_headers: size of the balancer's cache of packet headers.
    """

    async def run():
        node = workers.node("balancer")
        flows = flowpath.BalancerFlows(node, "127.0.0.1", cached_headers)
        services = [
            config.Service(name="service-%d" % n, address=_free_address())
            for n in range(len(sinks))
        ]
        flows.set_services(services)
        for service, sink in zip(services, sinks):
            flows.set_members(service.name, _agents(service.name, sink))
        connection.send((node.address, [item.endpoint for item in services]))
        await workers.serve_commands(connection, {})

    asyncio.run(run())


def _free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return "%s:%d" % sock.getsockname()


def _agents(service, sink):
    return [
        members.Member(
            agent_id="%s-agent-%d" % (service, number),
            kind=members.AGENT,
            address="%s:%d" % sink,
            incarnation=1,
            service=service,
            state=members.ACTIVE,
        )
        for number in range(AGENTS_PER_SERVICE)
    ]


def answer(number, caller, balancer_address):
    """Return an encoded packet from an agent to ``caller``.

    :param number: number of the service and of the generator.
    :param balancer_address: address of the balancer that forwards it.
    """
    service = hashing.service_id("service-%d" % number)
    packet = packets.Packet(
        kind=packets.KIND_TO_CALLER,
        hops=0,
        service_id=service,
        flow_hash=hashing.flow_hash(packets.flow_key(service, caller)),
        caller=caller,
        balancer=balancer_address,
        incarnation=0,
        payload=payload(number),
    )
    return packets.encode(packet, bytes.fromhex(workers.KEY))


@attrs.frozen
class _LoadGenerators:
    """Load generators that send to one process at the same time.

    :param generators: a :class:`workers.Worker` for each.
    :param scale: the :class:`figures.Scale`.
    """

    generators: list
    scale: figures.Scale

    @property
    def sinks(self):
        """Addresses of the generators' sinks."""
        return [generator.first_message for generator in self.generators]

    def flood(self, addresses, datagrams):
        """Return the sum of the packets per second of all generators.

        :param addresses: address that each generator sends to.
        :param datagrams: the datagram that each generator sends.
        """
        for generator, address, datagram in zip(
            self.generators, addresses, datagrams
        ):
            generator.send(
                "flood",
                address,
                [datagram],
                self.scale.run_s / SLICES_PER_RUN,
                WINDOW,
            )
        return sum(generator.receive() for generator in self.generators)

    def pace(self, address, rate):
        """Return the latency percentiles of the first generator.

        :param address: address that it sends to.
        :param rate: datagrams per second.
        """
        return self.generators[0].call(
            "pace", address, payload(0), self.scale.run_s, max(1, int(rate))
        )


@figures.measurement("packets")
def measure(scale):
    """Compare both directions with a bare loop, and measure added latency.

    Latency is measured at half of the median rate towards agents.
    """
    with contextlib.ExitStack() as stack:
        load_generators = _LoadGenerators(
            [
                stack.enter_context(
                    workers.Worker(load.generator, scale.count(CALLERS))
                )
                for _ in range(GENERATOR_COUNT)
            ],
            scale,
        )
        bare = stack.enter_context(workers.Worker(run_bare_loop))
        bare.send(*load_generators.sinks)
        # With a cache of one header, the balancer handles every packet as the
        # first one of a caller.
        process, uncached = [
            stack.enter_context(
                workers.Worker(
                    run_balancer, load_generators.sinks, cached_headers
                )
            )
            for cached_headers in (defaults.CACHED_HEADERS, 1)
        ]
        rates, busy_us = _rates(load_generators, bare, process, uncached)
        half_rate = statistics.median(rates["to_agent"]) / 2
        return _rate_figures(rates, busy_us) + _latency(
            load_generators, bare, process, half_rate
        )


def _rates(load_generators, bare, process, uncached):
    node, services = process.first_message
    numbers = range(GENERATOR_COUNT)
    payloads = [payload(number) for number in numbers]
    answers = [
        answer(number, sink, node)
        for number, sink in enumerate(load_generators.sinks)
    ]
    rates = {name: [] for name in TITLES_BY_LOAD}
    busy_us = {name: [] for name in rates}
    addresses = {
        "bare": [bare.first_message] * GENERATOR_COUNT,
        "to_agent": services,
        "new_callers": uncached.first_message[1],
        "to_caller": [node] * GENERATOR_COUNT,
    }
    datagrams = dict.fromkeys(TITLES_BY_LOAD, payloads)
    datagrams["to_caller"] = answers
    processes = {
        "bare": bare,
        "to_agent": process,
        "new_callers": uncached,
        "to_caller": process,
    }
    for _ in range(load_generators.scale.repeats):
        sums = dict.fromkeys(rates, 0.0)
        used = dict.fromkeys(rates, 0.0)
        for _slice in range(SLICES_PER_RUN):
            for name, loaded in processes.items():
                before = loaded.processor_s()
                sums[name] += load_generators.flood(
                    addresses[name], datagrams[name]
                )
                used[name] += loaded.processor_s() - before
        for name, total in sums.items():
            rates[name].append(total / SLICES_PER_RUN)
            busy_us[name].append(
                used[name]
                * 1e6
                / (total / SLICES_PER_RUN * load_generators.scale.run_s)
            )
    return rates, busy_us


def _rate_figures(rates, busy_us):
    results = []
    for name, title in TITLES_BY_LOAD.items():
        results += [
            figures.Figure(title, "packets/s", rates[name]),
            figures.Figure(
                title + ", processor time", "us/packet", busy_us[name]
            ),
        ]
    for name in list(TITLES_BY_LOAD)[1:]:
        results += [
            figures.Figure(
                TITLES_BY_LOAD[name] + " / bare loop",
                "",
                figures.ratios(rates[name], rates["bare"]),
                at_least=MIN_RATIO,
            ),
            figures.Figure(
                TITLES_BY_LOAD[name] + " / bare loop, per core second",
                "",
                figures.ratios(busy_us["bare"], busy_us[name]),
                at_least=MIN_RATIO,
            ),
        ]
    return results


def _latency(load_generators, bare, process, rate):
    _node, services = process.first_message
    runs = [
        (
            load_generators.pace(bare.first_message, rate),
            load_generators.pace(services[0], rate),
        )
        for _ in range(load_generators.scale.repeats)
    ]
    name = "at half load (%d/s)" % rate
    return [
        figures.Figure(
            "latency added, median, " + name,
            "us",
            [through_balancer[0] - base[0] for base, through_balancer in runs],
        ),
        figures.Figure(
            "latency added, 99th percentile, " + name,
            "us",
            [through_balancer[1] - base[1] for base, through_balancer in runs],
        ),
        figures.Figure(
            "packets that came back, " + name,
            "",
            [through_balancer[2] for _base, through_balancer in runs],
        ),
    ]
