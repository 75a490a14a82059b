"""The true time, where the time of day of single machines may jump by seconds."""

from statistics import median

# A vote of a peer counts this long.
PEER_SECONDS = 5.0
# Corrections are spread over several steps, so that no window is entered twice.
FOLLOW_SHARE = 0.5
# Differences below this are the ordinary slewing of a clock; larger ones are jumps.
SLEW_SECONDS = 0.25


class TrueTime:
    """Follows the steady clock and the median of the instances' votes.

    An instance's vote is its time of day at its start carried on by its steady clock,
    so that a jump while it runs does not change it. Only an instance that starts during
    a jump votes wrongly.
    """

    __slots__ = ("_offset", "_vote", "_votes_by_instance")

    def __init__(self, wall: float, steady: float) -> None:
        """Start from the own time of day.

        :param wall: seconds since 1970 by the own time of day.
        :param steady: seconds of the steady clock at the same moment.
        """
        self._offset = wall - steady
        self._vote = wall - steady
        self._votes_by_instance: dict[str, tuple[float, float]] = {}

    def vote(self, steady: float) -> float:
        """Return the own vote for the present time, seconds since 1970."""
        return steady + self._vote

    def hear(self, instance: str, vote: float, steady: float) -> None:
        """Take a peer's vote when its message arrived."""
        self._votes_by_instance[instance] = (vote - steady, steady)

    def follow(self, wall: float, steady: float) -> None:
        """Move towards the median of all votes; called several times a second.

        :param wall: the own time of day now.
        """
        if abs(wall - steady - self._vote) < SLEW_SECONDS:
            self._vote = wall - steady
        for instance, (_, heard_at) in list(self._votes_by_instance.items()):
            if steady - heard_at > PEER_SECONDS:
                del self._votes_by_instance[instance]
        offsets = [offset for offset, _ in self._votes_by_instance.values()]
        if len(offsets) < 2:
            # Two clocks cannot tell which of them is wrong.
            return
        target = median([*offsets, self._vote])
        self._offset += (target - self._offset) * FOLLOW_SHARE

    def now(self, steady: float) -> float:
        """Return seconds since 1970."""
        return steady + self._offset
