"""Capacity planning under random load: cheap share, reserve, drains and scale-down."""

import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.fleet.capacity import (
    MIN_WITHDRAWN_SECONDS,
    CapacityHistory,
    CapacityInput,
    plan_capacity,
    policies,
    required_reserve,
    reserve_holds,
    target_by_zone_and_kind,
    within_cheap_share,
)
from camphorgate.fleet.eviction import InFlightRequest, plan_evacuation
from camphorgate.fleet.planner_parameters import (
    PlannerParameters,
    planner_parameters_for,
)
from camphorgate.fleet.pool_state import Demand, Engine, EngineRates
from camphorgate.manifest import Objective, Pool

ZONES = ["zone-a", "zone-b", "zone-c"]
RATES = EngineRates()


class _FleetSimulation:
    """Simulates a fleet that executes the plans, with random work and delays."""

    def __init__(self, seed, parameters, count=4):
        self.random = random.Random(seed)
        self.parameters = parameters
        self.memory = CapacityHistory()
        self.now = 0.0
        self.withdrawn_at = {}
        self.engines = {
            f"u{n}": Engine(f"u{n}", ZONES[n % 3], phase="serving")
            for n in range(count)
        }
        self.created = count
        self.checks = lambda question, actions: None

    def step(self, load, seconds=5.0):
        self.now += seconds
        self._update_engines()
        demand = Demand(load * 0.43 * RATES.prefill, load * 0.57 * RATES.decode)
        question = CapacityInput(
            tuple(self.engines.values()), demand, demand, RATES, self.parameters
        )
        actions = plan_capacity(question, ZONES, self.memory, self.now)
        self.checks(question, actions)
        for action in actions:
            self._apply(action)
        return actions

    def _update_engines(self):
        for key, engine in list(self.engines.items()):
            at = self.withdrawn_at.get(key)
            fields = {"requests_in_flight": self.random.choice((0, 0, 3)) if at else 3}
            if engine.phase == "starting" and self.random.random() < 0.1:
                fields["phase"] = "serving"
            if at is not None:
                fields["withdrawn_seconds"] = self.now - at
            self.engines[key] = msgspec.structs.replace(engine, **fields)

    def _apply(self, action):
        if action.kind == "start":
            key = f"u{self.created}"
            self.created += 1
            self.engines[key] = Engine(
                key, action.availability_zone, action.upstream_kind, phase="starting"
            )
        elif action.kind == "withdraw":
            self.withdrawn_at[action.upstream_id] = self.now
        else:
            del self.engines[action.upstream_id]

    def present(self):
        return [engine for engine in self.engines.values() if engine.present]


