"""Short seeded replays, with crashes during role changes and zone evictions."""

import unittest

from benchmarks.fleet_replay import RATES
from benchmarks.traces import Site, traces
from camphorgate.fleet.planner_parameters import PlannerParameters
from camphorgate.fleet.pool_state import EngineRates
from camphorgate.fleet.replay import Replay, Trace
from camphorgate.fleet.replay_engine import Fault
from camphorgate.fleet.replay_planner import PolicyPlanner
from camphorgate.fleet.replay_result import fair_shares, result_of

SITE = Site(["zone-a", "zone-b"], 6, 2)


def _short(name, seed, seconds=900.0, faults=None):
    trace = traces.get(name)(SITE, seed)
    trace.requests = [item for item in trace.requests if item[0] < seconds]
    trace.seconds = seconds
    trace.faults = trace.faults if faults is None else faults
    return trace


def _run(trace: Trace, planner_rates: EngineRates = RATES, **changes):
    parameters = PlannerParameters(
        minimum=3, maximum=12, cheap_share=0.4, hold_seconds=120.0, **changes
    )
    planner = PolicyPlanner(parameters, planner_rates, trace.zones)
    return result_of(Replay(trace, planner, 60.0).run(), 0.35), planner


class ReplayTests(unittest.TestCase):
    def test_crash_partway_through_changes_loses_no_request(self):
        """Guards against losing requests when an engine crashes during a role change,
        and against changes that are never repaired.
        """
        faults = [
            Fault(0.0, "crash_changes", seconds=600.0),
            Fault(500.0, "crash", seconds=30.0),
            Fault(620.0, "late_orders", seconds=200.0),
        ]
        trace = _short("mix_shift", 3, faults=faults)
        result, planner = _run(trace, capacity_policy="static")
        self.assertEqual(
            (result.lost, result.doubled, result.stopped_with_work), (0,) * 3
        )
        self.assertGreater(planner.role_changes.counts_by_outcome["started"], 0)
        self.assertGreater(planner.role_changes.counts_by_outcome["repaired"], 0)
        self.assertEqual(planner.role_changes.targets(), {})

    def test_eviction_of_zones_loses_no_request(self):
        """Guards against streams cut off and bookings placed on evicted upstreams."""
        faults = [
            Fault(at, "evict_zone", zone)
            for at, zone in ((300, "zone-a"), (420, "zone-b"))
        ]
        result, _ = _run(_short("zone_eviction", 5, faults=faults))
        self.assertEqual((result.harm, result.unknown), (0, 0))
        self.assertGreater(result.goodput, 0.8)

    def test_forecast_serves_more_than_static_even_with_wrong_rates(self):
        """Guards against planning that needs exact engine rates to pay off."""
        trace = _short("mix_shift", 3)
        static, _ = _run(trace, capacity_policy="static", role_policy="static")
        for rates in (
            RATES,
            EngineRates(prefill=17000.0, decode=690.0, mixed_prefill=0.7),
        ):
            with self.subTest(rates):
                result, _ = _run(trace, rates, capacity_policy="static")
                self.assertGreater(result.good, static.good)

    def test_same_seed_gives_the_same_result(self):
        """Guards against results that cannot be reproduced."""
        runs = [_run(_short("crash_in_change", 2, 400.0))[0] for _ in range(2)]
        self.assertEqual(runs[0], runs[1])

    def test_fair_shares_are_max_min(self):
        """Guards against fair shares that exceed a workspace's demand."""
        cases = [
            ([1, 5, 5], [1, 1, 1], 7, [1, 3, 3]),
            ([9, 9], [2, 1], 9, [6, 3]),
            ([1, 1], [1, 1], 9, [1, 1]),
            ([0, 4], [1, 1], 2, [0, 2]),
        ]
        for asked, weights, total, wanted in cases:
            for share, want in zip(
                fair_shares(asked, weights, total), wanted, strict=True
            ):
                self.assertAlmostEqual(share, want)
