"""What moves first when an upstream has notice to leave."""

from collections.abc import Iterable

import msgspec


class Work(msgspec.Struct, frozen=True):
    """One request in flight; ``remaining_seconds`` is what it is expected to take."""

    id: str
    resumable: bool
    remaining_seconds: float


class Evacuation(msgspec.Struct, frozen=True):
    """What to do with the work in flight, by request id."""

    move: tuple[str, ...]
    let_finish: tuple[str, ...]


# Part of the notice that work must fit into to be left where it is.
SAFE_SHARE = 0.5


def plan_evacuation(work: Iterable[Work], notice_seconds: float) -> Evacuation:
    """Move resumable work, the longest first, unless it ends well within the notice.

    Work that cannot resume stays, because it must not run twice.
    """
    items = sorted(work, key=lambda item: (-item.remaining_seconds, item.id))
    limit = SAFE_SHARE * notice_seconds
    move = [w.id for w in items if w.resumable and w.remaining_seconds > limit]
    moved = set(move)
    rest = tuple(item.id for item in items if item.id not in moved)
    return Evacuation(tuple(move), rest)
