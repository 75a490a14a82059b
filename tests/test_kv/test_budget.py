"""The budget of calls and the return after an outage."""

import random
import unittest

from camphorgate.kv.budget import Backoff, CallBudget, Outage, Priority


class BudgetTests(unittest.TestCase):
    def test_the_rate_holds_and_renewals_come_first(self):
        """Guards against background calls that starve the renewal of a lease."""
        budget = CallBudget(20.0, now=0.0)
        counts = dict.fromkeys(Priority, 0)
        for step in range(1000):
            for priority in reversed(Priority):
                if not budget.take(priority.name, priority, step / 100):
                    counts[priority] += 1
        self.assertLessEqual(sum(counts.values()), 20 * 10 + 20)
        self.assertGreater(counts[Priority.AUTHORITY], 100)
        self.assertEqual(sum(budget.calls_by_kind.values()), sum(counts.values()))

    def test_processes_return_spread_out_and_bounded(self):
        """Guards against a stampede, and against staying away for ever."""
        first_delays = set()
        for seed in range(50):
            backoff = Backoff(0.2, 8.0, random.Random(seed))
            delays = [backoff.failed() for _ in range(5000)]
            first_delays.add(round(delays[20], 3))
            self.assertLessEqual(max(delays), 8.0)
        self.assertGreater(len(first_delays), 40)

    def test_one_probe_at_a_time(self):
        """Guards against every caller probing a service that is down."""
        outage = Outage(3, Backoff(0.2, 8.0, random.Random(1)))
        for _ in range(3):
            outage.failed(now=100.0)
        self.assertEqual([outage.allows(101.0) for _ in range(3)], [True, False, False])
        outage.succeeded()
        self.assertTrue(outage.allows(101.0))
