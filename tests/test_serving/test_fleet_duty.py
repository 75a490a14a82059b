"""Tests of the duty that orders upstreams, against a platform that is a list."""

import unittest
from types import SimpleNamespace

from camphorgate.application import Application
from camphorgate.clock import ManualClock
from camphorgate.serving.catalog import Phase, ScalingSpec, Service
from camphorgate.serving.fleet_plan import AGAIN_SECONDS
from camphorgate.serving.upstream_table import UpstreamTable
from camphorgated.serving.errors import CallFailed
from camphorgated.serving.fleet_duty import FleetDuty
from camphorgated.serving.wire import Verdict
from tests.hosting_builders import build_engine, build_engine_spec

STARTUP_SECONDS = 4.0


class _Platform:
    """Takes orders; some kinds are not to be had, and some calls get no answer."""

    def __init__(self):
        self.orders = []
        self.dry = set()
        self.silent = False

    async def order_upstreams(self, holder, fencing, service, zone, count, cheap):
        if self.silent:
            raise CallFailed("no answer", True)
        self.orders.append((zone, count, cheap))
        if cheap and zone in self.dry:
            return Verdict(False, False, 409)
        return Verdict(True, False, 200)


class CapacityDutyTests(unittest.IsolatedAsyncioTestCase):
    """Orders follow the plan without delay and without repeats."""

    def setUp(self):
        """Build a duty whose service runs in two zones, with four engines each."""
        self.clock = ManualClock()
        self.platform = _Platform()
        self.table = UpstreamTable()
        app = Application(None, self.clock)
        app.provide("dialect", self.platform)
        app.provide("gossip", SimpleNamespace(changing=set()))
        own = SimpleNamespace(instance="entry-1")
        members = SimpleNamespace(fencing=7, own=own, holds_duty=lambda: True)
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

    async def step(self, seconds=0.25):
        """Let time pass, run the duty once, and return the orders it gave."""
        self.clock.advance(seconds)
        self.platform.orders.clear()
        self.duty.record_zones()
        await self.duty.order_capacity(self.service)
        return list(self.platform.orders)

    async def test_orders_are_given_once(self):
        """Guards against orders at every tick."""
        self.assertEqual(len(await self.step()), 4)
        self.assertEqual(await self.step(), [])
        self.assertEqual(await self.step(60.0), [])

    async def test_refused_cheap_ones_are_replaced_within_two_ticks(self):
        """Guards against waiting out the start of an order that was changed."""
        await self.step()
        self.platform.dry.add("b")
        self.list_engines("b", 0, 0)
        self.assertEqual(sorted(await self.step()), [("b", 1, False), ("b", 3, True)])
        self.assertIn(("b", 3, False), await self.step())

    async def test_unanswered_order_waits_before_it_is_given_again(self):
        """Guards against a flood of calls while the platform is away."""
        self.platform.silent = True
        self.assertEqual(await self.step(), [])
        self.platform.silent = False
        self.assertEqual(await self.step(AGAIN_SECONDS / 2), [])
        self.assertEqual(len(await self.step(AGAIN_SECONDS)), 4)

    async def test_changed_order_without_an_answer_waits_too(self):
        """Guards against the same flood after an accepted order."""
        await self.step()
        self.list_engines("b", 0, 0)
        self.platform.silent = True
        await self.step()
        self.platform.silent = False
        self.assertEqual(await self.step(AGAIN_SECONDS / 2), [])

    async def test_order_that_was_carried_out_late_is_corrected(self):
        """Guards against a number that an old order leaves behind for good."""
        await self.step()
        self.list_engines("a", 3, 1)
        self.assertEqual(await self.step(), [])
        orders = await self.step(STARTUP_SECONDS + AGAIN_SECONDS)
        self.assertIn(("a", 1, False), orders)

    async def test_zone_that_lost_every_engine_gets_some(self):
        """Guards against zones that vanish with the list of their engines."""
        await self.step()
        self.list_engines("b", 0, 0)
        self.assertIn(("b", 1, False), await self.step())
