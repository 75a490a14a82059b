"""HTTP/1.1 server connections, which read requests from callers."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

import httptools

from camphorgate.serving.catalog import Limits
from camphorgate.serving.memory_budget import (
    FIELD_BYTES,
    LEAST_URGENT,
    PARTS,
    REQUESTS,
    SMALL_BYTES,
    UNREAD,
    Account,
)
from camphorgated.serving.errors import BadRequest
from camphorgated.serving.http1 import (
    BUFFERED_BYTES,
    MAX_FRAMING_BYTES,
    Headers,
    encode_head,
    find_header,
    prepare_socket,
)
from camphorgated.serving.memory import MAX_TURN_SECONDS, Memory

# An unacknowledged write closes the connection after this time.
UNACKNOWLEDGED_MS = 3000
# Bytes of one read. All connections share the buffer: it is copied before the next one
# is read.
READ_BYTES = 65_536
_READ_BUFFER = memoryview(bytearray(READ_BYTES))
# Bytes that are parsed between two checks of the bounds.
SLICE_BYTES = 16_384
# Reads up to this size are parsed at once: the head of an ordinary request.
MAX_DIRECT_BYTES = 1024
# Requests that are parsed ahead of the one in progress; the rest stays unparsed.
MAX_QUEUED_REQUESTS = 4
# Unread responses above this size delay the next request that was sent ahead.
MAX_UNREAD_AHEAD_BYTES = 16_384
# Pieces of a body that are smaller than the first size are joined to blocks of the
# second one.
MIN_PIECE_BYTES = 4096
BLOCK_BYTES = 65_536
# A caller that reads nothing for this long while responses wait in its write buffer is
# disconnected, before upstreams cut what they send for it.
UNREAD_SECONDS = 2.0
READ_CHECK_SECONDS = 0.25
# Callers that have read nothing for this long are disconnected where memory is short.
SCARCE_UNREAD_SECONDS = 0.5
# A connection that was refused is open this long for the caller to read the refusal.
LINGER_SECONDS = 1.0
_HEAD_END = b"\r\n\r\n"


class Request:
    """A completely received request of a caller."""

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "keep_alive",
        "read_at",
        "held_bytes",
    )

    def __init__(
        self, method: str, target: bytes, headers: Headers, body: bytes, keep: bool
    ) -> None:
        """Initialize the request.

        :param target: path and query as received.
        :param headers: with lower-case names, in order of receipt.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep
        self.read_at = 0.0
        # What the request takes in memory, including its parsed head.
        self.held_bytes = 0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header with a lower-case name."""
        return find_header(self.headers, name)


class ServerConnection(asyncio.BufferedProtocol):
    """A connection of a caller; requests are buffered completely and in order."""

    __slots__ = (
        "transport",
        "closed",
        "started_at",
        "_current_limits",
        "_limits",
        "left",
        "_on_made",
        "_parser",
        "_url",
        "_headers",
        "_body",
        "_size",
        "_head_size",
        "_head_done",
        "_framing_bytes",
        "_requests",
        "_error",
        "_waiter",
        "_drained",
        "_clock",
        "_paused",
        "progressed_at",
        "_account",
        "_memory",
        "_rank_of",
        "_rank",
        "_unparsed",
        "_turn_queued",
        "_tail",
        "_content_length",
        "_waits_for_memory",
        "_queued_bytes",
        "_current_bytes",
        "_stall_timer",
        "_memory_timer",
        "_unread_timer",
        "_written_bytes",
        "_read_bytes",
        "_read_at",
        "_lingering",
    )

    def __init__(
        self,
        on_made,
        clock,
        current_limits: Callable[[], Limits],
        memory: Memory | None = None,
        rank_of: Callable[["Request"], int] = lambda request: LEAST_URGENT,
    ) -> None:
        """Prepare a connection.

        :param on_made: called with the connection once it is established.
        :param current_limits: returns the limits in force; each request has those of
            its first byte.
        :param memory: memory budget of the process; one of its own by default.
        :param rank_of: returns the priority of a request whose head was read.
        """
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.left: asyncio.Future | None = None
        self.started_at: float | None = None
        self._current_limits = current_limits
        self._clock = clock
        self._on_made = on_made
        self._requests: deque[Request] = deque()
        self._error: BadRequest | None = None
        self._waiter: asyncio.Future | None = None
        self._drained: asyncio.Future | None = None
        self._paused = False
        self._memory = memory or Memory()
        self._account = Account(self._memory.budget)
        self._rank_of = rank_of
        self._unparsed = b""
        self._turn_queued = False
        self._waits_for_memory = False
        self._queued_bytes = 0
        self._current_bytes = 0
        self.progressed_at = 0.0
        self._stall_timer: asyncio.TimerHandle | None = None
        self._memory_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        # Bytes of responses: written in all, and of them read by the caller as far as
        # is known, and since when it has read no more.
        self._written_bytes = 0
        self._read_bytes = 0
        self._read_at = 0.0
        self._lingering = False
        self._parser = httptools.HttpRequestParser(self)
        self.on_message_begin()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport and announce the connection."""
        self.transport = transport
        self.left = asyncio.get_running_loop().create_future()
        prepare_socket(transport, UNACKNOWLEDGED_MS)
        transport.set_write_buffer_limits(high=BUFFERED_BYTES)
        if self._memory.admit(self):
            self._on_made(self)
        else:
            transport.abort()

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, size: int) -> None:
        """Receive the bytes of a read."""
        self.data_received(bytes(_READ_BUFFER[:size]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them until a turn is free."""
        if self._error is not None:
            return
        now = self._clock.monotonic()
        if self.started_at is None:
            self.started_at = now
        self.progressed_at = now
        if self._unparsed or len(data) > MAX_DIRECT_BYTES:
            self._unparsed += data
            self._parse_unparsed()
            return
        parsed = self._parse_slices(data)
        if parsed < len(data):
            self._unparsed = data[parsed:]
        if self.started_at is None and len(self._requests) == 1 and not self._unparsed:
            # An ordinary request, which arrived in one piece.
            account = self._account
            account.resize(REQUESTS, self._queued_bytes + self._current_bytes)
            if account.budget.used_bytes >= account.budget.stop_bytes:
                self._memory.relieve(self)
            self._wake()
        else:
            self._end_parsing()

    def parse_on(self) -> None:
        """Parse the rest of a read in a new turn."""
        self._turn_queued = False
        if self._error is None and not self.closed:
            self._parse_unparsed()

    def _parse_unparsed(self) -> None:
        """Parse until enough requests are queued or the turn is over."""
        data = self._unparsed
        if len(data) <= MAX_DIRECT_BYTES:
            self._unparsed = data[self._parse_slices(data) :]
        elif self._turn_queued:
            return
        elif self._memory.turns.may_parse():
            self._unparsed = data[self._parse_slices(data) :]
        self._end_parsing()

    def _end_parsing(self) -> None:
        """Charge what is held, and decide when to parse and read on."""
        if self._error is not None:
            self._release_partial()
        elif (
            self._unparsed
            and not self._turn_queued
            and len(self._requests) < MAX_QUEUED_REQUESTS
        ):
            self._turn_queued = True
            self._memory.turns.queue(self)
        if self._paused or self._unparsed or len(self._requests) > 1:
            self._update_reading()
        self._update_charge()
        if self.started_at is not None and self._stall_timer is None:
            self._watch_arrival(self._limits.header_seconds)
        if self._error is not None or self._requests:
            self._wake()

    def _parse_slices(self, data: bytes) -> int:
        """Parse slices, each of which ends at most one request.

        :returns: number of parsed bytes.
        """
        position = 0
        turns = self._memory.turns
        large = len(data) > MAX_DIRECT_BYTES
        started_at = time.perf_counter() if large else 0.0
        view = memoryview(data)
        size = len(data)
        requests = self._requests
        try:
            while position < size and len(requests) < MAX_QUEUED_REQUESTS:
                end = self._slice_end(data, position)
                whole = not position and end == size
                self._parse_slice(view if whole else view[position:end])
                position = end
                if large and time.perf_counter() - started_at > MAX_TURN_SECONDS:
                    break
        except BadRequest as error:
            self._error = error
        except httptools.HttpParserError as error:
            cause = error.__context__
            known = isinstance(cause, BadRequest)
            self._error = cause if known else BadRequest(f"malformed: {error}", 400)
        if large:
            turns.record_spent(time.perf_counter() - started_at)
        return position

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

    def _watch_arrival(self, seconds: float) -> None:
        self._stall_timer = asyncio.get_running_loop().call_later(
            seconds, self._check_arrival
        )

    def _check_arrival(self) -> None:
        """Refuse a request whose head takes too long or whose body stalls."""
        self._stall_timer = None
        if self.started_at is None or self._error is not None or self.closed:
            return
        now = self._clock.monotonic()
        limit = self._limits.header_seconds
        if self._paused:
            # The caller cannot make progress while it is not read.
            self.progressed_at = now
        since = self.progressed_at if self._head_done else self.started_at
        if now - since < limit or (self._paused and self._head_done):
            self._watch_arrival(max(0.01, since + limit - now))
        elif self._paused:
            self._watch_arrival(limit)
        else:
            self.fail(BadRequest("the request took too long", 408))

    def fail(self, error: BadRequest) -> None:
        """Refuse the partial request; requests that were read are still answered."""
        if self._error is None and not self.closed:
            self._error = error
            self._release_partial()
            self._update_reading()
            self._update_charge()
            self._wake()

    def _release_partial(self) -> None:
        self._unparsed = b""
        self._body = []
        self._tail = bytearray()
        self._headers = []
        self._size = self._head_size = 0
        self.started_at = None
        self._end_memory_timer()

    @property
    def idle(self) -> bool:
        """Return whether no request is arriving, queued or in progress."""
        return not (self.receiving or self._current_bytes or self._error)

    @property
    def refusable_bytes(self) -> int:
        """Return what a refusal of the partial request frees, in bytes."""
        if self._error is not None or self.closed:
            return 0
        return self._partial_bytes()

    def stalled_unread_bytes(self) -> int:
        """Return the bytes of responses that the caller has stopped reading."""
        unread = 0 if self.closed else self._account.held_by_kind[UNREAD]
        if unread and self._clock.monotonic() - self._read_at < SCARCE_UNREAD_SECONDS:
            return 0
        return unread

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
            method = self._parser.get_method().decode("latin-1")
            head = Request(method, self._url, self._headers, b"", True)
            self._rank = self._rank_of(head)
        return self._rank

    def _partial_bytes(self) -> int:
        head_bytes = self._head_size + len(self._headers) * FIELD_BYTES
        return head_bytes + self._size + len(self._unparsed)

    def _update_charge(self) -> None:
        """Charge what the connection holds of requests to the memory budget."""
        account = self._account
        held = self._queued_bytes + self._current_bytes
        if self.started_at is not None or self._unparsed:
            held += self._partial_bytes()
        released = held < account.held_by_kind[REQUESTS]
        account.resize(REQUESTS, held)
        if released:
            self._memory.released()
        elif account.budget.used_bytes >= account.budget.stop_bytes:
            self._memory.relieve(self)

    def charge_parts(self, size: int) -> bool:
        """Charge the parsed prompt parts of the request in progress.

        :returns: false if the budget does not allow it; nothing is charged then.
        """
        if self._account.budget.refuses(size):
            return False
        self._account.resize(PARTS, size)
        return True

    def try_wait_for_memory(self) -> bool:
        """Stop reading a large partial request and return whether it now waits."""
        if (
            self._waits_for_memory
            or self._error is not None
            or self.started_at is None
            or self._size + self.expected_bytes + len(self._unparsed) <= SMALL_BYTES
        ):
            return False
        self._waits_for_memory = True
        self._memory_timer = asyncio.get_running_loop().call_later(
            self._limits.header_seconds, self._memory.refuse, self, "waited"
        )
        self._update_reading()
        return True

    def end_wait_for_memory(self) -> None:
        """Read on."""
        self._end_memory_timer()
        if not self.closed:
            self._update_reading()

    def _end_memory_timer(self) -> None:
        self._waits_for_memory = False
        if self._memory_timer is not None:
            self._memory_timer.cancel()
            self._memory_timer = None
            self._memory.forget(self)

    def _update_reading(self) -> None:
        """Read from the caller if nothing received waits and memory is free."""
        paused = self._error is None and (
            self._waits_for_memory or len(self._requests) > 1 or len(self._unparsed) > 0
        )
        if paused != self._paused and not self.transport.is_closing():
            self._paused = paused
            if paused:
                self.transport.pause_reading()
            else:
                # The time in which the caller was not read does not count.
                self.progressed_at = self._clock.monotonic()
                if self.started_at is not None and not self._head_done:
                    self.started_at = self.progressed_at
                self.transport.resume_reading()

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

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record that the caller disconnected."""
        self.closed = True
        # The parser refers to this object; without it, both are freed at once.
        self._parser = None
        self._release_partial()
        for timer in (self._stall_timer, self._unread_timer):
            if timer is not None:
                timer.cancel()
        self._stall_timer = self._unread_timer = None
        self._memory.connections.pop(self, None)
        self._account.resize(UNREAD, 0)
        self._update_charge()
        if not self.left.done():
            self.left.set_result(None)
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._wake()

    def pause_writing(self) -> None:
        """Make writers wait while the write buffer is full."""
        if self._drained is None:
            self._drained = asyncio.get_running_loop().create_future()
        self._update_unread()

    def _update_unread(self) -> None:
        """Charge the bytes that the caller has not read to the memory budget."""
        account = self._account
        unread = self.transport.get_write_buffer_size()
        account.resize(UNREAD, unread)
        if unread and self._unread_timer is None:
            self._read_at = self._clock.monotonic()
            self._watch_reader()
        if account.budget.used_bytes >= account.budget.stop_bytes:
            self._memory.relieve(self)

    def _watch_reader(self) -> None:
        self._unread_timer = asyncio.get_running_loop().call_later(
            READ_CHECK_SECONDS, self._check_reader
        )

    def _check_reader(self) -> None:
        """Disconnect a caller that reads nothing while bytes wait for it."""
        self._unread_timer = None
        if self.closed:
            return
        unread = self.transport.get_write_buffer_size()
        self._account.resize(UNREAD, unread)
        self._memory.released()
        if not unread:
            return
        now = self._clock.monotonic()
        if self._written_bytes - unread > self._read_bytes:
            self._read_bytes = self._written_bytes - unread
            self._read_at = now
        if now - self._read_at >= UNREAD_SECONDS:
            self._memory.count_refusal("not_reading")
            self.abort()
        else:
            self._watch_reader()

    def resume_writing(self) -> None:
        """Let waiting writers continue."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None
        self._update_unread()
        self._memory.released()

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._limits = self._current_limits()
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        # The last pieces of the body, which are too small to be kept as they are.
        self._tail = bytearray()
        self._content_length: int | None = None
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
        if find_header(self._headers, b"expect") == b"100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body and check the size."""
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
        """Queue the request."""
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
        self._queued_bytes += request.held_bytes
        # An idle connection keeps nothing of its last request.
        self._body = []
        self._headers = []
        self._size = self._head_size = self._framing_bytes = 0
        self._head_done = False
        self._content_length = None
        self.started_at = None
        if self._waits_for_memory:
            self._end_memory_timer()
        request.read_at = self._clock.monotonic()
        self._requests.append(request)

    @property
    def receiving(self) -> bool:
        """Return whether a request is queued or partly received."""
        arriving = self.started_at is not None or bool(self._unparsed)
        return bool(self._requests) or arriving

    async def next_request(self, idle_seconds: float) -> Request | None:
        """Return the next complete request.

        :param idle_seconds: how long to wait for a request.
        :returns: ``None`` if the caller disconnected or stayed idle.
        :raises BadRequest: if the request is malformed or unacceptable.
        """
        self.release_request()
        if self._requests and not self.closed:
            await self._drain_ahead()
        while not self._requests:
            if self._error is not None:
                raise self._error
            if self.closed:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(idle_seconds):
                    await self._waiter
            except TimeoutError:
                # A request that is arriving has a time limit of its own.
                if self.started_at is None and not self._unparsed:
                    return None
            finally:
                self._waiter = None
        request = self._requests.popleft()
        self._queued_bytes -= request.held_bytes
        self._current_bytes = request.held_bytes
        if self._unparsed and not self._turn_queued and self._error is None:
            self._parse_unparsed()
        elif self._paused:
            self._update_reading()
        return request

    def release_request(self) -> None:
        """Release what the request in progress held, as it has ended."""
        if self._current_bytes:
            self._current_bytes = 0
            account = self._account
            if account.held_by_kind[PARTS]:
                account.resize(PARTS, 0)
            if self._requests or self.started_at is not None or self._unparsed:
                self._update_charge()
            else:
                account.resize(REQUESTS, 0)
                self._memory.released()
        if self._account.held_by_kind[UNREAD] and not self.closed:
            self._update_unread()

    async def _drain_ahead(self) -> None:
        """Wait until the caller has read most responses to requests sent ahead."""
        unread = self.transport.get_write_buffer_size()
        if unread <= MAX_UNREAD_AHEAD_BYTES or self.transport.is_closing():
            return
        self.transport.set_write_buffer_limits(high=MAX_UNREAD_AHEAD_BYTES)
        await self.drain()
        if not self.transport.is_closing():
            self.transport.set_write_buffer_limits(high=BUFFERED_BYTES)

    def write(self, data: bytes) -> None:
        """Send bytes unless the caller disconnected."""
        if not self.closed:
            self.transport.write(data)
            self._written_bytes += len(data)
            if self._drained is not None or len(data) > SMALL_BYTES:
                self._update_unread()

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit."""
        if self._drained is not None:
            await self._drained

    def close(self) -> None:
        """Close the connection after sending buffered bytes."""
        if self.closed or self._lingering or self.transport.is_closing():
            return
        if self._error is None:
            self.transport.close()
            return
        # Closing a connection with unread bytes resets it, so that the caller may not
        # receive the refusal; the bytes are read and dropped for a moment.
        self._lingering = True
        self.transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self.abort)

    def abort(self) -> None:
        """Reset the connection, so that an open response cannot appear complete."""
        if not self.closed:
            self.transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _without_option(value: bytes, option: bytes) -> bytes:
    """Return a comma-separated header value without one of its options."""
    options = [item.strip() for item in value.split(b",")]
    return b", ".join(item for item in options if item.lower() != option)
