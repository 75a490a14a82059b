"""Tests of who follows the store, and of how the others learn of its changes."""

import asyncio
import random
import unittest
import zlib
from unittest import mock

import msgspec

from camphorgate.serving.relay import (
    LIVE_SECONDS,
    REPLACED_GRACE_SECONDS,
    TAKEOVER_INTERVAL_SECONDS,
    TOUCH_SECONDS,
    WATCHERS_PER_ZONE,
    Relay,
)
from camphorgate.settings import split_address
from camphorgated.serving import daemon
from camphorgated.serving.client_connection import connect
from camphorgated.serving.knowledge import PeerKnowledge
from camphorgated.serving.messages import FORMAT, CatalogPart, Changes
from camphorgated.serving.parts import MAX_RAW_BYTES, CatalogParts, split_catalog
from tests.hosted import HostedCase, build_hosted_settings
from tests.hosting_builders import KEY, build_listed_upstream, build_platform_entry

STEP_SECONDS = 0.1


class Zone:
    """Instances of one zone that tell each other whether they follow the store.

    Plays the decision alone, with lost messages, without a network: who is alive and
    whom the store serves is set from outside.
    """

    def __init__(self, size: int, loss: float = 0.0, seed: int = 1) -> None:
        """List all instances, of which none watches yet."""
        self.names = [f"entry-{number}" for number in range(size)]
        self.relays = {name: Relay(name) for name in self.names}
        self.watching = set()
        self.dead = set()
        self.turned_away = set()
        self.now = 10.0
        self._loss = loss
        self._random = random.Random(seed)
        for relay in self.relays.values():
            relay.listed(self.names)

    def run(self, seconds: float) -> None:
        """Let every instance tell, then decide, once a step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for name in self.names:
                if name not in self.dead:
                    self._tell(name)
            for name, relay in self.relays.items():
                if name in self.dead:
                    continue
                if relay.needed(name in self.watching, self.now):
                    self.watching.add(name)
                else:
                    self.watching.discard(name)

    def _tell(self, name: str) -> None:
        watching = name in self.watching
        sound = watching and name not in self.turned_away
        # A watcher tells each of its peers every fourth step, the others every tenth.
        period = 4 if watching else 10
        step = round(self.now / STEP_SECONDS)
        for number, (other, relay) in enumerate(self.relays.items()):
            told = (step + number) % period == 0
            if other != name and told and self._random.random() >= self._loss:
                relay.hear(name, watching, sound, self.now)

    def sound_watchers(self) -> set[str]:
        """Return the watchers that are alive and that the store serves."""
        return self.watching - self.dead - self.turned_away

    def out_of_touch(self) -> list[str]:
        """Return the living instances that neither watch nor hear a watcher."""
        return [
            name
            for name, relay in self.relays.items()
            if name not in self.dead | self.watching and not relay.in_touch(self.now)
        ]


class RelayTests(unittest.TestCase):
    """A zone keeps its watchers, and few of them."""

    def test_a_zone_has_as_many_watchers_as_it_needs(self):
        """Guards against a store that every instance of a large fleet calls."""
        for size in (1, 2, 3, 40):
            zone = Zone(size, loss=0.03)
            zone.run(REPLACED_GRACE_SECONDS + 3.0)
            wanted = min(size, WATCHERS_PER_ZONE)
            self.assertEqual(len(zone.watching), wanted, size)
            self.assertEqual(zone.out_of_touch(), [])

    def test_watchers_that_die_together_are_replaced_in_time(self):
        """Guards against a zone that works on with old lists, by seeds.

        The bound leaves half of the smallest ``drain-ms`` of the users (2 s) to the
        read and the word of it.
        """
        for seed in range(20):
            zone = Zone(40, loss=0.03, seed=seed)
            zone.run(REPLACED_GRACE_SECONDS + 3.0)
            zone.dead |= zone.watching
            zone.watching.clear()
            zone.run(TOUCH_SECONDS + 4 * TAKEOVER_INTERVAL_SECONDS)
            self.assertTrue(zone.sound_watchers(), seed)
            zone.run(REPLACED_GRACE_SECONDS + 3.0)
            self.assertEqual(zone.out_of_touch(), [], seed)
            self.assertLessEqual(len(zone.watching), WATCHERS_PER_ZONE + 1, seed)

    def test_watchers_that_the_store_turns_away_are_replaced(self):
        """Guards against a zone cut off by the trouble of two of its instances."""
        zone = Zone(40, loss=0.03)
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        zone.turned_away |= zone.watching
        zone.run(TOUCH_SECONDS + 4 * TAKEOVER_INTERVAL_SECONDS)
        self.assertGreaterEqual(len(zone.sound_watchers()), 1)
        zone.run(3.0)
        self.assertGreaterEqual(len(zone.sound_watchers()), WATCHERS_PER_ZONE)
        zone.turned_away.clear()
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        self.assertEqual(len(zone.watching), WATCHERS_PER_ZONE)

    def test_an_outage_of_the_store_for_all_ends_with_few_watchers(self):
        """Guards against a fleet that goes on asking after an outage."""
        zone = Zone(40, loss=0.03)
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        zone.turned_away |= set(zone.names)
        zone.run(8.0)
        zone.turned_away.clear()
        zone.run(REPLACED_GRACE_SECONDS + 4.0)
        self.assertLessEqual(len(zone.watching), WATCHERS_PER_ZONE + 1)
        self.assertEqual(zone.out_of_touch(), [])

    def test_watchers_share_the_telling(self):
        """Guards against links that one watcher fills, and peers that none tells."""
        zone = Zone(12)
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        self.assertEqual(len(zone.watching), WATCHERS_PER_ZONE)
        peers = [f"10.0.0.{number}:7780" for number in range(200)]
        shares = [zone.relays[name].share(peers, zone.now) for name in zone.watching]
        self.assertEqual(sorted(sum(shares, [])), sorted(peers))
        self.assertLessEqual(max(map(len, shares)), 120)

    def test_every_peer_is_told_whatever_watchers_know_of_each_other(self):
        """Guards against a peer that is nobody's while a third watcher is half known.

        Seen beside load: the word of a configuration did not reach one of four.
        """
        names = [f"entry-{number}" for number in range(4)]
        peers = [f"10.0.0.{number}:7780" for number in range(40)]
        chance = random.Random(5)
        for _ in range(50):
            told = set()
            for name in names:
                relay = Relay(name)
                for other in names:
                    if other != name and chance.random() < 0.5:
                        relay.hear(other, True, True, 1.0)
                told.update(relay.share(peers, 1.1))
            self.assertEqual(told, set(peers))

    def test_silence_is_told_from_an_outage(self):
        """Guards against removals that are doubted though the store was sound."""
        relay = Relay("entry-1")
        relay.hear("entry-2", True, True, 1.0)
        self.assertFalse(relay.doubtful(1.5))
        relay.hear("entry-2", True, False, 2.0)
        self.assertTrue(relay.doubtful(2.5))
        self.assertFalse(relay.doubtful(2.0 + LIVE_SECONDS))

    def test_a_watcher_that_hands_its_role_on_is_no_outage(self):
        """Guards against removals that are doubted after each change of watchers."""
        relay = Relay("entry-1")
        relay.hear("entry-2", True, True, 1.0)
        relay.hear("entry-2", False, True, 1.2)
        self.assertFalse(relay.doubtful(1.3))
        self.assertFalse(relay.in_touch(1.3))


class CatalogPartTests(unittest.TestCase):
    """A configuration in parts is put together whole, or not at all."""

    def setUp(self):
        """Cut a configuration that does not compress well."""
        self.raw = random.Random(3).randbytes(5000)
        self.parts = split_catalog("entry-1", "zone-a", 4, self.raw)

    def test_any_order_gives_the_whole(self):
        """Guards against parts that are taken for others."""
        self.assertGreater(len(self.parts), 3)
        for seed in range(20):
            taken = CatalogParts()
            parts = self.parts + self.parts[:2]
            random.Random(seed).shuffle(parts)
            wholes = [raw for part in parts if (raw := taken.take(part)) is not None]
            self.assertEqual(wholes[:1], [self.raw])

    def test_parts_of_two_versions_are_not_joined(self):
        """Guards against a configuration that nobody wrote."""
        newer = split_catalog("entry-1", "zone-a", 5, self.raw[::-1])
        taken = CatalogParts()
        for part in self.parts[:-1]:
            self.assertIsNone(taken.take(part))
        for part in newer[1:]:
            self.assertIsNone(taken.take(part))
        self.assertIsNone(taken.take(self.parts[-1]))
        self.assertEqual(taken.take(newer[0]), self.raw[::-1])

    def test_foreign_parts_are_refused(self):
        """Guards against memory that a torn or forged part takes."""
        taken = CatalogParts()
        for number, parts in ((-1, 3), (3, 3), (0, 0), (0, 10**6)):
            part = CatalogPart("entry-1", "zone-a", 4, number, parts, b"x")
            self.assertIsNone(taken.take(part))
        with self.assertRaises(ValueError):
            taken.take(CatalogPart("entry-1", "zone-a", 4, 0, 1, b"no zlib"))
        bomb = zlib.compress(b"0" * 2 * MAX_RAW_BYTES)
        with self.assertRaises(ValueError):
            taken.take(CatalogPart("entry-1", "zone-a", 4, 0, 1, bomb))


class ZoneCase(HostedCase):
    """Instances of one zone, of which some follow the store."""

    async def start_zone(self, size: int = 4):
        """Start instances and return the watchers and the others."""
        self.configure()
        await self.add_worker("desk-1")
        apps = [
            await self.start_ready(instance_id=f"entry-{number}")
            for number in range(size)
        ]

        def watching():
            return [app for app in apps if app.service("directory").watches.watching]

        def settled():
            watchers = watching()
            holders = [app for app in apps if app.service("members").holds_duty()]
            # The holder of the duty goes on watching.
            return (
                len(holders) == 1
                and len(watchers) <= WATCHERS_PER_ZONE + (holders[0] in watchers)
                and all(app.service("directory").sound for app in apps)
            )

        await self.eventually(settled, seconds=8.0)
        watchers = watching()
        return watchers, [app for app in apps if app not in watchers]


class FollowerTests(ZoneCase):
    """An instance that does not follow the store hears of every change in time."""

    async def test_changes_of_upstreams_reach_followers(self):
        """Guards against work for an upstream that leaves, and unused new ones."""
        _, followers = await self.start_zone()
        tables = [app.service("directory").table for app in followers]
        address = next(iter(tables[0].by_id.values())).address
        entry = build_platform_entry(address, state="draining")
        self.store.put("servers/desk-1", entry)
        await self.eventually(
            lambda: all(table.by_id["desk-1"].leaving for table in tables), seconds=1.0
        )
        self.store.remove("servers/desk-1")
        await self.eventually(
            lambda: not any(table.by_id for table in tables), seconds=1.0
        )

    async def test_withdrawn_key_reaches_followers(self):
        """Guards against keys that work on where the store is not followed."""
        _, followers = await self.start_zone()
        reply = await self.ask(followers[0], "/read/a")
        self.assertEqual(reply.status, 200)
        self.configure(2, tenants=[{"name": "north", "api-keys": ["another"]}])
        await self.eventually(
            lambda: all(
                app.service("directory").catalog.version == 2 for app in followers
            ),
            seconds=2.0,
        )
        reply = await self.ask(followers[0], "/read/a")
        self.assertEqual(reply.status, 401)
        self.assertNotEqual(KEY, "another")

    async def test_configuration_reaches_followers_without_being_asked_for(self):
        """Guards against a zone that connects to its watchers at the same moment.

        Seen on further-grown trouble-1: both watchers were silent for over a second.
        """
        _, followers = await self.start_zone()
        asked = mock.AsyncMock(side_effect=AssertionError)
        with mock.patch("camphorgated.serving.knowledge.PeerKnowledge._ask", asked):
            self.configure(7)
            await self.eventually(
                lambda: all(
                    app.service("directory").catalog.version == 7 for app in followers
                ),
                seconds=2.0,
            )

    async def test_lost_word_of_a_change_is_noticed(self):
        """Guards against a datagram whose loss leaves an old entry in use."""
        _, followers = await self.start_zone()
        table = followers[0].service("directory").table
        handlers = followers[0].service("gossip")._handlers
        with mock.patch.dict(handlers, {Changes: lambda _: None}):
            self.store.remove("servers/desk-1")
            await self.eventually(lambda: not table.by_id, seconds=3.0)

    async def test_followers_go_on_without_both_watchers(self):
        """Guards against a zone that hears of nothing after two kills."""
        watchers, followers = await self.start_zone()
        tables = [app.service("directory").table for app in followers]
        for app in watchers:
            await app.stop()
        self.store.remove("servers/desk-1")
        await self.eventually(
            lambda: not any(table.by_id for table in tables), seconds=2.0
        )

    async def test_followers_stay_off_the_store(self):
        """Guards against calls that grow with instances times changes."""
        _, followers = await self.start_zone()
        store = followers[0].service("store")
        address = next(iter(followers[0].service("directory").table.by_id.values()))
        before = store.statistics["calls"]
        for number in range(10):
            entry = build_platform_entry(address.address, sequence=number, slots=number)
            self.store.put("servers/desk-1", entry)
            await asyncio.sleep(0.1)
        # What is left is the lease and the list of members.
        self.assertLessEqual(store.statistics["calls"] - before, 3)

    async def test_watcher_that_was_cut_off_takes_a_removal_from_its_peers(self):
        """Guards against work for an upstream that is gone, after a cut.

        Seen on akmola trouble days: an instance followed the store again 30 ms before
        a removal, doubted it, and used the upstream for 3 s.
        """
        watchers, _ = await self.start_zone()
        table = watchers[0].service("directory").table
        since = mock.patch.object(
            type(watchers[0].service("directory")), "upstreams_sound_since", None
        )
        with since:
            # Its own watch counts as disturbed, so that it doubts what vanishes.
            message = Changes("entry-0", "zone-a", [], [("desk-1", 10**6)])
            watchers[0].service("gossip")._receive(
                FORMAT + msgspec.msgpack.encode(message)
            )
            self.assertEqual(table.by_id, {})

    async def test_foreign_word_is_refused(self):
        """Guards against a state that is old, of another zone, or half read."""
        _, followers = await self.start_zone()
        app = followers[0]
        gossip, table = app.service("gossip"), app.service("directory").table
        news = build_listed_upstream("u-9", revision=10**6)
        old = msgspec.structs.replace(table.by_id["desk-1"], revision=0, leaving=True)
        for message in (
            Changes("entry-9", "zone-b", [news], [("desk-1", 10**6)]),
            Changes("entry-0", "zone-a", [old], []),
            Changes("entry-0", "zone-a", [], [("desk-1", 0)]),
        ):
            gossip._receive(FORMAT + msgspec.msgpack.encode(message))
        whole = msgspec.msgpack.encode(Changes("entry-0", "zone-a", [news], []))
        for data in (b"", b"\x01" + whole, FORMAT + whole[:-9], whole):
            gossip._receive(data)
        self.assertEqual(list(table.by_id), ["desk-1"])
        self.assertFalse(table.by_id["desk-1"].leaving)
        self.assertEqual(gossip.dump()["unreadable_datagrams"], 4)


class LateKnowledgeTests(HostedCase):
    """The exchange with peers starts late, and never after the daemon has stopped."""

    async def test_nothing_listens_after_the_stop(self):
        """Guards against a server that starts while the daemon stops, and crashes it.

        Seen beside load: .ci/run ended by a segmentation fault within grpc.aio.
        """
        app = daemon.build(build_hosted_settings(self.store_address))
        knowledge = PeerKnowledge(app)
        await knowledge.stop()
        await knowledge.start()
        host, port = split_address(app.settings.peer_address)
        with self.assertRaises(OSError):
            await connect(host, port, 1.0)

    async def test_stop_waits_for_the_start(self):
        """Guards against a stop that overtakes the start of the server."""
        app = daemon.build(build_hosted_settings(self.store_address))
        knowledge = PeerKnowledge(app)
        start = asyncio.ensure_future(knowledge.start())
        await asyncio.sleep(0)
        await knowledge.stop()
        self.assertTrue(start.done())
        host, port = split_address(app.settings.peer_address)
        with self.assertRaises(OSError):
            await connect(host, port, 1.0)
        await app.stop()
