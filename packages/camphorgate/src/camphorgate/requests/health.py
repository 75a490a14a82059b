"""Passive health checks of upstreams, based on the answers that this process sees.

An upstream becomes suspected after consecutive failures, at a high failure rate, or
when its answers are much slower than those of its peers. A suspected upstream receives
one probe at a time.
"""

import random
from statistics import median

import msgspec

from camphorgate.requests.request_state import HealthState, UpstreamState

MAX_CONSECUTIVE_FAILURES = 3
# Weight of a new answer in the moving averages of failure rate and slowness.
ANSWER_AVERAGE_WEIGHT = 0.1
MAX_FAILURE_RATE = 0.5
MIN_ANSWERS = 8
# An upstream that is slower than the median of its peers by this factor is suspected.
MAX_SLOWNESS_RATIO = 6.0
# At most this fraction of a pool is suspected for slowness: if more upstreams are slow,
# the cause is high load.
MAX_SLOW_FRACTION = 0.34
MAX_RELATIVE_SLOWNESS = 4.0
INITIAL_PROBE_DELAY_SECONDS = 0.5
MAX_PROBE_DELAY_SECONDS = 30.0
PROBE_JITTER_FRACTION = 0.5
PROBE_TIMEOUT_SECONDS = 10.0
# A load report that contradicts the own counts for longer than this is not trusted.
MAX_REPORT_LAG_SECONDS = 5.0


class UpstreamHealth(msgspec.Struct):
    """Health of one upstream; times are monotonic seconds."""

    state: HealthState = "healthy"
    reason: str = ""
    answers: int = 0
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    slowness: float = 1.0
    changed_at: float = 0.0
    probe_at: float = float("inf")
    probe_delay_seconds: float = INITIAL_PROBE_DELAY_SECONDS
    probe_started_at: float = 0.0
    report_mismatch_since: float | None = None


class HealthTracker:
    """Tracks the health of the upstreams of one pool."""

    __slots__ = ("_health_by_upstream", "_random")

    def __init__(self, random_source: random.Random) -> None:
        """Start without upstreams.

        :param random_source: generator for the jitter of probe delays.
        """
        self._health_by_upstream: dict[str, UpstreamHealth] = {}
        self._random = random_source

    def health(self, upstream_id: str) -> UpstreamHealth:
        """Return the health of an upstream; an unknown upstream starts healthy."""
        return self._health_by_upstream.setdefault(upstream_id, UpstreamHealth())

    def forget(self, upstream_id: str) -> None:
        """Remove an upstream that left the pool."""
        self._health_by_upstream.pop(upstream_id, None)

    def record_success(self, upstream_id: str, ratio: float, now: float) -> None:
        """Record a complete answer.

        :param ratio: measured over expected duration, 1 if none was expected.
        """
        health = self.health(upstream_id)
        health.answers += 1
        health.consecutive_failures = 0
        health.failure_rate -= ANSWER_AVERAGE_WEIGHT * health.failure_rate
        health.slowness += ANSWER_AVERAGE_WEIGHT * (min(ratio, 100.0) - health.slowness)
        if health.state == "healthy" and self._is_slow(upstream_id):
            self._mark_suspected(health, "slow", now)

    def record_failure(self, upstream_id: str, now: float) -> None:
        """Record a failed, truncated or timed-out answer.

        The answers to requests that were sent before the upstream became suspected do
        not change its state.
        """
        health = self.health(upstream_id)
        health.answers += 1
        health.consecutive_failures += 1
        health.failure_rate += ANSWER_AVERAGE_WEIGHT * (1 - health.failure_rate)
        failing = (
            health.failure_rate > MAX_FAILURE_RATE and health.answers >= MIN_ANSWERS
        )
        if health.state == "healthy" and (
            health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES or failing
        ):
            self._mark_suspected(health, "failures", now)

    def is_report_consistent(self, view: UpstreamState, now: float) -> bool:
        """Return whether an upstream's load report is consistent with the own counts.

        A report is wrong, and should be ignored, if for longer than reports may lag it
        counts fewer requests than this process alone has in flight at the upstream.
        """
        health = self.health(view.id)
        report = view.report
        min_requests = min(view.own_requests, view.own_requests_at_report)
        if report is None or report.running + report.waiting >= min_requests:
            health.report_mismatch_since = None
            return True
        if health.report_mismatch_since is None:
            health.report_mismatch_since = now
        return now - health.report_mismatch_since < MAX_REPORT_LAG_SECONDS

    def slowness(self, upstream_id: str) -> float:
        """Return the slowness of an upstream relative to the median of its peers.

        The result is 1 while there are too few answers to compare.
        """
        health = self.health(upstream_id)
        measured = self._measured_slowness()
        if health.answers < MIN_ANSWERS or len(measured) < 2:
            return 1.0
        ratio = health.slowness / max(median(measured), 1e-6)
        return min(max(ratio, 1 / MAX_RELATIVE_SLOWNESS), MAX_RELATIVE_SLOWNESS)

    def start_probe_if_due(self, upstream_id: str, now: float) -> bool:
        """Return whether a probe is due, and if so mark it as started.

        A probe without a result fails after ``PROBE_TIMEOUT_SECONDS``.
        """
        health = self.health(upstream_id)
        if health.state == "probing":
            if now - health.probe_started_at < PROBE_TIMEOUT_SECONDS:
                return False
            self.record_probe(upstream_id, False, now)
        if health.state != "suspected" or now < health.probe_at:
            return False
        health.state = "probing"
        health.probe_started_at = now
        return True

    def record_probe(self, upstream_id: str, answered: bool, now: float) -> None:
        """Record the result of a probe; ignored if no probe is in progress."""
        health = self.health(upstream_id)
        if health.state != "probing":
            return
        if answered:
            self._health_by_upstream[upstream_id] = UpstreamHealth(changed_at=now)
            return
        health.state = "suspected"
        health.probe_delay_seconds = min(
            health.probe_delay_seconds * 2, MAX_PROBE_DELAY_SECONDS
        )
        health.probe_at = now + self._jittered(health.probe_delay_seconds)

    def apply(self, view: UpstreamState) -> None:
        """Copy the health state and the relative slowness into an upstream's view."""
        view.health = self.health(view.id).state
        view.slowness = self.slowness(view.id)

    def snapshot(self) -> dict[str, UpstreamHealth]:
        """Return the health of every upstream, for the state dump."""
        return dict(sorted(self._health_by_upstream.items()))

    def _mark_suspected(self, health: UpstreamHealth, reason: str, now: float) -> None:
        health.state = "suspected"
        health.reason = reason
        health.changed_at = now
        health.probe_delay_seconds = INITIAL_PROBE_DELAY_SECONDS
        health.probe_at = now + self._jittered(INITIAL_PROBE_DELAY_SECONDS)

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + PROBE_JITTER_FRACTION * (2 * self._random.random() - 1))

    def _measured_slowness(self) -> list[float]:
        return [
            item.slowness
            for item in self._health_by_upstream.values()
            if item.answers >= MIN_ANSWERS
        ]

    def _is_slow(self, upstream_id: str) -> bool:
        health = self.health(upstream_id)
        measured = self._measured_slowness()
        if health.answers < MIN_ANSWERS or len(measured) < 3:
            return False
        limit = MAX_SLOWNESS_RATIO * median(measured)
        slow = sum(value > limit for value in measured)
        return health.slowness > limit and slow <= MAX_SLOW_FRACTION * len(measured)
