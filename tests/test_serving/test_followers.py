"""Tests of how changes reach the instances that do not watch the store."""

import asyncio
from unittest import mock

import msgspec

from camphorgate.serving.watcher_selection import WATCHERS_PER_ZONE
from camphorgate.settings import split_address
from camphorgated.serving import daemon
from camphorgated.serving.client_connection import connect
from camphorgated.serving.knowledge import PeerKnowledge
from camphorgated.serving.messages import FORMAT, Changes
from tests.hosted import HostedCase, build_hosted_settings
from tests.hosting_builders import KEY, build_listed_upstream, build_platform_entry


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
