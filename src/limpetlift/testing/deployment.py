"""Starts a small deployment as processes on loopback addresses."""

import asyncio
import io
import os
import pathlib
import random
import signal
import subprocess
import sys

import attrs
from tornado import httpclient

from limpetlift import configcli

KEY = "00112233445566778899aabbccddeeff"
NODE_PORT = 6000
ADMIN_PORT = 6001
BACKEND_PORT = 6100
STORE_PORT = 6200
STORE_ADMIN_PORT = 6201
_READY_TIMEOUT_S = 15.0

_SETTINGS = """\
seeds = [{seeds}]

[node]
id = "{name}"
ip = "{ip}"
port = {node_port}
data_centre = "{data_centre}"

[admin]
ip = "{ip}"
port = {admin_port}
token = "{token}"

[security]
keys = ["{key}"]

[log]
level = "info"
target = "{log}"

[{source}]
{source_line}
"""


@attrs.define
class Deployment:
    """The processes of one deployment.

    :param folder: an empty folder for settings, logs and recorded traces.
    :param network: first three octets of the addresses of the processes.
    :param seed_names: names of the processes that later ones use as seeds.
    :param token: token of the administration API of each process.
    :param command: command line prefix that runs ``limpetlift``.
    :param store: ``ip:port`` of the store to read the configuration from; if
        empty, it is read from the folder ``services``.

    .. versionadded:: 0.1
    """

    folder: pathlib.Path
    network: str
    processes_by_name: dict = attrs.field(factory=dict)
    ip_by_name: dict = attrs.field(factory=dict)
    seed_names: list = attrs.field(factory=list)
    token: str = "demo-token"
    command: tuple = (sys.executable, "-m", "limpetlift")
    store: str = ""

    def write_services(self, text, name="10-services.toml"):
        """Write a configuration file in the folder ``services``."""
        services = self.folder / "services"
        services.mkdir(exist_ok=True)
        (services / name).write_text(text, encoding="utf-8")

    def start_store(self):
        """Start the stand-in store, which processes started later use."""
        ip = "%s.9" % self.network
        self.store = "%s:%d" % (ip, STORE_PORT)
        self.spawn(
            "store", "standin", "store", ip, STORE_PORT, STORE_ADMIN_PORT
        )

    async def apply_services(self):
        """Apply the folder ``services`` to the store.

        :returns: the exit code and the output of ``config apply``.
        :raises TimeoutError: if it cannot be applied in time.
        """
        store, transport = configcli.connect([self.store], "limpetlift/")
        out = io.StringIO()
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                while True:
                    code = await configcli.apply(
                        self.folder / "services", store, out=out
                    )
                    if code != configcli.NOT_APPLIED:
                        return code, out.getvalue()
                    await asyncio.sleep(0.1)
        finally:
            transport.close()

    def spawn(self, name, *arguments):
        """Run ``limpetlift`` with ``arguments`` as the process ``name``."""
        log = (self.folder / (name + ".out")).open("wb")
        self.processes_by_name[name] = subprocess.Popen(
            [*self.command, *map(str, arguments)],
            stdout=log,
            stderr=log,
            env=dict(os.environ, PYTHONUNBUFFERED="1"),
        )
        log.close()

    def start_balancer(self, name, host):
        """Start a balancer that records a trace.

        :param host: last octet of its address.
        """
        role_settings = '[balancer]\nbind_ip = "{ip}"\nrecord = "%s"\n'
        self._start(
            "balancer", name, host, role_settings % self.recording(name)
        )

    def recording(self, name):
        """Return the path of the trace recorded by the balancer ``name``."""
        return self.folder / (name + ".jsonl")

    def start_agent(self, name, host, service):
        """Start a backend server and its agent.

        :param host: last octet of their address.
        :param service: name of the service.
        """
        ip = "%s.%d" % (self.network, host)
        self.spawn(
            name + "-backend",
            *("standin", "backend", name, ip, str(BACKEND_PORT)),
        )
        role_settings = '[agent]\nservice = "%s"\nbackend = "{ip}:%d"\n' % (
            service,
            BACKEND_PORT,
        )
        self._start("agent", name, host, role_settings)

    def _start(self, role, name, host, role_settings):
        ip = "%s.%d" % (self.network, host)
        self.ip_by_name[name] = ip
        seeds = ", ".join(
            '"%s:%d"' % (self.ip_by_name[seed], NODE_PORT)
            for seed in self.seed_names
        )
        text = (_SETTINGS + "\n" + role_settings).format(
            seeds=seeds,
            name=name,
            ip=ip,
            node_port=NODE_PORT,
            data_centre="dc-%d" % (host % 3),
            admin_port=ADMIN_PORT,
            token=self.token,
            key=KEY,
            log=self.folder / (name + ".log"),
            **self._config_source(),
        )
        path = self.folder / (name + ".toml")
        path.write_text(text, encoding="utf-8")
        self.spawn(name, role, str(path))

    def _config_source(self):
        if self.store:
            line = 'endpoints = ["%s"]' % self.store
            return {"source": "store", "source_line": line}
        line = 'folder = "%s"' % (self.folder / "services")
        return {"source": "config", "source_line": line}

    def start_fabric(self, service_addresses, balancers, seed):
        """Start the stand-in fabric.

        :param service_addresses: ``ip:port`` of each service.
        :param balancers: names of the balancers that receive the datagrams.
        :param seed: seed of the choice of a balancer for each datagram.
        """
        balancer_entries = [
            "%s=%s:%d"
            % (self.ip_by_name[name], self.ip_by_name[name], ADMIN_PORT)
            for name in balancers
        ]
        self.spawn(
            "fabric",
            "standin",
            "fabric",
            ",".join(service_addresses),
            ",".join(balancer_entries),
            str(seed),
        )

    async def admin(self, name, path, method="GET"):
        """Call the administration API of a process.

        :returns: the HTTP response.
        """
        client = httpclient.AsyncHTTPClient()
        return await client.fetch(
            "http://%s:%d%s" % (self.ip_by_name[name], ADMIN_PORT, path),
            method=method,
            body=b"" if method == "POST" else None,
            headers={"Authorization": "Bearer " + self.token},
            request_timeout=2.0,
        )

    async def revision(self, name):
        """Return the configuration revision in force in a process, or 0."""
        answer = await self.admin(name, "/metrics")
        for line in answer.body.decode("utf-8").splitlines():
            if line.startswith("limpetlift_config_revision "):
                return int(float(line.split()[1]))
        return 0

    async def wait_ready(self, *names):
        """Wait until the named processes are ready.

        :raises TimeoutError: if one of them is not ready in time.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for name in names:
                while not await self._is_ready(name):
                    await asyncio.sleep(0.05)

    async def _is_ready(self, name):
        try:
            await self.admin(name, "/readyz")
        except (OSError, httpclient.HTTPError):
            return False
        return True

    def signal(self, name, number):
        """Send the signal ``number`` to a process."""
        self.processes_by_name[name].send_signal(number)

    async def wait_exit(self, name, timeout_s):
        """Wait until a process has ended and return its exit code.

        :raises TimeoutError: if it still runs after ``timeout_s``.
        """
        async with asyncio.timeout(timeout_s):
            while self.processes_by_name[name].poll() is None:
                await asyncio.sleep(0.02)
        return self.processes_by_name[name].returncode

    def close(self):
        """Kill the running processes, also stopped ones, and wait for them."""
        for process in self.processes_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes_by_name.values():
            process.wait()


def random_network():
    """Return the first three octets of a random loopback network.

    Concurrent runs on one instance rarely choose the same network.
    """
    generator = random.SystemRandom()
    return "127.%d.%d" % (
        generator.randrange(20, 250),
        generator.randrange(1, 250),
    )
