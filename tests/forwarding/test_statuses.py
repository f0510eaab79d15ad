"""Replies whose status is none, or says that nothing or another thing follows.

A server in trouble sent status 000, and the caller got it as an answer.
"""

import anyio
import pytest

from balsamshore_node import errors
from balsamshore_node import transport
from balsamshore_node.forwarding import messages

NO_STATUSES = ('000', '007', '099', '600', '999')
BODY = b'Content-Length: 2\r\n\r\nok'


def read(payload):
    reader = messages.ReplyReader()
    reader.feed(payload)
    return reader


@pytest.mark.parametrize('status', [*NO_STATUSES, '99', '1000', '2x0', '-20'])
@pytest.mark.parametrize('size', [1, 1000])
def test_a_reply_without_a_status_is_not_a_reply(status, size):
    """Guards against answers such as `HTTP/1.1 0 Status`."""
    payload = b'HTTP/1.1 %s Odd\r\n%s' % (status.encode(), BODY)
    reader = messages.ReplyReader()
    with pytest.raises(messages.MessageError):
        for start in range(0, len(payload), size):
            reader.feed(payload[start : start + size])
    assert not reader.complete
    assert not reader.handle_eof()


@pytest.mark.parametrize(
    'fields', [b'', b'Upgrade: x\r\nConnection: upgrade\r\n']
)
def test_a_switch_to_another_protocol_is_not_a_reply(fields):
    """Guards against the bytes of another protocol, read as replies."""
    with pytest.raises(messages.MessageError):
        read(b'HTTP/1.1 101 Switching Protocols\r\n%s\r\n' % fields)


@pytest.mark.parametrize('status', [200, 299, 404, 503, 599])
def test_a_status_line_needs_no_reason(status):
    reader = read(b'HTTP/1.1 %d\r\n%s' % (status, BODY))
    assert (reader.complete, reader.status) == (True, status)
    assert not (reader.closing or reader.has_trailing_bytes)


def test_interim_replies_come_before_the_final_one():
    reader = read(
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n'
        b'HTTP/1.1 200 OK\r\n' + BODY
    )
    assert (reader.status, reader.read_body()) == (200, b'ok')
    assert [name for name, _ in reader.headers] == [b'content-length']


@pytest.mark.parametrize('status', [204, 304])
def test_bytes_after_a_reply_without_a_body_end_its_connection(status):
    """Guards against a body that is read as the reply to the next request."""
    reader = read(
        b'HTTP/1.1 %d None\r\n\r\nHTTP/1.1 200 OK\r\n%s' % (status, BODY)
    )
    assert (reader.complete, reader.status) == (True, status)
    assert reader.has_trailing_bytes
    assert reader.read_body() == b''


def test_a_reset_of_content_ends_with_its_length_or_connection():
    framed = read(b'HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n')
    assert framed.complete
    unframed = read(b'HTTP/1.1 205 Reset Content\r\n\r\n')
    assert not unframed.complete
    assert unframed.handle_eof()
    assert unframed.closing


class Stream:
    """A stream from which a reply is received."""

    def __init__(self, payload):
        self._payload = payload

    async def receive(self, max_bytes):
        payload, self._payload = self._payload, b''
        if not payload:
            raise anyio.EndOfStream
        return payload

    async def send(self, payload):
        pass


@pytest.mark.parametrize('status', [*NO_STATUSES, '99', '1000', '101'])
def test_own_interface_takes_no_reply_without_a_status(status):
    async def receive():
        payload = b'HTTP/1.1 %s Odd\r\n%s' % (status.encode(), BODY)
        connection = transport.Connection(Stream(payload), 'x')
        await connection.send('/', [], b'')
        return await connection.receive()

    with pytest.raises(errors.BackendError) as error:
        anyio.run(receive)
    assert error.value.cause in ('protocol', 'closed')


def test_own_interface_reads_a_reply():
    """Shows that the fake above is read at all."""

    async def receive():
        connection = transport.Connection(
            Stream(b'HTTP/1.1 200 OK\r\n' + BODY), 'x'
        )
        await connection.send('/', [], b'')
        return await connection.receive()

    assert anyio.run(receive).body == b'ok'
