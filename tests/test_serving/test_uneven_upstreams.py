"""Checks choices among upstreams of uneven speed by a simulation without a network."""

import unittest

from camphorgate.serving.catalog import Phase
from tests.hosting_builders import build_engine, build_listed_upstream
from tests.uneven_upstreams import (
    SLOWDOWN,
    SLOWED_FRACTION,
    Decider,
    KnowingDecider,
    LeastOutstandingDecider,
    SimulatedLoad,
    Simulation,
)

FACTORS = (0.7, 0.7, 1.7)
SEEDS = (1, 2, 3)
SECONDS = 24.0
# Fraction of the answers in time of a chooser that knows every queue and speed.
MIN_FRACTION_OF_KNOWING = 0.97


def build_engine_load():
    """Return the prompts and engines of customer B.

    0.6 of the shared parts are cached. The targets leave 45 ms for decoding.
    """
    engines = [build_engine(f"e{n}", Phase.PREFILL, slots=1) for n in range(30)]
    kinds = (8763, 67.6, 0.4), (707, 45.5, 0.175), (2027, 110.0, 0.227)
    return SimulatedLoad(engines, FACTORS + (1.0,) * 27, 26.0, 1 / 157, 10**6, kinds)


def build_call_load():
    """Return a plain service of uneven upstreams at 0.7 of its capacity."""
    upstreams = [build_listed_upstream(f"d{n}", slots=6) for n in range(len(FACTORS))]
    slowed = 1 + SLOWED_FRACTION * (SLOWDOWN - 1)
    capacity = sum(6 / (0.072 * factor * slowed) for factor in FACTORS)
    kinds = ((0, 0.7 * capacity, 0.357),)
    return SimulatedLoad(upstreams, FACTORS, 72.0, 0.0, 24, kinds)


class UnevenUpstreamTests(unittest.TestCase):
    """87 instances with views 0.2 s old choose nearly as well as one that knows all."""

    def check(self, load):
        """Compare the choosers on a load."""

        def play(decider, **options):
            played = [
                Simulation(load, decider, seed, SECONDS, **options).run()
                for seed in SEEDS
            ]
            return sum(played) / len(played)

        chosen = play(Decider)
        self.assertGreaterEqual(chosen / play(KnowingDecider), MIN_FRACTION_OF_KNOWING)
        self.assertGreater(chosen, play(LeastOutstandingDecider))
        # Without learning, choices are those of the version before.
        self.assertGreater(chosen, play(Decider, learns=False))

    def test_prompts_on_uneven_engines(self):
        """Guards against queues at the engine that all instances believe to be idle."""
        self.check(build_engine_load())

    def test_calls_on_uneven_upstreams(self):
        """Guards against an equal share for upstreams of 2.4 times the duration."""
        self.check(build_call_load())
