"""The agreed member set of a service, as the store keeps it.

A roster lists the agents whose votes decide about idempotency keys. Every
change makes a new epoch. A roster carries the earlier generations whose votes
a member must still learn before it may vote in the new epoch.
"""

import json

import attrs

from limpetlift import defaults
from limpetlift import exceptions

_MAX_INCARNATION = 1 << 42
_MAX_EPOCH = 1 << 53
_MAX_MEMBERS = 1024
_MAX_ID_LENGTH = 128
_HISTORY_DECODED = 2 * defaults.MAX_ROSTER_HISTORY


@attrs.frozen
class Generation:
    """The members of one epoch.

    :param epoch: number of the epoch, from 1.
    :param incarnations_by_id: agent id -> incarnation.
    """

    epoch: int
    incarnations_by_id: dict

    @property
    def majority(self):
        """Votes that win a claim."""
        return len(self.incarnations_by_id) // 2 + 1

    @property
    def read_quorum(self):
        """Members of which every winning majority contains at least one."""
        return len(self.incarnations_by_id) + 1 - self.majority

    @property
    def members(self):
        """The members as a set of ``(agent id, incarnation)``."""
        return set(self.incarnations_by_id.items())


@attrs.frozen
class Roster:
    """A roster as stored under ``rosters/<service>``.

    :param current: the generation that votes; epoch 0 means no roster yet.
    :param history: earlier generations that are not settled, oldest first.
    :param ended_by_id: agent id -> highest incarnation that has ended for
        certain, for the agents of ``history``.

    .. versionadded:: 0.1
    """

    current: Generation = attrs.field(factory=lambda: Generation(0, {}))
    history: tuple = ()
    ended_by_id: dict = attrs.field(factory=dict)

    @property
    def epoch(self):
        """Number of the current epoch."""
        return self.current.epoch

    def contains(self, agent_id, incarnation):
        """Whether this incarnation of the agent is a member."""
        return self.current.incarnations_by_id.get(agent_id) == incarnation

    def has_ended(self, agent_id, incarnation):
        """Whether this incarnation of the agent can never act again."""
        return incarnation <= self.ended_by_id.get(agent_id, -1)


def add(roster, agent_id, incarnation, settled=0):
    """Return the roster with the agent as a member.

    An earlier incarnation of the same agent is replaced and counts as ended:
    an agent starts only after its predecessor has released its port.

    :param settled: see :func:`_next`.
    :raises StateError: when a later incarnation is known.
    """
    if roster.contains(agent_id, incarnation):
        return roster
    known = roster.current.incarnations_by_id.get(agent_id, -1)
    if incarnation < known or roster.has_ended(agent_id, incarnation):
        raise exceptions.StateError(
            "a later incarnation of %s is known" % agent_id
        )
    members = dict(roster.current.incarnations_by_id)
    members[agent_id] = incarnation
    ended = dict(roster.ended_by_id)
    ended[agent_id] = max(ended.get(agent_id, -1), incarnation - 1)
    return _next(roster, members, ended, settled)


def leave(roster, agent_id, incarnation, settled=0):
    """Return the roster without an agent that removes itself.

    The agent must have stopped voting and claiming before the write, because
    the write declares this incarnation ended.
    """
    if not roster.contains(agent_id, incarnation):
        return roster
    return forget(roster, {agent_id: incarnation}, settled)


def forget(roster, incarnations_by_id, settled=0):
    """Return the roster without agents that have ended for certain.

    :param incarnations_by_id: agents that will never act again, because they
        say so themselves or because an operator has checked that their
        instances are gone.
    """
    members = dict(roster.current.incarnations_by_id)
    ended = dict(roster.ended_by_id)
    for agent_id, incarnation in incarnations_by_id.items():
        if members.get(agent_id, incarnation + 1) <= incarnation:
            del members[agent_id]
        ended[agent_id] = max(ended.get(agent_id, -1), incarnation)
    return _next(roster, members, ended, settled)


def remove(roster, agent_ids, settled=0):
    """Return the roster without agents that are silent.

    A removed agent may be paused only; it does not count as ended and may
    join again with the same incarnation.
    """
    members = {
        agent_id: incarnation
        for agent_id, incarnation in roster.current.incarnations_by_id.items()
        if agent_id not in agent_ids
    }
    if len(members) == len(roster.current.incarnations_by_id):
        return roster
    return _next(roster, members, dict(roster.ended_by_id), settled)


