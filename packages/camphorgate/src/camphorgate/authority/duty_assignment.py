"""The duties of a configuration and their assignment to instances."""

import math

import msgspec
import xxhash

from camphorgate.manifest import Manifest

# Must equal the number of shards that the `usage` extension reports.
USAGE_SHARDS = 4
# Number of instances that stand by for a duty besides its preferred holder.
STANDBY_CANDIDATES = 2


class Candidate(msgspec.Struct, frozen=True):
    """A live instance that is not leaving and may hold duties."""

    instance: str
    availability_zone: str


def duty_names(manifest: Manifest) -> list[str]:
    """Return the names of all duties of a configuration."""
    pools = [pool for pool in manifest.pools if pool.kind == "engines"]
    names = [f"engines/{pool.name}" for pool in pools]
    names += [f"capacity/{zone.name}" for zone in manifest.availability_zones]
    return names + [f"usage/{shard}" for shard in range(USAGE_SHARDS)]


def rank_candidates(duty: str, candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates for a duty, most preferred first.

    Candidates outside a zone are preferred for its capacity duty, as its holder has to
    replace the zone's capacity if the zone fails.
    """
    kind, _, name = duty.partition("/")

    def key(candidate: Candidate) -> tuple[bool, int]:
        text = f"{duty}\0{candidate.instance}"
        inside = kind == "capacity" and candidate.availability_zone == name
        return inside, xxhash.xxh3_64_intdigest(text.encode())

    return sorted(candidates, key=key)


def assign_duties(duties: list[str], candidates: list[Candidate]) -> dict[str, str]:
    """Return the instance that should hold each duty, spread evenly.

    Instances with the same view of the candidates compute the same result. If their
    views differ, the lease decides.
    """
    if not candidates:
        return {}
    share = math.ceil(len(duties) / len(candidates))
    counts = dict.fromkeys((item.instance for item in candidates), 0)
    assigned = {}
    for duty in sorted(duties):
        for candidate in rank_candidates(duty, candidates):
            if counts[candidate.instance] < share:
                assigned[duty] = candidate.instance
                counts[candidate.instance] += 1
                break
    return assigned


def is_standby(duty: str, instance: str, candidates: list[Candidate]) -> bool:
    """Return whether an instance takes a duty that its preferred holder leaves free."""
    first = rank_candidates(duty, candidates)[: STANDBY_CANDIDATES + 1]
    return any(item.instance == instance for item in first)
