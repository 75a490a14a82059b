"""The health of upstreams, from the answers that this process sees.

An upstream is suspected after failures in a row, a high share of failures, or answers
much slower than its peers'. A suspected upstream gets one probe at a time.
"""

import random
from statistics import median

import msgspec

from camphorgate.requests.views import HealthState, UpstreamView

FAILURES_IN_ROW = 3
# Weight of a new answer in the share of failures and in the mean slowness.
OUTCOME_WEIGHT = 0.1
FAILURE_SHARE = 0.5
MIN_ANSWERS = 8
# An upstream this many times slower than the median of its peers is suspected.
SLOW_FACTOR = 6.0
# Slowness suspects at most this part of a pool: if more are slow, the load is high.
SLOW_SHARE = 0.34
MAX_SLOWNESS = 4.0
PROBE_SECONDS = 0.5
MAX_PROBE_SECONDS = 30.0
PROBE_JITTER = 0.5
PROBE_TIMEOUT_SECONDS = 10.0
# Time for which a report may lag behind before it counts as disagreeing, in seconds.
REPORT_LAG_SECONDS = 5.0


class Health(msgspec.Struct):
    """What is known about one upstream; times are monotonic seconds."""

    state: HealthState = "healthy"
    reason: str = ""
    answers: int = 0
    failures_in_row: int = 0
    failure_share: float = 0.0
    slowness: float = 1.0
    changed_at: float = 0.0
    probe_at: float = float("inf")
    probe_seconds: float = PROBE_SECONDS
    probe_begun_at: float = 0.0
    report_wrong_since: float | None = None


class HealthBoard:
    """The health of all upstreams of one pool."""

    __slots__ = ("_health_by_upstream", "_random")

    def __init__(self, source: random.Random) -> None:
        """Start without upstreams.

        :param source: for the jitter of probes.
        """
        self._health_by_upstream: dict[str, Health] = {}
        self._random = source

    def health(self, upstream_id: str) -> Health:
        """Return what is known about an upstream; a new one is healthy."""
        return self._health_by_upstream.setdefault(upstream_id, Health())

    def forget(self, upstream_id: str) -> None:
        """Drop an upstream that is gone."""
        self._health_by_upstream.pop(upstream_id, None)

    def note_success(self, upstream_id: str, ratio: float, now: float) -> None:
        """Take a whole answer.

        :param ratio: its measured over its expected time, 1 if nothing was expected.
        """
        health = self.health(upstream_id)
        health.answers += 1
        health.failures_in_row = 0
        health.failure_share -= OUTCOME_WEIGHT * health.failure_share
        health.slowness += OUTCOME_WEIGHT * (min(ratio, 100.0) - health.slowness)
        if health.state == "healthy" and self._slow(upstream_id):
            self._suspect(health, "slow", now)

    def note_failure(self, upstream_id: str, now: float) -> None:
        """Take a broken, silent or failed answer.

        An answer of a request that was sent before the suspicion changes nothing.
        """
        health = self.health(upstream_id)
        health.answers += 1
        health.failures_in_row += 1
        health.failure_share += OUTCOME_WEIGHT * (1 - health.failure_share)
        failing = health.failure_share > FAILURE_SHARE and health.answers >= MIN_ANSWERS
        if health.state == "healthy" and (
            health.failures_in_row >= FAILURES_IN_ROW or failing
        ):
            self._suspect(health, "failures", now)

    def trusts_report(self, view: UpstreamView, now: float) -> bool:
        """Tell whether an upstream's report fits what this process has in flight there.

        A report that counts fewer requests than this process alone has there, for
        longer than reports lag, is wrong and is better ignored.
        """
        health = self.health(view.id)
        report = view.report
        least = min(view.own_requests, view.own_requests_at_report)
        if report is None or report.running + report.waiting >= least:
            health.report_wrong_since = None
            return True
        if health.report_wrong_since is None:
            health.report_wrong_since = now
        return now - health.report_wrong_since < REPORT_LAG_SECONDS

    def slowness(self, upstream_id: str) -> float:
        """Return how much slower than the median of its peers an upstream is."""
        health = self.health(upstream_id)
        known = self._known_slowness()
        if health.answers < MIN_ANSWERS or len(known) < 2:
            return 1.0
        ratio = health.slowness / max(median(known), 1e-6)
        return min(max(ratio, 1 / MAX_SLOWNESS), MAX_SLOWNESS)

    def due_probe(self, upstream_id: str, now: float) -> bool:
        """Tell whether a probe is due, and if so count it as begun.

        A probe without a result counts as failed after a time.
        """
        health = self.health(upstream_id)
        if health.state == "probing":
            if now - health.probe_begun_at < PROBE_TIMEOUT_SECONDS:
                return False
            self.note_probe(upstream_id, False, now)
        if health.state != "suspected" or now < health.probe_at:
            return False
        health.state = "probing"
        health.probe_begun_at = now
        return True

    def note_probe(self, upstream_id: str, answered: bool, now: float) -> None:
        """Take the result of a probe; one that is not under way is ignored."""
        health = self.health(upstream_id)
        if health.state != "probing":
            return
        if answered:
            self._health_by_upstream[upstream_id] = Health(changed_at=now)
            return
        health.state = "suspected"
        health.probe_seconds = min(health.probe_seconds * 2, MAX_PROBE_SECONDS)
        health.probe_at = now + self._jittered(health.probe_seconds)

    def apply(self, view: UpstreamView) -> None:
        """Copy state and slowness into an upstream's view."""
        view.health = self.health(view.id).state
        view.slowness = self.slowness(view.id)

    def snapshot(self) -> dict[str, Health]:
        """Return the health of every upstream, for the state dump."""
        return dict(sorted(self._health_by_upstream.items()))

    def _suspect(self, health: Health, reason: str, now: float) -> None:
        health.state = "suspected"
        health.reason = reason
        health.changed_at = now
        health.probe_seconds = PROBE_SECONDS
        health.probe_at = now + self._jittered(PROBE_SECONDS)

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + PROBE_JITTER * (2 * self._random.random() - 1))

    def _known_slowness(self) -> list[float]:
        return [
            item.slowness
            for item in self._health_by_upstream.values()
            if item.answers >= MIN_ANSWERS
        ]

    def _slow(self, upstream_id: str) -> bool:
        health = self.health(upstream_id)
        known = self._known_slowness()
        if health.answers < MIN_ANSWERS or len(known) < 3:
            return False
        limit = SLOW_FACTOR * median(known)
        slow = sum(value > limit for value in known)
        return health.slowness > limit and slow <= SLOW_SHARE * len(known)
