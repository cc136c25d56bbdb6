"""Sending of heartbeats, and the choice of the balancers that receive them.

A *sponsor* of a member is a balancer that monitors the member by its
heartbeats, and replies with the records that the member needs.
"""

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import member
from limpetlift import defaults
from limpetlift.protocol import messages


@attrs.define
class _SponsorLink:
    """State of the heartbeats to one sponsor of this process.

    :param last_reply_at: when it replied last.
    :param acknowledged_sequence: sequence of the record of this process that
        the sponsor has; -1 for none.
    """

    last_reply_at: float
    acknowledged_sequence: int = -1


@attrs.define
class HeartbeatSender:
    """Sends the heartbeats of this process.

    :param view: the view, with the record of this process.
    :param rng: a ``random.Random``.
    :param seeds: addresses (``ip:port``) of balancers, used while no sponsor
        is known or none replies.
    :param candidates: ids of the preferred sponsors and of spares, best
        first.

    .. versionadded:: 0.1
    """

    view: object
    rng: object
    seeds: list = attrs.field(factory=list)
    candidates: tuple = ()
    _links_by_id: dict = attrs.field(factory=dict)
    _avoid_until_by_id: dict = attrs.field(factory=dict)
    _next_heartbeat_at: float = None

    def sponsors(self):
        """Return the ids of the current sponsors."""
        return list(self._links_by_id)

    def is_acknowledged(self):
        """Return whether a sponsor has the current record of this process."""
        own = self.view.get(self.view.own_id)
        return any(
            link.acknowledged_sequence == own.sequence
            for link in self._links_by_id.values()
        )

    def is_due(self, now):
        """Return whether heartbeats are due; if so, schedule the next ones.

        The first ones are due at once. A random delay then prevents processes
        that started together from sending all their heartbeats together.
        """
        if self._next_heartbeat_at is None:
            self._next_heartbeat_at = (
                now + self.rng.random() * defaults.HEARTBEAT_INTERVAL_S
            )
            return True
        if now < self._next_heartbeat_at:
            return False
        self._next_heartbeat_at = max(
            self._next_heartbeat_at + defaults.HEARTBEAT_INTERVAL_S, now
        )
        return True

    def make_heartbeats(self, now, config_revision, view_hash):
        """Return a heartbeat to each sponsor, and to seeds if needed.

        Seeds get one when there is no sponsor or none has replied recently.
        """
        self._choose_sponsors(now)
        sends = [
            actions.Send(
                agent_id,
                self._make_heartbeat(
                    link.acknowledged_sequence, config_revision, view_hash
                ),
            )
            for agent_id, link in self._links_by_id.items()
        ]
        if not self._links_by_id or all(
            now - link.last_reply_at > 2 * defaults.HEARTBEAT_INTERVAL_S
            for link in self._links_by_id.values()
        ):
            message = self._make_heartbeat(-1, config_revision, view_hash)
            sends += [
                actions.SendAddress(address, message)
                for address in self.rng.sample(
                    self.seeds,
                    min(len(self.seeds), defaults.SPONSORS_PER_MEMBER),
                )
            ]
        return sends

    def on_reply(self, now, sender, message):
        """Handle the reply of a sponsor."""
        link = self._links_by_id.get(sender)
        if link is not None:
            link.last_reply_at = now
            if message.sequence is not None:
                link.acknowledged_sequence = message.sequence

    def on_probe(self, now, sender, config_revision, view_hash):
        """Return the heartbeat that a balancer requests.

        A sponsor that was replaced sends a probe when heartbeats stop; the
        reply tells it that this process is alive and no longer sends it any.
        """
        link = self._links_by_id.get(sender)
        if link is not None:
            message = self._make_heartbeat(-1, config_revision, view_hash)
        else:
            message = self._make_heartbeat(-1, config_revision, b"")
            message.leaving = True
        return [actions.Send(sender, message)]

    def on_pause(self, now):
        """Restart the reply timeouts after a pause of this process.

        The sponsors may have replied meanwhile.
        """
        for link in self._links_by_id.values():
            link.last_reply_at = now

    def _choose_sponsors(self, now):
        self._avoid_silent_sponsors(now)
        usable = [
            agent_id
            for agent_id in self.candidates
            if agent_id not in self._avoid_until_by_id
            and self._is_usable(agent_id)
        ]
        chosen = usable[: defaults.SPONSORS_PER_MEMBER]
        if not chosen:
            known = self.view.all_balancers()
            known = [
                agent_id for agent_id in known if agent_id != self.view.own_id
            ]
            chosen = self.rng.sample(
                known, min(len(known), defaults.SPONSORS_PER_MEMBER)
            )
        for agent_id in list(self._links_by_id):
            if agent_id not in chosen:
                del self._links_by_id[agent_id]
        for agent_id in chosen:
            self._links_by_id.setdefault(agent_id, _SponsorLink(now))

    def _avoid_silent_sponsors(self, now):
        for agent_id, until in list(self._avoid_until_by_id.items()):
            if now >= until:
                del self._avoid_until_by_id[agent_id]
        for agent_id, link in self._links_by_id.items():
            if now - link.last_reply_at > defaults.SPONSOR_SILENT_AFTER_S:
                self._avoid_until_by_id[agent_id] = (
                    now + defaults.SPONSOR_AVOID_S
                )

    def _is_usable(self, agent_id):
        record = self.view.get(agent_id)
        return (
            record is not None
            and self.view.effective_state(record) == member.ACTIVE
        )

    def _make_heartbeat(
        self, acknowledged_sequence, config_revision, view_hash
    ):
        own = self.view.get(self.view.own_id)
        record = None
        if acknowledged_sequence != own.sequence:
            record = own.to_message()
        return messages.structs.Heartbeat(
            member=record,
            config_revision=config_revision,
            view_hash=view_hash,
            sequence=own.sequence,
        )
