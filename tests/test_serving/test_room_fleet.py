"""Tests of shared slots in fleets of 8 and 87 instances, in virtual time.

4 upstreams of 6 slots serve 267 requests a second of 90 ms each.
"""

import asyncio
import unittest

from camphorgate.serving.settings import RoomSettings
from camphorgated.serving.messages import RoomLoans, RoomRequest, RoomReturn
from tests.room_fleet import CALL_SECONDS, RoomFleet
from tests.virtual_time import run_fleet

ZONES, UPSTREAMS = 4, 4
WARMUP_SECONDS = 4.0
FAULT_SECONDS = 1.5
# Turnover of a slot takes about 5 ms of network time for each 90 ms request.
MAX_FREE_SHARE = 0.08


def play(
    load,
    instances=87,
    fault=None,
    seconds=5.0,
    labels=lambda generator: {},
    upstreams=UPSTREAMS,
    **options,
):
    """Return a fleet after a load, as a part of the capacity."""
    found = []

    async def run():
        fleet = RoomFleet(instances, ZONES, upstreams, **options)
        found.append(fleet)
        await asyncio.sleep(WARMUP_SECONDS)
        capacity = fleet.slots / CALL_SECONDS

        def rate(now):
            part = load(now - WARMUP_SECONDS) if callable(load) else load
            return part * capacity

        async def disturb():
            await asyncio.sleep(FAULT_SECONDS)
            if fault is not None:
                await fault(fleet)

        await asyncio.gather(fleet.load_calls(rate, seconds, labels), disturb())
        await fleet.stop()

    run_fleet(run)
    return found[0]


async def kill(fleet):
    """Kill the owner and start it again."""
    await fleet.restart([fleet.owner().number])


async def pause(fleet):
    """Pause the owner."""
    await fleet.owner().pause(2.0)


async def cut_off(fleet):
    """Cut the owner off from its peers."""
    await fleet.cut([fleet.owner().number], 2.0)


async def move(fleet):
    """Stop the owner as planned, so that another one takes over."""
    await fleet.stop_and_restart([fleet.owner().number], 2.0)


