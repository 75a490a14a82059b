"""Tests of usage accounting over real links between daemons."""

import asyncio
import unittest
import unittest.mock
from types import SimpleNamespace

import msgspec
from loguru import logger

from camphorgate.accounting.windows import Part
from camphorgated.ext.usage import service
from camphorgated.ext.usage.timing import UsageTiming
from tests.control_cluster import Cluster
from tests.faulty_network import eventually


class _UsageCluster(Cluster):
    def _build(self, instance_id):
        app = super()._build(instance_id)
        for name in ("duties", "usage"):
            app.setup_extension(f"camphorgated.ext.{name}")
        return app

    def usage(self, instance_id):
        return self.daemons_by_id[instance_id].app.service("usage")

    async def use(self, instance_id, calls):
        entry = SimpleNamespace(
            workspace="north",
            model="assistant",
            service="",
            calls=calls,
            prompt_tokens=0,
            output_tokens=0,
        )
        usage = self.usage(instance_id)
        usage.record(entry)
        return await usage.durable(entry)

    def calls_by_author(self):
        """Return the number of calls in the stored parts, by author."""
        calls = {}
        for key, entry in self.kv.store.entries_by_key.items():
            if key.startswith(b"usage/"):
                # The first line of a stored value is the token of its write.
                value = entry["value"].split(b"\n", 1)[-1]
                part = msgspec.json.decode(value, type=Part)
                total = sum(row.calls for row in part.rows)
                calls[part.author] = calls.get(part.author, 0) + total
        return calls

    def calls_by_report(self):
        """Return the calls in the first report of each window and shard."""
        calls = {}
        for window in self.platform.windows:
            total = sum(row["calls"] for row in window["figures"]["usage"])
            calls.setdefault(window["window"], total)
        return calls


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logger.disable("camphorgate.log")
        self.addCleanup(logger.enable, "camphorgate.log")

    async def start(self, window_seconds):
        self.cluster = _UsageCluster(3)
        self.cluster.usage_window_seconds = window_seconds
        await self.cluster.start(self)
        await self.cluster.wait_until_settled(0)

    async def test_a_killed_daemon_is_handed_in_by_the_holder_in_another_zone(self):
        """Guards against mismatched batches, acknowledgements or incarnations."""
        # The window is too long to end during the test.
        await self.start(window_seconds=10**6)
        cluster = self.cluster
        author = cluster.usage("i-0").book.author
        # The first batch may be sent before the link is usable.
        await cluster.use("i-0", 1)
        # With three instances in two zones, only i-1 is in the other zone. Its link may
        # open after that to i-2, which holds the copy until then.
        await eventually(lambda: cluster.usage("i-0").replicator.holder == "i-1")
        self.assertTrue(await cluster.use("i-0", 4))
        self.assertEqual(cluster.usage("i-0").replicator.holder, "i-1")
        store = cluster.usage("i-1").replicator.store
        self.assertIn(author, store.authors())
        cluster.usage("i-0").hand_in_writer = None
        await cluster.stop_daemon("i-0")
        self.assertEqual(cluster.calls_by_author(), {})
        await cluster.start_daemon("i-0")
        await eventually(lambda: cluster.calls_by_author() == {author: 5})
        await eventually(lambda: author not in store.authors())

    async def test_a_holder_in_the_own_zone_yields_to_one_in_another(self):
        """Guards against a copy that stays in its author's zone and is lost with it."""
        await self.start(window_seconds=10**6)
        cluster = self.cluster
        cluster.partition({"i-0", "i-2"}, {"i-1", "i-2"})
        replicator = cluster.usage("i-0").replicator
        await eventually(lambda: replicator.holder == "i-2")
        await cluster.use("i-0", 3)
        self.assertEqual(replicator.holder, "i-2")
        cluster.heal()
        await eventually(lambda: replicator.holder == "i-1")
        self.assertTrue(await cluster.use("i-0", 4))
        author = cluster.usage("i-0").book.author
        cluster.usage("i-0").hand_in_writer = None
        await cluster.stop_daemon("i-0")
        await cluster.start_daemon("i-0")
        # Both holders hand in their copies, but the usage counts once.
        await eventually(lambda: cluster.calls_by_author() == {author: 7})

    async def test_a_later_instance_takes_the_window_length_of_the_system(self):
        """Guards against instances that disagree on where windows start and end."""
        await self.start(window_seconds=60)
        await self.cluster.stop_daemon("i-2")
        self.cluster.usage_window_seconds = 10
        await self.cluster.start_daemon("i-2")
        lengths = {self.cluster.usage(name).window_seconds for name in self.cluster.ids}
        self.assertEqual(lengths, {60})

    async def test_the_holders_of_the_duties_report_every_window(self):
        """Guards against report orders that the duties or the platform reject."""
        patched = unittest.mock.patch.object(service, "UsageTiming", _quick_timing)
        self.enterContext(patched)
        await self.start(window_seconds=1)
        cluster = self.cluster
        await cluster.submit("i-0", 0)
        recorded = 0
        for calls in range(1, 7):
            for instance_id in cluster.ids:
                await cluster.use(instance_id, calls)
                recorded += calls
            await asyncio.sleep(0.3)
        reported = cluster.calls_by_report
        await eventually(
            lambda: sum(reported().values()) == recorded, 30.0, "all is reported"
        )
        # All reports of the same window carry the same figures.
        for window in cluster.platform.windows:
            rows = window["figures"]["usage"]
            calls = sum(row["calls"] for row in rows)
            self.assertEqual(reported()[window["window"]], calls)


def _quick_timing():
    return UsageTiming(
        hand_in_interval_seconds=0.2,
        close_delay_seconds=0.3,
        report_interval_seconds=0.3,
    )
