"""Tests of the duty, usage reports, exchange between peers and store outages."""

import asyncio
from unittest import mock

from camphorgate.kv.errors import KvUnavailable
from camphorgate_platform.store import PlatformStore
from camphorgated.serving import counters as counters_module
from camphorgated.serving import gossip as gossip_module
from camphorgated.serving import members as members_module
from camphorgated.serving.directory import DUTY_KEY, SETTLE_SECONDS
from camphorgated.serving.messages import Counters
from tests.hosted import HostedCase, free_address
from tests.hosting_builders import build_listed_upstream
from tests.soak.proxy import Proxy


class DutyTests(HostedCase):
    """One duty holder at a time, and fencing tokens that only increase."""

    async def asyncSetUp(self):
        """Write the configuration."""
        await super().asyncSetUp()
        self.configure()

    async def start_pair(self):
        """Start two daemons and return the holder first."""
        apps = [
            await self.start_daemon(instance_id=f"entry-{number}") for number in (1, 2)
        ]
        members = [app.service("members") for app in apps]
        await self.eventually(lambda: any(item.holds_duty() for item in members))
        return sorted(members, key=lambda item: not item.holds_duty())

    async def test_one_of_two_holds_the_duty(self):
        """Guards against two instances that both believe that they hold the duty."""
        _, other = await self.start_pair()
        await asyncio.sleep(0.5)
        self.assertFalse(other.holds_duty())

    async def test_successor_has_a_higher_fencing_token(self):
        """Guards against two holders with the same fencing token."""
        holder, other = await self.start_pair()
        first = holder.fencing
        await holder.deregister()
        await self.eventually(other.holds_duty)
        self.assertGreater(other.fencing, first)
        self.assertFalse(holder.holds_duty())

    async def test_holder_without_the_store_stops_before_its_lease_ends(self):
        """Guards against orders from an instance that was replaced as holder."""
        holder, other = await self.start_pair()
        self.store.faults.arm({"fault": "busy", "seconds": 3.0})
        started_at = asyncio.get_running_loop().time()
        await self.eventually(lambda: not holder.holds_duty())
        self.assertLess(asyncio.get_running_loop().time() - started_at, 1.5)
        await self.eventually(
            lambda: holder.holds_duty() or other.holds_duty(), seconds=10.0
        )

    async def test_refused_fencing_token_is_never_reused(self):
        """Guards against a holder that continues after a newer one has acted."""
        holder, other = await self.start_pair()
        number = holder.fencing
        holder.drop_refused_duty(number)
        self.assertFalse(holder.holds_duty())
        await self.eventually(lambda: holder.holds_duty() or other.holds_duty())
        self.assertGreater(max(holder.fencing, other.fencing), number)

    async def test_duty_is_held_again_after_a_store_outage(self):
        """Guards against a dropped duty that no instance can acquire."""
        holder, other = await self.start_pair()
        for lease in self.store.leases_by_id.values():
            # Leases do not expire during the outage of the store.
            lease[1] += 3600.0
        self.store.faults.arm({"fault": "busy", "seconds": 2.0})
        await self.eventually(lambda: not holder.holds_duty())
        await self.eventually(
            lambda: holder.holds_duty() or other.holds_duty(), seconds=6.0
        )

    async def test_usage_is_reported_once_per_window(self):
        """Guards against missing, duplicate and changed windows."""
        await self.add_worker("desk-1")
        app = await self.start_ready(duties=["usage"])
        members = app.service("members")
        await self.eventually(members.holds_duty)
        for _ in range(5):
            await self.request(app, "/read/a")
        await asyncio.sleep(2.5)
        reports = [item for item in self.store.reports if item["path"] == "/usage"]
        windows = [item["body"]["window-id"] for item in reports]
        self.assertEqual(len(windows), len(set(windows)))
        self.assertEqual(windows, sorted(windows))
        total = sum(sum(item["body"]["counts"].values()) for item in reports)
        self.assertEqual(total, 5)

    async def test_successor_reports_the_frozen_counts(self):
        """Guards against two holders that report different counts of a window."""
        await self.add_worker("desk-1")
        app = await self.start_ready(duties=["usage"])
        window = app.service("gossip").usage.window_at(
            app.service("gossip").synchronized_now()
        )
        self.store.put(f"camphorgate/usage/{window}", b'{"north": 7}')
        await self.eventually(lambda: len(self.store.reports) >= 2, seconds=8.0)
        figures = {
            item["body"]["window-id"]: item["body"]["counts"]
            for item in self.store.reports
        }
        self.assertEqual(figures[window], {"north": 7})

    async def test_window_is_not_frozen_again_after_a_takeover(self):
        """Guards against a successor that reports old windows with other counts."""
        await self.add_worker("desk-1")
        apps = [
            await self.start_ready(duties=["usage"], instance_id=f"entry-{number}")
            for number in (1, 2)
        ]
        members = [app.service("members") for app in apps]
        await self.eventually(lambda: any(item.holds_duty() for item in members))
        members.sort(key=lambda item: not item.holds_duty())
        for _ in range(5):
            await self.request(apps[0], "/read/a")
        await asyncio.sleep(16.0)
        await members[0].deregister()
        await self.eventually(members[1].holds_duty)
        await asyncio.sleep(1.0)
        counts_by_window = {}
        for report in self.store.reports:
            window, counts = report["body"]["window-id"], report["body"]["counts"]
            self.assertEqual(counts_by_window.setdefault(window, counts), counts)


