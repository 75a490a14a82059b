"""Tests of the log lines about individual requests."""

import contextlib
import unittest
from unittest import mock

from camphorgate.application import Application
from camphorgate.clock import ManualClock
from camphorgated.serving import statistics
from tests.hosted import HostedCase
from tests.hosting_builders import build_platform_entry


class RequestLineLimitTests(unittest.TestCase):
    """All kinds of log lines about requests share one rate limit."""

    def test_all_kinds_of_lines_share_one_limit(self):
        """Guards against log volume that grows with the load on a failing upstream."""
        clock = ManualClock()
        counters = statistics.Statistics(Application(None, clock))
        with mock.patch.object(statistics, "log_event") as log:
            for _ in range(200):
                counters.request_line("try_failed")
                counters.request_line("request_refused")
        self.assertEqual(log.call_count, statistics.MAX_LINES_PER_SECOND)
        self.assertEqual(
            counters.dump()["suppressed_lines"],
            400 - statistics.MAX_LINES_PER_SECOND,
        )
        clock.advance(1.0)
        with mock.patch.object(statistics, "log_event") as log:
            counters.request_line("answered")
        self.assertEqual(log.call_count, 1)


class DecisionInputTests(HostedCase):
    """Log lines about a request contain the inputs of its routing decisions."""

    async def asyncSetUp(self):
        """Start two workers and a daemon with configuration version 3."""
        await super().asyncSetUp()
        self.configure(3)
        await self.add_worker("desk-1")
        await self.add_worker("desk-2")
        self.app = await self.start_ready()
        self.lines = []

    @contextlib.contextmanager
    def capture_lines(self):
        """Collect log lines as pairs of event and fields."""
        with mock.patch.object(
            statistics,
            "log_event",
            lambda event, **fields: self.lines.append((event, fields)),
        ):
            yield

    def fields(self, event):
        """Return the fields of the first line of an event."""
        return next(fields for name, fields in self.lines if name == event)

    async def test_answered_line_contains_age_and_version_of_inputs(self):
        """Guards against routing decisions that the log cannot explain."""
        received_at = self.app.clock.monotonic() - 0.5
        loads = self.app.service("upstreams").loads
        loads.receive_loads("entry-2", {}, received_at)
        loads.receive_loads("entry-3", {}, received_at - 60.0)
        with self.capture_lines():
            await self.request(self.app, "/read/a")
        answered = self.fields("answered")
        self.assertEqual(answered["version"], 3)
        self.assertIn(answered["answerer"], ("desk-1", "desk-2"))
        self.assertEqual(
            answered["list_revision"], self.app.service("directory").table.revision
        )
        self.assertIs(answered["store_sound"], True)
        self.assertGreaterEqual(answered["loads_age_ms"], 500.0)
        self.assertLess(answered["loads_age_ms"], 1500.0)

    async def test_failure_lines_contain_the_inputs(self):
        """Guards against failure lines without the inputs of the decision."""
        for worker in self.workers.values():
            worker.faults.arm({"fault": "lose_answers", "count": 1})
        with self.capture_lines():
            response = await self.request(self.app, "/book/a", method="POST")
        self.assertEqual(response.status, 502)
        for event in ("try_failed", "request_given_up"):
            fields = self.fields(event)
            self.assertEqual(fields["version"], 3)
            self.assertEqual(fields["attempt"], "attempt-1")
            for name in ("answerer", "loads_age_ms", "list_revision", "store_sound"):
                self.assertIn(name, fields)

    async def test_choice_from_a_stale_list_is_visible(self):
        """Guards against log lines that do not distinguish a stale list."""
        directory = self.app.service("directory")
        before = directory.table.revision
        self.store.faults.arm({"fault": "busy"})
        await self.eventually(lambda: not directory.sound, seconds=8.0)
        self.store.put("servers/desk-3", build_platform_entry("127.0.0.1:9"))
        with self.capture_lines():
            await self.request(self.app, "/read/a")
        answered = self.fields("answered")
        self.assertIs(answered["store_sound"], False)
        self.assertEqual(answered["list_revision"], before)
