"""The time that a server asks to be left alone, from `Retry-After`."""

import datetime
import email.utils
import math
import re

SECONDS = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')
UNREADABLE = math.nan  # a time that the server stated but nobody can read
MAX_WAIT_S = 600.0  # a server that states more is asked again after this


def parse_retry_after(text: str, date_text: str, wall_s: float) -> float:
    """Parses seconds or an HTTP date.

    Args:
        text: The value of the header.
        date_text: When the server sent it (header `Date`), or ''. A date is
            compared with this, so that differing clocks do no harm.
        wall_s: This node's time of day, for replies without a date.

    Returns:
        Seconds from 0 to MAX_WAIT_S, or UNREADABLE.
    """
    text = text.strip()
    if SECONDS.fullmatch(text):
        return min(float(text), MAX_WAIT_S)
    until_s = _parse_date(text)
    if until_s is None:
        return UNREADABLE
    sent_s = _parse_date(date_text)
    wait_s = until_s - (wall_s if sent_s is None else sent_s)
    return min(max(wait_s, 0.0), MAX_WAIT_S)


def _parse_date(text: str) -> float | None:
    try:
        date = email.utils.parsedate_to_datetime(text)
        if date.tzinfo is None:
            date = date.replace(tzinfo=datetime.UTC)
        return date.timestamp()
    except (TypeError, ValueError, OverflowError, IndexError):
        return None
