"""Clock interface, so that decision logic never reads the system time itself."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> float:
        """Return monotonic seconds since an arbitrary start."""


class SystemClock:
    """The system clock."""

    __slots__ = ()

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start.

        Uses CLOCK_BOOTTIME where it exists, because the monotonic clock stops while a
        machine is suspended and would hide the pause.
        """
        return time.clock_gettime(_CLOCK_ID)


class ManualClock:
    """A clock that advances only on request, for tests and replays."""

    __slots__ = ("_now", "_monotonic")

    def __init__(self, start: datetime | None = None) -> None:
        """Create a clock at a fixed time.

        :param start: initial wall-clock time, 2026-01-01 UTC by default.
        """
        self._now = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._monotonic = 0.0

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return self._now

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._monotonic

    def advance(self, seconds: float) -> None:
        """Advance the wall-clock and the monotonic time.

        :param seconds: time to advance by, not negative.
        """
        self._monotonic += seconds
        self._now += timedelta(seconds=seconds)


_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
