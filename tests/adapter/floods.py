"""Callers that send without end or read nothing, in a process of their own.

`start_flood` runs this module as a program.
"""

import asyncio
import contextlib
import os
import pathlib
import re
import subprocess
import sys

from adapter import emulator

RECONNECT_S = 0.05  # after a connection was closed
BLOCK_BYTES = 262_144  # as much as a node reads at once
PIPELINED = 1_000  # requests of a caller that reads no answer
GET = (
    f'GET {{prefix}}/{{number}} HTTP/1.1\r\nHost: {emulator.HOST}\r\n'
    'Request-Id: {name}-{number}\r\n\r\n'
)
POST = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'

# What is sent once, and what is sent until the node closes.
MANNERS = {
    'heads': (b'GET / HTTP/1.1\r\n', b'a:b\r\n'),
    'line': (b'GET / HTTP/1.1\r\na: ', b'x'),
    'target': (b'GET /', b'x'),
    'trailers': (POST + b'0\r\n', b'a:b\r\n'),
    'extensions': (POST + b'1;', b'x'),
    'chunks': (POST, b'1\r\na\r\n'),
}
# Prefixes of requests that are pipelined and whose answers are not read.
UNREAD = {'unread': '/p', 'unread_refusals': '/none'}
SILENT = 'silent'  # sends nothing


async def send(manner, host, port, name):
    """Sends on one connection until the node closes it."""
    reader, writer = await asyncio.open_connection(host, port, limit=1)
    try:
        if manner in MANNERS:
            start, unit = MANNERS[manner]
            writer.write(start)
            block = unit * (BLOCK_BYTES // len(unit))
            while True:
                writer.write(block)
                await writer.drain()
        if manner in UNREAD:
            writer.transport.pause_reading()
            prefix = UNREAD[manner]
            writer.write(
                ''.join(
                    GET.format(prefix=prefix, name=name, number=number)
                    for number in range(PIPELINED)
                ).encode()
            )
        await writer.wait_closed()
    finally:
        writer.transport.abort()


async def reconnect(manner, host, port, name):
    while True:
        with contextlib.suppress(OSError):
            await send(manner, host, port, name)
        await asyncio.sleep(RECONNECT_S)


async def main(manner, host, port, connections):
    await asyncio.gather(
        *(
            reconnect(manner, host, int(port), f'{host}-{number}')
            for number in range(int(connections))
        )
    )


@contextlib.contextmanager
def start_flood(manner, host, port, connections):
    """Plays a manner on so many connections until the block ends."""
    process = subprocess.Popen(
        [
            sys.executable, '-m', 'adapter.floods', manner, host, str(port),
            str(connections),
        ],
        cwd=pathlib.Path(__file__).parents[1],
        env={**os.environ, 'PYTHONPATH': '.'},
    )  # fmt: skip
    try:
        yield
    finally:
        process.kill()
        process.wait()


def read_peak_kb(process):
    """Returns the most memory that a process has taken so far."""
    with open(f'/proc/{process.pid}/status') as status:
        return int(re.search(r'VmHWM:\s+(\d+)', status.read())[1])


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
