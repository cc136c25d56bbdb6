"""The time of day of a machine jumps, and its agent is restarted."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import standins  # noqa: E402

BOARD = ("127.70.0.1", 8443)
# The jump of ``clock_step`` in the site file: 2,400 ms ahead.
CLOCK_STEP_S = 2.4
RESTART_DELAY_S = 0.4
# Longer than ``stability_window_ms``, 4 s, after the restart: by the next
# request all machines are in touch again.
PAUSE_S = 7.5


class CheckedClient(standins.Client):
    """A client that checks each reset of its flow."""

    servers = ()

    def on_reset(self, packet):
        """Check whether the flow's server still holds it."""
        first = self._server_initial
        for server in self.servers:
            if server.holds(self.key, first):
                self._deployment.violate(
                    "FLOW: %s is reset while %s serves its flow (sum %d)"
                    % (self.name, server.server_id, packet.checksum)
                )

    async def _open(self):
        is_open = await super()._open()
        self._server_initial = self.server_sequence
        return is_open


async def scenario(deployment, is_troubled):
    """Start a server while its clock is ahead; then restart its agent."""
    await deployment.start_platform([("board", BOARD, "desk")])
    for number in (1, 2):
        ip = "127.61.0.%d" % number
        deployment.program("balancer", "edge-%d" % number, ip).start()
        deployment.router.add(ip)
    servers = []
    CheckedClient.servers = servers
    agents = []
    for number in (1, 2, 3):
        ip = "127.62.0.%d" % number
        agent = deployment.program("agent", "side-%d" % number, ip, "desk")
        agent.start()
        agents.append(agent)
        if number < 3:
            server = standins.Server(deployment, "i-%d" % number, ip, "desk")
            await server.start()
            servers.append(server)
    await asyncio.sleep(3.0)
    if len(deployment.router.rotation()) < 2:
        return "the balancers are not ready"
    # A further target is started on the third machine. The time of day there
    # is ahead meanwhile and then jumps back: only ``born`` shows it.
    server = standins.Server(
        deployment,
        "i-3",
        "127.62.0.3",
        "desk",
        clock_ahead_s=CLOCK_STEP_S if is_troubled else 0,
    )
    await server.start()
    servers.append(server)
    while server.acknowledged_reports == 0:
        await asyncio.sleep(0.01)
    deployment.note("the time of day at i-3 has jumped back")
    clients = [
        CheckedClient(
            deployment,
            "client-%d" % number,
            "127.63.0.%d" % number,
            BOARD,
            pause_s=PAUSE_S,
        )
        for number in range(1, 41)
    ]
    for client in clients:
        await client.start()
        await asyncio.sleep(0.02)
    # Planned: the agent is stopped and started again.
    await asyncio.sleep(max(0.0, server.started_at + 1.0 - time.monotonic()))
    agents[2].signal(signal.SIGTERM)
    await agents[2].wait(6.0)
    await asyncio.sleep(RESTART_DELAY_S)
    again = deployment.program(
        "agent", "side-3", "127.62.0.3", "desk", first=False
    )
    again.start()
    deployment.note(
        "i-3 has run for %.2f s" % (time.monotonic() - server.started_at)
    )
    await asyncio.sleep(9.0)
    if not any(key[1] for key in server.flows_by_key.values()):
        deployment.note("i-3 holds no flow at the end")
    return ""


standins.run_case(
    pathlib.Path(__file__).resolve().parent / "record.txt", scenario
)
