"""The clock as an interface, so that decisions never read the time themselves."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """What a process may ask about time."""

    def now(self) -> datetime:
        """Return the wall-clock time, time zone UTC."""

    def monotonic(self) -> float:
        """Return seconds that never go back; the zero is arbitrary."""


class SystemClock:
    """The clock of the machine."""

    __slots__ = ()

    def now(self) -> datetime:
        """Return the wall-clock time, time zone UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start.

        Uses the boot clock where there is one, as the monotonic clock stands still
        while a machine is suspended and would hide the pause.
        """
        return time.clock_gettime(_CLOCK_ID)


class ManualClock:
    """A clock that moves only when told to, for tests and replays."""

    __slots__ = ("_now", "_monotonic")

    def __init__(self, start: datetime | None = None) -> None:
        """Start at a fixed time.

        :param start: first wall-clock time, 2026-01-01 UTC by default.
        """
        self._now = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._monotonic = 0.0

    def now(self) -> datetime:
        """Return the wall-clock time, time zone UTC."""
        return self._now

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._monotonic

    def advance(self, seconds: float) -> None:
        """Move both readings forward.

        :param seconds: how far, not negative.
        """
        self._monotonic += seconds
        self._now += timedelta(seconds=seconds)


_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
