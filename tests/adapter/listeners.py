"""Listening addresses of the emulator, which may crash and come back."""

import asyncio

from balsamshore_node.forwarding import messages

CLOSE_MARKER = b'\x00cut'  # suffix of an answer that closes its connection


class Listening:
    """One listening address and its connections."""

    def __init__(self, host, port, answer):
        self.host = host
        self.port = port
        self.answer = answer
        self.server = None
        self.down = False
        self._up = asyncio.Event()
        self._up.set()
        self._tasks = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def close(self):
        """Refuses new connections; open ones stay open."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def crash(self, manner='closed'):
        """Ends in a manner of `Emulator.crash_manner`."""
        self.down = True
        self._up.clear()
        if manner in ('closed', 'truncated'):
            self.close()
        if manner != 'silent':
            self._end_connections()

    async def restart(self):
        """Serves again; connections from before end."""
        self._end_connections()
        self.down = False
        self._up.set()
        if self.server is None:
            await self.open()

    def _end_connections(self):
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info('peername')[0]
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._up.wait()
            await serve_requests(reader, writer, self._answer, peer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, raw, peer):
        await self._up.wait()
        return await self.answer(raw, peer)


async def serve_requests(reader, writer, answer, peer):
    """Serves one connection; resets it when the answer is None."""
    parser = messages.RequestReader(65536, 1 << 20)
    while True:
        while not parser.ready:
            data = await reader.read(65536)
            if not data or parser.error_status:
                return
            parser.feed(data)
        payload = await answer(parser.ready.popleft(), peer)
        if payload is None:
            writer.transport.abort()
            return
        if not isinstance(payload, bytes):
            await payload(writer)
            return
        writer.write(payload.removesuffix(CLOSE_MARKER))
        await writer.drain()
        if payload.endswith(CLOSE_MARKER):
            return


def encode(status, body=b'', fields=None):
    lines = ''.join(f'{n}: {v}\r\n' for n, v in (fields or {}).items())
    head = f'HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body
