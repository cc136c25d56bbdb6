"""Which balancers of a data centre are in rotation, by their capacities.

The network fabric gives every ready balancer of a data centre the same share
of the flows. This module addresses the load that a small balancer gets that
way: at a peak of uploads its link loses segments, or its processor falls
behind. Balancers outside of the rotation report not ready.

Every balancer decides for itself from the entries of its data centre in the
store. Nothing is negotiated, and no message is sent.
"""

import math

import attrs

from limpetlift.coordination import revisions
from limpetlift import defaults
from limpetlift import structs


def positive_number(value, highest):
    """Return a capacity that is given as a number or a text.

    :param value: anything.
    :param highest: largest valid value.
    :returns: the number as a float, or None when the value is none.
    """
    if isinstance(value, bool):
        return None
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return None
    return number if defaults.MIN_CAPACITY <= number <= highest else None


@structs.frozen
class Capacity:
    """What an instance can bear.

    :param link_mbps: speed of its link in Mbit/s, or None when unknown.
    :param cores: processor time per second, in cores, or None when unknown.
    """

    link_mbps: object = None
    cores: object = None

    def encode(self):
        """Return the known fields as a dictionary for JSON."""
        fields = {"link_mbps": self.link_mbps, "cores": self.cores}
        return {
            name: value for name, value in fields.items() if value is not None
        }


def decode_capacity(fields):
    """Return the :class:`Capacity` of a directory entry, or None.

    An invalid capacity counts as unknown, because the rest of the entry is
    needed all the same.

    :param fields: the result of :meth:`Capacity.encode`, read from JSON.
    """
    if not isinstance(fields, dict):
        return None
    link_mbps = cores = None
    if "link_mbps" in fields:
        link_mbps = positive_number(
            fields["link_mbps"], defaults.MAX_LINK_MBPS
        )
    if "cores" in fields:
        cores = positive_number(fields["cores"], defaults.MAX_CORES)
    if link_mbps is None and cores is None:
        return None
    return Capacity(link_mbps, cores)


def relative_capacities(capacities):
    """Return each balancer's capacity relative to the largest one.

    The smaller of link and processor counts, each relative to the largest of
    the data centre: whichever is used up first loses segments, and uploads
    use the link while short requests use the processor. A resource that no
    balancer states is left out.

    :param capacities: a :class:`Capacity` or None for each balancer.
    :returns: a list of numbers from 0 to 1, or None when a balancer does not
        state a resource that another one states.
    """
    if None in capacities:
        return None
    smallest = [1.0] * len(capacities)
    for name in ("link_mbps", "cores"):
        values = [getattr(capacity, name) for capacity in capacities]
        unknown = values.count(None)
        if unknown == len(values):
            continue
        if unknown:
            return None
        largest = max(values)
        smallest = [
            min(known, value / largest)
            for known, value in zip(smallest, values)
        ]
    return smallest


@structs.frozen
class Choice:
    """The members of a rotation.

    :param member_ids: frozenset of the ids of the members, or None when all
        balancers are members.
    :param reason: why; ``smaller`` when some are left out, or else
        ``unknown_capacity``, ``too_few_listed`` or ``no_gain``.
    :param gain: capacity of the best rotation, in relation to that of all
        balancers; 0 when it was not computed.
    """

    member_ids: object
    reason: str
    gain: float = 0.0


def choose(capacities_by_id, known_count):
    """Return the :class:`Choice` for the balancers of one data centre.

    As each member gets the same share, a rotation of k members bears k times
    what its smallest member bears.

    :param capacities_by_id: a :class:`Capacity` or None by the id of each
        listed balancer that is not about to leave.
    :param known_count: number of balancers that the fabric may count,
        including those that are not listed now. It uses all of them when
        fewer than half are ready, so a smaller rotation has no effect.
    """
    listed_count = len(capacities_by_id)
    least = max(math.ceil(known_count / 2), 1)
    if listed_count < least:
        return Choice(None, "too_few_listed")
    relative = relative_capacities(list(capacities_by_id.values()))
    if relative is None:
        return Choice(None, "unknown_capacity")
    ordered = sorted(zip(relative, capacities_by_id), reverse=True)
    borne_by_all = listed_count * ordered[-1][0]
    # On equal capacity the larger rotation is preferred. A rotation that
    # ends between equal members is never the best one.
    borne, count = max(
        (count * ordered[count - 1][0], count)
        for count in range(least, listed_count + 1)
    )
    gain = borne / borne_by_all
    if gain < defaults.ROTATION_MIN_GAIN:
        return Choice(None, "no_gain", gain)
    return Choice(
        frozenset(process_id for _, process_id in ordered[:count]),
        "smaller",
        gain,
    )


