"""Asks the owners of upstreams for slots, for the requests of this instance.

An instance that gets no reply within some ms chooses an upstream by itself. A loan only
names an upstream: whether a request may be sent, and how often, is decided elsewhere,
so a lost or repeated datagram never leads to a second send.
"""

import asyncio
import math
import random
import secrets
from collections import OrderedDict, deque

from aioprometheus import Counter as PrometheusCounter
from aioprometheus import Gauge

from camphorgate.application import Application
from camphorgate.serving.catalog import Upstream
from camphorgate.serving.placement import Choice
from camphorgate.serving.room.book import REPORT_DELAY_SECONDS, Outcome
from camphorgate.serving.room.groups import Group
from camphorgated.serving.front import RequestContext
from camphorgated.serving.messages import (
    RoomLoans,
    RoomReply,
    RoomRequest,
    RoomReturn,
)
from camphorgated.serving.room.owner import RoomOwner

# Refusal reason if no slot is free in time.
NO_ROOM = "no_room"
# Slots of a service are borrowed for this long after an upstream reported its load.
REPORTED_SECONDS = 30.0
# A request that waits in a queue asks again after this time, as the owner may be gone.
REPEAT_SECONDS = 0.08
# An instance that left this many requests in a row without a reply is not asked for a
# while, which doubles from the first to the second bound as long as it stays silent.
MAX_MISSES = 2
MIN_SILENT_SECONDS = 0.25
MAX_SILENT_SECONDS = 1.0
# Times that one request asks: an owner that does not reply is asked once more, as a
# datagram may be lost, then the next one; and each may name another owner.
MAX_ASKS = 4
# Groups of a large service that a request asks before it waits in a queue.
MAX_GROUPS = 2
# Ticks after which an instance computes owners again instead of asking those that
# others named.
FORGET_TICKS = 100
# Replies that are kept for a request.
MAX_REPLIES = 8
# Requests without a reply whose late loans are returned at once.
MAX_LATE_LOANS = 1000
# Size of the random number by which a process asks first.
NUMBER_BITS = 48


class _Loan:
    """A slot that is used, or asked for; ``upstream_id`` is empty until it is lent.

    ``replies`` are those that were received and not looked at yet, and ``answered``
    tells whether the owner has decided.
    """

    __slots__ = (
        "number",
        "service",
        "group",
        "owner",
        "upstream_id",
        "lent_at",
        "replies",
        "answered",
        "_received",
    )

    def __init__(self, number: int, service: str, group: str) -> None:
        self.number = number
        self.service = service
        self.group = group
        self.owner = ""
        self.upstream_id = ""
        self.lent_at = 0.0
        self.replies: deque[RoomReply] = deque(maxlen=MAX_REPLIES)
        self.answered = False
        self._received: asyncio.Future | None = None

    def receive(self, reply: RoomReply) -> None:
        """Keep a reply for the request that waits for it."""
        self.replies.append(reply)
        if self._received is not None and not self._received.done():
            self._received.set_result(None)

    async def next_reply(self, seconds: float) -> RoomReply | None:
        """Return the next reply, ``None`` if there is none in time."""
        if not self.replies:
            self._received = asyncio.get_running_loop().create_future()
            await asyncio.wait({self._received}, timeout=seconds)
        return self.replies.popleft() if self.replies else None


class Borrower:
    """The loan of one request; as a context manager it returns it at the end."""

    __slots__ = ("retry_after", "_room", "_context", "_loan", "_outcome")

    def __init__(self, room: "Room", context: RequestContext) -> None:
        """Start without a loan."""
        # Seconds after which a refused caller may return.
        self.retry_after = 0.0
        self._room = room
        self._context = context
        self._loan: _Loan | None = None
        self._outcome = Outcome.UNUSED

    def __enter__(self) -> "Borrower":
        return self

    def __exit__(self, *_) -> None:
        self.end()

    async def borrow(
        self, found: list[Upstream], choice: Choice, must_send: bool
    ) -> Choice | None:
        """Return the choice of an upstream with a free slot.

        Returns the loan of an attempt before.

        :param found: the upstreams that the request may be sent to.
        :param choice: this instance's own choice, for want of a reply.
        :param must_send: whether the request cannot be refused any more.
        :returns: ``None`` if the request should be refused.
        """
        self.end()
        room = self._room
        if not room.lends(self._context.service):
            return choice
        return await room.borrow(self, self._context, found, choice, must_send)

    def take(self, loan: _Loan) -> None:
        """Take a loan."""
        self._loan = loan
        self._outcome = Outcome.UNUSED

    def record_outcome(self, outcome: Outcome) -> None:
        """Record how the attempt that uses the slot ended."""
        self._outcome = outcome

    def end(self) -> None:
        """Return the loan, if there is one."""
        loan, self._loan = self._loan, None
        if loan is not None:
            self._room.return_loan(loan, self._outcome)


