"""Distribution of the configuration from the store to processes."""

import asyncio
import json
import random

from limpetlift import configcli
from limpetlift.testing import deployment
from limpetlift.testing import store as standin

_SERVICE = '[services.job-desk]\naddress = "%s.1:%d"\n'
_NAMES = ("balancer-1", "balancer-2", "balancer-3")


async def _wait_revision(system, names, revision):
    async with asyncio.timeout(20):
        for name in names:
            while await system.revision(name) != revision:
                await asyncio.sleep(0.05)


async def _apply(system, port):
    system.write_services(_SERVICE % (system.network, port))
    return await system.apply_services()


def test_processes_follow_the_store_and_survive_its_outage(tmp_path):
    """An accepted revision must reach all processes and outlast the store.

    A balancer that restarts while the store is down must get the revision
    from other processes.
    """

    async def scenario():
        network = deployment.random_network()
        system = deployment.Deployment(tmp_path, network)
        server = standin.StandinStore(("127.0.0.1", 0), ("127.0.0.1", 0))
        system.store = server.address
        try:
            await _run_scenario(system, server)
        finally:
            system.close()
            server.close()

    asyncio.run(scenario())


async def _run_scenario(system, server):
    code, text = await _apply(system, 7001)
    assert code == configcli.OK, text
    for index, name in enumerate(_NAMES):
        system.ip_by_name[name] = "%s.%d" % (system.network, 11 + index)
    system.seed_names = list(_NAMES)
    for index, name in enumerate(_NAMES):
        system.start_balancer(name, 11 + index)
    system.start_agent("desk-1", 101, "job-desk")
    process_names = (*_NAMES, "desk-1")
    await system.wait_ready(*process_names)
    await _wait_revision(system, process_names, 1)
    async with asyncio.timeout(30):
        while server.state.calls_by_role["balancer"]["watch"] < 3:
            await asyncio.sleep(0.05)
    code, text = await _apply(system, 7002)
    assert "accepted as revision 2" in text
    await _wait_revision(system, process_names, 2)
    server.set_faults(down=True)
    restarted_index = random.Random(1).randrange(len(_NAMES))
    system.processes_by_name[_NAMES[restarted_index]].kill()
    system.processes_by_name[_NAMES[restarted_index]].wait()
    system.start_balancer(_NAMES[restarted_index], 11 + restarted_index)
    await system.wait_ready(_NAMES[restarted_index])
    assert await system.revision(_NAMES[restarted_index]) == 2
    status = json.loads(
        (await system.admin(_NAMES[restarted_index], "/status")).body
    )
    assert list(status["services"]) == ["job-desk"]
