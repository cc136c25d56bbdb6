"""Requests at an agent: admission, run at the backend server, response."""

import asyncio
import contextlib
from http import client
import time

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift import metrics
from limpetlift.protocol import exchange as exchanges
from limpetlift.state import actions
from limpetlift.tasks import backend
from limpetlift.tasks import slots
from limpetlift.transport import stream

LOG = logs.EventLogger("requestpath")

# A backend server on the same instance that does not accept a connection
# within this time is down.
_BACKEND_CONNECT_TIMEOUT_S = 1.0
# Codes of refusals that may follow an Admit.
_CODES_AFTER_ADMIT = ("timeout", "cut")
# Time for the balancer to read such a refusal and close the connection.
_REFUSAL_READ_TIMEOUT_S = 1.0


@attrs.define
class _RequestProgress:
    """Progress of one request.

    :param start: its thrift ``RequestStart``.
    :param deadline: monotonic time by which the response must be complete.
    :param has_begun: whether the backend server may have got a part of the
        request.
    :param is_complete: whether the whole response was received.
    :param answer: the response, as a
        :class:`limpetlift.state.actions.Answer` to store for repetitions of
        the idempotency key, or None.
    """

    start: object
    deadline: float
    has_begun: bool = False
    is_complete: bool = False
    answer: object = None

    def on_peer_closed(self, task):
        """Cancel the request after the balancer has closed the connection.

        A request with an idempotency key that has begun is not cancelled, so
        that a repetition through another balancer gets the stored answer.

        :param task: the task that serves the request.
        """
        if not (self.has_begun and self.start.idempotency_key):
            task.cancel()


class _ResponseRelay:
    """Sends a response to the balancer and keeps it if it is small.

    :param exchange: a :class:`limpetlift.protocol.exchange.Exchange`.
    :param keeps_answer: whether to keep the response, and to read it to its
        end even if the balancer closes the connection.
    """

    def __init__(self, exchange, keeps_answer):
        self._exchange = exchange
        self._keeps_answer = keeps_answer
        self._is_peer_connected = True
        self._status = 0
        self._headers = ()
        self._body = bytearray()
        self._received_bytes = 0

    @property
    def answer(self):
        """The kept :class:`limpetlift.state.actions.Answer`, or None."""
        if not self._keeps_answer or self._received_bytes > len(self._body):
            return None
        return actions.Answer(self._status, self._headers, bytes(self._body))

    async def on_start(self, status_line, header_fields):
        """Send the status and the headers."""
        self._status = status_line.code
        self._headers = tuple(backend.end_to_end(header_fields))
        await self._send(
            "ResponseStart",
            status=status_line.code,
            reason=status_line.reason,
            headers=exchange_headers(self._headers),
            replayed=False,
        )

    async def on_chunk(self, chunk):
        """Send a part of the body."""
        self._received_bytes += len(chunk)
        if (
            self._keeps_answer
            and self._received_bytes <= defaults.MAX_STORED_ANSWER_BYTES
        ):
            self._body += chunk
        await self._send("BodyChunk", data=chunk)

    async def end(self):
        """Send the end of the body."""
        await self._send("BodyEnd", total=self._received_bytes)

    async def _send(self, kind, **fields):
        if not self._is_peer_connected:
            return
        try:
            await self._exchange.send(kind, **fields)
        except exceptions.PeerClosed:
            self._is_peer_connected = False
            if not self._keeps_answer:
                raise


async def _receive_body(exchange, message, handle_chunk):
    """Receive the body of a request.

    :param message: the first message after ``Admit``, already received.
    :param handle_chunk: coroutine function, called with each part.
    :raises MalformedMessage: when the length differs from that in ``BodyEnd``.
    """
    received_bytes = 0
    while type(message).__name__ == "BodyChunk":
        received_bytes += len(message.data)
        await handle_chunk(message.data)
        message = await exchange.receive("BodyChunk", "BodyEnd")
    if message.total != received_bytes:
        raise exceptions.MalformedMessage(
            "length of the request body differs from the total of BodyEnd"
        )


async def _send_stored_answer(exchange, answer):
    """Respond to a repeated idempotency key with the stored answer.

    The body of the request is received and discarded.
    """

    async def discard(_chunk):
        pass

    await exchange.send("Admit")
    message = await exchange.receive("BodyChunk", "BodyEnd")
    await _receive_body(exchange, message, discard)
    await exchange.send(
        "ResponseStart",
        status=answer.status,
        reason=client.responses.get(answer.status, ""),
        headers=exchange_headers(answer.headers),
        replayed=True,
    )
    if answer.body:
        await exchange.send("BodyChunk", data=answer.body)
    await exchange.send("BodyEnd", total=len(answer.body))


