"""Measures the dissemination strategies on virtual time.

``python -m limpetlift.testing.gossiplab`` runs the membership code of the
balancers in 9 data centres of 3 regions with 1% loss and prints a line for
each measurement of each strategy and number of balancers. Agents are stubs
that only answer probes; the bytes of their heartbeats are computed from the
sizes of the messages.
"""

import math
import multiprocessing
import random
import sys
import time

import attrs
import fire

from limpetlift.coordination import actions
from limpetlift.coordination import budget
from limpetlift.coordination import fleet
from limpetlift.coordination import member
from limpetlift.coordination import sponsor
from limpetlift.coordination import strategies
from limpetlift.coordination import tokens
from limpetlift.coordination import view
from limpetlift import defaults
from limpetlift.protocol import messages
from limpetlift.testing import network

_DATA_CENTRES = 9
_REGIONS = 3
_BALANCERS = 1800
_AGENTS = 14000
# 2,300 restarts per day with three changes of a record each.
_CHANGES_PER_S = 2300 * 3 / 86400
_STEADY_S = 24.0
# Long enough for each side to consider the other one dead. The changes of an
# hour are merged into the views of each side when it ends.
_PARTITION_S = 15.0
_CHANGES_PER_PARTITION = int(_CHANGES_PER_S * 3600)
_POLL_S = 0.1
_CONVERGENCE_TIMEOUT_S = 60.0
_LOSS_WINDOW_S = 20.0


@attrs.define
class StubAgent:
    """A stub agent that answers probes; its sponsors are other balancers.

    :param own: its record.
    """

    own: member.Member

    def tick(self, now):
        """Do nothing."""
        return []

    def on_message(self, now, sender, incarnation, message, source=""):
        """Answer a probe; ignore other messages."""
        if not isinstance(message, messages.structs.Probe):
            return []
        return [actions.Send(sender, heartbeat(self.own, leaving=True))]


def heartbeat(record, leaving=None, full=True):
    """Return a heartbeat of an agent.

    :param record: the record of the agent.
    :param leaving: value of the field ``leaving``; if true, the hash of the
        view is empty.
    :param full: whether the heartbeat contains the record.
    """
    return messages.structs.Heartbeat(
        member=record.to_message() if full else None,
        config_revision=100000,
        view_hash=b"" if leaving else bytes(8),
        sequence=record.sequence,
        leaving=leaving,
    )


def agent_bytes_per_s():
    """Return the bytes per second of the heartbeats of agents at a balancer.

    :returns: ``(received, sent)``.
    """
    record = make_record(member.AGENT, 1, 1)
    rate = (
        _AGENTS
        * defaults.SPONSORS_PER_MEMBER
        / _BALANCERS
        / defaults.HEARTBEAT_INTERVAL_S
    )
    reply = messages.structs.HeartbeatReply(
        config_revision=100000, members=[], sequence=3
    )
    return (
        rate * budget.wire_size_bytes(heartbeat(record, full=False)),
        rate * budget.wire_size_bytes(reply),
    )


