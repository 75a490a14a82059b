"""Group commit of changes to the key-value service."""

import asyncio
from collections import deque
from typing import Any

import msgspec

from camphorgate.accounting.claims import first_batch
from camphorgate.clock import Clock
from camphorgate.kv.errors import KvConflict, KvError, KvUnavailable
from camphorgate.kv.rate_limit import Priority
from camphorgate.kv.records import Compare, KvEntry, Put, Read

# Time limit for determining the outcome of a transaction.
COMMIT_TIMEOUT_SECONDS = 2.0
MAX_QUEUED_CHANGES = 2000


class Change(msgspec.Struct, eq=False):
    """A conditional write of one key, and the future that its caller awaits."""

    compare: Compare
    put: Put
    done: asyncio.Future


class Committed(msgspec.Struct, frozen=True):
    """The change was written; ``revision`` is that of its transaction."""

    revision: int


class Refused(msgspec.Struct, frozen=True):
    """The condition of a change failed; ``entry`` is the current entry, if any."""

    entry: KvEntry | None


class Committer:
    """Queues changes while a transaction is in progress and commits them together."""

    __slots__ = (
        "transactions",
        "changes",
        "_kv",
        "_clock",
        "_min_interval_seconds",
        "_queue",
        "_wake",
        "_committed_at",
    )

    def __init__(self, kv: Any, clock: Clock, min_interval_seconds: float) -> None:
        """Create an empty queue.

        :param min_interval_seconds: least time between the starts of two transactions,
            which keeps the calls within the budget of this process regardless of the
            number of changes.
        """
        self.transactions = 0
        self.changes = 0
        self._kv = kv
        self._clock = clock
        self._min_interval_seconds = min_interval_seconds
        self._queue: deque[Change] = deque()
        self._wake = asyncio.Event()
        self._committed_at = -min_interval_seconds

    async def write(self, compare: Compare, put: Put) -> Committed | Refused:
        """Queue a write and wait until its transaction has ended.

        :raises KvUnavailable: if the key was certainly not written, for example
            because the queue is full.
        :raises KvOutcomeUnknown: if the key may have been written.
        """
        if len(self._queue) >= MAX_QUEUED_CHANGES:
            raise KvUnavailable("the queue of changes is full")
        done = asyncio.get_running_loop().create_future()
        self._queue.append(Change(compare, put, done))
        self._wake.set()
        return await done

    async def run(self) -> None:
        """Commit queued changes until cancelled."""
        while True:
            await self._wake.wait()
            elapsed = self._clock.monotonic() - self._committed_at
            if elapsed < self._min_interval_seconds:
                await asyncio.sleep(self._min_interval_seconds - elapsed)
            batch = self._take_batch()
            if batch:
                self._committed_at = self._clock.monotonic()
                await self._commit(batch)

    def _take_batch(self) -> list[Change]:
        """Remove the next batch from the queue, with at most one change per key.

        Further changes to a key stay queued.
        """
        self._wake.clear()
        changes_by_key: dict[str, Change] = {}
        deferred: deque[Change] = deque()
        for change in self._queue:
            if change.done.done():
                continue
            if change.put.key in changes_by_key:
                deferred.append(change)
            else:
                changes_by_key[change.put.key] = change
        candidates = list(changes_by_key.values())
        batch = first_batch(candidates, (len(c.put.value) for c in candidates))
        deferred.extendleft(reversed(candidates[len(batch) :]))
        self._queue = deferred
        if deferred:
            self._wake.set()
        return batch

    async def _commit(self, batch: list[Change]) -> None:
        """Commit a batch; reject changes whose condition fails and retry the others."""
        while batch:
            try:
                result = await self._kv.write_once(
                    [change.compare for change in batch],
                    [change.put for change in batch],
                    Priority.CLAIM,
                    COMMIT_TIMEOUT_SECONDS,
                )
            except KvConflict:
                try:
                    batch = await self._reject_failed(batch)
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

    async def _reject_failed(self, batch: list[Change]) -> list[Change]:
        """Refuse the changes whose condition fails and return the others."""
        reads = [Read(change.put.key) for change in batch]
        current = await self._kv.transact([], reads, Priority.CLAIM)
        remaining = []
        for change in batch:
            entry = current.entries_by_key.get(change.put.key)
            if (entry.mod_revision if entry else 0) == change.compare.revision:
                remaining.append(change)
            else:
                _resolve(change, Refused(entry))
        return remaining


def _resolve(change: Change, outcome: Committed | Refused) -> None:
    if not change.done.done():
        change.done.set_result(outcome)


def _fail(batch: list[Change], error: KvError) -> None:
    for change in batch:
        if not change.done.done():
            change.done.set_exception(type(error)(error.message))
