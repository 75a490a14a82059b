"""Tracks which prompt prefixes an engine caches, from the engine's cache events.

Events arrive late and with gaps, so they only update a timestamp that loses weight
with age: :mod:`camphorgate.requests.routing` turns it into a probability.
"""

from collections.abc import Iterable

import msgspec

from camphorgate.requests.request_state import UpstreamState

# An event may arrive this late. A prefix that was sent more recently than that is kept
# despite a "removed" event, as the engine may have stored it again since.
MAX_EVENT_LAG_SECONDS = 2.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix that was stored in or removed from an engine's cache.

    ``prefix`` is a digest as in ``RoutingRequest.prefix_digest``.
    """

    seq: int
    kind: str
    prefix: str


class CacheEventTracker:
    """Applies the cache events of one engine to its view.

    ``after`` is the sequence number of the last event, ``gap_count`` the number of
    gaps in the sequence so far.
    """

    __slots__ = ("last_seq", "gap_count")

    def __init__(self) -> None:
        """Start before the first event."""
        self.last_seq = 0
        self.gap_count = 0

    def apply_events(
        self, view: UpstreamState, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Apply events to the prefixes that a view records as cached.

        :param view: the engine's view.
        :param events: in any order and with gaps; those up to ``after`` are ignored.
        :param now: monotonic seconds.
        """
        for event in sorted(events, key=lambda item: item.seq):
            if event.seq <= self.last_seq:
                continue
            self.gap_count += event.seq > self.last_seq + 1
            self.last_seq = event.seq
            self._apply(view, event, now)

    def reset(self, view: UpstreamState) -> None:
        """Reset the state after the engine restarted with an empty cache."""
        self.last_seq = 0
        view.prefix_seen_at_by_digest.clear()

    @staticmethod
    def _apply(view: UpstreamState, event: CacheEvent, now: float) -> None:
        seen_at = view.prefix_seen_at_by_digest.get(event.prefix, float("-inf"))
        earliest_event_at = now - MAX_EVENT_LAG_SECONDS
        if event.kind == "stored" and earliest_event_at > seen_at:
            view.record_prefix(event.prefix, earliest_event_at)
        elif event.kind == "removed" and earliest_event_at >= seen_at:
            view.remove_prefix(event.prefix)
