"""Simulates the retry budget shares of all instances in one process.

Upstreams refuse a share of the sends, so that requests are sent again as far as the
budget allows it. The test sets how many instances each instance counts.
"""

import random
import statistics
import unittest
from bisect import bisect_left, bisect_right

from camphorgate.serving.catalog import Stage
from camphorgate.serving.prefill_queue import RATE_WINDOW_SECONDS, PrefillQueue
from camphorgate.serving.retry_budget import RetryBudgetShare
from camphorgate.serving.send_attempts import SendAttempts

# The users' large deployment: instances, zones, and requests per second to its engines.
INSTANCES = 195
ZONES = 6
REQUESTS_PER_SECOND = 269
RATIO, SLACK, WINDOW_SECONDS = 0.2, 430.0, 10.0
# Instances and slack of deployments whose instances have the same number of requests.
DEPLOYMENTS = ((8, 50.0), (87, 50.0), (INSTANCES, SLACK), (750, SLACK))
# A new process counts the instances that its settings name, until it has read the list
# of members (0.7 s after its start).
SEED_INSTANCES = 3
MEMBER_LIST_DELAY_SECONDS = 0.8
# What the sum of all instances may use of the users' bound, and what it has to use
# while requests need it.
MAX_USED, MIN_USED = 0.9, 0.7
# Share of the requests whose prompts are long enough for a prefill call of their own.
LONG_PROMPTS = 0.5
MAX_PREFILL_CALLS = 4
MAX_SENDS = 8


class SimulatedFleet:
    """Shares of one service, and the times of requests and arrivals beyond the first.

    Requests stay at the instance and the time of their arrival, the fullest case of a
    window.
    """

    def __init__(
        self,
        seed: int,
        instances: int = INSTANCES,
        slack: float = SLACK,
        refused: float = 1.0,
    ) -> None:
        """Start every instance long ago.

        :param refused: share of the sends that upstreams refuse.
        """
        self.random = random.Random(seed)
        self.slack = slack
        self.refused = refused
        self.rate = REQUESTS_PER_SECOND / INSTANCES * instances
        self.shares = [self.build_share() for _ in range(instances)]
        # Instances that get requests.
        self.alive = list(range(instances))
        self.requests: list[float] = []
        self.retries: list[float] = []

    def build_share(self, started_at: float = float("-inf")) -> RetryBudgetShare:
        """Return the share of a process."""
        return RetryBudgetShare(
            RATIO, self.slack, WINDOW_SECONDS, started_at, self.random.random()
        )

    def restart(self, at: float) -> None:
        """Start every instance again."""
        self.shares = [self.build_share(at) for _ in self.shares]

    def run(self, begin: float, end: float, believed_instances=None, counted=None):
        """Let requests arrive and be sent as often as the budget allows it.

        :param believed_instances: function of an instance and a time that returns how
            many instances that instance counts; by default those that are alive.
        :param counted: function of a time that returns whether the instances have been
            counted since the last start; by default they have.
        """
        at = begin
        while at < end:
            at += self.random.expovariate(self.rate)
            instance = self.random.choice(self.alive)
            believed = len(self.alive)
            if believed_instances is not None:
                believed = believed_instances(instance, at)
            self.requests.append(at)
            self.shares[instance].record_request(at)
            known = counted is None or counted(at)
            self._send(self.shares[instance], at, believed, known)

    def _send(self, share, at: float, believed: int, counted: bool) -> None:
        attempts = SendAttempts(True, 2 * MAX_SENDS)
        is_long = self.random.random() < LONG_PROMPTS
        arrivals = 0
        first_read = has_handle = False
        while arrivals < MAX_SENDS:
            is_prefill = (
                is_long and not has_handle and attempts.prefills < MAX_PREFILL_CALLS
            )
            needed = attempts.grants_needed(is_prefill)
            covered = not needed or share.try_reserve(at, believed, needed, counted)
            if not covered and needed > 1:
                # The engine that decodes prefills the prompt itself.
                is_prefill, needed = False, attempts.grants_needed()
                covered = share.try_reserve(at, believed, needed, counted)
            if not covered:
                break
            attempts.add_grants(needed, at)
            arrivals += 1
            refused = self.random.random() < self.refused
            if is_prefill:
                attempts.record_prefill()
                if not refused:
                    attempts.record_prefill_read()
                    has_handle = True
                    first_read = arrivals == 1
                continue
            attempts.record_send()
            if not refused:
                break
            attempts.record_failure(Stage.REFUSED)
        for reserved_at in attempts.take_unused_grants():
            share.release(reserved_at)
        self.retries += [at] * (arrivals - first_read - 1)

    def used_at(self, end: float) -> float:
        """Return which part of the users' bound the window that ends then uses.

        The bound counts the requests of the window itself, which is the minimum that
        the users count.
        """
        bound = RATIO * _count_in_window(self.requests, end) + self.slack
        return _count_in_window(self.retries, end) / bound

    def mean_used(self, begin: int, end: int) -> float:
        """Return which part of the users' bound windows use on average.

        :param begin: end of the first window, in whole seconds.
        """
        return statistics.mean(map(self.used_at, range(begin, end + 1)))

    def max_used(self) -> float:
        """Return which part of the users' bound the fullest window uses."""
        return max(map(self.used_at, sorted(set(self.retries))))


