"""Which requests are refused at once, before anything is sent.

A request is refused if it is stopped, because servers crash under it, if this
node reaches no server, if too few of its parts can reach a server that wants
requests, if its services lack the capacity, and if its time is over or the
rate limits of servers make it wait past its deadline.
"""

from balsamshore_core.forwarding import admissions
from balsamshore_core.forwarding import answers
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import isolation
from balsamshore_core.forwarding import rates
from balsamshore_core.forwarding import statements


class Refusals:
    """Decides which requests are refused at once."""

    def __init__(
        self,
        board: boards.Board,
        suspects_isolation: isolation.Isolation,
        server_rates: rates.Rates,
        server_statements: statements.Statements,
        request_admissions: admissions.Admissions,
    ):
        self._board = board
        self._isolation = suspects_isolation
        self._rates = server_rates
        self._statements = server_statements
        self._admissions = request_admissions

    def list_parts_out(
        self, exchange: boards.Exchange, now: float
    ) -> list[tuple[boards.Part, str]]:
        """Lists the parts that no server may get in time, and why."""
        closed = [
            part
            for part in exchange.parts
            if self._statements.is_out(part, now)
        ]
        parts_out = [(part, 'servers_closed') for part in closed]
        for part in self._rates.list_parts_out(exchange, now):
            if part not in closed:
                parts_out.append((part, 'rate_limited'))
        known = [part for part, _ in parts_out]
        for part in self._admissions.list_parts_out(exchange, now):
            if part not in known:
                parts_out.append((part, answers.OVERLOADED))
        return parts_out

    def find_refusal(
        self,
        exchange: boards.Exchange,
        parts_out: list[tuple[boards.Part, str]],
        now: float,
    ) -> str:
        """Returns why a request cannot be served now, or ''.

        Args:
            exchange: The request.
            parts_out: Its parts that no server may get in time, and why.
            now: Monotonic seconds.
        """
        if self._isolation.is_stopped(exchange, now):
            return 'quarantined'
        if self._board.reachability.is_cut_off:
            return 'cut_off'
        absent = [
            part
            for part in exchange.parts
            if not self._board.list_usable(part.service, now)
        ]
        if absent and answers.is_floor_missed(exchange, len(absent)):
            return self._find_absence(absent)
        if exchange.deadline_at <= exchange.arrived_at:
            return 'no_time'
        out = {id(part) for part, _ in parts_out}
        missing = len(parts_out) + sum(id(part) not in out for part in absent)
        if not parts_out or not answers.is_floor_missed(exchange, missing):
            return ''
        part, reason = parts_out[-1]
        if reason != answers.OVERLOADED:
            return parts_out[0][1]
        exchange.unavailable_until = max(
            exchange.unavailable_until,
            self._admissions.find_return(exchange, part.service, now),
        )
        return reason

    def _find_absence(self, absent: list[boards.Part]) -> str:
        """Returns why parts of a request have no usable server."""
        reasons = {self._board.find_absence(part.service) for part in absent}
        return 'evacuated' if 'evacuated' in reasons else 'no_replicas'
