"""Tests of send attempts, retry budget, health, usage, clock and prefill queue."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from camphorgate.serving.catalog import Stage
from camphorgate.serving.health import Health
from camphorgate.serving.prefill_queue import PrefillQueue, QueuedPrompt
from camphorgate.serving.retry_budget import RetryBudgetShare
from camphorgate.serving.send_attempts import SendAttempts
from camphorgate.serving.synchronized_clock import SynchronizedClock
from camphorgate.serving.usage import UsageCounts

STAGES = st.sampled_from([Stage.NOT_SENT, Stage.REFUSED, Stage.SENT])


class SendAttemptsTests(unittest.TestCase):
    """A request that may not be retried is executed at most once; "not run" is true."""

    @given(st.lists(STAGES, max_size=12), st.booleans(), st.integers(1, 4))
    def test_executions_stay_within_the_limit_of_the_route(
        self, stages, repeatable, max_executions
    ):
        """Guards against a second execution and a false "not run"."""
        attempts = SendAttempts(repeatable, max_executions)
        possible_executions = 0
        for stage in stages:
            if not attempts.may_send():
                break
            if stage is not Stage.NOT_SENT:
                attempts.add_grants(attempts.grants_needed(), 0.0)
                attempts.record_send()
            attempts.record_failure(stage)
            possible_executions += stage is Stage.SENT
        self.assertLessEqual(possible_executions, max_executions if repeatable else 1)
        self.assertEqual(attempts.may_have_run, possible_executions > 0)

    def test_second_send_needs_a_grant(self):
        """Guards against retries that the budget does not count."""
        attempts = SendAttempts(True, 3)
        self.assertTrue(attempts.retry_granted)
        attempts.record_send()
        self.assertFalse(attempts.retry_granted)

    def test_sending_without_a_grant_is_an_error(self):
        """Guards against code that sends past the retry budget."""
        attempts = SendAttempts(True, 3)
        attempts.record_prefill()
        for send in (attempts.record_send, attempts.record_prefill):
            with self.assertRaises(ValueError):
                send()

    @given(st.lists(st.tuples(st.booleans(), st.booleans()), max_size=12))
    def test_grants_are_the_arrivals_that_the_users_count(self, sends):
        """Guards against arrivals that take nothing, such as refused prefill calls.

        Each send is a prefill call or not, and succeeds or is refused.
        """
        attempts = SendAttempts(True, 20)
        granted = 0
        for is_prefill, succeeds in sends:
            needed = attempts.grants_needed(is_prefill)
            attempts.add_grants(needed, 0.0)
            granted += needed
            if is_prefill:
                attempts.record_prefill()
                if succeeds:
                    attempts.record_prefill_read()
            else:
                attempts.record_send()
                if not succeeds:
                    attempts.record_failure(Stage.REFUSED)
        granted -= len(attempts.take_unused_grants())
        arrivals = len(sends) - (sends[:1] == [(True, True)])
        self.assertEqual(granted, max(0, arrivals - 1))

    def test_sending_without_permission_is_an_error(self):
        """Guards against code that sends without calling ``may_send`` first."""
        attempts = SendAttempts(False, 3)
        attempts.record_send()
        attempts.record_failure(Stage.SENT)
        with self.assertRaises(ValueError):
            attempts.record_send()


class RetryBudgetTests(unittest.TestCase):
    """The retries of all instances stay within the bound of the fleet."""

    @given(
        st.integers(1, 40),
        st.lists(st.tuples(st.floats(0, 30), st.booleans()), max_size=300),
    )
    def test_sum_over_instances_stays_within_the_bound(self, instances, events):
        """Guards against instances that each use the whole slack."""
        ratio, slack, window = 0.2, 54.0, 10.0
        budgets = [RetryBudgetShare(ratio, slack, window) for _ in range(instances)]
        retries, requests = [], []
        for number, (at, is_request) in enumerate(sorted(events)):
            budget = budgets[number % instances]
            if is_request:
                budget.record_request(at)
                requests.append(at)
            elif budget.try_reserve(at, instances):
                retries.append(at)
        for end in retries:
            retries_in_window = sum(1 for at in retries if end - window < at <= end)
            requests_in_window = sum(1 for at in requests if end - window < at <= end)
            self.assertLessEqual(retries_in_window, ratio * requests_in_window + slack)

    def test_released_retry_is_available_again(self):
        """Guards against a budget that requests use up without sending."""
        budget = RetryBudgetShare(0.2, 10.0, 10.0)
        while budget.try_reserve(1.0, 1):
            pass
        budget.release(1.0)
        self.assertTrue(budget.try_reserve(2.0, 1))
        self.assertFalse(budget.try_reserve(2.0, 1))


class HealthTests(unittest.TestCase):
    """Upstreams that fail are avoided for a time that grows and ends."""

    def test_consecutive_failures_extend_the_avoidance(self):
        """Guards against frequent attempts at a failed upstream."""
        health = Health()
        health.record_failure(0.0)
        first = health.avoid_until
        health.record_failure(first)
        self.assertGreater(health.avoid_until - first, first)

    def test_success_ends_the_avoidance(self):
        """Guards against an upstream that is never used again."""
        health = Health()
        health.record_failure(0.0)
        health.record_success(0.0)
        self.assertFalse(health.avoided(0.01))

    def test_refusals_avoid_for_less_than_failures(self):
        """Guards against a full upstream that stays unused after it has capacity."""
        refusing, failing = Health(), Health()
        for _ in range(6):
            refusing.record_refusal(0.0)
            failing.record_failure(0.0)
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

    def test_counts_of_all_incarnations_are_added(self):
        """Guards against losing the counts of an instance from before it was killed."""
        counts = UsageCounts(5.0, "own/1")
        counts.merge("peer/1", 7, {"north": 4})
        counts.merge("peer/2", 7, {"north": 2})
        self.assertEqual(counts.totals(7), {"north": 6})

    def test_window_is_complete_after_later_totals_of_all(self):
        """Guards against reporting before a peer's last counts arrived."""
        counts = UsageCounts(5.0, "own/1")
        counts.receive_totals("peer/1", 39.9, {7: 0})
        self.assertFalse(counts.is_complete(7, {"own/1", "peer/1"}))
        counts.receive_totals("peer/1", 40.1, {7: 0})
        self.assertTrue(counts.is_complete(7, {"own/1", "peer/1"}))
        self.assertFalse(counts.is_complete(7, {"own/1", "peer/1", "peer/2"}))

    def test_window_is_incomplete_while_counts_are_missing(self):
        """Guards against a lost datagram that lowers a reported figure."""
        counts = UsageCounts(5.0, "own/1")
        counts.receive_totals("peer/1", 40.1, {7: 5})
        counts.merge("peer/1", 7, {"north": 3})
        self.assertFalse(counts.is_complete(7, {"peer/1"}))
        counts.merge("peer/1", 7, {"south": 2})
        self.assertTrue(counts.is_complete(7, {"peer/1"}))

    def test_request_counts_in_the_window_in_which_it_began(self):
        """Guards against counting requests in an adjacent window."""
        counts = UsageCounts(5.0, "own/1")
        counts.count("north", 39.99)
        counts.count("north", 40.0)
        self.assertEqual(counts.totals(7), {"north": 1})
        self.assertEqual(counts.totals(8), {"north": 1})


