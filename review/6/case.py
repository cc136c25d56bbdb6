"""An agent is killed between the first two reports of its target.

The targets number their reports from 0.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import deployment  # noqa: E402
import world as worlds  # noqa: E402

STABILITY_S = worlds.BOUNDS["stability_window_ms"] / 1000


async def scenario(world):
    await world.start()
    world.write_config(3, {deployment.ROUTE: "job-desk"})
    for number in (1, 2, 3):
        await world.add_balancer(number).start()
    for number in range(1, 5):
        server = worlds.Server(world, number, "job-desk")
        # The first call carries sequence 0.
        server.sequence = -1
        await server.agent.start()
    await asyncio.sleep(0.3)
    new, *others = world.servers
    for server in others:
        await server.start()
    if not await world.until(lambda: len(world.in_rotation) == 3, 15):
        return False
    await asyncio.sleep(3.0)
    await new.start()
    began_at = time.monotonic()
    await asyncio.sleep(0.15)
    for number in range(1, 81):
        await worlds.Caller(
            world, number, deployment.ROUTE, pause_s=(6.0, 9.0)
        ).start()
    await asyncio.sleep(began_at + 0.6 - time.monotonic())
    world.log("flows at the new target", len(new.flows))
    if world.trouble:
        new.agent.signal(signal.SIGKILL)
        new.agent.process.wait()
        await asyncio.sleep(0.1)
        await new.agent.start()
    started_at = time.monotonic()

    def on_wrong_reset(caller, holder, address):
        calm_s = time.monotonic() - started_at
        words = (*caller.me, "reset by", address[0], "while", holder.id,
                 "holds it, %.1f s after the last start" % calm_s)
        if calm_s > STABILITY_S:
            world.violate("FLOW", *words)
        else:
            world.count("reset within the stability window", *words)

    world.on_wrong_reset = on_wrong_reset
    await asyncio.sleep(12.0)
    world.is_over = True
    await asyncio.sleep(0.2)
    return sum(caller.answered for caller in world.callers) > 80


# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# What was sent, answered and run.
RECORD = FOLDER / "record.txt"

worlds.play(scenario, RECORD, TROUBLE)
