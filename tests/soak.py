"""A randomized soak of the real programs on one machine.

    python tests/soak.py [--seed N] [--seconds S] [--runs N]
        [--without PROTECTION] [--keep FOLDER] [--freezes] [--keepers]
        [--reuse [FAULT]] [--restores [FAULT]]

Balancers and agents run as processes; callers, backend servers, the fabric
and the store are stand-ins in this process. Faults follow each other and
overlap: processes are killed, stopped, paused or told to reload, and started
again when they have ended; servers crash, drain and start again; the store
refuses calls, ends leases, loses answers, removes entries or forgets its
history; segments on the way to balancers are lost. With ``--reuse``, servers
are lost for good and their addresses are given to servers of the other
service. With ``--evacuations``, data centres are evacuated. With
``--restores``, the store is away for a moment and comes back from an older
copy, in a new era. The same seed gives the same faults at the same times.

The run checks what callers and servers observe:

* an answer belongs to a request of the same caller (P3);
* a request is executed by one server at most (P5), and was sent by a caller;
* a draining server gets no new flow 3 s after its drain was acknowledged
  (P6);
* no flow is reset while its server holds it (P1);
* a removed route gets no new flow 3 s after the change (P8);
* no flow is opened and no request runs at a server of a service to which no
  configuration routed its address (P2);
* an evacuated data centre gets no new flow 5 s after its evacuation or the
  end of an outage of the store;
* after the faults every caller is answered again.
"""

import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import tempfile

import fire
import platformstandin
import soakstandins

from limpetlift import clock
from limpetlift.coordination import watching
from limpetlift.protocol import segment as segments
from limpetlift import registry
from limpetlift.state import keeping
from limpetlift.transport import reactor as reactors

faults_by_name = {}
# Faults in which several processes stand still; used with ``freezes``.
freezes_by_name = {}
# Faults of the balancers on which the others rely; used with ``keepers``.
keeper_faults_by_name = {}
# Faults that give the address of a lost server to the other service; used with
# ``reuse``. They are not among the ordinary ones, as a seed stands for choices
# from these.
reuse_faults_by_name = {}
# Faults that evacuate data centres; used with ``evacuations``.
evacuation_faults_by_name = {}

# Faults of a store that comes back from an older copy; used with
# ``restores``.
restore_faults_by_name = {}

_BALANCER_COUNT = 2
# With more balancers than keepers, most of them do not know a flow.
_BALANCER_COUNT_WITH_KEEPERS = 6
_SERVER_COUNT = 4
_CALLER_COUNT = 12
_CALLER_TICK_S = 0.05
_PROBE_INTERVAL_S = 0.5
# Pause between the last injected fault and the final checks.
_RECOVERY_S = 4.0
# With reused addresses, some callers use an open flow for longer than an
# address is free.
_LONG_TIMEOUT_S = 5.0
# A lost server's address is given to another one after this time, in seconds.
_REUSE_AFTER_S = (2.0, 3.0)
# All balancers use a new configuration after this time.
_CONFIG_DELAY_S = 3.0
_CONFIG_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
# Balancers in contact with the store know of an evacuation after this time.
_EVACUATION_DELAY_S = 5.0
# Ages of the copies from which the store comes back, in seconds.
_COPY_AGES_S = (1.0, 3.0, 10.0)
_COPY_INTERVAL_S = 0.5
# The operators write the configuration again within this time, in seconds.
_REWRITE_AFTER_S = (0.0, 1.5)


