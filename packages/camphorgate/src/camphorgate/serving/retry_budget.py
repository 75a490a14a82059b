"""One instance's share of the retry budget of the whole fleet.

The users require that the arrivals beyond the first of each request, summed over all
instances in a sliding window, stay below a ratio of the requests plus a fixed slack.
Each instance may use the ratio of its own requests and an equal part of the slack, so
the total stays within the bound as long as no more instances run than assumed here.
"""

from collections import deque

# Fraction of the bound that is used. The rest covers instances that start within one
# window and arrivals that an upstream counts later than they were sent.
USED_FRACTION = 0.7


class RetryBudgetShare:
    """Counts the retries of one service in a sliding window."""

    __slots__ = ("_ratio", "_slack", "_window", "_requests", "_retries")

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        """Initialize an empty window.

        :param ratio: retries per request that the whole fleet may send.
        :param slack: additional retries per window for the whole fleet.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Record a request received from a caller."""
        self._drop_old(now)
        self._requests.append(now)

    def try_reserve(self, now: float, instances: int) -> bool:
        """Reserve one retry if the budget of the window allows it.

        :param instances: number of instances that share the slack; at least 1.
        :returns: whether the retry was reserved.
        """
        self._drop_old(now)
        allowed = len(self._requests) * self._ratio + self._slack / max(1, instances)
        if len(self._retries) + 1 > allowed * USED_FRACTION:
            return False
        self._retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        start = now - self._window
        for times in (self._requests, self._retries):
            while times and times[0] <= start:
                times.popleft()
