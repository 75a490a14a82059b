"""The part of the fleet's budget of repeated requests that one instance may use.

The users bound the arrivals beyond the first of each request to a share of the
requests plus a fixed slack, summed over all instances in a sliding window. Each
instance uses its own requests' share and an equal part of the slack, so the sum keeps
the bound for any number of instances up to the one assumed here.
"""

from collections import deque

# The part of the bound that is used. The rest covers instances that start within one
# window and arrivals that an upstream counts later than they were sent.
USED_PART = 0.7


class ShareOfBudget:
    """Counts the repeats of one service in a sliding window."""

    __slots__ = ("_ratio", "_slack", "_window", "_requests", "_repeats")

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        """Start with nothing sent.

        :param ratio: repeats per request that the whole fleet may send.
        :param slack: repeats in a window beyond that, for the whole fleet.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)

    def take(self, now: float, instances: int) -> bool:
        """Take one repeat if the window has room.

        :param instances: how many instances share the slack, at least 1.
        """
        start = now - self._window
        for times in (self._requests, self._repeats):
            while times and times[0] <= start:
                times.popleft()
        allowed = len(self._requests) * self._ratio + self._slack / max(1, instances)
        if len(self._repeats) + 1 > allowed * USED_PART:
            return False
        self._repeats.append(now)
        return True
