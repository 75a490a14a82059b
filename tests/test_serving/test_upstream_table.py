"""Tests of the upstream table, including outages of the store's list."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from camphorgate.serving.upstream_table import LAPSED_ENTRY_GRACE_SECONDS, UpstreamTable
from tests.hosting_builders import build_listed_upstream


class UpstreamTableTests(unittest.TestCase):
    """Newer revisions win; entries removed during an outage are kept for a while."""

    def setUp(self):
        """Start with one upstream."""
        self.table = UpstreamTable()
        self.table.apply_entry(build_listed_upstream("u1", revision=5))

    def test_older_entry_does_not_replace_a_newer_one(self):
        """Guards against a late message that makes a leaving upstream eligible."""
        self.table.apply_entry(build_listed_upstream("u1", revision=7, leaving=True))
        self.assertFalse(
            self.table.apply_entry(build_listed_upstream("u1", revision=6))
        )
        self.assertEqual(self.table.usable("models"), [])

    def test_entry_of_an_earlier_start_is_ignored(self):
        """Guards against a late write of a process whose id a new process uses."""
        self.table.apply_entry(build_listed_upstream("u1", revision=8, started_at=20))
        late_entry = build_listed_upstream("u1", revision=9, started_at=10)
        self.assertFalse(self.table.apply_entry(late_entry))
        self.assertEqual(self.table.by_id["u1"].started_at, 20)

    def test_removal_in_a_sound_list_applies_at_once(self):
        """Guards against requests to an upstream that was shut down as planned."""
        self.table.apply_removal("u1", 6, now=10.0, sound=True)
        self.assertEqual(self.table.by_id, {})

    def test_removal_during_an_outage_is_delayed_until_its_end(self):
        """Guards against dropping every upstream because the list was unavailable."""
        self.table.apply_removal("u1", 6, now=10.0, sound=False)
        self.assertEqual(self.table.drop_lapsed(20.0, None), [])
        self.assertEqual(
            self.table.drop_lapsed(20.0 + LAPSED_ENTRY_GRACE_SECONDS / 2, 20.0), []
        )
        self.assertIn("u1", self.table.by_id)
        self.assertEqual(
            self.table.drop_lapsed(20.0 + LAPSED_ENTRY_GRACE_SECONDS, 20.0), ["u1"]
        )
        self.assertEqual(self.table.by_id, {})

    def test_entry_that_returns_after_an_outage_stays(self):
        """Guards against dropping an upstream whose entry is rewritten in time."""
        self.table.apply_removal("u1", 6, now=10.0, sound=False)
        self.table.apply_entry(build_listed_upstream("u1", revision=8))
        self.assertEqual(self.table.drop_lapsed(99.0, 20.0), [])
        self.assertIn("u1", self.table.by_id)

    def test_leaving_upstream_is_dropped_even_in_an_outage(self):
        """Guards against keeping an upstream that announced its leaving."""
        self.table.apply_entry(build_listed_upstream("u1", revision=6, leaving=True))
        self.table.apply_removal("u1", 7, now=10.0, sound=False)
        self.assertEqual(self.table.by_id, {})

    def test_older_complete_list_is_ignored(self):
        """Guards against a peer's list that is older than the own watch."""
        self.table.apply_entry(build_listed_upstream("u2", revision=9))
        self.table.apply_list([], revision=8, now=1.0, sound=True)
        self.assertEqual(set(self.table.by_id), {"u1", "u2"})

    def test_complete_list_removes_what_it_lacks(self):
        """Guards against upstreams that stay listed forever after a missed removal."""
        listed = build_listed_upstream("u2", revision=9)
        self.table.apply_list([listed], revision=9, now=1.0, sound=True)
        self.assertEqual(set(self.table.by_id), {"u2"})

    def test_digest_follows_the_entries(self):
        """Guards against peers that consider different tables equal."""
        before = self.table.digest()
        self.table.apply_entry(build_listed_upstream("u1", revision=6))
        self.assertNotEqual(self.table.digest(), before)