def silent_members(roster, silence_s_by_id):
    """Return the ids that a member may remove, or an empty set.

    Nobody is removed when the others are too few to learn the votes of this
    epoch: the remaining roster could never vote, and the silent members may
    be the larger side of a partition.

    :param silence_s_by_id: seconds since each agent was heard; an agent that
        is missing here was heard just now.
    """
    members = roster.current.incarnations_by_id
    limit = defaults.ROSTER_REMOVE_AFTER_S
    dead = [
        agent_id
        for agent_id in members
        if silence_s_by_id.get(agent_id, 0.0) >= defaults.DEAD_AFTER_S
    ]
    # Without a majority no key is granted, so waiting longer helps nobody.
    if len(members) - len(dead) < roster.current.majority:
        limit = defaults.DEAD_AFTER_S
    silent = {
        agent_id
        for agent_id in members
        if silence_s_by_id.get(agent_id, 0.0) >= limit
    }
    if len(members) - len(silent) < roster.current.read_quorum:
        return set()
    return silent


def _next(roster, members, ended, settled):
    """Return the next epoch.

    :param settled: an epoch for which the writer knows that a majority of
        its members is synced; older generations are then left out. 0 when
        the writer knows none.
    """
    history = roster.history
    if roster.epoch:
        history += (roster.current,)
    if any(generation.epoch == settled for generation in history):
        history = tuple(g for g in history if g.epoch >= settled)
    history = _without_lost(history, ended)
    if len(history) > defaults.MAX_ROSTER_HISTORY:
        raise exceptions.StateError(
            "%d generations are not settled yet" % len(history)
        )
    named = {
        agent_id
        for generation in (*history, Generation(0, members))
        for agent_id in generation.incarnations_by_id
    }
    return Roster(
        Generation(roster.epoch + 1, members),
        history,
        {key: value for key, value in ended.items() if key in named},
    )


def _without_lost(history, ended):
    """Merge neighbours whose votes nobody can read any more.

    Only time makes up for such a generation, so the later of two neighbours
    stands for both. This keeps the history short while the only member of a
    service restarts again and again.
    """
    kept = []
    for generation in history:
        if kept and _is_lost(kept[-1], ended) and _is_lost(generation, ended):
            kept.pop()
        kept.append(generation)
    return tuple(kept)


def _is_lost(generation, ended):
    count = sum(
        incarnation <= ended.get(agent_id, -1)
        for agent_id, incarnation in generation.incarnations_by_id.items()
    )
    alive = len(generation.incarnations_by_id) - count
    return alive < generation.read_quorum <= count


def encode(roster):
    """Return the roster as JSON bytes."""
    content = {
        "epoch": roster.epoch,
        "members": roster.current.incarnations_by_id,
        "history": [
            {"epoch": g.epoch, "members": g.incarnations_by_id}
            for g in roster.history
        ],
        "ended": roster.ended_by_id,
    }
    return json.dumps(content, sort_keys=True, separators=(",", ":")).encode(
        "utf-8"
    )


def decode(data):
    """Return the :class:`Roster` in ``data``.

    :raises StateError: when the data is not a roster.
    """
    try:
        content = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise exceptions.StateError("roster is not JSON") from error
    _require(isinstance(content, dict), "an object")
    history = content.get("history")
    _require(
        isinstance(history, list) and len(history) <= _HISTORY_DECODED,
        "a list of generations",
    )
    generations = [_generation(entry) for entry in (*history, content)]
    epochs = [generation.epoch for generation in generations]
    _require(
        all(one < two for one, two in zip(epochs, epochs[1:])),
        "growing epochs",
    )
    return Roster(
        generations[-1],
        tuple(generations[:-1]),
        _incarnations(content.get("ended")),
    )


def _require(condition, expected):
    if not condition:
        raise exceptions.StateError("roster: expected %s" % expected)


def _is_count(value, maximum):
    return type(value) is int and 0 <= value <= maximum


def _generation(entry):
    _require(isinstance(entry, dict), "an object")
    epoch = entry.get("epoch")
    _require(_is_count(epoch, _MAX_EPOCH) and epoch > 0, "an epoch")
    return Generation(epoch, _incarnations(entry.get("members")))


def _incarnations(entry):
    _require(
        isinstance(entry, dict) and len(entry) <= _MAX_MEMBERS,
        "incarnations by agent id",
    )
    for agent_id, incarnation in entry.items():
        _require(0 < len(agent_id) <= _MAX_ID_LENGTH, "an agent id")
        _require(_is_count(incarnation, _MAX_INCARNATION), "an incarnation")
    return dict(entry)
