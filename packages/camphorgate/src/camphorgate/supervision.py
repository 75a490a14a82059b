"""Runs the tasks that a process needs for all of its life.

Such a task that ends by an error starts again after a pause. Ending the process instead
would cut its requests for a fault that mostly concerns one value, and a value that all
instances read would end all of them at once.
"""

import asyncio
from collections.abc import Awaitable, Callable

from camphorgate.clock import Clock
from camphorgate.log import log_event

# Pause before a failed task starts again; doubles up to the maximum. The maximum is
# half of the smallest bound on a change (2 s), as the task may be the one that follows
# changes.
MIN_RESTART_SECONDS = 0.05
MAX_RESTART_SECONDS = 1.0
# A task that ran for this long before it failed starts again after the minimum.
SOUND_SECONDS = 10.0

TaskFunction = Callable[[], Awaitable[None]]


class TaskFailures:
    """How often a task failed; ``paused`` tells whether it waits to start again."""

    __slots__ = ("failures", "error", "failed_at", "paused")

    def __init__(self) -> None:
        """Initialize without failures."""
        self.failures = 0
        self.error = ""
        # Monotonic time of the last failure, in seconds.
        self.failed_at = float("-inf")
        self.paused = False


class Supervisor:
    """Restarts failed tasks and counts their failures."""

    __slots__ = ("failures_by_task", "_clock")

    def __init__(self, clock: Clock) -> None:
        """Initialize without tasks."""
        self.failures_by_task: dict[str, TaskFailures] = {}
        self._clock = clock

    async def run(self, function: TaskFunction, name: str) -> None:
        """Run a task until it returns, again after each error.

        :param function: returns the task's coroutine; called for each start.
        :param name: name of the task in logs and in the state dump.
        """
        pause = MIN_RESTART_SECONDS
        while True:
            began = self._clock.monotonic()
            try:
                await function()
                return
            except Exception as error:
                if self._clock.monotonic() - began >= SOUND_SECONDS:
                    pause = MIN_RESTART_SECONDS
                record = self._record_failure(name, error)
            record.paused = True
            try:
                await asyncio.sleep(pause)
            finally:
                record.paused = False
            pause = min(MAX_RESTART_SECONDS, pause * 2)

    def _record_failure(self, name: str, error: Exception) -> TaskFailures:
        record = self.failures_by_task.setdefault(name, TaskFailures())
        record.failures += 1
        record.error = repr(error)
        record.failed_at = self._clock.monotonic()
        log_event(
            "task_failed",
            level="ERROR",
            task=name,
            error=record.error,
            failures=record.failures,
        )
        return record

    def dump(self) -> dict[str, dict]:
        """Return the failures by task for the state dump."""
        now = self._clock.monotonic()
        return {
            name: {
                "failures": record.failures,
                "error": record.error,
                "seconds_ago": now - record.failed_at,
                "paused": record.paused,
            }
            for name, record in sorted(self.failures_by_task.items())
        }
