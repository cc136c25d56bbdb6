"""Table of the flows that a backend server holds.

The table counts flows when they change, so that a load report, a new flow or
a tick takes the same time whatever the number of flows.
"""

import heapq
import itertools

import attrs

from limpetlift import defaults
from limpetlift.protocol import segment as segments
from limpetlift import structs

_SEQUENCE_MASK = 0xFFFFFFFF
# Beyond the payload, the first and the last segment have a number each.
_NUMBERS_BESIDES_PAYLOAD = 2
# The counts of a flow that is not in the table.
_UNCOUNTED = (False, False, False)


def _is_after(sequence, other):
    """Whether ``sequence`` follows ``other``; sequence numbers wrap."""
    return 0 < (sequence - other) & _SEQUENCE_MASK < 1 << 31


@structs.define
class Flow:
    """A flow of the backend server.

    :param key: key of the flow.
    :param balancer: address of the balancer that sent the flow's last
        segment; empty when no balancer has sent one yet.
    :param created_at: when this agent learned of the flow.
    :param last_segment_at: time of the last segment in either direction.
    :param first_segment: the first datagram that came for the flow; empty
        once the server has answered.
    :param answer_due_at: when the server must have answered
        ``first_segment``. A tentative flow that misses it counts as
        unanswered once.
    :param is_tentative: whether it is unknown if the server holds the flow.
    :param searched_by: addresses of the balancers that search for the flow
        and await the result.
    :param server_initial_sequence: the server's first sequence number, or a
        lower bound when the agent has not seen it; None before any answer.
    :param server_next_sequence: the sequence number after the server's last
        byte so far, or None before any answer.
    :param is_accepted: whether the agent forwarded its first segment to the
        server.
    :param is_known_from_start: whether this agent has seen every segment that
        the server sent of the flow.
    :param caller_initial_sequence: sequence number of the caller's first
        segment, or None when the agent has not seen it.
    :param caller_next_sequence: the sequence number after the caller's last
        byte so far, or None before any payload.
    :param has_gap: whether a part of the caller's request came out of order,
        so that an earlier one may be missing.
    :param caller_ack: the caller's last acknowledgement number.
    :param last_caller_segment: the caller's last datagram that did not open
        the flow; empty when there was none.
    :param is_awaiting_answer: whether the caller waits for an answer.
    :param requested_at: when the last part of the caller's request came.
    :param run_started_at: when the server was free to run the request, or
        None when other requests were ahead of it.
    :param turn: the :class:`~limpetlift.scheduling.pacing.Turn` of the
        request, when its last part came.
    :param verdict_due_at: when the answer to its request is overdue; None
        when no request is to be judged.
    :param caller_finished: whether the caller has sent its last segment.
    :param server_finished: whether the server has sent its last segment.
    :param closed_at: when both ends had finished, or None.
    :param counted: whether the :class:`FlowTable` has counted the flow as
        open, as awaiting an answer, and as one whose caller waits.
    """

    key: object
    balancer: tuple
    created_at: float
    last_segment_at: float = attrs.field(init=False)
    first_segment: bytes = b""
    answer_due_at: float = 0.0
    is_tentative: bool = False
    searched_by: set = attrs.field(factory=set)
    server_initial_sequence: object = None
    server_next_sequence: object = None
    is_accepted: bool = False
    is_known_from_start: bool = False
    caller_initial_sequence: object = None
    caller_next_sequence: object = None
    has_gap: bool = False
    caller_ack: int = 0
    last_caller_segment: bytes = b""
    is_awaiting_answer: bool = False
    requested_at: float = 0.0
    run_started_at: object = None
    turn: object = None
    verdict_due_at: object = None
    caller_finished: bool = False
    server_finished: bool = False
    closed_at: object = None
    counted: tuple = _UNCOUNTED

    def __attrs_post_init__(self):
        self.last_segment_at = self.created_at

    @property
    def is_open(self):
        """Whether the flow is neither tentative nor closed."""
        return self.closed_at is None and not self.is_tentative

    @property
    def is_undecided(self):
        """Whether nothing shows that the server holds or does not hold it.

        The server may hold a flow whose first segment it has not answered
        here: the segment may be a late copy, and an earlier agent may have
        forwarded the first one.
        """
        return self.is_tentative or (
            self.server_initial_sequence is None
            and not self.is_known_from_start
        )

    @property
    def is_caller_waiting(self):
        """Whether the flow is open and its caller waits for an answer.

        That includes callers whose first segment is unanswered.
        """
        return self.is_open and (
            self.is_awaiting_answer or bool(self.first_segment)
        )

    def is_held(self, ack):
        """Whether ``ack`` acknowledges the server's segments of the flow.

        Two servers may have answered copies of the same first segment, and
        the caller continues with only one of them.
        """
        initial = self.server_initial_sequence
        if initial is None:
            return False
        if not self.is_known_from_start:
            return segments.is_acknowledged(ack, initial)
        sent = (self.server_next_sequence - initial) & _SEQUENCE_MASK
        return (ack - initial) & _SEQUENCE_MASK <= (
            sent + _NUMBERS_BESIDES_PAYLOAD
        )

    def is_continued_by(self, segment):
        """Whether a segment shows that the server of this flow still runs.

        Another server at its address does not hold the flow, and returns or
        resets what comes for it.
        """
        if (
            not self.is_known_from_start
            or self.server_initial_sequence is None
            or segment.is_syn
            or segment.is_reset
        ):
            return False
        behind = (
            self.server_next_sequence - segment.sequence
        ) & _SEQUENCE_MASK
        sent = (
            self.server_next_sequence - self.server_initial_sequence
        ) & _SEQUENCE_MASK
        return behind <= sent

    def belongs_to_other_server(self, segment):
        """Whether a caller's segment continues a flow of another server.

        The caller acknowledges only what it received, and everything that the
        server sent went through this agent. A segment that acknowledges
        anything else must not reach the server: another server has opened
        the flow, for example while this agent was paused.
        """
        return (
            self.is_known_from_start
            and not segment.is_syn
            and not segment.is_reset
            and not self.is_held(segment.ack)
        )

    @property
    def _first_payload_sequence(self):
        """Sequence number of the caller's first byte; None when unknown."""
        if self.caller_initial_sequence is None:
            return None
        return self.caller_initial_sequence + 1 & _SEQUENCE_MASK

    def advance_caller(self, segment):
        """Record a caller's segment with payload.

        :returns: whether the payload is new.
        """
        end = segment.sequence + segment.length & _SEQUENCE_MASK
        known_end = self.caller_next_sequence
        if known_end is not None and not _is_after(end, known_end):
            return False
        if known_end is None:
            known_end = self._first_payload_sequence
        self.has_gap = segment.sequence != known_end or (
            self.has_gap and self.is_awaiting_answer
        )
        self.caller_next_sequence = end
        return True

    def advance_server(self, segment):
        """Record the sequence numbers of a segment that the server sent.

        :returns: whether it is the first one of the flow.
        """
        end = segment.sequence + segment.length & _SEQUENCE_MASK
        if segment.is_syn and self.server_initial_sequence not in (
            None,
            segment.sequence,
        ):
            # A server that was started again took a copy of the first segment.
            self.server_initial_sequence = segment.sequence
            self.server_next_sequence = end
        if self.server_next_sequence is None or _is_after(
            end, self.server_next_sequence
        ):
            self.server_next_sequence = end
        if self.server_initial_sequence is not None:
            return False
        self.server_initial_sequence = segment.sequence
        if not segment.is_syn:
            # This is not the server's first segment of the flow, and the
            # caller may still acknowledge earlier ones.
            self.server_initial_sequence -= defaults.MAX_UNACKNOWLEDGED_BYTES
        return True

    def close_if_finished(self, now):
        """Close the flow when both ends have finished."""
        if (
            self.caller_finished
            and self.server_finished
            and self.closed_at is None
        ):
            self.closed_at = now
            self.is_awaiting_answer = False