class AgentRequests:
    """Serves the requests that balancers send to this agent.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param service: the :class:`limpetlift.state.config.Service` of the agent.
    :param backend_address: ``(ip, port)`` of the backend server.
    :param claims: the :class:`limpetlift.state.claims.ClaimTable`.

    .. versionadded:: 0.1
    """

    def __init__(self, node, service, backend_address, claims):
        self._node = node
        self.service = service
        self._backend_address = backend_address
        self.slots = slots.Slots(node, service, claims)
        self._server = stream.FrameServer(self._serve)
        self._running_by_id = {}
        self.draining = False

    def listen(self):
        """Accept connections at the node's address."""
        ip, port = self._node.address
        self._server.listen(port, ip)

    @property
    def request_count(self):
        """Number of requests that are queued or running."""
        return len(self._running_by_id)

    def refuse_new(self):
        """Refuse the waiting requests and all new ones."""
        self.draining = True
        self.slots.drain()

    async def drain(self, deadline):
        """Refuse new requests and wait for the running ones.

        :param deadline: monotonic time at which to stop waiting.
        """
        self.refuse_new()
        while self._running_by_id and time.monotonic() < deadline:
            await asyncio.sleep(0.02)

    async def _serve(self, frames):
        """Serve a connection until it ends or violates the protocol."""
        try:
            await self._serve_requests(frames)
        except exceptions.ProtocolError as error:
            LOG.debug("connection_ended", code=error.code, error=error)

    async def _serve_requests(self, frames):
        while True:
            data = await frames.read()
            start = self._node.open_frame(data, "RequestStart")
            exchange = exchanges.Exchange(frames, start.request_id)
            progress = _RequestProgress(
                start, time.monotonic() + start.timeout_ms / 1000
            )
            self._running_by_id[start.request_id] = progress
            task = asyncio.ensure_future(self._serve_one(exchange, progress))
            frames.set_close_callback(lambda: progress.on_peer_closed(task))
            try:
                await task
            except asyncio.CancelledError:
                LOG.info("request_cancelled", request=start.request_id)
                return
            finally:
                frames.set_close_callback(None)
                del self._running_by_id[start.request_id]

    async def _serve_one(self, exchange, progress):
        try:
            async with contextlib.AsyncExitStack() as stack:
                answer = await self._admit(stack, progress)
                if answer is None:
                    await self._run_at_backend(stack, exchange, progress)
                else:
                    await _send_stored_answer(exchange, answer)
        except exceptions.Refused as error:
            metrics.REFUSALS.labels(error.refusal).inc()
            await exchange.refuse(error)
            if error.refusal in _CODES_AFTER_ADMIT:
                # Closing the connection with unread frames would reset it, and
                # the refusal would be lost. The balancer closes it after
                # reading the refusal.
                await asyncio.sleep(_REFUSAL_READ_TIMEOUT_S)

    async def _admit(self, stack, progress):
        if progress.start.service_name != self.service.name:
            raise exceptions.Refused("unknown_service")
        answer = await self.slots.acquire(progress.start, progress.deadline)
        if answer is None:
            stack.callback(self._release_slot, progress)
        return answer

    def _release_slot(self, progress):
        if progress.is_complete:
            self.slots.finish(progress.start.request_id, progress.answer)
        else:
            self.slots.abandon(progress.start.request_id, progress.has_begun)

    async def _run_at_backend(self, stack, exchange, progress):
        backend_request = backend.BackendRequest(
            self._backend_address, self.service.address
        )
        stack.callback(backend_request.close)
        try:
            await backend_request.connect(_BACKEND_CONNECT_TIMEOUT_S)
        except exceptions.TransportError as error:
            raise exceptions.Refused("backend_down", str(error)) from error
        await exchange.send("Admit")
        try:
            async with asyncio.timeout(progress.deadline - time.monotonic()):
                await self._transfer(exchange, backend_request, progress)
        except TimeoutError as error:
            raise exceptions.Refused("timeout") from error
        except exceptions.TransportError as error:
            # The timeout may be reported as a closed connection to the
            # backend server, although the server has not failed.
            is_late = time.monotonic() >= progress.deadline
            code = "timeout" if is_late else "cut"
            raise exceptions.Refused(code, str(error)) from error

    async def _transfer(self, exchange, backend_request, progress):
        start = progress.start
        headers = [(field.name, field.value) for field in start.headers]
        # The backend server runs a request without a body once it has the
        # headers. Until the balancer has sent the next frame, it may report
        # that the request has not run, so that frame is awaited.
        message = await exchange.receive("BodyChunk", "BodyEnd")
        progress.has_begun = True
        await backend_request.start(start.method, start.path, headers)
        await _receive_body(exchange, message, backend_request.write)
        relay = _ResponseRelay(
            exchange, keeps_answer=bool(start.idempotency_key)
        )
        await backend_request.answer(relay.on_start, relay.on_chunk)
        progress.is_complete = True
        progress.answer = relay.answer
        await relay.end()
        metrics.REQUESTS.labels(self.service.name).inc()

    def close(self):
        """Stop accepting connections."""
        self._server.stop()


def exchange_headers(pairs):
    """Return thrift headers for ``(name, value)`` pairs."""
    header = exchanges.messages.structs.Header
    return [header(name=name, value=value) for name, value in pairs]
