"""Requests that are passed on to another node while this one is cut off.

Callers still have the address of a node for a while after it lost its links to
all servers. It passes their requests on to a node that reaches servers, whole
and once: the other node decides about it as about any request of a caller, so
budgets, limits and the quarantine count where servers are met. A node never
passes on what it got from another.

Another node says what it knows of the request; its status says nothing of that.
What it refuses and knows not to have run may go to one more. If the connection
breaks off, the request may have run: it is not sent again.
"""

import collections

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import answers
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import endings
from balsamshore_core.forwarding import knowledge

MAX_TRIES = 2  # nodes that one request is passed on to
MAX_OPEN = 256  # requests passed on at once; others are refused


class Relays:
    """Decides which requests are passed on, and to which node."""

    def __init__(self, board: boards.Board, request_endings: endings.Endings):
        self._board = board
        self._endings = request_endings
        self._open: dict[int, boards.Peer] = {}
        self._tried: dict[int, list[str]] = {}

    def pass_on(
        self, exchange: boards.Exchange, now: float, output: boards.Actions
    ) -> bool:
        """Passes a request on; returns whether it is.

        Its own attempts end. Those that may have reached a server make this a
        retry of their parts.
        """
        if exchange.relayed or len(self._open) >= MAX_OPEN:
            return False
        if not exchange.route.idempotent and (
            exchange.running or exchange.may_have_run
        ):
            return False
        peer = self._choose_peer(exchange)
        if peer is None or not self._spend_retries(exchange, now):
            return False
        for part in exchange.parts:
            for attempt in tuple(part.live):
                exchange.may_have_run = True
                self._endings.close(attempt, now, output)
        self._send(exchange, peer, now, output)
        return True

    def handle_reply(
        self,
        exchange: boards.Exchange,
        reply: actions.Reply,
        now: float,
        output: boards.Actions,
    ) -> None:
        """Passes a node's answer to the caller, or tries another node."""
        self._end(exchange)
        known = answers.find_known(exchange, reply)
        reason = 'relayed'
        if reply.refused or reply.promises:
            if known is not knowledge.Known.NOT_RUN:
                reason = 'relay_refused'
            elif self._try_again(exchange, now, output):
                return
        self._endings.finish(exchange, reason, now, output, reply)

    def handle_loss(
        self,
        exchange: boards.Exchange,
        written: bool,
        now: float,
        output: boards.Actions,
    ) -> None:
        """Handles a connection to a node that ended without an answer."""
        self._end(exchange)
        exchange.may_have_run = exchange.may_have_run or written
        if written or not self._try_again(exchange, now, output):
            self._endings.finish(exchange, 'relay_lost', now, output)

    def forget(self, exchange_id: int) -> None:
        """Drops the state of a request that has ended."""
        self._open.pop(exchange_id, None)
        self._tried.pop(exchange_id, None)

    def _try_again(
        self, exchange: boards.Exchange, now: float, output: boards.Actions
    ) -> bool:
        peer = self._choose_peer(exchange)
        if peer is None or now >= exchange.deadline_at:
            return False
        self._send(exchange, peer, now, output)
        return True

    def _send(
        self,
        exchange: boards.Exchange,
        peer: boards.Peer,
        now: float,
        output: boards.Actions,
    ) -> None:
        key = exchange.exchange_id
        self._open[key] = peer
        self._tried.setdefault(key, []).append(peer.name)
        exchange.passed_on = True
        exchange.record_step(now, 'passed_on', '', '', peer.name)
        self._board.counters['passed_on'] += 1
        output.append(
            actions.PassOn(
                key,
                peer.address,
                exchange.deadline_at - now,
                exchange.route.objective_s - (exchange.answer_at - now),
            )
        )

    def _end(self, exchange: boards.Exchange) -> None:
        self._open.pop(exchange.exchange_id, None)
        exchange.passed_on = False

    def _choose_peer(self, exchange: boards.Exchange) -> boards.Peer | None:
        """Chooses the less loaded of two random nodes not tried before."""
        tried = self._tried.get(exchange.exchange_id, ())
        candidates = [
            peer for peer in self._board.peers if peer.name not in tried
        ]
        if not candidates or len(tried) >= MAX_TRIES:
            return None
        loads = collections.Counter(peer.name for peer in self._open.values())
        picked = self._board.rng.sample(candidates, min(2, len(candidates)))
        return min(
            picked, key=lambda peer: (1 + loads[peer.name]) / peer.capacity
        )

    def _spend_retries(self, exchange: boards.Exchange, now: float) -> bool:
        """Spends the retry budget for parts that may have run already."""
        return all(
            self._board.get_retry_budget(part.service).spend_retry(
                now, self._board.slack_share
            )
            for part in exchange.parts
            if part.runs or part.live
        )
