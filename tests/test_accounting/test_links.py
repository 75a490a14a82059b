"""Usage over the real links and roster of the daemons."""

import unittest
from types import SimpleNamespace

import msgspec
from loguru import logger

from camphorgate.accounting.windows import Part
from tests.control_cluster import Cluster
from tests.faulty_network import eventually


class _UsageCluster(Cluster):
    def _build(self, instance_id):
        app = super()._build(instance_id)
        app.setup_extension("camphorgated.ext.usage")
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
        """Return the calls in the parts that KV holds."""
        calls = {}
        for key, entry in self.kv.store.entries_by_key.items():
            if key.startswith(b"usage/") and b".frozen" not in key:
                # The first line of a stored value is the token of its write.
                value = entry["value"].split(b"\n", 1)[-1]
                part = msgspec.json.decode(value, type=Part)
                total = sum(row.calls for row in part.rows)
                calls[part.author] = calls.get(part.author, 0) + total
        return calls


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logger.disable("camphorgate.log")
        self.addCleanup(logger.enable, "camphorgate.log")
        self.cluster = await _UsageCluster(3).start(self)
        await self.cluster.settled(0)

    async def test_a_killed_daemon_is_handed_in_by_the_holder_in_another_zone(self):
        """Guards against batches, acknowledgements or incarnations that do not fit."""
        cluster = self.cluster
        author = cluster.usage("i-0").book.author
        # The first batch of a link may come before the link is usable.
        await cluster.use("i-0", 1)
        await eventually(lambda: cluster.usage("i-0").copying.holder != "")
        self.assertTrue(await cluster.use("i-0", 4))
        # With three instances in two zones, only i-1 is in the other zone.
        self.assertEqual(cluster.usage("i-0").copying.holder, "i-1")
        store = cluster.usage("i-1").copying.store
        self.assertIn(author, store.authors())
        cluster.usage("i-0").handing = None
        await cluster.stop_daemon("i-0")
        self.assertEqual(cluster.calls_by_author(), {})
        await cluster.start_daemon("i-0")
        await eventually(lambda: cluster.calls_by_author() == {author: 5})
        await eventually(lambda: author not in store.authors())
