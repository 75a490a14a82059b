"""Role changes of engines that crash, answer late or never drain."""

import unittest

import msgspec

from camphorgate.fleet.pool_state import Engine, EngineRates
from camphorgate.fleet.role_changes import MAX_DOWN_SECONDS, RoleChanges
from camphorgate.fleet.roles import RoleChange

RATES = EngineRates(role_change_seconds=8.0)


class _ChangeScenario:
    """One engine with its role changes and a simulated clock."""

    def __init__(self, **fields):
        self.changes = RoleChanges()
        self.engine = Engine("e1", role="decode", **fields)
        self.now = 0.0

    def begin(self):
        self.changes.start([RoleChange("e1", "prefill")], self.now)

    def step(self, seconds=5.0, **fields):
        self.now += seconds
        self.engine = msgspec.structs.replace(self.engine, **fields)
        orders = self.changes.advance((self.engine,), RATES, self.now, 2)
        return [(order.kind, order.role) for order in orders]


class ChangeTests(unittest.TestCase):
    def test_drains_before_the_order_and_confirms(self):
        """Guards against a role change that interrupts a request."""
        scene = _ChangeScenario(requests_in_flight=2)
        scene.begin()
        self.assertEqual(scene.step(), [("drain", None)])
        self.assertEqual(scene.step(phase="draining"), [])
        self.assertEqual(scene.step(requests_in_flight=0), [("set_role", "prefill")])
        self.assertEqual(scene.step(phase="changing"), [])
        self.assertEqual(scene.step(phase="serving", role="prefill"), [])
        self.assertEqual(scene.changes.counts_by_outcome["done"], 1)
        self.assertEqual(scene.changes.targets(), {})

    def test_crash_partway_is_repaired_with_a_new_drain(self):
        """Guards against changing an engine that accepted requests after a restart."""
        scene = _ChangeScenario()
        scene.begin()
        scene.step()
        scene.step(phase="draining")
        self.assertEqual(scene.step(phase="down"), [])
        self.assertEqual(
            scene.step(phase="serving", requests_in_flight=1), [("drain", None)]
        )
        self.assertEqual(scene.step(phase="draining"), [])
        self.assertEqual(scene.step(requests_in_flight=0), [("set_role", "prefill")])
        scene.step(phase="serving", role="prefill")
        self.assertEqual(scene.changes.counts_by_outcome["repaired"], 1)

    def test_order_without_effect_is_repeated_late_only(self):
        """Guards against a lost order, and against a second order while one is open."""
        scene = _ChangeScenario()
        scene.begin()
        scene.step()
        scene.step(phase="draining")
        self.assertEqual(scene.step(has_open_order=True, seconds=60), [])
        self.assertEqual(scene.step(has_open_order=False), [("set_role", "prefill")])

    def test_finds_engines_that_differ_from_what_was_wanted(self):
        """Guards against missing that an engine restarted in its old role."""
        scene = _ChangeScenario()
        scene.step()
        self.assertEqual(scene.step(role="both"), [])
        self.assertEqual(scene.step(), [("drain", None)])
        self.assertEqual(scene.changes.targets(), {"e1": "decode"})

    def test_gives_up(self):
        """Guards against a role change that keeps an engine out of service forever."""
        cases = [
            ("never drains", {"phase": "draining", "requests_in_flight": 1}, "release"),
            ("stays down", {"phase": "down"}, None),
            ("is evicted", {"phase": "leaving"}, None),
            ("is withdrawn", {"withdrawn_seconds": 1.0}, None),
        ]
        for name, fields, last in cases:
            with self.subTest(name):
                scene = _ChangeScenario(requests_in_flight=1)
                scene.begin()
                scene.step()
                kinds = []
                for _ in range(4):
                    kinds += [kind for kind, _ in scene.step(50.0, **fields)]
                self.assertEqual(scene.changes.counts_by_outcome["given_up"], 1)
                self.assertEqual(kinds[:1], [last] if last else [])
                self.assertNotIn("set_role", kinds)
        self.assertGreater(200.0, MAX_DOWN_SECONDS)

    def test_successor_releases_a_drain_that_nobody_wants(self):
        """Guards against engines that stay drained after the duty holder crashed."""
        scene = _ChangeScenario(phase="draining")
        self.assertEqual(scene.step(), [("release", None)])
