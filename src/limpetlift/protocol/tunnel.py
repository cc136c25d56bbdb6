"""Messages between the balancers and agents that forward segments.

They are packed structures rather than thrift messages, because one is decoded
for every packet of a flow, and encoding and decoding with the compact thrift
codec costs more than forwarding the packet.
"""

import socket
import struct

from limpetlift import exceptions
from limpetlift import registry
from limpetlift import structs

# First byte of each message; to be raised when the format changes.
_VERSION = 2

_KEY_BYTES = 12

# Longest wait that a message can permit; a longer one is sent as this.
MAX_WAIT_MS = 0xFFFF

# In place of a number of flows: there is no limit.
NO_LIMIT = 0xFFFF

# In place of the id of a service that the sender does not know. No agent
# accepts a new flow of it.
NO_SERVICE = bytes(8)

decoders_by_kind = {}

FORWARD = 1
LOCATE_REQUEST = 2
HELLO = 3
LOAD_REPORT = 4
OWNED = 5
DECLINED = 6
UNKNOWN_FLOW = 7
FLOW_RECORDS_REQUEST = 9
NOT_HELD = 10
AGENT_LEFT = 11
LOCATE_REPLY = 12
TENTATIVE_FORWARD = 13
STORE_CHANGES = 14
RECORDS_QUERY = 15
# 8 and 16 were records without a service. Processes of the version that sent
# them go on forwarding for those of this one during an upgrade.
FLOW_RECORDS = 17
KEPT_RECORDS = 18
UNLISTED_AGENTS_REQUEST = 19
UNLISTED_AGENTS = 20
# STORE_CHANGES with the era of the store.
ERA_CHANGES = 21

# Verdicts of an agent on a flow that a balancer searches for: whether its
# backend server holds the flow.
HELD = 1
ABSENT = 2
# Not known; a TentativeForward with a segment of the flow finds out.
UNSURE = 3
# Not known, because the agent has just started and has no report of its
# server yet.
STARTING = 4
_VERDICTS = frozenset((HELD, ABSENT, UNSURE, STARTING))

# Reasons why an agent declines a new flow; the index is the code on the wire.
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
    "paused",
    "server_unverified",
)
_CODE_BY_REASON = {reason: code for code, reason in enumerate(REASONS)}

_HEADER = struct.Struct("!BB")
_FORWARD = struct.Struct("!BBH8s")
_FORWARD_BODY = struct.Struct("!H8s")
_LOAD_REPORT = struct.Struct("!QIBBHHHH8s")
_LOAD_EXTENSION = struct.Struct("!HB")
_HELLO_PACE = struct.Struct("!Qf")
_RECORD = struct.Struct("!12s4sHB8s")
_KEY = struct.Struct("!12s")
_AGENT_LEFT = struct.Struct("!Q")
_QUERY = struct.Struct("!12sI")
_VERDICT = struct.Struct("!12sB")
_STORE_CHANGES = struct.Struct("!BQQ")
_ERA = struct.Struct("!Q")
# Flags of a load report.
_ACCEPTING = 1
_RECOVERING = 2
# Whether the sender is complete, and the number of agents.
_UNLISTED_AGENTS = struct.Struct("!BH")
# Revision, length of the key and length of the value.
_CHANGE = struct.Struct("!QBH")
_MAX_KEY_BYTES = 0xFF
_MAX_DATAGRAM_BYTES = 0xFFFF
# In place of the length of a value: the key was removed.
_REMOVED = 0xFFFF
# Bytes of a query and its verdict.
QUERY_BYTES = _QUERY.size + _VERDICT.size
# So many records or queries fit in one datagram of 1,400 bytes.
RECORDS_PER_MESSAGE = 50
QUERIES_PER_MESSAGE = 80
# The same for changes of the store; see :attr:`KeyChange.size`.
MAX_CHANGES_BYTES = 1_300


@structs.frozen
class Forward:
    """A segment that a balancer forwards to the agent of its flow.

    :param service: :func:`~limpetlift.protocol.hashing.service_id` of the
        service that the flow was routed to, or :data:`NO_SERVICE`. An agent
        of another service declines a new flow; its address may have belonged
        to an agent of this service before.
    :param data: the segment's datagram.
    :param wait_ms: the agent declines a new flow whose request would wait
        longer than this; 0 for no limit.
    """

    service: bytes
    data: bytes
    wait_ms: int = 0

    def encode(self):
        """Return the datagram."""
        return _FORWARD.pack(_VERSION, FORWARD, self.wait_ms, self.service) + (
            self.data
        )


