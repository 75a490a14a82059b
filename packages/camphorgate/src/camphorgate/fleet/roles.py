"""Decides which engines do prefill, decode or both.

A policy proposes to move engines from one role to another. :func:`plan_roles` turns
the proposal into role changes, within limits that apply to every policy.
"""

import math
from collections.abc import Callable, Iterator
from itertools import permutations

import msgspec

from camphorgate.fleet.planner_parameters import PlannerParameters
from camphorgate.fleet.pool_state import (
    Demand,
    Engine,
    EngineRates,
    RoleCounts,
    count_roles,
)
from camphorgate.fleet.service_share import (
    load_in_engines,
    served_share,
    utilisations,
)
from camphorgate.manifest import EngineRole
from camphorgate.registry import Registry

# Expected time to drain an engine, during which it is unavailable in addition to the
# role change itself.
EXPECTED_DRAIN_SECONDS = 6.0
# The greedy policy takes an engine from a role below the idle utilisation for a role
# above the busy utilisation.
GREEDY_BUSY_UTILISATION = 0.8
GREEDY_IDLE_UTILISATION = 0.65


class RoleMove(msgspec.Struct, frozen=True):
    """A proposal to move ``count`` engines from role ``source`` to ``role``.

    ``gain`` and ``cost`` are in engine-seconds.
    """

    source: EngineRole
    role: EngineRole
    count: int = 1
    gain: float = 0.0
    cost: float = 0.0


class RoleChange(msgspec.Struct, frozen=True):
    """Role change of one engine, with the gain and cost that justify it."""

    engine_id: str
    role: EngineRole
    gain: float = 0.0
    cost: float = 0.0


class RoleInput(msgspec.Struct, frozen=True):
    """Input of a role policy; ``max_engines`` limits the engines of one move."""

    split: RoleCounts
    demand: Demand
    rates: EngineRates
    parameters: PlannerParameters
    max_engines: int


RolePolicy = Callable[[RoleInput], RoleMove | None]
policies: Registry[RolePolicy] = Registry("role policy")


def min_both_engines(total: int, parameters: PlannerParameters) -> int:
    """Return the minimum number of engines in the role ``both`` at any time."""
    return max(1, math.ceil(parameters.min_both_share * total))


def max_concurrent_changes(total: int, parameters: PlannerParameters) -> int:
    """Return how many engines may change their role at the same time."""
    return max(1, math.floor(parameters.max_changing_share * total))


def plan_roles(
    engines: tuple[Engine, ...],
    demand: Demand,
    rates: EngineRates,
    parameters: PlannerParameters,
) -> list[RoleChange]:
    """Return the role changes to start now, usually none.

    :param engines: all engines of the pool, including unavailable ones.
    """
    present = [engine for engine in engines if engine.present]
    max_engines = _remaining_changes(engines, parameters)
    if max_engines <= 0 or len(present) < 2:
        return []
    question = RoleInput(count_roles(present), demand, rates, parameters, max_engines)
    move = _restore_both(question.split)
    move = move or policies.get(parameters.role_policy)(question)
    return bounded_changes(move, engines, parameters) if move else []


def bounded_changes(
    move: RoleMove, engines: tuple[Engine, ...], parameters: PlannerParameters
) -> list[RoleChange]:
    """Select engines for a move, as many as the limits allow."""
    present = [engine for engine in engines if engine.present]
    max_engines = _remaining_changes(engines, parameters)
    return (
        _select_engines(move, present, parameters, max_engines)
        if max_engines > 0
        else []
    )


def _remaining_changes(
    engines: tuple[Engine, ...], parameters: PlannerParameters
) -> int:
    """Return how many more engines may start a role change now."""
    total = sum(engine.present for engine in engines)
    changing = sum(_is_changing(engine) for engine in engines)
    return max_concurrent_changes(total, parameters) - changing


def _is_changing(engine: Engine) -> bool:
    return (
        engine.has_open_order
        or engine.target_role not in (None, engine.role)
        or engine.phase in ("draining", "changing")
    )


def _restore_both(split: RoleCounts) -> RoleMove | None:
    """Propose an engine for the role ``both`` if no engine has it."""
    if split.both:
        return None
    return RoleMove("prefill" if split.prefill >= split.decode else "decode", "both")


