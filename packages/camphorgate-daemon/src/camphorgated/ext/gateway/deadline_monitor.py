"""Expires overdue waits from one task instead of a timer for each wait."""

import asyncio
from typing import Protocol

from camphorgate.clock import Clock

TICK_INTERVAL_SECONDS = 0.05
# A tick this late means that this process was suspended, not that the other side was
# silent, so every deadline is extended by the lost time.
_MIN_PAUSE_SECONDS = 1.0
NEVER = float("inf")


class Watched(Protocol):
    """An object with a deadline, which is ``NEVER`` while nothing is awaited."""

    deadline: float

    def expire(self) -> None:
        """Abort the wait."""


class DeadlineMonitor:
    """Expires watched objects whose deadline has passed."""

    __slots__ = ("_clock", "_watched", "_tick_callbacks")

    def __init__(self, clock: Clock) -> None:
        """Start without anything to watch."""
        self._clock = clock
        self._watched: set[Watched] = set()
        self._tick_callbacks: list = []

    def add(self, watched: Watched) -> None:
        """Watch an object until it is discarded."""
        self._watched.add(watched)

    def discard(self, watched: Watched) -> None:
        """Stop watching an object."""
        self._watched.discard(watched)

    def add_tick_callback(self, callback) -> None:
        """Call a function with the current time at every tick."""
        self._tick_callbacks.append(callback)

    def tick(self, now: float) -> None:
        """Expire overdue objects and run the tick callbacks."""
        for watched in [item for item in self._watched if item.deadline < now]:
            watched.deadline = NEVER
            watched.expire()
        for callback in self._tick_callbacks:
            callback(now)

    def extend_deadlines(self, seconds: float) -> None:
        """Extend every deadline by the length of a pause of this process."""
        for watched in self._watched:
            watched.deadline += seconds

    async def run(self) -> None:
        """Tick until cancelled."""
        last = self._clock.monotonic()
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            now = self._clock.monotonic()
            if now - last > _MIN_PAUSE_SECONDS:
                self.extend_deadlines(now - last)
            self.tick(now)
            last = now
