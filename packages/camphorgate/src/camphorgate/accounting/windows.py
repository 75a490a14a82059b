"""Usage per window: what an author counts, hands in, and what a window's figures are.

An author is one incarnation of an instance. It counts totals that only rise, for its
whole life. Its ledger in KV holds the totals that are handed in already; a part is the
difference, and is created in the transaction that raises the ledger. The sum of an
author's parts therefore always equals its ledger, whoever hands in and how often: the
author itself, or holders of copies that believe it dead. Totals merge by the maximum.

A window is closed once every known author has handed it in; no part can be created
after that. What comes too late goes into the next window that is open.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec
import xxhash

# Ended windows that wait in memory while KV is down: four hours of a minute each. What
# is older is handed in with the window after it.
KEPT_SEALS = 240
# Time after a window's end in which authors that are not awaited may hand it in.
CLOSE_SECONDS = 5.0


class UsageKey(NamedTuple):
    """Who used what; one of ``model`` and ``service`` is empty."""

    workspace: str
    model: str
    service: str


class Counts(NamedTuple):
    """What was used."""

    calls: int
    prompt_tokens: int
    output_tokens: int


Totals = dict[UsageKey, Counts]
_ZERO = Counts(0, 0, 0)


class Row(msgspec.Struct, frozen=True, array_like=True):
    """The stored form of one entry of totals."""

    workspace: str
    model: str
    service: str
    calls: int
    prompt_tokens: int
    output_tokens: int


class Ledger(msgspec.Struct, frozen=True):
    """What an author has handed in, as KV holds it.

    ``last`` is the highest window with nothing more to come; ``final`` says that the
    author's windows are not awaited any more.
    """

    author: str
    last: int = -1
    final: bool = False
    rows: tuple[Row, ...] = ()


class Part(msgspec.Struct, frozen=True):
    """What one author adds to one window."""

    author: str
    window: int
    rows: tuple[Row, ...] = ()


class Author(msgspec.Struct, frozen=True):
    """An author that the roster or a ledger names.

    ``first`` is the window in which it started.
    """

    id: str
    first: int


def author_id(instance_id: str, incarnation: int) -> str:
    """Return the name of an author."""
    return f"{instance_id}.{incarnation}"


def split_author(author: str) -> tuple[str, int]:
    """Return instance id and incarnation of an author."""
    instance_id, _, incarnation = author.rpartition(".")
    return instance_id, int(incarnation)


def window_at(timestamp: float, window_seconds: int) -> int:
    """Return the number of the window at a time.

    :param timestamp: seconds since 1970, UTC.
    """
    return int(timestamp // window_seconds)


def rows_of(totals: Mapping[UsageKey, Counts]) -> tuple[Row, ...]:
    """Return the stored form of totals, in a fixed order."""
    return tuple(Row(*key, *counts) for key, counts in sorted(totals.items()))


def totals_of(rows: Iterable[Row]) -> Totals:
    """Return totals from their stored form, adding up equal keys."""
    totals: Totals = {}
    for row in rows:
        key = UsageKey(row.workspace, row.model, row.service)
        counts = Counts(row.calls, row.prompt_tokens, row.output_tokens)
        totals[key] = _add(totals.get(key, _ZERO), counts)
    return totals


def merge(one: Mapping[UsageKey, Counts], other: Mapping[UsageKey, Counts]) -> Totals:
    """Return the higher of two totals of the same author, entry by entry."""
    merged = dict(one)
    for key, counts in other.items():
        known = merged.get(key, _ZERO)
        merged[key] = Counts(*map(max, known, counts))
    return merged


class HandIn(msgspec.Struct, frozen=True):
    """One transaction: write the ledger and the part.

    Its conditions are that the ledger is unchanged since it was read, the part absent
    and the part's window not closed.
    """

    ledger: Ledger
    part: Part


def plan_hand_in(
    ledger: Ledger,
    totals: Mapping[UsageKey, Counts],
    window: int,
    closed: bool,
    last_of: int | None = None,
) -> HandIn | None:
    """Return what to write for one ended window of an author.

    :param ledger: as it was read from KV, empty if it does not exist.
    :param totals: the author's totals at the window's end, or a copy of them.
    :param closed: the window takes no more parts. What it misses is in the totals of
        the author's later windows too.
    :param last_of: the current window, if the author ends with this one. Then it is
        not awaited any more, and what its last window cannot take goes into a window
        that is open.
    :returns: None if nothing has to be written.
    """
    final = last_of is not None
    known = totals_of(ledger.rows)
    merged = merge(known, totals)
    late = closed or window <= ledger.last
    if late and not final:
        return None
    if late and merged == known and ledger.final:
        return None
    target = max(last_of, ledger.last + 1) if late else window
    difference = {}
    for key, counts in merged.items():
        change = _subtract(counts, known.get(key, _ZERO))
        if change != _ZERO:
            difference[key] = change
    raised = Ledger(ledger.author, target, ledger.final or final, rows_of(merged))
    return HandIn(raised, Part(ledger.author, target, rows_of(difference)))


def awaited(
    window: int, authors: Iterable[Author], ledgers_by_author: Mapping[str, Ledger]
) -> list[str]:
    """Return the authors whose part a window still needs.

    :param authors: every incarnation that the roster names.
    :param ledgers_by_author: all ledgers; an author that the roster no longer names
        is awaited until its ledger is final.
    """
    first_by_author = dict.fromkeys(ledgers_by_author, -1)
    first_by_author |= {author.id: author.first for author in authors}
    missing = []
    for author, first in sorted(first_by_author.items()):
        ledger = ledgers_by_author.get(author, Ledger(author))
        if not ledger.final and ledger.last < window and first <= window:
            missing.append(author)
    return missing


def shard_of(workspace: str, shards: int) -> int:
    """Return the shard whose duty reports a workspace."""
    return xxhash.xxh3_64_intdigest(workspace.encode()) % shards


def freeze(parts: Iterable[Part], shard: int, shards: int) -> tuple[Row, ...]:
    """Return the figures of one shard of a closed window.

    They depend on the parts alone, so whoever freezes a closed window gets the same.
    """
    rows = [
        row
        for part in parts
        for row in part.rows
        if shard_of(row.workspace, shards) == shard
    ]
    return rows_of(totals_of(rows))


class UsageBook:
    """What this process counts: rising totals, and the totals at each window's end."""

    __slots__ = (
        "author",
        "window",
        "totals",
        "version",
        "changed",
        "handed",
        "_seals_by_window",
    )

    def __init__(self, author: str, window: int) -> None:
        """Start with nothing.

        :param window: the current window.
        """
        self.author = author
        self.window = window
        self.totals: Totals = {}
        # Counts the records, so that an acknowledgement tells which ones it covers.
        self.version = 0
        # Keys that changed since the last batch to the holder of the copy.
        self.changed: set[UsageKey] = set()
        # Highest window that is handed in, or too late to be.
        self.handed = -1
        self._seals_by_window: dict[int, Totals] = {}

    def record(self, key: UsageKey, counts: Counts, window: int) -> None:
        """Count what one request used.

        :param window: the current window; an earlier one, after the clock went back,
            counts as the latest.
        """
        self.advance(window)
        self.totals[key] = _add(self.totals.get(key, _ZERO), counts)
        self.changed.add(key)
        self.version += 1

    def advance(self, window: int) -> None:
        """End the windows before the current one."""
        if window <= self.window:
            return
        self._seals_by_window[self.window] = dict(self.totals)
        self.window = window
        # Windows that passed without a call, as after a pause, have nothing of their
        # own; the last one is sealed to tell that nothing more comes before it.
        self._seals_by_window[window - 1] = dict(self.totals)
        while len(self._seals_by_window) > KEPT_SEALS:
            del self._seals_by_window[min(self._seals_by_window)]

    def next_sealed(self) -> tuple[int, Totals] | None:
        """Return the oldest ended window that is not handed in, and its totals."""
        if not self._seals_by_window:
            return None
        window = min(self._seals_by_window)
        return window, self._seals_by_window[window]

    def handed_in(self, window: int) -> None:
        """Drop the ended windows up to one that is handed in, or closed."""
        self.handed = max(self.handed, window)
        for number in [item for item in self._seals_by_window if item <= window]:
            del self._seals_by_window[number]

    @property
    def waiting(self) -> int:
        """Return how many ended windows are not handed in."""
        return len(self._seals_by_window)


def _add(one: Counts, other: Counts) -> Counts:
    return Counts(one[0] + other[0], one[1] + other[1], one[2] + other[2])


def _subtract(one: Counts, other: Counts) -> Counts:
    return Counts(one[0] - other[0], one[1] - other[1], one[2] - other[2])
