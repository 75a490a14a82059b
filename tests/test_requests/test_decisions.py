"""Tests for individual decisions of routing, health, retries and the demand log."""

import random
import unittest

from camphorgate.errors import RegistryError
from camphorgate.requests.demand_history import DemandHistory
from camphorgate.requests.health import MAX_PROBE_DELAY_SECONDS, HealthTracker
from camphorgate.requests.request_state import LoadReport, RoutingRequest, UpstreamState
from camphorgate.requests.retries import Action, Attempts, RetryBudget, Stage
from camphorgate.requests.routing import POLICIES, select_subset

REQUEST = RoutingRequest(
    workspace="north",
    pool="models",
    prompt_tokens=4000,
    output_tokens=50,
    prefix_digest="contract",
    prefix_tokens=3000,
    zone="zone-a",
)


def build_views(count=3, **changes):
    fields = {"pool": "models", "zone": "zone-a", **changes}
    return [UpstreamState(id=f"u{number}", **fields) for number in range(count)]


def choose(views, request=REQUEST, now=100.0):
    return POLICIES.get("expected_latency")("gateway").choose(views, request, now)


class RoutingTests(unittest.TestCase):
    def test_work_in_flight_outweighs_everything(self):
        """Guards against a popular prefix that sends all requests to one upstream."""
        views = build_views()
        views[0].record_prefix("contract", 99.0)
        self.assertEqual(choose(views).upstream.id, "u0")
        views[0].own_prefill_tokens = 40000.0
        self.assertNotEqual(choose(views).upstream.id, "u0")

    def test_an_old_prefix_counts_less(self):
        """Guards against routing by a prefix that has probably been evicted."""
        views = build_views(2)
        views[0].record_prefix("contract", 0.0)
        views[1].record_prefix("contract", 95.0)
        self.assertEqual(choose(views).upstream.id, "u1")
        views[1].remove_prefix("contract")
        self.assertEqual(choose(views, now=10.0).upstream.id, "u0")

    def test_differences_between_upstreams_decide(self):
        """Guards against an estimate that ignores one of its inputs."""
        cases = {
            "slow": {"slowness": 3.0},
            "far": {"zone": "zone-b"},
            "specialised": {"role": "decode"},
            "dear": {"cost": 3.0},
            "weak": {"prefill_tokens_per_second": 5000.0},
            "crowded": {"own_requests": 8, "own_decode_tokens": 400.0},
            "reported": {"report": LoadReport(100.0, 8, 9, 8, lag_seconds=0.0)},
            "busy": {
                "gap_updated_at": 99.9,
                "gap_seconds": 0.08,
                "undisturbed_gap_seconds": 0.02,
            },
        }
        request = RoutingRequest(
            workspace="w", pool="p", prompt_tokens=900, output_tokens=50, zone="zone-a"
        )
        for name, changes in cases.items():
            worse, plain = build_views(1, **changes)[0], build_views(2)[1]
            plain.report = LoadReport(100.0, 0, 0, 8, lag_seconds=0.0)
            for views in ([worse, plain], [plain, worse]):
                with self.subTest(name, first=views[0].id):
                    self.assertIs(choose(views, request).upstream, plain)

    def test_subsets_are_stable_and_cover_every_upstream(self):
        """Guards against all instances using the same few upstreams."""
        views = [
            UpstreamState(id=f"u{number}", pool="p", zone=f"zone-{number % 4}")
            for number in range(80)
        ]
        used = set()
        for number in range(40):
            chosen = select_subset(views, f"gateway-{number}", 5)
            self.assertEqual(len(chosen), 20)
            again = select_subset(views[1:], f"gateway-{number}", 5)
            changed = {item.id for item in chosen} ^ {item.id for item in again}
            self.assertLessEqual(len(changed), 2)
            used |= {item.id for item in chosen}
        self.assertEqual(len(used), 80)

    def test_a_subset_favours_the_own_zone(self):
        """Guards against each instance polling thousands of upstreams."""
        views = [
            UpstreamState(id=f"u{number}", pool="p", zone=f"zone-{number % 17}")
            for number in range(17 * 14)
        ]
        chosen = select_subset(views, "gateway-1", 8, "zone-3", 1)
        own = [item for item in chosen if item.zone == "zone-3"]
        self.assertEqual((len(own), len(chosen)), (8, 24))
        self.assertEqual(len({item.zone for item in chosen}), 17)

    def test_equal_upstreams_share_the_work_for_a_long_time(self):
        """Guards against counter overflow and a bias towards one upstream."""
        views = build_views()
        policy = POLICIES.get("expected_latency")("gateway")
        request = RoutingRequest(
            workspace="w", pool="p", prompt_tokens=9, zone="zone-a"
        )
        chosen = [policy.choose(views, request, 0.0).upstream.id for _ in range(3000)]
        for view in views:
            self.assertEqual(chosen.count(view.id), 1000)

    def test_an_unknown_policy_is_refused(self):
        """Guards against a silent fallback for a misspelt policy in the manifest."""
        with self.assertRaises(RegistryError):
            POLICIES.get("fastest")


