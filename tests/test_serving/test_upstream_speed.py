"""Tests of what is learned of the speed of upstreams."""

import random
import unittest

import msgspec

from camphorgate.serving.catalog import Phase
from camphorgate.serving.loads import Load
from camphorgate.serving.upstream_speed import SpeedNews, SpeedTable
from camphorgate.serving.upstream_speed.table import MAX_NEWS_FACTORS
from camphorgated.serving.gossip import encode_datagram
from camphorgated.serving.messages import State
from tests.hosted import HostedCase
from tests.hosting_builders import build_engine, build_listed_upstream

# The engines of customer B: 157 prompt tokens per ms, 26 ms fixed, and these factors.
FIXED_MS, TOKENS_PER_MS = 26.0, 157.0
FACTORS = (0.7, 0.7, 1.7, *(1.0,) * 27)
SIZES = (826, 2368, 6610, 11992)
# Fraction of the requests during which an engine is slowed, and how many times.
SLOWED, SLOWDOWN = 0.15, 2.5
MAX_DATAGRAM_BYTES = 1100


def build_engines():
    """Return the engines of customer B and their factors by id."""
    engines = [
        build_engine(f"i-{number:010x}", Phase.PREFILL, started_at=1_796_000_000_000)
        for number in range(len(FACTORS))
    ]
    return engines, {engine.id: FACTORS[n] for n, engine in enumerate(engines)}


def learn(table, engines, factors, seconds, rate, seed=1, told=True, start=0.0):
    """Let an instance observe prefill calls with unknown queues and slow moments.

    :param rate: observations per second.
    :param told: whether engines report their momentary factor.
    """
    source = random.Random(seed)
    now = start
    while now < start + seconds:
        now += source.expovariate(rate)
        engine = source.choice(engines)
        tokens = source.choice(SIZES)
        slowdown = SLOWDOWN if source.random() < SLOWED else 1.0
        ms = (FIXED_MS + tokens / TOKENS_PER_MS) * factors[engine.id] * slowdown
        if source.random() < 0.2:
            # A queue that this instance does not know.
            ms += source.choice(SIZES) / TOKENS_PER_MS
        if told:
            table.record_told_factor(engine, slowdown, now)
        table.record_prefill(engine, tokens, 0, ms / 1000, now)
    return now


