"""Planning of the number of upstreams and of the phase of each engine.

The load shifts between long prompts and long outputs within seconds, while ordered
engines arrive seconds later and a phase change makes an engine unavailable for seconds.
Prefill is the scarce phase and cheap engines cost a fraction of ordinary ones, so cheap
engines are always ordered up to the bound and mostly prefill; if one is reclaimed, its
prompts can be prefilled again. The remaining ordinary engines serve the streams.
"""

import math
from collections.abc import Iterable

import msgspec

from camphorgate.serving.catalog import Phase, Service, Upstream

# Fraction of a service's engines that decode; the others prefill.
DECODE_FRACTION = 0.35
# Surplus of engines per zone that may keep decoding while the fleet changes.
SPARE_DECODE_ENGINES = 1
# The list of a service's engines is considered stable (``calm``) after this time
# without a change.
STABLE_LIST_SECONDS = 3.0
# Number of ordinary engines in a zone that keeps any.
ORDINARY_PER_ZONE = 1
# One in this many zones, starting with the least expensive, keeps ordinary engines.
# A reclaim takes the cheap engines of one zone only, and the other zones continue.
# Other zones have ordinary engines only while they lack cheap ones.
ZONES_PER_ORDINARY_ZONE = 4
# Fraction of a zone's missing cheap engines replaced by ordinary ones while no cheap
# ones are available; the other zones take the rest of the work.
SUBSTITUTED_FRACTION = 0.5
# Cheap engines of a zone count as unavailable for this long after an order was refused.
CHEAP_UNAVAILABLE_SECONDS = 6.0
# Below this fraction of prefill engines, surplus decode engines change their phase even
# while the fleet changes.
MIN_PREFILL_FRACTION = 0.4
# A refused order for cheap upstreams is repeated after this time.
ORDER_RETRY_SECONDS = 2.0


class CapacityOrder(msgspec.Struct, frozen=True):
    """The desired number of cheap or ordinary upstreams of a service in a zone."""

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
    cheap_unavailable_zones: frozenset[str],
    engines_per_zone: int | None = None,
) -> list[CapacityOrder]:
    """Return the desired numbers of cheap and ordinary upstreams in each zone.

    :param upstreams: the listed upstreams of the service, including leaving ones.
    :param zones: zones of the service, including those that lost every upstream.
    :param cheap_unavailable_zones: zones where cheap upstreams were recently
        unavailable; ordinary upstreams replace some of those that are missing there.
    :param engines_per_zone: number of upstreams wanted in each zone; the declared
        maximum by default.
    """
    scaling = service.scaling
    if scaling is None or scaling.cheap_price is None:
        return []
    wanted = scaling.maximum if engines_per_zone is None else engines_per_zone
    keepers = ordinary_zones(service, zones)
    orders = []
    for zone in sorted(zones):
        cheap = sum(
            1
            for item in upstreams
            if item.zone == zone and item.cheap and not item.leaving
        )
        ordinary = ORDINARY_PER_ZONE
        missing = max(0, wanted - ordinary - cheap)
        if zone not in keepers and cheap and not missing:
            ordinary = 0
        elif zone in cheap_unavailable_zones:
            ordinary += math.ceil(missing * SUBSTITUTED_FRACTION)
        ordinary = min(wanted, ordinary)
        orders.append(CapacityOrder(service.name, zone, ordinary, cheap=False))
        # The number applies to the sum of both kinds.
        count = max(0, wanted - ordinary)
        orders.append(CapacityOrder(service.name, zone, count, cheap=True))
    return orders


def ordinary_zones(service: Service, zones: Iterable[str]) -> frozenset[str]:
    """Return the zones that always keep ordinary upstreams of a service."""
    scaling = service.scaling
    if scaling is None or scaling.cheap_price is None:
        return frozenset(zones)
    by_price = sorted(
        zones, key=lambda zone: (scaling.price_by_zone.get(zone, 1), zone)
    )
    return frozenset(by_price[: -(-len(by_price) // ZONES_PER_ORDINARY_ZONE)])


def plan_phases(
    upstreams: list[Upstream], calm: bool, ordinary_zones: frozenset[str]
) -> list[PhaseOrder]:
    """Return the phase changes that a service's engines need.

    In zones that keep ordinary engines, these are the first to decode; elsewhere they
    are the last, as they leave once there are enough cheap ones. Every zone with two
    engines keeps both phases, so that caches move within the zone. A decode engine
    takes seconds to change, as its streams end first, so a surplus of one is accepted
    unless the list is calm or too few engines prefill.

    :param upstreams: the engines of a service that accept requests.
    :param calm: whether the list of engines has not changed recently.
    :param ordinary_zones: the zones that always keep ordinary engines.
    """
    orders = []
    by_zone: dict[str, list[Upstream]] = {}
    for upstream in upstreams:
        if upstream.phase is not None:
            by_zone.setdefault(upstream.zone, []).append(upstream)
    known = [item for items in by_zone.values() for item in items]
    prefilling = sum(1 for item in known if item.phase is Phase.PREFILL)
    short_of_prefill = prefilling < len(known) * MIN_PREFILL_FRACTION
    wanted_by_zone = distribute_decode_engines(
        {zone: len(by_zone[zone]) for zone in by_zone}
    )
    for zone in sorted(by_zone):
        engines = by_zone[zone]
        wanted = wanted_by_zone[zone]
        engines.sort(
            key=lambda item: (
                item.cheap is (zone in ordinary_zones),
                item.phase is not Phase.DECODE,
                item.id,
            )
        )
        decoding = sum(1 for item in engines if item.phase is Phase.DECODE)
        settled = calm or (short_of_prefill and decoding > wanted)
        for number, engine in enumerate(engines):
            phase = Phase.DECODE if number < wanted else Phase.PREFILL
            if engine.phase is phase:
                continue
            if phase is Phase.DECODE and not calm and decoding >= wanted:
                continue
            if (
                phase is Phase.PREFILL
                and not settled
                and decoding <= wanted + SPARE_DECODE_ENGINES
            ):
                continue
            orders.append(PhaseOrder(engine, phase))
    # Changes to decode go first, as a zone without a decode engine is worse off.
    orders.sort(key=lambda order: order.phase is not Phase.DECODE)
    return orders


def distribute_decode_engines(engines_by_zone: dict[str, int]) -> dict[str, int]:
    """Return the number of decode engines of each zone.

    The fraction applies to the service as a whole, so that rounding in small zones does
    not add up. Each zone with two engines keeps both phases. A single zone with more
    than two engines keeps two that decode, as no other zone takes over if one crashes.

    :param engines_by_zone: number of engines by zone.
    """
    wanted = {}
    for zone, engines in engines_by_zone.items():
        min_decoding = 2 if len(engines_by_zone) == 1 and engines > 2 else 1
        whole = int(engines * DECODE_FRACTION)
        wanted[zone] = engines if engines < 2 else max(min_decoding, whole)
    missing = round(sum(engines_by_zone.values()) * DECODE_FRACTION)
    missing -= sum(wanted.values())
    # Zones that lost most by rounding down come first.
    candidates = sorted(
        (zone for zone in wanted if wanted[zone] < engines_by_zone[zone] - 1),
        key=lambda zone: (wanted[zone] - engines_by_zone[zone] * DECODE_FRACTION, zone),
    )
    for zone in candidates[: max(0, missing)]:
        wanted[zone] += 1
    return wanted
