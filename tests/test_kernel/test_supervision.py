"""Tests of tasks that a process needs for all of its life."""

import asyncio
import sys
import types
import unittest

from camphorgate.application import Application
from camphorgate.supervision import MAX_RESTART_SECONDS


class SupervisionTests(unittest.IsolatedAsyncioTestCase):
    """A task that ends by an error starts again."""

    async def asyncSetUp(self):
        self.app = Application(settings=None)
        self.addAsyncCleanup(self.app.stop)

    async def test_a_failed_task_starts_again(self):
        """Guards against a task that one odd value ends for good."""
        starts = []
        done = asyncio.Event()

        async def fail_twice():
            starts.append(1)
            if len(starts) < 3:
                raise OverflowError("too large")
            done.set()

        task = self.app.supervise(fail_twice, "example")
        async with asyncio.timeout(5):
            await done.wait()
            await task
        failed = self.app.dump()["kernel"]["failed_tasks"]["example"]
        self.assertEqual((failed["failures"], failed["paused"]), (2, False))

    async def test_a_failing_task_is_paused(self):
        """Guards against a task that fails at once and takes all processor time."""

        async def fail():
            raise OverflowError("too large")

        self.app.supervise(fail, "example")
        await asyncio.sleep(0.3)
        failed = self.app.dump()["kernel"]["failed_tasks"]["example"]
        self.assertTrue(failed["paused"])
        self.assertLessEqual(failed["failures"], 3)

    async def test_stop_ends_a_paused_task(self):
        """Guards against a stop that waits for a task that keeps failing."""

        async def fail():
            raise OverflowError("too large")

        task = self.app.supervise(fail, "example")
        await asyncio.sleep(0.01)
        async with asyncio.timeout(MAX_RESTART_SECONDS / 2):
            await self.app.stop()
        self.assertTrue(task.done())

    async def test_start_hooks_of_a_late_extension_run_after_an_error(self):
        """Guards against an extension that stays off because its start failed once."""
        starts = []

        async def start():
            starts.append(1)
            if len(starts) == 1:
                raise OSError("the address is in use")

        module = types.ModuleType("late_extension")
        module.setup = lambda app: app.on_start(start)
        sys.modules["late_extension"] = module
        self.addCleanup(sys.modules.pop, "late_extension")
        with self.assertRaises(OSError):
            await self.app.load_extension("late_extension")
        for _ in range(2):
            await self.app.load_extension("late_extension")
        self.assertEqual(len(starts), 2)
