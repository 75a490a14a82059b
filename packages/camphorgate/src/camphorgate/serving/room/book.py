"""Book of the slots that an owner lends, and queue of the requests that wait for one.

Load addressed: 4 upstreams of 6 slots before 87 instances, in bursts of up to 1.5 times
what they can serve. A full upstream refuses, so a request is sent only with a loan of a
slot; and as one book holds all requests, no slot is free while a request waits.

A loan ends when it is returned. It is also dropped when its borrower has not named it
lately, as it has died or is cut off. Requests without a loan, which instances sent by
their own choice, are known from the load that upstreams report.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from enum import IntEnum

import msgspec

from camphorgate.serving.catalog import Upstream
from camphorgate.serving.request_order import (
    RequestOrder,
    ReturnTimes,
    WaitingRequest,
    find_unreachable,
)

# A loan that its borrower has not named for this long is dropped. Borrowers name theirs
# every 0.2 s.
UNNAMED_SECONDS = 1.0
# A loan is dropped this long after the deadline of its request.
OVERDUE_SECONDS = 1.0
# A reported load holds for this long: about two requests.
REPORT_SECONDS = 0.2
# A reported number of slots holds for this long.
REPORTED_SLOTS_SECONDS = 1.0
# A response reports a load of this long ago, counting its network time. Loans that were
# returned since are still in it.
REPORT_DELAY_SECONDS = 0.02
# No slot of an upstream that refused a request as full is lent for this long: requests
# that are not in the book need some time to end.
REFUSED_SECONDS = 0.03
# An upstream at which a request failed is the last choice for this long.
FAILED_SECONDS = 0.5
# Service time of a request before any is known, in ms. A start value, replaced by what
# is measured.
START_CALL_MS = 80.0
# Weight of the newest measured service time.
NEWEST_CALL_WEIGHT = 0.1
# Penalty for an upstream in another zone, in ms, as in ``placement``.
OTHER_ZONE_PENALTY_MS = 30.0
# Penalty for an upstream whose slots are all but one in use, in ms. It spreads requests
# over upstreams that are equal otherwise.
BUSY_PENALTY_MS = 20.0
# A new owner does not know all loans of the former one, which end within the time of a
# request. For this long it lends the slots one after the other.
TAKEOVER_SECONDS = 0.1
# Part of the time to its target that a request may wait for a slot. A longer queue
# would not keep more slots in use, and leaves no time for a slow upstream.
WAIT_FRACTION = 0.6
# Service times, and seconds for the network, that are left when the wait ends.
LEFT_CALLS = 1.5
LEFT_SECONDS = 0.01
# A request may wait this many service times where its target allows less: its target
# cannot be met, but its deadline can.
MIN_WAIT_CALLS = 1.0
# The queue is sorted at most this often, as sorting it for each arrival would take the
# owner's processor during overload.
SORT_INTERVAL_SECONDS = 0.02
# Kinds of requests whose service times are kept.
MAX_KINDS = 500

Key = tuple[str, int]


class Outcome(IntEnum):
    """How a loan ended."""

    DONE = 0
    UNUSED = 1
    REFUSED = 2
    FAILED = 3


class Ask(msgspec.Struct, eq=False, frozen=True):
    """A request for a slot.

    ``borrower`` and ``number`` identify it. ``kind`` names requests of similar size.
    ``target_seconds`` is the time left to its target and ``seconds_left`` to its
    deadline. ``excluded`` are ids of upstreams that it cannot use.
    """

    borrower: str
    number: int
    zone: str
    rank: int
    workspace: str
    kind: str
    target_seconds: float
    seconds_left: float
    excluded: tuple[str, ...] = ()

    @property
    def key(self) -> Key:
        """Return what identifies the ask."""
        return self.borrower, self.number


class Answer(msgspec.Struct, frozen=True):
    """What an ask gets: an upstream, or a refusal with the seconds until a retry."""

    key: Key
    upstream: Upstream | None
    retry_after: float = 0.0


class _Loan:
    """A slot in use; ``named_at`` is when the borrower last named it."""

    __slots__ = ("upstream_id", "lent_at", "named_at", "ends_at", "kind")

    def __init__(self, upstream_id: str, now: float, ends_at: float, kind: str) -> None:
        self.upstream_id = upstream_id
        self.lent_at = now
        self.named_at = now
        self.ends_at = ends_at
        self.kind = kind


class _Queued(WaitingRequest, kw_only=True, eq=False):
    ask: Ask


class _Slots:
    """What is known of one upstream's slots."""

    __slots__ = (
        "upstream",
        "loans",
        "ended_at",
        "reported_at",
        "reported_slots",
        "unknown",
        "refused_until",
        "failed_until",
        "call_ms",
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.loans = 0
        # When loans ended lately.
        self.ended_at: deque[float] = deque(maxlen=64)
        self.reported_at = -math.inf
        self.reported_slots = 0
        # Requests there that are not in the book.
        self.unknown = 0
        self.refused_until = -math.inf
        self.failed_until = -math.inf
        self.call_ms: float | None = None

    def count(self, now: float) -> int:
        """Return the number of slots: as declared, or as reported if that is less."""
        declared = max(1, self.upstream.slots)
        if now - self.reported_at < REPORTED_SLOTS_SECONDS and self.reported_slots > 0:
            return min(declared, self.reported_slots)
        return declared

    def free(self, now: float) -> int:
        """Return the number of free slots."""
        if now < self.refused_until:
            return 0
        unknown = self.unknown if now - self.reported_at < REPORT_SECONDS else 0
        return self.count(now) - self.loans - unknown

    def record_report(self, running: int, waiting: int, slots: int, now: float) -> None:
        """Record a reported load."""
        ended = sum(now - at < REPORT_DELAY_SECONDS for at in self.ended_at)
        self.unknown = max(0, running + waiting - self.loans - ended)
        self.reported_slots = slots
        self.reported_at = now


class RoomBook:
    """The loans and the queue of one group of upstreams."""

    __slots__ = (
        "order",
        "_slots_by_id",
        "_loan_by_key",
        "_queue_by_key",
        "_sorted",
        "_sorted_at",
        "_returns",
        "_mean_ms",
        "_ms_by_kind",
        "_avoided",
        "_failure_ms",
        "_began_at",
        "_lent",
    )

    def __init__(
        self,
        avoided: Callable[[Upstream, float], bool] = lambda upstream, now: False,
        failure_ms: Callable[[Upstream, float], float] = lambda upstream, now: 0.0,
        by_loss: bool = True,
    ) -> None:
        """Start without loans.

        :param avoided: returns whether the owner avoids an upstream after failures.
        :param failure_ms: returns what the failures of an upstream add to its service
            time in a comparison, in ms.
        :param by_loss: false to queue by rank and arrival alone.
        """
        self.order = RequestOrder(by_loss)
        self._slots_by_id: dict[str, _Slots] = {}
        self._loan_by_key: dict[Key, _Loan] = {}
        self._queue_by_key: dict[Key, _Queued] = {}
        # The queue in reversed order, as of the last time it was sorted.
        self._sorted: list[_Queued] = []
        self._sorted_at = -math.inf
        self._returns = ReturnTimes()
        self._mean_ms = START_CALL_MS
        self._ms_by_kind: dict[str, float] = {}
        self._avoided = avoided
        self._failure_ms = failure_ms
        # When lending began, and how many slots were lent since.
        self._began_at = -math.inf
        self._lent = 0

    def begin(self, now: float) -> None:
        """Begin to lend slots that another owner lent before."""
        self._began_at = now
        self._lent = 0

    @property
    def loans(self) -> int:
        """Return the number of loans."""
        return len(self._loan_by_key)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue_by_key)

    def waiting_keys(self) -> list[Key]:
        """Return the keys of the requests that wait."""
        return list(self._queue_by_key)

    def loans_by_id(self) -> dict[str, int]:
        """Return the number of loans of each upstream."""
        return {name: slots.loans for name, slots in self._slots_by_id.items()}

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Set the upstreams whose slots are lent; loans of others are dropped."""
        former = self._slots_by_id
        self._slots_by_id = {}
        for item in upstreams:
            slots = former.get(item.id)
            if slots is None or slots.upstream.incarnation != item.incarnation:
                slots = _Slots(item)
            slots.upstream = item
            self._slots_by_id[item.id] = slots
        for key, loan in list(self._loan_by_key.items()):
            slots = self._slots_by_id.get(loan.upstream_id)
            if slots is None or slots is not former.get(loan.upstream_id):
                del self._loan_by_key[key]

    def may_use_any(self, ask: Ask) -> bool:
        """Return whether an ask can use any upstream of the group."""
        return any(name not in ask.excluded for name in self._slots_by_id)

    def request(self, ask: Ask, now: float) -> list[Answer]:
        """Lend a slot to an ask, or let it wait.

        An ask that is repeated gets the same slot.

        :returns: the answers to send; none to this ask if it waits.
        """
        loan = self._loan_by_key.get(ask.key)
        if loan is not None:
            return [Answer(ask.key, self._slots_by_id[loan.upstream_id].upstream)]
        if ask.key not in self._queue_by_key:
            queued = self._build_queued(ask, now)
            slots = None if self._queue_by_key else self._choose(ask, now)
            if slots is not None:
                self.order.record_start(queued, now)
                self._add_loan(ask, slots, now)
                return [Answer(ask.key, slots.upstream)]
            self.order.admit(queued)
            self._queue_by_key[ask.key] = queued
            if not self._sorted or queued.rank < self._sorted[-1].rank:
                self._sorted_at = -math.inf
        return self.settle(now)

    def can_lend(self, ask: Ask, now: float) -> bool:
        """Return whether an ask would get a slot at once."""
        return not self._queue_by_key and self._choose(ask, now) is not None

    def _build_queued(self, ask: Ask, now: float) -> _Queued:
        cost = self._ms_by_kind.get(ask.kind, self._mean_ms)
        call = cost / 1000
        left = LEFT_CALLS * call + LEFT_SECONDS
        allowed = min(ask.target_seconds - left, ask.target_seconds * WAIT_FRACTION)
        allowed = max(allowed, MIN_WAIT_CALLS * call)
        allowed = max(0.0, min(allowed, ask.seconds_left - left))
        return _Queued(
            rank=ask.rank,
            arrived_at=now,
            cost=cost,
            workspace=ask.workspace,
            latest_start=now + allowed,
            ask=ask,
        )

    def end(
        self, key: Key, now: float, outcome: Outcome = Outcome.DONE, seconds: float = 0
    ) -> None:
        """End a loan that is returned, or an ask that is given up.

        :param seconds: time that the upstream took, if the request was served.
        """
        if self._queue_by_key.pop(key, None) is not None:
            return
        loan = self._drop_loan(key, now)
        if loan is None:
            return
        slots = self._slots_by_id[loan.upstream_id]
        if outcome is Outcome.REFUSED:
            slots.refused_until = now + REFUSED_SECONDS
        elif outcome is Outcome.FAILED:
            slots.failed_until = now + FAILED_SECONDS
        elif outcome is Outcome.DONE:
            slots.failed_until = -math.inf
            if 0 < seconds < math.inf:
                self._record_call(slots, loan.kind, seconds * 1000)

    def name_loans(
        self,
        borrower: str,
        upstream_by_number: dict[int, str],
        next_number: int,
        now: float,
    ) -> None:
        """Record the loans and asks that a borrower still has.

        Loans of another owner are taken over; those that it no longer has are dropped.

        :param upstream_by_number: ids of upstreams, empty for an ask that waits.
        :param next_number: the number of its next ask; later ones are not judged.
        """
        for number, upstream_id in upstream_by_number.items():
            key = (borrower, number)
            loan = self._loan_by_key.get(key)
            if loan is not None:
                loan.named_at = now
            elif upstream_id in self._slots_by_id:
                self._queue_by_key.pop(key, None)
                loan = _Loan(upstream_id, now, math.inf, "")
                self._loan_by_key[key] = loan
                self._slots_by_id[upstream_id].loans += 1
        for key in [*self._loan_by_key, *self._queue_by_key]:
            name, number = key
            if (
                name == borrower
                and number < next_number
                and number not in upstream_by_number
            ):
                self.end(key, now, Outcome.UNUSED)

    def record_reported_load(
        self, upstream_id: str, running: int, waiting: int, slots: int, now: float
    ) -> None:
        """Record the load that an upstream reports of itself."""
        known = self._slots_by_id.get(upstream_id)
        if known is not None:
            known.record_report(running, waiting, slots, now)

    def settle(self, now: float) -> list[Answer]:
        """Lend the free slots to requests that wait, and refuse those too late.

        :returns: the answers to send.
        """
        answers: list[Answer] = []
        if not self._queue_by_key:
            self._sorted.clear()
            return answers
        if now - self._sorted_at >= SORT_INTERVAL_SECONDS:
            self._sort(now)
        while self._queue_by_key and self._any_free(now):
            queued = self._pop_first(now)
            if queued is None:
                break
            slots = self._choose(queued.ask, now)
            self.order.record_start(queued, now)
            self._add_loan(queued.ask, slots, now)
            answers.append(Answer(queued.ask.key, slots.upstream))
        return answers + self._refuse_late(now)

    def expire(self, now: float) -> int:
        """Drop the loans whose borrowers are gone, and return how many."""
        old = [
            key
            for key, loan in self._loan_by_key.items()
            if now - loan.named_at > UNNAMED_SECONDS
            or now > loan.ends_at + OVERDUE_SECONDS
        ]
        for key in old:
            self._drop_loan(key, now)
        return len(old)

    def _sort(self, now: float) -> None:
        self._sorted = self.order.sort(self._queue_by_key.values(), now)[::-1]
        self._sorted_at = now

    def _pop_first(self, now: float) -> _Queued | None:
        """Take the first request that can use a free slot from the queue."""
        for again in range(2):
            for position in range(len(self._sorted) - 1, -1, -1):
                queued = self._sorted[position]
                key = queued.ask.key
                if self._queue_by_key.get(key) is not queued:
                    del self._sorted[position]
                elif self._choose(queued.ask, now) is not None:
                    del self._sorted[position], self._queue_by_key[key]
                    return queued
            if not again:
                # Requests may have come since the queue was sorted.
                self._sort(now)
        return None

    def _refuse_late(self, now: float) -> list[Answer]:
        """Refuse what cannot start in time, when the queue was just sorted."""
        if self._sorted_at != now or not self._queue_by_key or self._takes_over(now):
            # After a takeover, slots are free that may be lent a moment later.
            return []
        ordered = [
            item
            for item in reversed(self._sorted)
            if self._queue_by_key.get(item.ask.key) is item
        ]
        count = sum(slots.count(now) for slots in self._slots_by_id.values())
        per_cost = 1 / 1000 / max(1, count)
        first = self._mean_ms * per_cost
        late = find_unreachable(ordered, now, first, per_cost)
        if not late:
            return []
        dropped = {id(item) for item in late}
        ahead = sum(item.cost for item in ordered if id(item) not in dropped)
        answers = []
        for item in sorted(late, key=lambda item: item.rank):
            del self._queue_by_key[item.ask.key]
            seconds = self._returns.choose_seconds(
                item.rank, now, first + ahead * per_cost, item.cost * per_cost
            )
            answers.append(Answer(item.ask.key, None, seconds))
        return answers

    def _any_free(self, now: float) -> bool:
        return not self._takes_over(now) and any(
            slots.free(now) > 0 for slots in self._slots_by_id.values()
        )

    def _takes_over(self, now: float) -> bool:
        """Return whether no further slot may be lent yet after a takeover."""
        passed = (now - self._began_at) / TAKEOVER_SECONDS
        if passed >= 1.0:
            return False
        total = sum(slots.count(now) for slots in self._slots_by_id.values())
        return self._lent >= len(self._slots_by_id) + passed * total

    def _choose(self, ask: Ask, now: float) -> _Slots | None:
        """Return the free upstream with the lowest cost for an ask."""
        best, best_cost = None, math.inf
        if self._takes_over(now):
            return None
        for name, slots in self._slots_by_id.items():
            free = slots.free(now)
            if free <= 0 or name in ask.excluded:
                continue
            cost = self._mean_ms if slots.call_ms is None else slots.call_ms
            cost += self._failure_ms(slots.upstream, now)
            cost += BUSY_PENALTY_MS * (1.0 - free / slots.count(now))
            if slots.upstream.zone != ask.zone:
                cost += OTHER_ZONE_PENALTY_MS
            if now < slots.failed_until or self._avoided(slots.upstream, now):
                cost += 1e6
            if cost < best_cost:
                best, best_cost = slots, cost
        return best

    def _record_call(self, slots: _Slots, kind: str, ms: float) -> None:
        def average(old: float | None) -> float:
            return ms if old is None else old + (ms - old) * NEWEST_CALL_WEIGHT

        slots.call_ms = average(slots.call_ms)
        self._mean_ms = average(self._mean_ms)
        if kind in self._ms_by_kind or len(self._ms_by_kind) < MAX_KINDS:
            self._ms_by_kind[kind] = average(self._ms_by_kind.get(kind))

    def _add_loan(self, ask: Ask, slots: _Slots, now: float) -> None:
        ends_at = now + ask.seconds_left
        self._loan_by_key[ask.key] = _Loan(slots.upstream.id, now, ends_at, ask.kind)
        slots.loans += 1
        self._lent += 1

    def _drop_loan(self, key: Key, now: float) -> _Loan | None:
        loan = self._loan_by_key.pop(key, None)
        if loan is not None:
            slots = self._slots_by_id[loan.upstream_id]
            slots.loans -= 1
            slots.ended_at.append(now)
        return loan
