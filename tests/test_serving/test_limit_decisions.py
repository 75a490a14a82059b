"""Tests of the decisions on limits: words, permits and owners."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from camphorgate.serving.permit_owners import choose_owner, granted_share
from camphorgate.serving.permit_schedule import (
    MAX_AHEAD_SECONDS,
    MAX_RETURN_SECONDS,
    PermitSchedule,
    max_wait_seconds,
)
from camphorgate.serving.upstream_limits import (
    ENDED_SECONDS,
    MIN_LIMIT_PER_SECOND,
    UNLISTED_SECONDS,
    LimitTable,
    LimitWord,
)
from tests.limited_workers import WINDOW_SECONDS, allowed

UPSTREAM = ("u1", 1000)
TRUE_NOW = 1_000_000.0


class LimitTableTests(unittest.TestCase):
    """The newest word of an incarnation holds, in whatever order answers arrive."""

    def setUp(self):
        """Start with a limit of 3 that was named at 10 s."""
        self.table = LimitTable()
        self.answer(3.0, 9.9, 10.0)

    def answer(self, per_second, sent_at, now):
        """Record an answer."""
        return self.table.record_answer(
            UPSTREAM, per_second, sent_at, now, TRUE_NOW + now
        )

    def test_late_answer_does_not_end_a_limit(self):
        """Guards against an answer of before the limit that arrives after it."""
        self.assertIsNone(self.answer(None, 9.95, 10.1))
        self.assertEqual(self.table.limit(UPSTREAM), 3.0)
        self.assertIsNotNone(self.answer(None, 10.2, 10.3))
        self.assertIsNone(self.table.limit(UPSTREAM))

    def test_late_answer_does_not_raise_a_limit(self):
        """Guards against an older, higher limit that arrives late."""
        self.assertIsNone(self.answer(9.0, 10.0, 10.1))
        self.assertIsNone(self.answer(9.0, None, 10.2))
        self.assertEqual(self.table.limit(UPSTREAM), 3.0)
        self.answer(9.0, 10.3, 10.4)
        self.assertEqual(self.table.limit(UPSTREAM), 9.0)

    def test_lower_limit_holds_at_once(self):
        """Guards against a lower limit that waits for its order to be known."""
        self.assertIsNotNone(self.answer(1.0, None, 10.05))
        self.assertEqual(self.table.limit(UPSTREAM), 1.0)

    def test_another_incarnation_has_no_limit(self):
        """Guards against a limit that outlives the process that named it."""
        self.assertIsNone(self.table.limit(("u1", 2000)))

    def test_replaced_word_does_not_come_back_from_a_peer(self):
        """Guards against old news that restore an ended limit, whatever the clocks."""
        old = self.table.word(UPSTREAM)
        ended = self.table.record_answer(UPSTREAM, None, 11.0, 11.1, TRUE_NOW - 50.0)
        self.assertGreater(ended.said_at, old.said_at)
        self.assertFalse(self.table.merge(old, 11.2, TRUE_NOW))
        other = LimitTable()
        other.merge(old, 11.2, TRUE_NOW)
        self.assertTrue(other.merge(ended, 11.3, TRUE_NOW))
        self.assertIsNone(other.limit(UPSTREAM))

    def test_answer_sent_before_news_does_not_end_a_limit(self):
        """Guards against an answer that was under way as a peer's news arrived."""
        table = LimitTable()
        table.merge(LimitWord(UPSTREAM, 2.0, TRUE_NOW), 20.0, TRUE_NOW)
        table.record_answer(UPSTREAM, None, 19.9, 20.1, TRUE_NOW)
        self.assertEqual(table.limit(UPSTREAM), 2.0)

    def test_words_of_no_use_are_ignored(self):
        """Guards against a word from far in the future, or that is no number."""
        for per_second, said_at in ((5.0, 1e300), (-1.0, 1.0), (float("nan"), 1.0)):
            word = LimitWord(UPSTREAM, per_second, TRUE_NOW + said_at)
            self.assertFalse(self.table.merge(word, 11.0, TRUE_NOW))

    def test_tiny_limit_allows_a_request_now_and_then(self):
        """Guards against an upstream that is well again and cannot say so."""
        self.answer(1e-9, None, 10.1)
        self.assertEqual(self.table.limit(UPSTREAM), MIN_LIMIT_PER_SECOND)

    def test_entries_expire(self):
        """Guards against a table that grows with every upstream there ever was."""
        self.table.expire([], 10.0 + UNLISTED_SECONDS)
        self.assertEqual(len(self.table), 1)
        self.table.expire([UPSTREAM], 1000.0)
        self.assertEqual(len(self.table), 1)
        self.answer(None, 1000.0, 1001.0)
        self.table.expire([UPSTREAM], 1002.0 + ENDED_SECONDS)
        self.assertEqual(len(self.table), 0)

    @given(
        st.lists(
            st.tuples(st.sampled_from((0.0, 1.0, 5.0)), st.floats(0.0, 9.0)), max_size=6
        ),
        st.randoms(use_true_random=False),
    )
    def test_instances_agree_whatever_the_order(self, words, generator):
        """Guards against news that leave instances with different limits."""
        words = [LimitWord(UPSTREAM, value, TRUE_NOW + at) for value, at in words]
        limits = set()
        for _ in range(3):
            generator.shuffle(words)
            table = LimitTable()
            for word in words:
                table.merge(word, 1.0, TRUE_NOW)
            limits.add(table.limit(UPSTREAM))
        self.assertEqual(len(limits), 1)


