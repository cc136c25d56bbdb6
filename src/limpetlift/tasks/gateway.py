"""Requests at a balancer: HTTP/1.1 with callers, frames with agents."""

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

_CONNECT_TIMEOUT_S = 1.0
# An agent refuses a request at its deadline; the balancer waits this much
# longer for the refusal.
_REFUSAL_GRACE_S = 0.1
# While a request waits for admission, its caller's connection is checked at
# this interval.
_CALLER_CHECK_INTERVAL_S = 0.05
_MAX_REQUEST_ID_CHARS = 64

KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "Idempotency-Attempt"
ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
CLASS_HEADER = "X-Work-Class"
CODE_HEADER = "X-Refusal-Code"
OUTCOME_HEADER = "X-Request-Outcome"
REPLAYED_HEADER = "Idempotent-Replayed"


class Gateway:
    """HTTP servers at the addresses of the services.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param bind_ip: used instead of the IPs of the services if not empty.
    :param tables_by_name: :class:`limpetlift.state.servicetable.ServiceTable`
        objects by service name, kept up to date by the caller.

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
        """Open and close servers so that they match ``services``.

        :param services: :class:`limpetlift.state.config.Service` objects.
        """
        services_by_name = {service.name: service for service in services}
        for name in set(self._servers_by_name) - set(services_by_name):
            self._servers_by_name.pop(name)[1].stop()
            self._dispatch_by_name.pop(name, None)
        for name, service in services_by_name.items():
            self._update_retry_budget(name)
            address, server = self._servers_by_name.get(name, ("", None))
            if address == service.address:
                continue
            if server is not None:
                server.stop()
            self._servers_by_name[name] = (
                service.address,
                self._listen(service),
            )

    def _update_retry_budget(self, name):
        """Apply the retry settings of a service to its budget."""
        service_dispatch = self._dispatch_by_name.get(name)
        table = self.tables_by_name.get(name)
        if service_dispatch is not None and table is not None:
            service_dispatch.budget.tokens_per_request = (
                table.service.retry_tokens_per_request
            )
            service_dispatch.budget.capacity = table.service.retry_tokens_max

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
        """Offer a request to agents until one of them admits it.

        :param start: thrift ``RequestStart``; its timeout and ``movable`` are
            set for each attempt.
        :param deadline: monotonic time.
        :returns: the :class:`limpetlift.protocol.exchange.Exchange`, after
            its ``Admit`` was received.
        :raises Refused: when no agent admits the request before the deadline.
        """
        attempts = dispatch.Attempts(
            self._get_or_create_dispatch(start.service_name),
            start.idempotency_key,
        )
        error = exceptions.Refused("no_target")
        while True:
            members = self._find_members(start.service_name)
            member = attempts.next_member(members)
            if member is None:
                raise error
            start.movable = attempts.movable
            try:
                exchange = await self._try_member(start, member, deadline)
            except exceptions.Refused as refused:
                error = refused
            except BaseException:
                attempts.record_outcome(balancing.CANCELLED)
                raise
            else:
                attempts.on_admitted()
                exchange.attempts = attempts
                return exchange
            next_attempt_at = attempts.next_attempt_at(error, members)
            if next_attempt_at is None or next_attempt_at >= deadline:
                raise error
            await asyncio.sleep(next_attempt_at - time.monotonic())

    def _get_or_create_dispatch(self, name):
        service_dispatch = self._dispatch_by_name.get(name)
        if service_dispatch is None:
            service_dispatch = self._dispatch_by_name[name] = (
                dispatch.Dispatch()
            )
            self._update_retry_budget(name)
        return service_dispatch

    def _find_members(self, name):
        table = self.tables_by_name.get(name)
        if table is None:
            raise exceptions.Refused("unknown_service")
        return [member for member in table.members if member.accepts_new_work]

    async def _try_member(self, start, member, deadline):
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise exceptions.Refused("deadline_passed")
        try:
            frames = await self._connect(
                member, min(remaining_s, _CONNECT_TIMEOUT_S)
            )
        except exceptions.TransportError as error:
            raise exceptions.Refused("connect_failed", str(error)) from error
        exchange = exchanges.Exchange(frames, start.request_id)
        start.timeout_ms = int(remaining_s * 1000)
        try:
            await exchanges.write_frame(frames, self._node.seal_frame(start))
            async with asyncio.timeout(remaining_s + _REFUSAL_GRACE_S):
                await exchange.receive("Admit")
        except (exceptions.PeerClosed, TimeoutError) as error:
            # The body was not sent, so the request has not run.
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
        idle_connections = self._idle_by_endpoint.get(member.endpoint, [])
        while idle_connections:
            frames = idle_connections.pop()
            if not frames.closed:
                return frames
        return await stream.connect(*member.endpoint, timeout_s)

    def release(self, member, frames):
        """Make a connection available to the next request at ``member``.

        :param member: record of the agent.
        :param frames: its connection, with no request in progress.
        """
        if not frames.closed:
            self._idle_by_endpoint.setdefault(member.endpoint, []).append(
                frames
            )

    def stop_listening(self):
        """Stop accepting connections."""
        for _address, server in self._servers_by_name.values():
            server.stop()

    def stop_requests(self):
        """Abort all running requests."""
        for handler in list(self.running_by_id.values()):
            handler.stop()

    def close(self):
        """Close the servers and the idle connections."""
        self.stop_listening()
        for idle_connections in self._idle_by_endpoint.values():
            for frames in idle_connections:
                frames.close()


@web.stream_request_body
class RequestHandler(web.RequestHandler):
    """Passes one request of a caller to an agent and relays the response."""

    def initialize(self, gateway, name):
        """Set the initial state.

        :param gateway: the :class:`Gateway`.
        :param name: name of the service.
        """
        self._gateway = gateway
        self._service_name = name
        self._exchange = None
        self._admission_task = None
        self._caller_gone = False
        self._is_stopped = False
        self._sent_bytes = 0
        # Frames carry this id instead of the caller's, because two callers
        # may choose the same one.
        self.request_id = str(uuid.uuid4())
        self._caller_request_id = self.request.headers.get(
            ID_HEADER, self.request_id
        )[:_MAX_REQUEST_ID_CHARS]

    async def prepare(self):
        """Wait until an agent admits the request, before its body is read."""
        try:
            start, deadline = self._build_request_start()
            self._request_start = start
            self._deadline = deadline
            self._gateway.running_by_id[self.request_id] = self
            self._admission_task = asyncio.ensure_future(
                self._gateway.open_exchange(start, deadline)
            )
            self._exchange = await self._wait_for_admission()
            self._admitted_at = time.monotonic()
        except exceptions.Refused as error:
            self._refuse(error)
        except asyncio.CancelledError as error:
            if self._is_stopped:
                self._refuse(exceptions.Refused("stopping"))
                return
            # The caller has closed the connection, so the response is lost.
            self.on_connection_close()
            raise web.HTTPError(499) from error

    def stop(self):
        """Abort the request; its caller gets a refusal.

        Before its admission, the request has not run, and the refusal says
        so. Afterwards, the connection to the agent is closed, and the outcome
        is reported as unknown.
        """
        self._is_stopped = True
        if self._exchange is not None:
            self._exchange.frames.close()
        elif self._admission_task is not None:
            self._admission_task.cancel()

    async def _wait_for_admission(self):
        """Wait for admission; cancel it if the caller disconnects.

        The connection is checked explicitly, because its stream is not read
        while the request waits, and thus does not detect its end.
        """
        caller_socket = self.request.connection.stream.socket
        while True:
            done, _ = await asyncio.wait(
                [self._admission_task], timeout=_CALLER_CHECK_INTERVAL_S
            )
            if done:
                return await self._admission_task
            if _is_closed_by_peer(caller_socket):
                self._admission_task.cancel()

    def _build_request_start(self):
        table = self._gateway.tables_by_name.get(self._service_name)
        if table is None:
            raise exceptions.Refused("unknown_service")
        headers = self.request.headers
        timeout_ms = _parse_timeout_ms(
            headers.get(TIMEOUT_HEADER), table.service.request_timeout_s
        )
        start = messages.structs.RequestStart(
            request_id=self.request_id,
            service_name=self._service_name,
            method=self.request.method,
            path=self.request.uri,
            headers=requestpath.exchange_headers(backend.end_to_end(headers)),
            timeout_ms=timeout_ms,
            idempotency_key=_parse_key(headers.get(KEY_HEADER, "")),
            first_attempt=headers.get(ATTEMPT_HEADER) == "1",
            work_class=headers.get(CLASS_HEADER, ""),
            content_length=int(headers.get("Content-Length", 0)),
        )
        self._max_request_bytes = table.service.max_request_bytes
        if start.content_length > self._max_request_bytes:
            raise exceptions.Refused("too_large")
        return start, time.monotonic() + timeout_ms / 1000

    async def data_received(self, chunk):
        """Send a part of the body to the agent."""
        if self._finished:
            return
        self._sent_bytes += len(chunk)
        if self._sent_bytes > self._max_request_bytes:
            # The length was not announced, so a part was already sent.
            self._exchange.frames.close()
            self._record_outcome(balancing.CANCELLED)
            self._refuse(exceptions.Refused("outcome_unknown", "too large"))
            return
        try:
            await self._exchange.send("BodyChunk", data=chunk)
        except exceptions.PeerClosed as error:
            self._record_outcome(balancing.FAILED)
            self._refuse(exceptions.Refused("outcome_unknown", str(error)))

    async def _respond(self):
        if self._finished:
            return
        exchange = self._exchange
        try:
            async with asyncio.timeout(self._deadline - time.monotonic()):
                await exchange.send("BodyEnd", total=self._sent_bytes)
                await self._relay_response(exchange)
        except exceptions.Refused as error:
            # The connection is not used again: the agent may not have read the
            # whole body and would read the rest as the next request.
            exchange.frames.close()
            has_agent_failed = error.refusal in ("cut", "backend_down")
            self._record_outcome(
                balancing.FAILED if has_agent_failed else balancing.CANCELLED
            )
            self._refuse(error)
        except TimeoutError:
            exchange.frames.close()
            self._refuse(exceptions.Refused("timeout"))
        except exceptions.ProtocolError as error:
            exchange.frames.close()
            self._record_outcome(balancing.FAILED)
            self._refuse(exceptions.Refused("cut", str(error)))
        except iostream.StreamClosedError:
            exchange.frames.close()

    get = post = put = delete = patch = head = options = _respond

    async def _relay_response(self, exchange):
        start = await exchange.receive("ResponseStart")
        if start.replayed:
            self.set_header(REPLAYED_HEADER, "true")
        self.set_status(start.status, start.reason)
        for name in ("Content-Type", "Date", "Server"):
            self.clear_header(name)
        for header in start.headers:
            self.add_header(header.name, header.value)
        self.set_header(ID_HEADER, self._caller_request_id)
        received_bytes = 0
        while True:
            message = await exchange.receive("BodyChunk", "BodyEnd")
            if type(message).__name__ == "BodyEnd":
                break
            received_bytes += len(message.data)
            self.write(message.data)
            await self.flush()
        if message.total != received_bytes:
            raise exceptions.MalformedMessage(
                "length of the response body differs from the total of BodyEnd"
            )
        self._gateway.release(exchange.member, exchange.frames)
        self._record_outcome(balancing.OK)
        recorder = self._gateway.recorder
        if recorder is not None:
            recorder.on_response(
                self._request_start, self._admitted_at, self._deadline
            )
        self._exchange = None
        await self.finish()

    def _record_outcome(self, outcome):
        """Report the outcome of the request to the choice of agents."""
        if self._exchange is not None:
            self._exchange.attempts.record_outcome(outcome)

    def _refuse(self, error):
        if self._caller_gone:
            return
        metrics.REFUSALS.labels(error.refusal).inc()
        if self._headers_written:
            # Closing the connection shows the caller that the response is
            # incomplete.
            self.request.connection.stream.close()
            return
        entry = refusal.refusals_by_code[error.refusal]
        self.clear()
        self.set_status(entry.status)
        self.set_header(ID_HEADER, self._caller_request_id)
        self.set_header(CODE_HEADER, entry.code)
        self.set_header(OUTCOME_HEADER, entry.outcome)
        self.finish(
            {
                "request_id": self._caller_request_id,
                "code": entry.code,
                "outcome": entry.outcome,
                "message": str(error),
            }
        )

    def on_finish(self):
        """Remove the request from the running ones."""
        self._gateway.running_by_id.pop(self.request_id, None)
        self._record_outcome(balancing.CANCELLED)

    def on_connection_close(self):
        """Cancel the request, because its caller has disconnected."""
        if not self._caller_gone and not self._finished:
            self._caller_gone = True
            metrics.REQUESTS_CANCELLED.inc()
        self._gateway.running_by_id.pop(self.request_id, None)
        if self._admission_task is not None:
            self._admission_task.cancel()
        if self._exchange is not None:
            self._exchange.frames.close()
            self._record_outcome(balancing.CANCELLED)


def _is_closed_by_peer(caller_socket):
    """Return whether the caller has closed its end of the connection."""
    try:
        return not caller_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _parse_timeout_ms(text, default_s):
    if text is None:
        return int(default_s * 1000)
    if not text.isdecimal() or not 0 < int(text) <= 3_600_000:
        raise exceptions.Refused(
            "bad_request",
            "%s must be 1 to 3600000" % TIMEOUT_HEADER,
        )
    return int(text)


def _parse_key(text):
    is_visible = all("!" <= char <= "~" for char in text)
    if len(text) > defaults.MAX_IDEMPOTENCY_KEY_CHARS or not is_visible:
        raise exceptions.Refused(
            "bad_request",
            "%s must be 1 to %d visible ASCII characters"
            % (KEY_HEADER, defaults.MAX_IDEMPOTENCY_KEY_CHARS),
        )
    return text
