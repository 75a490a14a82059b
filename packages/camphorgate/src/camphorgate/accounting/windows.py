"""Usage accounting by time window.

An author is one incarnation of an instance. It counts cumulative totals for its whole
life. Its ledger in KV holds the totals that were handed in so far. To hand in a window,
a single transaction updates the ledger and creates a part with the difference. The sum
of an author's parts therefore always equals its ledger, no matter how often usage is
handed in and by whom: the author itself, or copy holders that consider it dead.
Totals are merged by taking the maximum.

A window is closed once every known author has handed it in. It takes no more parts
then, and late usage goes into the next open window.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec
import xxhash

# Bounds the ended windows kept in memory while KV is down: four hours of one-minute
# windows. The usage of an older window is handed in with the window after it.
MAX_PENDING_WINDOWS = 240
# Time after a window's end in which authors that it doesn't wait for may hand it in.
CLOSE_SECONDS = 5.0


class UsageKey(NamedTuple):
    """The workspace and what it used; either ``model`` or ``service`` is empty."""

    workspace: str
    model: str
    service: str


class Counts(NamedTuple):
    """Amounts of usage."""

    calls: int
    prompt_tokens: int
    output_tokens: int


Totals = dict[UsageKey, Counts]
_ZERO = Counts(0, 0, 0)


class Row(msgspec.Struct, frozen=True, array_like=True):
    """The serialized form of one entry of ``Totals``."""

    workspace: str
    model: str
    service: str
    calls: int
    prompt_tokens: int
    output_tokens: int


class Ledger(msgspec.Struct, frozen=True):
    """The record in KV of what an author has handed in.

    ``last`` is the highest window that the author has completed. ``final`` means that
    windows no longer wait for this author.
    """

    author: str
    last: int = -1
    final: bool = False
    rows: tuple[Row, ...] = ()


class Part(msgspec.Struct, frozen=True):
    """The usage that one author contributes to one window."""

    author: str
    window: int
    rows: tuple[Row, ...] = ()


class Author(msgspec.Struct, frozen=True):
    """An author that the roster or a ledger names.

    ``first`` is the window in which the author started.
    """

    id: str
    first: int


def author_id(instance_id: str, incarnation: int) -> str:
    """Return the id of an author."""
    return f"{instance_id}.{incarnation}"


def split_author(author: str) -> tuple[str, int]:
    """Return the instance id and the incarnation of an author."""
    instance_id, _, incarnation = author.rpartition(".")
    return instance_id, int(incarnation)


def window_at(timestamp: float, window_seconds: int) -> int:
    """Return the number of the window that contains a time.

    :param timestamp: seconds since 1970, UTC.
    """
    return int(timestamp // window_seconds)


def totals_to_rows(totals: Mapping[UsageKey, Counts]) -> tuple[Row, ...]:
    """Convert totals to rows in a fixed order."""
    return tuple(Row(*key, *counts) for key, counts in sorted(totals.items()))


def rows_to_totals(rows: Iterable[Row]) -> Totals:
    """Convert rows to totals, adding up rows with equal keys."""
    totals: Totals = {}
    for row in rows:
        key = UsageKey(row.workspace, row.model, row.service)
        counts = Counts(row.calls, row.prompt_tokens, row.output_tokens)
        totals[key] = _add(totals.get(key, _ZERO), counts)
    return totals


def merge(one: Mapping[UsageKey, Counts], other: Mapping[UsageKey, Counts]) -> Totals:
    """Return the maximum of two totals of one author, count by count."""
    merged = dict(one)
    for key, counts in other.items():
        known = merged.get(key, _ZERO)
        merged[key] = Counts(*map(max, known, counts))
    return merged


class HandIn(msgspec.Struct, frozen=True):
    """A transaction that writes a ledger and a part.

    It requires that the ledger is unchanged since it was read, that the part does not
    exist and that the part's window is not closed.
    """

    ledger: Ledger
    part: Part


def plan_hand_in(
    ledger: Ledger,
    totals: Mapping[UsageKey, Counts],
    window: int,
    closed: bool,
    current_window_if_last: int | None = None,
) -> HandIn | None:
    """Return the transaction that hands in one ended window of an author.

    :param ledger: the ledger as read from KV, empty if it does not exist.
    :param totals: the author's totals at the window's end, or a copy of them.
    :param closed: whether the window takes no more parts. The totals of the author's
        later windows include the usage that it misses.
    :param current_window_if_last: the current window if this is the author's last one,
        otherwise ``None``. Windows then no longer wait for the author, and usage that
        its last window can't take goes into an open window.
    :returns: the transaction, or ``None`` if nothing has to be written.
    """
    final = current_window_if_last is not None
    known = rows_to_totals(ledger.rows)
    merged = merge(known, totals)
    late = closed or window <= ledger.last
    if late and not final:
        return None
    if late and merged == known and ledger.final:
        return None
    target = max(current_window_if_last, ledger.last + 1) if late else window
    difference = {}
    for key, counts in merged.items():
        change = _subtract(counts, known.get(key, _ZERO))
        if change != _ZERO:
            difference[key] = change
    updated = Ledger(
        ledger.author, target, ledger.final or final, totals_to_rows(merged)
    )
    return HandIn(updated, Part(ledger.author, target, totals_to_rows(difference)))


def pending_authors(
    window: int, authors: Iterable[Author], ledgers_by_author: Mapping[str, Ledger]
) -> list[str]:
    """Return the authors whose parts a window still waits for.

    :param authors: every incarnation that the roster names.
    :param ledgers_by_author: all ledgers. A window also waits for authors that the
        roster no longer names, until their ledgers are final.
    """
    first_window_by_author = dict.fromkeys(ledgers_by_author, -1)
    first_window_by_author |= {author.id: author.first for author in authors}
    missing = []
    for author, first in sorted(first_window_by_author.items()):
        ledger = ledgers_by_author.get(author, Ledger(author))
        if not ledger.final and ledger.last < window and first <= window:
            missing.append(author)
    return missing


def shard_of(workspace: str, shards: int) -> int:
    """Return the shard whose duty reports the usage of a workspace."""
    return xxhash.xxh3_64_intdigest(workspace.encode()) % shards


def aggregate_shard(parts: Iterable[Part], shard: int, shards: int) -> tuple[Row, ...]:
    """Return the final usage of one shard of a closed window.

    It depends only on the parts, so every instance computes the same rows.
    """
    rows = [
        row
        for part in parts
        for row in part.rows
        if shard_of(row.workspace, shards) == shard
    ]
    return totals_to_rows(rows_to_totals(rows))


class UsageRecorder:
    """The usage of this process: cumulative totals, now and at each window's end."""

    __slots__ = (
        "author",
        "window",
        "totals",
        "version",
        "changed",
        "handed",
        "_totals_by_ended_window",
    )

    def __init__(self, author: str, window: int) -> None:
        """Start without usage.

        :param window: the current window.
        """
        self.author = author
        self.window = window
        self.totals: Totals = {}
        # Number of recorded requests; shows which ones an acknowledgement covers.
        self.version = 0
        # Keys whose totals changed since the last batch to the copy holder.
        self.changed: set[UsageKey] = set()
        # Highest window that was handed in or was closed before that.
        self.handed = -1
        self._totals_by_ended_window: dict[int, Totals] = {}

    def record(self, key: UsageKey, counts: Counts, window: int) -> None:
        """Count the usage of one request.

        :param window: the current window. If the clock went back, the usage counts
            toward the latest window instead.
        """
        self.advance(window)
        self.totals[key] = _add(self.totals.get(key, _ZERO), counts)
        self.changed.add(key)
        self.version += 1

    def advance(self, window: int) -> None:
        """End all windows before a new current one."""
        if window <= self.window:
            return
        self._totals_by_ended_window[self.window] = dict(self.totals)
        self.window = window
        # Windows that passed without calls, for example during a pause, have no usage
        # of their own. Only the last of them is kept: handing it in also completes the
        # windows before it.
        self._totals_by_ended_window[window - 1] = dict(self.totals)
        while len(self._totals_by_ended_window) > MAX_PENDING_WINDOWS:
            del self._totals_by_ended_window[min(self._totals_by_ended_window)]

    def next_ended_window(self) -> tuple[int, Totals] | None:
        """Return the oldest window to be handed in and the totals at its end."""
        if not self._totals_by_ended_window:
            return None
        window = min(self._totals_by_ended_window)
        return window, self._totals_by_ended_window[window]

    def mark_handed_in(self, window: int) -> None:
        """Drop the ended windows up to one that was handed in or is closed."""
        self.handed = max(self.handed, window)
        for number in [item for item in self._totals_by_ended_window if item <= window]:
            del self._totals_by_ended_window[number]

    @property
    def pending_windows(self) -> int:
        """Return the number of ended windows still to be handed in."""
        return len(self._totals_by_ended_window)


def _add(one: Counts, other: Counts) -> Counts:
    return Counts(one[0] + other[0], one[1] + other[1], one[2] + other[2])


def _subtract(one: Counts, other: Counts) -> Counts:
    return Counts(one[0] - other[0], one[1] - other[1], one[2] - other[2])
