"""Duties and orders when processes pause or die, or when services fail."""

import asyncio
import unittest.mock

from camphorgate.authority.duty_assignment import duty_names
from camphorgate.authority.errors import AuthorityLost, HandoverPending, OrderUnanswered
from camphorgated.ext.duties import leasing
from tests.test_duties.harness import (
    CAPACITY,
    ENGINES,
    DutiesTestCase,
    submit_with_retries,
)

START = {"kind": "start", "pool": "models", "zone": "zone-a"}
PREFILL = {"kind": "set_role", "role": "prefill"}
DECODE = {"kind": "set_role", "role": "decode"}


class AcquisitionTests(DutiesTestCase):
    async def test_duties_are_shared_and_handed_over_on_stop(self):
        """Guards against one instance holding all duties, and a gap after a stop."""
        names = set(duty_names(self.index.manifest))
        alpha = await self.start_node("alpha")
        await self.wait_until(lambda: set(alpha.duties.held()) == names)
        beta = await self.start_node("beta")
        half = (len(names) + 1) // 2
        await self.wait_until(lambda: len(beta.duties.held()) >= len(names) - half)
        self.assertFalse(set(alpha.duties.held()) & set(beta.duties.held()))
        epochs = {d: alpha.duties.authority(d).epoch for d in alpha.duties.held()}
        await self.stop_node(alpha)
        await self.wait_until(lambda: set(beta.duties.held()) == names, seconds=2.0)
        for duty, epoch in epochs.items():
            self.assertEqual(beta.duties.authority(duty).epoch, epoch + 1)

    async def test_a_clock_jump_drops_every_duty(self):
        """Guards against a holder that keeps its duties after a pause."""
        alpha = await self.start_node("alpha")
        authority = await self.wait_for_holder(alpha, CAPACITY)
        alpha.clock.offset += 1.5
        self.assertFalse(authority.valid())
        with self.assertRaises(AuthorityLost):
            await alpha.duties.submit_order(CAPACITY, "models", START)
        self.assertEqual(self.platform.orders, [])
        await self.wait_until(lambda: alpha.duties.authority(CAPACITY))
        self.assertGreater(alpha.duties.authority(CAPACITY).epoch, authority.epoch)

    async def test_kv_is_down_longer_than_every_lease(self):
        """Guards against orders without a lease, and duties that are not retaken."""
        alpha = await self.start_node("alpha")
        authority = await self.wait_for_holder(alpha, CAPACITY)
        self.kv.faults.arm({"fault": "down"})
        await self.wait_until(lambda: not alpha.duties.held())
        with self.assertRaises(AuthorityLost):
            await alpha.duties.submit_order(CAPACITY, "models", START)
        await asyncio.sleep(1.0)
        self.kv.faults.arm({"fault": "none"})
        await self.wait_until(lambda: alpha.duties.authority(CAPACITY), seconds=15.0)
        self.assertGreater(alpha.duties.authority(CAPACITY).epoch, authority.epoch)

    async def test_lost_answers_of_the_key_value_service(self):
        """Guards against an order that is sent twice, or without a journal entry."""
        self.kv.faults.arm({"fault": "lose_answers", "count": 2})
        alpha = await self.start_node("alpha")
        await self.wait_for_holder(alpha, CAPACITY)
        self.kv.faults.arm({"fault": "lose_answers", "count": 1})
        order = await alpha.duties.submit_order(CAPACITY, "models", START)
        self.kv.faults.arm({"fault": "none"})
        ids = [item["order_id"] for item in self.platform.orders]
        self.assertEqual(ids, [order.order_id])

    async def test_a_new_lease_does_not_extend_duties_of_an_ended_one(self):
        """Guards against holding duties whose keys were deleted with an old lease."""
        alpha = await self.start_node("alpha")
        authority = await self.wait_for_holder(alpha, CAPACITY)
        alpha.revoke_lease(self.kv)
        with unittest.mock.patch.object(leasing, "RENEWAL_REUSE_SECONDS", 0.0):
            await alpha.duties._lease.ensure()
        await self.wait_until(
            lambda: (
                getattr(alpha.duties.authority(CAPACITY), "epoch", 0) > authority.epoch
            ),
            seconds=4.0,
        )

    async def test_an_outranked_process_drops_every_duty(self):
        """Guards against two processes of one instance that both hold duties."""
        alpha = await self.start_node("alpha")
        await self.wait_for_holder(alpha, CAPACITY)
        alpha.membership.outranked = True
        await self.wait_until(lambda: not alpha.duties.held(), seconds=1.0)
        await asyncio.sleep(0.5)
        self.assertEqual(alpha.duties.held(), [])


