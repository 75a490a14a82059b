"""Spreads what an instance learns: each one repeats it to random peers for a while.

This reaches every instance within a few ticks whatever their number, also if datagrams
are lost.
"""

import random
from collections.abc import Hashable
from typing import TypeVar

# Peers that get the news of a tick.
PEERS_PER_TICK = 4
# Ticks for which an instance repeats what it has learned.
REPEAT_TICKS = 8

T = TypeVar("T")


class Rumors:
    """Keys of what was learned lately, with the ticks for which they are repeated."""

    __slots__ = ("_ticks_by_key", "_random")

    def __init__(self) -> None:
        """Start without news."""
        self._ticks_by_key: dict[Hashable, int] = {}
        self._random = random.Random()

    def add(self, key: Hashable) -> None:
        """Repeat a key from now on, ahead of earlier ones."""
        self._ticks_by_key.pop(key, None)
        self._ticks_by_key[key] = REPEAT_TICKS

    def take(self, most: int) -> list[Hashable]:
        """Return the keys to send at this tick, the latest first."""
        keys = list(self._ticks_by_key)[-most:][::-1]
        for key in keys:
            self._ticks_by_key[key] -= 1
            if not self._ticks_by_key[key]:
                del self._ticks_by_key[key]
        return keys

    def choose(self, items: list[T], most: int) -> list[T]:
        """Return some random items, such as addresses of peers."""
        return self._random.sample(items, min(most, len(items)))

    def __len__(self) -> int:
        """Return the number of keys that are still repeated."""
        return len(self._ticks_by_key)
