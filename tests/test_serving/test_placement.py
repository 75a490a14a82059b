"""Tests of loads, placement and fleet planning."""

import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.serving.catalog import Phase, ScalingSpec, Service
from camphorgate.serving.fleet_plan import (
    DECODE_FRACTION,
    distribute_decode_engines,
    plan_capacity,
    plan_phases,
)
from camphorgate.serving.health import HealthTable
from camphorgate.serving.loads import MAX_SOURCE_AGE_SECONDS, Load, LoadTable
from camphorgate.serving.placement import Placement, Prompt
from tests.hosting_builders import (
    build_engine,
    build_engine_spec,
    build_listed_upstream,
)

SPEC = build_engine_spec()
PARTS = (("common", 500), ("shared", 5000), ("own", 6500))
PROMPT = Prompt(12000, PARTS)
NO_ZONES = frozenset()
ALL_ZONES = frozenset("ab")


class PlacementTests(unittest.TestCase):
    """Requests are sent where their first token is predicted earliest."""

    def setUp(self):
        """Start without recorded loads and failures."""
        self.loads = LoadTable()
        self.health = HealthTable()
        self.placement = Placement(self.loads, self.health, "zone-a")
        self.prefill_engines = [build_engine(f"p{n}", Phase.PREFILL) for n in range(3)]
        self.decode_engines = [build_engine(f"d{n}", Phase.DECODE) for n in range(3)]

    def choose_prefill_id(self, prompt=PROMPT, now=1.0):
        """Return the id of the engine chosen to prefill a prompt."""
        return self.placement.choose_for_prefill(
            self.prefill_engines, prompt, now
        ).upstream.id

    def test_cached_part_attracts_a_prompt(self):
        """Guards against prefilling shared parts again on another engine."""
        self.loads.record_cached_parts("p2", PARTS, 0.5)
        self.assertEqual(self.choose_prefill_id(), "p2")

    def test_cached_part_does_not_outweigh_a_long_queue(self):
        """Guards against a queue behind one engine while others are idle."""
        self.loads.record_cached_parts("p2", PARTS, 0.5)
        self.loads.begin_request("p2", 20000)
        self.assertNotEqual(self.choose_prefill_id(), "p2")

    def test_load_from_peers_counts(self):
        """Guards against instances that all choose the same engine."""
        self.loads.receive_loads(
            "peer", {"p0": Load(1, 9000), "p1": Load(1, 9000)}, 1.0
        )
        self.assertEqual(self.choose_prefill_id(now=1.1), "p2")

    def test_stale_load_from_peers_does_not_count(self):
        """Guards against avoiding an engine for a peer that was killed."""
        self.loads.receive_loads("peer", {"p0": Load(1, 9000)}, 1.0)
        self.loads.begin_request("p1", 9000)
        self.loads.begin_request("p2", 9000)
        self.assertEqual(self.choose_prefill_id(now=1.1 + MAX_SOURCE_AGE_SECONDS), "p0")

    def test_announced_prompt_of_a_peer_counts_at_once(self):
        """Guards against all instances sending to the same idle engine."""
        self.loads.receive_loads("peer", {}, 1.0)
        self.loads.receive_prefill_notice("peer", "p0", 9000)
        self.loads.receive_prefill_notice("peer", "p1", 9000)
        self.assertEqual(self.choose_prefill_id(now=1.1), "p2")
        self.loads.receive_prefill_notice("peer", "p1", -9000)
        self.loads.begin_request("p2", 9000)
        self.assertEqual(self.choose_prefill_id(now=1.1), "p1")

    def test_announcement_does_not_count_twice(self):
        """Guards against loads that drift with each lost or duplicate datagram."""
        self.loads.receive_prefill_notice("peer", "p0", 9000)
        self.assertEqual(self.loads.total("p0", 1.0).prefill_tokens, 0)
        self.loads.receive_loads("peer", {"p0": Load(1, 9000)}, 1.0)
        self.loads.receive_prefill_notice("peer", "p0", 9000)
        self.loads.receive_loads("peer", {"p0": Load(2, 18000)}, 1.2)
        self.assertEqual(self.loads.total("p0", 1.2), Load(2, 18000))
        for _ in range(3):
            self.loads.receive_prefill_notice("peer", "p0", -9000)
        self.assertEqual(self.loads.total("p0", 1.2), Load(0, 0))

    def test_instances_agree_on_the_engine_for_an_unknown_part(self):
        """Guards against each instance prefilling a shared part on another engine."""
        other_placement = Placement(LoadTable(), HealthTable(), "zone-a")
        chosen_ids = set()
        for number in range(30):
            prompt = Prompt(9000, ((f"shared-{number}", 5000), ("own", 4000)))
            own_choice = self.choose_prefill_id(prompt)
            self.assertEqual(
                own_choice,
                other_placement.choose_for_prefill(
                    self.prefill_engines, prompt, 1.0
                ).upstream.id,
            )
            chosen_ids.add(own_choice)
        self.assertEqual(chosen_ids, {"p0", "p1", "p2"})

    def test_part_after_a_missing_one_is_not_cached(self):
        """Guards against counting parts that the engine must prefill anyway."""
        self.loads.receive_cached_parts([("p1", "shared")], 0.5)
        self.assertEqual(self.loads.cached_tokens("p1", PARTS, 1.0), 0)

    def test_avoided_engine_is_the_last_choice(self):
        """Guards against sending to an engine that has just failed."""
        self.health.of(self.prefill_engines[0].incarnation).record_failure(1.0)
        self.health.of(self.prefill_engines[1].incarnation).record_failure(1.0)
        self.assertEqual(self.choose_prefill_id(now=1.1), "p2")

    def test_choice_reports_that_all_upstreams_are_avoided(self):
        """Guards against a request that tries failed upstreams until it is refused."""
        for prefill_engine in self.prefill_engines:
            self.health.of(prefill_engine.incarnation).record_failure(1.0)
        self.health.of(self.prefill_engines[1].incarnation).record_failure(1.0)
        choice = self.placement.choose_for_prefill(self.prefill_engines, PROMPT, 1.1)
        self.assertNotEqual(choice.upstream.id, "p1")
        self.assertGreater(choice.avoid_until, 1.1)

    def test_failed_upstream_is_tried_by_one_request_at_a_time(self):
        """Guards against many concurrent requests to an upstream that is still down."""
        health = self.health.of(self.prefill_engines[0].incarnation)
        health.record_failure(0.0)
        retry_at = health.avoid_until
        self.assertFalse(health.avoided(retry_at))
        health.record_attempt(retry_at)
        self.assertTrue(health.avoided(retry_at + 0.01))

    def test_suspicion_of_a_peer_does_not_override_own_failures(self):
        """Guards against suspicions from peers that shorten an avoidance."""
        health = self.health.of(self.prefill_engines[0].incarnation)
        health.record_suspicion(1.0)
        self.assertTrue(health.avoided(1.1))
        health.record_failure(1.0)
        avoid_until = health.avoid_until
        health.record_suspicion(1.0)
        self.assertEqual(health.avoid_until, avoid_until)

    def test_decode_stays_in_the_zone_of_the_prefill(self):
        """Guards against unnecessary cache transfers between zones."""
        engines = [
            build_engine("d0", Phase.DECODE, zone="zone-b"),
            build_engine("d1", Phase.DECODE, zone="zone-a"),
        ]
        prefill_engine = build_engine("p0", Phase.PREFILL, zone="zone-a")
        choice = self.placement.choose_for_decode(
            engines, PROMPT, prefill_engine, SPEC, 1.0
        )
        self.assertEqual(choice.upstream.id, "d1")

    def test_decode_prefers_engines_that_cannot_be_reclaimed(self):
        """Guards against streams that the reclaim of an engine breaks."""
        engines = [
            build_engine("d0", Phase.DECODE, cheap=True),
            build_engine("d1", Phase.DECODE),
        ]
        prefill_engine = self.prefill_engines[0]
        choice = self.placement.choose_for_decode(
            engines, PROMPT, prefill_engine, SPEC, 1.0
        )
        self.assertEqual(choice.upstream.id, "d1")

    def test_streams_of_many_instances_are_spread(self):
        """Guards against instances that choose the same engine by the same figures."""
        self.loads.receive_loads("peer", {"d0": Load(3, 0)}, 1.0)
        chosen_ids = {
            self.placement.choose_for_decode(
                self.decode_engines, PROMPT, self.prefill_engines[0], SPEC, 1.1
            ).upstream.id
            for _ in range(200)
        }
        self.assertGreaterEqual(chosen_ids, {"d1", "d2"})

    def test_long_prompt_is_not_prefilled_by_a_decode_engine(self):
        """Guards against streams that pause while their engine prefills a prompt."""
        short_prompt = Prompt(900, (("own", 900),))
        for prompt, allowed in ((PROMPT, False), (short_prompt, True)):
            choice = self.placement.choose_for_prefill(self.decode_engines, prompt, 1.0)
            self.assertIs(self.placement.may_prefill_directly(choice), allowed)
        self.loads.begin_request("d0", 900)
        choice = self.placement.choose_for_prefill(
            self.decode_engines[:1], short_prompt, 1.0
        )
        self.assertFalse(self.placement.may_prefill_directly(choice))

    def test_calls_are_distributed_to_the_least_loaded(self):
        """Guards against a service whose first upstream receives all requests."""
        upstreams = [build_listed_upstream(f"s{n}", slots=6) for n in range(3)]
        chosen_ids = []
        for _ in range(6):
            choice = self.placement.choose_for_call(upstreams, 1.0)
            self.loads.begin_request(choice.upstream.id, 0)
            chosen_ids.append(choice.upstream.id)
        self.assertEqual(sorted(chosen_ids), ["s0", "s0", "s1", "s1", "s2", "s2"])


