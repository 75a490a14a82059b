"""Tests of the number of engines that follows from the load."""

import math
import unittest

from camphorgate.serving.catalog import ScalingSpec, Service
from camphorgate.serving.fleet_plan import DECODE_FRACTION, plan_capacity
from camphorgate.serving.fleet_size import PEAK_SECONDS, FleetSize
from tests.hosting_builders import build_engine_spec

TICK_SECONDS = 0.25
MAXIMUM = 20
ZONES = 3


class FleetSizeTests(unittest.TestCase):
    """The fleet follows waves and bursts of a load that needs dozens of engines."""

    def setUp(self):
        """Create the size of a service without load."""
        self.size = FleetSize()
        self.now = 100.0

    def run_load(self, seconds, busy):
        """Record a load for some seconds and return the engines wanted in a zone.

        :param busy: returns the busy engines at a time in seconds.
        """
        for _ in range(int(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.size.record_busy_engines(busy(self.now), self.now)
        return self.size.engines_per_zone(MAXIMUM, ZONES, 1.0 - DECODE_FRACTION)

    def test_an_idle_fleet_keeps_half_of_its_bound(self):
        """Guards against a fleet that cannot carry the first burst."""
        self.assertEqual(self.run_load(30.0, lambda now: 0), MAXIMUM // 2)

    def test_a_doubled_load_grows_the_fleet_within_two_seconds(self):
        """Guards against waiting for the end of the peak window before growing."""
        before = self.run_load(10.0, lambda now: 6)
        after = self.run_load(2.0, lambda now: 12)
        self.assertGreater(after, before)
        self.assertGreaterEqual(after * ZONES * 0.65 * 0.35, 11)

    def test_a_wave_does_not_shrink_the_fleet(self):
        """Guards against ordering and removing engines with each wave of arrivals."""

        def wave(now):
            return 10 * (1.0 + 0.55 * math.sin(now * 2 * math.pi / 17.0))

        self.run_load(20.0, wave)
        wanted = {self.run_load(TICK_SECONDS, wave) for _ in range(160)}
        self.assertLessEqual(max(wanted) - min(wanted), 1)

    def test_the_fleet_shrinks_after_the_peak_window(self):
        """Guards against keeping the engines of a burst forever."""
        self.assertEqual(self.run_load(10.0, lambda now: 40), MAXIMUM)
        self.assertEqual(self.run_load(PEAK_SECONDS + 3.0, lambda now: 2), MAXIMUM // 2)

    def test_a_small_fleet_keeps_its_bound(self):
        """Guards against shrinking a fleet to which one zone is a large part."""
        self.assertEqual(self.size.engines_per_zone(4, 4, 0.65), 4)

    def test_the_plan_orders_the_wanted_engines(self):
        """Guards against replacing engines that are not wanted as missing ones."""
        scaling = ScalingSpec(1, MAXIMUM, 4.0, 0.18, {})
        service = Service("models", "/", 100, build_engine_spec(), scaling)
        orders = plan_capacity(service, [], {"a", "b"}, frozenset("a"), 10)
        count_by_zone = {"a": 0, "b": 0}
        for order in orders:
            count_by_zone[order.zone] += order.count
        self.assertEqual(count_by_zone, {"a": 10, "b": 10})


if __name__ == "__main__":
    unittest.main()
