"""Listening sockets, and options that show a silent peer."""

import socket

USER_TIMEOUT_MS = 3_000  # unacknowledged bytes for longer end a connection
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
BACKLOG = 512  # connections; all callers return at once after a loss of power

OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Makes the kernel end a connection whose other end is gone."""
    for level, option, value in OPTIONS:
        sock.setsockopt(level, option, value)


def listen(address: str) -> socket.socket:
    """Opens a listening socket; connections wait until it is accepted from.

    Raises:
        OSError: The address is taken or not of this machine.
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


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`."""
    host, port = address.rsplit(':', 1)
    return host, int(port)
