"""Pauses of a process: time that passed while it did not run.

A process stands still when its instance is frozen or suspended, or is much
too slow. Afterwards its sockets hold datagrams of unknown age, and everything
it believes is as old as the pause. What may be done with each is decided by
:mod:`~limpetlift.state.steering` and :mod:`~limpetlift.state.hosting`:

* Segments of open flows are forwarded; both ends recognize copies.
* An agent hands a first segment back to its balancer as not taken, because
  the caller has sent copies that may have opened the flow elsewhere.
* A balancer asks agents for their loads before it places a flow, and drops a
  first segment whose caller has given up by now.
* A report of a server that an agent reads just after a pause counts from the
  begin of the pause, as its server may have been replaced since.
* The silence of others counts from the end of the pause.
* Nothing is refused by routes that may have changed during the pause.
"""

import attrs

from limpetlift import defaults
from limpetlift import structs


@structs.define
class PauseDetector:
    """Detects pauses, and when the datagrams of a pause have been read.

    :param active_at: time of the last event of this process.
    :param sources: the sockets whose datagrams may wait through a pause.

    .. versionadded:: 0.2
    """

    active_at: float
    sources: list = attrs.field(factory=list)
    _unread: list = attrs.field(factory=list)

    def on_event(self, now):
        """Record an event, before it is handled.

        Timers make sure that a running process has events more often than
        :data:`~limpetlift.defaults.PAUSE_MIN_S`.

        :returns: the length in seconds of a pause that has just ended, or 0.
        """
        pause_s = now - self.active_at
        self.active_at = now
        if pause_s < defaults.PAUSE_MIN_S:
            return 0.0
        self._unread = list(self.sources)
        return pause_s

    @property
    def unread(self):
        """The sockets that may hold datagrams which arrived in a pause."""
        return list(self._unread)

    def on_read(self, source):
        """Record that a socket was read until it was empty.

        :returns: whether this was the last such socket.
        """
        if source not in self._unread:
            return False
        self._unread.remove(source)
        return not self._unread