class SpeedTableTests(unittest.TestCase):
    """Durations of each service and upstream are learned from responses."""

    def test_start_values_apply_before_anything_is_known(self):
        """Guards against deployments at 55 tokens per ms that are served otherwise."""
        table = SpeedTable()
        self.assertAlmostEqual(
            table.prefill_ms(build_engine("p", Phase.PREFILL), 5500, 1.0), 115.0
        )
        self.assertAlmostEqual(
            table.prefill_ms(build_engine("d", Phase.DECODE), 5500, 1.0), 215.0
        )

    def test_speed_of_a_service_is_learned(self):
        """Guards against predictions three times as long as the engines take."""
        engines, factors = build_engines()
        # Where engines report nothing, unknown queues and slow moments remain in it.
        for told, error in ((True, 0.2), (False, 0.5)):
            table = SpeedTable()
            now = learn(table, engines, factors, 20.0, 6.0, told=told)
            unknown = build_engine("new", Phase.PREFILL)
            for tokens in SIZES:
                usual = FIXED_MS + tokens / TOKENS_PER_MS
                predicted = table.prefill_ms(unknown, tokens, now)
                self.assertLess(abs(predicted / usual - 1), error, (told, tokens))

    def test_factors_of_engines_are_learned(self):
        """Guards against engines of 1.7 times the duration that get an equal share."""
        engines, factors = build_engines()
        for told in (True, False):
            table = SpeedTable()
            now = learn(table, engines, factors, 30.0, 40.0, told=told)
            table.record_told_factor(engines[0], 1.0, now)
            usual = sum(table.factor(item, now + 1) for item in engines[3:]) / 27
            for engine in engines[:3]:
                factor = table.factor(engine, now + 1) / usual
                self.assertLess(abs(factor / factors[engine.id] - 1), 0.25, told)

    def test_factor_of_an_unused_upstream_returns_to_one(self):
        """Guards against an engine that looked slow once and is never used again."""
        engines, factors = build_engines()
        table = SpeedTable()
        now = learn(table, engines[:1], {engines[0].id: 1.0}, 20.0, 5.0)
        now = learn(table, engines[1:2], {engines[1].id: 4.0}, 5.0, 2.0, start=now)
        self.assertGreater(table.factor(engines[1], now + 1), 2.0)
        self.assertLess(table.factor(engines[1], now + 60), 1.3)

    def test_single_outlier_changes_little(self):
        """Guards against an engine that is avoided after one stopped moment."""
        engines, factors = build_engines()
        table = SpeedTable()
        now = learn(table, engines, factors, 20.0, 40.0)
        before = table.prefill_ms(engines[5], 6610, now + 1)
        table.record_prefill(engines[5], 6610, 0, 30.0, now)
        self.assertLess(table.prefill_ms(engines[5], 6610, now + 1) / before, 1.2)

    def test_extreme_observations_stay_in_bounds(self):
        """Guards against estimates that no later observation can correct."""
        engine = build_engine("p", Phase.PREFILL)
        desk = build_listed_upstream("d", slots=0)
        for seconds in (0.0, 1e-9, 1e9, -1.0):
            table = SpeedTable()
            for _ in range(100):
                table.record_prefill(engine, 1, 0, seconds, 1.0)
                table.record_prefill(engine, 10**9, 10**12, seconds, 1.0)
                table.record_step(engine, seconds, -5, 1.0)
                table.record_call(desk, seconds, 10**9, 1.0)
                table.record_told_factor(engine, 1e9, 1.0)
            for ms in (
                table.prefill_ms(engine, 5000, 2.0),
                table.step_ms(engine, 10, 2.0),
                table.call_ms(desk, 2.0),
            ):
                self.assertTrue(0.0 < ms < 1e6, (seconds, ms))

    def test_reported_slowdown_loses_its_weight(self):
        """Guards against avoiding an engine for a moment that has passed."""
        engine = build_engine("p", Phase.PREFILL)
        table = SpeedTable()
        table.record_told_factor(engine, 2.5, 1.0)
        factors = [table.factor(engine, 1.0 + age) for age in (0.0, 0.3, 0.7)]
        self.assertEqual(factors[0], 2.5)
        self.assertTrue(1.0 < factors[1] < 2.5)
        self.assertEqual(factors[2], 1.0)
        ignoring = SpeedTable(uses_reports=False)
        ignoring.record_told_factor(engine, 2.5, 1.0)
        self.assertEqual(ignoring.factor(engine, 1.0), 1.0)

    def test_service_time_of_plain_services_and_steps(self):
        """Guards against counting the wait behind other requests as service time."""
        desk = build_listed_upstream("d", slots=6)
        engine = build_engine("e", Phase.DECODE)
        table = SpeedTable()
        for number in range(200):
            running = number % 12
            waited = max(0, running + 1 - 6) / 6
            table.record_call(desk, 0.072 * (1 + waited), running, 1.0)
            table.record_step(engine, 0.00355 + 0.0001 * running, running, 1.0)
        self.assertAlmostEqual(table.call_ms(desk, 1.0), 72, delta=8)
        self.assertAlmostEqual(table.step_ms(engine, 0, 1.0), 3.55, delta=0.4)
        self.assertAlmostEqual(table.step_ms(engine, 10, 1.0), 4.55, delta=0.4)


