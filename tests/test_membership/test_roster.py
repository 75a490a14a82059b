"""Tests of the roster and of evidence."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.membership.evidence import (
    MAX_DETAILED_MEMBERS,
    EvidenceTable,
    PeerEvidence,
)
from camphorgate.membership.roster import (
    MIN_GONE_SILENCE_SECONDS,
    Member,
    MemberState,
    Roster,
)

RECORDS = st.builds(
    Member,
    instance_id=st.sampled_from(["a", "b", "c"]),
    incarnation=st.integers(1, 3),
    availability_zone=st.just("zone-a"),
    state=st.sampled_from(MemberState),
    state_sequence=st.integers(0, 2),
)


def _roster(*others, own="own"):
    roster = Roster(Member(own, 1, "zone-a", confirmed=True), 0.0)
    for item in others:
        roster.merge(Member(item, 1, "zone-a"), 0.0)
    return roster


class RosterTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
    def test_records_agree_in_any_order_and_number(self, records, generator):
        """Guards against rosters that stay different after lost or repeated records."""
        first, second = _roster(), _roster()
        shuffled = records + records[: len(records) // 2]
        generator.shuffle(shuffled)
        for record in records:
            first.merge(record, 1.0)
        for record in shuffled:
            second.merge(record, 1.0)
        self.assertEqual(first.digest(), second.digest())

    def test_a_restart_differs_from_a_pause(self):
        """Guards against attributing a dead process's orders to the new one."""
        roster = _roster("a")
        member = roster.member("a")
        roster.record_evidence(member, 5.0, 7, True, 5.0)
        self.assertFalse(roster.merge(Member("a", 1, "zone-a"), 60.0))
        self.assertEqual(member.incarnation, 1)
        self.assertTrue(roster.merge(Member("a", 2, "zone-a"), 61.0))
        self.assertEqual(member.incarnation, 2)
        self.assertFalse(roster.merge(Member("a", 1, "zone-a"), 62.0))
        self.assertEqual(member.incarnation, 2)

    def test_a_lagging_platform_list_does_not_remove_a_live_instance(self):
        """Guards against too small a majority because the list lags."""
        roster = _roster("a", "b")
        listed = {"a": ("zone-a", "gone"), "b": ("zone-a", "live")}
        listed["own"] = ("zone-a", "gone")
        now = MIN_GONE_SILENCE_SECONDS + 5.0
        roster.record_evidence(roster.member("a"), now - 1.0, 1, True, now)
        roster.apply_platform_list(listed, now)
        self.assertEqual(len(roster.listed()), 3)
        later = now + MIN_GONE_SILENCE_SECONDS
        roster.apply_platform_list({}, later)
        self.assertEqual(len(roster.listed()), 3)
        roster.apply_platform_list(listed, later)
        self.assertEqual([m.instance_id for m in roster.listed()], ["b", "own"])

    def test_an_instance_reported_as_gone_reasserts_its_record(self):
        """Guards against a live instance that all others ignore forever."""
        roster = _roster("a")
        gone = Member("own", 1, "zone-a", state=MemberState.GONE, state_sequence=4)
        roster.merge(gone, 1.0)
        other = _roster("own", own="a")
        other.merge(gone, 1.0)
        other.merge(roster.own, 2.0)
        self.assertEqual(other.member("own").state, MemberState.PRESENT)

    def test_leaving_is_known_from_any_relay(self):
        """Guards against not noticing that an instance is leaving."""
        roster = _roster("a")
        roster.set_state(roster.own, MemberState.LEAVING, 1.0)
        changed = roster.changed_since(0)
        self.assertEqual(changed[-1].state, MemberState.LEAVING)

    def test_a_higher_own_incarnation_is_detected_but_not_adopted(self):
        """Guards against mistaking a paused process for its own restart."""
        roster = _roster()
        record = Member("own", 9, "zone-a")
        self.assertTrue(roster.is_superseded_by(record))
        self.assertFalse(roster.merge(record, 1.0))
        self.assertEqual(roster.own.incarnation, 1)


class EvidenceTests(unittest.TestCase):
    def test_evidence_ages_along_relays(self):
        """Guards against evidence that appears newer after each hop."""
        books = [EvidenceTable(_roster("a", "x", "y", own=own)) for own in "xyz"]
        books[0].roster.record_evidence(
            books[0].roster.member("a"), 10.0, 5, True, 10.0
        )
        now = 10.0
        for sender, receiver in zip(books, books[1:], strict=False):
            now += 0.55
            packed = sender.pack_members(None, PeerEvidence(), now, 5, True)
            receiver.receive_members(packed, PeerEvidence(), now, 5, now)
        found = books[2].roster.member("a")
        self.assertLessEqual(found.heard_at, 10.0)
        self.assertGreater(found.heard_at, 9.7)
        self.assertEqual((found.version, found.confirmed), (5, True))

    def test_evidence_is_not_sent_back_to_its_sender(self):
        """Guards against heartbeats that send evidence back to its source."""
        sender, receiver = (EvidenceTable(_roster("a", own=own)) for own in "xy")
        sender.roster.record_evidence(sender.roster.member("a"), 10.0, 5, True, 10.0)
        memory = PeerEvidence()
        packed = sender.pack_members(None, PeerEvidence(), 10.2, 5, True)
        receiver.receive_members(packed, memory, 10.2, 5, 10.2)
        self.assertEqual(receiver.pack_members(None, memory, 10.3, 5, True), b"")

    def test_an_unconfirmed_instance_is_no_evidence(self):
        """Guards against counting a restarted instance, which may miss a version."""
        book = EvidenceTable(_roster("a", "b"))
        for item, confirmed in (("a", True), ("b", False)):
            book.roster.record_evidence(
                book.roster.member(item), 10.0, 5, confirmed, 10.0
            )
        self.assertEqual(book.count_confirmed(11.0, 3.0), 2)
        self.assertEqual(book.count_confirmed(13.5, 3.0), 1)

    def test_far_zones_count_by_their_summary(self):
        """Guards against missing or false majorities in a large system."""
        near = [f"n-{number}" for number in range(10)]
        far = [f"f-{number}" for number in range(MAX_DETAILED_MEMBERS)]
        here, there = (
            EvidenceTable(_roster(*near)),
            EvidenceTable(_roster(*near, own="f-0")),
        )
        there.roster.own.availability_zone = "zone-f"
        there.roster.own.version = 5
        for book in (here, there):
            for item in far:
                book.roster.merge(Member(item, 1, "zone-f"), 0.0)
        for item in far[1:40]:
            there.roster.record_evidence(there.roster.member(item), 9.5, 5, True, 10.0)
        packed = there.pack_zones(PeerEvidence(), 10.0, 5, True)
        here.receive_zones(packed, PeerEvidence(), 10.0, 5)
        self.assertEqual(here.count_confirmed(10.5, 3.0), 40 + 1)
        self.assertEqual(here.count_current(5), 40)
        self.assertIn("zone-f:24", here.instances_behind(5))
        self.assertEqual(here.count_confirmed(14.0, 3.0), 1)
