"""Steps of processes.feature: run and check real processes on loopback."""

import asyncio
import collections
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys

import behave
from tornado import httpclient

from limpetlift.protocol import refusal
from limpetlift.testing import deployment
from limpetlift.testing import traffic

# The reset payload is "end" in hexadecimal.
_SERVICES_TOML = """\
[services.job-desk]
address = "{network}.1:7001"
slots = 3
reset_payload = "656e64"
"""
_SERVICE_PORT = 7001
_ROUND_INTERVAL_S = 0.05
_MAX_OPENING_ROUNDS = 100


def _names(prefix, count):
    return ["%s-%d" % (prefix, index + 1) for index in range(count)]


@behave.given("the built file is used")
def use_built_file(context):
    """Build the zipapp and run all processes from it."""
    root = pathlib.Path(__file__).resolve().parents[2]
    subprocess.run(
        [sys.executable, str(root / "tools" / "binary.py")],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    context.system.command = (str(root / "dist" / "limpetlift"),)


@behave.given("a service with {balancers:d} balancers and {agents:d} agents")
def start_deployment(context, balancers, agents):
    """Start all processes and wait until each balancer knows all agents."""
    system = context.system
    system.write_services(_SERVICES_TOML.format(network=system.network))
    system.start_store()
    code, text = context.runner.run(system.apply_services())
    assert code == 0, text
    context.balancers = _names("balancer", balancers)
    context.agents = _names("desk", agents)
    context.address = (system.network + ".1", _SERVICE_PORT)
    for index, name in enumerate(context.balancers):
        system.ip_by_name[name] = "%s.%d" % (system.network, 11 + index)
    system.seed_names = list(context.balancers)
    for index, name in enumerate(context.balancers):
        system.start_balancer(name, 11 + index)
    for index, name in enumerate(context.agents):
        system.start_agent(name, 101 + index, "job-desk")
    system.start_fabric(["%s:%d" % context.address], context.balancers, seed=1)
    context.runner.run(system.wait_ready(*context.balancers, *context.agents))
    context.runner.run(_wait_for_agents(context))


async def _wait_for_agents(context):
    """Wait until the status of each balancer lists all agents."""
    async with asyncio.timeout(20):
        for name in context.balancers:
            while True:
                answer = await context.system.admin(name, "/status")
                known_agents = json.loads(answer.body)["services"]["job-desk"]
                if len(known_agents) == len(context.agents):
                    break
                await asyncio.sleep(0.05)


@behave.when("{count:d} flows are opened")
def open_flows(context, count):
    """Open flows and send on each of them until it is answered."""

    async def run():
        new = []
        for index in range(count):
            caller = traffic.FlowCaller(
                context.address,
                "%s.%d" % (context.system.network, 2 + index % 8),
            )
            caller.open()
            new.append(caller)
        for _round in range(_MAX_OPENING_ROUNDS):
            unanswered_callers = [
                caller for caller in new if not caller.answered
            ]
            if not unanswered_callers:
                break
            for caller in unanswered_callers:
                caller.send()
            await asyncio.sleep(_ROUND_INTERVAL_S)
        context.callers += new
        context.new_callers = new

    context.runner.run(run())
    unanswered = [c for c in context.new_callers if not c.answered]
    assert not unanswered, "%d new flows got no answer" % len(unanswered)
    context.backends_by_caller_id = {
        id(caller): next(iter(caller.backends))
        for caller in context.new_callers
        if len(caller.backends) == 1
    }


@behave.when("every flow sends {count:d} datagrams")
def send_datagrams(context, count):
    """Send on every flow and give the answers 1 s to arrive."""

    async def run():
        for _round in range(count):
            for caller in context.callers:
                caller.send()
            await asyncio.sleep(_ROUND_INTERVAL_S)
        await asyncio.sleep(1.0)

    context.runner.run(run())


@behave.when("the store gets SIGKILL")
def kill_store(context):
    """Kill the store; it is not started again."""
    context.system.signal("store", signal.SIGKILL)


@behave.when("{name} is ended by two SIGTERM")
def end_process(context, name):
    """Begin a planned stop and cut it short with the second signal."""

    async def run():
        context.system.signal(name, signal.SIGTERM)
        await asyncio.sleep(1.0)
        context.system.signal(name, signal.SIGTERM)
        await context.system.wait_exit(name, 30.0)
        await asyncio.sleep(0.5)

    context.runner.run(run())


@behave.when("a request with key {key} is sent through {name}")
def send_keyed_request(context, key, name):
    """Send a request with an idempotency key and keep its answer."""

    async def run():
        return await httpclient.AsyncHTTPClient().fetch(
            "http://%s:%d/work?ms=10"
            % (context.system.ip_by_name[name], _SERVICE_PORT),
            method="POST",
            body=b"one order",
            headers={"Idempotency-Key": key},
        )

    answers = context.__dict__.setdefault("answers", [])
    answers.append(context.runner.run(run()))
    context.answers = answers


@behave.when("{name} gets {signal_name}")
def send_signal(context, name, signal_name):
    """Send a signal to a process."""
    context.system.signal(name, getattr(signal, signal_name))


@behave.when("{name} is drained")
def drain(context, name):
    """Drain a process through its administration API."""
    context.runner.run(context.system.admin(name, "/drain", "POST"))


@behave.when("{name} is paused for {seconds:d} s under traffic")
def pause(context, name, seconds):
    """Pause a process with SIGSTOP while all flows send, then resume it."""

    async def run():
        context.system.signal(name, signal.SIGSTOP)
        for _round in range(int(seconds / 0.25)):
            for caller in context.callers:
                caller.send()
            await asyncio.sleep(0.25)
        context.system.signal(name, signal.SIGCONT)

    context.runner.run(run())


@behave.when("{count:d} requests of {work_ms:d} ms are sent")
def send_requests(context, count, work_ms):
    """Start sending requests in the background.

    :param work_ms: how long the backend server works on each request.
    """
    context.counts = traffic.RequestCounts()
    bases = [
        "http://%s:%d" % (context.system.ip_by_name[name], _SERVICE_PORT)
        for name in context.balancers
    ]

    async def run():
        context.request_tasks = [
            asyncio.ensure_future(
                traffic.send_request(
                    bases, context.counts, seed, work_ms=work_ms
                )
            )
            for seed in range(count)
        ]
        await asyncio.sleep(0.5)

    context.runner.run(run())


@behave.when("hostile input reaches every port")
def send_hostile_input(context):
    """Send malformed, truncated, oversized and forged input."""
    generator = random.Random(7)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for ip in context.system.ip_by_name.values():
            for length in (0, 1, 8, 43, 44, 45, 200, 1400, 9000, 65000):
                data = generator.randbytes(length)
                sender.sendto(data, (ip, deployment.NODE_PORT))
                sender.sendto(b"\xa1" + data[1:], (ip, deployment.NODE_PORT))
    for name in context.balancers + context.agents:
        ip = context.system.ip_by_name[name]
        ports = [deployment.NODE_PORT, deployment.ADMIN_PORT]
        if name in context.balancers:
            ports = [_SERVICE_PORT, deployment.ADMIN_PORT]
        for port in ports:
            for data in _hostile_streams(generator):
                _send_stream(ip, port, data)


def _hostile_streams(generator):
    """Return what is sent on TCP connections, one item for each."""
    return (
        b"",
        b"GET",
        b"\xff\xff\xff\xff" + generator.randbytes(64),
        b"\x00\x00\x00\x04abcd",
        b"POST /work HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        b"POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nab",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 200_000 + b"\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: \x01\r\n\r\n",
    )


def _send_stream(ip, port, data):
    with socket.create_connection((ip, port), timeout=5) as stream:
        try:
            stream.sendall(data)
            stream.shutdown(socket.SHUT_WR)
        except OSError:
            # The process closed the connection first, which is allowed.
            pass


def _find_changed_flows(context):
    """Return the callers that got answers from another backend server."""
    return [
        caller
        for caller in context.callers
        if caller.backends != {context.backends_by_caller_id.get(id(caller))}
    ]


@behave.then("no flow has changed its backend server")
def check_no_flow_changed(context):
    """Fail when another backend server answered on a flow."""
    changed = _find_changed_flows(context)
    assert not changed, "%d flows changed their backend server: %s" % (
        len(changed),
        [sorted(caller.backends) for caller in changed[:5]],
    )


@behave.then("only flows of {name} have changed their backend server")
def check_only_flows_of(context, name):
    """Fail when a flow of another agent changed its backend server."""
    unexpected = [
        c for c in _find_changed_flows(context) if name not in c.backends
    ]
    assert not unexpected, [sorted(c.backends) for c in unexpected[:5]]


@behave.then("{name} has none of the new flows")
def check_no_new_flows(context, name):
    """Fail when the backend server of a drained agent got a new flow."""
    accepted = [c for c in context.new_callers if name in c.backends]
    assert not accepted, "%d new flows were accepted" % len(accepted)


@behave.then("{name} has exited with {code:d}")
def check_exit(context, name, code):
    """Fail when the process does not end within 30 s with that code."""
    exit_code = context.runner.run(context.system.wait_exit(name, 30.0))
    assert exit_code == code, "the process ended with exit code %d" % exit_code


async def _finish_requests(context):
    """Wait for all requests; return how often each key was executed."""
    await asyncio.gather(*context.request_tasks)
    runs = collections.Counter()
    client = httpclient.AsyncHTTPClient()
    for name in context.agents:
        answer = await client.fetch(
            "http://%s:%d/runs"
            % (context.system.ip_by_name[name], deployment.BACKEND_PORT)
        )
        runs.update(json.loads(answer.body))
    return runs


@behave.then("every request is answered and none runs twice")
def check_requests(context):
    """Fail when a request got no or a wrong answer, or a key ran twice."""
    runs = context.runner.run(_finish_requests(context))
    counts = context.counts
    assert counts.answered == counts.sent, counts
    assert not counts.wrong, counts
    assert not [key for key, count in runs.items() if count > 1], runs


@behave.then("every request is answered or refused and none runs twice")
def check_answered_or_refused(context):
    """Fail when a request has no final outcome, or a key ran twice.

    A refusal as not run is not final, because the caller sends the request
    again. The second SIGTERM cuts off running requests, so at least one is
    refused with an unknown outcome.
    """
    runs = context.runner.run(_finish_requests(context))
    counts = context.counts
    refused = sum(
        count
        for code, count in counts.refused_by_code.items()
        if refusal.refusals_by_code[code].outcome != refusal.NOT_RUN
    )
    assert refused, "no request was refused with an unknown outcome"
    assert counts.answered + refused == counts.sent, counts
    assert not [key for key, count in runs.items() if count > 1], runs


@behave.then("no request runs twice")
def check_no_request_runs_twice(context):
    """Fail when a key ran more than once, or an answer was a wrong one."""
    runs = context.runner.run(_finish_requests(context))
    assert not context.counts.wrong, context.counts
    assert not [key for key, count in runs.items() if count > 1], runs


@behave.then("both answers are the same and the second one is replayed")
def check_replayed(context):
    """Fail when the second request was run instead of replayed."""
    first, second = context.answers
    assert first.body == second.body == b"one order"
    assert first.headers["X-Backend"] == second.headers["X-Backend"]
    assert second.headers["Idempotent-Replayed"] == "true"


@behave.then("every flow of {name} got the reset payload")
def check_reset(context, name):
    """Fail when a caller got no notice that its flow has ended."""
    own = [c for c in context.callers if name in c.backends]
    without_payload = [c for c in own if "end" not in c.backends]
    assert (
        own and not without_payload
    ), "%d of %d flows got no reset payload" % (len(without_payload), len(own))


@behave.then("every process is ready")
def check_ready(context):
    """Fail when a balancer or an agent is not ready in time."""
    context.runner.run(
        context.system.wait_ready(*context.balancers, *context.agents)
    )
