"""Reports of backend servers.

They stand apart from the decisions of agents, because balancers, which import
the same adapter, need none of those at their start.
"""

import attrs

READY = "ready"
DRAINING = "draining"
# The server said that it leaves; it ends by itself.
GONE = "gone"


@attrs.frozen
class Report:
    """What a backend server says of itself.

    :param server_id: its id.
    :param service: name of its service.
    :param started_ms: its start, in Unix milliseconds, or 0 when not said.
    :param number: rises with each report since that start.
    :param state: :data:`READY`, :data:`DRAINING` or :data:`GONE`.
    :param slots: requests that it runs at a time.
    :param warming_s: how much longer it is slow after its start.
    """

    server_id: str
    service: str
    started_ms: int
    number: int
    state: str
    slots: int
    warming_s: float = 0.0


def is_same_start(first, second):
    """Whether two reports are of one start of one server."""
    return (first.server_id, first.started_ms) == (
        second.server_id,
        second.started_ms,
    )
