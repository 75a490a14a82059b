"""What an engine's cache events say about the prefixes that it holds.

Events come late and with gaps, so they only adjust evidence that decays by itself
(:func:`camphorgate.requests.routing` treats a prefix as a probability).
"""

from collections.abc import Iterable

import msgspec

from camphorgate.requests.views import UpstreamView

# An event may be this late; a prefix that was sent more recently is kept although an
# event calls it removed, as it may have been stored again since.
EVENT_LAG_SECONDS = 2.0


class CacheEvent(msgspec.Struct, frozen=True):
    """One event; ``prefix`` is the digest, as in ``RequestView.prefix_digest``."""

    seq: int
    kind: str
    prefix: str


class CacheEventLog:
    """Follows the events of one engine."""

    __slots__ = ("after", "gaps")

    def __init__(self) -> None:
        """Start before the first event."""
        self.after = 0
        self.gaps = 0

    def take(
        self, view: UpstreamView, events: Iterable[CacheEvent], now: float
    ) -> None:
        """Adjust the evidence of a view.

        :param events: those after ``after``, in any order; gaps are allowed.
        :param now: monotonic seconds.
        """
        for event in sorted(events, key=lambda item: item.seq):
            if event.seq <= self.after:
                continue
            self.gaps += event.seq > self.after + 1
            self.after = event.seq
            self._apply(view, event, now)

    def restart(self, view: UpstreamView) -> None:
        """Forget everything, as the engine has started anew with an empty cache."""
        self.after = 0
        view.prefix_seen_at_by_digest.clear()

    @staticmethod
    def _apply(view: UpstreamView, event: CacheEvent, now: float) -> None:
        seen_at = view.prefix_seen_at_by_digest.get(event.prefix, float("-inf"))
        event_at = now - EVENT_LAG_SECONDS
        if event.kind == "stored" and event_at > seen_at:
            view.note_prefix(event.prefix, event_at)
        elif event.kind == "removed" and event_at >= seen_at:
            view.forget_prefix(event.prefix)
