"""Starts and stops upstreams by zone, ordinary and cheap.

A policy says how many upstreams are needed; the rest holds for every policy. Each
zone's duty may be held by another instance, so a plan covers all zones, is the same
on all of them for the same state, and its holder sends the actions of its own zone.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from camphorgate.fleet.objective import PlannerParameters
from camphorgate.fleet.service_share import engines_needed, load_in_engines
from camphorgate.fleet.slots import has_turn
from camphorgate.fleet.state import Demand, Engine, Rates
from camphorgate.manifest import UpstreamKind
from camphorgate.registry import Registry

# Utilisations at which the greedy policy starts and stops an upstream.
GREEDY_START = 0.8
GREEDY_STOP = 0.5
# Length of a zone's turn to start cheap upstreams. What a zone starts is noted in KV
# before it is ordered and read every 2 s by the others; between the send windows of
# two turns are 4 s, so that the next zone counts what this one ordered.
CHEAP_TURN_SECONDS = 10.0
# Orders of one zone and pool in one plan.
STARTS_PER_PLAN = 4
WITHDRAWN_AT_ONCE = 2
# An upstream that is down may be back before another one is ready.
DOWN_SECONDS = 60.0
# A withdrawn upstream is idle for good only once every instance has read of it.
SETTLE_SECONDS = 10.0

Place = tuple[str, UpstreamKind]


class CapacityQuestion(msgspec.Struct, frozen=True):
    """What a policy decides on.

    ``near`` is the demand now, ``far`` the highest of the forecasts up to the time at
    which an upstream that is ordered now is ready.
    """

    engines: tuple[Engine, ...]
    near: Demand
    far: Demand
    rates: Rates
    parameters: PlannerParameters


class CapacityAction(msgspec.Struct, frozen=True):
    """One order: ``start`` in a zone, or ``withdraw`` or ``stop`` of an upstream."""

    kind: str
    availability_zone: str
    upstream_kind: UpstreamKind = "ordinary"
    upstream_id: str = ""
    reason: str = ""


class CapacityMemory:
    """What was needed lately, so that capacity goes back only after a lull.

    The history holds the highest need of each half minute.
    """

    __slots__ = ("_needs",)

    def __init__(self) -> None:
        """Start without history."""
        self._needs: list[tuple[float, int]] = []

    def highest(self, need: int, now: float, hold_seconds: float) -> int:
        """Note a need and return the highest of the last while."""
        if self._needs and now - self._needs[-1][0] < 30.0:
            at, last = self._needs[-1]
            self._needs[-1] = (at, max(last, need))
        else:
            self._needs.append((now, need))
        self._needs = [item for item in self._needs if now - item[0] <= hold_seconds]
        return max([need, *(item[1] for item in self._needs)])


CapacityPolicy = Callable[[CapacityQuestion, CapacityMemory, float], int]
policies: Registry[CapacityPolicy] = Registry("capacity policy")


@policies.register("static")
def keep_capacity(
    question: CapacityQuestion, memory: CapacityMemory, now: float
) -> int:
    """Keep what there is."""
    return len(_counted(question.engines))


@policies.register("greedy_threshold")
def follow_utilisation(
    question: CapacityQuestion, memory: CapacityMemory, now: float
) -> int:
    """Add one upstream when those that serve are busy, remove one when idle."""
    serving = sum(engine.present for engine in question.engines)
    total = len(_counted(question.engines))
    utilisation = load_in_engines(question.near, question.rates) / max(1, serving)
    if utilisation > GREEDY_START and total == serving:
        return total + 1
    return total - (utilisation < GREEDY_STOP)


@policies.register("forecast_reserve")
def cover_forecast(
    question: CapacityQuestion, memory: CapacityMemory, now: float
) -> int:
    """Serve the target share of the forecast, plus its uncertainty."""
    parameters = question.parameters
    demand = question.far.raised(parameters.demand_deviations)
    need = engines_needed(
        demand,
        question.rates,
        parameters.target_share,
        parameters.both_share,
        parameters.maximum,
    )
    return memory.highest(need, now, parameters.hold_seconds)


def reserve_of(question: CapacityQuestion) -> int:
    """Return how many upstreams must be left after any zone's cheap ones vanish.

    They still serve ``reserve_share`` of the present demand in time.
    """
    parameters = question.parameters
    return engines_needed(
        question.near,
        question.rates,
        parameters.reserve_share,
        parameters.both_share,
        parameters.maximum,
    )


def target_by_place(
    need: int, reserve: int, zones: list[str], parameters: PlannerParameters
) -> dict[Place, int]:
    """Spread a number of upstreams over zones and kinds.

    :param need: upstreams in total, before the bounds of the manifest.
    :param reserve: upstreams that must be left without any one zone's cheap ones.
    """
    order = sorted(zones)
    total = min(parameters.maximum, max(parameters.minimum, need, reserve, 1))
    cheap = math.floor(total * parameters.cheap_share * parameters.cheap_use + 1e-9)
    while cheap and total - math.ceil(cheap / len(order)) < reserve:
        if total < parameters.maximum:
            total += 1
        else:
            cheap -= 1
    targets: dict[Place, int] = {}
    for index, zone in enumerate(order):
        targets[zone, "cheap"] = _even(cheap, len(order), index)
        # Ordinary ones fill up from the last zone, so that totals are even too.
        last = len(order) - 1 - index
        targets[zone, "ordinary"] = _even(total - cheap, len(order), last)
    return targets


def plan_capacity(
    question: CapacityQuestion,
    zones: list[str],
    memory: CapacityMemory,
    now: float,
) -> list[CapacityAction]:
    """Return what to start, withdraw and stop, over all zones.

    :param zones: the zones in which upstreams may be started.
    :param now: seconds since the Unix epoch.
    """
    parameters = question.parameters
    if parameters.capacity_policy == "static":
        return _stops(question.engines)
    need = policies.get(parameters.capacity_policy)(question, memory, now)
    reserve = reserve_of(question)
    if parameters.capacity_policy != "forecast_reserve":
        reserve = 0
    targets = target_by_place(need, reserve, zones, parameters)
    actions = _stops(question.engines)
    starts = _starts(question, targets, reserve, zones, now)
    return actions + starts + _withdrawals(question, targets, reserve, bool(starts))


def _even(count: int, parts: int, index: int) -> int:
    return count // parts + (index < count % parts)


def _counted(engines: Iterable[Engine]) -> list[Engine]:
    """Return the upstreams that are here to stay, or on their way."""
    return [
        item
        for item in engines
        if item.present
        or item.phase == "starting"
        or (item.phase == "down" and item.down_for < DOWN_SECONDS)
    ]


def _stops(engines: Iterable[Engine]) -> list[CapacityAction]:
    return [
        CapacityAction(
            "stop", item.availability_zone, item.kind, item.id, "no work is left"
        )
        for item in engines
        if item.withdrawn
        and item.withdrawn_for >= SETTLE_SECONDS
        and item.running == 0
        and not item.open_order
    ]


def _starts(
    question: CapacityQuestion,
    targets: dict[Place, int],
    reserve: int,
    zones: list[str],
    now: float,
) -> list[CapacityAction]:
    """Return what to start; an uneven spread alone is not worth an upstream."""
    kept = _counted(question.engines)
    count_by_place = Counter((item.availability_zone, item.kind) for item in kept)
    withdrawn = sum(item.withdrawn for item in question.engines)
    room = question.parameters.maximum - len(kept) - withdrawn
    short = _short_by_kind(kept, targets, reserve)
    # Cheap ones on their way count in full, ordinary ones only once they serve: the
    # share then holds in whatever order the platform delivers.
    cheap = sum(item.kind == "cheap" for item in kept)
    sure = cheap + sum(e.present and e.kind == "ordinary" for e in question.engines)
    starts: list[CapacityAction] = []
    for zone in sorted(zones):
        for kind in ("ordinary", "cheap"):
            missing = targets[zone, kind] - count_by_place[zone, kind]
            if kind == "cheap" and not has_turn(now, CHEAP_TURN_SECONDS, zone, zones):
                continue
            for _ in range(min(missing, STARTS_PER_PLAN)):
                if len(starts) >= room or short[kind] <= 0:
                    break
                if kind == "cheap":
                    if cheap + 1 > question.parameters.cheap_share * (sure + 1):
                        break
                    cheap, sure = cheap + 1, sure + 1
                short[kind] -= 1
                starts.append(CapacityAction("start", zone, kind, reason="below plan"))
    return starts


def _short_by_kind(
    kept: list[Engine], targets: dict[Place, int], reserve: int
) -> dict[str, int]:
    """Return how many more of each kind are wanted, over all zones.

    Ordinary ones make up what the total lacks; cheap ones also replace ordinary ones.
    """
    total = sum(targets.values()) - len(kept)
    if not reserve_holds(kept, reserve):
        total = max(total, 1)
    cheap = sum(count for (_, kind), count in targets.items() if kind == "cheap")
    cheap -= sum(item.kind == "cheap" for item in kept)
    return {"ordinary": total - max(0, cheap), "cheap": cheap}


def _withdrawals(
    question: CapacityQuestion, targets: dict[Place, int], reserve: int, starting: bool
) -> list[CapacityAction]:
    """Return what to withdraw, one in a plan, if the rest holds the plan."""
    kept = [engine for engine in question.engines if engine.present]
    leaving = sum(engine.withdrawn for engine in question.engines)
    count_by_place = Counter((item.availability_zone, item.kind) for item in kept)
    wanted = sum(targets.values())
    surplus = len(kept) - wanted
    if surplus <= 0 or starting or leaving >= WITHDRAWN_AT_ONCE:
        return []
    able = [e for e in kept if e.phase == "serving" and not e.open_order]
    coming = [
        item
        for item in question.engines
        if item.phase == "starting" and item.kind == "cheap"
    ]
    # The dearest first, then the least busy; a role that is changing is left alone.
    able.sort(key=lambda e: (e.kind == "cheap", e.running, e.id))
    for engine in able:
        place = (engine.availability_zone, engine.kind)
        if count_by_place[place] <= targets.get(place, 0) or engine.target:
            continue
        rest = [item for item in kept if item.id != engine.id]
        share = share_holds([*rest, *coming], question.parameters)
        if share and reserve_holds(rest, reserve):
            return [CapacityAction("withdraw", *place, engine.id, "above plan")]
    return []


def share_holds(engines: Iterable[Engine], parameters: PlannerParameters) -> bool:
    """Tell whether the cheap upstreams stay within the share of the manifest."""
    kinds = Counter(item.kind for item in engines)
    return kinds["cheap"] <= parameters.cheap_share * kinds.total() + 1e-9


def reserve_holds(engines: Iterable[Engine], reserve: int) -> bool:
    """Tell whether enough is left after any one zone's cheap upstreams vanish."""
    engines = list(engines)
    cheap_by_zone = Counter(e.availability_zone for e in engines if e.kind == "cheap")
    worst = max(cheap_by_zone.values(), default=0)
    return len(engines) - worst >= reserve
