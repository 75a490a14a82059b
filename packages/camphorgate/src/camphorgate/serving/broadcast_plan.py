"""Decides who sends which part of a broadcast to whom within an availability zone.

A watcher sends a short broadcast to every peer itself. A long one would take it as many
times as long as there are peers, so it sends each part to one peer only, the relay of
that part, which forwards it to the others. Each instance then sends about as much as it
receives, whatever the number of instances.

The two watchers of a zone choose different relays, so each part reaches a peer on two
ways and the loss of a datagram or of a relay costs nothing.
"""

from collections.abc import Iterator, Sequence

import msgspec
import xxhash

# A broadcast of more parts than this is relayed.
MAX_DIRECT_PARTS = 4


class Transmission(msgspec.Struct, frozen=True):
    """One part on its way to one peer, which forwards it if ``relayed``."""

    part: int
    receiver: str
    relayed: bool


def plan_broadcast(
    parts: int, peers: Sequence[str], relays: Sequence[str], sender: str
) -> Iterator[Transmission]:
    """Yield what a watcher sends, in order.

    :param peers: every instance of the zone but the sender.
    :param relays: those of them that are known to be live.
    :param sender: name of the watcher; another one gets other relays.
    """
    if parts <= MAX_DIRECT_PARTS or not relays:
        for receiver in peers:
            for part in range(parts):
                yield Transmission(part, receiver, False)
        return
    ordered = sorted(
        relays,
        key=lambda relay: xxhash.xxh3_64_intdigest(f"{sender}/{relay}".encode()),
    )
    for part in range(parts):
        yield Transmission(part, ordered[part % len(ordered)], True)