class Room:
    """The slots that this instance borrows."""

    __slots__ = (
        "_app",
        "_gossip",
        "_members",
        "_limits",
        "_owner",
        "_statistics",
        "_loan_by_number",
        "_late_loan_by_number",
        "_next_number",
        "_owner_by_group",
        "_named_by_group",
        "_changed_groups",
        "_misses_by_address",
        "_silent_by_address",
        "_reported_at_by_service",
        "_load_by_id",
        "_random",
        "_results",
        "_loans_gauge",
        "_waiting_gauge",
    )

    def __init__(self, app: Application, owner: RoomOwner) -> None:
        """Start without loans.

        :param owner: the books of the groups that this instance owns.
        """
        self._app = app
        self._gossip = app.service("gossip")
        self._members = app.service("members")
        self._limits = app.service("limits")
        self._statistics = app.service("statistics")
        self._owner = owner
        owner.on_reply = self._receive_reply
        self._loan_by_number: dict[int, _Loan] = {}
        self._late_loan_by_number: OrderedDict[int, _Loan] = OrderedDict()
        # A restarted process has the same address, but asks by other numbers.
        self._next_number = secrets.randbits(NUMBER_BITS)
        # The address of the owner that was last asked, by group.
        self._owner_by_group: dict[str, str] = {}
        # The address of the owner that another instance named, by group.
        self._named_by_group: dict[str, str] = {}
        # Services by group of which loans began or ended since the last tick. They are
        # named to the owner, as the datagram that returned one may be lost.
        self._changed_groups: dict[str, str] = {}
        self._misses_by_address: dict[str, int] = {}
        # Until when an address is not asked, and for how long it was not.
        self._silent_by_address: dict[str, tuple[float, float]] = {}
        self._reported_at_by_service: dict[str, float] = {}
        # When each upstream last reported its load: running, waiting, slots.
        self._load_by_id: dict[str, tuple[float, tuple[int, int, int]]] = {}
        self._random = random.Random()
        self._results = PrometheusCounter(
            "camphorgate_room_requests",
            "Requests for slots of upstreams, by result.",
            registry=self._statistics.registry,
        )
        self._loans_gauge = Gauge(
            "camphorgate_room_loans",
            "Slots of upstreams that this instance lends.",
            registry=self._statistics.registry,
        )
        self._waiting_gauge = Gauge(
            "camphorgate_room_waiting",
            "Requests that wait for a slot that this instance lends.",
            registry=self._statistics.registry,
        )
        self._gossip.add_handler(RoomReply, self._receive_reply)
        self._gossip.add_tick_listener(self._tick)

    def borrower(self, context: RequestContext) -> Borrower:
        """Return the holder of the loans of a request."""
        return Borrower(self, context)

    def record_reported_load(
        self, upstream: Upstream, running: int, waiting: int, slots: int, now: float
    ) -> None:
        """Record the load that an upstream reports of itself in a response."""
        self._reported_at_by_service[upstream.service] = now
        self._load_by_id[upstream.id] = (now, (running, waiting, slots))

    def lends(self, service: str) -> bool:
        """Return whether the slots of a service are lent.

        They are not while an upstream names a limit, as a permit names the upstream.
        """
        if not self._app.settings.room.enabled or len(self._limits.table):
            return False
        reported_at = self._reported_at_by_service.get(service)
        if reported_at is None:
            return False
        return self._app.clock.monotonic() - reported_at < REPORTED_SECONDS

    async def borrow(
        self,
        borrower: Borrower,
        context: RequestContext,
        found: list[Upstream],
        choice: Choice,
        must_send: bool,
    ) -> Choice | None:
        """Borrow a slot for a request, see :meth:`Borrower.borrow`."""
        began = self._app.clock.monotonic()
        usable = self._usable_ids(found, began)
        groups, all_asked = self._choose_groups(context.service, usable)
        found_by_id = {item.id: item for item in found}
        reply = None
        for number, group in enumerate(groups):
            waits = number == len(groups) - 1
            reply = await self._ask(borrower, context, group, usable, waits)
            if reply is not None and (reply.upstream or reply.retry_after is not None):
                break
        waited = (self._app.clock.monotonic() - began) * 1000
        context.decisions["room_ms"] = context.decisions.get("room_ms", 0.0) + waited
        upstream = found_by_id.get(reply.upstream) if reply is not None else None
        if upstream is not None:
            self._count("lent")
            if upstream.id == choice.upstream.id:
                return choice
            return Choice(upstream, waited)
        refused = reply is not None and reply.retry_after is not None
        # The upstreams of groups that were not asked may have free slots.
        if refused and all_asked and not must_send:
            self._count("refused")
            borrower.retry_after = reply.retry_after
            return None
        borrower.end()
        self._count("own_choice")
        self._open_own(borrower, context, groups, choice)
        return choice

    def _usable_ids(self, found: list[Upstream], now: float) -> set[str]:
        """Return the upstreams that are not avoided, all if there are no others."""
        health = self._gossip.health
        usable = {
            item.id for item in found if not health.of(item.incarnation).avoided(now)
        }
        return usable or {item.id for item in found}

    def _choose_groups(
        self, service: str, usable: set[str]
    ) -> tuple[list[Group], bool]:
        """Return the groups to ask, and whether these are all.

        One of the own zone is the first, and one of another zone the second.
        """
        groups = [
            group
            for group in self._owner.groups.of_service(service).values()
            if any(item.id in usable for item in group.upstreams)
        ]
        if len(groups) < 2:
            return groups, True
        zone = self._members.own.zone
        self._random.shuffle(groups)
        groups.sort(key=lambda group: group.zone != zone)
        first, *others = groups
        others.sort(key=lambda group: group.zone == first.zone)
        return [first, *others[: MAX_GROUPS - 1]], len(groups) <= MAX_GROUPS

    async def _ask(
        self,
        borrower: Borrower,
        context: RequestContext,
        group: Group,
        usable: set[str],
        waits: bool,
    ) -> RoomReply | None:
        """Return the final reply of a group's owner, ``None`` if there is none."""
        excluded = [item.id for item in group.upstreams if item.id not in usable]
        loan = None
        try:
            for _ in range(MAX_ASKS):
                now = self._app.clock.monotonic()
                silent = self._silent_addresses(now)
                address = self._owner_address(group, silent)
                if not address or address in silent:
                    return None
                if loan is None or loan.owner != address:
                    self._withdraw(loan)
                    loan = self._open(context.service, group.key)
                    self._note_owner(loan, address)
                message = RoomRequest(
                    loan.number,
                    self._members.own.gossip_address,
                    context.service,
                    group.key,
                    self._members.own.zone,
                    context.rank,
                    context.workspace_name or "",
                    context.route.name,
                    context.request.read_at + context.route.target_seconds - now,
                    context.seconds_left(now),
                    waits,
                    excluded,
                    sorted(silent),
                )
                reply = await self._exchange(loan, message, address)
                if reply is None:
                    continue
                if reply.owner:
                    self._named_by_group[group.key] = reply.owner
                    # The one who names it has heard of it since.
                    self._silent_by_address.pop(reply.owner, None)
                    continue
                if reply.upstream:
                    loan.upstream_id = reply.upstream
                    loan.lent_at = self._app.clock.monotonic()
                    borrower.take(loan)
                loan.answered = True
                return reply
            return None
        finally:
            self._withdraw(loan)

    def _owner_address(self, group: Group, silent: set[str]) -> str:
        """Return the address of the owner to ask, empty if none is known.

        It is the one that another instance named, as those of another zone are heard
        rarely, or else the one that this instance computes.
        """
        named = self._named_by_group.get(group.key)
        if named is not None and named not in silent:
            return named
        self._named_by_group.pop(group.key, None)
        return self._owner.groups.owner_address(group, silent)

    def _withdraw(self, loan: _Loan | None) -> None:
        """Withdraw a request for a slot, unless a slot is lent.

        Without a reply the owner may have lent one, or may lend one later.
        """
        if loan is None or loan.upstream_id:
            return
        self._close(loan)
        if not loan.answered:
            self._send_return(loan, Outcome.UNUSED)
            self._late_loan_by_number[loan.number] = loan
            if len(self._late_loan_by_number) > MAX_LATE_LOANS:
                self._late_loan_by_number.popitem(last=False)

    async def _exchange(
        self, loan: _Loan, message: RoomRequest, address: str
    ) -> RoomReply | None:
        """Ask an owner, and wait in its queue if it says so."""
        deadline = self._app.clock.monotonic() + message.seconds_left
        reply_seconds = self._app.settings.room.reply_seconds
        while self._app.clock.monotonic() < deadline:
            self._send(message, address)
            reply = await loan.next_reply(reply_seconds)
            if reply is None:
                self._record_miss(address)
                return None
            self._record_reply(address)
            while reply is not None and reply.queued:
                reply = await loan.next_reply(REPEAT_SECONDS)
            if reply is not None:
                return reply
        return None

    def _open(self, service: str, group: str) -> _Loan:
        loan = _Loan(self._next_number, service, group)
        self._next_number += 1
        self._loan_by_number[loan.number] = loan
        self._changed_groups[group] = service
        return loan

    def _close(self, loan: _Loan) -> None:
        self._loan_by_number.pop(loan.number, None)
        self._changed_groups[loan.group] = loan.service

    def _open_own(
        self,
        borrower: Borrower,
        context: RequestContext,
        groups: list[Group],
        choice: Choice,
    ) -> None:
        """Open a loan for a request that is sent by this instance's own choice.

        The owner learns of it with the loans that are named at the next tick.
        """
        for group in groups:
            if any(item.id == choice.upstream.id for item in group.upstreams):
                loan = self._open(context.service, group.key)
                loan.upstream_id = choice.upstream.id
                loan.lent_at = self._app.clock.monotonic()
                loan.owner = self._owner_by_group.get(group.key, "")
                borrower.take(loan)
                return

    def return_loan(self, loan: _Loan, outcome: Outcome) -> None:
        """Return a slot to the owner."""
        self._close(loan)
        self._send_return(loan, outcome)

    def _send_return(self, loan: _Loan, outcome: Outcome) -> None:
        now = self._app.clock.monotonic()
        served = outcome is Outcome.DONE
        reported_at, load = self._load_by_id.get(loan.upstream_id, (-math.inf, None))
        message = RoomReturn(
            loan.number,
            self._members.own.gossip_address,
            loan.group,
            outcome,
            now - loan.lent_at if served else 0.0,
            loan.upstream_id,
            load if now - reported_at < REPORT_DELAY_SECONDS else None,
        )
        addresses = {loan.owner, self._owner_by_group.get(loan.group, "")} - {""}
        for address in addresses:
            self._send(message, address)

    def _send(self, message, address: str) -> None:
        if address != self._members.own.gossip_address:
            self._gossip.send([message], [address])
        elif isinstance(message, RoomRequest):
            self._owner.receive_request(message)
        elif isinstance(message, RoomReturn):
            self._owner.receive_return(message)
        else:
            self._owner.receive_loans(message)

    def _note_owner(self, loan: _Loan, address: str) -> None:
        """Record the owner that is asked; a new one learns of the loans at once."""
        former = self._owner_by_group.get(loan.group)
        self._owner_by_group[loan.group] = loan.owner = address
        if former not in (None, address):
            self._name_loans(loan.group, loan.service, address)

    def _name_loans(self, group: str, service: str, address: str) -> None:
        upstream_by_number = {
            loan.number: loan.upstream_id
            for loan in self._loan_by_number.values()
            if loan.group == group
        }
        own_address = self._members.own.gossip_address
        message = RoomLoans(
            own_address, service, group, self._next_number, upstream_by_number
        )
        self._send(message, address)

    def _receive_reply(self, reply: RoomReply) -> None:
        loan = self._loan_by_number.get(reply.number)
        if loan is not None:
            loan.receive(reply)
            return
        late = self._late_loan_by_number.get(reply.number)
        if late is not None and reply.upstream:
            del self._late_loan_by_number[reply.number]
            self._count("late")
            self._send_return(late, Outcome.UNUSED)

    def _silent_addresses(self, now: float) -> set[str]:
        return {
            address
            for address, (until, _) in self._silent_by_address.items()
            if now < until
        }

    def _record_reply(self, address: str) -> None:
        self._misses_by_address.pop(address, None)
        self._silent_by_address.pop(address, None)

    def _record_miss(self, address: str) -> None:
        self._count("unanswered")
        misses = self._misses_by_address.get(address, 0) + 1
        self._misses_by_address[address] = misses
        if misses < MAX_MISSES:
            return
        _, seconds = self._silent_by_address.get(address, (0.0, 0.0))
        seconds = min(MAX_SILENT_SECONDS, max(MIN_SILENT_SECONDS, 2 * seconds))
        now = self._app.clock.monotonic()
        self._silent_by_address[address] = (now + seconds, seconds)
        self._statistics.request_line(
            "room_owner_silent", owner=address, misses=misses, seconds=seconds
        )

    def _count(self, result: str) -> None:
        self._results.inc({"result": result})

    def _tick(self, turn: int) -> None:
        named, self._changed_groups = self._changed_groups, {}
        for loan in self._loan_by_number.values():
            named[loan.group] = loan.service
        for group, service in named.items():
            address = self._owner_by_group.get(group)
            if address:
                self._name_loans(group, service, address)
        if turn % FORGET_TICKS == 0:
            self._named_by_group.clear()
            self._load_by_id.clear()
            self._misses_by_address.clear()
        loans, waiting = self._owner.counts()
        self._loans_gauge.set({}, loans)
        self._waiting_gauge.set({}, waiting)

    def counts(self) -> tuple[int, int]:
        """Return the number of slots lent here, and of requests that wait for one."""
        return self._owner.counts()

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        now = self._app.clock.monotonic()
        return {
            "borrowed": len(self._loan_by_number),
            "owners": dict(self._owner_by_group),
            "silent": sorted(self._silent_addresses(now)),
            **self._owner.dump(),
        }
