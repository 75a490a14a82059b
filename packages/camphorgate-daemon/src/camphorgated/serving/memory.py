"""Keeps what this process buffers within its memory budget.

Provides ``memory``: the budget, the connections of callers that hold partial requests,
and turns for parsing, so that large reads of many connections don't hold the event loop
for long.
"""

import asyncio
import math
import random
import resource
import time
from collections import Counter, deque
from pathlib import Path
from typing import TYPE_CHECKING

from aioprometheus import Gauge

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.memory_budget import (
    KIND_NAMES,
    MemoryBudget,
    capacity_bytes,
    choose_refused,
)
from camphorgated.serving.errors import MemoryFull

if TYPE_CHECKING:
    from camphorgated.serving.server_connection import ServerConnection

# The event loop parses large reads for this long between two rounds of other work.
MAX_TURN_SECONDS = 0.004
# Callers that are refused return after this time, spread so that they do not return
# together.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 3.0
REPORT_SECONDS = 1.0
# Interval at which connections that wait for memory are looked at.
RESUME_SECONDS = 0.1
# Part of the process's descriptors that connections of callers may take; upstreams,
# peers and the store need the others.
MAX_CONNECTIONS_FRACTION = 0.75
_MEMINFO = Path("/proc/meminfo")
_BYTES_PER_MB = 1_000_000


def machine_bytes(memory_mb: float) -> float:
    """Return the memory of the machine in bytes.

    :param memory_mb: what the settings name; 0 if they do not.
    """
    if memory_mb:
        return memory_mb * _BYTES_PER_MB
    for line in _MEMINFO.read_text().splitlines():
        name, _, rest = line.partition(":")
        if name == "MemTotal":
            return int(rest.split()[0]) * 1024
    return 0.0


