"""Tests of the request statistics for the operators' report."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.reporting.statistics import (
    Counts,
    RequestOutcome,
    RequestStatistics,
    fair_shares,
    merge,
    worst_served,
)


def _outcome(workspace="north", run="run", served=10.0):
    return RequestOutcome(
        workspace, 1.0, run == "run", run, served if run == "run" else 0.0
    )


class StatisticsTests(unittest.TestCase):
    def test_old_requests_are_excluded(self):
        """Guards against old successes that hide a current fault."""
        statistics = RequestStatistics()
        statistics.record(_outcome(), now=0.0)
        statistics.record(_outcome(run="unknown"), now=100.0)
        counts = statistics.counts_of_last(105.0, seconds=60.0)
        self.assertEqual((counts.requests, counts.unknown), (1, 1))

    def test_starved_workspace_is_worst_served(self):
        """Guards against an overloading workspace that makes the values look fair."""
        statistics = RequestStatistics()
        for _ in range(90):
            statistics.record(_outcome("flooding"), now=0.0)
        for index in range(20):
            run = "run" if index < 10 else "not_run"
            statistics.record(_outcome("small", run), now=0.0)
        name, part = worst_served(statistics.counts_of_last(1.0, 60.0))
        self.assertEqual(name, "small")
        self.assertAlmostEqual(part, 0.5)

    def test_merge_adds_the_counts_of_instances(self):
        """Guards against a report that shows one instance as the whole system."""
        parts = []
        for _ in range(3):
            statistics = RequestStatistics()
            statistics.record(_outcome(), now=0.0)
            parts.append(statistics.counts_of_last(1.0, 60.0))
        total = merge(parts)
        self.assertEqual(total.requests, 3)
        self.assertEqual(total.workspaces_by_name["north"].served, 30.0)
        self.assertEqual(parts[0].requests, 1)

    def test_no_workspace_is_worst_served_without_requests(self):
        """Guards against a division by zero on a fresh instance."""
        self.assertIsNone(worst_served(Counts()))


class FairShareTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 1e4), st.floats(0.1, 10)), max_size=8),
        st.floats(0, 2e4),
    )
    def test_shares_are_work_conserving_and_within_demand(self, rows, total):
        """Guards against shares that exceed the demand or the total."""
        asked = {str(index): row[0] for index, row in enumerate(rows)}
        weights = {str(index): row[1] for index, row in enumerate(rows)}
        shares = fair_shares(total, asked, weights)
        expected = min(total, sum(asked.values()))
        self.assertAlmostEqual(sum(shares.values()), expected, delta=1e-3)
        for name, share in shares.items():
            self.assertLessEqual(share, asked[name] + 1e-6)
