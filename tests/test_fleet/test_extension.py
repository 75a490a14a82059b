"""The fleet extension with fakes of the other services and engine stand-ins."""

import contextlib
import unittest
from types import SimpleNamespace

import msgspec

from camphorgate.application import Application
from camphorgate.authority.errors import OrderConflict
from camphorgate.clock import ManualClock
from camphorgate.fleet.demand import decode_memory
from camphorgate.kv.errors import KvConflict, KvUnavailable
from camphorgate.manifest import (
    AvailabilityZone,
    Capacity,
    ManifestIndex,
    Objective,
    Pool,
)
from camphorgate.requests.demand_history import DemandHistory
from camphorgate.requests.request_state import LoadReport, UpstreamState
from camphorgate_standins.engine import EngineStandin
from camphorgated.ext.fleet.service import FleetService
from camphorgated.ext.fleet.zones import Start, ZoneRecord, prune_record
from camphorgated.ext.gateway.upstreams import UpstreamEntry
from tests.builders import build_manifest, build_upstream
from tests.serving import serve


class _Kv:
    """KV fake with revisions and simulated outages."""

    def __init__(self):
        self.entries_by_key = {}
        self.revision = 0
        self.down = False

    async def get(self, key, priority=None):
        self._check()
        return self.entries_by_key.get(key)

    async def get_prefix(self, prefix, priority=None):
        self._check()
        return [
            e for k, e in sorted(self.entries_by_key.items()) if k.startswith(prefix)
        ]

    async def put(self, key, value, lease=0, priority=None):
        self._check()
        self.revision += 1
        self.entries_by_key[key] = SimpleNamespace(
            key=key, value=value, mod_revision=self.revision
        )
        return SimpleNamespace(revision=self.revision)

    async def replace(self, key, value, mod_revision):
        entry = self.entries_by_key.get(key)
        if (entry.mod_revision if entry else 0) != mod_revision:
            raise KvConflict(key)
        return await self.put(key, value)

    def _check(self):
        if self.down:
            raise KvUnavailable("down")


class _Duties:
    """Duties fake that holds the given duties and forwards orders."""

    def __init__(self, duties, apply):
        self.duties = duties
        self.apply = apply
        self.orders = []
        self.open_receivers = []

    def held(self):
        return self.duties

    def authority(self, duty):
        return object() if duty in self.duties else None

    def dump(self):
        journal = {"open_orders": [{"receiver": name} for name in self.open_receivers]}
        return {"held": {duty: {"journal": journal} for duty in self.duties}}

    async def submit_order(self, duty, receiver, order):
        if receiver in self.open_receivers:
            raise OrderConflict("open")
        self.orders.append((duty, receiver, order))
        self.apply(receiver, order)


class _Upstreams:
    def __init__(self):
        self.entries_by_id = {}

    def add(self, upstream, pool, address="127.0.0.1:1"):
        view = UpstreamState(id=upstream, pool=pool, zone="zone-a")
        entry = UpstreamEntry(view, address, "engines")
        self.entries_by_id[upstream] = entry
        return entry

    def views(self, pool):
        entries = self.entries_by_id.values()
        return [entry.view for entry in entries if entry.view.pool == pool]

    def mark_leaving(self, upstream_id, cause="order"):
        if upstream_id in self.entries_by_id:
            self.entries_by_id[upstream_id].leaving_causes.add(cause)

    def mark_returned(self, upstream_id, cause="order"):
        self.entries_by_id[upstream_id].leaving_causes.discard(cause)


