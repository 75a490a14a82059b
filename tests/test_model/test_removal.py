"""Exhaustive check of how a zone applies the removal of an upstream."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.removal_spec import RULES, RemovalSpec

# Disabled rule, and whether its violation needs another zone.
DISABLED_RULES = (
    ("doubted_upstreams_are_unused", False),
    ("doubts_are_sent_to_followers", False),
    ("silent_watches_are_checked", False),
    ("a_newer_remote_revision_ends_the_watch", True),
)


class RemovalModelTests(unittest.TestCase):
    """No instance uses an upstream longer than the limit after its removal."""

    def test_a_removal_is_applied_in_time_in_every_state(self):
        """Guards against a hang of the store that delays a removal beyond the limit."""
        for other_zone in (False, True):
            with self.subTest(other_zone=other_zone):
                result = explore(RemovalSpec(other_zone=other_zone).protocol())
                self.assertTrue(result["exhaustive"])
                verdict = result["properties"]["removal_applied_in_time"]
                self.assertIs(verdict["holds"], True, verdict.get("counterexample"))

    def test_each_rule_is_needed(self):
        """Guards against a doubt that lasts as long as the limit, and similar gaps."""
        self.assertEqual({row[0] for row in DISABLED_RULES}, RULES)
        for rule, other_zone in DISABLED_RULES:
            with self.subTest(rule):
                spec = RemovalSpec(RULES - {rule}, other_zone)
                path = find_counterexample(spec.protocol(), "removal_applied_in_time")
                self.assertIsNotNone(path, f"holds without {rule}")
