"""What a connection of a caller holds of the memory budget, and stalled callers.

Requests that are read and responses that are not are charged to the budget. Callers
that stop sending a request or reading a response are refused or disconnected in time.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from camphorgate.serving.catalog import Limits
from camphorgate.serving.memory_budget import (
    FIELD_BYTES,
    PARTS,
    REQUESTS,
    SMALL_BYTES,
    UNREAD,
    Account,
)
from camphorgated.serving.caller_request import Request
from camphorgated.serving.errors import BadRequest
from camphorgated.serving.memory import Memory
from camphorgated.serving.request_parser import RequestParser

# A caller that reads nothing for this long while responses wait in its write buffer is
# disconnected, before upstreams cut what they send for it.
UNREAD_SECONDS = 2.0
READ_CHECK_SECONDS = 0.25
# Callers that have read nothing for this long are disconnected where memory is short.
SCARCE_UNREAD_SECONDS = 0.5


class BudgetedConnection(RequestParser):
    """Requests and unread responses of a connection within the memory budget."""

    __slots__ = (
        "transport",
        "closed",
        "_clock",
        "_memory",
        "_account",
        "_requests",
        "_unparsed",
        "_error",
        "_paused",
        "_waits_for_memory",
        "_queued_bytes",
        "_current_bytes",
        "_stall_timer",
        "_memory_timer",
        "_unread_timer",
        "_written_bytes",
        "_read_bytes",
        "_read_at",
    )

    def __init__(
        self,
        clock,
        current_limits: Callable[[], Limits],
        memory: Memory,
        rank_of: Callable[[Request], int],
    ) -> None:
        """Start without requests and responses.

        :param current_limits: returns the limits in force.
        :param memory: memory budget of the process.
        :param rank_of: returns the priority of a request whose head was read.
        """
        super().__init__(current_limits, rank_of)
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._clock = clock
        self._memory = memory
        self._account = Account(memory.budget)
        self._requests: deque[Request] = deque()
        self._unparsed = b""
        self._error: BadRequest | None = None
        self._paused = False
        self._waits_for_memory = False
        self._queued_bytes = 0
        self._current_bytes = 0
        self._stall_timer: asyncio.TimerHandle | None = None
        self._memory_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        # Bytes of responses: written in all, and of them read by the caller as far as
        # is known, and since when it has read no more.
        self._written_bytes = 0
        self._read_bytes = 0
        self._read_at = 0.0

    def abort(self) -> None:
        """Reset the connection."""
        raise NotImplementedError

    def _update_reading(self) -> None:
        """Read from the caller if nothing received waits and memory is free."""
        raise NotImplementedError

    def _wake(self) -> None:
        """Wake the task that waits for a request."""
        raise NotImplementedError

    def _receive_request(self, request: Request) -> None:
        """Queue a completely received request."""
        self._queued_bytes += request.held_bytes
        if self._waits_for_memory:
            self._end_memory_timer()
        request.read_at = self._clock.monotonic()
        self._requests.append(request)

    @property
    def receiving(self) -> bool:
        """Return whether a request is queued or partly received."""
        arriving = self.started_at is not None or bool(self._unparsed)
        return bool(self._requests) or arriving

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
        if self._paused or self._continue_due:
            # The caller cannot make progress while it is not read or asked to go on.
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
        self._drop_partial()
        self._end_memory_timer()

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
