"""Groups of upstreams whose slots one owner lends.

Load addressed: services of 3 to some hundred upstreams with about 6 slots each, that
take 70 to 90 ms for a request. One owner lends the slots of a small service, so that
none is free while a request waits. The upstreams of a large one are divided by zone and
hash, so that no owner handles more than some hundred requests per second.
"""

import msgspec
import xxhash

from camphorgate.serving.catalog import Upstream
from camphorgate.serving.permit_owners import choose_owner

# Slots that one owner lends: at 90 ms for a request, about 330 requests a second.
MAX_GROUP_SLOTS = 30


class Group(msgspec.Struct, frozen=True):
    """Upstreams whose slots one owner lends; ``zone`` is the zone of the owner."""

    key: str
    zone: str
    upstreams: tuple[Upstream, ...]


def group_upstreams(service: str, upstreams: list[Upstream]) -> dict[str, Group]:
    """Return the groups of a service's upstreams by key."""
    if not upstreams:
        return {}
    by_zone: dict[str, list[Upstream]] = {}
    for item in upstreams:
        by_zone.setdefault(item.zone, []).append(item)
    if count_slots(upstreams) <= MAX_GROUP_SLOTS:
        zone = choose_owner(service, by_zone)
        return {service: Group(service, zone, tuple(upstreams))}
    groups = {}
    for zone, found in by_zone.items():
        parts = -(-count_slots(found) // MAX_GROUP_SLOTS)
        by_part: dict[int, list[Upstream]] = {}
        for item in found:
            digest = xxhash.xxh3_64_intdigest(item.id.encode())
            by_part.setdefault(digest % parts, []).append(item)
        for part, members in by_part.items():
            key = f"{service}/{zone}/{parts}/{part}"
            groups[key] = Group(key, zone, tuple(members))
    return groups


def count_slots(upstreams: list[Upstream]) -> int:
    """Return the declared slots of some upstreams, at least one each."""
    return sum(max(1, item.slots) for item in upstreams)
