"""Membership of a balancer, which keeps the records of all processes."""

from __future__ import annotations

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import antientropy
from limpetlift.coordination import budget
from limpetlift.coordination import dissemination
from limpetlift.coordination import member
from limpetlift.coordination import membership
from limpetlift.coordination import reachability
from limpetlift.coordination import sponsor
from limpetlift.coordination import tokens
from limpetlift import defaults
from limpetlift.protocol import messages


@attrs.define
class BalancerMembership(membership.Membership):
    """Membership of a balancer: all balancers and the agents of all services.

    :param strategy: name of the dissemination strategy, see ``strategies``.
    :param token_bucket: rate limit for the messages of membership.
    """

    strategy: str = "logdistance"
    token_bucket: tokens.TokenBucket = attrs.field(factory=tokens.TokenBucket)
    reachability: reachability.Reachability = attrs.field(init=False)
    sponsor: sponsor.Sponsor = attrs.field(init=False)
    dissemination: dissemination.Dissemination = attrs.field(init=False)
    antientropy: antientropy.AntiEntropy = attrs.field(init=False)
    _candidates_version: int = attrs.field(init=False, default=-1)
    _next_seed_at: float = attrs.field(init=False, default=None)

    def __attrs_post_init__(self):
        membership.Membership.__attrs_post_init__(self)
        self.reachability = reachability.Reachability(
            self.view, self.rng, self.own.data_centre
        )
        self.sponsor = sponsor.Sponsor(self.view, self.reachability)
        self.dissemination = dissemination.Dissemination(
            self.view, self.rng, self.token_bucket, self.strategy
        )
        self.antientropy = antientropy.AntiEntropy(
            self.view, self.rng, self.token_bucket
        )
        self._handlers.update(
            {
                messages.structs.Heartbeat: self._on_heartbeat,
                messages.structs.Gossip: self._on_gossip,
                messages.structs.Digest: self._on_digest,
                messages.structs.Pull: self._on_pull,
            }
        )

    def on_message(self, now, sender, incarnation, message, source=""):
        """Handle a control message of membership; see the base class."""
        self._detect_pause(now)
        result = self._update_reachability(now, sender)
        result += membership.Membership.on_message(
            self, now, sender, incarnation, message, source
        )
        return self._charge(result)

    def tick(self, now):
        """Run the timers and return the actions."""
        result = self._charge(membership.Membership.tick(self, now))
        silent = self.view.silent_data_centres()
        pings = self.reachability.tick(now)
        if self.view.silent_data_centres() != silent:
            self.sponsor.forget_silent_members()
        for peer in pings:
            result.append(
                self.antientropy.send_root(peer, self.config_revision, True)
            )
        probes, suspects = self.sponsor.tick(now)
        result += self._charge(probes + self._disseminate(now, suspects))
        result += self._charge(self._gossip_to_seed(now))
        result += self.dissemination.tick(now)
        result += self.antientropy.tick(now, self.config_revision)
        return result

    @property
    def is_joined(self):
        """Whether the view was about as complete as that of another one."""
        return self.antientropy.synced

    def set_config_revision(self, now, revision):
        """Announce the configuration in force to the other processes."""
        self.config_revision = revision
        self.dissemination.set_config_revision(now, revision)
        return self._charge(self.sponsor.set_config_revision(revision))

    def _make_heartbeats(self, now):
        if self._candidates_version != self.view.balancers_version:
            self._candidates_version = self.view.balancers_version
            self.heartbeats.candidates = sponsor.choose_sponsors(
                self.view, self.own
            )
        return membership.Membership._make_heartbeats(self, now)

    def _gossip_to_seed(self, now):
        """Send the own record to a random seed at intervals.

        Two groups of processes that started without contact, or were separated
        for longer than they keep each other's records, would otherwise never
        find each other.
        """
        if self._next_seed_at is None:
            self._next_seed_at = (
                now + self.rng.random() * defaults.SEED_INTERVAL_S
            )
        if now < self._next_seed_at or not self.heartbeats.seeds:
            return []
        self._next_seed_at = now + defaults.SEED_INTERVAL_S
        message = messages.structs.Gossip(
            members=[self.own.to_message()],
            config_revision=self.config_revision,
            root=self.view.digest.packed_root(),
        )
        return [
            actions.SendAddress(
                self.rng.choice(self.heartbeats.seeds), message
            )
        ]

    def _publish(self, now, refuted):
        result = membership.Membership._publish(self, now, refuted)
        self.dissemination.enqueue(now, self.own.agent_id)
        return result

    def _on_pause(self, now, pause_s):
        membership.Membership._on_pause(self, now, pause_s)
        self.reachability.on_pause(now)
        self.sponsor.on_pause()

    def _update_reachability(self, now, sender):
        record = self.view.get(sender)
        if record is None:
            return []
        data_centre = record.data_centre
        silent_s = self.reachability.on_heard(now, data_centre)
        if not silent_s:
            return []
        self.sponsor.audit_data_centre(now, data_centre)
        if record.kind != member.BALANCER:
            return []
        return self.antientropy.request_recent(now, sender, silent_s)

    def _disseminate(self, now, changed, sender=None):
        for record in changed:
            self.dissemination.enqueue(now, record.agent_id)
        return self.sponsor.notify_of_changes(changed, sender)

    def _on_heartbeat(self, now, sender, incarnation, message):
        result = []
        if message.member is not None:
            record = member.from_message(message.member)
            if record.agent_id == sender and self.view.merge(now, record):
                result += self._disseminate(now, [record], sender)
        replies = self.sponsor.on_heartbeat(now, sender, incarnation, message)
        return result + [actions.Send(sender, reply) for reply in replies]

    def _merge_reply(self, now, sender, message):
        merged = []
        for content in message.members:
            record = member.from_message(content)
            if self.view.merge(now, record):
                merged.append(record)
        return self.sponsor.notify_of_changes(merged)

    def _on_gossip(self, now, sender, incarnation, message):
        merged = self.dissemination.on_gossip(now, message)
        result = self.sponsor.notify_of_changes(merged)
        if message.root is not None:
            result += self.antientropy.on_root(
                sender, message, self.config_revision
            )
        return result

    def _on_digest(self, now, sender, incarnation, message):
        self.antientropy.on_digest(sender, message)
        return []

    def _on_pull(self, now, sender, incarnation, message):
        self.antientropy.on_pull(now, sender, message, self.config_revision)
        return []

    def _charge(self, result):
        for action in result:
            if isinstance(action, (actions.Send, actions.SendAddress)):
                self.token_bucket.charge(
                    budget.wire_size_bytes(action.message)
                )
        return result
