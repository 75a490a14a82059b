"""Capacity planning: starts and stops ordinary and cheap upstreams in each zone.

A policy decides how many upstreams are needed; all other rules apply to every policy.
The duties of different zones may be held by different instances. Each holder therefore
computes the plan for all zones, which is deterministic for a given state, and sends
only the actions of its own zone.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from camphorgate.fleet.planner_parameters import PlannerParameters
from camphorgate.fleet.pool_state import Demand, Engine, EngineRates
from camphorgate.fleet.service_share import engines_needed, load_in_engines
from camphorgate.fleet.turns import is_turn_of
from camphorgate.manifest import UpstreamKind
from camphorgate.registry import Registry

# Utilisation above which the greedy policy starts an upstream, and below which it
# stops one.
GREEDY_START_UTILISATION = 0.8
GREEDY_STOP_UTILISATION = 0.5
# Length of a zone's turn to start cheap upstreams. A start is recorded in KV before it
# is ordered, and the other zones read the records every 2 s. The send windows of two
# turns are 4 s apart, so the next zone already counts the starts of this one.
CHEAP_START_TURN_SECONDS = 10.0
# Starts of one kind that a plan orders in one zone and pool.
MAX_STARTS_PER_PLAN = 4
# Number of withdrawn upstreams of a pool at which no further one is withdrawn.
MAX_CONCURRENT_WITHDRAWALS = 2
# An upstream that is down counts as capacity for this long, because it may recover
# before a replacement is ready.
DOWN_GRACE_SECONDS = 60.0
# A withdrawn upstream may still receive requests until every instance has read of the
# withdrawal, so it is stopped no earlier than this.
MIN_WITHDRAWN_SECONDS = 10.0

ZoneAndKind = tuple[str, UpstreamKind]


class CapacityInput(msgspec.Struct, frozen=True):
    """Input of a capacity policy.

    ``current_demand`` is the current demand. ``peak_forecast`` is the highest forecast
    up to the time at which an upstream ordered now is ready.
    """

    engines: tuple[Engine, ...]
    current_demand: Demand
    peak_forecast: Demand
    rates: EngineRates
    parameters: PlannerParameters


class CapacityAction(msgspec.Struct, frozen=True):
    """Order to start an upstream in a zone, or to withdraw or stop an upstream.

    ``kind`` is ``"start"``, ``"withdraw"`` or ``"stop"``.
    """

    kind: str
    availability_zone: str
    upstream_kind: UpstreamKind = "ordinary"
    upstream_id: str = ""
    reason: str = ""


class CapacityHistory:
    """Recent capacity needs, so that capacity shrinks only after a sustained drop.

    The history keeps the highest need of each 30 s interval.
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        """Create an empty history."""
        self._samples: list[tuple[float, int]] = []

    def record_peak(self, need: int, now: float, window_seconds: float) -> int:
        """Record a need and return the highest one within the window."""
        if self._samples and now - self._samples[-1][0] < 30.0:
            at, last = self._samples[-1]
            self._samples[-1] = (at, max(last, need))
        else:
            self._samples.append((now, need))
        self._samples = [
            item for item in self._samples if now - item[0] <= window_seconds
        ]
        return max([need, *(item[1] for item in self._samples)])


CapacityPolicy = Callable[[CapacityInput, CapacityHistory, float], int]
policies: Registry[CapacityPolicy] = Registry("capacity policy")


@policies.register("static")
def keep_capacity(question: CapacityInput, memory: CapacityHistory, now: float) -> int:
    """Keep the current number of upstreams."""
    return len(_expected(question.engines))


@policies.register("greedy_threshold")
def follow_utilisation(
    question: CapacityInput, memory: CapacityHistory, now: float
) -> int:
    """Add one upstream at high utilisation and remove one at low utilisation."""
    serving = sum(engine.present for engine in question.engines)
    total = len(_expected(question.engines))
    utilisation = load_in_engines(question.current_demand, question.rates) / max(
        1, serving
    )
    if utilisation > GREEDY_START_UTILISATION and total == serving:
        return total + 1
    return total - (utilisation < GREEDY_STOP_UTILISATION)


