"""Queue of long prompts that wait in the instance for prefill on an engine.

Prevents overload by long prompts: an engine prefills prompts sequentially, so a few
long prompts in its queue delay every short prompt behind them. A long prompt is
therefore sent to an engine only while the queue there is short. Until then it waits
here, where it can still be refused as not run and where the most urgent goes first.
Waiting prompts overtake only each other, so that short prompts do not starve them.
"""

from collections import deque

import msgspec

# Prompts that keep an engine busy for longer than this wait for one with a short queue:
# 3,000 tokens at 55 per ms.
MIN_LONG_PROMPT_MS = 3000 / 55
# Maximum prefill time queued at an engine to which a long prompt is sent.
MAX_ENGINE_QUEUE_MS = 60.0
# Fraction of a prompt's waiting time by which the queue bound grows.
WAIT_ALLOWANCE_FRACTION = 0.1
# Window over which the prefill rate of this instance is measured.
RATE_WINDOW_SECONDS = 2.0
# Tokens assumed to be sent per rate window if fewer were sent.
MIN_RATE_TOKENS = 2000.0


class QueuedPrompt(msgspec.Struct, eq=False):
    """A waiting prompt; ``tokens`` is the number of tokens to prefill."""

    rank: int
    arrived_at: float
    tokens: int


class PrefillQueue:
    """Holds the waiting long prompts ordered by urgency, then by arrival."""

    __slots__ = ("_tickets", "_sent")

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self._tickets: list[QueuedPrompt] = []
        self._sent: deque[tuple[float, int]] = deque()

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, ticket: QueuedPrompt) -> None:
        """Add a prompt to the queue."""
        self._tickets.append(ticket)
        self._tickets.sort(key=lambda item: (item.rank, item.arrived_at))

    def remove(self, ticket: QueuedPrompt) -> None:
        """Remove a prompt that is sent, is refused, or whose caller disconnected."""
        self._tickets.remove(ticket)

    def is_first(self, ticket: QueuedPrompt) -> bool:
        """Return whether a prompt is next in the queue."""
        return bool(self._tickets) and self._tickets[0] is ticket

    def may_send(self, ticket: QueuedPrompt, queued_ms: float, now: float) -> bool:
        """Return whether a prompt may be sent to the engine chosen for it.

        :param queued_ms: prefill time of the prompts queued at the engine.
        """
        waited_ms = (now - ticket.arrived_at) * 1000
        return queued_ms <= MAX_ENGINE_QUEUE_MS + waited_ms * WAIT_ALLOWANCE_FRACTION

    def record_sent(self, tokens: int, now: float) -> None:
        """Record a long prompt that was sent to an engine."""
        self._drop_old(now)
        self._sent.append((now, tokens))

    def wait_seconds(self, ticket: QueuedPrompt, now: float) -> float:
        """Return the expected waiting time of a prompt at the current rate."""
        self._drop_old(now)
        sent = sum(tokens for _, tokens in self._sent)
        ahead = 0
        for item in self._tickets:
            if item is ticket:
                break
            ahead += item.tokens
        return ahead * RATE_WINDOW_SECONDS / max(MIN_RATE_TOKENS, sent)

    def _drop_old(self, now: float) -> None:
        while self._sent and now - self._sent[0][0] > RATE_WINDOW_SECONDS:
            self._sent.popleft()
