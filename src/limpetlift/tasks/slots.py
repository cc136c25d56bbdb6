"""The slots of an agent, as its request tasks wait for them."""

import asyncio
import random
import time

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import metrics
from limpetlift.protocol import messages
from limpetlift.state import actions
from limpetlift.state import admission
from limpetlift.state import history


class Slots:
    """Lets request tasks wait for admission, and tells peers the load.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param service: the :class:`limpetlift.state.config.Service`.

    .. versionadded:: 0.1
    """

    def __init__(self, node, service):
        self._node = node
        self._rng = random.Random()
        self._queue = admission.AdmissionQueue(
            service.slots, self._rng, service.admission
        )
        self._waiting_by_id = {}
        self._started_by_id = {}
        node.on_message("SlotLoad", self._on_load)
        self.endpoints_by_id = {}

    async def acquire(self, start, deadline):
        """Wait until the request of a ``RequestStart`` may run.

        :param deadline: monotonic time by which it must be answered.
        :raises Refused: when it is refused; it has not run.
        """
        now = time.monotonic()
        if self._knows(start.request_id):
            raise exceptions.Refused("bad_request", "request id in use")
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_id[start.request_id] = future
        try:
            self._perform(
                self._queue.on_request(
                    now,
                    start.request_id,
                    deadline,
                    start.work_class,
                    start.content_length,
                    history.route_of(start.method, start.path),
                    bool(start.movable),
                )
            )
            await future
        except BaseException:
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

    def finish(self, request_id):
        """Free the slot of a request whose answer is complete."""
        now = time.monotonic()
        started = self._started_by_id.pop(request_id, None)
        if started is not None:
            self._perform(
                self._queue.on_finished(now, request_id, now - started)
            )

    def abandon(self, request_id):
        """Free the slot or place of a request that has no whole answer."""
        self._started_by_id.pop(request_id, None)
        self._perform(self._queue.on_cancel(time.monotonic(), request_id))

    def drain(self):
        """Refuse the waiting requests and all new ones."""
        self._perform(self._queue.drain(time.monotonic()))

    def tick(self):
        """Run the timers of the queue."""
        self._perform(self._queue.tick(time.monotonic()))

    def send_load(self):
        """Tell some of the other agents of the service the load."""
        if self._queue.draining:
            return
        own = self._queue.load(time.monotonic(), self._node.id, "")
        message = messages.structs.SlotLoad(
            slots=own.slots,
            long_running=own.long,
            wait_ms=_milliseconds(own.wait),
            long_wait_ms=_milliseconds(own.long_wait),
        )
        peers = [key for key in self.endpoints_by_id if key != self._node.id]
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
            long=message.long_running,
            wait=max(message.wait_ms, 0) / 1000,
            long_wait=max(message.long_wait_ms, 0) / 1000,
        )
        self._queue.on_peers(time.monotonic(), [load])

    def _perform(self, steps):
        for step in steps:
            future = self._waiting_by_id.get(step.request_id)
            if isinstance(step, actions.Admit):
                self._started_by_id[step.request_id] = time.monotonic()
            if future is None or future.done():
                continue
            if isinstance(step, actions.Admit):
                future.set_result(None)
            else:
                future.set_exception(
                    exceptions.Refused(step.code, retry_at=step.retry_at)
                )
        metrics.SLOTS_BUSY.set(self._queue.busy)
        metrics.REQUESTS_QUEUED.set(self._queue.queued)


def _milliseconds(seconds):
    # A day is longer than any wait, and fits the message.
    return int(min(seconds, 86_400.0) * 1000)
