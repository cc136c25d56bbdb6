"""A randomized soak of the real programs on one machine.

    python tests/soak.py [--seed N] [--seconds S] [--runs N]

Balancers and agents run as processes; callers, backend servers, the fabric
and the store are stand-ins in this process. Faults come in series and overlap:
processes are killed, stopped, paused and restarted by signals; servers crash,
drain and start again; the store is down, silent, slow, loses answers, takes
entries away or forgets its history; segments on the way to balancers are lost.
The same seed gives the same faults at the same times.

Checked while it runs, from what callers and servers see:

* an answer is the one to the caller's own request (P3);
* no request reaches a second server (P5), and none that nobody sent;
* a server that leaves gets no new flow 3 s after its drain was acknowledged
  (P6);
* no flow is reset while its server holds it (P1);
* a route that was removed takes no new flow 3 s after the change (P8);
* when the faults are over, every caller is answered again.
"""

import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import tempfile
import time

import fire
import platformstandin
import soakstandins

from limpetlift import registry
from limpetlift.transport import reactor as reactors

faults_by_name = {}

_BALANCERS = 2
_SERVERS = 4
_CALLERS = 12
_ASK_S = 0.05
_PROBE_S = 0.5
# The last fault ends this long before the end.
_CALM_S = 4.0
# A change of the configuration is in force after this time.
_CONFIG_S = 3.0
_CONFIG_KEY = "op/config"


