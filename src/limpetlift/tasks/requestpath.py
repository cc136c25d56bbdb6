"""Agent side of requests: admit, run at the backend server, answer."""

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

# A backend server on the same instance accepts within this time or is down.
_BACKEND_CONNECT_S = 1.0
_AFTER_ADMIT = ("timeout", "cut")
# How long the balancer has to read such a refusal.
_LINGER_S = 1.0


@attrs.define
class _Run:
    """Progress of one request.

    :param deadline: monotonic time by which it must be answered.
    :param began: whether the backend server may have got a part of it.
    :param finished: whether the whole answer was received.
    :param answer: the answer to keep for repetitions of the key, or None.
    """

    start: object
    deadline: float
    began: bool = False
    finished: bool = False
    answer: object = None

    def on_peer_closed(self, task):
        """Cancel the request, unless its caller may repeat its key.

        A request with a key that has begun runs to its end, so that the
        repetition through another balancer gets the answer.
        """
        if not (self.began and self.start.idempotency_key):
            task.cancel()


class _AnswerSink:
    """Passes an answer on to the balancer and keeps it when small.

    :param keep: whether the answer is kept, and read to its end when the
        balancer has gone.
    """

    def __init__(self, exchange, keep):
        self._exchange = exchange
        self._keep = keep
        self._connected = True
        self._status = 0
        self._headers = ()
        self._body = bytearray()
        self._total = 0

    @property
    def answer(self):
        """The whole :class:`Answer`, or None when it was not kept."""
        if not self._keep or self._total > len(self._body):
            return None
        return actions.Answer(self._status, self._headers, bytes(self._body))

    async def on_start(self, line, fields):
        """Pass on status and headers."""
        self._status = line.code
        self._headers = tuple(backend.end_to_end(fields))
        await self._send(
            "ResponseStart",
            status=line.code,
            reason=line.reason,
            headers=exchange_headers(self._headers),
            replayed=False,
        )

    async def on_chunk(self, chunk):
        """Pass on a part of the body."""
        self._total += len(chunk)
        if self._keep and self._total <= defaults.MAX_STORED_ANSWER_BYTES:
            self._body += chunk
        await self._send("BodyChunk", data=chunk)

    async def end(self):
        """Pass on the end of the body."""
        await self._send("BodyEnd", total=self._total)

    async def _send(self, kind, **fields):
        if not self._connected:
            return
        try:
            await self._exchange.send(kind, **fields)
        except exceptions.PeerClosed:
            self._connected = False
            if not self._keep:
                raise


async def _pass_body(exchange, message, write):
    """Read the body of a request from its first message on.

    :param write: a coroutine function that takes each part.
    """
    total = 0
    while type(message).__name__ == "BodyChunk":
        total += len(message.data)
        await write(message.data)
        message = await exchange.receive("BodyChunk", "BodyEnd")
    if message.total != total:
        raise exceptions.MalformedMessage("body of another length")


async def _send_stored(exchange, answer):
    """Answer a repeated key with the stored answer; drop its body."""

    async def drop(_chunk):
        pass

    await exchange.send("Admit")
    message = await exchange.receive("BodyChunk", "BodyEnd")
    await _pass_body(exchange, message, drop)
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
    :param service: the :class:`limpetlift.state.config.Service`.
    :param backend_address: ``(ip, port)`` of the backend server.
    :param claims: the :class:`limpetlift.state.claims.ClaimTable`.

    .. versionadded:: 0.1
    """

    def __init__(self, node, service, backend_address, claims):
        self._node = node
        self.service = service
        self._backend = backend_address
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
        """Refuse waiting and new requests."""
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
        """Serve a connection until it ends or breaks the protocol."""
        try:
            await self._serve_requests(frames)
        except exceptions.ProtocolError as error:
            LOG.debug("connection_ended", code=error.code, error=error)

    async def _serve_requests(self, frames):
        while True:
            data = await frames.read()
            start = self._node.open_frame(data, "RequestStart")
            exchange = exchanges.Exchange(frames, start.request_id)
            run = _Run(start, time.monotonic() + start.timeout_ms / 1000)
            self._running_by_id[start.request_id] = run
            task = asyncio.ensure_future(self._serve_one(exchange, run))
            frames.set_close_callback(lambda: run.on_peer_closed(task))
            try:
                await task
            except asyncio.CancelledError:
                LOG.info("request_cancelled", request=start.request_id)
                return
            finally:
                frames.set_close_callback(None)
                del self._running_by_id[start.request_id]

    async def _serve_one(self, exchange, run):
        try:
            async with contextlib.AsyncExitStack() as stack:
                answer = await self._admit(stack, run)
                if answer is None:
                    await self._run(stack, exchange, run)
                else:
                    await _send_stored(exchange, answer)
        except exceptions.Refused as error:
            metrics.REFUSALS.labels(error.refusal).inc()
            await exchange.refuse(error)
            if error.refusal in _AFTER_ADMIT:
                # Closing with unread frames would reset the connection and
                # lose the refusal. The balancer closes it, which ends this.
                await asyncio.sleep(_LINGER_S)

    async def _admit(self, stack, run):
        if run.start.service_name != self.service.name:
            raise exceptions.Refused("unknown_service")
        answer = await self.slots.acquire(run.start, run.deadline)
        if answer is None:
            stack.callback(self._release, run)
        return answer

    def _release(self, run):
        if run.finished:
            self.slots.finish(run.start.request_id, run.answer)
        else:
            self.slots.abandon(run.start.request_id, run.began)

    async def _run(self, stack, exchange, run):
        request = backend.BackendRequest(self._backend, self.service.address)
        stack.callback(request.close)
        try:
            await request.connect(_BACKEND_CONNECT_S)
        except exceptions.TransportError as error:
            raise exceptions.Refused("backend_down", str(error)) from error
        await exchange.send("Admit")
        try:
            async with asyncio.timeout(run.deadline - time.monotonic()):
                await self._transfer(exchange, request, run)
        except TimeoutError as error:
            raise exceptions.Refused("timeout") from error
        except exceptions.TransportError as error:
            # The timeout may surface as a closed connection to the backend
            # server, which has not failed.
            late = time.monotonic() >= run.deadline
            code = "timeout" if late else "cut"
            raise exceptions.Refused(code, str(error)) from error

    async def _transfer(self, exchange, request, run):
        start = run.start
        headers = [(field.name, field.value) for field in start.headers]
        # A request without a body runs once its headers are sent. The
        # balancer may still say "not run" until it has sent the next frame.
        message = await exchange.receive("BodyChunk", "BodyEnd")
        run.began = True
        await request.start(start.method, start.path, headers)
        await _pass_body(exchange, message, request.write)
        sink = _AnswerSink(exchange, keep=bool(start.idempotency_key))
        await request.answer(sink.on_start, sink.on_chunk)
        run.finished = True
        run.answer = sink.answer
        await sink.end()
        metrics.REQUESTS.labels(self.service.name).inc()

    def close(self):
        """Stop accepting connections."""
        self._server.stop()


def exchange_headers(pairs):
    """Return thrift headers for ``(name, value)`` pairs."""
    header = exchanges.messages.structs.Header
    return [header(name=name, value=value) for name, value in pairs]