class PeerTests(HostedCase):
    """Instances that cannot read the store receive its data from their peers."""

    async def test_instance_without_the_store_uses_data_of_its_peers(self):
        """Guards against instances that cannot serve while the store refuses them."""
        self.configure()
        await self.add_worker("desk-1")
        first = await self.start_ready()
        second = await self.start_daemon(
            instance_id="entry-2",
            store_address=free_address(),
            seeds=[first.settings.peer_address],
        )
        directory = second.service("directory")
        await self.eventually(lambda: directory.catalog and directory.table.by_id)
        self.assertEqual((await self.request(second, "/read/a")).status, 200)
        self.configure(2, tenants=[{"name": "north", "api-keys": []}])
        await self.eventually(lambda: directory.catalog.version == 2, seconds=2.0)
        self.assertEqual((await self.request(second, "/read/a")).status, 401)
        self.store.remove("servers/desk-1")
        await self.eventually(lambda: not directory.table.by_id, seconds=2.0)

    async def test_instance_with_a_silent_store_uses_data_of_its_peers(self):
        """Guards against a silent connection that keeps a revoked key valid."""
        proxy = Proxy(self.store_address)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        self.configure()
        await self.add_worker("desk-1")
        await self.start_ready()
        second = await self.start_ready(
            instance_id="entry-2", store_address=proxy.address
        )
        await self.eventually(lambda: second.service("gossip").instance_count() > 1)
        directory = second.service("directory")
        proxy.mode = "one_way"
        self.configure(2, tenants=[{"name": "north", "api-keys": []}])
        await self.eventually(lambda: directory.catalog.version == 2, seconds=2.0)
        self.assertEqual((await self.request(second, "/read/a")).status, 401)
        proxy.mode = "pass"
        await self.eventually(lambda: directory.sound)

    async def test_counts_of_a_peer_reach_all_instances(self):
        """Guards against usage that is lost with the instance that counted it."""
        self.configure()
        await self.add_worker("desk-1")
        first = await self.start_ready()
        second = await self.start_ready(instance_id="entry-2")
        await self._check_counts_arrive(second, first)

    async def test_counts_reach_an_instance_that_is_listed_late(self):
        """Guards against counts that are not sent as their window has ended."""
        self.configure()
        await self.add_worker("desk-1")
        first = await self.start_ready()
        with mock.patch.object(members_module, "FIRST_LIST_SECONDS", 2.2):
            second = await self.start_ready(instance_id="entry-2")
            await self._check_counts_arrive(second, first)

    async def _check_counts_arrive(self, sender, receiver):
        """Check that exactly the counts of one request reach another instance."""
        self.assertEqual((await self.request(sender, "/read/a")).status, 200)
        gossip = sender.service("gossip")
        now = gossip.synchronized_now
        await self.eventually(lambda: gossip.usage.own_open_counts(now()))
        ((window, counts),) = gossip.usage.own_open_counts(now()).items()
        self.assertEqual(counts, {"north": 1})
        received = receiver.service("gossip").usage
        await self.eventually(lambda: received.totals(window) == {"north": 1})

    async def test_counts_of_a_killed_instance_reach_a_new_one(self):
        """Guards against a new holder that freezes a window without these counts."""
        self.configure()
        await self.add_worker("desk-1")
        first = await self.start_ready()
        second = await self.start_ready(instance_id="entry-2")
        await self.request(second, "/read/a")
        usage = first.service("gossip").usage
        incarnation = second.service("members").own.incarnation

        def find_ended_counts(app):
            gossip = app.service("gossip")
            return gossip.usage.ended_incarnation_counts(
                set(), gossip.synchronized_now() - 20.0
            )

        await self.eventually(
            lambda: any(row[0] == incarnation for row in find_ended_counts(first))
        )
        await second.service("members").deregister()
        await second.service("gossip").stop()
        successor = await self.start_ready(instance_id="entry-3")
        await self.eventually(
            lambda: any(row[0] == incarnation for row in find_ended_counts(successor)),
            seconds=12.0,
        )
        self.assertIsNot(usage, successor.service("gossip").usage)