class SpeedNewsTests(unittest.TestCase):
    """Instances of a zone share what they have learned."""

    def test_instances_with_few_requests_know_the_engines_together(self):
        """Guards against instances that send too rarely to learn anything."""
        engines, factors = build_engines()
        by_id = {engine.id: engine for engine in engines}
        tables = [SpeedTable() for _ in range(20)]
        news = []
        for second in range(30):
            for number, table in enumerate(tables):
                learn(
                    table,
                    engines,
                    factors,
                    1.0,
                    1.0,
                    number * 99 + second,
                    start=second,
                )
            news = [table.take_news(second + 1.0) for table in tables]
            for number, table in enumerate(tables):
                for other, factors_news in enumerate(news):
                    if other != number:
                        table.receive_news(SpeedNews(factors_news), second + 1.0, by_id)
        for table in tables[:3]:
            usual = sum(table.factor(item, 31.0) for item in engines[3:]) / 27
            for engine in engines[:3]:
                factor = table.factor(engine, 31.0) / usual
                self.assertLess(abs(factor / factors[engine.id] - 1), 0.3)

    def test_restarted_instance_starts_from_its_peers(self):
        """Guards against a restart that sends by start values for a minute."""
        engines, factors = build_engines()
        by_id = {engine.id: engine for engine in engines}
        table = SpeedTable()
        now = learn(table, engines, factors, 30.0, 20.0)
        started = SpeedTable()
        known = table.all_factors(now)
        for first in range(0, len(known), MAX_NEWS_FACTORS):
            news = SpeedNews(known[first : first + MAX_NEWS_FACTORS], table.models())
            started.receive_news(news, now, by_id)
        for engine in engines[:3]:
            predicted = started.prefill_ms(engine, 6610, now + 1)
            known_ms = table.prefill_ms(engine, 6610, now + 1)
            self.assertLess(abs(predicted / known_ms - 1), 0.35)

    def test_values_out_of_range_are_rejected_when_decoded(self):
        """Guards against a peer whose figures make an engine unusable."""
        valid = [[["e", 1, 700, 50]], [["models", 0, 26000, 6369]]]
        decoder = msgspec.msgpack.Decoder(SpeedNews)
        self.assertEqual(
            decoder.decode(msgspec.msgpack.encode(valid)).factors[0].permille, 700
        )
        for invalid in (
            [[["e", 1, 0, 50]], []],
            [[["e", 1, 10**6, 50]], []],
            [[["e", 1, 700, 0]], []],
            [[["e", 1, float("nan"), 5]], []],
            [[["e", 1, 700, 50]] * (MAX_NEWS_FACTORS + 1), []],
            [[], [["models", 7, 26000, 6369]]],
            [[], [["models", 0, -1, 6369]]],
        ):
            with self.assertRaises(msgspec.ValidationError):
                decoder.decode(msgspec.msgpack.encode(invalid))

    def test_entry_of_an_earlier_start_is_ignored(self):
        """Guards against a replaced upstream that inherits the speed of the old one."""
        engine = build_engine("e", Phase.PREFILL, started_at=2)
        table = SpeedTable()
        news = msgspec.convert([[["e", 1, 5000, 100]], []], SpeedNews)
        table.receive_news(news, 1.0, {"e": engine})
        self.assertEqual(table.factor(engine, 1.0), 1.0)

    def test_state_stays_small(self):
        """Guards against datagrams that links fragment."""
        engines, factors = build_engines()
        table = SpeedTable()
        now = learn(table, engines, factors, 30.0, 20.0)
        news = SpeedNews(table.take_news(now), table.models())
        self.assertEqual(len(news.factors), MAX_NEWS_FACTORS)
        state = State(
            instance="front-muscat-c-5",
            incarnation="front-muscat-c-5.1796000000000",
            zone="muscat-c",
            address="127.0.0.1:40001",
            gossip_address="127.0.0.1:40002",
            vote=1.796e9,
            loads={engine.id: Load(3, 20000) for engine in engines[:8]},
            parts=[(engine.id, "p" * 16) for engine in engines[:8]],
            speeds=news,
        )
        self.assertLess(len(encode_datagram(state)), MAX_DATAGRAM_BYTES)


class SharedSpeedTests(HostedCase):
    """Daemons learn from responses and send what they learned."""

    async def test_peer_of_the_zone_learns_without_requests(self):
        """Guards against an instance without traffic that knows no engine."""
        self.configure()
        await self.add_worker("p0", "models", phase="prefill")
        await self.add_worker("d0", "models", phase="decode")
        first = await self.start_ready()
        second = await self.start_ready(
            instance_id="entry-2", seeds=(first.settings.gossip_address,)
        )
        await self.wait_for_peers([first, second])
        table = second.service("speeds").table
        upstreams = first.service("directory").table.by_id.values()
        prefill = next(item for item in upstreams if item.phase is Phase.PREFILL)
        own = first.service("speeds").table
        for _ in range(20):
            own.record_prefill(prefill, 5000, 0, 0.3, first.clock.monotonic())
        now = second.clock.monotonic
        await self.eventually(lambda: table.prefill_ms(prefill, 5000, now()) > 200)
        self.assertIn("upstream_speed", second.dump())
