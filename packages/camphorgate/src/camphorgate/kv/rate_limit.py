"""Rate limit, retry backoff and circuit breaker for calls to the KV service."""

import random
from collections import Counter
from enum import IntEnum


class Priority(IntEnum):
    """Priority of a call; calls with a lower number go first."""

    AUTHORITY = 0
    CLAIM = 1
    CONFIGURATION = 2
    BACKGROUND = 3


# Share of the bucket that calls of a priority must leave to higher priorities. It keeps
# a burst of usage writes from delaying the renewal of a lease.
_RESERVED_SHARE_BY_PRIORITY = {
    Priority.AUTHORITY: 0.0,
    Priority.CLAIM: 0.1,
    Priority.CONFIGURATION: 0.2,
    Priority.BACKGROUND: 0.4,
}


class CallRateLimiter:
    """Token bucket with call priorities; each call costs one token."""

    __slots__ = (
        "rate",
        "burst",
        "_tokens",
        "_updated_at",
        "calls_by_kind",
        "delayed_calls",
    )

    def __init__(self, calls_per_second: float, now: float) -> None:
        """Create a full bucket.

        :param calls_per_second: refill rate. The bucket holds one second of it, but
            at least 10 calls, so that a start or a handover is not throttled.
        """
        self.rate = calls_per_second
        self.burst = max(10.0, calls_per_second)
        self._tokens = self.burst
        self._updated_at = now
        self.calls_by_kind: Counter[str] = Counter()
        self.delayed_calls = 0

    def try_acquire(self, kind: str, priority: Priority, now: float) -> float:
        """Take one token, or return how long to wait for it.

        :param kind: method that is called, as the key of the call counters.
        :returns: 0 if the call may start now, else the seconds until the next try.
        """
        self._tokens = min(
            self.burst, self._tokens + max(0.0, now - self._updated_at) * self.rate
        )
        self._updated_at = now
        needed = 1.0 + self.burst * _RESERVED_SHARE_BY_PRIORITY[priority]
        if self._tokens < needed:
            self.delayed_calls += 1
            return max(0.001, (needed - self._tokens) / self.rate)
        self._tokens -= 1.0
        self.calls_by_kind[kind] += 1
        return 0.0


class Backoff:
    """Exponential backoff with jitter, which spreads the retries of many processes."""

    __slots__ = ("initial_seconds", "max_seconds", "consecutive_failures", "_rng")

    def __init__(
        self, initial_seconds: float, max_seconds: float, rng: random.Random
    ) -> None:
        """Create a backoff without failures.

        :param initial_seconds: delay after the first failure, before jitter.
        :param max_seconds: upper bound of the delay.
        """
        self.initial_seconds = initial_seconds
        self.max_seconds = max_seconds
        self.consecutive_failures = 0
        self._rng = rng

    def record_failure(self) -> float:
        """Count a failure and return the delay in seconds before the next attempt."""
        self.consecutive_failures += 1
        bound = min(
            self.max_seconds,
            self.initial_seconds * 2 ** min(self.consecutive_failures - 1, 30),
        )
        return bound * self._rng.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Reset the count of consecutive failures."""
        self.consecutive_failures = 0


class CircuitBreaker:
    """Circuit breaker that admits only single probes while the service is down.

    All other calls fail immediately instead of waiting, so that an outage of hours
    leaves no queue that would overload the service when it recovers.
    """

    __slots__ = ("failure_threshold", "_backoff", "_next_probe_at")

    def __init__(self, failure_threshold: int, backoff: Backoff) -> None:
        """Create a closed breaker, which admits every call.

        :param failure_threshold: consecutive failures that open the breaker.
        :param backoff: delay between probes while the breaker is open.
        """
        self.failure_threshold = failure_threshold
        self._backoff = backoff
        self._next_probe_at = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the breaker rejects calls other than probes."""
        return self._backoff.consecutive_failures >= self.failure_threshold

    def allows_call(self, now: float) -> bool:
        """Return whether a call may be sent now, without counting it."""
        return not self.is_open or now >= self._next_probe_at

    def admits_call(self, now: float) -> bool:
        """Return whether a call may be sent; an open breaker counts it as the probe."""
        if not self.allows_call(now):
            return False
        if self.is_open:
            # Prevents a second probe while this one is still in progress.
            self._next_probe_at = now + self._backoff.max_seconds
        return True

    def record_failure(self, now: float) -> None:
        """Count a call that got no response."""
        self._next_probe_at = now + self._backoff.record_failure()

    def record_success(self) -> None:
        """Close the breaker."""
        self._backoff.record_success()
