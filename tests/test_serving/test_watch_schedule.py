"""Tests of the times at which the watches of all instances end."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from camphorgate.serving.watch_schedule import (
    CHECK_INTERVAL_SECONDS,
    MAX_WATCH_SECONDS,
    MIN_WATCH_SECONDS,
    order_watchers,
    watch_seconds,
)
from camphorgate.serving.watcher_selection import WATCHERS_PER_ZONE

# Instances and zones of the deployments and of the target size.
FLEETS = ((1, 1), (2, 1), (8, 3), (74, 4), (195, 6), (750, 17))


def build_fleet(instances: int, zones: int) -> dict[str, str]:
    """Return the zone of each instance."""
    return {f"entry-{n}": f"zone-{n % zones}" for n in range(instances)}


class WatchScheduleTests(unittest.TestCase):
    """In each interval, the watch of some watcher ends."""

    @given(st.sampled_from(FLEETS), st.floats(1e9, 2e9))
    def test_watches_end_at_even_intervals(self, fleet, now):
        """Guards against watches that all end, or go silent, in step."""
        order = order_watchers(build_fleet(*fleet))
        ends = sorted(now + watch_seconds(name, order, now) for name in order)
        # One whose turn has just come watches until its next one.
        gap = CHECK_INTERVAL_SECONDS + MIN_WATCH_SECONDS + 1e-3
        self.assertLess(ends[0] - now, gap)
        for first, second in zip(ends, ends[1:], strict=False):
            self.assertLess(second - first, gap)

    @given(st.sampled_from(FLEETS), st.floats(1e9, 2e9))
    def test_calls_do_not_grow_with_the_fleet(self, fleet, now):
        """Guards against a check that costs a call for each instance."""
        instances, zones = fleet
        order = order_watchers(build_fleet(*fleet))
        self.assertLessEqual(len(order), WATCHERS_PER_ZONE * zones)
        period = watch_seconds(order[0], order, now)
        period = watch_seconds(order[0], order, now + period + 1e-3)
        calls_per_second = len(order) / period
        # Without turns, each watch was opened once per MAX_WATCH_SECONDS.
        allowed = max(1 / CHECK_INTERVAL_SECONDS, len(order) / MAX_WATCH_SECONDS)
        self.assertLess(calls_per_second, allowed * 1.02)

    @given(st.sampled_from(FLEETS), st.floats(1e9, 2e9))
    def test_other_instances_have_a_turn(self, fleet, now):
        """Guards against an instance that watches in another one's place for ever."""
        order = order_watchers(build_fleet(*fleet))
        seconds = watch_seconds("another", order, now)
        self.assertLess(seconds, MAX_WATCH_SECONDS + MIN_WATCH_SECONDS)
        self.assertGreaterEqual(seconds, MIN_WATCH_SECONDS)