@structs.frozen
class Query:
    """A flow that a balancer searches for.

    :param key: flow key.
    :param ack: last acknowledgement of the caller.
    """

    key: bytes
    ack: int


@structs.frozen
class LocateRequest:
    """Request of a balancer that asks an agent whether it has some flows.

    :param queries: at most :data:`QUERIES_PER_MESSAGE` :class:`Query`.
    """

    queries: list

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, LOCATE_REQUEST) + b"".join(
            _QUERY.pack(query.key, query.ack) for query in self.queries
        )


@structs.frozen
class LocateReply:
    """Reply of an agent to a :class:`LocateRequest`.

    :param verdicts: ``(flow key, verdict)`` for each query; the verdict is
        :data:`HELD`, :data:`ABSENT`, :data:`UNSURE` or :data:`STARTING`.
    """

    verdicts: list

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, LOCATE_REPLY) + b"".join(
            _VERDICT.pack(key, verdict) for key, verdict in self.verdicts
        )


@structs.frozen
class TentativeForward:
    """A segment of a flow that the agent's backend server may hold.

    A balancer sends it after the verdict :data:`UNSURE`. The agent replies
    with :class:`Owned` or :class:`NotHeld`.

    :param data: the segment's datagram.
    """

    data: bytes

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, TENTATIVE_FORWARD) + self.data


@structs.frozen
class Hello:
    """Question of a balancer for an agent's load.

    The agent answers with a :class:`LoadReport` at once.

    :param is_listed: whether the balancer finds the agent's entry in the
        store.
    :param config_version: version of the configuration that
        ``warmup_per_s`` comes from; 0 when the message does not contain them.
    :param warmup_per_s: new requests per second that the agent's backend
        server bears right after its start; 0 when that is not configured.
    """

    is_listed: bool = True
    config_version: int = 0
    warmup_per_s: float = 0.0

    def encode(self):
        """Return the datagram."""
        data = _HEADER.pack(_VERSION, HELLO) + bytes((self.is_listed,))
        if self.config_version:
            data += _HELLO_PACE.pack(self.config_version, self.warmup_per_s)
        return data


