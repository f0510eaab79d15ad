"""Parts whose servers state how many requests a second they take.

A part waits for the first server that may get another request. What cannot be
sent before the answer is due is given up when its request arrives: the request
goes without that part, or is refused at once if too many are missing. Requests
that are admitted thus get all the parts for which there is room, and no server
spends its rate on an answer that is refused.
"""

import collections.abc

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import timers
from balsamshore_core.forwarding import waitqueues
from balsamshore_core.forwarding import warmups

URGENT_TOKENS = 1.0  # of each server, kept for the most urgent classes
MIN_WAIT_S = 0.001


class Rates:
    """Keeps requests within the rates that servers state."""

    def __init__(
        self,
        board: boards.Board,
        wait_queues: waitqueues.WaitQueues,
        rate_timers: timers.Timers,
    ):
        self._board = board
        self._wait_queues = wait_queues
        self._timers = rate_timers
        self._due_at: dict[str, float] = {}
        self._limited: set[str] = set()  # services with servers that have one

    def record_reply(
        self, attempt: boards.Attempt, reply: actions.Reply, now: float
    ) -> None:
        """Records the rate that a reply states, or that it states none.

        Only a served request shows that a limit has ended.
        """
        if reply.rate_limit is None and (reply.failed or reply.status >= 300):
            return
        server = attempt.server
        if not server.record_rate_limit(
            reply.rate_limit, attempt.sent_at, now, self._board.limit_phase
        ):
            return
        limit = server.limit
        assert limit is not None
        self._limited.add(server.entry.service)
        rate = limit.rate if limit.ended_at is None else None
        self._board.rate_reports[server.entry.server_id] = (
            ratelimits.RateReport(
                server.entry.born_ms, rate, now - limit.heard_at
            )
        )

    def apply_reports(
        self,
        reports: collections.abc.Mapping[str, ratelimits.RateReport],
        now: float,
    ) -> None:
        """Applies another node's reports about the limits of servers."""
        for server_id, report in reports.items():
            server = self._board.registry.find(server_id)
            if server is not None:
                server.record_rate_report(report, now, self._board.limit_phase)
                self._limited.add(server.entry.service)

    def list_parts_out(
        self, exchange: boards.Exchange, now: float
    ) -> list[boards.Part]:
        """Lists the parts that no server may get before the answer is due."""
        limited = self._limited | self._board.registry.warming
        if not limited:
            return []
        return [
            part
            for part in exchange.parts
            if part.service in limited
            and self._find_expected_wait(part, now) > exchange.answer_at - now
        ]

    def find_kept_tokens(self, route: routes.Route) -> float:
        """Returns the tokens that a class leaves to more urgent ones."""
        table = self._board.table
        if table is None or route.priority <= table.urgent_priority:
            return 0.0
        return URGENT_TOKENS

    def wait(self, part: boards.Part, now: float) -> None:
        """Starts a timer for the next request that a server may get."""
        wait_s = self._find_shortest_wait(part, now)
        if wait_s is None:
            return
        due_at = now + max(wait_s, MIN_WAIT_S)
        if self._due_at.get(part.service, float('inf')) <= due_at:
            return
        self._due_at[part.service] = due_at
        self._timers.start(due_at, 'rate', part.service)

    def end_wait(self, service: str) -> None:
        """Notes that the timer of a service is due."""
        self._due_at.pop(service, None)

    def _find_shortest_wait(
        self, part: boards.Part, now: float
    ) -> float | None:
        share = self._board.limit_share
        kept = self.find_kept_tokens(part.exchange.route)
        waits = []
        for server in self._list_servers(part.service, now):
            if server.count_tokens(share, now, kept) >= 1.0:
                continue
            waits.append(
                max(
                    (1.0 - limit.count_tokens(share, now, kept))
                    / (limit.find_rate(now) * share)
                    for limit in warmups.list_limits(server)
                )
            )
        return min(waits, default=None)

    def _find_expected_wait(self, part: boards.Part, now: float) -> float:
        """Returns how long rate limits will make a part wait.

        0 if there is a server without a limit; connections and capacity, for
        which the part may have to wait as well, do not count.
        """
        route = part.exchange.route
        kept = self.find_kept_tokens(route)
        share = self._board.limit_share
        tokens = rate = 0.0
        rates = []
        candidates = self._list_servers(part.service, now)
        for server in candidates:
            tokens += max(0.0, server.count_tokens(share, now, kept))
            rates.append(
                min(
                    (
                        limit.find_rate(now)
                        for limit in warmups.list_limits(server)
                    ),
                    default=None,
                )
            )
        if not any(server.limit for server in candidates):
            self._limited.discard(part.service)
        for server_rate in rates:
            if server_rate is None:
                return 0.0
            rate += server_rate * share
        if not rate:
            return 0.0
        ahead = self._wait_queues.count_waiting(part.service, route.priority)
        return max(0.0, 1.0 + ahead - tokens) / rate

    def _list_servers(self, service: str, now: float) -> list[servers.Server]:
        return [
            server
            for server in self._board.list_usable(service, now)
            if server.closed_until <= now
        ]
