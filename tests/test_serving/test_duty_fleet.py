"""Tests of the duty's holder in fleets of 2, 8, 195 and 750 instances, in virtual time.

The platform checks no fencing numbers.
"""

import asyncio
import unittest

from camphorgate.serving.duty_rest import DutyRest
from camphorgated.serving.members import MAX_DUTY_CALL_SECONDS
from tests.duty_fleet import (
    LEASE_SECONDS,
    DutyFleet,
    PlatformCall,
    find_alternations,
    find_lower_numbers,
)
from tests.virtual_time import run_fleet

# Instances and zones: small fleets, and those of the capacity page.
SMALL_FLEETS = ((2, 1), (8, 3))
FLEETS = (*SMALL_FLEETS, (195, 6), (750, 17))
RESTART_SECONDS = 0.3
HANDOVERS = 4


def play(size: int, zones: int, disturb) -> DutyFleet:
    """Return a fleet after a disturbance."""
    found = []

    async def run() -> None:
        fleet = DutyFleet(size, zones)
        found.append(fleet)
        await fleet.start()
        await disturb(fleet)
        fleet.stop()

    run_fleet(run)
    return found[0]


async def end_holder(fleet: DutyFleet, stops: bool, restart_seconds: float) -> str:
    """End the holder right after it acted, and start it again."""
    call = await fleet.next_call(4 * LEASE_SECONDS)
    holder = fleet.by_name(call.holder)
    if stops:
        await holder.stop()
    else:
        holder.kill()
    asyncio.get_running_loop().call_later(
        restart_seconds, lambda: asyncio.ensure_future(holder.start())
    )
    return call.holder


class DutyRestTests(unittest.TestCase):
    """An instance rests from the last time at which it may have acted."""

    def test_rest_covers_a_lease_and_the_last_call(self):
        """Guards against an alternation with a call that arrived after the end."""
        rest = DutyRest(3.0, 1.5)
        self.assertEqual(rest.seconds_left(0.0), 0.0)
        rest.record_end(10.0)
        self.assertEqual(rest.seconds_left(10.0), 4.5)
        self.assertEqual(rest.seconds_left(14.0), 0.5)
        self.assertEqual(rest.seconds_left(14.5), 0.0)


class AlternationCheckTests(unittest.TestCase):
    """The check of the tests finds what breaks the rule, and nothing else."""

    def find(self, *turns) -> int:
        """Return the number of alternations in calls, given as time and holder."""
        calls = [PlatformCall(at, holder, 1) for at, holder in turns]
        return len(find_alternations(calls))

    def test_alternations_are_found(self):
        """Guards against a check that passes whatever the holders do."""
        self.assertEqual(self.find((0.0, "a"), (2.5, "b"), (2.9, "a")), 1)
        self.assertEqual(self.find((0.0, "a"), (2.5, "b"), (2.7, "c"), (2.9, "a")), 1)
        self.assertEqual(self.find((0.0, "a"), (2.5, "b"), (3.0, "a")), 0)
        self.assertEqual(self.find((0.0, "a"), (1.0, "a"), (2.5, "b")), 0)
        calls = [PlatformCall(0.0, "a", 3), PlatformCall(1.0, "b", 2)]
        self.assertEqual(find_lower_numbers(calls), calls[1:])


