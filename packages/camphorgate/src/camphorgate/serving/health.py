"""Health of upstreams, derived from the outcomes of requests sent to them."""

from camphorgate.serving.outcomes import (
    MAX_COUNTS_PER_MESSAGE,
    OutcomeCount,
    PeerOutcomes,
    RecentOutcomes,
    expected_failure_rate,
)

# Backoff after the first consecutive failure; it doubles with each further one. A
# crashed upstream is removed from the platform's list after three reports.
INITIAL_FAILURE_BACKOFF_SECONDS = 0.5
MAX_FAILURE_BACKOFF_SECONDS = 4.0
# Backoff after the first consecutive refusal; it doubles with each further one.
INITIAL_REFUSAL_BACKOFF_SECONDS = 0.3
MAX_REFUSAL_BACKOFF_SECONDS = 1.2
# How long a peer's suspicion applies; the peer repeats it while it avoids the upstream.
SUSPICION_SECONDS = 0.4
# How long one request probes a failed upstream before other requests may use it.
PROBE_SECONDS = 0.4
# Weight of the newest outcome in the moving average of failures.
NEWEST_OUTCOME_WEIGHT = 0.15
# Below this moving average, an upstream failed none of the last 16 requests.
MIN_FAILURE_RATE = 0.01


class Health:
    """Health of one incarnation of an upstream."""

    __slots__ = (
        "failures",
        "refusals",
        "avoid_until",
        "failure_rate",
        "last_success_at",
        "progressed_at",
        "recent",
    )

    def __init__(self) -> None:
        """Initialize a healthy state."""
        self.failures = 0
        self.refusals = 0
        self.avoid_until = 0.0
        self.failure_rate = 0.0
        self.last_success_at = -SUSPICION_SECONDS
        # Time of the last event received on any stream from this upstream.
        self.progressed_at = float("-inf")
        self.recent = RecentOutcomes()

    def record_success(self, now: float) -> None:
        """Record an answered request."""
        self.last_success_at = now
        self.failures = 0
        self.refusals = 0
        self.avoid_until = 0.0
        self.failure_rate *= 1.0 - NEWEST_OUTCOME_WEIGHT
        self.recent.record(False, now)

    def record_failure(self, now: float) -> None:
        """Record a request without a usable answer and start a backoff."""
        self.failures += 1
        seconds = INITIAL_FAILURE_BACKOFF_SECONDS * 2 ** min(self.failures - 1, 5)
        self.avoid_until = now + min(MAX_FAILURE_BACKOFF_SECONDS, seconds)
        self.record_error_response(now)

    def record_refusal(self, now: float) -> None:
        """Record a refusal without running the request, such as by a full upstream."""
        self.refusals += 1
        seconds = INITIAL_REFUSAL_BACKOFF_SECONDS * 2 ** min(self.refusals - 1, 5)
        self.avoid_until = now + min(MAX_REFUSAL_BACKOFF_SECONDS, seconds)

    def record_error_response(self, now: float) -> None:
        """Increase the failure rate, after a failure or an error response."""
        self.failure_rate += (1.0 - self.failure_rate) * NEWEST_OUTCOME_WEIGHT
        self.recent.record(True, now)

    def record_suspicion(self, now: float) -> None:
        """Apply a peer's report of failures; own outcomes take precedence."""
        if not self.failures and now - self.last_success_at > SUSPICION_SECONDS:
            self.avoid_until = max(self.avoid_until, now + SUSPICION_SECONDS)

    def record_attempt(self, now: float) -> None:
        """Record that a request is about to be sent to this upstream.

        If the upstream failed before, this request serves as a probe: other requests
        avoid the upstream until the probe is answered, or for :data:`PROBE_SECONDS`, so
        that a dead upstream delays one request at a time.
        """
        if self.failures:
            self.avoid_until = max(self.avoid_until, now + PROBE_SECONDS)

    def avoided(self, now: float) -> bool:
        """Return whether other upstreams are preferred at the moment."""
        return now < self.avoid_until


class HealthTable:
    """Holds the health of every upstream by incarnation."""

    __slots__ = ("peer_outcomes", "_by_incarnation")

    def __init__(self) -> None:
        """Initialize an empty table."""
        self._by_incarnation: dict[tuple[str, int], Health] = {}
        self.peer_outcomes = PeerOutcomes()

    def of(self, incarnation: tuple[str, int]) -> Health:
        """Return the health of an incarnation, creating it on first use."""
        health = self._by_incarnation.get(incarnation)
        if health is None:
            health = self._by_incarnation[incarnation] = Health()
        return health

    def failure_rate(self, incarnation: tuple[str, int], now: float) -> float:
        """Return the fraction of requests that fails at an incarnation.

        This is the larger of the rate that this instance saw and the one that the
        instances of the zone saw together in the last seconds.
        """
        health = self.of(incarnation)
        peers = self.peer_outcomes.counts(incarnation, now)
        if not peers[1]:
            return health.failure_rate
        own = health.recent.counts(now)
        return max(health.failure_rate, expected_failure_rate(own, peers))

    def outcome_counts(self, now: float) -> list[OutcomeCount]:
        """Return the own counts of the upstreams at which any instance saw failures."""
        counts = []
        failing = set(self.peer_outcomes.failing(now))
        for incarnation, health in self._by_incarnation.items():
            if health.failure_rate < MIN_FAILURE_RATE and incarnation not in failing:
                continue
            outcomes, failures = health.recent.counts(now)
            if failures or (outcomes and incarnation in failing):
                counts.append(OutcomeCount(*incarnation, outcomes, failures))
        counts.sort(key=lambda item: (-item.failures, -item.outcomes))
        return counts[:MAX_COUNTS_PER_MESSAGE]

    def failing(self, now: float) -> list[tuple[str, int]]:
        """Return the incarnations in backoff after failures seen by this instance."""
        return [
            incarnation
            for incarnation, health in self._by_incarnation.items()
            if health.failures and health.avoided(now)
        ]

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Remove all other incarnations."""
        for incarnation in self._by_incarnation.keys() - incarnations:
            del self._by_incarnation[incarnation]
