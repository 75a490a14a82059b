"""Defines the messages between instances."""

from typing import Annotated

import msgspec

from camphorgate.serving.catalog import Upstream
from camphorgate.serving.catalog_encoding import EncodedCatalog
from camphorgate.serving.loads import Load
from camphorgate.serving.outcomes import MAX_COUNTS_PER_MESSAGE, OutcomeCount
from camphorgate.serving.pace import MAX_NEWS as MAX_PACES
from camphorgate.serving.pace import PaceNews
from camphorgate.serving.quarantine import Block, Evidence
from camphorgate.serving.upstream_limits import LimitWord
from camphorgate.serving.upstream_speed import SpeedNews

# Keeps a datagram of counters below the size at which links fragment it.
MAX_COUNTERS_PER_DATAGRAM = 50
# Keeps a datagram of upstream entries below that size, too.
MAX_ENTRIES_PER_DATAGRAM = 10
# First byte of every datagram. Datagrams of another format are rejected; instances of
# different formats then share state through the store alone.
FORMAT = b"\x03"


class State(msgspec.Struct, omit_defaults=True, tag="s"):
    """The state that an instance sends to a peer.

    ``address`` is where it answers fetch requests, empty while it does not yet.
    ``vote`` is its vote for the time of day, in seconds since 1970. ``watching`` tells
    whether it follows the store itself and ``sound`` whether it is up to date;
    ``list_revision`` and ``list_digest`` tell what it knows of the upstreams,
    ``doubting`` whether it doubts the removal of some, and ``holder`` where the holder
    of the duty hears datagrams. ``loads`` are its own for a peer of its zone, the whole
    zone's for others, and ``None`` if it does not know those yet. ``changing`` are the
    engines that the sender, as the holder of the duty, is about to order to another
    phase or has just ordered. ``failing`` are the starts of upstreams that failed for
    the sender just now. ``grants_permits`` tells whether it grants permits for
    upstreams with a limit: it has run long enough to know its peers, and is not
    shutting down. ``speeds`` is what it has learned of speeds lately, for peers of its
    zone. ``outcomes`` are its counts of the upstreams that fail requests, and ``paces``
    the shares of instances that may send to new upstreams.
    """

    instance: str
    incarnation: str
    zone: str
    address: str
    gossip_address: str
    vote: float
    watching: bool = False
    sound: bool = False
    version: int = 0
    list_revision: int = 0
    list_digest: str = ""
    doubting: bool = False
    holder: str = ""
    loads: dict[str, Load] | None = None
    parts: list[tuple[str, str]] = []
    changing: list[str] = []
    failing: list[tuple[str, int]] = []
    grants_permits: bool = False
    speeds: SpeedNews | None = None
    outcomes: Annotated[
        list[OutcomeCount], msgspec.Meta(max_length=MAX_COUNTS_PER_MESSAGE)
    ] = []
    paces: Annotated[list[PaceNews], msgspec.Meta(max_length=MAX_PACES)] = []


class PrefillNotice(msgspec.Struct, tag="r"):
    """Announces that the prefill of a prompt has just begun or has ended.

    ``tokens`` are the prompt tokens to be processed, negative when it has ended.
    """

    instance: str
    zone: str
    upstream: str
    tokens: int


class Counters(msgspec.Struct, tag="c"):
    """Counters of one incarnation, or a part of them.

    ``told_at`` is the true time by the sender, seconds since 1970, and ``totals`` are
    all its counted requests by window, so that missing parts are detected. ``totals``
    is ``None`` where another instance sends the counters of the incarnation.
    """

    incarnation: str
    told_at: float
    totals: dict[int, int] | None
    counts: dict[int, dict[str, int]]


class QuarantineNews(msgspec.Struct, omit_defaults=True, tag="q"):
    """What the sender knows of parts that end upstreams, or a part of it.

    ``cleared`` are pairs of a part and the true time of an answer to it. ``survivors``
    are upstreams that responded after a connection to them had ended.
    """

    evidence: list[Evidence] = []
    cleared: list[tuple[str, float]] = []
    blocks: list[Block] = []
    survivors: list[tuple[str, int]] = []


class LimitNews(msgspec.Struct, tag="w"):
    """What upstreams said about their limits."""

    words: list[LimitWord]


class PermitRequest(msgspec.Struct, tag="g"):
    """Asks for a permit to send a request to an upstream with a limit.

    ``number`` and ``address``, the gossip address of the sender, identify it. ``zone``
    is the upstream's, and ``word`` what the sender knows of its limit.
    """

    number: int
    address: str
    zone: str
    word: LimitWord
    max_wait_seconds: float


class PermitReply(msgspec.Struct, omit_defaults=True, tag="h"):
    """Answer to a :class:`PermitRequest`.

    ``wait_seconds`` are the seconds until the permit may be used, or until the next
    permit where none is granted, and ``return_seconds`` when a refused caller should
    return. ``owner`` is the gossip address of the instance that grants the permits, if
    it is not the sender. ``word`` is what the sender knows of the limit.
    """

    number: int
    granted: bool
    word: LimitWord
    wait_seconds: float = 0.0
    return_seconds: float = 0.0
    owner: str = ""


def _shorten(name: str) -> str:
    """Return the name of a field on the wire, as these messages are frequent."""
    return name[:3]


class RoomRequest(msgspec.Struct, omit_defaults=True, rename=_shorten, tag="m"):
    """Asks the owner of a group of upstreams for a slot of one of them.

    ``number`` and ``address``, the gossip address of the sender, identify it. A request
    that does not wait is not queued. ``skipped`` are gossip addresses of instances that
    did not reply to the sender. The other fields are those of
    :class:`camphorgate.serving.room.book.Ask`.
    """

    number: int
    address: str
    service: str
    group: str
    zone: str
    rank: int
    workspace: str
    kind: str
    target_seconds: float
    seconds_left: float
    waits: bool = True
    excluded: list[str] = []
    skipped: list[str] = []


