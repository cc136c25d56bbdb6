"""Monitoring of members by their heartbeats, and the replies to them.

A balancer monitors the members that send it heartbeats; it is their *sponsor*.
A member whose sponsors all ended would not be monitored, so every member also
has an *auditor*, a balancer that probes it from time to time.
"""

import bisect
import hashlib
import heapq

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import digest
from limpetlift.coordination import member
from limpetlift.coordination import records
from limpetlift import defaults
from limpetlift.protocol import messages

# Sponsors and spares per member in its own and in other data centres; together
# SPONSOR_CANDIDATES.
_LOCAL_CANDIDATES = 4
_REMOTE_CANDIDATES = 2
_CHECK_INTERVAL_S = 0.1
# While the data centre of a member may soon count as silent as a whole, the
# member does not become suspect; it is checked again after this time.
_SUSPICION_DELAY_S = 0.5
_MAX_REPLY_BODY_BYTES = 900
# An interval audits one bucket of the digest, so that all members are audited
# within about two minutes.
_AUDIT_INTERVAL_S = 1.0
_AUDIT_PROBE_INTERVAL_S = 0.75


def _rendezvous_score(agent_id, other):
    return hashlib.blake2b(
        ("%s %s" % (agent_id, other)).encode("utf-8"), digest_size=8
    ).digest()


def _highest_scores(count, agent_id, candidates):
    others = [candidate for candidate in candidates if candidate != agent_id]
    return heapq.nlargest(
        count, others, lambda candidate: _rendezvous_score(agent_id, candidate)
    )


def choose_sponsors(view, record):
    """Return the sponsors of a member and spares, in order of preference.

    They are chosen by rendezvous hashing among the active balancers. The first
    three are two in the member's own data centre and one in another.
    """
    own_data_centre = record.data_centre
    local = _highest_scores(
        _LOCAL_CANDIDATES,
        record.agent_id,
        view.balancers(own_data_centre),
    )
    remote = []
    data_centres = [
        data_centre
        for data_centre in view.data_centres()
        if data_centre != own_data_centre
    ]
    for data_centre in _highest_scores(
        len(data_centres), record.agent_id, data_centres
    ):
        if len(remote) < _REMOTE_CANDIDATES:
            remote += _highest_scores(
                1, record.agent_id, view.balancers(data_centre)
            )
    chosen = local[:2] + remote[:1] + local[2:] + remote[1:]
    return tuple(chosen[: defaults.SPONSOR_CANDIDATES])


@attrs.define
class _MonitoredMember:
    """A member that this balancer expects to send heartbeats.

    :param suspect_at: when it becomes suspect if no heartbeat arrives.
    :param probe_at: when the next probe is sent.
    :param probe_interval_s: interval of further probes.
    :param is_sponsored: whether it sends heartbeats to this balancer as its
        sponsor; otherwise it is being audited.
    """

    suspect_at: float
    probe_at: float
    probe_interval_s: float
    is_sponsored: bool


