"""Rosters: the voting members of a service, as kept in the store.

A roster lists the agents that vote on claims of idempotency keys. Each change
of the members starts a new epoch. A roster also has earlier generations of
members, whose votes a member must read before it may vote in the new epoch.
"""

import json

import attrs

from limpetlift import defaults
from limpetlift import exceptions

_MAX_INCARNATION = 1 << 42
_MAX_EPOCH = 1 << 53
_MAX_MEMBERS = 1024
_MAX_ID_CHARS = 128
_MAX_DECODED_HISTORY = 2 * defaults.MAX_ROSTER_HISTORY


@attrs.frozen
class Generation:
    """The members of one epoch.

    :param epoch: number of the epoch, starting at 1.
    :param incarnations_by_id: incarnation of each member, by agent id.
    """

    epoch: int
    incarnations_by_id: dict

    @property
    def majority(self):
        """Number of votes that grant a claim."""
        return len(self.incarnations_by_id) // 2 + 1

    @property
    def read_quorum(self):
        """Smallest number of members that overlaps with every majority."""
        return len(self.incarnations_by_id) + 1 - self.majority

    @property
    def members(self):
        """The members as a set of ``(agent id, incarnation)``."""
        return set(self.incarnations_by_id.items())


@attrs.frozen
class Roster:
    """A roster as stored under ``rosters/<service>``.

    A generation is settled when a majority of its members is synced, see
    :class:`limpetlift.state.epochs.EpochSync`.

    :param current: the generation that votes; epoch 0 means that the service
        has no roster yet.
    :param history: earlier generations, oldest first, without those before a
        generation that was known to be settled.
    :param ended_by_id: highest incarnation that has certainly ended, by agent
        id, for the agents of ``current`` and ``history``.

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
        """Whether this incarnation of the agent has certainly ended."""
        return incarnation <= self.ended_by_id.get(agent_id, -1)


def add(roster, agent_id, incarnation, settled=0):
    """Return the roster with the agent as a member.

    An earlier incarnation of the same agent is replaced and counts as ended,
    because an agent starts only after the earlier process has released its
    port.

    :param settled: see :func:`_next_epoch`.
    :raises StateError: when a later incarnation of the agent is known, or the
        history is full.
    """
    if roster.contains(agent_id, incarnation):
        return roster
    current = roster.current.incarnations_by_id.get(agent_id, -1)
    if incarnation < current or roster.has_ended(agent_id, incarnation):
        raise exceptions.StateError(
            "roster: a later incarnation of agent %r is known" % agent_id
        )
    members = dict(roster.current.incarnations_by_id)
    members[agent_id] = incarnation
    ended = dict(roster.ended_by_id)
    ended[agent_id] = max(ended.get(agent_id, -1), incarnation - 1)
    return _next_epoch(roster, members, ended, settled)


def leave(roster, agent_id, incarnation, settled=0):
    """Return the roster without an agent that removes itself.

    The agent must stop voting and claiming before the roster is written,
    because the roster lists this incarnation as ended.

    :param settled: see :func:`_next_epoch`.
    :raises StateError: when the history is full.
    """
    if not roster.contains(agent_id, incarnation):
        return roster
    return remove_ended(roster, {agent_id: incarnation}, settled)


def remove_ended(roster, incarnations_by_id, settled=0):
    """Return the roster without agents that have certainly ended.

    :param incarnations_by_id: incarnations that will not run again, by agent
        id: either the agent removes itself, or an operator has checked that
        its instance is gone.
    :param settled: see :func:`_next_epoch`.
    :raises StateError: when the history is full.
    """
    members = dict(roster.current.incarnations_by_id)
    ended = dict(roster.ended_by_id)
    for agent_id, incarnation in incarnations_by_id.items():
        if members.get(agent_id, incarnation + 1) <= incarnation:
            del members[agent_id]
        ended[agent_id] = max(ended.get(agent_id, -1), incarnation)
    return _next_epoch(roster, members, ended, settled)


def remove(roster, agent_ids, settled=0):
    """Return the roster without agents that are silent.

    A silent agent may only be paused, so it does not count as ended and may
    join again with the same incarnation.

    :param agent_ids: ids of the agents to remove.
    :param settled: see :func:`_next_epoch`.
    :raises StateError: when the history is full.
    """
    members = {
        agent_id: incarnation
        for agent_id, incarnation in roster.current.incarnations_by_id.items()
        if agent_id not in agent_ids
    }
    if len(members) == len(roster.current.incarnations_by_id):
        return roster
    return _next_epoch(roster, members, dict(roster.ended_by_id), settled)


def silent_members(roster, silence_s_by_id):
    """Return the ids of the silent agents to remove, or an empty set.

    No agent is removed when the others are too few to read the votes of this
    epoch: the remaining members could never vote, and the silent ones may be
    the larger side of a network partition.

    :param silence_s_by_id: seconds since the last message of each agent; an
        agent without an entry counts as just heard.
    """
    members = roster.current.incarnations_by_id
    limit_s = defaults.ROSTER_REMOVE_AFTER_S
    dead_ids = [
        agent_id
        for agent_id in members
        if silence_s_by_id.get(agent_id, 0.0) >= defaults.DEAD_AFTER_S
    ]
    # Without a live majority no claim is granted, so there is no reason to
    # wait longer.
    if len(members) - len(dead_ids) < roster.current.majority:
        limit_s = defaults.DEAD_AFTER_S
    silent_ids = {
        agent_id
        for agent_id in members
        if silence_s_by_id.get(agent_id, 0.0) >= limit_s
    }
    if len(members) - len(silent_ids) < roster.current.read_quorum:
        return set()
    return silent_ids


def _next_epoch(roster, members, ended, settled):
    """Return the roster of the next epoch.

    :param members: incarnations of the new members by agent id.
    :param ended: highest ended incarnations by agent id.
    :param settled: an epoch for which the caller knows that a majority of its
        members is synced; the generations before it are then dropped. 0 when
        the caller knows none.
    :raises StateError: when the history has more than MAX_ROSTER_HISTORY
        generations.
    """
    history = roster.history
    if roster.epoch:
        history += (roster.current,)
    if any(generation.epoch == settled for generation in history):
        history = tuple(g for g in history if g.epoch >= settled)
    history = _merge_unreadable(history, ended)
    if len(history) > defaults.MAX_ROSTER_HISTORY:
        raise exceptions.StateError(
            "roster: %d earlier generations are not settled yet, more than the"
            " limit" % len(history)
        )
    listed_ids = {
        agent_id
        for generation in (*history, Generation(0, members))
        for agent_id in generation.incarnations_by_id
    }
    return Roster(
        Generation(roster.epoch + 1, members),
        history,
        {key: value for key, value in ended.items() if key in listed_ids},
    )


def _merge_unreadable(history, ended):
    """Keep only the last of adjacent generations with unreadable votes.

    A member can only wait until the votes of such a generation expire, and
    the wait for the later one covers the earlier one. This keeps the history
    short while the only member of a service restarts repeatedly.
    """
    kept = []
    for generation in history:
        if (
            kept
            and _is_unreadable(kept[-1], ended)
            and _is_unreadable(generation, ended)
        ):
            kept.pop()
        kept.append(generation)
    return tuple(kept)


def _is_unreadable(generation, ended):
    """Whether so many members have ended that no read quorum is left."""
    ended_count = sum(
        incarnation <= ended.get(agent_id, -1)
        for agent_id, incarnation in generation.incarnations_by_id.items()
    )
    live_count = len(generation.incarnations_by_id) - ended_count
    return live_count < generation.read_quorum <= ended_count


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
    """Return the :class:`Roster` that :func:`encode` wrote.

    :raises StateError: when ``data`` is not a valid roster.
    """
    try:
        content = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise exceptions.StateError("roster is not valid JSON") from error
    _require(isinstance(content, dict), "a JSON object")
    history = content.get("history")
    _require(
        isinstance(history, list) and len(history) <= _MAX_DECODED_HISTORY,
        "'history' to be a list within the length limit",
    )
    generations = [_decode_generation(entry) for entry in (*history, content)]
    epochs = [generation.epoch for generation in generations]
    _require(
        all(earlier < later for earlier, later in zip(epochs, epochs[1:])),
        "increasing epochs in 'history' and 'epoch'",
    )
    return Roster(
        generations[-1],
        tuple(generations[:-1]),
        _decode_incarnations(content.get("ended")),
    )


def _require(condition, expected):
    if not condition:
        raise exceptions.StateError("roster: expected %s" % expected)


def _is_integer_up_to(value, maximum):
    return type(value) is int and 0 <= value <= maximum


def _decode_generation(entry):
    _require(isinstance(entry, dict), "a generation to be a JSON object")
    epoch = entry.get("epoch")
    _require(
        _is_integer_up_to(epoch, _MAX_EPOCH) and epoch > 0,
        "'epoch' to be a positive integer within the limit",
    )
    return Generation(epoch, _decode_incarnations(entry.get("members")))


def _decode_incarnations(entry):
    _require(
        isinstance(entry, dict) and len(entry) <= _MAX_MEMBERS,
        "'members' and 'ended' to be JSON objects within the size limit",
    )
    for agent_id, incarnation in entry.items():
        _require(
            0 < len(agent_id) <= _MAX_ID_CHARS,
            "agent ids that are not empty and within the length limit",
        )
        _require(
            _is_integer_up_to(incarnation, _MAX_INCARNATION),
            "incarnations to be integers within the limit",
        )
    return dict(entry)
