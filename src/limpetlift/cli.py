"""Command line of limpetlift."""

import asyncio
import sys

import fire

from limpetlift import exceptions
from limpetlift import logs
from limpetlift.state import settings as settings_module
from limpetlift.tasks import agent as agents
from limpetlift.tasks import balancer as balancers


class Commands:
    """Layer-4 load balancer for long flows and at-most-once requests."""

    def balancer(self, settings):
        """Run a balancer.

        :param settings: path of the settings file (TOML).
        """
        _run(balancers.Balancer, settings)

    def agent(self, settings):
        """Run the agent of a backend server.

        :param settings: path of the settings file (TOML).
        """
        _run(agents.Agent, settings)

    def demo(self, seed=1):
        """Run the whole system on loopback and report the promises.

        :param seed: seed of the traffic.
        """
        from limpetlift.testing import demo

        sys.exit(asyncio.run(demo.run(seed)))

    def standin(self, kind, *arguments):
        """Run a stand-in for tests: ``backend`` or ``fabric``.

        :param kind: which stand-in.
        :param arguments: arguments of the stand-in.
        """
        from limpetlift.testing import standins

        asyncio.run(standins.run(kind, [str(item) for item in arguments]))


def _run(factory, path):
    settings = settings_module.load(path)
    logs.configure(settings.log.level, settings.log.target)

    async def run():
        await factory(settings).run()

    asyncio.run(run())


def main():
    """Run the command; print errors of the package as one line each."""
    try:
        fire.Fire(Commands(), name="limpetlift")
    except exceptions.LimpetliftError as error:
        print("limpetlift: %s: %s" % (error.code, error), file=sys.stderr)
        sys.exit(2)
