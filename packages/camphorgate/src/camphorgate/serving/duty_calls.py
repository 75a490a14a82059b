"""Calls of a duty's holder where the platform checks no fencing numbers.

Load addressed: holders that are frozen, cut off, thawed and killed at customers whose
platform takes every call. A call that arrives after those of the next holder breaks a
rule, so a call may only be under way while the lease lasts, and the duty is handed over
early only if all calls were answered.
"""

# A call without a response may be carried out this long after it was given up.
MAX_LATE_SECONDS = 3.0
# A call needs this much of the lease; with less, it waits for the next renewal.
MIN_CALL_SECONDS = 0.1


class DutyCalls:
    """The calls of this holder that are under way or had no response.

    Every time is of a steady clock, in seconds.
    """

    __slots__ = ("under_way", "_unanswered_at")

    def __init__(self) -> None:
        """Start without calls."""
        self.under_way = 0
        self._unanswered_at = float("-inf")

    def record_sent(self) -> None:
        """Record that a call is sent."""
        self.under_way += 1

    def record_ended(self, answered: bool, now: float) -> None:
        """Record that a call got a response, or was given up."""
        self.under_way -= 1
        if not answered:
            self._unanswered_at = now

    def may_hand_over(self, now: float) -> bool:
        """Return whether another holder may act at once.

        Otherwise the key of the duty has to stay until the lease ends.
        """
        return not self.under_way and now - self._unanswered_at >= MAX_LATE_SECONDS


def call_seconds(deadline: float, timeout: float, now: float) -> float:
    """Return for how long a call may be under way, 0 if it must not be sent.

    :param deadline: until when the holder may act.
    :param timeout: the usual timeout of the call in seconds.
    """
    seconds = min(timeout, deadline - now)
    return seconds if seconds >= MIN_CALL_SECONDS else 0.0
