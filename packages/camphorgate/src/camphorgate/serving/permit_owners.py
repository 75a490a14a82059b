"""Selection of the instance that grants the permits of an upstream.

All instances compute the same hash order, so no agreement is needed. Instances with
different views of their peers may ask different ones; an instance that is asked grants
permits only if it knows no instance before it.
"""

from collections.abc import Iterable

import xxhash


def choose_owner(upstream_id: str, instances: Iterable[str]) -> str | None:
    """Return the first instance in the order of an upstream."""
    return max(
        instances,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f"{upstream_id}/{name}".encode()),
            name,
        ),
        default=None,
    )


def granted_share(heard: int, listed: int) -> float:
    """Return the part of a limit that an owner may grant.

    An owner that is cut off from most of its zone may have been replaced there; it
    grants no more than the part of those that it still hears.

    :param heard: instances of the zone that it hears, including itself.
    :param listed: instances of the zone that are listed.
    """
    return 1.0 if 2 * heard > listed else heard / listed