def max_connections() -> float:
    """Return how many connections of callers this process keeps open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return math.inf
    return int(descriptors * MAX_CONNECTIONS_FRACTION)


class ParseTurns:
    """Shares the time for parsing large reads among the connections."""

    __slots__ = ("_spent_seconds", "_queue", "_scheduled")

    def __init__(self) -> None:
        """Start without waiting connections."""
        self._spent_seconds = 0.0
        self._queue: deque[ServerConnection] = deque()
        self._scheduled = False

    def may_parse(self) -> bool:
        """Return whether time is left in this round of the event loop."""
        return self._spent_seconds < MAX_TURN_SECONDS

    def record_spent(self, seconds: float) -> None:
        """Record how long a large read was parsed."""
        self._spent_seconds += seconds
        self._schedule()

    def queue(self, connection: "ServerConnection") -> None:
        """Let a connection parse on in one of the next rounds."""
        self._queue.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_round)

    def _begin_round(self) -> None:
        self._scheduled = False
        self._spent_seconds = 0.0
        started_at = time.perf_counter()
        for _ in range(len(self._queue)):
            self._queue.popleft().parse_on()
            if time.perf_counter() - started_at >= MAX_TURN_SECONDS:
                break
        if self._queue:
            self._schedule()


class Memory:
    """Stops reading and refuses requests near the memory budget."""

    __slots__ = (
        "budget",
        "turns",
        "connections",
        "max_connections",
        "_waiting",
        "_resuming",
        "_refusals",
        "_under_pressure",
        "_bytes_gauge",
        "_refusals_gauge",
    )

    def __init__(self, capacity: int | None = None) -> None:
        """Start with an unused budget.

        :param capacity: in bytes.
        """
        self.budget = MemoryBudget() if capacity is None else MemoryBudget(capacity)
        self.turns = ParseTurns()
        # In order of their acceptance.
        self.connections: dict[ServerConnection, None] = {}
        self.max_connections = max_connections()
        # Connections that are not read until memory is free, in order of their wait.
        self._waiting: dict[ServerConnection, None] = {}
        self._resuming = False
        self._refusals: Counter[str] = Counter()
        self._under_pressure = False
        self._bytes_gauge: Gauge | None = None
        self._refusals_gauge: Gauge | None = None

    def admit(self, connection: "ServerConnection") -> bool:
        """Add a connection of a caller; above the bound, the oldest idle one is closed.

        :returns: false if there is no place for it.
        """
        if len(self.connections) >= self.max_connections:
            idle = next((item for item in self.connections if item.idle), None)
            self.count_refusal("connection")
            if idle is None:
                return False
            self.connections.pop(idle)
            idle.close()
        self.connections[connection] = None
        return True

    def relieve(self, connection: "ServerConnection") -> None:
        """Act on a budget whose first threshold is passed.

        :param connection: the one that has just received bytes.
        """
        excess = self.budget.excess_bytes()
        if excess:
            self._free(excess)
        if self.budget.reading_stops and connection.try_wait_for_memory():
            self._waiting[connection] = None

    def _free(self, excess: int) -> None:
        """Refuse large partial requests; if none is left, end those who don't read."""
        before = self.budget.used_bytes
        for item in choose_refused(self.connections, excess):
            self.refuse(item, "large")
        excess -= before - self.budget.used_bytes
        if self.budget.used_bytes <= self.budget.refuse_bytes:
            return
        unread = [(item.stalled_unread_bytes(), item) for item in self.connections]
        unread.sort(key=lambda pair: -pair[0])
        for size, item in unread:
            if excess <= 0 or not size:
                break
            excess -= size
            self.count_refusal("unread")
            item.abort()
        if self.budget.used_bytes > self.budget.capacity_bytes:
            for item in choose_refused(self.connections, excess, 0):
                self.refuse(item, "small")

    def refuse(self, connection: "ServerConnection", reason: str) -> None:
        """Refuse the partial request of a connection; it has not run."""
        self.count_refusal(reason)
        connection.fail(MemoryFull(retry_seconds()))

    def count_refusal(self, reason: str) -> None:
        """Count a refusal.

        :param reason: what was refused, such as ``large``.
        """
        self._refusals[reason] += 1

    def released(self) -> None:
        """Read waiting connections again once memory is free."""
        if not self._waiting:
            return
        if not self._resuming and not self.budget.reading_stops:
            self._resuming = True
            asyncio.get_running_loop().call_soon(self._resume)

    def _resume(self) -> None:
        """Resume as many connections as fit, the most urgent first."""
        self._resuming = False
        free = self.budget.stop_bytes - self.budget.used_bytes
        for connection in sorted(self._waiting, key=lambda item: item.rank):
            if free <= 0:
                return
            free -= max(1, connection.expected_bytes)
            del self._waiting[connection]
            connection.end_wait_for_memory()

    def forget(self, connection: "ServerConnection") -> None:
        """Drop a connection that no longer waits."""
        self._waiting.pop(connection, None)

    def report(self) -> None:
        """Set the metrics and log when the budget gets scarce or free."""
        if self._bytes_gauge is not None:
            for name, used in zip(KIND_NAMES, self.budget.used_by_kind, strict=True):
                self._bytes_gauge.set({"kind": name}, used)
            for reason, count in self._refusals.items():
                self._refusals_gauge.set({"reason": reason}, count)
        if self.budget.reading_stops != self._under_pressure:
            self._under_pressure = self.budget.reading_stops
            log_event(
                "memory_scarce" if self._under_pressure else "memory_free",
                level="WARNING" if self._under_pressure else "INFO",
                **self.dump(),
            )

    async def watch(self) -> None:
        """Report periodically; never returns."""
        reported_at = float("-inf")
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() - reported_at >= REPORT_SECONDS:
                reported_at = loop.time()
                self.report()
            # Not every release of bytes is told here.
            self.released()
            await asyncio.sleep(RESUME_SECONDS if self._waiting else REPORT_SECONDS)

    def add_metrics(self, registry) -> None:
        """Register the metrics."""
        self._bytes_gauge = Gauge(
            "camphorgate_buffered_bytes", "Buffered bytes by kind.", registry=registry
        )
        self._refusals_gauge = Gauge(
            "camphorgate_memory_refusals",
            "Requests refused and connections ended for lack of memory, by reason.",
            registry=registry,
        )

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        return {
            "capacity_bytes": self.budget.capacity_bytes,
            "used_bytes": self.budget.used_bytes,
            "peak_bytes": self.budget.peak_bytes,
            "waiting": len(self._waiting),
            "connections": len(self.connections),
            **dict(zip(KIND_NAMES, self.budget.used_by_kind, strict=True)),
            **{f"refused_{reason}": n for reason, n in self._refusals.items()},
        }


def retry_seconds() -> float:
    """Return when a caller that is refused may return, in seconds."""
    return random.uniform(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS)


def setup(app: Application) -> None:
    """Provide the ``memory`` service."""
    memory = Memory(capacity_bytes(machine_bytes(app.settings.memory_mb)))
    memory.add_metrics(app.service("statistics").registry)
    app.provide("memory", memory)
    app.add_dump_section("memory", memory.dump)

    async def start() -> None:
        app.supervise(memory.watch, "memory")

    app.on_start(start)