@policies.register("forecast_reserve")
def cover_forecast(question: CapacityInput, memory: CapacityHistory, now: float) -> int:
    """Serve the target share of the forecast demand, raised by its uncertainty."""
    parameters = question.parameters
    demand = question.peak_forecast.plus_deviations(parameters.demand_deviations)
    need = engines_needed(
        demand,
        question.rates,
        parameters.target_share,
        parameters.min_both_share,
        parameters.maximum,
    )
    return memory.record_peak(need, now, parameters.hold_seconds)


def required_reserve(question: CapacityInput) -> int:
    """Return how many upstreams must remain if any one zone loses its cheap ones.

    The remaining upstreams serve ``reserve_share`` of the current demand in time.
    """
    parameters = question.parameters
    return engines_needed(
        question.current_demand,
        question.rates,
        parameters.reserve_share,
        parameters.min_both_share,
        parameters.maximum,
    )


def target_by_zone_and_kind(
    need: int, reserve: int, zones: list[str], parameters: PlannerParameters
) -> dict[ZoneAndKind, int]:
    """Return the target number of upstreams for each zone and kind.

    :param need: total number of upstreams, before the bounds of the manifest apply.
    :param reserve: upstreams that must remain if any one zone loses its cheap ones.
    """
    zones_in_order = sorted(zones)
    total = min(parameters.maximum, max(parameters.minimum, need, reserve, 1))
    cheap = math.floor(
        total * parameters.cheap_share * parameters.cheap_share_factor + 1e-9
    )
    while cheap and total - math.ceil(cheap / len(zones_in_order)) < reserve:
        if total < parameters.maximum:
            total += 1
        else:
            cheap -= 1
    targets: dict[ZoneAndKind, int] = {}
    for index, zone in enumerate(zones_in_order):
        targets[zone, "cheap"] = _even_part(cheap, len(zones_in_order), index)
        # The remainder of the ordinary upstreams goes to the last zones, because that
        # of the cheap ones goes to the first. This keeps the zone totals even.
        last = len(zones_in_order) - 1 - index
        targets[zone, "ordinary"] = _even_part(total - cheap, len(zones_in_order), last)
    return targets


def plan_capacity(
    question: CapacityInput,
    zones: list[str],
    memory: CapacityHistory,
    now: float,
) -> list[CapacityAction]:
    """Return the upstreams to start, withdraw and stop in all zones.

    :param zones: zones in which upstreams may be started.
    :param now: seconds since the Unix epoch.
    """
    parameters = question.parameters
    if parameters.capacity_policy == "static":
        return _stops(question.engines)
    need = policies.get(parameters.capacity_policy)(question, memory, now)
    reserve = required_reserve(question)
    if parameters.capacity_policy != "forecast_reserve":
        reserve = 0
    targets = target_by_zone_and_kind(need, reserve, zones, parameters)
    actions = _stops(question.engines)
    starts = _starts(question, targets, reserve, zones, now)
    return actions + starts + _withdrawals(question, targets, reserve, bool(starts))


def _even_part(count: int, parts: int, index: int) -> int:
    return count // parts + (index < count % parts)


def _expected(engines: Iterable[Engine]) -> list[Engine]:
    """Return the upstreams that are present, starting, or down for a short time."""
    return [
        item
        for item in engines
        if item.present
        or item.phase == "starting"
        or (item.phase == "down" and item.down_seconds < DOWN_GRACE_SECONDS)
    ]


def _stops(engines: Iterable[Engine]) -> list[CapacityAction]:
    return [
        CapacityAction("stop", item.availability_zone, item.kind, item.id, "drained")
        for item in engines
        if item.withdrawn
        and item.withdrawn_seconds >= MIN_WITHDRAWN_SECONDS
        and item.requests_in_flight == 0
        and not item.has_open_order
    ]


