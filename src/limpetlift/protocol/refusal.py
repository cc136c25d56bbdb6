"""The table of refusal codes."""

import attrs

NOT_RUN = "not_run"
OUTCOME_UNKNOWN = "outcome_unknown"


@attrs.frozen
class Refusal:
    """Why a request got no answer.

    :param code: stable word, sent in ``X-Refusal-Code``.
    :param outcome: ``NOT_RUN`` or ``OUTCOME_UNKNOWN``.
    :param status: HTTP status towards the caller.
    :param text: one sentence for a person.
    :param retryable: whether the system may try another agent.
    """

    code: str
    outcome: str
    status: int
    text: str
    retryable: bool = False


refusals_by_code = {}


def _refusal(code, outcome, status, text, retryable=False):
    refusals_by_code[code] = Refusal(code, outcome, status, text, retryable)


_refusal("bad_request", NOT_RUN, 400, "The request is malformed.")
_refusal("too_large", NOT_RUN, 413, "The body exceeds the limit.")
_refusal("unknown_service", NOT_RUN, 404, "No such service here.")
_refusal("no_target", NOT_RUN, 503, "No backend server is known.", True)
_refusal("connect_failed", NOT_RUN, 503, "No agent was reached.", True)
_refusal("draining", NOT_RUN, 503, "The backend server leaves.", True)
_refusal("queue_full", NOT_RUN, 503, "The queue is full.", True)
_refusal(
    "deadline_unreachable", NOT_RUN, 503, "The deadline cannot be met.", True
)
_refusal("peer_free", NOT_RUN, 503, "Another agent has a free slot.", True)
_refusal("deadline_passed", NOT_RUN, 504, "The deadline passed in the queue.")
_refusal("retry_budget", NOT_RUN, 503, "The retry budget is used up.")
_refusal("claim_conflict", NOT_RUN, 409, "The key is being claimed.", True)
_refusal("no_quorum", NOT_RUN, 503, "No majority of the service answers.")
_refusal(
    "claims_full", NOT_RUN, 503, "Too many keys are remembered at present."
)
_refusal(
    "roster_pending", NOT_RUN, 503, "The agent may not claim keys yet.", True
)
_refusal("backend_down", NOT_RUN, 503, "The backend server is down.", True)
_refusal("stopping", NOT_RUN, 503, "The process is stopping.", True)
_refusal("key_running", OUTCOME_UNKNOWN, 409, "The key is running elsewhere.")
_refusal(
    "answer_expired", OUTCOME_UNKNOWN, 409, "The key ran; its answer is gone."
)
_refusal("outcome_unknown", OUTCOME_UNKNOWN, 504, "The request may have run.")
_refusal("cut", OUTCOME_UNKNOWN, 502, "The answer was cut.")
_refusal("timeout", OUTCOME_UNKNOWN, 504, "The deadline passed while running.")
