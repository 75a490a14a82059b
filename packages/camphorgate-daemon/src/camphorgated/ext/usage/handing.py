"""Writing ended windows into KV: the own ones, and those of dead authors."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from camphorgate.accounting.windows import (
    Ledger,
    Totals,
    UsageBook,
    plan_hand_in,
    split_author,
)
from camphorgate.kv.budget import Priority
from camphorgate.kv.errors import KvConflict, KvError
from camphorgate.kv.records import Put, Read, absent, unchanged
from camphorgate.log import log_event
from camphorgated.ext.usage.copying import Copying
from camphorgated.ext.usage.timing import UsageTiming

AUTHORS_PREFIX = "usage-authors/"
TOTALS_PREFIX = "usage-totals/"
ATTEMPTS = 6


def part_key(window: int, author: str) -> str:
    """Return the key of one author's part of a window."""
    return f"usage/{window}/{author}"


def closed_key(window: int) -> str:
    """Return the key whose presence keeps further parts out of a window."""
    return f"usage/{window}/closed"


async def write_hand_in(
    kv: Any, author: str, totals: Totals, window: int, last_of: int | None = None
) -> bool:
    """Hand in one ended window of an author, whoever else tries the same.

    :param last_of: the current window, if the author ends with this one.
    :returns: false if others were faster each time; it is tried again later.
    :raises KvError: if the service does not answer; it is tried again later.
    """
    ledger_key = TOTALS_PREFIX + author
    for _ in range(ATTEMPTS):
        keys = [Read(ledger_key), Read(closed_key(window))]
        found = (await kv.transact([], keys, Priority.BACKGROUND)).entries_by_key
        entry = found.get(ledger_key)
        ledger = Ledger(author)
        if entry is not None:
            ledger = msgspec.json.decode(entry.value, type=Ledger)
        closed = closed_key(window) in found
        plan = plan_hand_in(ledger, totals, window, closed, last_of)
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


class Handing:
    """Hands in for this process and for dead authors whose copies it holds."""

    def __init__(
        self,
        book: UsageBook,
        copying: Copying,
        kv: Any,
        window_now: Callable[[], int],
        is_dead: Callable[[str], bool],
        timing: UsageTiming,
    ) -> None:
        """Prepare the loops."""
        self.taken_over = 0
        self._book = book
        self._copying = copying
        self._kv = kv
        self._window_now = window_now
        self._is_dead = is_dead
        self._timing = timing
        self._random = random.Random(book.author)
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Hand in for ever; a failure is tried again with jitter."""
        while True:
            try:
                await self.hand_in_own()
                await self.hand_in_orphans()
            except KvError as error:
                log_event("usage_not_handed_in", level="DEBUG", error=error.code)
            spread = self._random.uniform(0.5, 1.5)
            await asyncio.sleep(self._timing.hand_in_seconds * spread)

    async def hand_in_own(self) -> None:
        """Hand in the own ended windows, oldest first.

        :raises KvError: if the service does not answer.
        """
        async with self._lock:
            self._book.advance(self._window_now())
            while found := self._book.next_sealed():
                window, totals = found
                if not await write_hand_in(self._kv, self._book.author, totals, window):
                    return
                self._book.handed_in(window)

    async def end(self) -> None:
        """Hand in everything, as this process ends.

        :raises KvError: if the service does not answer; the copy's holder does it.
        """
        await self.hand_in_own()
        book = self._book
        async with self._lock:
            now = self._window_now()
            await write_hand_in(self._kv, book.author, book.totals, now, now)

    async def hand_in_orphans(self) -> None:
        """Hand in for dead authors whose copies are held here.

        :raises KvError: if the service does not answer.
        """
        store = self._copying.store
        for author in store.authors():
            while self._is_dead(author) and (step := store.next_unsent(author)):
                window, totals, last = step
                last_of = self._window_now() if last else None
                if not await write_hand_in(self._kv, author, totals, window, last_of):
                    break
                store.handed_in(author, window, totals)
                if last:
                    self.taken_over += 1
                    instance_id, incarnation = split_author(author)
                    log_event(
                        "usage_taken_over",
                        instance=instance_id,
                        incarnation=incarnation,
                        window=window,
                    )
