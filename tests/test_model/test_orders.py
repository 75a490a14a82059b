"""Complete exploration of the authority protocol, and what each rule is for."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.orders_spec import RULES, Bounds, OrderSpec

I1 = "I1_no_conflicting_orders"
I3 = "I3_lost_authority_has_no_effect"
BELIEVES = "I5_I6_one_process_believes"
SENDS = "I5_I6_one_process_sends"
FENCES, IGNORES = True, False

# Without these two, nothing is assumed about clocks: a holder may believe for ever
# that its lease runs.
CLOCK_RULES = {"stop_before_the_lease_can_lapse", "recheck_after_a_pause"}
WITHOUT_CLOCKS = RULES - CLOCK_RULES

SPACES = (
    (IGNORES, Bounds(epochs=3, orders=2, incarnations=2, pauses=1)),
    (FENCES, Bounds(epochs=3, orders=2, incarnations=2, pauses=0)),
    (FENCES, Bounds(epochs=2, orders=2, incarnations=2, pauses=1)),
)

# Rule, receiver, the rules it is removed from, the invariant that then breaks.
REMOVALS = (
    ("take_only_when_the_lease_is_absent", IGNORES, RULES, BELIEVES),
    ("stop_before_the_lease_can_lapse", IGNORES, RULES, BELIEVES),
    ("recheck_after_a_pause", IGNORES, RULES, BELIEVES),
    ("write_before_sending", IGNORES, RULES, I3),
    ("tie_the_journal_to_the_record", IGNORES, WITHOUT_CLOCKS, I1),
    ("resolve_unknown_outcomes", IGNORES, RULES, SENDS),
    ("never_contradict_an_open_order", IGNORES, RULES, I1),
    ("fencing", FENCES, RULES, I3),
    ("wait_for_predecessors", IGNORES, RULES, I1),
    ("stop_when_acknowledging", IGNORES, WITHOUT_CLOCKS, SENDS),
    ("report_orders_in_flight", IGNORES, RULES, SENDS),
    ("drain_the_dead", IGNORES, RULES, SENDS),
    ("drain_unanswered_attempts", IGNORES, RULES, I1),
    ("adopt_before_sending_again", IGNORES, RULES, SENDS),
    ("close_adopted_orders_only_when_answered", FENCES, RULES, I3),
)


class OrderModelTests(unittest.TestCase):
    def test_every_invariant_holds_in_the_whole_space(self):
        """Guards against a protocol that is only safe in the cases one thought of."""
        for fences, bounds in SPACES:
            with self.subTest(fences=fences, bounds=bounds):
                result = explore(OrderSpec(fences, bounds=bounds).protocol())
                self.assertTrue(result["exhaustive"])
                for name, verdict in result["properties"].items():
                    self.assertIs(verdict["holds"], True, name)

    def test_orders_are_safe_even_if_no_clock_can_be_trusted(self):
        """Guards against I1 and I3 depending on clocks that run alike."""
        for fences, bounds in ((IGNORES, Bounds()), (FENCES, Bounds(2, 2, 2, 1))):
            with self.subTest(fences=fences):
                spec = OrderSpec(fences, WITHOUT_CLOCKS, bounds)
                result = explore(spec.protocol())
                self.assertTrue(result["exhaustive"])
                for name in (I1, I3, SENDS):
                    self.assertIs(result["properties"][name]["holds"], True, name)

    def test_each_rule_is_needed(self):
        """Guards against a specification that would hold without its rules."""
        self.assertEqual({case[0] for case in REMOVALS}, RULES)
        for rule, fences, base, invariant in REMOVALS:
            with self.subTest(rule):
                spec = OrderSpec(fences, base - {rule})
                path = find_counterexample(spec.protocol(), invariant)
                self.assertIsNotNone(path, f"{invariant} holds without {rule}")
