"""Writes ended windows of this process and of dead authors to KV."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from camphorgate.accounting.windows import (
    Ledger,
    Totals,
    UsageRecorder,
    plan_hand_in,
    split_author,
)
from camphorgate.kv.errors import KvConflict, KvError
from camphorgate.kv.rate_limit import Priority
from camphorgate.kv.records import Put, Read, absent, unchanged
from camphorgate.log import log_event
from camphorgated.ext.usage.copying import UsageReplicator
from camphorgated.ext.usage.timing import UsageTiming

AUTHORS_PREFIX = "usage-authors/"
TOTALS_PREFIX = "usage-totals/"
MAX_ATTEMPTS = 6


def part_key(window: int, author: str) -> str:
    """Return the key of one author's part of a window."""
    return f"usage/{window}/{author}"


def closed_key(window: int) -> str:
    """Return the key whose presence closes a window for further parts."""
    return f"usage/{window}/closed"


async def write_hand_in(
    kv: Any,
    author: str,
    totals: Totals,
    window: int,
    current_window_if_last: int | None = None,
) -> bool:
    """Hand in one ended window of an author; safe against concurrent writers.

    :param current_window_if_last: the current window, if this hand-in is the author's
        last.
    :returns: false if every attempt lost to a concurrent writer; the caller retries
        later.
    :raises KvError: if the key-value service does not answer; the caller retries
        later.
    """
    ledger_key = TOTALS_PREFIX + author
    for _ in range(MAX_ATTEMPTS):
        keys = [Read(ledger_key), Read(closed_key(window))]
        found = (await kv.transact([], keys, Priority.BACKGROUND)).entries_by_key
        entry = found.get(ledger_key)
        ledger = Ledger(author)
        if entry is not None:
            ledger = msgspec.json.decode(entry.value, type=Ledger)
        closed = closed_key(window) in found
        plan = plan_hand_in(ledger, totals, window, closed, current_window_if_last)
        if plan is None:
            return True
        revision = entry.mod_revision if entry else 0
        target = plan.part.window
        conditions = [
            unchanged(ledger_key, revision),
            absent(part_key(target, author)),
            absent(closed_key(target)),
        ]
        state = msgspec.structs.replace(plan.ledger, rows=())
        operations = [
            Put(ledger_key, msgspec.json.encode(plan.ledger)),
            Put(AUTHORS_PREFIX + author, msgspec.json.encode(state)),
        ]
        if plan.part.rows:
            key = part_key(target, author)
            operations.append(Put(key, msgspec.json.encode(plan.part)))
        try:
            await kv.write_once(conditions, operations, Priority.BACKGROUND)
            return True
        except KvConflict:
            continue
    return False


class HandInWriter:
    """Hands in the usage of this process and of dead authors whose copies it holds."""

    def __init__(
        self,
        book: UsageRecorder,
        replicator: UsageReplicator,
        kv: Any,
        window_now: Callable[[], int],
        is_dead: Callable[[str], bool],
        timing: UsageTiming,
    ) -> None:
        """Store the collaborators; nothing is written before ``run``."""
        self.taken_over = 0
        self._book = book
        self._replicator = replicator
        self._kv = kv
        self._window_now = window_now
        self._is_dead = is_dead
        self._timing = timing
        self._random = random.Random(book.author)
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Hand in ended windows until cancelled; retry failures, with jitter."""
        while True:
            try:
                await self.hand_in_own()
                await self.hand_in_orphans()
            except KvError as error:
                log_event("usage_not_handed_in", level="DEBUG", error=error.code)
            jitter = self._random.uniform(0.5, 1.5)
            await asyncio.sleep(self._timing.hand_in_interval_seconds * jitter)

    async def hand_in_own(self) -> None:
        """Hand in the ended windows of this process, oldest first.

        :raises KvError: if the key-value service does not answer.
        """
        async with self._lock:
            self._book.advance(self._window_now())
            while found := self._book.next_ended_window():
                window, totals = found
                if not await write_hand_in(self._kv, self._book.author, totals, window):
                    return
                self._book.mark_handed_in(window)

    async def end(self) -> None:
        """Hand in everything and end this author, because the process stops.

        :raises KvError: if the key-value service does not answer. The copy holder then
            hands in the rest.
        """
        await self.hand_in_own()
        book = self._book
        async with self._lock:
            now = self._window_now()
            await write_hand_in(self._kv, book.author, book.totals, now, now)

    async def hand_in_orphans(self) -> None:
        """Hand in the usage of dead authors whose copies are held here.

        :raises KvError: if the key-value service does not answer.
        """
        store = self._replicator.store
        for author in store.authors():
            while self._is_dead(author) and (step := store.next_pending_window(author)):
                window, totals, last = step
                current_window_if_last = self._window_now() if last else None
                if not await write_hand_in(
                    self._kv, author, totals, window, current_window_if_last
                ):
                    break
                store.mark_handed_in(author, window, totals)
                if last:
                    self.taken_over += 1
                    instance_id, incarnation = split_author(author)
                    log_event(
                        "usage_taken_over",
                        instance=instance_id,
                        incarnation=incarnation,
                        window=window,
                    )
