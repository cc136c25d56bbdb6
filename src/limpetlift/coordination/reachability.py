"""Detection of data centres that are unreachable as a whole.

The loss of a data centre or a partition between regions would otherwise
change thousands of records on each side, and change them back at its end.
Each balancer therefore decides locally: a data centre is *silent* when no
message arrives from any of its processes and its balancers do not answer
pings. This changes no records, only the state in which its members appear to
this process. The first message from any of them ends it.
"""

import attrs

from limpetlift.coordination import member
from limpetlift import defaults

_CHECK_INTERVAL_S = 0.5
# Balancers pinged per check in the second half of the time after which a data
# centre counts as silent.
_URGENT_PINGS = 3


@attrs.define
class _Contact:
    """The last contact with a data centre.

    :param last_heard_at: when a message from it arrived last.
    :param silent_since: when it was found silent; None while it is not.
    :param is_eligible: whether it has enough balancers to be considered
        silent as a whole.
    """

    last_heard_at: float
    silent_since: float = None
    is_eligible: bool = False


@attrs.define
class Reachability:
    """Detects the data centres that are silent for this balancer.

    :param view: the view of this process.
    :param rng: a ``random.Random``.
    :param data_centre: the data centre of this process.
    :param min_balancers: data centres with fewer balancers are never
        considered silent as a whole.

    .. versionadded:: 0.1
    """

    view: object
    rng: object
    data_centre: str
    min_balancers: int = defaults.DATA_CENTRE_MIN_BALANCERS
    _next_check_at: float = 0.0
    _contacts_by_data_centre: dict = attrs.field(factory=dict)

    def on_heard(self, now, data_centre):
        """Record that a message from ``data_centre`` arrived.

        :returns: if the data centre was silent, the seconds since the message
            before; otherwise 0.
        """
        contact = self._contacts_by_data_centre.get(data_centre)
        if contact is None:
            return 0.0
        silent_s = 0.0
        if contact.silent_since is not None:
            silent_s = now - contact.last_heard_at
            contact.silent_since = None
            self.view.set_silent(data_centre, None)
        contact.last_heard_at = now
        return silent_s

    def on_pause(self, now):
        """Restart the measurement after a pause of this process."""
        for contact in self._contacts_by_data_centre.values():
            contact.last_heard_at = now

    def is_quiet(self, now, data_centre):
        """Return whether the whole data centre may soon count as silent."""
        contact = self._contacts_by_data_centre.get(data_centre)
        return (
            contact is not None
            and contact.is_eligible
            and now - contact.last_heard_at
            > defaults.DATA_CENTRE_QUIET_AFTER_S
        )

    def tick(self, now):
        """Update the silent data centres; return the balancers to ping."""
        if now < self._next_check_at:
            return []
        self._next_check_at = now + _CHECK_INTERVAL_S
        pings = []
        for data_centre in self.view.data_centres():
            if data_centre == self.data_centre:
                continue
            contact = self._contacts_by_data_centre.setdefault(
                data_centre, _Contact(now)
            )
            if (
                now - contact.last_heard_at
                >= defaults.DATA_CENTRE_QUIET_AFTER_S
            ):
                pings += self._check(now, data_centre, contact)
        return pings

    def _expected_balancers(self, data_centre):
        return [
            agent_id
            for agent_id in self.view.known_balancers(data_centre)
            if self.view.get(agent_id).state not in member.ENDED_STATES
        ]

    def _check(self, now, data_centre, contact):
        expected = self._expected_balancers(data_centre)
        contact.is_eligible = len(expected) >= self.min_balancers
        if not contact.is_eligible:
            if contact.silent_since is not None:
                contact.silent_since = None
                self.view.set_silent(data_centre, None)
            return []
        quiet_s = now - contact.last_heard_at
        if contact.silent_since is not None:
            self._update_silence(now, data_centre, contact)
            return [self.rng.choice(expected)]
        if quiet_s >= defaults.DATA_CENTRE_SILENT_AFTER_S:
            contact.silent_since = now
            self.view.set_silent(data_centre, member.SUSPECT)
        urgent = quiet_s >= defaults.DATA_CENTRE_SILENT_AFTER_S / 2
        return self.rng.sample(expected, _URGENT_PINGS if urgent else 1)

    def _update_silence(self, now, data_centre, contact):
        silent_s = now - contact.silent_since
        if silent_s >= defaults.DEAD_RETENTION_S:
            # Other processes have dropped the records of members that died
            # there meanwhile, and could not report those deaths any more.
            self.view.forget_data_centre(data_centre)
            self.view.set_silent(data_centre, None)
            del self._contacts_by_data_centre[data_centre]
        elif silent_s >= defaults.DEAD_AFTER_S - defaults.SUSPECT_AFTER_S:
            if self.view.silent_state(data_centre) != member.DEAD:
                self.view.set_silent(data_centre, member.DEAD)
