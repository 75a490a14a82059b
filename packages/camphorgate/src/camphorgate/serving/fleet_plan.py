"""How many upstreams to order and which engines read prompts.

Answers a day whose mix swings between long prompts and long answers within seconds,
while ordered engines arrive seconds later and a role change costs an engine for
seconds. Reading prompts is the scarce stage and cheap engines cost a fraction of
ordinary ones, so cheap engines are kept up to the bound all day and mostly read; a
reclaimed reader loses prompts that can be read again. The ordinary engines that remain
hold the streams.
"""

import math
from collections.abc import Iterable

import msgspec

from camphorgate.serving.catalog import Phase, Service, Upstream

# The part of a service's engines that answers; the others read prompts.
ANSWERING_PART = 0.35
# Engines that answer beyond that, and are left alone while the fleet changes.
SPARE = 1
# The list counts as calm after this time without a change of a service's engines.
CALM_SECONDS = 3.0
# Ordinary engines in a zone that keeps any.
ORDINARY_PER_ZONE = 1
# One zone of this many, the least expensive, keeps ordinary engines; a reclaim takes
# the cheap engines of one zone only, and the others go on. Another zone has ordinary
# ones only while it lacks cheap ones.
ZONES_PER_KEEPER = 4
# The part of a zone's missing cheap engines whose place ordinary ones take while none
# are to be had; the other zones take the rest of the work.
REPLACED_PART = 0.5
# A zone counts as dry this long after cheap ones were refused there.
DRY_SECONDS = 6.0
# Below this part of all engines, reading is so short that answering engines change
# their phase even while the fleet changes.
LEAST_READING_PART = 0.4
# A refused order for cheap upstreams is given again after this time.
AGAIN_SECONDS = 2.0


class CapacityOrder(msgspec.Struct, frozen=True):
    """The number of cheap or ordinary upstreams of a service wanted in a zone."""

    service: str
    zone: str
    count: int
    cheap: bool


class PhaseOrder(msgspec.Struct, frozen=True):
    """An engine that should change its phase."""

    upstream: Upstream
    phase: Phase


def plan_capacity(
    service: Service,
    upstreams: list[Upstream],
    zones: Iterable[str],
    dry_zones: frozenset[str],
) -> list[CapacityOrder]:
    """Return the wanted numbers of upstreams, of both kinds in each zone.

    :param upstreams: the listed ones of the service, leaving ones included.
    :param zones: where the service runs, also those that have lost every upstream.
    :param dry_zones: where cheap upstreams were not to be had lately; ordinary ones
        take the place of those that are missing there.
    """
    scaling = service.scaling
    if scaling is None or scaling.cheap_price is None:
        return []
    keepers = keeping_zones(service, zones)
    orders = []
    for zone in sorted(zones):
        cheap = sum(
            1
            for item in upstreams
            if item.zone == zone and item.cheap and not item.leaving
        )
        ordinary = ORDINARY_PER_ZONE
        missing = max(0, scaling.maximum - ordinary - cheap)
        if zone not in keepers and cheap and not missing:
            ordinary = 0
        elif zone in dry_zones:
            ordinary += math.ceil(missing * REPLACED_PART)
        ordinary = min(scaling.maximum, ordinary)
        orders.append(CapacityOrder(service.name, zone, ordinary, cheap=False))
        # The bound holds for both kinds together.
        count = max(0, scaling.maximum - ordinary)
        orders.append(CapacityOrder(service.name, zone, count, cheap=True))
    return orders


def keeping_zones(service: Service, zones: Iterable[str]) -> frozenset[str]:
    """Return the zones that always keep ordinary upstreams of a service."""
    scaling = service.scaling
    if scaling is None or scaling.cheap_price is None:
        return frozenset(zones)
    by_price = sorted(
        zones, key=lambda zone: (scaling.price_by_zone.get(zone, 1), zone)
    )
    return frozenset(by_price[: -(-len(by_price) // ZONES_PER_KEEPER)])


def plan_phases(
    upstreams: list[Upstream], calm: bool, keepers: frozenset[str]
) -> list[PhaseOrder]:
    """Return the phase changes that a service's engines need.

    Ordinary engines answer before cheap ones do where they stay; elsewhere they answer
    last, as they leave once there are enough cheap ones. Every zone keeps both phases
    if it has two engines, so that caches move within it. An engine that answers takes
    seconds to change, as its streams end first, so one too many is left alone unless it
    is calm.

    :param upstreams: the engines of a service that take requests.
    :param calm: whether the list has not changed for some time.
    :param keepers: the zones that always keep ordinary engines.
    """
    orders = []
    by_zone: dict[str, list[Upstream]] = {}
    for upstream in upstreams:
        if upstream.phase is not None:
            by_zone.setdefault(upstream.zone, []).append(upstream)
    known = [item for items in by_zone.values() for item in items]
    reading = sum(1 for item in known if item.phase is Phase.PREFILL)
    short_of_readers = reading < len(known) * LEAST_READING_PART
    wanted_by_zone = share_answerers({zone: len(by_zone[zone]) for zone in by_zone})
    for zone in sorted(by_zone):
        engines = by_zone[zone]
        wanted = wanted_by_zone[zone]
        engines.sort(
            key=lambda item: (
                item.cheap is (zone in keepers),
                item.phase is not Phase.DECODE,
                item.id,
            )
        )
        answering = sum(1 for item in engines if item.phase is Phase.DECODE)
        settled = calm or (short_of_readers and answering > wanted)
        for number, engine in enumerate(engines):
            phase = Phase.DECODE if number < wanted else Phase.PREFILL
            if engine.phase is phase:
                continue
            if phase is Phase.DECODE and not calm and answering >= wanted:
                continue
            if phase is Phase.PREFILL and not settled and answering <= wanted + SPARE:
                continue
            orders.append(PhaseOrder(engine, phase))
    # Engines that start to answer go first, as a zone without one is worse off.
    orders.sort(key=lambda order: order.phase is not Phase.DECODE)
    return orders


def share_answerers(engines_by_zone: dict[str, int]) -> dict[str, int]:
    """Return how many engines of each zone answer.

    The part holds for the service as a whole, so that small zones do not round it all
    up or all down. Each zone with two engines keeps both phases; a single zone keeps
    two that answer, as no other takes over from one that crashes.

    :param engines_by_zone: number of engines by zone.
    """
    wanted = {}
    for zone, engines in engines_by_zone.items():
        least = 2 if len(engines_by_zone) == 1 and engines > 2 else 1
        whole = int(engines * ANSWERING_PART)
        wanted[zone] = engines if engines < 2 else max(least, whole)
    missing = round(sum(engines_by_zone.values()) * ANSWERING_PART)
    missing -= sum(wanted.values())
    # The zones whose part was cut off most come first.
    rests = sorted(
        (zone for zone in wanted if wanted[zone] < engines_by_zone[zone] - 1),
        key=lambda zone: (wanted[zone] - engines_by_zone[zone] * ANSWERING_PART, zone),
    )
    for zone in rests[: max(0, missing)]:
        wanted[zone] += 1
    return wanted
