"""The demo: a deployment under traffic while it changes."""

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
_FLOWS = 200
_REQUESTS = 200
_TRAFFIC_S = 10.0
_SEND_INTERVAL_S = 0.25

_SERVICES = """\
[services.job-desk]
address = "{network}.1:7001"
slots = 2
"""


_REFINED = """\
[services.job-desk]
request_timeout_s = 20.0
"""
_CONFIG_LIMIT_S = 4.0


@attrs.define
class _Run:
    """State of one run of the demo."""

    system: deployment.Deployment
    address: tuple
    random: random.Random
    callers: list = attrs.field(factory=list)
    counts: traffic.RequestCounts = attrs.field(factory=traffic.RequestCounts)
    url_bases: list = attrs.field(factory=list)
    config_s: float = math.inf


async def run(seed):
    """Run the demo; return the exit code.

    :param seed: seed of the traffic.
    """
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        network = deployment.random_network()
        system = deployment.Deployment(pathlib.Path(folder), network)
        stack.callback(system.close)
        state = _Run(system, (network + ".1", 7001), random.Random(seed))
        await _start(state, seed)
        await asyncio.gather(
            _run_flows(state), _run_requests(state), _run_changes(state)
        )
        runs = await _collect_runs(state)
        for caller in state.callers:
            caller.close()
        code = _report(state, runs)
        return max(code, _replay(system))


def _replay(system):
    """Replay what the balancers recorded; return 1 when a target is missed."""
    summary = runner.run([system.recording(name) for name in _BALANCERS])
    print("replay of the recording: %s" % summary.to_text().splitlines()[-1])
    return 0 if summary.kept else 1


async def _start(state, seed):
    system = state.system
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
    system.start_fabric(["%s:%d" % state.address], _BALANCERS, seed)
    await system.wait_ready(*_BALANCERS[:2], *_AGENTS)
    await _wait_members(state, _BALANCERS[:2])
    state.url_bases = [
        "http://%s:7001" % system.ip_by_name[name] for name in _BALANCERS[:2]
    ]


async def _wait_members(state, names):
    async with asyncio.timeout(15):
        for name in names:
            while True:
                answer = await state.system.admin(name, "/status")
                services = json.loads(answer.body)["services"]
                if len(services.get("job-desk", ())) >= len(_AGENTS):
                    break
                await asyncio.sleep(0.1)


async def _run_flows(state):
    for index in range(_FLOWS):
        caller = traffic.FlowCaller(
            state.address, "%s.%d" % (state.system.network, 2 + index % 8)
        )
        caller.open()
        state.callers.append(caller)
    rounds = int(_TRAFFIC_S / _SEND_INTERVAL_S)
    for _round in range(rounds):
        for caller in state.callers:
            caller.send()
            if state.random.random() < 0.05:
                await asyncio.sleep(0)
        await asyncio.sleep(_SEND_INTERVAL_S)


async def _run_requests(state):
    tasks = []
    for index in range(_REQUESTS):
        body_bytes = 200_000 if index % 20 == 0 else 64
        tasks.append(
            asyncio.ensure_future(
                traffic.send_request(
                    state.url_bases, state.counts, index, body_bytes
                )
            )
        )
        await asyncio.sleep(_TRAFFIC_S / _REQUESTS)
    await asyncio.gather(*tasks)


async def _run_changes(state):
    """Replace one balancer and drain one agent under traffic."""
    system = state.system
    await asyncio.sleep(2.0)
    system.start_balancer(_BALANCERS[2], 13)
    await system.wait_ready(_BALANCERS[2])
    await _wait_members(state, _BALANCERS[2:])
    base = "http://%s:7001"
    state.url_bases.append(base % system.ip_by_name[_BALANCERS[2]])
    state.url_bases.remove(base % system.ip_by_name[_BALANCERS[0]])
    system.signal(_BALANCERS[0], signal.SIGTERM)
    await system.wait_exit(_BALANCERS[0], 30.0)
    await system.admin(_AGENTS[0], "/drain", "POST")
    await _change_configuration(state)


async def _change_configuration(state):
    """Apply a change; note the seconds until every process has it."""
    system = state.system
    system.write_services(_REFINED, "20-limits.toml")
    started = time.monotonic()
    code, text = await system.apply_services()
    if code:
        raise exceptions.CoordinationError(text)
    names = [*_BALANCERS[1:], *_AGENTS]
    async with asyncio.timeout(20):
        while min(await asyncio.gather(*map(system.revision, names))) < 2:
            await asyncio.sleep(0.05)
    state.config_s = time.monotonic() - started


async def _collect_runs(state):
    client = httpclient.AsyncHTTPClient()
    runs = collections.Counter()
    for name in _AGENTS:
        answer = await client.fetch(
            "http://%s:%d/runs"
            % (state.system.ip_by_name[name], deployment.BACKEND_PORT)
        )
        runs.update(json.loads(answer.body))
    return runs


def _report(state, runs):
    """Print the table; return 1 when a promise was broken."""
    counts = state.counts
    broken = sum(caller.broken for caller in state.callers)
    mixed = sum(caller.mixed for caller in state.callers) + counts.wrong
    twice = sum(count > 1 for count in runs.values())
    lost = counts.sent - counts.answered
    owners = collections.Counter(
        min(caller.backends) for caller in state.callers if caller.backends
    )
    imbalance = max(owners.values()) / (_FLOWS / len(_AGENTS))
    packets = sum(caller.sent for caller in state.callers)
    answers = sum(caller.answered for caller in state.callers)
    rows = [
        ("flows opened", len(state.callers), ""),
        ("flows broken", broken, "must be 0"),
        ("datagrams sent", packets, ""),
        ("datagrams answered", answers, ""),
        ("imbalance of flows (max/mean)", "%.2f" % imbalance, ""),
        ("requests sent", counts.sent, ""),
        ("requests answered", counts.answered, ""),
        ("requests without an answer", lost, "must be 0"),
        ("requests run twice", twice, "must be 0"),
        ("answers mixed", mixed, "must be 0"),
        (
            "configuration in force after (s)",
            "%.2f" % state.config_s,
            "must be at most %g" % _CONFIG_LIMIT_S,
        ),
    ]
    rows += [
        ("refused: " + code, count, "")
        for code, count in sorted(counts.refused_by_code.items())
    ]
    for label, value, remark in rows:
        print("%-34s %10s  %s" % (label, value, remark))
    late = state.config_s > _CONFIG_LIMIT_S
    kept = not (broken or lost or twice or mixed or late)
    print("all promises kept" if kept else "a promise was broken")
    return 0 if kept else 1
