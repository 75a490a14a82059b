"""Tests the checks of the soak, and runs short soaks with fixed seeds."""

import tempfile
import unittest
from pathlib import Path

from tests.soak.checks import (
    CallerRequest,
    expected_events,
    find_interruptions,
    find_unexpected_windows,
    find_violations,
)
from tests.soak.configurations import ConfigurationSoak, Disturbance
from tests.soak.crashing_parts import CrashSoak
from tests.soak.crashing_parts import run_seed as run_crash_seed
from tests.soak.duty_holders import run_seed as run_duty_seed
from tests.soak.limited_upstreams import LimitSoak
from tests.soak.limited_upstreams import run_seed as run_limit_seed
from tests.soak.plan import build_plan
from tests.soak.run import run_seed
from tests.soak.worker_notices import WorkerNotices

SHORT_SECONDS = 10.0
ODD_SECONDS = 15.0
# Seeds of past failures: the length of the run and the cause.
REGRESSION_SEEDS = {
    141: (20.0, "frozen windows were removed while a successor could report them"),
    230: (15.0, "reopened watches never counted as lost, so peers were not asked"),
}


def build_run(attempt: str, **headers) -> dict:
    """Return a run as a worker records it."""
    return {"headers": {"x-attempt-id": attempt, "x-tenant": "north", **headers}}


def build_request(attempt: str, kind: str, status: int, body: bytes = b"", sent_at=0.0):
    """Return a request as its caller observed it."""
    item = CallerRequest(attempt, kind, "key-north", sent_at)
    item.status, item.body, item.complete = status, body, True
    return item


class CheckTests(unittest.TestCase):
    """Every check reports the violation that it covers."""

    def violations(self, requests, runs, reports=(), withdrawn=None):
        """Return the violations in a small history."""
        return find_violations(requests, runs, list(reports), withdrawn or {}, 8)

    def test_clean_history_has_none(self):
        """Guards against checks that report permitted outcomes."""
        requests = [
            build_request("a", "book", 200, b"done a"),
            build_request("b", "book", 503),
            build_request("c", "chat", 200, expected_events(8)),
            build_request("d", "read", 502),
        ]
        runs = [build_run(name) for name in ("a", "c", "d", "d")]
        self.assertEqual(self.violations(requests, runs), [])

    def test_each_violation_is_found(self):
        """Guards against checks that never report a violation."""
        booked = build_request("a", "book", 200, b"done a")
        usage = {
            "path": "/usage",
            "holder": "x",
            "fencing": 1,
            "accepted": True,
            "body": {"window-id": 1, "counts": {"north": 1}},
        }
        changed = {**usage, "body": {"window-id": 1, "counts": {"north": 2}}}
        other = {**usage, "holder": "y", "body": {"window-id": 2, "counts": {}}}
        late = build_request("a", "read", 200, b"done a", sent_at=20.0)
        cases = {
            "ran 2 times": ([booked], [build_run("a")] * 2, (), None),
            "but ran": ([build_request("a", "book", 503)], [build_run("a")], (), None),
            "no caller sent": ([], [build_run("z")], (), None),
            "received an API key": (
                [booked],
                [build_run("a", authorization="k")],
                (),
                None,
            ),
            "without a known workspace": (
                [booked],
                [build_run("a", **{"x-tenant": "?"})],
                (),
                None,
            ),
            "has the wrong body": (
                [build_request("a", "read", 200, b"done b")],
                [],
                (),
                None,
            ),
            "with different counts": ([], [], (usage, changed), None),
            "used the fencing number": ([], [], (usage, other), None),
            "with a withdrawn key": ([late], [build_run("a")], (), {"key-north": 1.0}),
        }
        for text, history in cases.items():
            with self.subTest(violation=text):
                found = self.violations(*history)
                self.assertTrue(any(text in line for line in found), found)

    def test_interruption_by_planned_work_is_found(self):
        """Guards against treating every interruption as a request that was not read."""
        cut = build_request("a", "read", 200, b"do")
        lost = build_request("b", "read", 0)
        crossed = build_request("c", "read", 0)
        for item in (cut, lost, crossed):
            item.complete = False
        found = find_interruptions([cut, lost, crossed], [build_run("b")])
        self.assertEqual(len(found), 2)

    def test_window_of_a_stepped_clock_is_found(self):
        """Guards against reports of windows that only a stepped clock has reached."""
        reports = [
            {"path": "/usage", "body": {"window-id": window}}
            for window in (60, 100, 110, 111, 2500)
        ]
        found = find_unexpected_windows(reports, 100.5, 110.5)
        self.assertEqual(len(found), 3)

    def test_request_after_worker_notice_is_found(self):
        """Guards against a check of workers' notices that never reports a violation."""
        requests = [build_request(name, "read", 200) for name in "abcdefg"]
        for number, item in enumerate(requests):
            item.instance, item.created_at = "entry", 10.0 + number
        requests[0].leaving_worker, requests[0].answered_at = "w1", 10.0
        arrivals = [(item.created_at, item.attempt) for item in requests]
        report = {"arrivals": arrivals, "pauses": [(12.0, "c", "3.5")]}
        found = WorkerNotices().find_ignored_notices(requests, {"w1": report})
        left = [line for line in found if "had left" in line]
        self.assertEqual([line[0] for line in left], ["d", "e", "f", "g"])
        self.assertEqual(len(found), 5)
        excused = WorkerNotices()
        excused.record_restart("w1")
        excused.restarts_by_worker["w1"] = [11.0]
        excused._disruptions_by_instance["entry"] = [12.4]
        self.assertEqual(excused.find_ignored_notices(requests, {"w1": report}), [])
        # A restart of the worker ends the pause that it announced.
        restarted = WorkerNotices()
        restarted.restarts_by_worker["w1"] = [13.0]
        paused = {"arrivals": arrivals, "pauses": [(12.0, "c", "9.0")]}
        found = restarted.find_ignored_notices(requests[1:], {"w1": paused})
        self.assertEqual(found, [])
        restarted.restarts_by_worker["w1"] = [16.5]
        self.assertEqual(
            len(restarted.find_ignored_notices(requests[1:], {"w1": paused})), 1
        )

    def test_plan_repeats_for_a_seed(self):
        """Guards against failures that cannot be reproduced from their seed."""
        self.assertEqual(build_plan(7, 20.0), build_plan(7, 20.0))
        self.assertNotEqual(build_plan(7, 20.0), build_plan(8, 20.0))


