"""Simulation of a fleet around one measured process with a full view."""

import random
import time

import attrs

from limpetlift.bench import view as views
from limpetlift.bench import workers
from limpetlift.coordination import actions
from limpetlift.coordination import fleet
from limpetlift.coordination import member as members
from limpetlift.coordination import membership
from limpetlift.coordination import sponsor
from limpetlift import defaults
from limpetlift.protocol import envelope
from limpetlift.protocol import messages

_KEYS = [bytes.fromhex(workers.KEY)]

_IP_UDP_HEADER_BYTES = 28
# Number of the balancer whose membership represents all other processes.
_PEER_NUMBER = 1


def build_view(scale):
    """Return the view of a fleet.

    It has at least two balancers per data centre, whatever the scale.

    :param scale: a :class:`limpetlift.bench.figures.Scale`.
    """
    return views.build_view(
        scale.count(views.AGENTS),
        scale.count(views.SERVICES),
        max(2 * views.DATA_CENTRES, scale.count(views.BALANCERS)),
    )


@attrs.define
class Usage:
    """Resources that the measured process has used.

    :param sent: bytes sent, with IP and UDP headers.
    :param received: bytes received, with IP and UDP headers.
    :param processor_s: processor time.
    """

    sent: int = 0
    received: int = 0
    processor_s: float = 0.0