class DutyFleetTests(unittest.TestCase):
    """Holders that end one after the other do not alternate within a lease."""

    def assert_no_broken_rule(self, fleet: DutyFleet) -> None:
        """Check the calls that the platform received."""
        self.assertEqual(find_alternations(fleet.calls), [])
        self.assertEqual(find_lower_numbers(fleet.calls), [])
        self.assertEqual(fleet.failures, [])

    def test_killed_holder_and_stopped_successor_do_not_alternate(self):
        """Guards against the order A, B, A: A is killed, B is stopped after it acted.

        The killed instance starts before its old key lapses, between two holders, or
        beside the next one.
        """
        plays = [(fleet, RESTART_SECONDS) for fleet in FLEETS]
        times = (0.0, 1.6, 2.4, 2.95)
        plays += [(fleet, seconds) for fleet in SMALL_FLEETS for seconds in times]
        for (size, zones), restart_seconds in plays:
            with self.subTest(instances=size, restart=restart_seconds):

                async def disturb(fleet, seconds=restart_seconds):
                    for number in range(HANDOVERS):
                        # The last renewal was up to a second before.
                        await asyncio.sleep(LEASE_SECONDS + 2.0 + number * 0.23)
                        await end_holder(fleet, False, seconds)
                        await end_holder(fleet, True, RESTART_SECONDS)
                    await fleet.next_call(4 * LEASE_SECONDS)

                fleet = play(size, zones, disturb)
                self.assert_no_broken_rule(fleet)
                self.assertGreater(len({call.fencing for call in fleet.calls}), 2)

    def test_two_starts_within_a_lease_do_not_alternate(self):
        """Guards against a rest that ends with its process."""

        async def disturb(fleet):
            for number in range(HANDOVERS):
                await asyncio.sleep(LEASE_SECONDS + 2.0 + number * 0.23)
                first = await end_holder(fleet, False, 0.1)
                await asyncio.sleep(1.0)
                fleet.by_name(first).kill()
                await fleet.by_name(first).start()
                await end_holder(fleet, True, RESTART_SECONDS)
            await fleet.next_call(4 * LEASE_SECONDS)

        self.assert_no_broken_rule(play(2, 1, disturb))

    def test_holder_that_never_acts_does_not_hide_the_one_before(self):
        """Guards against the order A, B, A where a third instance holds in between."""

        async def disturb(fleet):
            for number in range(HANDOVERS):
                await asyncio.sleep(LEASE_SECONDS + 2.0 + number * 0.23)
                await end_holder(fleet, False, RESTART_SECONDS)
                await end_holder(fleet, True, RESTART_SECONDS)
                while (holder := fleet.holder()) is None:
                    await asyncio.sleep(0.005)
                await holder.stop()
                await holder.start()
            await fleet.next_call(4 * LEASE_SECONDS)

        self.assert_no_broken_rule(play(3, 1, disturb))

    def test_first_start_of_all_does_not_wait(self):
        """Guards against time without a holder where nobody has acted before."""
        for size, zones in FLEETS:
            with self.subTest(instances=size):
                fleet = play(size, zones, lambda fleet: asyncio.sleep(0.0))
                self.assertLess(fleet.calls[0].at, LEASE_SECONDS)

    def test_restored_store_is_no_evidence_that_nobody_acted(self):
        """Guards against a shorter rest of an instance that was killed as it acted."""
        rests = []

        async def disturb(fleet):
            name = await end_holder(fleet, False, 0.0)
            fleet.store.restore()
            await asyncio.sleep(0.5)
            members = fleet.by_name(name).members
            rests.append(members._must_rest(fleet.loop.time()))

        play(2, 1, disturb)
        self.assertEqual(rests, [True])

    def test_duty_is_taken_after_all_processes_were_killed(self):
        """Guards against a duty that stays free after a start of all instances."""
        for size, zones in FLEETS:

            async def disturb(fleet):
                for item in fleet.instances:
                    item.kill()
                await asyncio.sleep(RESTART_SECONDS)
                self.started_at = fleet.loop.time()
                await asyncio.gather(*(item.start() for item in fleet.instances))
                self.call = await fleet.next_call(4 * LEASE_SECONDS)

            with self.subTest(instances=size):
                self.assert_no_broken_rule(play(size, zones, disturb))
                self.assertIsNotNone(self.call)
                # A rest, and the turns of the instances that watch.
                rest = LEASE_SECONDS + MAX_DUTY_CALL_SECONDS
                self.assertLess(self.call.at - self.started_at, rest + LEASE_SECONDS)
