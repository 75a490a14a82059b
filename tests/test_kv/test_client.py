"""Tests of the key-value client against a simulated service with faults."""

import asyncio
import unittest
import unittest.mock

from camphorgate.clock import SystemClock
from camphorgate.kv import watcher
from camphorgate.kv.client import KvClient
from camphorgate.kv.errors import KvConflict, KvOutcomeUnknown, KvRefused, KvUnavailable
from camphorgate.kv.records import Put, Read, absent, unchanged
from camphorgate_standins.kv import KvStandin
from tests.serving import serve

# Nothing listens on port 1, so connections are refused immediately.
CLOSED_ADDRESS = "127.0.0.1:1"


class ClientCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = KvStandin()
        server = serve(self.standin.app())
        self.address = await self.enterAsyncContext(server)
        self.client = self.make_client(self.address)

    def make_client(self, *addresses, calls_per_second=1000.0, timeout=0.3):
        client = KvClient(addresses, SystemClock(), calls_per_second, timeout, seed=1)
        self.addAsyncCleanup(client.close)
        return client

    def arm(self, fault, **options):
        self.standin.faults.arm({"fault": fault, **options})


class ProbeTests(ClientCase):
    async def test_call_that_is_not_sent_does_not_use_up_the_probe(self):
        """Guards against an outage that lasts seconds longer than the service's."""
        transport = self.client._transport
        clock = unittest.mock.Mock()
        clock.monotonic.return_value = 1000.0
        transport._clock = clock
        while not transport.breaker.is_open:
            transport.breaker.record_failure(990.0)
        with unittest.mock.patch.object(transport, "budget") as budget:
            budget.try_acquire.return_value = 60.0
            with self.assertRaises(KvUnavailable):
                await self.client.get("k")
            budget.try_acquire.return_value = 0.0
            self.assertIsNone(await self.client.get("k"))


class WriteTests(ClientCase):
    async def test_write_faults_raise_distinct_errors(self):
        """Guards against reporting a write as not applied when that is uncertain."""
        cases = [("down", KvOutcomeUnknown), ("silent", KvOutcomeUnknown)]
        cases += [("lose_answers", KvOutcomeUnknown)]
        for fault, error in cases:
            with self.subTest(fault):
                client = self.make_client(self.address)
                self.arm(fault, count=1)
                with self.assertRaises(error):
                    await client.transact([absent("k")], [Put("k", b"v")])
        refused = self.make_client(CLOSED_ADDRESS)
        with self.assertRaises(KvUnavailable):
            await refused.transact([absent("k")], [Put("k", b"v")])
        with self.assertRaises(KvRefused):
            await self.client.transact([], [Put("k", b"v", lease=99)])

    async def test_write_on_a_reused_connection_is_sent_once(self):
        """Guards against aiosonic retrying a write after a disconnect."""
        await self.client.create("first", b"1")
        for fault in ("lose_answers", "down"):
            self.arm(fault, count=1)
            with self.assertRaises(KvOutcomeUnknown):
                await self.client.transact([], [Put("k", b"v")])
        self.assertEqual(self.standin.calls["txn"], 2)

    async def test_lost_response_is_resolved_by_reading(self):
        """Guards against a duplicate write or a conflict with the own write."""
        self.arm("lose_answers", count=1)
        result = await self.client.create("k", b"v")
        entry = await self.client.get("k")
        self.assertEqual((entry.value, entry.token), (b"v", result.token))
        self.assertEqual(entry.mod_revision, result.revision)
        self.assertEqual(self.standin.calls["txn"], 1)

    async def test_write_that_never_arrived_is_sent_again(self):
        """Guards against giving up a write because of one broken connection."""
        self.arm("down", count=2)
        await self.client.create("k", b"v")
        self.assertEqual((await self.client.get("k")).value, b"v")

    async def test_concurrent_write_raises_conflict(self):
        """Guards against two writers that both report success."""
        first = await self.client.create("k", b"1")
        with self.assertRaises(KvConflict) as caught:
            await self.client.create("k", b"2")
        self.assertFalse(caught.exception.may_have_applied)
        await self.client.replace("k", b"3", first.revision)
        self.arm("lose_answers", count=1)
        with self.assertRaises(KvConflict):
            await self.client.replace("k", b"4", first.revision)
        self.assertEqual((await self.client.get("k")).value, b"3")

    async def test_unresolved_outcome_is_reported_as_unknown(self):
        """Guards against a guessed outcome while the service stays unavailable."""
        self.arm("down")
        with self.assertRaises(KvOutcomeUnknown):
            await self.client.write_once([absent("k")], [Put("k", b"v")], seconds=0.3)

    async def test_late_response_is_not_assigned_to_the_next_call(self):
        """Guards against aiosonic reusing a connection after a timeout."""
        await self.client.create("a", b"1")
        await self.client.create("b", b"2")
        self.arm("slow", value=0.5)
        with self.assertRaises(KvUnavailable):
            await self.client.get("a")
        self.arm("none")
        entry = await self.client.get("b")
        self.assertEqual((entry.key, entry.value), ("b", b"2"))


