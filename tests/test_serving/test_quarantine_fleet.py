"""Tests of the quarantine of a whole fleet in virtual time."""

import unittest

from tests.quarantine_fleet import CRASHING_PART, QuarantineFleet

ENDS = 5
MAX_LATE_SENDS = 3
# Instances, engines and the users' bound on news, in seconds: Akmola, the large
# deployment, and the target size with its 7 regions.
SIZES = ((8, 6, 3.0), (195, 78, 5.0), (750, 300, 5.0))
# Requests a second with the crashing part, by size; the largest fleet takes longest.
RATES_BY_SIZE = {8: (1.0, 4.0, 40.0), 195: (4.0, 40.0), 750: (40.0,)}
SEEDS_BY_SIZE = {8: range(8), 195: range(2)}
# Share of the datagrams that a lossy network loses.
LOSS = 0.3
# The part is to be blocked within this share of the users' bound.
ROOM = 0.5
RUN_SECONDS = 12.0
SOUND_PER_ENGINE = 2.0
MIN_SOUND_SHARE = 0.95


class QuarantineFleetTests(unittest.TestCase):
    """One part that ends engines, at each size of fleet."""

    def build_fleet(self, size, engines, crashing_rate, seed=1, **options):
        """Return a fleet under load."""
        fleet = QuarantineFleet(size, engines, seed, **options)
        fleet.send_steadily(SOUND_PER_ENGINE * engines, False, RUN_SECONDS)
        fleet.run(2.0)
        fleet.send_steadily(crashing_rate, True, RUN_SECONDS - 2.0)
        return fleet

    def check_late_sends(self, fleet, contact_seconds):
        """Check the rule on sends after five ends."""
        late = fleet.late_sends(ENDS, contact_seconds)
        self.assertLessEqual(late, MAX_LATE_SENDS, f"{len(fleet.ends)} ends")

    def test_part_is_blocked_everywhere_in_half_of_the_bound(self):
        """Guards against news of ends that does not reach a large fleet in time."""
        for size, engines, contact_seconds in SIZES:
            for rate in RATES_BY_SIZE[size]:
                with self.subTest(size=size, rate=rate):
                    fleet = self.build_fleet(size, engines, rate, loss=LOSS)
                    fleet.run(RUN_SECONDS - 2.0)
                    self.assertGreaterEqual(len(fleet.ends), 3)
                    self.check_late_sends(fleet, ROOM * contact_seconds)
                    self.assertEqual(fleet.blocked_sound, 0)
                    since = fleet.ends[min(ENDS, len(fleet.ends)) - 1]
                    share = fleet.sound_share(since + contact_seconds)
                    self.assertGreaterEqual(share, MIN_SOUND_SHARE)

    def test_block_outlasts_the_restart_of_all_instances(self):
        """Guards against a restart after which the part ends engines again."""
        for size, engines, contact_seconds in SIZES[:2]:
            with self.subTest(size=size):
                fleet = self.build_fleet(size, engines, 2.0)
                fleet.run(6.0)
                fleet.restart(range(size))
                fleet.run(1.0)
                for instance in fleet.instances:
                    self.assertIsNotNone(
                        instance.quarantine.find_block(("c0", CRASHING_PART))
                    )
                fleet.run(5.0)
                self.check_late_sends(fleet, contact_seconds)

    def test_instances_that_were_cut_off_or_restarted_learn_of_a_block(self):
        """Guards against an instance that missed the news and sends the part on."""
        for size, engines, contact_seconds in SIZES[:2]:
            for seed in SEEDS_BY_SIZE[size]:
                with self.subTest(size=size, seed=seed):
                    fleet = self.build_fleet(size, engines, 4.0, seed, loss=LOSS)
                    few = range(1, 1 + size // 4)
                    fleet.cut(few, 4.0)
                    fleet.run(5.0)
                    fleet.restart(range(size // 2, size))
                    fleet.run(5.0)
                    self.check_late_sends(fleet, contact_seconds)
                    self.assertEqual(fleet.blocked_sound, 0)

    def test_failing_racks_put_no_part_under_suspicion(self):
        """Guards against sound prompts that are refused after a loss of power."""
        for size, engines, _ in SIZES[:2]:
            for seed in SEEDS_BY_SIZE[size]:
                with self.subTest(size=size, seed=seed):
                    fleet = self.build_fleet(size, engines, 1e-9, seed)
                    for _ in range(4):
                        fleet.fail_rack(0.5)
                        fleet.run(2.5)
                    blocks = [
                        len(i.quarantine.table.blocks_by_parts) for i in fleet.instances
                    ]
                    self.assertEqual(sum(blocks), 0)
                    self.assertEqual(fleet.blocked_sound, 0)

    def test_failing_racks_do_not_hide_a_crashing_part(self):
        """Guards against a part that is missed as racks fail at the same time."""
        for size, engines, contact_seconds in SIZES[:2]:
            with self.subTest(size=size):
                fleet = self.build_fleet(size, engines, 4.0)
                for _ in range(4):
                    fleet.fail_rack(0.3)
                    fleet.run(2.5)
                self.check_late_sends(fleet, contact_seconds)
                self.assertEqual(fleet.blocked_sound, 0)
