"""Counts of requests started by each workspace per window of true time."""

from collections import Counter

# Counters are kept longer than any holder of the usage duty may request them.
RETENTION_SECONDS = 60.0


class UsageCounts:
    """Counts of all incarnations, merged from the instances' own counters.

    Counters of one incarnation only increase, so a merge keeps the larger value, which
    makes it idempotent and independent of the order.
    """

    __slots__ = (
        "window_seconds",
        "own_incarnation",
        "_counts_by_incarnation",
        "_reported_by_incarnation",
    )

    def __init__(self, window_seconds: float, own_incarnation: str) -> None:
        """Initialize empty counters.

        :param own_incarnation: unique name of this incarnation of the instance.
        """
        self.window_seconds = window_seconds
        self.own_incarnation = own_incarnation
        self._counts_by_incarnation: dict[str, dict[int, Counter[str]]] = {
            own_incarnation: {}
        }
        # Last report of each: its true time and its totals of the open windows.
        self._reported_by_incarnation: dict[str, tuple[float, dict[int, int]]] = {}

    def window_at(self, true_now: float) -> int:
        """Return the number of the window that contains a moment."""
        return int(true_now // self.window_seconds)

    def window_end(self, window: int) -> float:
        """Return the end of a window, seconds since 1970."""
        return (window + 1) * self.window_seconds

    def count(self, workspace: str, true_now: float) -> None:
        """Count a request that started to run at an upstream of this instance."""
        windows = self._counts_by_incarnation[self.own_incarnation]
        window = self.window_at(true_now)
        windows.setdefault(window, Counter())[workspace] += 1

    def own_open_counts(self, true_now: float) -> dict[int, dict[str, int]]:
        """Return the own counters of windows that may be open on any instance."""
        oldest = self.window_at(true_now) - 3
        windows = self._counts_by_incarnation[self.own_incarnation]
        return {
            window: dict(counts)
            for window, counts in windows.items()
            if window >= oldest
        }

    def own_totals(self, true_now: float) -> dict[int, int]:
        """Return this instance's number of requests in each window that may be open."""
        recent = self.own_open_counts(true_now)
        return {window: sum(counts.values()) for window, counts in recent.items()}

    def ended_incarnation_counts(
        self, live_incarnations: set[str], since: float
    ) -> list[tuple[str, dict[int, dict[str, int]]]]:
        """Return the counters of ended incarnations, which no longer send their own.

        An instance that starts later receives them only in this way.

        :param since: windows that ended before this true time are omitted.
        :returns: pairs of an incarnation and its counters by window.
        """
        oldest = self.window_at(since)
        found = []
        for incarnation, windows in self._counts_by_incarnation.items():
            if incarnation in live_incarnations:
                continue
            counts = {
                window: dict(counts)
                for window, counts in windows.items()
                if window >= oldest and counts
            }
            if counts:
                found.append((incarnation, counts))
        return found

    def merge(self, incarnation: str, window: int, counts: dict[str, int]) -> None:
        """Merge a part of a peer's counters of one window."""
        merged = self._counts_by_incarnation.setdefault(incarnation, {}).setdefault(
            window, Counter()
        )
        for workspace, count in counts.items():
            merged[workspace] = max(merged[workspace], count)

    def receive_totals(
        self, incarnation: str, told_at: float, totals: dict[int, int]
    ) -> None:
        """Record the totals of a peer, which reveal missing parts of its counters.

        :param told_at: the true time at which the peer made the message.
        """
        known = self._reported_by_incarnation.get(incarnation)
        if known is None or told_at > known[0]:
            self._reported_by_incarnation[incarnation] = (told_at, totals)

    def is_complete(self, window: int, live_incarnations: set[str]) -> bool:
        """Return whether all counters of every live incarnation have arrived.

        An incarnation's counters are final once it has reported after the window's end.
        """
        return all(
            self._is_complete_for(incarnation, window)
            for incarnation in live_incarnations - {self.own_incarnation}
        )

    def _is_complete_for(self, incarnation: str, window: int) -> bool:
        told_at, totals = self._reported_by_incarnation.get(incarnation, (0.0, {}))
        if told_at <= self.window_end(window):
            return False
        arrived = self._counts_by_incarnation.get(incarnation, {}).get(
            window, Counter()
        )
        return arrived.total() >= totals.get(window, 0)

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of a window by workspace, summed over all incarnations."""
        total: Counter[str] = Counter()
        for windows in self._counts_by_incarnation.values():
            total.update(windows.get(window, {}))
        return dict(total)

    def forget_before(self, true_now: float) -> None:
        """Drop windows that are older than the retention time."""
        oldest = self.window_at(true_now - RETENTION_SECONDS)
        for incarnation, windows in list(self._counts_by_incarnation.items()):
            for window in [item for item in windows if item < oldest]:
                del windows[window]
            if not windows and incarnation != self.own_incarnation:
                del self._counts_by_incarnation[incarnation]
                self._reported_by_incarnation.pop(incarnation, None)