class GossipTests(HostedCase):
    """Which messages instances send each other, and how often."""

    async def test_long_prompt_is_announced_at_once(self):
        """Guards against several instances choosing one idle engine between ticks."""
        self.configure()
        prefill_engine = await self.add_worker("p1", "models", phase="prefill")
        await self.add_worker("d1", "models", phase="decode")
        first = await self.start_ready()
        second = await self.start_ready(instance_id="entry-2")
        gossip = second.service("gossip")
        await self.eventually(lambda: len(gossip.live_states()) == 1)
        await self.eventually(lambda: len(first.service("gossip").live_states()) == 1)
        # The tick period is so long that only an announcement can report the prompt.
        with mock.patch.object(gossip_module, "TICK_SECONDS", 60.0):
            await asyncio.sleep(0.5)
            prefill_engine.faults.arm({"fault": "slow", "value": 0.3})
            headers = {
                b"x-model": b"m",
                b"x-token-count": b"14600,88",
                b"x-prompt-prefix": b"a:14600",
            }
            pending = asyncio.ensure_future(
                self.request(first, "/draft/a", method="POST", headers=headers)
            )

            def tokens():
                return gossip.loads.total("p1", second.clock.monotonic()).prefill_tokens

            await self.eventually(lambda: tokens() == 14600, seconds=0.25)
            self.assertEqual((await pending).status, 200)
            await self.eventually(lambda: tokens() == 0, seconds=0.25)

    async def test_counters_go_to_the_holder_and_a_few_others(self):
        """Guards against usage counters that fill slow links, and lost windows."""
        self.configure()
        app = await self.start_ready()
        gossip = app.service("gossip")
        peers = [f"10.0.0.{number}:7000" for number in range(80)]
        members = app.service("members")
        counts = {f"workspace-{number}": 1 for number in range(50)}
        counters = dict.fromkeys(range(4), counts)
        gossip.near, gossip.far = peers[:20], peers[20:]
        usage = gossip.usage
        broadcast = app.service("counters")
        sent = []
        self.enterContext(
            mock.patch.object(type(gossip), "send", lambda _, *args: sent.append(args))
        )
        self.enterContext(
            mock.patch.object(type(usage), "own_open_counts", lambda *_: counters)
        )
        with mock.patch.object(type(members), "holder_address", lambda _: peers[70]):
            reached = set()
            for tick in range(2 * len(peers) // counters_module.MIN_KEEPERS):
                sent.clear()
                usage.count("workspace-1", gossip.synchronized_now())
                broadcast._sent_counts = {}
                broadcast.send(tick)
                receivers = [
                    address
                    for messages, addresses in sent
                    if any(isinstance(item, Counters) for item in messages)
                    for address in addresses
                ]
                if tick % counters_module.counter_period_ticks(81):
                    continue
                self.assertIn(peers[70], receivers)
                self.assertLessEqual(len(receivers), counters_module.MIN_KEEPERS + 1)
                reached.update(receivers)
            self.assertEqual(reached, set(peers))
            # In a small fleet, few counters are sent to every peer in each tick.
            few_counters = {1: {"north": 1, "south": 2}}
            self.assertEqual(
                set(broadcast._keepers(peers[:8], few_counters, 1)), set(peers[:8])
            )

    async def test_requests_that_end_after_the_gossip_announce_nothing(self):
        """Guards against an error in every request that ends after the stop."""
        self.configure()
        first = await self.start_ready()
        second = await self.start_ready(instance_id="entry-2")
        gossip = first.service("gossip")
        await self.eventually(lambda: gossip._announcement_peers)
        await gossip.stop()
        gossip.broadcast_prefill(build_listed_upstream("p1"), -5000)
        await asyncio.sleep(0.05)
        peers = second.service("gossip").loads._sources
        self.assertNotIn("p1", peers.get("entry-1", (0.0, {}))[1])

    def test_rotation_reaches_every_peer(self):
        """Guards against peers that receive nothing, and bursts of datagrams."""
        for near, far in ((0, 1), (2, 5), (20, 61), (100, 200)):
            peers = [
                [f"{kind}-{n}" for n in range(count)]
                for kind, count in (("near", near), ("far", far))
            ]
            bounds = (
                gossip_module.MAX_NEAR_PEERS_PER_TICK,
                gossip_module.far_peers_per_tick(near + far + 1),
            )
            reached = set()
            rounds = [-(-near // bounds[0]), -(-far // bounds[1])]
            for tick in range(max(rounds)):
                for addresses, max_receivers in zip(peers, bounds, strict=True):
                    receivers = gossip_module.select_in_rotation(
                        addresses, tick, max_receivers
                    )
                    self.assertLessEqual(len(receivers), max_receivers)
                    self.assertEqual(len(receivers), len(set(receivers)))
                    reached.update(receivers)
            self.assertEqual(reached, {*peers[0], *peers[1]})


class OutageTests(HostedCase):
    """Outages of the store do not interrupt the service."""

    async def test_requests_are_served_without_the_store(self):
        """Guards against a store outage that stops the whole system."""
        self.configure()
        await self.add_worker("desk-1")
        app = await self.start_ready()
        directory = app.service("directory")
        self.store.faults.arm({"fault": "busy"})
        self.store.remove("servers/desk-1")
        await asyncio.sleep(0.5)
        await self.eventually(lambda: not directory.sound, seconds=8.0)
        self.assertEqual((await self.request(app, "/read/a")).status, 200)

    async def test_removal_applies_at_once_while_another_watch_fails(self):
        """Guards against requests to a removed worker while one connection hangs."""
        watch = PlatformStore.watch

        async def watch_except_duty(store, prefix, seconds):
            if prefix == DUTY_KEY:
                raise KvUnavailable("no answer")
            async for batch in watch(store, prefix, seconds):
                yield batch

        self.configure()
        await self.add_worker("desk-1")
        watch_patch = mock.patch.object(PlatformStore, "watch", watch_except_duty)
        self.enterContext(watch_patch)
        app = await self.start_ready()
        directory = app.service("directory")
        # An instance watches the duty's key once it is selected as a watcher.
        await self.eventually(lambda: directory.watches.chosen)
        await asyncio.sleep(2 * SETTLE_SECONDS)
        self.assertFalse(directory.sound)
        self.store.remove("servers/desk-1")
        await self.eventually(lambda: not directory.table.by_id, seconds=1.0)

    async def test_instance_without_a_configuration_refuses_requests(self):
        """Guards against executing requests without a configuration."""
        app = await self.start_daemon()
        self.assertFalse(app.service("front").ready())
        response = await self.request(app, "/read/a")
        self.assertEqual(response.status, 503)
        self.configure()
        await self.eventually(app.service("front").ready)