@attrs.define
class Fleet:
    """Runs the membership of one process, the subject, in virtual time.

    The membership of one balancer, the peer, represents all other processes:
    it receives the messages to any other balancer and replies in its name. As
    a balancer receives on average as much as it sends, the messages that the
    peer sends to other balancers are delivered to a subject that is a
    balancer. The subject seals and opens each message as on the network.

    :param subject: the membership of the measured process.
    :param base: a view with the records of the fleet.
    :param heartbeat_ids: ids of the members that send heartbeats to the
        subject.
    :param now: virtual time.
    :param usage: resources that the subject has used.
    :param silent_data_centres: data centres whose members neither send nor
        receive messages.
    """

    subject: object
    base: object
    heartbeat_ids: list = attrs.field(factory=list)
    now: float = 0.0
    usage: Usage = attrs.field(factory=Usage)
    silent_data_centres: set = attrs.field(factory=set)
    peer: object = attrs.field(init=False)
    _sealer: object = attrs.field(init=False)
    _sealers_by_id: dict = attrs.field(factory=dict)
    _next_heartbeat_at: float = 0.0
    _rng: object = attrs.field(factory=lambda: random.Random(3))
    _balancer_ids: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.peer = fleet.BalancerMembership(
            self.base.get(views.balancer(_PEER_NUMBER).agent_id),
            random.Random(2),
        )
        self.peer.view.load(self.base)
        own = self.subject.own
        self._balancer_ids = [
            agent_id
            for agent_id in self.base.all_balancers()
            if agent_id != own.agent_id
        ]
        self._sealer = envelope.Sealer(own.agent_id, own.incarnation, _KEYS)

    def run(self, seconds, each_tick=None):
        """Advance the virtual time by ``seconds``.

        :param each_tick: function called at the start of each tick, or None.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += defaults.MEMBERSHIP_TICK_S
            if each_tick is not None:
                each_tick()
            self._send_heartbeats()
            self._keep_data_centres_reachable()
            self.deliver_from_peer(self.peer.tick(self.now))
            self._run_measured(lambda: self.subject.tick(self.now))

    def deliver_to_subject(self, message, sender=None):
        """Deliver ``message`` to the subject.

        :param sender: id of the sending process; the peer if it is None.
        """
        sender = sender or self.peer.own.agent_id
        record = self.base.get(sender)
        if record.data_centre in self.silent_data_centres:
            return
        sealer = self._sealers_by_id.get(sender)
        if sealer is None:
            sealer = envelope.Sealer(sender, record.incarnation, _KEYS)
            self._sealers_by_id[sender] = sealer
        data = sealer.seal(message, self.now)
        self.usage.received += len(data) + _IP_UDP_HEADER_BYTES

        def receive():
            sealed, opened = self._sealer.open(data, self.now)
            return self.subject.on_message(
                self.now,
                sealed.sender,
                sealed.incarnation,
                opened,
                record.address,
            )

        self._run_measured(receive)

    def _run_measured(self, call):
        started = time.process_time()
        new_actions = call()
        sends = []
        for action in new_actions:
            if isinstance(action, (actions.Send, actions.SendAddress)):
                data = self._sealer.seal(action.message, self.now)
                sends.append((action, len(data) + _IP_UDP_HEADER_BYTES))
        self.subject.view.pop_changed_services()
        self.usage.processor_s += time.process_time() - started
        for action, size in sends:
            self.usage.sent += size
            self._send_to_peer(action)

    def _send_to_peer(self, action):
        receiver = getattr(action, "agent_id", self.peer.own.agent_id)
        record = self.base.get(receiver)
        if record is None or record.data_centre in self.silent_data_centres:
            return
        if record.kind != members.BALANCER:
            self._answer_probe(record, action.message)
            return
        own = self.subject.own
        answers = self.peer.on_message(
            self.now,
            own.agent_id,
            own.incarnation,
            action.message,
            own.address,
        )
        self.deliver_from_peer(answers, receiver)

    def _answer_probe(self, record, message):
        """Answer a probe in the name of an agent.

        An audit sends the probe. A member that sends the subject no heartbeats
        answers that it has other sponsors.
        """
        if isinstance(message, messages.structs.Probe):
            self.deliver_to_subject(
                self._probe_answer(record), record.agent_id
            )

    def _probe_answer(self, record):
        answer = heartbeat(self.peer, record)
        answer.member = record.to_message()
        answer.view_hash = b""
        answer.leaving = record.agent_id not in self.heartbeat_ids
        return answer

    def deliver_from_peer(self, new_actions, sender=None):
        """Deliver the messages of the peer's actions.

        :param new_actions: actions of the peer.
        :param sender: id of the process that the peer represents; the peer
            itself if it is None.
        """
        own_id = self.subject.own.agent_id
        is_balancer = self.subject.own.kind == members.BALANCER
        for action in new_actions:
            if not isinstance(action, actions.Send):
                continue
            receiver = self.base.get(action.agent_id)
            is_between_balancers = (
                is_balancer and receiver.kind == members.BALANCER
            )
            if action.agent_id == own_id:
                self.deliver_to_subject(action.message, sender)
            elif isinstance(action.message, messages.structs.Probe):
                if receiver.data_centre not in self.silent_data_centres:
                    self._answer_peer_probe(receiver)
            elif (
                is_between_balancers
                and receiver.data_centre not in self.silent_data_centres
            ):
                self._deliver_as_other_balancer(receiver, action.message)

    def _deliver_as_other_balancer(self, receiver, message):
        """Deliver to the subject what the peer sends to another balancer."""
        # Heartbeats from other balancers are sent by _send_heartbeats.
        if not isinstance(message, messages.structs.Heartbeat):
            self.deliver_to_subject(message, self._choose_balancer_id())

    def _answer_peer_probe(self, record):
        self.peer.on_message(
            self.now,
            record.agent_id,
            record.incarnation,
            self._probe_answer(record),
            record.address,
        )

    def _choose_balancer_id(self):
        while True:
            balancer_id = self._rng.choice(self._balancer_ids)
            if (
                self.base.get(balancer_id).data_centre
                not in self.silent_data_centres
            ):
                return balancer_id

    def _keep_data_centres_reachable(self):
        """Report to the peer that all data centres but silent ones respond."""
        for data_centre in self.base.data_centres():
            if data_centre not in self.silent_data_centres:
                self.peer.reachability.on_heard(self.now, data_centre)

    def _send_heartbeats(self):
        if self.now < self._next_heartbeat_at or not self.heartbeat_ids:
            return
        self._next_heartbeat_at = self.now + defaults.HEARTBEAT_INTERVAL_S
        for agent_id in self.heartbeat_ids:
            record = self.peer.view.get(agent_id)
            self.deliver_to_subject(heartbeat(self.peer, record), agent_id)


def heartbeat(peer, record):
    """Return the heartbeat of a member.

    :param peer: membership whose view and configuration revision the member
        has.
    :param record: record of the member.
    """
    sponsors = peer.sponsor.sponsors_of(record)
    return messages.structs.Heartbeat(
        member=None,
        config_revision=peer.config_revision,
        view_hash=peer.view.agent_view_hash(record.service, sponsors),
        sequence=record.sequence,
    )


def balancer_fleet(base, scale):
    """Return a fleet whose subject is a balancer.

    The members that it sponsors send it heartbeats.
    """
    subject = fleet.BalancerMembership(
        base.get(views.balancer(0).agent_id), random.Random(1)
    )
    subject.view.load(base)
    agents = scale.count(views.AGENTS)
    balancers = len(base.all_balancers())
    sponsored = min(
        agents, max(1, agents * defaults.SPONSORS_PER_MEMBER // balancers)
    )
    heartbeat_ids = [
        views.agent(number * agents // sponsored, 1).agent_id
        for number in range(sponsored)
    ]
    heartbeat_ids += [
        views.balancer(_PEER_NUMBER + number).agent_id
        for number in range(1, defaults.SPONSORS_PER_MEMBER + 1)
    ]
    return Fleet(subject, base, heartbeat_ids)


def agent_fleet(base):
    """Return a fleet whose subject is an agent.

    Its view holds its sponsors and the other agents of its service.
    """
    own = base.get(views.agent(0, 1).agent_id)
    subject = membership.AgentMembership(own, random.Random(1))
    for agent_id in sponsor.choose_sponsors(base, own):
        subject.view.merge(0.0, base.get(agent_id))
    for record in base.records_of(own.service):
        subject.view.merge(0.0, record)
    return Fleet(subject, base)
