"""Test of the rotation with real balancer processes."""

import http.client
import json
import signal
import threading
import time

import platformstandin
import pytest
import segmentkit as kit
import soakstandins

from limpetlift.coordination import directory
from limpetlift.tasks import segmentprocess
from limpetlift.transport import datagram
from limpetlift.transport import reactor as reactors

_IPS_BY_NAME = {"big-1": "127.0.9.1", "big-2": "127.0.9.2", "s-1": "127.0.9.3"}
_LINK_MBPS_BY_NAME = {"big-1": 100, "big-2": 100, "s-1": 5}
_AGENT_ADDRESS = ("127.0.9.9", 7790)
_LIMIT_S = 15.0


def _is_ready(name):
    """Whether the probe of a balancer is answered with 200."""
    connection = http.client.HTTPConnection(
        *soakstandins.probe_address(_IPS_BY_NAME[name]), timeout=1.0
    )
    try:
        connection.request("GET", "/-/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def _wait(condition):
    """Return the time until a condition holds, or fail after 15 s."""
    started_at = time.monotonic()
    while not condition():
        assert time.monotonic() < started_at + _LIMIT_S
        time.sleep(0.05)
    return time.monotonic() - started_at


@pytest.fixture(name="programs")
def _programs(tmp_path):
    """Balancers with a store and an agent that accepts all flows."""
    found = {}
    started = threading.Event()
    ended = threading.Event()

    def run():
        reactor = reactors.Reactor()
        store = platformstandin.StoreStandIn(reactor)
        store.put(
            "op/config",
            json.dumps(
                {
                    "version": 1,
                    "routes": [],
                    "limits": {"idle_timeout_ms": 1000},
                }
            ).encode(),
        )
        entry = directory.ProcessEntry("x", _AGENT_ADDRESS, "a", "desk")
        store.put(
            segmentprocess.KEY_PREFIX + directory.AGENTS_PREFIX + "x",
            entry.encode(),
        )
        numbers = iter(range(1, 1_000_000))
        socket = datagram.DatagramSocket(
            reactor,
            _AGENT_ADDRESS,
            lambda _data, sender: socket.send(
                kit.load(next(numbers)).encode(), sender
            ),
            lambda _socket: None,
        )
        for name, ip in _IPS_BY_NAME.items():
            settings = soakstandins.program_settings(name, ip, store.address)
            settings["link_mbps"] = _LINK_MBPS_BY_NAME[name]
            found[name] = soakstandins.Program(
                "balancer", name, tmp_path, settings
            )
        reactor.call_every(0.05, lambda: ended.is_set() and reactor.stop())
        started.set()
        reactor.run()
        socket.close()
        store.close()
        reactor.close()

    # The reactor sets a signal handler, so it runs in the main thread, and
    # the test in another one.
    yield found, started, ended, run
    for program in found.values():
        program.kill()


def test_balancers_agree_on_the_rotation(programs):
    """A small balancer must serve while a large one is stopped, and only then.

    It has to be ready before the fabric removes the one that stops, which
    goes on forwarding for 1.5 s at least.
    """
    found, started, ended, run = programs
    failures = []

    def scenario():
        started.wait()
        try:
            for program in found.values():
                program.start()
            _wait(lambda: _is_ready("big-1") and _is_ready("big-2"))
            _wait(lambda: not _is_ready("s-1"))
            found["big-2"].send_signal(signal.SIGTERM)
            assert _wait(lambda: _is_ready("s-1")) < 1.5
            _wait(lambda: not found["big-2"].is_running)
            found["big-2"].start()
            _wait(lambda: _is_ready("big-2"))
            assert _is_ready("s-1")
        except BaseException as error:
            failures.append(error)
        finally:
            ended.set()

    thread = threading.Thread(target=scenario)
    thread.start()
    run()
    thread.join()
    if failures:
        raise failures[0]
