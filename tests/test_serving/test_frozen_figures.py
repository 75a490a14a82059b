"""Tests of usage windows whose figures the store may lose."""

import asyncio
import unittest
from unittest import mock

from camphorgate.serving.frozen_figures import (
    MAX_PARTS,
    MAX_WINDOWS,
    FrozenFigures,
    FrozenPart,
    may_freeze,
    split_figures,
)
from camphorgated.serving.frozen_figures import FrozenFiguresBroadcast
from tests.hosted import HostedCase


class FrozenFiguresTests(unittest.TestCase):
    """Figures are kept as they were first written."""

    def setUp(self):
        """Create the figures."""
        self.figures = FrozenFigures()

    def test_parts_in_any_order_make_the_figures(self):
        """Guards against figures that lack workspaces because a datagram was lost."""
        counts = {f"workspace-{number}": number for number in range(120)}
        parts = split_figures(7, counts, 50)
        self.assertEqual(len(parts), 3)
        for part in (parts[2], parts[2], parts[0]):
            self.figures.receive_part(part)
            self.assertIsNone(self.figures.get(7))
        self.figures.receive_part(parts[1])
        self.assertEqual(self.figures.get(7), counts)

    def test_first_figures_are_kept(self):
        """Guards against a second figure of a window."""
        self.figures.record(7, {"north": 1})
        self.figures.receive_part(FrozenPart(7, 0, 1, {"north": 2}))
        self.figures.record(7, {"north": 3})
        self.assertEqual(self.figures.get(7), {"north": 1})

    def test_window_without_requests_has_figures(self):
        """Guards against an empty window that counts as unknown."""
        for part in split_figures(7, {}, 50):
            self.figures.receive_part(part)
        self.assertEqual(self.figures.get(7), {})

    def test_memory_is_bounded(self):
        """Guards against a peer whose messages fill the memory."""
        for window in range(3 * MAX_WINDOWS):
            self.figures.receive_part(FrozenPart(window, 0, 2, {}))
            self.figures.receive_part(FrozenPart(window, 5, 2, {}))
            self.figures.receive_part(FrozenPart(window, 0, MAX_PARTS + 1, {}))
            self.figures.record(window + 10_000, {})
        self.assertEqual(len(self.figures.windows()), MAX_WINDOWS)
        self.assertEqual(len(self.figures._parts_by_window), MAX_WINDOWS)

    def test_window_that_may_have_been_frozen_gets_no_new_figures(self):
        """Guards against a second figure after a restore."""
        self.assertTrue(may_freeze(100.0, None))
        self.assertFalse(may_freeze(100.0, 100.0))
        self.assertTrue(may_freeze(101.0, 100.0))


class RestoredUsageTests(HostedCase):
    """A window never has two figures, also after the store lost it."""

    async def check_reports(self, restores: int) -> int:
        """Report windows, lose them in the store, and let another instance go on.

        :returns: how many windows were reported by several holders.
        """
        self.configure()
        await self.add_worker("desk-1")
        apps = [
            await self.start_ready(duties=["usage"], instance_id=f"entry-{number}")
            for number in range(3)
        ]
        await self.wait_for_peers(apps)
        members = [app.service("members") for app in apps]
        for _ in range(restores):
            await self.eventually(lambda: any(item.holds_duty() for item in members))
            for app in apps:
                await self.request(app, "/read/a")
            before = len(self.store.reports)
            await self.eventually(
                lambda before=before: len(self.store.reports) > before + 1, seconds=20.0
            )
            # Late counters would change the figures of a window that is frozen again.
            for app in apps:
                usage = app.service("gossip").usage
                newest = self.store.reports[-1]["body"]["window-id"]
                usage.merge("late", newest, {"north": 5})
            self.store.restore(2.0)
            await asyncio.sleep(0.7)
        await self.eventually(lambda: any(item.holds_duty() for item in members))
        await asyncio.sleep(4.0)
        counts_by_window, holders_by_window = {}, {}
        for report in self.store.reports:
            window, counts = report["body"]["window-id"], report["body"]["counts"]
            self.assertEqual(counts_by_window.setdefault(window, counts), counts)
            holders_by_window.setdefault(window, set()).add(report["holder"])
        return sum(len(holders) > 1 for holders in holders_by_window.values())

    async def test_figures_stay_after_a_restore(self):
        """Guards against two figures of a window whose record was lost."""
        await self.check_reports(restores=1)

    async def test_figures_are_not_made_anew_without_the_messages(self):
        """Guards against new figures where the messages of the holder were lost."""
        with mock.patch.object(FrozenFiguresBroadcast, "broadcast", lambda *_: True):
            await self.check_reports(restores=1)
