"""Complete exploration of configuration freshness, and what each rule is for."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.freshness_spec import ALIKE, RULES, UNEQUAL, FreshnessSpec

I4 = "I4_withdrawn_key_stops"
I12 = "I12_versions_never_revert"

# Rule that is removed, sizes of the parties, the invariant that then breaks.
REMOVALS = (
    ("accept_when_a_majority_knows", ALIKE, I4),
    ("evidence_needs_a_majority", ALIKE, I4),
    ("a_newer_known_version_is_not_fresh", ALIKE, I4),
    ("answers_count_from_the_question", ALIKE, I4),
    ("relays_add_the_age", UNEQUAL, I4),
    ("versions_never_revert", ALIKE, I12),
    ("versions_never_revert", ALIKE, I4),
    ("restarted_peers_are_no_evidence", ALIKE, I4),
    ("forget_evidence_after_a_pause", ALIKE, I4),
)


class FreshnessModelTests(unittest.TestCase):
    def test_every_invariant_holds_in_the_whole_space(self):
        """Guards against a withdrawn key that some instance still accepts."""
        for weights in (ALIKE, UNEQUAL):
            result = explore(FreshnessSpec(weights=weights).protocol())
            self.assertTrue(result["exhaustive"])
            for name, verdict in result["properties"].items():
                with self.subTest(name, weights=weights):
                    self.assertIs(verdict["holds"], True)

    def test_each_rule_is_needed(self):
        """Guards against a specification that would hold without its rules."""
        self.assertEqual({case[0] for case in REMOVALS}, RULES)
        for rule, weights, invariant in REMOVALS:
            with self.subTest(rule):
                protocol = FreshnessSpec(RULES - {rule}, weights).protocol()
                self.assertIsNotNone(find_counterexample(protocol, invariant))
