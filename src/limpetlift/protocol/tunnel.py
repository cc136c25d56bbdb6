"""Messages between balancers and agents that carry segments.

They are fixed structures rather than thrift: one is decoded for every packet
of a flow, and a round trip of the compact codec costs more than forwarding.
"""

import socket
import struct

import attrs

from limpetlift import exceptions
from limpetlift import registry

# First byte of each message; it changes with the format.
_VERSION = 1

_KEY_BYTES = 12

decoders_by_kind = {}

FORWARD = 1
LOCATE = 2
HELLO = 3
LOAD = 4
OWNED = 5
DECLINED = 6
UNKNOWN = 7
FLOWS = 8
FLOWS_WANTED = 9
NOT_HERE = 10
LEFT = 11
LOCATED = 12
TRY = 13

# What an agent says of a flow that a balancer searches for.
HELD = 1
ABSENT = 2
# Its server may hold the flow and is to be tried with a segment.
UNSURE = 3
# It has just started and has not heard its server yet.
STARTING = 4
_VERDICTS = frozenset((HELD, ABSENT, UNSURE, STARTING))

# Codes on the wire of the reasons why an agent declines a new flow.
REASONS = (
    "draining",
    "server_unknown",
    "server_refused",
    "server_silent",
    "stopping",
    "other_service",
    "too_many_flows",
    "server_gone",
    "busy",
)
_CODE_BY_REASON = {reason: code for code, reason in enumerate(REASONS)}

_HEAD = struct.Struct("!BB")
_FORWARD = struct.Struct("!BBH8s")
_FORWARD_BODY = struct.Struct("!H8s")
_LOAD = struct.Struct("!QIBBHHHH8s")
_RECORD = struct.Struct("!12s4sHB")
_QUERY = struct.Struct("!12sI")
_VERDICT = struct.Struct("!12sB")
# Entries in one message of flows: it fits in one datagram of 1,400 bytes.
RECORDS_PER_MESSAGE = 70
# The same of a search.
QUERIES_PER_MESSAGE = 80


@attrs.frozen
class Forward:
    """A balancer hands a segment to the agent of its flow.

    :param service: :func:`service_id` of the service that the route names;
        it tells an agent whose address was another service's before.
    :param wait_ms: a new flow is declined when its request would wait longer
        than this; 0 for any wait.
    """

    service: bytes
    data: bytes
    wait_ms: int = 0

    def encode(self):
        """Return the datagram."""
        return _FORWARD.pack(_VERSION, FORWARD, self.wait_ms, self.service) + (
            self.data
        )


@attrs.frozen
class Query:
    """A flow that a balancer searches for.

    :param key: flow key.
    :param ack: what its caller acknowledged last.
    """

    key: bytes
    ack: int


@attrs.frozen
class LocateRequest:
    """A balancer asks an agent which of some flows it has.

    :param queries: at most :data:`QUERIES_PER_MESSAGE` :class:`Query`.
    """

    queries: list

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, LOCATE) + b"".join(
            _QUERY.pack(query.key, query.ack) for query in self.queries
        )


@attrs.frozen
class LocateReply:
    """An agent answers a search.

    :param verdicts: ``(flow key, verdict)`` for each query; the verdict is
        :data:`HELD`, :data:`ABSENT`, :data:`UNSURE` or :data:`STARTING`.
    """

    verdicts: list

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, LOCATED) + b"".join(
            _VERDICT.pack(key, verdict) for key, verdict in self.verdicts
        )


@attrs.frozen
class TentativeForward:
    """A balancer hands over a segment of a flow that the server may hold."""

    data: bytes

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, TRY) + self.data


@attrs.frozen
class Hello:
    """A balancer asks an agent for reports of its load.

    :param is_listed: whether the balancer finds the agent in the store.
    :param is_near: whether the balancer is in the agent's data centre.
    """

    is_listed: bool = True
    is_near: bool = True

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, HELLO) + bytes(
            (self.is_listed, self.is_near)
        )


@attrs.frozen
class LoadReport:
    """An agent's load, as balancers place new flows by it.

    :param incarnation: start time of the agent in milliseconds.
    :param number: rises with each report of the incarnation.
    :param accepting: whether the agent takes new flows.
    :param is_warming: whether its backend server has just started.
    :param slots: requests that the backend server runs at a time.
    :param busy: flows whose caller waits for an answer.
    :param flows: open flows.
    :param run_ms: mean time in which the server answers a request that it
        can run at once; 0 when it is not known.
    :param service: :func:`service_id` of its service.
    """

    incarnation: int
    number: int
    accepting: bool
    is_warming: bool
    slots: int
    busy: int
    flows: int
    run_ms: int
    service: bytes

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, LOAD) + _LOAD.pack(
            self.incarnation,
            self.number,
            self.accepting,
            self.is_warming,
            min(self.slots, 0xFFFF),
            min(self.busy, 0xFFFF),
            min(self.flows, 0xFFFF),
            min(self.run_ms, 0xFFFF),
            self.service,
        )


@attrs.frozen
class Owned:
    """An agent answers that a flow is its own.

    :param key: flow key.
    """

    key: bytes

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, OWNED) + self.key


