"""Asynchronous admission of requests at an agent."""

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
    """The slots of an agent and the idempotency keys of their requests.

    Tasks of requests wait for admission here. The load of the slots is sent
    to agents of the same service.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param service: the :class:`limpetlift.state.config.Service` of the agent.
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
        self._futures_by_id = {}
        self._started_at_by_id = {}
        self.endpoints_by_id = {}
        self.active_peer_ids = ()
        self.on_roster_action = None
        node.on_message("SlotLoad", self._on_load)
        for kind in claim_table.MESSAGE_KINDS:
            node.on_message(kind, self._on_claim_message)

    async def acquire(self, start, deadline):
        """Wait until a request may run.

        :param start: its thrift ``RequestStart``.
        :param deadline: monotonic time by which the response must be complete.
        :returns: None when it may run, or the stored
            :class:`limpetlift.state.actions.Answer` of its idempotency key.
        :raises Refused: when it is refused.
        """
        now = time.monotonic()
        if self._is_known(start.request_id):
            raise exceptions.Refused(
                "bad_request",
                "request id in use",
            )
        future = asyncio.get_running_loop().create_future()
        self._futures_by_id[start.request_id] = future
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
            del self._futures_by_id[start.request_id]
            metrics.QUEUE_SECONDS.observe(time.monotonic() - now)

    def _is_known(self, request_id):
        return (
            request_id in self._futures_by_id
            or request_id in self._started_at_by_id
        )

    def finish(self, request_id, answer):
        """Free the slot of a request whose response is complete.

        :param request_id: id of the request.
        :param answer: the :class:`limpetlift.state.actions.Answer` to store,
            or None when it is not stored, such as one that is too large.
        """
        now = time.monotonic()
        started_at = self._started_at_by_id.pop(request_id)
        self._perform(
            self._table.on_answered(now, request_id, now - started_at, answer)
        )

    def abandon(self, request_id, has_begun=False):
        """Free the slot or queue place of a request without a whole response.

        :param request_id: id of the request.
        :param has_begun: whether the backend server may have got a part of
            the request.
        """
        now = time.monotonic()
        if self._started_at_by_id.pop(request_id, None) is not None:
            self._perform(self._table.on_failed(now, request_id, has_begun))
        else:
            self._perform(self._table.on_cancel(now, request_id))

    def on_roster(self, roster):
        """Adopt a roster that was read from the store or written to it.

        :param roster: a :class:`limpetlift.coordination.roster.Roster`.
        """
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
        """Stop voting on and claiming keys, after all requests have ended."""
        self._perform(self._table.leave(time.monotonic()))

    def tick(self):
        """Run the timers of the admission queue and of the claims."""
        self._perform(self._table.tick(time.monotonic()))

    def send_load(self):
        """Send the load to some of the other agents of the service."""
        if self._queue.draining:
            return
        own_load = self._queue.load(time.monotonic(), self._node.id, "")
        message = messages.structs.SlotLoad(
            slots=own_load.slots,
            long_running=own_load.long_running,
            wait_ms=_to_milliseconds(own_load.wait_s),
            long_wait_ms=_to_milliseconds(own_load.long_wait_s),
        )
        peer_ids = [
            peer_id
            for peer_id in self.active_peer_ids
            if peer_id != self._node.id
        ]
        peer_count = min(defaults.PEER_LOAD_FANOUT, len(peer_ids))
        for agent_id in self._rng.sample(peer_ids, peer_count):
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

    def _perform(self, new_actions):
        for action in new_actions:
            if isinstance(action, actions.Send):
                endpoint = self.endpoints_by_id.get(action.agent_id)
                if endpoint is not None:
                    self._node.send(action.message, endpoint)
            elif isinstance(action, _ROSTER_ACTIONS):
                if self.on_roster_action is not None:
                    self.on_roster_action(action)
            else:
                self._resolve_future(action)
        metrics.SLOTS_BUSY.set(self._queue.busy_slots)
        metrics.REQUESTS_QUEUED.set(self._queue.queued)

    def _resolve_future(self, action):
        """Pass an action to the task that waits for its request."""
        if isinstance(action, actions.Admit):
            self._started_at_by_id[action.request_id] = time.monotonic()
        future = self._futures_by_id.get(action.request_id)
        if future is None or future.done():
            return
        if isinstance(action, actions.Admit):
            future.set_result(None)
        elif isinstance(action, actions.Replay):
            future.set_result(action.answer)
        else:
            future.set_exception(
                exceptions.Refused(action.code, retry_at=action.retry_at)
            )


def _to_milliseconds(seconds):
    # Bounded by a day, which is longer than any wait and fits the message.
    return int(min(seconds, 86_400.0) * 1000)
