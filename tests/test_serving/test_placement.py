"""Tests of loads, placement and the plan of the fleet."""

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
from camphorgate.serving.health import HealthBook
from camphorgate.serving.loads import MAX_SOURCE_AGE_SECONDS, Load, LoadBook
from camphorgate.serving.placement import Placement, Prompt
from tests.hosting_builders import (
    build_engine,
    build_engine_spec,
    build_listed_upstream,
)

SPEC = build_engine_spec()
PARTS = (("common", 500), ("shared", 5000), ("own", 6500))
PROMPT = Prompt(12000, PARTS)
NOWHERE = frozenset()
EVERYWHERE = frozenset("ab")


class PlacementTests(unittest.TestCase):
    """Requests go where their first token is predicted soonest."""

    def setUp(self):
        """Start with empty books."""
        self.loads = LoadBook()
        self.health = HealthBook()
        self.placement = Placement(self.loads, self.health, "zone-a")
        self.readers = [build_engine(f"p{n}", Phase.PREFILL) for n in range(3)]
        self.answerers = [build_engine(f"d{n}", Phase.DECODE) for n in range(3)]

    def read(self, prompt=PROMPT, now=1.0):
        """Return the id of the engine that reads a prompt."""
        return self.placement.for_reading(self.readers, prompt, now).upstream.id

    def test_cached_part_draws_a_prompt(self):
        """Guards against reading shared parts again on another engine."""
        self.loads.read_parts("p2", PARTS, 0.5)
        self.assertEqual(self.read(), "p2")

    def test_cached_part_does_not_outweigh_a_long_queue(self):
        """Guards against a queue behind one engine while others are idle."""
        self.loads.read_parts("p2", PARTS, 0.5)
        self.loads.begin("p2", 20000)
        self.assertNotEqual(self.read(), "p2")

    def test_load_of_peers_counts(self):
        """Guards against instances that all choose the same engine."""
        self.loads.hear("peer", {"p0": Load(1, 9000), "p1": Load(1, 9000)}, 1.0)
        self.assertEqual(self.read(now=1.1), "p2")

    def test_old_load_of_peers_does_not_count(self):
        """Guards against avoiding an engine for a peer that was killed."""
        self.loads.hear("peer", {"p0": Load(1, 9000)}, 1.0)
        self.loads.begin("p1", 9000)
        self.loads.begin("p2", 9000)
        self.assertEqual(self.read(now=1.1 + MAX_SOURCE_AGE_SECONDS), "p0")

    def test_announced_prompt_of_a_peer_counts_at_once(self):
        """Guards against instances that all send to the engine that was idle."""
        self.loads.hear("peer", {}, 1.0)
        self.loads.hear_reading("peer", "p0", 9000)
        self.loads.hear_reading("peer", "p1", 9000)
        self.assertEqual(self.read(now=1.1), "p2")
        self.loads.hear_reading("peer", "p1", -9000)
        self.loads.begin("p2", 9000)
        self.assertEqual(self.read(now=1.1), "p1")

    def test_announcement_does_not_count_twice(self):
        """Guards against loads that grow with every lost or doubled datagram."""
        self.loads.hear_reading("peer", "p0", 9000)
        self.assertEqual(self.loads.total("p0", 1.0).prefill_tokens, 0)
        self.loads.hear("peer", {"p0": Load(1, 9000)}, 1.0)
        self.loads.hear_reading("peer", "p0", 9000)
        self.loads.hear("peer", {"p0": Load(2, 18000)}, 1.2)
        self.assertEqual(self.loads.total("p0", 1.2), Load(2, 18000))
        for _ in range(3):
            self.loads.hear_reading("peer", "p0", -9000)
        self.assertEqual(self.loads.total("p0", 1.2), Load(0, 0))

    def test_instances_agree_on_the_engine_for_an_unknown_part(self):
        """Guards against shared parts that every instance reads elsewhere."""
        other = Placement(LoadBook(), HealthBook(), "zone-a")
        chosen = set()
        for number in range(30):
            prompt = Prompt(9000, ((f"shared-{number}", 5000), ("own", 4000)))
            own = self.read(prompt)
            self.assertEqual(
                own, other.for_reading(self.readers, prompt, 1.0).upstream.id
            )
            chosen.add(own)
        self.assertEqual(chosen, {"p0", "p1", "p2"})

    def test_part_behind_a_missing_one_is_not_cached(self):
        """Guards against counting parts that the engine must read all the same."""
        self.loads.hear_parts([("p1", "shared")], 0.5)
        self.assertEqual(self.loads.cached_tokens("p1", PARTS, 1.0), 0)

    def test_avoided_engine_is_the_last_choice(self):
        """Guards against sending to an engine that just failed."""
        self.health.of(self.readers[0].incarnation).failed(1.0)
        self.health.of(self.readers[1].incarnation).failed(1.0)
        self.assertEqual(self.read(now=1.1), "p2")

    def test_choice_tells_that_all_upstreams_are_avoided(self):
        """Guards against a request that tries dead upstreams until it is refused."""
        for reader in self.readers:
            self.health.of(reader.incarnation).failed(1.0)
        self.health.of(self.readers[1].incarnation).failed(1.0)
        choice = self.placement.for_reading(self.readers, PROMPT, 1.1)
        self.assertNotEqual(choice.upstream.id, "p1")
        self.assertGreater(choice.avoid_until, 1.1)

    def test_one_request_at_a_time_tries_an_upstream_that_failed(self):
        """Guards against a crowd at an upstream that is still dead."""
        health = self.health.of(self.readers[0].incarnation)
        health.failed(0.0)
        later = health.avoid_until
        self.assertFalse(health.avoided(later))
        health.trying(later)
        self.assertTrue(health.avoided(later + 0.01))

    def test_word_of_a_peer_does_not_outweigh_own_failures(self):
        """Guards against peers that shorten an avoidance."""
        health = self.health.of(self.readers[0].incarnation)
        health.suspected(1.0)
        self.assertTrue(health.avoided(1.1))
        health.failed(1.0)
        until = health.avoid_until
        health.suspected(1.0)
        self.assertEqual(health.avoid_until, until)

    def test_answer_stays_in_the_zone_of_the_reader(self):
        """Guards against caches that move between zones for nothing."""
        far = [
            build_engine("d0", Phase.DECODE, zone="zone-b"),
            build_engine("d1", Phase.DECODE, zone="zone-a"),
        ]
        reader = build_engine("p0", Phase.PREFILL, zone="zone-a")
        choice = self.placement.for_answering(far, PROMPT, reader, SPEC, 1.0)
        self.assertEqual(choice.upstream.id, "d1")

    def test_answer_prefers_engines_that_cannot_be_reclaimed(self):
        """Guards against streams that a reclaim breaks."""
        engines = [
            build_engine("d0", Phase.DECODE, cheap=True),
            build_engine("d1", Phase.DECODE),
        ]
        reader = self.readers[0]
        choice = self.placement.for_answering(engines, PROMPT, reader, SPEC, 1.0)
        self.assertEqual(choice.upstream.id, "d1")

    def test_long_prompt_is_not_read_by_an_answering_engine(self):
        """Guards against streams that pause while their engine reads a prompt."""
        short = Prompt(900, (("own", 900),))
        for prompt, allowed in ((PROMPT, False), (short, True)):
            choice = self.placement.for_reading(self.answerers, prompt, 1.0)
            self.assertIs(self.placement.direct_allowed(choice, 1.0), allowed)
        self.loads.begin("d0", 900)
        choice = self.placement.for_reading(self.answerers[:1], short, 1.0)
        self.assertFalse(self.placement.direct_allowed(choice, 1.0))

    def test_calls_spread_over_the_least_loaded(self):
        """Guards against a plain service whose first upstream takes everything."""
        desks = [build_listed_upstream(f"s{n}", slots=6) for n in range(3)]
        taken = []
        for _ in range(6):
            choice = self.placement.for_call(desks, 1.0)
            self.loads.begin(choice.upstream.id, 0)
            taken.append(choice.upstream.id)
        self.assertEqual(sorted(taken), ["s0", "s0", "s1", "s1", "s2", "s2"])


