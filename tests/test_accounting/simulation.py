"""A step-by-step simulation of usage accounting with an in-memory key-value store.

A read of the store and the write that depends on it are separate steps, so that other
processes can act in between. The decisions come from the production code.
"""

from camphorgate.accounting.copies import CopySender, CopyStore
from camphorgate.accounting.windows import (
    Author,
    Counts,
    Ledger,
    UsageKey,
    UsageRecorder,
    aggregate_shard,
    author_id,
    pending_authors,
    plan_hand_in,
    rows_to_totals,
    split_author,
)

KEY = UsageKey("north", "assistant", "")
SHARDS = 1


class Store:
    """A store of ledgers, parts and closed windows with conditional writes."""

    def __init__(self):
        self.ledgers_by_author = {}
        self.parts_by_key = {}
        self.closed = set()
        self.frozen_by_window = {}
        self.roster_by_instance = {}

    def write(self, before, plan):
        """Apply a hand-in if its conditions hold, and return whether they did."""
        author, window = plan.part.author, plan.part.window
        current = self.ledgers_by_author.get(author, Ledger(author))
        taken = (window, author) in self.parts_by_key
        if current != before or taken or window in self.closed:
            return False
        self.ledgers_by_author[author] = plan.ledger
        self.parts_by_key[window, author] = plan.part
        return True

    def parts(self, window):
        """Return the parts of a window."""
        return [
            p
            for (number, _), p in sorted(self.parts_by_key.items())
            if number == window
        ]


class Process:
    """One instance across all its incarnations."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.incarnation = 0
        self.alive = False
        self.start()

    def start(self):
        """Start a new incarnation with empty memory."""
        self.incarnation += 1
        self.alive = True
        self.author = author_id(self.name, self.incarnation)
        self.book = UsageRecorder(self.author, self.world.window)
        self.copies = CopyStore()
        self.sender = None
        self.pending = {}
        self.first = self.world.window
        self.sequence = 0
        self.world.recorded.setdefault(self.author, 0)
        self.world.acknowledged.setdefault(self.author, 0)
        earlier = self.world.store.roster_by_instance.get(self.name, [])
        entry = Author(self.author, self.first)
        self.world.store.roster_by_instance[self.name] = [*earlier, entry]

    def kill(self):
        """Stop the process and discard its memory."""
        self.alive = False
        self.book = self.copies = self.sender = None
        self.pending = {}

    def use(self, calls):
        """Record usage."""
        self.book.record(KEY, Counts(calls, 10 * calls, calls), self.world.window)
        self.world.recorded[self.author] += calls

    def send(self, holder, delivered, answered):
        """Send a batch to a holder; a lost batch or acknowledgement ends the link."""
        if self.sender is None or self.sender.holder != holder.author:
            self.sender = CopySender(holder.author, self.sequence)
        batch = self.sender.next_batch(self.book)
        if batch is None:
            return
        self.sequence = self.sender.sequence
        covered = sum(row.calls for row in batch.rows)
        if delivered and holder.alive:
            holder.copies.receive_batch(batch)
            if answered:
                self.sender.receive_ack(self.sequence)
                acknowledged = self.world.acknowledged
                acknowledged[self.author] = max(acknowledged[self.author], covered)
                return
        self.sender = None

    def hand_in_read(self, author, is_last):
        """Read the state that the next hand-in depends on, and plan it."""
        if author == self.author:
            self.book.advance(self.world.window)
            found = self.book.next_ended_window()
            step = (*found, False) if found else None
        else:
            step = self.copies.next_pending_window(author)
        if step is None:
            return
        window, totals, last = step
        ledger = self.world.store.ledgers_by_author.get(author, Ledger(author))
        closed = window in self.world.store.closed
        current = self.world.window if last else None
        plan = plan_hand_in(ledger, totals, window, closed, current)
        self.pending[author] = (ledger, window, totals, plan)

    def hand_in_write(self, author):
        """Write the planned hand-in unless the state has changed since the read."""
        if author not in self.pending:
            return
        ledger, window, totals, plan = self.pending.pop(author)
        if plan is not None and not self.world.store.write(ledger, plan):
            return
        if author == self.author:
            self.book.mark_handed_in(window)
        else:
            self.copies.mark_handed_in(author, window, totals)


class World:
    """All processes and the store."""

    def __init__(self, names):
        self.window = 100
        self.store = Store()
        self.recorded = {}
        self.acknowledged = {}
        self.processes = [Process(self, name) for name in names]

    def is_dead(self, author):
        """Return whether the process of an author has ended."""
        name, incarnation = split_author(author)
        process = next(item for item in self.processes if item.name == name)
        return not process.alive or process.incarnation > incarnation

    def close(self, window):
        """Close and freeze a window if every known author has handed it in."""
        if window >= self.window or window in self.store.closed:
            return
        entries = [e for known in self.store.roster_by_instance.values() for e in known]
        if not pending_authors(window, entries, self.store.ledgers_by_author):
            self.store.closed.add(window)
            rows = aggregate_shard(self.store.parts(window), 0, SHARDS)
            self.store.frozen_by_window[window] = rows

    def settle(self):
        """Let every running process hand in all its usage."""
        # A holder that wrongly believed an author dead may have handed in for later
        # windows, so that the author has to wait until these have passed.
        for _ in range(40):
            self.window += 1
            for process in self.processes:
                if not process.alive:
                    continue
                authors = [a for a in process.copies.authors() if self.is_dead(a)]
                for author in [process.author, *authors]:
                    process.hand_in_read(author, False)
                    process.hand_in_write(author)

    def handed_in(self, author):
        """Return the total number of calls in the parts of an author."""
        return sum(
            rows_to_totals(part.rows).get(KEY, Counts(0, 0, 0)).calls
            for (_, name), part in self.store.parts_by_key.items()
            if name == author
        )
