"""How often a process calls the service, and how it returns after an outage."""

import random
from collections import Counter
from enum import IntEnum


class Priority(IntEnum):
    """Classes of calls; a lower number is served first."""

    AUTHORITY = 0
    CLAIM = 1
    CONFIGURATION = 2
    BACKGROUND = 3


# Part of the bucket that a class must leave for the classes before it, so that a
# burst of usage parts cannot delay the renewal of a lease.
_RESERVE_BY_PRIORITY = {
    Priority.AUTHORITY: 0.0,
    Priority.CLAIM: 0.1,
    Priority.CONFIGURATION: 0.2,
    Priority.BACKGROUND: 0.4,
}


class CallBudget:
    """A token bucket with classes of priority; one token is one call."""

    __slots__ = ("rate", "burst", "_tokens", "_updated", "calls_by_kind", "delayed")

    def __init__(self, calls_per_second: float, now: float) -> None:
        """Start with a full bucket.

        :param calls_per_second: steady rate; the bucket holds one second of it, and
            at least 10 calls, so that a start or a hand-over is not slowed down.
        """
        self.rate = calls_per_second
        self.burst = max(10.0, calls_per_second)
        self._tokens = self.burst
        self._updated = now
        self.calls_by_kind: Counter[str] = Counter()
        self.delayed = 0

    def take(self, kind: str, priority: Priority, now: float) -> float:
        """Take one call, or tell how long to wait.

        :param kind: what is called, for the counts.
        :returns: 0 if the call may start now, else seconds after which to ask again.
        """
        self._tokens = min(
            self.burst, self._tokens + max(0.0, now - self._updated) * self.rate
        )
        self._updated = now
        needed = 1.0 + self.burst * _RESERVE_BY_PRIORITY[priority]
        if self._tokens < needed:
            self.delayed += 1
            return max(0.001, (needed - self._tokens) / self.rate)
        self._tokens -= 1.0
        self.calls_by_kind[kind] += 1
        return 0.0


class Backoff:
    """Exponential delays with jitter, which spread the return of many processes."""

    __slots__ = ("first", "longest", "failures", "_random")

    def __init__(self, first: float, longest: float, generator: random.Random) -> None:
        """Start without failures.

        :param first: delay after the first failure in seconds, before jitter.
        :param longest: bound of the delay in seconds.
        """
        self.first = first
        self.longest = longest
        self.failures = 0
        self._random = generator

    def failed(self) -> float:
        """Count a failure and return the seconds to wait before the next attempt."""
        self.failures += 1
        bound = min(self.longest, self.first * 2 ** min(self.failures - 1, 30))
        return bound * self._random.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """Forget the failures."""
        self.failures = 0


class Outage:
    """Lets one call at a time through while the service does not answer.

    The other calls fail at once instead of waiting, so that an outage of hours leaves
    no queue that would load the service when it returns.
    """

    __slots__ = ("threshold", "_backoff", "_next_probe")

    def __init__(self, threshold: int, backoff: Backoff) -> None:
        """Start with a service that is assumed to work.

        :param threshold: failures in a row after which calls are held back.
        """
        self.threshold = threshold
        self._backoff = backoff
        self._next_probe = 0.0

    @property
    def active(self) -> bool:
        """Tell whether calls are held back."""
        return self._backoff.failures >= self.threshold

    def allows(self, now: float) -> bool:
        """Tell whether a call may be made; during an outage this uses up the probe."""
        if not self.active:
            return True
        if now < self._next_probe:
            return False
        # The probe itself may take a while; no second one starts in the meantime.
        self._next_probe = now + self._backoff.longest
        return True

    def failed(self, now: float) -> None:
        """Count a call without an answer."""
        self._next_probe = now + self._backoff.failed()

    def succeeded(self) -> None:
        """End the outage."""
        self._backoff.succeeded()