class SynchronizedClockTests(unittest.TestCase):
    """A clock that jumps does not change the estimate."""

    def test_jump_of_most_clocks_while_running_is_ignored(self):
        """Guards against usage windows that follow a simultaneous jump of clocks."""
        clocks = [SynchronizedClock(1000.0, 0.0) for _ in range(4)]
        for step in range(1, 40):
            monotonic_time = step * 0.2
            for number, clock in enumerate(clocks):
                for other, peer in enumerate(clocks):
                    if other != number:
                        clock.receive_vote(
                            str(other), peer.vote(monotonic_time), monotonic_time
                        )
                jump = 3.0 if number < 3 else 0.0
                clock.adjust(1000.0 + monotonic_time + jump, monotonic_time)
        for clock in clocks:
            self.assertAlmostEqual(clock.now(8.0), 1008.0, delta=0.01)

    def test_slow_drift_is_followed(self):
        """Guards against an estimate that deviates from the wall clock over hours."""
        clock = SynchronizedClock(1000.0, 0.0)
        for step in range(1, 100):
            monotonic_time = step * 1.0
            drifted = 1000.0 + monotonic_time * 1.01
            clock.receive_vote("a", drifted, monotonic_time)
            clock.receive_vote("b", drifted, monotonic_time)
            clock.adjust(drifted, monotonic_time)
        self.assertAlmostEqual(clock.now(99.0), 1000.0 + 99.99, delta=0.05)

    def test_start_with_a_wrong_clock_is_corrected(self):
        """Guards against a process that starts while its clock is wrong."""
        clock = SynchronizedClock(1005.0, 0.0)
        for step in range(1, 40):
            monotonic_time = step * 0.2
            clock.receive_vote("a", 1000.0 + monotonic_time, monotonic_time)
            clock.receive_vote("b", 1000.0 + monotonic_time, monotonic_time)
            clock.adjust(1005.0 + monotonic_time, monotonic_time)
        self.assertAlmostEqual(clock.now(8.0), 1008.0, delta=0.05)

    def test_votes_of_silent_peers_expire(self):
        """Guards against counting an old vote indefinitely."""
        clock = SynchronizedClock(1000.0, 0.0)
        clock.receive_vote("a", 2000.0, 0.0)
        clock.receive_vote("b", 2000.0, 0.0)
        clock.adjust(1100.0, 100.0)
        self.assertAlmostEqual(clock.now(100.0), 1100.0, delta=0.01)