class IgnoredFencingTests(DutiesTestCase):
    async def paused_order(self):
        """Return a holder that is paused between its check and sending an order."""
        alpha = await self.start_node("alpha")
        await self.wait_for_holder(alpha, CAPACITY)
        paused, resume = alpha.pause_before_sending(CAPACITY)
        task = asyncio.create_task(alpha.duties.submit_order(CAPACITY, "models", START))
        await paused.wait()
        return alpha, resume, task

    async def test_a_holder_that_resumes_after_its_check(self):
        """Guards against orders from two processes that both act as holder."""
        alpha, resume, task = await self.paused_order()
        self.peers.partitioned.add("alpha")
        beta = await self.replace_holder(alpha, CAPACITY)
        for _ in range(10):
            with self.assertRaises(HandoverPending):
                await beta.duties.submit_order(CAPACITY, "models", START)
            await asyncio.sleep(0.1)
        self.peers.partitioned.clear()
        await asyncio.sleep(0.3)
        with self.assertRaises(HandoverPending):
            await beta.duties.submit_order(CAPACITY, "models", START)
        resume.set()
        await asyncio.gather(task, return_exceptions=True)
        await submit_with_retries(beta, CAPACITY, "models", START)
        self.assertEqual(self.senders(), ["alpha.1", "beta.1"])

    async def test_a_holder_killed_between_sent_and_confirmed(self):
        """Guards against an order that is lost or sent twice."""
        alpha, resume, task = await self.paused_order()
        held = alpha.duties._held_by_duty[CAPACITY]

        async def never(edit):
            await asyncio.sleep(3600)

        held.update_journal = never
        resume.set()
        await self.wait_until(lambda: self.platform.orders)
        await alpha.kill()
        task.cancel()
        beta = await self.replace_holder(alpha, CAPACITY)
        # The list is out of date: it still has the instance as live.
        self.peers.state_by_id["alpha"] = "live"
        await asyncio.sleep(1.0)
        with self.assertRaises(HandoverPending):
            await beta.duties.submit_order(CAPACITY, "models", START)
        self.peers.state_by_id["alpha"] = "gone"
        await submit_with_retries(beta, CAPACITY, "models", START)
        journal = beta.duties._held_by_duty[CAPACITY].journal
        await self.wait_until(lambda: not beta.duties.status()[CAPACITY]["open_orders"])
        journal = beta.duties._held_by_duty[CAPACITY].journal
        outcomes = {order.number: order.outcome for order in journal.closed_orders}
        self.assertEqual(outcomes, {1: "confirmed", 2: "confirmed"})
        self.assertEqual(self.senders(), ["alpha.1", "beta.1"])

    async def test_a_holder_killed_between_written_and_sent(self):
        """Guards against an order that stays open and blocks later orders."""
        alpha, _, task = await self.paused_order()
        await alpha.kill()
        task.cancel()
        # A reply of a newer incarnation proves that the process is dead.
        restarted = await self.start_node("alpha", incarnation=2)
        alpha.revoke_lease(self.kv)
        await self.wait_for_holder(restarted, CAPACITY)
        await submit_with_retries(restarted, CAPACITY, "models", START)
        await self.wait_until(
            lambda: not restarted.duties.status()[CAPACITY]["open_orders"]
        )
        journal = restarted.duties._held_by_duty[CAPACITY].journal
        outcomes = {order.number: order.outcome for order in journal.closed_orders}
        self.assertEqual(outcomes, {1: "abandoned", 2: "confirmed"})
        self.assertEqual(self.senders(), ["alpha.2"])

    async def test_an_order_without_an_answer_is_settled_by_reading(self):
        """Guards against an order that is resent or stays open."""
        alpha = await self.start_node("alpha")
        await self.wait_for_holder(alpha, CAPACITY)
        self.platform.faults.arm({"fault": "lose_answers", "count": 1})
        with self.assertRaises(OrderUnanswered):
            await alpha.duties.submit_order(CAPACITY, "models", START)
        await self.wait_until(
            lambda: not alpha.duties.status()[CAPACITY]["open_orders"]
        )
        closed = alpha.duties._held_by_duty[CAPACITY].journal.closed_orders
        self.assertEqual([order.outcome for order in closed], ["confirmed"])
        self.assertEqual(len(self.platform.orders), 1)


class FencingTests(DutiesTestCase):
    fencing = True

    async def test_the_successor_finishes_the_order_and_the_late_copy_is_refused(self):
        """Guards against an engine that receives conflicting orders."""
        alpha = await self.start_node("alpha")
        await self.wait_for_holder(alpha, ENGINES)
        paused, resume = alpha.pause_before_sending(ENGINES)
        task = asyncio.create_task(
            alpha.duties.submit_order(ENGINES, "engine-1", PREFILL)
        )
        await paused.wait()
        self.peers.partitioned.add("alpha")
        beta = await self.replace_holder(alpha, ENGINES)
        await submit_with_retries(beta, ENGINES, "engine-1", DECODE)
        resume.set()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(self.engine.role, "decode")
        received = [
            (order["role"], order["sender"], order["accepted"])
            for order in self.engine.orders
        ]
        self.assertEqual(
            received,
            [
                ("prefill", "beta.1", True),
                ("decode", "beta.1", True),
                ("prefill", "alpha.1", False),
            ],
        )

    async def test_an_order_that_is_sent_again_is_reported_in_flight(self):
        """Guards against an acknowledgement that omits a second attempt."""
        alpha = await self.start_node("alpha")
        await self.wait_for_holder(alpha, ENGINES)
        paused, _ = alpha.pause_before_sending(ENGINES)
        task = asyncio.create_task(
            alpha.duties.submit_order(ENGINES, "engine-1", PREFILL)
        )
        await paused.wait()
        await alpha.kill()
        task.cancel()
        beta = await self.start_node("beta")
        attempts = []
        second = asyncio.Event()

        async def send(sending, order):
            attempts.append(order.order_id)
            if len(attempts) == 1:
                raise OrderUnanswered("no answer")
            second.set()
            await asyncio.sleep(3600)

        beta.duties._receivers_by_kind["engines"].send = send
        alpha.revoke_lease(self.kv)
        authority = await self.wait_for_holder(beta, ENGINES)
        while not second.is_set():
            # Reading the orders in flight drops those that are drained.
            beta.duties.dump()
            await asyncio.sleep(0.05)
        in_flight = await beta.duties._acknowledge(ENGINES, authority.epoch + 1)
        self.assertEqual(in_flight, attempts[:1])