class FleetPlanTests(unittest.TestCase):
    """Cheap engines read, ordinary ones answer, within the bounds of each zone."""

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

    def test_orders_fill_the_bound_with_cheap_ones(self):
        """Guards against ordering beyond the bound of both kinds together."""
        engines = self.engines("a", 2, 0)
        orders = plan_capacity(self.service(), engines, {"a"}, NOWHERE)
        counts = {order.cheap: order.count for order in orders}
        self.assertEqual(counts, {False: 1, True: 3})

    def test_dry_zone_gets_ordinary_ones(self):
        """Guards against a reclaim that leaves too little while none are to be had."""
        engines = self.engines("a", 1, 0) + self.engines("b", 1, 3)
        orders = plan_capacity(self.service(), engines, {"a", "b"}, frozenset("ab"))
        counts = {(order.zone, order.cheap): order.count for order in orders}
        expected = {("a", False): 3, ("a", True): 1, ("b", False): 0, ("b", True): 4}
        self.assertEqual(counts, expected)

    def test_large_zone_gets_half_of_what_it_lost(self):
        """Guards against a large zone whose load falls on the others as a whole."""
        service = self.service(maximum=35)
        engines = self.engines("a", 1, 0) + self.engines("b", 1, 34)
        orders = plan_capacity(service, engines, {"a", "b"}, frozenset("a"))
        counts = {order.cheap: order.count for order in orders if order.zone == "a"}
        self.assertEqual(counts, {False: 18, True: 17})

    def test_only_the_least_expensive_zones_keep_ordinary_ones(self):
        """Guards against paying for engines whose work the other zones can take."""
        prices = {"a": 1.1, "b": 0.85, "c": 1.0}
        service = self.service(price_by_zone=prices)
        engines = [item for zone in "abc" for item in self.engines(zone, 1, 3)]
        orders = plan_capacity(service, engines, set("abc"), NOWHERE)
        ordinary = {order.zone: order.count for order in orders if not order.cheap}
        self.assertEqual(ordinary, {"a": 0, "b": 1, "c": 0})

    def test_zone_keeps_an_ordinary_one_until_its_cheap_ones_are_there(self):
        """Guards against zones that are emptied before they are filled."""
        engines = self.engines("a", 2, 0) + self.engines("b", 1, 2)
        orders = plan_capacity(self.service(), engines, {"a", "b"}, NOWHERE)
        ordinary = {order.zone: order.count for order in orders if not order.cheap}
        self.assertEqual(ordinary, {"a": 1, "b": 1})

    def test_last_engine_of_a_zone_is_not_given_back(self):
        """Guards against zones with a bound of one that are emptied for a cheap one."""
        engines = self.engines("a", 1, 0) + self.engines("b", 1, 0)
        orders = plan_capacity(self.service(maximum=1), engines, {"a", "b"}, NOWHERE)
        counts = {(order.zone, order.cheap): order.count for order in orders}
        self.assertEqual((counts["b", False], counts["b", True]), (1, 0))

    def test_reclaimed_zone_gets_an_ordinary_one_at_once(self):
        """Guards against zones that vanish from the plan with their last engine."""
        engines = self.engines("a", 1, 3)
        orders = plan_capacity(self.service(), engines, {"a", "b"}, NOWHERE)
        counts = {(order.zone, order.cheap): order.count for order in orders}
        self.assertEqual((counts["b", False], counts["b", True]), (1, 3))

    def test_service_in_one_zone_keeps_an_ordinary_one(self):
        """Guards against a service that one reclaim takes whole."""
        engines = self.engines("a", 1, 3)
        orders = plan_capacity(self.service(), engines, {"a"}, NOWHERE)
        counts = {order.cheap: order.count for order in orders}
        self.assertEqual(counts, {False: 1, True: 3})

    def test_cheap_engines_answer_where_ordinary_ones_leave(self):
        """Guards against phase changes that the leave of an ordinary engine causes."""
        leaving = build_engine("b-x", Phase.DECODE, zone="b")
        engines = [leaving, *self.engines("b", 0, 3, Phase.DECODE)]
        changed = {
            order.upstream.id for order in plan_phases(engines, True, frozenset("a"))
        }
        self.assertIn("b-x", changed)
        self.assertEqual(len(changed), 2)

    def test_fleet_without_readers_gets_them_at_once(self):
        """Guards against prompts that nobody reads after a reclaim."""
        engines = self.engines("a", 3, 0, Phase.DECODE)
        engines += self.engines("b", 1, 0, Phase.DECODE)
        orders = plan_phases(engines, False, EVERYWHERE)
        self.assertEqual(
            [(order.upstream.zone, order.phase) for order in orders],
            [("a", Phase.PREFILL)] * 2,
        )

    def test_service_without_cheap_kind_is_left_alone(self):
        """Guards against orders that the platform cannot carry out."""
        service = self.service(cheap_price=None)
        engines = self.engines("a", 2, 0)
        self.assertEqual(plan_capacity(service, engines, {"a"}, NOWHERE), [])

    def test_ordinary_engine_answers_and_the_rest_reads(self):
        """Guards against streams on engines that can be reclaimed."""
        engines = self.engines("a", 1, 3, Phase.DECODE) + self.engines("b", 1, 3)
        phases = {
            order.upstream.id: order.phase
            for order in plan_phases(engines, True, EVERYWHERE)
        }
        # Three of eight answer; the third in the first of two equal zones.
        expected = {f"a-{n}": Phase.PREFILL for n in (2, 3)}
        self.assertEqual(phases, {**expected, "b-0": Phase.DECODE})

    @settings(derandomize=True)
    @given(st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 40), min_size=1))
    def test_answering_engines_are_the_part_of_the_whole(self, engines_by_zone):
        """Guards against small zones whose rounding adds up."""
        wanted = distribute_decode_engines(engines_by_zone)
        self.assertEqual(wanted.keys(), engines_by_zone.keys())
        most = 1 if len(engines_by_zone) > 1 else 2
        single = 0
        for zone, engines in engines_by_zone.items():
            if engines < 2:
                self.assertEqual(wanted[zone], engines)
                single += engines
                continue
            # Never more than the own part, rounded up, or what a zone needs at least.
            part = math.ceil(engines * DECODE_FRACTION)
            self.assertTrue(1 <= wanted[zone] <= max(part, most))
            self.assertLess(wanted[zone], engines)
        share = round(sum(engines_by_zone.values()) * DECODE_FRACTION)
        if sum(wanted.values()) > share + single:
            for zone, engines in engines_by_zone.items():
                self.assertLessEqual(wanted[zone], max(most, engines * DECODE_FRACTION))

    def test_crash_of_one_answering_engine_leaves_others_in_most_zones(self):
        """Guards against a crash that takes a quarter of all streams."""
        wanted = distribute_decode_engines({"a": 5, "b": 5, "c": 5, "d": 5})
        self.assertEqual(sum(wanted.values()), 7)
        self.assertEqual(sorted(wanted.values()), [1, 2, 2, 2])

    def test_plan_that_holds_gives_no_orders(self):
        """Guards against engines that change their phase back and forth."""
        engines = self.engines("a", 1, 0, Phase.DECODE) + [
            build_engine(f"a-c{n}", Phase.PREFILL, zone="a", cheap=True)
            for n in range(3)
        ]
        engines += self.engines("b", 1, 0, Phase.DECODE)
        self.assertEqual(plan_phases(engines, True, EVERYWHERE), [])

    def test_replaced_engines_are_not_reordered_at_once(self):
        """Guards against a rolling replacement that leaves no engine to answer."""
        old, new = self.engines("a", 2, 0, Phase.DECODE)
        readers = [build_engine(f"r{n}", Phase.PREFILL, zone="a") for n in range(3)]
        others = self.engines("b", 1, 0, Phase.DECODE)
        self.assertEqual(
            plan_phases([old, new, *readers, *others], False, EVERYWHERE), []
        )

    def test_zone_without_an_answering_engine_gets_one_at_once(self):
        """Guards against caches that move between zones while the fleet changes."""
        engines = self.engines("a", 0, 3) + self.engines("b", 1, 0, Phase.DECODE)
        orders = plan_phases(engines, False, EVERYWHERE)
        self.assertEqual([order.phase for order in orders], [Phase.DECODE])


