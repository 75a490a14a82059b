"""Tests of which instances watch the store, and how changes reach the others."""

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from camphorgate.serving.watcher_selection import (
    MAX_PEER_SILENCE_SECONDS,
    MAX_WATCHER_SILENCE_SECONDS,
    REPLACED_GRACE_SECONDS,
    TAKEOVER_INTERVAL_SECONDS,
    WATCHERS_PER_ZONE,
    WatcherSelection,
)
from camphorgate.settings import split_address
from camphorgated.serving import daemon
from camphorgated.serving.client_connection import connect
from camphorgated.serving.knowledge import PeerKnowledge
from camphorgated.serving.messages import FORMAT, Changes
from tests.hosted import HostedCase, build_hosted_settings
from tests.hosting_builders import KEY, build_listed_upstream, build_platform_entry

STEP_SECONDS = 0.1


class SimulatedZone:
    """Instances of one zone that tell each other whether they watch the store.

    Simulates the selection alone, with lost messages and without a network. The test
    sets which instances are alive and which the store serves.
    """

    def __init__(self, size: int, loss: float = 0.0, seed: int = 1) -> None:
        """Create the instances, none of which watches yet."""
        self.names = [f"entry-{number}" for number in range(size)]
        self.selections_by_name = {name: WatcherSelection(name) for name in self.names}
        self.watching = set()
        self.dead = set()
        # Instances that hear nobody.
        self.isolated = set()
        self.store_failed = set()
        self.now = 10.0
        self._loss = loss
        self._random = random.Random(seed)
        for selection in self.selections_by_name.values():
            selection.set_listed(self.names)

    def run(self, seconds: float) -> None:
        """Let every instance send its state and then decide, once per step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for name in self.names:
                if name not in self.dead:
                    self._send_state(name)
            for name, selection in self.selections_by_name.items():
                if name in self.dead:
                    continue
                if selection.should_watch(name in self.watching, self.now):
                    self.watching.add(name)
                else:
                    self.watching.discard(name)

    def _send_state(self, name: str) -> None:
        watching = name in self.watching
        sound = watching and name not in self.store_failed
        # A watcher sends to each peer every fourth step, other instances every tenth.
        period = 4 if watching else 10
        step = round(self.now / STEP_SECONDS)
        for number, (other, selection) in enumerate(self.selections_by_name.items()):
            receives = (step + number) % period == 0
            if other == name or other in self.isolated:
                continue
            if receives and self._random.random() >= self._loss:
                selection.receive_state(name, watching, sound, self.now)

    def sound_watchers(self) -> set[str]:
        """Return the live watchers that the store serves."""
        return self.watching - self.dead - self.store_failed

    def out_of_contact(self) -> list[str]:
        """Return the live instances that neither watch nor receive from a watcher."""
        return [
            name
            for name, selection in self.selections_by_name.items()
            if name not in self.dead | self.watching
            and not selection.in_contact(self.now)
        ]


class WatcherSelectionTests(unittest.TestCase):
    """A zone always has watchers, but only a few."""

    def test_zone_has_the_required_number_of_watchers(self):
        """Guards against a large fleet in which every instance calls the store."""
        for size in (1, 2, 3, 40):
            zone = SimulatedZone(size, loss=0.03)
            zone.run(REPLACED_GRACE_SECONDS + 3.0)
            wanted = min(size, WATCHERS_PER_ZONE)
            self.assertEqual(len(zone.watching), wanted, size)
            self.assertEqual(zone.out_of_contact(), [])

    def test_watchers_that_fail_together_are_replaced_in_time(self):
        """Guards against a zone that continues with stale lists; checks 20 seeds.

        The bound leaves half of the users' smallest ``drain-ms`` (2 s) for reading the
        list and distributing it.
        """
        for seed in range(20):
            zone = SimulatedZone(40, loss=0.03, seed=seed)
            zone.run(REPLACED_GRACE_SECONDS + 3.0)
            zone.dead |= zone.watching
            zone.watching.clear()
            zone.run(MAX_WATCHER_SILENCE_SECONDS + 4 * TAKEOVER_INTERVAL_SECONDS)
            self.assertTrue(zone.sound_watchers(), seed)
            zone.run(REPLACED_GRACE_SECONDS + 3.0)
            self.assertEqual(zone.out_of_contact(), [], seed)
            self.assertLessEqual(len(zone.watching), WATCHERS_PER_ZONE + 1, seed)

    def test_instances_that_died_before_do_not_delay_a_takeover(self):
        """Guards against waiting for the turn of instances that are only listed."""
        for seed in range(20):
            zone = SimulatedZone(40, loss=0.03, seed=seed)
            for _ in range(6):
                zone.run(REPLACED_GRACE_SECONDS + 3.0)
                zone.dead |= zone.watching
                zone.watching.clear()
                zone.run(MAX_WATCHER_SILENCE_SECONDS + 4 * TAKEOVER_INTERVAL_SECONDS)
                self.assertTrue(zone.sound_watchers(), seed)

    def test_isolated_instances_take_over_in_turn(self):
        """Guards against a rush to the store by all instances that hear nobody."""
        zone = SimulatedZone(40)
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        zone.isolated |= set(zone.names)
        zone.run(MAX_PEER_SILENCE_SECONDS + TAKEOVER_INTERVAL_SECONDS)
        elapsed = MAX_PEER_SILENCE_SECONDS - MAX_WATCHER_SILENCE_SECONDS
        turns = elapsed / TAKEOVER_INTERVAL_SECONDS + 3
        self.assertLessEqual(len(zone.watching), WATCHERS_PER_ZONE + turns)

    def test_watchers_that_the_store_refuses_are_replaced(self):
        """Guards against a zone without updates because two watchers fail."""
        zone = SimulatedZone(40, loss=0.03)
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        zone.store_failed |= zone.watching
        zone.run(MAX_WATCHER_SILENCE_SECONDS + 4 * TAKEOVER_INTERVAL_SECONDS)
        self.assertGreaterEqual(len(zone.sound_watchers()), 1)
        zone.run(3.0)
        self.assertGreaterEqual(len(zone.sound_watchers()), WATCHERS_PER_ZONE)
        zone.store_failed.clear()
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        self.assertEqual(len(zone.watching), WATCHERS_PER_ZONE)

    def test_full_store_outage_ends_with_few_watchers(self):
        """Guards against a fleet that keeps too many watchers after an outage."""
        zone = SimulatedZone(40, loss=0.03)
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        zone.store_failed |= set(zone.names)
        zone.run(8.0)
        zone.store_failed.clear()
        zone.run(REPLACED_GRACE_SECONDS + 4.0)
        self.assertLessEqual(len(zone.watching), WATCHERS_PER_ZONE + 1)
        self.assertEqual(zone.out_of_contact(), [])

    def test_watchers_divide_the_peers(self):
        """Guards against overloading one watcher's link, and peers without a sender."""
        zone = SimulatedZone(12)
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        self.assertEqual(len(zone.watching), WATCHERS_PER_ZONE)
        peers = [f"10.0.0.{number}:7780" for number in range(200)]
        shares = [
            zone.selections_by_name[name].assigned_peers(peers, zone.now)
            for name in zone.watching
        ]
        self.assertEqual(sorted(sum(shares, [])), sorted(peers))
        self.assertLessEqual(max(map(len, shares)), 120)

    def test_every_peer_is_assigned_with_partial_knowledge(self):
        """Guards against a peer that no watcher serves while a third is partly known.

        Seen under load: the message of a configuration missed one of four instances.
        """
        names = [f"entry-{number}" for number in range(4)]
        peers = [f"10.0.0.{number}:7780" for number in range(40)]
        random_source = random.Random(5)
        for _ in range(50):
            assigned = set()
            for name in names:
                selection = WatcherSelection(name)
                for other in names:
                    if other != name and random_source.random() < 0.5:
                        selection.receive_state(other, True, True, 1.0)
                assigned.update(selection.assigned_peers(peers, 1.1))
            self.assertEqual(assigned, set(peers))

    def test_few_watchers_broadcast_when_many_watch(self):
        """Guards against a zone in which every instance broadcasts a configuration."""
        zone = SimulatedZone(30)
        zone.run(REPLACED_GRACE_SECONDS + 3.0)
        self.assertEqual(len(zone.watching), WATCHERS_PER_ZONE)
        zone.watching = set(zone.names)
        for name in zone.names:
            for other in zone.names:
                if other != name:
                    zone.selections_by_name[name].receive_state(
                        other, True, True, zone.now
                    )
        first = [
            name
            for name, selection in zone.selections_by_name.items()
            if selection.broadcast_turn(zone.now) == 0
        ]
        self.assertEqual(len(first), WATCHERS_PER_ZONE)
        turns = [
            selection.broadcast_turn(zone.now)
            for selection in zone.selections_by_name.values()
        ]
        self.assertEqual(sorted(turns), [0, *range(len(turns) - 1)])
        for name in first:
            for selection in zone.selections_by_name.values():
                selection.receive_state(name, True, False, zone.now)
        others = [
            name
            for name, selection in zone.selections_by_name.items()
            if name not in first and selection.broadcast_turn(zone.now) == 0
        ]
        self.assertEqual(len(others), WATCHERS_PER_ZONE)

    def test_silence_of_a_watcher_is_not_a_store_outage(self):
        """Guards against doubting removals although the store was available."""
        selection = WatcherSelection("entry-1")
        selection.receive_state("entry-2", True, True, 1.0)
        self.assertFalse(selection.store_lost_recently(1.5))
        selection.receive_state("entry-2", True, False, 2.0)
        self.assertTrue(selection.store_lost_recently(2.5))
        self.assertFalse(selection.store_lost_recently(2.0 + MAX_PEER_SILENCE_SECONDS))

    def test_handover_of_the_watcher_role_is_not_an_outage(self):
        """Guards against doubting removals after each change of watchers."""
        selection = WatcherSelection("entry-1")
        selection.receive_state("entry-2", True, True, 1.0)
        selection.receive_state("entry-2", False, True, 1.2)
        self.assertFalse(selection.store_lost_recently(1.3))
        self.assertFalse(selection.in_contact(1.3))