class DoubtedUpstreamTests(unittest.TestCase):
    """An upstream whose removal is doubted is used only if too few others are left."""

    def build_table(self, upstreams: int) -> UpstreamTable:
        """Return a table with a number of upstreams of one service."""
        table = UpstreamTable()
        for number in range(upstreams):
            table.apply_entry(build_listed_upstream(f"u{number}", revision=number + 1))
        return table

    def usable_ids(self, table: UpstreamTable) -> set[str]:
        """Return the ids of upstreams that may receive new requests."""
        return {item.id for item in table.usable("models")}

    def test_doubted_upstream_is_unused_while_others_are_usable(self):
        """Guards against requests to an upstream removed during a broken watch."""
        table = self.build_table(3)
        table.apply_removal("u0", 9, now=10.0, sound=False)
        self.assertEqual(self.usable_ids(table), {"u1", "u2"})
        self.assertIn("u0", table.by_id)

    def test_doubted_upstreams_are_used_if_most_are_doubted(self):
        """Guards against refusing all requests when most entries of a service lapse."""
        table = self.build_table(3)
        table.apply_removal("u0", 9, now=10.0, sound=False)
        table.apply_removal("u1", 9, now=10.0, sound=False)
        self.assertEqual(self.usable_ids(table), {"u0", "u1", "u2"})
        table.drop_lapsed(10.0 + LAPSED_ENTRY_GRACE_SECONDS, 10.0)
        self.assertEqual(self.usable_ids(table), {"u2"})

    def test_doubted_removal_of_an_unknown_entry_is_unconfirmed(self):
        """Guards against a new process that confirms a removal that others doubt."""
        table = self.build_table(1)
        table.pop_changes()
        table.apply_removal("u9", 9, now=10.0, sound=False)
        self.assertEqual(table.confirmed_removals(["u9"]), [])
        self.assertEqual(table.pop_changes(), ([], []))
        self.assertFalse(table.apply_entry(build_listed_upstream("u9", revision=8)))
        table.apply_removal("u9", 10, now=11.0, sound=True)
        self.assertEqual(table.confirmed_removals(["u9"]), [("u9", 10)])

    def test_returned_entry_is_usable_at_once(self):
        """Guards against upstreams that stay unused after a lapse."""
        table = self.build_table(3)
        table.apply_removal("u0", 9, now=10.0, sound=False)
        table.apply_entry(build_listed_upstream("u0", revision=12))
        self.assertEqual(self.usable_ids(table), {"u0", "u1", "u2"})


class ChangeMessageTests(unittest.TestCase):
    """A table that receives changes from two watchers, in any order."""

    def test_late_entry_does_not_undo_a_removal(self):
        """Guards against an older entry that restores an upstream after its removal."""
        table = UpstreamTable()
        table.apply_entry(build_listed_upstream("u1", revision=1))
        table.apply_removal("u1", 5, 0.0, True)
        self.assertFalse(table.apply_entry(build_listed_upstream("u1", revision=4)))
        self.assertEqual(table.by_id, {})
        self.assertTrue(table.apply_entry(build_listed_upstream("u1", revision=6)))

    @given(st.lists(st.integers(1, 60), max_size=60), st.randoms())
    def test_any_order_of_changes_gives_the_same_table(self, change_kinds, shuffler):
        """Guards against permanently different tables after reordered datagrams."""
        changes = []
        for revision, kind in enumerate(change_kinds, start=1):
            changes.append((f"u{kind % 5}", revision, kind % 3 == 0))
        in_order, shuffled = UpstreamTable(), UpstreamTable()
        for table, order in ((in_order, changes), (shuffled, list(changes))):
            if table is shuffled:
                shuffler.shuffle(order)
            for upstream_id, revision, removal in order + order:
                if removal:
                    table.apply_removal(upstream_id, revision, 0.0, True)
                else:
                    table.apply_entry(
                        build_listed_upstream(upstream_id, revision=revision)
                    )
        self.assertEqual(in_order.digest(), shuffled.digest())

    def test_changes_are_returned_once(self):
        """Guards against watchers that repeat all changes, or omit some."""
        table = UpstreamTable()
        table.apply_entry(build_listed_upstream("u1", revision=1))
        table.apply_entry(build_listed_upstream("u2", revision=2))
        present, removed = table.pop_changes()
        self.assertEqual([item.id for item in present], ["u1", "u2"])
        self.assertEqual(removed, [])
        table.apply_removal("u1", 3, 0.0, True)
        self.assertEqual(table.pop_changes(), ([], [("u1", 3)]))
        self.assertEqual(table.pop_changes(), ([], []))
