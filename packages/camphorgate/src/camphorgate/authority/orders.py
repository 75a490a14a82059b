"""The order journal: what was ordered, by whom, and what is still open.

An order is written before it is sent and is open until it is confirmed or abandoned.
The write depends on the duty record's revision, so after a change of hands no former
holder can write a new one. Whatever a former holder may still send is therefore among
the orders that are open at the change of hands.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from camphorgate.authority.errors import OrderConflict
from camphorgate.lifecycle import Lifecycle
from camphorgate.registry import Registry

MAX_OPEN_ORDERS = 64
KEPT_CLOSED_ORDERS = 32
# Conflicts with every order to the same receiver.
EXCLUSIVE = "*"

LIFECYCLE = Lifecycle(
    "order",
    ("written", "sent", "unanswered", "answered", "confirmed", "abandoned"),
    (
        ("send", "written", "sent"),
        ("send", "unanswered", "sent"),
        ("answer", "sent", "answered"),
        ("no_answer", "sent", "unanswered"),
        ("confirm", "answered", "confirmed"),
        ("confirm", "unanswered", "confirmed"),
        ("abandon", "written", "abandoned"),
        ("abandon", "unanswered", "abandoned"),
        ("abandon", "answered", "abandoned"),
    ),
)


class Order(msgspec.Struct, frozen=True):
    """One order to one receiver.

    ``epochs`` lists every epoch whose holder may have sent it. ``outcome`` is
    ``"open"``, ``"confirmed"`` or ``"abandoned"``.
    """

    number: int
    order_id: str
    receiver: str
    kind: str
    body: dict[str, Any]
    epochs: tuple[int, ...]
    outcome: str = "open"


class Journal(msgspec.Struct, frozen=True):
    """The orders of one duty."""

    next_number: int = 1
    open_orders: tuple[Order, ...] = ()
    closed_orders: tuple[Order, ...] = ()

    def find(self, number: int) -> Order | None:
        """Return an open order."""
        for order in self.open_orders:
            if order.number == number:
                return order
        return None

    def confirmed(self, order_id: str) -> Order | None:
        """Return an order that was confirmed lately."""
        for order in self.closed_orders:
            if order.order_id == order_id and order.outcome == "confirmed":
                return order
        return None

    def open_epochs(self) -> frozenset[int]:
        """Return the epochs whose holders may still send something."""
        return frozenset(epoch for order in self.open_orders for epoch in order.epochs)


Scope = Callable[[str, dict[str, Any]], frozenset[str]]

# What orders of a kind of duty affect: two orders to the same receiver conflict if
# their scopes meet. By the first part of the duty's name.
SCOPES: Registry[Scope] = Registry("order scope")


@SCOPES.register("engines")
def _engine_scope(kind: str, body: dict[str, Any]) -> frozenset[str]:
    if kind in ("load_model", "unload_model"):
        return frozenset({f"model/{body.get('model', '')}"})
    return frozenset({EXCLUSIVE})


@SCOPES.register("capacity")
def _capacity_scope(kind: str, body: dict[str, Any]) -> frozenset[str]:
    # Several starts at once are what a lost zone needs; each has its own order id.
    if kind == "start":
        return frozenset()
    return frozenset({f"stop/{body.get('upstream_id', '')}"})


@SCOPES.register("usage")
def _usage_scope(kind: str, body: dict[str, Any]) -> frozenset[str]:
    return frozenset({f"window/{body.get('window', '')}"})


def conflicts(duty: str, order: Order, kind: str, body: dict[str, Any]) -> bool:
    """Tell whether an order contradicts an open one of the same receiver."""
    scope = SCOPES.get(duty.partition("/")[0])
    one, other = scope(order.kind, order.body), scope(kind, body)
    return bool(EXCLUSIVE in one or EXCLUSIVE in other or one & other)


def write(
    journal: Journal,
    duty: str,
    epoch: int,
    order_id: str,
    receiver: str,
    kind: str,
    body: dict[str, Any],
) -> tuple[Journal, Order]:
    """Return the journal with a new open order, to be stored before it is sent.

    :param epoch: the holder's fencing number.
    :raises OrderConflict: if an open order contradicts it, or too many are open.
    """
    for order in journal.open_orders:
        if order.receiver == receiver and conflicts(duty, order, kind, body):
            raise OrderConflict(
                f"order {order.number} ({order.kind}) to {receiver} is open"
            )
    if len(journal.open_orders) >= MAX_OPEN_ORDERS:
        raise OrderConflict(f"{len(journal.open_orders)} orders are open")
    order = Order(journal.next_number, order_id, receiver, kind, body, (epoch,))
    return (
        msgspec.structs.replace(
            journal,
            next_number=journal.next_number + 1,
            open_orders=(*journal.open_orders, order),
        ),
        order,
    )


def adopt(journal: Journal, number: int, epoch: int) -> Journal:
    """Return the journal in which a successor may send an open order again.

    It must be stored before the successor sends: a later successor then knows that
    this one may have sent it too.
    """
    adopted = tuple(
        msgspec.structs.replace(order, epochs=(*order.epochs, epoch))
        if order.number == number and epoch not in order.epochs
        else order
        for order in journal.open_orders
    )
    return msgspec.structs.replace(journal, open_orders=adopted)


def close(journal: Journal, number: int, outcome: str) -> Journal:
    """Return the journal with an order confirmed or abandoned; once is enough.

    :param outcome: ``"confirmed"`` or ``"abandoned"``.
    """
    order = journal.find(number)
    if order is None:
        return journal
    # Figures of usage windows are large; a closed order keeps what identifies it.
    body = {
        name: value
        for name, value in order.body.items()
        if isinstance(value, str | int | float)
    }
    closed = msgspec.structs.replace(order, outcome=outcome, body=body)
    return msgspec.structs.replace(
        journal,
        open_orders=tuple(o for o in journal.open_orders if o.number != number),
        closed_orders=(*journal.closed_orders, closed)[-KEPT_CLOSED_ORDERS:],
    )


class OrderRun:
    """The sending of one open order by this process.

    An attempt without an answer may still reach the receiver until the drain time is
    over. Until then the order is in flight: it is neither sent again, nor confirmed,
    nor abandoned, as the late copy would follow a newer order.
    """

    __slots__ = ("order", "adopted", "state", "drain_seconds", "_unanswered_at")

    def __init__(self, order: Order, epoch: int, drain_seconds: float) -> None:
        """Start with an order that is written and that this process has not sent.

        :param epoch: the epoch of this process; an order that names another one may
            have been sent by a predecessor.
        """
        self.order = order
        self.adopted = any(other != epoch for other in order.epochs)
        self.state = LIFECYCLE.initial
        self.drain_seconds = drain_seconds
        self._unanswered_at = 0.0

    def send(self, now: float) -> bool:
        """Note that the order is about to be sent.

        :returns: whether it may be sent now.
        """
        if self.in_flight(now) or not LIFECYCLE.allows(self.state, "send"):
            return False
        self.state = LIFECYCLE.after(self.state, "send")
        return True

    def answered(self) -> None:
        """Note the receiver's answer, whether it accepted or refused."""
        self.state = LIFECYCLE.after(self.state, "answer")

    def unanswered(self, now: float) -> None:
        """Note that the connection ended without an answer."""
        self.state = LIFECYCLE.after(self.state, "no_answer")
        self._unanswered_at = now

    def in_flight(self, now: float) -> bool:
        """Tell whether a copy may still be on its way to the receiver."""
        if self.state == "unanswered":
            return now - self._unanswered_at < self.drain_seconds
        return self.state == "sent"

    def may_close(self, now: float, predecessors_settled: bool) -> bool:
        """Tell whether the order may be confirmed or abandoned in the journal.

        A predecessor's copy may arrive late, so an adopted order is closed only after
        the receiver answered, which proves that it knows the new fencing number, or
        after no predecessor can send any more.

        :param predecessors_settled: what the hand-over says at present.
        """
        if self.in_flight(now):
            return False
        return not self.adopted or self.state == "answered" or predecessors_settled

    def closed(self, outcome: str) -> None:
        """Note that the journal holds the outcome."""
        trigger = "confirm" if outcome == "confirmed" else "abandon"
        self.state = LIFECYCLE.after(self.state, trigger)
