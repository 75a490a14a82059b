"""Tests of the book of lent slots: loans, queue, reports and groups."""

import math
import unittest

from camphorgate.serving.room.book import (
    REPORT_SECONDS,
    TAKEOVER_SECONDS,
    UNNAMED_SECONDS,
    Ask,
    Outcome,
    RoomBook,
)
from camphorgate.serving.room.groups import MAX_GROUP_SLOTS, group_upstreams
from tests.hosting_builders import build_listed_upstream


def build_ask(number=1, **changes) -> Ask:
    """Return a request for a slot."""
    fields = {
        "borrower": "10.0.0.1:1",
        "number": number,
        "zone": "zone-a",
        "rank": 1,
        "workspace": "w0",
        "kind": "read",
        "target_seconds": 0.4,
        "seconds_left": 2.0,
        **changes,
    }
    return Ask(**fields)


class RoomBookTests(unittest.TestCase):
    """Two upstreams of two slots."""

    def setUp(self):
        """Start with all slots free."""
        self.book = RoomBook()
        self.upstreams = [
            build_listed_upstream(f"u{n}", service="desk", slots=2) for n in range(2)
        ]
        self.book.set_upstreams(self.upstreams)

    def lend(self, numbers, now=0.0, **changes):
        """Return the upstreams lent to asks, ``None`` for those that wait."""
        found = []
        for number in numbers:
            ask = build_ask(number, **changes)
            answers = {item.key: item for item in self.book.request(ask, now)}
            answer = answers.get(ask.key)
            found.append(answer and answer.upstream and answer.upstream.id)
        return found

    def test_failing_upstream_is_lent_last(self):
        """Guards against an upstream that answers errors fast and gets all requests."""
        self.book = RoomBook(
            failure_ms=lambda upstream, now: 400.0 * (upstream.id == "u0")
        )
        self.book.set_upstreams(self.upstreams)
        self.assertEqual(self.lend(range(3)), ["u1", "u1", "u0"])

    def test_nothing_is_refused_during_a_takeover(self):
        """Guards against refusals while slots are free that are lent a moment later."""
        self.book.begin(0.0)
        answers = []
        for number in range(4):
            ask = build_ask(number, seconds_left=0.12)
            answers += self.book.request(ask, 0.0)
        self.assertTrue(all(item.upstream for item in answers))

    def test_no_slot_is_lent_twice(self):
        """Guards against more requests at an upstream than it has slots."""
        self.assertEqual(sorted(self.lend(range(4))), ["u0", "u0", "u1", "u1"])
        self.assertEqual(self.lend([5]), [None])
        self.assertEqual(self.book.waiting, 1)

    def test_repeated_ask_gets_the_same_slot(self):
        """Guards against a second slot for a request whose reply is lost."""
        self.assertEqual(len(set(self.lend([1, 1, 1]))), 1)
        self.assertEqual(self.book.loans, 1)
        self.lend([2, 3, 4, 5, 5])
        self.assertEqual(self.book.waiting, 1)

    def test_returned_slot_goes_to_the_first(self):
        """Guards against slots that stay free while a request waits."""
        self.lend(range(4))
        self.lend([5], rank=2)
        self.lend([6], rank=0)
        self.book.end(("10.0.0.1:1", 0), 0.05, Outcome.DONE, 0.05)
        answers = self.book.settle(0.05)
        self.assertEqual([answer.key[1] for answer in answers], [6])

    def test_urgent_request_displaces_one_that_waits(self):
        """Guards against urgent requests refused behind less urgent ones."""
        self.lend(range(4))
        self.lend(range(10, 40), rank=2)
        self.assertEqual(self.lend([50], 0.001, rank=0), [None])
        self.assertIn(("10.0.0.1:1", 50), self.book.waiting_keys())

    def test_request_without_time_is_refused_at_once(self):
        """Guards against queues that are longer than targets allow."""
        self.lend(range(4))
        answers = []
        for number in range(10, 60):
            now = number / 1000
            answers += self.book.request(build_ask(number), now)
        answers += self.book.settle(0.09)
        refused = [item for item in answers if item.upstream is None]
        self.assertGreater(len(refused), 30)
        self.assertLess(self.book.waiting, 15)
        times = [item.retry_after for item in refused]
        self.assertEqual(len(set(times)), len(times))

    def test_loans_of_a_dead_borrower_expire(self):
        """Guards against slots that are lost with an instance."""
        self.lend(range(4))
        self.book.name_loans("10.0.0.1:1", {0: "u0"}, 0, UNNAMED_SECONDS)
        self.assertEqual(self.book.expire(UNNAMED_SECONDS + 0.1), 3)
        self.assertEqual(self.book.loans, 1)

    def test_named_loans_are_taken_over(self):
        """Guards against a new owner that lends slots in use, or keeps free ones."""
        self.book.name_loans("10.0.0.2:1", {7: "u0", 8: "u0", 9: ""}, 10, 0.0)
        self.assertEqual(self.lend([1, 2, 3]), ["u1", "u1", None])
        self.book.name_loans("10.0.0.2:1", {8: "u0"}, 10, 0.1)
        self.assertEqual(self.book.loans_by_id(), {"u0": 1, "u1": 2})
        self.book.name_loans("10.0.0.1:1", {}, 1, 0.1)
        self.assertEqual(self.book.loans_by_id(), {"u0": 1, "u1": 2})

    def test_new_owner_lends_slowly(self):
        """Guards against lending at once what the former owner had lent."""
        self.book.begin(0.0)
        self.assertEqual(self.lend(range(3)).count(None), 1)
        answers = self.book.settle(TAKEOVER_SECONDS)
        self.assertEqual(len(answers), 1)

    def test_reported_load_counts_for_a_while(self):
        """Guards against slots lent that requests without a loan use."""
        self.book.record_reported_load("u0", 2, 0, 2, 0.0)
        self.assertEqual(self.lend([1, 2, 3]), ["u1", "u1", None])
        answers = self.book.settle(REPORT_SECONDS + 0.01)
        self.assertEqual([answer.upstream.id for answer in answers], ["u0"])

    def test_odd_reports_make_no_slots(self):
        """Guards against lending slots that an upstream does not have."""
        self.book.record_reported_load("u0", -5, -5, 10**9, 0.0)
        self.book.record_reported_load("u1", 0, 0, 1, 0.0)
        self.assertEqual(self.lend(range(4)).count(None), 1)

    def test_reports_of_known_loans_do_not_count_twice(self):
        """Guards against slots that stay free as their load is reported late."""
        self.assertEqual(self.lend([1], zone="zone-a")[0], "u0")
        self.book.end(("10.0.0.1:1", 1), 0.1)
        self.book.record_reported_load("u0", 1, 0, 2, 0.1)
        self.assertEqual(len([u for u in self.lend(range(2, 6), 0.1) if u]), 4)

    def test_refusing_and_failing_upstreams_are_left(self):
        """Guards against sending on to an upstream that is full or failing."""
        self.lend([1])
        self.book.end(("10.0.0.1:1", 1), 0.0, Outcome.REFUSED)
        self.assertEqual(self.lend([2, 3]), ["u1", "u1"])
        self.book.end(("10.0.0.1:1", 2), 0.1, Outcome.FAILED)
        self.assertEqual(self.lend([4, 5], 0.1), ["u0", "u0"])
        self.assertEqual(self.lend([6], 0.1), ["u1"])

    def test_excluded_upstreams_and_odd_values(self):
        """Guards against loans that cannot be used, and figures that are none."""
        self.assertEqual(self.lend([1, 2], excluded=("u0",)), ["u1", "u1"])
        self.assertEqual(self.lend([3], excluded=("u0",)), [None])
        self.assertEqual(self.lend([4]), ["u0"])
        for seconds in (math.nan, math.inf, -1.0):
            self.book.end(("10.0.0.1:1", 1), 0.0, Outcome.DONE, seconds)
        self.book.name_loans("10.0.0.9:1", {1: "unknown"}, 2, 0.0)
        self.book.set_upstreams(self.upstreams[:1])
        self.assertEqual(self.book.loans_by_id(), {"u0": 1})


class GroupTests(unittest.TestCase):
    """Division of a service's upstreams among owners."""

    def test_small_service_has_one_owner(self):
        """Guards against free slots that only some requests can use."""
        upstreams = [
            build_listed_upstream(f"u{n}", zone=f"z{n % 3}", slots=6) for n in range(5)
        ]
        (group,) = group_upstreams("desk", upstreams).values()
        self.assertEqual(len(group.upstreams), 5)
        self.assertEqual(group_upstreams("desk", []), {})

    def test_large_service_is_divided(self):
        """Guards against an owner that handles the requests of all instances."""
        upstreams = [
            build_listed_upstream(f"u{n}", zone=f"z{n % 3}", slots=6)
            for n in range(300)
        ]
        groups = group_upstreams("desk", upstreams)
        members = [item for group in groups.values() for item in group.upstreams]
        self.assertEqual(len(members), 300)
        slots = [sum(u.slots for u in group.upstreams) for group in groups.values()]
        self.assertLess(max(slots), 3 * MAX_GROUP_SLOTS)
        for group in groups.values():
            self.assertEqual({item.zone for item in group.upstreams}, {group.zone})
