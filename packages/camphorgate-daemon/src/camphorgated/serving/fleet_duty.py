"""Orders capacity and engine phases while this instance holds the duty."""

import asyncio
from collections.abc import Iterable

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Phase, Service, Upstream
from camphorgate.serving.fleet_plan import (
    CHEAP_UNAVAILABLE_SECONDS,
    DECODE_FRACTION,
    ORDER_RETRY_SECONDS,
    STABLE_LIST_SECONDS,
    CapacityOrder,
    PhaseOrder,
    ordinary_zones,
    plan_capacity,
    plan_phases,
)
from camphorgate.serving.fleet_size import FleetSize
from camphorgate.serving.permit_schedule import MAX_AHEAD_SECONDS
from camphorgated.serving.errors import CallFailed

TICK_SECONDS = 0.25
# An order is not repeated before its effect can be observed.
PHASE_RETRY_SECONDS = 6.0
# Peers are notified this long before a change of phase is ordered, so that they stop
# sending requests to the engine.
PHASE_NOTICE_SECONDS = 0.45
# At most this share of a service's engines change their phase at the same time.
MAX_CHANGING_SHARE = 0.5


class FleetDuty:
    """Compares the fleet with its plan and sends orders for the difference."""

    __slots__ = (
        "_app",
        "_platform",
        "_members",
        "_directory",
        "_ordered_by_subject",
        "_retry_at_by_subject",
        "_changing_by_incarnation",
        "_refused_at_by_zone",
        "_ordered_incarnations",
        "_engines_by_service",
        "_zones_by_service",
        "_gossip",
        "_size_by_service",
    )

    def __init__(self, app: Application) -> None:
        """Start with nothing ordered."""
        self._app = app
        self._platform = app.service("dialect")
        self._members = app.service("members")
        self._directory = app.service("directory")
        self._ordered_by_subject: dict[tuple, CapacityOrder] = {}
        self._retry_at_by_subject: dict[tuple, float] = {}
        self._changing_by_incarnation: dict[tuple, float] = {}
        self._refused_at_by_zone: dict[tuple[str, str], float] = {}
        self._ordered_incarnations: set[tuple] = set()
        self._engines_by_service: dict[str, tuple[set, float]] = {}
        self._zones_by_service: dict[str, set[str]] = {}
        self._gossip = app.service("gossip")
        self._size_by_service: dict[str, FleetSize] = {}

    def forget(self) -> None:
        """Forget all orders, as those of a previous holder are unknown."""
        self._ordered_by_subject.clear()
        self._retry_at_by_subject.clear()
        self._changing_by_incarnation.clear()
        self._ordered_incarnations.clear()

    async def run(self) -> None:
        """Send orders for as long as the process runs."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            catalog = self._directory.catalog
            if catalog is None:
                continue
            self._record_loads(catalog.services_by_name.values())
            for service in catalog.services_by_name.values():
                if not self._members.holds_duty():
                    self._gossip.broadcast_phase_changes(set())
                    break
                await self.order_capacity(service)
                await self._order_phases(service)

    def record_zones(self) -> None:
        """Record the zones of services, to keep them when all upstreams are lost."""
        for upstream in self._directory.table.by_id.values():
            zones = self._zones_by_service.setdefault(upstream.service, set())
            zones.add(upstream.zone)

    async def order_capacity(self, service: Service) -> None:
        """Order what differs from the plan of a service."""
        table = self._directory.table.by_id.values()
        upstreams = [item for item in table if item.service == service.name]
        now = self._app.clock.monotonic()
        zones = self._zones_by_service.get(service.name, set())
        cheap_unavailable_zones = self._cheap_unavailable_zones(service, now)
        for order in plan_capacity(
            service,
            upstreams,
            zones,
            cheap_unavailable_zones,
            self._engines_per_zone(service, len(zones)),
        ):
            subject = (order.service, order.zone, order.cheap)
            given = self._ordered_by_subject.get(subject)
            if given == order and not self._deviates(order, upstreams, subject, now):
                continue
            # A new count does not wait for the effect of the accepted order.
            accepted = given is not None and given != order
            if not accepted and now < self._retry_at_by_subject.get(subject, 0.0):
                continue
            await self._send_capacity_order(order, subject)

    def _record_loads(self, services: Iterable[Service]) -> None:
        """Record how many engines of each service prefill at the moment.

        All watchers do so, as the next holder of the duty is one of them and has to
        know the recent load.
        """
        watching = self._directory.watches.watching
        if not self._app.settings.fleet.size_by_load or not watching:
            return
        now = self._app.clock.monotonic()
        loads = self._gossip.loads
        for service in services:
            if service.engine is None or service.scaling is None:
                continue
            size = self._size_by_service.setdefault(service.name, FleetSize())
            busy = sum(
                loads.total(item.id, now).prefill_tokens > 0
                for item in self._directory.service_upstreams(service.name)
                if item.phase is Phase.PREFILL
            )
            size.record_busy_engines(busy, now)

    def _engines_per_zone(self, service: Service, zones: int) -> int | None:
        """Return the number of engines to order in each zone.

        :returns: ``None`` for the declared maximum.
        """
        size = self._size_by_service.get(service.name)
        if size is None or service.scaling is None or not zones:
            return None
        return size.engines_per_zone(
            service.scaling.maximum, zones, 1.0 - DECODE_FRACTION
        )

    def _cheap_unavailable_zones(self, service: Service, now: float) -> frozenset[str]:
        """Return the zones in which cheap upstreams were refused lately."""
        return frozenset(
            zone
            for (name, zone), refused_at in self._refused_at_by_zone.items()
            if name == service.name and now - refused_at < CHEAP_UNAVAILABLE_SECONDS
        )

    def _deviates(self, order: CapacityOrder, upstreams, subject, now: float) -> bool:
        """Return whether the fleet does not, or no longer, match an accepted order.

        Upstreams may be lost, and an earlier order may be executed late.
        """
        if now < self._retry_at_by_subject.get(subject, 0.0):
            return False
        present = sum(
            1
            for item in upstreams
            if item.zone == order.zone
            and item.cheap == order.cheap
            and not item.leaving
        )
        return present != order.count

    async def _send_capacity_order(self, order: CapacityOrder, subject: tuple) -> None:
        fencing = self._members.fencing
        if not self._members.holds_duty():
            return
        startup = ORDER_RETRY_SECONDS
        service = self._directory.catalog.services_by_name.get(order.service)
        if service is not None and service.scaling is not None:
            startup += service.scaling.startup_seconds
        now = self._app.clock.monotonic()
        try:
            verdict = await self._platform.order_upstreams(
                self._members.own.instance,
                fencing,
                order.service,
                order.zone,
                order.count,
                order.cheap,
            )
        except CallFailed as error:
            log_event("capacity_not_ordered", level="WARNING", error=error.message)
            self._ordered_by_subject.pop(subject, None)
            self._retry_at_by_subject[subject] = now + ORDER_RETRY_SECONDS
            return
        log_event(
            "capacity_ordered",
            service=order.service,
            zone=order.zone,
            count=order.count,
            cheap=order.cheap,
            fencing=fencing,
            status=verdict.status,
        )
        if verdict.accepted:
            self._ordered_by_subject[subject] = order
            self._retry_at_by_subject[subject] = now + startup
        elif verdict.fenced:
            self._members.drop_refused_duty(fencing)
        else:
            self._ordered_by_subject.pop(subject, None)
            self._retry_at_by_subject[subject] = now + ORDER_RETRY_SECONDS
            if order.cheap:
                self._refused_at_by_zone[(order.service, order.zone)] = now

    async def _order_phases(self, service: Service) -> None:
        if service.engine is None:
            return
        engines = self._directory.service_upstreams(service.name)
        now = self._app.clock.monotonic()
        zones = self._zones_by_service.get(service.name, set())
        keepers = ordinary_zones(service, zones)
        orders = plan_phases(
            engines, self._fleet_is_stable(service, engines, now), keepers
        )
        wanted = {order.upstream.incarnation for order in orders}
        for incarnation, since in list(self._changing_by_incarnation.items()):
            done = incarnation not in wanted and now - since > PHASE_NOTICE_SECONDS
            if done or now - since > PHASE_RETRY_SECONDS:
                del self._changing_by_incarnation[incarnation]
                self._ordered_incarnations.discard(incarnation)
        most = max(1, int(len(engines) * MAX_CHANGING_SHARE))
        for order in orders:
            incarnation = order.upstream.incarnation
            since = self._changing_by_incarnation.get(incarnation)
            if since is None and len(self._changing_by_incarnation) < most:
                self._changing_by_incarnation[incarnation] = now
            elif since is None or incarnation in self._ordered_incarnations:
                continue
            elif now - since >= PHASE_NOTICE_SECONDS and self._members.holds_duty():
                self._ordered_incarnations.add(incarnation)
                await self._send_phase_order(order)
        self._gossip.broadcast_phase_changes(
            {incarnation[0] for incarnation in self._changing_by_incarnation}
        )

    def _fleet_is_stable(
        self, service: Service, engines: list[Upstream], now: float
    ) -> bool:
        """Return whether the engines are unchanged for a while or the front is idle."""
        incarnations = {engine.incarnation for engine in engines}
        known, since = self._engines_by_service.get(service.name, (set(), now))
        if incarnations != known:
            since = now
            self._engines_by_service[service.name] = (incarnations, now)
        if self._app.service("front").idle():
            return True
        return now - since > STABLE_LIST_SECONDS

    async def _send_phase_order(self, order: PhaseOrder) -> None:
        fencing = self._members.fencing
        holder = self._members.own.instance
        upstream = order.upstream
        if not self._app.service("upstreams").takes_requests(upstream):
            # It leaves, or refuses requests of this instance for now.
            return
        permits = self._app.service("permits")
        # The report and the order are requests within the limit of an engine.
        for _ in range(2):
            if await permits.request(upstream, MAX_AHEAD_SECONDS) is None:
                return
        try:
            report = await self._platform.read_engine(upstream)
            if report is None or report.busy or report.phase is order.phase:
                return
            if not self._members.holds_duty():
                return
            verdict = await self._platform.order_phase(
                holder, fencing, upstream, order.phase, report.orders_accepted
            )
        except CallFailed as error:
            log_event(
                "phase_not_ordered",
                level="WARNING",
                upstream=upstream.id,
                error=error.message,
            )
            return
        log_event(
            "phase_ordered",
            upstream=upstream.id,
            phase=order.phase.value,
            fencing=fencing,
            status=verdict.status,
        )
        if verdict.fenced:
            self._members.drop_refused_duty(fencing)


def setup(app: Application) -> None:
    """Start sending orders if the settings assign the fleet duty."""
    if "fleet" not in app.settings.duties:
        return
    duty = FleetDuty(app)
    app.connect("duty-taken", duty.forget)
    app.connect("upstreams-changed", duty.record_zones)

    async def start() -> None:
        app.supervise(duty.run, "fleet duty")

    app.on_start(start)
