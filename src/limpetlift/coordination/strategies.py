"""Dissemination strategies: which balancers receive a change by gossip.

A process sends a change for a number of rounds; in each round all queued
changes go to the peers that the strategy selects. A strategy uses only the
active balancers of the view.
"""

import math

import attrs

from limpetlift.coordination import digest
from limpetlift import defaults
from limpetlift import registry

strategies_by_name = {}

# The cost of rebuilding the peer list grows with the number of balancers, so a
# change of many balancers must not rebuild it for each record.
_MIN_REFRESH_INTERVAL_S = 1.0


@attrs.define
class Strategy:
    """Base of the strategies.

    :param view: the view of this process.
    :param rng: a ``random.Random``.
    """

    view: object
    rng: object
    _peers: list = attrs.field(factory=list, repr=False)
    _balancers_version: int = -1
    _next_refresh_at: float = -math.inf

    # Whether receiving a change again shortens the time for which it is sent.
    counts_duplicates = True

    def refresh(self, now):
        """Rebuild the peer list when the balancers of the view changed."""
        if self._balancers_version == self.view.balancers_version:
            return
        if now >= self._next_refresh_at or not self._peers:
            self._balancers_version = self.view.balancers_version
            self._next_refresh_at = now + _MIN_REFRESH_INTERVAL_S
            self._peers = self._build()

    def _build(self):
        own_id = self.view.own_id
        return [
            agent_id
            for agent_id in self.view.all_balancers()
            if agent_id != own_id
        ]

    def _log_peer_count(self):
        return math.log(len(self._peers) + 1)

    def rounds(self, is_mass_change):
        """Return for how many rounds a change is sent.

        :param is_mass_change: whether many changes are queued. Fewer copies
            are sent then, and anti-entropy delivers what they miss.
        """
        raise NotImplementedError

    def peers(self, round_number):
        """Return the ids of the peers of round ``round_number``."""
        raise NotImplementedError


@registry.register(strategies_by_name, "uniform")
@attrs.define
class Uniform(Strategy):
    """Two random peers in each round."""

    _PEERS_PER_ROUND = 2

    def rounds(self, is_mass_change):
        """Return for how many rounds a change is sent."""
        return (
            1 if is_mass_change else math.ceil(self._log_peer_count() / 2) + 1
        )

    def peers(self, round_number):
        """Return the ids of the peers of round ``round_number``."""
        return self.rng.sample(
            self._peers, min(self._PEERS_PER_ROUND, len(self._peers))
        )


@registry.register(strategies_by_name, "relays")
@attrs.define
class Relays(Strategy):
    """Three balancers of each data centre act as relays.

    A balancer sends to the relays of its data centre. A relay sends to one
    relay of each other data centre and to all balancers of its own one.
    """

    _own_relays: list = attrs.field(factory=list)
    _remote_relays: list = attrs.field(factory=list)
    _local_peers: list = attrs.field(factory=list)

    counts_duplicates = False
    _LOCAL_PEERS_PER_ROUND = 20

    def _build(self):
        own = self.view.get(self.view.own_id)
        self._remote_relays = []
        for data_centre in self.view.data_centres():
            # The relays are the balancers with the lowest keys, so that all
            # processes select the same ones without coordination.
            relays = sorted(
                self.view.balancers(data_centre), key=digest.key_of
            )[: defaults.RELAYS_PER_DATA_CENTRE]
            if data_centre == own.data_centre:
                self._own_relays = relays
            elif relays:
                self._remote_relays.append(relays)
        self._local_peers = [
            agent_id
            for agent_id in self.view.balancers(own.data_centre)
            if agent_id != own.agent_id
        ]
        self.rng.shuffle(self._local_peers)
        return Strategy._build(self)

    def _is_relay(self):
        return self.view.own_id in self._own_relays

    def rounds(self, is_mass_change):
        """Return for how many rounds a change is sent."""
        if not self._is_relay():
            return 1
        return max(
            1, math.ceil(len(self._local_peers) / self._LOCAL_PEERS_PER_ROUND)
        )

    def peers(self, round_number):
        """Return the ids of the peers of round ``round_number``."""
        if not self._is_relay():
            return self._own_relays
        rounds = self.rounds(False)
        position = round_number % rounds
        local = self._local_peers[position::rounds]
        share = self._remote_relays[position::rounds]
        return [self.rng.choice(relays) for relays in share] + local


@registry.register(strategies_by_name, "logdistance")
@attrs.define
class LogDistance(Strategy):
    """Peers at logarithmically spaced distances on a ring of balancers.

    Each round uses the next range of distances [2^k, 2^(k+1)) and selects one
    random peer within it in each direction. The idea is that of the log random
    substrate of J. Rose, C. Hall and A. Carzaniga, "Spinneret: a log random
    substrate for P2P networks".
    """

    # The ring is sorted by region and data centre, so that short distances
    # stay within a data centre.
    def _build(self):
        view = self.view
        own = view.get(view.own_id)
        ring = sorted(
            (
                view.get(agent_id).region,
                view.get(agent_id).data_centre,
                agent_id,
            )
            for agent_id in set(view.all_balancers()) | {own.agent_id}
        )
        position = ring.index((own.region, own.data_centre, own.agent_id))
        ordered = ring[position + 1 :] + ring[:position]
        return [agent_id for _, _, agent_id in ordered]

    def rounds(self, is_mass_change):
        """Return for how many rounds a change is sent."""
        return (
            1 if is_mass_change else math.ceil(self._log_peer_count() / 2) + 1
        )

    def peers(self, round_number):
        """Return the ids of the peers of round ``round_number``."""
        count = len(self._peers)
        if count < 2:
            return list(self._peers)
        ranges = (count // 2).bit_length()
        low = 1 << (round_number % ranges)
        high = max(low + 1, min(2 * low, count // 2 + 1))
        # Index i contains the peer at distance i + 1 in forward direction.
        forward = self.rng.randrange(low, high) - 1
        backward = count - self.rng.randrange(low, high)
        return list({self._peers[forward]: 0, self._peers[backward]: 0})
