"""Tests of the duty that orders upstreams, against a fake platform."""

import unittest
from types import SimpleNamespace

from camphorgate.application import Application
from camphorgate.clock import ManualClock
from camphorgate.serving.catalog import Phase, ScalingSpec, Service
from camphorgate.serving.fleet_plan import ORDER_RETRY_SECONDS
from camphorgate.serving.upstream_table import UpstreamTable
from camphorgated.serving.errors import CallFailed
from camphorgated.serving.fleet_duty import FleetDuty
from camphorgated.serving.platform_protocol import OrderResult
from tests.hosting_builders import build_engine, build_engine_spec

STARTUP_SECONDS = 4.0


class _FakePlatform:
    """Records orders; refuses cheap ones in some zones, and can be unresponsive."""

    def __init__(self):
        self.orders = []
        self.cheap_unavailable_zones = set()
        self.is_silent = False

    async def order_upstreams(
        self, holder, fencing, service, zone, count, cheap, seconds=None
    ):
        if self.is_silent:
            raise CallFailed("no response", True)
        self.orders.append((zone, count, cheap))
        if cheap and zone in self.cheap_unavailable_zones:
            return OrderResult(False, False, 409)
        return OrderResult(True, False, 200)


class CapacityDutyTests(unittest.IsolatedAsyncioTestCase):
    """Orders follow the plan without delay and without duplicates."""

    def setUp(self):
        """Create a duty for a service in two zones with four engines each."""
        self.clock = ManualClock()
        self.platform = _FakePlatform()
        self.table = UpstreamTable()
        app = Application(None, self.clock)
        app.provide("dialect", self.platform)
        app.provide("gossip", SimpleNamespace(changing=set()))
        own = SimpleNamespace(instance="entry-1")
        members = SimpleNamespace(
            fencing=7,
            own=own,
            holds_duty=lambda: True,
            call_as_holder=lambda _, send: send(None),
        )
        app.provide("members", members)
        prices = {"a": 0.85, "b": 1.2}
        scaling = ScalingSpec(1, 4, STARTUP_SECONDS, 0.15, prices)
        self.service = Service("models", "/", 100, build_engine_spec(), scaling)
        catalog = SimpleNamespace(services_by_name={"models": self.service})
        app.provide("directory", SimpleNamespace(table=self.table, catalog=catalog))
        self.duty = FleetDuty(app)
        self.list_engines("a", 1, 3)
        self.list_engines("b", 0, 4)

    def list_engines(self, zone, ordinary, cheap):
        """Replace the engines of a zone."""
        for item in [item for item in self.table.by_id.values() if item.zone == zone]:
            del self.table.by_id[item.id]
        for number in range(ordinary + cheap):
            name = f"{zone}-{number}"
            engine = build_engine(
                name, Phase.PREFILL, zone=zone, cheap=number >= ordinary
            )
            self.table.by_id[name] = engine

    async def run_tick(self, seconds=0.25):
        """Advance the clock, run the duty once, and return its orders."""
        self.clock.advance(seconds)
        self.platform.orders.clear()
        self.duty.record_zones()
        await self.duty.order_capacity(self.service)
        return list(self.platform.orders)

    async def test_orders_are_sent_once(self):
        """Guards against repeating an order at every tick."""
        self.assertEqual(len(await self.run_tick()), 4)
        self.assertEqual(await self.run_tick(), [])
        self.assertEqual(await self.run_tick(60.0), [])

    async def test_refused_cheap_engines_are_replaced_within_two_ticks(self):
        """Guards against waiting for the startup time of an order that was changed."""
        await self.run_tick()
        self.platform.cheap_unavailable_zones.add("b")
        self.list_engines("b", 0, 0)
        self.assertEqual(
            sorted(await self.run_tick()), [("b", 1, False), ("b", 3, True)]
        )
        self.assertIn(("b", 3, False), await self.run_tick())

    async def test_unanswered_order_is_retried_after_a_delay(self):
        """Guards against a flood of calls while the platform is unavailable."""
        self.platform.is_silent = True
        self.assertEqual(await self.run_tick(), [])
        self.platform.is_silent = False
        self.assertEqual(await self.run_tick(ORDER_RETRY_SECONDS / 2), [])
        self.assertEqual(len(await self.run_tick(ORDER_RETRY_SECONDS)), 4)

    async def test_unanswered_changed_order_is_delayed_too(self):
        """Guards against the same flood when an accepted order is changed."""
        await self.run_tick()
        self.list_engines("b", 0, 0)
        self.platform.is_silent = True
        await self.run_tick()
        self.platform.is_silent = False
        self.assertEqual(await self.run_tick(ORDER_RETRY_SECONDS / 2), [])

    async def test_order_that_was_executed_late_is_corrected(self):
        """Guards against an engine count that an old order leaves wrong permanently."""
        await self.run_tick()
        self.list_engines("a", 3, 1)
        self.assertEqual(await self.run_tick(), [])
        orders = await self.run_tick(STARTUP_SECONDS + ORDER_RETRY_SECONDS)
        self.assertIn(("a", 1, False), orders)

    async def test_zone_without_engines_is_refilled(self):
        """Guards against forgetting a zone that has no listed engines."""
        await self.run_tick()
        self.list_engines("b", 0, 0)
        self.assertIn(("b", 1, False), await self.run_tick())
