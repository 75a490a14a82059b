"""The service ``fleet``: runs the planners and submits their orders."""

import asyncio
from collections import Counter
from typing import Any

import msgspec

from camphorgate.application import Application
from camphorgate.errors import CamphorgateError
from camphorgate.fleet.capacity import (
    CapacityAction,
    CapacityHistory,
    CapacityInput,
    plan_capacity,
)
from camphorgate.fleet.demand import (
    DemandModel,
    DemandSample,
    decode_memory,
    encode_memory,
)
from camphorgate.fleet.placement import PlacementState, plan_placement
from camphorgate.fleet.planner_parameters import (
    PlannerParameters,
    planner_parameters_for,
)
from camphorgate.fleet.pool_state import Demand, Engine, EngineRates, count_roles
from camphorgate.fleet.role_changes import RoleChanges, RoleOrder
from camphorgate.fleet.roles import max_concurrent_changes, plan_roles
from camphorgate.kv.rate_limit import Priority
from camphorgate.log import log_event
from camphorgate.manifest import ManifestIndex, Pool
from camphorgated.ext.fleet.observing import Observer
from camphorgated.ext.fleet.zones import Start, ZoneRecord, ZoneRecords, prune_record

PLAN_INTERVAL_SECONDS = 5.0
OBSERVE_INTERVAL_SECONDS = 2.0
MEMORY_SAVE_SECONDS = 60.0
MIN_OBSERVED_SECONDS = 20.0
ROLE_FORECAST_SECONDS = 20.0
ENGINES_PREFIX = "engines/"
CAPACITY_PREFIX = "capacity/"


class PoolPlanningState:
    """The planning state of a pool that is kept between plans."""

    __slots__ = (
        "model",
        "changes",
        "placement",
        "capacity",
        "saved_at",
        "capacity_forecast",
    )

    def __init__(self, model: DemandModel) -> None:
        """Start with the demand model only."""
        self.model = model
        self.changes = RoleChanges()
        self.placement = PlacementState()
        self.capacity = CapacityHistory()
        self.saved_at = 0.0
        self.capacity_forecast: Demand = Demand()


