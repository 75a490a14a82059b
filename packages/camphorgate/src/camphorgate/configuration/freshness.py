"""Whether the configuration in force may still decide about keys.

An instance is fresh under rule (a) if a KV read that began less than 3 s ago confirmed
its version, and under rule (b) if a majority of the listed instances was heard within
3 s and none of them knew a newer version. An acceptance is reported only when a
majority knows the version, so any later majority contains an instance that knows it.
"""

import math

# A gap between two ticks of the process that is longer than this is a pause.
PAUSE_SECONDS = 2.0

# Versions whose last read is kept; changes arrive seconds apart, reads last 3 s.
_KEPT_READS = 8


class Freshness:
    """Evidence of one instance that its version is the newest accepted one."""

    __slots__ = ("bound_seconds", "_read_at_by_version")

    def __init__(self, bound_seconds: float) -> None:
        """Start without evidence.

        :param bound_seconds: age up to which evidence counts.
        """
        self.bound_seconds = bound_seconds
        self._read_at_by_version: dict[int, float] = {}

    def confirm(self, version: int, begun_at: float, highest_known: int) -> bool:
        """Take in a KV read of the root, own or relayed.

        :param version: the version that was read.
        :param begun_at: the read began no earlier than this, on the own monotonic
            clock. For a relayed read: when the own question left, plus the time the
            peer held it, minus the age that the peer states.
        :param highest_known: a read below it is behind and confirms nothing.
        :returns: whether it is news.
        """
        known = self._read_at_by_version.get(version, -math.inf)
        if version < highest_known or begun_at <= known:
            return False
        self._read_at_by_version[version] = begun_at
        while len(self._read_at_by_version) > _KEPT_READS:
            del self._read_at_by_version[min(self._read_at_by_version)]
        return True

    def newest_read(self) -> tuple[int, float]:
        """Return the highest version that was read and when that read began."""
        if not self._read_at_by_version:
            return 0, -math.inf
        version = max(self._read_at_by_version)
        return version, self._read_at_by_version[version]

    def forget(self) -> None:
        """Drop all evidence, as after a pause."""
        self._read_at_by_version.clear()

    def by_kv(self, version: int, now: float) -> bool:
        """Tell whether rule (a) holds for a version.

        A read that returned this version or an older one counts even if a newer version
        is known by now: the newer one was accepted after that read began.
        """
        return any(
            read <= version and now - begun_at < self.bound_seconds
            for read, begun_at in self._read_at_by_version.items()
        )

    def by_majority(
        self, version: int, highest_known: int, confirmed: int, listed: int
    ) -> bool:
        """Tell whether rule (b) holds for a version.

        :param highest_known: highest version that this instance ever heard of. What a
            peer knew comes with the evidence, so this covers "none knew a newer one".
        :param confirmed: instances that are evidence younger than the bound.
        :param listed: number of listed instances.
        """
        return version >= highest_known and confirmed * 2 > listed


class PauseDetector:
    """Notices that the process or its machine stood still.

    The wall clock is compared as well, since a virtual machine may stop both clocks and
    set only the wall clock right afterwards.
    """

    __slots__ = ("limit_seconds", "_monotonic", "_wall")

    def __init__(self, monotonic: float, wall: float) -> None:
        """Start at the current readings, in seconds."""
        self.limit_seconds = PAUSE_SECONDS
        self._monotonic = monotonic
        self._wall = wall

    def tick(self, monotonic: float, wall: float) -> bool:
        """Take readings.

        :returns: whether a pause ended between this tick and the previous one.
        """
        passed = monotonic - self._monotonic
        jumped = (wall - self._wall) - passed
        self._monotonic = monotonic
        self._wall = wall
        return passed > self.limit_seconds or jumped > self.limit_seconds
