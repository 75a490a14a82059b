"""Exhaustive check of the protocols over a restore of the store."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.restore_spec import (
    RESTORED_USAGE_RULES,
    UNFENCED_RULES,
    RestoredUsageSpec,
    UnfencedDutySpec,
)

LOWER_NUMBER = "no_lower_number"
ONE_PROCESS = "one_process_per_number"
INVARIANT_BY_RULE = {
    "numbers_contain_the_era": ONE_PROCESS,
    "wait_for_a_lease_after_a_restore": LOWER_NUMBER,
    "calls_end_with_the_lease": LOWER_NUMBER,
    "hand_over_when_calls_were_answered": LOWER_NUMBER,
    "calls_carry_the_present_number": LOWER_NUMBER,
}


class UnfencedDutyModelTests(unittest.TestCase):
    """The platform never receives a lower number after a higher one."""

    def test_every_invariant_holds_in_every_state(self):
        """Guards against an interleaving that violates an invariant."""
        result = explore(UnfencedDutySpec().protocol())
        self.assertTrue(result["exhaustive"])
        for name, verdict in result["properties"].items():
            with self.subTest(invariant=name):
                self.assertIs(verdict["holds"], True)

    def test_each_rule_is_needed(self):
        """Guards against rules whose absence no invariant detects."""
        self.assertEqual(INVARIANT_BY_RULE.keys(), UNFENCED_RULES)
        for rule, invariant in INVARIANT_BY_RULE.items():
            with self.subTest(rule):
                spec = UnfencedDutySpec(UNFENCED_RULES - {rule})
                path = find_counterexample(spec.protocol(), invariant)
                self.assertIsNotNone(path, f"{invariant} holds without {rule}")


class RestoredUsageModelTests(unittest.TestCase):
    """Every report of a window has the same figures, also after a restore."""

    def test_a_window_has_one_figure_in_every_state(self):
        """Guards against a second figure because the store lost the first."""
        result = explore(RestoredUsageSpec().protocol())
        self.assertTrue(result["exhaustive"])
        for name, verdict in result["properties"].items():
            self.assertIs(verdict["holds"], True, name)

    def test_each_rule_is_needed(self):
        """Guards against rules whose absence no invariant detects."""
        for rule in sorted(RESTORED_USAGE_RULES):
            with self.subTest(rule):
                spec = RestoredUsageSpec(RESTORED_USAGE_RULES - {rule})
                path = find_counterexample(spec.protocol(), "one_figure_per_window")
                self.assertIsNotNone(path, f"holds without {rule}")
