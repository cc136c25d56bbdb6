"""Base class of the balancer and agent processes."""

import asyncio
import contextlib
import signal
import time

from tornado import ioloop

from limpetlift.coordination import member
from limpetlift import defaults
from limpetlift import logs
from limpetlift.tasks import admin
from limpetlift.tasks import control

LOG = logs.EventLogger("process")


class Process:
    """A process with a node socket, an administration API and timers.

    The exit stack ``stack`` closes all sockets and timers at the end.

    :param settings: a :class:`limpetlift.state.settings.Settings`.

    .. versionadded:: 0.1
    """

    kind = ""

    def __init__(self, settings):
        self.settings = settings
        self.incarnation = int(time.time() * 1000)
        self.ready = False
        self.draining = False
        self.stack = contextlib.AsyncExitStack()
        self._stop_requested = asyncio.Event()
        self._second_signal = asyncio.Event()

    async def run(self):
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)
        async with self.stack:
            self.node = control.Node(self.settings, self.incarnation)
            self.stack.callback(self.node.close)
            await self.start()
            server = admin.AdminServer(self.settings.admin, self)
            self.stack.callback(server.close)
            LOG.info(
                "started", kind=self.kind, id=self.node.id, node=self.address
            )
            await self._stop_requested.wait()
            self.drain()
            await self.stop(time.monotonic() + defaults.STOP_TIMEOUT_S)
        LOG.info("stopped", kind=self.kind, id=self.node.id)

    @property
    def address(self):
        """The node's address as ``ip:port``."""
        return "%s:%d" % self.node.address

    def initial_record(self, **fields):
        """Return the member record with which this process starts.

        :param fields: fields of :class:`limpetlift.coordination.member.Member`
            other than kind, id, address, incarnation, data centre and
            region.
        """
        node = self.settings.node
        return member.Member(
            agent_id=self.node.id,
            kind=self.kind,
            address=self.address,
            incarnation=self.incarnation,
            data_centre=node.data_centre,
            region=node.region,
            **fields,
        )

    def call_every(self, interval_s, callback):
        """Call ``callback`` periodically until the process stops."""
        timer = ioloop.PeriodicCallback(callback, interval_s * 1000)
        timer.start()
        self.stack.callback(timer.stop)

    def _on_signal(self):
        if self._stop_requested.is_set():
            self._second_signal.set()
        self._stop_requested.set()

    def on_superseded(self, _action):
        """Stop, because a newer process runs under the same id."""
        self._stop_requested.set()

    async def run_until_second_signal(self, coroutine):
        """Wait until ``coroutine`` returns or a second signal arrives."""
        tasks = [
            asyncio.ensure_future(coroutine),
            asyncio.ensure_future(self._second_signal.wait()),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    async def start(self):
        """Open the sockets and start the timers."""
        raise NotImplementedError

    async def stop(self, deadline):
        """Finish the work in progress, then leave the membership.

        :param deadline: monotonic time at which to stop waiting for requests.
        """
        raise NotImplementedError

    def drain(self):
        """Stop accepting new work."""
        raise NotImplementedError

    def status(self):
        """Return the state for the administration API, as a JSON object."""
        return {
            "kind": self.kind,
            "id": self.node.id,
            "address": self.address,
            "incarnation": self.incarnation,
            "ready": self.ready,
            "draining": self.draining,
        }
