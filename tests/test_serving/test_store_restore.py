"""Tests of a fleet whose store comes back from an older copy."""

import asyncio
import base64
import json
import unittest

from camphorgate.serving.store_eras import REVISION_BITS, Restores
from camphorgate.serving.upstream_table import UpstreamTable
from tests.hosted import HostedCase
from tests.hosting_builders import (
    build_listed_upstream,
    build_platform_configuration,
    build_platform_entry,
)

LEASE_SECONDS = 1.5
ERA = 1 << REVISION_BITS


class RestoredTableTests(unittest.TestCase):
    """The copy of the list does not bring back upstreams that had left."""

    def setUp(self):
        """Create a table."""
        self.table = UpstreamTable()

    def test_copied_entry_of_a_leaving_upstream_stays_leaving(self):
        """Guards against requests to a drained upstream after a restore."""
        self.table.apply_entry(build_listed_upstream(revision=9, leaving=True))
        self.table.apply_entry(build_listed_upstream(revision=ERA + 5))
        self.assertEqual(self.table.usable("models"), [])
        self.table.apply_entry(build_listed_upstream(revision=ERA + 6))
        self.assertEqual(len(self.table.usable("models")), 1)

    def test_copied_entry_of_a_removed_upstream_is_not_used(self):
        """Guards against requests to a removed upstream after a restore."""
        self.table.apply_entry(build_listed_upstream(revision=5))
        self.table.apply_removal("u1", 7, 0.0, True)
        self.table.apply_entry(build_listed_upstream(revision=ERA + 5))
        self.assertEqual(self.table.usable("models"), [])
        self.table.apply_entry(build_listed_upstream(revision=ERA + 8, started_at=2))
        self.assertEqual(len(self.table.usable("models")), 1)

    def test_new_incarnation_is_used_at_once(self):
        """Guards against an upstream that stays idle because its id had left."""
        self.table.apply_entry(build_listed_upstream(revision=9, leaving=True))
        self.table.apply_entry(build_listed_upstream(revision=ERA + 5, started_at=2))
        self.assertEqual(len(self.table.usable("models")), 1)


class RestoresTests(unittest.TestCase):
    """A duty is taken only when no holder of an older era may act."""

    def test_duty_waits_for_the_length_of_a_lease(self):
        """Guards against two holders, one of an older era."""
        restores = Restores()
        self.assertTrue(restores.may_take_duty(3.0, 0.0))
        restores.record(10.0)
        self.assertFalse(restores.may_take_duty(3.0, 13.0))
        self.assertTrue(restores.may_take_duty(3.0, 13.6))


class StoreRestoreTests(HostedCase):
    """Instances notice the new era, list themselves again and keep what they know."""

    async def start_fleet(self, number: int = 3):
        """Start instances; return them, the holder of the duty first."""
        self.configure()
        await self.add_worker("desk-1")
        apps = [
            await self.start_ready(instance_id=f"entry-{item}")
            for item in range(number)
        ]
        await self.eventually(
            lambda: any(app.service("members").holds_duty() for app in apps)
        )
        await self.wait_for_peers(apps)
        return sorted(apps, key=lambda app: not app.service("members").holds_duty())

    async def test_duty_is_dropped_at_once_and_taken_after_a_lease(self):
        """Guards against a holder of a new era beside one of the older."""
        apps = await self.start_fleet()
        members = [app.service("members") for app in apps]
        first = members[0].fencing
        self.store.restore(0.2)
        clock = asyncio.get_running_loop()
        restored_at = clock.time()
        await self.eventually(lambda: not members[0].holds_duty(), seconds=0.9)
        await self.eventually(lambda: any(item.holds_duty() for item in members))
        self.assertGreaterEqual(clock.time() - restored_at, LEASE_SECONDS)
        self.assertGreater(max(item.fencing for item in members), first)
        listed = {f"camphorgate/members/{app.settings.instance_id}" for app in apps}
        await self.eventually(lambda: listed <= self.store.items_by_key.keys())

    async def test_entry_of_an_older_lease_does_not_keep_the_duty(self):
        """Guards against a duty that nobody holds because the copy has its key."""
        apps = await self.start_fleet(2)
        members = [app.service("members") for app in apps]
        item = self.store.items_by_key["camphorgate/duty"]
        self.store.restore(0.2)
        await asyncio.sleep(0.3)
        self.store.put("camphorgate/duty", base64.b64decode(item["value"]), 1)
        await self.eventually(
            lambda: any(item.holds_duty() for item in members), seconds=8.0
        )

    async def test_configuration_does_not_go_back(self):
        """Guards against an older configuration in any process."""
        apps = await self.start_fleet(2)
        directories = [app.service("directory") for app in apps]
        await asyncio.sleep(0.5)
        self.configure(2)
        await self.eventually(lambda: all(d.catalog.version == 2 for d in directories))
        self.store.restore(0.3, rewrite=1.0)
        until = asyncio.get_running_loop().time() + 1.5
        while asyncio.get_running_loop().time() < until:
            self.assertEqual([d.catalog.version for d in directories], [2, 2])
            await asyncio.sleep(0.02)
        stored = json.loads(json.dumps(build_platform_configuration(3)))
        self.store.put("op/config", json.dumps(stored).encode())
        await self.eventually(lambda: all(d.catalog.version == 3 for d in directories))

    async def test_upstreams_missing_from_the_copy_are_in_doubt(self):
        """Guards against dropping upstreams that are written again in a moment."""
        apps = await self.start_fleet(2)
        tables = [app.service("directory").table for app in apps]
        await asyncio.sleep(0.5)
        await self.add_worker("desk-2")
        await self.eventually(lambda: all(len(table.by_id) == 2 for table in tables))
        self.store.restore(0.3, rewrite=1.2)
        await self.eventually(lambda: any(table.doubted_entries() for table in tables))
        await asyncio.sleep(0.5)
        self.assertEqual([len(table.by_id) for table in tables], [2, 2])
        await self.eventually(
            lambda: not any(table.doubted_entries() for table in tables)
        )
        self.assertEqual([len(table.by_id) for table in tables], [2, 2])

    async def test_drained_upstream_is_not_used_after_a_restore(self):
        """Guards against a copy from before the drain."""
        apps = await self.start_fleet(2)
        tables = [app.service("directory").table for app in apps]
        await asyncio.sleep(0.5)
        address = tables[0].by_id["desk-1"].address
        entry = build_platform_entry(address, state="draining")
        self.store.put("servers/desk-1", entry)
        await self.eventually(
            lambda: all(table.by_id["desk-1"].leaving for table in tables)
        )
        self.store.restore(0.3, rewrite=1.0)
        await self.eventually(
            lambda: all(table.revision >= ERA for table in tables), seconds=2.0
        )
        for _ in range(50):
            self.assertEqual([table.usable("desk") for table in tables], [[], []])
            await asyncio.sleep(0.02)
