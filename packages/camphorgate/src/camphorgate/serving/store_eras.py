"""Eras of a store that may come back from an older copy.

Load addressed: a drill in which the store is away for a moment and comes back from a
copy some seconds old. What was written since is lost, and revisions are issued again,
so every revision contains the era in which the store stated it.
"""

REVISION_BITS = 40
# Beyond the lease of a former holder; covers the time in which its last calls arrive.
HANDOVER_MARGIN_SECONDS = 0.5


def is_newer_era(revision: int, other: int) -> bool:
    """Return whether a revision is of a newer era than another one."""
    return revision >> REVISION_BITS > other >> REVISION_BITS


class Restores:
    """When the store came back from an older copy, as far as this instance knows.

    Every time is of a steady clock, in seconds.
    """

    __slots__ = ("count", "_known_at")

    def __init__(self) -> None:
        """Start without any."""
        self.count = 0
        self._known_at = float("-inf")

    def record(self, now: float) -> None:
        """Record that the store is of a newer era than known, or than the first."""
        self.count += 1
        self._known_at = now

    def may_take_duty(self, lease_seconds: float, now: float) -> bool:
        """Return whether no holder of an older era can still believe in its lease.

        Within an era, a duty key disappears only when its holder has stopped. The last
        renewal of an older era was sent before this instance knew of the newer one.
        """
        return now - self._known_at >= lease_seconds + HANDOVER_MARGIN_SECONDS

    def seconds_since(self, now: float) -> float:
        """Return the time since the last restore was known."""
        return now - self._known_at
