"""Runs the program so that a file can cut nodes off from all backend servers.

    python -m adapter.cutoffs

The file `cutoffs.json` beside the settings gives a manner by host of a node:
`silent` (connections hang, new ones too), `reset` (connections are reset, new
ones are refused) or `refuse` (only new ones are refused).
"""

import asyncio
import json
import os
import pathlib
import sys

import uvloop
from adapter import emulator

from balsamshore_platform import core
from balsamshore_platform import settings

FILE = 'cutoffs.json'
LOOK_INTERVAL_S = 0.02
MANNERS = ('silent', 'reset', 'refuse')


def write(platform, indexes, manner=''):
    """Cuts nodes off; all others reach the servers again.

    Args:
        platform: The emulator.
        indexes: Numbers of the nodes.
        manner: One of MANNERS, or '' for no cut.
    """
    hosts = [f'{platform.network}.2.{index}' for index in indexes]
    draft = platform.folder / 'cutoffs.draft'
    draft.write_text(json.dumps(dict.fromkeys(hosts, manner)))
    draft.replace(platform.folder / FILE)


class Link(asyncio.Protocol):
    """One connection to a server; both its protocol and its transport."""

    def __init__(self, network, protocol):
        self.network = network
        self.protocol = protocol
        self.transport = None
        self.was_reset = False

    def connection_made(self, transport):
        self.transport = transport
        self.network.links.add(self)
        self.protocol.connection_made(self)

    def data_received(self, data):
        if self.network.manner != 'silent':
            self.protocol.data_received(data)

    def eof_received(self):
        return self.protocol.eof_received()

    def connection_lost(self, exc):
        self.network.links.discard(self)
        self.protocol.connection_lost(
            ConnectionResetError() if self.was_reset else exc
        )

    def write(self, data):
        if self.network.manner != 'silent':
            self.transport.write(data)

    def reset(self):
        self.was_reset = True
        self.transport.abort()

    def __getattr__(self, name):
        return getattr(self.transport, name)


class Network:
    """The links of this node, as the file describes them."""

    def __init__(self, path, host):
        self.path = path
        self.host = host
        self.manner = ''
        self.links = set()
        self.task = None

    def look(self):
        if self.path.exists():
            manners = json.loads(self.path.read_text())
            self.manner = manners.get(self.host, '')
        if self.manner == 'reset':
            for link in tuple(self.links):
                link.reset()

    async def watch(self):
        while True:
            self.look()
            await asyncio.sleep(LOOK_INTERVAL_S)

    async def check_new_connection(self):
        if self.task is None:
            self.task = asyncio.create_task(self.watch())
        self.look()
        if self.manner == 'silent':
            await asyncio.sleep(60)
        if self.manner:
            raise ConnectionRefusedError(111, 'cut off')


def install():
    """Lets connections to servers follow the file from now on."""
    config = pathlib.Path(os.environ[settings.PATH_VARIABLE])
    host = json.loads(config.read_text())['host']
    network = Network(config.parent / FILE, host)
    connect = uvloop.Loop.create_connection

    async def connect_if_possible(self, factory, to, port, **options):
        if port != emulator.SERVER_PORT:
            return await connect(self, factory, to, port, **options)
        await network.check_new_connection()
        return await connect(
            self, lambda: Link(network, factory()), to, port, **options
        )

    uvloop.Loop.create_connection = connect_if_possible


def main():
    """Runs the program on the network that the file describes."""
    install()
    return core.main([], dict(os.environ), sys.stderr)


if __name__ == '__main__':
    sys.exit(main())
