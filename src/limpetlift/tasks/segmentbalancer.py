"""The balancer process: forwards segments of callers to agents."""

import attrs

from limpetlift import clock
from limpetlift.coordination import directory as directories
from limpetlift.coordination import entries
from limpetlift.coordination import revisions
from limpetlift.coordination import watching
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift.scheduling import evacuation
from limpetlift.scheduling import rotation
from limpetlift.scheduling import uploads
from limpetlift.state import steering
from limpetlift.state import steps
from limpetlift.tasks import announcing
from limpetlift.tasks import following
from limpetlift.tasks import segmentprocess

LOG = logs.EventLogger("balancer")

# Numbers of the followed prefixes in messages between balancers. 1 was that of
# the key of the routes alone: messages of balancers of earlier versions do not
# have the other keys of operators and must not confirm them.
_DIRECTORY_TOPIC = 2
_OPERATOR_TOPIC = 3


class SegmentBalancer(segmentprocess.SegmentProcess):
    """Forwards the segments that the network delivers to this instance.

    .. versionadded:: 0.2
    """

    kind = "balancer"

    def start(self):
        """Open sockets and start timers and tasks."""
        settings = self.settings
        address = (settings.ip, settings.peer_port)
        self._directory = directories.Directory()
        self._has_directory = False
        self._is_reading = False
        self._is_marking = False
        self._is_read_requested = False
        self._is_flush_scheduled = False
        self._last_segment_at = clock.now()
        for problem in settings.invalid_limits:
            self.count("limit_invalid")
            LOG.warning("limit_invalid", problem=problem)
        self._rotation = rotation.Rotation(
            settings.id, settings.data_centre, settings.capacity
        )
        self.decisions = steering.FlowSteering(
            address,
            settings.data_centre,
            self.decode_caller,
            self.rng,
            settings.placing_policy,
            tells_warmup=settings.has_cold_bounds,
        )
        capacity = settings.capacity
        if capacity is not None and capacity.link_mbps is not None:
            self.decisions.upload_admission.limit = uploads.concurrent_uploads(
                capacity.link_mbps
            )
        self._peer_socket = self.open_socket(address, self.on_datagram)
        self._segment_socket = self.open_socket(
            settings.segments, self._on_segment
        )
        self._caller_port = settings.segments[1]
        self.serve(settings.probes)
        self._entry_key = directories.BALANCERS_PREFIX + settings.id
        self._entry = directories.ProcessEntry(
            settings.id,
            address,
            settings.data_centre,
            capacity=settings.capacity,
        )
        self._announcer = announcing.Announcer(
            self.reactor,
            self.store,
            segmentprocess.KEY_PREFIX + self._entry_key,
            self._entry.encode(),
            self.rng,
            defaults.ENTRY_LEASE_S,
        )
        self.reactor.spawn(self._announcer.run())
        self._followers_by_topic = {}
        self._follow(
            _OPERATOR_TOPIC,
            self.deployment.operator_prefix,
            self._on_operator_entries,
            self._on_operator_changes,
            self.decisions.evacuations.on_unreachable,
        )
        self._follow(
            _DIRECTORY_TOPIC,
            segmentprocess.KEY_PREFIX,
            self._on_entries,
            self._on_entry_changes,
            self._directory.on_unreachable,
        )
        self.call_every(defaults.STEERING_TICK_S, self.tick)
        self.call_every(defaults.HELLO_INTERVAL_S, self._check_directory)
        self.call_every(
            defaults.SILENT_AGENT_CHECK_INTERVAL_S, self._start_removing_silent
        )

    def _follow(self, topic, prefix, on_snapshot, on_changes, on_unreachable):
        follower = following.Follower(
            self.reactor,
            self.store,
            prefix,
            watching.Watch(
                topic, self.decisions.address, self.settings.data_centre
            ),
            self.rng,
            on_snapshot,
            on_changes,
            on_unreachable,
            self._send_all,
            self.observe,
        )
        self._followers_by_topic[topic] = follower
        self.reactor.spawn(follower.run())

    def _send_all(self, messages, addresses):
        for message in messages:
            data = message.encode()
            for address in addresses:
                self.send(self._peer_socket, data, address)

    def on_pause(self, now, pause_s):
        """Handle the end of a pause of this process."""
        super().on_pause(now, pause_s)
        self._rotation.on_pause(now)
        for follower in self._followers_by_topic.values():
            follower.watch.on_pause(now)
            follower.wake()

    def on_era(self, era):
        """Read all entries again in a new era of the store.

        Until they are back, no flow is proved lost.
        """
        self._directory.on_era(era)
        self._announcer.on_era()
        for follower in self._followers_by_topic.values():
            follower.on_era(era)
        if self._has_directory:
            self._on_directory()

    # Segments and messages.

    def _on_segment(self, data, _address):
        def decision(now):
            segment = self.decode_caller(data)
            self._last_segment_at = now
            return self.decisions.on_segment(now, segment)

        self.decide(decision)

    def on_message(self, address, message):
        """Handle a message from an agent or another balancer."""
        if not isinstance(message, tunnel.StoreChanges):
            super().on_message(address, message)
            return
        self.observe()
        follower = self._followers_by_topic.get(message.topic)
        if follower is None:
            self.count("topic_unknown")
            LOG.warning("topic_unknown", topic=message.topic)
            return
        self.count("store_changes_received")
        self.store.learn_era(message.era)
        follower.on_message(message, self.is_catching_up)

    def decide(self, decision):
        """Make a decision, carry out its steps and schedule its queries.

        Queries to agents are sent after a short delay, so that searches that
        start at about the same time share messages.
        """
        super().decide(decision)
        if self._is_flush_scheduled or not self.decisions.searches.has_queries:
            return
        self._is_flush_scheduled = True
        self.reactor.call_at(
            clock.now() + defaults.SEARCH_BATCH_DELAY_S,
            self._flush_queries,
        )

    def _flush_queries(self):
        self._is_flush_scheduled = False
        self.perform(self.decisions.searches.flush_queries())

    def perform(self, next_steps):
        """Carry out the steps of a decision."""
        for step in next_steps:
            if isinstance(step, steps.SendToPeer):
                self.send(
                    self._peer_socket, step.message.encode(), step.address
                )
            elif isinstance(step, steps.Reset):
                self._reset(step)
            elif isinstance(step, steps.ReadDirectory):
                self._request_directory()
            elif isinstance(step, steps.KeepAgent):
                self._directory.add_unlisted(clock.now(), step.entry)
            elif isinstance(step, steps.Duration):
                self.measure(step.name, step.seconds)
            else:
                self.log_event(step)

    def _reset(self, step):
        self.count("reset_" + step.reason)
        ip, _ = segments.caller_of(step.key)
        self.send(
            self._segment_socket,
            self.deployment.encode_reset(step.key, step.ack),
            (ip, self._caller_port),
        )

    # Keys of operators, and the directory.

    def _on_operator_entries(self, operator_entries, _revision):
        """Handle all keys that operators have written.

        The evacuations come first, so that no flow is placed by routes that
        are known before them.
        """
        prefix = self.deployment.evacuations_prefix
        evacuations = [
            evacuation.Change(
                entry.key.removeprefix(prefix), entry.mod_revision
            )
            for entry in operator_entries
            if entry.key.startswith(prefix)
        ]
        self.perform(self.decisions.on_evacuations(clock.now(), evacuations))
        self._on_route_entries(operator_entries)

    def _on_operator_changes(self, changes):
        prefix = self.deployment.evacuations_prefix
        evacuations = [
            evacuation.Change(
                change.key.removeprefix(prefix),
                change.revision,
                change.entry is not None,
            )
            for change in changes
            if change.key.startswith(prefix)
        ]
        if evacuations or self.decisions.evacuations.by_data_centre:
            self.perform(
                self.decisions.on_evacuation_changes(clock.now(), evacuations)
            )
        self._on_route_changes(changes)

    def _on_route_entries(self, route_entries, _revision=0):
        for entry in route_entries:
            if entry.key == self.deployment.routes_key:
                self._on_routes(entry)

    def _on_route_changes(self, changes):
        """Put the newest version in force that can be read."""
        for change in reversed(changes):
            if (
                change.key == self.deployment.routes_key
                and change.entry is not None
                and self._on_routes(change.entry)
            ):
                break

    def _on_routes(self, entry):
        """Put a version in force; return whether it can be read."""
        try:
            routes = self.deployment.decode_routes(entry.value)
        except exceptions.ProtocolError as error:
            self.count("routes_unreadable")
            LOG.error(
                "routes_unreadable", revision=entry.mod_revision, error=error
            )
            return False
        era = revisions.of(entry.mod_revision).era
        self.perform(self.decisions.on_routes(clock.now(), routes, era))
        return True

    def _on_entries(self, snapshot, revision):
        """Update the directory from a list; return whether it was used."""
        is_used = self._directory.on_snapshot(
            clock.now(), [_strip_prefix(entry) for entry in snapshot], revision
        )
        if is_used:
            self._on_directory()
        return is_used

    def _on_entry_changes(self, changes):
        self._directory.on_changes(
            clock.now(),
            [
                entries.Change(
                    change.key.removeprefix(segmentprocess.KEY_PREFIX),
                    change.entry and _strip_prefix(change.entry),
                    change.revision,
                )
                for change in changes
            ],
        )
        if changes:
            self._on_directory()

    def _on_directory(self):
        self._has_directory = True
        unreadable_by_key = self._directory.unreadable_by_key
        while unreadable_by_key:
            key, error = unreadable_by_key.popitem()
            self.count("entry_unreadable")
            LOG.warning("entry_unreadable", key=key, error=error)
        self.perform(
            self.decisions.on_entries(
                clock.now(),
                self._directory.agents(),
                self._directory.balancers(),
                self._directory.unlisted(),
                self._directory.unproven_until,
            )
        )
        balancers = self._directory.balancers()
        self._log_rotation(self._rotation.on_entries(clock.now(), balancers))
        data_centres_by_address = {
            entry.address: entry.data_centre for entry in balancers
        }
        for follower in self._followers_by_topic.values():
            if follower.watch.on_balancers(data_centres_by_address):
                follower.wake()

    def _log_rotation(self, changes):
        for change in changes:
            self.count(change.event)
            LOG.info(change.event, **change.fields)

    def _request_directory(self):
        """Read all entries from the store.

        Requests made during a read are all served by one further read.
        """
        self._is_read_requested = True
        if not self._is_reading:
            self._is_reading = True
            self.reactor.spawn(self._read_directory())

    async def _read_directory(self):
        try:
            while self._is_read_requested:
                self._is_read_requested = False
                started_at = clock.now()
                snapshot, revision = await self.store.get_prefix(
                    segmentprocess.KEY_PREFIX
                )
                if self._on_entries(snapshot, revision):
                    self.perform(
                        self.decisions.on_directory_read(
                            clock.now(), started_at
                        )
                    )
                # The next read serves all searches that request one during
                # this pause.
                await self.reactor.sleep(defaults.DIRECTORY_READ_PAUSE_S)
        except exceptions.CoordinationError as error:
            self.count("directory_read_failed")
            LOG.warning("directory_read_failed", error=error)
        finally:
            self._is_reading = False

    async def _remove_silent(self):
        """Remove the entries of agents that have been silent for too long."""
        for entry in self.decisions.agents.silent(self.observe()):
            key = directories.AGENTS_PREFIX + entry.process_id
            revision = self._directory.revision(key)
            if not revision:
                continue
            LOG.info("silent_agent_removed", agent=entry.process_id)
            try:
                await self.store.remove(
                    segmentprocess.KEY_PREFIX + key, revision
                )
            except exceptions.CoordinationError as error:
                LOG.warning("remove_failed", key=key, error=error)

    def _check_directory(self):
        now = self.observe()
        if self._directory.expire(
            now,
            lambda entry: self.decisions.agents.is_reporting(
                now, entry.address
            ),
        ):
            self._on_directory()
        if self._has_directory and not self._directory.is_listed(
            self._entry_key
        ):
            self._announcer.on_entry_missing()
        self._log_rotation(
            self._rotation.tick(now, self._directory.is_store_reachable)
        )
        watch = self._followers_by_topic[_DIRECTORY_TOPIC].watch
        mark = self._directory.missing_mark(now)
        if mark is not None and watch.role.is_watcher:
            self.reactor.spawn(self._mark_era(*mark))

    async def _mark_era(self, revision, value):
        """Let balancers that start know that entries of this era are back."""
        if self._is_marking:
            return
        self._is_marking = True
        try:
            await self.store.compare_and_swap(
                segmentprocess.KEY_PREFIX + directories.ERA_KEY,
                revision,
                value,
            )
            LOG.info("store_era_marked", era=value.decode("ascii"))
        except exceptions.StoreConflict:
            # Another balancer was first; its write is read as a change.
            pass
        except exceptions.CoordinationError as error:
            LOG.warning("mark_failed", error=error)
        finally:
            self._is_marking = False

    def _start_removing_silent(self):
        self.reactor.spawn(self._remove_silent())

    def is_ready(self):
        """Whether this balancer can serve callers."""
        return (
            not self.is_stopping
            and self.decisions.evacuations.is_known
            and self.decisions.routes.version > 0
            and self._has_directory
            and self._rotation.is_in
            and self.decisions.agents.is_connected(clock.now())
        )

    def gauges(self):
        """Return the current values of the gauges, by name."""
        return {
            **super().gauges(),
            "routes_version": self.decisions.routes.version,
            "evacuated_data_centres": len(
                self.decisions.evacuations.by_data_centre
            ),
            "ranked_routes": self.decisions.ranked_routes,
            "flows": len(self.decisions.flows_by_key),
            "agents": len(self._directory.agents()),
            "uploads_active": self.decisions.upload_admission.active_count,
            "uploads_held": self.decisions.upload_admission.held_count,
            "agents_ejected": len(self.decisions.ejections.ejected),
            "in_rotation": int(self._rotation.is_in),
            "rotation_members": self._rotation.member_count,
            "store_era": self._directory.era,
        }

    def explain_placement(self, flow, copy_number):
        """Return where a new flow would go now and why, for an operator.

        Nothing changes and nothing is sent.

        :param flow: id of the flow, ``caller_ip:port>service_ip:port``.
        :param copy_number: number of times that its first segment was sent
            before.
        :returns: a dictionary for JSON.
        :raises StateError: when the id is malformed or no route is known.
        """
        # Imported on first use: no segment needs it.
        from limpetlift.state import dryrun

        self.count("placement_explained")
        answer = dryrun.explain(self.decisions, clock.now(), flow, copy_number)
        return {"balancer": self.settings.id, **answer}

    async def stop(self):
        """Forward until no more segments arrive, then remove the entry.

        The network fabric goes on sending segments until its probes of this
        process have failed. The other balancers learn at once that it leaves,
        so that those outside of the rotation take its place.
        """
        if self._entry.capacity is not None:
            leaving = attrs.evolve(self._entry, is_leaving=True)
            self._announcer.replace(leaving.encode())
        now = clock.now()
        earliest = now + defaults.STOP_MIN_S
        latest = now + defaults.STOP_MAX_S
        while now < latest:
            await self.reactor.sleep(defaults.STEERING_TICK_S)
            now = clock.now()
            if now > max(
                earliest, self._last_segment_at + defaults.STOP_QUIET_S
            ):
                break
        await self._announcer.withdraw()


def _strip_prefix(entry):
    return entries.Entry(
        entry.key.removeprefix(segmentprocess.KEY_PREFIX),
        entry.value,
        entry.mod_revision,
    )
