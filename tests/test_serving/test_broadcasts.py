"""Tests of who sends which part of a broadcast, and at what rate."""

import asyncio
import unittest
from collections import Counter
from unittest import mock

from camphorgate.application import Application
from camphorgate.serving.broadcast_plan import MAX_DIRECT_PARTS, plan_broadcast
from camphorgate.serving.transfer_budget import TransferBudget
from camphorgated.serving.paced_sender import MAX_QUEUE_SECONDS, PacedSender

PEERS = [f"10.0.0.{number}:7780" for number in range(2, 34)]


class BroadcastPlanTests(unittest.TestCase):
    """Every part of a broadcast reaches every peer, at a cost that all share."""

    def test_short_broadcast_is_sent_to_every_peer(self):
        """Guards against a change that depends on a relay."""
        plan = list(plan_broadcast(MAX_DIRECT_PARTS, PEERS, PEERS, "entry-0"))
        self.assertFalse(any(item.relayed for item in plan))
        self.assertEqual(
            Counter(item.receiver for item in plan),
            dict.fromkeys(PEERS, MAX_DIRECT_PARTS),
        )

    def test_long_broadcast_is_shared_among_the_relays(self):
        """Guards against a time that grows with the number of peers."""
        plan = list(plan_broadcast(100, PEERS, PEERS, "entry-0"))
        self.assertEqual([item.part for item in plan], list(range(100)))
        self.assertTrue(all(item.relayed for item in plan))
        self.assertLessEqual(max(Counter(item.receiver for item in plan).values()), 4)

    def test_watchers_choose_different_relays(self):
        """Guards against one dead relay that costs all peers a part."""
        relays = [
            {
                item.part: item.receiver
                for item in plan_broadcast(200, PEERS, PEERS, watcher)
            }
            for watcher in ("entry-0", "entry-1")
        ]
        for dead in PEERS:
            lost = [
                part
                for part in range(200)
                if relays[0][part] == dead and relays[1][part] == dead
            ]
            self.assertLessEqual(len(lost), 8, dead)

    def test_without_live_peers_all_known_addresses_are_tried(self):
        """Guards against a broadcast that is given up right after a start."""
        plan = list(plan_broadcast(10, PEERS, [], "entry-0"))
        self.assertEqual(len(plan), 10 * len(PEERS))
        self.assertFalse(any(item.relayed for item in plan))
        self.assertEqual(list(plan_broadcast(10, [], [], "entry-0")), [])


class PacedSenderTests(unittest.IsolatedAsyncioTestCase):
    """Datagrams leave at the rate of the slowest link."""

    async def asyncSetUp(self):
        """Record when datagrams are sent."""
        self.app = Application(mock.Mock())
        self.sent: list[tuple[bytes, str]] = []
        self.sender = PacedSender(
            self.app, lambda *datagram: self.sent.append(datagram), 100_000.0
        )

    async def asyncTearDown(self):
        """End the task of the sender."""
        await self.app.stop()

    async def test_rate_is_kept_over_several_broadcasts(self):
        """Guards against broadcasts that each take the whole link."""
        for _ in range(4):
            self.sender.enqueue((b"x" * 1000, peer) for peer in PEERS[:10])
        await asyncio.sleep(0.2)
        self.assertLessEqual(len(self.sent), 25)
        self.assertGreaterEqual(len(self.sent), 10)

    async def test_urgent_datagrams_go_first(self):
        """Guards against a removal of an upstream that waits for a configuration."""
        self.sender.enqueue((b"x" * 1000, peer) for peer in PEERS)
        self.sender.enqueue([(b"urgent", PEERS[0])], urgent=True)
        await asyncio.sleep(0.05)
        self.assertEqual(self.sent[0], (b"urgent", PEERS[0]))

    async def test_queue_is_bounded(self):
        """Guards against memory that grows with what is forwarded for others."""
        datagram = b"x" * 1000
        count = int(2 * MAX_QUEUE_SECONDS * 100)
        self.sender.enqueue((datagram, PEERS[0]) for _ in range(count))
        self.assertAlmostEqual(self.sender.dropped_datagrams, count / 2, delta=1)

    async def test_sending_goes_on_after_the_queue_was_empty(self):
        """Guards against a sender that stops for good."""
        for number in range(1, 4):
            self.sender.enqueue([(b"x", PEERS[0])])
            await asyncio.sleep(0.03)
            self.assertEqual(len(self.sent), number)


class TransferBudgetTests(unittest.TestCase):
    """Answers that would wait behind others are refused at once."""

    def test_first_transfer_is_accepted_whatever_its_size(self):
        """Guards against a configuration that no peer ever sends."""
        budget = TransferBudget(100_000.0, 0.3)
        self.assertTrue(budget.try_reserve(1_000_000, 5.0))
        self.assertFalse(budget.try_reserve(10, 14.0))
        self.assertTrue(budget.try_reserve(10, 15.1))

    def test_small_transfers_share_the_time(self):
        """Guards against answers that are all late because all were accepted."""
        budget = TransferBudget(100_000.0, 0.35)
        accepted = [budget.try_reserve(10_000, 1.0) for _ in range(10)]
        self.assertEqual(accepted, [True] * 3 + [False] * 7)