@attrs.frozen
class NotHeld:
    """An agent answers that its backend server does not hold a flow.

    It is certain: the agent has seen every flow of the server, or the server
    has returned a segment of the flow.

    :param key: flow key.
    """

    key: bytes

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, NOT_HERE) + self.key


@attrs.frozen
class Declined:
    """An agent hands back the first segment of a flow.

    :param reason: one of :data:`REASONS`.
    """

    reason: str
    data: bytes

    def encode(self):
        """Return the datagram."""
        code = _CODE_BY_REASON[self.reason]
        return _HEAD.pack(_VERSION, DECLINED) + bytes((code,)) + self.data


@attrs.frozen
class UnknownFlow:
    """An agent hands back a segment of a flow that it does not have."""

    data: bytes

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, UNKNOWN) + self.data


@attrs.frozen
class FlowRecord:
    """Where a flow is.

    :param key: flow key.
    :param address: ``(ip, port)`` of its agent.
    :param is_placed: whether a balancer placed it just now; otherwise the
        agent said that it owns the flow, which goes first.
    """

    key: bytes
    address: tuple
    is_placed: bool = False


@attrs.frozen
class FlowRecords:
    """A balancer tells the others of its data centre where flows are.

    :param records: at most :data:`RECORDS_PER_MESSAGE` :class:`FlowRecord`.
    """

    records: list

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, FLOWS) + b"".join(
            _RECORD.pack(
                record.key,
                socket.inet_aton(record.address[0]),
                record.address[1],
                record.is_placed,
            )
            for record in self.records
        )


@attrs.frozen
class FlowRecordsRequest:
    """A balancer that has just started asks for all flows of another one."""

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, FLOWS_WANTED)


@attrs.frozen
class AgentLeft:
    """An agent ends after its backend server, which holds no flow any more."""

    def encode(self):
        """Return the datagram."""
        return _HEAD.pack(_VERSION, LEFT)


def in_batches(items, size):
    """Return the items in lists of at most ``size``, one for a message."""
    return [
        items[start : start + size] for start in range(0, len(items), size)
    ]


def decode(data):
    """Return the message in a datagram.

    :raises MalformedMessage: when it is none of this version.
    """
    if len(data) < _HEAD.size or data[0] != _VERSION:
        raise exceptions.MalformedMessage("no message of this version")
    decoder = decoders_by_kind.get(data[1])
    if decoder is None:
        raise exceptions.MalformedMessage("unknown kind")
    try:
        return decoder(data[_HEAD.size :])
    except (struct.error, IndexError) as error:
        raise exceptions.MalformedMessage(str(error)) from None


@registry.register(decoders_by_kind, FORWARD)
def _decode_forward(body):
    wait_ms, service = _FORWARD_BODY.unpack_from(body)
    return Forward(service, body[_FORWARD_BODY.size :], wait_ms)


@registry.register(decoders_by_kind, LOCATE)
def _decode_locate(body):
    return LocateRequest(
        [Query(*fields) for fields in _QUERY.iter_unpack(body)]
    )


@registry.register(decoders_by_kind, LOCATED)
def _decode_located(body):
    verdicts = list(_VERDICT.iter_unpack(body))
    for _, verdict in verdicts:
        if verdict not in _VERDICTS:
            raise exceptions.MalformedMessage("unknown verdict %d" % verdict)
    return LocateReply(verdicts)


@registry.register(decoders_by_kind, TRY)
def _decode_try(body):
    return TentativeForward(body)


@registry.register(decoders_by_kind, HELLO)
def _decode_hello(body):
    return Hello(bool(body[0]), bool(body[1]))


@registry.register(decoders_by_kind, LOAD)
def _decode_load(body):
    incarnation, number, accepting, warming, *rest = _LOAD.unpack(body)
    return LoadReport(
        incarnation, number, bool(accepting), bool(warming), *rest
    )


@registry.register(decoders_by_kind, OWNED)
def _decode_owned(body):
    return Owned(_checked_key(body))


@registry.register(decoders_by_kind, NOT_HERE)
def _decode_not_here(body):
    return NotHeld(_checked_key(body))


def _checked_key(body):
    if len(body) != _KEY_BYTES:
        raise exceptions.MalformedMessage("wrong length")
    return body


@registry.register(decoders_by_kind, DECLINED)
def _decode_declined(body):
    return Declined(REASONS[body[0]], body[1:])


@registry.register(decoders_by_kind, UNKNOWN)
def _decode_unknown(body):
    return UnknownFlow(body)


@registry.register(decoders_by_kind, FLOWS)
def _decode_flows(body):
    return FlowRecords(
        [
            FlowRecord(key, (socket.inet_ntoa(ip), port), bool(is_placed))
            for key, ip, port, is_placed in _RECORD.iter_unpack(body)
        ]
    )


@registry.register(decoders_by_kind, FLOWS_WANTED)
def _decode_flows_wanted(_body):
    return FlowRecordsRequest()


@registry.register(decoders_by_kind, LEFT)
def _decode_left(_body):
    return AgentLeft()
