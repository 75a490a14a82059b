"""Freshness: whether the configuration in force may still be used to check keys.

An instance is fresh under rule (a) if a KV read that began less than 3 s ago confirmed
its version. It is fresh under rule (b) if there is evidence less than 3 s old of a
majority of the listed instances and none of them knew a newer version. A version is
reported as accepted only when a majority knows it, so every later majority contains an
instance that knows it.
"""

import math

# A gap between two ticks of the process counts as a pause if it is longer than this.
MIN_PAUSE_SECONDS = 2.0

# Number of versions whose latest read is kept. Changes arrive seconds apart, and a
# read counts for 3 s.
_MAX_READS = 8


class Freshness:
    """The evidence of one instance that its version is the newest accepted one."""

    __slots__ = ("bound_seconds", "_read_at_by_version")

    def __init__(self, bound_seconds: float) -> None:
        """Start without evidence.

        :param bound_seconds: evidence counts while it is younger than this.
        """
        self.bound_seconds = bound_seconds
        self._read_at_by_version: dict[int, float] = {}

    def record_read(self, version: int, begun_at: float, highest_known: int) -> bool:
        """Record a KV read of the root, by this instance or forwarded by a peer.

        :param version: the version that was read.
        :param begun_at: a lower bound of the time at which the read began, on the local
            monotonic clock. For a forwarded read: the time at which the request to the
            peer was sent, plus the time that the peer held it, minus the age of the
            read that the peer states.
        :param highest_known: the highest known version; a read of an older one is
            outdated and ignored.
        :returns: whether this is new evidence.
        """
        known = self._read_at_by_version.get(version, -math.inf)
        if version < highest_known or begun_at <= known:
            return False
        self._read_at_by_version[version] = begun_at
        while len(self._read_at_by_version) > _MAX_READS:
            del self._read_at_by_version[min(self._read_at_by_version)]
        return True

    def newest_read(self) -> tuple[int, float]:
        """Return the highest version that was read, and the time its read began."""
        if not self._read_at_by_version:
            return 0, -math.inf
        version = max(self._read_at_by_version)
        return version, self._read_at_by_version[version]

    def clear(self) -> None:
        """Drop all evidence, for example after a pause of this process."""
        self._read_at_by_version.clear()

    def is_fresh_by_kv(self, version: int, now: float) -> bool:
        """Return whether rule (a) holds for a version.

        A read that returned this version or an older one counts even if a newer version
        has become known since: the newer one was accepted after the read began.
        """
        return any(
            read <= version and now - begun_at < self.bound_seconds
            for read, begun_at in self._read_at_by_version.items()
        )

    def is_fresh_by_majority(
        self, version: int, highest_known: int, confirmed: int, listed: int
    ) -> bool:
        """Return whether rule (b) holds for a version.

        :param highest_known: the highest version that this instance knows.
            Evidence of a peer includes the highest version that the peer knew, so this
            also covers the condition that no peer knew a newer version.
        :param confirmed: number of confirmed instances whose evidence is younger than
            the bound.
        :param listed: number of listed instances.
        """
        return version >= highest_known and confirmed * 2 > listed


class PauseDetector:
    """Detects that the process or its machine was paused.

    The wall clock is checked as well, because a paused virtual machine may stop both
    clocks and afterwards correct only the wall clock.
    """

    __slots__ = ("min_pause_seconds", "_monotonic", "_wall")

    def __init__(self, monotonic: float, wall: float) -> None:
        """Start with the current readings of both clocks, in seconds."""
        self.min_pause_seconds = MIN_PAUSE_SECONDS
        self._monotonic = monotonic
        self._wall = wall

    def tick(self, monotonic: float, wall: float) -> bool:
        """Compare the current readings with the previous ones.

        :returns: whether a pause ended since the previous tick.
        """
        elapsed = monotonic - self._monotonic
        jumped = (wall - self._wall) - elapsed
        self._monotonic = monotonic
        self._wall = wall
        return elapsed > self.min_pause_seconds or jumped > self.min_pause_seconds
