"""The messages between instances."""

import msgspec

from camphorgate.serving.catalog import Upstream
from camphorgate.serving.loads import Load

# Counters in one datagram, which keeps it below the size that links pass whole.
MOST_COUNTERS = 50


class State(msgspec.Struct, omit_defaults=True, tag="s"):
    """What an instance tells a peer.

    ``vote`` is its vote for the time of day and ``true_now`` its estimate of the true
    time, both in seconds since 1970. ``totals`` are its counted requests by window.
    ``changing`` are the engines that the sender, as the holder of the duty, is about to
    order to another phase or has just ordered. ``failing`` are the starts of upstreams
    that failed for the sender just now.
    """

    instance: str
    incarnation: str
    address: str
    gossip_address: str
    vote: float
    true_now: float
    store_sound: bool = False
    version: int = 0
    totals: dict[int, int] = {}
    loads: dict[str, Load] = {}
    parts: list[tuple[str, str]] = []
    changing: list[str] = []
    failing: list[tuple[str, int]] = []


class Reading(msgspec.Struct, tag="r"):
    """The sender has just begun to have a prompt read, or has its answer.

    ``tokens`` are those that must be read, negative when they have been.
    """

    instance: str
    upstream: str
    tokens: int


class Counters(msgspec.Struct, tag="c"):
    """A part of an instance's counters of one window."""

    incarnation: str
    window: int
    counts: dict[str, int]


class Question(msgspec.Struct):
    """What the sender knows already."""

    version: int
    digest: str


class Knowledge(msgspec.Struct, omit_defaults=True):
    """What the receiver has that the sender lacks."""

    instance: str
    gossip_addresses: list[str] = []
    addresses: list[str] = []
    catalog: bytes = b""
    revision: int = 0
    upstreams: list[Upstream] | None = None


def split_counters(
    incarnation: str, window: int, counts: dict[str, int]
) -> list[Counters]:
    rows = list(counts.items())
    return [
        Counters(incarnation, window, dict(rows[start : start + MOST_COUNTERS]))
        for start in range(0, len(rows), MOST_COUNTERS)
    ]
