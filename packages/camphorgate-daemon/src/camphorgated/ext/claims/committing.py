"""Group commit: many changes in one transaction of the key-value service."""

import asyncio
from collections import deque
from typing import Any

import msgspec

from camphorgate.accounting.claims import first_batch
from camphorgate.clock import Clock
from camphorgate.kv.budget import Priority
from camphorgate.kv.errors import KvConflict, KvError, KvUnavailable
from camphorgate.kv.records import Compare, KvEntry, Put, Read

# Bound on finding out what became of a transaction.
COMMIT_SECONDS = 2.0
MAX_WAITING = 2000


class Change(msgspec.Struct, eq=False):
    """One key to write under a condition, and the caller that waits for it."""

    compare: Compare
    put: Put
    done: asyncio.Future


class Committed(msgspec.Struct, frozen=True):
    """A change that took effect."""

    revision: int


class Refused(msgspec.Struct, frozen=True):
    """A change whose condition does not hold; ``entry`` is what the key holds."""

    entry: KvEntry | None


class Committer:
    """Collects changes while a transaction is under way, then commits them together."""

    __slots__ = (
        "transactions",
        "changes",
        "_kv",
        "_clock",
        "_interval",
        "_waiting",
        "_wake",
        "_committed_at",
    )

    def __init__(self, kv: Any, clock: Clock, interval_seconds: float) -> None:
        """Start without changes.

        :param interval_seconds: least time between two transactions, which keeps the
            calls within the budget of this process however many changes there are.
        """
        self.transactions = 0
        self.changes = 0
        self._kv = kv
        self._clock = clock
        self._interval = interval_seconds
        self._waiting: deque[Change] = deque()
        self._wake = asyncio.Event()
        self._committed_at = -interval_seconds

    async def write(self, compare: Compare, put: Put) -> Committed | Refused:
        """Write a key with the next transaction.

        :raises KvUnavailable: if it certainly was not written.
        :raises KvOutcomeUnknown: if it may have been written.
        """
        if len(self._waiting) >= MAX_WAITING:
            raise KvUnavailable("too many changes wait")
        done = asyncio.get_running_loop().create_future()
        self._waiting.append(Change(compare, put, done))
        self._wake.set()
        return await done

    async def run(self) -> None:
        """Commit for ever."""
        while True:
            await self._wake.wait()
            passed = self._clock.monotonic() - self._committed_at
            if passed < self._interval:
                await asyncio.sleep(self._interval - passed)
            batch = self._take_batch()
            if batch:
                self._committed_at = self._clock.monotonic()
                await self._commit(batch)

    def _take_batch(self) -> list[Change]:
        """Take the next changes; of two to one key the second waits."""
        self._wake.clear()
        chosen: dict[str, Change] = {}
        later: deque[Change] = deque()
        for change in self._waiting:
            if change.done.done():
                continue
            if change.put.key in chosen:
                later.append(change)
            else:
                chosen[change.put.key] = change
        candidates = list(chosen.values())
        batch = first_batch(candidates, (len(c.put.value) for c in candidates))
        later.extendleft(reversed(candidates[len(batch) :]))
        self._waiting = later
        if later:
            self._wake.set()
        return batch

    async def _commit(self, batch: list[Change]) -> None:
        """Commit a batch; if a condition fails, tell its change and try the others."""
        while batch:
            try:
                result = await self._kv.write_once(
                    [change.compare for change in batch],
                    [change.put for change in batch],
                    Priority.CLAIM,
                    COMMIT_SECONDS,
                )
            except KvConflict:
                try:
                    batch = await self._sort_out(batch)
                except KvError as error:
                    _fail(batch, error)
                    return
                continue
            except KvError as error:
                _fail(batch, error)
                return
            self.transactions += 1
            self.changes += len(batch)
            for change in batch:
                _resolve(change, Committed(result.revision))
            return

    async def _sort_out(self, batch: list[Change]) -> list[Change]:
        """Tell the changes whose condition fails and return the others."""
        reads = [Read(change.put.key) for change in batch]
        found = await self._kv.transact([], reads, Priority.CLAIM)
        left = []
        for change in batch:
            entry = found.entries_by_key.get(change.put.key)
            if (entry.mod_revision if entry else 0) == change.compare.revision:
                left.append(change)
            else:
                _resolve(change, Refused(entry))
        return left


def _resolve(change: Change, outcome: Committed | Refused) -> None:
    if not change.done.done():
        change.done.set_result(outcome)


def _fail(batch: list[Change], error: KvError) -> None:
    for change in batch:
        if not change.done.done():
            change.done.set_exception(type(error)(error.message))
