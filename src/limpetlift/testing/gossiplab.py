"""Measures the dissemination strategies on virtual time.

``python -m limpetlift.testing.gossiplab`` runs the real balancer membership
in 9 data centres of 3 regions with 1% loss and prints one row for each
strategy and number of balancers. Agents are stand-ins that answer probes;
the bytes of their heartbeats are added from the sizes of the messages.
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
from limpetlift.coordination import view
from limpetlift import defaults
from limpetlift.protocol import messages
from limpetlift.testing import network

_DATA_CENTRES = 9
_REGIONS = 3
_BALANCERS = 1800
_AGENTS = 14000
# 2,300 restarts a day with three changes each.
_CHANGES_PER_S = 2300 * 3 / 86400
_STEADY_S = 24.0
# Long enough for the other side to look dead; the changes of an hour are
# merged into the views of each side at its end.
_PARTITION_S = 15.0
_PARTITION_CHANGES = int(_CHANGES_PER_S * 3600)
_POLL_S = 0.1
_LIMIT_S = 60.0
_WINDOW_S = 20.0


@attrs.define
class StubAgent:
    """Answers probes as an agent that has other sponsors."""

    own: member.Member

    def tick(self, now):
        """Do nothing."""
        return []

    def on_message(self, now, sender, incarnation, message, source=""):
        """Answer a probe."""
        if not isinstance(message, messages.structs.Probe):
            return []
        return [actions.Send(sender, heartbeat(self.own, leaving=True))]


def heartbeat(record, leaving=None, full=True):
    """Return a heartbeat of an agent."""
    return messages.structs.Heartbeat(
        member=record.to_message() if full else None,
        config_revision=100000,
        view_hash=b"" if leaving else bytes(8),
        sequence=record.sequence,
        leaving=leaving,
    )


def agent_bytes_per_s():
    """Return what agents cost a balancer: ``(received, sent)``."""
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
class Lab:
    """One fleet of balancers with settled views.

    :param strategy: name of the strategy.
    :param count: number of balancers.
    :param judge: whether silent data centres are judged as a whole.
    """

    strategy: str
    count: int
    judge: bool = True
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
        # Only the agents of the data centre that will be lost have records.
        self.agents = [
            make_record(member.AGENT, index, agents)
            for index in range(math.ceil(agents / _DATA_CENTRES))
        ]
        known = view.View("")
        for record in self.balancers + self.agents:
            known.merge(0.0, record)
        rate = defaults.CONTROL_BYTES_PER_S - agent_bytes_per_s()[1]
        for record in self.balancers:
            one = fleet.BalancerMembership(
                record,
                random.Random(record.agent_id),
                strategy=self.strategy,
                token_bucket=budget.TokenBucket(rate),
            )
            one.view.load(known)
            if not self.judge:
                one.reachability.min_balancers = sys.maxsize
            self.net.add(one)
        for record in self.agents:
            self.net.add(StubAgent(record))
        self.net.run(5.0)

    def alive(self):
        """Return the balancers that run."""
        return list(
            filter(network.is_balancer, self.net.members_by_id.values())
        )

    def sent(self):
        """Return the bytes sent so far by each live balancer."""
        return {
            one.own.agent_id: self.net.traffic_by_id[one.own.agent_id].sent
            for one in self.alive()
        }

    def new_record(self, index):
        """Return the record of one more agent, which answers probes."""
        record = attrs.evolve(
            make_record(member.AGENT, _AGENTS + index, 2 * _AGENTS),
            incarnation=1764900000000 + int(self.net.now * 1000),
        )
        self.net.add(StubAgent(record))
        return record

    def change(self, index):
        """Change a record through a random balancer; return the record."""
        record = self.new_record(index)
        receiver = self.rng.choice(self.alive())
        found = receiver.on_message(
            self.net.now,
            record.agent_id,
            record.incarnation,
            heartbeat(record, leaving=True),
            record.address,
        )
        self.net.carry_out(receiver.own.agent_id, found)
        return record

    def until(self, is_done, step=_POLL_S):
        """Run until ``is_done(membership)`` for all; return the seconds."""
        start = self.net.now
        waiting = self.alive()
        while waiting and self.net.now - start < _LIMIT_S:
            self.net.run(step)
            waiting = [one for one in waiting if not is_done(one)]
        return self.net.now - start if not waiting else math.inf

    def steady(self):
        """Return bytes a second and the slowest spread at the daily rate."""
        before = self.sent()
        start = self.net.now
        slowest = 0.0
        for index in range(max(1, int(_STEADY_S * _CHANGES_PER_S))):
            record = self.change(index)
            slowest = max(
                slowest, self.until(lambda one: one.view.get(record.agent_id))
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
        after = self.sent()
        return [
            (after[agent_id] - before[agent_id]) / seconds
            for agent_id in after
            if agent_id in before
        ]

    def partition(self):
        """Cut off a region; return the seconds and bytes of the healing."""
        cut_off = {r.agent_id for r in self.balancers if r.region[-1] == "0"}
        cut_off.update(record.agent_id for record in self.agents)
        self.net.is_cut = lambda a, b: (a in cut_off) != (b in cut_off)
        self.net.run(_PARTITION_S)
        # The changes of an hour: each side has spread its own long ago.
        for index in range(_PARTITION_CHANGES):
            record = self.new_record(1000 + index)
            inside = index % _REGIONS == 0
            if inside:
                cut_off.add(record.agent_id)
            for one in self.alive():
                if (one.own.agent_id in cut_off) == inside:
                    one.view.merge(self.net.now, record)
        before, start = self.sent(), self.net.now
        self.net.is_cut = None
        seen_s = self.until(lambda one: not one.view.silent_data_centres())
        root = self._agreed_root
        agreed_s = self.until(lambda one: one.view.digest.root == root(), 0.5)
        rates = self._rates(before, self.net.now - start)
        return {
            "heal_seen_s": seen_s,
            "heal_s": seen_s + agreed_s,
            "heal_bytes_s": max(rates),
        }

    def _agreed_root(self):
        roots = [one.view.digest.root for one in self.alive()[:5]]
        return roots[0] if len(set(roots)) == 1 else None

    def lose_data_centre(self):
        """End a data centre; return the seconds until all know, and bytes."""
        lost = [r for r in self.balancers if r.data_centre == "dc-0"]
        known = self.alive()[-1].view
        for record in self.agents:
            foreign = sponsor.choose_sponsors(known, record)[2:3]
            for agent_id in foreign:
                one = self.net.members_by_id[agent_id]
                # Only the heartbeat at the sponsor outside matters.
                one.on_message(
                    self.net.now,
                    record.agent_id,
                    record.incarnation,
                    heartbeat(record),
                )
        for record in lost + self.agents:
            self.net.kill(record.agent_id)
        ids = [record.agent_id for record in lost + self.agents]
        before, start = self.sent(), self.net.now

        def knows(one):
            return not any(
                one.view.effective_state(one.view.get(agent_id))
                in member.LIVE_STATES
                for agent_id in ids
            )

        seconds = self.until(knows, 0.5)
        self.net.run(max(0.0, start + _WINDOW_S - self.net.now))
        rates = self._rates(before, self.net.now - start)
        name = "loss" if self.judge else "loss_records"
        return {
            name + "_s": seconds,
            name + "_bytes": sum(rates) / len(rates) * (self.net.now - start),
            name + "_max_bytes_s": max(rates),
        }


def measure(job):
    """Print the figures of ``(strategy, balancers)``."""
    strategy, count = job
    started = time.monotonic()
    lab = Lab(strategy, count)
    for phase in (lab.steady, lab.partition, lab.lose_data_centre):
        _print(job, phase())
    del lab
    records = Lab(strategy, count, judge=False)
    _print(job, records.lose_data_centre())
    _print(job, {"run_s": time.monotonic() - started})


def _print(job, figures):
    values = ["%s=%.1f" % item for item in figures.items()]
    print("%s %d: %s" % (*job, " ".join(values)), flush=True)


def main(sizes=(50, 200), names=None, workers=3):
    """Run all jobs; each prints a line for each phase.

    :param sizes: numbers of balancers; the default takes about two minutes,
        1,800 take more than ten.
    :param names: strategies; all by default.
    :param workers: processes to use.
    """
    names = names or sorted(strategies.strategies_by_name)
    jobs = [(name, size) for size in reversed(sizes) for name in names]
    received, sent = agent_bytes_per_s()
    print("agents: %.0f B/s received, %.0f B/s sent" % (received, sent))
    with multiprocessing.Pool(workers) as pool:
        pool.map(measure, jobs, chunksize=1)


if __name__ == "__main__":
    fire.Fire(main)
