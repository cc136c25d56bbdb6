"""Packets a second through a balancer, against a bare UDP loop."""

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

GENERATORS = 3
CALLERS = 200
WINDOW = 64
AGENTS = 7
# The three loads alternate in short slices, so other work on the same
# instance slows all of them alike.
SLICES = 4
TARGET_RATIO = 0.5
PAYLOAD_BYTES = 100
TITLES = {
    "bare": "bare loop",
    "to_agent": "balancer to agent, callers seen before",
    "new_callers": "balancer to agent, no caller seen before",
    "to_caller": "balancer to caller",
}


def payload(number):
    """Return the payload of generator ``number``."""
    return bytes([number]) + bytes(PAYLOAD_BYTES - 1)


def bare_loop(connection):
    """Receive and send datagrams; the first byte picks the generator."""
    sock = load.open_socket()
    connection.send(sock.getsockname())
    targets = connection.recv()
    recvfrom, sendto = sock.recvfrom, sock.sendto
    while True:
        data, _address = recvfrom(65535)
        sendto(data, targets[data[0]])


def balancer(connection, sinks, cached_headers):
    """Run the packet path of a balancer; the agents of service n are sink n.

    Answers go to ``sinks`` too, which are given as callers by the load.
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
        for number in range(AGENTS)
    ]


def answer(number, caller, balancer_address):
    """Return an encoded answer of an agent to ``caller``."""
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
class _Load:
    """Generators that load one process together.

    :param generators: a :class:`workers.Worker` for each.
    :param scale: the :class:`figures.Scale`.
    """

    generators: list
    scale: figures.Scale

    @property
    def sinks(self):
        """Address of the sink of each generator."""
        return [generator.first_message for generator in self.generators]

    def flood(self, addresses, datagrams):
        """Return the packets a second of all generators together.

        :param addresses: where each generator sends.
        :param datagrams: the one datagram that each generator sends.
        """
        for generator, address, datagram in zip(
            self.generators, addresses, datagrams
        ):
            generator.send(
                "flood",
                address,
                [datagram],
                self.scale.run_s / SLICES,
                WINDOW,
            )
        return sum(generator.receive() for generator in self.generators)

    def pace(self, address, rate):
        """Return latency percentiles at ``rate`` of the first generator."""
        return self.generators[0].call(
            "pace", address, payload(0), self.scale.run_s, max(1, int(rate))
        )


@figures.measurement("packets")
def measure(scale):
    """Compare both directions with a bare loop; add latency at half load."""
    with contextlib.ExitStack() as stack:
        sources = _Load(
            [
                stack.enter_context(
                    workers.Worker(load.generator, scale.count(CALLERS))
                )
                for _ in range(GENERATORS)
            ],
            scale,
        )
        bare = stack.enter_context(workers.Worker(bare_loop))
        bare.send(*sources.sinks)
        # With room for one header, every packet is that of a new caller.
        process, forgetful = [
            stack.enter_context(
                workers.Worker(balancer, sources.sinks, cached_headers)
            )
            for cached_headers in (defaults.CACHED_HEADERS, 1)
        ]
        rates, busy_us = _rates(sources, bare, process, forgetful)
        half = statistics.median(rates["to_agent"]) / 2
        return _rate_figures(rates, busy_us) + _latency(
            sources, bare, process, half
        )


def _rates(sources, bare, process, forgetful):
    node, services = process.first_message
    numbers = range(GENERATORS)
    plain = [payload(number) for number in numbers]
    replies = [
        answer(number, sink, node) for number, sink in enumerate(sources.sinks)
    ]
    rates = {name: [] for name in TITLES}
    busy_us = {name: [] for name in rates}
    addresses = {
        "bare": [bare.first_message] * GENERATORS,
        "to_agent": services,
        "new_callers": forgetful.first_message[1],
        "to_caller": [node] * GENERATORS,
    }
    datagrams = dict.fromkeys(TITLES, plain)
    datagrams["to_caller"] = replies
    processes = {
        "bare": bare,
        "to_agent": process,
        "new_callers": forgetful,
        "to_caller": process,
    }
    for _ in range(sources.scale.repeats):
        sums = dict.fromkeys(rates, 0.0)
        used = dict.fromkeys(rates, 0.0)
        for _slice in range(SLICES):
            for name, loaded in processes.items():
                before = loaded.processor_s()
                sums[name] += sources.flood(addresses[name], datagrams[name])
                used[name] += loaded.processor_s() - before
        for name, total in sums.items():
            rates[name].append(total / SLICES)
            busy_us[name].append(
                used[name] * 1e6 / (total / SLICES * sources.scale.run_s)
            )
    return rates, busy_us


def _rate_figures(rates, busy_us):
    results = []
    for name, title in TITLES.items():
        results += [
            figures.Figure(title, "packets/s", rates[name]),
            figures.Figure(
                title + ", processor time", "us/packet", busy_us[name]
            ),
        ]
    for name in list(TITLES)[1:]:
        results += [
            figures.Figure(
                TITLES[name] + " / bare loop",
                "",
                figures.ratios(rates[name], rates["bare"]),
                at_least=TARGET_RATIO,
            ),
            figures.Figure(
                TITLES[name] + " / bare loop, per core second",
                "",
                figures.ratios(busy_us["bare"], busy_us[name]),
                at_least=TARGET_RATIO,
            ),
        ]
    return results


def _latency(sources, bare, process, rate):
    _node, services = process.first_message
    runs = [
        (
            sources.pace(bare.first_message, rate),
            sources.pace(services[0], rate),
        )
        for _ in range(sources.scale.repeats)
    ]
    name = "at half load (%d/s)" % rate
    return [
        figures.Figure(
            "latency added, median, " + name,
            "us",
            [ours[0] - base[0] for base, ours in runs],
        ),
        figures.Figure(
            "latency added, 99th percentile, " + name,
            "us",
            [ours[1] - base[1] for base, ours in runs],
        ),
        figures.Figure(
            "packets that came back, " + name,
            "",
            [ours[2] for _base, ours in runs],
        ),
    ]
