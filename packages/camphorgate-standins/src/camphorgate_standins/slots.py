"""Slots of a stand-in engine, given to waiting requests in the order of priority."""

import asyncio
import heapq
from itertools import count


class PrioritySlots:
    """A bounded number of slots; equal priorities are served in order of arrival."""

    __slots__ = ("_free", "_waiting", "_numbers")

    def __init__(self, slots: int) -> None:
        """Start with every slot free."""
        self._free = slots
        self._waiting: list[tuple[int, int, asyncio.Future]] = []
        self._numbers = count()

    async def acquire(self, priority: int = 0) -> None:
        """Take a slot, waiting for one if none is free.

        :param priority: higher first.
        """
        if self._free:
            self._free -= 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (-priority, next(self._numbers), future))
        try:
            await future
        except asyncio.CancelledError:
            # The slot may have been given in the same turn of the loop.
            if not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give a slot to the first that waits, or back."""
        while self._waiting:
            future = heapq.heappop(self._waiting)[2]
            if not future.done():
                future.set_result(None)
                return
        self._free += 1
