"""A fleet-wide clock that tolerates wall clock jumps of seconds on single machines."""

from statistics import median

# Votes of peers expire after this time.
MAX_VOTE_AGE_SECONDS = 5.0
# Fraction of the remaining difference that one step corrects. Corrections are spread
# over several steps so that no usage window is entered twice.
CORRECTION_FRACTION = 0.5
# Smaller differences are ordinary clock slewing; larger ones are jumps.
MAX_SLEW_SECONDS = 0.25


class SynchronizedClock:
    """Combines the steady clock with the median of the instances' votes.

    An instance's vote is its wall clock time at startup, advanced by its steady clock,
    so that a jump while it runs does not change the vote. Only an instance that starts
    during a jump has a wrong vote.
    """

    __slots__ = ("_offset", "_vote", "_votes_by_instance")

    def __init__(self, wall: float, steady: float) -> None:
        """Initialize the clock from this instance's wall clock.

        :param wall: wall clock time in seconds since 1970.
        :param steady: steady clock time in seconds at the same moment.
        """
        self._offset = wall - steady
        self._vote = wall - steady
        self._votes_by_instance: dict[str, tuple[float, float]] = {}

    def vote(self, steady: float) -> float:
        """Return this instance's vote for the current time, in seconds since 1970."""
        return steady + self._vote

    def receive_vote(self, instance: str, vote: float, steady: float) -> None:
        """Record the vote of a peer on arrival of its message."""
        self._votes_by_instance[instance] = (vote - steady, steady)

    def adjust(self, wall: float, steady: float) -> None:
        """Move towards the median of all votes; called several times per second.

        :param wall: current wall clock time of this instance.
        """
        if abs(wall - steady - self._vote) < MAX_SLEW_SECONDS:
            self._vote = wall - steady
        for instance, (_, received_at) in list(self._votes_by_instance.items()):
            if steady - received_at > MAX_VOTE_AGE_SECONDS:
                del self._votes_by_instance[instance]
        offsets = [offset for offset, _ in self._votes_by_instance.values()]
        if len(offsets) < 2:
            # With two clocks there is no majority to tell which one is wrong.
            return
        target = median([*offsets, self._vote])
        self._offset += (target - self._offset) * CORRECTION_FRACTION

    def now(self, steady: float) -> float:
        """Return the corrected time in seconds since 1970."""
        return steady + self._offset
