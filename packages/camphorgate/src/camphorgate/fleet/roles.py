"""Which engines prefill, decode or do both.

A policy proposes one move between two roles; :func:`plan_roles` turns it into changes
of engines within the bounds that hold for every policy.
"""

import math
from collections.abc import Callable, Iterator
from itertools import permutations

import msgspec

from camphorgate.fleet.objective import PlannerParameters
from camphorgate.fleet.service_share import (
    load_in_engines,
    served_share,
    utilisations,
)
from camphorgate.fleet.state import Demand, Engine, Rates, Split, split_of
from camphorgate.manifest import EngineRole
from camphorgate.registry import Registry

# Seconds that a change takes an engine away besides its own duration: draining.
DRAIN_SECONDS = 6.0
# Above the first utilisation the greedy policy takes engines from a role below the
# second.
GREEDY_HIGH = 0.8
GREEDY_LOW = 0.65


class Move(msgspec.Struct, frozen=True):
    """A proposal: so many engines from one role to another.

    ``gain`` and ``cost`` are in engine-seconds.
    """

    source: EngineRole
    role: EngineRole
    count: int = 1
    gain: float = 0.0
    cost: float = 0.0


class RoleChange(msgspec.Struct, frozen=True):
    """One engine's change of role, with the reason in figures."""

    engine_id: str
    role: EngineRole
    gain: float = 0.0
    cost: float = 0.0


class RoleQuestion(msgspec.Struct, frozen=True):
    """What a policy decides on."""

    split: Split
    demand: Demand
    rates: Rates
    parameters: PlannerParameters
    most: int


RolePolicy = Callable[[RoleQuestion], Move | None]
policies: Registry[RolePolicy] = Registry("role policy")


def both_floor(total: int, parameters: PlannerParameters) -> int:
    """Return how many engines must be able to do both at any time."""
    return max(1, math.ceil(parameters.min_both_share * total))


def changes_allowed(total: int, parameters: PlannerParameters) -> int:
    """Return how many engines may be on the way to another role at once."""
    return max(1, math.floor(parameters.max_changing_share * total))


def plan_roles(
    engines: tuple[Engine, ...],
    demand: Demand,
    rates: Rates,
    parameters: PlannerParameters,
) -> list[RoleChange]:
    """Return the changes to start now, usually none.

    :param engines: every engine of the pool, also those that are away.
    """
    present = [engine for engine in engines if engine.present]
    most = _room(engines, parameters)
    if most <= 0 or len(present) < 2:
        return []
    question = RoleQuestion(split_of(present), demand, rates, parameters, most)
    move = _restore_both(question.split)
    move = move or policies.get(parameters.role_policy)(question)
    return bounded_changes(move, engines, parameters) if move else []


def bounded_changes(
    move: Move, engines: tuple[Engine, ...], parameters: PlannerParameters
) -> list[RoleChange]:
    """Choose engines for as much of a move as the bounds allow."""
    present = [engine for engine in engines if engine.present]
    most = _room(engines, parameters)
    return _assign(move, present, parameters, most) if most > 0 else []


def _room(engines: tuple[Engine, ...], parameters: PlannerParameters) -> int:
    """Return how many more engines may be taken away now."""
    total = sum(engine.present for engine in engines)
    in_flight = sum(_in_flight(engine) for engine in engines)
    return changes_allowed(total, parameters) - in_flight


def _in_flight(engine: Engine) -> bool:
    return (
        engine.open_order
        or engine.target not in (None, engine.role)
        or engine.phase in ("draining", "changing")
    )


def _restore_both(split: Split) -> Move | None:
    """Propose an engine for both roles if the last one was lost."""
    if split.both:
        return None
    return Move("prefill" if split.prefill >= split.decode else "decode", "both")


