"""Bytes that a server sends until its caller closes the connection."""

import asyncio

HEAD = b'HTTP/1.1 200 OK\r\n'
BLOCK = b'x' * 65_536
MAX_BLOCKS = 4_096  # ends a server whose caller never closes
DRIP_INTERVAL_S = 0.25
TRICKLE_INTERVAL_S = 0.05


def _repeat(start, block, pause_s=0.0):
    async def send(writer):
        writer.write(start)
        for _ in range(MAX_BLOCKS):
            writer.write(block)
            await writer.drain()
            if pause_s:
                await asyncio.sleep(pause_s)

    return send


MANNERS = {
    'endless_headers': _repeat(HEAD, b'X-Name: value\r\n' * 4_096),
    'endless_line': _repeat(HEAD + b'X-Name: ', BLOCK),
    'endless_body': _repeat(HEAD + b'\r\n', BLOCK),
    'endless_chunks': _repeat(
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + BLOCK + b'\r\n',
    ),
    'small_chunks': _repeat(
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n', b'2\r\nab\r\n' * 9_362
    ),
    'chunk_extensions': _repeat(
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'2;' + BLOCK[:60_000] + b'\r\nab\r\n',
    ),
    'short_trailers': _repeat(
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'a:\r\n' * 16_384,
    ),
    'endless_interim': _repeat(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2_048),
    'endless_trailers': _repeat(
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Name: value\r\n' * 4_096,
    ),
    'drip_headers': _repeat(HEAD + b'X-Name: ', b'x', DRIP_INTERVAL_S),
    'drip_body': _repeat(HEAD + b'\r\n', b'x', DRIP_INTERVAL_S),
}


# For over a minute: longer than any call.
trickle = _repeat(
    HEAD + b'Content-Length: 100000\r\n\r\n', b' ', TRICKLE_INTERVAL_S
)
