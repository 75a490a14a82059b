"""Tests of the links between instances: degree, connectivity and traffic."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.membership.evidence import EvidenceTable, PeerEvidence
from camphorgate.membership.roster import Member, Roster, hash_name
from camphorgate.membership.topology import MAX_LINKS, is_watcher, neighbours
from camphorgate.peers.peers_pb2 import Beat, Packet

# Overhead of a message: HTTP/2 frame header, gRPC prefix, TCP and IP headers.
WIRE_BYTES = 9 + 5 + 52
BEATS_PER_SECOND = 2.0
TARGET_BYTES_PER_SECOND = 3000
LARGE = [45] * 2 + [44] * 15


def _zones(sizes):
    return {
        f"zone-{zone:02}": [f"i-{zone:02}-{number:03}" for number in range(size)]
        for zone, size in enumerate(sizes)
    }


def _edges(zones):
    ids = [item for members in zones.values() for item in members]
    return {item: neighbours(item, zones) for item in ids}


def _reached(edges, without=frozenset()):
    start = next(item for item in edges if item not in without)
    reached, open_ids = {start}, [start]
    while open_ids:
        for item in edges[open_ids.pop()] - without - reached:
            reached.add(item)
            open_ids.append(item)
    return reached


def _diameter(edges, sources):
    longest = 0
    for source in sources:
        distance, level, depth = {source}, {source}, 0
        while level := {n for item in level for n in edges[item]} - distance:
            distance |= level
            depth += 1
        longest = max(longest, depth)
    return longest


class TopologyTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.integers(1, 30), min_size=1, max_size=20))
    def test_links_are_mutual_few_and_connect_everyone(self, sizes):
        """Guards against unreachable instances and instances with too many links."""
        zones = _zones(sizes)
        edges = _edges(zones)
        for item, others in edges.items():
            self.assertLessEqual(len(others), MAX_LINKS, (item, sizes))
            self.assertNotIn(item, others)
            for other in others:
                self.assertIn(item, edges[other])
        self.assertEqual(_reached(edges), set(edges))

    def test_a_small_system_is_fully_meshed(self):
        """Guards against relaying where direct links are possible."""
        edges = _edges(_zones([2, 2, 2, 2]))
        self.assertEqual({len(others) for others in edges.values()}, {7})

    def test_the_target_size_stays_connected_under_failures(self):
        """Guards against a disconnected system when a zone and 75 instances fail."""
        zones = _zones(LARGE)
        edges = _edges(zones)
        self.assertEqual(len(edges), 750)
        self.assertLessEqual(max(map(len, edges.values())), MAX_LINKS)
        generator = random.Random(1)
        for trial in range(30):
            lost = set(generator.sample(sorted(edges), 75))
            lost |= set(zones[f"zone-{trial % 17:02}"])
            self.assertEqual(_reached(edges, lost), set(edges) - lost)

    def test_changes_reach_every_instance_in_few_hops(self):
        """Guards against a topology that propagates changes too slowly."""
        edges = _edges(_zones(LARGE))
        self.assertLessEqual(_diameter(edges, sorted(edges)[::50]), 10)

    def test_two_live_instances_of_a_zone_watch_kv(self):
        """Guards against zones without a KV watcher, and against too many watchers."""
        zones = _zones(LARGE)
        for ids in zones.values():
            chosen = [item for item in ids if is_watcher(item, ids, 750)]
            self.assertEqual(len(chosen), 2)
            rest = [item for item in ids if item not in chosen]
            again = [item for item in rest if is_watcher(item, rest, 750)]
            self.assertEqual(len(again), 2)
        self.assertTrue(is_watcher("i-1", ["i-0", "i-1", "i-2", "i-3"], 8))


class TrafficTests(unittest.TestCase):
    def _bytes_per_second(self, resting):
        """Return the traffic of one instance's heartbeats, averaged over 10 s.

        Evidence of all other instances keeps arriving from the peers.
        """
        zones = _zones(LARGE)
        own_id = max(
            (item for ids in zones.values() for item in ids),
            key=lambda item: len(neighbours(item, zones)),
        )
        own_zone = next(zone for zone, ids in zones.items() if own_id in ids)
        roster = Roster(Member(own_id, 1, own_zone, confirmed=True), 0.0)
        for zone, ids in zones.items():
            for item in ids:
                roster.merge(Member(item, 1, zone), 0.0)
        book = EvidenceTable(roster)
        memories = {item: PeerEvidence() for item in neighbours(own_id, zones)}
        generator = random.Random(2)
        total = 0
        for beat in range(20):
            now = 100.0 + beat / BEATS_PER_SECOND
            self._hear(roster, book, zones, memories, now, generator)
            for item, memory in memories.items():
                due = book.is_repeat_due(memory, now, resting)
                peer = roster.member(item)
                message = Beat(
                    sequence=100000 + beat,
                    echo=100000 + beat,
                    echo_held_ms=400,
                    roster_digest=roster.digest(),
                    roster_known=True,
                    highest_version=40000,
                    version=40000,
                    confirmed=True,
                    kv_version=40000,
                    kv_age_ms=900,
                    members=book.pack_members(peer, memory, now, 40000, due),
                    zones=book.pack_zones(memory, now, 40000, due),
                )
                if due:
                    memory.sent_at = now
                total += len(Packet(beat=message).SerializeToString()) + WIRE_BYTES
        return total / 10.0

    def _hear(self, roster, book, zones, memories, now, generator):
        """Record evidence of all others, half of which each peer has sent already."""
        for member in roster.listed_by_zone()[roster.own.availability_zone]:
            at = now - generator.uniform(0.0, 1.5)
            roster.record_evidence(member, at, 40000, True, now)
            for memory in memories.values():
                if generator.random() < 0.5:
                    number = hash_name(member.instance_id)
                    memory.heard_at_by_hash[number] = at
                    memory.version_by_hash[number] = 40000
        for zone, ids in zones.items():
            entry = (hash_name(zone), 10, len(ids), len(ids) - 10, len(ids))
            packed = b"".join([entry[0].to_bytes(4, "little"), bytes(entry[1:])])
            for memory in memories.values():
                if generator.random() < 0.5:
                    book.receive_zones(packed, memory, now, 40000)

    def test_beats_stay_within_the_budget_at_the_target_size(self):
        """Guards against heartbeats of more than 3 KB/s per instance."""
        resting = self._bytes_per_second(resting=True)
        outage = self._bytes_per_second(resting=False)
        self.assertLess(resting, TARGET_BYTES_PER_SECOND)
        # Without KV, every heartbeat carries all evidence.
        self.assertLess(outage, 2 * TARGET_BYTES_PER_SECOND)
