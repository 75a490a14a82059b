"""Slots of an engine stand-in, assigned to waiting requests by priority."""

import asyncio
import heapq
from itertools import count


class PrioritySlots:
    """A bounded number of slots; equal priorities are served in order of arrival."""

    __slots__ = ("_free", "_waiting", "_arrival_numbers")

    def __init__(self, slots: int) -> None:
        """Create the slots, all free."""
        self._free = slots
        self._waiting: list[tuple[int, int, asyncio.Future]] = []
        self._arrival_numbers = count()

    async def acquire(self, priority: int = 0) -> None:
        """Acquire a slot, waiting until one is free.

        :param priority: requests with a higher value are served first.
        """
        if self._free:
            self._free -= 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (-priority, next(self._arrival_numbers), future))
        try:
            await future
        except asyncio.CancelledError:
            # The slot may have been assigned in the same iteration of the event loop.
            if not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Pass the slot to the first waiting request, or mark it as free."""
        while self._waiting:
            future = heapq.heappop(self._waiting)[2]
            if not future.done():
                future.set_result(None)
                return
        self._free += 1
