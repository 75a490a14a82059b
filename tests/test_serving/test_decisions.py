"""Tests of tries, budgets, health, usage and true time."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from camphorgate.serving.budget import ShareOfBudget
from camphorgate.serving.catalog import Stage
from camphorgate.serving.health import Health
from camphorgate.serving.reading_queue import ReadingQueue, Ticket
from camphorgate.serving.tries import Tries
from camphorgate.serving.true_time import TrueTime
from camphorgate.serving.usage import UsageCounts

STAGES = st.sampled_from([Stage.NOT_SENT, Stage.REFUSED, Stage.SENT])


class TriesTests(unittest.TestCase):
    """What may not be repeated runs at most once, and "not run" is true."""

    @given(st.lists(STAGES, max_size=12), st.booleans(), st.integers(1, 4))
    def test_runs_stay_within_what_the_route_allows(self, stages, repeatable, most):
        """Guards against a second run and a false "not run"."""
        tries = Tries(repeatable, most)
        possible_runs = 0
        for stage in stages:
            if not tries.may_send():
                break
            if stage is not Stage.NOT_SENT:
                tries.sending()
            tries.failed(stage)
            possible_runs += stage is Stage.SENT
        self.assertLessEqual(possible_runs, most if repeatable else 1)
        self.assertEqual(tries.may_have_run, possible_runs > 0)

    def test_second_send_needs_its_place_in_the_budget(self):
        """Guards against repeats that no budget counts."""
        tries = Tries(True, 3)
        self.assertTrue(tries.granted)
        tries.sending()
        self.assertFalse(tries.granted)

    def test_sending_what_must_not_be_sent_is_an_error(self):
        """Guards against a caller of this class that forgets to ask."""
        tries = Tries(False, 3)
        tries.sending()
        tries.failed(Stage.SENT)
        with self.assertRaises(ValueError):
            tries.sending()


class BudgetTests(unittest.TestCase):
    """The sum over all instances keeps the bound of the whole fleet."""

    @given(
        st.integers(1, 40),
        st.lists(st.tuples(st.floats(0, 30), st.booleans()), max_size=300),
    )
    def test_sum_over_instances_keeps_the_bound(self, instances, events):
        """Guards against instances that each use the whole slack."""
        ratio, slack, window = 0.2, 54.0, 10.0
        budgets = [ShareOfBudget(ratio, slack, window) for _ in range(instances)]
        repeats, requests = [], []
        for number, (at, is_request) in enumerate(sorted(events)):
            budget = budgets[number % instances]
            if is_request:
                budget.note_request(at)
                requests.append(at)
            elif budget.take(at, instances):
                repeats.append(at)
        for end in repeats:
            in_window = sum(1 for at in repeats if end - window < at <= end)
            asked = sum(1 for at in requests if end - window < at <= end)
            self.assertLessEqual(in_window, ratio * asked + slack)


class HealthTests(unittest.TestCase):
    """Upstreams that fail are avoided for a time that grows and ends."""

    def test_failures_in_a_row_avoid_longer(self):
        """Guards against hammering a dead upstream."""
        health = Health()
        health.failed(0.0)
        first = health.avoid_until
        health.failed(first)
        self.assertGreater(health.avoid_until - first, first)

    def test_success_ends_the_avoidance(self):
        """Guards against an upstream that is never used again."""
        health = Health()
        health.failed(0.0)
        health.succeeded(0.0)
        self.assertFalse(health.avoided(0.01))

    def test_refusals_avoid_for_less_than_failures(self):
        """Guards against a full upstream that stays unused after it has room."""
        refusing, failing = Health(), Health()
        for _ in range(6):
            refusing.refused(0.0)
            failing.failed(0.0)
        self.assertTrue(refusing.avoided(0.01))
        self.assertLess(refusing.avoid_until, failing.avoid_until)


class UsageTests(unittest.TestCase):
    """Counts merge to the same sums in any order and any number of times."""

    def test_merge_is_idempotent(self):
        """Guards against counting a peer's counters twice."""
        counts = UsageCounts(5.0, "own/1")
        for _ in range(3):
            counts.merge("peer/1", 7, {"north": 4})
        counts.merge("peer/1", 7, {"north": 3})
        self.assertEqual(counts.totals(7), {"north": 4})

    def test_boots_of_one_instance_add_up(self):
        """Guards against losing what an instance counted before it was killed."""
        counts = UsageCounts(5.0, "own/1")
        counts.merge("peer/1", 7, {"north": 4})
        counts.merge("peer/2", 7, {"north": 2})
        self.assertEqual(counts.totals(7), {"north": 6})

    def test_window_is_complete_after_every_live_boot_told_later(self):
        """Guards against reporting before a peer's last counts arrived."""
        counts = UsageCounts(5.0, "own/1")
        counts.hear("peer/1", 39.9, {7: 0})
        self.assertFalse(counts.complete(7, {"own/1", "peer/1"}))
        counts.hear("peer/1", 40.1, {7: 0})
        self.assertTrue(counts.complete(7, {"own/1", "peer/1"}))
        self.assertFalse(counts.complete(7, {"own/1", "peer/1", "peer/2"}))

    def test_window_is_not_complete_while_a_part_is_lost(self):
        """Guards against a lost datagram that lowers a reported figure."""
        counts = UsageCounts(5.0, "own/1")
        counts.hear("peer/1", 40.1, {7: 5})
        counts.merge("peer/1", 7, {"north": 3})
        self.assertFalse(counts.complete(7, {"peer/1"}))
        counts.merge("peer/1", 7, {"south": 2})
        self.assertTrue(counts.complete(7, {"peer/1"}))

    def test_request_counts_in_the_window_in_which_it_began(self):
        """Guards against windows that are shifted by one."""
        counts = UsageCounts(5.0, "own/1")
        counts.count("north", 39.99)
        counts.count("north", 40.0)
        self.assertEqual(counts.totals(7), {"north": 1})
        self.assertEqual(counts.totals(8), {"north": 1})


