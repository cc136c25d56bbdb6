"""Demo: changes a deployment while it handles traffic."""

import asyncio
import collections
import contextlib
import json
import math
import pathlib
import random
import signal
import tempfile
import time

import attrs
from tornado import httpclient

from limpetlift import exceptions
from limpetlift.replay import runner
from limpetlift.testing import deployment
from limpetlift.testing import traffic

_BALANCERS = ("balancer-1", "balancer-2", "balancer-3")
_AGENTS = ("desk-1", "desk-2", "desk-3", "desk-4")
_FLOW_COUNT = 200
_REQUEST_COUNT = 200
_TRAFFIC_S = 10.0
_SEND_INTERVAL_S = 0.25

_SERVICES = """\
[services.job-desk]
address = "{network}.1:7001"
slots = 2
"""


_CHANGED_SERVICES = """\
[services.job-desk]
request_timeout_s = 20.0
"""
_MAX_CONFIG_DELAY_S = 4.0


@attrs.define
class _DemoRun:
    """State of one run of the demo.

    :param address: ``(ip, port)`` of the service.
    :param random: source of the random choices of the traffic.
    :param url_bases: base URLs of the balancers that receive requests.
    :param config_delay_s: seconds from the change of the configuration until
        it was in force in every process.
    """

    system: deployment.Deployment
    address: tuple
    random: random.Random
    callers: list = attrs.field(factory=list)
    counts: traffic.RequestCounts = attrs.field(factory=traffic.RequestCounts)
    url_bases: list = attrs.field(factory=list)
    config_delay_s: float = math.inf


async def run(seed):
    """Run the demo and return the exit code.

    :param seed: seed of the random choices of the traffic.
    """
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        network = deployment.random_network()
        system = deployment.Deployment(pathlib.Path(folder), network)
        stack.callback(system.close)
        demo_run = _DemoRun(
            system, (network + ".1", 7001), random.Random(seed)
        )
        await _start(demo_run, seed)
        await asyncio.gather(
            _run_flows(demo_run),
            _run_requests(demo_run),
            _run_changes(demo_run),
        )
        run_count_by_key = await _fetch_run_counts(demo_run)
        for caller in demo_run.callers:
            caller.close()
        code = _report(demo_run, run_count_by_key)
        return max(code, _replay_recordings(system))


def _replay_recordings(system):
    """Replay the recorded traces; return 1 if a target is missed, else 0."""
    summary = runner.run([system.recording(name) for name in _BALANCERS])
    print("replay of the recording: %s" % summary.to_text().splitlines()[-1])
    return 0 if summary.kept else 1


async def _start(demo_run, seed):
    """Start the processes and wait until they are ready."""
    system = demo_run.system
    system.write_services(_SERVICES.format(network=system.network))
    system.start_store()
    code, text = await system.apply_services()
    if code:
        raise exceptions.CoordinationError(text)
    for index, name in enumerate(_BALANCERS):
        system.ip_by_name[name] = "%s.%d" % (system.network, 11 + index)
    system.seed_names = list(_BALANCERS)
    for index, name in enumerate(_BALANCERS[:2]):
        system.start_balancer(name, 11 + index)
    for index, name in enumerate(_AGENTS):
        system.start_agent(name, 101 + index, "job-desk")
    system.start_fabric(["%s:%d" % demo_run.address], _BALANCERS, seed)
    await system.wait_ready(*_BALANCERS[:2], *_AGENTS)
    await _wait_members(demo_run, _BALANCERS[:2])
    demo_run.url_bases = [
        "http://%s:7001" % system.ip_by_name[name] for name in _BALANCERS[:2]
    ]


async def _wait_members(demo_run, names):
    """Wait until the named balancers know all agents."""
    async with asyncio.timeout(15):
        for name in names:
            while True:
                answer = await demo_run.system.admin(name, "/status")
                services = json.loads(answer.body)["services"]
                if len(services.get("job-desk", ())) >= len(_AGENTS):
                    break
                await asyncio.sleep(0.1)


async def _run_flows(demo_run):
    """Open all flows and send datagrams on them."""
    for index in range(_FLOW_COUNT):
        caller = traffic.FlowCaller(
            demo_run.address,
            "%s.%d" % (demo_run.system.network, 2 + index % 8),
        )
        caller.open()
        demo_run.callers.append(caller)
    rounds = int(_TRAFFIC_S / _SEND_INTERVAL_S)
    for _round in range(rounds):
        for caller in demo_run.callers:
            caller.send()
            if demo_run.random.random() < 0.05:
                await asyncio.sleep(0)
        await asyncio.sleep(_SEND_INTERVAL_S)


