"""Three nodes send orders while faults of every kind occur in random order.

The seed determines the faults but not the timing; the assertions hold in any run.
"""

import asyncio
import random

from camphorgate.errors import CamphorgateError
from tests.test_duties.harness import CAPACITY, ENGINES, DutiesTestCase

NAMES = ("alpha", "beta", "gamma")
RUN_SECONDS = 7.0
ROLES = ("prefill", "decode", "both")


class FaultInjector:
    """Applies one random fault to a node or a stand-in."""

    def __init__(self, case, generator):
        self._case = case
        self._random = generator
        self.kinds = [getattr(self, name) for name in dir(self) if "fault_" in name]

    async def fault_lease_revoked(self, name, node):
        node.revoke_lease(self._case.kv)

    async def fault_kill(self, name, node):
        await node.kill()
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        incarnation = node.membership.incarnation + 1
        self._case.nodes_by_name[name] = await self._case.start_node(name, incarnation)

    async def fault_clock_jump(self, name, node):
        node.clock.offset += self._random.uniform(0.5, 4.0)

    async def fault_partition(self, name, node):
        self._case.peers.partitioned.add(name)

    async def fault_partition_ends(self, name, node):
        self._case.peers.partitioned.clear()

    async def fault_kv_loses_answers(self, name, node):
        self._case.kv.faults.arm({"fault": "lose_answers", "count": 2})

    async def fault_kv_is_down(self, name, node):
        self._case.kv.faults.arm({"fault": "down", "seconds": 0.5})

    async def fault_receivers_lose_answers(self, name, node):
        for standin in (self._case.platform, self._case.engine):
            standin.faults.arm({"fault": "lose_answers", "count": 1})

    async def fault_receivers_are_slow(self, name, node):
        for standin in (self._case.platform, self._case.engine):
            standin.faults.arm({"fault": "slow", "seconds": 1.0, "value": 0.2})


class _RandomFaultsTestCase(DutiesTestCase):
    async def run_faults(self, seed):
        generator = random.Random(seed)
        self.nodes_by_name = {name: await self.start_node(name) for name in NAMES}
        senders = [asyncio.create_task(self.send_orders(name)) for name in NAMES]
        faults = FaultInjector(self, generator)
        loop = asyncio.get_running_loop()
        end = loop.time() + RUN_SECONDS
        while loop.time() < end:
            await asyncio.sleep(generator.uniform(0.1, 0.5))
            name = generator.choice(NAMES)
            await generator.choice(faults.kinds)(name, self.nodes_by_name[name])
        while pending := [task for task in senders if not task.done()]:
            for task in pending:
                task.cancel()
            await asyncio.wait(pending, timeout=0.5)

    async def send_orders(self, name):
        number = 0
        while True:
            node = self.nodes_by_name[name]
            for duty in (CAPACITY, ENGINES):
                authority = node.duties.authority(duty) if node.alive else None
                if authority is None:
                    continue
                number += 1
                order_id = f"{authority.epoch}.{name}.{number}"
                order = {"kind": "set_role", "role": ROLES[number % 3]}
                target = "engine-1"
                if duty == CAPACITY:
                    order = {"kind": "start", "pool": "models", "zone": "zone-a"}
                    target = "models"
                try:
                    await node.duties.submit_order(
                        duty, target, {**order, "order_id": order_id}
                    )
                except CamphorgateError:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.02)

    def check_received_orders(self):
        ids = [order["order_id"] for order in self.platform.orders]
        epochs = [int(item.split(".")[0]) for item in ids]
        self.assertGreater(len(ids), 5)
        self.assertEqual(
            epochs, sorted(epochs), "capacity orders of two holders interleave"
        )
        self.assertEqual(len(ids), len(set(ids)), "a capacity order arrived twice")
        accepted = [order for order in self.engine.orders if order["accepted"]]
        for name in ("sequence", "fencing"):
            numbers = [order[name] for order in accepted]
            self.assertEqual(numbers, sorted(numbers), f"engine orders by {name}")


class IgnoredFencingTests(_RandomFaultsTestCase):
    async def test_orders_never_conflict(self):
        """Guards against combinations of faults that no other test covers (I1, I5)."""
        await self.run_faults(seed=1)
        self.check_received_orders()


class FencingTests(_RandomFaultsTestCase):
    fencing = True

    async def test_orders_never_conflict(self):
        """Guards against combinations of faults that no other test covers (I1, I3)."""
        await self.run_faults(seed=2)
        self.check_received_orders()
