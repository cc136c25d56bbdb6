"""Command-line interface of limpetlift."""

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
_DEFAULT_PREFIX = "limpetlift/"


class ConfigCommands:
    """Commands for the configuration, a folder of TOML files."""

    def check(self, folder):
        """Check a configuration folder and print all problems.

        :param folder: path of the folder.
        """
        sys.exit(configcli.check(folder))

    def show(self, folder="", endpoints="", prefix=_DEFAULT_PREFIX):
        """Print the merged settings and the file that each comes from.

        :param folder: path of a configuration folder; without it, the settings
            in the store are printed.
        :param endpoints: addresses of the store as ``ip:port``, separated by
            commas.
        :param prefix: prefix of the keys in the store.
        """
        if folder:
            sys.exit(configcli.show(folder))
        _with_store(endpoints, prefix, configcli.show_current)

    def diff(self, folder, endpoints, prefix=_DEFAULT_PREFIX):
        """Print the changes that applying a configuration folder would make.

        :param folder: path of the folder.
        :param endpoints: addresses of the store as ``ip:port``, separated by
            commas.
        :param prefix: prefix of the keys in the store.
        """
        _with_store(
            endpoints, prefix, lambda store: configcli.diff(folder, store)
        )

    def apply(
        self, folder, endpoints, prefix=_DEFAULT_PREFIX, overwrite=False
    ):
        """Apply a configuration folder and print whether it was accepted.

        Exit codes: 0 when it was accepted, 1 when the folder is invalid, 2
        when another operator changed the same settings, 3 when nothing was
        applied, and 4 when it is unknown whether it was applied.

        :param folder: path of the folder.
        :param endpoints: addresses of the store as ``ip:port``, separated by
            commas.
        :param prefix: prefix of the keys in the store.
        :param overwrite: replace settings that another operator changed by
            those of the folder.
        """
        _with_store(
            endpoints,
            prefix,
            lambda store: configcli.apply(folder, store, overwrite),
        )

    def history(self, endpoints, prefix=_DEFAULT_PREFIX):
        """Print the latest revisions with their times and authors.

        :param endpoints: addresses of the store as ``ip:port``, separated by
            commas.
        :param prefix: prefix of the keys in the store.
        """
        _with_store(endpoints, prefix, configcli.history)


def _with_store(endpoints, prefix, command):
    """Run a command with a store client and exit with its exit code."""

    async def run():
        store, transport = configcli.connect(_split_list(endpoints), prefix)
        try:
            return await command(store)
        finally:
            transport.close()

    sys.exit(asyncio.run(run()))


def _read_lines(paths):
    """Yield the lines of log files, with undecodable bytes replaced."""
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

        :param settings: path of the settings file, in TOML format.
        """
        _run(balancers.Balancer, settings)

    def agent(self, settings):
        """Run the agent of a backend server.

        :param settings: path of the settings file, in TOML format.
        """
        _run(agents.Agent, settings)

    def status(self, admin, token=""):
        """Print the status of a process as JSON.

        :param admin: ``ip:port`` of the process's administration API.
        :param token: bearer token, if the API requires one.
        """
        print(asyncio.run(_call(admin, "/status", "GET", token)), end="")

    def drain(self, admin, token=""):
        """Drain a process: it accepts no new work.

        :param admin: ``ip:port`` of the process's administration API.
        :param token: bearer token, if the API requires one.
        """
        print(asyncio.run(_call(admin, "/drain", "POST", token)), end="")

    def explain(self, logs, flow):
        """Print the timeline of one flow from the logs of all processes.

        :param logs: paths of log files, separated by commas; ``-`` is standard
            input.
        :param flow: ``caller_ip:port``, or the full id of the flow.
        """
        from limpetlift import explaining

        try:
            timeline = explaining.explain(
                _read_lines(_split_list(logs)), str(flow)
            )
        except (exceptions.StateError, OSError) as error:
            sys.exit(str(error))
        print("\n".join(timeline))

    def whereto(self, balancer, flow, copy=0, json=False):
        """Print where a balancer would place a new flow now, and why.

        Nothing is sent and nothing changes. The exit code is 2 when the
        balancer cannot answer.

        :param balancer: ``ip:port`` of the balancer's metrics.
        :param flow: ``caller_ip:port>service_ip:port``, in quotes.
        :param copy: number of times that the caller has sent the first segment
            before, from 0 to 2.
        :param json: print JSON instead of text.
        """
        from limpetlift import whereto

        answer = asyncio.run(whereto.ask(str(balancer), str(flow), copy))
        if json:
            print(json_module.dumps(answer, indent=2))
        else:
            print("\n".join(whereto.format_answer(answer)))

    def replay(self, *traces, seed=None, policy="", json=False):
        """Replay traces and compare the outcomes with their targets.

        The exit code is 1 when a target is missed.

        :param traces: paths of trace files, whose events are merged.
        :param seed: random seed to use instead of that of the trace.
        :param policy: policies as ``kind=name``, separated by commas; the
            kinds are ownership, sharing, admission, choice, retries and keys.
        :param json: print JSON instead of a table.
        """
        from limpetlift.replay import runner

        parts = [item.partition("=") for item in _split_list(policy)]
        summary = runner.run(
            [str(path) for path in traces],
            seed,
            {kind: name for kind, _, name in parts},
        )
        if json:
            print(json_module.dumps(summary.to_json(), indent=2))
        else:
            print(summary.to_text())
        sys.exit(0 if summary.kept else 1)

    def demo(self, seed=1):
        """Run the whole system on loopback and check its guarantees.

        :param seed: random seed of the traffic.
        """
        from limpetlift.testing import demo

        sys.exit(asyncio.run(demo.run(seed)))

    def bench(self, only="", json=""):
        """Run the benchmarks on loopback, in less than 5 minutes.

        :param only: name of a single measurement to run.
        :param json: path of a JSON file to which the figures are written.
        """
        from limpetlift.bench import figures
        from limpetlift.bench import runner

        report = runner.run(figures.Scale(), only)
        if json:
            runner.write(report, json)

    def standin(self, kind, *arguments):
        """Run a stand-in for tests: ``backend``, ``fabric`` or ``store``.

        :param kind: kind of the stand-in.
        :param arguments: arguments that are passed to it.
        """
        from limpetlift.testing import standins

        asyncio.run(standins.run(kind, [str(item) for item in arguments]))


def _run(factory, path):
    settings = settings_module.load(path)
    logs.configure(settings.log.level, settings.log.target)

    async def run():
        await factory(settings).run()

    asyncio.run(run())


def _split_list(text):
    """Split a comma-separated list; fire may have parsed it into a tuple."""
    if isinstance(text, (tuple, list)):
        return [str(item) for item in text]
    return [item for item in str(text).split(",") if item]


async def _call(admin, path, method, token):
    """Call the administration API and return the body of the response."""
    headers = {"Authorization": "Bearer " + token} if token else {}
    try:
        response = await httpclient.AsyncHTTPClient().fetch(
            "http://%s%s" % (admin, path),
            method=method,
            headers=headers,
            body=b"" if method == "POST" else None,
            request_timeout=_ADMIN_TIMEOUT_S,
        )
    except (OSError, ValueError, httpclient.HTTPError) as error:
        raise exceptions.TransportError(
            "call to the administration API at %s failed: %s" % (admin, error)
        ) from error
    return response.body.decode("utf-8")


def main():
    """Run a command; print an error of the package as one line."""
    try:
        fire.Fire(Commands(), name="limpetlift")
    except exceptions.LimpetliftError as error:
        print("limpetlift: %s: %s" % (error.code, error), file=sys.stderr)
        sys.exit(2)
