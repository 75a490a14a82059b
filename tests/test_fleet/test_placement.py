"""Placement: the load rate across pools, and the order of loads in an upgrade."""

import itertools
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.fleet.placement import (
    PlacementState,
    plan_placement,
    served_names_by_engine,
)
from camphorgate.fleet.pool_state import Engine
from camphorgate.manifest import Adapter, Model, Pool, WeightStore
from tests.builders import build_manifest

POOLS = ("models", "other")


def _manifest(rate=6.0, version="1"):
    return build_manifest(
        pools=tuple(Pool(name, "engines") for name in POOLS),
        models=tuple(
            Model(f"m-{name}", name, version, (Adapter(f"a-{name}"),)) for name in POOLS
        ),
        weight_store=WeightStore(rate),
    )


class _PoolSimulation:
    """Simulates the engines of two pools whose duties have different holders."""

    def __init__(self, count=3, skew=0.0):
        self.memories = {name: PlacementState() for name in POOLS}
        self.skew = skew
        self.engines = {
            name: {
                f"{name}-{n}": Engine(f"{name}-{n}", f"zone-{n % 2}")
                for n in range(count)
            }
            for name in POOLS
        }
        self.loaded_at = []

    def run(self, manifest, start, seconds):
        now = start
        while now < start + seconds:
            for number, name in enumerate(POOLS):
                engines = self.engines[name]
                plan = plan_placement(
                    manifest,
                    name,
                    tuple(engines.values()),
                    self.memories[name],
                    now + number * self.skew,
                )
                for load in plan:
                    self._apply(engines, load, now)
            now += 1.3
        return now

    def _apply(self, engines, load, now):
        engine = engines[load.engine_id]
        loaded = set(engine.loaded_artifacts)
        if load.kind == "load_model":
            loaded.add(load.model)
            self.loaded_at.append(now)
        else:
            loaded.discard(load.model)
        engines[load.engine_id] = msgspec.structs.replace(
            engine, loaded_artifacts=tuple(sorted(loaded))
        )


class PlacementTests(unittest.TestCase):
    @settings(max_examples=20, derandomize=True, deadline=None)
    @given(st.floats(0, 1e6), st.floats(0.5, 20.0), st.floats(-1.0, 1.0))
    def test_rate_holds_across_pools(self, start, rate, skew):
        """Guards against holders that together exceed the weight store's rate limit."""
        world = _PoolSimulation(skew=skew)
        world.run(_manifest(rate), start, 400)
        self.assertGreater(len(world.loaded_at), 0)
        gaps = [b - a for a, b in itertools.pairwise(world.loaded_at)]
        self.assertGreaterEqual(min(gaps, default=60 / rate) + 1e-6, 60 / rate)

    def test_new_version_loads_before_the_old_one_goes(self):
        """Guards against a model that no engine serves during an upgrade."""
        world = _PoolSimulation()
        now = world.run(_manifest(20.0), 0.0, 400)
        served = []
        manifest = _manifest(20.0, version="2")
        for _ in range(400):
            now = world.run(manifest, now, 1.0)
            loaded = [
                engine.loaded_artifacts for engine in world.engines["models"].values()
            ]
            served.append(sum(any("m-models@" in m for m in item) for item in loaded))
        self.assertEqual(min(served), 3)
        for engine in world.engines["models"].values():
            self.assertEqual(engine.loaded_artifacts, ("a-models@1", "m-models@2"))

    def test_no_load_for_engines_that_are_busy_with_an_order(self):
        """Guards against an order that contradicts an open one."""
        engines = (
            Engine("e1", has_open_order=True),
            Engine("e2", phase="changing"),
            Engine("e3", phase="leaving", loaded_artifacts=("gone@1",)),
        )
        for second in range(60):
            plan = plan_placement(
                _manifest(), "models", engines, PlacementState(), float(second)
            )
            self.assertEqual(plan, [])


class NamesServedTests(unittest.TestCase):
    def test_requests_go_to_engines_that_have_the_artefact(self):
        """Guards against requests sent to an engine without the model or adapter."""
        wanted = ["m@2", "a@1"]
        cases = (
            ({"x": ["m@2"], "y": ["m@1"]}, {"x": {"m", "a"}, "y": {"a"}}),
            ({"x": ["m@1"], "y": ["a@1"]}, {"x": {"m"}, "y": {"a"}}),
            ({"x": ["m@2", "a@1"], "y": []}, {"x": {"m", "a"}, "y": {"m", "a"}}),
            ({"x": [], "y": []}, {"x": {"m", "a"}, "y": {"m", "a"}}),
        )
        for loaded, expected in cases:
            with self.subTest(loaded=loaded):
                self.assertEqual(served_names_by_engine(wanted, loaded), expected)
