"""The journal of orders: which were issued, under which epochs, and which are open.

An order is journaled before it is sent and stays open until it is confirmed or
abandoned. The write is conditional on the duty record's revision, so a former holder
can't add orders once the duty has changed holders. Any order that a former holder may
still send is therefore among those that are open at that moment.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from camphorgate.authority.errors import OrderConflict
from camphorgate.lifecycle import Lifecycle
from camphorgate.registry import Registry

MAX_OPEN_ORDERS = 64
MAX_CLOSED_ORDERS = 32
# A scope that conflicts with every order to the same receiver.
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

    ``epochs`` lists the epochs of all holders that may have sent it. ``outcome`` is
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
    """The open orders and the latest closed orders of one duty."""

    next_number: int = 1
    open_orders: tuple[Order, ...] = ()
    closed_orders: tuple[Order, ...] = ()

    def find(self, number: int) -> Order | None:
        """Return the open order with a number, or ``None``."""
        for order in self.open_orders:
            if order.number == number:
                return order
        return None

    def confirmed(self, order_id: str) -> Order | None:
        """Return a recently confirmed order by its id, or ``None``."""
        for order in self.closed_orders:
            if order.order_id == order_id and order.outcome == "confirmed":
                return order
        return None

    def open_epochs(self) -> frozenset[int]:
        """Return the epochs whose holders may still send orders."""
        return frozenset(epoch for order in self.open_orders for epoch in order.epochs)


Scope = Callable[[str, dict[str, Any]], frozenset[str]]

# Functions that return what an order affects, by the first part of the duty's name.
# Two orders to the same receiver conflict if their scopes overlap.
SCOPES: Registry[Scope] = Registry("order scope")


@SCOPES.register("engines")
def _engine_scope(kind: str, body: dict[str, Any]) -> frozenset[str]:
    if kind in ("load_model", "unload_model"):
        return frozenset({f"model/{body.get('model', '')}"})
    return frozenset({EXCLUSIVE})


@SCOPES.register("capacity")
def _capacity_scope(kind: str, body: dict[str, Any]) -> frozenset[str]:
    # Replacing a lost zone takes several concurrent starts, each with its own order id.
    if kind == "start":
        return frozenset()
    return frozenset({f"stop/{body.get('upstream_id', '')}"})


@SCOPES.register("usage")
def _usage_scope(kind: str, body: dict[str, Any]) -> frozenset[str]:
    return frozenset({f"window/{body.get('window', '')}"})


def conflicts(duty: str, order: Order, kind: str, body: dict[str, Any]) -> bool:
    """Return whether a new order conflicts with an open one to the same receiver."""
    scope = SCOPES.get(duty.partition("/")[0])
    one, other = scope(order.kind, order.body), scope(kind, body)
    return bool(EXCLUSIVE in one or EXCLUSIVE in other or one & other)


def add_order(
    journal: Journal,
    duty: str,
    epoch: int,
    order_id: str,
    receiver: str,
    kind: str,
    body: dict[str, Any],
) -> tuple[Journal, Order]:
    """Return the journal with a new open order; store it before sending the order.

    :param epoch: the holder's fencing token.
    :raises OrderConflict: if an open order conflicts, or too many orders are open.
    """
    for order in journal.open_orders:
        if order.receiver == receiver and conflicts(duty, order, kind, body):
            raise OrderConflict(
                f"conflicts with open order {order.number} ({order.kind}) to {receiver}"
            )
    if len(journal.open_orders) >= MAX_OPEN_ORDERS:
        raise OrderConflict(f"too many open orders: {len(journal.open_orders)}")
    order = Order(journal.next_number, order_id, receiver, kind, body, (epoch,))
    return (
        msgspec.structs.replace(
            journal,
            next_number=journal.next_number + 1,
            open_orders=(*journal.open_orders, order),
        ),
        order,
    )


def adopt_order(journal: Journal, number: int, epoch: int) -> Journal:
    """Return the journal after a successor adopted an open order to send it again.

    It must be stored before the successor sends, so that a later successor knows that
    this one may have sent the order too.
    """
    adopted = tuple(
        msgspec.structs.replace(order, epochs=(*order.epochs, epoch))
        if order.number == number and epoch not in order.epochs
        else order
        for order in journal.open_orders
    )
    return msgspec.structs.replace(journal, open_orders=adopted)


def close_order(journal: Journal, number: int, outcome: str) -> Journal:
    """Return the journal with an order closed; a closed order stays as it is.

    :param outcome: ``"confirmed"`` or ``"abandoned"``.
    """
    order = journal.find(number)
    if order is None:
        return journal
    # A closed order keeps only the scalar fields that identify it, as the figures of
    # usage windows are large.
    body = {
        name: value
        for name, value in order.body.items()
        if isinstance(value, str | int | float)
    }
    closed = msgspec.structs.replace(order, outcome=outcome, body=body)
    return msgspec.structs.replace(
        journal,
        open_orders=tuple(o for o in journal.open_orders if o.number != number),
        closed_orders=(*journal.closed_orders, closed)[-MAX_CLOSED_ORDERS:],
    )


class OrderDelivery:
    """The attempts of this process to send one open order.

    An unanswered attempt may still reach the receiver until the drain time has passed.
    Until then the order is in flight and is neither sent again nor closed. Otherwise a
    delayed copy could arrive after a newer order.
    """

    __slots__ = ("order", "adopted", "state", "drain_seconds", "_unanswered_at")

    def __init__(self, order: Order, epoch: int, drain_seconds: float) -> None:
        """Start with a journaled order that this process has not sent.

        :param epoch: the epoch of this process. A predecessor may have sent an order
            that names another epoch.
        """
        self.order = order
        self.adopted = any(other != epoch for other in order.epochs)
        self.state = LIFECYCLE.initial
        self.drain_seconds = drain_seconds
        self._unanswered_at = 0.0

    def send(self, now: float) -> bool:
        """Record that the order is about to be sent.

        :returns: whether it may be sent now.
        """
        if self.in_flight(now) or not LIFECYCLE.allows(self.state, "send"):
            return False
        self.state = LIFECYCLE.next_state(self.state, "send")
        return True

    def answered(self) -> None:
        """Record that the receiver answered, by accepting or refusing the order."""
        self.state = LIFECYCLE.next_state(self.state, "answer")

    def unanswered(self, now: float) -> None:
        """Record that the connection ended without an answer."""
        self.state = LIFECYCLE.next_state(self.state, "no_answer")
        self._unanswered_at = now

    def in_flight(self, now: float) -> bool:
        """Return whether an attempt may still reach the receiver."""
        if self.state == "unanswered":
            return now - self._unanswered_at < self.drain_seconds
        return self.state == "sent"

    def may_close(self, now: float, predecessors_settled: bool) -> bool:
        """Return whether the order may be confirmed or abandoned in the journal.

        A predecessor's copy of an adopted order may arrive late. Such an order may be
        closed only once the receiver answered, which proves that it knows the new
        fencing token, or once no predecessor can send any more.

        :param predecessors_settled: the current result of ``Handover.settled``.
        """
        if self.in_flight(now):
            return False
        return not self.adopted or self.state == "answered" or predecessors_settled

    def closed(self, outcome: str) -> None:
        """Record that the journal holds the outcome."""
        trigger = "confirm" if outcome == "confirmed" else "abandon"
        self.state = LIFECYCLE.next_state(self.state, trigger)
