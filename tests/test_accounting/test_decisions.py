"""Tests of the decisions of usage accounting, without I/O."""

import unittest

from camphorgate.accounting.copies import (
    Candidate,
    CopySender,
    CopyStore,
    choose_copy_holder,
)
from camphorgate.accounting.windows import (
    MAX_PENDING_WINDOWS,
    Author,
    Counts,
    Ledger,
    Part,
    Row,
    UsageKey,
    UsageRecorder,
    aggregate_shard,
    pending_authors,
    plan_hand_in,
    rows_to_totals,
    shard_of,
)

NORTH = UsageKey("north", "assistant", "")
SOUTH = UsageKey("south", "", "booking")
ONE = Counts(1, 10, 5)


class BookTests(unittest.TestCase):
    def test_a_clock_that_goes_back_reopens_no_window(self):
        """Guards against counting usage in a window that was already handed in."""
        book = UsageRecorder("a.1", 100)
        book.record(NORTH, ONE, 101)
        book.record(NORTH, ONE, 100)
        self.assertEqual(book.window, 101)
        self.assertEqual(book.next_ended_window(), (100, {}))
        book.mark_handed_in(100)
        self.assertIsNone(book.next_ended_window())
        book.advance(102)
        self.assertEqual(book.next_ended_window(), (101, {NORTH: Counts(2, 20, 10)}))

    def test_memory_is_bounded_in_an_outage_and_nothing_is_lost(self):
        """Guards against unbounded memory use while the key-value service is down."""
        book = UsageRecorder("a.1", 0)
        for window in range(2 * MAX_PENDING_WINDOWS):
            book.record(NORTH, ONE, window)
        book.advance(2 * MAX_PENDING_WINDOWS)
        self.assertLessEqual(book.pending_windows, MAX_PENDING_WINDOWS)
        ledger, total = Ledger("a.1"), 0
        while found := book.next_ended_window():
            window, totals = found
            plan = plan_hand_in(ledger, totals, window, False)
            ledger = plan.ledger
            total += sum(row.calls for row in plan.part.rows)
            book.mark_handed_in(window)
        self.assertEqual(total, 2 * MAX_PENDING_WINDOWS)


class HandInTests(unittest.TestCase):
    def test_what_a_closed_window_misses_comes_with_the_next_one(self):
        """Guards against dropping usage that arrives after its window was closed."""
        ledger = Ledger("a.1")
        self.assertIsNone(plan_hand_in(ledger, {NORTH: ONE}, 5, True))
        plan = plan_hand_in(ledger, {NORTH: Counts(3, 30, 15)}, 6, False)
        self.assertEqual(rows_to_totals(plan.part.rows), {NORTH: Counts(3, 30, 15)})

    def test_an_end_is_written_even_without_usage(self):
        """Guards against windows that wait forever for a process that has ended."""
        plan = plan_hand_in(Ledger("a.1"), {}, 5, False, current_window_if_last=5)
        self.assertTrue(plan.ledger.final)
        self.assertIsNone(
            plan_hand_in(plan.ledger, {}, 5, False, current_window_if_last=6)
        )
        late = plan_hand_in(
            plan.ledger, {NORTH: ONE}, 5, True, current_window_if_last=8
        )
        self.assertEqual((late.part.window, len(late.part.rows)), (8, 1))

    def test_a_window_waits_for_exactly_the_known_authors(self):
        """Guards against freezing a window too early, and against never freezing it."""
        roster = [Author("a.1", 5), Author("b.1", 5), Author("c.1", 9)]
        ledgers = {
            "a.1": Ledger("a.1", last=7),
            "b.1": Ledger("b.1", last=6),
            "gone.1": Ledger("gone.1", last=3),
            "ended.1": Ledger("ended.1", last=3, final=True),
        }
        self.assertEqual(pending_authors(7, roster, ledgers), ["b.1", "gone.1"])
        self.assertEqual(pending_authors(3, roster, ledgers), [])
        self.assertEqual(
            pending_authors(9, roster, ledgers), ["a.1", "b.1", "c.1", "gone.1"]
        )

    def test_shards_divide_the_figures(self):
        """Guards against workspaces that are reported twice or not at all."""
        parts = [
            Part("a.1", 7, (Row(*NORTH, 1, 10, 5), Row(*SOUTH, 2, 0, 0))),
            Part("b.1", 7, (Row(*NORTH, 4, 40, 20),)),
        ]
        rows = [row for shard in range(4) for row in aggregate_shard(parts, shard, 4)]
        self.assertEqual(
            rows_to_totals(rows), {NORTH: Counts(5, 50, 25), SOUTH: Counts(2, 0, 0)}
        )
        self.assertEqual(len(rows), 2)
        self.assertIn(
            Row(*SOUTH, 2, 0, 0), aggregate_shard(parts, shard_of("south", 4), 4)
        )


class CopyTests(unittest.TestCase):
    def test_a_new_holder_gets_everything(self):
        """Guards against a copy without usage that an earlier holder acknowledged."""
        book = UsageRecorder("a.1", 100)
        book.record(NORTH, ONE, 100)
        first = CopySender("b", 0)
        self.assertEqual(len(first.next_batch(book).rows), 1)
        self.assertIsNone(first.next_batch(book))
        book.record(SOUTH, ONE, 100)
        self.assertIsNone(first.receive_ack(7))
        self.assertEqual(first.receive_ack(1), 1)
        second = CopySender("c", first.sequence)
        self.assertEqual(len(second.next_batch(book).rows), 2)
        self.assertEqual(second.receive_ack(second.sequence), 2)

    def test_a_copy_that_grew_meanwhile_is_kept(self):
        """Guards against dropping usage that was acknowledged during a hand-in."""
        book, store, sender = UsageRecorder("a.1", 100), CopyStore(), CopySender("b", 0)
        book.record(NORTH, ONE, 100)
        store.receive_batch(sender.next_batch(book))
        sender.receive_ack(1)
        window, totals, last = store.next_pending_window("a.1")
        self.assertTrue(last)
        book.record(NORTH, ONE, 100)
        store.receive_batch(sender.next_batch(book))
        store.mark_handed_in("a.1", window, totals)
        _, totals, _ = store.next_pending_window("a.1")
        self.assertEqual(totals, {NORTH: Counts(2, 20, 10)})
        store.mark_handed_in("a.1", 100, totals)
        self.assertEqual(store.authors(), [])

    def test_the_holder_is_in_another_zone_and_stays(self):
        """Guards against copies lost with their zone, and against needless moves."""
        peers = [Candidate(f"p{number}", "zone-a") for number in range(3)]
        self.assertIn(choose_copy_holder("own", "zone-a", peers), {"p0", "p1", "p2"})
        far = [Candidate(f"q{number}", "zone-b") for number in range(3)]
        chosen = choose_copy_holder("own", "zone-a", [*peers, *far])
        self.assertTrue(chosen.startswith("q"))
        for current in ("q0", "q1", "q2"):
            found = choose_copy_holder("own", "zone-a", [*peers, *far], current)
            self.assertEqual(found, current)
        gone = [Candidate("q0", "zone-b", live=False), Candidate("q1", "z", True, True)]
        self.assertEqual(choose_copy_holder("own", "zone-a", gone, "q0"), "")
