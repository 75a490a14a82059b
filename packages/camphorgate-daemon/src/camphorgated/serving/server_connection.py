"""HTTP/1.1 server connections, which read requests from callers."""

import asyncio
import time
from collections.abc import Callable

import httptools

from camphorgate.serving.catalog import Limits
from camphorgate.serving.memory_budget import (
    LEAST_URGENT,
    REQUESTS,
    SMALL_BYTES,
    UNREAD,
)
from camphorgated.serving.budgeted_connection import UNREAD_SECONDS, BudgetedConnection
from camphorgated.serving.caller_request import Request
from camphorgated.serving.errors import BadRequest
from camphorgated.serving.http1 import BUFFERED_BYTES, prepare_socket
from camphorgated.serving.memory import MAX_TURN_SECONDS, Memory

__all__ = [
    "MAX_QUEUED_REQUESTS",
    "READ_BYTES",
    "UNREAD_SECONDS",
    "Request",
    "ServerConnection",
]

# An unacknowledged write closes the connection after this time.
UNACKNOWLEDGED_MS = 3000
# Bytes of one read. All connections share the buffer: it is copied before the next one
# is read.
READ_BYTES = 65_536
_READ_BUFFER = memoryview(bytearray(READ_BYTES))
# Reads up to this size are parsed at once: the head of an ordinary request.
MAX_DIRECT_BYTES = 1024
# Requests that are parsed ahead of the one in progress; the rest stays unparsed.
MAX_QUEUED_REQUESTS = 4
# Unread responses above this size delay the next request that was sent ahead.
MAX_UNREAD_AHEAD_BYTES = 16_384
# A connection that was refused is open this long for the caller to read the refusal.
LINGER_SECONDS = 1.0


class ServerConnection(BudgetedConnection, asyncio.BufferedProtocol):
    """A connection of a caller; requests are buffered completely and in order."""

    __slots__ = (
        "left",
        "_on_made",
        "_waiter",
        "_drained",
        "_turn_queued",
        "_lingering",
        "_reading_ended",
        "_answering",
    )

    def __init__(
        self,
        on_made,
        clock,
        current_limits: Callable[[], Limits],
        memory: Memory | None = None,
        rank_of: Callable[[Request], int] = lambda request: LEAST_URGENT,
    ) -> None:
        """Prepare a connection.

        :param on_made: called with the connection once it is established.
        :param current_limits: returns the limits in force; each request has those of
            its first byte.
        :param memory: memory budget of the process; one of its own by default.
        :param rank_of: returns the priority of a request whose head was read.
        """
        super().__init__(clock, current_limits, memory or Memory(), rank_of)
        self.left: asyncio.Future | None = None
        self._on_made = on_made
        self._waiter: asyncio.Future | None = None
        self._drained: asyncio.Future | None = None
        self._turn_queued = False
        self._lingering = False
        self._reading_ended = False
        # Whether a request was handed over whose response has not ended.
        self._answering = False

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
        if self._error is not None or self._lingering:
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
        elif self._reading_ended and not self._unparsed:
            # The rest of a partial request is not read any more.
            self._release_partial()
            self._wake()
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
        if self._continue_due:
            self._send_continue()
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

    def _update_reading(self) -> None:
        """Read from the caller if nothing received waits and memory is free."""
        paused = self._error is None and (
            self._reading_ended
            or self._waits_for_memory
            or len(self._requests) > 1
            or len(self._unparsed) > 0
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

    def end_reading(self) -> None:
        """Read nothing more; the requests that were read whole are still answered."""
        if self._reading_ended or self._error is not None or self.closed:
            return
        self._reading_ended = True
        if not self._unparsed:
            self._release_partial()
        self._update_reading()
        self._update_charge()
        self._wake()

    def _send_continue(self) -> None:
        """Ask for the body that the caller holds back, if its request is next.

        Before that, the bytes would stand within the response to another request.
        """
        if self._continue_due and not self._answering and not self._requests:
            self._continue_due = False
            self.progressed_at = self._clock.monotonic()
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

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

    def resume_writing(self) -> None:
        """Let waiting writers continue."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None
        self._update_unread()
        self._memory.released()

    async def next_request(self, idle_seconds: float) -> Request | None:
        """Return the next complete request.

        :param idle_seconds: how long to wait for a request.
        :returns: ``None`` if the caller disconnected or stayed idle.
        :raises BadRequest: if the request is malformed or unacceptable.
        """
        self.release_request()
        self._answering = False
        if self._requests and not self.closed:
            await self._drain_ahead()
        elif self._continue_due:
            self._send_continue()
        while not self._requests:
            if self._error is not None:
                raise self._error
            if self.closed or (self._reading_ended and not self._unparsed):
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
        self._answering = True
        self._queued_bytes -= request.held_bytes
        self._current_bytes = request.held_bytes
        if self._unparsed and not self._turn_queued and self._error is None:
            self._parse_unparsed()
        elif self._paused:
            self._update_reading()
        return request

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
        if self._error is None and not self._paused:
            self.transport.close()
            return
        # Closing a connection with unread bytes resets it, so that the caller may not
        # receive the last response; the bytes are read and dropped for a moment.
        self._lingering = True
        self.transport.write_eof()
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self._end_linger)

    def _end_linger(self) -> None:
        """Reset the connection, unless the caller still reads the last response."""
        if self.closed or not self.transport.get_write_buffer_size():
            self.abort()
        else:
            asyncio.get_running_loop().call_later(LINGER_SECONDS, self._end_linger)

    def abort(self) -> None:
        """Reset the connection, so that an open response cannot appear complete."""
        if not self.closed:
            self.transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
