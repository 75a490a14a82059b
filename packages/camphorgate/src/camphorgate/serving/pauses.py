"""Upstreams that asked this instance to send them nothing for some time.

Answers the load of a service whose upstreams turn requests away in turn: a pause is no
failure, so it leaves an upstream's health as it is, and what waits for its end goes on
one after the other rather than all at once.
"""

from collections.abc import Iterable

# An upstream that asks for more is taken to ask for this much. It is longer than any
# upstream takes to be replaced, so that a nonsensical figure loses none for good.
LONGEST_PAUSE_SECONDS = 300.0
# Requests that wait for the end of a pause go on this far apart.
RESUME_SECONDS = 0.02

Incarnation = tuple[str, int]


class PauseBook:
    """Until when each start of an upstream wants nothing from this instance."""

    __slots__ = ("_until_by_incarnation",)

    def __init__(self) -> None:
        """Start without pauses."""
        self._until_by_incarnation: dict[Incarnation, float] = {}

    def pause(self, incarnation: Incarnation, seconds: float, now: float) -> float:
        """Take the wish of an upstream; of two, the later end counts.

        :returns: the end of the pause by the steady clock.
        """
        end = now + min(LONGEST_PAUSE_SECONDS, max(0.0, seconds))
        end = max(end, self._until_by_incarnation.get(incarnation, end))
        self._until_by_incarnation[incarnation] = end
        return end

    def paused(self, incarnation: Incarnation, now: float) -> bool:
        """Tell whether an upstream wants nothing at the moment."""
        until = self._until_by_incarnation.get(incarnation)
        return until is not None and now < until

    def first_end(
        self, incarnations: Iterable[Incarnation], now: float
    ) -> float | None:
        """Return when the first of some pauses ends.

        :returns: by the steady clock, ``None`` if none of the upstreams is paused.
        """
        ends = [
            self._until_by_incarnation[item]
            for item in incarnations
            if self.paused(item, now)
        ]
        return min(ends, default=None)

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Forget all other starts."""
        for incarnation in self._until_by_incarnation.keys() - incarnations:
            del self._until_by_incarnation[incarnation]

    def __len__(self) -> int:
        """Return how many upstreams have asked for a pause."""
        return len(self._until_by_incarnation)
