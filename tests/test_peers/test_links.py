"""Tests of streams between peers over the loopback interface."""

import asyncio
import unittest

import grpc

from camphorgate.clock import SystemClock
from camphorgate.peers.links import PeerLinks
from camphorgate.peers.peers_pb2 import (
    Beat,
    EpochAcknowledgement,
    EpochNotice,
    Hello,
    Packet,
    SnapshotAnswer,
    UsageBatch,
)
from camphorgate.peers.peers_pb2_grpc import PeersStub
from camphorgate.peers.service import bind_server
from tests.faulty_network import Forwarder, eventually


class _Peer:
    """An instance that only maintains links and records what it receives."""

    def __init__(self, instance_id, resolve=None):
        self.instance_id = instance_id
        self.clock = SystemClock()
        self.links = PeerLinks(self, self.clock, seed=1, resolve=resolve)
        self.beats = []
        self.batches = []

    async def start(self):
        self.server, self.address = bind_server(self, "127.0.0.1:0", self.clock)
        await self.server.start()

    async def stop(self):
        await self.links.close()
        await self.server.stop(0)

    def hello(self):
        return Hello(instance=self.instance_id, incarnation=1)

    def make_beat(self, link):
        return Beat(version=7)

    def link_opened(self, link):
        self.links.register(link)

    def link_closed(self, link):
        self.links.unregister(link)

    def receive_beat(self, link, beat, made_at):
        self.beats.append((link, beat, made_at, self.clock.monotonic()))

    def receive_usage_batch(self, link, batch):
        self.batches.append(batch)

    def receive_usage_ack(self, link, ack):
        pass

    def part(self, digest):
        return b"x" * 1_000_000 if digest != b"missing" else None

    def snapshot(self, above_version):
        return SnapshotAnswer(version=above_version + 1)

    async def acknowledge_epoch(self, notice):
        return EpochAcknowledgement(
            instance=self.instance_id,
            incarnation=1,
            acknowledged=True,
            orders_in_flight=[f"{notice.duty}-{notice.epoch}"],
        )


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.first = _Peer("a", resolve=lambda address: self.forwarder.address)
        self.second = _Peer("b")
        for peer in (self.first, self.second):
            await peer.start()
            self.addAsyncCleanup(peer.stop)
        self.forwarder = await Forwarder(self.second.address).start()
        self.addAsyncCleanup(self.forwarder.stop)

    async def _connect(self):
        self.first.links.set_dialled_addresses([self.second.address])
        await eventually(lambda: "b" in self.first.links.links_by_id)
        await eventually(lambda: "a" in self.second.links.links_by_id)

    async def test_usage_batches_arrive_in_order(self):
        """Guards against usage batches lost or reordered on an open stream."""
        await self._connect()
        for number in range(1, 51):
            packet = Packet(usage_batch=UsageBatch(sequence=number, payload=b"x"))
            self.assertTrue(self.first.links.links_by_id["b"].send(packet))
        await eventually(lambda: len(self.second.batches) == 50)
        self.assertEqual([b.sequence for b in self.second.batches], [*range(1, 51)])

    async def test_silent_stream_is_replaced_by_a_new_connection(self):
        """Guards against waiting forever on a dead connection."""
        await self._connect()
        before = self.first.links.links_by_id["b"]
        self.forwarder.silent = True
        await asyncio.sleep(0.3)
        before.last_received_at -= 60
        for link in self.second.links.links_by_id.values():
            link.last_received_at -= 60
        self.forwarder.silent = False
        self.first.links.close_silent(0.1)
        self.second.links.close_silent(0.1)
        await eventually(
            lambda: self.first.links.links_by_id.get("b") not in (None, before)
        )
        await eventually(lambda: "a" in self.second.links.links_by_id)
        self.assertGreaterEqual(self.first.links.connections, 2)

    async def test_full_queue_rejects_packets(self):
        """Guards against unbounded memory use for a peer that stops reading."""
        await self._connect()
        link = self.first.links.links_by_id["b"]
        packet = Packet(usage_batch=UsageBatch(sequence=1, payload=b"x"))
        sent = [link.send(packet) for _ in range(1000)]
        self.assertIn(False, sent)

    async def test_age_of_a_heartbeat_includes_buffering(self):
        """Guards against old evidence that looks new after a stalled connection."""
        await self._connect()
        self.first.links.broadcast_beat()
        await eventually(lambda: len(self.second.beats) >= 2)
        self.second.links.broadcast_beat()
        await eventually(lambda: self.first.beats[-1][1].echo >= 2)
        link, beat, made_at, received_at = self.first.beats[-1]
        self.assertLessEqual(made_at, received_at)
        # The same heartbeat must not look newer if it is delivered late.
        link._receive_beat(beat, self.first)
        self.assertEqual(self.first.beats[-1][2], made_at)

    async def test_simultaneous_dialling_keeps_one_link(self):
        """Guards against duplicate heartbeats when both sides dial simultaneously."""
        self.second.links.resolve = lambda address: self.first.address
        self.second.links.set_dialled_addresses(["to-first"])
        await self._connect()

        def one_is_kept():
            # A side may briefly have no link between dropping its own and accepting the
            # link of the other side.
            first = self.first.links.links_by_id.get("b")
            second = self.second.links.links_by_id.get("a")
            return first and second and first.dialled and not second.dialled

        await eventually(one_is_kept)

    async def test_unary_calls(self):
        """Guards against responses that exceed the message size limit or get lost."""
        address = self.second.address
        digests = [b"1", b"2", b"3", b"4", b"missing"]
        parts = await self.first.links.fetch_parts(address, digests)
        self.assertEqual(set(parts), {b"1", b"2", b"3"})
        notice = EpochNotice(duty="usage/0", epoch=4, sender="a")
        answer = await self.first.links.acknowledge_epoch(address, notice)
        self.assertEqual(list(answer.orders_in_flight), ["usage/0-4"])
        self.assertEqual((await self.first.links.snapshot(address, 8)).version, 9)

    async def test_stream_without_a_hello_is_rejected(self):
        """Guards against links to processes that do not speak the peer protocol."""
        async with grpc.aio.insecure_channel(self.second.address) as channel:
            call = PeersStub(channel).Exchange()
            await call.write(Packet(beat=Beat()))
            with self.assertRaises(grpc.aio.AioRpcError):
                await call.read()
                await call
        self.assertEqual(self.second.links.links_by_id, {})
