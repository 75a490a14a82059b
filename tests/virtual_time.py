"""An event loop and a clock whose time advances whenever nothing else can run."""

import asyncio
from datetime import UTC, datetime, timedelta


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer instead of waiting."""

    def __init__(self) -> None:
        """Start the clock at zero."""
        super().__init__()
        self._virtual_now = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._virtual_now = max(self._virtual_now, self._scheduled[0].when())
        super()._run_once()


class VirtualClock:
    """The clock of the daemons, which shows the time of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read the time of a loop."""
        self._loop = loop

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self._loop.time())

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()


def run_fleet(play) -> None:
    """Run a coroutine function in virtual time."""
    loop = VirtualTimeLoop()
    # Nothing comes from outside.
    loop._selector.select = lambda timeout=None: []
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(play())
        # Lets tasks that were cancelled at the end finish.
        loop.run_until_complete(asyncio.sleep(0.0))
    finally:
        asyncio.set_event_loop(None)
        loop.close()
