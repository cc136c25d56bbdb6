"""A service's target is lost; its address goes to another service."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import standins  # noqa: E402

ORDERS = ("127.70.0.1", 8443)
MAPS = ("127.70.0.2", 8444)
SERVICE_BY_ROUTE = {ORDERS: "orders", MAPS: "maps"}
# Longer than ``reuse_after_s``, 2 s.
REUSE_AFTER_S = 2.5


class CheckedServer(standins.Server):
    """A server that checks the route of what it takes."""

    def on_taken(self, key):
        """Check the route of a first packet."""
        expected = SERVICE_BY_ROUTE[key[1]]
        if expected != self.service:
            self._deployment.violate(
                "ROUTE: %s of %s takes a flow to %s"
                % (self.server_id, self.service, expected)
            )

    def on_run(self, key, payload):
        """Check the route of a request."""
        expected = SERVICE_BY_ROUTE[key[1]]
        if expected != self.service:
            self._deployment.violate(
                "ROUTE: %s of %s runs %s, sent to %s"
                % (
                    self.server_id,
                    self.service,
                    payload.decode("ascii"),
                    expected,
                )
            )


async def scenario(deployment, is_troubled):
    """Lose the target of ``orders`` and start one of ``maps`` in its place."""
    await deployment.start_platform(
        [("orders", ORDERS, "orders"), ("maps", MAPS, "maps")]
    )
    for number in (1, 2):
        ip = "127.61.0.%d" % number
        deployment.program("balancer", "edge-%d" % number, ip).start()
        deployment.router.add(ip)
    servers = []
    agents = []
    for number, service in enumerate(("orders", "maps", "maps"), 1):
        ip = "127.62.0.%d" % number
        agent = deployment.program("agent", "side-%d" % number, ip, service)
        agent.start()
        agents.append(agent)
        server = CheckedServer(deployment, "i-%d" % number, ip, service)
        await server.start()
        servers.append(server)
    await asyncio.sleep(3.0)
    if len(deployment.router.rotation()) < 2:
        return "the balancers are not ready"
    clients = [
        standins.Client(
            deployment,
            "client-%d" % number,
            "127.63.0.%d" % number,
            ORDERS if number <= 60 else MAPS,
            pause_s=0.3,
            keeps_flow=False,
        )
        for number in range(1, 64)
    ]
    for client in clients:
        await client.start()
        await asyncio.sleep(0.01)
    await asyncio.sleep(2.0)
    if not all(client.answered for client in clients):
        return "not all clients are served"
    if is_troubled:
        deployment.note("the machine of i-1 is lost for good")
        servers[0].crash()
        agents[0].kill()
    await asyncio.sleep(REUSE_AFTER_S)
    if is_troubled:
        deployment.note("its address goes to another service")
        deployment.program(
            "agent", "side-4", "127.62.0.1", "maps", first=False
        ).start()
        await CheckedServer(deployment, "i-4", "127.62.0.1", "maps").start()
    await asyncio.sleep(4.0)
    return ""


standins.run_case(
    pathlib.Path(__file__).resolve().parent / "record.txt", scenario
)
