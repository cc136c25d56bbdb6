"""Choice of the balancers that keep the record of where a flow is.

The network fabric may deliver the next segment of a flow to any balancer of
the data centre. A few of them, chosen by the flow's hash, keep its record, and
a balancer that does not know the flow asks them. With records at every
balancer, messages and memory of a balancer would grow with the flows of the
whole data centre.
"""

import attrs

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift import registry
from limpetlift import structs

policies_by_name = {}

# Flows with the same last bits of their hashes have the same keepers, so that
# the choice is computed once for them.
_BUCKETS = 1 << 10


@registry.register(policies_by_name, "few")
def _few(bucket, addresses):
    """Return some balancers, the first in the bucket's order of hashes.

    When a balancer joins or leaves, only flows that it keeps change.
    """
    seed = hashing.mixed(bucket)
    return sorted(
        addresses,
        key=lambda address: hashing.mixed(
            hashing.ring_position(address) ^ seed
        ),
    )[: defaults.RECORD_KEEPERS]


@registry.register(policies_by_name, "all")
def _all(_bucket, addresses):
    """Return all balancers; the baseline."""
    return list(addresses)


@structs.define
class Keepers:
    """The keepers of all flows of a data centre.

    :param addresses: ``(ip, port)`` of the balancers of the data centre.
    :param policy: name of a policy of this module.
    :raises StateError: when the policy does not exist.

    .. versionadded:: 0.2
    """

    addresses: frozenset
    policy: str = "few"
    _choose: object = attrs.field(init=False)
    _addresses_by_bucket: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self._choose = registry.lookup(
            policies_by_name, self.policy, "record policy"
        )

    def of(self, key):
        """Return the addresses of the balancers that keep a flow's record."""
        bucket = hashing.flow_hash(key) % _BUCKETS
        addresses = self._addresses_by_bucket.get(bucket)
        if addresses is None:
            addresses = self._choose(bucket, self.addresses)
            self._addresses_by_bucket[bucket] = addresses
        return addresses

    def group(self, records, excluded):
        """Return the records that each balancer keeps, by its address.

        :param records: objects with ``key``.
        :param excluded: address of a balancer to leave out.
        """
        records_by_address = {}
        for record in records:
            for address in self.of(record.key):
                if address != excluded:
                    records_by_address.setdefault(address, []).append(record)
        return records_by_address