class RetryTests(unittest.TestCase):
    def test_every_stage_has_its_action(self):
        """Guards against a wrong action after a failed attempt."""
        cases = [
            # stage, idempotent, resumable, with budget, without budget
            (Stage.NOT_SENT, True, False, Action.RETRY, Action.REFUSE_NOT_RUN),
            (Stage.NOT_SENT, False, False, Action.RETRY, Action.REFUSE_NOT_RUN),
            (Stage.REFUSED, True, False, Action.RETRY, Action.PASS_ON),
            (Stage.REFUSED, False, False, Action.PASS_ON, Action.PASS_ON),
            (Stage.SENT, True, False, Action.RETRY, Action.OUTCOME_UNKNOWN),
            (Stage.SENT, False, False, Action.OUTCOME_UNKNOWN, Action.OUTCOME_UNKNOWN),
            (Stage.BEGUN, True, True, Action.RESUME, Action.OUTCOME_UNKNOWN),
            (Stage.BEGUN, True, False, Action.OUTCOME_UNKNOWN, Action.OUTCOME_UNKNOWN),
            (Stage.BEGUN, False, True, Action.OUTCOME_UNKNOWN, Action.OUTCOME_UNKNOWN),
        ]
        for stage, idempotent, resumable, with_budget, without_budget in cases:
            for expected, spent in ((with_budget, 0), (without_budget, 200)):
                with self.subTest(stage=stage, idempotent=idempotent, spent=spent):
                    budget = RetryBudget(0.0)
                    for _ in range(spent):
                        budget.take(0.0, debt=100.0)
                    attempts = Attempts(idempotent=idempotent, resumable=resumable)
                    attempts.begin()
                    self.assertIs(attempts.fail(stage, budget, 0.0), expected)


class HealthTests(unittest.TestCase):
    def setUp(self):
        self.board = HealthTracker(random.Random(1))

    def _fail(self, count=3, now=0.0):
        for _ in range(count):
            self.board.record_failure("u0", now)

    def test_suspicion_ends_with_an_answered_probe(self):
        """Guards against staying suspected forever or recovering without a probe."""
        self._fail(2)
        self.assertEqual(self.board.health("u0").state, "healthy")
        self._fail(1)
        self.assertEqual(self.board.health("u0").state, "suspected")
        # A late answer to an earlier request does not count as a probe.
        self.board.record_success("u0", 1.0, 0.1)
        self.assertEqual(self.board.health("u0").state, "suspected")
        self.assertTrue(self.board.start_probe_if_due("u0", 1.0))
        self.board.record_probe("u0", True, 1.1)
        self.assertEqual(self.board.health("u0").state, "healthy")

    def test_one_probe_at_a_time_with_growing_pauses(self):
        """Guards against probes that overload a recovering upstream."""
        self._fail()
        now, begun = 0.0, []
        while now < 200:
            if self.board.start_probe_if_due("u0", now):
                begun.append(now)
                self.assertFalse(self.board.start_probe_if_due("u0", now))
                self.board.record_probe("u0", False, now)
            now += 0.05
        pauses = [
            after - before for before, after in zip(begun, begun[1:], strict=False)
        ]
        self.assertLess(len(begun), 16)
        self.assertLessEqual(max(pauses), MAX_PROBE_DELAY_SECONDS * 1.5 + 0.1)
        self.assertNotEqual(round(pauses[-1], 1), round(pauses[-2], 1))

    def test_a_probe_without_result_is_not_the_last(self):
        """Guards against a lost probe that keeps the upstream suspected forever."""
        self._fail()
        self.assertTrue(self.board.start_probe_if_due("u0", 1.0))
        self.assertFalse(self.board.start_probe_if_due("u0", 5.0))
        self.assertFalse(self.board.start_probe_if_due("u0", 12.0))
        self.assertTrue(self.board.start_probe_if_due("u0", 20.0))

    def test_only_one_slow_among_quick_ones_is_suspected(self):
        """Guards against suspecting upstreams that are slow because of high load."""
        cases = ((1, "suspected", 4.0), (3, "healthy", 1.0))
        for slow_ones, expected, slowness in cases:
            with self.subTest(slow_ones=slow_ones):
                board = HealthTracker(random.Random(1))
                for _ in range(60):
                    for number in range(5):
                        ratio = 20.0 if number < slow_ones else 1.0
                        board.record_success(f"u{number}", ratio, 0.0)
                self.assertEqual(board.health("u0").state, expected)
                self.assertAlmostEqual(board.slowness("u0"), slowness)

    def test_a_report_that_denies_own_requests_is_not_trusted(self):
        """Guards against an upstream that attracts requests by reporting no load."""
        view = build_views(1)[0]
        for _ in range(4):
            view.begin_dispatch(REQUEST, 0.0)
        view.store_report(LoadReport(1.0, 0, 0, 8))
        self.assertTrue(self.board.is_report_consistent(view, 1.0))
        self.assertFalse(self.board.is_report_consistent(view, 9.0))
        view.store_report(LoadReport(10.0, 4, 0, 8))
        self.assertTrue(self.board.is_report_consistent(view, 10.0))


class DemandTests(unittest.TestCase):
    def test_rates_cover_whole_buckets_of_one_outcome(self):
        """Guards against rates from an incomplete bucket or of another outcome."""
        log = DemandHistory()
        for number in range(40):
            log.record_request("asked", "models", 100, 10, number / 4)
            outcome = "served" if number % 2 else "refused"
            log.record_request(outcome, "models", 100, 10, number / 4)
        rates = log.rates("models", "asked", 5, 9.9)
        self.assertEqual((rates.requests, rates.prefill_tokens), (4, 400))
        self.assertEqual(log.rates("models", "refused", 5, 9.9).decode_tokens, 20)
        self.assertEqual(len(log.buckets("models")), 10)
        self.assertEqual(log.rates("other", "asked", 5, 9.9).requests, 0)
