"""Decides which requests to move off an upstream that has an eviction notice."""

from collections.abc import Iterable

import msgspec


class InFlightRequest(msgspec.Struct, frozen=True):
    """A request in flight; ``remaining_seconds`` is its expected remaining time."""

    id: str
    resumable: bool
    remaining_seconds: float


class EvacuationPlan(msgspec.Struct, frozen=True):
    """IDs of the requests to move, in order, and of those left to finish in place."""

    move: tuple[str, ...]
    let_finish: tuple[str, ...]


# A request stays in place if it is expected to end within this share of the notice.
MAX_FINISH_SHARE = 0.5


def plan_evacuation(
    requests: Iterable[InFlightRequest], notice_seconds: float
) -> EvacuationPlan:
    """Move resumable requests, longest first, unless they end well within the notice.

    A request that cannot be resumed stays in place, because it must not run twice.
    """
    longest_first = sorted(
        requests, key=lambda item: (-item.remaining_seconds, item.id)
    )
    max_finish_seconds = MAX_FINISH_SHARE * notice_seconds
    move = [
        item.id
        for item in longest_first
        if item.resumable and item.remaining_seconds > max_finish_seconds
    ]
    moved_ids = set(move)
    let_finish = tuple(item.id for item in longest_first if item.id not in moved_ids)
    return EvacuationPlan(tuple(move), let_finish)
