"""Reports of backend servers.

This module is separate from the agent's decisions in ``hosting``: balancers
import it through the platform adapter, and should not load those at startup.
"""

from limpetlift import structs

READY = "ready"
DRAINING = "draining"
# The server has announced that it is leaving; it then exits by itself.
GONE = "gone"


@structs.frozen
class Report:
    """A status report of a backend server.

    :param server_id: id of the server.
    :param service: name of the server's service.
    :param started_ms: start time of the server in Unix milliseconds; 0 when
        the report does not contain it.
    :param number: sequence number; increases with each report after a start.
    :param state: :data:`READY`, :data:`DRAINING` or :data:`GONE`.
    :param slots: number of requests that the server runs concurrently.
    :param warmup_remaining_s: time until the server reaches its usual speed
        after its start.
    :param address: ``ip:port`` at which the server receives segments; empty
        when the report does not contain it.
    """

    server_id: str
    service: str
    started_ms: int
    number: int
    state: str
    slots: int
    warmup_remaining_s: float = 0.0
    address: str = ""


def is_same_incarnation(first, second):
    """Whether two reports come from the same start of the same server."""
    return (first.server_id, first.started_ms) == (
        second.server_id,
        second.started_ms,
    )
