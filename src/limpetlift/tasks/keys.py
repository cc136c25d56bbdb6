"""The idempotency keys of an agent: claims, and the roster in the store."""

import asyncio
import time

from limpetlift.coordination import member as members
from limpetlift.coordination import roster as rosters
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift import metrics
from limpetlift.state import actions
from limpetlift.state import claims

LOG = logs.EventLogger("keys")

KINDS = (
    "Claim",
    "ClaimVote",
    "ClaimAbandon",
    "AnswerPull",
    "AnswerPart",
    "VotePull",
    "VoteTable",
    "RosterStatus",
    "RosterCopy",
)
# Only this many members, by id, remove silent ones: one may be silent itself.
_REMOVERS = 2


class Keys:
    """Lets request tasks claim keys, and keeps the service's roster.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param service_name: name of the agent's service.
    :param store: a :class:`limpetlift.coordination.store.Store`.
    :param find_record: returns the :class:`Member` of an agent id, or None.
    :param rng: a ``random.Random`` that spreads the calls on the store.

    .. versionadded:: 0.1
    """

    def __init__(self, node, service_name, store, find_record, rng):
        self._node = node
        self._store = store
        self._store_key = "rosters/" + service_name
        self._find_record = find_record
        self._rng = rng
        self.table = claims.ClaimTable(node.id, node.incarnation)
        self._futures_by_id = {}
        self._silent_since_by_id = {}
        self._wake = asyncio.Event()
        self._leaving = False
        for kind in KINDS:
            node.on_message(kind, self._receive)

    # Requests.

    def knows(self, key):
        """Whether the key was claimed, so that it needs no slot to wait."""
        return self.table.knows(time.monotonic(), key)

    async def claim(self, key, request_id, deadline):
        """Wait until the request may run.

        :param deadline: monotonic time after which it must not run.
        :returns: None when it may run, or the stored ``Answer``.
        :raises Refused: when it does not run.
        """
        future = asyncio.get_running_loop().create_future()
        self._futures_by_id[request_id] = future
        try:
            now = time.monotonic()
            self._perform(
                self.table.on_request(now, key, request_id, deadline)
            )
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            self._cancel(key, request_id, future)
            raise
        finally:
            del self._futures_by_id[request_id]

    def _cancel(self, key, request_id, future):
        now = time.monotonic()
        if not future.done():
            self._perform(self.table.on_cancel(now, request_id))
        elif future.exception() is None and future.result() is None:
            # The grant came while the task was being cancelled.
            self._perform(self.table.on_failed(now, key, False))

    def finish(self, key, answer):
        """The request ran; ``answer`` is an ``Answer`` or None."""
        self._perform(self.table.on_done(time.monotonic(), key, answer))

    def fail(self, key, ran):
        """The request failed.

        :param ran: False when the backend server got no byte of it.
        """
        self._perform(self.table.on_failed(time.monotonic(), key, ran))

    # Messages and timers.

    def _receive(self, sealed, message, _address):
        now = time.monotonic()
        try:
            self._perform(self.table.on_message(now, sealed.sender, message))
        except exceptions.StateError as error:
            metrics.CONTROL_REJECTED.labels(error.code).inc()

    def tick(self):
        """Run the timers of the claims."""
        self._perform(self.table.tick(time.monotonic()))

    def _perform(self, steps):
        for step in steps:
            if isinstance(step, actions.Send):
                self._send(step)
            elif isinstance(step, actions.ReadRoster):
                self._wake.set()
            elif isinstance(step, actions.RosterAdopted):
                own = self._node.id, self._node.incarnation
                if not step.roster.contains(*own):
                    self._wake.set()
            elif isinstance(step, actions.Granted):
                self._settle(step.request_id, result=None)
            elif isinstance(step, actions.Replay):
                self._settle(step.request_id, result=step.answer)
            elif isinstance(step, actions.Denied):
                error = exceptions.Refused(step.code)
                self._settle(step.request_id, error=error)

    def _send(self, step):
        record = self._find_record(step.agent_id)
        if record is not None:
            self._node.send(step.message, record.endpoint)

    def _settle(self, request_id, result=None, error=None):
        future = self._futures_by_id[request_id]
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)

    # The roster in the store.

    async def keep_roster(self):
        """Join the roster and follow it until cancelled."""
        while True:
            wait_s = defaults.ROSTER_POLL_S
            try:
                await self.update_roster()
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
            await asyncio.sleep(defaults.ROSTER_HINT_S * self._rng.random())

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
        after = function(before, *arguments, settled=self.table.settled)
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
        self._perform(self.table.on_roster(time.monotonic(), roster))

    def _silent(self, now):
        """Return the members that this agent should remove."""
        ids = sorted(self.table.roster.current.incarnations_by_id)
        silent = [key for key in ids if self._is_silent(key)]
        self._silent_since_by_id = {
            key: self._silent_since_by_id.get(key, now) for key in silent
        }
        heard = [key for key in ids if key not in silent]
        if self._node.id not in heard[:_REMOVERS]:
            return set()
        return rosters.silent_members(
            self.table.roster,
            {
                key: now - since + defaults.SUSPECT_S
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
        if self.table.epoch == 0:
            return
        self._perform(self.table.on_leave(time.monotonic()))
        self._leaving = True
        own = self._node.id, self._node.incarnation
        try:
            async with asyncio.timeout(defaults.ROSTER_LEAVE_S):
                await self._change(rosters.leave, *own)
        except (exceptions.LimpetliftError, TimeoutError) as error:
            LOG.warning("roster_not_left", error=str(error))
            return
        # The others read the votes of this agent meanwhile.
        await asyncio.sleep(defaults.ROSTER_LINGER_S)


def _decode(entry):
    return rosters.decode(entry.value) if entry else rosters.Roster()
