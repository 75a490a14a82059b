"""Tests of the lines about single requests."""

import unittest
from unittest import mock

from camphorgate.application import Application
from camphorgate.clock import ManualClock
from camphorgated.serving import statistics


class LineTests(unittest.TestCase):
    """All lines about requests share one bound."""

    def test_every_kind_of_line_takes_from_the_same_budget(self):
        """Guards against a failing upstream whose lines grow with the load."""
        clock = ManualClock()
        counters = statistics.Statistics(Application(None, clock))
        with mock.patch.object(statistics, "log_event") as log:
            for _ in range(200):
                counters.request_line("try_failed")
                counters.request_line("request_refused")
        self.assertEqual(log.call_count, statistics.MOST_LINES_PER_SECOND)
        self.assertEqual(
            counters.dump()["suppressed_lines"],
            400 - statistics.MOST_LINES_PER_SECOND,
        )
        clock.advance(1.0)
        with mock.patch.object(statistics, "log_event") as log:
            counters.request_line("answered")
        self.assertEqual(log.call_count, 1)
