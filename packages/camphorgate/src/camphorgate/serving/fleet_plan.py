"""How many upstreams to order and which engines read prompts.

Answers a day whose mix swings between long prompts and long answers within seconds,
while ordered engines arrive seconds later and a role change costs an engine for
seconds. Reading prompts is the scarce stage and cheap engines cost a fraction of
ordinary ones, so cheap engines are kept up to the bound all day and mostly read; a
reclaimed reader loses prompts that can be read again. The ordinary engines that remain
hold the streams.
"""

import msgspec

from camphorgate.serving.catalog import Phase, Service, Upstream

# The part of a zone's engines that answers; the others read prompts.
ANSWERING_PART = 0.25
# Ordinary engines that each zone keeps, so that a reclaim of every cheap one leaves
# engines that answer.
ORDINARY_PER_ZONE = 1
# With fewer engines than this part of the bound, ordinary ones are ordered too.
SHORT_PART = 0.5
SHORT_ORDINARY_PER_ZONE = 2
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


def plan_capacity(
    service: Service, upstreams: list[Upstream], settled: bool
) -> list[CapacityOrder]:
    """Return the wanted numbers of upstreams, of both kinds in each zone.

    :param upstreams: the listed ones of the service, leaving ones included.
    :param settled: whether what was ordered first has had the time to start.
    """
    scaling = service.scaling
    if scaling is None or scaling.cheap_price is None or not upstreams:
        return []
    zones = sorted({upstream.zone for upstream in upstreams})
    present = [upstream for upstream in upstreams if not upstream.leaving]
    short = settled and len(present) < scaling.maximum * len(zones) * SHORT_PART
    ordinary = SHORT_ORDINARY_PER_ZONE if short else ORDINARY_PER_ZONE
    ordinary = min(scaling.maximum, max(scaling.minimum, ordinary))
    orders = []
    for zone in zones:
        orders.append(CapacityOrder(service.name, zone, ordinary, cheap=False))
        count = max(0, scaling.maximum - ordinary)
        orders.append(CapacityOrder(service.name, zone, count, cheap=True))
    return orders


def plan_phases(upstreams: list[Upstream]) -> list[PhaseOrder]:
    """Return the phase changes that a service's engines need.

    Ordinary engines answer before cheap ones do. Every zone keeps both phases if it has
    two engines, so that caches move within it.

    :param upstreams: the engines of a service that take requests.
    """
    orders = []
    by_zone: dict[str, list[Upstream]] = {}
    for upstream in upstreams:
        if upstream.phase is not None:
            by_zone.setdefault(upstream.zone, []).append(upstream)
    for zone in sorted(by_zone):
        engines = by_zone[zone]
        if len(engines) < 2:
            continue
        wanted = max(1, round(len(engines) * ANSWERING_PART))
        if len(by_zone) == 1 and len(engines) > 2:
            wanted = max(2, wanted)
        engines.sort(
            key=lambda item: (item.cheap, item.phase is not Phase.DECODE, item.id)
        )
        for number, engine in enumerate(engines):
            phase = Phase.DECODE if number < wanted else Phase.PREFILL
            if engine.phase is not phase:
                orders.append(PhaseOrder(engine, phase))
    # Engines that start to answer go first, as a zone without one is worse off.
    orders.sort(key=lambda order: order.phase is not Phase.DECODE)
    return orders
