"""Which upstreams to avoid, from what requests to them met."""

# How long an upstream is avoided after its first failure in a row; doubles with each
# further one. A crashed upstream leaves the platform's list after three reports.
FIRST_SECONDS = 0.5
LONGEST_SECONDS = 4.0
# How long an upstream is left alone after its first refusal in a row; doubles too.
REFUSED_SECONDS = 0.3
LONGEST_REFUSED_SECONDS = 1.2
# How long the word of a peer counts; it repeats it while it avoids the upstream.
SUSPECTED_SECONDS = 0.4
# How long one request tries an upstream that failed, before others do.
TRYING_SECONDS = 0.4
# Weight of the newest outcome in the moving share of failures.
NEWEST_WEIGHT = 0.15


class Health:
    """What is known of one start of an upstream."""

    __slots__ = (
        "failures",
        "refusals",
        "avoid_until",
        "failing_share",
        "worked_at",
        "progressed_at",
    )

    def __init__(self) -> None:
        """Start without doubts."""
        self.failures = 0
        self.refusals = 0
        self.avoid_until = 0.0
        self.failing_share = 0.0
        self.worked_at = -SUSPECTED_SECONDS
        # When a stream from there last had an event.
        self.progressed_at = float("-inf")

    def succeeded(self, now: float) -> None:
        """Note a request that was answered."""
        self.worked_at = now
        self.failures = 0
        self.refusals = 0
        self.avoid_until = 0.0
        self.failing_share *= 1.0 - NEWEST_WEIGHT

    def failed(self, now: float) -> None:
        """Note a request that got no usable answer; the upstream is avoided."""
        self.failures += 1
        seconds = FIRST_SECONDS * 2 ** min(self.failures - 1, 5)
        self.avoid_until = now + min(LONGEST_SECONDS, seconds)
        self.answered_badly()

    def refused(self, now: float) -> None:
        """Note a refusal without running the request, as of a full upstream."""
        self.refusals += 1
        seconds = REFUSED_SECONDS * 2 ** min(self.refusals - 1, 5)
        self.avoid_until = now + min(LONGEST_REFUSED_SECONDS, seconds)

    def answered_badly(self) -> None:
        """Note an error that the upstream itself answered."""
        self.failing_share += (1.0 - self.failing_share) * NEWEST_WEIGHT

    def suspected(self, now: float) -> None:
        """Take the word of a peer that failed there; own experience goes first."""
        if not self.failures and now - self.worked_at > SUSPECTED_SECONDS:
            self.avoid_until = max(self.avoid_until, now + SUSPECTED_SECONDS)

    def trying(self, now: float) -> None:
        """Note a request to an upstream that failed before.

        Until it is answered, other requests stay away, so that a dead upstream costs
        one of them at a time.
        """
        if self.failures:
            self.avoid_until = max(self.avoid_until, now + TRYING_SECONDS)

    def avoided(self, now: float) -> bool:
        """Tell whether other upstreams go first."""
        return now < self.avoid_until


class HealthBook:
    """The health of every upstream by its start."""

    __slots__ = ("_by_incarnation",)

    def __init__(self) -> None:
        """Start without doubts."""
        self._by_incarnation: dict[tuple[str, int], Health] = {}

    def of(self, incarnation: tuple[str, int]) -> Health:
        """Return the health of one start of an upstream."""
        health = self._by_incarnation.get(incarnation)
        if health is None:
            health = self._by_incarnation[incarnation] = Health()
        return health

    def failing(self, now: float) -> list[tuple[str, int]]:
        """Return the starts of upstreams that failed for this instance just now."""
        return [
            incarnation
            for incarnation, health in self._by_incarnation.items()
            if health.failures and health.avoided(now)
        ]

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget all other starts."""
        for incarnation in self._by_incarnation.keys() - incarnations:
            del self._by_incarnation[incarnation]
