"""Incremental parsing of requests: heads, bodies, their limits, offers to upgrade."""

from collections.abc import Callable

import httptools

from camphorgate.serving.catalog import Limits
from camphorgate.serving.memory_budget import FIELD_BYTES, LEAST_URGENT
from camphorgated.serving.caller_request import Request
from camphorgated.serving.errors import BadRequest
from camphorgated.serving.http1 import (
    MAX_FRAMING_BYTES,
    Headers,
    encode_head,
    find_header,
)

# Bytes that are parsed between two checks of the bounds.
SLICE_BYTES = 16_384
# Pieces of a body that are smaller than the first size are joined to blocks of the
# second one.
MIN_PIECE_BYTES = 4096
BLOCK_BYTES = 65_536
_HEAD_END = b"\r\n\r\n"


class RequestParser:
    """The partly received request of a connection, which subclasses feed in slices.

    The connection is a subclass instead of an owner, because an owner and its parser
    would refer to each other.
    """

    __slots__ = (
        "started_at",
        "progressed_at",
        "_current_limits",
        "_limits",
        "_parser",
        "_url",
        "_headers",
        "_body",
        "_tail",
        "_size",
        "_head_size",
        "_head_done",
        "_framing_bytes",
        "_content_length",
        "_continue_due",
        "_rank_of",
        "_rank",
    )

    def __init__(
        self,
        current_limits: Callable[[], Limits],
        rank_of: Callable[[Request], int],
    ) -> None:
        """Prepare for the first request.

        :param current_limits: returns the limits in force; each request has those of
            its first byte.
        :param rank_of: returns the priority of a request whose head was read.
        """
        # Monotonic times of the first and the last bytes of the partial request.
        self.started_at: float | None = None
        self.progressed_at = 0.0
        self._current_limits = current_limits
        self._rank_of = rank_of
        self._parser = httptools.HttpRequestParser(self)
        self.on_message_begin()

    def _receive_request(self, request: Request) -> None:
        """Take in a completely received request."""
        raise NotImplementedError

    @property
    def partial_method(self) -> str:
        """Return the method of the partial request, empty if it is not known."""
        if not self._url or self._parser is None:
            return ""
        return self._parser.get_method().decode("latin-1")

    @property
    def expected_bytes(self) -> int:
        """Return how many bytes of the body are still to come, as far as is known."""
        return max(0, (self._content_length or 0) - self._size)

    @property
    def rank(self) -> int:
        """Return the priority of the partial request; 0 is the most urgent."""
        if not self._head_done:
            return LEAST_URGENT
        if self._rank is None:
            head = Request(self.partial_method, self._url, self._headers, b"", True)
            self._rank = self._rank_of(head)
        return self._rank

    def _slice_end(self, data: bytes, position: int) -> int:
        """Return where the next slice ends: a head, a body, or the largest slice."""
        last = position + SLICE_BYTES
        if last > len(data):
            last = len(data)
        if self._head_done and self._content_length is not None:
            return min(last, position + max(1, self._content_length - self._size))
        # The end of a head may have begun in the slice before.
        found = data.find(_HEAD_END, position - 3 if position > 3 else 0, last)
        return max(position + 1, found + 4) if found >= 0 else last

    def _parse_slice(self, data: memoryview) -> None:
        """Parse a slice and check the bounds on bytes without payload.

        :raises BadRequest: if a request is unacceptable.
        :raises httptools.HttpParserError: if the bytes are malformed.
        """
        if self.started_at is None:
            self.started_at = self.progressed_at
        size = len(data)
        if not self._head_done:
            if self._head_size - self._size > self._limits.header_bytes:
                raise BadRequest("the head is too large", 431)
            self._head_size += size
        self._framing_bytes += size
        self._parse(data)
        if self._framing_bytes > MAX_FRAMING_BYTES + size and self._head_done:
            raise BadRequest("the chunk framing of the body is too large", 400)

    def _parse(self, data: memoryview) -> None:
        """Parse received bytes; an offer to upgrade the protocol is ignored.

        :raises BadRequest: if a request is unacceptable.
        :raises httptools.HttpParserError: if the bytes are malformed.
        """
        rest = data
        while True:
            try:
                self._parser.feed_data(rest)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The parser ends such a request after its head; its body follows.
                rest = rest[upgrade.args[0] :]
                self._parse_without_upgrade()

    def _parse_without_upgrade(self) -> None:
        """Parse the head of a request again as if it offered no upgrade.

        :raises BadRequest: if it asks for a tunnel.
        """
        method = self._parser.get_method()
        if method == b"CONNECT":
            raise BadRequest("tunnels are not supported", 400)
        version = self._parser.get_http_version().encode()
        start = b"%b %b HTTP/%b" % (method, self._url, version)
        headers = [
            (
                name,
                _without_option(value, b"upgrade") if name == b"connection" else value,
            )
            for name, value in self._headers
            if name != b"upgrade"
        ]
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(encode_head(start, headers))

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._limits = self._current_limits()
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        # The last pieces of the body, which are too small to be kept as they are.
        self._tail = bytearray()
        self._content_length: int | None = None
        # Whether the caller holds the body back until an interim response.
        self._continue_due = False
        self._rank: int | None = None
        self._size = 0
        self._head_size = 0
        self._head_done = False
        self._framing_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if not self._head_done:
            self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Check the size of the head and the framing of the body."""
        if self._parser.should_upgrade():
            return
        self._head_done = True
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._url) > self._limits.header_bytes:
            raise BadRequest("the head is too large", 431)
        lengths = [value for name, value in self._headers if name == b"content-length"]
        coding = find_header(self._headers, b"transfer-encoding")
        if coding is not None and (lengths or coding.lower() != b"chunked"):
            raise BadRequest(
                "invalid combination of transfer-encoding and content-length", 400
            )
        if len(lengths) > 1:
            raise BadRequest("multiple content-length headers", 400)
        if lengths and lengths[0].isdigit():
            self._content_length = int(lengths[0])
            if self._content_length > self._limits.body_bytes:
                raise BadRequest("the body is too large", 413)
        elif coding is None:
            self._content_length = 0
        expect = find_header(self._headers, b"expect")
        if expect is not None and self._parser.get_http_version() != "1.0":
            self._continue_due = expect.lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body and check the size."""
        self._continue_due = False
        self._size += len(body)
        self._framing_bytes = 0
        if self._size > self._limits.body_bytes:
            raise BadRequest("the body is too large", 413)
        if len(body) >= MIN_PIECE_BYTES:
            self._end_block()
            self._body.append(body)
            return
        self._tail += body
        if len(self._tail) >= BLOCK_BYTES:
            self._end_block()

    def _end_block(self) -> None:
        if self._tail:
            self._body.append(bytes(self._tail))
            self._tail = bytearray()

    def on_message_complete(self) -> None:
        """Hand over the request."""
        if self._parser.should_upgrade():
            return
        self._end_block()
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._url,
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
        )
        request.held_bytes = (
            self._head_size + len(self._headers) * FIELD_BYTES + self._size
        )
        # An idle connection keeps nothing of its last request.
        self._body = []
        self._headers = []
        self._size = self._head_size = self._framing_bytes = 0
        self._head_done = False
        self._content_length = None
        self._continue_due = False
        self.started_at = None
        self._receive_request(request)

    def _drop_partial(self) -> None:
        """Drop what was parsed of the partial request."""
        self._body = []
        self._tail = bytearray()
        self._headers = []
        self._size = self._head_size = 0
        self._continue_due = False
        self.started_at = None


def _without_option(value: bytes, option: bytes) -> bytes:
    """Return a comma-separated header value without one of its options."""
    options = [item.strip() for item in value.split(b",")]
    return b", ".join(item for item in options if item.lower() != option)
