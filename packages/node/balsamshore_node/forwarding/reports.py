"""What a node sends to others about servers and requests, and logs of it."""

import collections.abc
import typing

import loguru

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import departures
from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import notices
from balsamshore_node.forwarding import gossip

MAX_SERVER_REPORTS = 30  # in a datagram, about 1.3 KB
QUARANTINE_DECISIONS = {
    'crash': 'a backend server crashed under a request',
    'stopped': 'a request is not sent on: it crashes backend servers',
    'told_stopped': 'another node stopped a request',
    'cleared': 'a backend server answered a suspected request',
}
STATEMENTS = {
    'bound': 'bound on what this node has in flight at a service',
    'draining': 'a backend server says that it drains; it gets nothing new',
    'closed': 'a backend server wants no request from this node for a while',
    'unreadable': 'a backend server states what cannot be read; ignored',
}


class Reports:
    """Sends this node's observations to other nodes."""

    def __init__(
        self,
        board: boards.Board,
        fleet: fleets.Fleet,
        catalog: catalogs.Catalog,
        gossip_socket: gossip.Gossip,
        read_clock: collections.abc.Callable[[], float],
    ):
        """Creates the sender.

        Args:
            board: The state that the core's decisions share.
            fleet: This node's view of the fleet.
            catalog: Configuration and servers known to this node.
            gossip_socket: Sends the datagrams.
            read_clock: Returns monotonic seconds.
        """
        self._board = board
        self._fleet = fleet
        self._catalog = catalog
        self._gossip = gossip_socket
        self._read_clock = read_clock
        self._notices = notices.Notices(board.quarantine, fleet)

    def greet(
        self,
        peer_host: str,
        records: tuple[fleets.NodeRecord, ...],
        now: float,
    ) -> None:
        """Sends notices and departures to a sender that is new here."""
        self._send_notices(self._notices.greet(peer_host, records, now))
        if records and self._fleet.is_new_process(records[0]):
            self._send_departures([peer_host], self._board.list_departures(now))

    def repeat_notices(
        self, messages: list[fleets.GossipMessage], now: float
    ) -> None:
        """Sends notices again, to the recipients of heartbeats."""
        self._send_notices(self._notices.repeat(messages, now))

    def send_server_reports(self, now: float) -> None:
        """Sends what was seen of servers to the active nodes."""
        slowness_reports = self._board.slowness_reports
        rate_reports = self._board.rate_reports
        departure_reports = self._board.departure_reports
        self._board.slowness_reports, self._board.rate_reports = {}, {}
        self._board.departure_reports = {}
        own_records = (self._fleet.own_record,)
        revision = self._catalog.revision
        payloads = []
        if slowness_reports:
            payloads.append(
                gossip.Payload(
                    own_records,
                    revision=revision,
                    slowness_reports=slowness_reports,
                )
            )
        payloads += [
            gossip.Payload(own_records, revision=revision, rate_reports=batch)
            for batch in _split_reports(rate_reports)
        ]
        if not payloads and not departure_reports:
            return
        hosts = [r.host for r in self._fleet.list_alive(now) if r.active]
        for payload in payloads:
            self._send(hosts, payload)
        self._send_departures(hosts, departure_reports)

    def spread_quarantine(self) -> None:
        """Sends under which requests servers crashed; logs the decisions."""
        self._send_notices(self._notices.spread(self._read_clock()))
        for decision in self._board.quarantine.take_decisions():
            loguru.logger.bind(
                event='quarantine', **decision._asdict()
            ).warning(QUARANTINE_DECISIONS[decision.what])

    def log_statements(self) -> None:
        """Logs what servers said about themselves."""
        while self._board.notes:
            note = self._board.notes.popleft()
            loguru.logger.bind(
                event='statement',
                server=note.server_id,
                service=note.service,
                detail=note.detail,
            ).info(STATEMENTS[note.what])

    def _send_notices(
        self, messages: collections.abc.Iterable[notices.NoticeMessage]
    ) -> None:
        for message in messages:
            payload = gossip.Payload(
                (self._fleet.own_record,),
                revision=self._catalog.revision,
                notices=message.notices,
            )
            self._send(message.recipients, payload)

    def _send_departures(
        self,
        hosts: collections.abc.Sequence[str],
        departure_reports: dict[str, departures.DepartureReport],
    ) -> None:
        for batch in _split_reports(departure_reports):
            payload = gossip.Payload(
                (self._fleet.own_record,),
                revision=self._catalog.revision,
                departure_reports=batch,
            )
            self._send(hosts, payload)

    def _send(
        self, hosts: collections.abc.Sequence[str], payload: gossip.Payload
    ) -> None:
        datagram = gossip.encode_payload(payload)
        for peer_host in hosts:
            self._gossip.send(peer_host, datagram)


def _split_reports(
    reports: collections.abc.Mapping[str, typing.Any],
) -> list[dict[str, typing.Any]]:
    """Splits reports by server id into those of one datagram each."""
    names = list(reports)
    return [
        {name: reports[name] for name in names[start:][:MAX_SERVER_REPORTS]}
        for start in range(0, len(names), MAX_SERVER_REPORTS)
    ]