class FleetPlanTests(unittest.TestCase):
    """Cheap engines prefill, ordinary ones decode, within the bounds of each zone."""

    def service(self, **changes):
        """Return a service that scales from 1 to 4 in each zone."""
        fields = {
            "minimum": 1,
            "maximum": 4,
            "startup_seconds": 4.0,
            "cheap_price": 0.15,
            "price_by_zone": {},
            **changes,
        }
        return Service("models", "/", 100, SPEC, ScalingSpec(**fields))

    def engines(self, zone, ordinary, cheap, phase=Phase.PREFILL):
        """Return engines of a zone."""
        return [
            build_engine(f"{zone}-{n}", phase, zone=zone, cheap=n >= ordinary)
            for n in range(ordinary + cheap)
        ]

    def test_orders_fill_the_bound_with_cheap_engines(self):
        """Guards against ordering more than the bound for both kinds together."""
        engines = self.engines("a", 2, 0)
        orders = plan_capacity(self.service(), engines, {"a"}, NO_ZONES)
        counts = {order.cheap: order.count for order in orders}
        self.assertEqual(counts, {False: 1, True: 3})

    def test_zone_without_cheap_supply_gets_ordinary_engines(self):
        """Guards against missing capacity after a reclaim without cheap supply."""
        engines = self.engines("a", 1, 0) + self.engines("b", 1, 3)
        orders = plan_capacity(self.service(), engines, {"a", "b"}, frozenset("ab"))
        counts = {(order.zone, order.cheap): order.count for order in orders}
        expected = {("a", False): 3, ("a", True): 1, ("b", False): 0, ("b", True): 4}
        self.assertEqual(counts, expected)

    def test_large_zone_gets_half_of_the_lost_engines(self):
        """Guards against moving the entire load of a large zone to the others."""
        service = self.service(maximum=35)
        engines = self.engines("a", 1, 0) + self.engines("b", 1, 34)
        orders = plan_capacity(service, engines, {"a", "b"}, frozenset("a"))
        counts = {order.cheap: order.count for order in orders if order.zone == "a"}
        self.assertEqual(counts, {False: 18, True: 17})

    def test_only_the_cheapest_zones_keep_ordinary_engines(self):
        """Guards against paying for engines whose load the other zones can handle."""
        prices = {"a": 1.1, "b": 0.85, "c": 1.0}
        service = self.service(price_by_zone=prices)
        engines = [item for zone in "abc" for item in self.engines(zone, 1, 3)]
        orders = plan_capacity(service, engines, set("abc"), NO_ZONES)
        ordinary = {order.zone: order.count for order in orders if not order.cheap}
        self.assertEqual(ordinary, {"a": 0, "b": 1, "c": 0})

    def test_zone_keeps_an_ordinary_engine_until_cheap_ones_start(self):
        """Guards against releasing a zone's engines before their replacements start."""
        engines = self.engines("a", 2, 0) + self.engines("b", 1, 2)
        orders = plan_capacity(self.service(), engines, {"a", "b"}, NO_ZONES)
        ordinary = {order.zone: order.count for order in orders if not order.cheap}
        self.assertEqual(ordinary, {"a": 1, "b": 1})

    def test_last_engine_of_a_zone_is_not_released(self):
        """Guards against emptying a zone whose bound is one for a cheap engine."""
        engines = self.engines("a", 1, 0) + self.engines("b", 1, 0)
        orders = plan_capacity(self.service(maximum=1), engines, {"a", "b"}, NO_ZONES)
        counts = {(order.zone, order.cheap): order.count for order in orders}
        self.assertEqual((counts["b", False], counts["b", True]), (1, 0))

    def test_reclaimed_zone_gets_an_ordinary_engine_at_once(self):
        """Guards against dropping a zone from the plan with its last engine."""
        engines = self.engines("a", 1, 3)
        orders = plan_capacity(self.service(), engines, {"a", "b"}, NO_ZONES)
        counts = {(order.zone, order.cheap): order.count for order in orders}
        self.assertEqual((counts["b", False], counts["b", True]), (1, 3))

    def test_service_in_one_zone_keeps_an_ordinary_engine(self):
        """Guards against a service that loses all engines in one reclaim."""
        engines = self.engines("a", 1, 3)
        orders = plan_capacity(self.service(), engines, {"a"}, NO_ZONES)
        counts = {order.cheap: order.count for order in orders}
        self.assertEqual(counts, {False: 1, True: 3})

    def test_cheap_engines_decode_where_ordinary_ones_leave(self):
        """Guards against extra phase changes when an ordinary engine leaves."""
        leaving = build_engine("b-x", Phase.DECODE, zone="b")
        engines = [leaving, *self.engines("b", 0, 3, Phase.DECODE)]
        changed = {
            order.upstream.id for order in plan_phases(engines, True, frozenset("a"))
        }
        self.assertIn("b-x", changed)
        self.assertEqual(len(changed), 2)

    def test_fleet_without_prefill_engines_gets_some_at_once(self):
        """Guards against a fleet without prefill engines after a reclaim."""
        engines = self.engines("a", 3, 0, Phase.DECODE)
        engines += self.engines("b", 1, 0, Phase.DECODE)
        orders = plan_phases(engines, False, ALL_ZONES)
        self.assertEqual(
            [(order.upstream.zone, order.phase) for order in orders],
            [("a", Phase.PREFILL)] * 2,
        )

    def test_service_without_cheap_engines_gets_no_orders(self):
        """Guards against orders that the platform cannot fulfil."""
        service = self.service(cheap_price=None)
        engines = self.engines("a", 2, 0)
        self.assertEqual(plan_capacity(service, engines, {"a"}, NO_ZONES), [])

    def test_ordinary_engines_decode_and_the_others_prefill(self):
        """Guards against streams on engines that can be reclaimed."""
        engines = self.engines("a", 1, 3, Phase.DECODE) + self.engines("b", 1, 3)
        phases = {
            order.upstream.id: order.phase
            for order in plan_phases(engines, True, ALL_ZONES)
        }
        # Three of eight engines decode; the third is in the first of two equal zones.
        expected = {f"a-{n}": Phase.PREFILL for n in (2, 3)}
        self.assertEqual(phases, {**expected, "b-0": Phase.DECODE})

    @settings(derandomize=True)
    @given(st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 40), min_size=1))
    def test_decode_engines_are_a_fraction_of_all_engines(self, engines_by_zone):
        """Guards against rounding errors that accumulate over small zones."""
        decode_engines_by_zone = distribute_decode_engines(engines_by_zone)
        self.assertEqual(decode_engines_by_zone.keys(), engines_by_zone.keys())
        min_for_zone = 1 if len(engines_by_zone) > 1 else 2
        single_engines = 0
        for zone, engines in engines_by_zone.items():
            if engines < 2:
                self.assertEqual(decode_engines_by_zone[zone], engines)
                single_engines += engines
                continue
            # At most the zone's share, rounded up, or the minimum that a zone needs.
            zone_share = math.ceil(engines * DECODE_FRACTION)
            self.assertTrue(
                1 <= decode_engines_by_zone[zone] <= max(zone_share, min_for_zone)
            )
            self.assertLess(decode_engines_by_zone[zone], engines)
        total_share = round(sum(engines_by_zone.values()) * DECODE_FRACTION)
        if sum(decode_engines_by_zone.values()) > total_share + single_engines:
            for zone, engines in engines_by_zone.items():
                self.assertLessEqual(
                    decode_engines_by_zone[zone],
                    max(min_for_zone, engines * DECODE_FRACTION),
                )

    def test_most_zones_have_a_second_decode_engine(self):
        """Guards against a crash that interrupts a quarter of all streams."""
        decode_engines_by_zone = distribute_decode_engines(
            {"a": 5, "b": 5, "c": 5, "d": 5}
        )
        self.assertEqual(sum(decode_engines_by_zone.values()), 7)
        self.assertEqual(sorted(decode_engines_by_zone.values()), [1, 2, 2, 2])

    def test_fulfilled_plan_gives_no_orders(self):
        """Guards against engines that change their phase repeatedly."""
        engines = self.engines("a", 1, 0, Phase.DECODE) + [
            build_engine(f"a-c{n}", Phase.PREFILL, zone="a", cheap=True)
            for n in range(3)
        ]
        engines += self.engines("b", 1, 0, Phase.DECODE)
        self.assertEqual(plan_phases(engines, True, ALL_ZONES), [])

    def test_replaced_engines_are_not_reordered_at_once(self):
        """Guards against a rolling replacement that leaves no decode engine."""
        old_engine, new_engine = self.engines("a", 2, 0, Phase.DECODE)
        prefill_engines = [
            build_engine(f"r{n}", Phase.PREFILL, zone="a") for n in range(3)
        ]
        others = self.engines("b", 1, 0, Phase.DECODE)
        self.assertEqual(
            plan_phases(
                [old_engine, new_engine, *prefill_engines, *others], False, ALL_ZONES
            ),
            [],
        )

    def test_zone_without_a_decode_engine_gets_one_at_once(self):
        """Guards against cache transfers between zones while the fleet changes."""
        engines = self.engines("a", 0, 3) + self.engines("b", 1, 0, Phase.DECODE)
        orders = plan_phases(engines, False, ALL_ZONES)
        self.assertEqual([order.phase for order in orders], [Phase.DECODE])


