"""What servers say about themselves in their replies.

- That they drain: `departures` says what follows.
- That they want no request from this node for a while, with a refusal for lack
  of capacity. The node keeps to it until a new incarnation takes the place of
  the server. A part all of whose servers want nothing waits if the first of
  them is back before its request's deadline, and fails at once otherwise.

A value that cannot be read changes nothing.
"""

import collections.abc

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import departures
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import timers

SPREAD_SHARE = 0.1  # of a wait; so that not all nodes return at one moment
MAX_SPREAD_S = 1.0
UNREADABLE_LIMIT = 256  # incarnations whose invalid values were logged


class Statements:
    """Acts on the statements of servers."""

    def __init__(self, board: boards.Board, statement_timers: timers.Timers):
        self._board = board
        self._timers = statement_timers
        self._unreadable: set[tuple[str, int]] = set()
        self._timer_at: dict[str, float] = {}
        self._closed_until: dict[str, float] = {}  # by service, the latest

    def record(
        self, server: servers.Server, reply: actions.Reply, now: float
    ) -> None:
        """Records what a reply states about its server."""
        if reply.draining:
            self._record_departure(server.entry, now)
        elif not reply.failed:
            self._board.departed.hear_staying(server.entry.incarnation)
        if reply.wait_s > 0:
            self._record_wait(server, reply.wait_s, now)
        if reply.unreadable:
            self._record_unreadable(server.entry, reply.unreadable)

    def apply_reports(
        self,
        reports: collections.abc.Mapping[str, departures.DepartureReport],
        now: float,
    ) -> None:
        """Applies another node's reports about draining servers."""
        for server_id, report in reports.items():
            if self._board.departed.record(
                (server_id, report.born_ms), now - report.age_s
            ):
                self._board.counters['departures_reported'] += 1

    def find_reopening(self, service: str, now: float) -> float | None:
        """Returns when the first server of a service wants requests again.

        None if there is one that wants them now, or no server at all.
        """
        if self._closed_until.get(service, 0.0) <= now:
            return None
        usable = self._board.list_usable(service, now)
        reopens_at = min(
            (server.closed_until for server in usable), default=0.0
        )
        return reopens_at if reopens_at > now else None

    def is_out(self, part: boards.Part, now: float) -> bool:
        """Returns whether no server wants a part before its deadline.

        The request then notes when the part can be sent.
        """
        reopens_at = self.find_reopening(part.service, now)
        exchange = part.exchange
        if reopens_at is None or reopens_at < exchange.deadline_at:
            return False
        exchange.unavailable_until = max(exchange.unavailable_until, reopens_at)
        return True

    def wait(self, part: boards.Part, now: float) -> None:
        """Starts a timer for when a server wants requests again."""
        reopens_at = self.find_reopening(part.service, now)
        if reopens_at is None:
            return
        if now < self._timer_at.get(part.service, 0.0) <= reopens_at:
            return
        self._timer_at[part.service] = reopens_at
        self._timers.start(reopens_at, 'reopening', part.service)

    def _record_departure(self, entry: servers.ServerEntry, now: float) -> None:
        if not self._board.departed.record(entry.incarnation, now):
            return
        self._board.counters['departures_heard'] += 1
        self._board.departure_reports[entry.server_id] = (
            departures.DepartureReport(entry.born_ms, 0.0)
        )
        self._note('draining', entry)

    def _record_wait(
        self, server: servers.Server, wait_s: float, now: float
    ) -> None:
        spread_s = min(SPREAD_SHARE * wait_s, MAX_SPREAD_S)
        until = now + wait_s + spread_s * self._board.rng.random()
        if server.closed_until <= now:
            self._note('closed', server.entry, f'for {wait_s:g} s')
        server.record_wait(until)
        service = server.entry.service
        self._closed_until[service] = max(
            self._closed_until.get(service, 0.0), until
        )
        self._board.counters['waits_heard'] += 1

    def _record_unreadable(
        self, entry: servers.ServerEntry, header: str
    ) -> None:
        self._board.counters['statements_unreadable'] += 1
        if entry.incarnation in self._unreadable:
            return
        if len(self._unreadable) < UNREADABLE_LIMIT:
            self._unreadable.add(entry.incarnation)
            self._note('unreadable', entry, header)

    def _note(
        self, what: str, entry: servers.ServerEntry, detail: str = ''
    ) -> None:
        self._board.notes.append(
            boards.Note(what, entry.server_id, entry.service, detail)
        )
