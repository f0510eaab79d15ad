"""The final answer to a caller once an exchange ends.

A scattered request is answered with the covered parts if they meet the
coverage floor. The outcome is `not run` only if no attempt ran or may
still run; what the caller is told follows from the table in `knowledge`.
"""

import random

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import knowledge
from balsamshore_core.forwarding import records

BASE_RETRY_DELAY_S = 0.1  # a server empties its queue in about this time
RETRY_JITTER_S = 0.4  # retries of refused callers are spread over this time
MIN_RETRY_DELAY_S = 0.02  # applies to callers with little time left
MAX_RETRY_DELAY_SHARE = 1 / 3  # of the time left; callers wait at most this
OUTCOMES = {  # the last one depends on the reply
    knowledge.Telling.REFUSAL: 'not run',
    knowledge.Telling.FAILURE: 'unknown',
    knowledge.Telling.REPLY: '',
}
OVERLOADED = 'overloaded'  # its callers come back in turn; see `returns`
FLOAT_TOLERANCE = 1e-9  # 0.55 * 100 is slightly above 55 in floating point


def build(
    exchange: boards.Exchange,
    reason: str,
    now: float,
    rng: random.Random,
) -> actions.Answer:
    """Builds the final answer.

    Args:
        exchange: The request with the replies received so far.
        reason: Why it ends, or '' when every part is covered.
        now: Monotonic seconds.
        rng: Source of jitter for the retry delay.
    """
    reply = None
    if not exchange.route.shards:
        reply = exchange.parts[0].reply or exchange.last_reply
    elif meets_coverage_floor(exchange):
        return _merge_replies(exchange, reason)
    answer = forward(exchange, reason, reply)
    if answer.outcome != 'not run':
        return answer
    if reason == OVERLOADED:
        return answer._replace(
            retry_after_s=round(exchange.unavailable_until - now, 3)
        )
    return answer._replace(
        retry_after_s=max(
            choose_retry_delay(exchange.deadline_at - now, rng),
            round(exchange.unavailable_until - now, 3),
        )
    )


def forward(
    exchange: boards.Exchange, reason: str, reply: actions.Reply | None
) -> actions.Answer:
    """Builds the answer to a caller from a reply, if it may be told.

    Args:
        exchange: The request.
        reason: Why it ends, or ''.
        reply: The last reply of a server, the answer of another node or None.
    """
    known = find_known(exchange, reply)
    promises = reply.promises if reply is not None else None
    telling = knowledge.TELLINGS[known, promises]
    outcome = OUTCOMES[telling]
    if telling is knowledge.Telling.REPLY:
        assert reply is not None
        outcome = _find_outcome(known, reply)
    else:
        reply = None
    steps = tuple(exchange.steps)
    return actions.Answer(
        exchange.exchange_id, outcome, reason, reply, steps=steps, known=known
    )


def find_known(
    exchange: boards.Exchange, reply: actions.Reply | None
) -> knowledge.Known:
    """Returns what is known of a request that ends with this reply."""
    known = knowledge.Known.NOT_RUN if reply is None else reply.known
    if known is knowledge.Known.NOT_RUN and (
        exchange.may_have_run or exchange.running
    ):
        return knowledge.Known.UNKNOWN
    return known


def _find_outcome(known: knowledge.Known, reply: actions.Reply) -> str:
    if known is knowledge.Known.NOT_RUN:
        return 'not run'
    return 'complete' if reply.status < 500 else 'unknown'


def meets_coverage_floor(exchange: boards.Exchange) -> bool:
    """Returns whether the covered parts suffice for a merged answer."""
    return exchange.covered >= _find_required_parts(exchange)


def is_floor_unreachable(exchange: boards.Exchange) -> bool:
    """Returns whether the floor is missed even if all open parts succeed."""
    return exchange.covered + exchange.open_parts < _find_required_parts(
        exchange
    )


def is_floor_missed(exchange: boards.Exchange, missing: int) -> bool:
    """Returns whether the floor is missed if so many parts are missing."""
    return len(exchange.parts) - missing < _find_required_parts(exchange)


def choose_retry_delay(left_s: float, rng: random.Random) -> float:
    """Chooses the retry delay of a refused caller, with jitter."""
    preferred_s = BASE_RETRY_DELAY_S + RETRY_JITTER_S * rng.random()
    return round(
        max(
            MIN_RETRY_DELAY_S,
            min(preferred_s, left_s * MAX_RETRY_DELAY_SHARE),
        ),
        3,
    )


def _find_required_parts(exchange: boards.Exchange) -> float:
    share = exchange.route.coverage_floor
    return max(share * len(exchange.parts) - FLOAT_TOLERANCE, 1)


def _merge_replies(exchange: boards.Exchange, reason: str) -> actions.Answer:
    replies = [part.reply for part in exchange.parts if part.reply]
    missing = len(exchange.parts) - len(replies)
    return actions.Answer(
        exchange.exchange_id,
        'partial' if missing else 'complete',
        reason if missing else '',
        None,
        tuple(reply.seal for reply in replies),
        missing,
        records.merge_parts(
            (reply.body for reply in replies), exchange.route.top_records
        ),
        steps=tuple(exchange.steps),
        known=knowledge.Known.HAS_RUN,
    )
