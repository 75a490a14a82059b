"""Combines a demand model with role and capacity planning for the replay."""

from camphorgate.fleet.capacity import (
    CapacityAction,
    CapacityHistory,
    CapacityInput,
    plan_capacity,
)
from camphorgate.fleet.demand import DemandMemory, DemandModel, DemandSample
from camphorgate.fleet.planner_parameters import PlannerParameters
from camphorgate.fleet.pool_state import Demand, Engine, EngineRates
from camphorgate.fleet.role_changes import RoleChanges, RoleOrder
from camphorgate.fleet.roles import max_concurrent_changes, plan_roles
from camphorgate.manifest import EngineRole

# Time to collect samples before the first decision, because early estimates are poor.
WARM_UP_SECONDS = 20.0
# Horizon of the demand forecast for roles, about the time until a change is done.
ROLE_AHEAD_SECONDS = 20.0


class PolicyPlanner:
    """Runs the policies that the parameters select."""

    def __init__(
        self,
        parameters: PlannerParameters,
        rates: EngineRates,
        zones: list[str],
        memory: DemandMemory | None = None,
        start_at: float = 0.0,
    ) -> None:
        """Create a planner without observations.

        :param memory: daily pattern of earlier days.
        :param start_at: wall-clock time at which the trace starts.
        """
        self.parameters = parameters
        self.rates = rates
        self.zones = zones
        self.demand = DemandModel(memory)
        self.role_changes = RoleChanges()
        self.capacity_memory = CapacityHistory()
        self.start_at = start_at

    @property
    def changes(self) -> int:
        """Return how many role changes were started."""
        return self.role_changes.counts_by_outcome["started"]

    def target_of(self, engine_id: str) -> EngineRole | None:
        """Return the role to which an engine is being changed."""
        return self.role_changes.targets().get(engine_id)

    def plan(
        self, now: float, engines: tuple[Engine, ...], sample: DemandSample
    ) -> list[RoleOrder | CapacityAction]:
        """Return the orders to send now."""
        self.demand.observe(sample, self.start_at + now)
        orders: list[RoleOrder | CapacityAction] = []
        if self.demand.observed_seconds > WARM_UP_SECONDS:
            self.role_changes.start(self._role_plan(now, engines), now)
            question = CapacityInput(
                engines,
                self._current_demand(now),
                self._peak_forecast(now),
                self.rates,
                self.parameters,
            )
            orders += plan_capacity(
                question, self.zones, self.capacity_memory, self.start_at + now
            )
        max_changing = max_concurrent_changes(len(engines), self.parameters)
        orders += self.role_changes.advance(engines, self.rates, now, max_changing)
        return orders

    def _role_plan(self, now: float, engines: tuple[Engine, ...]):
        demand = self.demand.forecast(self.start_at + now, ROLE_AHEAD_SECONDS)
        return plan_roles(engines, demand, self.rates, self.parameters)

    def _current_demand(self, now: float) -> Demand:
        return self.demand.forecast(self.start_at + now, 0.0)

    def _peak_forecast(self, now: float) -> Demand:
        """Return the highest forecast until an upstream ordered now is ready."""
        at, parameters = self.start_at + now, self.parameters
        steps = [parameters.provisioning_seconds * part for part in (0.5, 1.0, 1.5)]
        return max(
            (
                self.demand.forecast(at, ahead, parameters.clear_seconds)
                for ahead in [0.0, *steps]
            ),
            key=lambda item: (
                item.prefill / self.rates.prefill + item.decode / self.rates.decode
            ),
        )
