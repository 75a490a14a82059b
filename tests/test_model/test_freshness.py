"""Exhaustive check of configuration freshness, and of the need for each rule."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.freshness_spec import (
    EQUAL_WEIGHTS,
    RULES,
    UNEQUAL_WEIGHTS,
    FreshnessSpec,
)

I4 = "I4_withdrawn_key_is_refused"
I12 = "I12_versions_never_revert"

# Disabled rule, weights of the instances, invariant that is violated without it.
DISABLED_RULES = (
    ("accept_when_a_majority_has_the_version", EQUAL_WEIGHTS, I4),
    ("evidence_needs_a_majority", EQUAL_WEIGHTS, I4),
    ("a_newer_known_version_ends_freshness", EQUAL_WEIGHTS, I4),
    ("responses_are_dated_from_the_query", EQUAL_WEIGHTS, I4),
    ("relayed_reads_keep_their_age", UNEQUAL_WEIGHTS, I4),
    ("versions_never_revert", EQUAL_WEIGHTS, I12),
    ("versions_never_revert", EQUAL_WEIGHTS, I4),
    ("restarted_peers_do_not_count", EQUAL_WEIGHTS, I4),
    ("discard_evidence_after_a_pause", EQUAL_WEIGHTS, I4),
)


class FreshnessModelTests(unittest.TestCase):
    def test_every_invariant_holds_in_every_state(self):
        """Guards against an instance that still accepts a withdrawn key."""
        for weights in (EQUAL_WEIGHTS, UNEQUAL_WEIGHTS):
            result = explore(FreshnessSpec(weights=weights).protocol())
            self.assertTrue(result["exhaustive"])
            for name, verdict in result["properties"].items():
                with self.subTest(name, weights=weights):
                    self.assertIs(verdict["holds"], True)

    def test_each_rule_is_needed(self):
        """Guards against rules whose absence no invariant detects."""
        self.assertEqual({case[0] for case in DISABLED_RULES}, RULES)
        for rule, weights, invariant in DISABLED_RULES:
            with self.subTest(rule):
                protocol = FreshnessSpec(RULES - {rule}, weights).protocol()
                self.assertIsNotNone(find_counterexample(protocol, invariant))
