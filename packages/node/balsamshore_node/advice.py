"""HTTP status, message and recommended next step for each answer."""

from typing import NamedTuple

from balsamshore_core import actions


class Explanation(NamedTuple):
    """An HTTP status, a message and the recommended next step."""

    status: int
    message: str
    next: str


COMPLETE = Explanation(200, 'all shards are covered', '')
PARTIAL = Explanation(
    200,
    'some shards are not covered; coverage.lacking lists them',
    'use the partial result, or send the request again',
)
UNKNOWN = Explanation(
    502,
    'the request may have run; its result is unknown',
    'retry if the class is idempotent; otherwise check by other means '
    'whether the request ran',
)
NOT_RUN = Explanation(
    503, 'the request did not run', 'retry after retry_after_s seconds'
)
BY_REASON = {
    ('not run', 'unknown_class'): Explanation(
        404, 'no such class', 'list the classes with GET /v1/targets'
    ),
    ('not run', 'request_id_required'): Explanation(
        428,
        'this class runs at most once and needs a request id issued by a VM',
        'POST /v1/request-ids, then send the request with that id',
    ),
    ('not run', 'request_id_reused'): Explanation(
        409,
        'this request id was already used for a different request',
        'get a new request id for each new request',
    ),
    ('not run', 'quarantined'): Explanation(
        422,
        'backend servers were lost while running an identical request',
        'do not retry before retry_after_s seconds; report the request',
    ),
    ('not run', 'overloaded'): Explanation(
        503,
        'the request could not have finished within its deadline',
        'retry after retry_after_s seconds',
    ),
    ('unknown', 'issuer_gone'): Explanation(
        502,
        'the VM that issued the request id has left or restarted; the '
        'request may have run',
        'check by other means whether it ran before getting a new id',
    ),
}
BY_OUTCOME = {
    'complete': COMPLETE,
    'partial': PARTIAL,
    'unknown': UNKNOWN,
    'not run': NOT_RUN,
}


def explain(answer: actions.Answer) -> Explanation:
    """Returns the explanation for an answer."""
    key = (answer.outcome, answer.reason)
    return BY_REASON.get(key, BY_OUTCOME[answer.outcome])
