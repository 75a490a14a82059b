"""Recent outcomes at upstreams, counted over the instances of a zone.

Handles an upstream that fails most of its requests while its health check passes. With
dozens of instances that each send it less than a request per second, one instance sees
a failure now and then, and each would have to fail several requests to learn of it. The
instances therefore exchange counts of the upstreams at which one of them saw a failure;
while none does, nothing is exchanged.
"""

from collections.abc import Iterable

import msgspec

Incarnation = tuple[str, int]

# Length of a bucket; counts cover the current one and the one before it.
BUCKET_SECONDS = 1.0
# Counts of a peer apply for this long. In a large zone, a peer is heard every 0.6 s.
MAX_COUNTS_AGE_SECONDS = 1.5
# Outcomes that are assumed to be good in addition to those counted, so that single
# failures of an upstream with few requests do not exclude it.
ASSUMED_GOOD_OUTCOMES = 4
# Maximum counts in a message, those with the most failures first; each has 25 bytes.
MAX_COUNTS_PER_MESSAGE = 8
# Bound on the outcomes of one count, far above what an instance sends in two seconds.
MAX_COUNT = 1_000_000


class OutcomeCount(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of the requests that one instance sent to an upstream lately."""

    id: str
    started_at: int
    outcomes: int
    failures: int

    @property
    def incarnation(self) -> Incarnation:
        """Return the key of the upstream's incarnation."""
        return self.id, self.started_at

    def is_valid(self) -> bool:
        """Return whether the numbers are possible."""
        return 0 <= self.failures <= self.outcomes <= MAX_COUNT


class RecentOutcomes:
    """Own outcomes at one incarnation in the last one to two seconds."""

    __slots__ = ("_bucket", "_current", "_previous")

    def __init__(self) -> None:
        """Initialize without outcomes."""
        self._bucket = 0
        # Pairs of outcomes and failures.
        self._current = (0, 0)
        self._previous = (0, 0)

    def record(self, failed: bool, now: float) -> None:
        """Record an outcome."""
        self._advance(now)
        outcomes, failures = self._current
        self._current = outcomes + 1, failures + failed

    def counts(self, now: float) -> tuple[int, int]:
        """Return the number of outcomes and of failures among them."""
        self._advance(now)
        return (
            self._current[0] + self._previous[0],
            self._current[1] + self._previous[1],
        )

    def _advance(self, now: float) -> None:
        bucket = int(now / BUCKET_SECONDS)
        if bucket == self._bucket:
            return
        follows = bucket == self._bucket + 1
        self._previous = self._current if follows else (0, 0)
        self._current = (0, 0)
        self._bucket = bucket


class PeerOutcomes:
    """Counts that peers reported, summed by incarnation."""

    __slots__ = ("_counts_by_source", "_sums")

    def __init__(self) -> None:
        """Initialize without reports."""
        # Ordered by the time of the last report, oldest first.
        self._counts_by_source: dict[str, tuple[float, list[OutcomeCount]]] = {}
        self._sums: dict[Incarnation, tuple[int, int]] = {}

    def receive(self, source: str, counts: list[OutcomeCount], now: float) -> None:
        """Replace the counts of a peer by those that it reports now."""
        self._forget(source)
        valid = [item for item in counts if item.is_valid()]
        if not valid:
            return
        self._counts_by_source[source] = (now, valid)
        for item in valid:
            self._add(item.incarnation, item.outcomes, item.failures)

    def counts(self, incarnation: Incarnation, now: float) -> tuple[int, int]:
        """Return the outcomes at an incarnation and the failures among them."""
        self._expire(now)
        return self._sums.get(incarnation, (0, 0))

    def failing(self, now: float) -> Iterable[Incarnation]:
        """Return the incarnations at which peers saw failures."""
        self._expire(now)
        return [key for key, (_, failures) in self._sums.items() if failures]

    def _expire(self, now: float) -> None:
        while self._counts_by_source:
            source = next(iter(self._counts_by_source))
            if now - self._counts_by_source[source][0] < MAX_COUNTS_AGE_SECONDS:
                return
            self._forget(source)

    def _forget(self, source: str) -> None:
        _, counts = self._counts_by_source.pop(source, (0.0, []))
        for item in counts:
            self._add(item.incarnation, -item.outcomes, -item.failures)

    def _add(self, incarnation: Incarnation, outcomes: int, failures: int) -> None:
        known = self._sums.get(incarnation, (0, 0))
        total = known[0] + outcomes, known[1] + failures
        if total[0]:
            self._sums[incarnation] = total
        else:
            self._sums.pop(incarnation, None)


def expected_failure_rate(own: tuple[int, int], peers: tuple[int, int]) -> float:
    """Return the fraction of requests that is expected to fail.

    :param own: own outcomes and failures among them.
    :param peers: the same of all peers.
    """
    outcomes = own[0] + peers[0]
    return (own[1] + peers[1]) / (outcomes + ASSUMED_GOOD_OUTCOMES)
