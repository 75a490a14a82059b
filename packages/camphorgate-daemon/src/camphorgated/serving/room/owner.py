"""Lends the slots of the groups of upstreams that this instance owns."""

import asyncio
from collections.abc import Iterable

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Upstream
from camphorgate.serving.placement import FAILING_PENALTY_MS
from camphorgate.serving.room.book import Answer, Ask, Outcome, RoomBook
from camphorgate.serving.room.groups import Group
from camphorgated.serving.messages import (
    RoomLoans,
    RoomReply,
    RoomRequest,
    RoomReturn,
)
from camphorgated.serving.room.room_groups import RoomGroups

# Interval at which requests that wait are looked at again, in seconds.
SETTLE_SECONDS = 0.01
# A state that arrives so much later than a request that skips its sender was sent after
# it, in seconds.
DELAY_SECONDS = 0.25
# Instances return to one that is heard again within this time, in seconds.
RETURN_SECONDS = 1.0
# Upper bound of the times that a request may state, in seconds.
MAX_SECONDS = 1e5
# Longer service times, which a peer may state, are not learned, in seconds.
MAX_CALL_SECONDS = 60.0
# An instance that did not reply to others is taken for silent for this long.
SKIPPED_SECONDS = 2.0
# An owner that was not asked for this long takes over again, as another instance may
# have been asked meanwhile.
UNUSED_SECONDS = 0.5
# A book without loans and requests is dropped after this time.
IDLE_BOOK_SECONDS = 30.0


class _OwnedGroup:
    """The book of a group.

    ``used_at`` is when it was last asked, and ``skipped`` the addresses of instances
    that did not reply to the last one who asked.
    """

    __slots__ = ("service", "group", "book", "used_at", "skipped")

    def __init__(self, service: str, group: Group, book: RoomBook) -> None:
        self.service = service
        self.group = group
        self.book = book
        self.used_at = float("-inf")
        self.skipped: frozenset[str] = frozenset()


class _Skip:
    """Since when others skip an instance as silent.

    ``last_at`` is when they last did, and ``heard_at`` when it was heard again.
    """

    __slots__ = ("began_at", "last_at", "heard_at")

    def __init__(self, now: float) -> None:
        self.began_at = self.last_at = now
        self.heard_at: float | None = None


