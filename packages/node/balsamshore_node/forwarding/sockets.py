"""Listening sockets, and TCP options that detect dead peers."""

import collections.abc
import fcntl
import socket
import struct
import termios

USER_TIMEOUT_MS = 3_000  # data unacknowledged for longer ends a connection
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
TCP_INFO_FORMAT = '8B16I'  # up to the round trip, see tcp(7)
BACKLOG = 512  # connections; all callers reconnect at once after a power loss

OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Makes the kernel close the connection when its peer is gone."""
    for level, option, value in OPTIONS:
        sock.setsockopt(level, option, value)


def listen(address: str) -> socket.socket:
    """Opens a listening socket, which queues connections until accepted.

    Raises:
        OSError: The address is in use or does not belong to this machine.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(split_address(address))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def accept_waiting(
    listening: socket.socket,
) -> collections.abc.Iterator[socket.socket]:
    """Accepts the connections that wait at a non-blocking socket."""
    while True:
        try:
            accepted, _ = listening.accept()
        except ConnectionAbortedError:
            continue  # the caller has reset the connection meanwhile
        except OSError:
            return  # nobody waits, or the process has too many files open
        accepted.setblocking(False)
        yield accepted


def has_unread(sock: socket.socket) -> bool:
    """Returns whether the kernel holds received bytes of a connection."""
    return bool(_read_count(sock, termios.FIONREAD))


def count_unsent(sock: socket.socket) -> int:
    """Returns how many written bytes the other end has not acknowledged.

    It is 0 where the platform does not count them.
    """
    try:
        return _read_count(sock, termios.TIOCOUTQ)
    except OSError:
        return 0


def _read_count(sock: socket.socket, request: int) -> int:
    return struct.unpack('i', fcntl.ioctl(sock.fileno(), request, bytes(4)))[0]


def read_round_trip(sock: socket.socket | None) -> float | None:
    """Returns a connection's smoothed round trip in seconds, if known."""
    if sock is None:
        return None
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_INFO,
            struct.calcsize(TCP_INFO_FORMAT),
        )
    except OSError:
        return None
    if len(info) < struct.calcsize(TCP_INFO_FORMAT):
        return None
    round_trip_us = struct.unpack(TCP_INFO_FORMAT, info)[-1]
    return round_trip_us / 1e6 if round_trip_us else None


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`."""
    host, port = address.rsplit(':', 1)
    return host, int(port)
