"""Evacuated data centres: those whose backend servers get no new flow.

An operator evacuates a data centre in the store. Each balancer follows the
store and decides by itself. It gives no new flow to agents of an evacuated
data centre; open flows stay where they are.

The decision addresses the new flows that callers open while an operator
empties a data centre, and the copies of their first segments.
"""

import math

import attrs

from limpetlift.coordination import revisions
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.state import steps
from limpetlift import structs


@structs.frozen
class Change:
    """A change of the evacuation of one data centre in the store.

    :param data_centre: name of the data centre, as the operator wrote it.
    :param revision: the store's revision of the change, as of
        :mod:`limpetlift.coordination.revisions`.
    :param is_evacuated: whether the evacuation began, or ended.
    """

    data_centre: str
    revision: object
    is_evacuated: bool = True


@structs.define
class Evacuation:
    """The evacuation of one data centre.

    :param revision: the store's revision of the operator's last write.
    :param began_at: when this balancer learned of it.
    :param ends_at: when it ends unless the store has it again, because the
        last full read did not have it; None while the store has it.
    :param is_checked: whether it was checked that the data centre is known.
    """

    revision: object
    began_at: float
    ends_at: object = None
    is_checked: bool = False


def check_name(data_centre):
    """Check the name of a data centre that an operator wrote.

    :raises MalformedMessage: when no data centre can have the name.
    """
    if not data_centre:
        raise exceptions.MalformedMessage("the name is empty")
    if len(data_centre) > defaults.MAX_DATA_CENTRE_NAME:
        raise exceptions.MalformedMessage(
            "the name has %d characters, more than %d"
            % (len(data_centre), defaults.MAX_DATA_CENTRE_NAME)
        )
    if not data_centre.isprintable():
        raise exceptions.MalformedMessage("the name is not printable")


@structs.define
class Evacuations:
    """The evacuated data centres as one balancer knows them.

    Methods take ``now`` in seconds (monotonic) and return steps that log what
    has changed. They take ``agents_by_data_centre``, the number of agents that
    the balancer knows in each data centre; it decides nothing.

    :param by_data_centre: :class:`Evacuation` by the name of the data centre.
    :param is_known: whether the store has been read.

    .. versionadded:: 0.2
    """

    by_data_centre: dict = attrs.field(factory=dict)
    is_known: bool = False

    def covers(self, data_centre):
        """Whether a data centre is evacuated."""
        return data_centre in self.by_data_centre

    def on_unreachable(self):
        """Keep the evacuations that are missing while the store is away.

        Operators cannot write them again meanwhile.
        """
        for known in self.by_data_centre.values():
            if known.ends_at is not None:
                known.ends_at = math.inf

    def on_reachable(self, now):
        """Wait for missing evacuations again once the store answers."""
        for known in self.by_data_centre.values():
            if known.ends_at == math.inf:
                known.ends_at = now + defaults.EVACUATION_MISSING_GRACE_S

    def on_snapshot(self, now, changes, agents_by_data_centre):
        """Replace the evacuations by those of a full read of the store.

        One that the read does not have lasts for
        :data:`~limpetlift.defaults.EVACUATION_MISSING_GRACE_S` more: the store
        may have come back from an older copy, to which operators write again
        what is missing. A change that reports its removal ends it at once.

        :param changes: a :class:`Change` for each evacuation that was read.
        """
        self.is_known = True
        self.on_reachable(now)
        result = []
        listed = set()
        for change in changes:
            result += self._begin(now, change, agents_by_data_centre, True)
            listed.add(change.data_centre)
        for data_centre, known in self.by_data_centre.items():
            if data_centre not in listed and known.ends_at is None:
                known.ends_at = now + defaults.EVACUATION_MISSING_GRACE_S
                # The revisions of a store that has lost writes start over.
                known.revision = 0
                result.append(
                    steps.LogEvent(
                        "evacuation_missing",
                        fields={
                            "data_centre": data_centre,
                            "listed": len(listed),
                            "grace_s": defaults.EVACUATION_MISSING_GRACE_S,
                        },
                    )
                )
        return result

    def on_changes(self, now, changes, agents_by_data_centre):
        """Handle changes that were made after the last full read.

        :param changes: list of :class:`Change`, the oldest first.
        """
        self.on_reachable(now)
        result = []
        for change in changes:
            if change.is_evacuated:
                result += self._begin(now, change, agents_by_data_centre)
                continue
            known = self.by_data_centre.get(change.data_centre)
            # A full read may have had later writes than its revision tells.
            if known is not None and revisions.is_later_write(
                change.revision, known.revision
            ):
                result.append(
                    self._end(now, change.data_centre, "removed", change)
                )
        return result

    def _begin(self, now, change, agents_by_data_centre, is_listed=False):
        """Begin an evacuation, or note that the operator wrote it again.

        :param is_listed: whether a full read of the store has it.
        """
        data_centre = change.data_centre
        known = self.by_data_centre.get(data_centre)
        if known is not None:
            if is_listed or revisions.is_later_write(
                change.revision, known.revision
            ):
                known.revision = change.revision
                known.ends_at = None
            return []
        try:
            check_name(data_centre)
        except exceptions.MalformedMessage as error:
            return [
                steps.LogEvent(
                    "evacuation_unreadable",
                    fields={
                        "name": ascii(data_centre[: defaults.MAX_LOGGED_NAME]),
                        "revision": change.revision,
                        "error": error,
                    },
                )
            ]
        self.by_data_centre[data_centre] = Evacuation(change.revision, now)
        return [
            steps.LogEvent(
                "evacuation_began",
                fields={
                    "data_centre": data_centre,
                    "revision": change.revision,
                    "agents": agents_by_data_centre.get(data_centre, 0),
                    "evacuated": len(self.by_data_centre),
                },
            )
        ] + self.on_agents(agents_by_data_centre)

    def _end(self, now, data_centre, reason, change=None):
        """End an evacuation; return the step that logs it.

        :param reason: ``removed`` or ``missing``.
        :param change: the :class:`Change` that ended it, or None.
        """
        ended = self.by_data_centre.pop(data_centre)
        return steps.LogEvent(
            "evacuation_ended",
            fields={
                "data_centre": data_centre,
                "reason": reason,
                "revision": change.revision if change else ended.revision,
                "lasted_s": round(now - ended.began_at, 3),
                "evacuated": len(self.by_data_centre),
            },
        )

    def on_agents(self, agents_by_data_centre):
        """Log the evacuations of data centres that have no known agent.

        They stay in force, as agents may start there. Each is logged once,
        and not before any agent is known.
        """
        if not agents_by_data_centre:
            return []
        result = []
        for data_centre, known in self.by_data_centre.items():
            if known.is_checked:
                continue
            known.is_checked = True
            if data_centre not in agents_by_data_centre:
                fields = {
                    "data_centre": data_centre,
                    "revision": known.revision,
                    "known": len(agents_by_data_centre),
                }
                result.append(
                    steps.LogEvent("evacuation_unknown", fields=fields)
                )
        return result

    def has_unchecked(self):
        """Whether :meth:`on_agents` has something to check."""
        return any(
            not known.is_checked for known in self.by_data_centre.values()
        )

    def tick(self, now):
        """End the evacuations that have been missing for too long."""
        return [
            self._end(now, data_centre, "missing")
            for data_centre, known in list(self.by_data_centre.items())
            if known.ends_at is not None and known.ends_at <= now
        ]
