"""Tests of leaving and pause announcements, in any order with other events."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from camphorgate.serving.pauses import MAX_PAUSE_SECONDS, PauseTable
from camphorgate.serving.upstream_table import UpstreamTable
from tests.hosting_builders import build_listed_upstream

IDS = ("u1", "u2", "u3")
_EVENTS = st.one_of(
    st.tuples(st.just("leave"), st.sampled_from(IDS)),
    st.tuples(st.just("pause"), st.sampled_from(IDS), st.floats(0.0, 9.0)),
    st.tuples(st.just("write"), st.sampled_from(IDS)),
    st.tuples(st.just("restart"), st.sampled_from(IDS)),
    st.tuples(st.just("late entry"), st.sampled_from(IDS), st.integers(0, 9)),
    st.tuples(st.just("remove"), st.sampled_from(IDS), st.booleans()),
    st.tuples(st.just("list"), st.booleans()),
    st.tuples(st.just("settle"), st.booleans()),
    st.tuples(st.just("pass"), st.floats(0.0, 4.0)),
)


class SimulatedInstance:
    """The tables of one instance, and the actual state of its upstreams."""

    def __init__(self) -> None:
        """Start with a ready entry of every upstream."""
        self.table = UpstreamTable()
        self.pauses = PauseTable()
        self.now = 0.0
        self.revision = 0
        self.started_at_by_id = dict.fromkeys(IDS, 1)
        self.written_entries = []
        self.left: set[tuple[str, int]] = set()
        self.paused_until_by_incarnation: dict[tuple[str, int], float] = {}
        for name in IDS:
            self.write(name)

    def write(self, name: str) -> None:
        """Write a ready entry of an upstream and apply it to the table."""
        self.revision += 1
        entry = build_listed_upstream(
            name, revision=self.revision, started_at=self.started_at_by_id[name]
        )
        self.written_entries.append(entry)
        self.table.apply_entry(entry)

    def apply_event(self, event: tuple) -> None:
        """Apply one event to the state."""
        kind, *rest = event
        if kind == "leave":
            incarnation = (rest[0], self.started_at_by_id[rest[0]])
            self.left.add(incarnation)
            self.table.mark_leaving(incarnation)
        elif kind == "pause":
            incarnation = (rest[0], self.started_at_by_id[rest[0]])
            current_end = self.paused_until_by_incarnation.get(incarnation, 0.0)
            self.paused_until_by_incarnation[incarnation] = max(
                current_end, self.now + rest[1]
            )
            self.pauses.pause(incarnation, rest[1], self.now)
        elif kind == "write":
            self.write(rest[0])
        elif kind == "restart":
            self.started_at_by_id[rest[0]] += 1
            self.write(rest[0])
        elif kind == "late entry":
            self.table.apply_entry(
                self.written_entries[rest[1] % len(self.written_entries)]
            )
        elif kind == "remove":
            self.revision += 1
            self.table.apply_removal(rest[0], self.revision, self.now, rest[1])
        elif kind == "list":
            newest_by_id = {entry.id: entry for entry in self.written_entries}
            listed = newest_by_id.values()
            self.table.apply_list(listed, self.revision, self.now, rest[0])
        elif kind == "settle":
            self.table.drop_lapsed(self.now, 0.0 if rest[0] else None)
        else:
            self.now += rest[0]

    def eligible_incarnations(self) -> list:
        """Return the incarnations that may receive a request now."""
        return [
            item.incarnation
            for item in self.table.usable("models")
            if not self.pauses.paused(item.incarnation, self.now)
        ]


class UpstreamAnnouncementPropertyTests(unittest.TestCase):
    """No order of events makes a leaving or paused incarnation eligible."""

    @given(st.lists(_EVENTS, max_size=40))
    def test_leaving_and_paused_incarnations_are_never_eligible(self, events):
        """Guards against a list, late entry or elapsed time undoing an announcement."""
        instance = SimulatedInstance()
        for event in events:
            instance.apply_event(event)
            for incarnation in instance.eligible_incarnations():
                self.assertNotIn(incarnation, instance.left)
                until = instance.paused_until_by_incarnation.get(incarnation, 0.0)
                self.assertGreaterEqual(instance.now, until)

    @given(st.lists(_EVENTS, max_size=40))
    def test_new_incarnation_is_free_of_earlier_announcements(self, events):
        """Guards against upstreams that stay unused after a restart."""
        instance = SimulatedInstance()
        for event in events:
            instance.apply_event(event)
        instance.apply_event(("restart", "u1"))
        self.assertIn(
            ("u1", instance.started_at_by_id["u1"]), instance.eligible_incarnations()
        )

    def test_late_announcement_of_an_earlier_incarnation_is_ignored(self):
        """Guards against an old response that makes the new incarnation eligible."""
        instance = SimulatedInstance()
        instance.apply_event(("restart", "u1"))
        instance.apply_event(("leave", "u1"))
        instance.table.mark_leaving(("u1", 1))
        instance.apply_event(("write", "u1"))
        self.assertNotIn("u1", {name for name, _ in instance.eligible_incarnations()})


class PauseBookTests(unittest.TestCase):
    """When pauses end."""

    def test_later_of_two_ends_counts(self):
        """Guards against a short pause that shortens a long one."""
        table = PauseTable()
        table.pause(("u1", 1), 5.0, 10.0)
        self.assertEqual(table.pause(("u1", 1), 1.0, 11.0), 15.0)
        self.assertTrue(table.paused(("u1", 1), 14.9))
        self.assertFalse(table.paused(("u1", 1), 15.0))

    def test_pause_is_bounded(self):
        """Guards against an upstream that is paused indefinitely."""
        table = PauseTable()
        self.assertEqual(table.pause(("u1", 1), 1e300, 0.0), MAX_PAUSE_SECONDS)

    def test_first_end_ignores_pauses_that_are_over(self):
        """Guards against waiting for a pause that is already over."""
        table = PauseTable()
        table.pause(("u1", 1), 1.0, 0.0)
        table.pause(("u2", 1), 3.0, 0.0)
        both = [("u1", 1), ("u2", 1), ("u3", 1)]
        self.assertEqual(table.first_end(both, 0.5), 1.0)
        self.assertEqual(table.first_end(both, 2.0), 3.0)
        self.assertIsNone(table.first_end(both, 3.0))

    def test_another_incarnation_is_not_paused(self):
        """Guards against pauses that outlive the incarnation that requested them."""
        table = PauseTable()
        table.pause(("u1", 1), 9.0, 0.0)
        self.assertFalse(table.paused(("u1", 2), 1.0))
        table.keep_only({("u1", 2)})
        self.assertEqual(len(table), 0)
