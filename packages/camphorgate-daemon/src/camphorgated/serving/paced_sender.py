"""Sends datagrams at a limited rate, so that slow links drop none."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from camphorgate.application import Application

# Datagrams are sent ahead of their time by this much, as timers fire late.
MAX_AHEAD_SECONDS = 0.01
# Datagrams that are not urgent and would wait longer are dropped: the receivers fetch
# what they lack.
MAX_QUEUE_SECONDS = 6.0


class PacedSender:
    """Sends queued datagrams one by one; urgent ones go before all others."""

    __slots__ = (
        "dropped_datagrams",
        "_app",
        "_send",
        "_bytes_per_second",
        "_urgent",
        "_bulk",
        "_bulk_seconds",
        "_free_at",
        "_task",
    )

    def __init__(
        self,
        app: Application,
        send: Callable[[bytes, str], None],
        bytes_per_second: float,
    ) -> None:
        """Start with an empty queue.

        :param send: sends a datagram to an address.
        """
        self.dropped_datagrams = 0
        self._app = app
        self._send = send
        self._bytes_per_second = bytes_per_second
        self._urgent: deque[tuple[bytes, str, float]] = deque()
        self._bulk: deque[tuple[bytes, str, float]] = deque()
        self._bulk_seconds = 0.0
        self._free_at = 0.0
        self._task: asyncio.Task | None = None

    def enqueue(
        self,
        datagrams: Iterable[tuple[bytes, str]],
        urgent: bool = False,
        rate_share: float = 1.0,
    ) -> None:
        """Queue datagrams with their addresses.

        :param rate_share: part of the rate at which they are sent.
        """
        for datagram, address in datagrams:
            seconds = len(datagram) / (self._bytes_per_second * rate_share)
            if urgent:
                self._urgent.append((datagram, address, seconds))
            elif self._bulk_seconds + seconds <= MAX_QUEUE_SECONDS:
                self._bulk.append((datagram, address, seconds))
                self._bulk_seconds += seconds
            else:
                self.dropped_datagrams += 1
        if self._task is None or self._task.done():
            self._task = self._app.supervise(self._send_queued, "paced sender")

    async def _send_queued(self) -> None:
        clock = self._app.clock
        while queue := self._urgent or self._bulk:
            ahead = self._free_at - clock.monotonic()
            if ahead > MAX_AHEAD_SECONDS:
                await asyncio.sleep(ahead)
                continue
            datagram, address, seconds = queue.popleft()
            if queue is self._bulk:
                self._bulk_seconds -= seconds
            self._free_at = max(self._free_at, clock.monotonic()) + seconds
            self._send(datagram, address)
