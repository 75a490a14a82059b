"""Sending rate to upstreams that have just started or recovered.

Addresses 87 instances that send their first requests to a new upstream at the same
moment, which floods it, or that leave it idle for too long. A number of instances, the
share, may send to such an upstream. It starts at one, grows with each good response
and is halved by a refusal, a failure or a slow response, so that the rate is
found from how the upstream responds. Every instance derives from a hash of the names of
all instances whether it belongs to the share.
"""

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec
import xxhash

Incarnation = tuple[str, int]

# Instances that send to an upstream at first.
INITIAL_SHARE = 1.0
# Growth of the share with a good response, by one at least. Growing by one alone took
# 4 s to 20 of 87 instances in the simulation of the tests: instances grow their shares
# side by side, and the largest of them counts.
GOOD_GROWTH = 1.25
# An upstream is at full rate this long after it began, whatever it responds: then the
# ordinary choice by load and health applies, also in a service that is overloaded.
MAX_RAMP_SECONDS = 10.0
# A response that takes more than this multiple of the predicted time, plus the margin,
# shows an upstream with more work than it can do.
SLOW_FACTOR = 3.0
SLOW_MARGIN_MS = 30.0
# The share is halved at most once in this time, as responses to requests sent before
# the last halving tell nothing new.
MIN_HALVING_SECONDS = 0.3
# Without a halving for this long, the share grows by half in addition: the instances
# that belong to it may have no requests, may be dead, or may not be heard.
UNDISTURBED_SECONDS = 0.5
UNDISTURBED_GROWTH = 1.5
# An upstream that was in full use starts again from one instance after this many
# consecutive failures at one instance within this time.
RESTART_FAILURES = 2
RESTART_SECONDS = 5.0
# A halving brings the share down to this at most.
MIN_SHARE = 1.0
# The rank of this instance is computed again after this time.
RANK_SECONDS = 1.0
# Bound on the entries of a message; an entry has about 25 bytes.
MAX_NEWS = 6
# A share is sent for this long after its last change.
NEWS_SECONDS = 1.5
MAX_SHARE = 100_000


class PaceNews(msgspec.Struct, array_like=True, frozen=True):
    """Share of instances that may send to an upstream, as a peer knows it.

    ``decreases`` counts how often the share was reduced; the entry with more of them is
    newer, and of two with the same number the one with the larger ``share``.
    """

    id: str
    started_at: int
    decreases: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    share: Annotated[int, msgspec.Meta(ge=1, le=MAX_SHARE)]


class _Pace:
    """Share of one incarnation."""

    __slots__ = (
        "share",
        "decreases",
        "began_at",
        "changed_at",
        "grown_at",
        "halved_at",
        "rank",
        "ranked_at",
    )

    def __init__(self, share: float, decreases: int, now: float) -> None:
        self.share = share
        self.decreases = decreases
        self.began_at = self.changed_at = self.grown_at = now
        self.halved_at = float("-inf")
        self.rank = 0
        self.ranked_at = float("-inf")

    def grow_undisturbed(self, now: float) -> None:
        """Grow for the time without a halving."""
        while now - self.grown_at >= UNDISTURBED_SECONDS and self.share < MAX_SHARE:
            self.grow(UNDISTURBED_GROWTH)
            self.grown_at += UNDISTURBED_SECONDS
            self.changed_at = self.grown_at

    def grow(self, factor: float) -> None:
        """Grow by a factor, and by one at least."""
        self.share = min(MAX_SHARE, max(self.share + 1.0, self.share * factor))

    def replace(self, share: float, now: float) -> None:
        """Set a share that was reduced."""
        self.share = share
        self.changed_at = self.grown_at = now


