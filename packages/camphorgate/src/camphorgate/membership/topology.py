"""Topology of the links between instances, and the choice of those that watch KV.

Up to 9 instances form a full mesh. In larger systems, each zone is a ring with chords,
and each pair of zones is connected by two links that end at different instances. Every
instance computes the same links from the same roster.
"""

import math
from collections.abc import Mapping, Sequence

from camphorgate.membership.roster import hash_name

MAX_LINKS = 8
# With fewer links, losing two neighbours would nearly isolate an instance.
MIN_ZONE_LINKS = 4
LINKS_PER_ZONE_PAIR = 2
WATCHERS_PER_ZONE = 2

# Up to this number of instances, all of them watch KV.
MAX_INSTANCES_ALL_WATCH = 8


def neighbours(own_id: str, ids_by_zone: Mapping[str, Sequence[str]]) -> set[str]:
    """Return the instances to which an instance keeps a link.

    :param ids_by_zone: all listed instances by zone, in any order.
    """
    all_ids = {item for ids in ids_by_zone.values() for item in ids}
    if len(all_ids) <= MAX_LINKS + 1:
        return all_ids - {own_id}
    zones = sorted(zone for zone, ids in ids_by_zone.items() if ids)
    ids_by_zone = {zone: sorted(ids_by_zone[zone]) for zone in zones}
    own_zone = next(zone for zone in zones if own_id in ids_by_zone[zone])
    found = _zone_neighbours(own_id, ids_by_zone[own_zone])
    found |= _remote_neighbours(own_id, own_zone, zones, ids_by_zone)
    return found - {own_id}


def chord_offsets(count: int, links: int) -> list[int]:
    """Return the distances along a ring at which members are linked.

    :param count: number of members of the ring.
    :param links: desired number of links per member; each distance adds two.
    """
    distance_count = max(1, links // 2)
    offsets = {
        round(count ** (step / distance_count)) for step in range(distance_count)
    }
    return sorted(offset for offset in offsets if 0 < offset <= count // 2)


def is_watcher(own_id: str, live_ids_of_zone: Sequence[str], listed: int) -> bool:
    """Return whether an instance watches and reads the root in KV.

    :param live_ids_of_zone: the live instances of its zone, including itself.
    :param listed: number of listed instances.
    """
    if listed <= MAX_INSTANCES_ALL_WATCH:
        return True
    ranked = sorted(live_ids_of_zone, key=lambda item: (hash_name(item), item))
    return own_id in ranked[:WATCHERS_PER_ZONE]


def _zone_links(count: int) -> int:
    """Return the number of links of each instance inside its zone."""
    if count <= 5:
        return count - 1
    return min(MAX_LINKS - 2, max(MIN_ZONE_LINKS, 2 * round(math.log2(count) / 2)))


def _zone_neighbours(own_id: str, ids: Sequence[str]) -> set[str]:
    count = len(ids)
    if count <= 5:
        return set(ids) - {own_id}
    position = ids.index(own_id)
    offsets = chord_offsets(count, _zone_links(count))
    return {
        ids[(position + sign * offset) % count]
        for offset in offsets
        for sign in (1, -1)
    }


def _remote_neighbours(
    own_id: str,
    own_zone: str,
    zones: Sequence[str],
    ids_by_zone: Mapping[str, Sequence[str]],
) -> set[str]:
    offsets = _zone_offsets(zones, ids_by_zone)
    own_links = _links_of_zone(own_zone, zones, offsets)
    own_ids = ids_by_zone[own_zone]
    found = set()
    for slot, (zone, number) in enumerate(own_links):
        if _endpoint(own_ids, slot, len(own_links)) != own_id:
            continue
        links = _links_of_zone(zone, zones, offsets)
        remote_slot = links.index((own_zone, number))
        found.add(_endpoint(ids_by_zone[zone], remote_slot, len(links)))
    return found


def _zone_offsets(
    zones: Sequence[str], ids_by_zone: Mapping[str, Sequence[str]]
) -> list[int]:
    """Return the distances at which zones are linked: all, if there are enough links.

    Linking every pair of many small zones would take more than 8 links per instance.
    In that case the zones themselves form a ring with chords.
    """
    free_links = min(
        len(ids) * (MAX_LINKS - _zone_links(len(ids))) for ids in ids_by_zone.values()
    )
    max_zone_links = max(2, free_links // LINKS_PER_ZONE_PAIR)
    if len(zones) - 1 <= max_zone_links:
        return list(range(1, len(zones) // 2 + 1))
    return chord_offsets(len(zones), max_zone_links)


def _links_of_zone(
    zone: str, zones: Sequence[str], offsets: Sequence[int]
) -> list[tuple[str, int]]:
    """Return the links of a zone to others, as pairs of a zone and a link number."""
    position = zones.index(zone)
    others = {
        zones[(position + sign * offset) % len(zones)]
        for offset in offsets
        for sign in (1, -1)
    } - {zone}
    numbers = range(LINKS_PER_ZONE_PAIR)
    return [(other, number) for other in sorted(others) for number in numbers]


def _endpoint(ids: Sequence[str], slot: int, slots: int) -> str:
    """Return the instance at which a link ends; adjacent slots get different ones."""
    if slots <= len(ids):
        return ids[slot * len(ids) // slots]
    return ids[slot % len(ids)]
