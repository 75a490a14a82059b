"""Tests of the sending rate to an upstream that has just started or recovered."""

import asyncio
import random
import unittest

import msgspec

from camphorgate.serving.health import HealthTable
from camphorgate.serving.loads import LoadTable
from camphorgate.serving.pace import PaceNews, PaceTable, rank
from camphorgate.serving.placement import Placement
from camphorgated.serving.pace import FIRST_LIST_SECONDS
from tests.hosted import HostedCase
from tests.hosting_builders import build_listed_upstream

NAMES = [f"entry-{number}" for number in range(87)]
ZONES = 4
NEW = ("new", 2)
TICK_SECONDS, STEP_SECONDS = 0.2, 0.01
# Each instance has this many requests a second for the new upstream, which can serve 75
# a second: 35 of all instances.
REQUESTS_PER_SECOND = 0.4
SLOTS, CALL_SECONDS, PREDICTED_MS = 6, 0.08, 80.0
NEAR_PEERS, FAR_PEERS = 8, 2


class Fleet:
    """Instances that send to one new upstream while their share allows it."""

    def __init__(self, seed=1, lost=0.0, cut_zone=None, rate=REQUESTS_PER_SECOND):
        """Start at the moment at which all instances learn of the upstream."""
        self._rate = rate
        self.tables = [PaceTable(name, lambda: NAMES) for name in NAMES]
        self._random, self._lost, self._cut = random.Random(seed), lost, cut_zone
        self.now, self.dead, self._running = 0.0, False, []
        # Times of the requests sent to the upstream, and how many it refused.
        self.sent, self.refused = [], 0
        for table in self.tables:
            table.mark_started(NEW, 0.0)

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for ends_at, number in [
                item for item in self._running if item[0] <= self.now
            ]:
                self._running.remove((ends_at, number))
                self.tables[number].record_duration(NEW, 80.0, PREDICTED_MS, self.now)
            for number, table in enumerate(self.tables):
                if self._random.random() < self._rate * STEP_SECONDS:
                    self._send(number, table)
                if self._random.random() < STEP_SECONDS / TICK_SECONDS:
                    self._tell(number, table)

    def _send(self, number, table):
        if not table.includes(NEW, self.now):
            return
        self.sent.append(self.now)
        if self.dead:
            table.record_failures(NEW, 1, self.now)
        elif len(self._running) >= SLOTS:
            self.refused += 1
            table.record_bad(NEW, self.now)
        else:
            self._running.append((self.now + CALL_SECONDS, number))

    def _tell(self, number, table):
        near = [n for n in range(len(NAMES)) if n % ZONES == number % ZONES]
        peers = self._random.sample(near, NEAR_PEERS)
        peers += self._random.sample(range(len(NAMES)), FAR_PEERS)
        for peer in peers:
            crosses = (number % ZONES == self._cut) != (peer % ZONES == self._cut)
            if crosses or self._random.random() < self._lost:
                continue
            for item in table.news(self.now):
                self.tables[peer].receive_news(item, self.now)

    def included(self):
        """Return how many instances may send."""
        return sum(table.includes(NEW, self.now) for table in self.tables)


class StartTests(unittest.TestCase):
    """A new upstream is neither flooded nor left idle."""

    def check_start(self, **options):
        """Check the first seconds of an upstream."""
        for seed in range(3):
            fleet = Fleet(seed, **options)
            self.assertEqual(fleet.included(), 1)
            fleet.run(0.5)
            # All instances together would send 17 requests by now.
            self.assertLess(len(fleet.sent), 6, seed)
            fleet.run(3.5)
            early = len(fleet.sent)
            fleet.run(4.0)
            # All instances together would send 139 requests in this time.
            self.assertGreater(len(fleet.sent) - early, 83, seed)
            fleet.run(3.0)
            self.assertEqual(fleet.included(), len(NAMES), seed)
            self.assertLess(fleet.refused / len(fleet.sent), 0.1, seed)

    def test_crashed_upstream_starts_again(self):
        """Guards against 87 first requests at one moment, and against idle seconds."""
        self.check_start()

    def test_lost_messages(self):
        """Guards against a share that does not grow where datagrams are lost."""
        self.check_start(lost=0.5)

    def test_zone_that_is_cut_off(self):
        """Guards against a zone that never uses the upstream as it hears of nobody."""
        fleet = Fleet(cut_zone=0)
        self.assertEqual(fleet.included(), 1)
        fleet.run(0.5)
        self.assertLess(len(fleet.sent), 6)
        fleet.run(10.5)
        cut = [table for n, table in enumerate(fleet.tables) if n % ZONES == 0]
        used = sum(table.includes(NEW, fleet.now) for table in cut)
        self.assertEqual(used, len(cut))

    def test_death_during_the_increase(self):
        """Guards against a growing number of requests to a dead upstream."""
        fleet = Fleet(rate=1.2)
        fleet.run(2.5)
        fleet.dead = True
        fleet.run(1.0)
        fleet.sent.clear()
        fleet.run(2.0)
        # All instances together would send 209 requests.
        self.assertLess(len(fleet.sent), 40)

    def test_share_follows_the_capacity(self):
        """Guards against refusals at the rate of 87 instances."""
        fleet = Fleet(rate=2.4)
        fleet.run(9.0)
        # All instances together would send 209 requests a second, 0.64 too many.
        self.assertLess(fleet.refused / len(fleet.sent), 0.35)


