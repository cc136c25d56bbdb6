"""Command line of limpetlift."""

import asyncio
import json as json_module
import sys

import fire
from tornado import httpclient

from limpetlift import configcli
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.state import settings as settings_module
from limpetlift.tasks import agent as agents
from limpetlift.tasks import balancer as balancers

_ADMIN_TIMEOUT_S = 5.0
_PREFIX = "limpetlift/"


class ConfigCommands:
    """Checks, shows and applies the operators' folder of TOML files."""

    def check(self, folder):
        """Check a folder and print all problems.

        :param folder: the operators' folder.
        """
        sys.exit(configcli.check(folder))

    def show(self, folder="", endpoints="", prefix=_PREFIX):
        """Print the merged settings and the file that each comes from.

        :param folder: a folder; without it, the settings in the store.
        :param endpoints: ``ip:port`` of the store, separated by commas.
        :param prefix: prefix of the keys in the store.
        """
        if folder:
            sys.exit(configcli.show(folder))
        _with_store(endpoints, prefix, configcli.show_current)

    def diff(self, folder, endpoints, prefix=_PREFIX):
        """Print what applying a folder would change.

        :param folder: the operators' folder.
        :param endpoints: ``ip:port`` of the store, separated by commas.
        """
        _with_store(
            endpoints, prefix, lambda store: configcli.diff(folder, store)
        )

    def apply(self, folder, endpoints, prefix=_PREFIX, overwrite=False):
        """Apply a folder and say whether the change is in force.

        Exits with 0 when it is, 1 when the folder is invalid, 2 when another
        operator changed the same settings, 3 when nothing was applied, and 4
        when that is unknown.

        :param folder: the operators' folder.
        :param endpoints: ``ip:port`` of the store, separated by commas.
        :param overwrite: let the folder win over the other operator.
        """
        _with_store(
            endpoints,
            prefix,
            lambda store: configcli.apply(folder, store, overwrite),
        )

    def history(self, endpoints, prefix=_PREFIX):
        """Print the latest revisions, their authors and times.

        :param endpoints: ``ip:port`` of the store, separated by commas.
        """
        _with_store(endpoints, prefix, configcli.history)


def _with_store(endpoints, prefix, command):
    """Run a command on the store and exit with its code."""

    async def run():
        store, transport = configcli.connect(_words(endpoints), prefix)
        try:
            return await command(store)
        finally:
            transport.close()

    sys.exit(asyncio.run(run()))


def _log_lines(paths):
    """Yield the lines of log files; undecodable bytes are replaced."""
    for path in paths:
        if path == "-":
            yield from sys.stdin
            continue
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file


class Commands:
    """Layer-4 load balancer for long flows and at-most-once requests."""

    def __init__(self):
        self.config = ConfigCommands()

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

    def status(self, admin, token=""):
        """Print the state of a process as JSON.

        :param admin: ``ip:port`` of its administration API.
        :param token: bearer token, where the process has one.
        """
        print(asyncio.run(_call(admin, "/status", "GET", token)), end="")

    def drain(self, admin, token=""):
        """Make a process take no new work.

        :param admin: ``ip:port`` of its administration API.
        :param token: bearer token, where the process has one.
        """
        print(asyncio.run(_call(admin, "/drain", "POST", token)), end="")

    def explain(self, logs, flow):
        """Print the story of one flow over all processes.

        :param logs: file of log lines, several separated by commas, or ``-``
            for standard input.
        :param flow: ``caller_ip:port``, or the whole id of the flow.
        """
        from limpetlift import explaining

        try:
            found = explaining.explain(_log_lines(_words(logs)), str(flow))
        except (exceptions.StateError, OSError) as error:
            sys.exit(str(error))
        print("\n".join(found))

    def replay(self, *traces, seed=None, policy="", json=False):
        """Replay traces and compare the outcomes with their targets.

        Exits with 1 when a target is missed.

        :param traces: trace files; the events of all are merged.
        :param seed: replaces the seed of the trace.
        :param policy: policies as ``kind=name``, separated by commas; kinds
            are ownership, sharing, admission, choice, retries and keys.
        :param json: print JSON instead of a table.
        """
        from limpetlift.replay import runner

        pairs = [item.partition("=") for item in _words(policy)]
        summary = runner.run(
            [str(path) for path in traces],
            seed,
            {kind: name for kind, _, name in pairs},
        )
        if json:
            print(json_module.dumps(summary.to_json(), indent=2))
        else:
            print(summary.to_text())
        sys.exit(0 if summary.kept else 1)

    def demo(self, seed=1):
        """Run the whole system on loopback and report the promises.

        :param seed: seed of the traffic.
        """
        from limpetlift.testing import demo

        sys.exit(asyncio.run(demo.run(seed)))

    def bench(self, only="", json=""):
        """Measure the processes on loopback; takes less than 5 minutes.

        :param only: name of the only measurement to run.
        :param json: file to which the figures are written.
        """
        from limpetlift.bench import figures
        from limpetlift.bench import runner

        report = runner.run(figures.Scale(), only)
        if json:
            runner.write(report, json)

    def standin(self, kind, *arguments):
        """Run a stand-in for tests: ``backend``, ``fabric`` or ``store``.

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


def _words(text):
    """Split a list that fire may have parsed into a tuple already."""
    if isinstance(text, (tuple, list)):
        return [str(item) for item in text]
    return [item for item in str(text).split(",") if item]


async def _call(admin, path, method, token):
    """Call the administration API; return the answer's text."""
    headers = {"Authorization": "Bearer " + token} if token else {}
    try:
        answer = await httpclient.AsyncHTTPClient().fetch(
            "http://%s%s" % (admin, path),
            method=method,
            headers=headers,
            body=b"" if method == "POST" else None,
            request_timeout=_ADMIN_TIMEOUT_S,
        )
    except (OSError, ValueError, httpclient.HTTPError) as error:
        raise exceptions.TransportError(
            "%s does not answer: %s" % (admin, error)
        ) from error
    return answer.body.decode("utf-8")


def main():
    """Run the command; print errors of the package as one line each."""
    try:
        fire.Fire(Commands(), name="limpetlift")
    except exceptions.LimpetliftError as error:
        print("limpetlift: %s: %s" % (error.code, error), file=sys.stderr)
        sys.exit(2)
