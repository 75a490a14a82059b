"""Upstreams that asked this instance to pause sending requests to them.

Handles services whose upstreams reject requests one after the other under load. A pause
is not a failure and does not change an upstream's health. Requests that wait for its
end resume one by one instead of all at once.
"""

from collections.abc import Iterable

# Longer requested pauses are cut to this, so that a nonsensical figure does not exclude
# an upstream permanently. It exceeds the time that replacing any upstream takes.
MAX_PAUSE_SECONDS = 300.0
# Interval at which requests that waited for the end of a pause resume.
RESUME_INTERVAL_SECONDS = 0.02

Incarnation = tuple[str, int]


class PauseTable:
    """Records until when each incarnation of an upstream is paused."""

    __slots__ = ("_until_by_incarnation",)

    def __init__(self) -> None:
        """Initialize an empty table."""
        self._until_by_incarnation: dict[Incarnation, float] = {}

    def pause(self, incarnation: Incarnation, seconds: float, now: float) -> float:
        """Record a pause requested by an upstream; the latest end applies.

        :returns: the end of the pause in steady clock time.
        """
        end = now + min(MAX_PAUSE_SECONDS, max(0.0, seconds))
        end = max(end, self._until_by_incarnation.get(incarnation, end))
        self._until_by_incarnation[incarnation] = end
        return end

    def paused(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether an upstream is paused now."""
        until = self._until_by_incarnation.get(incarnation)
        return until is not None and now < until

    def first_end(
        self, incarnations: Iterable[Incarnation], now: float
    ) -> float | None:
        """Return when the first pause of the given upstreams ends.

        :returns: steady clock time; ``None`` if none of the upstreams is paused.
        """
        ends = [
            self._until_by_incarnation[item]
            for item in incarnations
            if self.paused(item, now)
        ]
        return min(ends, default=None)

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Remove the pauses of all other incarnations."""
        for incarnation in self._until_by_incarnation.keys() - incarnations:
            del self._until_by_incarnation[incarnation]

    def __len__(self) -> int:
        """Return the number of incarnations with a recorded pause."""
        return len(self._until_by_incarnation)
