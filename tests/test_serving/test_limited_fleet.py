"""Tests of limits in fleets of 8, 195 and 750 instances, in virtual time."""

import asyncio
import unittest

from camphorgated.serving import gossip
from tests.limited_fleet import RESTART_SECONDS, SIZES, LimitedFleet
from tests.limited_workers import CONTACT_SECONDS
from tests.virtual_time import run_fleet

UPSTREAMS = 10
WARMUP_SECONDS = 4.0
JUDGED_SECONDS = 8.0
MIN_USED_SHARE = 0.9
# Where instances are cut off or restarted, owners change.
MIN_USED_SHARE_DISTURBED = 0.7


class LimitedFleetTests(unittest.TestCase):
    """The sum over all instances keeps the limits, and what they allow is used."""

    def play(self, size, disturb=None, limit=2.0, limited=UPSTREAMS, loss=0.0, seed=1):
        """Play limits named by some upstreams, and return the fleet."""
        instances, zones, rate = size
        found = []

        async def run():
            fleet = LimitedFleet(instances, zones, UPSTREAMS, seed, loss)
            found.append(fleet)
            await asyncio.sleep(WARMUP_SECONDS)
            for upstream in fleet.upstreams[:limited]:
                upstream.limit = limit
            seconds = CONTACT_SECONDS + JUDGED_SECONDS
            operations = [fleet.load(rate, seconds)]
            if disturb is not None:
                operations.append(disturb(fleet))
            await asyncio.gather(*operations)
            await fleet.stop()

        run_fleet(run)
        return found[0]

    def check(self, fleet, least=MIN_USED_SHARE):
        """Check the bound, and the part of the limits that is used."""
        since = WARMUP_SECONDS + CONTACT_SECONDS
        self.assertEqual(fleet.excess(since), [])
        share = fleet.used_share(since, since + JUDGED_SECONDS)
        self.assertGreaterEqual(share, least)

    def test_all_upstreams_limited(self):
        """Guards against a sum over instances that grows with their number."""
        for size in SIZES:
            with self.subTest(instances=size[0]):
                self.check(self.play(size))

    def test_small_limits(self):
        """Guards against shares of a limit that are less than one request."""
        for size in SIZES[:1]:
            with self.subTest(instances=size[0]):
                self.check(self.play(size, limit=0.5))

    def test_lost_datagrams(self):
        """Guards against permits that are granted twice as a reply is lost."""
        for size in SIZES[:1]:
            with self.subTest(instances=size[0]):
                self.check(self.play(size, loss=0.2), MIN_USED_SHARE_DISTURBED)

    def test_restarts(self):
        """Guards against owners that change, and instances that know no limit."""

        async def restart(fleet):
            await asyncio.sleep(CONTACT_SECONDS + 1.0)
            numbers = list(range(len(fleet.instances)))
            fleet.random.shuffle(numbers)
            step = max(1, len(numbers) // 8)
            for begin in range(0, len(numbers), step):
                await fleet.restart(numbers[begin : begin + step])

        for size in SIZES[:2]:
            with self.subTest(instances=size[0]):
                self.check(self.play(size, restart), MIN_USED_SHARE_DISTURBED / 2)

    def test_replies_to_a_former_process_are_not_repeated(self):
        """Guards against permits that a process gets once more after its restart."""
        granted = []

        async def ask(instance, entry, until, interval):
            clock = asyncio.get_running_loop()
            count = 0
            while clock.time() < until:
                count += await instance.permits.request(entry, 0.0) is not None
                await asyncio.sleep(interval)
            return count

        async def run():
            fleet = LimitedFleet(4, 1, 1)
            await asyncio.sleep(WARMUP_SECONDS)
            entry = fleet.upstreams[0].entry
            fleet.upstreams[0].limit = 1.0
            for instance in fleet.instances:
                await fleet._send(instance, fleet.upstreams[0])
            for instance in fleet.instances:
                now = asyncio.get_running_loop().time()
                await ask(instance, entry, now + 8.0, 0.5)
                await fleet.restart([instance.number])
                while instance.limits.limit(entry) is None:
                    await asyncio.sleep(0.05)
                began = asyncio.get_running_loop().time()
                granted.append(await ask(instance, entry, began + 4.0, 0.05))
            await fleet.stop()

        run_fleet(run)
        self.assertLessEqual(max(granted), 6)

    def test_late_permits_are_used_once(self):
        """Guards against permits that are lost, or used twice, as replies are late."""

        async def delay(fleet):
            fleet.delay_factor = 150.0
            await asyncio.sleep(0.0)

        self.check(self.play(SIZES[0], delay), MIN_USED_SHARE_DISTURBED)

    def test_planned_stops(self):
        """Guards against an owner that still grants, or is asked, while it stops."""

        async def stop(fleet):
            await asyncio.sleep(CONTACT_SECONDS)
            for number in range(len(fleet.instances)):
                await fleet.stop_and_restart([number], 0.5)

        fleet = self.play(SIZES[0], stop)
        self.check(fleet, MIN_USED_SHARE_DISTURBED)

    def test_restart_of_all(self):
        """Guards against a fleet that forgets the limits at once."""

        async def restart(fleet):
            await asyncio.sleep(CONTACT_SECONDS + 1.0)
            await fleet.restart(range(len(fleet.instances)))

        for size in SIZES[:2]:
            with self.subTest(instances=size[0]):
                # Nobody grants permits until the instances know their peers.
                away = RESTART_SECONDS + gossip.WARMUP_SECONDS
                least = MIN_USED_SHARE * (1.0 - away / JUDGED_SECONDS)
                self.check(self.play(size, restart), least)

    def test_cut_instances(self):
        """Guards against instances that each side of a cut believes to be the owner."""

        async def cut(fleet):
            await asyncio.sleep(CONTACT_SECONDS + 1.0)
            size = len(fleet.instances)
            for share in (0.1, 0.4, 0.6):
                numbers = fleet.random.sample(range(size), max(1, int(size * share)))
                await fleet.cut(numbers, 2.0)
                await asyncio.sleep(1.0)

        for size in SIZES[:2]:
            with self.subTest(instances=size[0]):
                self.check(self.play(size, cut), MIN_USED_SHARE_DISTURBED / 2)


if __name__ == "__main__":
    unittest.main()