class TrueTimeTests(unittest.TestCase):
    """One clock that jumps does not move the estimate."""

    def test_jump_while_running_is_ignored_even_by_most_clocks(self):
        """Guards against usage windows that follow clocks that jumped together."""
        times = [TrueTime(1000.0, 0.0) for _ in range(4)]
        for step in range(1, 40):
            steady = step * 0.2
            for number, time in enumerate(times):
                for other, peer in enumerate(times):
                    if other != number:
                        time.hear(str(other), peer.vote(steady), steady)
                jump = 3.0 if number < 3 else 0.0
                time.follow(1000.0 + steady + jump, steady)
        for time in times:
            self.assertAlmostEqual(time.now(8.0), 1008.0, delta=0.01)

    def test_slow_drift_is_followed(self):
        """Guards against an estimate that leaves the time of day over the hours."""
        time = TrueTime(1000.0, 0.0)
        for step in range(1, 100):
            steady = step * 1.0
            drifted = 1000.0 + steady * 1.01
            time.hear("a", drifted, steady)
            time.hear("b", drifted, steady)
            time.follow(drifted, steady)
        self.assertAlmostEqual(time.now(99.0), 1000.0 + 99.99, delta=0.05)

    def test_start_within_a_jump_is_corrected(self):
        """Guards against a process that starts while its clock is wrong."""
        time = TrueTime(1005.0, 0.0)
        for step in range(1, 40):
            steady = step * 0.2
            time.hear("a", 1000.0 + steady, steady)
            time.hear("b", 1000.0 + steady, steady)
            time.follow(1005.0 + steady, steady)
        self.assertAlmostEqual(time.now(8.0), 1008.0, delta=0.05)

    def test_peers_that_fall_silent_do_not_vote(self):
        """Guards against an old vote that keeps counting."""
        time = TrueTime(1000.0, 0.0)
        time.hear("a", 2000.0, 0.0)
        time.hear("b", 2000.0, 0.0)
        time.follow(1100.0, 100.0)
        self.assertAlmostEqual(time.now(100.0), 1100.0, delta=0.01)


class ReadingQueueTests(unittest.TestCase):
    """Long prompts wait for engines with short queues; none is starved."""

    def setUp(self):
        """Start with three waiting prompts."""
        self.queue = ReadingQueue()
        self.old = Ticket(1, 0.0, 8000)
        self.new = Ticket(1, 1.0, 8000)
        self.urgent = Ticket(0, 2.0, 8000)
        for ticket in (self.new, self.old, self.urgent):
            self.queue.join(ticket)

    def test_most_urgent_and_oldest_goes_first(self):
        """Guards against a prompt that waits behind a less urgent one."""
        order = []
        for _ in range(3):
            for ticket in (self.old, self.new, self.urgent):
                if self.queue.is_first(ticket):
                    order.append(ticket)
                    self.queue.leave(ticket)
                    break
        self.assertEqual(order, [self.urgent, self.old, self.new])

    def test_prompt_waits_while_engines_are_busy(self):
        """Guards against short prompts that are late behind long ones."""
        self.assertFalse(self.queue.may_go(self.urgent, 200.0, 2.0))
        self.assertTrue(self.queue.may_go(self.urgent, 20.0, 2.0))

    def test_bound_grows_with_the_time_waited(self):
        """Guards against a long prompt that never finds an idle engine."""
        self.assertTrue(self.queue.may_go(self.old, 400.0, 4.0))

    def test_wait_follows_the_rate(self):
        """Guards against prompts that wait for a deadline they cannot meet."""
        for number in range(4):
            self.queue.sent(8000, number * 0.5)
        self.assertEqual(self.queue.wait_seconds(self.urgent, 2.0), 0.0)
        self.assertAlmostEqual(self.queue.wait_seconds(self.new, 2.0), 1.0)