class _ServiceFixture:
    """The fleet service with fakes of its dependencies."""

    def __init__(self, duties, manifest, kv=None):
        self.clock = ManualClock()
        self.app = Application(SimpleNamespace(seed=1), self.clock)
        self.standins = {}
        self.listed = []
        self.kv = kv or _Kv()
        self.duties = _Duties(duties, self._apply)
        self.upstreams = _Upstreams()
        self.demand = DemandHistory()
        self.part = None
        membership = SimpleNamespace(
            instance_id="i1",
            members=lambda: [SimpleNamespace(instance_id=n) for n in ("i1", "i2")],
            live_count=lambda: 2,
            peer=lambda name: SimpleNamespace(report=self._report),
            platform_upstreams=lambda: self.listed,
        )
        index = ManifestIndex(manifest, 1)
        for name, service in {
            "kv": self.kv,
            "duties": self.duties,
            "upstreams": self.upstreams,
            "demand": self.demand,
            "membership": membership,
            "configuration": SimpleNamespace(index=index),
        }.items():
            self.app.provide(name, service)
        self.service = FleetService(self.app)

    async def _report(self, timeout):
        section = {"demand": self.service.report()["demand"], "pools": {}}
        return msgspec.msgpack.encode({"sections": {"fleet": section}, "version": 1})

    def _apply(self, receiver, order):
        if receiver in self.standins:
            self.standins[receiver]._apply(order)

    async def start(self):
        await self.service.start()

    async def round(self, prompts=0, prefill=0.0, decode=0.0, running=0):
        """Advance the clock by five seconds with some demand, then observe and plan."""
        for _ in range(5):
            self.clock.advance(1.0)
            now = self.clock.monotonic()
            for _ in range(prompts):
                self.demand.record_request(
                    "asked", "models", prefill / prompts, decode / prompts, now
                )
        for entry in self.upstreams.entries_by_id.values():
            entry.view.store_report(LoadReport(now, running=running))
        with contextlib.suppress(KvUnavailable):
            await self.service._observer.read_states()
            await self.service._zones.read()
        await self.service.plan_once(5.0)

    def kinds(self, kind):
        return [item for item in self.duties.orders if item[2]["kind"] == kind]


def _manifest(count=6, **changes):
    pool = Pool(
        "models",
        "engines",
        upstreams=tuple(build_upstream(f"e{n}") for n in range(count)),
        capacity=Capacity(**{"minimum": 1, "maximum": count, **changes}),
    )
    return build_manifest(
        availability_zones=(AvailabilityZone("zone-a", "region-1"),),
        pools=(pool,),
        services=(),
        objective=Objective(cost=2.0, cheap_capacity=2.0),
    )


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncTearDown(self):
        await self.world.service.stop()
        await self.world.app.stop()

    async def begin(self, duties, manifest, engines=0):
        self.world = _ServiceFixture(duties, manifest)
        await self.world.start()
        for number in range(engines):
            name = f"e{number}"
            standin = EngineStandin(name, role_seconds=0.0)
            address = await self.enterAsyncContext(serve(standin.app()))
            self.world.standins[name] = standin
            self.world.upstreams.add(name, "models", address)
        return self.world


class EngineOrderTests(FleetTestCase):
    async def test_a_shift_changes_roles_after_a_drain(self):
        """Guards against role orders that do not reach the engines or come before the
        drain, and against a gateway that keeps sending to a drained engine.
        """
        world = await self.begin(["engines/models"], _manifest(), engines=6)
        left = set()
        for _ in range(20):
            # This instance receives half of the demand, its peer the other half.
            await world.round(prompts=2, prefill=22000.0, decode=150.0)
            for name, entry in world.upstreams.entries_by_id.items():
                if "drain" in entry.leaving_causes:
                    left.add(name)
        changed = world.kinds("set_role")
        self.assertGreater(len(changed), 0)
        first = {}
        for number, (_, receiver, order) in enumerate(world.duties.orders):
            first.setdefault((receiver, order["kind"]), number)
        for _, receiver, order in changed:
            self.assertLess(first[receiver, "drain"], first[receiver, "set_role"])
            self.assertEqual(world.standins[receiver].role, order["role"])
            self.assertIn(receiver, left)
            self.assertEqual(
                world.upstreams.entries_by_id[receiver].view.role, order["role"]
            )
            self.assertFalse(world.standins[receiver].draining)
        report = world.service.report()["pools"]["models"]
        self.assertEqual(report["changes"]["started"], len(changed))
        self.assertLess(report["roles"]["both"], 6)

    async def test_no_order_for_a_busy_or_unknown_engine(self):
        """Guards against a role change while requests run or an order is open."""
        world = await self.begin(["engines/models"], _manifest(), engines=4)
        world.duties.open_receivers = ["e0"]
        for _ in range(14):
            await world.round(prompts=2, prefill=22000.0, decode=150.0, running=3)
        self.assertEqual(world.kinds("set_role"), [])
        self.assertNotIn("e0", [receiver for _, receiver, _ in world.duties.orders])

    async def test_models_are_loaded(self):
        """Guards against engines whose models are never loaded."""
        world = await self.begin(["engines/models"], _manifest(), engines=2)
        for _ in range(30):
            await world.round()
        for standin in world.standins.values():
            self.assertEqual(standin.models, {"assistant@1"})

    async def test_without_duties_nothing_is_ordered(self):
        """Guards against orders for duties that another instance holds."""
        world = await self.begin([], _manifest(), engines=2)
        for _ in range(10):
            await world.round(prompts=2, prefill=60000.0, decode=900.0)
        self.assertEqual(world.duties.orders, [])
        self.assertEqual(world.service.report()["pools"], {})
        self.assertGreater(world.service.report()["demand"]["models"][1], 0)