class FleetService:
    """Plans for the duties that this instance holds and submits the orders."""

    def __init__(self, app: Application) -> None:
        """Create the service; its tasks are started by ``start``."""
        self._app = app
        self._clock = app.clock
        self._plans_by_pool: dict[str, PoolPlanningState] = {}
        self._observer: Observer | None = None
        self._zones: ZoneRecords | None = None
        self._orders_by_outcome: Counter[str] = Counter()

    async def start(self) -> None:
        """Start observing and, with the service ``duties``, planning."""
        self._observer = Observer(self._app)
        self._zones = ZoneRecords(self._app.service("kv"))
        self._app.supervise(self._observe, "fleet observation")
        if self._app.has_service("duties"):
            self._app.supervise(self._plan, "fleet planning")

    async def stop(self) -> None:
        """Close the observer."""
        await self._observer.close()

    def report(self) -> dict[str, Any]:
        """Return the demand on this instance and the state of the pools it plans."""
        pools = {name: self._pool_report(name) for name in self._planned_pools()}
        demand = self._observer.own_demand() if self._observer else {}
        return {"demand": demand, "pools": pools}

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        zones = self._zones.records_by_zone if self._zones else {}
        return {
            "pools": self.report()["pools"],
            "zones": msgspec.to_builtins(zones),
            "orders": dict(self._orders_by_outcome),
        }

    # Tasks.

    async def _observe(self) -> None:
        while True:
            try:
                await self._observer.read_states()
                await self._zones.read()
                for upstream_id in self._zones.withdrawn_at():
                    self._app.service("upstreams").mark_leaving(upstream_id, "order")
            except CamphorgateError as error:
                log_event("fleet_not_observed", level="DEBUG", error=error.code)
            await asyncio.sleep(OBSERVE_INTERVAL_SECONDS)

    async def _plan(self) -> None:
        while True:
            await asyncio.sleep(PLAN_INTERVAL_SECONDS)
            try:
                await self.plan_once(PLAN_INTERVAL_SECONDS)
            except CamphorgateError as error:
                log_event("fleet_not_planned", level="WARNING", error=error.code)

    async def plan_once(self, seconds: float) -> None:
        """Plan once for every held duty.

        :param seconds: time since the last plan.
        """
        index = self._app.service("configuration").index
        held = self._app.service("duties").held()
        planned = [
            duty for duty in held if duty.startswith((ENGINES_PREFIX, CAPACITY_PREFIX))
        ]
        if index is None or not planned:
            self._plans_by_pool.clear()
            return
        samples = await self._observer.collect_demand(seconds)
        for pool in index.manifest.pools:
            await self._observe_demand(pool, samples, seconds)
        for duty in planned:
            kind, _, name = duty.partition("/")
            if kind == "engines" and name in index.pools_by_name:
                await self._plan_engines(duty, index, index.pools_by_name[name])
            elif kind == "capacity":
                await self._plan_zone(duty, index, name)

    # Demand.

    async def _observe_demand(
        self, pool: Pool, samples: dict[str, DemandSample], seconds: float
    ) -> None:
        plans = self._plans_by_pool.get(pool.name)
        if plans is None:
            plans = PoolPlanningState(DemandModel(await self._load_memory(pool.name)))
            plans.saved_at = self._clock.monotonic()
            self._plans_by_pool[pool.name] = plans
        sample = samples.get(pool.name, DemandSample(seconds, 0.0, 0.0))
        if pool.kind == "service":
            # Calls of a service have no tokens; demand is the number of running calls.
            running = sum(engine.requests_in_flight for engine in self._engines(pool))
            sample = DemandSample(seconds, 0.0, running * seconds)
        plans.model.observe(sample, self._wall_time())
        if self._clock.monotonic() - plans.saved_at >= MEMORY_SAVE_SECONDS:
            plans.saved_at = self._clock.monotonic()
            await self._save_memory(pool.name, plans.model)

    async def _load_memory(self, pool: str):
        try:
            entry = await self._app.service("kv").get(
                f"demand/{pool}", Priority.BACKGROUND
            )
        except CamphorgateError as error:
            log_event("demand_memory_not_read", pool=pool, error=error.code)
            return None
        return decode_memory(entry.value) if entry else None

    async def _save_memory(self, pool: str, model: DemandModel) -> None:
        if self._app.service("duties").authority(self._memory_duty(pool)) is None:
            return
        try:
            await self._app.service("kv").put(
                f"demand/{pool}", encode_memory(model.memory()), 0, Priority.BACKGROUND
            )
        except CamphorgateError as error:
            log_event("demand_memory_not_saved", pool=pool, error=error.code)

    def _memory_duty(self, pool: str) -> str:
        """Return the duty whose holder saves a pool's demand memory."""
        index = self._app.service("configuration").index
        if index.pools_by_name[pool].kind == "engines":
            return ENGINES_PREFIX + pool
        zones = sorted(zone.name for zone in index.manifest.availability_zones)
        return CAPACITY_PREFIX + zones[0]

    # Engines.

    async def _plan_engines(self, duty: str, index: ManifestIndex, pool: Pool) -> None:
        plans = self._plans_by_pool[pool.name]
        parameters = planner_parameters_for(index.manifest.objective, pool)
        now = self._clock.monotonic()
        rates = _pool_rates(pool)
        engines = self._engines(pool, duty)
        if plans.model.observed_seconds > MIN_OBSERVED_SECONDS:
            demand = plans.model.forecast(self._wall_time(), ROLE_FORECAST_SECONDS)
            plans.changes.start(plan_roles(engines, demand, rates, parameters), now)
        max_changes = max_concurrent_changes(len(engines), parameters)
        for order in plans.changes.advance(engines, rates, now, max_changes):
            await self._submit(duty, order.engine_id, _role_order(order))
        changing = set(plans.changes.targets())
        loads = plan_placement(
            index.manifest, pool.name, engines, plans.placement, self._wall_time()
        )
        for load in loads:
            if load.engine_id not in changing:
                order = {"kind": load.kind, "model": load.model}
                await self._submit(duty, load.engine_id, order)

    # Capacity.

    async def _plan_zone(self, duty: str, index: ManifestIndex, zone: str) -> None:
        zones = [item.name for item in index.manifest.availability_zones]
        for pool in index.manifest.pools:
            plans = self._plans_by_pool[pool.name]
            parameters = planner_parameters_for(index.manifest.objective, pool)
            await self._prune_zone_record(zone, pool, parameters)
            if plans.model.observed_seconds <= MIN_OBSERVED_SECONDS:
                continue
            question = self._capacity_input(pool, plans, parameters)
            plans.capacity_forecast = question.peak_forecast
            for action in plan_capacity(
                question, zones, plans.capacity, self._wall_time()
            ):
                if action.availability_zone == zone:
                    await self._execute_action(duty, pool, plans, action, parameters)

    def _capacity_input(
        self, pool: Pool, plans: PoolPlanningState, parameters: PlannerParameters
    ) -> CapacityInput:
        wall_time, rates = self._wall_time(), _pool_rates(pool)
        steps = [parameters.provisioning_seconds * part for part in (0.5, 1.0, 1.5)]
        far = max(
            (
                plans.model.forecast(wall_time, ahead, parameters.clear_seconds)
                for ahead in [0.0, *steps]
            ),
            key=lambda item: item.prefill / rates.prefill + item.decode / rates.decode,
        )
        engines = (*self._managed_engines(pool), *self._starting_engines(pool.name))
        near = plans.model.forecast(wall_time, 0.0)
        return CapacityInput(engines, near, far, rates, parameters)

    def _managed_engines(self, pool: Pool) -> tuple[Engine, ...]:
        """Return the upstreams of a pool.

        Those in the manifest are marked with an open order, so that none is stopped.
        """
        ids_in_manifest = {item.id for item in pool.upstreams}
        return tuple(
            msgspec.structs.replace(engine, has_open_order=True)
            if engine.id in ids_in_manifest
            else engine
            for engine in self._engines(pool)
        )

    def _starting_engines(self, pool: str) -> list[Engine]:
        return [
            Engine(f"{zone}/start-{number}", zone, start.kind, phase="starting")
            for zone, record in self._zones.records_by_zone.items()
            for number, start in enumerate(record.starts)
            if start.pool == pool
        ]

    async def _prune_zone_record(
        self, zone: str, pool: Pool, parameters: PlannerParameters
    ) -> None:
        ids = {
            entry.view.id
            for entry in self._app.service("upstreams").entries_by_id.values()
            if entry.view.zone == zone
        }
        record = prune_record(
            self._zones.record(zone),
            ids,
            self._wall_time(),
            parameters.provisioning_seconds,
        )
        await self._zones.write(zone, record)

    async def _execute_action(
        self,
        duty: str,
        pool: Pool,
        plans: PoolPlanningState,
        action: CapacityAction,
        parameters: PlannerParameters,
    ) -> None:
        zone = action.availability_zone
        record = self._zones.record(zone)
        if action.kind == "start":
            start = Start(
                pool.name,
                action.upstream_kind,
                self._wall_time(),
                tuple(sorted(self._app.service("upstreams").entries_by_id)),
            )
            record = ZoneRecord((*record.starts, start), record.withdrawn_at_by_id)
            # The start is recorded before it is ordered. An unrecorded start would be
            # ordered again by the next plan.
            if await self._zones.write(zone, record):
                body = {"pool": pool.name, "zone": zone, "kind": action.upstream_kind}
                await self._submit_start(duty, body)
        elif action.kind == "withdraw":
            # A short history cannot distinguish a temporary lull from lower demand.
            if plans.model.observed_seconds < parameters.hold_seconds:
                return
            withdrawn = {
                **record.withdrawn_at_by_id,
                action.upstream_id: self._wall_time(),
            }
            await self._zones.write(zone, ZoneRecord(record.starts, withdrawn))
        else:
            body = {"kind": "stop", "upstream_id": action.upstream_id}
            await self._submit(duty, pool.name, body)

    async def _submit_start(self, duty: str, body: dict[str, Any]) -> None:
        """Submit a start order.

        ``kind`` is the kind of the order, so the kind of the upstream is passed as
        ``upstream_kind``.
        """
        order = {**body, "kind": "start", "upstream_kind": body["kind"]}
        await self._submit(duty, body["pool"], order)

    # Helpers.

    def _wall_time(self) -> float:
        return self._clock.now().timestamp()

    def _engines(self, pool: Pool, duty: str = "") -> tuple[Engine, ...]:
        plans = self._plans_by_pool.get(pool.name)
        targets = plans.changes.targets() if plans else {}
        return self._observer.engines(
            pool, self._zones.withdrawn_at(), self._open_receivers(duty), targets
        )

    def _open_receivers(self, duty: str) -> set[str]:
        held = self._app.service("duties").dump().get("held", {}) if duty else {}
        journal = held.get(duty, {}).get("journal", {})
        return {order["receiver"] for order in journal.get("open_orders", ())}

    async def _submit(self, duty: str, receiver: str, order: dict[str, Any]) -> None:
        outcome = "confirmed"
        try:
            await self._app.service("duties").submit_order(duty, receiver, order)
        except CamphorgateError as error:
            # A failed order needs no retry: the next plan orders what is still missing.
            outcome = error.code
        self._orders_by_outcome[outcome] += 1
        log_event("fleet_order", duty=duty, receiver=receiver, outcome=outcome, **order)

    def _planned_pools(self) -> list[str]:
        held = self._app.service("duties").held() if self._plans_by_pool else []
        duties = {
            duty.partition("/")[2] for duty in held if duty.startswith(ENGINES_PREFIX)
        }
        capacity = any(duty.startswith(CAPACITY_PREFIX) for duty in held)
        return [name for name in self._plans_by_pool if capacity or name in duties]

    def _pool_report(self, name: str) -> dict[str, Any]:
        """Return the roles, changes, capacity, cost and demand of a pool."""
        index = self._app.service("configuration").index
        pool, plans = index.pools_by_name[name], self._plans_by_pool[name]
        engines = [engine for engine in self._engines(pool) if engine.present]
        counts_by_place = Counter(
            (item.availability_zone, item.kind) for item in engines
        )
        counts_by_kind = Counter(item.kind for item in engines)
        demand = plans.model.forecast(self._wall_time(), 0.0)
        capacity = pool.capacity
        cost = counts_by_kind["ordinary"] * capacity.ordinary_cost
        cost += counts_by_kind["cheap"] * capacity.cheap_cost
        return {
            "roles": msgspec.to_builtins(count_roles(engines)),
            "changes": dict(plans.changes.counts_by_outcome),
            "changing": plans.changes.targets(),
            "capacity": {
                f"{zone}/{kind}": n for (zone, kind), n in counts_by_place.items()
            },
            "starting": len(self._starting_engines(name)),
            "cost_per_hour": cost,
            "demand": msgspec.to_builtins(demand),
            "forecast": msgspec.to_builtins(plans.capacity_forecast),
        }


def _pool_rates(pool: Pool) -> EngineRates:
    if pool.kind == "service":
        slots = [upstream.slots for upstream in pool.upstreams] or [8]
        return EngineRates(decode=float(min(slots)))
    return EngineRates(
        pool.prefill_tokens_per_second,
        pool.decode_tokens_per_second,
        pool.role_change_seconds,
    )


def _role_order(order: RoleOrder) -> dict[str, Any]:
    body = {"kind": order.kind}
    return {**body, "role": order.role} if order.kind == "set_role" else body
