"""Number of engines that a service needs for its present load.

Handles services with dozens of engines whose demand waves and bursts while callers need
the first token within a few hundred ms. The load is taken as the number of engines that
prefill at the same time, which follows from the messages that instances exchange about
the prompts in progress, whatever the speed of each engine. The fleet grows at once and
shrinks slowly, as an ordered engine arrives seconds later.
"""

import math
from collections import deque

import msgspec

# Fraction of the prefilling engines that may be busy at the peak of a window. With more
# of them busy, a prompt often waits for another one: decisions are based on loads that
# are up to 0.4 s old.
MAX_BUSY_FRACTION = 0.35
# The fleet is not smaller than this fraction of its bound. The other engines then carry
# the load of a zone that loses its cheap engines, or of a burst that doubles the
# arrivals, until ordered engines have started.
MIN_FLEET_FRACTION = 0.5
# Smaller fleets always have the size of their bound: the loss of a zone, or an uneven
# choice of engines, costs them too large a part of their capacity.
MIN_ADAPTIVE_ENGINES = 24
# The busy engines are averaged over this time, so that single prompts do not count.
AVERAGE_SECONDS = 2.0
# The peak of the averages within this time decides. It covers a wave of the arrivals,
# so that the fleet does not shrink and grow with each one.
PEAK_SECONDS = 20.0
# The fleet shrinks only if less than this fraction of it is needed. An engine that
# leaves takes its cached parts with it, and its zone may need changes of phase.
SHRINK_FRACTION = 0.7


class _Sample(msgspec.Struct):
    """A number that was observed at a steady clock time."""

    at: float
    value: float


class FleetSize:
    """The load of one service and the number of engines that follows from it."""

    __slots__ = ("_recent", "_peaks", "_per_zone")

    def __init__(self) -> None:
        """Initialize without any observed load."""
        self._recent: deque[_Sample] = deque()
        # Averages in descending order, as only a later one can become the peak.
        self._peaks: deque[_Sample] = deque()
        # The number returned last; it changes only where the need has changed enough.
        self._per_zone = 0

    def record_busy_engines(self, busy: int, now: float) -> None:
        """Record how many engines prefill at the moment.

        :param now: steady clock time in seconds.
        """
        self._recent.append(_Sample(now, busy))
        while now - self._recent[0].at > AVERAGE_SECONDS:
            self._recent.popleft()
        average = sum(item.value for item in self._recent) / len(self._recent)
        while self._peaks and self._peaks[-1].value <= average:
            self._peaks.pop()
        self._peaks.append(_Sample(now, average))
        while now - self._peaks[0].at > PEAK_SECONDS:
            self._peaks.popleft()

    def peak_busy_engines(self) -> float:
        """Return the largest recent average of busy engines."""
        return self._peaks[0].value if self._peaks else 0.0

    def engines_per_zone(
        self, maximum: int, zones: int, prefill_fraction: float
    ) -> int:
        """Return the number of engines wanted in each zone.

        :param maximum: bound on the engines of a zone.
        :param zones: number of zones of the service.
        :param prefill_fraction: fraction of the engines that prefill.
        """
        if maximum * zones < MIN_ADAPTIVE_ENGINES:
            return maximum
        needed = self.peak_busy_engines() / MAX_BUSY_FRACTION / prefill_fraction
        floor = math.ceil(maximum * MIN_FLEET_FRACTION)
        per_zone = min(maximum, max(floor, math.ceil(needed / zones)))
        shrinks = per_zone < self._per_zone * SHRINK_FRACTION
        if per_zone > self._per_zone or shrinks or self._per_zone > maximum:
            self._per_zone = per_zone
        return self._per_zone