class SoakTests(unittest.TestCase):
    """The processes keep every invariant under a short fault schedule."""

    def test_short_soak_keeps_every_invariant(self):
        """Guards against violations that appear only with separate processes."""
        self.assertEqual(run_seed(11, SHORT_SECONDS), [])

    def test_planned_work_interrupts_nothing(self):
        """Guards against restarts and drains that interrupt requests."""
        self.assertEqual(run_seed(12, SHORT_SECONDS, mix="planned"), [])

    def test_stepped_clocks_leave_usage_correct(self):
        """Guards against usage windows that follow the wall clock of one machine."""
        self.assertEqual(run_seed(13, SHORT_SECONDS, mix="clocks"), [])

    def test_leaving_or_pausing_workers_receive_no_requests(self):
        """Guards against instances that forget a worker's leaving or pause notice."""
        self.assertEqual(run_seed(14, SHORT_SECONDS, mix="words"), [])

    def test_short_run_with_odd_data(self):
        """Guards against data of other writers and silence that end what follows it."""
        self.assertEqual(run_seed(15, ODD_SECONDS, mix="odd"), [])

    def test_restored_store_keeps_every_invariant(self):
        """Guards against two holders or figures after the store lost writes."""
        self.assertEqual(run_seed(16, SHORT_SECONDS, mix="restores"), [])

    def test_regression_seeds_pass(self):
        """Guards against the recurrence of faults that a soak found."""
        for seed, (seconds, cause) in REGRESSION_SEEDS.items():
            with self.subTest(seed=seed, cause=cause):
                self.assertEqual(run_seed(seed, seconds), [])


