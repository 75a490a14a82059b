"""Plays the shares of 195 instances in the budget of repeats, without processes.

Every request asks for a repeat, which is the worst that a fleet whose upstreams all
fail can do. What each instance believes of the number of instances is set by hand.
"""

import random
import unittest
from bisect import bisect_left, bisect_right

from camphorgate.serving.budget import ShareOfBudget

# The users' large deployment: instances, zones, requests a second to its engines.
INSTANCES = 195
ZONES = 6
REQUESTS_PER_SECOND = 269
RATIO, SLACK, WINDOW_SECONDS = 0.2, 430.0, 10.0
# How many instances a new process counts: those that its settings name, until it has
# read the list of members (0.7 s after its start).
SEEDS = 3
LIST_SECONDS = 0.8


class Fleet:
    """Shares of one service, and when requests came and repeats left."""

    def __init__(self, seed: int) -> None:
        """Start every instance."""
        self.random = random.Random(seed)
        self.shares = [self.build_share() for _ in range(INSTANCES)]
        self.requests: list[float] = []
        self.repeats: list[float] = []

    @staticmethod
    def build_share() -> ShareOfBudget:
        """Return the share of a process that has just started."""
        return ShareOfBudget(RATIO, SLACK, WINDOW_SECONDS)

    def run(self, begin: float, end: float, believed) -> None:
        """Let every request ask for two repeats.

        :param believed: returns how many instances an instance counts at a time.
        """
        at = begin
        while at < end:
            at += self.random.expovariate(REQUESTS_PER_SECOND)
            instance = self.random.randrange(INSTANCES)
            share = self.shares[instance]
            share.note_request(at)
            self.requests.append(at)
            for _ in range(2):
                if share.take(at, believed(instance, at)):
                    self.repeats.append(at)

    def worst_excess(self) -> float:
        """Return by how much the fullest window exceeds the users' bound.

        The bound counts the requests of the window itself, which is the least that the
        users count.
        """
        worst = -SLACK
        for end in self.repeats:
            repeats = _count(self.repeats, end)
            worst = max(worst, repeats - RATIO * _count(self.requests, end) - SLACK)
        return worst


def _count(times: list[float], end: float) -> int:
    return bisect_right(times, end) - bisect_left(times, end - WINDOW_SECONDS)


class ShareTests(unittest.TestCase):
    """The sum of all shares keeps the bound of the fleet."""

    def test_sum_keeps_the_bound_and_uses_most_of_it(self):
        """Guards against shares that round to nothing, or that add up to too much."""
        fleet = Fleet(1)
        fleet.run(0.0, 30.0, lambda instance, at: INSTANCES)
        self.assertLessEqual(fleet.worst_excess(), 0.0)
        allowed = RATIO * REQUESTS_PER_SECOND * WINDOW_SECONDS + SLACK
        self.assertGreater(_count(fleet.repeats, 30.0), 0.4 * allowed)

    def test_sum_keeps_the_bound_after_a_kill_of_all(self):
        """Guards against processes that each take the slack of a small fleet."""
        for seed in range(3):
            fleet = Fleet(seed)
            fleet.run(0.0, 12.0, lambda instance, at: INSTANCES)
            fleet.shares = [fleet.build_share() for _ in range(INSTANCES)]

            def believed(instance, at):
                return INSTANCES if at - 13.0 > LIST_SECONDS else SEEDS

            fleet.run(13.0, 30.0, believed)
            self.assertLessEqual(fleet.worst_excess(), 0.0, seed)

    def test_sum_keeps_the_bound_while_half_is_cut_off(self):
        """Guards against parts of a fleet that each take the slack of the whole.

        Those that the store serves see the others' entries end; those that are cut off
        keep the list that they had.
        """
        fleet = Fleet(4)

        def believed(instance, at):
            served = instance % ZONES < ZONES // 2
            return INSTANCES // 2 if served and at > 10.0 else INSTANCES

        fleet.run(0.0, 30.0, believed)
        self.assertLessEqual(fleet.worst_excess(), 0.0)
