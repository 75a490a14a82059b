"""Duration of work at one upstream relative to its service, learned with decay."""

import math

# Bounds of a factor; the load that this addresses has factors of 0.7 to 1.7.
MIN_FACTOR = 0.2
MAX_FACTOR = 5.0
# Observations lose their weight over this time. Without new ones, the factor returns to
# 1, so that an upstream that looked slow, and therefore gets no requests, is tried
# again.
DECAY_SECONDS = 15.0
# Weight of the assumption that the factor is 1, in observations.
PRIOR_WEIGHT = 1.0
# Bound on the weight of earlier observations, so that a factor follows a change within
# this many new ones.
MAX_WEIGHT = 12.0
# A single observation counts as if it deviated from the factor by at most this ratio,
# as a momentary stop and a queue that is not known show as many times the duration.
MAX_DEVIATION = 2.5
# Weight of an observation above the known factor relative to one below it: prompts and
# requests that this instance does not know of only make a response take longer.
LONGER_WEIGHT = 0.4
# The factor is computed again after this time.
CACHE_SECONDS = 0.1

_MIN_LOG, _MAX_LOG = math.log(MIN_FACTOR), math.log(MAX_FACTOR)
_MAX_LOG_DEVIATION = math.log(MAX_DEVIATION)


class SpeedFactor:
    """Factor of the durations at one incarnation of an upstream.

    The factor is the geometric mean of the observed ones and of 1, each with its
    weight.
    """

    __slots__ = ("_sum", "_weight", "_at", "_value", "_read_at")

    def __init__(self) -> None:
        """Start with the factor 1."""
        self._sum = 0.0
        self._weight = 0.0
        self._at = 0.0
        self._value = 1.0
        self._read_at = float("-inf")

    def value(self, now: float) -> float:
        """Return the factor."""
        if now - self._read_at >= CACHE_SECONDS:
            self._read_at = now
            if self._weight:
                kept = math.exp(-max(0.0, now - self._at) / DECAY_SECONDS)
                weight = self._weight * kept
                self._value = math.exp(self._sum * kept / (weight + PRIOR_WEIGHT))
        return self._value

    def mean(self) -> float:
        """Return the mean of the observations alone, 1 if there are none."""
        return math.exp(self._sum / self._weight) if self._weight else 1.0

    def weight(self, now: float) -> float:
        """Return the weight of the observations, in observations."""
        return self._weight * math.exp(-max(0.0, now - self._at) / DECAY_SECONDS)

    def record(self, factor: float, weight: float, now: float) -> None:
        """Record an observed factor.

        :param factor: a positive number.
        :param weight: weight of the observation; 1 for a reliable one.
        """
        known = math.log(self.value(now))
        log = math.log(factor)
        if log > known:
            weight *= LONGER_WEIGHT
        log = min(known + _MAX_LOG_DEVIATION, max(known - _MAX_LOG_DEVIATION, log))
        kept = math.exp(-max(0.0, now - self._at) / DECAY_SECONDS)
        kept *= min(1.0, MAX_WEIGHT / max(MAX_WEIGHT, self._weight * kept + weight))
        self._sum = self._sum * kept + weight * min(_MAX_LOG, max(_MIN_LOG, log))
        self._weight = self._weight * kept + weight
        self._at = max(self._at, now)
        self._read_at = float("-inf")
