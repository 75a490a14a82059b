"""Property-based tests: invariants under arbitrary sequences of events."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.manifest import Limits
from camphorgate.requests.admission import (
    PoolQueue,
    QueueLimits,
    Refusal,
    WorkspaceLimiter,
)
from camphorgate.requests.fairness import MAX_CREDIT_SERVICE, FairOrder
from camphorgate.requests.request_state import LoadReport, RoutingRequest, UpstreamState
from camphorgate.requests.retries import Action, Attempts, RetryBudget, Stage
from camphorgate.requests.routing import POLICIES, is_eligible

FIXED = settings(derandomize=True, deadline=None, max_examples=100)

stages = st.sampled_from(Stage)
gaps = st.floats(0, 5)


def build_request(workspace="north", **changes):
    fields = {"pool": "models", "prompt_tokens": 100, "output_tokens": 10, **changes}
    return RoutingRequest(workspace=workspace, **fields)


class AttemptProperties(unittest.TestCase):
    @FIXED
    @given(st.booleans(), st.lists(st.tuples(stages, st.booleans(), gaps), max_size=12))
    def test_a_booking_is_never_sent_twice(self, resumable, outcomes):
        """Guards against a duplicate booking after any sequence of failures."""
        attempts = Attempts(idempotent=False, resumable=resumable)
        budget = RetryBudget(0.0)
        now, sent = 0.0, 0
        for stage, writing, gap in outcomes:
            now += gap
            if not attempts.may_dispatch():
                self.assertRaises(ValueError, attempts.begin)
                break
            attempts.begin()
            if writing or stage is not Stage.NOT_SENT:
                attempts.record_send()
                sent += 1
            attempts.fail(stage, budget, now)
        self.assertLessEqual(sent, 1)

    @FIXED
    @given(
        st.booleans(),
        st.booleans(),
        st.lists(st.tuples(stages, gaps), min_size=1, max_size=12),
    )
    def test_not_run_is_never_said_after_a_sent_byte(self, idempotent, resume, stages_):
        """Guards against a caller retrying a request that may have run."""
        attempts = Attempts(idempotent=idempotent, resumable=resume)
        budget = RetryBudget(0.0)
        now, sent = 0.0, False
        for stage, gap in stages_:
            now += gap
            attempts.begin()
            sent = sent or stage is not Stage.NOT_SENT
            if stage is not Stage.NOT_SENT:
                attempts.record_send()
            action = attempts.fail(stage, budget, now)
            if action not in (Action.RETRY, Action.RESUME):
                break
        else:
            action = attempts.give_up()
        if sent:
            self.assertIsNot(action, Action.REFUSE_NOT_RUN)
        self.assertFalse(attempts.may_dispatch())

    @FIXED
    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 1)), max_size=300))
    def test_retries_stay_within_the_budget(self, events):
        """Guards against retries that multiply an overload."""
        budget = RetryBudget(0.0)
        now, requests, retries = 0.0, 0, 0
        for arrives, gap in events:
            now += gap
            if arrives:
                requests += 1
                budget.record_request(now)
            else:
                retries += budget.take(now)
        self.assertLessEqual(retries, 3 + 3 * now + 0.1 * requests + 1e-6)


class QueueProperties(unittest.TestCase):
    @FIXED
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["offer", "take", "remove", "expire"]),
                st.sampled_from(["north", "south", "flood"]),
                st.floats(0, 1),
                st.floats(0.1, 20),
            ),
            max_size=80,
        )
    )
    def test_bounds_hold_and_every_request_ends_once(self, events):
        """Guards against an unbounded queue and lost or duplicated requests."""
        bounds = QueueLimits(requests=8, seconds=3.0)
        queue = PoolQueue(bounds, FairOrder())
        now, entered, ended = 0.0, {}, []
        for number, (kind, workspace, gap, deadline) in enumerate(events):
            now += gap
            for waiting in queue.expire(now):
                ended.append(waiting.request_id)
            if kind == "offer":
                request = build_request(workspace, deadline=now + deadline)
                if queue.try_enqueue(str(number), request, 10.0, now) is None:
                    entered[str(number)] = now
            elif kind == "take":
                waiting = queue.start_next(now, lambda request: True)
                ended += [waiting.request_id] if waiting else []
                # Work-conserving: nothing waits when everything may start.
                self.assertTrue(waiting or not len(queue))
            elif kind == "remove" and entered:
                waiting = queue.remove(next(iter(entered)))
                ended += [waiting.request_id] if waiting else []
            self.assertLessEqual(len(queue), bounds.requests)
            self.assertLessEqual(queue.status(now).oldest_seconds, bounds.seconds)
        while waiting := queue.start_next(now, lambda request: True):
            ended.append(waiting.request_id)
        self.assertEqual(sorted(ended), sorted(entered))
        self.assertEqual(queue.status(now).depth, 0)

    @FIXED
    @given(
        st.integers(1, 6),
        st.lists(st.tuples(st.booleans(), st.floats(0, 0.5)), max_size=120),
    )
    def test_concurrency_and_rate_stay_below_the_limits(self, concurrent, events):
        """Guards against a workspace that exceeds its limits."""
        limits = Limits(requests_per_second=4, concurrent_requests=concurrent)
        limiter = WorkspaceLimiter(limits)
        now, running, admitted = 0.0, 0, 0
        for arrives, gap in events:
            now += gap
            if arrives:
                refusal = limiter.admit(50, now)
                running += refusal is None
                admitted += refusal is None
                if refusal is not None:
                    self.assertGreaterEqual(refusal.retry_after, 1)
            elif running:
                limiter.finish(0, now)
                running -= 1
            self.assertLessEqual(running, concurrent)
        self.assertLessEqual(admitted, 8 + 4 * now + 1e-6)


class LimiterChangeTests(unittest.TestCase):
    """Requests that run while the limits change are counted until they end."""

    def test_running_requests_are_counted_across_a_change(self):
        """Guards against a workspace that is refused for requests that have ended."""
        limiter = WorkspaceLimiter(Limits(concurrent_requests=2))
        for _ in range(2):
            self.assertIsNone(limiter.admit(0, 0.0))
        limiter.change(Limits(concurrent_requests=4), 2)
        self.assertIsNotNone(limiter.admit(0, 0.0))
        for _ in range(2):
            limiter.finish(0, 0.0)
        self.assertEqual(limiter.running, 0)
        self.assertIsNone(limiter.admit(0, 0.0))

    def test_change_does_not_refill_the_budget(self):
        """Guards against a workspace that gets a burst at each change of the fleet."""
        limiter = WorkspaceLimiter(Limits(requests_per_second=10))
        admitted = 0
        for number in range(100):
            limiter.change(Limits(requests_per_second=10), 1 + number % 2)
            admitted += limiter.admit(0, 0.0) is None
        self.assertLessEqual(admitted, 20)


class FairnessProperties(unittest.TestCase):
    @FIXED
    @given(
        st.lists(st.floats(1, 400), min_size=60, max_size=200),
        st.lists(st.floats(0.5, 4), min_size=3, max_size=3),
    )
    def test_backlogged_workspaces_get_their_shares(self, services, weights):
        """Guards against starvation: service divided by weight stays close."""
        names = ["large", "middle", "small"]
        fair = FairOrder()
        fair.set_weights(dict(zip(names, weights, strict=True)))
        received = dict.fromkeys(names, 0.0)
        for name in names:
            fair.enter(name)
        for service in services:
            name = fair.order(names)[0]
            fair.start(name, service, 0.0)
            fair.enter(name)
            received[name] += service
        shares = [received[name] / fair.weight_of(name) for name in names]
        # Any two differ by at most one request of each, divided by its weight.
        self.assertLessEqual(max(shares) - min(shares), 2 * 400 / min(weights))

    @FIXED
    @given(st.integers(1, 300), st.floats(1, 200))
    def test_a_returning_workspace_has_a_bounded_credit(self, idle, service):
        """Guards against a workspace that starves the others after a long idle time."""
        fair = FairOrder()
        fair.enter("back")
        fair.start("back", 1.0, 0.0)
        fair.finish("back", 0.0, 0.0)
        for second in range(idle):
            fair.enter("busy")
            fair.start("busy", service, second)
        for name in ("busy", "back"):
            fair.enter(name)
        ahead = 0.0
        while fair.order(["busy", "back"])[0] == "back":
            fair.start("back", 10.0, idle)
            fair.enter("back")
            ahead += 10.0
        self.assertLessEqual(ahead, MAX_CREDIT_SERVICE + service + 20.0)

    @FIXED
    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.floats(1, 300)),
            max_size=60,
        )
    )
    def test_merged_instances_agree_on_what_was_received(self, events):
        """Guards against service that peers merge twice or not at all."""
        instances = [FairOrder() for _ in range(3)]
        total = {}
        for number, name, service in events:
            instances[number].enter(name)
            instances[number].start(name, service, 0.0)
            total[name] = total.get(name, 0.0) + service
        seen = {}
        for instance in instances:
            for name, delta in instance.take_deltas().items():
                seen[name] = seen.get(name, 0.0) + delta
            self.assertEqual(instance.take_deltas(), {})
        self.assertEqual(set(seen), set(total))
        for name, service in total.items():
            self.assertAlmostEqual(seen[name], service, places=6)


upstreams = st.builds(
    lambda number, **fields: UpstreamState(id=f"u{number}", pool="models", **fields),
    number=st.integers(0, 99),
    zone=st.sampled_from(["zone-a", "zone-b"]),
    kind=st.sampled_from(["ordinary", "cheap"]),
    role=st.sampled_from(["both", "prefill", "decode"]),
    leaving=st.booleans(),
    health=st.sampled_from(["healthy", "suspected", "probing"]),
    models=st.sampled_from([None, frozenset(), frozenset({"assistant"})]),
    own_requests=st.integers(0, 40),
    own_prefill_tokens=st.floats(0, 1e5),
    report=st.one_of(
        st.none(),
        st.builds(LoadReport, st.floats(0, 9), st.integers(0, 99), st.integers(0, 99)),
    ),
)


class RoutingProperties(unittest.TestCase):
    @FIXED
    @given(
        st.sampled_from(sorted(POLICIES)),
        st.lists(upstreams, max_size=8, unique_by=lambda item: item.id),
        st.booleans(),
        st.sampled_from(["", "assistant", "other"]),
        st.sampled_from(["", "prefix"]),
        st.integers(0, 10000),
    )
    def test_no_policy_picks_an_excluded_upstream(
        self, policy, views, idempotent, model, prefix, prompt
    ):
        """Guards against bookings on cheap upstreams and requests on leaving ones."""
        request = build_request(
            idempotent=idempotent,
            model=model,
            prefix_digest=prefix,
            prefix_tokens=prompt // 2,
            prompt_tokens=prompt,
        )
        choice = POLICIES.get(policy)("gateway-1").choose(views, request, 10.0)
        allowed = [view for view in views if is_eligible(view, request)]
        self.assertEqual(choice is None, not allowed)
        if choice is not None:
            upstream = choice.upstream
            self.assertFalse(upstream.leaving)
            self.assertEqual(upstream.health, "healthy")
            self.assertTrue(idempotent or upstream.kind == "ordinary")
            if model and upstream.models is not None:
                self.assertIn(model, upstream.models)

    @FIXED
    @given(st.lists(st.sampled_from(["begin", "token", "end"]), max_size=40))
    def test_counts_return_to_zero(self, events):
        """Guards against counts that remain after all dispatches have ended."""
        view = UpstreamState(id="u", pool="models")
        request = build_request(prefix_digest="p", prefix_tokens=60)
        open_ = []
        for number, event in enumerate(events):
            if event == "begin":
                open_.append(view.begin_dispatch(request, number))
            elif open_ and event == "token":
                view.record_first_token(open_[-1])
            elif open_:
                view.end_dispatch(open_[0])
                view.end_dispatch(open_.pop(0))
            self.assertGreaterEqual(view.own_prefill_tokens, 0)
            self.assertEqual(view.own_requests, len(open_))
        for dispatch in open_:
            view.end_dispatch(dispatch)
        self.assertEqual(
            (view.own_requests, view.own_prefill_tokens, view.own_decode_tokens),
            (0, 0, 0),
        )


class RefusalTests(unittest.TestCase):
    def _drain_backlog(self, queue, seconds):
        """Start ten requests per second while others are queued; return the time."""
        for number in range(200):
            queue.try_enqueue(f"a{number}", build_request(), 10.0, 0.0)
        for number in range(10 * seconds + 1):
            self.assertIsNotNone(queue.start_next(number / 10, lambda request: True))
        return float(seconds)

    def test_what_cannot_start_in_time_is_refused_at_once(self):
        """Guards against requests that wait only to time out and be retried late."""
        queue = PoolQueue(QueueLimits(seconds=18.0), FairOrder())
        # Drained at 10 requests a second, the 189 ahead take nearly 19 seconds.
        now = self._drain_backlog(queue, 1)
        refusal = queue.try_enqueue("late", build_request(), 10.0, now)
        self.assertIsInstance(refusal, Refusal)
        self.assertEqual(refusal.code, "deadline_unreachable")
        self.assertEqual(refusal.retry_after, 1)
        self.assertIsNone(queue.try_enqueue("other", build_request("south"), 10.0, now))

    def test_a_burst_after_a_quiet_or_bad_time_is_let_in(self):
        """Guards against refusals by the arrival rate or an outdated drain rate."""
        queue = PoolQueue(QueueLimits(seconds=5.0), FairOrder())
        now = 0.0
        for number in range(40):
            queue.try_enqueue(f"q{number}", build_request(), 10.0, now)
            queue.start_next(now, lambda request: True)
            now += 1.0
        for number in range(60):
            self.assertIsNone(
                queue.try_enqueue(f"b{number}", build_request(), 10.0, now)
            )
        queue.start_next(now, lambda request: True)
        queue.start_next(now + 4.0, lambda request: True)
        self.assertIsNotNone(
            queue.try_enqueue("late", build_request(), 10.0, now + 4.0)
        )
        queue.expire(now + 20.0)
        for number in range(60):
            refusal = queue.try_enqueue(f"c{number}", build_request(), 10.0, now + 20.0)
            self.assertIsNone(refusal)

    def test_growth_is_shown_with_its_begin(self):
        """Guards against a backlog that grows unnoticed for hours."""
        queue = PoolQueue(QueueLimits(requests=500, seconds=500), FairOrder())
        for number in range(100):
            queue.try_enqueue(str(number), build_request(), 10.0, float(number))
        status = queue.status(100.0)
        self.assertEqual((status.depth, status.oldest_seconds), (100, 100.0))
        self.assertLess(status.growing_since, 10.0)
        while queue.start_next(101.0, lambda request: True):
            pass
        self.assertIsNone(queue.status(130.0).growing_since)
