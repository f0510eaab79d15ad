"""A server's answer that breaks off is not complete."""

import pytest

from balsamshore_node.forwarding import messages

FRAMED = (
    b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: r1\r\n'
    b'Content-Length: 12\r\n\r\nbody of 12 b'
)
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\nbody\r\n0\r\n\r\n'
)
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: r1\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


def is_complete(data, pieces=1):
    """Returns whether bytes that end with their connection are an answer."""
    reader = messages.ReplyReader()
    size = max(1, len(data) // pieces)
    try:
        for at in range(0, len(data), size):
            reader.feed(data[at : at + size])
    except messages.MessageError:
        return False
    return reader.handle_eof()


@pytest.mark.parametrize('pieces', [1, 3, 1_000])
@pytest.mark.parametrize('before', [b'', INTERIM])
@pytest.mark.parametrize('answer', [FRAMED, CHUNKED])
def test_an_answer_that_breaks_off_anywhere_is_not_complete(
    answer, before, pieces
):
    assert is_complete(before + answer, pieces)
    for end in range(len(answer)):
        assert not is_complete(before + answer[:end], pieces), end


@pytest.mark.parametrize('pieces', [1, 3, 1_000])
@pytest.mark.parametrize('before', [b'', INTERIM])
def test_an_answer_without_length_is_not_complete_without_its_head(
    before, pieces
):
    assert is_complete(before + UNFRAMED_HEAD + b'body', pieces)
    for end in range(len(UNFRAMED_HEAD)):
        assert not is_complete(before + UNFRAMED_HEAD[:end], pieces), end
