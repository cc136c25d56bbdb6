"""Agent side of requests: admit, run at the backend server, answer."""

import asyncio
import contextlib
import datetime
import time

from tornado import locks

from limpetlift import exceptions
from limpetlift import logs
from limpetlift import metrics
from limpetlift.protocol import exchange as exchanges
from limpetlift.tasks import backend
from limpetlift.transport import stream

LOG = logs.EventLogger("requestpath")

# A backend server on the same instance accepts within this time or is down.
_BACKEND_CONNECT_S = 1.0


class AgentRequests:
    """Serves the requests that balancers send to this agent.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param service: the :class:`limpetlift.state.config.Service`.
    :param backend_address: ``(ip, port)`` of the backend server.

    .. versionadded:: 0.1
    """

    def __init__(self, node, service, backend_address):
        self._node = node
        self.service = service
        self._backend = backend_address
        self._slots = locks.Semaphore(service.slots)
        self._server = stream.FrameServer(self._serve)
        self._running_by_id = {}
        self.draining = False

    def listen(self):
        """Accept connections at the node's address."""
        ip, port = self._node.address
        self._server.listen(port, ip)

    @property
    def running(self):
        """Number of requests that are queued or running."""
        return len(self._running_by_id)

    async def drain(self, deadline):
        """Refuse new requests and wait for the running ones.

        :param deadline: monotonic time at which to stop waiting.
        """
        self.draining = True
        while self._running_by_id and time.monotonic() < deadline:
            await asyncio.sleep(0.02)

    async def _serve(self, frames):
        while True:
            data = await frames.read()
            start = self._node.open_frame(data, "RequestStart")
            exchange = exchanges.Exchange(frames, start.request_id)
            self._running_by_id[start.request_id] = start
            task = asyncio.ensure_future(self._serve_one(exchange, start))
            frames.set_close_callback(task.cancel)
            try:
                await task
            except asyncio.CancelledError:
                LOG.info("request_cancelled", request=start.request_id)
                return
            finally:
                frames.set_close_callback(None)
                del self._running_by_id[start.request_id]

    async def _serve_one(self, exchange, start):
        deadline = time.monotonic() + start.timeout_ms / 1000
        try:
            async with contextlib.AsyncExitStack() as stack:
                await self._admit(stack, start, deadline)
                await self._run(stack, exchange, start, deadline)
        except exceptions.Refused as error:
            metrics.REFUSALS.labels(error.refusal).inc()
            await exchange.refuse(error)

    async def _admit(self, stack, start, deadline):
        if start.service_name != self.service.name:
            raise exceptions.Refused("unknown_service")
        if self.draining:
            raise exceptions.Refused("draining")
        queued_at = time.monotonic()
        try:
            await self._slots.acquire(
                timeout=datetime.timedelta(seconds=deadline - queued_at)
            )
        except asyncio.TimeoutError as error:
            raise exceptions.Refused("deadline_passed") from error
        stack.callback(self._slots.release)
        metrics.QUEUE_SECONDS.observe(time.monotonic() - queued_at)

    async def _run(self, stack, exchange, start, deadline):
        request = backend.BackendRequest(self._backend, self.service.address)
        stack.callback(request.close)
        try:
            await request.connect(_BACKEND_CONNECT_S)
        except exceptions.TransportError as error:
            raise exceptions.Refused("backend_down", str(error)) from error
        await exchange.send("Admit")
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                await self._transfer(exchange, request, start)
        except TimeoutError as error:
            raise exceptions.Refused("timeout") from error
        except exceptions.TransportError as error:
            raise exceptions.Refused("cut", str(error)) from error

    async def _transfer(self, exchange, request, start):
        headers = [(field.name, field.value) for field in start.headers]
        await request.start(start.method, start.path, headers)
        await self._send_body(exchange, request)
        total = 0

        async def on_start(line, fields):
            header = exchange_headers(backend.end_to_end(fields))
            await exchange.send(
                "ResponseStart",
                status=line.code,
                reason=line.reason,
                headers=header,
                replayed=False,
            )

        async def on_chunk(chunk):
            nonlocal total
            total += len(chunk)
            await exchange.send("BodyChunk", data=chunk)

        await request.answer(on_start, on_chunk)
        await exchange.send("BodyEnd", total=total)
        metrics.REQUESTS.labels(self.service.name).inc()

    async def _send_body(self, exchange, request):
        total = 0
        while True:
            message = await exchange.receive("BodyChunk", "BodyEnd")
            if type(message).__name__ == "BodyEnd":
                break
            total += len(message.data)
            await request.write(message.data)
        if message.total != total:
            raise exceptions.MalformedMessage("body of another length")

    def close(self):
        """Stop accepting connections."""
        self._server.stop()


def exchange_headers(pairs):
    """Return thrift headers for ``(name, value)`` pairs."""
    header = exchanges.messages.structs.Header
    return [header(name=name, value=value) for name, value in pairs]
