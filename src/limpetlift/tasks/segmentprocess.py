"""What balancers and agents that forward segments have in common."""

import collections
import contextlib
import random
import signal
import time

import attrs

from limpetlift import boundedlog
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift.state import segmentsettings
from limpetlift import tallies
from limpetlift.transport import datagram
from limpetlift.transport import reactor as reactors

LOG = logs.EventLogger("process")
FLOW_LOG = logs.EventLogger("flow")

# Keys of this project in the store.
PREFIX = "limpetlift/"


@attrs.frozen
class Deployment:
    """What differs between the places where the processes run.

    :param decode: ``(datagram, from_caller)`` to a segment.
    :param encode_reset: ``(key, ack)`` to the datagram that ends a flow.
    :param connect_store: ``(reactor, address, measure)`` to a client of the
        store; ``measure`` is called with a name and seconds.
    :param serve: ``(reactor, address, process)`` to a server of the HTTP
        calls.
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

    A subclass sets ``decisions``, which has ``on_message``.

    .. versionadded:: 0.2
    """

    kind = ""

    def __init__(self, settings_path, deployment):
        self._settings_path = settings_path
        self.settings = segmentsettings.load(settings_path)
        self.deployment = deployment
        self.incarnation = int(time.time() * 1000)
        self.rng = random.Random()
        self.stack = contextlib.ExitStack()
        self.reactor = reactors.Reactor()
        self.counts_by_event = collections.Counter()
        self._durations_by_name = collections.defaultdict(tallies.Durations)
        self.is_stopping = False
        self._log_handler = boundedlog.configure(self.settings.id)

    def run(self):
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.reactor.on_signal(number, self._request_stop)
        self.reactor.on_signal(signal.SIGHUP, self._reload)
        with self.stack:
            self.stack.callback(self.reactor.close)
            self.store = self.deployment.connect_store(
                self.reactor, self.settings.store, self.measure
            )
            self.start()
            self.call_every(defaults.SETTINGS_POLL_INTERVAL_S, self._reload)
            LOG.info(
                "started",
                kind=self.kind,
                id=self.settings.id,
                incarnation=self.incarnation,
                data_centre=self.settings.data_centre,
            )
            self.reactor.run()
        LOG.info("stopped", kind=self.kind, id=self.settings.id)

    def _request_stop(self):
        if self.is_stopping:
            return
        LOG.info("stopping", kind=self.kind, id=self.settings.id)
        self.is_stopping = True
        self.reactor.spawn(self._stop())

    async def _stop(self):
        try:
            await self.stop()
        finally:
            self.reactor.stop()

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

    def call_every(self, seconds, callback):
        """Call ``callback`` every ``seconds`` until the process stops."""
        self.stack.callback(self.reactor.call_every(seconds, callback))

    def open_socket(self, address, receive):
        """Return a UDP socket that is closed with the process."""
        socket = datagram.DatagramSocket(self.reactor, address, receive)
        self.stack.callback(socket.close)
        return socket

    def send(self, socket, data, address):
        """Send a datagram; its receiver's own copies make up for a loss."""
        error = socket.send(data, address)
        if error is not None:
            self.count("send_failed")
            LOG.warning("send_failed", to="%s:%d" % address, error=error)

    def serve(self, address):
        """Serve the HTTP calls on ``address`` until the process ends."""
        server = self.deployment.serve(self.reactor, address, self)
        self.stack.callback(server.close)

    def decode_caller(self, data):
        """Return the segment in a datagram of a caller."""
        return self.deployment.decode(data, True)

    def on_datagram(self, data, address):
        """Decide on a datagram of another process."""
        try:
            message = tunnel.decode(data)
        except exceptions.ProtocolError as error:
            self.count("message_malformed")
            LOG.warning(
                "message_malformed", sender="%s:%d" % address, error=error
            )
            return
        self.decide(
            lambda now: self.decisions.on_message(now, address, message)
        )

    def decide(self, decision):
        """Carry out a decision on a segment, unless its bytes are none.

        :param decision: called with the time; returns steps.
        """
        try:
            found = decision(time.monotonic())
        except exceptions.ProtocolError as error:
            self.count("segment_malformed")
            LOG.warning("segment_malformed", error=error)
            return
        self.perform(found)

    def count(self, event):
        """Count an event for the metrics."""
        self.counts_by_event[event] += 1

    def measure(self, name, seconds):
        """Count a duration for the metrics."""
        self._durations_by_name[name].add(seconds)

    def note(self, note):
        """Log and count a :class:`~limpetlift.state.steps.LogEvent`."""
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
            self.counts_by_event,
            self.gauges(),
            self._durations_by_name,
            self._log_handler.dropped,
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
