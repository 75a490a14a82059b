"""Tests of leases, the order journal and hand-overs, without I/O."""

import unittest

from camphorgate.authority.errors import OrderConflict
from camphorgate.authority.handover import Acknowledgement, Handover
from camphorgate.authority.leases import (
    DutyRecord,
    Lease,
    LeaseRules,
    Predecessor,
    take_over,
)
from camphorgate.authority.orders import (
    Journal,
    OrderDelivery,
    add_order,
    adopt_order,
    close_order,
)

DRAIN_SECONDS = 15.0


def ticking_lease(until, sent_at=0.0):
    """Return a lease that was taken at 0.1 s and ticked every 0.5 s."""
    lease = Lease(LeaseRules())
    lease.record_acquired(1, sent_at, 0.1)
    now = 0.1
    while now + 0.5 <= until:
        now += 0.5
        lease.tick(now)
    return lease


class LeaseTests(unittest.TestCase):
    def test_the_deadline_counts_from_before_the_call(self):
        """Guards against acting after the service expired the lease."""
        cases = [(7.9, True), (8.0, False), (9.0, False)]
        for now, expected in cases:
            with self.subTest(now):
                self.assertIs(ticking_lease(now).check_valid(now), expected)

    def test_a_late_answer_does_not_restore_the_lease(self):
        """Guards against restoring a lease that others may have seen expire."""
        lease = Lease(LeaseRules())
        self.assertFalse(lease.record_acquired(1, sent_at=0.0, now=8.5))
        lease = ticking_lease(8.2)
        self.assertFalse(lease.record_renewed(sent_at=7.0, now=8.2))
        self.assertFalse(lease.check_valid(8.2))

    def test_a_renewal_moves_the_deadline(self):
        """Guards against losing a duty whose lease was renewed in time."""
        lease = ticking_lease(3.1)
        self.assertTrue(lease.record_renewed(sent_at=3.0, now=3.2))
        for tick in range(4, 11):
            lease.tick(float(tick))
        self.assertTrue(lease.check_valid(10.9))
        self.assertFalse(lease.check_valid(11.0))

    def test_a_clock_jump_loses_the_lease(self):
        """Guards against a holder that continues to act after a pause."""
        for jump in (2.1, 100.0, -1.0):
            with self.subTest(jump):
                lease = ticking_lease(1.0)
                self.assertFalse(lease.tick(0.6 + jump))
                self.assertFalse(lease.check_valid(0.7))


class JournalTests(unittest.TestCase):
    def test_contradicting_orders_are_refused_while_one_is_open(self):
        """Guards against concurrent conflicting orders to one receiver."""
        cases = [
            ("engines/p", ("set_role", {}), ("load_model", {"model": "m"}), True),
            ("engines/p", ("load_model", {"model": "m"}), ("drain", {}), True),
            (
                "engines/p",
                ("load_model", {"model": "m"}),
                ("unload_model", {"model": "m"}),
                True,
            ),
            (
                "engines/p",
                ("load_model", {"model": "m"}),
                ("load_model", {"model": "n"}),
                False,
            ),
            (
                "capacity/z",
                ("stop", {"upstream_id": "u"}),
                ("stop", {"upstream_id": "u"}),
                True,
            ),
            (
                "capacity/z",
                ("start", {"pool": "p"}),
                ("start", {"pool": "p"}),
                False,
            ),
            ("usage/0", ("report", {"window": "w"}), ("report", {"window": "w"}), True),
        ]
        for duty, first, second, refused in cases:
            with self.subTest(duty=duty, first=first, second=second):
                journal, order = add_order(Journal(), duty, 1, "a", "r", *first)
                if refused:
                    with self.assertRaises(OrderConflict):
                        add_order(journal, duty, 1, "b", "r", *second)
                else:
                    add_order(journal, duty, 1, "b", "r", *second)
                closed = close_order(journal, order.number, "confirmed")
                _, later = add_order(closed, duty, 1, "b", "r", *second)
                self.assertGreater(later.number, order.number)

    def test_an_unanswered_order_is_in_flight_until_it_is_drained(self):
        """Guards against a delayed copy that arrives after a newer order."""
        _, order = add_order(Journal(), "engines/p", 1, "a", "r", "drain", {})
        run = OrderDelivery(order, 1, DRAIN_SECONDS)
        self.assertTrue(run.send(0.0))
        run.unanswered(5.0)
        for now, free in ((5.0, False), (19.9, False), (20.0, True)):
            with self.subTest(now):
                self.assertIs(run.may_close(now, predecessors_settled=True), free)
                self.assertIs(run.in_flight(now), not free)

    def test_an_adopted_order_needs_an_answer_or_settled_predecessors(self):
        """Guards against a predecessor's copy that takes effect after the closing.

        Found by model checking: the successor's copy was lost, so the receiver never
        learned the new fencing token.
        """
        journal, order = add_order(Journal(), "engines/p", 1, "a", "r", "drain", {})
        order = adopt_order(journal, order.number, 2).find(order.number)
        run = OrderDelivery(order, 2, DRAIN_SECONDS)
        run.send(0.0)
        run.unanswered(1.0)
        self.assertFalse(run.may_close(100.0, predecessors_settled=False))
        self.assertTrue(run.may_close(100.0, predecessors_settled=True))
        run.send(100.0)
        run.answered()
        self.assertTrue(run.may_close(100.0, predecessors_settled=False))


