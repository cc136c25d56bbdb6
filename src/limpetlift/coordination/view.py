"""The member records that a process has, and the rules to merge them.

Of two records of a member, the one with the higher (incarnation, sequence,
rank of the state) wins. Two rules complete this order:

* If a member is live or suspect in the view, a newer record with the state
  ``dead`` is merged as ``suspect``. Each process changes suspect members to
  dead by its own timer. Thus no member disappears without having been suspect,
  and a death needs no message other than the suspicion.
* Records of members that are dead or have left are kept for
  ``DEAD_RETENTION_S``, so that an older record cannot restore the member.

A data centre that is silent as a whole is detected locally (see
``reachability``) and changes no records: its members only appear suspect, and
later dead, to this process.
"""

from __future__ import annotations

import heapq

import attrs

from limpetlift.coordination import digest
from limpetlift.coordination import member
from limpetlift import defaults

_TIMEOUT_S_BY_STATE = {
    member.SUSPECT: defaults.DEAD_AFTER_S - defaults.SUSPECT_AFTER_S,
    member.DEAD: defaults.DEAD_RETENTION_S,
    member.LEFT: defaults.DEAD_RETENTION_S,
}


@attrs.define
class View:
    """Member records, indexed by id, service and data centre.

    The indexes contain tuples of ids, which are replaced and never modified,
    so that views can share them.

    :param own_id: id of this process; records of it from other processes are
        not merged.
    :param service: service whose agents are kept; with None all are kept.
    :param digest: hashes of the records, for anti-entropy.
    :param balancers_version: increased when the active balancers may have
        changed.
    :param conflicting_own_record: a newer record of this process that another
        process has published; None if there is none.

    .. versionadded:: 0.1
    """

    own_id: str
    service: str = None
    digest: digest.Digest = attrs.field(factory=digest.Digest)
    balancers_version: int = 0
    conflicting_own_record: object = None
    _by_id: dict = attrs.field(factory=dict, repr=False)
    _id_by_key: dict = attrs.field(factory=dict, repr=False)
    _ids_by_leaf: dict = attrs.field(factory=dict, repr=False)
    _ids_by_service: dict = attrs.field(factory=dict, repr=False)
    _balancer_ids_by_data_centre: dict = attrs.field(factory=dict, repr=False)
    _active_ids_by_data_centre: dict = attrs.field(factory=dict, repr=False)
    _state_by_silent_data_centre: dict = attrs.field(factory=dict)
    _timers: list = attrs.field(factory=list, repr=False)
    _changed_services: set = attrs.field(factory=set, repr=False)
    # Time of the last change of each record in this view, latest last.
    _changed_at_by_id: dict = attrs.field(factory=dict, repr=False)

    def __len__(self):
        return len(self._by_id)

    def load(self, other):
        """Replace the records by those of another view of the same service."""
        own = self._by_id.get(self.own_id)
        self.digest = other.digest.copy()
        self._by_id = other._by_id.copy()
        self._id_by_key = other._id_by_key.copy()
        self._ids_by_leaf = other._ids_by_leaf.copy()
        self._ids_by_service = other._ids_by_service.copy()
        self._balancer_ids_by_data_centre = (
            other._balancer_ids_by_data_centre.copy()
        )
        self._timers = list(other._timers)
        self._active_ids_by_data_centre.clear()
        self.balancers_version += 1
        if own is not None:
            self._store(0.0, self._by_id.get(self.own_id), own)

    def get(self, agent_id):
        """Return the record of ``agent_id``, or None."""
        return self._by_id.get(agent_id)

    def get_by_key(self, key):
        """Return the record whose id has the 48-bit ``key``, or None."""
        return self._by_id.get(self._id_by_key.get(key))

    def effective_state(self, record):
        """Return the state of a record, with silent data centres considered.

        A live member of a silent data centre is suspect or dead.
        """
        if record.state in member.LIVE_STATES:
            return self._state_by_silent_data_centre.get(
                record.data_centre, record.state
            )
        return record.state

    def members_of(self, service):
        """Return the agents of ``service`` that have not ended, sorted by id.

        Agents in a silent data centre are returned as suspect, and omitted
        once the data centre has been silent for so long that they count as
        dead.
        """
        records = []
        for agent_id in self._ids_by_service.get(service, ()):
            record = self._by_id[agent_id]
            state = self.effective_state(record)
            if state not in member.ENDED_STATES:
                if state != record.state:
                    record = attrs.evolve(record, state=state)
                records.append(record)
        return records

    def records_of(self, service):
        """Return all records of agents of ``service``, also of ended ones."""
        ids = self._ids_by_service.get(service, ())
        return [self._by_id[agent_id] for agent_id in ids]

    def services(self):
        """Return the names of the services that have agents in the view."""
        return list(self._ids_by_service)

    def data_centres(self):
        """Return the names of data centres with balancers in the view."""
        return list(self._balancer_ids_by_data_centre)

    def balancers(self, data_centre):
        """Return the ids of the active balancers of a data centre."""
        ids = self._active_ids_by_data_centre.get(data_centre)
        if ids is None:
            ids = tuple(
                agent_id
                for agent_id in self.known_balancers(data_centre)
                if self.effective_state(self._by_id[agent_id]) == member.ACTIVE
            )
            self._active_ids_by_data_centre[data_centre] = ids
        return ids

    def all_balancers(self):
        """Return the ids of all active balancers."""
        return [
            agent_id
            for data_centre in self._balancer_ids_by_data_centre
            for agent_id in self.balancers(data_centre)
        ]

    def known_balancers(self, data_centre):
        """Return the ids of a data centre's balancers in any state."""
        return self._balancer_ids_by_data_centre.get(data_centre, ())

    def records_in(self, bucket, leaves):
        """Return the records in the given leaves of a bucket of the digest."""
        return [
            self._by_id[agent_id]
            for leaf in leaves
            for agent_id in self._ids_by_leaf.get(
                bucket * digest.LEAVES + leaf, ()
            )
        ]

    def pop_changed_services(self):
        """Return the services whose agents changed since the last call."""
        changed, self._changed_services = self._changed_services, set()
        return changed

    def merge(self, now, record):
        """Merge a record from another process; return whether it was newer.

        A newer record of this process is not merged but stored as
        ``conflicting_own_record``.
        """
        current = self._by_id.get(record.agent_id)
        if current is None:
            if not self._is_in_scope(record):
                return False
        elif record.version <= current.version:
            return False
        elif (
            record.state == member.DEAD
            and current.state not in member.ENDED_STATES
        ):
            if (
                current.state == member.SUSPECT
                and record.version[:2] == current.version[:2]
            ):
                return False
            record = attrs.evolve(record, state=member.SUSPECT)
        if record.agent_id == self.own_id:
            self.conflicting_own_record = record
            return False
        self._store(now, current, record)
        return True

    def set_own(self, now, record):
        """Store the record that this process published about itself."""
        self._store(now, self._by_id.get(record.agent_id), record)

    def suspect(self, now, agent_id):
        """Mark a live member as suspect; return whether it was live."""
        current = self._by_id[agent_id]
        if current.state not in member.LIVE_STATES:
            return False
        return self.merge(now, attrs.evolve(current, state=member.SUSPECT))

    def set_silent(self, data_centre, state):
        """Set the state in which live members of a data centre appear.

        :param state: ``SUSPECT``, ``DEAD``, or None when the data centre is
            reachable.
        """
        if state is None:
            self._state_by_silent_data_centre.pop(data_centre, None)
        else:
            self._state_by_silent_data_centre[data_centre] = state
        self._invalidate_active(data_centre)
        for record in self._by_id.values():
            if record.data_centre == data_centre and record.service:
                self._changed_services.add(record.service)

    def silent_data_centres(self):
        """Return the names of the silent data centres."""
        return list(self._state_by_silent_data_centre)

    def silent_state(self, data_centre):
        """Return the state set by :meth:`set_silent`, or None."""
        return self._state_by_silent_data_centre.get(data_centre)

    def all_records(self):
        """Return all records, also of members that have ended."""
        return list(self._by_id.values())

    def changed_since(self, since, limit):
        """Return records that changed at ``since`` or later, latest first.

        :param limit: maximum number of records.
        """
        matching = []
        for agent_id, changed_at in reversed(self._changed_at_by_id.items()):
            if changed_at < since or len(matching) >= limit:
                break
            matching.append(self._by_id[agent_id])
        return matching

    def agent_view_hash(self, service, sponsors):
        """Return the hash of the records that an agent needs.

        :param service: name of its service.
        :param sponsors: ids of its preferred sponsors.
        """
        value = 0
        ids = self._ids_by_service.get(service, ())
        for agent_id in {*ids, *sponsors}:
            record = self._by_id.get(agent_id)
            if record is not None:
                value ^= digest.record_hash(record)
        return value.to_bytes(8, "big")

    def forget_data_centre(self, data_centre):
        """Remove the records of the members of a data centre."""
        for record in list(self._by_id.values()):
            if record.data_centre == data_centre:
                self._remove(record)

    def forget(self, agent_id):
        """Remove the record of a member, unless it is this process."""
        record = self._by_id.get(agent_id)
        if record is not None and agent_id != self.own_id:
            self._remove(record)

    def tick(self, now):
        """Process expired timers.

        Members that have been suspect for too long become dead, and old
        records of ended members are removed.
        """
        while self._timers and self._timers[0][0] <= now:
            _, agent_id, version = heapq.heappop(self._timers)
            record = self._by_id.get(agent_id)
            if record is None or record.version != version:
                continue
            if record.state == member.SUSPECT:
                dead = attrs.evolve(record, state=member.DEAD)
                self._store(now, record, dead)
            elif agent_id != self.own_id:
                self._remove(record)

    def on_pause(self, now):
        """Restart the timers of suspect members after a pause of this process.

        Refutations may still be in its receive buffer.
        """
        timers, self._timers = self._timers, []
        for deadline, agent_id, version in timers:
            record = self._by_id.get(agent_id)
            if record is None or record.version != version:
                continue
            if record.state == member.SUSPECT:
                deadline = now + _TIMEOUT_S_BY_STATE[member.SUSPECT]
            heapq.heappush(self._timers, (deadline, agent_id, version))

    def _is_in_scope(self, record):
        return (
            self.service is None
            or record.kind == member.BALANCER
            or record.service == self.service
        )

    def _store(self, now, current, record):
        key = digest.key_of(record.agent_id)
        if current is None:
            self._index(key, record)
        else:
            self.digest.toggle(key, digest.record_hash(current))
            if (current.service, current.data_centre) != (
                record.service,
                record.data_centre,
            ):
                self._unindex(key, current)
                self._index(key, record)
        self.digest.toggle(key, digest.record_hash(record))
        self._by_id[record.agent_id] = record
        self._changed_at_by_id.pop(record.agent_id, None)
        self._changed_at_by_id[record.agent_id] = now
        timeout_s = _TIMEOUT_S_BY_STATE.get(record.state)
        if timeout_s is not None:
            heapq.heappush(
                self._timers,
                (now + timeout_s, record.agent_id, record.version),
            )
        self._track_change(current, record)

    def _track_change(self, current, record):
        if record.kind == member.AGENT:
            self._changed_services.add(record.service)
            if current is not None and current.service != record.service:
                self._changed_services.add(current.service)
        elif current is None or current.state != record.state:
            self._invalidate_active(record.data_centre)

    def _invalidate_active(self, data_centre):
        self._active_ids_by_data_centre.pop(data_centre, None)
        self.balancers_version += 1

    def _remove(self, record):
        key = digest.key_of(record.agent_id)
        self.digest.toggle(key, digest.record_hash(record))
        self._unindex(key, record)
        del self._by_id[record.agent_id]
        self._changed_at_by_id.pop(record.agent_id, None)
        self._track_change(None, record)

    def _indexes(self, key, record):
        yield self._ids_by_leaf, digest.leaf_of(key)
        if record.kind == member.AGENT:
            yield self._ids_by_service, record.service
        else:
            yield self._balancer_ids_by_data_centre, record.data_centre

    def _index(self, key, record):
        # Of two ids with the same key, only the first can be found by it.
        self._id_by_key.setdefault(key, record.agent_id)
        for ids_by_group, group in self._indexes(key, record):
            ids = ids_by_group.get(group, ())
            ids_by_group[group] = tuple(sorted(ids + (record.agent_id,)))

    def _unindex(self, key, record):
        if self._id_by_key.get(key) == record.agent_id:
            del self._id_by_key[key]
        for ids_by_group, group in self._indexes(key, record):
            ids = tuple(
                agent_id
                for agent_id in ids_by_group[group]
                if agent_id != record.agent_id
            )
            if ids:
                ids_by_group[group] = ids
            else:
                del ids_by_group[group]