@structs.define
class FlowTable:
    """The flows of one backend server and their counts.

    :param by_key: the :class:`Flow` of each key. Flows are added and removed
        with the methods only.
    :param open_count: number of open flows.
    :param awaiting_count: number of flows whose request is unanswered.
    :param waiting_count: number of open flows whose caller waits for an
        answer to a request or to its first segment.

    .. versionadded:: 0.2
    """

    by_key: dict = attrs.field(factory=dict)
    open_count: int = 0
    awaiting_count: int = 0
    waiting_count: int = 0
    # ``(answer_due_at, sequence, flow)`` as a heap; a flow that was answered,
    # removed or given more time is dealt with when its turn comes.
    _due: list = attrs.field(factory=list)
    _sequence: object = attrs.field(factory=itertools.count)

    def add(self, flow):
        """Add a flow, in place of another one with its key."""
        self.remove(flow.key)
        self.by_key[flow.key] = flow
        self.update(flow)
        if flow.first_segment:
            self._push(flow)

    def remove(self, key):
        """Remove the flow with this key, if there is one."""
        flow = self.by_key.pop(key, None)
        if flow is not None:
            self._count(flow, _UNCOUNTED)

    def clear(self):
        """Remove all flows."""
        self.by_key.clear()
        self._due.clear()
        self.open_count = self.awaiting_count = self.waiting_count = 0

    def update(self, flow):
        """Count a flow again after it has changed.

        A flow that was removed meanwhile is ignored.
        """
        if self.by_key.get(flow.key) is flow:
            self._count(
                flow,
                (
                    flow.is_open,
                    flow.is_awaiting_answer,
                    flow.is_caller_waiting,
                ),
            )

    def _count(self, flow, counted):
        known = flow.counted
        if counted == known:
            return
        flow.counted = counted
        self.open_count += counted[0] - known[0]
        self.awaiting_count += counted[1] - known[1]
        self.waiting_count += counted[2] - known[2]

    def extend_answer_times(self, answer_due_at):
        """Give the server until ``answer_due_at`` for every first segment."""
        for flow in self.by_key.values():
            if flow.first_segment:
                flow.answer_due_at = max(flow.answer_due_at, answer_due_at)

    def pop_overdue(self, now):
        """Return the flows whose first segment the server did not answer.

        Each flow is returned once.
        """
        overdue = []
        while self._due and self._due[0][0] <= now:
            _, _, flow = heapq.heappop(self._due)
            if self.by_key.get(flow.key) is not flow or not flow.first_segment:
                continue
            if flow.answer_due_at > now:
                self._push(flow)
                continue
            overdue.append(flow)
        return overdue

    def _push(self, flow):
        heapq.heappush(
            self._due, (flow.answer_due_at, next(self._sequence), flow)
        )