def _select_engines(
    move: RoleMove,
    present: list[Engine],
    parameters: PlannerParameters,
    max_engines: int,
) -> list[RoleChange]:
    eligible = [
        engine
        for engine in present
        if engine.phase == "serving"
        and engine.role == move.source
        and not _is_changing(engine)
    ]
    if move.source == "both":
        eligible = _removable_from_both(eligible, present, parameters)
    count = min(move.count, max_engines, len(eligible))
    # Prefer ordinary engines for the role ``both``, because all cheap ones may be lost
    # at once. Among equals, the least busy engine drains soonest.
    preferred_kind = "ordinary" if move.role == "both" else "cheap"
    eligible.sort(key=lambda e: (e.kind != preferred_kind, e.requests_in_flight, e.id))
    return [
        RoleChange(engine.id, move.role, move.gain, move.cost)
        for engine in eligible[: max(0, count)]
    ]


def _removable_from_both(
    eligible: list[Engine], present: list[Engine], parameters: PlannerParameters
) -> list[Engine]:
    """Return engines that may leave the role ``both`` at the same time."""
    spare = len(eligible) - min_both_engines(len(present), parameters)
    cheap = [engine for engine in eligible if engine.kind == "cheap"]
    ordinary = [engine for engine in eligible if engine.kind == "ordinary"]
    ordinary.sort(key=lambda engine: (engine.requests_in_flight, engine.id))
    return [*cheap, *ordinary[:-1]][: max(0, spare)]


def possible_moves(question: RoleInput) -> Iterator[tuple[RoleMove, RoleCounts]]:
    """Yield every move that keeps the minimum of engines in the role ``both``.

    Each move comes with the split that results from it.
    """
    split = question.split
    min_both = min_both_engines(split.total, question.parameters)
    counts = {"prefill": split.prefill, "decode": split.decode, "both": split.both}
    for source, role in permutations(counts, 2):
        spare = counts[source] - (min_both if source == "both" else 0)
        for count in range(1, min(spare, question.max_engines) + 1):
            moved = {**counts, source: counts[source] - count}
            moved[role] += count
            yield RoleMove(source, role, count), RoleCounts(**moved)


@policies.register("static")
def keep_roles(question: RoleInput) -> RoleMove | None:
    """Never change a role."""
    return None


@policies.register("greedy_threshold")
def follow_thresholds(question: RoleInput) -> RoleMove | None:
    """Move an engine to a role with high utilisation if the other's is low."""
    prefill, decode = utilisations(question.split, question.demand, question.rates)
    if prefill > GREEDY_BUSY_UTILISATION and decode < GREEDY_IDLE_UTILISATION:
        wanted, other = "prefill", "decode"
    elif decode > GREEDY_BUSY_UTILISATION and prefill < GREEDY_IDLE_UTILISATION:
        wanted, other = "decode", "prefill"
    else:
        return None
    source = other if getattr(question.split, other) else "both"
    return RoleMove(source, wanted)


@policies.register("forecast_gain")
def maximize_net_gain(question: RoleInput) -> RoleMove | None:
    """Propose the move whose gain, less its uncertainty, most exceeds its cost.

    The gain is the additional load served in time over the horizon, in engine-seconds.
    The cost is the time for which the engines are unavailable, raised by a margin.
    """
    best, best_surplus = None, 0.0
    scenarios = _scenarios(question.demand)
    before = [_served_work(question.split, item, question) for item in scenarios]
    for move, split in possible_moves(question):
        gains = [
            _served_work(split, item, question) - value_before
            for item, value_before in zip(scenarios, before, strict=True)
        ]
        mean = sum(gains) / len(gains)
        spread = math.sqrt(sum((gain - mean) ** 2 for gain in gains) / len(gains))
        gain = mean - question.parameters.gain_deviations * spread
        cost = move.count * (
            question.rates.role_change_seconds + EXPECTED_DRAIN_SECONDS
        )
        cost *= question.parameters.gain_margin
        if gain - cost > best_surplus:
            best_surplus = gain - cost
            best = msgspec.structs.replace(move, gain=gain, cost=cost)
    return best


def _served_work(split: RoleCounts, demand: Demand, question: RoleInput) -> float:
    """Return the work served in time over the horizon, in engine-seconds."""
    share = served_share(split, demand, question.rates)
    load = load_in_engines(demand, question.rates)
    return share * load * question.parameters.horizon_seconds


def _scenarios(demand: Demand) -> list[Demand]:
    """Return the forecast, and each rate one standard deviation higher and lower."""
    up, down = demand.plus_deviations(1.0), demand.plus_deviations(-1.0)
    return [
        demand,
        Demand(up.prefill, demand.decode, prompt=demand.prompt),
        Demand(down.prefill, demand.decode, prompt=demand.prompt),
        Demand(demand.prefill, up.decode, prompt=demand.prompt),
        Demand(demand.prefill, down.decode, prompt=demand.prompt),
    ]
