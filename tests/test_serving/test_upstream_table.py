"""Tests of the table of upstreams through outages of the list."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from camphorgate.serving.upstream_table import RETURN_SECONDS, UpstreamTable
from tests.hosting_builders import build_listed_upstream


class UpstreamTableTests(unittest.TestCase):
    """Entries rise by revision; those that vanish in an outage are kept for a while."""

    def setUp(self):
        """Start with one upstream."""
        self.table = UpstreamTable()
        self.table.put(build_listed_upstream("u1", revision=5))

    def test_older_entry_does_not_replace_a_newer_one(self):
        """Guards against a late message that revives a leaving upstream."""
        self.table.put(build_listed_upstream("u1", revision=7, leaving=True))
        self.assertFalse(self.table.put(build_listed_upstream("u1", revision=6)))
        self.assertEqual(self.table.usable("models"), [])

    def test_entry_of_an_earlier_start_is_ignored(self):
        """Guards against a late write of a process that was replaced under its id."""
        self.table.put(build_listed_upstream("u1", revision=8, started_at=20))
        late = build_listed_upstream("u1", revision=9, started_at=10)
        self.assertFalse(self.table.put(late))
        self.assertEqual(self.table.by_id["u1"].started_at, 20)

    def test_removal_in_a_sound_list_counts_at_once(self):
        """Guards against work for an upstream that left as planned."""
        self.table.remove("u1", 6, now=10.0, sound=True)
        self.assertEqual(self.table.by_id, {})

    def test_removal_during_an_outage_waits_for_its_end(self):
        """Guards against dropping every upstream because the list was away."""
        self.table.remove("u1", 6, now=10.0, sound=False)
        self.assertEqual(self.table.settle(20.0, None), [])
        self.assertEqual(self.table.settle(20.0 + RETURN_SECONDS / 2, 20.0), [])
        self.assertIn("u1", self.table.by_id)
        self.assertEqual(self.table.settle(20.0 + RETURN_SECONDS, 20.0), ["u1"])
        self.assertEqual(self.table.by_id, {})

    def test_entry_that_returns_after_an_outage_stays(self):
        """Guards against dropping an upstream that is back in time."""
        self.table.remove("u1", 6, now=10.0, sound=False)
        self.table.put(build_listed_upstream("u1", revision=8))
        self.assertEqual(self.table.settle(99.0, 20.0), [])
        self.assertIn("u1", self.table.by_id)

    def test_leaving_upstream_is_dropped_even_in_an_outage(self):
        """Guards against keeping what said itself that it leaves."""
        self.table.put(build_listed_upstream("u1", revision=6, leaving=True))
        self.table.remove("u1", 7, now=10.0, sound=False)
        self.assertEqual(self.table.by_id, {})

    def test_older_complete_list_is_ignored(self):
        """Guards against a peer whose list lags behind the own watch."""
        self.table.put(build_listed_upstream("u2", revision=9))
        self.table.replace([], revision=8, now=1.0, sound=True)
        self.assertEqual(set(self.table.by_id), {"u1", "u2"})

    def test_complete_list_removes_what_it_lacks(self):
        """Guards against upstreams that stay for ever after a missed removal."""
        listed = build_listed_upstream("u2", revision=9)
        self.table.replace([listed], revision=9, now=1.0, sound=True)
        self.assertEqual(set(self.table.by_id), {"u2"})

    def test_digest_follows_the_entries(self):
        """Guards against peers that take different tables for equal."""
        before = self.table.digest()
        self.table.put(build_listed_upstream("u1", revision=6))
        self.assertNotEqual(self.table.digest(), before)


class DoubtedUpstreamTests(unittest.TestCase):
    """An entry that vanished around an outage yields to the others."""

    def build_table(self, upstreams: int) -> UpstreamTable:
        """Return a table of some upstreams of one service."""
        table = UpstreamTable()
        for number in range(upstreams):
            table.put(build_listed_upstream(f"u{number}", revision=number + 1))
        return table

    def usable_ids(self, table: UpstreamTable) -> set[str]:
        """Return the upstreams that take new requests."""
        return {item.id for item in table.usable("models")}

    def test_doubted_removal_takes_no_request_while_others_can(self):
        """Guards against requests to an upstream that left during a broken watch."""
        table = self.build_table(3)
        table.remove("u0", 9, now=10.0, sound=False)
        self.assertEqual(self.usable_ids(table), {"u1", "u2"})
        self.assertIn("u0", table.by_id)

    def test_mostly_vanished_list_goes_on_serving(self):
        """Guards against a service whose entries lapsed and that refuses everyone."""
        table = self.build_table(3)
        table.remove("u0", 9, now=10.0, sound=False)
        table.remove("u1", 9, now=10.0, sound=False)
        self.assertEqual(self.usable_ids(table), {"u0", "u1", "u2"})
        table.settle(10.0 + RETURN_SECONDS, 10.0)
        self.assertEqual(self.usable_ids(table), {"u2"})

    def test_doubt_about_an_unknown_entry_makes_nobody_certain(self):
        """Guards against a new process that turns the doubt of others to certainty."""
        table = self.build_table(1)
        table.take_changes()
        table.remove("u9", 9, now=10.0, sound=False)
        self.assertEqual(table.removals_of(["u9"]), [])
        self.assertEqual(table.take_changes(), ([], []))
        self.assertFalse(table.put(build_listed_upstream("u9", revision=8)))
        table.remove("u9", 10, now=11.0, sound=True)
        self.assertEqual(table.removals_of(["u9"]), [("u9", 10)])

    def test_returned_entry_takes_requests_at_once(self):
        """Guards against capacity that stays unused after a lapse."""
        table = self.build_table(3)
        table.remove("u0", 9, now=10.0, sound=False)
        table.put(build_listed_upstream("u0", revision=12))
        self.assertEqual(self.usable_ids(table), {"u0", "u1", "u2"})


class ToldTableTests(unittest.TestCase):
    """A table whose changes are told by two watchers, in any order."""

    def test_late_word_does_not_bring_an_entry_back(self):
        """Guards against work for an upstream whose removal overtook its entry."""
        table = UpstreamTable()
        table.put(build_listed_upstream("u1", revision=1))
        table.remove("u1", 5, 0.0, True)
        self.assertFalse(table.put(build_listed_upstream("u1", revision=4)))
        self.assertEqual(table.by_id, {})
        self.assertTrue(table.put(build_listed_upstream("u1", revision=6)))

    @given(st.lists(st.integers(1, 60), max_size=60), st.randoms())
    def test_any_order_of_changes_gives_the_same_table(self, kinds, shuffler):
        """Guards against instances that differ for good after crossed datagrams."""
        changes = []
        for revision, kind in enumerate(kinds, start=1):
            changes.append((f"u{kind % 5}", revision, kind % 3 == 0))
        straight, crossed = UpstreamTable(), UpstreamTable()
        for table, order in ((straight, changes), (crossed, list(changes))):
            if table is crossed:
                shuffler.shuffle(order)
            for upstream_id, revision, removal in order + order:
                if removal:
                    table.remove(upstream_id, revision, 0.0, True)
                else:
                    table.put(build_listed_upstream(upstream_id, revision=revision))
        self.assertEqual(straight.digest(), crossed.digest())

    def test_changes_are_told_once(self):
        """Guards against watchers that tell everything each time, or leave some out."""
        table = UpstreamTable()
        table.put(build_listed_upstream("u1", revision=1))
        table.put(build_listed_upstream("u2", revision=2))
        present, removed = table.take_changes()
        self.assertEqual([item.id for item in present], ["u1", "u2"])
        self.assertEqual(removed, [])
        table.remove("u1", 3, 0.0, True)
        self.assertEqual(table.take_changes(), ([], [("u1", 3)]))
        self.assertEqual(table.take_changes(), ([], []))
