"""Exhaustive check of the protocols over a restore of the store."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.restore_spec import (
    REST_BESIDE_ANOTHER_HOLDER,
    RESTORED_USAGE_RULES,
    TURN_RULES,
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
                spec = UnfencedDutySpec((UNFENCED_RULES | TURN_RULES) - {rule})
                path = find_counterexample(spec.protocol(), invariant)
                self.assertIsNotNone(path, f"{invariant} holds without {rule}")


class AlternationModelTests(unittest.TestCase):
    """Holders do not take turns within a lease, although processes start again."""

    def build(self, rules: frozenset, **options) -> UnfencedDutySpec:
        """Return a spec with as many calls and steps as an alternation needs."""
        return UnfencedDutySpec(
            rules, **{"end": 6, "calls": 3, "restores": False, **options}
        )

    def test_no_alternation_in_any_state(self):
        """Guards against an order A, B, A after starts at any moments."""
        for options in (
            {"restarts": 2},
            {"restores": True},
            {"restarts": 1, "restores": True, "end": 5},
            {"restarts": 1, "processes": 3, "end": 5},
        ):
            with self.subTest(options):
                spec = self.build(UNFENCED_RULES | TURN_RULES, **options)
                result = explore(spec.protocol())
                self.assertTrue(result["exhaustive"])
                for name, verdict in result["properties"].items():
                    self.assertIs(verdict["holds"], True, name)

    def test_each_rest_is_needed(self):
        """Guards against rules whose absence no invariant detects."""
        options_by_rule = {
            "rest_after_a_loss": {},
            "rest_after_a_start": {},
            "a_restored_store_is_no_evidence": {"restores": True, "end": 4},
        }
        self.assertEqual(options_by_rule.keys(), TURN_RULES)
        for rule, options in options_by_rule.items():
            with self.subTest(rule):
                rules = (UNFENCED_RULES | TURN_RULES) - {rule}
                spec = self.build(rules, restarts=1, **options)
                path = find_counterexample(spec.protocol(), "no_alternation")
                self.assertIsNotNone(path, f"no alternation without {rule}")

    def test_what_a_starting_instance_sees_is_no_evidence(self):
        """Guards against a rest that depends on the entry seen at the start."""
        rules = UNFENCED_RULES | {"rest_after_a_loss", REST_BESIDE_ANOTHER_HOLDER}
        path = find_counterexample(
            self.build(rules, restarts=1).protocol(), "no_alternation"
        )
        self.assertIn("restart 0", path)


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
