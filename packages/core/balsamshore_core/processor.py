"""What a node that gets too little processor time has to allow for.

The engine measures by how much its timers are late. As late as these are the
sending of a request and the reading of its reply, so that a server seems slow
and a connection silent although only this node is. What such a node would do
about it (hedge, retry, open connections) takes still more processor time.
"""

from balsamshore_core import blackboard

# A request waits to be written, its reply to be read, each as long as a timer
# is late, and another reply may be handled first.
LAGS_PER_REPLY = 3.0


def find_reading_delay(board: blackboard.Blackboard) -> float:
    """Returns how long this node may take for a reply itself, in seconds."""
    return LAGS_PER_REPLY * board.processor.lag_s