@structs.frozen
class LoadReport:
    """Load of an agent, by which balancers place new flows.

    :param incarnation: start time of the agent in Unix milliseconds.
    :param number: sequence number of the report within the incarnation.
    :param accepting: whether the agent accepts new flows.
    :param is_warming: whether its backend server is still slow after a start.
    :param slots: number of requests that the backend server runs at a time.
    :param busy: number of flows whose caller waits for a response.
    :param flows: number of open flows.
    :param run_ms: mean time that the server takes for a request that does not
        have to wait for a slot; 0 when it is not known.
    :param service: :func:`~limpetlift.protocol.hashing.service_id` of the
        agent's service.
    :param is_recovering: whether the agent accepts no flows now, but most
        likely will before callers have sent all copies of a first segment.
    :param room: number of new flows that the agent accepts now under the pace
        of its backend server; :data:`NO_LIMIT` without one.
    :param failure_share: share of the recent requests that the server did not
        answer properly, from 0 to 255.

    The last two are only sent when they say something: processes of earlier
    versions reject reports that contain them.
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
    is_recovering: bool = False
    room: int = NO_LIMIT
    failure_share: int = 0

    def encode(self):
        """Return the datagram."""
        data = _HEADER.pack(_VERSION, LOAD_REPORT) + _LOAD_REPORT.pack(
            self.incarnation,
            self.number,
            _ACCEPTING * self.accepting | _RECOVERING * self.is_recovering,
            self.is_warming,
            min(self.slots, 0xFFFF),
            min(self.busy, 0xFFFF),
            min(self.flows, 0xFFFF),
            min(self.run_ms, 0xFFFF),
            self.service,
        )
        if self.room != NO_LIMIT or self.failure_share:
            data += _LOAD_EXTENSION.pack(
                min(self.room, NO_LIMIT), self.failure_share
            )
        return data


@structs.frozen
class Owned:
    """Message of an agent that its backend server holds a flow.

    :param key: flow key.
    """

    key: bytes

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, OWNED) + self.key


@structs.frozen
class NotHeld:
    """Message of an agent that its backend server does not hold a flow.

    This is certain: the agent knows every flow of the server, or the server
    has returned a segment of the flow.

    :param key: flow key.
    """

    key: bytes

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, NOT_HELD) + self.key


@structs.frozen
class Declined:
    """The first segment of a new flow that an agent declines.

    The balancer may forward it to another agent.

    :param reason: one of :data:`REASONS`.
    :param data: the segment's datagram.
    """

    reason: str
    data: bytes

    def encode(self):
        """Return the datagram."""
        code = _CODE_BY_REASON[self.reason]
        return _HEADER.pack(_VERSION, DECLINED) + bytes((code,)) + self.data


@structs.frozen
class UnknownFlow:
    """A segment that an agent returns because it does not know the flow.

    :param data: the segment's datagram.
    """

    data: bytes

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, UNKNOWN_FLOW) + self.data


@structs.frozen
class FlowRecord:
    """Location of a flow.

    :param key: flow key.
    :param address: ``(ip, port)`` of its agent.
    :param is_placed: whether a balancer has just placed the flow there.
        Otherwise the agent has confirmed that it owns the flow, and the
        record takes precedence.
    :param service: id of the service that the flow was routed to, or
        :data:`NO_SERVICE` when no balancer that placed it has told.
    """

    key: bytes
    address: tuple
    is_placed: bool = False
    service: bytes = NO_SERVICE


@structs.frozen
class FlowRecords:
    """Locations of flows, sent to the balancers that keep them.

    :param records: at most :data:`RECORDS_PER_MESSAGE` :class:`FlowRecord`.
    """

    records: list

    def encode(self):
        """Return the datagram."""
        return _encode_records(FLOW_RECORDS, self.records)


@structs.frozen
class RecordsQuery:
    """Query of a balancer for flows that it does not know.

    The receiver answers with the :class:`KeptRecords` that it has, if any.

    :param keys: flow keys.
    """

    keys: list

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, RECORDS_QUERY) + b"".join(self.keys)


@structs.frozen
class KeptRecords:
    """Answer to a :class:`RecordsQuery`.

    It may be older than what the asking balancer has learned meanwhile.

    :param records: at most :data:`RECORDS_PER_MESSAGE` :class:`FlowRecord`.
    """

    records: list

    def encode(self):
        """Return the datagram."""
        return _encode_records(KEPT_RECORDS, self.records)


@structs.frozen
class FlowRecordsRequest:
    """Request of a balancer for the flow records that it has to keep.

    It sends the request to each balancer that it has not known before.
    """

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, FLOW_RECORDS_REQUEST)


@structs.frozen
class AgentLeft:
    """Message of an agent that stops after its backend server has ended.

    The server holds no flow any more.

    :param incarnation: start time of the agent in Unix milliseconds, as in its
        load reports; 0 from an agent of an earlier version.
    """

    incarnation: int = 0

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, AGENT_LEFT) + _AGENT_LEFT.pack(
            self.incarnation
        )


@structs.frozen
class KeyChange:
    """A change of one key of the store.

    :param key: the key.
    :param value: its new value as bytes, or None when it was removed.
    :param revision: the store's revision of the change.
    """

    key: str
    value: object
    revision: int

    @property
    def size(self):
        """Number of bytes that it takes in :class:`StoreChanges`.

        A change whose key cannot be encoded is larger than any message.
        Others may write keys of any length, and JSON can hold surrogates.
        """
        try:
            key = self.key.encode("utf-8")
        except UnicodeEncodeError:
            return _MAX_DATAGRAM_BYTES
        if len(key) > _MAX_KEY_BYTES:
            return _MAX_DATAGRAM_BYTES
        return _CHANGE.size + len(key) + len(self.value or b"")

    def encode(self):
        """Return the bytes of this change."""
        key = self.key.encode("utf-8")
        value = b"" if self.value is None else self.value
        length = _REMOVED if self.value is None else len(value)
        return _CHANGE.pack(self.revision, len(key), length) + key + value


@structs.frozen
class StoreChanges:
    """Changes of the store that a balancer has read for others.

    All changes under the topic's prefix after ``after`` and up to
    ``revision`` are in ``changes``.

    :param topic: number of the prefix; balancers of one version agree on it.
    :param after: a revision of the store.
    :param revision: a later or the same revision of the store.
    :param changes: list of :class:`KeyChange`, the oldest first.
    :param era: the store's era that all these revisions belong to.

    Without an era it is the message of earlier versions. With one it has a
    kind that these versions reject, because they would compare revisions of
    different eras; they then read the store themselves.
    """

    topic: int
    after: int
    revision: int
    changes: list
    era: int = 0

    def encode(self):
        """Return the datagram."""
        head = _HEADER.pack(_VERSION, STORE_CHANGES)
        if self.era:
            head = _HEADER.pack(_VERSION, ERA_CHANGES) + _ERA.pack(self.era)
        return (
            head
            + _STORE_CHANGES.pack(self.topic, self.after, self.revision)
            + b"".join(change.encode() for change in self.changes)
        )


@structs.frozen
class UnlistedAgentsRequest:
    """Request of a balancer that starts for the :class:`UnlistedAgents`."""

    def encode(self):
        """Return the datagram."""
        return _HEADER.pack(_VERSION, UNLISTED_AGENTS_REQUEST)


@structs.frozen
class UnlistedAgents:
    """Agents that a balancer keeps although the store lacks their entries.

    :param is_complete: whether the balancer has learned those that others
        keep; False when it has just started itself.
    :param total: number of the agents in this message and the others of the
        same answer.
    :param agents: list of :class:`KeyChange` with the entries.
    """

    is_complete: bool
    total: int
    agents: list

    def encode(self):
        """Return the datagram."""
        return (
            _HEADER.pack(_VERSION, UNLISTED_AGENTS)
            + _UNLISTED_AGENTS.pack(self.is_complete, min(self.total, 0xFFFF))
            + b"".join(change.encode() for change in self.agents)
        )


def _encode_records(kind, records):
    """Return the datagram of a message that consists of flow records."""
    return _HEADER.pack(_VERSION, kind) + b"".join(
        _RECORD.pack(
            record.key,
            socket.inet_aton(record.address[0]),
            record.address[1],
            record.is_placed,
            record.service,
        )
        for record in records
    )


def in_batches(items, size):
    """Return the items split into lists of at most ``size`` items."""
    return [
        items[start : start + size] for start in range(0, len(items), size)
    ]


def decode(data):
    """Return the message in a datagram.

    :raises MalformedMessage: when it is malformed, or has another version or
        an unknown kind.
    """
    if len(data) < _HEADER.size or data[0] != _VERSION:
        raise exceptions.MalformedMessage(
            "not a message of version %d: begins with %r"
            % (_VERSION, data[: _HEADER.size])
        )
    decoder = decoders_by_kind.get(data[1])
    if decoder is None:
        raise exceptions.MalformedMessage(
            "unknown kind of message: %d" % data[1]
        )
    try:
        return decoder(data[_HEADER.size :])
    except (struct.error, IndexError) as error:
        raise exceptions.MalformedMessage(str(error)) from None


@registry.register(decoders_by_kind, FORWARD)
def _decode_forward(body):
    wait_ms, service = _FORWARD_BODY.unpack_from(body)
    return Forward(service, body[_FORWARD_BODY.size :], wait_ms)


@registry.register(decoders_by_kind, LOCATE_REQUEST)
def _decode_locate_request(body):
    return LocateRequest(
        [Query(*fields) for fields in _QUERY.iter_unpack(body)]
    )


@registry.register(decoders_by_kind, LOCATE_REPLY)
def _decode_locate_reply(body):
    verdicts = list(_VERDICT.iter_unpack(body))
    for _, verdict in verdicts:
        if verdict not in _VERDICTS:
            raise exceptions.MalformedMessage("unknown verdict %d" % verdict)
    return LocateReply(verdicts)


@registry.register(decoders_by_kind, TENTATIVE_FORWARD)
def _decode_tentative_forward(body):
    return TentativeForward(body)


@registry.register(decoders_by_kind, HELLO)
def _decode_hello(body):
    if len(body) == 1:
        return Hello(bool(body[0]))
    config_version, warmup_per_s = _HELLO_PACE.unpack_from(body, 1)
    if not 0 <= warmup_per_s < float("inf"):
        raise exceptions.MalformedMessage(
            "invalid number of requests per second: %r" % warmup_per_s
        )
    return Hello(bool(body[0]), config_version, warmup_per_s)


@registry.register(decoders_by_kind, LOAD_REPORT)
def _decode_load_report(body):
    incarnation, number, flags, warming, *rest = _LOAD_REPORT.unpack_from(body)
    room, failure_share = NO_LIMIT, 0
    if len(body) > _LOAD_REPORT.size:
        room, failure_share = _LOAD_EXTENSION.unpack_from(
            body, _LOAD_REPORT.size
        )
    return LoadReport(
        incarnation,
        number,
        bool(flags & _ACCEPTING),
        bool(warming),
        *rest,
        is_recovering=bool(flags & _RECOVERING),
        room=room,
        failure_share=failure_share,
    )


@registry.register(decoders_by_kind, OWNED)
def _decode_owned(body):
    return Owned(_check_key(body))


@registry.register(decoders_by_kind, NOT_HELD)
def _decode_not_held(body):
    return NotHeld(_check_key(body))


def _check_key(body):
    """Return the flow key that makes up the whole body of a message."""
    if len(body) != _KEY_BYTES:
        raise exceptions.MalformedMessage(
            "flow key of %d bytes, expected %d" % (len(body), _KEY_BYTES)
        )
    return body


@registry.register(decoders_by_kind, DECLINED)
def _decode_declined(body):
    return Declined(REASONS[body[0]], body[1:])


@registry.register(decoders_by_kind, UNKNOWN_FLOW)
def _decode_unknown_flow(body):
    return UnknownFlow(body)


@registry.register(decoders_by_kind, FLOW_RECORDS)
def _decode_flow_records(body):
    return FlowRecords(_decode_records(body))


@registry.register(decoders_by_kind, KEPT_RECORDS)
def _decode_kept_records(body):
    return KeptRecords(_decode_records(body))


def _decode_records(body):
    return [
        FlowRecord(key, (socket.inet_ntoa(ip), port), bool(is_placed), service)
        for key, ip, port, is_placed, service in _RECORD.iter_unpack(body)
    ]


@registry.register(decoders_by_kind, RECORDS_QUERY)
def _decode_records_query(body):
    return RecordsQuery([key for (key,) in _KEY.iter_unpack(body)])


@registry.register(decoders_by_kind, FLOW_RECORDS_REQUEST)
def _decode_flow_records_request(_body):
    return FlowRecordsRequest()


@registry.register(decoders_by_kind, STORE_CHANGES)
def _decode_store_changes(body):
    topic, after, revision = _STORE_CHANGES.unpack_from(body)
    changes = _decode_changes(body, _STORE_CHANGES.size)
    return StoreChanges(topic, after, revision, changes)


@registry.register(decoders_by_kind, ERA_CHANGES)
def _decode_era_changes(body):
    (era,) = _ERA.unpack_from(body)
    if not era:
        raise exceptions.MalformedMessage("changes of an era without a number")
    message = _decode_store_changes(body[_ERA.size :])
    return StoreChanges(
        message.topic, message.after, message.revision, message.changes, era
    )


@registry.register(decoders_by_kind, UNLISTED_AGENTS_REQUEST)
def _decode_unlisted_agents_request(_body):
    return UnlistedAgentsRequest()


@registry.register(decoders_by_kind, UNLISTED_AGENTS)
def _decode_unlisted_agents(body):
    is_complete, total = _UNLISTED_AGENTS.unpack_from(body)
    agents = _decode_changes(body, _UNLISTED_AGENTS.size)
    if any(change.value is None for change in agents):
        raise exceptions.MalformedMessage("an agent has no entry")
    return UnlistedAgents(bool(is_complete), total, agents)


def _decode_changes(body, position):
    """Return the changes from a position of a message's body to its end."""
    changes = []
    while position < len(body):
        changed_at, key_length, length = _CHANGE.unpack_from(body, position)
        position += _CHANGE.size
        key = _slice(body, position, key_length)
        position += key_length
        try:
            key = key.decode("utf-8")
        except UnicodeDecodeError as error:
            raise exceptions.MalformedMessage(str(error)) from None
        value = None
        if length != _REMOVED:
            value = _slice(body, position, length)
            position += length
        changes.append(KeyChange(key, value, changed_at))
    return changes


def _slice(body, start, length):
    """Return ``length`` bytes of a message's body, which must have them."""
    if start + length > len(body):
        raise exceptions.MalformedMessage(
            "message ends %d bytes early" % (start + length - len(body))
        )
    return body[start : start + length]


@registry.register(decoders_by_kind, AGENT_LEFT)
def _decode_agent_left(body):
    if not body:
        return AgentLeft()
    return AgentLeft(*_AGENT_LEFT.unpack_from(body))
