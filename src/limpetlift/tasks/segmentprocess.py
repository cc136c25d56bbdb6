"""Base class of the balancer and agent processes that forward segments."""

import collections
import contextlib
import random
import signal
import time

import attrs

from limpetlift import boundedlog
from limpetlift import clock
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift.state import pauses
from limpetlift.state import segmentsettings
from limpetlift import structs
from limpetlift import tallies
from limpetlift.transport import datagram
from limpetlift.transport import reactor as reactors

LOG = logs.EventLogger("process")
FLOW_LOG = logs.EventLogger("flow")

# Prefix of all keys that this project writes to the store.
KEY_PREFIX = "limpetlift/"

# Settings that a process reads at its start only.
_FIELDS_READ_AT_START = frozenset(
    (
        "id",
        "data_centre",
        "ip",
        "segments",
        "probes",
        "peer_port",
        "reports",
        "server_segments",
        "service",
        "report_interval_ms",
        "address_reuse_s",
        "link_mbps",
        "cpu_share",
        "cpu_cores",
        "placing_policy",
        "pacing",
        "warmup_overage",
        "warmup_slack",
    )
)


@structs.frozen
class Deployment:
    """Functions and names that depend on the platform of a deployment.

    :param decode: called with ``(datagram, from_caller)``; returns the
        :class:`~limpetlift.protocol.segment.Segment` in the datagram.
    :param encode_reset: called with ``(key, ack)``; returns the datagram
        that resets a flow.
    :param connect_store: called with ``(reactor, address, measure)``;
        returns a client of the store. The client calls ``measure`` with the
        name of a histogram and a duration in seconds.
    :param serve: called with ``(reactor, address, process)``; returns a
        server of the HTTP API.
    :param routes_key: key of the routes in the store.
    :param decode_routes: called with the value of that key; returns a
        :class:`~limpetlift.state.routing.RouteTable`.
    :param operator_prefix: prefix of all keys that operators write to the
        store; ``routes_key`` begins with it.
    :param evacuations_prefix: prefix of the keys that evacuate data centres,
        followed by the name of one; it begins with ``operator_prefix``.
    """

    decode: object
    encode_reset: object
    connect_store: object
    serve: object
    routes_key: str
    decode_routes: object
    operator_prefix: str
    evacuations_prefix: str


