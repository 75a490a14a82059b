"""Tests of the word of upstreams against lists, starts and clocks in any order."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from camphorgate.serving.pauses import MAX_PAUSE_SECONDS, PauseBook
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


class Instance:
    """The books of one instance, and what the upstreams themselves know."""

    def __init__(self) -> None:
        """List every upstream."""
        self.table = UpstreamTable()
        self.pauses = PauseBook()
        self.now = 0.0
        self.revision = 0
        self.starts_by_id = dict.fromkeys(IDS, 1)
        self.written = []
        self.left: set[tuple[str, int]] = set()
        self.until_by_start: dict[tuple[str, int], float] = {}
        for name in IDS:
            self.write(name)

    def write(self, name: str) -> None:
        """Let an upstream write a ready entry."""
        self.revision += 1
        entry = build_listed_upstream(
            name, revision=self.revision, started_at=self.starts_by_id[name]
        )
        self.written.append(entry)
        self.table.put(entry)

    def play(self, event: tuple) -> None:
        """Play one event."""
        kind, *rest = event
        if kind == "leave":
            start = (rest[0], self.starts_by_id[rest[0]])
            self.left.add(start)
            self.table.leave(start)
        elif kind == "pause":
            start = (rest[0], self.starts_by_id[rest[0]])
            known = self.until_by_start.get(start, 0.0)
            self.until_by_start[start] = max(known, self.now + rest[1])
            self.pauses.pause(start, rest[1], self.now)
        elif kind == "write":
            self.write(rest[0])
        elif kind == "restart":
            self.starts_by_id[rest[0]] += 1
            self.write(rest[0])
        elif kind == "late entry":
            self.table.put(self.written[rest[1] % len(self.written)])
        elif kind == "remove":
            self.revision += 1
            self.table.remove(rest[0], self.revision, self.now, rest[1])
        elif kind == "list":
            newest_by_id = {entry.id: entry for entry in self.written}
            listed = newest_by_id.values()
            self.table.replace(listed, self.revision, self.now, rest[0])
        elif kind == "settle":
            self.table.settle(self.now, 0.0 if rest[0] else None)
        else:
            self.now += rest[0]

    def chosen(self) -> list:
        """Return the starts that a request may be sent to at this moment."""
        return [
            item.incarnation
            for item in self.table.usable("models")
            if not self.pauses.paused(item.incarnation, self.now)
        ]


class OwnWordPropertyTests(unittest.TestCase):
    """No order of events lets a request reach a start that wants none."""

    @given(st.lists(_EVENTS, max_size=40))
    def test_nothing_reaches_who_left_or_pauses(self, events):
        """Guards against a list, a late entry or a clock that undoes a word."""
        instance = Instance()
        for event in events:
            instance.play(event)
            for start in instance.chosen():
                self.assertNotIn(start, instance.left)
                until = instance.until_by_start.get(start, 0.0)
                self.assertGreaterEqual(instance.now, until)

    @given(st.lists(_EVENTS, max_size=40))
    def test_a_new_start_is_free_of_the_word_of_the_old(self, events):
        """Guards against workers that stay unused after a restart."""
        instance = Instance()
        for event in events:
            instance.play(event)
        instance.play(("restart", "u1"))
        self.assertIn(("u1", instance.starts_by_id["u1"]), instance.chosen())

    def test_late_word_of_an_earlier_start_undoes_nothing(self):
        """Guards against an old stream's answer that revives the present start."""
        instance = Instance()
        instance.play(("restart", "u1"))
        instance.play(("leave", "u1"))
        instance.table.leave(("u1", 1))
        instance.play(("write", "u1"))
        self.assertNotIn("u1", {name for name, _ in instance.chosen()})


class PauseBookTests(unittest.TestCase):
    """Ends of pauses."""

    def test_the_later_of_two_ends_counts(self):
        """Guards against a short pause that cuts a long one."""
        book = PauseBook()
        book.pause(("u1", 1), 5.0, 10.0)
        self.assertEqual(book.pause(("u1", 1), 1.0, 11.0), 15.0)
        self.assertTrue(book.paused(("u1", 1), 14.9))
        self.assertFalse(book.paused(("u1", 1), 15.0))

    def test_an_absurd_figure_is_bounded(self):
        """Guards against an upstream that is lost for good."""
        book = PauseBook()
        self.assertEqual(book.pause(("u1", 1), 1e300, 0.0), MAX_PAUSE_SECONDS)

    def test_first_end_is_that_of_a_pause_that_lasts(self):
        """Guards against waits for a pause that is over."""
        book = PauseBook()
        book.pause(("u1", 1), 1.0, 0.0)
        book.pause(("u2", 1), 3.0, 0.0)
        both = [("u1", 1), ("u2", 1), ("u3", 1)]
        self.assertEqual(book.first_end(both, 0.5), 1.0)
        self.assertEqual(book.first_end(both, 2.0), 3.0)
        self.assertIsNone(book.first_end(both, 3.0))

    def test_another_start_does_not_pause(self):
        """Guards against pauses that outlive who asked for them."""
        book = PauseBook()
        book.pause(("u1", 1), 9.0, 0.0)
        self.assertFalse(book.paused(("u1", 2), 1.0))
        book.keep_only({("u1", 2)})
        self.assertEqual(len(book), 0)
