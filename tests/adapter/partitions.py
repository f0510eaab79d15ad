"""Runs the program so that a file can cut the nodes off from each other.

    python -m adapter.partitions

The file `partitions.json` beside the settings gives a group by host. Datagrams
and connections from another group are ignored; without the file there is none.
"""

import json
import os
import pathlib
import sys

from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import transfers
from balsamshore_platform import core
from balsamshore_platform import settings

FILE = 'partitions.json'


def write(folder, groups):
    """Cuts hosts off from each other.

    Args:
        folder: Folder of the settings files.
        groups: Group by host; empty for no cut.
    """
    path = pathlib.Path(folder) / FILE
    draft = path.with_suffix('.draft')
    draft.write_text(json.dumps(groups))
    draft.replace(path)


def main():
    """Runs the program on the network that the file describes."""
    config = pathlib.Path(os.environ[settings.PATH_VARIABLE])
    host = json.loads(config.read_text())['host']
    path = config.parent / FILE
    receive = gossip.Gossip.datagram_received
    fetch = transfers.Transfers.fetch

    def is_cut(peer_host):
        groups = json.loads(path.read_text()) if path.exists() else {}
        return groups.get(peer_host) != groups.get(host)

    def receive_from_group(self, data, addr):
        if not is_cut(addr[0]):
            receive(self, data, addr)

    async def fetch_from_group(self, peer_host, revision):
        if is_cut(peer_host):
            return None
        return await fetch(self, peer_host, revision)

    gossip.Gossip.datagram_received = receive_from_group
    transfers.Transfers.fetch = fetch_from_group
    return core.main([], dict(os.environ), sys.stderr)


if __name__ == '__main__':
    sys.exit(main())