class SegmentProcess:
    """A process that forwards segments.

    A subclass sets ``decisions``, an object that decides what to do with
    segments and messages. Its ``on_message`` returns the steps for a message
    of another process; ``on_pause`` those after a pause of this process, and
    ``on_caught_up`` is called when all datagrams of the pause were read.

    :param settings_path: path of the settings file.
    :param deployment: the :class:`Deployment`.

    .. versionadded:: 0.2
    """

    kind = ""

    def __init__(self, settings_path, deployment):
        self._settings_path = settings_path
        self.settings = segmentsettings.load(settings_path)
        self._settings_at_start = self.settings
        self.deployment = deployment
        self.incarnation = int(time.time() * 1000)
        self.rng = random.Random()
        self.stack = contextlib.ExitStack()
        self.reactor = reactors.Reactor()
        self.counts_by_event = collections.Counter()
        self._durations_by_name = collections.defaultdict(tallies.Durations)
        self.is_stopping = False
        self._pauses = pauses.PauseDetector(clock.now())
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
            self.store.watch_era(self._on_era_finding)
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

    def _on_era_finding(self, finding):
        """Log what is known of the store's era; handle a new one."""
        self.count(finding.event)
        log = LOG.info if finding.event == "store_era_known" else LOG.warning
        log(finding.event, **finding.fields)
        if finding.is_new:
            self.on_era(finding.era)

    def on_era(self, era):
        """Handle that the store has begun a new era.

        :param era: its number.
        """
        raise NotImplementedError

    def start(self):
        """Open sockets and start timers and tasks."""
        raise NotImplementedError

    async def stop(self):
        """Finish the work in progress."""
        raise NotImplementedError

    def is_ready(self):
        """Whether the process can serve callers."""
        raise NotImplementedError

    def perform(self, next_steps):
        """Carry out the steps of a decision.

        :param next_steps: objects of :mod:`limpetlift.state.steps`.
        """
        raise NotImplementedError

    def call_every(self, interval_s, callback):
        """Call ``callback`` at the interval until the process stops."""
        self.stack.callback(self.reactor.call_every(interval_s, callback))

    def open_socket(self, address, on_datagram):
        """Return a UDP socket that is closed when the process stops."""
        socket = datagram.DatagramSocket(
            self.reactor, address, on_datagram, self._on_socket_empty
        )
        self.stack.callback(socket.close)
        self._pauses.sources.append(socket)
        return socket

    def observe(self):
        """Detect a pause that has just ended; return the current time.

        It is called before each event is handled. A freeze between this call
        and the end of the handler is not detected before the next event.
        """
        now = clock.now()
        pause_s = self._pauses.on_event(now)
        if pause_s:
            self.count("paused")
            LOG.warning("paused", seconds=round(pause_s, 3))
            self.on_pause(now, pause_s)
        return now

    def on_pause(self, now, pause_s):
        """Handle the end of a pause of this process.

        :param pause_s: its length in seconds.
        """
        self.perform(self.decisions.on_pause(now, pause_s))

    @property
    def is_catching_up(self):
        """Whether datagrams may be unread that waited through a pause."""
        return bool(self._pauses.unread)

    def _on_socket_empty(self, socket):
        if self._pauses.on_read(socket):
            self.decisions.on_caught_up()

    def tick(self):
        """Run the timers of the decisions.

        After a pause, sockets without datagrams count as read too.
        """
        now = self.observe()
        for socket in self._pauses.unread:
            socket.read()
        self.perform(self.decisions.tick(now))

    def send(self, socket, data, address):
        """Send a datagram; count and log it if the kernel refuses it.

        A refused datagram is not sent again here. It counts as lost, which
        the retransmissions of callers and servers make up for.
        """
        error = socket.send(data, address)
        if error is not None:
            self.count("send_failed")
            LOG.warning("send_failed", to="%s:%d" % address, error=error)

    def serve(self, address):
        """Serve the HTTP API on ``address`` until the process stops."""
        server = self.deployment.serve(self.reactor, address, self)
        self.stack.callback(server.close)

    def decode_caller(self, data):
        """Return the segment in a datagram from a caller."""
        return self.deployment.decode(data, True)

    def on_datagram(self, data, address):
        """Handle a datagram from another balancer or agent."""
        try:
            message = tunnel.decode(data)
        except exceptions.ProtocolError as error:
            self.count("message_malformed")
            LOG.warning(
                "message_malformed", sender="%s:%d" % address, error=error
            )
            return
        self.on_message(address, message)

    def on_message(self, address, message):
        """Handle a decoded message from another process."""
        self.decide(
            lambda now: self.decisions.on_message(now, address, message)
        )

    def decide(self, decision):
        """Make a decision and carry out its steps.

        A malformed segment is counted, logged and dropped.

        :param decision: called with the monotonic time in seconds; returns
            steps, or raises :class:`~limpetlift.exceptions.ProtocolError`.
        """
        try:
            next_steps = decision(self.observe())
        except exceptions.ProtocolError as error:
            self.count("segment_malformed")
            LOG.warning("segment_malformed", error=error)
            return
        self.perform(next_steps)

    def count(self, event):
        """Count an event for the metrics."""
        self.counts_by_event[event] += 1

    def measure(self, name, seconds):
        """Record a duration for the metrics."""
        self._durations_by_name[name].add(seconds)

    def log_event(self, step):
        """Log and count a :class:`~limpetlift.state.steps.LogEvent`."""
        self.counts_by_event[step.event] += 1
        if step.key:
            FLOW_LOG.info(
                step.event, flow=segments.format_key(step.key), **step.fields
            )
        else:
            LOG.info(step.event, **step.fields)

    def metrics(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        # Imported on first use, because the import takes long on a slow
        # instance and would delay the start of the process.
        from limpetlift import segmentmetrics

        return segmentmetrics.exposition(
            self.counts_by_event,
            self.gauges(),
            self._durations_by_name,
            self._log_handler.dropped,
        )

    def gauges(self):
        """Return the current values of the gauges, by name."""
        return {"ready": int(self.is_ready())}

    def _reload(self):
        """Reload the settings file, on SIGHUP and periodically."""
        try:
            settings = segmentsettings.load(self._settings_path)
        except exceptions.SettingsError as error:
            self.count("settings_invalid")
            LOG.error("settings_invalid", error=error)
            return
        if settings == self.settings:
            return
        changed = _changed_fields(self.settings, settings)
        LOG.info("settings_changed", fields=",".join(changed))
        not_in_force = [
            name
            for name in _changed_fields(self._settings_at_start, settings)
            if name in _FIELDS_READ_AT_START
        ]
        if not_in_force:
            self.count("settings_need_restart")
            LOG.warning("settings_need_restart", fields=",".join(not_in_force))
        if "store" in changed:
            self.store.set_address(settings.store)
        # Sockets are bound only at the start, so a changed address of this
        # process takes effect after a restart.
        former, self.settings = self.settings, settings
        self.on_settings(changed, former)

    def on_settings(self, changed, former):
        """Handle settings that were put in force while this process runs.

        :param changed: names of the fields that have changed.
        :param former: the settings that were in force before.
        """


def _changed_fields(old, new):
    """Return the names of the fields in which two settings differ."""
    return [
        field.name
        for field in attrs.fields(segmentsettings.Settings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
