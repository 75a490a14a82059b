"""A planner that knows the trace; the other planners are compared with this bound."""

import functools
import math

import msgspec
import numpy as np

from camphorgate.fleet.capacity import (
    CapacityHistory,
    CapacityInput,
    plan_capacity,
)
from camphorgate.fleet.planner_parameters import PlannerParameters
from camphorgate.fleet.pool_state import Demand, Engine, RoleCounts, count_roles
from camphorgate.fleet.replay import Trace
from camphorgate.fleet.role_changes import RoleChanges
from camphorgate.fleet.roles import (
    EXPECTED_DRAIN_SECONDS,
    RoleMove,
    bounded_changes,
    max_concurrent_changes,
    min_both_engines,
)
from camphorgate.fleet.service_share import load_in_engines, served_share

WINDOW_SECONDS = 20.0
# A role change pays off well before the end of this horizon.
LOOK_AHEAD_WINDOWS = 30
HOLD_SECONDS = 60.0


class ClairvoyantPlanner:
    """Plans roles by dynamic programming and capacity by the future demand."""

    def __init__(self, trace: Trace, parameters: PlannerParameters) -> None:
        """Compute the demand of each window from the trace."""
        self.trace = trace
        # As it knows the demand, it need not hold capacity in case the demand returns.
        self.parameters = msgspec.structs.replace(parameters, hold_seconds=HOLD_SECONDS)
        self.demands = _demands(trace)
        self.role_changes = RoleChanges()
        self.capacity_memory = CapacityHistory()
        self._cached_served_work = functools.lru_cache(200_000)(self._served_work)

    @property
    def changes(self) -> int:
        """Return how many role changes were started."""
        return self.role_changes.counts_by_outcome["started"]

    def target_of(self, engine_id: str):
        """Return the role to which an engine is being changed."""
        return self.role_changes.targets().get(engine_id)

    def plan(self, now: float, engines: tuple[Engine, ...], sample) -> list:
        """Return the orders to send now."""
        window = int(now // WINDOW_SECONDS)
        if now % WINDOW_SECONDS < 5 and now < self.trace.seconds:
            self._plan_roles(now, window, engines)
        max_changes = max_concurrent_changes(len(engines), self.parameters)
        orders = self.role_changes.advance(engines, self.trace.rates, now, max_changes)
        parameters = self.parameters
        provisioning_windows = math.ceil(
            1.5 * parameters.provisioning_seconds / WINDOW_SECONDS
        )
        peak_demand = self._peak_demand(window, window + provisioning_windows, sample)
        question = CapacityInput(
            engines, self._demand(window), peak_demand, self.trace.rates, parameters
        )
        orders += plan_capacity(question, self.trace.zones, self.capacity_memory, now)
        return orders

    def _demand(self, window: int) -> Demand:
        return self.demands[min(window, len(self.demands) - 1)]

    def _peak_demand(self, first: int, last: int, sample) -> Demand:
        rates, clear_seconds = self.trace.rates, self.parameters.clear_seconds
        best = max(
            (self._demand(window) for window in range(first, last + 1)),
            key=lambda item: load_in_engines(item, rates),
        )
        return Demand(
            best.prefill + sample.backlog_prefill / clear_seconds,
            best.decode + sample.backlog_decode / clear_seconds,
            prompt=best.prompt,
        )

    def _plan_roles(self, now: float, window: int, engines: tuple[Engine, ...]) -> None:
        present = [engine for engine in engines if engine.present]
        if len(present) < 2:
            return
        # A change that starts now completes about one window later.
        move = self._best_move(window + 1, count_roles(present))
        if move is not None:
            # The bounds on changes are the same as for every policy.
            changes = bounded_changes(move, engines, self.parameters)
            self.role_changes.start(changes, now)

    def _served_work(self, split: RoleCounts, window: int) -> float:
        demand = self._demand(window)
        load = load_in_engines(demand, self.trace.rates)
        share = served_share(split, demand, self.trace.rates)
        return share * load * WINDOW_SECONDS

    def _best_move(self, window: int, start: RoleCounts) -> RoleMove | None:
        """Return the first step of the best sequence of splits."""
        last = min(window + LOOK_AHEAD_WINDOWS, len(self.demands))
        # A crash can leave fewer engines with both roles than the minimum.
        min_both = min(start.both, min_both_engines(start.total, self.parameters))
        value: dict[RoleCounts, float] = {}
        splits = _splits(start.total, min_both)
        choice: dict[RoleCounts, RoleCounts] = {}
        cost = self._change_cost()
        for at in range(last - 1, window - 1, -1):
            later, value, choice = value, {}, {}
            for split in splits:
                best, best_next = -math.inf, split
                for after, moved in _neighbours(start.total, min_both, split):
                    work = self._cached_served_work(after, at) + later.get(after, 0.0)
                    work -= moved * cost
                    if work > best + 1e-9:
                        best, best_next = work, after
                value[split], choice[split] = best, best_next
        after = choice.get(start, start)
        return _move_between(start, after)

    def _change_cost(self) -> float:
        return self.trace.rates.role_change_seconds + EXPECTED_DRAIN_SECONDS


@functools.lru_cache(64)
def _splits(total: int, min_both: int) -> list[RoleCounts]:
    return [
        RoleCounts(prefill, decode, total - prefill - decode)
        for prefill in range(total - min_both + 1)
        for decode in range(total - min_both - prefill + 1)
    ]


@functools.lru_cache(100_000)
def _neighbours(
    total: int, min_both: int, split: RoleCounts
) -> list[tuple[RoleCounts, int]]:
    """Return the splits that one kind of role move reaches, with the engines moved."""
    nearby = [
        item for item in _splits(total, min_both) if _distance(split, item) in (1, 2)
    ]
    one_kind = [
        item
        for item in nearby
        if sum(a != b for a, b in zip(_counts(split), _counts(item), strict=True)) == 2
    ]
    return [(split, 0), *((item, _distance(split, item)) for item in one_kind)]


def _counts(split: RoleCounts) -> tuple[int, int, int]:
    return split.prefill, split.decode, split.both


def _distance(first: RoleCounts, second: RoleCounts) -> int:
    pairs = zip(_counts(first), _counts(second), strict=True)
    return sum(abs(a - b) for a, b in pairs) // 2


def _move_between(first: RoleCounts, second: RoleCounts) -> RoleMove | None:
    names = ("prefill", "decode", "both")
    pairs = zip(names, _counts(first), _counts(second), strict=True)
    changes = {name: b - a for name, a, b in pairs}
    source = min(changes, key=changes.get)
    role = max(changes, key=changes.get)
    return RoleMove(source, role, changes[role]) if changes[role] > 0 else None


def _demands(trace: Trace) -> list[Demand]:
    """Return the true demand of each window, smoothed over three of them."""
    count = math.ceil(trace.seconds / WINDOW_SECONDS)
    totals = np.zeros((3, count))
    for at, _, prompt, output, kind in trace.requests:
        if kind != "booking":
            window = min(count - 1, int(at // WINDOW_SECONDS))
            totals[0, window] += prompt
            totals[1, window] += output
            totals[2, window] += 1
    padded = np.pad(totals, ((0, 0), (1, 1)), mode="edge")
    smooth = (padded[:, :-2] + padded[:, 1:-1] + padded[:, 2:]) / 3
    return [
        Demand(float(prefill), float(decode), prompt=float(prefill / max(count, 1e-9)))
        for prefill, decode, count in smooth.T / WINDOW_SECONDS
    ]