class RoomReply(msgspec.Struct, omit_defaults=True, rename=_shorten, tag="n"):
    """Answer to a :class:`RoomRequest`.

    One of these: the upstream whose slot is lent; ``queued`` if another reply follows;
    ``owner``, the gossip address of the instance to ask instead; ``retry_after``,
    seconds after which a refused caller may return; none of them if the sender can
    neither lend nor queue.
    """

    number: int
    upstream: str = ""
    queued: bool = False
    owner: str = ""
    retry_after: float | None = None


class RoomReturn(msgspec.Struct, omit_defaults=True, rename=_shorten, tag="o"):
    """Returns a slot, or withdraws a request for one.

    ``outcome`` is a :class:`camphorgate.serving.room.book.Outcome`, ``seconds`` the
    time that the upstream took, and ``load`` what it reported: running, waiting, slots.
    """

    number: int
    address: str
    group: str
    outcome: int = 0
    seconds: float = 0.0
    upstream: str = ""
    load: tuple[int, int, int] | None = None


class RoomLoans(msgspec.Struct, omit_defaults=True, rename=_shorten, tag="u"):
    """Names the slots that the sender uses, and its requests that wait for one.

    ``upstreams`` are ids by number, empty for a request that waits; ``next_number`` is
    the number of its next request.
    """

    address: str
    service: str
    group: str
    next_number: int
    upstreams: dict[int, str]


class Changes(msgspec.Struct, omit_defaults=True, tag="l"):
    """Entries of the list of upstreams that a watcher has just learned of.

    ``removed`` and ``doubted`` are pairs of id and revision of the removal; a doubted
    entry may have lapsed only, and return.
    """

    instance: str
    zone: str
    upstreams: list[Upstream]
    removed: list[tuple[str, int]]
    doubted: list[tuple[str, int]] = []


class CatalogPart(msgspec.Struct, omit_defaults=True, tag="p"):
    """A part of an encoded configuration that a watcher has just learned of.

    ``base`` is the version that the encoding is a patch of; 0 if it is complete. A
    ``relayed`` part is forwarded by its receiver to all others of the zone.
    """

    instance: str
    zone: str
    version: int
    base: int
    number: int
    parts: int
    data: bytes
    relayed: bool = False


class MissingParts(msgspec.Struct):
    """The parts that the sender lacks of a configuration that it has in part.

    ``version``, ``base`` and ``parts`` are those of the received parts.
    """

    version: int
    base: int
    parts: int
    numbers: list[int]


class FetchRequest(msgspec.Struct, omit_defaults=True):
    """A request for what the sender lacks.

    ``version`` and ``digest`` tell what it has, ``doubted`` are the upstreams whose
    removal it doubts. ``accepts_encoded`` tells whether it can decode a configuration;
    instances of older releases cannot. ``missing`` is set if parts of a newer one have
    arrived.
    """

    version: int
    digest: str
    doubted: list[str] = []
    accepts_encoded: bool = False
    missing: MissingParts | None = None


class FetchResponse(msgspec.Struct, omit_defaults=True):
    """Answer to a :class:`FetchRequest`: what its sender lacks and the receiver has.

    ``removed`` and ``doubted`` are pairs of id and revision, the former of upstreams
    that the sender doubted and that are certainly gone. A receiver that accepts it gets
    the configuration as ``parts`` that it lacks or as ``encoded_catalog``, any other as
    ``catalog``. A ``busy`` sender has a newer one but is sending it to others.
    """

    instance: str
    gossip_addresses: list[str] = []
    addresses: list[str] = []
    catalog: bytes = b""
    revision: int = 0
    upstreams: list[Upstream] | None = None
    doubted: list[tuple[str, int]] = []
    removed: list[tuple[str, int]] = []
    encoded_catalog: EncodedCatalog | None = None
    parts: list[CatalogPart] = []
    busy: bool = False


def split_counters(
    incarnation: str,
    told_at: float,
    totals: dict[int, int] | None,
    counts_by_window: dict[int, dict[str, int]],
) -> list[Counters]:
    """Return counters in messages of a bounded size, at least one."""
    rows = [
        (window, workspace, count)
        for window, counts in counts_by_window.items()
        for workspace, count in counts.items()
    ]
    messages = []
    for start in range(0, max(1, len(rows)), MAX_COUNTERS_PER_DATAGRAM):
        part: dict[int, dict[str, int]] = {}
        for window, workspace, count in rows[start : start + MAX_COUNTERS_PER_DATAGRAM]:
            part.setdefault(window, {})[workspace] = count
        messages.append(Counters(incarnation, told_at, totals, part))
    return messages


def split_changes(
    instance: str,
    zone: str,
    upstreams: list[Upstream],
    removed: list[tuple[str, int]],
    doubted: list[tuple[str, int]],
) -> list[Changes]:
    """Return changes of the list in messages of a bounded size."""
    most = max(len(upstreams), len(removed), len(doubted))
    starts = range(0, most, MAX_ENTRIES_PER_DATAGRAM)
    return [
        Changes(
            instance,
            zone,
            upstreams[start : start + MAX_ENTRIES_PER_DATAGRAM],
            removed[start : start + MAX_ENTRIES_PER_DATAGRAM],
            doubted[start : start + MAX_ENTRIES_PER_DATAGRAM],
        )
        for start in starts
    ]
