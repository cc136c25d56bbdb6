"""Membership of one process: the common base, and that of an agent.

``on_message`` and ``tick`` return actions. The caller opens the envelope and
passes the sender's id and incarnation, and the source address, which is used
to reply to a process that is not in the view.
"""

from __future__ import annotations

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import heartbeats
from limpetlift.coordination import member
from limpetlift.coordination import view
from limpetlift import defaults
from limpetlift.protocol import messages


@attrs.define
class Membership:
    """Base of the membership of agents and of balancers.

    :param own: the record of this process.
    :param rng: a ``random.Random``.
    :param seeds: addresses (``ip:port``) of balancers to contact first.
    :param config_revision: revision of the configuration in force.

    .. versionadded:: 0.1
    """

    own: member.Member
    rng: object
    seeds: list = attrs.field(factory=list)
    config_revision: int = 0
    view: view.View = attrs.field(init=False)
    heartbeats: heartbeats.HeartbeatSender = attrs.field(init=False)
    _last_event_at: float = attrs.field(init=False, default=None)
    _handlers: dict = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self):
        scope = self.own.service if self.own.kind == member.AGENT else None
        self.view = view.View(self.own.agent_id, scope)
        self.view.set_own(0.0, self.own)
        seeds = [
            address for address in self.seeds if address != self.own.address
        ]
        self.heartbeats = heartbeats.HeartbeatSender(
            self.view, self.rng, seeds
        )
        self._handlers = {
            messages.structs.HeartbeatReply: self._on_heartbeat_reply,
            messages.structs.Probe: self._on_probe,
        }

    def on_message(self, now, sender, incarnation, message, source=""):
        """Handle a control message of membership.

        :param sender: the sender's id, from the envelope.
        :param incarnation: the sender's incarnation, from the envelope.
        :param source: ``ip:port`` from which the datagram came.
        :returns: the actions; none for a message of another kind.
        :raises MalformedMessage: when a field cannot be decoded.
        """
        handler = self._handlers.get(type(message))
        if handler is None or sender == self.own.agent_id:
            return []
        self._detect_pause(now)
        result = []
        revision = getattr(message, "config_revision", None)
        if revision is not None and revision > self.config_revision:
            result.append(actions.RevisionSeen(sender, revision))
        result += handler(now, sender, incarnation, message)
        result += self._refute(now)
        return [self._resolve_receiver(action, source) for action in result]

    def tick(self, now):
        """Run the timers and return the actions."""
        self._detect_pause(now)
        self.view.tick(now)
        return (
            self._make_heartbeats(now) if self.heartbeats.is_due(now) else []
        )

    def message_names(self):
        """Return the names of the structs that this process handles."""
        return [kind.__name__ for kind in self._handlers]

    @property
    def is_joined(self):
        """Whether a sponsor has the record of this process."""
        return self.heartbeats.is_acknowledged()

    def update(self, now, **changes):
        """Publish a change of the own record, such as its state or weight.

        :param changes: the new values by field of ``Member``.
        :returns: the actions, among them an ``OwnRecordChanged``.
        """
        self.own = attrs.evolve(
            self.own, sequence=self.own.sequence + 1, **changes
        )
        return self._publish(now, refuted=False)

    def leave(self, now):
        """Publish that this process leaves as planned."""
        return self.update(now, state=member.LEFT)

    def set_config_revision(self, now, revision):
        """Set the revision that is announced to other processes."""
        self.config_revision = revision
        return []

    def _publish(self, now, refuted):
        self.view.set_own(now, self.own)
        return [
            actions.OwnRecordChanged(self.own, refuted)
        ] + self._make_heartbeats(now)

    def _make_heartbeats(self, now):
        return self.heartbeats.make_heartbeats(
            now, self.config_revision, self._view_hash()
        )

    def _refute(self, now):
        conflicting, self.view.conflicting_own_record = (
            self.view.conflicting_own_record,
            None,
        )
        if conflicting is None or conflicting.version <= self.own.version:
            return []
        if conflicting.incarnation > self.own.incarnation:
            return [actions.Superseded(conflicting.incarnation)]
        if self.own.state == member.LEFT:
            return []
        self.own = attrs.evolve(self.own, sequence=conflicting.sequence + 1)
        return self._publish(now, refuted=True)

    def _detect_pause(self, now):
        pause_s = (
            0.0 if self._last_event_at is None else now - self._last_event_at
        )
        self._last_event_at = now
        if pause_s > defaults.PAUSE_THRESHOLD_S:
            self._on_pause(now, pause_s)

    def _on_pause(self, now, pause_s):
        if pause_s >= defaults.DEAD_RETENTION_S:
            # Other processes no longer have records of members that died
            # during the pause, and this view must not restore such members.
            for record in self.view.all_records():
                self.view.forget(record.agent_id)
        self.view.on_pause(now)
        self.heartbeats.on_pause(now)

    def _on_probe(self, now, sender, incarnation, message):
        return self.heartbeats.on_probe(
            now, sender, self.config_revision, self._view_hash()
        )

    def _on_heartbeat_reply(self, now, sender, incarnation, message):
        self.heartbeats.on_reply(now, sender, message)
        return self._merge_reply(now, sender, message)

    def _view_hash(self):
        return b""

    def _resolve_receiver(self, action, source):
        if (
            source
            and isinstance(action, actions.Send)
            and self.view.get(action.agent_id) is None
        ):
            return actions.SendAddress(source, action.message)
        return action