class ZoneCase(HostedCase):
    """Instances of one zone, some of which watch the store."""

    async def start_zone(self, size: int = 4):
        """Start instances; return the watchers and the followers."""
        self.configure()
        await self.add_worker("desk-1")
        apps = [
            await self.start_ready(instance_id=f"entry-{number}")
            for number in range(size)
        ]

        def watching():
            return [app for app in apps if app.service("directory").watches.watching]

        def is_settled():
            watchers = watching()
            holders = [app for app in apps if app.service("members").holds_duty()]
            # The duty holder stays a watcher in addition.
            return (
                len(holders) == 1
                and len(watchers) <= WATCHERS_PER_ZONE + (holders[0] in watchers)
                and all(app.service("directory").sound for app in apps)
            )

        await self.eventually(is_settled, seconds=8.0)
        watchers = watching()
        return watchers, [app for app in apps if app not in watchers]


class FollowerTests(ZoneCase):
    """An instance that does not watch the store receives every change in time."""

    async def test_changes_of_upstreams_reach_followers(self):
        """Guards against requests to a leaving upstream, and unused new ones."""
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

    async def test_key_revocation_reaches_followers(self):
        """Guards against revoked keys that stay valid on followers."""
        _, followers = await self.start_zone()
        response = await self.request(followers[0], "/read/a")
        self.assertEqual(response.status, 200)
        self.configure(2, tenants=[{"name": "north", "api-keys": ["another"]}])
        await self.eventually(
            lambda: all(
                app.service("directory").catalog.version == 2 for app in followers
            ),
            seconds=2.0,
        )
        response = await self.request(followers[0], "/read/a")
        self.assertEqual(response.status, 401)
        self.assertNotEqual(KEY, "another")

    async def test_configuration_reaches_followers_without_a_fetch(self):
        """Guards against a whole zone connecting to its watchers simultaneously.

        Seen on further-grown trouble-1: both watchers were silent for over a second.
        """
        _, followers = await self.start_zone()
        fetch = mock.AsyncMock(side_effect=AssertionError)
        with mock.patch("camphorgated.serving.knowledge.PeerKnowledge._ask", fetch):
            self.configure(7)
            await self.eventually(
                lambda: all(
                    app.service("directory").catalog.version == 7 for app in followers
                ),
                seconds=2.0,
            )

    async def test_lost_change_message_is_detected(self):
        """Guards against a lost datagram that leaves a stale entry in use."""
        _, followers = await self.start_zone()
        table = followers[0].service("directory").table
        handlers = followers[0].service("gossip")._handlers
        with mock.patch.dict(handlers, {Changes: lambda _: None}):
            self.store.remove("servers/desk-1")
            await self.eventually(lambda: not table.by_id, seconds=3.0)

    async def test_followers_recover_from_the_loss_of_both_watchers(self):
        """Guards against a zone without updates after both watchers are killed."""
        watchers, followers = await self.start_zone()
        tables = [app.service("directory").table for app in followers]
        for app in watchers:
            await app.stop()
        self.store.remove("servers/desk-1")
        await self.eventually(
            lambda: not any(table.by_id for table in tables), seconds=2.0
        )

    async def test_followers_do_not_call_the_store(self):
        """Guards against calls proportional to instances times changes."""
        _, followers = await self.start_zone()
        store = followers[0].service("store")
        address = next(iter(followers[0].service("directory").table.by_id.values()))
        before = store.statistics["calls"]
        for number in range(10):
            entry = build_platform_entry(address.address, sequence=number, slots=number)
            self.store.put("servers/desk-1", entry)
            await asyncio.sleep(0.1)
        # The remaining calls are for the lease and the list of members.
        self.assertLessEqual(store.statistics["calls"] - before, 3)

    async def test_disturbed_watcher_accepts_a_removal_from_its_peers(self):
        """Guards against requests to a removed upstream after a lost watch.

        Seen on akmola trouble days: an instance resumed its watch 30 ms before a
        removal, doubted it, and used the upstream for 3 s.
        """
        watchers, _ = await self.start_zone()
        table = watchers[0].service("directory").table
        disturbed_watch = mock.patch.object(
            type(watchers[0].service("directory")), "upstreams_sound_since", None
        )
        with disturbed_watch:
            # Its own watch counts as disturbed, so it doubts removals.
            message = Changes("entry-0", "zone-a", [], [("desk-1", 10**6)])
            watchers[0].service("gossip")._receive(
                FORMAT + msgspec.msgpack.encode(message)
            )
            self.assertEqual(table.by_id, {})

    async def test_invalid_change_messages_are_ignored(self):
        """Guards against applying a stale, foreign-zone or truncated message."""
        _, followers = await self.start_zone()
        app = followers[0]
        gossip, table = app.service("gossip"), app.service("directory").table
        new_entry = build_listed_upstream("u-9", revision=10**6)
        stale_entry = msgspec.structs.replace(
            table.by_id["desk-1"], revision=0, leaving=True
        )
        for message in (
            Changes("entry-9", "zone-b", [new_entry], [("desk-1", 10**6)]),
            Changes("entry-0", "zone-a", [stale_entry], []),
            Changes("entry-0", "zone-a", [], [("desk-1", 0)]),
        ):
            gossip._receive(FORMAT + msgspec.msgpack.encode(message))
        encoded = msgspec.msgpack.encode(Changes("entry-0", "zone-a", [new_entry], []))
        for data in (b"", b"\x01" + encoded, FORMAT + encoded[:-9], encoded):
            gossip._receive(data)
        self.assertEqual(list(table.by_id), ["desk-1"])
        self.assertFalse(table.by_id["desk-1"].leaving)
        self.assertEqual(gossip.dump()["unreadable_datagrams"], 4)


