"""Incremental HTTP/1.1 parsing on top of `httptools`."""

import abc
import collections

import httptools

from balsamshore_node.forwarding import dialects

MAX_REPLY_HEAD_BYTES = 65_536  # interim heads and trailers included
MAX_REPLY_BODY_BYTES = 16_777_216
MAX_REPLY_FIELDS = 1_024  # of a head and its trailers
MAX_REPLY_PIECES = 16_384  # besides one for each slice
PIECE_BYTES = 128  # of the body, for each further piece
MAX_REPLY_FRAMING_BYTES = 1_048_576  # all but the body
MAX_INTERIM_REPLIES = 16  # before the final one
SWITCHING_PROTOCOLS = 101  # in reply to a request that no node sends
JOINED_BYTES = 1_024  # smaller parts of a body are joined
PART_BYTES = 128  # memory of a part besides its bytes
FIELD_BYTES = 144  # memory of a header field besides its text
SLICE_BYTES = 4_096  # the parser is given at a time, more if pieces are large
LARGE_PIECE_BYTES = 1_024
REQUEST_BYTES = 512  # memory of a request besides its text and body
REQUEST_PIECES = 64  # a request counts as so many pieces
TURN_PIECES = 512  # more of them wait for another turn of the event loop
LINE_ENDS = (b'\r', b'\n')
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
HEADER_OVERHEAD_BYTES = 4  # colon, space and line end


class MessageError(Exception):
    """Bytes that are not an HTTP/1.1 message."""


class TooLargeError(MessageError):
    """A message that exceeds a limit."""


class _Reader(abc.ABC):
    """Parses what a connection receives, in slices.

    A piece is a part of a body that the parser reports at once. Its cost does
    not depend on its size as long as it is small.

    Attributes:
        pieces: Number of pieces so far.
    """

    __slots__ = ()

    pieces: int

    def feed(self, data: bytes) -> None:
        """Parses bytes from the connection, however long it takes."""
        while data:
            data = self.feed_turn(data)

    def feed_turn(self, data: bytes) -> bytes:
        """Parses as many bytes as one turn of the event loop has time for.

        Returns:
            The bytes that are left for a later turn.
        """
        if len(data) <= SLICE_BYTES:
            self._feed_slice(data)
            return b''
        view = memoryview(data)
        first = before = self.pieces
        start, size = 0, SLICE_BYTES
        while start < len(data):
            if self.pieces - first >= TURN_PIECES and not self._is_done():
                return data[start:]
            self._feed_slice(view[start : start + size])
            start += size
            if (self.pieces - before) * LARGE_PIECE_BYTES <= size:
                size *= 2
            else:
                size = SLICE_BYTES
            before = self.pieces
        return b''

    @abc.abstractmethod
    def _feed_slice(self, data: bytes | memoryview) -> None:
        """Parses a few bytes."""

    @abc.abstractmethod
    def _is_done(self) -> bool:
        """Returns whether further bytes are not parsed."""