def _count_in_window(times: list[float], end: float) -> int:
    return bisect_right(times, end) - bisect_left(times, end - WINDOW_SECONDS)


class WindowTests(unittest.TestCase):
    """A window holds the times within it only, whatever is asked of it."""

    def test_service_that_never_retries_keeps_one_window_of_requests(self):
        """Guards against memory that grows with each request."""
        share = SimulatedFleet(0).build_share()
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
    """The sum of all shares stays within the bound of the fleet, and uses it."""

    def test_sum_stays_within_the_bound_whatever_share_is_refused(self):
        """Guards against sends that no instance counts, such as refused prefills."""
        for instances, slack in DEPLOYMENTS:
            for refused in (0.1, 0.3, 0.5, 0.8, 1.0):
                with self.subTest(instances=instances, refused=refused):
                    fleet = SimulatedFleet(1, instances, slack, refused)
                    fleet.run(0.0, 30.0)
                    self.assertLess(fleet.max_used(), MAX_USED)

    def test_bound_is_used_while_requests_need_it(self):
        """Guards against shares that round to zero where each instance has few."""
        for instances, slack in DEPLOYMENTS:
            for refused in (0.8, 1.0):
                with self.subTest(instances=instances, refused=refused):
                    fleet = SimulatedFleet(2, instances, slack, refused)
                    fleet.run(0.0, 40.0)
                    self.assertGreater(fleet.mean_used(20, 40), MIN_USED)

    def test_sudden_failure_of_all_upstreams_stays_within_the_bound(self):
        """Guards against a calm window whose budget adds to that of the next one."""
        for instances, slack in DEPLOYMENTS:
            with self.subTest(instances=instances):
                fleet = SimulatedFleet(3, instances, slack, 0.0)
                fleet.run(0.0, 40.0)
                fleet.refused = 1.0
                fleet.run(40.0, 60.0)
                self.assertLess(fleet.max_used(), MAX_USED)

    def test_sum_stays_within_the_bound_while_instances_are_killed(self):
        """Guards against survivors that use the slack that killed ones have used."""
        for instances, slack in DEPLOYMENTS:
            with self.subTest(instances=instances):
                fleet = SimulatedFleet(4, instances, slack, 0.8)
                fleet.run(0.0, 15.0)
                killed = instances * 7 // 8
                for number in range(killed):
                    fleet.alive.pop()
                    begin = 15.0 + WINDOW_SECONDS * number / killed
                    fleet.run(begin, begin + WINDOW_SECONDS / killed)
                fleet.run(25.0, 40.0)
                self.assertLess(fleet.max_used(), MAX_USED)

    def test_sum_stays_within_the_bound_after_a_restart_of_all(self):
        """Guards against new processes that each use the slack of a small fleet."""
        for instances, slack in DEPLOYMENTS:
            for seed in range(2):
                with self.subTest(instances=instances, seed=seed):
                    fleet = SimulatedFleet(seed, instances, slack, 0.8)
                    fleet.run(0.0, 12.0)
                    fleet.restart(12.5)

                    def counted(at):
                        return at - 12.5 > MEMBER_LIST_DELAY_SECONDS

                    def believed_instances(instance, at, fleet=fleet):
                        return len(fleet.alive) if counted(at) else SEED_INSTANCES

                    fleet.run(12.5, 40.0, believed_instances, counted)
                    self.assertLess(fleet.max_used(), MAX_USED)
                    self.assertGreater(fleet.mean_used(25, 40), MIN_USED)

    def test_sum_stays_within_the_bound_during_a_partition(self):
        """Guards against both parts of a divided fleet using the slack of the whole.

        Instances that the store serves see the other entries expire; instances without
        the store keep the list that they had.
        """
        fleet = SimulatedFleet(4)

        def believed_instances(instance, at):
            store_available = instance % ZONES < ZONES // 2
            return INSTANCES // 2 if store_available and at > 10.0 else INSTANCES

        fleet.run(0.0, 40.0, believed_instances)
        self.assertLessEqual(fleet.max_used(), 1.0)
