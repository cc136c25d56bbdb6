"""The codes of refused requests, with their HTTP status and outcome."""

import attrs

# The backend server did not run the request.
NOT_RUN = "not_run"
# The backend server may have run the request.
OUTCOME_UNKNOWN = "outcome_unknown"


@attrs.frozen
class Refusal:
    """A reason why a request got no answer from its backend server.

    :param code: short word that stays the same between versions; the caller
        gets it in ``X-Refusal-Code``.
    :param outcome: ``NOT_RUN`` or ``OUTCOME_UNKNOWN``.
    :param status: HTTP status code of the response to the caller.
    :param text: the reason in one sentence.
    :param retryable: whether the balancer may send the request to another
        agent.
    """

    code: str
    outcome: str
    status: int
    text: str
    retryable: bool = False


refusals_by_code = {}


def _register(code, outcome, status, text, retryable=False):
    refusals_by_code[code] = Refusal(code, outcome, status, text, retryable)


_register("bad_request", NOT_RUN, 400, "The request is malformed.")
_register(
    "too_large", NOT_RUN, 413, "The request body exceeds the size limit."
)
_register("unknown_service", NOT_RUN, 404, "The service is not known.")
_register("no_target", NOT_RUN, 503, "No backend server is known.", True)
_register("connect_failed", NOT_RUN, 503, "No agent could be reached.", True)
_register("draining", NOT_RUN, 503, "The backend server is draining.", True)
_register("queue_full", NOT_RUN, 503, "The queue is full.", True)
_register(
    "deadline_unreachable", NOT_RUN, 503, "The deadline cannot be met.", True
)
_register("peer_free", NOT_RUN, 503, "Another agent has a free slot.", True)
_register("deadline_passed", NOT_RUN, 504, "The deadline passed in the queue.")
_register("retry_budget", NOT_RUN, 503, "The retry budget is used up.")
_register(
    "claim_conflict",
    NOT_RUN,
    409,
    "Another request is claiming the key.",
    True,
)
_register(
    "no_quorum", NOT_RUN, 503, "No majority of the service's agents answers."
)
_register(
    "claims_full", NOT_RUN, 503, "The agent stores its maximum number of keys."
)
_register(
    "roster_pending",
    NOT_RUN,
    503,
    "The agent is not yet allowed to claim keys.",
    True,
)
_register(
    "backend_down", NOT_RUN, 503, "The backend server cannot be reached.", True
)
_register("stopping", NOT_RUN, 503, "The process is stopping.", True)
_register(
    "key_running",
    OUTCOME_UNKNOWN,
    409,
    "A request with the same key is running.",
)
_register(
    "answer_expired",
    OUTCOME_UNKNOWN,
    409,
    "A request with the same key ran; its answer has expired.",
)
_register("outcome_unknown", OUTCOME_UNKNOWN, 504, "The request may have run.")
_register(
    "cut",
    OUTCOME_UNKNOWN,
    502,
    "The answer of the backend server is incomplete.",
)
_register(
    "timeout",
    OUTCOME_UNKNOWN,
    504,
    "The deadline passed while the request ran.",
)
