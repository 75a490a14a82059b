"""How many upstreams to order and which engines read prompts.

Answers a day whose mix swings between long prompts and long answers within seconds,
while ordered engines arrive seconds later and a role change costs an engine for
seconds: cheap engines are kept up to the bound all day, and the part that reads
prompts is set for the reading load, which is the scarce stage.
"""

import msgspec

from camphorgate.serving.catalog import Phase, Service, Upstream

# The part of the engines that read prompts.
READING_PART = 0.6
# Engines of each phase that must stay, so that the loss of one stops nothing.
LEAST_OF_PHASE = 1
# A refused order for cheap upstreams is given again after this time.
AGAIN_SECONDS = 4.0


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


def plan_capacity(service: Service, upstreams: list[Upstream]) -> list[CapacityOrder]:
    """Return the wanted numbers of cheap upstreams, one order per zone.

    :param upstreams: the listed ones of the service, leaving ones included.
    """
    scaling = service.scaling
    if scaling is None or scaling.cheap_price is None:
        return []
    zones = set(scaling.price_by_zone)
    if not zones:
        zones = {upstream.zone for upstream in upstreams}
    used = {upstream.zone for upstream in upstreams}
    orders = []
    for zone in sorted(zones & used or zones):
        ordinary = sum(
            1
            for upstream in upstreams
            if upstream.zone == zone and not upstream.cheap and not upstream.leaving
        )
        count = max(0, scaling.maximum - ordinary)
        orders.append(CapacityOrder(service.name, zone, count, cheap=True))
    return orders


def plan_phases(upstreams: list[Upstream]) -> list[PhaseOrder]:
    """Return the phase changes that bring the reading part to its share.

    Cheap engines read and ordinary ones answer where there is a choice: a reclaimed
    reader loses prompts that can be read again, a reclaimed answerer loses streams.
    Every zone keeps both phases if it has two engines, so that caches move within it.

    :param upstreams: the engines of a service that take requests.
    """
    orders = []
    by_zone: dict[str, list[Upstream]] = {}
    for upstream in upstreams:
        if upstream.phase is not None:
            by_zone.setdefault(upstream.zone, []).append(upstream)
    for zone in sorted(by_zone):
        engines = by_zone[zone]
        if len(engines) < 2 * LEAST_OF_PHASE:
            continue
        wanted = round(len(engines) * READING_PART)
        wanted = max(LEAST_OF_PHASE, min(len(engines) - LEAST_OF_PHASE, wanted))
        readers = [item for item in engines if item.phase is Phase.PREFILL]
        others = [item for item in engines if item.phase is not Phase.PREFILL]
        others.sort(key=lambda item: (not item.cheap, item.id))
        readers.sort(key=lambda item: (item.cheap, item.id))
        missing = wanted - len(readers)
        for item in others[: max(0, missing)]:
            orders.append(PhaseOrder(item, Phase.PREFILL))
        for item in readers[: max(0, -missing)]:
            orders.append(PhaseOrder(item, Phase.DECODE))
    return orders