class PermitScheduleTests(unittest.TestCase):
    """Permits keep a limit in every window."""

    @given(
        st.floats(MIN_LIMIT_PER_SECOND, 200.0),
        st.lists(st.floats(0.0, 2.0), min_size=1, max_size=200),
    )
    def test_no_window_exceeds_the_limit(self, per_second, pauses):
        """Guards against bursts after a pause."""
        schedule = PermitSchedule(0.0, per_second)
        now, times = 0.0, []
        for pause in pauses:
            now += pause / per_second
            while True:
                wait = schedule.try_grant(now, per_second, MAX_AHEAD_SECONDS)
                if wait is None:
                    break
                times.append(now + wait)
        for begin in times:
            count = sum(begin <= at < begin + WINDOW_SECONDS for at in times)
            self.assertLess(count, allowed(per_second) - 2)

    @given(st.lists(st.floats(0.1, 100.0), min_size=1, max_size=30))
    def test_changing_limits_are_kept(self, limits):
        """Guards against a limit that falls while permits of the former one are due."""
        schedule = PermitSchedule(0.0, limits[0])
        times, now = [], 0.0
        for per_second in limits:
            for _ in range(50):
                now += 0.02
                wait = schedule.try_grant(now, per_second, MAX_AHEAD_SECONDS)
                if wait is not None:
                    times.append(now + wait)
        for begin in times:
            count = sum(begin <= at < begin + WINDOW_SECONDS for at in times)
            self.assertLessEqual(count, allowed(max(limits)) - 2)

    def test_limit_is_used_where_requests_compete(self):
        """Guards against a limit that is kept by not being used."""
        schedule = PermitSchedule(0.0, 2.0)
        granted = sum(
            schedule.try_grant(number * 0.02, 2.0, MAX_AHEAD_SECONDS) is not None
            for number in range(1000)
        )
        self.assertGreaterEqual(granted, 2.0 * 20.0 * 0.95)

    def test_rising_limit_holds_at_once(self):
        """Guards against the long wait of a former, small limit."""
        schedule = PermitSchedule(0.0, 0.1)
        schedule.try_grant(10.0, 0.1, MAX_AHEAD_SECONDS)
        self.assertLessEqual(schedule.wait_seconds(10.0, 5.0), MAX_AHEAD_SECONDS + 0.2)

    def test_refused_callers_return_one_after_the_other(self):
        """Guards against callers that all come back at the same time."""
        schedule = PermitSchedule(0.0, 2.0)
        returns = [schedule.return_seconds(0.0, 2.0) for _ in range(20)]
        self.assertEqual(returns[:4], [0.5, 1.0, 1.5, 2.0])
        self.assertEqual(returns[-1], MAX_RETURN_SECONDS)

    def test_urgent_requests_go_first_and_leave_some(self):
        """Guards against urgent requests that wait behind others, or starve them."""
        urgent = max_wait_seconds(0, 0.5, 1.0)
        self.assertGreater(urgent, max_wait_seconds(2, 0.5, 1.0))
        self.assertEqual(max_wait_seconds(2, 0.1, 1.0), urgent)
        self.assertEqual(max_wait_seconds(0, 0.5, -1.0), 0.0)


class OwnerTests(unittest.TestCase):
    """All instances choose the same owner."""

    def test_owners_are_spread_and_few_change(self):
        """Guards against one instance that grants the permits of all upstreams."""
        names = [f"i{number}" for number in range(20)]
        owners = [choose_owner(f"u{number}", names) for number in range(200)]
        self.assertGreater(len(set(owners)), 15)
        without = [
            choose_owner(f"u{n}", [name for name in names if name != "i3"])
            for n in range(200)
        ]
        changed = {a for a, b in zip(owners, without, strict=True) if a != b}
        self.assertEqual(changed, {"i3"})
        self.assertIsNone(choose_owner("u1", []))

    def test_parted_owners_share_a_limit(self):
        """Guards against two sides of a cut that each grant the whole limit."""
        for listed in range(1, 50):
            for heard in range(1, listed + 1):
                other = listed - heard
                total = granted_share(heard, listed)
                total += granted_share(other, listed) if other else 0.0
                self.assertLess(total, 1.5)
        self.assertEqual(granted_share(1, 1), 1.0)
        self.assertEqual(granted_share(3, 0), 1.0)