class LoadSumTests(unittest.TestCase):
    """The sum over the sources is kept up to date with each message."""

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["hear", "reading", "wait"]),
                st.integers(0, 4),
                st.integers(0, 3),
                st.integers(-4000, 9000),
            ),
            max_size=60,
        )
    )
    def test_sum_is_that_of_all_sources_that_count(self, steps):
        """Guards against figures that drift with messages that expire or repeat."""
        book = LoadBook()
        told = {}
        now = 0.0
        for kind, source, upstream, tokens in steps:
            name, upstream_id = f"entry-{source}", f"u{upstream}"
            if kind == "wait":
                now += source
            elif kind == "hear":
                loads = {upstream_id: Load(source, abs(tokens))}
                told[name] = (now, {upstream_id: [source, abs(tokens)]})
                book.hear(name, loads, now)
            else:
                book.hear_reading(name, upstream_id, tokens)
                heard_at, loads = told.get(name, (0.0, None))
                if loads is not None and now - heard_at < MAX_SOURCE_AGE_SECONDS:
                    load = loads.setdefault(upstream_id, [0, 0])
                    load[0] = max(0, load[0] + (1 if tokens > 0 else -1))
                    load[1] = max(0, load[1] + tokens)
            for number in range(4):
                total = book.total(f"u{number}", now)
                expected = [
                    loads[f"u{number}"]
                    for heard_at, loads in told.values()
                    if now - heard_at < MAX_SOURCE_AGE_SECONDS and f"u{number}" in loads
                ]
                self.assertEqual(total.requests, sum(item[0] for item in expected))
                self.assertEqual(
                    total.prefill_tokens, sum(item[1] for item in expected)
                )

    def test_a_zone_tells_the_sum_of_its_instances(self):
        """Guards against instances of other zones that look idle for seconds."""
        book = LoadBook()
        book.begin("u1", 1000)
        book.hear("entry-2", {"u1": Load(1, 500)}, 1.0)
        book.hear("zone/zone-b", {"u1": Load(7, 7000)}, 1.0)
        self.assertEqual(book.sum_of(["entry-2"], 1.1), {"u1": Load(2, 1500)})
        other = LoadBook()
        for _ in range(3):
            other.hear("zone/zone-a", book.sum_of(["entry-2"], 1.1), 1.2)
        self.assertEqual(other.total("u1", 1.3), Load(2, 1500))