class HandoverTests(unittest.TestCase):
    def setUp(self):
        record = DutyRecord("alpha", 3, 1)
        self.record = take_over(record, "beta", 1, frozenset({1}))
        journal, _ = add_order(Journal(), "capacity/z", 1, "a", "r", "start", {})
        self.journal = journal
        self.handover = self.start(journal)

    def start(self, journal):
        record = self.record
        return Handover(record.epoch, record.predecessors, journal, DRAIN_SECONDS)

    def test_what_settles_a_predecessor(self):
        """Guards against sending while a paused predecessor may still resume."""
        cases = [
            ("nothing", [], None),
            ("same process, idle", [("alpha", 3, 2, 0)], 0.0),
            ("same process, order in flight", [("alpha", 3, 2, 1)], None),
            ("answer to an older epoch", [("alpha", 3, 1, 0)], None),
            ("newer incarnation", [("alpha", 4, 2, 0)], DRAIN_SECONDS),
            ("older incarnation", [("alpha", 2, 2, 0)], None),
            ("another instance", [("gamma", 3, 2, 0)], None),
        ]
        for name, answers, settled_at in cases:
            with self.subTest(name):
                handover = self.start(self.journal)
                for instance, incarnation, epoch, in_flight in answers:
                    answer = Acknowledgement(instance, incarnation, epoch, in_flight)
                    handover.receive_acknowledgement(answer, 0.0)
                for now in (0.0, DRAIN_SECONDS - 0.1, DRAIN_SECONDS, 1e6):
                    expected = settled_at is not None and now >= settled_at
                    self.assertIs(handover.update_settled(now), expected)

    def test_an_instance_that_is_listed_as_gone_is_drained(self):
        """Guards against sending before a dead instance's last order has arrived."""
        self.handover.mark_gone("alpha", 10.0)
        self.handover.mark_gone("alpha", 20.0)
        self.assertFalse(self.handover.update_settled(24.9))
        self.assertTrue(self.handover.update_settled(25.0))

    def test_an_empty_journal_needs_no_wait(self):
        """Guards against an unnecessary wait if the predecessor has no open orders."""
        journal = close_order(self.journal, 1, "confirmed")
        self.assertTrue(self.start(journal).update_settled(0.0))

    def test_every_predecessor_counts_until_it_is_settled(self):
        """Guards against waiting only for the most recent predecessor."""
        record = take_over(self.record, "gamma", 1, frozenset({1, 2}))
        journal = adopt_order(self.journal, 1, 2)
        handover = Handover(3, record.predecessors, journal, DRAIN_SECONDS)
        handover.receive_acknowledgement(Acknowledgement("beta", 1, 3, 0), 0.0)
        self.assertEqual(handover.unsettled_predecessors, (Predecessor("alpha", 3, 1),))