class CapacityOrderTests(FleetTestCase):
    async def test_starts_once_and_counts_what_arrives(self):
        """Guards against repeating a start until its upstream is listed, and against a
        new duty holder that repeats it.
        """
        manifest = _manifest(2, minimum=3, maximum=3)
        world = await self.begin(["capacity/zone-a"], manifest, engines=2)
        for _ in range(16):
            await world.round()
        starts = world.kinds("start")
        self.assertEqual(len(starts), 1)
        self.assertEqual(starts[0][2]["upstream_kind"], "ordinary")
        self.assertEqual(world.service.report()["pools"]["models"]["starting"], 1)
        successor = _ServiceFixture(["capacity/zone-a"], manifest, world.kv)
        successor.upstreams = world.upstreams
        successor.app._services_by_name["upstreams"] = world.upstreams
        await successor.start()
        for _ in range(8):
            await successor.round()
        self.assertEqual(successor.duties.orders, [])
        await successor.service.stop()
        await successor.app.stop()
        world.upstreams.add("new", "models")
        # The new upstream does not answer yet, but counts as capacity for a minute.
        for _ in range(11):
            await world.round()
        self.assertEqual(world.service.report()["pools"]["models"]["starting"], 0)
        self.assertEqual(len(world.kinds("start")), 1)
        for _ in range(3):
            await world.round()
        self.assertEqual(len(world.kinds("start")), 2)

    async def test_withdraws_before_it_stops_and_only_listed_upstreams(self):
        """Guards against stopping an upstream that has requests in flight or that the
        manifest names.
        """
        manifest = _manifest(2, maximum=6)
        world = await self.begin(["capacity/zone-a"], manifest, engines=4)
        for _ in range(75):
            await world.round(running=1)
        self.assertEqual(world.kinds("stop"), [])
        withdrawn = {
            name
            for name, entry in world.upstreams.entries_by_id.items()
            if name in world.service._zones.withdrawn_at()
        }
        self.assertTrue(withdrawn)
        self.assertLessEqual(withdrawn, {"e2", "e3"})
        await world.round(running=0)
        stopped = {order["upstream_id"] for _, _, order in world.kinds("stop")}
        self.assertEqual(stopped, withdrawn)

    async def test_nothing_starts_while_kv_is_down(self):
        """Guards against a start that a new duty holder cannot know about."""
        manifest = _manifest(1, minimum=3, maximum=3)
        world = await self.begin(["capacity/zone-a"], manifest, engines=1)
        world.kv.down = True
        for _ in range(10):
            await world.round()
        self.assertEqual(world.duties.orders, [])

    async def test_demand_memory_is_saved_each_minute_and_restored(self):
        """Guards against a demand record that is written too often or is empty."""
        world = await self.begin(["engines/models"], _manifest())
        for _ in range(250):
            await world.round(prompts=1, prefill=1000.0, decode=10.0)
        entry = world.kv.entries_by_key["demand/models"]
        self.assertLessEqual(world.kv.revision, 250 * 5 // 60 + 1)
        self.assertGreater(sum(decode_memory(entry.value).days), 0)


class RecordTests(unittest.TestCase):
    def test_tidy(self):
        """Guards against a start that is counted forever, and against two starts that
        are counted for one upstream.
        """
        starts = (
            Start("models", "cheap", 0.0, ("a",)),
            Start("models", "cheap", 500.0, ("a",)),
            Start("models", "cheap", 600.0, ("a", "b")),
        )
        record = ZoneRecord(starts, {"a": 1.0, "gone": 2.0})
        cases = [
            ({"a"}, 610.0, 180.0, starts[1:]),
            ({"a"}, 610.0, 900.0, starts),
            ({"a", "b"}, 610.0, 900.0, starts[1:]),
            ({"a", "b", "c", "d"}, 610.0, 900.0, ()),
        ]
        for ids, now, provisioning, left in cases:
            with self.subTest(ids=ids, provisioning=provisioning):
                found = prune_record(record, ids, now, provisioning)
                self.assertEqual(found.starts, left)
                self.assertEqual(found.withdrawn_at_by_id, {"a": 1.0})
