"""What balancers and agents that forward segments have in common."""

import asyncio
import collections
import contextlib
import random
import signal
import time

import attrs
from tornado import ioloop

from limpetlift import boundedlog
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift.state import segmentsettings
from limpetlift.transport import udp

LOG = logs.EventLogger("process")
FLOW_LOG = logs.EventLogger("flow")

# Keys of this project in the store.
PREFIX = "limpetlift/"


@attrs.frozen
class Deployment:
    """What differs between the places where the processes run.

    :param decode: ``(datagram, from_caller)`` to a segment.
    :param encode_reset: ``(key, ack)`` to the datagram that ends a flow.
    :param connect_store: address to a client of the store.
    :param serve: ``(address, process)`` to a server of the HTTP calls.
    :param routes_key: the routes' key in the store.
    :param decode_routes: its value to a route table.
    """

    decode: object
    encode_reset: object
    connect_store: object
    serve: object
    routes_key: str
    decode_routes: object


class SegmentProcess:
    """A process that forwards segments.

    :param settings_path: of its settings file.
    :param deployment: a :class:`Deployment`.

    .. versionadded:: 0.2
    """

    kind = ""

    def __init__(self, settings_path, deployment):
        self._settings_path = settings_path
        self.settings = segmentsettings.load(settings_path)
        self.deployment = deployment
        self.incarnation = int(time.time() * 1000)
        self.rng = random.Random()
        self.stack = contextlib.AsyncExitStack()
        self.counts_by_event = collections.Counter()
        self.is_stopping = False
        self._stop_requested = None
        self._tasks = set()
        self._log_handler = boundedlog.configure()

    async def run(self):
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        self._stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        async with self.stack:
            self.store = self.deployment.connect_store(self.settings.store)
            self.stack.callback(lambda: self.store.close())
            self.start()
            self.every(defaults.SETTINGS_POLL_S, self._reload)
            LOG.info(
                "started",
                kind=self.kind,
                id=self.settings.id,
                incarnation=self.incarnation,
                data_centre=self.settings.data_centre,
            )
            await self._stop_requested.wait()
            LOG.info("stopping", kind=self.kind, id=self.settings.id)
            self.is_stopping = True
            await self.stop()
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        LOG.info("stopped", kind=self.kind, id=self.settings.id)

    def start(self):
        """Open sockets and start timers and tasks."""
        raise NotImplementedError

    async def stop(self):
        """Finish the work in progress."""
        raise NotImplementedError

    def is_ready(self):
        """Whether the process can serve callers."""
        raise NotImplementedError

    def perform(self, found):
        """Carry out the steps of a decision."""
        raise NotImplementedError

    def run_task(self, work):
        """Run a coroutine until the process stops."""
        task = asyncio.ensure_future(work)
        task.add_done_callback(self._on_task_done)
        self._tasks.add(task)

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("task_failed", exc_info=_exc_info(task.exception()))

    def every(self, seconds, callback):
        """Call ``callback`` every ``seconds`` until the process stops."""
        timer = ioloop.PeriodicCallback(callback, seconds * 1000)
        timer.start()
        self.stack.callback(timer.stop)

    def open_socket(self, address, receive):
        """Return a UDP socket that is closed with the process."""
        socket = udp.UdpSocket(address, receive)
        self.stack.callback(socket.close)
        return socket

    def serve(self, address):
        """Serve the HTTP calls on ``address`` until the process ends."""
        server = self.deployment.serve(address, self)
        self.stack.callback(server.close)

    def decode_caller(self, data):
        """Return the segment in a datagram of a caller."""
        return self.deployment.decode(data, True)

    def decode_message(self, data, address):
        """Return the message in a datagram, or None when it is none."""
        try:
            return tunnel.decode(data)
        except exceptions.ProtocolError as error:
            self.count("message_malformed")
            LOG.warning(
                "message_malformed", sender="%s:%d" % address, error=error
            )
            return None

    def count(self, event):
        """Count an event for the metrics."""
        self.counts_by_event[event] += 1

    def note(self, note):
        """Log and count a :class:`~limpetlift.state.steps.Note`."""
        self.counts_by_event[note.event] += 1
        if note.key:
            FLOW_LOG.info(
                note.event, flow=segments.format_key(note.key), **note.fields
            )
        else:
            LOG.info(note.event, **note.fields)

    def metrics(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        # Imported late: it takes long at the start of a slow instance.
        from limpetlift import segmentmetrics

        return segmentmetrics.exposition(
            self.counts_by_event, self.gauges(), self._log_handler.dropped
        )

    def gauges(self):
        """Return the current values for the metrics, by name."""
        return {"ready": int(self.is_ready())}

    def _reload(self):
        """Read the settings again, on SIGHUP or by the timer."""
        try:
            settings = segmentsettings.load(self._settings_path)
        except exceptions.SettingsError as error:
            self.count("settings_invalid")
            LOG.error("settings_invalid", error=error)
            return
        if settings == self.settings:
            return
        changed = [
            field.name
            for field in attrs.fields(segmentsettings.Settings)
            if getattr(settings, field.name)
            != getattr(self.settings, field.name)
        ]
        LOG.info("settings_changed", fields=",".join(changed))
        if "store" in changed:
            self.store.set_address(settings.store)
        # Addresses are bound at the start; a change of them needs a restart.
        self.settings = settings


def _exc_info(error):
    return type(error), error, error.__traceback__
