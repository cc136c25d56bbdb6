"""The slots and keys of an agent, as its request tasks wait for them."""

import asyncio
import random
import time

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import metrics
from limpetlift.protocol import messages
from limpetlift.state import actions
from limpetlift.state import admission
from limpetlift.state import claims as claim_table
from limpetlift.state import history
from limpetlift.state import requests

_ROSTER_ACTIONS = (actions.ReadRoster, actions.RosterAdopted)


class Slots:
    """Lets request tasks wait for admission, and tells peers the load.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param service: the :class:`limpetlift.state.config.Service`.
    :param claims: the :class:`limpetlift.state.claims.ClaimTable`.

    .. versionadded:: 0.1
    """

    def __init__(self, node, service, claims):
        self._node = node
        self._rng = random.Random()
        self._queue = admission.AdmissionQueue(
            service.slots,
            self._rng,
            service.admission,
            service.queue_limit,
            service.long_factor,
            service.long_content_bytes,
        )
        self._table = requests.RequestTable(self._queue, claims)
        self._waiting_by_id = {}
        self._started_by_id = {}
        self.endpoints_by_id = {}
        self.active_peer_ids = ()
        self.on_roster_action = None
        node.on_message("SlotLoad", self._on_load)
        for kind in claim_table.MESSAGE_KINDS:
            node.on_message(kind, self._on_claim_message)

    async def acquire(self, start, deadline):
        """Wait until the request of a ``RequestStart`` may run.

        :param deadline: monotonic time by which it must be answered.
        :returns: None when it may run, or the stored
            :class:`limpetlift.state.actions.Answer` of its key.
        :raises Refused: when it is refused.
        """
        now = time.monotonic()
        if self._knows(start.request_id):
            raise exceptions.Refused("bad_request", "request id in use")
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_id[start.request_id] = future
        try:
            self._perform(
                self._table.on_request(
                    now,
                    start.request_id,
                    deadline,
                    key=start.idempotency_key,
                    first_attempt=start.first_attempt,
                    work_class=start.work_class,
                    content_length=start.content_length,
                    route=history.route_of(start.method, start.path),
                    movable=bool(start.movable),
                )
            )
            return await future
        except asyncio.CancelledError:
            self.abandon(start.request_id)
            raise
        finally:
            del self._waiting_by_id[start.request_id]
            metrics.QUEUE_SECONDS.observe(time.monotonic() - now)

    def _knows(self, request_id):
        return (
            request_id in self._waiting_by_id
            or request_id in self._started_by_id
        )

    def finish(self, request_id, answer):
        """Free the slot of a request whose answer is complete.

        :param answer: the :class:`limpetlift.state.actions.Answer`, or None
            when it is too large to keep.
        """
        now = time.monotonic()
        started = self._started_by_id.pop(request_id)
        self._perform(
            self._table.on_answered(now, request_id, now - started, answer)
        )

    def abandon(self, request_id, ran=False):
        """Free the slot or place of a request that has no whole answer.

        :param ran: whether the backend server may have got a part of it.
        """
        now = time.monotonic()
        if self._started_by_id.pop(request_id, None) is not None:
            self._perform(self._table.on_failed(now, request_id, ran))
        else:
            self._perform(self._table.on_cancel(now, request_id))

    def on_roster(self, roster):
        """Adopt a roster that was read from the store or written to it."""
        self._perform(self._table.on_roster(time.monotonic(), roster))

    def _on_claim_message(self, sealed, message, _address):
        try:
            self._perform(
                self._table.on_message(
                    time.monotonic(), sealed.sender, message
                )
            )
        except exceptions.StateError as error:
            metrics.CONTROL_REJECTED.labels(error.code).inc()

    def drain(self):
        """Refuse the waiting requests and all new ones."""
        self._perform(self._table.drain(time.monotonic()))

    def leave(self):
        """Neither vote nor claim any more; all requests have ended."""
        self._perform(self._table.leave(time.monotonic()))

    def tick(self):
        """Run the timers of the queue and of the claims."""
        self._perform(self._table.tick(time.monotonic()))

    def send_load(self):
        """Tell some of the other agents of the service the load."""
        if self._queue.draining:
            return
        own = self._queue.load(time.monotonic(), self._node.id, "")
        message = messages.structs.SlotLoad(
            slots=own.slots,
            long_running=own.long_running,
            wait_ms=_milliseconds(own.wait_s),
            long_wait_ms=_milliseconds(own.long_wait_s),
        )
        peers = [key for key in self.active_peer_ids if key != self._node.id]
        count = min(defaults.PEER_LOAD_FANOUT, len(peers))
        for agent_id in self._rng.sample(peers, count):
            self._node.send(message, self.endpoints_by_id[agent_id])

    def _on_load(self, sealed, message, address):
        endpoint = self.endpoints_by_id.get(sealed.sender)
        if endpoint is None or message.slots < 1:
            metrics.CONTROL_REJECTED.labels("unexpected").inc()
            return
        load = admission.Load(
            agent_id=sealed.sender,
            address="%s:%d" % endpoint,
            slots=message.slots,
            long_running=message.long_running,
            wait_s=max(message.wait_ms, 0) / 1000,
            long_wait_s=max(message.long_wait_ms, 0) / 1000,
        )
        self._queue.on_peer_loads(time.monotonic(), [load])

    def _perform(self, steps):
        for step in steps:
            if isinstance(step, actions.Send):
                endpoint = self.endpoints_by_id.get(step.agent_id)
                if endpoint is not None:
                    self._node.send(step.message, endpoint)
            elif isinstance(step, _ROSTER_ACTIONS):
                if self.on_roster_action is not None:
                    self.on_roster_action(step)
            else:
                self._settle(step)
        metrics.SLOTS_BUSY.set(self._queue.busy_slots)
        metrics.REQUESTS_QUEUED.set(self._queue.queued)

    def _settle(self, step):
        """Wake the task of the request that an action is about."""
        if isinstance(step, actions.Admit):
            self._started_by_id[step.request_id] = time.monotonic()
        future = self._waiting_by_id.get(step.request_id)
        if future is None or future.done():
            return
        if isinstance(step, actions.Admit):
            future.set_result(None)
        elif isinstance(step, actions.Replay):
            future.set_result(step.answer)
        else:
            future.set_exception(
                exceptions.Refused(step.code, retry_at=step.retry_at)
            )


def _milliseconds(seconds):
    # A day is longer than any wait, and fits the message.
    return int(min(seconds, 86_400.0) * 1000)