class ReplyReader(_Reader):
    """Reads one reply, of bounded size.

    `feed` and `feed_turn` raise `MessageError` if the bytes are not an HTTP/1.1
    response, `TooLargeError` if it exceeds a limit. A status outside 100 to 599
    makes them none: a server in trouble sent 000.

    Attributes:
        body_bytes: Size of the body so far.
        headers: Lower-case names and values.
        status: HTTP status, or 0 before the head is complete.
        keep_alive_s: The server's idle timeout, or 0 if it sent none.
        started: Whether any byte has arrived.
        closing: Whether the connection ends with the reply.
        complete: Whether the reply is complete.
        has_trailing_bytes: Whether more bytes followed the reply.
    """

    __slots__ = (
        '_excess',
        '_framed',
        '_head_bytes',
        '_interim_replies',
        '_parser',
        '_parts',
        '_pending_bytes',
        '_received_bytes',
        '_slices',
        'body_bytes',
        'closing',
        'complete',
        'headers',
        'keep_alive_s',
        'pieces',
        'status',
        'has_trailing_bytes',
        'started',
    )

    def __init__(self):
        self.pieces = 0
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._parts: list[bytes | bytearray] = []
        self._framed = False
        self._excess = ''
        self._received_bytes = 0
        self._slices = 0
        self._head_bytes = 0
        self._interim_replies = 0
        self._pending_bytes = 0  # received since the parser reported anything
        self.body_bytes = 0
        self.headers: dialects.Headers = []
        self.status = 0
        self.keep_alive_s = 0.0
        self.started = False
        self.closing = False
        self.complete = False
        self.has_trailing_bytes = False

    @property
    def held_bytes(self) -> int:
        """Memory that the reply takes so far, at most."""
        return (
            self.body_bytes * 9 // 8  # a bytearray allocates ahead
            + len(self._parts) * PART_BYTES
            + len(self.headers) * FIELD_BYTES
            + self._head_bytes
            + self._pending_bytes
        )

    @property
    def is_fragmented(self) -> bool:
        """Whether the reply has many pieces for what it was received in."""
        return self.pieces - self._slices > TURN_PIECES

    def _is_done(self) -> bool:
        return self.complete

    def _feed_slice(self, data: bytes | memoryview) -> None:
        self.started = True
        self._slices += 1
        # The parser skips line ends after a reply. With the last one apart, it
        # shows that the reply was complete before it.
        end = len(data) - 1 if data[-1:] in LINE_ENDS else len(data)
        for part in (data[:end], data[end:]):
            if part:
                self._parse(part)
        if self.complete:
            # Breaks the reference cycle between parser and reader, which
            # would stay in memory until the next garbage collection.
            self._parser = None

    def _parse(self, data: bytes | memoryview) -> None:
        if self.complete:
            self.has_trailing_bytes = True
            return
        assert self._parser is not None
        self._pending_bytes += len(data)
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except PARSER_ERRORS as error:
            if self._excess:
                raise TooLargeError(self._excess) from error
            if not self.complete:
                raise MessageError(f'not an HTTP response: {error}') from error
            self.has_trailing_bytes = True
        if not self.complete:
            self._check_limits()

    def _check_limits(self) -> None:
        if self._pending_bytes > MAX_REPLY_HEAD_BYTES:
            raise TooLargeError(
                f'header line over {MAX_REPLY_HEAD_BYTES} bytes'
            )
        if len(self.headers) > MAX_REPLY_FIELDS:
            raise TooLargeError(f'over {MAX_REPLY_FIELDS} header fields')
        if (
            self.pieces - self._slices
            > MAX_REPLY_PIECES + self.body_bytes // PIECE_BYTES
        ):
            raise TooLargeError(
                f'{self.body_bytes} bytes of body in {self.pieces} pieces'
            )
        if self._received_bytes - self.body_bytes > MAX_REPLY_FRAMING_BYTES:
            raise TooLargeError(f'framing over {MAX_REPLY_FRAMING_BYTES} bytes')

    def _refuse(self, excess: str) -> None:
        """Ends a callback of the parser, and with it the parsing."""
        self._excess = excess
        raise TooLargeError(excess)

    def handle_eof(self) -> bool:
        """Handles the end of the stream.

        A reply without a length ends with its connection.

        Returns:
            Whether the reply is complete.
        """
        if not self.complete and self.status and not self._framed:
            self.complete = True
            self.closing = True
        return self.complete

    def read_body(self) -> bytes:
        """Returns the body."""
        return b''.join(self._parts)

    def discard(self) -> None:
        """Frees what was read of a reply that is not used."""
        self._parts.clear()
        # Reader and parser refer to each other; see `feed`.
        self._parser = None

    def on_message_begin(self) -> None:
        """Detects a second message in the same bytes; see `httptools`."""
        if self.complete:
            self.has_trailing_bytes = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; see `httptools`."""
        if self.complete:
            return
        self._pending_bytes = 0
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._head_bytes > MAX_REPLY_HEAD_BYTES:
            self._refuse(f'headers over {MAX_REPLY_HEAD_BYTES} bytes')
        lowered = name.lower()
        if lowered in (b'content-length', b'transfer-encoding'):
            self._framed = True
        elif lowered == b'keep-alive':
            self.keep_alive_s = _read_keep_alive(value)
        self.headers.append((lowered, value))

    def on_headers_complete(self) -> None:
        """Records the status; see `httptools`."""
        if self.complete:
            return
        assert self._parser is not None
        self._pending_bytes = 0
        self.status = self._parser.get_status_code()
        if not _is_status(self.status):
            raise MessageError(f'status {self.status:03}')
        if self.status in (204, 304):
            self._framed = True
        self.closing = not self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body; see `httptools`."""
        if self.complete:
            return
        self._pending_bytes = 0
        self.pieces += 1
        self.body_bytes += len(data)
        if self.body_bytes > MAX_REPLY_BODY_BYTES:
            self._refuse(f'body over {MAX_REPLY_BODY_BYTES} bytes')
        _add_part(self._parts, data)

    def on_message_complete(self) -> None:
        """Completes the reply unless it is interim; see `httptools`."""
        if self.complete:
            return
        if 100 <= self.status < 200:
            self._interim_replies += 1
            if self._interim_replies > MAX_INTERIM_REPLIES:
                self._refuse(f'over {MAX_INTERIM_REPLIES} interim replies')
            self.headers.clear()
            self._parts.clear()
            self.status = 0
            self._framed = False
            return
        self.complete = True


def _add_part(parts: list[bytes | bytearray], data: bytes) -> None:
    """Adds a part to a body; joins small ones, but copies no single one."""
    if not parts or len(data) >= JOINED_BYTES:
        parts.append(data)
    elif isinstance(parts[-1], bytearray):
        parts[-1] += data
    else:
        parts.append(bytearray(data))


def _is_status(status: int) -> bool:
    """Returns whether a reply to a request of a node may have a status."""
    return 100 <= status < 600 and status != SWITCHING_PROTOCOLS