class PeerExchangeStartTests(HostedCase):
    """The peer exchange starts late, and peers know when."""

    async def test_starting_instance_is_not_asked(self):
        """Guards against fetches that fail as the chosen peer does not listen yet."""
        self.configure()
        app = await self.start_daemon()
        gossip = app.service("gossip")
        self.assertEqual(gossip.state().address, "")
        await self.eventually(lambda: gossip.answers_fetches)
        self.assertEqual(gossip.state().address, app.settings.peer_address)
        host, port = split_address(app.settings.peer_address)
        (await connect(host, port, 1.0)).close()


class PeerExchangeStopTests(HostedCase):
    """The peer exchange starts late, and never after the daemon has stopped."""

    async def test_nothing_listens_after_the_stop(self):
        """Guards against a server that starts while the daemon stops, and crashes it.

        Seen under load: .ci/run ended by a segmentation fault within grpc.aio.
        """
        app = daemon.build(build_hosted_settings(self.store_address))
        knowledge = PeerKnowledge(app)
        await knowledge.stop()
        await knowledge.start()
        host, port = split_address(app.settings.peer_address)
        with self.assertRaises(OSError):
            await connect(host, port, 1.0)

    async def test_stop_waits_for_the_start(self):
        """Guards against a stop that completes before the start of the server."""
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
