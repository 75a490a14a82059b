"""Closing, freezing and reporting windows, by the holder of each shard's duty."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from camphorgate.accounting.windows import (
    Author,
    Ledger,
    Part,
    Row,
    author_id,
    awaited,
    freeze,
    window_at,
)
from camphorgate.authority.sharding import USAGE_SHARDS
from camphorgate.clock import Clock
from camphorgate.errors import CamphorgateError
from camphorgate.kv.budget import Priority
from camphorgate.kv.errors import KvConflict, KvError
from camphorgate.kv.records import Delete, KvEntry, unchanged
from camphorgate.log import log_event
from camphorgated.ext.usage.handing import (
    AUTHORS_PREFIX,
    TOTALS_PREFIX,
    closed_key,
    write_hand_in,
)
from camphorgated.ext.usage.timing import UsageTiming

ROSTER_PREFIX = "roster/"
REPORTED_PREFIX = "usage-reported/"
_DELETES_PER_CALL = 100


class _Earlier(msgspec.Struct, frozen=True):
    incarnation: int
    copy_holders: tuple[str, ...] = ()


class _RosterEntry(msgspec.Struct, frozen=True):
    """What usage reads of an instance's roster entry."""

    instance_id: str
    incarnation: int
    copy_holders: tuple[str, ...] = ()
    earlier: tuple[_Earlier, ...] = ()


class Known(msgspec.Struct):
    """All authors at one reading of KV.

    ``revisions_by_key`` holds those of the roster entries and of the ledgers' states;
    ``roster_key_by_author`` only names authors that are their instance's newest.
    """

    authors: list[Author] = []
    revisions_by_key: dict[str, int] = {}
    roster_key_by_author: dict[str, str] = {}
    superseded: set[str] = set()
    holders_by_author: dict[str, tuple[str, ...]] = {}
    ledgers_by_author: dict[str, Ledger] = {}


class Frozen(msgspec.Struct, frozen=True):
    """The final figures of one shard of a window."""

    window: int
    shard: int
    rows: tuple[Row, ...]


def frozen_key(window: int, shard: int) -> str:
    """Return the key of a shard's frozen figures."""
    return f"usage/{window}/frozen.{shard}"


def figures_of(frozen: Frozen, window_seconds: int) -> dict[str, Any]:
    """Return the figures in the form that the platform takes."""
    entries = [
        {
            "workspace": row.workspace,
            "model": row.model,
            "service": row.service,
            "calls": row.calls,
            "prompt_tokens": row.prompt_tokens,
            "output_tokens": row.output_tokens,
        }
        for row in frozen.rows
    ]
    return {
        "begin": frozen.window * window_seconds,
        "seconds": window_seconds,
        "shard": frozen.shard,
        "usage": entries,
    }


class Lateness(msgspec.Struct):
    """How long after their end windows were reported, in seconds."""

    reported: int = 0
    late: int = 0
    last_seconds: float = 0.0
    highest_seconds: float = 0.0

    def note(self, seconds: float, window_seconds: int) -> None:
        """Count a report; one that takes longer than a window is late."""
        self.reported += 1
        self.late += seconds > window_seconds
        self.last_seconds = round(seconds, 3)
        self.highest_seconds = max(self.highest_seconds, self.last_seconds)


