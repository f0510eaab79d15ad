"""Gossip between nodes over datagrams.

A datagram carries records of nodes and, after a change, the newest items of
the catalog. A node with an older revision fetches the missing changes from a
peer; see `transfers`.
"""

import asyncio
import collections.abc
import math
from typing import Any

import loguru
import msgpack

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import departures
from balsamshore_core.forwarding import fleet
from balsamshore_core.forwarding import suspects
from balsamshore_node.forwarding import fields

MAX_ITEMS_BYTES = 8_192  # larger changes are fetched over a stream
FORMAT_VERSION = 2  # incremented when the layout of the payload changes
# With notices at the end. Releases without quarantine drop such a datagram, so
# it carries nothing else that they need.
NOTICES_FORMAT_VERSION = 3
# With rate reports at the end. Earlier releases drop it as well.
RATES_FORMAT_VERSION = 4
# With reports of draining servers at the end, likewise.
DEPARTURES_FORMAT_VERSION = 5
FORMAT_VERSIONS = (
    FORMAT_VERSION,
    NOTICES_FORMAT_VERSION,
    RATES_FORMAT_VERSION,
    DEPARTURES_FORMAT_VERSION,
)
MALFORMED_LOG_INTERVAL = 1_000  # one in this many malformed datagrams is logged

Check = collections.abc.Callable[[Any], bool]


def is_revision(value: Any) -> bool:
    """Returns whether a value is a revision of an era of the store."""
    return fields.is_counter(value) and catalog.find_era(value) < (
        catalog.MAX_ERA
    )


# In the order of the fields.
RECORD_CHECKS: dict[str, Check] = {
    'name': fields.is_text,
    'host': fields.is_host,
    'incarnation': fields.is_counter,
    'heartbeat': fields.is_counter,
    'state': fields.is_text,
    'address': fields.is_address,
    'failure_domain': fields.is_text,
    'capacity': fields.is_capacity,
    'load': fields.is_finite,
    'active': fields.is_flag,
    'store_ok': fields.is_flag,
    'revision': is_revision,
    'checked_s': fields.is_duration,
}
ITEM_CHECKS: dict[str, Check] = {
    'key': fields.is_text,
    'revision': is_revision,
    'value': lambda value: value is None or isinstance(value, bytes),
    'retained': fields.is_flag,
}


class Payload:
    """Content of one datagram or transfer.

    Attributes:
        records: Records of nodes, the sender's first.
        items: All catalog items that changed after `since`.
        is_snapshot: Whether `items` is the sender's complete catalog.
        since: Revision after which `items` begins.
        revision: The sender's newest revision.
        slowness_reports: Slowness of the backend servers that the sender
            found slow, by server id.
        heartbeats: Heartbeats of other nodes.
        requested_keys: Keys of records that the sender requests.
        relay: Whether the sender's record is to be relayed, and changes missing
            here are to be fetched without delay.
        notices: Requests under which servers crashed.
        rate_reports: What the sender heard of the rate limits of backend
            servers, by server id.
        departure_reports: What the sender heard of draining backend servers,
            by server id.
    """

    __slots__ = (
        'departure_reports',
        'heartbeats',
        'is_snapshot',
        'items',
        'notices',
        'rate_reports',
        'records',
        'relay',
        'requested_keys',
        'revision',
        'since',
        'slowness_reports',
    )

    def __init__(
        self,
        records: tuple[fleet.NodeRecord, ...] = (),
        items: collections.abc.Sequence[catalog.Item] = (),
        is_snapshot: bool = False,
        since: int = 0,
        revision: int = 0,
        slowness_reports: collections.abc.Mapping[str, float] | None = None,
        heartbeats: tuple[fleet.Heartbeat, ...] = (),
        requested_keys: tuple[int, ...] = (),
        relay: bool = False,
        notices: collections.abc.Sequence[suspects.Notice] = (),
        rate_reports: collections.abc.Mapping[str, ratelimits.RateReport]
        | None = None,
        departure_reports: collections.abc.Mapping[
            str, departures.DepartureReport
        ]
        | None = None,
    ):
        self.departure_reports = dict(departure_reports or {})
        self.notices = notices
        self.rate_reports = dict(rate_reports or {})
        self.records = records
        self.items = items
        self.is_snapshot = is_snapshot
        self.since = since
        self.revision = revision
        self.slowness_reports = dict(slowness_reports or {})
        self.heartbeats = heartbeats
        self.requested_keys = requested_keys
        self.relay = relay


def encode_payload(payload: Payload) -> bytes:
    """Encodes a payload in MessagePack."""
    common = (
        payload.records,
        payload.items,
        payload.is_snapshot,
        payload.since,
        payload.revision,
        payload.slowness_reports,
        [number for heartbeat in payload.heartbeats for number in heartbeat],
        payload.requested_keys,
        payload.relay,
    )
    if payload.departure_reports:
        return msgpack.packb(
            (
                DEPARTURES_FORMAT_VERSION,
                *common,
                payload.notices,
                payload.rate_reports,
                payload.departure_reports,
            )
        )
    if payload.rate_reports:
        return msgpack.packb(
            (
                RATES_FORMAT_VERSION,
                *common,
                payload.notices,
                payload.rate_reports,
            )
        )
    if payload.notices:
        return msgpack.packb((NOTICES_FORMAT_VERSION, *common, payload.notices))
    return msgpack.packb((FORMAT_VERSION, *common))


