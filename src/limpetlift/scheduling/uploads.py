"""Admission of uploads to the link of a balancer.

Load that it answers: several callers begin to upload at once through a
balancer with a small link. The fabric chooses the balancer of a flow, so the
balancer can only choose when an upload begins. All segments in flight wait in
the queue of its link. When the queue takes longer than the callers'
retransmission interval, they repeat segments that are not lost, which fills
the link further and delays all other callers of the balancer.
"""

import collections

import attrs

from limpetlift import defaults
from limpetlift import structs

_MEGABIT_BYTES = 1_000_000 / 8


def concurrent_uploads(link_mbps):
    """Return how many uploads may use a link at a time, at least 1.

    :param link_mbps: bandwidth of the link in Mbit/s.
    """
    queue_bytes = link_mbps * _MEGABIT_BYTES * defaults.UPLOAD_LINK_QUEUE_S
    return max(int(queue_bytes / defaults.UPLOAD_WINDOW_BYTES), 1)


@structs.define
class HeldUpload:
    """An upload whose first segment waits for the link.

    :param segment: the last copy of its first segment.
    :param flow: what the balancer knows of the flow.
    :param release_at: when it is released in any case.
    :param copies: numbers of the copies of its first segment that came here.
    """

    segment: object
    flow: object
    release_at: float
    copies: set = attrs.field(factory=set)


@structs.define
class UploadAdmission:
    """Decides when the uploads of one balancer begin.

    They begin in the order of their arrival. One whose caller began its try
    :data:`~limpetlift.defaults.MAX_UPLOAD_HOLD_S` ago begins in any case,
    because the caller gives up the try otherwise.

    Methods take ``now`` in seconds (monotonic).

    :param limit: number of uploads that may use the link at a time; None for
        no limit.

    .. versionadded:: 0.3
    """

    limit: object = None
    # When each upload that uses the link counts as ended unless another
    # segment of it arrives.
    _idle_at_by_key: dict = attrs.field(factory=dict)
    # The first one has waited longest.
    _held_by_key: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )

    @property
    def active_count(self):
        """Number of uploads that use the link."""
        return len(self._idle_at_by_key)

    @property
    def held_count(self):
        """Number of uploads that wait for the link."""
        return len(self._held_by_key)

    def begin(self, now, segment, flow):
        """Handle the first segment of an upload.

        :returns: whether it begins now; otherwise it is held until
            :meth:`pop_released` returns it.
        """
        if self.limit is None or segment.key in self._idle_at_by_key:
            return True
        if not self._held_by_key and self.active_count < self.limit:
            self._start(now, segment.key)
            return True
        delay_s = defaults.COPY_DELAYS_S[
            min(segment.ack, defaults.LAST_COPY_NUMBER)
        ]
        self._held_by_key[segment.key] = HeldUpload(
            segment,
            flow,
            now + defaults.MAX_UPLOAD_HOLD_S - delay_s,
            {segment.ack},
        )
        return False

    def add_copy(self, segment):
        """Keep the newest copy of the first segment of a held upload.

        :returns: whether the upload is held.
        """
        held = self._held_by_key.get(segment.key)
        if held is not None:
            held.segment = segment
            held.copies.add(segment.ack)
        return held is not None

    def on_segment(self, now, segment):
        """Record that a segment of an upload uses the link."""
        if not segment.opens_flow:
            # The flow was placed elsewhere, or its caller has given up.
            self._held_by_key.pop(segment.key, None)
        if segment.key not in self._idle_at_by_key:
            return
        if segment.is_final or segment.is_reset:
            self.end(segment.key)
        else:
            self._start(now, segment.key)

    def end(self, key):
        """End an upload, or stop holding it."""
        self._idle_at_by_key.pop(key, None)
        self._held_by_key.pop(key, None)

    def pop_released(self, now):
        """Remove and return the held uploads that begin now."""
        for key, idle_at in list(self._idle_at_by_key.items()):
            if idle_at <= now:
                del self._idle_at_by_key[key]
        released = []
        for held in list(self._held_by_key.values()):
            if self.active_count >= self.limit and held.release_at > now:
                continue
            del self._held_by_key[held.segment.key]
            self._start(now, held.segment.key)
            released.append(held)
        return released

    def _start(self, now, key):
        self._idle_at_by_key[key] = now + defaults.UPLOAD_IDLE_S
