"""How long before its caller's aim an answer has to leave.

The aim counts from the caller's first step towards the request: opening a
connection, where there is none yet, then sending the request. A node sees
neither; it knows the round trip of the connection, as the kernel measures it,
and whether the connection is new. Whoever is near keeps the time that a margin
for all callers would take from its last parts; whoever is far away gets its
answer in time.
"""

from typing import NamedTuple

WAKE_UP_S = 0.005  # until the loops here and at the caller have run
# Sending a part and reading its reply, about a kilobyte on a link of 50 to 100
# Mbit/s: requests and answers of callers wait behind those of other requests.
PART_S = 0.00015
TYPICAL_ROUND_TRIP_S = 0.003  # where the kernel does not measure it
MAX_ROUND_TRIP_S = 0.2  # longer ones are pauses, not distances
MAX_SHARE = 0.5  # of the objective; more would leave parts no time


class Distance(NamedTuple):
    """How far away a caller is.

    Attributes:
        round_trip_s: Round trip of its connection.
        connecting: Whether it opened the connection for this request.
    """

    round_trip_s: float = TYPICAL_ROUND_TRIP_S
    connecting: bool = False


TYPICAL = Distance()


def find_margin(
    distance: Distance, objective_s: float, parts: int = 1
) -> float:
    """Returns how many seconds before the aim an answer has to leave.

    The request and the answer take a round trip together, opening a
    connection takes another one.

    Args:
        distance: How far away the caller is.
        objective_s: From the caller's first step until the answer.
        parts: Number of parts of the request.
    """
    round_trips = 2 if distance.connecting else 1
    round_trip_s = min(distance.round_trip_s, MAX_ROUND_TRIP_S)
    margin_s = WAKE_UP_S + round_trips * round_trip_s + (parts - 1) * PART_S
    return min(margin_s, MAX_SHARE * objective_s)
