"""Behave hooks: each scenario gets its own deployment and event loop."""

import asyncio
import contextlib
import pathlib
import tempfile

from limpetlift.testing import deployment


def before_scenario(context, scenario):
    """Create a deployment without processes and an event loop."""
    context.stack = contextlib.ExitStack()
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.runner = context.stack.enter_context(asyncio.Runner())
    context.system = deployment.Deployment(
        pathlib.Path(folder), deployment.random_network()
    )
    context.stack.callback(context.system.close)
    context.callers = []
    context.stack.callback(_close_callers, context)


def _close_callers(context):
    async def close():
        for caller in context.callers:
            caller.close()

    context.runner.run(close())


def after_scenario(context, scenario):
    """Kill the processes; print the end of their logs after a failure."""
    if scenario.status == "failed":
        for path in sorted(context.system.folder.glob("*.log")):
            print("--- %s" % path.name)
            print(path.read_text(encoding="utf-8")[-2000:])
    context.stack.close()
