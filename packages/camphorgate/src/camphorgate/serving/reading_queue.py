"""Which long prompts wait in the instance, and in which order they go on.

Answers overload by long prompts: an engine reads prompts one after the other, so a few
long ones in its queue make every short one late that comes behind them. A long prompt
therefore goes to an engine only when little is queued there. Meanwhile it waits here,
where it can still be refused as not run and where the most urgent goes first. Waiting
prompts get ahead of none but each other, so that they are not starved by short ones.
"""

from collections import deque

import msgspec

# Prompts with more tokens to read than this wait for an engine with a short queue.
LONG_TOKENS = 3000
# What may be queued at an engine when a long prompt is sent there, ms of reading.
QUEUED_MS = 60.0
# The bound grows by this part of the time that a prompt has waited.
PATIENCE_PART = 0.1
# The reading rate of this instance is measured over this time.
RATE_SECONDS = 2.0
# Prompts that waited this long count for the rate even if few were sent on.
LEAST_RATE_TOKENS = 2000.0


class Ticket(msgspec.Struct, eq=False):
    """A prompt that waits; ``tokens`` are those that must be read."""

    rank: int
    arrived_at: float
    tokens: int


class ReadingQueue:
    """The long prompts that wait in one instance, most urgent and oldest first."""

    __slots__ = ("_tickets", "_sent")

    def __init__(self) -> None:
        """Start empty."""
        self._tickets: list[Ticket] = []
        self._sent: deque[tuple[float, int]] = deque()

    def __len__(self) -> int:
        return len(self._tickets)

    def join(self, ticket: Ticket) -> None:
        """Add a prompt."""
        self._tickets.append(ticket)
        self._tickets.sort(key=lambda item: (item.rank, item.arrived_at))

    def leave(self, ticket: Ticket) -> None:
        """Remove a prompt that goes on, is refused, or whose caller left."""
        self._tickets.remove(ticket)

    def is_first(self, ticket: Ticket) -> bool:
        """Tell whether a prompt is the next to go on."""
        return bool(self._tickets) and self._tickets[0] is ticket

    def may_go(self, ticket: Ticket, queued_ms: float, now: float) -> bool:
        """Tell whether the first prompt goes to the engine that was chosen for it.

        :param queued_ms: reading time of what is queued at the engine.
        """
        waited_ms = (now - ticket.arrived_at) * 1000
        return queued_ms <= QUEUED_MS + waited_ms * PATIENCE_PART

    def sent(self, tokens: int, now: float) -> None:
        """Note a long prompt that went on."""
        self._sent.append((now, tokens))

    def wait_seconds(self, ticket: Ticket, now: float) -> float:
        """Return how long a prompt will wait at the present rate."""
        while self._sent and now - self._sent[0][0] > RATE_SECONDS:
            self._sent.popleft()
        sent = sum(tokens for _, tokens in self._sent)
        ahead = 0
        for item in self._tickets:
            if item is ticket:
                break
            ahead += item.tokens
        return ahead * RATE_SECONDS / max(LEAST_RATE_TOKENS, sent)