class PaceTable:
    """Shares of the upstreams that are not at full rate yet."""

    __slots__ = (
        "_instance",
        "_instances",
        "_paces",
        "_ramping",
        "_failed_at",
        "halvings",
        "starts",
    )

    def __init__(self, instance: str, instances: Callable[[], Iterable[str]]) -> None:
        """Start with all upstreams at full rate.

        :param instance: name of this instance.
        :param instances: returns the names of all instances.
        """
        self._instance = instance
        self._instances = instances
        # Including those at full rate again, so that late messages are recognized.
        self._paces: dict[Incarnation, _Pace] = {}
        self._ramping: dict[Incarnation, _Pace] = {}
        # When the last attempt failed, by incarnation.
        self._failed_at: dict[Incarnation, float] = {}
        self.halvings = 0
        self.starts = 0

    def __len__(self) -> int:
        """Return the number of upstreams that are not at full rate."""
        return len(self._ramping)

    def mark_started(self, incarnation: Incarnation, now: float) -> None:
        """Begin with one instance; nothing changes if the upstream is known."""
        if incarnation not in self._paces:
            self._begin(incarnation, INITIAL_SHARE, 0, now)

    def record_good(self, incarnation: Incarnation, now: float) -> None:
        """Record a response in the usual time."""
        pace = self._ramping.get(incarnation)
        if pace is not None:
            pace.grow_undisturbed(now)
            pace.grow(GOOD_GROWTH)
            pace.changed_at = now

    def record_bad(self, incarnation: Incarnation, now: float) -> None:
        """Record a refusal, a failure or a slow response."""
        pace = self._ramping.get(incarnation)
        if pace is None or now - pace.halved_at < MIN_HALVING_SECONDS:
            return
        pace.grow_undisturbed(now)
        pace.replace(max(MIN_SHARE, pace.share / 2), now)
        pace.decreases += 1
        pace.halved_at = now
        self.halvings += 1

    def record_failures(
        self, incarnation: Incarnation, failures: int, now: float
    ) -> None:
        """Record a failure.

        :param failures: consecutive failures at this instance, including this one.
        """
        recent = now - self._failed_at.get(incarnation, now) <= RESTART_SECONDS
        self._failed_at[incarnation] = now
        if incarnation in self._ramping:
            self.record_bad(incarnation, now)
        elif recent and failures >= RESTART_FAILURES:
            known = self._paces.get(incarnation)
            decreases = 1 if known is None else known.decreases + 1
            self._begin(incarnation, INITIAL_SHARE, decreases, now)

    def record_duration(
        self, incarnation: Incarnation, ms: float, predicted_ms: float, now: float
    ) -> None:
        """Record a response and its predicted time, both with the wait."""
        if ms > predicted_ms * SLOW_FACTOR + SLOW_MARGIN_MS:
            self.record_bad(incarnation, now)
        else:
            self.record_good(incarnation, now)

    def includes(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether this instance may send to an upstream."""
        pace = self._ramping.get(incarnation)
        if pace is None:
            return True
        pace.grow_undisturbed(now)
        if now - pace.ranked_at >= RANK_SECONDS:
            pace.ranked_at = now
            names = set(self._instances()) | {self._instance}
            pace.rank = rank(self._instance, names, incarnation)
            if pace.share >= len(names) or now - pace.began_at > MAX_RAMP_SECONDS:
                del self._ramping[incarnation]
                return True
        return pace.rank < pace.share

    def news(self, now: float) -> list[PaceNews]:
        """Return the shares that have changed lately, the newest first."""
        found = [
            (pace.changed_at, incarnation, pace)
            for incarnation, pace in self._ramping.items()
            if now - pace.changed_at < NEWS_SECONDS
        ]
        found.sort(key=lambda item: item[0], reverse=True)
        return [
            PaceNews(*incarnation, pace.decreases, int(pace.share))
            for _, incarnation, pace in found[:MAX_NEWS]
        ]

    def receive_news(self, item: PaceNews, now: float) -> None:
        """Adopt what a peer knows, if it is newer."""
        incarnation = item.id, item.started_at
        pace = self._paces.get(incarnation)
        if pace is None:
            self._begin(incarnation, float(item.share), item.decreases, now)
        elif item.decreases > pace.decreases:
            if incarnation not in self._ramping:
                self._ramping[incarnation] = pace
                pace.began_at = now
                pace.ranked_at = float("-inf")
            pace.replace(float(item.share), now)
            pace.decreases = item.decreases
        elif item.decreases == pace.decreases and item.share > pace.share:
            pace.share = float(item.share)
            pace.changed_at = now

    def keep_only(self, incarnations: Iterable[Incarnation]) -> None:
        """Forget all other upstreams."""
        incarnations = set(incarnations)
        for incarnation in self._failed_at.keys() - incarnations:
            del self._failed_at[incarnation]
        for incarnation in self._paces.keys() - incarnations:
            del self._paces[incarnation]
            self._ramping.pop(incarnation, None)

    def shares(self) -> dict[str, float]:
        """Return the share of each upstream that is not at full rate, by id."""
        return {
            upstream_id: pace.share for (upstream_id, _), pace in self._ramping.items()
        }

    def _begin(
        self, incarnation: Incarnation, share: float, decreases: int, now: float
    ) -> None:
        self.starts += 1
        pace = _Pace(share, decreases, now)
        self._paces[incarnation] = self._ramping[incarnation] = pace


def rank(instance: str, names: Iterable[str], incarnation: Incarnation) -> int:
    """Return the place of an instance in the order in which they begin to send.

    The order is the same on every instance and another one for each upstream.
    """

    def digest(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{name}/{incarnation}".encode())

    own = digest(instance)
    return sum(digest(name) < own for name in names)
