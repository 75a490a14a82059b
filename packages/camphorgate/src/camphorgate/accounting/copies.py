"""Copies of the current usage at a peer in another zone.

A batch carries the new values of the totals that changed, not the changes, so that it
can be repeated and merged in any order. The first batch to a holder carries all. An
acknowledgement of a batch covers all before it.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from camphorgate.accounting.windows import (
    Row,
    Totals,
    UsageBook,
    merge,
    rows_of,
    totals_of,
)


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """What an author sends to the holder of its copy.

    ``window`` is the author's current window; ``handed`` the highest one that needs no
    copy any more.
    """

    author: str
    window: int
    handed: int
    rows: tuple[Row, ...]


class Candidate(msgspec.Struct, frozen=True):
    """A linked peer that could hold the copy."""

    instance_id: str
    availability_zone: str
    live: bool = True
    leaving: bool = False


def choose_holder(
    own_id: str, own_zone: str, candidates: Iterable[Candidate], current: str = ""
) -> str:
    """Return the peer that holds the copy; empty if there is none.

    A peer of another zone comes first, then one of the own zone, which at least
    survives the kill of this process. The current holder stays as long as it is as
    good, and instances spread over holders by rendezvous hashing.
    """
    usable = [item for item in candidates if item.live and not item.leaving]

    def key(item: Candidate) -> tuple[bool, bool, int]:
        weight = xxhash.xxh3_64_intdigest(f"{own_id}\0{item.instance_id}".encode())
        other_zone = item.availability_zone != own_zone
        return other_zone, item.instance_id == current, weight

    return max(usable, key=key).instance_id if usable else ""


class CopySender:
    """Batches to one holder: at most one is on its way, the next one collects."""

    __slots__ = ("holder", "sequence", "_in_flight", "_version", "_sent_window", "_new")

    def __init__(self, holder: str, sequence: int) -> None:
        """Start a new link, on which everything has to be sent.

        :param sequence: the last sequence used by this process; they never repeat.
        """
        self.holder = holder
        self.sequence = sequence
        self._in_flight = False
        self._version = 0
        self._sent_window = (-1, -1)
        self._new = True

    @property
    def awaiting(self) -> bool:
        """Tell whether a batch is on its way."""
        return self._in_flight

    def next_batch(self, book: UsageBook) -> Batch | None:
        """Return the next batch if one is due, with its number in ``sequence``.

        A batch that cannot be queued is lost with what it carries; then the caller
        starts a new sender.
        """
        window = (book.window, book.handed)
        due = self._new or book.changed or window != self._sent_window
        if self._in_flight or not due:
            return None
        keys = book.totals if self._new else book.changed
        rows = rows_of({key: book.totals[key] for key in keys})
        book.changed = set()
        self._new = False
        self._sent_window = window
        self._version = book.version
        self._in_flight = True
        self.sequence += 1
        return Batch(book.author, book.window, book.handed, rows)

    def take_ack(self, sequence: int) -> int | None:
        """Take an acknowledgement.

        :returns: the version of the book that is covered, None if it is not awaited.
        """
        if not self._in_flight or sequence != self.sequence:
            return None
        self._in_flight = False
        return self._version


class Copy(msgspec.Struct):
    """A holder's copy of one author: totals now and at each window's end."""

    author: str
    window: int
    totals: Totals = {}
    seals_by_window: dict[int, Totals] = {}


class CopyStore:
    """The copies that this process holds for others."""

    __slots__ = ("_copies_by_author",)

    def __init__(self) -> None:
        """Start without copies."""
        self._copies_by_author: dict[str, Copy] = {}

    def take(self, batch: Batch) -> None:
        """Merge a batch; from its return on it may be acknowledged."""
        copy = self._copies_by_author.get(batch.author)
        if copy is None:
            copy = Copy(batch.author, batch.window)
            self._copies_by_author[batch.author] = copy
        if batch.window > copy.window:
            copy.seals_by_window[copy.window] = dict(copy.totals)
            copy.window = batch.window
        copy.totals = merge(copy.totals, totals_of(batch.rows))
        for window in [item for item in copy.seals_by_window if item <= batch.handed]:
            del copy.seals_by_window[window]

    def authors(self) -> list[str]:
        """Return the authors whose copies are held."""
        return sorted(self._copies_by_author)

    def next_unsent(self, author: str) -> tuple[int, Totals, bool] | None:
        """Return what of a dead author has to be handed in next.

        :returns: window, totals at its end, and whether it is the last one; None if
            there is no copy.
        """
        copy = self._copies_by_author.get(author)
        if copy is None:
            return None
        if copy.seals_by_window:
            window = min(copy.seals_by_window)
            return window, copy.seals_by_window[window], False
        return copy.window, copy.totals, True

    def handed_in(self, author: str, window: int, totals: Totals) -> None:
        """Drop what ``next_unsent`` returned, once it is handed in or too late to be.

        The last one drops the copy, unless a batch came meanwhile. A batch after that,
        of an author that was wrongly believed dead, starts a new copy; the ledger
        keeps usage from counting twice.
        """
        copy = self._copies_by_author.get(author)
        if copy is None:
            return
        if copy.seals_by_window:
            copy.seals_by_window.pop(window, None)
        elif copy.totals is totals:
            del self._copies_by_author[author]
