"""Closes, freezes and reports windows; done by the holder of each shard's duty."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from camphorgate.accounting.windows import (
    Author,
    Ledger,
    Part,
    Row,
    aggregate_shard,
    author_id,
    pending_authors,
    window_at,
)
from camphorgate.authority.duty_assignment import USAGE_SHARDS
from camphorgate.clock import Clock
from camphorgate.errors import CamphorgateError
from camphorgate.kv.errors import KvConflict, KvError
from camphorgate.kv.rate_limit import Priority
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
_MAX_DELETES_PER_CALL = 100


class _Earlier(msgspec.Struct, frozen=True):
    """An earlier incarnation in a roster entry."""

    incarnation: int
    copy_holders: tuple[str, ...] = ()


class _RosterEntry(msgspec.Struct, frozen=True):
    """The fields of an instance's roster entry that this module reads."""

    instance_id: str
    incarnation: int
    copy_holders: tuple[str, ...] = ()
    earlier: tuple[_Earlier, ...] = ()


class AuthorSnapshot(msgspec.Struct):
    """All authors as read from KV at one time.

    ``revisions_by_key`` holds the revisions of roster entries and ledger states.
    ``roster_key_by_author`` contains only the newest author of each instance.
    """

    authors: list[Author] = []
    revisions_by_key: dict[str, int] = {}
    roster_key_by_author: dict[str, str] = {}
    superseded: set[str] = set()
    holders_by_author: dict[str, tuple[str, ...]] = {}
    ledgers_by_author: dict[str, Ledger] = {}


class Frozen(msgspec.Struct, frozen=True):
    """The final usage figures of one shard of a window."""

    window: int
    shard: int
    rows: tuple[Row, ...]


def frozen_key(window: int, shard: int) -> str:
    """Return the key of a shard's frozen figures."""
    return f"usage/{window}/frozen.{shard}"


def figures_of(frozen: Frozen, window_seconds: int) -> dict[str, Any]:
    """Return the figures in the format of the platform's usage interface."""
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
    """Statistics of the delay between the end of a window and its report."""

    reported: int = 0
    late: int = 0
    last_seconds: float = 0.0
    highest_seconds: float = 0.0

    def record(self, seconds: float, window_seconds: int) -> None:
        """Count a report, which is late if its delay exceeds the window length."""
        self.reported += 1
        self.late += seconds > window_seconds
        self.last_seconds = round(seconds, 3)
        self.highest_seconds = max(self.highest_seconds, self.last_seconds)