class SoakRun:
    """One run of the soak: the programs, the stand-ins and the faults.

    :param seed: of faults and traffic.
    :param seconds: how long faults are injected.
    :param folder: for settings and logs of the programs.
    :param disabled_protection: name of a protection in :mod:`unprotected` that
        all programs run without, or an empty string.
    :param freezes: whether every second fault is a freeze of several programs.
    :param keepers: whether there are more balancers, and every second fault
        hits those that keep the record of a flow or wait at the store.
    :param reuse: whether every second fault gives addresses of lost servers
        to the other service; or the name of the only such fault.
    :param evacuations: whether there are two data centres, and every second
        fault evacuates one.
    :param restores: whether every second fault lets the store come back from
        an older copy; or the name of the only such fault.
    """

    def __init__(
        self,
        seed,
        seconds,
        folder,
        disabled_protection="",
        freezes=False,
        keepers=False,
        reuse=False,
        evacuations=False,
        restores=False,
    ):
        self.disabled_protection = disabled_protection
        self.reuse = reuse
        # Every second fault is one of these, if there are any.
        self._preferred_faults = {
            **(freezes_by_name if freezes else {}),
            **(keeper_faults_by_name if keepers else {}),
            **_select_faults(reuse_faults_by_name, reuse),
            **_select_faults(restore_faults_by_name, restores),
            **(evacuation_faults_by_name if evacuations else {}),
        }
        self._data_centre_count = 2 if evacuations else 1
        # When each of them was evacuated.
        self.evacuated_at_by_data_centre = {}
        self._store_failed_at = 0.0
        self._restores = restores
        self._config_value = b""
        # Faults have a generator of their own: how often traffic draws numbers
        # depends on the speed of the machine and must not change the faults.
        self.traffic_rng = random.Random(seed)
        self.fault_rng = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.reactor = reactors.Reactor()
        self.violations = []
        self.injected_faults = []
        self.loss_probability = 0.0
        self.ready_balancer_ips = []
        self.config_version = 0
        # Names of faults to inject before random ones.
        self.first_faults = []
        self._services_by_address = {
            address: service
            for service, address in soakstandins.ADDRESSES_BY_SERVICE.items()
        }
        self._services_by_address[soakstandins.REMOVED_ROUTE_ADDRESS] = (
            soakstandins.SERVICES[0]
        )
        # Pairs of an address and a service of all configurations.
        self._routed = set()
        self.store = platformstandin.StoreStandIn(self.reactor)
        self.servers = [
            soakstandins.Server(
                self, number + 1, _alternate(soakstandins.SERVICES, number)
            )
            for number in range(_SERVER_COUNT)
        ]
        balancer_count = _BALANCER_COUNT
        if keepers:
            balancer_count = _BALANCER_COUNT_WITH_KEEPERS
        self.balancers = [
            self._create_balancer(n + 1) for n in range(balancer_count)
        ]
        self._agent_numbers = itertools.count(1)
        self.agents = [self.create_agent(server) for server in self.servers]
        # Numbers of the servers whose address the other service has, or gets.
        self.reused_numbers = set()
        self.callers = []
        self._started_at = clock.now()
        self.write_config()

    @staticmethod
    def ip(kind, number):
        """Return a loopback address that depends on the id of this process.

        Concurrent runs differ in it, so they rarely share an address.

        :param kind: 1 for balancers, 2 for servers, 3 for callers.
        """
        return "127.%d.%d.%d" % (1 + os.getpid() % 250, kind, number)

    def _create_balancer(self, number):
        ip = self.ip(1, number)
        return soakstandins.Program(
            "balancer",
            "balancer-%d" % number,
            self.folder,
            soakstandins.program_settings(
                "balancer-%d" % number, ip, self.store.address
            ),
            self.disabled_protection,
        )

    def create_agent(self, server):
        """Return an agent of a server, with a new id; it is not started."""
        name = "agent-%d" % next(self._agent_numbers)
        return soakstandins.Program(
            "agent",
            name,
            self.folder,
            soakstandins.agent_settings(
                name,
                server.ip,
                self.store.address,
                server.service,
                self.data_centre_of(server),
            ),
            self.disabled_protection,
        )

    def data_centre_of(self, server):
        """Return the data centre of a server; each has all services."""
        return _alternate(
            "ab"[: self._data_centre_count],
            (server.number - 1) // len(soakstandins.SERVICES),
        )

    def check_not_evacuated(self, server, key):
        """Check that a server may take a new flow."""
        data_centre = self.data_centre_of(server)
        evacuated_at = self.evacuated_at_by_data_centre.get(data_centre)
        if evacuated_at is None:
            return
        elapsed_s = clock.now() - max(evacuated_at, self._store_failed_at)
        if elapsed_s > _EVACUATION_DELAY_S:
            self.add_violation(
                "new flow %s at server %s, %.1f s after the evacuation of %s"
                % (
                    segments.format_key(key),
                    server.id,
                    elapsed_s,
                    data_centre,
                )
            )

    def write_config(self):
        """Write a new version of the configuration."""
        self.config_version += self.traffic_rng.randrange(1, 4)
        routes = [
            {
                "name": "r-%s-%d" % (service, port),
                "host": ip,
                "prefix": "/%d/" % port,
                "service": service,
                "aim_ms": 500,
            }
            for (ip, port), service in self._services_by_address.items()
        ]
        self._routed.update(self._services_by_address.items())
        value = {
            "version": self.config_version,
            "routes": routes,
            "limits": {"idle_timeout_ms": 15000},
        }
        self._config_value = json.dumps(value).encode()
        self.store.put(_CONFIG_KEY, self._config_value)

    def rewrite_config(self):
        """Write the last version of the configuration again."""
        self.store.put(_CONFIG_KEY, self._config_value)

    # Called by the stand-ins.

    def add_violation(self, text):
        """Add a violation of a promise, with the time since the start."""
        at = clock.now() - self._started_at
        self.violations.append("%.2f s: %s" % (at, text))

    def check_route(self, server, address, key, event):
        """Check that an address was ever routed to a server's service.

        :param address: of the route, as ``(ip, port)``.
        :param key: of the flow, for the message.
        :param event: what the server did with the flow, for the message.
        """
        if (address, server.service) not in self._routed:
            self.add_violation(
                "server %s of service %s, to which %s:%d was never routed, "
                "%s flow %s"
                % (
                    server.id,
                    server.service,
                    *address,
                    event,
                    segments.format_key(key),
                )
            )

    def on_request_executed(self, server, key, request):
        """Check a request that a server has just executed.

        The caller's own address counts beside the one in the segment.

        :param key: of the flow that carried it.
        """
        server_numbers = {
            other.number
            for other in self.servers
            if any(
                executed[0] == request for executed in other.executed_requests
            )
        }
        if len(server_numbers) > 1:
            self.add_violation(
                "request %r ran at servers %s"
                % (request, sorted(server_numbers))
            )
        caller_ip = request.decode("ascii", "replace").partition("/")[0]
        callers = [c for c in self.callers if c.ip == caller_ip]
        if not callers:
            self.add_violation(
                "request %r ran, but no caller sent it" % request
            )
        for caller in callers:
            address = caller.route_address
            if address != segments.service_of(key):
                self.check_route(server, address, key, "ran %r of" % request)

    def find_holder(self, key, sequence):
        """Return the server that holds a flow, or None.

        A server that got a copy of the first segment, but not the end of the
        handshake, has a half-open flow with another first sequence number. It
        does not hold the flow.

        :param sequence: the first sequence number that the caller got from
            its server.
        """
        for server in self.servers:
            if server.first_sequences_by_key.get(key) == sequence:
                return server
        return None

    def send_to_balancer(self, data):
        """Send a segment to a random ready balancer; lose some segments.

        When no balancer is ready, any balancer gets it.
        """
        if self.traffic_rng.random() < self.loss_probability:
            return
        ips = self.ready_balancer_ips or [
            program.settings["ip"] for program in self.balancers
        ]
        ip = self.traffic_rng.choice(ips)
        self.callers[0].send_raw(data, (ip, soakstandins.SEGMENTS_PORT))

    # Start, faults and end of the run.

    def run(self):
        """Start everything, inject faults and return the violations."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.reactor.close)
            stack.callback(self._close_standins)
            stack.callback(self._kill_programs)
            for program in self.balancers + self.agents:
                program.start()
            for server in self.servers:
                server.start()
            self.reactor.call_every(
                soakstandins.REPORT_INTERVAL_S, self._send_reports
            )
            self.reactor.call_every(_PROBE_INTERVAL_S, self._probe_balancers)
            self.reactor.call_every(0.3, self._restart_programs)
            if self._restores:
                self.store.era = "3"
                self.store.keep_copy()
                self.reactor.call_every(_COPY_INTERVAL_S, self.store.keep_copy)
            self.reactor.call_at(clock.now() + 2.0, self._open_callers)
            self.reactor.spawn(self._inject_faults())
            self.reactor.run()
        return self.violations

    def _open_callers(self):
        for number in range(_CALLER_COUNT):
            soakstandins.Caller(
                self,
                number + 1,
                _alternate(soakstandins.SERVICES, number // 2),
                bool(number % 2),
                (
                    _LONG_TIMEOUT_S
                    if self.reuse and number % 6 == 0
                    else soakstandins.REQUEST_TIMEOUT_S
                ),
            )
        self.reactor.call_every(_CALLER_TICK_S, self._tick_callers)

    def _tick_callers(self):
        if self.store.status is not None:
            self._store_failed_at = clock.now()
        for caller in self.callers:
            caller.tick()

    def _send_reports(self):
        for server in self.servers:
            server.send_report()

    def _probe_balancers(self):
        for program in self.balancers:
            self.reactor.spawn(self._probe_balancer(program))

    async def _probe_balancer(self, program):
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
        if is_ready and ip not in self.ready_balancer_ips:
            self.ready_balancer_ips.append(ip)
        elif not is_ready and ip in self.ready_balancer_ips:
            self.ready_balancer_ips.remove(ip)

    def _restart_programs(self):
        for program in self.balancers + self.agents:
            program.start()

    def _kill_programs(self):
        for program in self.balancers + self.agents:
            program.kill()

    def _close_standins(self):
        for server in self.servers:
            server.crash()
        for caller in self.callers:
            caller.close()
        self.store.close()

    async def _inject_faults(self):
        await self.reactor.sleep(4.0)
        injection_ends_at = clock.now() + self.seconds
        while clock.now() < injection_ends_at:
            faults = faults_by_name
            if self._preferred_faults and self.fault_rng.random() < 0.5:
                faults = self._preferred_faults
            name = self.fault_rng.choice(sorted(faults))
            if self.first_faults:
                name = self.first_faults.pop(0)
                faults = {**faults_by_name, **self._preferred_faults}
            duration_s = self.fault_rng.uniform(0.3, 3.0)
            self.injected_faults.append((name, round(duration_s, 1)))
            self.reactor.spawn(faults[name](self, duration_s))
            await self.reactor.sleep(self.fault_rng.uniform(0.3, 2.0))
        while self.reused_numbers or self.evacuated_at_by_data_centre:
            await self.reactor.sleep(0.1)
        await self.reactor.sleep(
            _RECOVERY_S + (_LONG_TIMEOUT_S if self.reuse else 0.0)
        )
        del self._services_by_address[soakstandins.REMOVED_ROUTE_ADDRESS]
        self.write_config()
        await self.reactor.sleep(_CONFIG_DELAY_S)
        check_started_at = clock.now()
        for caller in self.callers:
            caller.open_removed_route()
        await self.reactor.sleep(2.0)
        for caller in self.callers:
            if caller.last_answered_at < check_started_at:
                self.add_violation(
                    "caller %s got no answer after the faults" % caller.ip
                )
        self.reactor.stop()


def _select_faults(faults, selection):
    """Return all faults of a registry, none, or the one that is named."""
    if selection in (False, True):
        return faults if selection else {}
    return {selection: registry.lookup(faults, selection, "fault")}


def _alternate(values, number):
    return values[number % len(values)]


def _send_signal(programs, number):
    for program in programs:
        program.send_signal(number)


@registry.register(faults_by_name, "kill")
async def _kill_program(soak_run, _duration_s):
    soak_run.fault_rng.choice(
        soak_run.balancers + soak_run.agents
    ).send_signal(signal.SIGKILL)


@registry.register(faults_by_name, "kill_balancers")
async def _kill_balancers(soak_run, _duration_s):
    _send_signal(soak_run.balancers, signal.SIGKILL)


@registry.register(faults_by_name, "stop")
async def _stop_program(soak_run, _duration_s):
    soak_run.fault_rng.choice(
        soak_run.balancers + soak_run.agents
    ).send_signal(signal.SIGTERM)


@registry.register(faults_by_name, "reload")
async def _reload_program(soak_run, _duration_s):
    soak_run.fault_rng.choice(
        soak_run.balancers + soak_run.agents
    ).send_signal(signal.SIGHUP)


@registry.register(faults_by_name, "pause")
async def _pause_program(soak_run, duration_s):
    program = soak_run.fault_rng.choice(soak_run.balancers + soak_run.agents)
    program.send_signal(signal.SIGSTOP)
    await soak_run.reactor.sleep(duration_s)
    program.send_signal(signal.SIGCONT)


async def _freeze(soak_run, programs, duration_s):
    """Let programs stand still at the same time."""
    _send_signal(programs, signal.SIGSTOP)
    await soak_run.reactor.sleep(duration_s)
    _send_signal(programs, signal.SIGCONT)


@registry.register(freezes_by_name, "freeze_agents")
async def _freeze_agents(soak_run, duration_s):
    await _freeze(
        soak_run, soak_run.fault_rng.sample(soak_run.agents, 2), duration_s
    )


@registry.register(freezes_by_name, "freeze_balancer_and_agent")
async def _freeze_balancer_and_agent(soak_run, duration_s):
    programs = [
        soak_run.fault_rng.choice(soak_run.balancers),
        soak_run.fault_rng.choice(soak_run.agents),
    ]
    await _freeze(soak_run, programs, duration_s)


@registry.register(freezes_by_name, "freeze_twice")
async def _freeze_twice(soak_run, duration_s):
    """Freeze a program again before it has caught up."""
    programs = [
        soak_run.fault_rng.choice(soak_run.balancers + soak_run.agents)
    ]
    await _freeze(soak_run, programs, duration_s)
    await soak_run.reactor.sleep(0.01)
    await _freeze(soak_run, programs, duration_s)


@registry.register(freezes_by_name, "freeze_while_draining")
async def _freeze_while_draining(soak_run, duration_s):
    number = soak_run.fault_rng.randrange(len(soak_run.servers))
    soak_run.reactor.spawn(
        _freeze(soak_run, [soak_run.agents[number]], duration_s)
    )
    await soak_run.reactor.sleep(0.1)
    await _drain_and_restart(soak_run, soak_run.servers[number], duration_s)


@registry.register(freezes_by_name, "freeze_while_configured")
async def _freeze_while_configured(soak_run, duration_s):
    soak_run.reactor.spawn(
        _freeze(
            soak_run,
            [soak_run.fault_rng.choice(soak_run.balancers)],
            duration_s,
        )
    )
    await soak_run.reactor.sleep(0.1)
    soak_run.write_config()


def _keepers_of_a_flow(soak_run):
    """Return the balancers that keep the record of a flow of some caller."""
    programs_by_address = _balancers_by_address(soak_run)
    keepers = keeping.Keepers(frozenset(programs_by_address))
    key = soak_run.fault_rng.choice(soak_run.callers).key
    return [programs_by_address[address] for address in keepers.of(key)]


def _watchers(soak_run):
    """Return the balancers that wait at the store for the others."""
    programs_by_address = _balancers_by_address(soak_run)
    data_centres_by_address = {
        address: program.settings["data_centre"]
        for address, program in programs_by_address.items()
    }
    return [
        program
        for address, program in programs_by_address.items()
        if watching.watch_few(address, data_centres_by_address).is_watcher
    ]


def _balancers_by_address(soak_run):
    return {
        (program.settings["ip"], program.settings["peer_port"]): program
        for program in soak_run.balancers
    }


@registry.register(keeper_faults_by_name, "kill_keepers")
async def _kill_keepers(soak_run, _duration_s):
    _send_signal(_keepers_of_a_flow(soak_run), signal.SIGKILL)


@registry.register(keeper_faults_by_name, "stop_keepers")
async def _stop_keepers(soak_run, _duration_s):
    _send_signal(_keepers_of_a_flow(soak_run), signal.SIGTERM)


@registry.register(keeper_faults_by_name, "freeze_keepers")
async def _freeze_keepers(soak_run, duration_s):
    await _freeze(soak_run, _keepers_of_a_flow(soak_run), duration_s)


@registry.register(keeper_faults_by_name, "kill_watchers")
async def _kill_watchers(soak_run, _duration_s):
    _send_signal(_watchers(soak_run), signal.SIGKILL)


@registry.register(keeper_faults_by_name, "freeze_watchers")
async def _freeze_watchers(soak_run, duration_s):
    await _freeze(soak_run, _watchers(soak_run), duration_s)


@registry.register(keeper_faults_by_name, "replace_balancers")
async def _replace_balancers(soak_run, _duration_s):
    """Stop one balancer after the other, as a release does."""
    for program in soak_run.balancers:
        program.send_signal(signal.SIGTERM)
        await soak_run.reactor.sleep(1.0)


async def _reuse_addresses(soak_run, duration_s, lose, replace, is_wide=False):
    """Give addresses to servers of the other service, and later back.

    :param lose: called with the number of a server that is lost.
    :param replace: called with the number of a server and the service of the
        new one at its address.
    :param is_wide: whether all servers of a service, or all servers, may be
        lost at once.
    """
    rng = soak_run.fault_rng
    first = rng.choice(soak_run.servers).number
    steps = (len(soak_run.servers), len(soakstandins.SERVICES), 1)
    step = rng.choice(steps if is_wide else steps[:1])
    pauses_s = [rng.uniform(*_REUSE_AFTER_S) for _ in range(2)]
    numbers = {
        server.number
        for server in soak_run.servers
        if (server.number - first) % step == 0
    } - soak_run.reused_numbers
    soak_run.reused_numbers |= numbers
    for is_return, pause_s in enumerate(pauses_s):
        for number in numbers:
            lose(number)
        await soak_run.reactor.sleep(pause_s)
        for number in numbers:
            replace(
                number,
                _alternate(soakstandins.SERVICES, number - is_return),
            )
        if not is_return:
            await soak_run.reactor.sleep(1.5 + duration_s)
    soak_run.reused_numbers -= numbers


@registry.register(reuse_faults_by_name, "reuse_machine")
async def _reuse_machine(soak_run, duration_s):
    """Lose an instance; a new one of the other service gets its address."""

    def lose(number):
        program = soak_run.agents[number - 1]
        program.is_lost = True
        program.kill()
        soak_run.servers[number - 1].lose()

    def replace(number, service):
        server = soak_run.servers[number - 1]
        server.replace(service)
        soak_run.agents[number - 1] = soak_run.create_agent(server)
        soak_run.agents[number - 1].start()

    await _reuse_addresses(soak_run, duration_s, lose, replace, True)


@registry.register(reuse_faults_by_name, "replace_server")
async def _replace_server(soak_run, duration_s):
    """Replace a server beside its agent, which runs on with its settings."""
    await _reuse_addresses(
        soak_run,
        duration_s,
        lambda number: soak_run.servers[number - 1].lose(),
        lambda number, service: soak_run.servers[number - 1].replace(service),
    )


@registry.register(reuse_faults_by_name, "replace_server_and_settings")
async def _replace_server_and_settings(soak_run, duration_s):
    """Replace a server and rewrite the settings of its running agent."""
    has_signal = soak_run.fault_rng.random() < 0.5

    def replace(number, service):
        program = soak_run.agents[number - 1]
        program.settings["service"] = service
        program.write_settings()
        if has_signal:
            program.send_signal(signal.SIGHUP)
        soak_run.servers[number - 1].replace(service)

    await _reuse_addresses(
        soak_run,
        duration_s,
        lambda number: soak_run.servers[number - 1].lose(),
        replace,
    )


@registry.register(evacuation_faults_by_name, "evacuate")
async def _evacuate(soak_run, duration_s):
    """Evacuate a data centre until some time after it must be empty."""
    data_centre = soak_run.fault_rng.choice("ab")
    if data_centre in soak_run.evacuated_at_by_data_centre:
        return
    key = _EVACUATION_PREFIX + data_centre
    soak_run.store.put(key, b"")
    soak_run.evacuated_at_by_data_centre[data_centre] = clock.now()
    await soak_run.reactor.sleep(_EVACUATION_DELAY_S + 2.0 * duration_s)
    del soak_run.evacuated_at_by_data_centre[data_centre]
    soak_run.store.remove(key)


@registry.register(faults_by_name, "server_crash")
async def _crash_server(soak_run, duration_s):
    server = soak_run.fault_rng.choice(soak_run.servers)
    server.crash()
    await soak_run.reactor.sleep(duration_s)
    server.start()


@registry.register(faults_by_name, "server_drain")
async def _drain_server(soak_run, duration_s):
    server = soak_run.fault_rng.choice(soak_run.servers)
    await _drain_and_restart(soak_run, server, duration_s)


async def _drain_and_restart(soak_run, server, duration_s):
    server.drain()
    await soak_run.reactor.sleep(soakstandins.DRAIN_GRACE_S + duration_s)
    if server.state == "draining":
        server.crash()
        await soak_run.reactor.sleep(0.5)
        server.start()


@registry.register(faults_by_name, "store_down")
async def _fail_store_calls(soak_run, duration_s):
    """Let the store answer every call with an error."""
    soak_run.store.status = soak_run.fault_rng.choice((429, 503))
    await soak_run.reactor.sleep(duration_s)
    soak_run.store.status = None


@registry.register(faults_by_name, "store_lapse")
async def _end_store_leases(soak_run, duration_s):
    """End all leases while the store refuses calls."""
    soak_run.store.status = 503
    soak_run.store.lapse()
    await soak_run.reactor.sleep(duration_s)
    soak_run.store.status = None


@registry.register(faults_by_name, "store_loses")
async def _lose_store_answers(soak_run, _duration_s):
    """Carry out the next 3 commits, but lose the answers."""
    soak_run.store.lost += 3


@registry.register(faults_by_name, "store_takes")
async def _remove_store_entry(soak_run, _duration_s):
    """Remove an entry of a program."""
    keys = [
        key
        for key in soak_run.store.items_by_key
        if key != _CONFIG_KEY and not key.startswith(_EVACUATION_PREFIX)
    ]
    if keys:
        soak_run.store.remove(soak_run.fault_rng.choice(sorted(keys)))


@registry.register(faults_by_name, "store_forgets")
async def _forget_store_history(soak_run, _duration_s):
    """Let the store refuse reads of changes before now."""
    soak_run.store.oldest = soak_run.store.revision


async def _restore(soak_run, age_s, away_s=0.0):
    """Let the store come back from a copy; the operators write again."""
    if away_s:
        soak_run.store.status = 503
        await soak_run.reactor.sleep(away_s)
    soak_run.store.status = None
    soak_run.store.restore(age_s)
    await soak_run.reactor.sleep(soak_run.fault_rng.uniform(*_REWRITE_AFTER_S))
    soak_run.rewrite_config()


@registry.register(restore_faults_by_name, "restore")
async def _restore_once(soak_run, duration_s):
    age_s = soak_run.fault_rng.choice(_COPY_AGES_S)
    await _restore(soak_run, age_s, duration_s)


@registry.register(restore_faults_by_name, "restore_twice")
async def _restore_twice(soak_run, _duration_s):
    """Restore the store again before entries are back."""
    for age_s in soak_run.fault_rng.sample(_COPY_AGES_S, 2):
        await _restore(soak_run, age_s, 0.3)


@registry.register(restore_faults_by_name, "restore_with_former_answers")
async def _restore_with_former_answers(soak_run, duration_s):
    """Let some reads be answered from the state before."""
    age_s = soak_run.fault_rng.choice(_COPY_AGES_S)
    soak_run.store.former_reads = 12
    await _restore(soak_run, age_s, min(duration_s, 0.5))


@registry.register(restore_faults_by_name, "restore_during_release")
async def _restore_during_release(soak_run, duration_s):
    """Replace all balancers and an agent around a restore."""
    age_s = soak_run.fault_rng.choice(_COPY_AGES_S)
    agent = soak_run.fault_rng.choice(soak_run.agents)
    soak_run.reactor.spawn(_replace_balancers(soak_run, duration_s))
    agent.send_signal(signal.SIGTERM)
    await soak_run.reactor.sleep(1.0)
    await _restore(soak_run, age_s, min(duration_s, 1.0))


@registry.register(restore_faults_by_name, "restore_during_drain")
async def _restore_during_drain(soak_run, duration_s):
    age_s = soak_run.fault_rng.choice(_COPY_AGES_S)
    server = soak_run.fault_rng.choice(soak_run.servers)
    soak_run.reactor.spawn(_drain_and_restart(soak_run, server, duration_s))
    await soak_run.reactor.sleep(1.0)
    await _restore(soak_run, age_s, min(duration_s, 1.0))


@registry.register(restore_faults_by_name, "restore_during_config")
async def _restore_during_config(soak_run, duration_s):
    """Restore a copy without the version that was written just before."""
    soak_run.write_config()
    await soak_run.reactor.sleep(0.3)
    await _restore(soak_run, 1.0, min(duration_s, 1.0))


@registry.register(faults_by_name, "config")
async def _change_config(soak_run, _duration_s):
    soak_run.write_config()


@registry.register(faults_by_name, "loss")
async def _lose_segments(soak_run, duration_s):
    """Lose a tenth of the segments on the way to balancers."""
    soak_run.loss_probability = 0.1
    await soak_run.reactor.sleep(duration_s)
    soak_run.loss_probability = 0.0


def run_once(seed, seconds, folder, disabled_protection="", **options):
    """Run the soak once; return its :class:`SoakRun`.

    :param options: of :class:`SoakRun`.
    """
    soak_run = SoakRun(
        seed, seconds, pathlib.Path(folder), disabled_protection, **options
    )
    soak_run.run()
    return soak_run


def main(
    seed=None,
    seconds=20.0,
    runs=1,
    keep="",
    without="",
    freezes=False,
    keepers=False,
    reuse=False,
    evacuations=False,
    restores=False,
):
    """Run the soak, print violations and exit with 1 if there are any.

    :param seed: of the first run; random when left out.
    :param seconds: how long faults are injected in each run.
    :param runs: number of runs, with consecutive seeds.
    :param without: name of a protection to switch off.
    :param keep: folder for settings and logs of runs with violations.
    :param freezes: whether every second fault is a freeze of several programs.
    :param keepers: whether every second fault hits balancers that keep the
        record of a flow or wait at the store.
    :param reuse: whether every second fault gives addresses of lost servers
        to the other service; or the name of the only such fault.
    :param evacuations: whether every second fault evacuates a data centre.
    :param restores: whether every second fault lets the store come back from
        an older copy; or the name of the only such fault.
    """
    first_seed = random.randrange(1 << 30) if seed is None else seed
    failed_runs = 0
    for run_seed in range(first_seed, first_seed + runs):
        with tempfile.TemporaryDirectory() as folder:
            soak_run = run_once(
                run_seed,
                seconds,
                folder,
                without,
                freezes=freezes,
                keepers=keepers,
                reuse=reuse,
                evacuations=evacuations,
                restores=restores,
            )
            requests_answered = sum(
                caller.requests_answered for caller in soak_run.callers
            )
            requests_sent = sum(
                caller.requests_sent for caller in soak_run.callers
            )
            print(
                "seed %d: %d faults, %d of %d requests answered, %d broken"
                % (
                    run_seed,
                    len(soak_run.injected_faults),
                    requests_answered,
                    requests_sent,
                    len(soak_run.violations),
                ),
                flush=True,
            )
            for violation in soak_run.violations[:10]:
                print("  " + violation)
            failed_runs += bool(soak_run.violations)
            if soak_run.violations and keep:
                target = pathlib.Path(keep) / ("seed-%d" % run_seed)
                shutil.copytree(folder, target, dirs_exist_ok=True)
    raise SystemExit(1 if failed_runs else 0)


if __name__ == "__main__":
    fire.Fire(main)