def decode_payload(data: bytes) -> Payload:
    """Decodes a payload.

    Raises:
        ValueError: The data is not a payload of this format version.
    """
    try:
        (
            version,
            records,
            items,
            is_snapshot,
            since,
            revision,
            slowness_reports,
            heartbeats,
            requested_keys,
            relay,
            *rest,
        ) = msgpack.unpackb(data)
        if version not in FORMAT_VERSIONS:
            raise ValueError(
                f'format version {version!r}, expected one of {FORMAT_VERSIONS}'
            )
        notices = rest[0] if version >= NOTICES_FORMAT_VERSION else ()
        rates = rest[1] if version >= RATES_FORMAT_VERSION else {}
        departed = rest[2] if version >= DEPARTURES_FORMAT_VERSION else {}
        return Payload(
            tuple(
                _check(fleet.NodeRecord(*record), RECORD_CHECKS)
                for record in records
            ),
            [_check(catalog.Item(*item), ITEM_CHECKS) for item in items],
            bool(is_snapshot),
            _read_revision(since),
            _read_revision(revision),
            {
                _read_text(server_id): _read_finite(slowness)
                for server_id, slowness in slowness_reports.items()
            },
            tuple(
                map(
                    fleet.Heartbeat,
                    _check_counters(heartbeats)[::2],
                    heartbeats[1::2],
                )
            ),
            tuple(_check_counters(requested_keys)),
            bool(relay),
            [_read_notice(*notice) for notice in notices],
            {
                _read_text(server_id): _read_rate_report(*report)
                for server_id, report in rates.items()
            },
            {
                _read_text(server_id): departures.DepartureReport(
                    _read_counter(born_ms), _read_finite(age_s)
                )
                for server_id, (born_ms, age_s) in departed.items()
            },
        )
    except (
        AttributeError,
        IndexError,
        OverflowError,
        TypeError,
        ValueError,
        msgpack.UnpackException,
    ) as error:
        raise ValueError(f'invalid gossip payload: {error}') from error


def _check(values: Any, checks: dict[str, Check]) -> Any:
    """Returns a tuple, each of whose values passes its check."""
    for (name, is_valid), value in zip(checks.items(), values, strict=True):
        if not is_valid(value):
            raise ValueError(f'{name} is {value!r:.80}')
    return values


def _read_counter(value: Any) -> int:
    if not fields.is_counter(value):
        raise ValueError(f'{value!r:.80} is not a counter')
    return value


def _read_revision(value: Any) -> int:
    if not is_revision(value):
        raise ValueError(f'{value!r:.80} is not a revision')
    return value


def _check_counters(values: list[Any]) -> list[int]:
    """Checks many at once, as datagrams are mostly heartbeats."""
    if values and not (
        set(map(type, values)) == {int}
        and min(values) >= 0
        and max(values) <= fields.MAX_COUNTER
    ):
        raise ValueError(f'{values!r:.80} are not counters')
    return values


def _read_finite(value: Any) -> float:
    if not fields.is_finite(value):
        raise ValueError(f'{value!r:.80} is not a finite number')
    return float(value)


def _read_text(value: Any) -> str:
    if not fields.is_text(value):
        raise ValueError(f'{value!r:.80} is not text')
    return value


def _read_notice(
    fingerprint: str,
    crashes: collections.abc.Iterable[tuple[str, int, float, bool]],
    stops: int,
    stopped_s: float,
    cleared_s: float,
) -> suspects.Notice:
    return suspects.Notice(
        _read_text(fingerprint),
        tuple(
            (
                _read_text(server_id),
                _read_counter(born_ms),
                _read_finite(age_s),
                bool(alone),
            )
            for server_id, born_ms, age_s, alone in crashes
        ),
        _read_counter(stops),
        _read_finite(stopped_s),
        _read_finite(cleared_s),
    )


def _read_rate_report(
    born_ms: int, rate: float | None, age_s: float
) -> ratelimits.RateReport:
    """Reads a report; an unreadable rate is NaN."""
    if rate is not None and not (isinstance(rate, float) and math.isnan(rate)):
        rate = _read_finite(rate)
    return ratelimits.RateReport(
        _read_counter(born_ms), rate, _read_finite(age_s)
    )


class Gossip(asyncio.DatagramProtocol):
    """The node's datagram socket.

    Attributes:
        sent_bytes: Bytes of the payloads sent so far.
        received_bytes: Bytes of the payloads received so far.
        malformed: Number of malformed datagrams received so far.
    """

    def __init__(
        self,
        on_payload: collections.abc.Callable[[str, Payload], None],
        port: int,
    ):
        self._on_payload = on_payload
        self._port = port
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self.malformed = 0

    async def open(self, host: str) -> None:
        """Binds the socket.

        Raises:
            OSError: An address is in use or does not belong to this machine.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self._port)
        )
        self._transport = transport

    def send(self, peer_host: str, datagram: bytes) -> None:
        """Sends a datagram.

        A lost datagram is not sent again: later ones carry the sender's current
        record and revision.
        """
        if self._transport is not None:
            self.sent_bytes += len(datagram)
            self._transport.sendto(datagram, (peer_host, self._port))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Reads a datagram; see `asyncio`."""
        self.received_bytes += len(data)
        try:
            payload = decode_payload(data)
        except ValueError as error:
            self.malformed += 1
            if self.malformed % MALFORMED_LOG_INTERVAL == 1:
                loguru.logger.warning(
                    'malformed datagram from {}: {}; {} so far',
                    addr[0],
                    error,
                    self.malformed,
                )
            return
        self._on_payload(addr[0], payload)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors such as a closed port; heartbeats show liveness."""
