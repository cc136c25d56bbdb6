"""Balancer side of requests: HTTP/1.1 from callers, frames to agents."""

import asyncio
import socket
import time
import uuid

from tornado import httpserver
from tornado import iostream
from tornado import web

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift import metrics
from limpetlift.protocol import exchange as exchanges
from limpetlift.protocol import messages
from limpetlift.protocol import refusal
from limpetlift.state import balancing
from limpetlift.tasks import backend
from limpetlift.tasks import dispatch
from limpetlift.tasks import requestpath
from limpetlift.transport import stream

LOG = logs.EventLogger("gateway")

_CONNECT_S = 1.0
# The agent's own refusal at the deadline arrives within this time.
_GRACE_S = 0.1
# How often a waiting request looks whether its caller has gone.
_CALLER_CHECK_S = 0.05
_MAX_ID_LENGTH = 64

KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "Idempotency-Attempt"
ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
CLASS_HEADER = "X-Work-Class"
CODE_HEADER = "X-Refusal-Code"
OUTCOME_HEADER = "X-Request-Outcome"
REPLAYED_HEADER = "Idempotent-Replayed"


class Gateway:
    """Accepts requests at the services' addresses.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param bind_ip: replaces the services' IP when not empty.
    :param tables_by_name: the service tables of the flow path.

    .. versionadded:: 0.1
    """

    def __init__(self, node, bind_ip, tables_by_name):
        self._node = node
        self._bind_ip = bind_ip
        self.tables_by_name = tables_by_name
        self._servers_by_name = {}
        self._idle_by_endpoint = {}
        self._dispatch_by_name = {}
        self.running_by_id = {}
        self.recorder = None

    def set_services(self, services):
        """Open and close servers so that they match ``services``."""
        wanted = {service.name: service for service in services}
        for name in set(self._servers_by_name) - set(wanted):
            self._servers_by_name.pop(name)[1].stop()
            self._dispatch_by_name.pop(name, None)
        for name, service in wanted.items():
            self._set_budget(name)
            address, server = self._servers_by_name.get(name, ("", None))
            if address == service.address:
                continue
            if server is not None:
                server.stop()
            self._servers_by_name[name] = (
                service.address,
                self._listen(service),
            )

    def _set_budget(self, name):
        """Follow the retry budget of a service."""
        known = self._dispatch_by_name.get(name)
        table = self.tables_by_name.get(name)
        if known is not None and table is not None:
            known.budget.tokens_per_request = (
                table.service.retry_tokens_per_request
            )
            known.budget.capacity = table.service.retry_tokens_max

    def _listen(self, service):
        application = web.Application(
            [(r".*", RequestHandler, {"gateway": self, "name": service.name})],
            log_function=lambda handler: None,
        )
        server = httpserver.HTTPServer(
            application,
            max_body_size=defaults.UNLIMITED_BYTES,
            chunk_size=defaults.BODY_CHUNK_BYTES,
        )
        ip, port = service.endpoint
        server.listen(port, self._bind_ip or ip)
        return server

    async def open_exchange(self, start, deadline):
        """Send ``start`` to an agent that admits it.

        :param start: a thrift ``RequestStart`` without its timeout.
        :returns: the :class:`Exchange` after ``Admit``.
        :raises Refused: when no agent admits the request.
        """
        attempts = dispatch.Attempts(
            self._dispatch(start.service_name), start.idempotency_key
        )
        error = exceptions.Refused("no_target")
        while True:
            members = self._members(start.service_name)
            member = attempts.next_member(members)
            if member is None:
                raise error
            start.movable = attempts.movable
            try:
                exchange = await self._offer(start, member, deadline)
            except exceptions.Refused as refused:
                error = refused
            except BaseException:
                attempts.settle(balancing.CANCELLED)
                raise
            else:
                attempts.on_admitted()
                exchange.attempts = attempts
                return exchange
            retry_at = attempts.retry_at(error, members)
            if retry_at is None or retry_at >= deadline:
                raise error
            await asyncio.sleep(retry_at - time.monotonic())

    def _dispatch(self, name):
        known = self._dispatch_by_name.get(name)
        if known is None:
            known = self._dispatch_by_name[name] = dispatch.Dispatch()
            self._set_budget(name)
        return known

    def _members(self, name):
        table = self.tables_by_name.get(name)
        if table is None:
            raise exceptions.Refused("unknown_service")
        return [member for member in table.members if member.accepts_new_work]

    async def _offer(self, start, member, deadline):
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise exceptions.Refused("deadline_passed")
        try:
            frames = await self._connect(member, min(remaining, _CONNECT_S))
        except exceptions.TransportError as error:
            raise exceptions.Refused("connect_failed", str(error)) from error
        exchange = exchanges.Exchange(frames, start.request_id)
        start.timeout_ms = int(remaining * 1000)
        try:
            await exchanges.write_frame(frames, self._node.seal_frame(start))
            async with asyncio.timeout(remaining + _GRACE_S):
                await exchange.receive("Admit")
        except (exceptions.PeerClosed, TimeoutError) as error:
            # The body was not sent, so nothing can have run.
            frames.close()
            raise exceptions.Refused("connect_failed") from error
        except asyncio.CancelledError:
            frames.close()
            raise
        except exceptions.Refused:
            self.release(member, frames)
            raise
        exchange.member = member
        return exchange

    async def _connect(self, member, timeout_s):
        idle = self._idle_by_endpoint.get(member.endpoint, [])
        while idle:
            frames = idle.pop()
            if not frames.closed:
                return frames
        return await stream.connect(*member.endpoint, timeout_s)

    def release(self, member, frames):
        """Keep a connection whose exchange is complete for the next one."""
        if not frames.closed:
            self._idle_by_endpoint.setdefault(member.endpoint, []).append(
                frames
            )

    def stop_listening(self):
        """Accept no further connections."""
        for _address, server in self._servers_by_name.values():
            server.stop()

    def stop_requests(self):
        """End all running requests."""
        for handler in list(self.running_by_id.values()):
            handler.stop()

    def close(self):
        """Close the servers and the idle connections."""
        self.stop_listening()
        for idle in self._idle_by_endpoint.values():
            for frames in idle:
                frames.close()


