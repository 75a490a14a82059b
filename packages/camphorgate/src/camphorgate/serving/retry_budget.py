"""One instance's share of the retry budget of the whole fleet.

The users require that the arrivals beyond the first of each request, summed over all
instances in a sliding window, stay below a ratio of the requests plus a fixed slack.
Each instance may use the ratio of its own requests and an equal part of the slack.
What keeps the sum within the bound:

- The slack is divided by the largest number of instances that was counted within the
  last window: instances that ended since may have used their parts.
- An instance that starts does not know what its predecessor used. In its first window
  it uses a small part of the slack, and none before it has counted the instances.
- The ratio applies to the smaller of the requests of the window and their average over
  some windows. A share that followed each random increase of few requests would be
  used at its largest and kept for a window.
- A share is rarely a whole number, and at 750 instances often below 1. Each instance
  rounds at a threshold of its own, so that the sum loses and gains nothing.

:mod:`camphorgate.serving.send_attempts` tells what each send takes from the budget.
"""

import math
from collections import deque

# Fraction of the bound that is used. Simulated with 8, 87, 195 and 750 instances, the
# fullest window reaches 0.89 of the bound with it; the average window reaches 0.7 while
# most sends are refused, as a retry that has left the window of its instance is used
# again only when a request of this instance needs one. The rest of the bound also
# covers arrivals that an upstream counts later than they were sent.
USED_FRACTION = 0.8
# Fraction of the slack that an instance uses in its first window. After a restart of
# all instances, the sum of both fractions applies.
STARTING_SLACK_FRACTION = 0.08
# Time constant of the average number of requests, in windows.
AVERAGE_WINDOWS = 3.0
# How many requests the average may exceed those of the window, so that an instance with
# few of them keeps its average share while they pause.
MAX_AVERAGE_EXCESS = 0.5


class RetryBudgetShare:
    """Counts the retries of one service in a sliding window."""

    __slots__ = (
        "refusals",
        "_ratio",
        "_slack",
        "_window",
        "_started_at",
        "_rounding",
        "_requests",
        "_first_at",
        "_average",
        "_averaged_at",
        "_retries",
        "_counts",
    )

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_seconds: float,
        started_at: float = float("-inf"),
        rounding: float = 0.0,
    ) -> None:
        """Initialize an empty window.

        :param ratio: retries per request that the whole fleet may send.
        :param slack: additional retries per window for the whole fleet.
        :param started_at: when this instance started; by default its earlier retries
            are known.
        :param rounding: what is added to the share before it is rounded down, at least
            0 and below 1, spread evenly over the instances.
        """
        # Number of retries that were not granted.
        self.refusals = 0
        self._ratio = ratio
        self._slack = slack
        self._window = window_seconds
        self._started_at = started_at
        self._rounding = rounding
        self._requests: deque[float] = deque()
        self._first_at: float | None = None
        # Sum over all requests of a weight that decays from 1, as of a time.
        self._average = 0.0
        self._averaged_at = 0.0
        self._retries: deque[float] = deque()
        # Since when each number of instances holds; each is larger than all later ones.
        self._counts: deque[tuple[float, int]] = deque()

    def record_request(self, now: float) -> None:
        """Record a request received from a caller."""
        self._drop_old(now)
        self._requests.append(now)
        if self._first_at is None:
            self._first_at = now
        self._average = self._decayed_average(now) + 1.0
        self._averaged_at = now

    def try_reserve(
        self, now: float, instances: int, count: int = 1, counted: bool = True
    ) -> bool:
        """Reserve retries if the budget of the window allows them.

        :param instances: number of instances that share the slack; at least 1.
        :param count: how many retries to reserve, all or none.
        :param counted: whether the instances have been counted since the start.
        :returns: whether they were reserved.
        """
        self._drop_old(now)
        self._record_count(now, max(1, instances))
        if len(self._retries) + count > self._allowed(now, counted):
            self.refusals += 1
            return False
        self._retries.extend([now] * count)
        return True

    def release(self, reserved_at: float) -> None:
        """Return a retry that was not sent.

        :param reserved_at: when it was reserved.
        """
        if reserved_at in self._retries:
            self._retries.remove(reserved_at)

    def dump(self, now: float) -> dict:
        """Return the state of the window for the operator dump."""
        self._drop_old(now)
        return {
            "requests": len(self._requests),
            "retries": len(self._retries),
            "instances": self._counts[0][1] if self._counts else None,
            "refusals": self.refusals,
        }

    def _allowed(self, now: float, counted: bool) -> float:
        slack = self._slack / self._counts[0][1]
        if now - self._started_at >= self._window:
            slack *= USED_FRACTION
        else:
            slack *= STARTING_SLACK_FRACTION if counted else 0.0
        ratio = self._ratio * USED_FRACTION
        return self._effective_requests(now) * ratio + slack + self._rounding

    def _effective_requests(self, now: float) -> float:
        """Return the smaller of the requests of the window and of an average window."""
        requests = len(self._requests)
        if self._first_at is None or now - self._first_at <= self._window:
            return requests
        constant = AVERAGE_WINDOWS * self._window
        # Average weight of a window since the first request.
        weight = constant * (1.0 - math.exp((self._first_at - now) / constant))
        average = self._decayed_average(now) * self._window / weight
        return min(average, requests + MAX_AVERAGE_EXCESS)

    def _decayed_average(self, now: float) -> float:
        constant = AVERAGE_WINDOWS * self._window
        return self._average * math.exp((self._averaged_at - now) / constant)

    def _record_count(self, now: float, instances: int) -> None:
        counts = self._counts
        while counts and counts[-1][1] < instances:
            counts.pop()
        if not counts or counts[-1][1] > instances:
            counts.append((now, instances))

    def _drop_old(self, now: float) -> None:
        start = now - self._window
        for times in (self._requests, self._retries):
            while times and times[0] <= start:
                times.popleft()
        # A number holds until the next one was counted.
        while len(self._counts) > 1 and self._counts[1][0] <= start:
            self._counts.popleft()
