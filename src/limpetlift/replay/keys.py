"""The roster of an agent's service in a replay."""

import random

import attrs

from limpetlift.coordination import member as members
from limpetlift.coordination import roster as rosters
from limpetlift import exceptions
from limpetlift.state import actions

_POLL_S = 5.0
_RETRY_S = 1.0
_HINT_S = 0.1


@attrs.define
class RosterKeeper:
    """Joins the roster, follows it and removes silent members.

    :param node: the :class:`limpetlift.replay.nodes.Agent`.
    :param claims: its :class:`limpetlift.state.claims.ClaimTable`.
    """

    node: object
    claims: object
    _read_at: float = 0.0
    _silent_since_by_id: dict = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._rng = random.Random(self.node.world.rng.random())

    @property
    def _key(self):
        return "rosters/" + self.node.service.name

    def tick(self):
        """Read the roster when it is due."""
        if self.node.now < self._read_at:
            return
        joined = self.claims.roster.contains(
            self.node.id, self.node.incarnation
        )
        wait_s = _POLL_S if joined else _RETRY_S
        self._read_at = self.node.now + wait_s * self._rng.uniform(0.5, 1.5)
        self.node.world.store.read(self._key, self.node, self._on_read)

    def perform(self, step):
        """Carry out an action about the roster; return whether it is one."""
        if isinstance(step, actions.ReadRoster):
            self._wake()
        elif isinstance(step, actions.RosterAdopted):
            own = (self.node.id, self.node.incarnation)
            if not step.roster.contains(*own):
                self._wake()
        else:
            return False
        return True

    def _wake(self):
        due = self.node.now + _HINT_S * self._rng.random()
        self._read_at = min(self._read_at, due)

    def _on_read(self, value, version):
        roster = rosters.decode(value) if value else rosters.Roster()
        self._adopt(roster)
        own = (self.node.id, self.node.incarnation)
        try:
            if not roster.contains(*own):
                after = rosters.add(
                    roster, *own, settled=self.claims.settled_epoch
                )
            else:
                after = rosters.remove(
                    roster,
                    self._silent(roster),
                    settled=self.claims.settled_epoch,
                )
        except exceptions.StateError:
            return
        if after is not roster:
            self.node.world.store.swap(
                self._key,
                version,
                rosters.encode(after),
                self.node,
                lambda: self._adopt(after),
            )

    def _adopt(self, roster):
        self.node.requests.perform(
            self.node.requests.table.on_roster(self.node.now, roster)
        )

    def _silent(self, roster):
        now = self.node.now
        ids = [
            agent_id
            for agent_id in sorted(roster.current.incarnations_by_id)
            if self._is_silent(agent_id)
        ]
        self._silent_since_by_id = {
            agent_id: self._silent_since_by_id.get(agent_id, now)
            for agent_id in ids
        }
        return rosters.silent_members(
            roster,
            {key: now - at for key, at in self._silent_since_by_id.items()},
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
