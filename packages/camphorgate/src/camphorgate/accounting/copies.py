"""Copies of an author's current usage, held by a peer, if possible in another zone.

A batch carries the new values of the changed totals rather than the differences, so
that batches can be repeated and merged in any order. The first batch to a holder
carries all totals. Acknowledging a batch also acknowledges all earlier ones.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from camphorgate.accounting.windows import (
    Row,
    Totals,
    UsageRecorder,
    merge,
    rows_to_totals,
    totals_to_rows,
)


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """A message from an author to the holder of its copy.

    ``window`` is the author's current window. ``handed`` is the highest window that no
    longer needs a copy.
    """

    author: str
    window: int
    handed: int
    rows: tuple[Row, ...]


class Candidate(msgspec.Struct, frozen=True):
    """A linked peer that may hold the copy."""

    instance_id: str
    availability_zone: str
    live: bool = True
    leaving: bool = False


def choose_copy_holder(
    own_id: str, own_zone: str, candidates: Iterable[Candidate], current: str = ""
) -> str:
    """Return the id of the peer that is to hold the copy, empty if there is none.

    Peers in other zones are preferred. A copy in the same zone at least survives the
    kill of this process. The current holder is kept unless a better one appears.
    Rendezvous hashing spreads instances over holders.
    """
    usable = [item for item in candidates if item.live and not item.leaving]

    def key(item: Candidate) -> tuple[bool, bool, int]:
        weight = xxhash.xxh3_64_intdigest(f"{own_id}\0{item.instance_id}".encode())
        other_zone = item.availability_zone != own_zone
        return other_zone, item.instance_id == current, weight

    return max(usable, key=key).instance_id if usable else ""


class CopySender:
    """Sends batches to one holder and collects changes while one is unacknowledged."""

    __slots__ = (
        "holder",
        "sequence",
        "_awaiting_ack",
        "_version",
        "_sent_window",
        "_full_batch_due",
    )

    def __init__(self, holder: str, sequence: int) -> None:
        """Start on a new link; the first batch carries all totals.

        :param sequence: the last sequence number that this process used. Numbers are
            never reused.
        """
        self.holder = holder
        self.sequence = sequence
        self._awaiting_ack = False
        self._version = 0
        self._sent_window = (-1, -1)
        self._full_batch_due = True

    @property
    def is_awaiting_ack(self) -> bool:
        """Return whether a batch awaits its acknowledgement."""
        return self._awaiting_ack

    def next_batch(self, book: UsageRecorder) -> Batch | None:
        """Return the next batch if one is due, and store its number in ``sequence``.

        If the batch can't be queued, its changes are lost to this sender, and the
        caller has to start a new one.
        """
        window = (book.window, book.handed)
        due = self._full_batch_due or book.changed or window != self._sent_window
        if self._awaiting_ack or not due:
            return None
        keys = book.totals if self._full_batch_due else book.changed
        rows = totals_to_rows({key: book.totals[key] for key in keys})
        book.changed = set()
        self._full_batch_due = False
        self._sent_window = window
        self._version = book.version
        self._awaiting_ack = True
        self.sequence += 1
        return Batch(book.author, book.window, book.handed, rows)

    def receive_ack(self, sequence: int) -> int | None:
        """Process an acknowledgement.

        :returns: the version of the book that it covers, ``None`` if it is unexpected.
        """
        if not self._awaiting_ack or sequence != self.sequence:
            return None
        self._awaiting_ack = False
        return self._version


class Copy(msgspec.Struct):
    """A holder's copy of one author: current totals and those at each window's end."""

    author: str
    window: int
    totals: Totals = {}
    totals_by_ended_window: dict[int, Totals] = {}


class CopyStore:
    """The copies that this process holds for other authors."""

    __slots__ = ("_copies_by_author",)

    def __init__(self) -> None:
        """Start without copies."""
        self._copies_by_author: dict[str, Copy] = {}

    def receive_batch(self, batch: Batch) -> None:
        """Merge a batch, which may be acknowledged once this returns."""
        copy = self._copies_by_author.get(batch.author)
        if copy is None:
            copy = Copy(batch.author, batch.window)
            self._copies_by_author[batch.author] = copy
        if batch.window > copy.window:
            copy.totals_by_ended_window[copy.window] = dict(copy.totals)
            copy.window = batch.window
        copy.totals = merge(copy.totals, rows_to_totals(batch.rows))
        for window in [
            item for item in copy.totals_by_ended_window if item <= batch.handed
        ]:
            del copy.totals_by_ended_window[window]

    def authors(self) -> list[str]:
        """Return the authors whose copies are held."""
        return sorted(self._copies_by_author)

    def next_pending_window(self, author: str) -> tuple[int, Totals, bool] | None:
        """Return the next window to hand in for a dead author.

        :returns: the window, the totals at its end, and whether it is the last one;
            ``None`` if no copy is held.
        """
        copy = self._copies_by_author.get(author)
        if copy is None:
            return None
        if copy.totals_by_ended_window:
            window = min(copy.totals_by_ended_window)
            return window, copy.totals_by_ended_window[window], False
        return copy.window, copy.totals, True

    def mark_handed_in(self, author: str, window: int, totals: Totals) -> None:
        """Drop a window from ``next_unsent`` that was handed in or is already closed.

        After the last window the whole copy is dropped, unless another batch arrived
        in the meantime. If the author was wrongly believed dead, its next batch starts
        a new copy, and the ledger prevents usage from being counted twice.
        """
        copy = self._copies_by_author.get(author)
        if copy is None:
            return
        if copy.totals_by_ended_window:
            copy.totals_by_ended_window.pop(window, None)
        elif copy.totals is totals:
            del self._copies_by_author[author]
