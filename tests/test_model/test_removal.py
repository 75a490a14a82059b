"""Complete exploration of how a zone comes to obey a removal."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.removal_spec import RULES, RemovalSpec

# Each rule, and whether another zone is undisturbed where it is needed.
REMOVALS = (
    ("doubted_is_unused", False),
    ("doubts_are_told", False),
    ("silence_is_checked", False),
    ("only_the_newest_word_reassures", True),
)


class RemovalModelTests(unittest.TestCase):
    """Nobody uses an upstream longer than the bound after its removal."""

    def test_a_removal_is_obeyed_in_the_whole_space(self):
        """Guards against a hang at any moment that outlasts the bound."""
        for elsewhere in (False, True):
            with self.subTest(elsewhere=elsewhere):
                result = explore(RemovalSpec(elsewhere=elsewhere).protocol())
                self.assertTrue(result["exhaustive"])
                verdict = result["properties"]["obeyed_in_time"]
                self.assertIs(verdict["holds"], True, verdict.get("counterexample"))

    def test_each_rule_is_needed(self):
        """Guards against a doubt as long as the bound, and its companions."""
        self.assertEqual({row[0] for row in REMOVALS}, RULES)
        for rule, elsewhere in REMOVALS:
            with self.subTest(rule):
                spec = RemovalSpec(RULES - {rule}, elsewhere)
                path = find_counterexample(spec.protocol(), "obeyed_in_time")
                self.assertIsNotNone(path, f"holds without {rule}")
