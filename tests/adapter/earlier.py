"""Runs the program as the release that said nothing of what it knows.

    python -m adapter.earlier

It takes a status for what is known of a request, at other nodes and at servers.
"""

import os
import sys

from adapter import cutoffs

from balsamshore_core.forwarding import knowledge
from balsamshore_platform import core
from balsamshore_platform import headers


def forget_knowledge():
    """Judges answers by their status and marks none for other nodes."""
    encode_answer = headers.Headers.encode_answer
    read_relayed_answer = headers.Headers.read_relayed_answer

    def encode_unmarked(self, answer, closing, relayed=False):
        del relayed
        return encode_answer(self, answer, closing)

    def read_by_status(self, status, fields, body):
        reply = read_relayed_answer(self, status, fields, body)
        refused = status in headers.PROMISES
        known = 'NOT_RUN' if refused else 'HAS_RUN'
        return reply._replace(refused=refused, told=knowledge.Known[known])

    headers.Headers.encode_answer = encode_unmarked
    headers.Headers.read_relayed_answer = read_by_status
    headers.HOP_BY_HOP_HEADERS -= {headers.KNOWN_HEADER}
    for known in knowledge.Known:
        knowledge.TELLINGS[known, True] = knowledge.Telling.REPLY


if __name__ == '__main__':
    forget_knowledge()
    cutoffs.install()
    sys.exit(core.main([], dict(os.environ), sys.stderr))
