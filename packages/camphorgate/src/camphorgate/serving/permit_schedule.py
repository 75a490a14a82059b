"""Permits to send requests to an upstream within the limit that it names.

One instance at a time grants the permits of an upstream. A permit is for one request at
one point in time; the points are as far apart as the limit demands.
"""

# A permit is granted at most this far ahead: all requests that compete for the next one
# can wait so long, however short their target latency is.
MAX_AHEAD_SECONDS = 0.1
# Permits of this much time are kept while nobody asks, plus one.
BURST_SECONDS = 0.25
# Part of the time ahead that a request of the next less urgent rank may use.
RANK_FRACTION = 0.5
# Of the less urgent requests, this share may use all of it, so that urgent ones leave
# them some permits.
EQUAL_SHARE = 0.25
# Refused callers return within this time.
MAX_RETURN_SECONDS = 5.0


class PermitSchedule:
    """The permits of one upstream at the instance that grants them."""

    __slots__ = ("_free_at", "_return_at")

    def __init__(self, now: float, per_second: float) -> None:
        """Start without unused permits: another instance may have granted them."""
        self._free_at = now + 1.0 / per_second
        self._return_at = 0.0

    def wait_seconds(self, now: float, per_second: float) -> float:
        """Return the seconds until the next permit, 0 if there is one now."""
        self._bound(now, per_second)
        return max(0.0, self._free_at - now)

    def try_grant(
        self, now: float, per_second: float, max_wait_seconds: float
    ) -> float | None:
        """Grant the next permit.

        :param per_second: the limit in force, in requests per second.
        :param max_wait_seconds: how long the request can wait.
        :returns: the seconds until it may be used, ``None`` if that is too long.
        """
        wait = self.wait_seconds(now, per_second)
        if wait > min(max_wait_seconds, MAX_AHEAD_SECONDS):
            return None
        self._free_at += 1.0 / per_second
        return wait

    def return_seconds(self, now: float, per_second: float) -> float:
        """Return when a refused caller should return, a permit's time after the last.

        :returns: seconds, at most :data:`MAX_RETURN_SECONDS`.
        """
        first = now + self.wait_seconds(now, per_second)
        self._return_at = max(first, self._return_at + 1.0 / per_second)
        self._return_at = min(self._return_at, now + MAX_RETURN_SECONDS)
        return self._return_at - now

    def _bound(self, now: float, per_second: float) -> None:
        earliest = now - BURST_SECONDS
        # A limit that rises ends the long wait of the former one.
        latest = now + MAX_AHEAD_SECONDS + 1.0 / per_second
        self._free_at = min(latest, max(earliest, self._free_at))


def max_wait_seconds(rank: int, draw: float, seconds_left: float) -> float:
    """Return how long a request may wait for a permit.

    :param rank: priority; 0 is the most urgent.
    :param draw: random number of the request, from 0 to 1.
    :param seconds_left: until the request would miss its target latency.
    """
    fraction = 1.0 if draw < EQUAL_SHARE else RANK_FRACTION ** max(0, rank)
    return max(0.0, min(MAX_AHEAD_SECONDS * fraction, seconds_left))
