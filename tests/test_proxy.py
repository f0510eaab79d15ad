"""The fault proxy keeps serving while its clients and targets break off."""

import asyncio
import socket
import struct

import anyio
import pytest

from balsamshore_standins import proxy

pytestmark = pytest.mark.anyio

DELAY_S = 0.1
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def echo(reader, writer):
    try:
        while data := await reader.read(100):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def connect(address):
    return await asyncio.open_connection(*address.split(':'))


def reset(writer):
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def fetch_echo(address, data):
    reader, writer = await connect(address)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.readexactly(len(data)), 2.0)
    finally:
        writer.close()


@pytest.mark.parametrize('half_delays', [1, 3, 5])
async def test_a_connection_reset_within_a_delayed_reply_ends_no_other(
    half_delays,
):
    target_address = f'127.56.{half_delays}.1:7001'
    address = f'127.56.{half_delays}.2:7001'
    target = await asyncio.start_server(echo, *target_address.split(':'))
    subject = proxy.FaultProxy(address, target_address)
    async with target, anyio.create_task_group() as tasks:
        tasks.start_soon(subject.serve)
        await anyio.sleep(0.1)
        subject.apply(proxy.Rule(delay_s=DELAY_S))
        _, writer = await connect(address)
        writer.write(b'first')
        await anyio.sleep(4 * DELAY_S)
        writer.write(b'second')
        await anyio.sleep(half_delays / 2 * DELAY_S)
        reset(writer)
        await anyio.sleep(4 * DELAY_S)
        assert await fetch_echo(address, b'third') == b'third'
        tasks.cancel_scope.cancel()
