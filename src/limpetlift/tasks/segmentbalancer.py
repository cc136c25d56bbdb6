"""The balancer: segments of callers go to agents."""

import time

from limpetlift.coordination import directory as directories
from limpetlift.coordination import entries
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.protocol import segment as segments
from limpetlift.state import steering
from limpetlift.state import steps
from limpetlift.tasks import announcing
from limpetlift.tasks import following
from limpetlift.tasks import segmentprocess

LOG = logs.EventLogger("balancer")


class SegmentBalancer(segmentprocess.SegmentProcess):
    """Forwards the segments that the fabric hands to this instance.

    .. versionadded:: 0.2
    """

    kind = "balancer"

    def start(self):
        """Open sockets and start timers and tasks."""
        settings = self.settings
        address = (settings.ip, settings.peer_port)
        self._directory = directories.Directory()
        self._knows_directory = False
        self._is_reading = False
        self._is_read_wanted = False
        self._is_sending_queries = False
        self._segment_at = time.monotonic()
        self.decisions = steering.FlowSteering(
            address, settings.data_centre, self.decode_caller, self.rng
        )
        self._peers = self.open_socket(address, self.on_datagram)
        self._segments = self.open_socket(settings.segments, self._on_segment)
        self._caller_port = settings.segments[1]
        self.serve(settings.probes)
        self._key = directories.BALANCERS_PREFIX + settings.id
        entry = directories.ProcessEntry(
            settings.id, address, settings.data_centre
        )
        self._announcer = announcing.Announcer(
            self.reactor,
            self.store,
            segmentprocess.PREFIX + self._key,
            entry.encode(),
            self.rng,
            defaults.ENTRY_LEASE_S,
        )
        self.reactor.spawn(self._announcer.run())
        self._follow(
            self.deployment.routes_key,
            self._on_route_entries,
            self._on_route_changes,
            lambda: None,
        )
        self._follow(
            segmentprocess.PREFIX,
            self._on_entries,
            self._on_entry_changes,
            self._directory.on_unreachable,
        )
        self.call_every(defaults.STEERING_TICK_S, self._tick)
        self.call_every(defaults.HELLO_INTERVAL_S, self._check_directory)
        self.call_every(
            defaults.SILENT_AGENT_CHECK_INTERVAL_S, self._check_silent
        )

    def _follow(self, prefix, on_snapshot, on_changes, on_unreachable):
        follower = following.Follower(
            self.reactor,
            self.store,
            prefix,
            self.rng,
            on_snapshot,
            on_changes,
            on_unreachable,
        )
        self.reactor.spawn(follower.run())

    # Segments and messages.

    def _on_segment(self, data, _address):
        def decision(now):
            segment = self.decode_caller(data)
            self._segment_at = now
            return self.decisions.on_segment(now, segment)

        self.decide(decision)

    def decide(self, decision):
        """Carry out a decision, and send what it asks agents soon after.

        Searches that begin within a short time share messages.
        """
        super().decide(decision)
        if self._is_sending_queries or not self.decisions.searches.has_queries:
            return
        self._is_sending_queries = True
        self.reactor.call_at(
            time.monotonic() + defaults.SEARCH_BATCH_DELAY_S,
            self._send_queries,
        )

    def _send_queries(self):
        self._is_sending_queries = False
        self.perform(self.decisions.searches.flush_queries())

    def perform(self, found):
        """Carry out the steps of a decision."""
        for step in found:
            if isinstance(step, steps.SendToPeer):
                self.send(self._peers, step.message.encode(), step.address)
            elif isinstance(step, steps.Reset):
                self._reset(step)
            elif isinstance(step, steps.ReadDirectory):
                self._request_directory()
            elif isinstance(step, steps.Duration):
                self.measure(step.name, step.seconds)
            else:
                self.note(step)

    def _reset(self, step):
        self.count("reset_" + step.reason)
        ip, _ = segments.caller_of(step.key)
        self.send(
            self._segments,
            self.deployment.encode_reset(step.key, step.ack),
            (ip, self._caller_port),
        )

    # Routes and directory.

    def _on_route_entries(self, found):
        for entry in found:
            if entry.key == self.deployment.routes_key:
                self._on_routes(entry)

    def _on_route_changes(self, changes):
        self._on_route_entries(
            [change.entry for change in changes if change.entry is not None][
                -1:
            ]
        )

    def _on_routes(self, entry):
        try:
            routes = self.deployment.decode_routes(entry.value)
        except exceptions.ProtocolError as error:
            self.count("routes_unreadable")
            LOG.error(
                "routes_unreadable", revision=entry.mod_revision, error=error
            )
            return
        self.perform(self.decisions.on_routes(time.monotonic(), routes))

    def _on_entries(self, found):
        self._directory.on_snapshot(
            time.monotonic(), [_without_prefix(entry) for entry in found]
        )
        self._on_directory()

    def _on_entry_changes(self, changes):
        self._directory.on_changes(
            time.monotonic(),
            [
                entries.Change(
                    change.key.removeprefix(segmentprocess.PREFIX),
                    change.entry and _without_prefix(change.entry),
                    change.revision,
                )
                for change in changes
            ],
        )
        if changes:
            self._on_directory()

    def _on_directory(self):
        self._knows_directory = True
        unreadable_by_key = self._directory.unreadable_by_key
        while unreadable_by_key:
            key, error = unreadable_by_key.popitem()
            self.count("entry_unreadable")
            LOG.warning("entry_unreadable", key=key, error=error)
        self.perform(
            self.decisions.on_entries(
                time.monotonic(),
                self._directory.agents(),
                self._directory.balancers(),
                self._directory.unlisted(),
            )
        )

    def _request_directory(self):
        """Read all entries, once for all searches that wait for it."""
        self._is_read_wanted = True
        if not self._is_reading:
            self._is_reading = True
            self.reactor.spawn(self._read_directory())

    async def _read_directory(self):
        try:
            while self._is_read_wanted:
                self._is_read_wanted = False
                began_at = time.monotonic()
                found, _ = await self.store.get_prefix(segmentprocess.PREFIX)
                self._on_entries(found)
                self.perform(
                    self.decisions.on_directory_read(
                        time.monotonic(), began_at
                    )
                )
                # One read serves all searches that ended meanwhile.
                await self.reactor.sleep(defaults.DIRECTORY_READ_PAUSE_S)
        except exceptions.CoordinationError as error:
            self.count("directory_read_failed")
            LOG.warning("directory_read_failed", error=error)
        finally:
            self._is_reading = False

    async def _remove_silent(self):
        """Remove the entries of agents that are gone for good."""
        for entry in self.decisions.silent_agents(time.monotonic()):
            key = directories.AGENTS_PREFIX + entry.process_id
            revision = self._directory.revision(key)
            if not revision:
                continue
            LOG.info("silent_agent_removed", agent=entry.process_id)
            try:
                await self.store.remove(segmentprocess.PREFIX + key, revision)
            except exceptions.CoordinationError as error:
                LOG.warning("remove_failed", key=key, error=error)

    def _check_directory(self):
        now = time.monotonic()
        if self._directory.expire(
            now, lambda entry: self.decisions.is_reporting(now, entry.address)
        ):
            self._on_directory()
        if self._knows_directory and not self._directory.is_listed(self._key):
            self._announcer.on_missing()

    def _check_silent(self):
        self.reactor.spawn(self._remove_silent())

    def _tick(self):
        self.perform(self.decisions.tick(time.monotonic()))

    def is_ready(self):
        """Whether this balancer can serve callers."""
        return (
            not self.is_stopping
            and self.decisions.routes.version > 0
            and self._knows_directory
            and self.decisions.is_connected(time.monotonic())
        )

    def gauges(self):
        """Return the current values for the metrics, by name."""
        return {
            **super().gauges(),
            "routes_version": self.decisions.routes.version,
            "flows": len(self.decisions.flows_by_key),
            "agents": len(self._directory.agents()),
        }

    async def stop(self):
        """Forward until the fabric has noticed that this balancer stops."""
        now = time.monotonic()
        earliest = now + defaults.STOP_MIN_S
        latest = now + defaults.STOP_MAX_S
        while now < latest:
            await self.reactor.sleep(defaults.STEERING_TICK_S)
            now = time.monotonic()
            if now > max(earliest, self._segment_at + defaults.STOP_QUIET_S):
                break
        await self._announcer.withdraw()


def _without_prefix(entry):
    return entries.Entry(
        entry.key.removeprefix(segmentprocess.PREFIX),
        entry.value,
        entry.mod_revision,
    )
