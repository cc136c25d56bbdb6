"""Membership of an agent in the roster of its service, in the store."""

import asyncio
import time

from limpetlift.coordination import member as members
from limpetlift.coordination import roster as rosters
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.state import actions

LOG = logs.EventLogger("roster")

# Silent members are removed by the first members by id that are not silent. A
# second one is needed because the first may have just become silent.
_MAX_REMOVERS = 2


class RosterTask:
    """Joins the roster of a service, keeps it up to date and leaves it.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param service_name: name of the agent's service.
    :param store: a :class:`limpetlift.coordination.store.Store`.
    :param slots: the :class:`limpetlift.tasks.slots.Slots` of the agent.
    :param claims: its :class:`limpetlift.state.claims.ClaimTable`.
    :param find_record: returns the
        :class:`limpetlift.coordination.member.Member` of an agent id, or
        None.
    :param rng: a ``random.Random``, source of the jitter of the store calls.

    .. versionadded:: 0.1
    """

    def __init__(
        self, node, service_name, store, slots, claims, find_record, rng
    ):
        self._node = node
        self._store = store
        self._slots = slots
        self._claims = claims
        self._store_key = "rosters/" + service_name
        self._find_record = find_record
        self._rng = rng
        self._silent_since_by_id = {}
        self._read_requested = asyncio.Event()
        self._is_leaving = False
        slots.on_roster_action = self._on_roster_action

    def _on_roster_action(self, action):
        if isinstance(action, actions.ReadRoster):
            self._read_requested.set()
        elif not action.roster.contains(self._node.id, self._node.incarnation):
            self._read_requested.set()

    async def follow_roster(self):
        """Join the roster and keep it up to date until cancelled."""
        while True:
            try:
                await self.update_roster()
                wait_s = self._poll_interval_s()
            except exceptions.StoreConflict:
                # Another member has changed the roster, as when many join.
                LOG.info("roster_changed_meanwhile")
                wait_s = defaults.ROSTER_READ_JITTER_S
            except exceptions.CoordinationError as error:
                LOG.warning("roster_not_updated", code=error.code)
                wait_s = defaults.ROSTER_RETRY_S
            except exceptions.StateError as error:
                LOG.error("roster_invalid", error=str(error))
                wait_s = defaults.ROSTER_RETRY_S
            wait_s *= 0.5 + self._rng.random()
            try:
                await asyncio.wait_for(self._read_requested.wait(), wait_s)
            except TimeoutError:
                continue
            # Several messages name the same epoch within a short time, and one
            # read serves them all.
            await asyncio.sleep(
                defaults.ROSTER_READ_JITTER_S * self._rng.random()
            )

    def _poll_interval_s(self):
        """Return the seconds until the next read of the roster.

        The interval is proportional to the number of members, which share the
        reads: the load of the store depends on the number of services and not
        on that of agents.
        """
        members = len(self._claims.roster.current.incarnations_by_id)
        return defaults.ROSTER_POLL_INTERVAL_S * max(members, 1)

    async def update_roster(self):
        """Read the roster; join it or remove silent members.

        :raises CoordinationError: when the store failed.
        :raises StateError: when the roster is invalid.
        """
        self._read_requested.clear()
        now = time.monotonic()
        if self._is_leaving:
            return
        entry = await self._store.get(self._store_key)
        roster = _decode(entry)
        self._adopt(roster)
        own_member = self._node.id, self._node.incarnation
        if not roster.contains(*own_member):
            await self._change_roster(rosters.add, *own_member)
        elif silent_ids := self._find_removable(now):
            LOG.info("roster_remove", agents=",".join(sorted(silent_ids)))
            await self._change_roster(rosters.remove, silent_ids)

    async def _change_roster(self, operation, *arguments):
        """Change the roster in the store by compare-and-swap.

        :param operation: function that returns the changed roster, such as
            :func:`limpetlift.coordination.roster.add`.
        :param arguments: its arguments after the roster.
        """
        entry = await self._store.get_current(self._store_key)
        old_roster = _decode(entry)
        self._adopt(old_roster)
        new_roster = operation(
            old_roster, *arguments, settled=self._claims.settled_epoch
        )
        if new_roster is old_roster:
            return
        await self._store.compare_and_swap(
            self._store_key,
            entry.mod_revision if entry is not None else 0,
            rosters.encode(new_roster),
        )
        LOG.info("roster_changed", epoch=new_roster.epoch)
        self._adopt(new_roster)

    def _adopt(self, roster):
        self._slots.on_roster(roster)

    def _find_removable(self, now):
        """Return the ids of the silent members that this agent must remove."""
        member_ids = sorted(self._claims.roster.current.incarnations_by_id)
        silent_ids = [
            member_id for member_id in member_ids if self._is_silent(member_id)
        ]
        self._silent_since_by_id = {
            member_id: self._silent_since_by_id.get(member_id, now)
            for member_id in silent_ids
        }
        reporting_ids = [
            member_id
            for member_id in member_ids
            if member_id not in silent_ids
        ]
        if self._node.id not in reporting_ids[:_MAX_REMOVERS]:
            return set()
        return rosters.silent_members(
            self._claims.roster,
            {
                member_id: now - silent_since + defaults.SUSPECT_AFTER_S
                for member_id, silent_since in self._silent_since_by_id.items()
            },
        )

    def _is_silent(self, agent_id):
        if agent_id == self._node.id:
            return False
        record = self._find_record(agent_id)
        return record is None or record.state in (
            members.SUSPECT,
            members.DEAD,
            members.LEFT,
        )

    def check_silence(self):
        """Request a read of the roster if this agent must remove a member."""
        if self._find_removable(time.monotonic()):
            self._read_requested.set()

    async def leave(self):
        """Remove this agent from the roster, after its requests have ended."""
        if self._claims.epoch == 0:
            return
        self._slots.leave()
        self._is_leaving = True
        own_member = self._node.id, self._node.incarnation
        try:
            async with asyncio.timeout(defaults.ROSTER_LEAVE_TIMEOUT_S):
                await self._change_roster(rosters.leave, *own_member)
        except (exceptions.LimpetliftError, TimeoutError) as error:
            LOG.warning("roster_not_left", error=str(error))
            return
        # Meanwhile the other members read the votes of this agent.
        await asyncio.sleep(defaults.ROSTER_LINGER_S)


def _decode(entry):
    return rosters.decode(entry.value) if entry else rosters.Roster()
