"""Exhaustive check of the authority protocol, and of the need for each rule."""

import unittest

from tests.test_model.exploration import explore, find_counterexample
from tests.test_model.orders_spec import RULES, Bounds, OrderSpec

I1 = "I1_no_conflicting_orders"
I3 = "I3_lost_authority_has_no_effect"
ONE_HOLDER = "I5_I6_one_process_holds_authority"
ONE_SENDER = "I5_I6_one_process_sends"
HONOURS_FENCING, IGNORES_FENCING = True, False

# Without these two rules nothing is assumed about clocks: a holder may regard its
# lease as valid for ever.
CLOCK_RULES = {"stop_before_the_lease_can_lapse", "recheck_after_a_pause"}
WITHOUT_CLOCKS = RULES - CLOCK_RULES

EXPLORED_BOUNDS = (
    (IGNORES_FENCING, Bounds(epochs=3, orders=2, incarnations=2, pauses=1)),
    (HONOURS_FENCING, Bounds(epochs=3, orders=2, incarnations=2, pauses=0)),
    (HONOURS_FENCING, Bounds(epochs=2, orders=2, incarnations=2, pauses=1)),
)

# Disabled rule, receiver, remaining rules, invariant that is violated without it.
DISABLED_RULES = (
    ("take_only_when_the_lease_is_absent", IGNORES_FENCING, RULES, ONE_HOLDER),
    ("stop_before_the_lease_can_lapse", IGNORES_FENCING, RULES, ONE_HOLDER),
    ("recheck_after_a_pause", IGNORES_FENCING, RULES, ONE_HOLDER),
    ("write_before_sending", IGNORES_FENCING, RULES, I3),
    ("write_only_under_the_current_epoch", IGNORES_FENCING, WITHOUT_CLOCKS, I1),
    ("resolve_unknown_outcomes", IGNORES_FENCING, RULES, ONE_SENDER),
    ("refuse_writes_while_an_order_is_open", IGNORES_FENCING, RULES, I1),
    ("fencing", HONOURS_FENCING, RULES, I3),
    ("wait_for_predecessors", IGNORES_FENCING, RULES, I1),
    ("stop_when_acknowledging", IGNORES_FENCING, WITHOUT_CLOCKS, ONE_SENDER),
    ("report_orders_in_flight", IGNORES_FENCING, RULES, ONE_SENDER),
    ("drain_dead_predecessors", IGNORES_FENCING, RULES, ONE_SENDER),
    ("drain_unanswered_attempts", IGNORES_FENCING, RULES, I1),
    ("adopt_before_resending", IGNORES_FENCING, RULES, ONE_SENDER),
    ("close_adopted_orders_only_when_answered", HONOURS_FENCING, RULES, I3),
)


class OrderModelTests(unittest.TestCase):
    def test_every_invariant_holds_in_every_state(self):
        """Guards against an interleaving that violates an invariant."""
        for fences, bounds in EXPLORED_BOUNDS:
            with self.subTest(fences=fences, bounds=bounds):
                result = explore(OrderSpec(fences, bounds=bounds).protocol())
                self.assertTrue(result["exhaustive"])
                for name, verdict in result["properties"].items():
                    self.assertIs(verdict["holds"], True, name)

    def test_orders_are_safe_without_trusted_clocks(self):
        """Guards against I1 and I3 depending on clocks that run at the same rate."""
        for fences, bounds in (
            (IGNORES_FENCING, Bounds()),
            (HONOURS_FENCING, Bounds(2, 2, 2, 1)),
        ):
            with self.subTest(fences=fences):
                spec = OrderSpec(fences, WITHOUT_CLOCKS, bounds)
                result = explore(spec.protocol())
                self.assertTrue(result["exhaustive"])
                for name in (I1, I3, ONE_SENDER):
                    self.assertIs(result["properties"][name]["holds"], True, name)

    def test_each_rule_is_needed(self):
        """Guards against rules whose absence no invariant detects."""
        self.assertEqual({case[0] for case in DISABLED_RULES}, RULES)
        for rule, fences, base, invariant in DISABLED_RULES:
            with self.subTest(rule):
                spec = OrderSpec(fences, base - {rule})
                path = find_counterexample(spec.protocol(), invariant)
                self.assertIsNotNone(path, f"{invariant} holds without {rule}")
