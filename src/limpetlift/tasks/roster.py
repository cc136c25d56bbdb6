"""The roster of an agent's service in the store."""

import asyncio
import time

from limpetlift.coordination import member as members
from limpetlift.coordination import roster as rosters
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.state import actions

LOG = logs.EventLogger("roster")

# Only this many members, by id, remove silent ones: one may be silent itself.
_REMOVERS = 2


class RosterTask:
    """Joins the roster of the service, follows it and leaves it.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param service_name: name of the agent's service.
    :param store: a :class:`limpetlift.coordination.store.Store`.
    :param slots: the :class:`limpetlift.tasks.slots.Slots` of the agent.
    :param claims: its :class:`limpetlift.state.claims.ClaimTable`.
    :param find_record: returns the :class:`Member` of an agent id, or None.
    :param rng: a ``random.Random`` that spreads the calls on the store.

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
        self._wake = asyncio.Event()
        self._leaving = False
        slots.on_roster_action = self._on_action

    def _on_action(self, step):
        if isinstance(step, actions.ReadRoster):
            self._wake.set()
        elif not step.roster.contains(self._node.id, self._node.incarnation):
            self._wake.set()

    async def keep_roster(self):
        """Join the roster and follow it until cancelled."""
        while True:
            try:
                await self.update_roster()
                wait_s = self._poll_s()
            except exceptions.CoordinationError as error:
                LOG.warning("roster_not_updated", code=error.code)
                wait_s = defaults.ROSTER_RETRY_S
            except exceptions.StateError as error:
                LOG.error("roster_invalid", error=str(error))
                wait_s = defaults.ROSTER_RETRY_S
            wait_s *= 0.5 + self._rng.random()
            try:
                await asyncio.wait_for(self._wake.wait(), wait_s)
            except TimeoutError:
                continue
            # Several messages name the same epoch within a short time.
            await asyncio.sleep(
                defaults.ROSTER_READ_JITTER_S * self._rng.random()
            )

    def _poll_s(self):
        """Return the seconds until the next read of the roster.

        The members of a service share the reads, so that these grow with the
        services and not with the agents.
        """
        members = len(self._claims.roster.current.incarnations_by_id)
        return defaults.ROSTER_POLL_INTERVAL_S * max(members, 1)

    async def update_roster(self):
        """Read the roster, and join it or remove silent members.

        :raises CoordinationError: when the store failed.
        :raises StateError: when the roster is invalid.
        """
        self._wake.clear()
        now = time.monotonic()
        if self._leaving:
            return
        entry = await self._store.get(self._store_key)
        roster = _decode(entry)
        self._adopt(roster)
        own = self._node.id, self._node.incarnation
        if not roster.contains(*own):
            await self._change(rosters.add, *own)
        elif silent := self._silent(now):
            LOG.info("roster_remove", agents=",".join(sorted(silent)))
            await self._change(rosters.remove, silent)

    async def _change(self, function, *arguments):
        """Change the roster by compare-and-swap."""
        entry = await self._store.get_current(self._store_key)
        before = _decode(entry)
        self._adopt(before)
        after = function(
            before, *arguments, settled=self._claims.settled_epoch
        )
        if after is before:
            return
        await self._store.compare_and_swap(
            self._store_key,
            entry.mod_revision if entry is not None else 0,
            rosters.encode(after),
        )
        LOG.info("roster_changed", epoch=after.epoch)
        self._adopt(after)

    def _adopt(self, roster):
        self._slots.on_roster(roster)

    def _silent(self, now):
        """Return the members that this agent should remove."""
        ids = sorted(self._claims.roster.current.incarnations_by_id)
        silent = [key for key in ids if self._is_silent(key)]
        self._silent_since_by_id = {
            key: self._silent_since_by_id.get(key, now) for key in silent
        }
        heard = [key for key in ids if key not in silent]
        if self._node.id not in heard[:_REMOVERS]:
            return set()
        return rosters.silent_members(
            self._claims.roster,
            {
                key: now - since + defaults.SUSPECT_AFTER_S
                for key, since in self._silent_since_by_id.items()
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
        """Wake the roster task when a member has been silent for long."""
        if self._silent(time.monotonic()):
            self._wake.set()

    async def leave(self):
        """Remove this agent from the roster; its requests have ended."""
        if self._claims.epoch == 0:
            return
        self._slots.leave()
        self._leaving = True
        own = self._node.id, self._node.incarnation
        try:
            async with asyncio.timeout(defaults.ROSTER_LEAVE_TIMEOUT_S):
                await self._change(rosters.leave, *own)
        except (exceptions.LimpetliftError, TimeoutError) as error:
            LOG.warning("roster_not_left", error=str(error))
            return
        # The others read the votes of this agent meanwhile.
        await asyncio.sleep(defaults.ROSTER_LINGER_S)


def _decode(entry):
    return rosters.decode(entry.value) if entry else rosters.Roster()