class DaemonTests(HostedCase):
    """Daemons find the rate to an upstream that starts, and agree on it."""

    async def start_two(self, slowdown):
        """Start two daemons and an upstream that reports its load."""
        self.configure()
        (await self.add_worker("old")).slowdown = slowdown
        first = await self.start_ready()
        second = await self.start_ready(
            instance_id="entry-2", seeds=(first.settings.gossip_address,)
        )
        apps = [first, second]
        await self.wait_for_peers(apps)
        for app in apps:
            self.assertEqual((await self.request(app, "/read/a")).status, 200)
        await asyncio.sleep(FIRST_LIST_SECONDS)
        await self.add_worker("new")
        await self.eventually(
            lambda: all("new" in a.service("directory").table.by_id for a in apps)
        )
        return apps

    async def test_upstream_that_starts_reaches_full_rate(self):
        """Guards against an upstream that is never used by one of the instances."""
        apps = await self.start_two(1.0)
        paces = [app.service("pace") for app in apps]
        await self.eventually(lambda: all(pace.dump()["starts"] for pace in paces))
        await self.eventually(lambda: not any(pace.dump()["shares"] for pace in paces))

    async def test_services_without_reports_are_served_as_before(self):
        """Guards against a slower start in deployments that do not ask for it."""
        for app in await self.start_two(None):
            self.assertEqual(app.service("pace").dump()["starts"], 0)


class PaceTableTests(unittest.TestCase):
    """Shares are merged from messages and bounded."""

    def test_failures_of_an_upstream_in_full_use(self):
        """Guards against a recovered upstream that gets all first requests at once."""
        tables = [PaceTable(name, lambda: NAMES) for name in NAMES]
        for table in tables:
            table.record_failures(NEW, 1, 1.0)
            self.assertTrue(table.includes(NEW, 1.0))
            table.record_failures(NEW, 2, 1.0)
        self.assertEqual(sum(table.includes(NEW, 1.0) for table in tables), 1)

    def test_rare_failures_do_not_start_again(self):
        """Guards against a reset by two failures of many requests of all instances."""
        table = PaceTable("entry-1", lambda: NAMES)
        for number in range(1, 5):
            table.record_failures(NEW, number, number * 20.0)
        self.assertEqual(len(table), 0)

    def test_newer_share_replaces_a_larger_one(self):
        """Guards against an old message that undoes a halving."""
        table = PaceTable("entry-1", lambda: NAMES)
        table.mark_started(NEW, 0.0)
        for share, decreases, expected in (
            (40, 0, 40),
            (8, 1, 8),
            (60, 0, 8),
            (9, 1, 9),
        ):
            table.receive_news(PaceNews(*NEW, decreases, share), 0.1)
            self.assertEqual(table.shares(), {"new": expected})

    def test_late_message_does_not_start_again(self):
        """Guards against an upstream in full use that is slowed by a late datagram."""
        table = PaceTable("entry-1", lambda: NAMES)
        table.mark_started(NEW, 0.0)
        table.receive_news(PaceNews(*NEW, 0, 87), 0.1)
        self.assertTrue(table.includes(NEW, 0.1))
        self.assertEqual(len(table), 0)
        table.receive_news(PaceNews(*NEW, 0, 2), 0.2)
        self.assertEqual(len(table), 0)

    def test_values_of_peers_are_bounded(self):
        """Guards against a share that never grows, or one that overflows."""
        decoder = msgspec.msgpack.Decoder(PaceNews)
        for values in ((0, 0), (0, 10**9), (-1, 1), (2**40, 1)):
            with self.assertRaises(msgspec.ValidationError):
                decoder.decode(msgspec.msgpack.encode(["new", 2, *values]))
        table = PaceTable("entry-1", list)
        table.mark_started(NEW, 0.0)
        table.record_good(NEW, 1e4)
        decoder.decode(msgspec.msgpack.encode(table.news(1e4)[0]))

    def test_instances_agree_on_the_order(self):
        """Guards against two instances that are both the first."""
        ranks = sorted(rank(name, NAMES, NEW) for name in NAMES)
        self.assertEqual(ranks, list(range(len(NAMES))))

    def test_upstream_is_used_where_no_other_is_left(self):
        """Guards against refusals while a new upstream could serve."""
        upstreams = [
            build_listed_upstream(upstream_id, started_at=2)
            for upstream_id in ("new", "old")
        ]
        outside = next(name for name in NAMES if rank(name, NAMES, NEW) > 0)
        table = PaceTable(outside, lambda: NAMES)
        table.mark_started(NEW, 1.0)
        loads, health = LoadTable(), HealthTable()
        placement = Placement(loads, health, "zone-a", pace=table)
        for _ in range(7):
            loads.begin_request("old", 0)
        choose = placement.choose_for_call
        self.assertEqual(choose(upstreams, 1.0).upstream.id, "old")
        self.assertEqual(choose(upstreams[:1], 1.0).upstream.id, "new")
        health.of(upstreams[1].incarnation).record_failure(1.0)
        self.assertEqual(choose(upstreams, 1.0).upstream.id, "new")
