"""The task that runs the membership of a process over its node socket."""

import time

from limpetlift.coordination import actions
from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift import metrics

LOG = logs.EventLogger("members")


class Members:
    """Owns the membership of one process.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param membership: an ``AgentMembership`` or ``BalancerMembership``.

    .. versionadded:: 0.1
    """

    def __init__(self, node, membership):
        self._node = node
        self.membership = membership
        self._joined = False
        self._alone_at = time.monotonic() + defaults.JOIN_ALONE_AFTER_S
        # Called with the names of the services whose members changed.
        self.on_changed = lambda services: None
        # Called once, when this process knows the others.
        self.on_joined = lambda: None
        # Called with the action when the own record has a new version.
        self.on_own_record = lambda action: None
        # Called with (agent id, revision) of a newer configuration.
        self.on_revision = lambda agent_id, revision: None
        # Called with the action when another process has this id.
        self.on_superseded = lambda action: None
        for kind in membership.message_names():
            node.on_message(kind, self._receive)

    @property
    def view(self):
        """The :class:`limpetlift.coordination.view.View`."""
        return self.membership.view

    def endpoint(self, agent_id):
        """Return the ``(ip, port)`` of a process, or None."""
        record = self.view.get(agent_id)
        return record.endpoint if record is not None else None

    def tick(self):
        """Run the timers."""
        now = time.monotonic()
        self._carry_out(self.membership.tick(now))
        self._check_joined(now)

    def update(self, **changes):
        """Publish a change of the own record."""
        now = time.monotonic()
        self._carry_out(self.membership.update(now, **changes))

    def leave(self):
        """Publish that this process ends by plan."""
        now = time.monotonic()
        self._carry_out(self.membership.leave(now))
        # A process may exit before the next round of gossip.
        self._carry_out(self.membership.tick(now + defaults.GOSSIP_INTERVAL_S))

    def set_config_revision(self, revision):
        """Tell the others which configuration is in force here."""
        now = time.monotonic()
        self._carry_out(self.membership.set_config_revision(now, revision))

    def _receive(self, sealed, message, address):
        now = time.monotonic()
        try:
            found = self.membership.on_message(
                now,
                sealed.sender,
                sealed.incarnation,
                message,
                "%s:%d" % address,
            )
        except exceptions.ProtocolError as error:
            metrics.CONTROL_REJECTED.labels(error.code).inc()
            return
        self._carry_out(found)
        self._check_joined(now)

    def _carry_out(self, found):
        for action in found:
            if isinstance(action, actions.Send):
                endpoint = self.endpoint(action.agent_id)
                if endpoint is not None:
                    self._node.send(action.message, endpoint)
            elif isinstance(action, actions.SendAddress):
                ip, _, port = action.address.rpartition(":")
                self._node.send(action.message, (ip, int(port)))
            else:
                self._report(action)
        changed = self.view.pop_changed_services()
        if changed:
            self.on_changed(changed)

    def _report(self, action):
        if isinstance(action, actions.OwnRecordChanged):
            if action.refuted:
                LOG.warning("refuted", sequence=action.member.sequence)
            self.on_own_record(action)
        elif isinstance(action, actions.RevisionSeen):
            self.on_revision(action.agent_id, action.revision)
        elif isinstance(action, actions.Superseded):
            LOG.error("superseded", incarnation=action.incarnation)
            self.on_superseded(action)

    def _check_joined(self, now):
        if self._joined:
            return
        own = self.membership.own
        alone = own.kind == members.BALANCER and now >= self._alone_at
        if self.membership.is_joined or alone:
            self._joined = True
            self.on_joined()


def update_gauges(view):
    """Set the gauge of the members known in each state."""
    counts = dict.fromkeys(
        (*members.LIVE_STATES, members.SUSPECT, *members.ENDED_STATES), 0
    )
    for record in view.all_records():
        counts[view.effective_state(record)] += 1
    for state, count in counts.items():
        metrics.VIEW_SIZE.labels(state).set(count)