@web.stream_request_body
class RequestHandler(web.RequestHandler):
    """One request of a caller."""

    def initialize(self, gateway, name):
        """Take the gateway and the name of the service."""
        self._gateway = gateway
        self._service_name = name
        self._exchange = None
        self._opening = None
        self._gone = False
        self._stopped = False
        self._sent = 0
        # Two callers may choose the same id, so frames carry another one.
        self.request_id = str(uuid.uuid4())
        self._callers_id = self.request.headers.get(
            ID_HEADER, self.request_id
        )[:_MAX_ID_LENGTH]

    async def prepare(self):
        """Find an agent that admits the request, before its body is read."""
        try:
            start, deadline = self._start_message()
            self._start = start
            self._deadline = deadline
            self._gateway.running_by_id[self.request_id] = self
            self._opening = asyncio.ensure_future(
                self._gateway.open_exchange(start, deadline)
            )
            self._exchange = await self._wait_opening()
            self._admitted_at = time.monotonic()
        except exceptions.Refused as error:
            self._refuse(error)
        except asyncio.CancelledError as error:
            if self._stopped:
                self._refuse(exceptions.Refused("stopping"))
                return
            # The caller has gone, so this answer reaches nobody.
            self.on_connection_close()
            raise web.HTTPError(499) from error

    def stop(self):
        """End the request now; its caller gets a refusal that is true.

        Without an agent the request has not run; else the closed connection
        to the agent makes the outcome unknown.
        """
        self._stopped = True
        if self._exchange is not None:
            self._exchange.frames.close()
        elif self._opening is not None:
            self._opening.cancel()

    async def _wait_opening(self):
        """Wait for admission and cancel it when the caller has gone.

        The stream reads nothing while the request waits, and so does not
        notice the end of the connection by itself.
        """
        caller = self.request.connection.stream.socket
        while True:
            done, _ = await asyncio.wait(
                [self._opening], timeout=_CALLER_CHECK_S
            )
            if done:
                return await self._opening
            if _has_closed(caller):
                self._opening.cancel()

    def _start_message(self):
        table = self._gateway.tables_by_name.get(self._service_name)
        if table is None:
            raise exceptions.Refused("unknown_service")
        headers = self.request.headers
        timeout_ms = _timeout_ms(
            headers.get(TIMEOUT_HEADER), table.service.request_timeout_s
        )
        start = messages.structs.RequestStart(
            request_id=self.request_id,
            service_name=self._service_name,
            method=self.request.method,
            path=self.request.uri,
            headers=requestpath.exchange_headers(backend.end_to_end(headers)),
            timeout_ms=timeout_ms,
            idempotency_key=_key(headers.get(KEY_HEADER, "")),
            first_attempt=headers.get(ATTEMPT_HEADER) == "1",
            work_class=headers.get(CLASS_HEADER, ""),
            content_length=int(headers.get("Content-Length", 0)),
        )
        self._max_bytes = table.service.max_request_bytes
        if start.content_length > self._max_bytes:
            raise exceptions.Refused("too_large")
        return start, time.monotonic() + timeout_ms / 1000

    async def data_received(self, chunk):
        """Pass a part of the body on to the agent."""
        if self._finished:
            return
        self._sent += len(chunk)
        if self._sent > self._max_bytes:
            # A body without an announced length has been passed on in part.
            self._exchange.frames.close()
            self._settle(balancing.CANCELLED)
            self._refuse(exceptions.Refused("outcome_unknown", "too large"))
            return
        try:
            await self._exchange.send("BodyChunk", data=chunk)
        except exceptions.PeerClosed as error:
            self._settle(balancing.FAILED)
            self._refuse(exceptions.Refused("outcome_unknown", str(error)))

    async def _respond(self):
        if self._finished:
            return
        exchange = self._exchange
        try:
            async with asyncio.timeout(self._deadline - time.monotonic()):
                await exchange.send("BodyEnd", total=self._sent)
                await self._relay_answer(exchange)
        except exceptions.Refused as error:
            # The agent may not have read the whole body, and would take the
            # rest for the start of the next request.
            exchange.frames.close()
            cut = error.refusal in ("cut", "backend_down")
            self._settle(balancing.FAILED if cut else balancing.CANCELLED)
            self._refuse(error)
        except TimeoutError:
            exchange.frames.close()
            self._refuse(exceptions.Refused("timeout"))
        except exceptions.ProtocolError as error:
            exchange.frames.close()
            self._settle(balancing.FAILED)
            self._refuse(exceptions.Refused("cut", str(error)))
        except iostream.StreamClosedError:
            exchange.frames.close()

    get = post = put = delete = patch = head = options = _respond

    async def _relay_answer(self, exchange):
        start = await exchange.receive("ResponseStart")
        if start.replayed:
            self.set_header(REPLAYED_HEADER, "true")
        self.set_status(start.status, start.reason)
        for name in ("Content-Type", "Date", "Server"):
            self.clear_header(name)
        for header in start.headers:
            self.add_header(header.name, header.value)
        self.set_header(ID_HEADER, self._callers_id)
        total = 0
        while True:
            message = await exchange.receive("BodyChunk", "BodyEnd")
            if type(message).__name__ == "BodyEnd":
                break
            total += len(message.data)
            self.write(message.data)
            await self.flush()
        if message.total != total:
            raise exceptions.MalformedMessage("answer of another length")
        self._gateway.release(exchange.member, exchange.frames)
        self._settle(balancing.OK)
        recorder = self._gateway.recorder
        if recorder is not None:
            recorder.on_response(
                self._start, self._admitted_at, self._deadline
            )
        self._exchange = None
        await self.finish()

    def _settle(self, outcome):
        """Tell the choice of agents how the request ended, once."""
        if self._exchange is not None:
            self._exchange.attempts.settle(outcome)

    def _refuse(self, error):
        if self._gone:
            return
        metrics.REFUSALS.labels(error.refusal).inc()
        if self._headers_written:
            # The caller must see that the answer is not complete.
            self.request.connection.stream.close()
            return
        entry = refusal.refusals_by_code[error.refusal]
        self.clear()
        self.set_status(entry.status)
        self.set_header(ID_HEADER, self._callers_id)
        self.set_header(CODE_HEADER, entry.code)
        self.set_header(OUTCOME_HEADER, entry.outcome)
        self.finish(
            {
                "request_id": self._callers_id,
                "code": entry.code,
                "outcome": entry.outcome,
                "message": str(error),
            }
        )

    def on_finish(self):
        """Forget the request."""
        self._gateway.running_by_id.pop(self.request_id, None)
        self._settle(balancing.CANCELLED)

    def on_connection_close(self):
        """Cancel the request when the caller has gone."""
        if not self._gone and not self._finished:
            self._gone = True
            metrics.REQUESTS_CANCELLED.inc()
        self._gateway.running_by_id.pop(self.request_id, None)
        if self._opening is not None:
            self._opening.cancel()
        if self._exchange is not None:
            self._exchange.frames.close()
            self._settle(balancing.CANCELLED)


def _has_closed(caller):
    """Whether the other end of a socket has closed it."""
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _timeout_ms(text, default_s):
    if text is None:
        return int(default_s * 1000)
    if not text.isdecimal() or not 0 < int(text) <= 3_600_000:
        raise exceptions.Refused(
            "bad_request", "%s must be 1 to 3600000" % TIMEOUT_HEADER
        )
    return int(text)


def _key(text):
    visible = all("!" <= letter <= "~" for letter in text)
    if len(text) > defaults.MAX_IDEMPOTENCY_KEY_CHARS or not visible:
        raise exceptions.Refused(
            "bad_request",
            "%s must be 1 to %d visible ASCII characters"
            % (KEY_HEADER, defaults.MAX_IDEMPOTENCY_KEY_CHARS),
        )
    return text
