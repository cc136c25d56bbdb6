"""Requests through balancer and agent, and the cost of the admission queue."""

import asyncio
import contextlib
import os
import pathlib
import random
import tempfile
import time

from limpetlift.bench import figures
from limpetlift.bench import workers
from limpetlift.state import admission
from limpetlift.testing import deployment

CONNECTIONS = 8
BODY_BYTES = 64
# Numbers of waiting requests; the last one is close to the default limit of
# the queue (QUEUE_LIMIT).
WAITING_COUNTS = (0, 10, 100, 900)
QUEUE_STEPS = 2_000
_SERVICE_PORT = 7000
_SERVICES = """\
[services.desk]
address = "{network}.1:{port}"
slots = {slots}
"""
_HOST_NUMBERS_BY_NAME = {"balancer": 1, "agent": 2}


async def _send_request(reader, writer, request):
    """Send a request on a connection and read the whole response.

    :raises WorkerFailed: if the status of the response is not 200.
    """
    writer.write(request)
    head = await reader.readuntil(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise workers.WorkerFailed(head.decode("latin-1").split("\r\n")[0])
    lowercase_head = head.lower()
    if b"transfer-encoding: chunked" in lowercase_head:
        await reader.readuntil(b"0\r\n\r\n")
        return
    length = lowercase_head.partition(b"content-length: ")[2].partition(
        b"\r\n"
    )[0]
    await reader.readexactly(int(length))


async def _measure_rate(ip, port, seconds):
    """Return the requests per second over all connections together."""
    body = b"b" * BODY_BYTES
    request = (
        b"POST /work?ms=0 HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\n\r\n"
        % len(body)
        + body
    )
    deadline = time.monotonic() + seconds

    async def caller():
        reader, writer = await asyncio.open_connection(ip, port)
        count = 0
        while time.monotonic() < deadline:
            await _send_request(reader, writer, request)
            count += 1
        writer.close()
        return count

    async with asyncio.timeout(seconds + 30.0):
        counts = await asyncio.gather(*(caller() for _ in range(CONNECTIONS)))
    return sum(counts) / seconds


async def _run_deployment(scale):
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.ExitStack() as stack,
    ):
        fleet = deployment.Deployment(
            pathlib.Path(folder), deployment.random_network()
        )
        stack.callback(fleet.close)
        fleet.write_services(
            _SERVICES.format(
                network=fleet.network, port=_SERVICE_PORT, slots=CONNECTIONS
            )
        )
        fleet.start_balancer("balancer", _HOST_NUMBERS_BY_NAME["balancer"])
        fleet.seed_names.append("balancer")
        fleet.start_agent("agent", _HOST_NUMBERS_BY_NAME["agent"], "desk")
        await fleet.wait_ready("balancer", "agent")
        await _wait_until_served(fleet)
        return [await _run_once(fleet, scale) for _ in range(scale.repeats)]


async def _wait_until_served(fleet):
    """Wait until requests through the balancer succeed."""
    async with asyncio.timeout(15.0):
        while True:
            try:
                await _measure_rate(
                    fleet.ip_by_name["balancer"], _SERVICE_PORT, 0.01
                )
                return
            except (workers.WorkerFailed, OSError):
                await asyncio.sleep(0.1)


async def _run_once(fleet, scale):
    names = ("balancer", "agent", "agent-backend")
    before = _processor_s(fleet, names)
    direct_rate = await _measure_rate(
        fleet.ip_by_name["agent"], deployment.BACKEND_PORT, scale.run_s
    )
    between = _processor_s(fleet, names)
    proxied_rate = await _measure_rate(
        fleet.ip_by_name["balancer"], _SERVICE_PORT, scale.run_s
    )
    after = _processor_s(fleet, names)
    request_count = proxied_rate * scale.run_s
    return {
        "direct": direct_rate,
        "whole": proxied_rate,
        "backend_us": (between[2] - before[2])
        * 1e6
        / (direct_rate * scale.run_s),
        "balancer_us": (after[0] - between[0]) * 1e6 / request_count,
        "agent_us": (after[1] - between[1]) * 1e6 / request_count,
    }


def _processor_s(fleet, names):
    return [
        workers.processor_s(fleet.processes_by_name[name].pid)
        for name in names
    ]


def _queue_us(waiting, steps):
    """Return the time per request in us at a queue.

    It covers the arrival of a request and the end of another one.

    :param waiting: number of requests in the queue.
    :param steps: number of requests that are timed.
    """
    queue = admission.AdmissionQueue(
        slots=2, rng=random.Random(1), queue_limit=waiting + 10
    )
    now, number = 0.0, 0
    running = []

    def arrive():
        nonlocal number
        number += 1
        for action in queue.on_request(now, str(number), now + 1e6 + number):
            running.append(action.request_id)

    for _ in range(waiting + 2):
        arrive()
    started = time.perf_counter()
    for _ in range(steps):
        now += 0.001
        arrive()
        finished_id = running.pop(0)
        running += [
            action.request_id
            for action in queue.on_finished(now, finished_id, 0.001)
        ]
    return (time.perf_counter() - started) * 1e6 / steps


@figures.measurement("requests")
def measure(scale):
    """Compare requests through balancer and agent with direct requests.

    Direct requests go to the backend server itself.
    """
    os.environ.setdefault("PYTHONPATH", str(_source_folder()))
    runs = asyncio.run(_run_deployment(scale))

    def figure(name, unit, key):
        return figures.Figure(name, unit, [run[key] for run in runs])

    results = [
        figure("backend server alone", "requests/s", "direct"),
        figure("through balancer and agent", "requests/s", "whole"),
        figure("processor time, backend server", "us/request", "backend_us"),
        figure("processor time, balancer", "us/request", "balancer_us"),
        figure("processor time, agent", "us/request", "agent_us"),
    ]
    for waiting in WAITING_COUNTS:
        values = [
            _queue_us(scale.count(waiting), scale.count(QUEUE_STEPS))
            for _ in range(scale.repeats)
        ]
        results.append(
            figures.Figure(
                "queue, arrival and end, %d waiting" % waiting, "us", values
            )
        )
    return results


def _source_folder():
    return pathlib.Path(__file__).resolve().parents[2]
