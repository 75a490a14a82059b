"""Tests of the extension over real links: incarnations, leaving, messages."""

import unittest
from datetime import timedelta
from unittest import mock

import aiosonic
import msgspec

from camphorgate.peers.peers_pb2 import UsageAck, UsageBatch
from camphorgated.ext.membership.records import ROSTER_PREFIX, decode_entry
from tests.control_cluster import Cluster
from tests.faulty_network import eventually


class _Fairness:
    """A fake of the fairness service that hands out and merges deltas."""

    def __init__(self):
        self.pending = {}
        self.merged = {}

    def take_deltas(self):
        taken, self.pending = self.pending, {}
        return taken

    def merge(self, instance_id, deltas):
        for workspace, service in deltas.items():
            key = (instance_id, workspace)
            self.merged[key] = self.merged.get(key, 0.0) + service


class MembershipTests(unittest.IsolatedAsyncioTestCase):
    async def _cluster(self, count=2, prepare=None):
        cluster = Cluster(count)
        cluster.prepare = prepare or cluster.prepare
        await cluster.start(self)
        await cluster.wait_until_settled(0)
        return cluster

    def _memberships(self, cluster):
        return [cluster.daemons_by_id[item].membership for item in cluster.ids]

    async def _set_on_platform(self, cluster, path, **entry):
        async with aiosonic.HTTPClient() as client:
            url = f"http://{cluster._platform_address}/control/{path}"
            await client.post(url, data=msgspec.json.encode(entry))

    async def test_the_incarnation_rises_although_the_clock_went_back(self):
        """Guards against mistaking a restart for the previous process (I3, I5)."""
        cluster = await self._cluster()
        for kv_works in (True, False):
            before = cluster.daemons_by_id["i-1"].membership.incarnation
            await cluster.stop_daemon("i-1")
            cluster.clock_lag = timedelta(days=1)
            if not kv_works:
                cluster.disconnect_kv()
            daemon = await cluster.start_daemon("i-1")
            self.assertEqual(daemon.membership.incarnation, before + 1)
            await cluster.wait_until_settled(0)
        self.assertFalse(any(m.outranked for m in self._memberships(cluster)))

    async def test_a_higher_incarnation_in_kv_is_noticed(self):
        """Guards against holding duties under an outdated incarnation."""
        cluster = await self._cluster(1)
        membership = cluster.daemons_by_id["i-0"].membership
        key = ROSTER_PREFIX + "i-0"
        entry = decode_entry((await membership.registration._kv.get(key)).value)
        later = msgspec.structs.replace(entry, incarnation=entry.incarnation + 1)
        await membership.registration._kv.put(key, msgspec.json.encode(later))
        await membership._read_roster()
        self.assertTrue(membership.outranked)
        self.assertEqual(membership.incarnation, entry.incarnation)

    async def test_an_epoch_is_acknowledged_only_by_its_handler(self):
        """Guards against hiding orders in flight from a successor (I5)."""
        cluster = await self._cluster()
        first, second = self._memberships(cluster)
        peer = first.peer("i-1")
        answer = await peer.acknowledge_epoch("usage/0", 4, "i-0")
        self.assertFalse(answer.acknowledged)

        async def handler(duty, epoch):
            return [f"{duty}@{epoch}"]

        second.handle_epochs(handler)
        answer = await peer.acknowledge_epoch("usage/0", 4, "i-0")
        self.assertTrue(answer.acknowledged)
        self.assertEqual(list(answer.orders_in_flight), ["usage/0@4"])
        self.assertEqual(answer.incarnation, second.incarnation)

    async def test_usage_and_its_acknowledgement_reach_the_peer(self):
        """Guards against acknowledging usage without a copy."""
        cluster = await self._cluster()
        first, second = self._memberships(cluster)
        acks = []
        first.handle_usage(lambda *_: None, lambda peer, ack: acks.append((peer, ack)))
        second.handle_usage(
            lambda peer, batch: second.send_usage(
                peer, UsageAck(sequence=batch.sequence)
            ),
            lambda *_: None,
        )
        self.assertFalse(first.send_usage("i-9", UsageBatch(sequence=7)))

        # If two instances connect to each other at the same time, one link is closed
        # and its queue is lost. The usage extension sends its totals again.
        def send_until_acknowledged():
            return acks or (first.send_usage("i-1", UsageBatch(sequence=7)) and acks)

        await eventually(send_until_acknowledged)
        self.assertEqual((acks[0][0], acks[0][1].sequence), ("i-1", 7))

    async def test_service_is_merged_exactly_once(self):
        """Guards against charging workspaces twice or not at all."""
        ledgers = []

        def prepare(app):
            ledgers.append(_Fairness())
            app.provide("fairness", ledgers[-1])

        cluster = await self._cluster(3, prepare)
        ledgers[0].pending = {f"w-{number}": 1.0 + number for number in range(100)}
        expected = sum(ledgers[0].pending.values())
        for ledger in ledgers[1:]:
            await eventually(lambda ledger=ledger: len(ledger.merged) == 100)
            self.assertEqual(sum(ledger.merged.values()), expected)
        self.assertEqual(ledgers[0].merged, {})
        self.assertEqual(len(cluster.daemons_by_id), 3)

    async def test_leaving_and_gone_instances_are_seen_by_all(self):
        """Guards against counting on instances that are leaving or gone."""
        cluster = await self._cluster(3)
        leaver = cluster.daemons_by_id["i-2"].membership
        leaver.announce_leaving()
        others = self._memberships(cluster)[:2]
        for other in others:
            await eventually(lambda other=other: other.members()[2].leaving)
        entries = {"i-0": "live", "i-1": "live", "i-2": "gone"}
        for item, state in entries.items():
            await self._set_on_platform(
                cluster, "instances", id=item, zone="zone-a", state=state
            )
        with mock.patch("camphorgate.membership.roster.MIN_GONE_SILENCE_SECONDS", 0.5):
            await cluster.stop_daemon("i-2")
            for other in others:
                await eventually(lambda other=other: len(other.members()) == 2)

    async def test_the_list_of_upstreams_follows_the_platform(self):
        """Guards against an upstream list kept after a change by its entity tag."""
        cluster = await self._cluster()
        first = self._memberships(cluster)[0]
        entry = {"id": "e-1", "address": "127.0.0.1:9", "pool": "models"}
        entry |= {"zone": "zone-a", "kind": "ordinary"}
        with mock.patch(
            "camphorgated.ext.membership.platform.POLL_PERIOD_SECONDS", 0.1
        ):
            await self._set_on_platform(cluster, "upstreams", **entry, state="live")
            await eventually(lambda: first.platform_upstreams())
            cluster.platform.faults.arm({"fault": "list_lag", "value": 0})
            await self._set_on_platform(cluster, "upstreams", **entry, state="leaving")
            await eventually(lambda: first.platform_upstreams()[0].state == "leaving")
