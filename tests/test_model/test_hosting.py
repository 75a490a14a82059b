"""Complete exploration of the protocols on a hosting platform."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.hosting_spec import (
    DUTY_RULES,
    USAGE_RULES,
    Bounds,
    DutySpec,
    UsageSpec,
)

TAKEN = "no_running_lease_is_taken"
ONE_MACHINE = "one_machine_a_number"
REFUSED = "no_refused_number_again"
LATE = "no_late_order"

# The whole with restarts, and one more order without them.
RESTARTS = Bounds(revisions=3, orders=2, restarts=1)
ORDERS = Bounds(revisions=3, orders=3, restarts=0)

# Rule, the space, and the invariant that breaks there without the rule.
DUTY_REMOVALS = (
    ("take_only_when_absent", RESTARTS, TAKEN),
    ("number_is_the_revision", RESTARTS, ONE_MACHINE),
    ("adopt_only_own_entries", RESTARTS, ONE_MACHINE),
    ("forget_refused_numbers", ORDERS, REFUSED),
    ("orders_name_the_count_they_follow", RESTARTS, LATE),
    ("orders_name_the_start_they_are_for", RESTARTS, LATE),
)


class DutyModelTests(unittest.TestCase):
    """One fencing number a machine, and no order after a newer one."""

    def test_every_invariant_holds_in_the_whole_space(self):
        """Guards against a protocol that is only safe in the cases one thought of."""
        for bounds in (RESTARTS, ORDERS):
            result = explore(DutySpec(bounds=bounds).protocol())
            self.assertTrue(result["exhaustive"])
            for name, verdict in result["properties"].items():
                with self.subTest(bounds=bounds, invariant=name):
                    self.assertIs(verdict["holds"], True)

    def test_each_rule_is_needed(self):
        """Guards against a specification that would hold without its rules."""
        self.assertEqual({row[0] for row in DUTY_REMOVALS}, DUTY_RULES)
        for rule, bounds, invariant in DUTY_REMOVALS:
            with self.subTest(rule):
                spec = DutySpec(DUTY_RULES - {rule}, bounds)
                path = find_counterexample(spec.protocol(), invariant)
                self.assertIsNotNone(path, f"{invariant} holds without {rule}")


class UsageModelTests(unittest.TestCase):
    """A window is reported with one figure."""

    def test_a_window_has_one_figure_in_the_whole_space(self):
        """Guards against successors that report what they counted themselves."""
        result = explore(UsageSpec().protocol())
        self.assertTrue(result["exhaustive"])
        for name, verdict in result["properties"].items():
            self.assertIs(verdict["holds"], True, name)

    def test_each_rule_is_needed(self):
        """Guards against a specification that would hold without its rules."""
        for rule in sorted(USAGE_RULES):
            with self.subTest(rule):
                spec = UsageSpec(USAGE_RULES - {rule})
                path = find_counterexample(spec.protocol(), "one_figure_a_window")
                self.assertIsNotNone(path, f"holds without {rule}")
