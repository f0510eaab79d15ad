"""HTTP status, message and recommended next step for each answer."""

from typing import NamedTuple

from balsamshore_core import actions


class Explanation(NamedTuple):
    """An HTTP status, a message and the recommended next step."""

    status: int
    message: str
    next: str


COMPLETE = Explanation(200, 'every shard is covered', '')
PARTIAL = Explanation(
    200,
    'some shards are lacking; they are named',
    'use what there is, or ask again for the rest',
)
UNKNOWN = Explanation(
    502,
    'the request may have run; no result is known',
    'ask again if the class may be repeated; otherwise check by other '
    'means whether it ran',
)
NOT_RUN = Explanation(
    503, 'the request did not run', 'ask again after retry_after_s'
)
BY_REASON = {
    ('not run', 'unknown_class'): Explanation(
        404, 'no such class', 'list the classes with GET /v1/targets'
    ),
    ('not run', 'request_id_required'): Explanation(
        428,
        'this class runs at most once and needs a request id of ours',
        'POST /v1/request-ids, then send the request with that id',
    ),
    ('not run', 'request_id_reused'): Explanation(
        409,
        'this request id belongs to a request with other contents',
        'take a new request id for a new request',
    ),
    ('not run', 'quarantined'): Explanation(
        422,
        'backend servers were lost while running this very request',
        'do not send it again before retry_after_s; report it',
    ),
    ('not run', 'overloaded'): Explanation(
        503,
        'the request could not have finished within its deadline',
        'ask again after retry_after_s',
    ),
    ('not run', 'rate_limited'): Explanation(
        503,
        'the backend servers take no more requests before its deadline',
        'ask again after retry_after_s',
    ),
    ('unknown', 'issuer_gone'): Explanation(
        502,
        'the VM that issued the request id has left or restarted; the '
        'request may have run',
        'check by other means whether it ran before taking a new id',
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