def make_record(kind, index, count):
    """Return the record of a balancer or an agent.

    :param kind: kind of the member.
    :param index: its number among the members of this kind.
    :param count: number of members of this kind; they are spread evenly over
        the data centres.
    """
    data_centre = index * _DATA_CENTRES // count
    return member.Member(
        agent_id="%s-%05d" % (kind, index),
        kind=kind,
        address="10.%d.%d.%d:7000"
        % (kind == member.AGENT, index // 250, index % 250),
        incarnation=1764800000000 + index,
        service="" if kind == member.BALANCER else "svc-%04d" % (index // 7),
        data_centre="dc-%d" % data_centre,
        region="region-%d" % (data_centre * _REGIONS // _DATA_CENTRES),
        state=member.ACTIVE,
    )


@attrs.define
class FleetSimulation:
    """A fleet of balancers that all start with the same full view.

    :param strategy: name of the dissemination strategy.
    :param count: number of balancers.
    :param detects_silent_data_centres: whether a data centre that no longer
        answers is detected as a whole instead of record by record.
    """

    strategy: str
    count: int
    detects_silent_data_centres: bool = True
    rng: random.Random = attrs.field(factory=lambda: random.Random(20261))
    net: network.Network = attrs.field(init=False)
    balancers: list = attrs.field(init=False)
    agents: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.net = network.Network(self.rng, loss=0.01)
        self.balancers = [
            make_record(member.BALANCER, index, self.count)
            for index in range(self.count)
        ]
        agents = _AGENTS * self.count // _BALANCERS
        # Only the agents of the first data centre, which one of the
        # measurements stops, have records.
        self.agents = [
            make_record(member.AGENT, index, agents)
            for index in range(math.ceil(agents / _DATA_CENTRES))
        ]
        settled_view = view.View("")
        for record in self.balancers + self.agents:
            settled_view.merge(0.0, record)
        rate = defaults.CONTROL_BYTES_PER_S - agent_bytes_per_s()[1]
        for record in self.balancers:
            membership = fleet.BalancerMembership(
                record,
                random.Random(record.agent_id),
                strategy=self.strategy,
                token_bucket=tokens.TokenBucket(rate),
            )
            membership.view.load(settled_view)
            if not self.detects_silent_data_centres:
                membership.reachability.min_balancers = sys.maxsize
            self.net.add(membership)
        for record in self.agents:
            self.net.add(StubAgent(record))
        self.net.run(5.0)

    def live_balancers(self):
        """Return the memberships of the running balancers."""
        return list(
            filter(network.is_balancer, self.net.members_by_id.values())
        )

    def sent_bytes_by_id(self):
        """Return the bytes sent so far by each running balancer."""
        return {
            membership.own.agent_id: self.net.traffic_by_id[
                membership.own.agent_id
            ].sent
            for membership in self.live_balancers()
        }

    def new_record(self, index):
        """Add a stub agent to the network and return its record."""
        record = attrs.evolve(
            make_record(member.AGENT, _AGENTS + index, 2 * _AGENTS),
            incarnation=1764900000000 + int(self.net.now * 1000),
        )
        self.net.add(StubAgent(record))
        return record

    def change(self, index):
        """Report a new record to a random balancer and return the record."""
        record = self.new_record(index)
        receiver = self.rng.choice(self.live_balancers())
        found = receiver.on_message(
            self.net.now,
            record.agent_id,
            record.incarnation,
            heartbeat(record, leaving=True),
            record.address,
        )
        self.net.carry_out(receiver.own.agent_id, found)
        return record

    def run_until(self, is_done, step=_POLL_S):
        """Run until ``is_done(membership)`` holds at all running balancers.

        :param step: seconds between two checks.
        :returns: the seconds it took; infinity after
            _CONVERGENCE_TIMEOUT_S.
        """
        start = self.net.now
        waiting = self.live_balancers()
        while waiting and self.net.now - start < _CONVERGENCE_TIMEOUT_S:
            self.net.run(step)
            waiting = [
                membership for membership in waiting if not is_done(membership)
            ]
        return self.net.now - start if not waiting else math.inf

    def measure_steady_state(self):
        """Measure the traffic and the propagation of the daily changes.

        :returns: mean and maximum of the bytes per second that balancers
            send, and the longest time until all of them know a change.
        """
        before = self.sent_bytes_by_id()
        start = self.net.now
        slowest = 0.0
        for index in range(max(1, int(_STEADY_S * _CHANGES_PER_S))):
            record = self.change(index)
            slowest = max(
                slowest,
                self.run_until(
                    lambda membership: membership.view.get(record.agent_id)
                ),
            )
            rest = start + (index + 1) / _CHANGES_PER_S - self.net.now
            self.net.run(max(0.0, rest))
        rates = self._rates(before, self.net.now - start)
        return {
            "steady_mean": sum(rates) / len(rates),
            "steady_max": max(rates),
            "spread_s": slowest,
        }

    def _rates(self, before, seconds):
        after = self.sent_bytes_by_id()
        return [
            (after[agent_id] - before[agent_id]) / seconds
            for agent_id in after
            if agent_id in before
        ]

    def measure_partition(self):
        """Measure the recovery after a region was cut off.

        :returns: seconds until no data centre is considered silent, seconds
            until all views are equal, and the bytes per second that the
            busiest balancer sends meanwhile.
        """
        cut_off = {r.agent_id for r in self.balancers if r.region[-1] == "0"}
        cut_off.update(record.agent_id for record in self.agents)
        self.net.is_cut = lambda a, b: (a in cut_off) != (b in cut_off)
        self.net.run(_PARTITION_S)
        # Each side has already propagated its own changes of the hour.
        for index in range(_CHANGES_PER_PARTITION):
            record = self.new_record(1000 + index)
            inside = index % _REGIONS == 0
            if inside:
                cut_off.add(record.agent_id)
            for membership in self.live_balancers():
                if (membership.own.agent_id in cut_off) == inside:
                    membership.view.merge(self.net.now, record)
        before, start = self.sent_bytes_by_id(), self.net.now
        self.net.is_cut = None
        detected_s = self.run_until(
            lambda membership: not membership.view.silent_data_centres()
        )
        root = self._agreed_root
        agreed_s = self.run_until(
            lambda membership: membership.view.digest.root == root(), 0.5
        )
        rates = self._rates(before, self.net.now - start)
        return {
            "heal_seen_s": detected_s,
            "heal_s": detected_s + agreed_s,
            "heal_bytes_s": max(rates),
        }

    def _agreed_root(self):
        """Return the root digest of the first balancers, or None.

        None means that their views differ.
        """
        roots = [
            membership.view.digest.root
            for membership in self.live_balancers()[:5]
        ]
        return roots[0] if len(set(roots)) == 1 else None

    def measure_data_centre_loss(self):
        """Measure the detection of the loss of a whole data centre.

        :returns: seconds until all running balancers have detected it, the
            mean of the bytes that they send, and the bytes per second that
            the busiest one sends.
        """
        lost_balancers = [r for r in self.balancers if r.data_centre == "dc-0"]
        current_view = self.live_balancers()[-1].view
        for record in self.agents:
            outside_sponsor_ids = sponsor.choose_sponsors(
                current_view, record
            )[2:3]
            for agent_id in outside_sponsor_ids:
                membership = self.net.members_by_id[agent_id]
                # Only the heartbeat to the sponsor in another data centre
                # matters.
                membership.on_message(
                    self.net.now,
                    record.agent_id,
                    record.incarnation,
                    heartbeat(record),
                )
        for record in lost_balancers + self.agents:
            self.net.kill(record.agent_id)
        ids = [record.agent_id for record in lost_balancers + self.agents]
        before, start = self.sent_bytes_by_id(), self.net.now

        def has_detected_loss(membership):
            return not any(
                membership.view.effective_state(membership.view.get(agent_id))
                in member.LIVE_STATES
                for agent_id in ids
            )

        seconds = self.run_until(has_detected_loss, 0.5)
        self.net.run(max(0.0, start + _LOSS_WINDOW_S - self.net.now))
        rates = self._rates(before, self.net.now - start)
        name = "loss" if self.detects_silent_data_centres else "loss_records"
        return {
            name + "_s": seconds,
            name + "_bytes": sum(rates) / len(rates) * (self.net.now - start),
            name + "_max_bytes_s": max(rates),
        }


def measure(job):
    """Run all measurements and print their figures.

    :param job: ``(strategy, number of balancers)``.
    """
    strategy, count = job
    started = time.monotonic()
    simulation = FleetSimulation(strategy, count)
    for phase in (
        simulation.measure_steady_state,
        simulation.measure_partition,
        simulation.measure_data_centre_loss,
    ):
        _print(job, phase())
    del simulation
    per_record_simulation = FleetSimulation(
        strategy, count, detects_silent_data_centres=False
    )
    _print(job, per_record_simulation.measure_data_centre_loss())
    _print(job, {"run_s": time.monotonic() - started})


def _print(job, figures):
    values = ["%s=%.1f" % item for item in figures.items()]
    print("%s %d: %s" % (*job, " ".join(values)), flush=True)


def main(sizes=(50, 200), names=None, workers=3):
    """Run the measurements of each strategy and size in worker processes.

    :param sizes: numbers of balancers; the default takes about two minutes,
        1,800 take more than ten.
    :param names: strategies; all by default.
    :param workers: number of worker processes.
    """
    names = names or sorted(strategies.strategies_by_name)
    jobs = [(name, size) for size in reversed(sizes) for name in names]
    received, sent = agent_bytes_per_s()
    print("agents: %.0f B/s received, %.0f B/s sent" % (received, sent))
    with multiprocessing.Pool(workers) as pool:
        pool.map(measure, jobs, chunksize=1)


if __name__ == "__main__":
    fire.Fire(main)