class ReadTests(ClientCase):
    async def test_prefix_is_read_in_pages(self):
        """Guards against losing entries beyond the first page."""
        for number in range(5):
            await self.client.create(f"p/{number}", b"x")
        await self.client.create("q", b"x")
        with unittest.mock.patch("camphorgate.kv.client.MAX_PAGE_ENTRIES", 2):
            entries = await self.client.get_prefix("p/")
        self.assertEqual([e.key for e in entries], [f"p/{n}" for n in range(5)])

    async def test_read_fails_over_to_a_working_address(self):
        """Guards against an outage because one of several addresses is unreachable."""
        client = self.make_client(CLOSED_ADDRESS, self.address)
        for _ in range(5):
            self.assertIsNone(await client.get("k"))

    async def test_transaction_returns_the_entries_it_reads(self):
        """Guards against losing values that a transaction read."""
        made = await self.client.create("k", b"v")
        condition = [unchanged("k", made.revision)]
        result = await self.client.transact(condition, [Read("k")])
        self.assertEqual(result.entries_by_key["k"].value, b"v")

    async def test_long_outage_leaves_no_queue(self):
        """Guards against a burst of queued calls when the service recovers."""
        self.arm("down")
        for _ in range(3):
            with self.assertRaises(KvUnavailable):
                await self.client.get("k")
        self.assertTrue(self.client.in_outage)
        results = await asyncio.gather(
            *(self.client.get("k") for _ in range(200)), return_exceptions=True
        )
        self.assertTrue(all(isinstance(r, KvUnavailable) for r in results))
        # One probe may be sent, with its second attempt.
        sent = sum(self.client.statistics()["calls"].values())
        self.assertLessEqual(sent, 8)
        self.arm("none")
        async with asyncio.timeout(10):
            while self.client.in_outage:
                await asyncio.sleep(0.05)
                try:
                    await self.client.get("k")
                except KvUnavailable:
                    continue


class LeaseTests(ClientCase):
    async def test_revoking_a_lease_deletes_its_keys(self):
        """Guards against a key that outlives its lease."""
        lease = await self.client.grant(10)
        await self.client.create("k", b"v", lease)
        self.assertEqual(await self.client.renew(lease), 10)
        await self.client.revoke(lease)
        self.assertIsNone(await self.client.get("k"))
        self.assertIsNone(await self.client.renew(lease))


class WatchTests(ClientCase):
    async def next_batch(self, watch):
        async with asyncio.timeout(10):
            return await anext(watch)

    async def test_changes_arrive_in_order(self):
        """Guards against missing a change between the read and the watch."""
        await self.client.create("p/a", b"1")
        watch = self.client.watch("p/")
        self.addAsyncCleanup(watch.aclose)
        first = await self.next_batch(watch)
        self.assertTrue(first.complete)
        await self.client.create("p/b", b"2")
        await self.client.delete("p/a")
        second = await self.next_batch(watch)
        third = await self.next_batch(watch)
        self.assertEqual([e.key for e in second.entries], ["p/b"])
        self.assertEqual(third.deleted, ("p/a",))

    async def test_watch_recovers_from_idle_and_broken_connections(self):
        """Guards against a watch that hangs on a dead connection."""
        with unittest.mock.patch.object(watcher, "IDLE_TIMEOUT_SECONDS", 0.2):
            watch = self.client.watch("p/")
            self.addAsyncCleanup(watch.aclose)
            await self.next_batch(watch)
            for fault in ("silent", "down"):
                with self.subTest(fault):
                    self.arm(fault, seconds=0.4)
                    await asyncio.sleep(0.3)
                    self.standin.store.revision += 1
                    self.standin.store.put(b"p/" + fault.encode(), b"x", 0)
                    keys = set()
                    while f"p/{fault}" not in keys:
                        batch = await self.next_batch(watch)
                        keys = {entry.key for entry in batch.entries}


if __name__ == "__main__":
    unittest.main()
