"""The sponsor's side of heartbeats: watching members and answering them.

A balancer watches the members that send it heartbeats. It also audits, in
turn, the members that it is the auditor of, because a member whose sponsors
all ended is watched by nobody.
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

_OWN_DATA_CENTRE_SPONSORS = 4
_REMOTE_SPONSORS = 2
_CHECK_INTERVAL_S = 0.1
_SUSPICION_DELAY_S = 0.5
_REPLY_BODY_BYTES = 900
# One bucket of the digest each second audits all members in two minutes.
_AUDIT_INTERVAL_S = 1.0
_AUDIT_PROBE_INTERVAL_S = 0.75


def _rendezvous_score(agent_id, other):
    return hashlib.blake2b(
        ("%s %s" % (agent_id, other)).encode("utf-8"), digest_size=8
    ).digest()


def _highest_scores(count, agent_id, names):
    others = [name for name in names if name != agent_id]
    return heapq.nlargest(
        count, others, lambda name: _rendezvous_score(agent_id, name)
    )


def choose_sponsors(view, record):
    """Return the sponsors of a member and spares, in order of preference.

    The first three are two of its own data centre and one of another, by
    rendezvous hashing over the live balancers.
    """
    own = record.data_centre
    near = _highest_scores(
        _OWN_DATA_CENTRE_SPONSORS, record.agent_id, view.balancers(own)
    )
    far = []
    names = [name for name in view.data_centres() if name != own]
    for name in _highest_scores(len(names), record.agent_id, names):
        if len(far) < _REMOTE_SPONSORS:
            far += _highest_scores(1, record.agent_id, view.balancers(name))
    chosen = near[:2] + far[:1] + near[2:] + far[1:]
    return tuple(chosen[: defaults.SPONSOR_CANDIDATES])


@attrs.define
class _MonitoredMember:
    """A member that this balancer expects to hear from."""

    suspect_at: float
    probe_at: float
    probe_interval_s: float
    is_sponsored: bool


@attrs.define
class Sponsor:
    """Watches the members that chose this balancer as a sponsor.

    :param view: the view of this process.
    :param reachability: a
        :class:`limpetlift.coordination.reachability.Reachability`.

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
        """Return the replies to a heartbeat whose record is merged."""
        if message.leaving:
            self._monitored_by_id.pop(sender, None)
        else:
            self._monitored_by_id[sender] = _MonitoredMember(
                now + defaults.SUSPECT_AFTER_S,
                now + defaults.MEMBER_PROBE_AFTER_S,
                defaults.MEMBER_PROBE_INTERVAL_S,
                True,
            )
        current = self.view.get(sender)
        known = current is not None and (
            current.incarnation,
            current.sequence,
        ) == (
            incarnation,
            message.sequence,
        )
        if current is None or current.state in member.ENDED_STATES and known:
            self._monitored_by_id.pop(sender, None)
        relevant = self._records_for(current, message) if current else []
        return self._replies(
            relevant, message.sequence if known else -1, current
        )

    def _records_for(self, current, message):
        """Return the records that a member should know and may not."""
        if current.state not in member.LIVE_STATES:
            return [current]
        if message.leaving:
            return []
        if not message.view_hash and message.member is None:
            return []
        sponsors = self.sponsors_of(current)
        if message.view_hash == self.view.agent_view_hash(
            current.service, sponsors
        ):
            return []
        found = (
            self.view.records_of(current.service) if current.service else []
        )
        # With its own record, the first balancer is found before it is active.
        names = dict.fromkeys((*sponsors, self.view.own_id))
        return list(found) + [self.view.get(name) for name in names]

    def _replies(self, found, sequence, current):
        chunks = _split(found) or [[]]
        sponsors = None
        if len(found) > 1:
            sponsors = list(self.sponsors_of(current))
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
        """Return the preferred sponsors of a member, remembered by id."""
        if self._sponsors_version != self.view.balancers_version:
            self._sponsors_version = self.view.balancers_version
            self._sponsors_by_id.clear()
        found = self._sponsors_by_id.get(record.agent_id)
        if found is None:
            found = choose_sponsors(self.view, record)
            if record.agent_id in self._monitored_by_id:
                self._sponsors_by_id[record.agent_id] = found
        return found

    def notify_of_changes(self, changed, sender=None):
        """Return what tells the sponsored agents of changed records."""
        services = {record.service for record in changed if record.service}
        if not services:
            return []
        sends = []
        for agent_id, entry in self._monitored_by_id.items():
            current = self.view.get(agent_id)
            if not entry.is_sponsored or current is None or agent_id == sender:
                continue
            if current.service in services:
                relevant_records = [
                    record
                    for record in changed
                    if record.service == current.service
                ]
                sends += self.notify(agent_id, relevant_records)
        return sends

    def notify(self, agent_id, found):
        """Return the messages that tell a member some records."""
        return [
            actions.Send(agent_id, message)
            for message in self._unsolicited_replies(found)
        ]

    def _unsolicited_replies(self, found):
        return [
            messages.structs.HeartbeatReply(
                config_revision=self.config_revision,
                members=[record.to_message() for record in chunk],
                silent=self.view.silent_data_centres() or None,
            )
            for chunk in _split(found) or [[]]
        ]

    def set_config_revision(self, revision):
        """Return what tells the sponsored members of a new configuration."""
        self.config_revision = revision
        return [
            send
            for agent_id, entry in self._monitored_by_id.items()
            if entry.is_sponsored
            for send in self.notify(agent_id, [])
        ]

    def on_pause(self):
        """Forget the watched members after a pause of this process.

        Those that replaced this sponsor meanwhile would look silent; those
        that did not will send their next heartbeat.
        """
        self._monitored_by_id.clear()

    def forget_silent_members(self):
        """Forget the members in silent data centres, for the same reason."""
        silent = set(self.view.silent_data_centres())
        for agent_id in list(self._monitored_by_id):
            record = self.view.get(agent_id)
            if record is None or record.data_centre in silent:
                del self._monitored_by_id[agent_id]

    def audit_data_centre(self, now, data_centre):
        """Audit the members of a data centre that is heard again."""
        for record in self.view.all_records():
            if record.data_centre == data_centre:
                self._audit(now, record)

    def tick(self, now):
        """Return probes to send and the ids of members newly suspect."""
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
        """Return the live balancer that follows the member on a ring.

        One of another data centre is preferred: those beside the member may
        have ended or restarted with it.
        """
        if self._ring_version != self.view.balancers_version:
            self._ring_version = self.view.balancers_version
            self._ring = sorted(
                (digest.key_of(agent_id), agent_id, name)
                for name in self.view.data_centres()
                for agent_id in self.view.balancers(name)
            )
        ring = self._ring
        start = bisect.bisect(ring, (digest.key_of(record.agent_id) + 1,))
        for step in range(len(ring)):
            _, agent_id, name = ring[(start + step) % len(ring)]
            if name != record.data_centre:
                return agent_id
        for step in range(len(ring)):
            _, agent_id, _ = ring[(start + step) % len(ring)]
            if agent_id != record.agent_id:
                return agent_id
        return None


def _split(found):
    """Return the records in lists that fit into one reply each."""
    chunks = []
    size = _REPLY_BODY_BYTES
    for record in found:
        size += records.max_record_bytes(record)
        if size > _REPLY_BODY_BYTES:
            chunks.append([])
            size = records.max_record_bytes(record)
        chunks[-1].append(record)
    return chunks
