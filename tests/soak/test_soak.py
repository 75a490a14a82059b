"""A short seeded soak, and the checks against violations that they must find."""

import unittest

from tests.soak.checks import (
    Asked,
    expected_events,
    find_cuts,
    find_violations,
    find_wrong_windows,
)
from tests.soak.plan import build_plan
from tests.soak.run import run_seed
from tests.soak.words import Words

SHORT_SECONDS = 10.0
# Seeds that failed once: the length of the run, and the cause.
REGRESSION_SEEDS = {
    141: (20.0, "frozen windows were removed while a successor could report them"),
    230: (15.0, "reopened watches never counted as lost, so peers were not asked"),
}


def build_run(attempt: str, **headers) -> dict:
    """Return a run as a worker remembers it."""
    return {"headers": {"x-attempt-id": attempt, "x-tenant": "north", **headers}}


def build_asked(attempt: str, kind: str, status: int, body: bytes = b"", sent_at=0.0):
    """Return a request as its caller saw it."""
    item = Asked(attempt, kind, "key-north", sent_at)
    item.status, item.body, item.whole = status, body, True
    return item


class CheckTests(unittest.TestCase):
    """Every check finds what it is for."""

    def violations(self, asked, runs, reports=(), withdrawn=None):
        """Return the violations of a small history."""
        return find_violations(asked, runs, list(reports), withdrawn or {}, 8)

    def test_clean_history_has_none(self):
        """Guards against checks that fail on what is allowed."""
        asked = [
            build_asked("a", "book", 200, b"done a"),
            build_asked("b", "book", 503),
            build_asked("c", "chat", 200, expected_events(8)),
            build_asked("d", "read", 502),
        ]
        runs = [build_run(name) for name in ("a", "c", "d", "d")]
        self.assertEqual(self.violations(asked, runs), [])

    def test_each_violation_is_found(self):
        """Guards against checks that cannot fail."""
        booked = build_asked("a", "book", 200, b"done a")
        usage = {
            "path": "/usage",
            "holder": "x",
            "fencing": 1,
            "accepted": True,
            "body": {"window-id": 1, "counts": {"north": 1}},
        }
        changed = {**usage, "body": {"window-id": 1, "counts": {"north": 2}}}
        other = {**usage, "holder": "y", "body": {"window-id": 2, "counts": {}}}
        late = build_asked("a", "read", 200, b"done a", sent_at=20.0)
        cases = {
            "ran 2 times": ([booked], [build_run("a")] * 2, (), None),
            "and ran": ([build_asked("a", "book", 503)], [build_run("a")], (), None),
            "nobody asked": ([], [build_run("z")], (), None),
            "saw a key": ([booked], [build_run("a", authorization="k")], (), None),
            "no workspace": ([booked], [build_run("a", **{"x-tenant": "?"})], (), None),
            "got": ([build_asked("a", "read", 200, b"done b")], [], (), None),
            "two figures": ([], [], (usage, changed), None),
            "used the number": ([], [], (usage, other), None),
            "withdrawn": ([late], [build_run("a")], (), {"key-north": 1.0}),
        }
        for text, history in cases.items():
            with self.subTest(violation=text):
                found = self.violations(*history)
                self.assertTrue(any(text in line for line in found), found)

    def test_cut_during_planned_work_is_found(self):
        """Guards against a check that takes every cut for a crossing."""
        cut = build_asked("a", "read", 200, b"do")
        lost = build_asked("b", "read", 0)
        crossed = build_asked("c", "read", 0)
        for item in (cut, lost, crossed):
            item.whole = False
        found = find_cuts([cut, lost, crossed], [build_run("b")])
        self.assertEqual(len(found), 2)

    def test_window_of_a_wrong_clock_is_found(self):
        """Guards against windows that only a jumped clock has reached."""
        reports = [
            {"path": "/usage", "body": {"window-id": window}}
            for window in (60, 100, 110, 111, 2500)
        ]
        found = find_wrong_windows(reports, 100.5, 110.5)
        self.assertEqual(len(found), 3)

    def test_request_against_a_workers_word_is_found(self):
        """Guards against checks of leaving and pausing workers that cannot fail."""
        asked = [build_asked(name, "read", 200) for name in "abcdefg"]
        for number, item in enumerate(asked):
            item.entry, item.began_at = "entry", 10.0 + number
        asked[0].left_worker, asked[0].answered_at = "w1", 10.0
        arrivals = [(item.began_at, item.attempt) for item in asked]
        report = {"arrivals": arrivals, "pauses": [(12.0, "c", "3.5")]}
        found = Words().find_late(asked, {"w1": report})
        left = [line for line in found if "had left" in line]
        self.assertEqual([line[0] for line in left], ["d", "e", "f", "g"])
        self.assertEqual(len(found), 5)
        excused = Words()
        excused.start("w1")
        excused.starts_by_worker["w1"] = [11.0]
        excused._disturbed_by_entry["entry"] = [12.4]
        self.assertEqual(excused.find_late(asked, {"w1": report}), [])
        # A pause ends with the start that asked for it.
        restarted = Words()
        restarted.starts_by_worker["w1"] = [13.0]
        paused = {"arrivals": arrivals, "pauses": [(12.0, "c", "9.0")]}
        found = restarted.find_late(asked[1:], {"w1": paused})
        self.assertEqual(found, [])
        restarted.starts_by_worker["w1"] = [16.5]
        self.assertEqual(len(restarted.find_late(asked[1:], {"w1": paused})), 1)

    def test_plan_repeats_for_a_seed(self):
        """Guards against a seed that cannot be played again."""
        self.assertEqual(build_plan(7, 20.0), build_plan(7, 20.0))
        self.assertNotEqual(build_plan(7, 20.0), build_plan(8, 20.0))


class SoakTests(unittest.TestCase):
    """The programs keep their promises under a short plan."""

    def test_short_soak_keeps_every_promise(self):
        """Guards against violations that only whole processes show."""
        self.assertEqual(run_seed(11, SHORT_SECONDS), [])

    def test_planned_work_cuts_nothing(self):
        """Guards against restarts and drains that callers notice."""
        self.assertEqual(run_seed(12, SHORT_SECONDS, mix="planned"), [])

    def test_clocks_that_jump_leave_usage_right(self):
        """Guards against windows that follow one machine's time of day."""
        self.assertEqual(run_seed(13, SHORT_SECONDS, mix="clocks"), [])

    def test_workers_that_leave_or_pause_are_left_alone(self):
        """Guards against instances that forget what a worker said of itself."""
        self.assertEqual(run_seed(14, SHORT_SECONDS, mix="words"), [])

    def test_seeds_that_failed_once_pass(self):
        """Guards against the return of a fault that a soak has found."""
        for seed, (seconds, cause) in REGRESSION_SEEDS.items():
            with self.subTest(seed=seed, cause=cause):
                self.assertEqual(run_seed(seed, seconds), [])
