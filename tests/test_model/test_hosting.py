"""Exhaustive check of the protocols on a hosting platform."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.hosting_spec import (
    DUTY_RULES,
    USAGE_RULES,
    Bounds,
    DutySpec,
    UsageSpec,
)

LEASE_TAKEN = "no_running_lease_is_taken"
ONE_PROCESS = "one_process_per_number"
REFUSED_NUMBER = "no_refused_number_again"
LATE_ORDER = "no_late_order"

# All bounds with restarts, and one more order without restarts.
WITH_RESTARTS = Bounds(revisions=3, orders=2, restarts=1)
WITHOUT_RESTARTS = Bounds(revisions=3, orders=3, restarts=0)

# Disabled rule, bounds, invariant that is violated without the rule.
DISABLED_DUTY_RULES = (
    ("take_only_when_absent", WITH_RESTARTS, LEASE_TAKEN),
    ("number_is_the_revision", WITH_RESTARTS, ONE_PROCESS),
    ("adopt_only_own_entries", WITH_RESTARTS, ONE_PROCESS),
    ("never_adopt_refused_numbers", WITHOUT_RESTARTS, REFUSED_NUMBER),
    ("orders_carry_the_preceding_count", WITH_RESTARTS, LATE_ORDER),
    ("orders_carry_the_worker_start", WITH_RESTARTS, LATE_ORDER),
)


class DutyModelTests(unittest.TestCase):
    """A fencing number has one process; no order is executed after a newer one."""

    def test_every_invariant_holds_in_every_state(self):
        """Guards against an interleaving that violates an invariant."""
        for bounds in (WITH_RESTARTS, WITHOUT_RESTARTS):
            result = explore(DutySpec(bounds=bounds).protocol())
            self.assertTrue(result["exhaustive"])
            for name, verdict in result["properties"].items():
                with self.subTest(bounds=bounds, invariant=name):
                    self.assertIs(verdict["holds"], True)

    def test_each_rule_is_needed(self):
        """Guards against rules whose absence no invariant detects."""
        self.assertEqual({row[0] for row in DISABLED_DUTY_RULES}, DUTY_RULES)
        for rule, bounds, invariant in DISABLED_DUTY_RULES:
            with self.subTest(rule):
                spec = DutySpec(DUTY_RULES - {rule}, bounds)
                path = find_counterexample(spec.protocol(), invariant)
                self.assertIsNotNone(path, f"{invariant} holds without {rule}")


class UsageModelTests(unittest.TestCase):
    """Every report of a window has the same figures."""

    def test_a_window_has_one_figure_in_every_state(self):
        """Guards against a successor that reports its own counts, not stored ones."""
        result = explore(UsageSpec().protocol())
        self.assertTrue(result["exhaustive"])
        for name, verdict in result["properties"].items():
            self.assertIs(verdict["holds"], True, name)

    def test_each_rule_is_needed(self):
        """Guards against rules whose absence no invariant detects."""
        for rule in sorted(USAGE_RULES):
            with self.subTest(rule):
                spec = UsageSpec(USAGE_RULES - {rule})
                path = find_counterexample(spec.protocol(), "one_figure_per_window")
                self.assertIsNotNone(path, f"holds without {rule}")
