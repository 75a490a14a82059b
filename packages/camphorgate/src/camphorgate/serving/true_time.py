"""The true time, where the time of day of single machines may jump by seconds."""

from statistics import median

# An estimate of a peer counts this long.
PEER_SECONDS = 5.0
# Corrections are spread over this time, so that no window is entered twice.
FOLLOW_SHARE = 0.5


class TrueTime:
    """Follows the steady clock and the median of what the instances' clocks say."""

    __slots__ = ("_offset", "_raw_by_instance")

    def __init__(self, wall: float, steady: float) -> None:
        """Start from the own time of day.

        :param wall: seconds since 1970 by the own time of day.
        :param steady: seconds of the steady clock at the same moment.
        """
        self._offset = wall - steady
        self._raw_by_instance: dict[str, tuple[float, float]] = {}

    def hear(self, instance: str, wall: float, steady: float) -> None:
        """Take what a peer's time of day said when its message arrived."""
        self._raw_by_instance[instance] = (wall - steady, steady)

    def follow(self, wall: float, steady: float) -> None:
        """Move towards the median of all clocks; called several times a second.

        :param wall: the own time of day now.
        """
        for instance, (_, heard_at) in list(self._raw_by_instance.items()):
            if steady - heard_at > PEER_SECONDS:
                del self._raw_by_instance[instance]
        offsets = [offset for offset, _ in self._raw_by_instance.values()]
        if len(offsets) < 2:
            # Two clocks cannot tell which of them jumped.
            return
        target = median([*offsets, wall - steady])
        self._offset += (target - self._offset) * FOLLOW_SHARE

    def now(self, steady: float) -> float:
        """Return seconds since 1970."""
        return steady + self._offset
