"""One budget in bytes for everything that an instance buffers.

The load it addresses: clients that together send far more than the memory of a small
machine, such as hundreds of bodies of legal size that stop one byte short, requests
sent ahead without reading the responses, or heads of thousands of fields. Each of them
is within its own limit, so that only their sum can be refused.

Bytes are charged to an account, by kind, when they are received and released when the
last of them has left. Above ``stop_bytes``, connections that hold large partial
requests are not read. Above ``refuse_bytes``, large partial requests are refused, the
least urgent first. Small requests are served up to the whole capacity.
"""

from collections.abc import Iterable
from typing import Protocol

# Part of the machine's memory that may be buffered. A process takes about 50 MB without
# load, and the machines have 160 MB or more, of which 0.6 may be used. What is buffered
# takes up to 1.5 times the charged bytes, as memory fragments.
CAPACITY_FRACTION = 0.16
# A single request of 4 MB is read below the first threshold of this capacity.
MIN_CAPACITY_BYTES = 10_000_000
# More does not help: no client within the limits waits for so much.
MAX_CAPACITY_BYTES = 512_000_000
# Thresholds as parts of the capacity.
STOP_FRACTION = 0.6
REFUSE_FRACTION = 0.85
# Refusals free this part of the capacity below the threshold, so that not every read
# afterwards refuses another request.
FREED_FRACTION = 0.05
# A request that holds no more than this is small: a head of the largest legal size with
# a few dozen fields, or a body of some KB.
SMALL_BYTES = 32_768
# What a header field takes besides its bytes: a tuple, two bytes objects and its place
# in a list.
FIELD_BYTES = 160
# What a prompt part takes in all tables that hold it while its request runs.
PART_BYTES = 400
# Rank of requests that no route or workspace claims; they are refused first.
LEAST_URGENT = 1_000
# All responses together may buffer this many bytes, and this part of the capacity.
MAX_RESPONSE_BYTES = 25_165_824
MAX_RESPONSE_FRACTION = 0.5
# What an exchange may buffer in any case, in bytes. Responses of plain services and
# events have some hundred bytes.
MIN_RESPONSE_BYTES = 16_384

# Kinds of what is charged: requests that are partly or wholly read, responses that
# callers have not read yet, parsed prompt parts, responses of upstreams.
REQUESTS, UNREAD, PARTS, RESPONSES = range(4)
KIND_NAMES = ("requests", "unread", "parts", "responses")


def capacity_bytes(machine_bytes: float) -> int:
    """Return the capacity of the budget of a process.

    :param machine_bytes: memory of its machine.
    """
    wanted = int(machine_bytes * CAPACITY_FRACTION)
    return min(MAX_CAPACITY_BYTES, max(MIN_CAPACITY_BYTES, wanted))


class MemoryBudget:
    """What a process buffers, by kind."""

    __slots__ = (
        "capacity_bytes",
        "stop_bytes",
        "refuse_bytes",
        "used_bytes",
        "peak_bytes",
        "used_by_kind",
    )

    def __init__(self, capacity: int = MAX_CAPACITY_BYTES) -> None:
        """Start with an unused budget.

        :param capacity: in bytes.
        """
        self.capacity_bytes = capacity
        self.stop_bytes = int(capacity * STOP_FRACTION)
        self.refuse_bytes = int(capacity * REFUSE_FRACTION)
        self.used_bytes = 0
        self.peak_bytes = 0
        self.used_by_kind = [0] * len(KIND_NAMES)

    def charge(self, kind: int, delta: int) -> None:
        """Charge bytes of a kind, or release them if the number is negative."""
        self.used_bytes += delta
        self.used_by_kind[kind] += delta
        if self.used_bytes > self.peak_bytes:
            self.peak_bytes = self.used_bytes

    @property
    def reading_stops(self) -> bool:
        """Return whether large requests are not read at present."""
        return self.used_bytes >= self.stop_bytes

    def refuses(self, size: int) -> bool:
        """Return whether a request that will hold this many bytes is refused."""
        if size <= SMALL_BYTES:
            return self.used_bytes + size > self.capacity_bytes
        return self.used_bytes + size > self.refuse_bytes

    def excess_bytes(self) -> int:
        """Return how many bytes refusals have to free, 0 below the threshold."""
        if self.used_bytes <= self.refuse_bytes:
            return 0
        freed = int(self.capacity_bytes * FREED_FRACTION)
        return self.used_bytes - self.refuse_bytes + freed


class Account:
    """What one holder has charged to the budget, by kind."""

    __slots__ = ("budget", "held_by_kind")

    def __init__(self, budget: MemoryBudget) -> None:
        """Open an empty account."""
        self.budget = budget
        self.held_by_kind = [0] * len(KIND_NAMES)

    def resize(self, kind: int, size: int) -> None:
        """Set how many bytes of a kind the holder has."""
        delta = size - self.held_by_kind[kind]
        if delta:
            self.held_by_kind[kind] = size
            self.budget.charge(kind, delta)

    def close(self) -> None:
        """Release everything."""
        for kind in range(len(KIND_NAMES)):
            self.resize(kind, 0)


class Refusable(Protocol):
    """A holder of a partial request."""

    # Bytes that its refusal frees.
    refusable_bytes: int
    # Priority of the request; 0 is the most urgent.
    rank: int
    # Monotonic time at which its last bytes arrived.
    progressed_at: float


def choose_refused(
    holders: Iterable[Refusable], excess: int, min_bytes: int = SMALL_BYTES
) -> list[Refusable]:
    """Return the partial requests to refuse: the least urgent first, then the stalled.

    :param excess: bytes to be freed.
    :param min_bytes: requests that hold no more than this are spared.
    """
    if excess <= 0:
        return []
    large = [item for item in holders if item.refusable_bytes > min_bytes]
    large.sort(key=lambda item: (-item.rank, item.progressed_at))
    chosen = []
    for item in large:
        if excess <= 0:
            break
        chosen.append(item)
        excess -= item.refusable_bytes
    return chosen


class ResponseBuffers:
    """What all exchanges buffer of responses, charged to the budget.

    Each response has a bound of its own, but the sum over hundreds of exchanges with
    slow or faulty upstreams would exceed the memory of a small instance. Every exchange
    may buffer a small response; what goes beyond it comes from the budget.
    """

    __slots__ = ("used_bytes", "rejections", "_budget", "_capacity_bytes")

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        """Start without responses.

        :param budget: the budget of the process; one of its own by default.
        """
        self._budget = budget or MemoryBudget()
        share = int(self._budget.capacity_bytes * MAX_RESPONSE_FRACTION)
        self._capacity_bytes = min(MAX_RESPONSE_BYTES, share)
        # Bytes that exchanges hold beyond the minimum.
        self.used_bytes = 0
        # How often an exchange got no more bytes.
        self.rejections = 0

    def try_resize(self, held_bytes: int, wanted_bytes: int) -> bool:
        """Change what an exchange holds.

        :param held_bytes: what it has been granted.
        :param wanted_bytes: what it holds from now on.
        :returns: false if the budget does not allow it; nothing changes then.
        """
        charge = _charge(wanted_bytes) - _charge(held_bytes)
        if charge > 0 and (
            self.used_bytes + charge > self._capacity_bytes
            or self._budget.used_bytes + charge > self._budget.capacity_bytes
        ):
            self.rejections += 1
            return False
        if charge:
            self.used_bytes += charge
            self._budget.charge(RESPONSES, charge)
        return True


def _charge(held_bytes: int) -> int:
    return max(0, held_bytes - MIN_RESPONSE_BYTES)