class WindowReporter:
    """Reports the windows of the held shards to the platform, in order."""

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
        """Store the collaborators; nothing is reported before ``run``.

        :param duties: the service ``duties``.
        :param is_dead: tells whether an author's process has certainly ended.
        :param is_live: tells whether an instance is currently live.
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
        # Epoch of the duty and next window to report, for each shard read so far.
        self._next_by_shard: dict[int, tuple[int, int]] = {}

    async def run(self) -> None:
        """Report ended windows until cancelled; failures are retried."""
        while True:
            for shard in range(USAGE_SHARDS):
                try:
                    await self.report(shard)
                except CamphorgateError as error:
                    log_event("usage_not_reported", level="DEBUG", error=error.code)
            await asyncio.sleep(self._timing.report_interval_seconds)

    async def report(self, shard: int) -> None:
        """Report the ended windows of a shard if its duty is held here.

        :raises CamphorgateError: if a window could not be reported. No window is
            skipped.
        """
        duty = f"usage/{shard}"
        authority = self._duties.authority(duty)
        if authority is None or self._is_up_to_date(shard, authority.epoch):
            return
        key = f"{REPORTED_PREFIX}{shard}"
        reported_entry = await self._kv.get(key, Priority.BACKGROUND)
        revision = reported_entry.mod_revision if reported_entry else 0
        snapshot = await self._read_authors()
        window = (
            int(reported_entry.value) + 1
            if reported_entry
            else self._first_window(snapshot)
        )
        while window is not None and self._has_ended(window) and authority.valid():
            frozen = await self._freeze(window, shard, snapshot)
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
            self.lateness.record(late, self._window_seconds)
            log_event("usage_reported", window=window, shard=shard, late_seconds=late)
            if shard == 0:
                await self._delete_window(
                    window - self._timing.retained_windows, snapshot
                )
            window += 1
        if window is not None:
            self._next_by_shard[shard] = (authority.epoch, window)

    def _is_up_to_date(self, shard: int, epoch: int) -> bool:
        """Return whether the next window of a shard has not ended yet.

        No other process reports the shard during the epoch, so this needs no call to
        KV.
        """
        seen_epoch, window = self._next_by_shard.get(shard, (0, 0))
        return seen_epoch == epoch and not self._has_ended(window)

    def _has_ended(self, window: int) -> bool:
        end = (window + 1) * self._window_seconds
        return self._clock.now().timestamp() >= end + self._timing.close_delay_seconds

    def _first_window(self, snapshot: AuthorSnapshot) -> int | None:
        return min((author.first for author in snapshot.authors), default=None)

    async def _read_authors(self) -> AuthorSnapshot:
        """Read all authors from the roster and the ledger states."""
        snapshot = AuthorSnapshot()
        for entry in await self._kv.get_prefix(AUTHORS_PREFIX, Priority.BACKGROUND):
            ledger = msgspec.json.decode(entry.value, type=Ledger)
            snapshot.ledgers_by_author[ledger.author] = ledger
            snapshot.revisions_by_key[entry.key] = entry.mod_revision
        for entry in await self._kv.get_prefix(ROSTER_PREFIX, Priority.BACKGROUND):
            found = msgspec.json.decode(entry.value, type=_RosterEntry)
            self._add_authors(snapshot, found)
            author = author_id(found.instance_id, found.incarnation)
            snapshot.roster_key_by_author[author] = entry.key
            snapshot.revisions_by_key[entry.key] = entry.mod_revision
        return snapshot

    def _add_authors(self, snapshot: AuthorSnapshot, entry: _RosterEntry) -> None:
        successor = None
        for run in (entry, *entry.earlier):
            # An incarnation number is its start time in milliseconds.
            first = window_at(run.incarnation / 1000, self._window_seconds)
            author = author_id(entry.instance_id, run.incarnation)
            if successor is not None:
                now = self._clock.now().timestamp()
                current = window_at(now, self._window_seconds)
                if current - successor > self._timing.retained_windows:
                    break
                snapshot.superseded.add(author)
            snapshot.authors.append(Author(author, first))
            snapshot.holders_by_author[author] = run.copy_holders
            successor = first

    async def _freeze(
        self, window: int, shard: int, snapshot: AuthorSnapshot
    ) -> Frozen | None:
        """Return the frozen figures, or ``None`` if parts are missing."""
        entries = await self._read_window(window)
        if closed_key(window) not in entries:
            missing = pending_authors(
                window, snapshot.authors, snapshot.ledgers_by_author
            )
            self.waiting_for = missing
            if missing:
                await self._end_dead_authors(missing, window, snapshot)
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
            frozen = Frozen(window, shard, aggregate_shard(parts, shard, USAGE_SHARDS))
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

    async def _end_dead_authors(
        self, missing: list[str], window: int, snapshot: AuthorSnapshot
    ) -> None:
        """End dead authors whose usage nobody has handed in within a time limit."""
        now = self._clock.monotonic()
        since = self._missing_since_by_author
        self._missing_since_by_author = {a: since.get(a, now) for a in missing}
        for author in missing:
            dead = author in snapshot.superseded or self._is_dead(author)
            holders = snapshot.holders_by_author.get(author, ())
            held = any(self._is_live(holder) for holder in holders)
            max_wait_seconds = self._timing.max_wait_seconds
            if held:
                max_wait_seconds = self._timing.max_wait_with_holder_seconds
            if dead and now - self._missing_since_by_author[author] > max_wait_seconds:
                current = window_at(self._clock.now().timestamp(), self._window_seconds)
                await write_hand_in(self._kv, author, {}, window, current)
                log_event("usage_author_ended", level="WARNING", author=author)

    async def _delete_window(self, window: int, snapshot: AuthorSnapshot) -> None:
        """Delete a window and the authors that ended before it."""
        try:
            keys = list(await self._read_window(window))
            for begin in range(0, len(keys), _MAX_DELETES_PER_CALL):
                some = keys[begin : begin + _MAX_DELETES_PER_CALL]
                operations = [Delete(key) for key in some]
                await self._kv.transact([], operations, Priority.BACKGROUND)
            for author, ledger in snapshot.ledgers_by_author.items():
                if ledger.final and ledger.last < window:
                    await self._delete_author(author, snapshot)
        except KvError as error:
            log_event("usage_not_deleted", level="DEBUG", error=error.code)

    async def _delete_author(self, author: str, snapshot: AuthorSnapshot) -> None:
        """Delete a ledger, and the roster entry if the author is its instance's newest.

        If the entry stayed, windows would wait for the author again. A superseded
        incarnation is kept as long as a roster entry lists it.
        """
        state_key = AUTHORS_PREFIX + author
        keys = [state_key]
        roster_key = snapshot.roster_key_by_author.get(author)
        if roster_key is not None:
            if not self._is_dead(author):
                return
            keys.append(roster_key)
        elif any(item.id == author for item in snapshot.authors):
            return
        # The ledger's state and totals are always written together, so the state's
        # revision guards both.
        conditions = [unchanged(key, snapshot.revisions_by_key[key]) for key in keys]
        operations = [Delete(key) for key in (*keys, TOTALS_PREFIX + author)]
        await self._kv.transact(conditions, operations, Priority.BACKGROUND)