class RoomOwner:
    """The books of the groups that this instance owns."""

    __slots__ = (
        "groups",
        "on_reply",
        "_app",
        "_gossip",
        "_members",
        "_owned_by_key",
        "_settling",
        "_expired",
        "_skip_by_address",
    )

    def __init__(self, app: Application) -> None:
        """Start without books."""
        self.groups = RoomGroups(app)
        # Called with the replies to this instance's own requests.
        self.on_reply = None
        # Returns the service time of a request at an upstream in ms, ``None`` if it is
        # unknown; for books that are made from now on.
        self._app = app
        self._gossip = app.service("gossip")
        self._members = app.service("members")
        self._owned_by_key: dict[str, _OwnedGroup] = {}
        self._settling = False
        self._expired = 0
        self._skip_by_address: dict[str, _Skip] = {}
        self._gossip.add_handler(RoomRequest, self.receive_request)
        self._gossip.add_handler(RoomReturn, self.receive_return)
        self._gossip.add_handler(RoomLoans, self.receive_loans)
        self._gossip.add_tick_listener(self._tick)

    def receive_request(self, message: RoomRequest) -> None:
        """Lend a slot, queue the request, or name the owner of the group."""
        owned = self._find_owned(message.service, message.group, message.skipped)
        if not isinstance(owned, _OwnedGroup):
            self._send(message.address, RoomReply(message.number, owner=owned))
            return
        ask = Ask(
            message.address,
            message.number,
            message.zone,
            message.rank,
            message.workspace,
            message.kind,
            message.target_seconds,
            message.seconds_left,
            tuple(message.excluded),
        )
        now = self._app.clock.monotonic()
        book = owned.book
        if not (ask.target_seconds < MAX_SECONDS and ask.seconds_left < MAX_SECONDS):
            # Also true of what is no number.
            self._send(message.address, RoomReply(message.number))
            return
        if not book.may_use_any(ask) or not (message.waits or book.can_lend(ask, now)):
            self._send(message.address, RoomReply(message.number))
            return
        answers = book.request(ask, now)
        self._send_answers(answers)
        if all(answer.key != ask.key for answer in answers):
            self._send(message.address, RoomReply(message.number, queued=True))
            self._settle_later()

    def receive_return(self, message: RoomReturn) -> None:
        """End a loan or a request that waits."""
        owned = self._owned_by_key.get(message.group)
        if owned is None:
            return
        now = self._app.clock.monotonic()
        try:
            outcome = Outcome(message.outcome)
        except ValueError:
            outcome = Outcome.UNUSED
        key = (message.address, message.number)
        valid = 0.0 < message.seconds < MAX_CALL_SECONDS
        owned.book.end(key, now, outcome, message.seconds if valid else 0.0)
        if message.load is not None:
            owned.book.record_reported_load(message.upstream, *message.load, now)
        self._send_answers(owned.book.settle(now))

    def receive_loans(self, message: RoomLoans) -> None:
        """Record the loans that an instance has."""
        owned = self._owned_by_key.get(message.group)
        if owned is None:
            # Knowing them before the first request keeps a new owner from lending slots
            # that are in use.
            owned = self._find_owned(message.service, message.group, ())
            if not isinstance(owned, _OwnedGroup):
                return
        now = self._app.clock.monotonic()
        owned.book.name_loans(
            message.address, message.upstreams, message.next_number, now
        )
        self._send_answers(owned.book.settle(now))

    def _find_owned(self, service: str, key: str, skipped) -> "_OwnedGroup | str":
        """Return the book of a group, or the address of its owner if it is another."""
        group = self.groups.of_service(service).get(key)
        if group is None:
            return ""
        skipped = self._find_silent(skipped)
        address = self.groups.owner_address(group, skipped)
        if address != self._members.own.gossip_address:
            return address
        owned = self._owned_by_key.get(key)
        if owned is None:
            by_loss = self._app.settings.order.by_loss
            book = RoomBook(self._avoided, self._failure_ms, by_loss)
            owned = _OwnedGroup(service, group, book)
            owned.book.set_upstreams(group.upstreams)
            self._owned_by_key[key] = owned
            log_event(
                "room_owner",
                group=key,
                upstreams=len(group.upstreams),
                slots=sum(item.slots for item in group.upstreams),
            )
        now = self._app.clock.monotonic()
        if now - owned.used_at > UNUSED_SECONDS:
            owned.book.begin(now)
        owned.used_at = now
        owned.skipped = skipped
        if owned.group is not group:
            owned.group = group
            owned.book.set_upstreams(group.upstreams)
        return owned

    def _find_silent(self, skipped: Iterable[str]) -> frozenset[str]:
        """Return those of the addresses that are silent for this instance, too.

        An instance that was heard again after others began to skip it owns its groups
        again. Otherwise it and this one would both lend the same slots, as others
        return to it one by one.
        """
        now = self._app.clock.monotonic()
        silent = set()
        for address in skipped:
            skip = self._skip_by_address.get(address)
            if skip is None or now - skip.last_at > SKIPPED_SECONDS:
                skip = self._skip_by_address[address] = _Skip(now)
            skip.last_at = now
            seconds = now - skip.began_at - DELAY_SECONDS
            if skip.heard_at is None and seconds > 0:
                states = self._gossip.peers.live_states(seconds)
                if any(state.gossip_address == address for state in states):
                    skip.heard_at = now
            # One that is heard and still skipped does not reply to requests.
            if skip.heard_at is None or now - skip.heard_at > RETURN_SECONDS:
                silent.add(address)
        return frozenset(silent)

    def _avoided(self, upstream: Upstream, now: float) -> bool:
        return self._gossip.health.of(upstream.incarnation).avoided(now)

    def _failure_ms(self, upstream: Upstream, now: float) -> float:
        rate = self._gossip.health.failure_rate(upstream.incarnation, now)
        return rate * FAILING_PENALTY_MS

    def _send_answers(self, answers: list[Answer]) -> None:
        for answer in answers:
            address, number = answer.key
            if answer.upstream is not None:
                reply = RoomReply(number, upstream=answer.upstream.id)
            else:
                reply = RoomReply(number, retry_after=answer.retry_after)
            self._send(address, reply)

    def _send(self, address: str, reply: RoomReply) -> None:
        if address == self._members.own.gossip_address:
            self.on_reply(reply)
        else:
            self._gossip.send([reply], [address])

    def _settle_later(self) -> None:
        """Look at the requests that wait again, as long as there are any."""
        if not self._settling:
            self._settling = True
            asyncio.get_running_loop().call_later(SETTLE_SECONDS, self._settle)

    def _settle(self) -> None:
        self._settling = False
        now = self._app.clock.monotonic()
        for owned in self._owned_by_key.values():
            self._send_answers(owned.book.settle(now))
        if any(owned.book.waiting for owned in self._owned_by_key.values()):
            self._settle_later()

    def _tick(self, turn: int) -> None:
        now = self._app.clock.monotonic()
        for address, skip in list(self._skip_by_address.items()):
            if now - skip.last_at > SKIPPED_SECONDS:
                del self._skip_by_address[address]
        for key, owned in list(self._owned_by_key.items()):
            expired = owned.book.expire(now)
            self._expired += expired
            if now - owned.used_at > SKIPPED_SECONDS:
                owned.skipped = frozenset()
            group = self.groups.of_service(owned.service).get(key)
            address = ""
            if group is not None:
                address = self.groups.owner_address(group, owned.skipped)
            if address == self._members.own.gossip_address:
                owned.book.set_upstreams(group.upstreams)
                owned.group = group
                self._send_answers(owned.book.settle(now))
            else:
                for name, number in owned.book.waiting_keys():
                    owned.book.end((name, number), now)
                    self._send(name, RoomReply(number, owner=address))
            idle = now - owned.used_at > IDLE_BOOK_SECONDS
            if idle and not owned.book.loans and not owned.book.waiting:
                del self._owned_by_key[key]

    def counts(self) -> tuple[int, int]:
        """Return the number of loans and of requests that wait."""
        books = [owned.book for owned in self._owned_by_key.values()]
        return sum(item.loans for item in books), sum(item.waiting for item in books)

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        return {
            "expired_loans": self._expired,
            "groups": {
                key: {
                    "waiting": owned.book.waiting,
                    "loans": owned.book.loans_by_id(),
                }
                for key, owned in self._owned_by_key.items()
            },
        }
