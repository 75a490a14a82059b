"""Spreads what an instance learns: each one repeats it to random peers for a while.

This reaches every instance within a few ticks whatever their number, also if datagrams
are lost.
"""

from collections.abc import Callable, Hashable

# Peers that get the news of a tick.
PEERS_PER_TICK = 4
# Ticks for which an instance repeats what it has learned.
REPEAT_TICKS = 8


class Rumors:
    """Keys of what was learned lately, with the ticks for which they are repeated."""

    __slots__ = ("_ticks_by_key",)

    def __init__(self) -> None:
        """Start without news."""
        self._ticks_by_key: dict[Hashable, int] = {}

    def add(self, key: Hashable) -> None:
        """Repeat a key from now on, ahead of earlier ones."""
        self._ticks_by_key.pop(key, None)
        self._ticks_by_key[key] = REPEAT_TICKS

    def collect(self, add: Callable[[Hashable], bool | None]) -> None:
        """Offer the keys of this tick to a message, the latest first.

        :param add: adds what a key stands for and returns whether that still exists;
            ``None`` if the message has no room, so that the key waits for another tick.
        """
        for key in reversed(list(self._ticks_by_key)):
            added = add(key)
            if added is None:
                continue
            self._ticks_by_key[key] -= 1
            if not added or not self._ticks_by_key[key]:
                del self._ticks_by_key[key]

    def __len__(self) -> int:
        """Return the number of keys that are still repeated."""
        return len(self._ticks_by_key)