class PrefillQueueTests(unittest.TestCase):
    """Long prompts wait for engines with short queues, but none starves."""

    def setUp(self):
        """Start with three waiting prompts."""
        self.queue = PrefillQueue()
        self.older = QueuedPrompt(1, 0.0, 8000)
        self.newer = QueuedPrompt(1, 1.0, 8000)
        self.urgent = QueuedPrompt(0, 2.0, 8000)
        for ticket in (self.newer, self.older, self.urgent):
            self.queue.add(ticket)

    def test_most_urgent_and_oldest_goes_first(self):
        """Guards against a prompt that waits behind a less urgent one."""
        order = []
        for _ in range(3):
            for ticket in (self.older, self.newer, self.urgent):
                if self.queue.is_first(ticket, 2.0):
                    order.append(ticket)
                    self.queue.remove(ticket)
                    break
        self.assertEqual(order, [self.urgent, self.older, self.newer])

    def test_late_prompts_delay_no_other(self):
        """Guards against prompts past their target that make all others late."""
        late = QueuedPrompt(0, 0.0, 8000, latest_start=1.0)
        self.queue.add(late)
        self.assertTrue(self.queue.is_first(self.urgent, 2.0))
        self.queue.remove(self.urgent)
        self.assertTrue(self.queue.is_first(late, 2.0))

    def test_workspace_above_its_share_waits(self):
        """Guards against a crowd whose prompts go before those of the others."""
        crowd = [QueuedPrompt(0, 1.5, 8000, "crowd", 9.0) for _ in range(4)]
        other = QueuedPrompt(0, 1.9, 8000, "other", 9.0)
        for ticket in (*crowd, other):
            self.queue.add(ticket)
        self.queue.remove(self.urgent)
        for ticket in crowd[:3]:
            self.queue.remove(ticket)
            self.queue.record_sent(8000, 2.0, ticket)
        self.assertTrue(self.queue.is_first(other, 2.0))

    def test_prompt_waits_while_engines_are_busy(self):
        """Guards against delaying short prompts behind long ones."""
        self.assertFalse(self.queue.may_send(self.urgent, 200.0, 2.0))
        self.assertTrue(self.queue.may_send(self.urgent, 20.0, 2.0))

    def test_bound_increases_with_the_waiting_time(self):
        """Guards against a long prompt that never finds an idle engine."""
        self.assertTrue(self.queue.may_send(self.older, 400.0, 4.0))

    def test_wait_follows_the_send_rate(self):
        """Guards against prompts that wait for a deadline they cannot meet."""
        for number in range(4):
            self.queue.record_sent(8000, number * 0.5)
        self.assertEqual(self.queue.wait_seconds(self.urgent, 2.0), 0.0)
        self.assertAlmostEqual(self.queue.wait_seconds(self.newer, 2.0), 1.0)
