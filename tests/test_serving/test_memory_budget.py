"""Tests of the memory budget without a network."""

import unittest

from camphorgate.serving.memory_budget import (
    LEAST_URGENT,
    MIN_RESPONSE_BYTES,
    PARTS,
    REQUESTS,
    SMALL_BYTES,
    UNREAD,
    Account,
    MemoryBudget,
    ResponseBuffers,
    capacity_bytes,
    choose_refused,
)

LARGEST_BODY_BYTES = 4_194_304
SMALLEST_MACHINE_BYTES = 160_000_000


class Holder:
    """A partial request."""

    def __init__(self, refusable_bytes, rank=0, progressed_at=0.0):
        self.refusable_bytes = refusable_bytes
        self.rank = rank
        self.progressed_at = progressed_at


class MemoryBudgetTests(unittest.TestCase):
    """What is charged is released, and large requests give way first."""

    def test_accounts_sum_up_and_release_all(self):
        """Guards against bytes that stay charged after their holder has gone."""
        budget = MemoryBudget(1_000_000)
        first, second = Account(budget), Account(budget)
        first.resize(REQUESTS, 500)
        first.resize(REQUESTS, 300)
        second.resize(REQUESTS, 50)
        second.resize(UNREAD, 20)
        first.resize(PARTS, 5)
        self.assertEqual(budget.used_by_kind[:3], [350, 20, 5])
        self.assertEqual((budget.used_bytes, budget.peak_bytes), (375, 500))
        first.close()
        second.close()
        self.assertEqual(budget.used_bytes, 0)
        self.assertEqual(budget.used_by_kind, [0] * 4)

    def test_small_requests_are_served_when_large_ones_are_not(self):
        """Guards against a crowd of large requests that ends all service."""
        budget = MemoryBudget(10_000_000)
        budget.charge(REQUESTS, budget.refuse_bytes)
        self.assertTrue(budget.refuses(SMALL_BYTES + 1))
        self.assertFalse(budget.refuses(SMALL_BYTES))
        budget.charge(REQUESTS, budget.capacity_bytes - budget.used_bytes)
        self.assertTrue(budget.refuses(SMALL_BYTES))

    def test_largest_request_is_read_on_any_machine(self):
        """Guards against a legal request that a small machine never serves."""
        for machine in (0, SMALLEST_MACHINE_BYTES, 10**12):
            budget = MemoryBudget(capacity_bytes(machine))
            self.assertGreater(budget.stop_bytes, LARGEST_BODY_BYTES + SMALL_BYTES)
        self.assertLess(
            capacity_bytes(SMALLEST_MACHINE_BYTES), SMALLEST_MACHINE_BYTES / 5
        )

    def test_least_urgent_requests_are_refused_first(self):
        """Guards against refusing an urgent request while a less urgent one stays."""
        urgent = Holder(100_000, 0, 1.0)
        stalled = Holder(100_000, 5, 1.0)
        active = Holder(100_000, 5, 2.0)
        unrouted = Holder(100_000, LEAST_URGENT, 3.0)
        small = Holder(SMALL_BYTES, LEAST_URGENT)
        holders = [urgent, active, small, stalled, unrouted]
        order = [unrouted, stalled, active, urgent]
        self.assertEqual(choose_refused(holders, 10**9), order)
        self.assertEqual(choose_refused(holders, 150_000), order[:2])
        self.assertEqual(choose_refused(holders, 0), [])

    def test_excess_is_zero_below_the_threshold(self):
        """Guards against refusals while memory is free, and one for each read."""
        budget = MemoryBudget(10_000_000)
        budget.charge(REQUESTS, budget.refuse_bytes)
        self.assertEqual(budget.excess_bytes(), 0)
        budget.charge(REQUESTS, 1)
        self.assertGreater(budget.excess_bytes(), 100_000)

    def test_responses_share_the_budget(self):
        """Guards against responses that fill the memory beside requests."""
        budget = MemoryBudget(10_000_000)
        buffers = ResponseBuffers(budget)
        self.assertTrue(buffers.try_resize(0, MIN_RESPONSE_BYTES + 1000))
        self.assertEqual(budget.used_bytes, 1000)
        self.assertFalse(buffers.try_resize(0, 6_000_000))
        budget.charge(REQUESTS, 9_990_000)
        self.assertFalse(buffers.try_resize(0, MIN_RESPONSE_BYTES + 20_000))
        self.assertTrue(buffers.try_resize(0, MIN_RESPONSE_BYTES))
        self.assertTrue(buffers.try_resize(MIN_RESPONSE_BYTES + 1000, 0))
        self.assertEqual((buffers.used_bytes, buffers.rejections), (0, 2))