class LoadSumTests(unittest.TestCase):
    """The sum over all sources is updated with each message."""

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["loads", "prefill_notice", "wait"]),
                st.integers(0, 4),
                st.integers(0, 3),
                st.integers(-4000, 9000),
            ),
            max_size=60,
        )
    )
    def test_sum_equals_that_of_all_current_sources(self, steps):
        """Guards against sums that drift when messages expire or repeat."""
        load_table = LoadTable()
        loads_by_source = {}
        now = 0.0
        for kind, source, upstream, tokens in steps:
            name, upstream_id = f"entry-{source}", f"u{upstream}"
            if kind == "wait":
                now += source
            elif kind == "loads":
                loads = {upstream_id: Load(source, abs(tokens))}
                loads_by_source[name] = (now, {upstream_id: [source, abs(tokens)]})
                load_table.receive_loads(name, loads, now)
            else:
                load_table.receive_prefill_notice(name, upstream_id, tokens)
                received_at, loads = loads_by_source.get(name, (0.0, None))
                if loads is not None and now - received_at < MAX_SOURCE_AGE_SECONDS:
                    load = loads.setdefault(upstream_id, [0, 0])
                    load[0] = max(0, load[0] + (1 if tokens > 0 else -1))
                    load[1] = max(0, load[1] + tokens)
            for number in range(4):
                total = load_table.total(f"u{number}", now)
                expected = [
                    loads[f"u{number}"]
                    for received_at, loads in loads_by_source.values()
                    if now - received_at < MAX_SOURCE_AGE_SECONDS
                    and f"u{number}" in loads
                ]
                self.assertEqual(total.requests, sum(item[0] for item in expected))
                self.assertEqual(
                    total.prefill_tokens, sum(item[1] for item in expected)
                )

    def test_zone_sends_the_sum_of_its_instances(self):
        """Guards against upstreams that look idle to other zones for seconds."""
        load_table = LoadTable()
        load_table.begin_request("u1", 1000)
        load_table.receive_loads("entry-2", {"u1": Load(1, 500)}, 1.0)
        load_table.receive_loads("zone/zone-b", {"u1": Load(7, 7000)}, 1.0)
        self.assertEqual(load_table.sum_of(["entry-2"], 1.1), {"u1": Load(2, 1500)})
        other_table = LoadTable()
        for _ in range(3):
            other_table.receive_loads(
                "zone/zone-a", load_table.sum_of(["entry-2"], 1.1), 1.2
            )
        self.assertEqual(other_table.total("u1", 1.3), Load(2, 1500))