class RoomFleetTests(unittest.TestCase):
    """Slots are used as long as requests wait, and full upstreams get none."""

    def test_calm(self):
        """Guards against delays and refusals where there is room for all."""
        for instances in (8, 87):
            fleet = play(0.3, instances)
            self.assertEqual(fleet.shares(), {None: 1.0})
            self.assertEqual(fleet.refused_sends, 0)
            seconds = sorted(seconds for *_, seconds in fleet.results)
            # The request itself takes 90 ms and up to 3 ms of network time.
            self.assertLess(seconds[len(seconds) // 2], CALL_SECONDS + 0.006)

    def test_busy(self):
        """Guards against refusals by some upstreams while others have room."""
        fleet = play(0.85)
        self.assertGreater(fleet.shares()[None], 0.99)
        self.assertEqual(fleet.refused_sends, 0)
        former = play(0.85, settings=RoomSettings(enabled=False))
        self.assertGreater(former.refused_sends, 100)

    def test_burst(self):
        """Guards against capacity that is lost when there is too little."""
        fleet = play(lambda now: 1.5 if 1.0 < now < 4.0 else 0.3, seconds=6.0)
        self.assertEqual(fleet.refused_sends, 0)
        self.assertLess(fleet.free_share_while_waiting(), MAX_FREE_SHARE)
        during = [item for item in fleet.results if 1.0 < item[0] - WARMUP_SECONDS < 4]
        served = sum(result == "served" for _, _, result, _ in during)
        self.assertGreater(served / len(during), 0.9 / 1.5)
        # Whatever is sent is worth it, and nothing is refused that could be served.
        late = [seconds for *_, result, seconds in during if result == "served"]
        self.assertLess(max(late), 0.418)
        free = fleet.refused_with_free
        mean = sum(count * seen for count, seen in free.items()) / free.total()
        self.assertLess(mean, MAX_FREE_SHARE * fleet.slots)
        after = fleet.shares(since=WARMUP_SECONDS + 4.5)
        self.assertEqual(after, {None: 1.0})

    def test_owner_fails(self):
        """Guards against requests that are lost, late or sent twice with an owner."""
        for fault in (kill, pause, cut_off, move):
            for load, least in ((0.3, 0.99), (0.8, 0.96), (1.5, 0.58)):
                with self.subTest(fault=fault.__name__, load=load):
                    fleet = play(load, fault=fault)
                    self.assertLessEqual(max(fleet.runs_by_request.values()), 1)
                    self.assertGreater(fleet.shares()[None], least)
                    self.assertLess(fleet.refused_sends, 0.15 * fleet.sends)

    def test_lost_datagrams(self):
        """Guards against slots that stay lent as their return is lost."""
        fleet = play(0.8, loss=0.05)
        self.assertGreater(fleet.shares()[None], 0.97)
        self.assertLess(fleet.refused_sends, 0.06 * fleet.sends)

    def test_traffic(self):
        """Guards against messages that grow with the number of instances."""
        for instances in (8, 87, 390):
            fleet = play(0.3, instances)
            # At most two requests, replies and returns, and two lists of loans.
            self.assertLess(fleet.sent_bytes / len(fleet.results), 700, instances)

    def test_owner_that_is_heard_but_does_not_reply(self):
        """Guards against requests sent back to an owner that answers none of them."""

        async def deafen(fleet):
            owner = fleet.owner()
            for kind in (RoomRequest, RoomReturn, RoomLoans):
                owner.handlers[kind] = lambda message: None

        fleet = play(0.7, fault=deafen)
        self.assertGreater(fleet.shares()[None], 0.97)
        self.assertLess(fleet.refused_sends, 0.1 * fleet.sends)

    def test_owners_that_are_held_up(self):
        """Guards against owners that change as a small machine pauses for 60 ms."""

        async def hold_up(fleet):
            owner = fleet.owner()
            for _ in range(6):
                await owner.pause(0.06)
                await asyncio.sleep(0.4)

        fleet = play(0.8, fault=hold_up)
        self.assertGreater(fleet.shares()[None], 0.98)
        self.assertLess(fleet.refused_sends, 0.05 * fleet.sends)

    def test_large_service(self):
        """Guards against one owner for all, and against zones that are left full."""
        fleet = play(0.8, 195, seconds=2.0, upstreams=20)
        self.assertGreater(fleet.shares()[None], 0.99)
        self.assertEqual(fleet.refused_sends, 0)
        owners = [item.room_owner.dump()["groups"] for item in fleet.instances]
        self.assertGreaterEqual(sum(map(bool, owners)), 3)


class CallerTests(unittest.TestCase):
    """What callers get at 1.5 times the capacity."""

    def test_ranks(self):
        """Guards against urgent requests refused while others are served."""
        fleet = play(1.5, labels=lambda r: {"rank": r.choice((0, 1, 1, 2, 2))})
        shares = fleet.shares("rank", WARMUP_SECONDS + 0.5)
        self.assertGreater(shares[0], 0.97)
        self.assertGreater(shares[1], 0.9)
        self.assertLess(shares[2], shares[1])

    def test_workspaces(self):
        """Guards against one workspace whose crowd displaces all others."""

        def choose(generator):
            crowd = generator.random() < 0.6
            number = generator.randrange(12)
            return {"workspace": "crowd" if crowd else f"w{number}"}

        shares = play(1.5, labels=choose).shares("workspace", WARMUP_SECONDS + 1.0)
        crowd = shares.pop("crowd")
        self.assertGreater(sum(shares.values()) / len(shares), 0.9)
        self.assertGreater(crowd, 0.2)

    def test_sizes(self):
        """Guards against the largest tenth that never gets a slot."""

        def choose(generator):
            return {"size": 2.0 if generator.random() < 0.1 else 0.9}

        shares = play(1.5, labels=choose).shares("size", WARMUP_SECONDS + 1.0)
        self.assertGreater(shares[2.0], 0.15)
        self.assertGreater(shares[0.9], 0.5)
