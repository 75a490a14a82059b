"""Tests of the usage extension with a key-value stand-in, faults and kills."""

import asyncio
import unittest

from loguru import logger

from camphorgate.kv.errors import KvError
from camphorgate_standins.kv import KvStandin
from tests.serving import serve
from tests.test_accounting.cluster import RETAINED_WINDOWS, run_cluster


class UsageTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logger.disable("camphorgate.log")
        self.addCleanup(logger.enable, "camphorgate.log")
        self.standin = KvStandin()
        address = await self.enterAsyncContext(serve(self.standin.app()))
        self.cluster = await self.enterAsyncContext(run_cluster(address))
        self.a, self.b, self.c = self.cluster.instances_by_id.values()

    async def finish_window(self):
        self.cluster.clock.skip_window()
        await self.cluster.hand_in()
        await self.cluster.report()

    async def retry_until_recovered(self, action):
        """Repeat an action until the key-value client has recovered."""
        async with asyncio.timeout(20):
            while True:
                try:
                    return await action()
                except KvError:
                    await asyncio.sleep(0.05)

    async def test_windows_are_reported_once_with_all_usage(self):
        """Guards against missing usage, and against reports that differ."""
        for number, instance in enumerate((self.a, self.b, self.c)):
            self.assertTrue(await instance.use("north", 1 + number))
            self.assertTrue(await instance.use("south"))
        await self.finish_window()
        expected = {"north": 6, "south": 3}
        self.assertEqual(self.cluster.calls_by_workspace(), expected)
        first = list(self.cluster.reports)
        # A second reporter that also believes it holds the duty adds no new report.
        self.cluster.reporters = {"a", "c"}
        await self.cluster.report()
        self.assertEqual(self.cluster.reports, first)
        self.assertEqual(self.c.usage.dump()["unprotected_requests"], 0)

    async def test_a_reporter_at_rest_makes_no_calls(self):
        """Guards against reading KV every two seconds while no window has ended."""
        await self.a.use("north")
        await self.finish_window()
        before = dict(self.standin.calls)
        await self.cluster.report()
        self.assertEqual(dict(self.standin.calls), before)

    async def test_a_kill_loses_nothing_that_was_acknowledged(self):
        """Guards against losing acknowledged usage when a process is killed."""
        for instance in (self.a, self.b, self.c):
            self.assertTrue(await instance.use("north"))
        for restarted in (False, True):
            with self.subTest(restarted=restarted):
                victim = "b" if restarted else "a"
                self.assertTrue(
                    await self.cluster.instances_by_id[victim].use("south", 5)
                )
                await self.cluster.kill(victim)
                if restarted:
                    await self.cluster.start(victim, f"zone-{victim}")
                else:
                    self.cluster.platform_states[victim] = "gone"
                # Hand in the copy before its holder is killed as well.
                await self.cluster.hand_in()
        await self.finish_window()
        expected = {"north": 3, "south": 10}
        self.assertEqual(self.cluster.calls_by_workspace(), expected)

    async def test_a_window_waits_for_a_silent_instance(self):
        """Guards against freezing a window without a paused instance's part."""
        self.assertTrue(await self.a.use("north"))
        self.cluster.clock.skip_window()
        await self.b.usage.hand_in_writer.hand_in_own()
        await self.c.usage.hand_in_writer.hand_in_own()
        await self.cluster.report()
        self.assertEqual(self.cluster.reports, [])
        self.assertEqual(self.c.usage.dump()["waiting_for"], [self.a.usage.book.author])
        await self.a.usage.hand_in_writer.hand_in_own()
        await self.cluster.report()
        self.assertEqual(self.cluster.calls_by_workspace(), {"north": 1})

    async def test_an_author_that_is_wrongly_called_gone_is_counted_once(self):
        """Guards against double counting when the platform's list is wrong."""
        self.assertTrue(await self.a.use("north", 2))
        self.cluster.platform_states["a"] = "gone"
        await self.b.usage.hand_in_writer.hand_in_orphans()
        await self.c.usage.hand_in_writer.hand_in_orphans()
        await self.a.use("north", 3)
        await self.finish_window()
        await self.a.use("north", 4)
        await self.finish_window()
        await self.finish_window()
        self.assertEqual(self.cluster.calls_by_workspace(), {"north": 9})

    async def test_outages_and_lost_answers_change_no_figure(self):
        """Guards against retries that lose a part or write it twice."""
        await self.a.use("north")
        self.standin.faults.arm({"fault": "down"})
        with self.assertRaises(KvError):
            await self.finish_window()
        self.assertTrue(await self.a.use("north"))
        self.standin.faults.arm({"fault": "none"})
        self.standin.faults.arm({"fault": "lose_answers", "count": 2})
        self.cluster.clock.skip_window()
        await self.retry_until_recovered(self.cluster.hand_in)
        await self.retry_until_recovered(self.cluster.report)
        self.assertEqual(self.cluster.calls_by_workspace(), {"north": 2})

    async def test_a_silent_holder_delays_an_answer_by_a_bounded_time(self):
        """Guards against requests that wait forever for a copy of their usage."""
        holder = self.a.usage.replicator.holder or "b"
        for peer in ("b", "c"):
            self.cluster.silent_links.add(frozenset(("a", peer)))
        begun = asyncio.get_running_loop().time()
        self.assertFalse(await self.a.use("north"))
        self.assertLess(asyncio.get_running_loop().time() - begun, 3.0)
        self.assertEqual(self.a.usage.dump()["unprotected_requests"], 1)
        self.assertIn(holder, ("b", "c"))

    async def test_a_lost_holder_is_replaced_by_one_that_gets_everything(self):
        """Guards against a new copy without the usage that the former holder had."""
        self.assertTrue(await self.a.use("north", 3))
        holder = self.a.usage.replicator.holder
        await self.cluster.kill(holder)
        self.cluster.platform_states[holder] = "gone"
        self.assertTrue(await self.a.use("south", 1))
        other = self.a.usage.replicator.holder
        self.assertNotEqual(other, holder)
        await self.cluster.kill("a")
        self.cluster.platform_states["a"] = "gone"
        self.cluster.reporters = {other}
        await self.finish_window()
        self.assertEqual(self.cluster.calls_by_workspace(), {"north": 3, "south": 1})

    async def test_a_stop_hands_in_the_open_window(self):
        """Guards against windows that wait for a stopped instance."""
        self.assertTrue(await self.a.use("north"))
        await self.a.usage.stop()
        await self.cluster.kill("a")
        await self.finish_window()
        self.assertEqual(self.cluster.calls_by_workspace(), {"north": 1})

    async def test_what_is_past_its_retention_is_deleted(self):
        """Guards against records of ended processes that pile up in KV."""
        await self.a.use("north")
        await self.a.usage.stop()
        await self.cluster.kill("a")
        self.cluster.platform_states["a"] = "gone"
        for _ in range(RETAINED_WINDOWS + 3):
            await self.b.use("south")
            await self.finish_window()
        keys = [key.decode() for key in self.standin.store.entries_by_key]
        self.assertEqual([key for key in keys if "/a" in key], [])
        windows = {key.split("/")[1] for key in keys if key.startswith("usage/")}
        self.assertLessEqual(len(windows), RETAINED_WINDOWS + 1)
        # No window waits for the deleted author.
        self.assertEqual(self.c.usage.dump()["waiting_for"], [])
        calls = self.cluster.calls_by_workspace()
        self.assertEqual(calls, {"north": 1, "south": RETAINED_WINDOWS + 3})
