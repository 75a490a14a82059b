"""Tests of when an instance may call a store in trouble, in virtual time."""

import random
import unittest

from camphorgate.serving.store_calls import Role, StoreCalls

INSTANCES = 87
WATCHERS = 8
SUBSTITUTES = 8
# An instance renews its lease every 3 s and reads the list of members every 8.7 s.
FOLLOWER_CALM_SECONDS = 2.2
# A watcher renews every second, probes every 0.4 s and holds three watches.
WATCHER_CALM_SECONDS = 0.22
STEP_SECONDS = 0.01


def build_fleet() -> list[StoreCalls]:
    """Return the decisions of a fleet; the watchers come first."""
    fleet = [StoreCalls(random.Random(number)) for number in range(INSTANCES)]
    for number, calls in enumerate(fleet):
        if number >= WATCHERS + SUBSTITUTES:
            calls.set_role(Role.FOLLOWER, 0.0)
        elif number >= WATCHERS:
            calls.set_role(Role.SUBSTITUTE, 0.0)
    return fleet


class StoreCallsTests(unittest.TestCase):
    """The calls of all instances are bounded in trouble and after it."""

    def test_calls_of_a_fleet_in_trouble_stay_below_those_of_calm(self):
        """Guards against the flood seen at customer B, and one after the trouble."""
        followers = INSTANCES - WATCHERS
        calm_rate = followers / FOLLOWER_CALM_SECONDS + WATCHERS / WATCHER_CALM_SECONDS
        fleet = build_fleet()
        sent = 0
        for step in range(int(8.0 / STEP_SECONDS)):
            now = step * STEP_SECONDS
            for calls in fleet:
                if calls.admit(now):
                    sent += 1
                    calls.record_failure(now)
        self.assertLess(sent, 8.0 * calm_rate)
        first_by_instance = {}
        for step in range(int(4.0 / STEP_SECONDS)):
            now = 8.0 + step * STEP_SECONDS
            for number, calls in enumerate(fleet):
                if now > 8.3:
                    calls.mark_answering(INSTANCES, now)
                if number not in first_by_instance and calls.admit(now):
                    first_by_instance[number] = now
                    calls.record_success()
        self.assertEqual(len(first_by_instance), INSTANCES)
        self.assertLess(first_by_instance[0], 8.5)
        seconds = [int(at) for at in first_by_instance.values()]
        self.assertLess(max(map(seconds.count, seconds)), calm_rate)

    def test_call_that_was_on_its_way_is_not_a_failed_probe(self):
        """Guards against a longer delay because several calls failed at once."""
        calls = StoreCalls(random.Random(1))
        for _ in range(10):
            calls.record_failure(0.0)
        self.assertTrue(calls.admit(0.1))

    def test_only_one_probe_is_under_way(self):
        """Guards against all pending calls at once when a delay ends."""
        calls = StoreCalls(random.Random(1))
        calls.set_role(Role.FOLLOWER, 0.0)
        calls.record_failure(0.0)
        self.assertTrue(calls.admit(4.0))
        self.assertFalse(calls.admit(4.1))
        self.assertEqual(calls.refused, 1)
        calls.record_success()
        self.assertTrue(calls.admit(4.1))

    def test_watcher_probes_again_while_a_probe_is_silent(self):
        """Guards against a silent connection that delays a change."""
        calls = StoreCalls(random.Random(1))
        calls.record_failure(0.0)
        self.assertTrue(calls.admit(1.0))
        self.assertTrue(calls.admit(1.3))

    def test_contact_hurries_an_instance_once(self):
        """Guards against instances without the store that probe without a delay."""
        calls = StoreCalls(random.Random(1))
        calls.set_role(Role.FOLLOWER, 0.0)
        calls.record_failure(0.0)
        calls.mark_answering(1, 0.0)
        self.assertTrue(calls.admit(0.5))
        calls.record_failure(0.5)
        calls.mark_answering(1, 0.5)
        self.assertFalse(calls.admit(1.0))

    def test_first_call_of_a_substitute_is_a_single_probe(self):
        """Guards against three calls of each instance that takes over."""
        calls = StoreCalls(random.Random(1))
        calls.mark_doubtful(5.0)
        self.assertEqual([calls.admit(5.0) for _ in range(3)], [True, False, False])
