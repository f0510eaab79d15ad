"""Links with a bandwidth between the nodes of the emulator.

Run as a program, it is the real program with its listener for peers moved
behind a `Links` proxy, and with connections that come from the node's address:

    python -m adapter.links [FAULT]

FAULT is one of `sabotage`.
Only streams between nodes use the links, and those to the store if wanted. The
links to servers follow `cutoffs`.
"""

import asyncio
import contextlib
import json
import os
import socket
import sys

from adapter import cutoffs
from adapter import emulator
from adapter import sabotage

from balsamshore_platform import core

PORT_OFFSET = 1_000  # of a node's own listener behind the proxy
CHUNK_BYTES = 8_192
UNLIMITED_BYTES_PER_S = 1e9
RECEIVE_BUFFER_BYTES = 16_384  # of the proxy; little is stored between nodes


class Link:
    """One direction of a host's link; chunks follow one another."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.carried_bytes = 0
        self._free_at = 0.0

    def reserve(self, size):
        """Returns when a chunk that is sent now has passed."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        self.carried_bytes += size
        return self._free_at


class Links:
    """Proxies before the nodes' listeners for peers and before the store.

    Attributes:
        limits: Bytes per second in each direction, by host; others are not
            limited.
        frozen: Hosts whose traffic stands still.
    """

    def __init__(self, platform):
        self._platform = platform
        self.limits = {}
        self._links = {}
        self._servers = []
        self.frozen = set()

    async def open(self, nodes, limit_store=False):
        """Starts the proxies; the nodes are started afterwards."""
        platform = self._platform
        platform.program = ('-m', 'adapter.links')
        port = emulator.PORTS['listen.control']
        for index in range(1, nodes + 1):
            host = f'{platform.network}.2.{index}'
            await self._listen(host, port, host, port + PORT_OFFSET)
        if not limit_store:
            return
        store = f'{platform.network}.0.2'
        await self._listen(
            store, emulator.STORE_PORT, platform.store_host, emulator.STORE_PORT
        )
        platform.store_host = store

    def close(self):
        for server in self._servers:
            server.close()

    def find(self, host, direction):
        """Returns the link of a host; `direction` is 'in' or 'out'."""
        limit = self.limits.get(host, UNLIMITED_BYTES_PER_S)
        link = self._links.setdefault((host, direction), Link(limit))
        link.bytes_per_s = limit
        return link

    async def _listen(self, host, port, target_host, target_port):
        async def forward(reader, writer):
            peer = writer.get_extra_info('peername')[0]
            with contextlib.suppress(OSError, asyncio.CancelledError):
                remote = await asyncio.open_connection(
                    target_host, target_port, limit=CHUNK_BYTES
                )
                await asyncio.gather(
                    self._pump(reader, remote[1], peer, host),
                    self._pump(remote[0], writer, host, peer),
                )

        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.bind((host, port))
        self._servers.append(
            await asyncio.start_server(forward, sock=sock, limit=CHUNK_BYTES)
        )

    async def _pump(self, reader, writer, source, destination):
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                passed_at = max(
                    self.find(source, 'out').reserve(len(data)),
                    self.find(destination, 'in').reserve(len(data)),
                )
                await asyncio.sleep(passed_at - loop.time())
                while self.frozen & {source, destination}:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()


def run_linked_program():
    """Runs the program with its listener for peers behind the proxy."""
    for fault in sys.argv[1:]:
        sabotage.FAULTS[fault]()
    cutoffs.install()
    with open(os.environ['BALSAMSHORE_CONFIG']) as settings:
        own_host = json.load(settings)['host']
    start_server, open_connection = (
        asyncio.start_server,
        asyncio.open_connection,
    )

    def start_hidden_server(callback, host, port, **options):
        return start_server(callback, host, port + PORT_OFFSET, **options)

    def connect(host, port, **options):
        return open_connection(host, port, local_addr=(own_host, 0), **options)

    asyncio.start_server = start_hidden_server
    asyncio.open_connection = connect
    return core.main([], dict(os.environ), sys.stderr)


if __name__ == '__main__':
    sys.exit(run_linked_program())
