"""Tests for priorities, from workspace service to the order inside an engine."""

import asyncio
import unittest

from camphorgate.requests.fairness import FairOrder
from camphorgate.requests.priority import (
    MAX_PRIORITY,
    SERVICE_PER_PRIORITY,
    priority_for_deficit,
)
from camphorgate_standins.slots import PrioritySlots


def serve(fair, workspace, service, times=1):
    """Start requests of a workspace one after another."""
    for _ in range(times):
        fair.enter(workspace)
        fair.start(workspace, service, now=0.0)


class PriorityTests(unittest.TestCase):
    def test_the_range_is_bounded_and_rises_with_what_is_owed(self):
        """Guards against a priority that grows without bound."""
        cases = (
            (float("-inf"), 0),
            (-SERVICE_PER_PRIORITY, 0),
            (SERVICE_PER_PRIORITY - 1, 0),
            (SERVICE_PER_PRIORITY, 1),
            (3.5 * SERVICE_PER_PRIORITY, 3),
            (float("inf"), MAX_PRIORITY),
        )
        for owed, priority in cases:
            with self.subTest(owed=owed):
                self.assertEqual(priority_for_deficit(owed), priority)

    def test_a_small_workspace_outranks_a_flood_until_it_has_its_share(self):
        """Guards against starvation in either direction, at any scale of weights."""
        for weight in (1.0, 100.0):
            with self.subTest(weight=weight):
                fair = FairOrder()
                fair.set_weights({"flood": weight, "small": weight})
                serve(fair, "small", 1.0)
                serve(fair, "flood", 200.0, times=30)
                self.assertEqual(priority_for_deficit(fair.service_deficit("flood")), 0)
                ranks = []
                for _ in range(40):
                    serve(fair, "small", 200.0)
                    ranks.append(priority_for_deficit(fair.service_deficit("small")))
                self.assertGreater(ranks[0], 1)
                self.assertEqual(ranks, sorted(ranks, reverse=True))
                self.assertEqual(ranks[-1], 0)


class PrioritySlotsTests(unittest.IsolatedAsyncioTestCase):
    async def test_waiting_requests_start_by_priority_and_then_arrival(self):
        """Guards against a simulated engine that ignores priorities or leaks slots."""
        slots = PrioritySlots(1)
        await slots.acquire()
        started = []

        async def run(name, priority):
            await slots.acquire(priority)
            started.append(name)
            slots.release()

        names = (("a", 0), ("gone", 5), ("given", 4), ("b", 0), ("c", 2), ("d", 2))
        tasks = {name: asyncio.create_task(run(name, rank)) for name, rank in names}
        await asyncio.sleep(0)
        tasks["gone"].cancel()
        await asyncio.sleep(0)
        slots.release()
        # This task has been granted the slot but has not run yet.
        tasks["given"].cancel()
        await asyncio.wait(tasks.values(), timeout=5)
        self.assertEqual(started, ["c", "d", "a", "b"])
