"""An agent is restarted while its target is down; both come back."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import standins  # noqa: E402

BOARD = ("127.70.0.1", 8443)
BALANCERS = 10
AGENTS = 12
# ``srv_crash`` in the site file lasts 4.5 s.
CRASH_S = 4.5
STOP_AFTER_S = 3.4
RESTART_DELAY_S = 0.5
# Longer than ``stability_window_ms``, 4 s.
CALM_S = 5.0


class CheckedClient(standins.Client):
    """A client that checks each reset of its flow."""

    servers = ()

    def on_reset(self, packet):
        """Check whether the flow's server still holds it."""
        for server in self.servers:
            if server.holds(self.key, self._server_initial):
                self._deployment.violate(
                    "FLOW: %s is reset while %s serves its flow (sum %d)"
                    % (self.name, server.server_id, packet.checksum)
                )

    async def _open(self):
        is_open = await super()._open()
        self._server_initial = self.server_sequence
        return is_open


async def scenario(deployment, is_troubled):
    """Crash a server, restart its agent, then stop a balancer."""
    await deployment.start_platform([("board", BOARD, "desk")])
    balancers = []
    for number in range(1, BALANCERS + 1):
        ip = "127.61.0.%d" % number
        balancer = deployment.program("balancer", "edge-%d" % number, ip)
        balancer.start()
        balancers.append(balancer)
        deployment.router.add(ip)
        # All machines start within 0.3 s of each other.
        await asyncio.sleep(0.035)
    agents = []
    servers = []
    CheckedClient.servers = servers
    for number in range(1, AGENTS + 1):
        ip = "127.62.0.%d" % number
        agent = deployment.program("agent", "side-%d" % number, ip, "desk")
        agent.start()
        agents.append(agent)
        server = standins.Server(deployment, "i-%d" % number, ip, "desk")
        await server.start()
        servers.append(server)
    await asyncio.sleep(4.0)
    if len(deployment.router.rotation()) < BALANCERS:
        return "the balancers are not ready"
    # Requesters that open a flow for each request, all the time.
    for number in range(1, 61):
        client = CheckedClient(
            deployment,
            "short-%d" % number,
            "127.64.0.%d" % number,
            BOARD,
            pause_s=0.15,
            keeps_flow=False,
        )
        await client.start()
        await asyncio.sleep(0.015)
    await asyncio.sleep(2.0)
    if is_troubled:
        servers[0].crash()
    await asyncio.sleep(STOP_AFTER_S)

    # Planned: the agent is stopped and started again.
    async def restart_agent():
        agents[0].signal(signal.SIGTERM)
        await agents[0].wait(6.0)
        await asyncio.sleep(RESTART_DELAY_S)
        deployment.program(
            "agent", "side-1", "127.62.0.1", "desk", first=False
        ).start()

    restart = asyncio.ensure_future(restart_agent())
    await asyncio.sleep(CRASH_S - STOP_AFTER_S)
    if is_troubled:
        # The new boot has a new id.
        server = standins.Server(deployment, "i-9", "127.62.0.1", "desk")
        await server.start()
        servers[0] = server
    await restart
    await asyncio.sleep(2.0)
    clients = [
        CheckedClient(
            deployment,
            "client-%d" % number,
            "127.63.0.%d" % number,
            BOARD,
            pause_s=2.0,
        )
        for number in range(1, 241)
    ]
    for client in clients:
        await client.start()
        await asyncio.sleep(0.015)
    await asyncio.sleep(CALM_S)
    if sum(is_open for _, is_open in servers[0].flows_by_key.values()) < 3:
        return "the restarted target got too few flows"
    # Planned: two balancers are stopped in turn; the routers hash anew.
    balancers[-1].signal(signal.SIGTERM)
    await asyncio.sleep(6.0)
    balancers[-2].signal(signal.SIGTERM)
    await asyncio.sleep(7.0)
    return ""


standins.run_case(
    pathlib.Path(__file__).resolve().parent / "record.txt", scenario
)
