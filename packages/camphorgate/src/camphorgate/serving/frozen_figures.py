"""Keeps the frozen figures of usage windows that the store may lose.

Load addressed: windows of 5 s with up to 86 workspaces, whose holder freezes them in
the store and reports them. If the store comes back from an older copy, a later holder
has to write and report the same figures. A report that is missing costs little, a
second figure breaks a rule.
"""

import msgspec

# Windows that are kept; those of the last 60 s and some more with windows of 1 s.
MAX_WINDOWS = 80
# Parts of the figures of one window: 50 workspaces each.
MAX_PARTS = 64
# A window may have been frozen before a restore if it was due this long after the time
# at which the restore was noticed: synchronized clocks differ, and it takes a moment to
# notice.
CLOCK_MARGIN_SECONDS = 0.5


class FrozenPart(msgspec.Struct, tag="f"):
    """Figures of a window, or a part of them.

    ``number`` counts the ``parts`` from 0.
    """

    window: int
    number: int
    parts: int
    counts: dict[str, int]


class FrozenFigures:
    """The figures of frozen windows that this instance wrote or was told."""

    __slots__ = ("_counts_by_window", "_parts_by_window")

    def __init__(self) -> None:
        """Start without figures."""
        self._counts_by_window: dict[int, dict[str, int]] = {}
        self._parts_by_window: dict[int, dict[int, FrozenPart]] = {}

    def windows(self) -> list[int]:
        """Return the windows whose figures are known."""
        return list(self._counts_by_window)

    def get(self, window: int) -> dict[str, int] | None:
        """Return the figures of a window, ``None`` if they are not known."""
        return self._counts_by_window.get(window)

    def record(self, window: int, counts: dict[str, int]) -> None:
        """Record figures that are in the store; the first known ones are kept."""
        self._counts_by_window.setdefault(window, counts)
        self._parts_by_window.pop(window, None)
        _drop_oldest(self._counts_by_window)

    def receive_part(self, part: FrozenPart) -> None:
        """Add a part that a peer sent, and record the figures once complete."""
        if part.window in self._counts_by_window or not (
            0 <= part.number < part.parts <= MAX_PARTS
        ):
            return
        received = self._parts_by_window.setdefault(part.window, {})
        received[part.number] = part
        _drop_oldest(self._parts_by_window)
        if len(received) == part.parts:
            counts: dict[str, int] = {}
            for item in received.values():
                counts |= item.counts
            self.record(part.window, counts)


def split_figures(window: int, counts: dict[str, int], most: int) -> list[FrozenPart]:
    """Return figures in messages of a bounded size, at least one.

    :param most: workspaces in a message.
    """
    rows = sorted(counts.items())
    starts = range(0, max(1, len(rows)), most)
    return [
        FrozenPart(window, number, len(starts), dict(rows[start : start + most]))
        for number, start in enumerate(starts)
    ]


def may_freeze(due_at: float, restored_at: float | None) -> bool:
    """Return whether a window without known figures may get new ones.

    :param due_at: the earliest time at which a holder may have frozen the window, and
    :param restored_at: the time at which a restore of the store was noticed, ``None``
        without one; both are true times, seconds since 1970.
    """
    return restored_at is None or due_at > restored_at + CLOCK_MARGIN_SECONDS


def _drop_oldest(items_by_window: dict[int, dict]) -> None:
    while len(items_by_window) > MAX_WINDOWS:
        del items_by_window[min(items_by_window)]