class CrashSoakTests(unittest.TestCase):
    """A part that ends engines is blocked beside faults of daemons and racks."""

    def test_short_runs_find_no_violation(self):
        """Guards against a crashing part that survives restarts, cuts and racks."""
        for seed, daemons in ((1, 3), (2, 5)):
            with self.subTest(seed=seed):
                violations = run_crash_seed(seed, 14.0, daemons=daemons)
                self.assertEqual(violations, [])

    def test_late_sends_and_lost_requests_are_found(self):
        """Guards against checks that never report a violation."""
        with tempfile.TemporaryDirectory() as folder:
            soak = CrashSoak(1, 0.0, Path(folder))
            lines = [f"{100 + n} engine-{n} bad0-{n}" for n in range(12)]
            soak.crash_log.write_text("\n".join(lines), encoding="utf-8")
            soak.outcomes = [(200.0 + n, "entry-0", n % 2 == 0) for n in range(40)]
            found = soak.violations()
        self.assertEqual(len(found), 2)
        self.assertIn("4 late sends", found[0])


class LimitSoakTests(unittest.TestCase):
    """Limits of upstreams are kept beside faults of daemons."""

    def test_short_runs_find_no_violation(self):
        """Guards against limits that restarts, pauses and changes let slip."""
        for seed, daemons in ((1, 3), (2, 6)):
            with self.subTest(seed=seed):
                self.assertEqual(run_limit_seed(seed, 16.0, daemons=daemons), [])

    def test_exceeded_limits_and_untrue_refusals_are_found(self):
        """Guards against checks that never report a violation."""
        with tempfile.TemporaryDirectory() as folder:
            soak = LimitSoak(1, 0.0, Path(folder))
            soak.changes = {"w": [(100.0, 2.0)]}
            arrivals = [(104.0 + n / 10, f"0-0-{n}") for n in range(18)]
            run = {"headers": {"x-attempt-id": "0-0-3"}}
            soak.reports = {"w": {"arrivals": arrivals, "runs": [run]}}
            soak.statuses = {"0-0-3": 503, "0-0-4": 200}
            self.assertEqual(len(soak.violations()), 2)
            soak.disrupted_at = {"entry-0": [104.0]}
            self.assertEqual(len(soak.violations()), 1)


class DutySoakTests(unittest.TestCase):
    """Holders of the duty do not alternate beside faults of holders and the store."""

    def test_short_runs_find_no_violation(self):
        """Guards against turns that starts, handovers and late writes let slip."""
        for seed in range(100, 112):
            with self.subTest(seed=seed):
                self.assertEqual(run_duty_seed(seed, 60.0)[0], [])

    def test_past_failures_do_not_recur(self):
        """Guards against instances that forget at a start that they acted."""
        for seed in (12, 15, 18, 19, 48, 50, 53):
            with self.subTest(seed=seed):
                self.assertEqual(run_duty_seed(seed, 120.0)[0], [])


class ConfigurationSoakTests(unittest.TestCase):
    """Undisturbed instances have each version in time, and none goes back."""

    def test_short_runs_find_no_violation(self):
        """Guards against versions that are late or older beside faults of others."""
        for seed in range(1, 5):
            soak = ConfigurationSoak(seed, seconds=8.0, size=12)
            self.assertEqual(soak.run(), [], seed)
            self.assertGreater(len(soak.disturbances), 2, seed)

    def test_past_failures_do_not_recur(self):
        """Guards against lost parts that are not fetched, and late takeovers."""
        for seed in (1012, 4006, 4031):
            self.assertEqual(ConfigurationSoak(seed, seconds=20.0).run(), [], seed)

    def test_late_and_older_versions_are_found(self):
        """Guards against checks that never report a violation."""
        soak = ConfigurationSoak(1, seconds=0.0, size=6)
        soak.confirmed_at_by_version = {2: 10.0, 3: 20.0}
        soak.zone.versions = {name: [(10.5, 2), (20.5, 3)] for name in soak.zone.apps}
        self.assertEqual([*soak._find_late(), *soak._find_older()], [])
        soak.zone.versions["entry-0"] = [(10.5, 2), (24.5, 3)]
        soak.zone.versions["entry-1"] = [(10.5, 2), (20.5, 3), (21.0, 2)]
        soak.zone.versions["entry-2"] = [(10.5, 2), (12.0, 0), (24.5, 3)]
        soak.disturbances = [Disturbance("entry-2", 12.0, 18.0)]
        self.assertEqual(
            [item.partition(":")[0] for item in soak._find_late()], ["entry-0"]
        )
        self.assertEqual(
            [item.partition(":")[0] for item in soak._find_older()], ["entry-1"]
        )
