"""Membership of a process, run over its node socket."""

import time

from limpetlift.coordination import actions
from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift import metrics

LOG = logs.EventLogger("members")


class Members:
    """Sends and receives the messages of the membership of a process.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param membership: an ``AgentMembership`` or ``BalancerMembership``.

    .. versionadded:: 0.1
    """

    def __init__(self, node, membership):
        self._node = node
        self.membership = membership
        self._has_joined = False
        self._join_alone_at = time.monotonic() + defaults.JOIN_ALONE_AFTER_S
        # Called with the names of the services whose members have changed.
        self.on_members_changed = lambda services: None
        # Called once, when this process has joined the membership.
        self.on_joined = lambda: None
        # Called with the OwnRecord action when the membership has changed the
        # record of this process.
        self.on_own_record = lambda action: None
        # Called with the id of a process that has a newer configuration, and
        # its revision.
        self.on_revision = lambda agent_id, revision: None
        # Called with the Superseded action when a newer process uses the id
        # of this one.
        self.on_superseded = lambda action: None
        for kind in membership.message_names():
            node.on_message(kind, self._receive)

    @property
    def view(self):
        """The :class:`limpetlift.coordination.view.View` of the members."""
        return self.membership.view

    def endpoint(self, agent_id):
        """Return the ``(ip, port)`` of a process, or None."""
        record = self.view.get(agent_id)
        return record.endpoint if record is not None else None

    def tick(self):
        """Run the timers of the membership."""
        now = time.monotonic()
        self._perform(self.membership.tick(now))
        self._check_joined(now)

    def update(self, **changes):
        """Change the record of this process and publish it.

        :param changes: new values of fields of
            :class:`limpetlift.coordination.member.Member`.
        """
        now = time.monotonic()
        self._perform(self.membership.update(now, **changes))

    def leave(self):
        """Publish that this process stops as planned."""
        now = time.monotonic()
        self._perform(self.membership.leave(now))
        # The process may exit before the next gossip interval, so the
        # messages of that interval are sent now.
        self._perform(self.membership.tick(now + defaults.GOSSIP_INTERVAL_S))

    def set_config_revision(self, revision):
        """Publish the revision of the configuration that is in force here."""
        now = time.monotonic()
        self._perform(self.membership.set_config_revision(now, revision))

    def _receive(self, sealed, message, address):
        now = time.monotonic()
        try:
            new_actions = self.membership.on_message(
                now,
                sealed.sender,
                sealed.incarnation,
                message,
                "%s:%d" % address,
            )
        except exceptions.ProtocolError as error:
            metrics.CONTROL_REJECTED.labels(error.code).inc()
            return
        self._perform(new_actions)
        self._check_joined(now)

    def _perform(self, new_actions):
        for action in new_actions:
            if isinstance(action, actions.Send):
                endpoint = self.endpoint(action.agent_id)
                if endpoint is not None:
                    self._node.send(action.message, endpoint)
            elif isinstance(action, actions.SendAddress):
                ip, _, port = action.address.rpartition(":")
                self._node.send(action.message, (ip, int(port)))
            else:
                self._notify(action)
        service_names = self.view.pop_changed_services()
        if service_names:
            self.on_members_changed(service_names)

    def _notify(self, action):
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
        if self._has_joined:
            return
        own_record = self.membership.own
        may_join_alone = (
            own_record.kind == members.BALANCER and now >= self._join_alone_at
        )
        if self.membership.is_joined or may_join_alone:
            self._has_joined = True
            self.on_joined()


def update_gauges(view):
    """Set the metrics of the number of known members in each state."""
    counts_by_state = dict.fromkeys(
        (*members.LIVE_STATES, members.SUSPECT, *members.ENDED_STATES), 0
    )
    for record in view.all_records():
        counts_by_state[view.effective_state(record)] += 1
    for state, count in counts_by_state.items():
        metrics.VIEW_SIZE.labels(state).set(count)
