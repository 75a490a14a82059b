"""Tests of the rate limit, the backoff and the circuit breaker."""

import random
import unittest

from camphorgate.kv.rate_limit import Backoff, CallRateLimiter, CircuitBreaker, Priority


class BudgetTests(unittest.TestCase):
    def test_rate_limit_prioritises_lease_renewals(self):
        """Guards against background calls that starve lease renewals."""
        budget = CallRateLimiter(20.0, now=0.0)
        counts = dict.fromkeys(Priority, 0)
        for step in range(1000):
            for priority in reversed(Priority):
                if not budget.try_acquire(priority.name, priority, step / 100):
                    counts[priority] += 1
        self.assertLessEqual(sum(counts.values()), 20 * 10 + 20)
        self.assertGreater(counts[Priority.AUTHORITY], 100)
        self.assertEqual(sum(budget.calls_by_kind.values()), sum(counts.values()))

    def test_backoff_is_jittered_and_bounded(self):
        """Guards against synchronised retries and against unbounded delays."""
        first_delays = set()
        for seed in range(50):
            backoff = Backoff(0.2, 8.0, random.Random(seed))
            delays = [backoff.record_failure() for _ in range(5000)]
            first_delays.add(round(delays[20], 3))
            self.assertLessEqual(max(delays), 8.0)
        self.assertGreater(len(first_delays), 40)

    def test_open_breaker_admits_one_probe_at_a_time(self):
        """Guards against every caller probing a service that is down."""
        breaker = CircuitBreaker(3, Backoff(0.2, 8.0, random.Random(1)))
        for _ in range(3):
            breaker.record_failure(now=100.0)
        self.assertEqual(
            [breaker.admits_call(101.0) for _ in range(3)], [True, False, False]
        )
        breaker.record_success()
        self.assertTrue(breaker.admits_call(101.0))