@structs.frozen
class Change:
    """A change of what a balancer does about the rotation.

    :param event: ``rotation_joined``, ``rotation_left`` or
        ``rotation_leaving``; the last one is sent when the balancer is not a
        member any more and will leave after a time.
    :param fields: the inputs of the decision, for logs.
    """

    event: str
    fields: dict


@structs.define
class Rotation:
    """Whether one balancer is in the rotation of its data centre.

    A balancer is in rotation until it has seen the directory. The first
    decision is in force at once: before it the balancer was not ready, so no
    flow moves. Later it joins at once and leaves only after it has not been a
    member for some time, because the fabric moves nearly all flows when the
    number of ready balancers changes.

    :param process_id: id of this balancer.
    :param data_centre: name of its data centre.
    :param capacity: its own :class:`Capacity`, or None when unknown.
    """

    process_id: str
    data_centre: str
    capacity: object = None
    is_in: bool = True
    choice: Choice = attrs.field(default=Choice(None, "no_directory"))
    _known_until_by_id: dict = attrs.field(factory=dict)
    _listed: dict = attrs.field(factory=dict)
    # Of the newest entry, for logs.
    _revision: object = 0
    _decided_at: object = None
    _excluded_since: object = None

    def on_entries(self, now, entries):
        """Decide by the directory's entries.

        :param now: monotonic time in seconds.
        :param entries: all balancers'
            :class:`~limpetlift.coordination.directory.ProcessEntry`.
        :returns: a list of :class:`Change`.
        """
        known_until = now + defaults.ROTATION_MEMORY_S
        known_count = len(self._known_until_by_id)
        self._known_until_by_id[self.process_id] = known_until
        former, self._listed = self._listed, {self.process_id: self.capacity}
        self._revision = 0
        for entry in entries:
            if entry.data_centre != self.data_centre:
                continue
            self._known_until_by_id[entry.process_id] = known_until
            if revisions.is_later_write(entry.revision, self._revision):
                self._revision = entry.revision
            if not entry.is_leaving and entry.process_id != self.process_id:
                self._listed[entry.process_id] = entry.capacity
        if (
            self._listed == former
            and len(self._known_until_by_id) == known_count
        ):
            return []
        return self._decide(now)

    def on_pause(self, now):
        """Count the time to leaving anew; the entries may be out of date."""
        if self._excluded_since is not None:
            self._excluded_since = now

    def tick(self, now, is_store_reachable):
        """Leave the rotation when it is time.

        The last decision stays in force while the store does not answer.

        :returns: a list of :class:`Change`.
        """
        if self._decided_at is None:
            return []
        if not is_store_reachable:
            self.on_pause(now)
            return []
        if min(self._known_until_by_id.values()) <= now:
            for process_id in list(self._known_until_by_id):
                if process_id in self._listed:
                    # Listed as long as no change of its entry is reported.
                    self._known_until_by_id[process_id] = (
                        now + defaults.ROTATION_MEMORY_S
                    )
                elif self._known_until_by_id[process_id] <= now:
                    del self._known_until_by_id[process_id]
            return self._decide(now)
        return self._leave_if_due(now)

    def _decide(self, now):
        is_first = self._decided_at is None
        if is_first:
            self._decided_at = now
        self.choice = choose(self._listed, len(self._known_until_by_id))
        member_ids = self.choice.member_ids
        if member_ids is None or self.process_id in member_ids:
            self._excluded_since = None
            if self.is_in:
                return []
            self.is_in = True
            return [self._change(now, "rotation_joined")]
        if not self.is_in:
            return []
        if is_first:
            self.is_in = False
            return [self._change(now, "rotation_left")]
        if self._excluded_since is None:
            self._excluded_since = now
            return [self._change(now, "rotation_leaving")]
        return []

    def _leave_if_due(self, now):
        if self._excluded_since is None:
            return []
        is_starting = now < self._decided_at + defaults.ROTATION_START_S
        hold_s = (
            defaults.ROTATION_START_HOLD_S
            if is_starting
            else defaults.ROTATION_HOLD_S
        )
        if now < self._excluded_since + hold_s:
            return []
        change = self._change(now, "rotation_left")
        self.is_in = False
        self._excluded_since = None
        return [change]

    def _change(self, now, event):
        excluded_since = self._excluded_since
        return Change(
            event,
            {
                "reason": self.choice.reason,
                "members": self.member_count,
                "listed": len(self._listed),
                "known": len(self._known_until_by_id),
                "gain": round(self.choice.gain, 2),
                "excluded_s": (
                    0.0
                    if excluded_since is None
                    else round(now - excluded_since, 1)
                ),
                "link_mbps": self.capacity and self.capacity.link_mbps,
                "cores": self.capacity and self.capacity.cores,
                "revision": self._revision,
            },
        )

    @property
    def member_count(self):
        """Number of balancers in the rotation that was chosen last."""
        member_ids = self.choice.member_ids
        return len(self._listed if member_ids is None else member_ids)
