"""Chooses among upstreams some of which name a limit, for the requests of an instance.

A request that has begun, or for which engines have worked, waits for permits until its
deadline. Any other one asks for a few permits that it can wait for within its target
latency, and is refused if there are none.
"""

import asyncio
import random

from camphorgate.application import Application
from camphorgate.serving import permit_schedule
from camphorgate.serving.catalog import Phase, Upstream
from camphorgate.serving.health import HealthTable
from camphorgated.serving.front import RequestContext
from camphorgated.serving.permits import Permit

# Refusal reason if upstreams of a service name limits, and none has a permit in time.
LIMITED = "upstreams_limited"
# Longest wait for a permit if there are upstreams without a limit.
MAX_DETOUR_SECONDS = 0.02
# Permits that one request asks for before it is refused.
MAX_PERMIT_REQUESTS = 3
# Shortest pause before permits are looked for again.
MIN_PERMIT_POLL_SECONDS = 0.01


class LimitedUpstreams:
    """Permits and refusals of requests to services with limited upstreams."""

    __slots__ = ("_app", "_directory", "_limits", "_permits", "_health", "_random")

    def __init__(self, app: Application, health: HealthTable) -> None:
        """Use the limits and permits of this instance.

        :param health: health of the upstreams.
        """
        self._app = app
        self._directory = app.service("directory")
        self._limits = app.service("limits")
        self._permits = app.service("permits")
        self._health = health
        self._random = random.Random()

    def __bool__(self) -> bool:
        """Return whether any upstream named a limit lately."""
        return len(self._limits.table) > 0

    def choose_from(
        self, upstreams: list[Upstream], context: RequestContext, patient: bool
    ) -> list[Upstream]:
        """Return the upstreams that have a permit for a request in time.

        :param patient: whether the request waits for permits until its deadline.
        """
        longest = self.max_wait_seconds(context, patient)
        usable = [
            item
            for item in upstreams
            if not self.is_limited(item) or self._permits.wait_seconds(item) <= longest
        ]
        others = [item for item in usable if item.id not in context.refused_permits]
        return others if self.any_unlimited(others) else usable

    def is_limited(self, upstream: Upstream) -> bool:
        """Return whether a limit of an upstream is in force."""
        return self._limits.limit(upstream) is not None

    def any_unlimited(self, upstreams: list[Upstream]) -> bool:
        """Return whether some of the upstreams name no limit, and are not avoided."""
        now = self._app.clock.monotonic()
        return any(
            not self.is_limited(item)
            and not self._health.of(item.incarnation).avoided(now)
            for item in upstreams
        )

    def blocks(self, service: str) -> bool:
        """Return whether limits of its upstreams can keep a service from being used."""
        return bool(self) and bool(self._limited_answerers(service))

    def _limited_answerers(self, service: str) -> list[Upstream]:
        """Return the limited upstreams of a service that answer requests."""
        return [
            item
            for item in self._directory.service_upstreams(service)
            if item.phase is not Phase.PREFILL and self.is_limited(item)
        ]

    def max_wait_seconds(self, context: RequestContext, patient: bool) -> float:
        """Return how long a request may wait for a permit, in seconds.

        :returns: a negative number if it may ask for no further permit.
        """
        if patient:
            return permit_schedule.MAX_AHEAD_SECONDS
        if context.permit_requests >= MAX_PERMIT_REQUESTS:
            return -1.0
        target = context.request.read_at + context.route.target_seconds
        left = target - self._app.clock.monotonic()
        return permit_schedule.max_wait_seconds(context.rank, context.permit_draw, left)

    async def reserve(
        self,
        context: RequestContext,
        upstream: Upstream,
        others: list[Upstream],
        patient: bool,
    ) -> Permit | None:
        """Return a permit to send a request to an upstream with a limit.

        :param others: the upstreams that could be used instead.
        :param patient: whether the request waits for permits until its deadline.
        :returns: ``None`` if there is no permit in time, so that another upstream has
            to be chosen.
        """
        longest = self.max_wait_seconds(context, patient)
        if self.any_unlimited(others):
            longest = min(longest, MAX_DETOUR_SECONDS)
        began = self._app.clock.monotonic()
        permit = await self._permits.request(upstream, longest)
        context.permit_requests += 1
        context.refused_permits.discard(upstream.id)
        if permit is None:
            context.refused_permits.add(upstream.id)
            names = ",".join(sorted(context.refused_permits))
            context.decisions["without_permit"] = names
        waited = (self._app.clock.monotonic() - began) * 1000
        context.decisions.update(
            limit=self._limits.limit(upstream),
            permit_ms=context.decisions.get("permit_ms", 0.0) + waited,
        )
        return permit

    def _permit_seconds(self, service: str) -> float:
        """Return the seconds until a permit of a service can be asked for."""
        waits = map(self._permits.wait_seconds, self._limited_answerers(service))
        seconds = min(waits, default=0.0) - permit_schedule.MAX_AHEAD_SECONDS
        return max(MIN_PERMIT_POLL_SECONDS, seconds)

    async def wait_for_permit(self, context: RequestContext) -> bool:
        """Wait until a permit can be asked for.

        :returns: whether to choose again; false at once if that is after the deadline.
        """
        seconds = self._permit_seconds(context.service)
        if seconds > context.seconds_left(self._app.clock.monotonic()):
            return False
        waited = context.decisions.get("permit_ms", 0.0) + seconds * 1000
        context.decisions["permit_ms"] = waited
        await asyncio.sleep(seconds)
        return True

    def return_seconds(self, service: str) -> float:
        """Return when a caller should return that the limits leave no permit."""
        limited = self._limited_answerers(service)
        if not limited:
            return MIN_PERMIT_POLL_SECONDS
        first = min(map(self._permits.wait_seconds, limited))
        last = max(first, min(map(self._permits.return_seconds, limited)))
        turns = sum(self._limits.limit(item) for item in limited)
        return self._random.uniform(first, max(last, first + 1.0 / turns))