def _assign(
    move: Move, present: list[Engine], parameters: PlannerParameters, most: int
) -> list[RoleChange]:
    able = [
        engine
        for engine in present
        if engine.phase == "serving"
        and engine.role == move.source
        and not _in_flight(engine)
    ]
    if move.source == "both":
        able = _spare_of_both(able, present, parameters)
    count = min(move.count, most, len(able))
    # Ordinary engines are kept for both roles, as cheap ones may vanish at once. The
    # least busy engine drains soonest.
    kind = "ordinary" if move.role == "both" else "cheap"
    able.sort(key=lambda e: (e.kind != kind, e.running, e.id))
    return [
        RoleChange(engine.id, move.role, move.gain, move.cost)
        for engine in able[: max(0, count)]
    ]


def _spare_of_both(
    able: list[Engine], present: list[Engine], parameters: PlannerParameters
) -> list[Engine]:
    """Return engines that may leave the role ``both``, all of them at once."""
    spare = len(able) - both_floor(len(present), parameters)
    cheap = [engine for engine in able if engine.kind == "cheap"]
    ordinary = [engine for engine in able if engine.kind == "ordinary"]
    ordinary.sort(key=lambda engine: (engine.running, engine.id))
    return [*cheap, *ordinary[:-1]][: max(0, spare)]


def moves_of(question: RoleQuestion) -> Iterator[tuple[Move, Split]]:
    """Yield every move that keeps the floor of engines that do both."""
    split = question.split
    floor = both_floor(split.total, question.parameters)
    counts = {"prefill": split.prefill, "decode": split.decode, "both": split.both}
    for source, role in permutations(counts, 2):
        spare = counts[source] - (floor if source == "both" else 0)
        for count in range(1, min(spare, question.most) + 1):
            moved = {**counts, source: counts[source] - count}
            moved[role] += count
            yield Move(source, role, count), Split(**moved)


@policies.register("static")
def keep_roles(question: RoleQuestion) -> Move | None:
    """Never change a role."""
    return None


@policies.register("greedy_threshold")
def follow_thresholds(question: RoleQuestion) -> Move | None:
    """Take an engine from the idle side as soon as the other side is busy."""
    prefill, decode = utilisations(question.split, question.demand, question.rates)
    if prefill > GREEDY_HIGH and decode < GREEDY_LOW:
        wanted, other = "prefill", "decode"
    elif decode > GREEDY_HIGH and prefill < GREEDY_LOW:
        wanted, other = "decode", "prefill"
    else:
        return None
    source = other if getattr(question.split, other) else "both"
    return Move(source, wanted)


@policies.register("forecast_gain")
def weigh_gain(question: RoleQuestion) -> Move | None:
    """Propose the move whose gain less uncertainty exceeds its cost the most.

    The gain is the rise of the served share over the horizon, in engine-seconds of
    the load; the cost is the seconds for which the engines are missing.
    """
    best, best_surplus = None, 0.0
    scenarios = _scenarios(question.demand)
    before = [_value(question.split, item, question) for item in scenarios]
    for move, split in moves_of(question):
        gains = [
            _value(split, item, question) - old
            for item, old in zip(scenarios, before, strict=True)
        ]
        mean = sum(gains) / len(gains)
        spread = math.sqrt(sum((gain - mean) ** 2 for gain in gains) / len(gains))
        gain = mean - question.parameters.gain_deviations * spread
        cost = move.count * (question.rates.role_change_seconds + DRAIN_SECONDS)
        cost *= question.parameters.gain_margin
        if gain - cost > best_surplus:
            best_surplus = gain - cost
            best = msgspec.structs.replace(move, gain=gain, cost=cost)
    return best


def _value(split: Split, demand: Demand, question: RoleQuestion) -> float:
    """Return engine-seconds of work served in time over the horizon."""
    share = served_share(split, demand, question.rates)
    load = load_in_engines(demand, question.rates)
    return share * load * question.parameters.horizon_seconds


def _scenarios(demand: Demand) -> list[Demand]:
    """Return the forecast and one deviation to each side of each rate."""
    up, down = demand.raised(1.0), demand.raised(-1.0)
    return [
        demand,
        Demand(up.prefill, demand.decode, prompt=demand.prompt),
        Demand(down.prefill, demand.decode, prompt=demand.prompt),
        Demand(demand.prefill, up.decode, prompt=demand.prompt),
        Demand(demand.prefill, down.decode, prompt=demand.prompt),
    ]
