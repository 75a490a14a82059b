"""Tests of the calls to a store in trouble, and of the time after it."""

import asyncio
from unittest import mock

from camphorgate.serving.watch_schedule import MAX_WATCH_SECONDS
from camphorgated.serving.watches import CHECK_SECONDS, Watches
from tests.hosted import HostedCase

# Most of them are neither watchers nor the next to become one.
INSTANCES = 12
# The bound on a change of the smallest deployments.
CHANGE_SECONDS = 2.0


class StoreTroubleTests(HostedCase):
    """Calls to a store in trouble do not rise above those in calm."""

    async def start_fleet(self):
        """Start instances of a zone; return them once one holds the duty."""
        self.configure()
        await self.add_worker("desk-1")
        apps = [
            await self.start_ready(
                instance_id=f"entry-{number}",
                times={"lease_seconds": 3.0, "usage_window_seconds": 1.0},
            )
            for number in range(INSTANCES)
        ]
        await self.eventually(lambda: self.holds_duty(apps), seconds=10.0)
        # Surplus watchers of the start stop after their grace of 3 s.
        await asyncio.sleep(5.0)
        return apps

    @staticmethod
    def holds_duty(apps) -> bool:
        """Return whether one instance holds the duty."""
        return sum(app.service("members").holds_duty() for app in apps) == 1

    async def count_calls(self, seconds: float) -> int:
        """Return the number of calls that arrive at the store in a time."""
        before = self.store.calls_by_path.copy()
        await asyncio.sleep(seconds)
        return (self.store.calls_by_path - before).total()

    async def check_trouble(self, fault: str) -> None:
        """Compare the calls in calm, in trouble and afterwards."""
        apps = await self.start_fleet()
        calm = await self.count_calls(6.0)
        self.store.faults.arm({"fault": fault, "seconds": 6.0})
        trouble = await self.count_calls(6.0)
        self.configure(2)
        began_at = asyncio.get_running_loop().time()
        after = asyncio.ensure_future(self.count_calls(6.0))
        await self.eventually(
            lambda: all(app.service("directory").catalog.version == 2 for app in apps),
            seconds=8.0,
        )
        spread = asyncio.get_running_loop().time() - began_at
        await self.eventually(lambda: self.holds_duty(apps), seconds=8.0)
        counts = {"calm": calm, "trouble": trouble, "after": await after}
        self.assertLessEqual(trouble, calm, counts)
        # The leases of most have lapsed: each lists itself again by two calls.
        self.assertLessEqual(counts["after"], 2.0 * calm, counts)
        self.assertLess(spread, CHANGE_SECONDS)

    async def test_busy_store_gets_no_more_calls_than_in_calm(self):
        """Guards against retries that keep a busy store busy.

        Seen at customer B: calls rose to four times those of calm days.
        """
        await self.check_trouble("busy")

    async def test_store_that_resets_connections_gets_no_more_calls(self):
        """Guards against retries that fail at once and repeat at once."""
        await self.check_trouble("down")

    async def test_regained_watches_are_not_opened_again(self):
        """Guards against reads of every list that calls before the recovery cause.

        Their failure says nothing about the connections that were opened afterwards.
        """
        self.configure()
        app = await self.start_ready(times={"lease_seconds": 1.5})
        directory = app.service("directory")
        await self.eventually(app.service("members").holds_duty)
        # Watches that were opened again less than a watch ago are left alone anyway.
        seconds = MAX_WATCH_SECONDS + 1.0
        self.store.faults.arm({"fault": "down", "seconds": seconds})
        await self.eventually(lambda: not directory.watches.sound)
        with mock.patch.object(Watches, "restart") as restart:
            await self.eventually(
                lambda: directory.watches.sound, seconds=seconds + 4.0
            )
            await asyncio.sleep(3 * CHECK_SECONDS)
        restart.assert_not_called()
