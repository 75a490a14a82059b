"""A plan that knows the trace: the bound that the planners are compared with."""

import functools
import math

import msgspec
import numpy as np

from camphorgate.fleet.capacity import (
    CapacityMemory,
    CapacityQuestion,
    plan_capacity,
)
from camphorgate.fleet.changes import RoleChanges
from camphorgate.fleet.objective import PlannerParameters
from camphorgate.fleet.replay import Trace
from camphorgate.fleet.roles import (
    EXPECTED_DRAIN_SECONDS,
    RoleMove,
    bounded_changes,
    changes_allowed,
    min_both_engines,
)
from camphorgate.fleet.service_share import load_in_engines, served_share
from camphorgate.fleet.state import Demand, Engine, Split, split_of

WINDOW_SECONDS = 20.0
# How far the plan looks ahead, in windows; a role change pays off well before.
LOOK_AHEAD = 30
HOLD_SECONDS = 60.0


class ClairvoyantPlanner:
    """Plans roles by dynamic programming and capacity by the demand to come."""

    def __init__(self, trace: Trace, parameters: PlannerParameters) -> None:
        """Read the whole trace."""
        self.trace = trace
        # Knowing what comes, it need not hold capacity in case the demand returns.
        self.parameters = msgspec.structs.replace(parameters, hold_seconds=HOLD_SECONDS)
        self.demands = _demands(trace)
        self.role_changes = RoleChanges()
        self.capacity_memory = CapacityMemory()
        self._share = functools.lru_cache(200_000)(self._served)

    @property
    def changes(self) -> int:
        """Return how many changes of role were started."""
        return self.role_changes.counts["started"]

    def target_of(self, engine_id: str):
        """Return the role to which an engine is being changed."""
        return self.role_changes.targets().get(engine_id)

    def plan(self, now: float, engines: tuple[Engine, ...], sample) -> list:
        """Return the orders to send now."""
        window = int(now // WINDOW_SECONDS)
        if now % WINDOW_SECONDS < 5 and now < self.trace.seconds:
            self._plan_roles(now, window, engines)
        most = changes_allowed(len(engines), self.parameters)
        orders = self.role_changes.step(engines, self.trace.rates, now, most)
        parameters = self.parameters
        ahead = math.ceil(1.5 * parameters.provisioning_seconds / WINDOW_SECONDS)
        far = self._highest(window, window + ahead, sample)
        question = CapacityQuestion(
            engines, self._demand(window), far, self.trace.rates, parameters
        )
        orders += plan_capacity(question, self.trace.zones, self.capacity_memory, now)
        return orders

    def _demand(self, window: int) -> Demand:
        return self.demands[min(window, len(self.demands) - 1)]

    def _highest(self, first: int, last: int, sample) -> Demand:
        rates, clear = self.trace.rates, self.parameters.clear_seconds
        best = max(
            (self._demand(window) for window in range(first, last + 1)),
            key=lambda item: load_in_engines(item, rates),
        )
        return Demand(
            best.prefill + sample.backlog_prefill / clear,
            best.decode + sample.backlog_decode / clear,
            prompt=best.prompt,
        )

    def _plan_roles(self, now: float, window: int, engines: tuple[Engine, ...]) -> None:
        present = [engine for engine in engines if engine.present]
        if len(present) < 2:
            return
        # A change that starts now is done about one window later.
        move = self._best_move(window + 1, split_of(present))
        if move is not None:
            # The bounds on changes are the same as for every policy.
            changes = bounded_changes(move, engines, self.parameters)
            self.role_changes.start(changes, now)

    def _served(self, split: Split, window: int) -> float:
        demand = self._demand(window)
        load = load_in_engines(demand, self.trace.rates)
        share = served_share(split, demand, self.trace.rates)
        return share * load * WINDOW_SECONDS

    def _best_move(self, window: int, start: Split) -> RoleMove | None:
        """Return the first step of the best sequence of splits."""
        last = min(window + LOOK_AHEAD, len(self.demands))
        # A crash can leave fewer of both roles than the floor of the rest.
        floor = min(start.both, min_both_engines(start.total, self.parameters))
        value: dict[Split, float] = {}
        splits = _splits(start.total, floor)
        choice: dict[Split, Split] = {}
        cost = self._cost()
        for at in range(last - 1, window - 1, -1):
            later, value, choice = value, {}, {}
            for split in splits:
                best, best_next = -math.inf, split
                for after, moved in _neighbours(start.total, floor, split):
                    worth = self._share(after, at) + later.get(after, 0.0)
                    worth -= moved * cost
                    if worth > best + 1e-9:
                        best, best_next = worth, after
                value[split], choice[split] = best, best_next
        after = choice.get(start, start)
        return _move_between(start, after)

    def _cost(self) -> float:
        return self.trace.rates.role_change_seconds + EXPECTED_DRAIN_SECONDS


@functools.lru_cache(64)
def _splits(total: int, floor: int) -> list[Split]:
    return [
        Split(prefill, decode, total - prefill - decode)
        for prefill in range(total - floor + 1)
        for decode in range(total - floor - prefill + 1)
    ]


@functools.lru_cache(100_000)
def _neighbours(total: int, floor: int, split: Split) -> list[tuple[Split, int]]:
    """Return the splits that one kind of move reaches, with the engines moved."""
    near = [item for item in _splits(total, floor) if _distance(split, item) in (1, 2)]
    one_kind = [
        item
        for item in near
        if sum(a != b for a, b in zip(_counts(split), _counts(item), strict=True)) == 2
    ]
    return [(split, 0), *((item, _distance(split, item)) for item in one_kind)]


def _counts(split: Split) -> tuple[int, int, int]:
    return split.prefill, split.decode, split.both


def _distance(first: Split, second: Split) -> int:
    pairs = zip(_counts(first), _counts(second), strict=True)
    return sum(abs(a - b) for a, b in pairs) // 2


def _move_between(first: Split, second: Split) -> RoleMove | None:
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
