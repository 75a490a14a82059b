"""Which duties there are, and which instance should hold each."""

import math

import msgspec
import xxhash

from camphorgate.manifest import Manifest

# Must equal the number of shards in which the extension `usage` reports.
USAGE_SHARDS = 4
# Instances that look after a duty besides the one that should hold it.
STAND_BY_RANKS = 2


class Candidate(msgspec.Struct, frozen=True):
    """An instance that may hold duties: live and not leaving."""

    instance: str
    availability_zone: str


def duty_names(manifest: Manifest) -> list[str]:
    """Return every duty of a configuration."""
    pools = [pool for pool in manifest.pools if pool.kind == "engines"]
    names = [f"engines/{pool.name}" for pool in pools]
    names += [f"capacity/{zone.name}" for zone in manifest.availability_zones]
    return names + [f"usage/{shard}" for shard in range(USAGE_SHARDS)]


def rank(duty: str, candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates in the order in which they should hold a duty.

    The holder of a zone's capacity duty is outside that zone if possible, as it has to
    replace what is lost with the zone.
    """
    kind, _, name = duty.partition("/")

    def key(candidate: Candidate) -> tuple[bool, int]:
        text = f"{duty}\0{candidate.instance}"
        inside = kind == "capacity" and candidate.availability_zone == name
        return inside, xxhash.xxh3_64_intdigest(text.encode())

    return sorted(candidates, key=key)


def assign(duties: list[str], candidates: list[Candidate]) -> dict[str, str]:
    """Return the instance that should hold each duty, in equal shares.

    All instances with the same view reach the same result; where views differ, the
    lease decides.
    """
    if not candidates:
        return {}
    share = math.ceil(len(duties) / len(candidates))
    counts = dict.fromkeys((item.instance for item in candidates), 0)
    assigned = {}
    for duty in sorted(duties):
        for candidate in rank(duty, candidates):
            if counts[candidate.instance] < share:
                assigned[duty] = candidate.instance
                counts[candidate.instance] += 1
                break
    return assigned


def stands_by(duty: str, instance: str, candidates: list[Candidate]) -> bool:
    """Tell whether an instance takes a duty that stays free, though it is another's."""
    first = rank(duty, candidates)[: STAND_BY_RANKS + 1]
    return any(item.instance == instance for item in first)