def _read_keep_alive(value: bytes) -> float:
    for field in value.split(b','):
        name, _, number = field.strip().partition(b'=')
        if name.strip().lower() == b'timeout' and number.strip().isdigit():
            return float(number)
    return 0.0


class RawRequest:
    """One request as received from a caller."""

    __slots__ = (
        'body_bytes',
        'expects_continue',
        'field_bytes',
        'head_bytes',
        'head_field_bytes',
        'headers',
        'keep_alive',
        'method',
        'parts',
        'target',
    )

    def __init__(self):
        self.method = b''
        self.target = b''
        self.headers: dialects.Headers = []
        self.parts: list[bytes | bytearray] = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.field_bytes = 0  # trailers included
        self.head_field_bytes = 0  # once the head is complete
        self.keep_alive = True
        self.expects_continue = False

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes so far, at most."""
        return (
            REQUEST_BYTES
            + len(self.target)
            + self.field_bytes
            + len(self.headers) * FIELD_BYTES
            + self.body_bytes * 9 // 8  # a bytearray allocates ahead
            + len(self.parts) * PART_BYTES
        )

    def read_body(self) -> bytes:
        """Returns the body."""
        return b''.join(self.parts)


class RequestReader(_Reader):
    """Reads a caller's requests, pipelined ones included.

    After an error nothing of its request is held, and nothing more is read.

    Attributes:
        ready: Complete requests, oldest first.
        current: The request being read, or None between two.
        error_status: HTTP status of the error that ends the connection, or 0.
    """

    __slots__ = (
        '_body_limit',
        '_completed',
        '_head_limit',
        '_parser',
        '_pending_bytes',
        'current',
        'error_status',
        'pieces',
        'ready',
    )

    def __init__(self, head_limit: int, body_limit: int):
        self.pieces = 0
        self._head_limit = head_limit
        self._body_limit = body_limit
        self._completed = False  # a request, within the last slice
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self.ready: collections.deque[RawRequest] = collections.deque()
        self.current: RawRequest | None = None
        self.error_status = 0
        self._pending_bytes = 0  # received since the parser reported anything

    @property
    def held_bytes(self) -> int:
        """Memory that the requests take that were not started, at most."""
        if self.current is None:
            return sum(request.held_bytes for request in self.ready)
        return (
            self._pending_bytes
            + self.current.held_bytes
            + sum(request.held_bytes for request in self.ready)
        )

    def reject(self, status: int) -> None:
        """Ends the reading with an error; complete requests stay ready."""
        if not self.error_status:
            self.error_status = status
        self.discard()

    def discard(self) -> None:
        """Reads no more and frees the request being read.

        Reader and parser refer to each other, which would keep both in memory
        until the next garbage collection.
        """
        self._parser = None
        self.current = None

    def _is_done(self) -> bool:
        return self._parser is None

    def _feed_slice(self, data: bytes | memoryview) -> None:
        if self._parser is None:
            return
        self._pending_bytes += len(data)
        self._completed = False
        try:
            self._parser.feed_data(data)
        except PARSER_ERRORS:
            self.reject(self.error_status or 400)
        current = self.current
        if current is None:
            return
        if not current.method:
            if not self._completed:
                current.head_bytes += len(data)
            if current.head_bytes > self._head_limit:
                self.reject(431)
        elif self._pending_bytes > self._head_limit:
            self.reject(431)

    def on_message_begin(self) -> None:
        """Starts a request; see `httptools`."""
        self.current = RawRequest()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the target; see `httptools`."""
        assert self.current is not None
        self.current.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; see `httptools`."""
        current = self.current
        assert current is not None
        self.pieces += 1
        lowered = name.lower()
        if lowered == b'expect' and value.lower() == b'100-continue':
            current.expects_continue = True
        current.field_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if current.method:
            self._pending_bytes = 0
        if current.field_bytes - current.head_field_bytes > self._head_limit:
            self._refuse(431)
        current.headers.append((lowered, value))

    def on_headers_complete(self) -> None:
        """Checks the head against the limits; see `httptools`."""
        current = self.current
        assert current is not None
        assert self._parser is not None
        self._pending_bytes = 0
        current.method = self._parser.get_method()
        current.keep_alive = self._parser.should_keep_alive()
        if len(current.target) + current.field_bytes > self._head_limit:
            self._refuse(431)
        current.head_field_bytes = current.field_bytes
        for name, value in current.headers:
            if name == b'content-length' and int(value) > self._body_limit:
                self._refuse(413)

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body; see `httptools`."""
        current = self.current
        assert current is not None
        self._pending_bytes = 0
        self.pieces += 1
        current.body_bytes += len(data)
        if current.body_bytes > self._body_limit:
            self._refuse(413)
        _add_part(current.parts, data)

    def on_message_complete(self) -> None:
        """Completes the request; see `httptools`."""
        self._completed = True
        self.pieces += REQUEST_PIECES
        if self.current is not None:
            self.ready.append(self.current)
        self.current = None

    def _refuse(self, status: int) -> None:
        """Ends a callback of the parser, and with it the parsing."""
        self.error_status = status
        raise TooLargeError(f'request rejected with status {status}')