async def _run_requests(demo_run):
    """Send all requests at equal intervals and wait for their ends."""
    tasks = []
    for index in range(_REQUEST_COUNT):
        body_bytes = 200_000 if index % 20 == 0 else 64
        tasks.append(
            asyncio.ensure_future(
                traffic.send_request(
                    demo_run.url_bases, demo_run.counts, index, body_bytes
                )
            )
        )
        await asyncio.sleep(_TRAFFIC_S / _REQUEST_COUNT)
    await asyncio.gather(*tasks)


async def _run_changes(demo_run):
    """Replace a balancer, drain an agent and change the configuration."""
    system = demo_run.system
    await asyncio.sleep(2.0)
    system.start_balancer(_BALANCERS[2], 13)
    await system.wait_ready(_BALANCERS[2])
    await _wait_members(demo_run, _BALANCERS[2:])
    url_format = "http://%s:7001"
    demo_run.url_bases.append(url_format % system.ip_by_name[_BALANCERS[2]])
    demo_run.url_bases.remove(url_format % system.ip_by_name[_BALANCERS[0]])
    system.signal(_BALANCERS[0], signal.SIGTERM)
    await system.wait_exit(_BALANCERS[0], 30.0)
    await system.admin(_AGENTS[0], "/drain", "POST")
    await _change_configuration(demo_run)


async def _change_configuration(demo_run):
    """Change the configuration and wait until it is in force everywhere."""
    system = demo_run.system
    system.write_services(_CHANGED_SERVICES, "20-limits.toml")
    started = time.monotonic()
    code, text = await system.apply_services()
    if code:
        raise exceptions.CoordinationError(text)
    names = [*_BALANCERS[1:], *_AGENTS]
    async with asyncio.timeout(20):
        while min(await asyncio.gather(*map(system.revision, names))) < 2:
            await asyncio.sleep(0.05)
    demo_run.config_delay_s = time.monotonic() - started


async def _fetch_run_counts(demo_run):
    """Return how often the backend servers ran each request."""
    client = httpclient.AsyncHTTPClient()
    run_count_by_key = collections.Counter()
    for name in _AGENTS:
        answer = await client.fetch(
            "http://%s:%d/runs"
            % (demo_run.system.ip_by_name[name], deployment.BACKEND_PORT)
        )
        run_count_by_key.update(json.loads(answer.body))
    return run_count_by_key


def _report(demo_run, run_count_by_key):
    """Print the results; return 1 if a requirement is violated, else 0."""
    counts = demo_run.counts
    broken = sum(caller.broken for caller in demo_run.callers)
    mixed = sum(caller.mixed for caller in demo_run.callers) + counts.wrong
    run_twice = sum(count > 1 for count in run_count_by_key.values())
    unanswered = counts.sent - counts.answered
    flow_count_by_backend = collections.Counter(
        min(caller.backends) for caller in demo_run.callers if caller.backends
    )
    imbalance = max(flow_count_by_backend.values()) / (
        _FLOW_COUNT / len(_AGENTS)
    )
    datagrams_sent = sum(caller.sent for caller in demo_run.callers)
    datagrams_answered = sum(caller.answered for caller in demo_run.callers)
    rows = [
        ("flows opened", len(demo_run.callers), ""),
        ("flows broken", broken, "must be 0"),
        ("datagrams sent", datagrams_sent, ""),
        ("datagrams answered", datagrams_answered, ""),
        ("imbalance of flows (max/mean)", "%.2f" % imbalance, ""),
        ("requests sent", counts.sent, ""),
        ("requests answered", counts.answered, ""),
        ("requests without an answer", unanswered, "must be 0"),
        ("requests run twice", run_twice, "must be 0"),
        ("answers mixed", mixed, "must be 0"),
        (
            "configuration in force after (s)",
            "%.2f" % demo_run.config_delay_s,
            "must be at most %g" % _MAX_CONFIG_DELAY_S,
        ),
    ]
    rows += [
        ("refused: " + code, count, "")
        for code, count in sorted(counts.refused_by_code.items())
    ]
    for label, value, remark in rows:
        print("%-34s %10s  %s" % (label, value, remark))
    is_config_late = demo_run.config_delay_s > _MAX_CONFIG_DELAY_S
    passed = not (broken or unanswered or run_twice or mixed or is_config_late)
    print("all promises kept" if passed else "a promise was broken")
    return 0 if passed else 1
