"""Whether whole data centres can be heard.

The loss of a data centre, or a partition between regions, would otherwise
change thousands of records on each side, and change them back at the end. A
balancer therefore judges by itself: a data centre from which no process is
heard and whose balancers do not answer is *silent*, which only changes how
this process sees its members. Hearing any one of them ends it at once.
"""

import attrs

from limpetlift.coordination import member
from limpetlift import defaults

_CHECK_S = 0.5
# Balancers asked at once after half of the silence.
_URGENT_PINGS = 3


@attrs.define
class _Silence:
    """When a data centre was heard, and since when it is silent."""

    heard_at: float
    silent_since: float = None
    # Whether it has enough balancers to be judged as a whole.
    is_judged: bool = False


@attrs.define
class Reachability:
    """Finds the data centres that are silent for this balancer.

    :param view: the view of this process.
    :param rng: a ``random.Random``.
    :param data_centre: the data centre of this process.

    .. versionadded:: 0.1
    """

    view: object
    rng: object
    data_centre: str
    # Data centres with fewer balancers are not judged as a whole.
    min_balancers: int = defaults.DATA_CENTRE_MIN_BALANCERS
    _next_check: float = 0.0
    _by_name: dict = attrs.field(factory=dict)

    def on_heard(self, now, data_centre):
        """Note a message from a process in ``data_centre``.

        :returns: for how many seconds it was silent until now.
        """
        entry = self._by_name.get(data_centre)
        if entry is None:
            return 0.0
        silence = 0.0
        if entry.silent_since is not None:
            silence = now - entry.heard_at
            entry.silent_since = None
            self.view.set_silent(data_centre, None)
        entry.heard_at = now
        return silence

    def on_pause(self, now):
        """Start again after a pause of this process."""
        for entry in self._by_name.values():
            entry.heard_at = now

    def is_quiet(self, now, data_centre):
        """Return whether a verdict on the whole data centre may follow."""
        entry = self._by_name.get(data_centre)
        return (
            entry is not None
            and entry.is_judged
            and now - entry.heard_at > defaults.DATA_CENTRE_QUIET_AFTER_S
        )

    def tick(self, now):
        """Update the verdicts and return the ids of balancers to ping."""
        if now < self._next_check:
            return []
        self._next_check = now + _CHECK_S
        pings = []
        for name in self.view.data_centres():
            if name == self.data_centre:
                continue
            entry = self._by_name.setdefault(name, _Silence(now))
            if now - entry.heard_at >= defaults.DATA_CENTRE_QUIET_AFTER_S:
                pings += self._check(now, name, entry)
        return pings

    def _candidates(self, name):
        return [
            agent_id
            for agent_id in self.view.known_balancers(name)
            if self.view.get(agent_id).state not in member.ENDED_STATES
        ]

    def _check(self, now, name, entry):
        known = self._candidates(name)
        entry.is_judged = len(known) >= self.min_balancers
        if not entry.is_judged:
            if entry.silent_since is not None:
                entry.silent_since = None
                self.view.set_silent(name, None)
            return []
        quiet = now - entry.heard_at
        if entry.silent_since is not None:
            self._age(now, name, entry)
            return [self.rng.choice(known)]
        if quiet >= defaults.DATA_CENTRE_SILENT_AFTER_S:
            entry.silent_since = now
            self.view.set_silent(name, member.SUSPECT)
        urgent = quiet >= defaults.DATA_CENTRE_SILENT_AFTER_S / 2
        return self.rng.sample(known, _URGENT_PINGS if urgent else 1)

    def _age(self, now, name, entry):
        silence = now - entry.silent_since
        if silence >= defaults.DEAD_RETENTION_S:
            # The others forget deaths in it that this process never heard of.
            self.view.forget_data_centre(name)
            self.view.set_silent(name, None)
            del self._by_name[name]
        elif silence >= defaults.DEAD_AFTER_S - defaults.SUSPECT_AFTER_S:
            if self.view.silent_state(name) != member.DEAD:
                self.view.set_silent(name, member.DEAD)
