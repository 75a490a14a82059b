"""Simulates the retry budget shares of 195 instances in one process.

Every request asks for retries, the worst case of a fleet whose upstreams all fail.
The test sets how many instances each instance counts.
"""

import random
import unittest
from bisect import bisect_left, bisect_right

from camphorgate.serving.prefill_queue import RATE_WINDOW_SECONDS, PrefillQueue
from camphorgate.serving.retry_budget import RetryBudgetShare

# The users' large deployment: instances, zones, and requests per second to its engines.
INSTANCES = 195
ZONES = 6
REQUESTS_PER_SECOND = 269
RATIO, SLACK, WINDOW_SECONDS = 0.2, 430.0, 10.0
# A new process counts the instances that its settings name, until it has read the list
# of members (0.7 s after its start).
SEED_INSTANCES = 3
MEMBER_LIST_DELAY_SECONDS = 0.8


class SimulatedFleet:
    """Shares of one service, and the times of requests and granted retries."""

    def __init__(self, seed: int) -> None:
        """Start every instance."""
        self.random = random.Random(seed)
        self.shares = [self.build_share() for _ in range(INSTANCES)]
        self.requests: list[float] = []
        self.retries: list[float] = []

    @staticmethod
    def build_share() -> RetryBudgetShare:
        """Return the share of a newly started process."""
        return RetryBudgetShare(RATIO, SLACK, WINDOW_SECONDS)

    def run(self, begin: float, end: float, believed_instances) -> None:
        """Let every request ask for two retries.

        :param believed_instances: function of an instance and a time that returns how
            many instances that instance counts.
        """
        at = begin
        while at < end:
            at += self.random.expovariate(REQUESTS_PER_SECOND)
            instance = self.random.randrange(INSTANCES)
            share = self.shares[instance]
            share.record_request(at)
            self.requests.append(at)
            for _ in range(2):
                if share.try_reserve(at, believed_instances(instance, at)):
                    self.retries.append(at)

    def max_excess(self) -> float:
        """Return by how much the fullest window exceeds the users' bound.

        The bound counts the requests of the window itself, which is the minimum that
        the users count.
        """
        largest = -SLACK
        for end in self.retries:
            retries = _count_in_window(self.retries, end)
            largest = max(
                largest,
                retries - RATIO * _count_in_window(self.requests, end) - SLACK,
            )
        return largest


def _count_in_window(times: list[float], end: float) -> int:
    return bisect_right(times, end) - bisect_left(times, end - WINDOW_SECONDS)


class WindowTests(unittest.TestCase):
    """A window holds the times within it only, whatever is asked of it."""

    def test_service_that_never_retries_keeps_one_window_of_requests(self):
        """Guards against memory that grows with each request."""
        share = SimulatedFleet.build_share()
        for number in range(5000):
            share.record_request(number * 0.1)
        self.assertLessEqual(len(share._requests), 10 * WINDOW_SECONDS + 1)

    def test_prompts_that_never_wait_are_kept_for_one_window(self):
        """Guards against memory that grows with each prompt."""
        queue = PrefillQueue()
        for number in range(5000):
            queue.record_sent(100, number * 0.1)
        self.assertLessEqual(len(queue._sent), 10 * RATE_WINDOW_SECONDS + 1)


class RetryBudgetShareTests(unittest.TestCase):
    """The sum of all shares stays within the bound of the fleet."""

    def test_sum_stays_within_the_bound_and_uses_it(self):
        """Guards against shares that round to zero, or whose sum is too large."""
        fleet = SimulatedFleet(1)
        fleet.run(0.0, 30.0, lambda instance, at: INSTANCES)
        self.assertLessEqual(fleet.max_excess(), 0.0)
        max_retries = RATIO * REQUESTS_PER_SECOND * WINDOW_SECONDS + SLACK
        self.assertGreater(_count_in_window(fleet.retries, 30.0), 0.4 * max_retries)

    def test_sum_stays_within_the_bound_after_a_restart_of_all(self):
        """Guards against new processes that each use the slack of a small fleet."""
        for seed in range(3):
            fleet = SimulatedFleet(seed)
            fleet.run(0.0, 12.0, lambda instance, at: INSTANCES)
            fleet.shares = [fleet.build_share() for _ in range(INSTANCES)]

            def believed_instances(instance, at):
                return (
                    INSTANCES
                    if at - 13.0 > MEMBER_LIST_DELAY_SECONDS
                    else SEED_INSTANCES
                )

            fleet.run(13.0, 30.0, believed_instances)
            self.assertLessEqual(fleet.max_excess(), 0.0, seed)

    def test_sum_stays_within_the_bound_during_a_partition(self):
        """Guards against both parts of a divided fleet using the slack of the whole.

        Instances that the store serves see the other entries expire; instances without
        the store keep the list that they had.
        """
        fleet = SimulatedFleet(4)

        def believed_instances(instance, at):
            store_available = instance % ZONES < ZONES // 2
            return INSTANCES // 2 if store_available and at > 10.0 else INSTANCES

        fleet.run(0.0, 30.0, believed_instances)
        self.assertLessEqual(fleet.max_excess(), 0.0)
