"""One process with a full-size view, and one that plays all others."""

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
# Headers of IP and UDP around a datagram.
_HEADERS_BYTES = 28
# Stands for any balancer: it knows and spreads what the others do.
_TWIN = 1


def build_view(scale):
    """Return the view of a fleet, with two balancers in each data centre."""
    return views.build_view(
        scale.count(views.AGENTS),
        scale.count(views.SERVICES),
        max(2 * views.DATA_CENTRES, scale.count(views.BALANCERS)),
    )


@attrs.define
class Usage:
    """What the process under measurement used."""

    sent: int = 0
    received: int = 0
    processor_s: float = 0.0


@attrs.define
class Fleet:
    """Runs a process on virtual time against a twin of a balancer.

    A message to any other process reaches the twin, which answers for it. A
    balancer sends and receives the same amount on average, so what the twin
    sends stands for the part of the fleet's messages that one balancer gets.
    The process seals and opens each message as it would on the wire.

    :param subject: the membership of the process under measurement.
    :param base: a view with the records of the fleet.
    :param beats: ids of the members that send the subject heartbeats.
    """

    subject: object
    base: object
    beats: list = attrs.field(factory=list)
    now: float = 0.0
    usage: Usage = attrs.field(factory=Usage)
    silent: set = attrs.field(factory=set)
    twin: object = attrs.field(init=False)
    _seal: object = attrs.field(init=False)
    _seal_by_id: dict = attrs.field(factory=dict)
    _next_beat: float = 0.0
    _rng: object = attrs.field(factory=lambda: random.Random(3))
    _balancer_ids: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.twin = fleet.BalancerMembership(
            self.base.get(views.balancer(_TWIN).agent_id), random.Random(2)
        )
        self.twin.view.load(self.base)
        own = self.subject.own
        self._balancer_ids = [
            agent_id
            for agent_id in self.base.all_balancers()
            if agent_id != own.agent_id
        ]
        self._seal = envelope.Sealer(own.agent_id, own.incarnation, _KEYS)

    def run(self, seconds, each_tick=None):
        """Run until ``seconds`` later.

        :param each_tick: called before each tick of the subject.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += defaults.MEMBERSHIP_TICK_S
            if each_tick is not None:
                each_tick()
            self._send_beats()
            self._keep_twin_in_reach()
            self.from_twin(self.twin.tick(self.now))
            self._measured(lambda: self.subject.tick(self.now))

    def from_fleet(self, message, sender=None):
        """Let another process send ``message`` to the subject."""
        sender = sender or self.twin.own.agent_id
        record = self.base.get(sender)
        if record.data_centre in self.silent:
            return
        sealer = self._seal_by_id.get(sender)
        if sealer is None:
            sealer = envelope.Sealer(sender, record.incarnation, _KEYS)
            self._seal_by_id[sender] = sealer
        data = sealer.seal(message, self.now)
        self.usage.received += len(data) + _HEADERS_BYTES

        def receive():
            sealed, opened = self._seal.open(data, self.now)
            return self.subject.on_message(
                self.now,
                sealed.sender,
                sealed.incarnation,
                opened,
                record.address,
            )

        self._measured(receive)

    def _measured(self, call):
        started = time.process_time()
        found = call()
        sends = []
        for action in found:
            if isinstance(action, (actions.Send, actions.SendAddress)):
                data = self._seal.seal(action.message, self.now)
                sends.append((action, len(data) + _HEADERS_BYTES))
        self.subject.view.pop_changed_services()
        self.usage.processor_s += time.process_time() - started
        for action, size in sends:
            self.usage.sent += size
            self._to_twin(action)

    def _to_twin(self, action):
        receiver = getattr(action, "agent_id", self.twin.own.agent_id)
        record = self.base.get(receiver)
        if record is None or record.data_centre in self.silent:
            return
        if record.kind != members.BALANCER:
            self._answer_probe(record, action.message)
            return
        own = self.subject.own
        answers = self.twin.on_message(
            self.now,
            own.agent_id,
            own.incarnation,
            action.message,
            own.address,
        )
        self.from_twin(answers, receiver)

    def _answer_probe(self, record, message):
        """Answer an audit as a member that has other sponsors."""
        if isinstance(message, messages.structs.Probe):
            self.from_fleet(self._probe_answer(record), record.agent_id)

    def _probe_answer(self, record):
        answer = heartbeat(self.twin, record)
        answer.member = record.to_message()
        answer.view_hash = b""
        answer.leaving = record.agent_id not in self.beats
        return answer

    def from_twin(self, found, sender=None):
        """Deliver the messages of the twin's actions.

        :param sender: the process that the twin answers for.
        """
        own_id = self.subject.own.agent_id
        is_balancer = self.subject.own.kind == members.BALANCER
        for action in found:
            if not isinstance(action, actions.Send):
                continue
            receiver = self.base.get(action.agent_id)
            folded = is_balancer and receiver.kind == members.BALANCER
            if action.agent_id == own_id:
                self.from_fleet(action.message, sender)
            elif isinstance(action.message, messages.structs.Probe):
                if receiver.data_centre not in self.silent:
                    self._answer_twin(receiver)
            elif folded and receiver.data_centre not in self.silent:
                self._fold(receiver, action.message)

    def _fold(self, receiver, message):
        """Let the subject get what the twin sends to another balancer."""
        # The heartbeats of other balancers are among the beats.
        if not isinstance(message, messages.structs.Heartbeat):
            self.from_fleet(message, self._any_balancer())

    def _answer_twin(self, record):
        self.twin.on_message(
            self.now,
            record.agent_id,
            record.incarnation,
            self._probe_answer(record),
            record.address,
        )

    def _any_balancer(self):
        while True:
            found = self._rng.choice(self._balancer_ids)
            if self.base.get(found).data_centre not in self.silent:
                return found

    def _keep_twin_in_reach(self):
        """Let the twin hear from all data centres that are up."""
        for data_centre in self.base.data_centres():
            if data_centre not in self.silent:
                self.twin.reachability.on_heard(self.now, data_centre)

    def _send_beats(self):
        if self.now < self._next_beat or not self.beats:
            return
        self._next_beat = self.now + defaults.HEARTBEAT_INTERVAL_S
        for agent_id in self.beats:
            record = self.twin.view.get(agent_id)
            self.from_fleet(heartbeat(self.twin, record), agent_id)


def heartbeat(twin, record):
    """Return the heartbeat of a member that knows what ``twin`` knows."""
    sponsors = twin.sponsor.sponsors_of(record)
    return messages.structs.Heartbeat(
        member=None,
        config_revision=twin.config_revision,
        view_hash=twin.view.agent_view_hash(record.service, sponsors),
        sequence=record.sequence,
    )


def balancer_fleet(base, scale):
    """Return a fleet around a balancer and the members it sponsors."""
    subject = fleet.BalancerMembership(
        base.get(views.balancer(0).agent_id), random.Random(1)
    )
    subject.view.load(base)
    agents = scale.count(views.AGENTS)
    balancers = len(base.all_balancers())
    sponsored = min(
        agents, max(1, agents * defaults.SPONSORS_PER_MEMBER // balancers)
    )
    beats = [
        views.agent(number * agents // sponsored, 1).agent_id
        for number in range(sponsored)
    ]
    beats += [
        views.balancer(_TWIN + number).agent_id
        for number in range(1, defaults.SPONSORS_PER_MEMBER + 1)
    ]
    return Fleet(subject, base, beats)


def agent_fleet(base):
    """Return a fleet around an agent."""
    own = base.get(views.agent(0, 1).agent_id)
    subject = membership.AgentMembership(own, random.Random(1))
    for agent_id in sponsor.choose_sponsors(base, own):
        subject.view.merge(0.0, base.get(agent_id))
    for record in base.records_of(own.service):
        subject.view.merge(0.0, record)
    return Fleet(subject, base)
