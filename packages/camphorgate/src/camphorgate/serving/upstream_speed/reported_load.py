"""Requests at upstreams of plain services, from reports of these and of peers."""

import math
from collections.abc import Iterable

import msgspec

from camphorgate.serving.catalog import Upstream

Incarnation = tuple[str, int]

# A report loses its weight over this time. Peers report their requests at the same
# interval, and a request of a plain service takes less.
REPORT_SECONDS = 0.2


class _Report(msgspec.Struct, frozen=True):
    """Reported requests, and those of this instance among them at that time."""

    requests: int
    own_requests: float
    reported_at: float


class ReportedLoads:
    """The newest load that each upstream reported to this instance."""

    __slots__ = ("_by_incarnation",)

    def __init__(self) -> None:
        """Start without reports."""
        self._by_incarnation: dict[Incarnation, _Report] = {}

    def record(
        self, upstream: Upstream, requests: int, own_requests: float, now: float
    ) -> None:
        """Record a report.

        :param requests: requests that run or wait at the upstream.
        :param own_requests: requests of this instance in progress there.
        """
        report = _Report(requests, own_requests, now)
        self._by_incarnation[upstream.incarnation] = report

    def estimate(
        self, upstream: Upstream, own_requests: float, others: float, now: float
    ) -> tuple[float, float]:
        """Return the probable number of requests at an upstream.

        :param own_requests: requests of this instance in progress there.
        :param others: requests of other instances as their last messages tell.
        :returns: the number, and how many of these are known from such messages only.
        """
        report = self._by_incarnation.get(upstream.incarnation)
        if report is None:
            return own_requests + others, others
        weight = math.exp(-max(0.0, now - report.reported_at) / REPORT_SECONDS)
        since = own_requests - report.own_requests
        reported = max(own_requests, report.requests + since)
        told = own_requests + others
        return weight * reported + (1.0 - weight) * told, (1.0 - weight) * others

    def keep_only(self, incarnations: Iterable[Incarnation]) -> None:
        """Forget the reports of all other upstreams."""
        for incarnation in self._by_incarnation.keys() - set(incarnations):
            del self._by_incarnation[incarnation]
