"""The budget of retries: a part of recent traffic, and at least a few per second."""

SHARE_OF_TRAFFIC = 0.1
MINIMUM_PER_SECOND = 3.0
MAX_SAVED = 100.0


class RetryBudget:
    """A token bucket that requests fill and retries empty."""

    __slots__ = ("_tokens", "_filled_at", "refused")

    def __init__(self) -> None:
        """Start with the minimum of one second."""
        self._tokens = MINIMUM_PER_SECOND
        self._filled_at = 0.0
        self.refused = 0

    def note_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + SHARE_OF_TRAFFIC, MAX_SAVED)

    def take(self, now: float) -> bool:
        """Take one retry if the budget allows it.

        :param now: monotonic seconds.
        """
        earned = max(0.0, now - self._filled_at) * MINIMUM_PER_SECOND
        if self._tokens < MINIMUM_PER_SECOND:
            self._tokens = min(MINIMUM_PER_SECOND, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True
