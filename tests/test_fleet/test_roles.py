"""Role planning: limits for every policy, and decisions of the default policy."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.fleet.planner_parameters import PlannerParameters
from camphorgate.fleet.pool_state import Demand, Engine, EngineRates
from camphorgate.fleet.roles import (
    max_concurrent_changes,
    min_both_engines,
    plan_roles,
    policies,
)

ROLES = ("prefill", "decode", "both")
RATES = EngineRates()
engines_strategy = st.lists(
    st.builds(
        Engine,
        id=st.just(""),
        kind=st.sampled_from(("ordinary", "cheap")),
        role=st.sampled_from(ROLES),
        phase=st.sampled_from(
            ("serving", "serving", "serving", "draining", "changing", "down")
        ),
        requests_in_flight=st.integers(0, 5),
        has_open_order=st.sampled_from((False, False, True)),
        target_role=st.sampled_from((None, None, None, *ROLES)),
    ),
    max_size=24,
).map(lambda items: tuple(_named(items)))
demands = st.builds(
    Demand,
    st.floats(0, 4e5),
    st.floats(0, 1e4),
    st.floats(0, 1e5),
    st.floats(0, 2e3),
    st.floats(0, 20000),
)


def _named(items):
    for number, item in enumerate(items):
        yield Engine(
            f"engine-{number}",
            "zone-a",
            item.kind,
            item.role,
            item.phase,
            item.requests_in_flight,
            item.has_open_order,
            item.target_role,
        )


class BoundTests(unittest.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(engines_strategy, demands, st.sampled_from(sorted(policies)))
    def test_bounds_hold_for_every_policy(self, engines, demand, policy):
        """Guards against plans that leave too few engines in the role ``both``,
        contradict an open order, or change too many engines at once.
        """
        parameters = PlannerParameters(role_policy=policy)
        changes = plan_roles(engines, demand, RATES, parameters)
        engines_by_id = {engine.id: engine for engine in engines}
        chosen = [engines_by_id[change.engine_id] for change in changes]
        for engine in chosen:
            self.assertEqual(engine.phase, "serving")
            self.assertFalse(engine.has_open_order)
            self.assertIn(engine.target_role, (None, engine.role))
        present = [engine for engine in engines if engine.present]
        away = sum(
            engine.has_open_order
            or engine.phase in ("draining", "changing")
            or engine.target_role not in (None, engine.role)
            for engine in engines
        )
        if changes:
            allowed = max_concurrent_changes(len(present), parameters)
            self.assertLessEqual(away + len(changes), allowed)
        if any(engine.role == "both" for engine in chosen):
            left = [
                engine
                for engine in present
                if engine.role == "both"
                and engine.phase == "serving"
                and engine not in chosen
            ]
            self.assertGreaterEqual(
                len(left), min_both_engines(len(present), parameters)
            )
            if any(engine.kind == "ordinary" for engine in chosen):
                self.assertTrue(any(engine.kind == "ordinary" for engine in left))


class GainTests(unittest.TestCase):
    def _plan(self, demand, roles="pppdddbbb", **changes):
        names = {"p": "prefill", "d": "decode", "b": "both"}
        engines = tuple(
            Engine(f"e{number}", role=names[letter])
            for number, letter in enumerate(roles)
        )
        parameters = PlannerParameters(**changes)
        return plan_roles(engines, demand, RATES, parameters)

    def test_table(self):
        """Guards against role changes without benefit, and against missing a shift."""
        steady = Demand(45000, 1900, 2000, 80, 4500)
        reads = Demand(84000, 720, 3000, 60, 7000)
        talk = Demand(16000, 2900, 1500, 80, 1600)
        sure = Demand(60000, 1300, 1200, 26, 6000)
        unsure = Demand(60000, 1300, 18000, 390, 6000)
        cases = [
            ("steady mix", steady, {}, set()),
            ("long reads", reads, {}, {"prefill"}),
            ("long answers", talk, {}, set()),
            ("long answers, few for decode", talk, {"roles": "ppppppbbb"}, {"decode"}),
            ("certain enough", sure, {}, {"prefill"}),
            ("too uncertain", unsure, {}, set()),
            ("too short to pay off", reads, {"horizon_seconds": 10.0}, set()),
            ("static", reads, {"role_policy": "static"}, set()),
            ("greedy", reads, {"role_policy": "greedy_threshold"}, {"prefill"}),
            ("no engine of both roles", steady, {"roles": "ppppppddd"}, {"both"}),
        ]
        for name, demand, changes, wanted in cases:
            with self.subTest(name):
                plan = self._plan(demand, **changes)
                self.assertEqual({change.role for change in plan}, wanted)