def _starts(
    question: CapacityInput,
    targets: dict[ZoneAndKind, int],
    reserve: int,
    zones: list[str],
    now: float,
) -> list[CapacityAction]:
    """Return the starts; an uneven distribution alone does not cause one."""
    expected = _expected(question.engines)
    count_by_zone_and_kind = Counter(
        (item.availability_zone, item.kind) for item in expected
    )
    withdrawn = sum(item.withdrawn for item in question.engines)
    remaining = question.parameters.maximum - len(expected) - withdrawn
    shortfall = _shortfall_by_kind(expected, targets, reserve)
    # Cheap upstreams count as soon as they are ordered, ordinary ones only once they
    # are present. The share then holds in whatever order the platform delivers them.
    cheap = sum(item.kind == "cheap" for item in expected)
    committed = cheap + sum(
        engine.present and engine.kind == "ordinary" for engine in question.engines
    )
    starts: list[CapacityAction] = []
    for zone in sorted(zones):
        for kind in ("ordinary", "cheap"):
            missing = targets[zone, kind] - count_by_zone_and_kind[zone, kind]
            if kind == "cheap" and not is_turn_of(
                now, CHEAP_START_TURN_SECONDS, zone, zones
            ):
                continue
            for _ in range(min(missing, MAX_STARTS_PER_PLAN)):
                if len(starts) >= remaining or shortfall[kind] <= 0:
                    break
                if kind == "cheap":
                    if cheap + 1 > question.parameters.cheap_share * (committed + 1):
                        break
                    cheap, committed = cheap + 1, committed + 1
                shortfall[kind] -= 1
                starts.append(
                    CapacityAction("start", zone, kind, reason="below target")
                )
    return starts


def _shortfall_by_kind(
    expected: list[Engine], targets: dict[ZoneAndKind, int], reserve: int
) -> dict[str, int]:
    """Return how many upstreams of each kind are missing, over all zones.

    Cheap upstreams may be started to replace ordinary ones. Ordinary upstreams are
    started only for the part of the missing total that cheap ones do not cover.
    """
    total = sum(targets.values()) - len(expected)
    if not reserve_holds(expected, reserve):
        total = max(total, 1)
    cheap = sum(count for (_, kind), count in targets.items() if kind == "cheap")
    cheap -= sum(item.kind == "cheap" for item in expected)
    return {"ordinary": total - max(0, cheap), "cheap": cheap}


def _withdrawals(
    question: CapacityInput,
    targets: dict[ZoneAndKind, int],
    reserve: int,
    starting: bool,
) -> list[CapacityAction]:
    """Return at most one withdrawal, if the rest keeps the cheap share and reserve."""
    present = [engine for engine in question.engines if engine.present]
    withdrawn = sum(engine.withdrawn for engine in question.engines)
    count_by_zone_and_kind = Counter(
        (item.availability_zone, item.kind) for item in present
    )
    target_total = sum(targets.values())
    surplus = len(present) - target_total
    if surplus <= 0 or starting or withdrawn >= MAX_CONCURRENT_WITHDRAWALS:
        return []
    eligible = [e for e in present if e.phase == "serving" and not e.has_open_order]
    starting_cheap = [
        item
        for item in question.engines
        if item.phase == "starting" and item.kind == "cheap"
    ]
    # Ordinary upstreams first, as they cost more, then the least busy. Engines that are
    # changing their role are skipped.
    eligible.sort(key=lambda e: (e.kind == "cheap", e.requests_in_flight, e.id))
    for engine in eligible:
        zone_and_kind = (engine.availability_zone, engine.kind)
        if (
            count_by_zone_and_kind[zone_and_kind] <= targets.get(zone_and_kind, 0)
            or engine.target_role
        ):
            continue
        rest = [item for item in present if item.id != engine.id]
        within_share = within_cheap_share([*rest, *starting_cheap], question.parameters)
        if within_share and reserve_holds(rest, reserve):
            return [
                CapacityAction("withdraw", *zone_and_kind, engine.id, "above target")
            ]
    return []


def within_cheap_share(
    engines: Iterable[Engine], parameters: PlannerParameters
) -> bool:
    """Return whether the cheap upstreams stay within the manifest's ``cheap_share``."""
    kinds = Counter(item.kind for item in engines)
    return kinds["cheap"] <= parameters.cheap_share * kinds.total() + 1e-9


def reserve_holds(engines: Iterable[Engine], reserve: int) -> bool:
    """Return whether enough upstreams remain if any one zone loses its cheap ones."""
    engines = list(engines)
    cheap_by_zone = Counter(e.availability_zone for e in engines if e.kind == "cheap")
    largest_loss = max(cheap_by_zone.values(), default=0)
    return len(engines) - largest_loss >= reserve
