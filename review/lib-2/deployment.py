"""A small deployment, as the cases of this folder start it."""

import asyncio

import world as worlds

ROUTE = ("127.198.0.1", 8443)
# The longest time and the largest share of `platform_down`, how `nodes`.
TURNED_AWAY_S = 9.0
TURNED_AWAY_SHARE = 0.35


async def start(world, balancers, servers, callers, open_s):
    """Start everything; return whether the callers' flows are open.

    :param open_s: how long the callers use their flows before this returns.
    """
    await world.start()
    world.write_config(3, {ROUTE: "job-desk"})
    for number in range(1, balancers + 1):
        await world.add_balancer(number).start()
    for number in range(1, servers + 1):
        await worlds.Server(world, number, "job-desk").agent.start()
    await asyncio.sleep(0.3)
    for server in world.servers:
        await server.start()
    if not await world.until(
        lambda: len(world.in_rotation) == balancers, 15
    ):
        return False
    await asyncio.sleep(2.0)
    for number in range(1, callers + 1):
        await worlds.Caller(world, number, ROUTE).start()
    await asyncio.sleep(open_s)
    return (
        sum(world.holder(caller) is not None for caller in world.callers)
        >= 0.9 * callers
    )


def turn_away(world, programs):
    """The store turns machines away and takes their keys."""
    machines = len(world.balancers) + len(world.servers)
    assert len(programs) <= TURNED_AWAY_SHARE * machines
    for program in programs:
        world.log("turned away by the store", program.name)
        world.store.rejected.add(program.ip)
        world.store.take_keys(program.ip)
    asyncio.get_running_loop().call_later(
        TURNED_AWAY_S, world.store.rejected.clear
    )


async def restart(world, program, delay_s):
    """Planned work: stop a process and start it again."""
    await program.stop()
    await asyncio.sleep(delay_s)
    await program.start()


async def finish(world, seconds):
    """Let the callers go on for a while; return whether the run counts."""
    await asyncio.sleep(seconds)
    world.is_over = True
    await asyncio.sleep(0.2)
    return sum(caller.answered for caller in world.callers) > 100
