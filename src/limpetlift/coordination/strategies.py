"""Which balancers get a change: the dissemination strategies.

A change stays hot at a process for a number of rounds; in each round all hot
changes go to the peers that the strategy names. A strategy sees only the
live balancers of the view.
"""

import math

import attrs

from limpetlift.coordination import digest
from limpetlift import defaults
from limpetlift import registry

strategies_by_name = {}

# Rebuilding the peers costs in proportion to their number, so a mass change
# of balancers must not rebuild them for each record.
_REFRESH_S = 1.0


@attrs.define
class Strategy:
    """Base of the strategies.

    :param view: the view of this process.
    :param rng: a ``random.Random``.
    """

    view: object
    rng: object
    _peers: list = attrs.field(factory=list, repr=False)
    _version: int = -1
    _refresh_at: float = -math.inf

    # Whether hearing a change again makes it less hot.
    counts_duplicates = True

    def refresh(self, now):
        """Rebuild the peers when the view has other balancers."""
        if self._version == self.view.balancers_version:
            return
        if now >= self._refresh_at or not self._peers:
            self._version = self.view.balancers_version
            self._refresh_at = now + _REFRESH_S
            self._peers = self._build()

    def _build(self):
        own_id = self.view.own_id
        return [
            agent_id
            for agent_id in self.view.all_balancers()
            if agent_id != own_id
        ]

    def _log_size(self):
        return math.log(len(self._peers) + 1)

    def rounds(self, mass):
        """Return for how many rounds a change is hot.

        :param mass: whether many changes are hot; anti-entropy then brings
            the rest with fewer copies.
        """
        raise NotImplementedError

    def peers(self, number):
        """Return the ids of the peers of round ``number``."""
        raise NotImplementedError


@registry.register(strategies_by_name, "uniform")
@attrs.define
class Uniform(Strategy):
    """Two peers at random in each round."""

    _PEERS = 2

    def rounds(self, mass):
        """Return for how many rounds a change is hot."""
        return 1 if mass else math.ceil(self._log_size() / 2) + 1

    def peers(self, number):
        """Return the ids of the peers of round ``number``."""
        return self.rng.sample(self._peers, min(self._PEERS, len(self._peers)))


@registry.register(strategies_by_name, "relays")
@attrs.define
class Relays(Strategy):
    """Through relays: three balancers of each data centre.

    A balancer sends to the relays of its data centre. A relay sends to one
    relay of each other data centre and to all balancers of its own.
    """

    _own_relays: list = attrs.field(factory=list)
    _foreign: list = attrs.field(factory=list)
    _local: list = attrs.field(factory=list)

    counts_duplicates = False
    _LOCAL_IN_ROUND = 20

    def _build(self):
        own = self.view.get(self.view.own_id)
        self._foreign = []
        for data_centre in self.view.data_centres():
            # The lowest keys; every process finds the same without asking.
            relays = sorted(
                self.view.balancers(data_centre), key=digest.key_of
            )[: defaults.RELAYS_PER_DATA_CENTRE]
            if data_centre == own.data_centre:
                self._own_relays = relays
            elif relays:
                self._foreign.append(relays)
        self._local = [
            agent_id
            for agent_id in self.view.balancers(own.data_centre)
            if agent_id != own.agent_id
        ]
        self.rng.shuffle(self._local)
        return Strategy._build(self)

    def _is_relay(self):
        return self.view.own_id in self._own_relays

    def rounds(self, mass):
        """Return for how many rounds a change is hot."""
        if not self._is_relay():
            return 1
        return max(1, math.ceil(len(self._local) / self._LOCAL_IN_ROUND))

    def peers(self, number):
        """Return the ids of the peers of round ``number``."""
        if not self._is_relay():
            return self._own_relays
        rounds = self.rounds(False)
        position = number % rounds
        local = self._local[position::rounds]
        share = self._foreign[position::rounds]
        return [self.rng.choice(relays) for relays in share] + local


@registry.register(strategies_by_name, "logdistance")
@attrs.define
class LogDistance(Strategy):
    """Peers at logarithmically spaced distances on a ring of balancers.

    Each round takes the next range of distances [2^k, 2^(k+1)), in each
    direction, and chooses at random within it. The idea is that of the log
    random substrate of J. Rose, C. Hall and A. Carzaniga, "Spinneret: a log
    random substrate for P2P networks" (IPDPS 2007).
    """

    # The ring is sorted by data centre, so that short links stay in it.
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

    def rounds(self, mass):
        """Return for how many rounds a change is hot."""
        return 1 if mass else math.ceil(self._log_size() / 2) + 1

    def peers(self, number):
        """Return the ids of the peers of round ``number``."""
        count = len(self._peers)
        if count < 2:
            return list(self._peers)
        ranges = (count // 2).bit_length()
        low = 1 << (number % ranges)
        high = max(low + 1, min(2 * low, count // 2 + 1))
        # Index i holds the peer at distance i + 1 clockwise.
        forward = self.rng.randrange(low, high) - 1
        backward = count - self.rng.randrange(low, high)
        return list({self._peers[forward]: 0, self._peers[backward]: 0})