class Reporting:
    """Brings the windows of the held shards to the platform, in order."""

    def __init__(
        self,
        kv: Any,
        duties: Any,
        clock: Clock,
        window_seconds: int,
        is_dead: Callable[[str], bool],
        is_live: Callable[[str], bool],
        timing: UsageTiming,
    ) -> None:
        """Prepare the loop.

        :param duties: the service ``duties``.
        :param is_live: tells whether an instance is heard.
        """
        self.lateness = Lateness()
        self.waiting_for: list[str] = []
        self._kv = kv
        self._duties = duties
        self._clock = clock
        self._window_seconds = window_seconds
        self._is_dead = is_dead
        self._is_live = is_live
        self._timing = timing
        self._missing_since_by_author: dict[str, float] = {}
        # Epoch and next window of each shard that was looked at.
        self._next_by_shard: dict[int, tuple[int, int]] = {}

    async def run(self) -> None:
        """Report for ever; what fails is tried again."""
        while True:
            for shard in range(USAGE_SHARDS):
                try:
                    await self.report(shard)
                except CamphorgateError as error:
                    log_event("usage_not_reported", level="DEBUG", error=error.code)
            await asyncio.sleep(self._timing.report_seconds)

    async def report(self, shard: int) -> None:
        """Report the ended windows of a shard if its duty is held here.

        :raises CamphorgateError: if something is in the way; nothing is skipped.
        """
        duty = f"usage/{shard}"
        authority = self._duties.authority(duty)
        if authority is None or self._is_up_to_date(shard, authority.epoch):
            return
        key = f"{REPORTED_PREFIX}{shard}"
        mark = await self._kv.get(key, Priority.BACKGROUND)
        revision = mark.mod_revision if mark else 0
        known = await self._read_known()
        window = int(mark.value) + 1 if mark else self._first_window(known)
        while window is not None and self._has_ended(window) and authority.valid():
            frozen = await self._freeze(window, shard, known)
            if frozen is None or not authority.valid():
                return
            if frozen.rows:
                await self._submit(duty, frozen)
            result = await self._kv.replace(
                key, str(window).encode(), revision, Priority.BACKGROUND
            )
            revision = result.revision
            end = (window + 1) * self._window_seconds
            late = self._clock.now().timestamp() - end
            self.lateness.note(late, self._window_seconds)
            log_event("usage_reported", window=window, shard=shard, late_seconds=late)
            if shard == 0:
                await self._delete_old(window - self._timing.retained_windows, known)
            window += 1
        if window is not None:
            self._next_by_shard[shard] = (authority.epoch, window)

    def _is_up_to_date(self, shard: int, epoch: int) -> bool:
        """Tell whether the next window of a shard has not ended yet.

        Nobody else reports while the epoch lasts, so this needs no call to KV.
        """
        known_epoch, window = self._next_by_shard.get(shard, (0, 0))
        return known_epoch == epoch and not self._has_ended(window)

    def _has_ended(self, window: int) -> bool:
        end = (window + 1) * self._window_seconds
        return self._clock.now().timestamp() >= end + self._timing.close_seconds

    def _first_window(self, known: Known) -> int | None:
        return min((author.first for author in known.authors), default=None)

    async def _read_known(self) -> Known:
        """Read every author from the roster and from the states of the ledgers."""
        known = Known()
        for entry in await self._kv.get_prefix(AUTHORS_PREFIX, Priority.BACKGROUND):
            ledger = msgspec.json.decode(entry.value, type=Ledger)
            known.ledgers_by_author[ledger.author] = ledger
            known.revisions_by_key[entry.key] = entry.mod_revision
        for entry in await self._kv.get_prefix(ROSTER_PREFIX, Priority.BACKGROUND):
            found = msgspec.json.decode(entry.value, type=_RosterEntry)
            self._add_entry(known, found)
            author = author_id(found.instance_id, found.incarnation)
            known.roster_key_by_author[author] = entry.key
            known.revisions_by_key[entry.key] = entry.mod_revision
        return known

    def _add_entry(self, known: Known, entry: _RosterEntry) -> None:
        successor = None
        for run in (entry, *entry.earlier):
            # An incarnation is the time of its start in milliseconds.
            first = window_at(run.incarnation / 1000, self._window_seconds)
            author = author_id(entry.instance_id, run.incarnation)
            if successor is not None:
                now = self._clock.now().timestamp()
                current = window_at(now, self._window_seconds)
                if current - successor > self._timing.retained_windows:
                    break
                known.superseded.add(author)
            known.authors.append(Author(author, first))
            known.holders_by_author[author] = run.copy_holders
            successor = first

    async def _freeze(self, window: int, shard: int, known: Known) -> Frozen | None:
        """Return the frozen figures, ``None`` if parts are missing."""
        entries = await self._read_window(window)
        if closed_key(window) not in entries:
            missing = awaited(window, known.authors, known.ledgers_by_author)
            self.waiting_for = missing
            if missing:
                await self._end_dead(missing, window, known)
                return None
            await self._create(closed_key(window), b"closed")
            entries = await self._read_window(window)
        key = frozen_key(window, shard)
        if key not in entries:
            parts = [
                msgspec.json.decode(entry.value, type=Part)
                for name, entry in sorted(entries.items())
                if name != closed_key(window) and "/frozen." not in name
            ]
            frozen = Frozen(window, shard, freeze(parts, shard, USAGE_SHARDS))
            if await self._create(key, msgspec.json.encode(frozen)):
                return frozen
            entries = await self._read_window(window)
        return msgspec.json.decode(entries[key].value, type=Frozen)

    async def _read_window(self, window: int) -> dict[str, KvEntry]:
        found = await self._kv.get_prefix(f"usage/{window}/", Priority.BACKGROUND)
        return {entry.key: entry for entry in found}

    async def _create(self, key: str, value: bytes) -> bool:
        try:
            await self._kv.create(key, value, priority=Priority.BACKGROUND)
        except KvConflict:
            return False
        return True

    async def _submit(self, duty: str, frozen: Frozen) -> None:
        name = f"{frozen.window * self._window_seconds}.{frozen.shard}"
        order = {
            "kind": "report",
            "order_id": f"usage-{name}",
            "window": name,
            "figures": figures_of(frozen, self._window_seconds),
        }
        await self._duties.submit_order(duty, name, order)

    async def _end_dead(self, missing: list[str], window: int, known: Known) -> None:
        """End dead authors that nobody hands in for any more."""
        now = self._clock.monotonic()
        since = self._missing_since_by_author
        self._missing_since_by_author = {a: since.get(a, now) for a in missing}
        for author in missing:
            dead = author in known.superseded or self._is_dead(author)
            holders = known.holders_by_author.get(author, ())
            held = any(self._is_live(holder) for holder in holders)
            bound = self._timing.force_seconds
            if held:
                bound = self._timing.force_held_seconds
            if dead and now - self._missing_since_by_author[author] > bound:
                current = window_at(self._clock.now().timestamp(), self._window_seconds)
                await write_hand_in(self._kv, author, {}, window, current)
                log_event("usage_author_ended", level="WARNING", author=author)

    async def _delete_old(self, window: int, known: Known) -> None:
        """Delete a window, and authors that ended before it."""
        try:
            keys = list(await self._read_window(window))
            for begin in range(0, len(keys), _DELETES_PER_CALL):
                some = keys[begin : begin + _DELETES_PER_CALL]
                operations = [Delete(key) for key in some]
                await self._kv.transact([], operations, Priority.BACKGROUND)
            for author, ledger in known.ledgers_by_author.items():
                if ledger.final and ledger.last < window:
                    await self._delete_author(author, known)
        except KvError as error:
            log_event("usage_not_deleted", level="DEBUG", error=error.code)

    async def _delete_author(self, author: str, known: Known) -> None:
        """Delete a ledger, with the roster entry if that still names the author.

        Without the entry's removal the author would be awaited anew. An incarnation
        that a recent one follows stays as long as the entry names it.
        """
        state_key = AUTHORS_PREFIX + author
        keys = [state_key]
        roster_key = known.roster_key_by_author.get(author)
        if roster_key is not None:
            if not self._is_dead(author):
                return
            keys.append(roster_key)
        elif any(item.id == author for item in known.authors):
            return
        # The state and the totals are always written together.
        conditions = [unchanged(key, known.revisions_by_key[key]) for key in keys]
        operations = [Delete(key) for key in (*keys, TOTALS_PREFIX + author)]
        await self._kv.transact(conditions, operations, Priority.BACKGROUND)
