"""Maintenance of the roster of a service by an agent of a replay."""

import random

import attrs

from limpetlift.coordination import member as members
from limpetlift.coordination import roster as rosters
from limpetlift import exceptions
from limpetlift.state import actions

_READ_INTERVAL_S = 5.0
_JOIN_INTERVAL_S = 1.0
_READ_JITTER_S = 0.1


@attrs.define
class RosterMaintainer:
    """Adds an agent to the roster of its service and removes silent members.

    :param node: the :class:`limpetlift.replay.nodes.Agent`.
    :param claims: its :class:`limpetlift.state.claims.ClaimTable`.
    """

    node: object
    claims: object
    _next_read_at: float = 0.0
    _silent_since_by_id: dict = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._rng = random.Random(self.node.simulation.rng.random())

    @property
    def _store_key(self):
        return "rosters/" + self.node.service.name

    def tick(self):
        """Read the roster from the store when the next read is due."""
        if self.node.now < self._next_read_at:
            return
        is_member = self.claims.roster.contains(
            self.node.id, self.node.incarnation
        )
        interval_s = _READ_INTERVAL_S if is_member else _JOIN_INTERVAL_S
        self._next_read_at = self.node.now + interval_s * self._rng.uniform(
            0.5, 1.5
        )
        self.node.simulation.store.read(
            self._store_key, self.node, self._on_read
        )

    def perform(self, step):
        """Carry out an action that concerns the roster.

        :returns: whether the action concerns the roster.
        """
        if isinstance(step, actions.ReadRoster):
            self._read_soon()
        elif isinstance(step, actions.RosterAdopted):
            own = (self.node.id, self.node.incarnation)
            if not step.roster.contains(*own):
                self._read_soon()
        else:
            return False
        return True

    def _read_soon(self):
        """Read the roster after a short random delay."""
        read_at = self.node.now + _READ_JITTER_S * self._rng.random()
        self._next_read_at = min(self._next_read_at, read_at)

    def _on_read(self, value, version):
        """Use a roster from the store, and write it back if it changes.

        An agent that is not a member adds itself; a member removes those that
        have been silent for too long.

        :param value: the encoded roster, or None when there is none.
        :param version: version of the value in the store.
        """
        roster = rosters.decode(value) if value else rosters.Roster()
        self._adopt(roster)
        own = (self.node.id, self.node.incarnation)
        try:
            if not roster.contains(*own):
                updated = rosters.add(
                    roster, *own, settled=self.claims.settled_epoch
                )
            else:
                updated = rosters.remove(
                    roster,
                    self._silent_members(roster),
                    settled=self.claims.settled_epoch,
                )
        except exceptions.StateError:
            return
        if updated is not roster:
            self.node.simulation.store.compare_and_swap(
                self._store_key,
                version,
                rosters.encode(updated),
                self.node,
                lambda: self._adopt(updated),
            )

    def _adopt(self, roster):
        self.node.requests.perform(
            self.node.requests.table.on_roster(self.node.now, roster)
        )

    def _silent_members(self, roster):
        """Return the members that are to be removed from the roster."""
        now = self.node.now
        silent_ids = [
            agent_id
            for agent_id in sorted(roster.current.incarnations_by_id)
            if self._is_silent(agent_id)
        ]
        self._silent_since_by_id = {
            agent_id: self._silent_since_by_id.get(agent_id, now)
            for agent_id in silent_ids
        }
        return rosters.silent_members(
            roster,
            {
                agent_id: now - since
                for agent_id, since in self._silent_since_by_id.items()
            },
        )

    def _is_silent(self, agent_id):
        if agent_id == self.node.id:
            return False
        record = self.node.membership.view.get(agent_id)
        return record is None or record.state in (
            members.SUSPECT,
            members.DEAD,
            members.LEFT,
        )