class HistoryTests(unittest.TestCase):
    @settings(max_examples=25, derandomize=True, deadline=None)
    @given(
        st.integers(0, 1000),
        st.sampled_from((0.0, 0.3, 0.5, 1.0)),
        st.lists(st.floats(0.5, 7.0), min_size=3, max_size=6),
        st.sampled_from(sorted(policies)),
    )
    def test_share_reserve_and_work(self, seed, share, loads, policy):
        """Guards against exceeding the cheap share in any order of arrival, falling
        below the reserve, stopping an upstream with requests in flight, and starting
        more upstreams than the maximum.
        """
        parameters = PlannerParameters(
            cheap_share=share, maximum=14, hold_seconds=60.0, capacity_policy=policy
        )
        world = _FleetSimulation(seed, parameters)

        def check(question, actions):
            self.assertLessEqual(len(question.engines), parameters.maximum)
            for action in actions:
                engine = world.engines.get(action.upstream_id)
                if action.kind == "stop":
                    self.assertEqual(engine.requests_in_flight, 0)
                    self.assertGreaterEqual(
                        engine.withdrawn_seconds, MIN_WITHDRAWN_SECONDS
                    )
                elif action.kind == "withdraw" and policy == "forecast_reserve":
                    rest = [e for e in world.present() if e is not engine]
                    self.assertTrue(reserve_holds(rest, required_reserve(question)))

        world.checks = check
        for load in loads:
            for _ in range(60):
                world.step(load)
                self.assertTrue(within_cheap_share(world.present(), parameters))

    def test_follows_service_up_and_down(self):
        """Guards against capacity that is never released, and against flapping."""
        parameters = PlannerParameters(cheap_share=0.4, hold_seconds=60.0)
        world = _FleetSimulation(1, parameters)
        counts = []
        for load in (2.0, 6.0, 1.0):
            for _ in range(200):
                world.step(load)
            counts.append(len(world.present()))
        self.assertGreater(counts[1], counts[0])
        self.assertLess(counts[2], counts[0])
        actions = [action for _ in range(100) for action in world.step(1.0)]
        self.assertEqual(actions, [])

    def test_settled_fleet_survives_the_loss_of_any_zone(self):
        """Guards against a reserve that depends on the cheap upstreams of one zone."""
        parameters = PlannerParameters(cheap_share=0.5)
        world = _FleetSimulation(3, parameters)
        for _ in range(300):
            world.step(4.0)
        engines = world.present()
        self.assertTrue(any(engine.kind == "cheap" for engine in engines))
        demand = Demand(4 * 0.43 * RATES.prefill, 4 * 0.57 * RATES.decode)
        question = CapacityInput(tuple(engines), demand, demand, RATES, parameters)
        for zone in ZONES:
            left = [
                engine
                for engine in engines
                if engine.kind != "cheap" or engine.availability_zone != zone
            ]
            self.assertGreaterEqual(len(left), required_reserve(question), zone)

    def test_holders_of_two_zones_do_not_start_cheap_ones_at_once(self):
        """Guards against exceeding the cheap share when two holders start upstreams
        at once, each unaware of the other's orders.
        """
        parameters = PlannerParameters(cheap_share=0.3, maximum=10)
        engines = tuple(Engine(f"u{n}", ZONES[n % 3]) for n in range(5))
        demand = Demand(70000, 2500)
        question = CapacityInput(engines, demand, demand, RATES, parameters)
        for second in range(120):
            plan = plan_capacity(question, ZONES, CapacityHistory(), float(second))
            zones = {
                action.availability_zone
                for action in plan
                if action.kind == "start" and action.upstream_kind == "cheap"
            }
            self.assertLessEqual(len(zones), 1)


class TargetTests(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.integers(0, 40), st.integers(0, 20), st.floats(0, 1), st.integers(1, 30))
    def test_targets_keep_share_reserve_and_maximum(
        self, need, reserve, share, max_upstreams
    ):
        """Guards against targets that violate the limits on starts and stops."""
        parameters = PlannerParameters(cheap_share=share, maximum=max_upstreams)
        reserve = min(reserve, max_upstreams)
        targets = target_by_zone_and_kind(need, reserve, ZONES, parameters)
        total = sum(targets.values())
        cheap = [targets[zone, "cheap"] for zone in ZONES]
        self.assertLessEqual(total, max_upstreams)
        self.assertLessEqual(sum(cheap), share * total + 1e-6)
        self.assertGreaterEqual(total - max(cheap), reserve)

    def test_objective_moves_the_parameters(self):
        """Guards against weights without effect, or with the opposite effect."""
        pool = Pool("models", "engines")
        thrifty = planner_parameters_for(Objective(1.0, 1.0, 2.0, 2.0), pool)
        careful = planner_parameters_for(Objective(2.0, 2.0, 1.0, 0.5), pool)
        self.assertLess(thrifty.target_share, careful.target_share)
        self.assertLess(thrifty.hold_seconds, careful.hold_seconds)
        self.assertLess(thrifty.reserve_share, careful.reserve_share)
        self.assertGreater(thrifty.cheap_share_factor, careful.cheap_share_factor)
        self.assertEqual(
            planner_parameters_for(Objective(2.0, 2.0, 4.0, 4.0), pool),
            thrifty,
            "ratios only",
        )
        planner_parameters_for(Objective(0.0, 0.0, 0.0, 0.0), pool)


class EvictionTests(unittest.TestCase):
    def test_resumable_work_moves_longest_first(self):
        """Guards against running a booking twice, and against streams that are cut off
        when the notice ends.
        """
        requests = [
            InFlightRequest("short", True, 1.0),
            InFlightRequest("booking", False, 9.0),
            InFlightRequest("long", True, 30.0),
            InFlightRequest("middle", True, 4.0),
        ]
        plan = plan_evacuation(requests, 5.0)
        self.assertEqual(plan.move, ("long", "middle"))
        self.assertEqual(set(plan.let_finish), {"booking", "short"})
