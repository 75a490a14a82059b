"""Tests of the client of a store that comes back from an older copy."""

import asyncio
import time
from unittest import mock

from camphorgate.kv.errors import KvOutcomeUnknown, KvRefused, KvUnavailable
from camphorgate.kv.records import Put, absent, unchanged
from camphorgate.settings import split_address
from camphorgate_platform.store import HistoryLost, PlatformStore
from camphorgate_platform.store_era import add_era, parse_era
from tests.hosted import HostedCase


class StoreEraTests(HostedCase):
    """Revisions stay in one order, and nothing of an older era is believed."""

    async def asyncSetUp(self):
        """Connect a client."""
        await super().asyncSetUp()
        self.client = PlatformStore(split_address(self.store_address))
        self.addCleanup(self.client.close)

    async def write(self, key: str, value: bytes = b"x") -> int:
        """Write a key; return the revision."""
        done = await self.client.transact([], [Put(key, value)])
        self.assertTrue(done.succeeded)
        return done.revision

    async def lose_writes(self) -> tuple[int, int]:
        """Write before and after a copy, and come back from it.

        :returns: the revisions of the two writes.
        """
        kept = await self.write("camphorgate/kept")
        await asyncio.sleep(0.05)
        copied_at = time.monotonic()
        lost = await self.write("camphorgate/lost")
        self.store.restore(time.monotonic() - copied_at)
        return kept, lost

    async def test_revisions_increase_over_a_restore(self):
        """Guards against fencing numbers that are issued twice or go back."""
        kept, lost = await self.lose_writes()
        self.assertEqual(self.store.revision, kept)
        again = await self.client.get("camphorgate/kept")
        self.assertGreater(again.mod_revision, lost)
        self.assertGreater(await self.write("camphorgate/lost"), again.mod_revision)

    async def test_conditions_are_sent_as_the_store_states_revisions(self):
        """Guards against conditions that fail after a restore."""
        await self.lose_writes()
        await self.client.check("camphorgate/kept")
        revision = await self.write("camphorgate/a")
        put = Put("camphorgate/a", b"y")
        done = await self.client.transact([unchanged(put.key, revision)], [put])
        self.assertTrue(done.succeeded)
        done = await self.client.transact([absent("camphorgate/b")], [put])
        self.assertTrue(done.succeeded)

    async def test_condition_of_an_older_era_fails(self):
        """Guards against a condition that holds for a revision issued again."""
        _, lost = await self.lose_writes()
        await self.client.check("camphorgate/kept")
        self.store.put("camphorgate/lost", b"another")
        self.assertEqual(self.store.revision, lost)
        put = Put("camphorgate/lost", b"y")
        done = await self.client.transact([unchanged(put.key, lost)], [put])
        self.assertFalse(done.succeeded)

    async def test_write_across_a_restore_has_an_unknown_outcome(self):
        """Guards against believing a condition that another era checked."""
        await self.lose_writes()
        with self.assertRaises(KvOutcomeUnknown):
            await self.write("camphorgate/a")

    async def test_watch_of_an_older_era_reads_again(self):
        """Guards against a watch that misses what was issued again."""
        _, lost = await self.lose_writes()
        with self.assertRaises(HistoryLost):
            await self.client.watch_once("camphorgate/", lost, 0.1)
        with self.assertRaises(HistoryLost):
            await self.client.watch_once("camphorgate/", lost, 0.1)

    async def test_open_watch_sees_the_restored_list(self):
        """Guards against an old list beside a store that came back."""
        watch = self.client.watch("camphorgate/", lambda: 5.0)
        await anext(watch)
        await self.write("camphorgate/kept")
        await asyncio.sleep(0.05)
        await self.write("camphorgate/lost")
        while (await anext(watch)).entries[-1].key != "camphorgate/lost":
            pass
        following = asyncio.ensure_future(anext(watch))
        await asyncio.sleep(0.05)
        self.store.restore(0.08)
        with self.assertRaises(KvUnavailable):
            await following
        watch = self.client.watch("camphorgate/", lambda: 5.0)
        batch = await anext(watch)
        self.assertEqual([item.key for item in batch.entries], ["camphorgate/kept"])

    async def test_watch_from_a_lost_revision_reads_again(self):
        """Guards against a watch that waits for revisions which are issued again."""
        watch = self.client.watch("camphorgate/", lambda: 5.0)
        await anext(watch)
        await self.lose_writes()
        batch = await anext(watch)
        self.assertTrue(batch.complete)
        self.assertEqual([item.key for item in batch.entries], ["camphorgate/kept"])

    async def test_response_of_an_older_era_is_not_used(self):
        """Guards against a stale read or a late answer that brings back old values."""
        await self.lose_writes()
        await self.client.check("camphorgate/kept")
        with mock.patch.object(self.store, "era", 0):
            with self.assertRaises(KvUnavailable):
                await self.client.read_prefix("camphorgate/", stale=True)
            with self.assertRaises(KvOutcomeUnknown):
                await self.write("camphorgate/a")

    async def test_lease_of_an_older_era_is_neither_used_nor_renewed(self):
        """Guards against renewing another instance's lease with the same id."""
        lease = await self.client.grant(5.0)
        self.store.restore(1.0)
        other = PlatformStore(split_address(self.store_address))
        self.addCleanup(other.close)
        self.assertEqual(await other.grant(5.0), lease)
        self.assertIsNone(await self.client.renew(lease))
        with self.assertRaises(KvRefused):
            await self.client.transact([], [Put("camphorgate/a", b"x", lease)])
        await self.client.revoke(lease)
        self.assertIn(lease, self.store.leases_by_id)

    async def test_listeners_hear_of_a_new_era_once(self):
        """Guards against a new era that nobody is told of."""
        listener = mock.Mock()
        self.client.eras.add_listener(listener)
        await self.lose_writes()
        await self.client.check("camphorgate/kept")
        await self.client.check("camphorgate/kept")
        listener.assert_called_once_with(False)

    async def test_first_response_of_a_later_era_is_told_apart(self):
        """Guards against an instance that takes an old restore for a new one."""
        self.store.restore(1.0)
        listener = mock.Mock()
        self.client.eras.add_listener(listener)
        await self.client.check("camphorgate/kept")
        listener.assert_called_once_with(True)

    async def test_without_the_header_nothing_changes(self):
        """Guards against other revisions at a store that states no era."""
        self.store.sends_era = False
        revision = await self.write("camphorgate/a")
        self.assertEqual(revision, self.store.revision)
        self.assertEqual(add_era(2**41, 0), 2**41)
        self.assertIsNone(parse_era([(b"store-era", b"-1")]))
        self.assertIsNone(parse_era([(b"store-era", b"99999999999999999999")]))