@attrs.define
class AgentMembership(Membership):
    """Membership of an agent: members of its service and a few balancers."""

    _silent_since_by_data_centre: dict = attrs.field(init=False, factory=dict)

    def tick(self, now):
        """Run the timers and return the actions."""
        result = Membership.tick(self, now)
        silent_to_dead_s = defaults.DEAD_AFTER_S - defaults.SUSPECT_AFTER_S
        for (
            data_centre,
            silent_since,
        ) in self._silent_since_by_data_centre.items():
            if (
                now - silent_since >= silent_to_dead_s
                and self.view.silent_state(data_centre) != member.DEAD
            ):
                self.view.set_silent(data_centre, member.DEAD)
        return result

    def _make_heartbeats(self, now):
        result = Membership._make_heartbeats(self, now)
        self._forget_unneeded_balancers()
        return result

    def _view_hash(self):
        return self.view.agent_view_hash(
            self.own.service, self.heartbeats.candidates
        )

    def _merge_reply(self, now, sender, message):
        newer_here = []
        for content in message.members:
            record = member.from_message(content)
            if not self.view.merge(now, record):
                current = self.view.get(record.agent_id)
                if current is not None and current.version > record.version:
                    newer_here.append(current)
        if message.sponsors:
            self.heartbeats.candidates = tuple(message.sponsors)
        self._update_silent(now, sender, message.silent or ())
        newer_here = [record for record in newer_here if record != self.own]
        if not newer_here:
            return []
        return [
            actions.Send(
                sender,
                messages.structs.Gossip(
                    members=[record.to_message() for record in newer_here[:8]],
                    config_revision=self.config_revision,
                ),
            )
        ]

    def _forget_unneeded_balancers(self):
        """Forget balancers other than sponsors and their candidates.

        The agent receives no updates about the others, and would not learn
        that they ended.
        """
        if not self.heartbeats.candidates:
            return
        needed = {*self.heartbeats.candidates, *self.heartbeats.sponsors()}
        for data_centre in self.view.data_centres():
            for agent_id in self.view.known_balancers(data_centre):
                if agent_id not in needed:
                    self.view.forget(agent_id)

    def _update_silent(self, now, sender, data_centres):
        """Adopt the silent data centres that a sponsor reports.

        Only sponsors in the own data centre count, because others may be on
        the other side of a partition.
        """
        reporter = self.view.get(sender)
        if reporter is None or reporter.data_centre != self.own.data_centre:
            return
        for data_centre in set(self._silent_since_by_data_centre) - set(
            data_centres
        ):
            del self._silent_since_by_data_centre[data_centre]
            self.view.set_silent(data_centre, None)
        for data_centre in set(data_centres) - set(
            self._silent_since_by_data_centre
        ):
            self._silent_since_by_data_centre[data_centre] = now
            self.view.set_silent(data_centre, member.SUSPECT)