@attrs.define
class Sponsor:
    """Monitors members as their sponsor or auditor.

    :param view: the view of this process.
    :param reachability: a
        :class:`limpetlift.coordination.reachability.Reachability`.
    :param config_revision: revision of the configuration in force.

    .. versionadded:: 0.1
    """

    view: object
    reachability: object
    config_revision: int = 0
    _monitored_by_id: dict = attrs.field(factory=dict, repr=False)
    _sponsors_by_id: dict = attrs.field(factory=dict, repr=False)
    _sponsors_version: int = -1
    _ring: list = attrs.field(factory=list, repr=False)
    _ring_version: int = -1
    _next_check_at: float = 0.0
    _next_audit_at: float = 0.0
    _audit_bucket: int = 0

    def __len__(self):
        return sum(
            entry.is_sponsored for entry in self._monitored_by_id.values()
        )

    def on_heartbeat(self, now, sender, incarnation, message):
        """Return the replies to a heartbeat.

        The caller has merged the record in it.
        """
        if message.leaving:
            self._monitored_by_id.pop(sender, None)
        else:
            self._monitored_by_id[sender] = _MonitoredMember(
                now + defaults.SUSPECT_AFTER_S,
                now + defaults.MEMBER_PROBE_AFTER_S,
                defaults.MEMBER_PROBE_INTERVAL_S,
                True,
            )
        sender_record = self.view.get(sender)
        is_current = sender_record is not None and (
            sender_record.incarnation,
            sender_record.sequence,
        ) == (
            incarnation,
            message.sequence,
        )
        if (
            sender_record is None
            or sender_record.state in member.ENDED_STATES
            and is_current
        ):
            self._monitored_by_id.pop(sender, None)
        needed = (
            self._records_for(sender_record, message) if sender_record else []
        )
        return self._replies(
            needed, message.sequence if is_current else -1, sender_record
        )

    def _records_for(self, sender_record, message):
        """Return the records that a member needs and may not have."""
        if sender_record.state not in member.LIVE_STATES:
            return [sender_record]
        if message.leaving:
            return []
        if not message.view_hash and message.member is None:
            return []
        sponsors = self.sponsors_of(sender_record)
        if message.view_hash == self.view.agent_view_hash(
            sender_record.service, sponsors
        ):
            return []
        service_records = (
            self.view.records_of(sender_record.service)
            if sender_record.service
            else []
        )
        # The record of this balancer is included, so that the member knows the
        # first balancer before that is active.
        balancer_ids = dict.fromkeys((*sponsors, self.view.own_id))
        return list(service_records) + [
            self.view.get(agent_id) for agent_id in balancer_ids
        ]

    def _replies(self, to_send, sequence, sender_record):
        chunks = _split_by_size(to_send) or [[]]
        sponsors = None
        if len(to_send) > 1:
            sponsors = list(self.sponsors_of(sender_record))
        return [
            messages.structs.HeartbeatReply(
                config_revision=self.config_revision,
                members=[record.to_message() for record in chunk],
                sequence=sequence,
                silent=self.view.silent_data_centres() or None,
                sponsors=sponsors,
            )
            for chunk in chunks
        ]

    def sponsors_of(self, record):
        """Return the preferred sponsors of a member.

        They are cached for monitored members until the balancers change.
        """
        if self._sponsors_version != self.view.balancers_version:
            self._sponsors_version = self.view.balancers_version
            self._sponsors_by_id.clear()
        sponsors = self._sponsors_by_id.get(record.agent_id)
        if sponsors is None:
            sponsors = choose_sponsors(self.view, record)
            if record.agent_id in self._monitored_by_id:
                self._sponsors_by_id[record.agent_id] = sponsors
        return sponsors

    def notify_of_changes(self, changed, sender=None):
        """Return messages that notify sponsored agents of changed records.

        :param changed: the records.
        :param sender: id of an agent that needs no message, because its
            heartbeat brought the change.
        """
        services = {record.service for record in changed if record.service}
        if not services:
            return []
        sends = []
        for agent_id, entry in self._monitored_by_id.items():
            agent_record = self.view.get(agent_id)
            if (
                not entry.is_sponsored
                or agent_record is None
                or agent_id == sender
            ):
                continue
            if agent_record.service in services:
                relevant_records = [
                    record
                    for record in changed
                    if record.service == agent_record.service
                ]
                sends += self.notify(agent_id, relevant_records)
        return sends

    def notify(self, agent_id, to_send):
        """Return the messages that send records to a member."""
        return [
            actions.Send(agent_id, message)
            for message in self._unsolicited_replies(to_send)
        ]

    def _unsolicited_replies(self, to_send):
        return [
            messages.structs.HeartbeatReply(
                config_revision=self.config_revision,
                members=[record.to_message() for record in chunk],
                silent=self.view.silent_data_centres() or None,
            )
            for chunk in _split_by_size(to_send) or [[]]
        ]

    def set_config_revision(self, revision):
        """Return messages that announce a new configuration to members."""
        self.config_revision = revision
        return [
            send
            for agent_id, entry in self._monitored_by_id.items()
            if entry.is_sponsored
            for send in self.notify(agent_id, [])
        ]

    def on_pause(self):
        """Stop monitoring all members after a pause of this process.

        Members that replaced this sponsor during the pause would become
        suspect. The others are monitored again with their next heartbeat.
        """
        self._monitored_by_id.clear()

    def forget_silent_members(self):
        """Stop monitoring the members in silent data centres.

        They may have replaced this sponsor too, see :meth:`on_pause`.
        """
        silent = set(self.view.silent_data_centres())
        for agent_id in list(self._monitored_by_id):
            record = self.view.get(agent_id)
            if record is None or record.data_centre in silent:
                del self._monitored_by_id[agent_id]

    def audit_data_centre(self, now, data_centre):
        """Audit the members of a data centre that is reachable again."""
        for record in self.view.all_records():
            if record.data_centre == data_centre:
                self._audit(now, record)

    def tick(self, now):
        """Return the probes to send and the records of new suspects."""
        if now >= self._next_audit_at:
            self._next_audit_at = now + _AUDIT_INTERVAL_S
            self._audit_bucket = (self._audit_bucket + 1) % digest.BUCKETS
            for record in self.view.records_in(
                self._audit_bucket, range(digest.LEAVES)
            ):
                self._audit(now, record)
        if now < self._next_check_at:
            return [], []
        self._next_check_at = now + _CHECK_INTERVAL_S
        return self._check(now)

    def _check(self, now):
        probes, suspects = [], []
        for agent_id, entry in list(self._monitored_by_id.items()):
            if now < entry.probe_at:
                continue
            record = self.view.get(agent_id)
            if record is None or record.state not in member.LIVE_STATES:
                del self._monitored_by_id[agent_id]
            elif now >= entry.suspect_at:
                if self.reachability.is_quiet(now, record.data_centre):
                    entry.suspect_at = now + _SUSPICION_DELAY_S
                    continue
                del self._monitored_by_id[agent_id]
                if self.view.suspect(now, agent_id):
                    suspects.append(self.view.get(agent_id))
            else:
                entry.probe_at = now + entry.probe_interval_s
                probes.append(self._probe(agent_id))
        return probes, suspects

    def _probe(self, agent_id):
        return actions.Send(
            agent_id,
            messages.structs.Probe(config_revision=self.config_revision),
        )

    def _audit(self, now, record):
        if (
            record.agent_id in self._monitored_by_id
            or record.agent_id == self.view.own_id
            or self.view.effective_state(record) not in member.LIVE_STATES
            or self._auditor(record) != self.view.own_id
        ):
            return
        self._monitored_by_id[record.agent_id] = _MonitoredMember(
            now + defaults.SUSPECT_AFTER_S, now, _AUDIT_PROBE_INTERVAL_S, False
        )

    def _auditor(self, record):
        """Return the id of the balancer that audits a member, or None.

        It is the active balancer that follows the member on a ring of keys.
        One in another data centre is preferred, because those in the member's
        own one may have ended or restarted together with it.
        """
        if self._ring_version != self.view.balancers_version:
            self._ring_version = self.view.balancers_version
            self._ring = sorted(
                (digest.key_of(agent_id), agent_id, data_centre)
                for data_centre in self.view.data_centres()
                for agent_id in self.view.balancers(data_centre)
            )
        ring = self._ring
        start = bisect.bisect(ring, (digest.key_of(record.agent_id) + 1,))
        for step in range(len(ring)):
            _, agent_id, data_centre = ring[(start + step) % len(ring)]
            if data_centre != record.data_centre:
                return agent_id
        for step in range(len(ring)):
            _, agent_id, _ = ring[(start + step) % len(ring)]
            if agent_id != record.agent_id:
                return agent_id
        return None


def _split_by_size(to_split):
    """Return the records as lists that fit into one reply each."""
    chunks = []
    size = _MAX_REPLY_BODY_BYTES
    for record in to_split:
        size += records.max_record_bytes(record)
        if size > _MAX_REPLY_BODY_BYTES:
            chunks.append([])
            size = records.max_record_bytes(record)
        chunks[-1].append(record)
    return chunks
