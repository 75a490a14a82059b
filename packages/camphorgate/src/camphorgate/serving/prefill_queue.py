"""Queue of long prompts that wait in the instance for prefill on an engine.

Prevents overload by long prompts: an engine prefills prompts sequentially, so a few
long prompts in its queue delay every short prompt behind them. A long prompt is
therefore sent to an engine only while the queue there is short. Until then it waits
here, where it can still be refused as not run and where the order of ``request_order``
holds. Waiting prompts overtake only each other, so that short prompts do not starve
them.
"""

from collections import deque

from camphorgate.serving.request_order import (
    RequestOrder,
    ReturnTimes,
    WaitingRequest,
)

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


# Assumed time between the prompts that this instance can send, in seconds; refused
# callers return no closer to each other.
PROMPT_INTERVAL_SECONDS = 0.05
# The order is computed again after this time, in seconds, as it depends on the age.
SORT_INTERVAL_SECONDS = 0.01


class QueuedPrompt(WaitingRequest, eq=False):
    """A waiting prompt; its cost is the number of tokens to prefill."""


class PrefillQueue:
    """Holds the waiting long prompts."""

    __slots__ = ("_order", "_tickets", "_sorted_at", "_sent", "_returns")

    def __init__(self, by_loss: bool = True) -> None:
        """Initialize an empty queue.

        :param by_loss: false to order by rank and arrival alone.
        """
        self._order = RequestOrder(by_loss)
        self._tickets: list[QueuedPrompt] = []
        # When the tickets were sorted, ``None`` if that has to be done.
        self._sorted_at: float | None = None
        self._sent: deque[tuple[float, float]] = deque()
        self._returns = ReturnTimes()

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, ticket: QueuedPrompt) -> None:
        """Add a prompt to the queue."""
        self._order.admit(ticket)
        self._tickets.append(ticket)
        self._sorted_at = None

    def remove(self, ticket: QueuedPrompt) -> None:
        """Remove a prompt that is sent, is refused, or whose caller disconnected."""
        self._tickets.remove(ticket)

    def is_first(self, ticket: QueuedPrompt, now: float) -> bool:
        """Return whether a prompt is next in the queue."""
        self._sort(now)
        return bool(self._tickets) and self._tickets[0] is ticket

    def _sort(self, now: float) -> None:
        at = self._sorted_at
        if at is None or abs(now - at) >= SORT_INTERVAL_SECONDS:
            self._tickets = self._order.sort(self._tickets, now)
            self._sorted_at = now

    def may_send(self, ticket: QueuedPrompt, queued_ms: float, now: float) -> bool:
        """Return whether a prompt may be sent to the engine chosen for it.

        :param queued_ms: prefill time of the prompts queued at the engine.
        """
        waited_ms = (now - ticket.arrived_at) * 1000
        return queued_ms <= MAX_ENGINE_QUEUE_MS + waited_ms * WAIT_ALLOWANCE_FRACTION

    def record_sent(
        self, tokens: float, now: float, ticket: QueuedPrompt | None = None
    ) -> None:
        """Record a long prompt that was sent to an engine.

        :param ticket: its ticket, so that it counts as use of its workspace.
        """
        self._drop_old(now)
        self._sent.append((now, tokens))
        if ticket is not None:
            self._order.record_start(ticket, now)

    def wait_seconds(self, ticket: QueuedPrompt, now: float) -> float:
        """Return the expected waiting time of a prompt at the current rate."""
        self._drop_old(now)
        self._sort(now)
        sent = sum(tokens for _, tokens in self._sent)
        ahead = 0
        for item in self._tickets:
            if item is ticket:
                break
            ahead += item.cost
        return ahead * RATE_WINDOW_SECONDS / max(MIN_RATE_TOKENS, sent)

    def return_seconds(self, rank: int, first_seconds: float, now: float) -> float:
        """Return the seconds after which a refused caller should return.

        :param first_seconds: predicted time until there is capacity.
        """
        return self._returns.choose_seconds(
            rank, now, first_seconds, PROMPT_INTERVAL_SECONDS
        )

    def _drop_old(self, now: float) -> None:
        while self._sent and now - self._sent[0][0] > RATE_WINDOW_SECONDS:
            self._sent.popleft()