class World:
    """One run.

    :param seed: of faults and traffic.
    :param seconds: how long faults come.
    :param folder: for settings and logs.
    :param without: name of a protection of :mod:`unprotected` to switch off.
    """

    def __init__(self, seed, seconds, folder, without=""):
        self.without = without
        # Traffic depends on the speed of the machine and must not shift the
        # faults.
        self.rng = random.Random(seed)
        self.fault_rng = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.reactor = reactors.Reactor()
        self.breaches = []
        self.events = []
        self.loss = 0.0
        self.ready_ips = []
        self.version = 0
        # Faults that come first, by name.
        self.plan = []
        self.ports = [443, soakstandins.REMOVED[1]]
        self._servers_by_request = {}
        self.store = platformstandin.StoreStandIn(self.reactor)
        self.servers = [
            soakstandins.Server(self, number + 1) for number in range(_SERVERS)
        ]
        self.balancers = [self._balancer(n + 1) for n in range(_BALANCERS)]
        self.agents = [self._agent(server) for server in self.servers]
        self.callers = []
        self._began_at = time.monotonic()
        self.configure()

    @staticmethod
    def ip(kind, number):
        """Return an address that no other run at this time uses."""
        return "127.%d.%d.%d" % (1 + os.getpid() % 250, kind, number)

    def _balancer(self, number):
        ip = self.ip(1, number)
        return soakstandins.Program(
            "balancer",
            "balancer-%d" % number,
            self.folder,
            soakstandins.settings(
                "balancer-%d" % number, ip, self.store.address
            ),
            self.without,
        )

    def _agent(self, server):
        name = "agent-%d" % server.number
        return soakstandins.Program(
            "agent",
            name,
            self.folder,
            soakstandins.agent_settings(
                name, server.ip, self.store.address, False
            ),
            self.without,
        )

    def configure(self):
        """Write a new version of the configuration."""
        self.version += self.rng.randrange(1, 4)
        routes = [
            {
                "name": "r-%d" % port,
                "host": "198.18.0.1",
                "prefix": "/%d/" % port,
                "service": "desk",
                "aim_ms": 500,
            }
            for port in self.ports
        ]
        value = {
            "version": self.version,
            "routes": routes,
            "limits": {"idle_timeout_ms": 15000},
        }
        self.store.put(_CONFIG_KEY, json.dumps(value).encode())

    # What stand-ins see.

    def breach(self, text):
        """Note a broken promise."""
        at = time.monotonic() - self._began_at
        self.breaches.append("%.2f s: %s" % (at, text))

    def on_run(self, request):
        """Note that a server runs a request."""
        holders = {
            server.number
            for server in self.servers
            if any(run[0] == request for run in server.runs)
        }
        if len(holders) > 1:
            self.breach("%r ran at servers %s" % (request, sorted(holders)))
        caller = request.decode("ascii", "replace").partition("/")[0]
        if caller not in {caller.ip for caller in self.callers}:
            self.breach("%r ran, which nobody sent" % request)

    def holder(self, key, sequence):
        """Return the server that holds a flow, or None.

        A server that was given a copy of the first segment and never the end
        of the handshake holds another flow, which is not open.

        :param sequence: the server's first sequence number.
        """
        for server in self.servers:
            if server.flows_by_key.get(key) == sequence:
                return server
        return None

    def to_balancer(self, data):
        """Hand a segment to any balancer in rotation."""
        if self.rng.random() < self.loss:
            return
        ips = self.ready_ips or [
            program.settings["ip"] for program in self.balancers
        ]
        ip = self.rng.choice(ips)
        self.callers[0].send_raw(data, (ip, soakstandins.SEGMENTS_PORT))

    # The run.

    def run(self):
        """Play the run; return the broken promises."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.reactor.close)
            stack.callback(self._close_standins)
            stack.callback(self._end_programs)
            for program in self.balancers + self.agents:
                program.start()
            for server in self.servers:
                server.start()
            self.reactor.call_every(soakstandins.BEAT_S, self._beat)
            self.reactor.call_every(_PROBE_S, self._probe)
            self.reactor.call_every(0.3, self._restart_programs)
            self.reactor.call_at(time.monotonic() + 2.0, self._open_callers)
            self.reactor.spawn(self._inject())
            self.reactor.run()
        return self.breaches

    def _open_callers(self):
        for number in range(_CALLERS):
            soakstandins.Caller(self, number + 1, bool(number % 2))
        self.reactor.call_every(_ASK_S, self._ask)

    def _ask(self):
        for caller in self.callers:
            caller.ask()

    def _beat(self):
        for server in self.servers:
            server.beat()

    def _probe(self):
        for program in self.balancers:
            self.reactor.spawn(self._probe_one(program))

    async def _probe_one(self, program):
        ip = program.settings["ip"]
        try:
            answer = await soakstandins.http1.call(
                self.reactor,
                soakstandins.probe_address(ip),
                "GET",
                "/-/ready",
                None,
                0.4,
            )
            is_ready = answer.status == 200
        except soakstandins.http1.exceptions.TransportError:
            is_ready = False
        if is_ready and ip not in self.ready_ips:
            self.ready_ips.append(ip)
        elif not is_ready and ip in self.ready_ips:
            self.ready_ips.remove(ip)

    def _restart_programs(self):
        for program in self.balancers + self.agents:
            program.start()

    def _end_programs(self):
        for program in self.balancers + self.agents:
            program.end()

    def _close_standins(self):
        for server in self.servers:
            server.crash()
        for caller in self.callers:
            caller.close()
        self.store.close()

    async def _inject(self):
        await self.reactor.sleep(4.0)
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            name = self.fault_rng.choice(sorted(faults_by_name))
            if self.plan:
                name = self.plan.pop(0)
            for_s = self.fault_rng.uniform(0.3, 3.0)
            self.events.append((name, round(for_s, 1)))
            self.reactor.spawn(faults_by_name[name](self, for_s))
            await self.reactor.sleep(self.fault_rng.uniform(0.3, 2.0))
        await self.reactor.sleep(_CALM_S)
        self.ports.remove(soakstandins.REMOVED[1])
        self.configure()
        await self.reactor.sleep(_CONFIG_S)
        began_at = time.monotonic()
        for caller in self.callers:
            caller.open_removed()
        await self.reactor.sleep(2.0)
        for caller in self.callers:
            if caller.answered_at < began_at:
                self.breach("%s is not answered at the end" % caller.ip)
        self.reactor.stop()


@registry.register(faults_by_name, "kill")
async def _kill(world, _for_s):
    world.fault_rng.choice(world.balancers + world.agents).send(signal.SIGKILL)


@registry.register(faults_by_name, "kill_balancers")
async def _kill_balancers(world, _for_s):
    for program in world.balancers:
        program.send(signal.SIGKILL)


@registry.register(faults_by_name, "stop")
async def _stop(world, _for_s):
    world.fault_rng.choice(world.balancers + world.agents).send(signal.SIGTERM)


@registry.register(faults_by_name, "reload")
async def _reload(world, _for_s):
    world.fault_rng.choice(world.balancers + world.agents).send(signal.SIGHUP)


@registry.register(faults_by_name, "pause")
async def _pause(world, for_s):
    program = world.fault_rng.choice(world.balancers + world.agents)
    program.send(signal.SIGSTOP)
    await world.reactor.sleep(for_s)
    program.send(signal.SIGCONT)


@registry.register(faults_by_name, "server_crash")
async def _server_crash(world, for_s):
    server = world.fault_rng.choice(world.servers)
    server.crash()
    await world.reactor.sleep(for_s)
    server.start()


@registry.register(faults_by_name, "server_drain")
async def _server_drain(world, for_s):
    server = world.fault_rng.choice(world.servers)
    server.drain()
    await world.reactor.sleep(soakstandins.DRAIN_S + for_s)
    if server.state == "draining":
        server.crash()
        await world.reactor.sleep(0.5)
        server.start()


@registry.register(faults_by_name, "store_down")
async def _store_down(world, for_s):
    world.store.status = world.fault_rng.choice((429, 503))
    await world.reactor.sleep(for_s)
    world.store.status = None


@registry.register(faults_by_name, "store_lapse")
async def _store_lapse(world, for_s):
    world.store.status = 503
    world.store.lapse()
    await world.reactor.sleep(for_s)
    world.store.status = None


@registry.register(faults_by_name, "store_loses")
async def _store_loses(world, _for_s):
    world.store.lost += 3


@registry.register(faults_by_name, "store_takes")
async def _store_takes(world, _for_s):
    keys = [key for key in world.store.items_by_key if key != _CONFIG_KEY]
    if keys:
        world.store.remove(world.fault_rng.choice(sorted(keys)))


@registry.register(faults_by_name, "store_forgets")
async def _store_forgets(world, _for_s):
    world.store.oldest = world.store.revision


@registry.register(faults_by_name, "config")
async def _config(world, _for_s):
    world.configure()


@registry.register(faults_by_name, "loss")
async def _loss(world, for_s):
    world.loss = 0.1
    await world.reactor.sleep(for_s)
    world.loss = 0.0


def play(seed, seconds, folder, without=""):
    """Play one run; return its :class:`World`."""
    world = World(seed, seconds, pathlib.Path(folder), without)
    world.run()
    return world


def main(seed=None, seconds=20.0, runs=1, keep="", without=""):
    """Play runs and print what broke; exit with 1 when anything did.

    :param seed: of the first run; a fresh one when left out.
    :param seconds: how long faults come in each run.
    :param runs: with consecutive seeds.
    :param without: name of a protection to switch off.
    :param keep: folder for settings and logs of runs that broke a promise.
    """
    first = random.randrange(1 << 30) if seed is None else seed
    broken = 0
    for number in range(first, first + runs):
        with tempfile.TemporaryDirectory() as folder:
            world = play(number, seconds, folder, without)
            answered = sum(caller.answered for caller in world.callers)
            asked = sum(caller.asked for caller in world.callers)
            print(
                "seed %d: %d faults, %d of %d requests answered, %d broken"
                % (
                    number,
                    len(world.events),
                    answered,
                    asked,
                    len(world.breaches),
                ),
                flush=True,
            )
            for breach in world.breaches[:10]:
                print("  " + breach)
            broken += bool(world.breaches)
            if world.breaches and keep:
                target = pathlib.Path(keep) / ("seed-%d" % number)
                shutil.copytree(folder, target, dirs_exist_ok=True)
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
