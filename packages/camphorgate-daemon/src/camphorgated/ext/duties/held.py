"""A duty held by this process: its order journal and the sending of its orders."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from camphorgate.authority import orders
from camphorgate.authority.errors import (
    AuthorityLost,
    HandoverPending,
    OrderRefused,
    OrderUnanswered,
)
from camphorgate.authority.handover import Handover
from camphorgate.authority.leases import DutyRecord, Lease
from camphorgate.authority.orders import Journal, Order, OrderDelivery
from camphorgate.clock import Clock
from camphorgate.kv.errors import (
    KvConflict,
    KvError,
    KvOutcomeUnknown,
    KvRefused,
    KvUnavailable,
)
from camphorgate.kv.rate_limit import Priority
from camphorgate.kv.records import Put, new_token, unchanged
from camphorgate.log import log_event
from camphorgated.ext.duties.receivers import (
    FENCED_CODE,
    OrderUnsent,
    Receiver,
    Sending,
)

# Bounds of the backoff between attempts to settle an open order, for example by
# reading the receiver's state.
MIN_SETTLE_DELAY_SECONDS = 1.0
MAX_SETTLE_DELAY_SECONDS = 15.0


def record_key(duty: str) -> str:
    """Return the key of a duty's ``DutyRecord``."""
    return f"duties/{duty}"


def lease_key(duty: str) -> str:
    """Return the key that exists while a holder's lease on the duty is alive."""
    return f"duties/{duty}/lease"


def journal_key(duty: str) -> str:
    """Return the key of a duty's order journal."""
    return f"journal/{duty}"


class DutyState(msgspec.Struct, frozen=True):
    """The stored state of a duty, read in one transaction.

    ``free`` is set if no lease key exists, so that the duty can be acquired.
    """

    record: DutyRecord
    record_revision: int
    journal: Journal
    journal_revision: int
    free: bool


class HeldDuty:
    """A duty from its acquisition until it is lost or released."""

    def __init__(
        self,
        duty: str,
        record: DutyRecord,
        record_revision: int,
        prior_state: DutyState,
        lease: Lease,
        lease_id: int,
        drain_seconds: float,
        kv: Any,
        clock: Clock,
        receiver: Receiver,
        spawn: Callable[[Coroutine, str], Any],
    ) -> None:
        """Start from the transaction that acquired the duty.

        :param record: the record written by the transaction, at ``record_revision``.
        :param prior_state: the state that the transaction was conditional on. It did
            not write the journal, so the journal of this state is current.
        :param lease_id: the key-value lease to which the lease key is attached.
        :param spawn: starts a background task of the application.
        """
        self.duty = duty
        self.record = record
        self.record_revision = record_revision
        self.journal = prior_state.journal
        self.lease = lease
        self.lease_id = lease_id
        self.receiver = receiver
        self._spawn = spawn
        self.handover = Handover(
            record.epoch, record.predecessors, prior_state.journal, drain_seconds
        )
        self.runs: list[OrderDelivery] = []
        self._journal_revision = prior_state.journal_revision
        self._drain_seconds = drain_seconds
        self._kv = kv
        self._clock = clock
        self._lock = asyncio.Lock()

    @property
    def epoch(self) -> int:
        """Return the epoch, which is the fencing number of orders."""
        return self.record.epoch

    def valid(self) -> bool:
        """Return whether this process may act for the duty now."""
        return self.lease.check_valid(self._clock.monotonic())

    def settled(self) -> bool:
        """Return whether no predecessor can still send an order."""
        return self.handover.update_settled(self._clock.monotonic())

    def orders_in_flight(self) -> list[str]:
        """Return the ids of sent orders that may still reach their receiver."""
        now = self._clock.monotonic()
        self.runs = [run for run in self.runs if run.in_flight(now)]
        return [run.order.order_id for run in self.runs]

    async def submit(self, target: str, kind: str, body: dict[str, Any]) -> Order:
        """Record an order in the journal, send it once and record its outcome.

        :returns: the confirmed order. An order whose id is already confirmed is not
            sent again.
        :raises AuthorityLost: if the duty is not held; nothing was sent.
        :raises HandoverPending: if a predecessor may still send an order; nothing
            was sent.
        :raises OrderConflict: if it conflicts with an open order; nothing was sent.
        :raises KvUnavailable: if the journal could not be written; nothing was sent.
        :raises OrderRefused: if the receiver refused it.
        :raises OrderUnanswered: if it may have arrived; it is settled in the
            background.
        """
        self._require_authority()
        if not self.receiver.honours_fencing(self.duty) and not self.settled():
            waiting = [item.instance for item in self.handover.unsettled_predecessors]
            raise HandoverPending(f"{self.duty}: waiting for {', '.join(waiting)}")
        body = dict(body)
        order_id = body.pop("order_id", None) or new_token()
        # The caller may repeat an order whose response was lost and which has been
        # settled as confirmed since.
        confirmed = self.journal.confirmed(order_id)
        if confirmed is not None:
            return confirmed
        written: list[Order] = []

        def write(journal: Journal) -> Journal:
            written.clear()
            journal, order = orders.add_order(
                journal, self.duty, self.epoch, order_id, target, kind, body
            )
            written.append(order)
            return journal

        await self.update_journal(write)
        run = self._new_run(written[0])
        try:
            await self._send(run)
        finally:
            if self.journal.find(written[0].number) and self.valid():
                self._spawn(self._settle(run), f"settle order of {self.duty}")
        return written[0]

    async def resume_open_orders(self) -> None:
        """Complete or abandon every order that a predecessor left open."""
        await asyncio.gather(
            *(
                self._resume_order(order)
                for order in self.journal.open_orders
                if self.epoch not in order.epochs
            )
        )

    async def update_journal(self, apply: Callable[[Journal], Journal]) -> None:
        """Write the journal in a transaction that fails if the duty is no longer held.

        :raises AuthorityLost: if another process acquired the duty or the outcome of
            the write is unknown. The duty counts as lost in both cases.
        :raises KvUnavailable: if the journal was certainly not written.
        """
        async with self._lock:
            self._require_authority()
            updated = apply(self.journal)
            if updated == self.journal:
                return
            conditions = [
                unchanged(journal_key(self.duty), self._journal_revision),
                unchanged(record_key(self.duty), self.record_revision),
            ]
            value = msgspec.json.encode(updated)
            operations = [Put(journal_key(self.duty), value)]
            try:
                result = await self._kv.write_once(
                    conditions, operations, Priority.AUTHORITY
                )
            except (KvConflict, KvOutcomeUnknown, KvRefused) as error:
                self.lease.mark_lost()
                raise AuthorityLost(f"{self.duty}: {error.message}") from None
            self.journal = updated
            self._journal_revision = result.revision

    def _require_authority(self) -> None:
        if not self.valid():
            raise AuthorityLost(f"{self.duty} is not held by this process")

    def _new_run(self, order: Order) -> OrderDelivery:
        return OrderDelivery(order, self.epoch, self._drain_seconds)

    async def _send(self, run: OrderDelivery) -> None:
        """Send an order that is in the journal and record its outcome."""
        # There must be no await between the check and the append to ``runs``. An
        # acknowledgement of a newer epoch in between would omit this order from the
        # orders in flight.
        self._require_authority()
        if not run.send(self._clock.monotonic()):
            raise OrderUnanswered(f"order {run.order.order_id} is in flight")
        if run not in self.runs:
            self.runs.append(run)
        sender = f"{self.record.holder}.{self.record.incarnation}"
        context = Sending(self.duty, self.epoch, sender)
        failure: OrderRefused | OrderUnsent | None = None
        try:
            await self.receiver.send(context, run.order)
        except OrderRefused as error:
            failure = error
            if error.code == FENCED_CODE:
                self.lease.mark_lost()
        except BaseException as error:
            # An adopted order that was not sent has not raised the receiver's fencing
            # number, so the predecessor's copy may still take effect.
            if not isinstance(error, OrderUnsent) or run.adopted:
                run.unanswered(self._clock.monotonic())
                raise
            failure = error
        run.answered()
        await self._close(run, "abandoned" if failure else "confirmed")
        if failure:
            raise failure

    async def _close(self, run: OrderDelivery, outcome: str) -> bool:
        """Record an order's outcome.

        :returns: false if the write failed; the order then stays open and is settled
            later.
        """
        number = run.order.number
        try:
            await self.update_journal(
                lambda journal: orders.close_order(journal, number, outcome)
            )
        except (KvUnavailable, AuthorityLost) as error:
            log_event(
                "order_left_open",
                level="WARNING",
                duty=self.duty,
                order=number,
                error=error.code,
            )
            return False
        if run in self.runs:
            self.runs.remove(run)
        return True

    async def _settle(self, run: OrderDelivery) -> None:
        """Close an open order of this process once no copy of it is in flight."""
        delay = MIN_SETTLE_DELAY_SECONDS
        while self.valid():
            now = self._clock.monotonic()
            if run.may_close(now, self.settled()):
                outcome = await self._read_outcome(run.order)
                if outcome and await self._close(run, outcome):
                    return
            await asyncio.sleep(delay)
            delay = min(MAX_SETTLE_DELAY_SECONDS, delay * 1.5)

    async def _read_outcome(self, order: Order) -> str | None:
        if not self.receiver.is_known(self.duty, order.receiver):
            return "abandoned"
        effect = await self.receiver.took_effect(self.duty, order)
        if effect is None:
            return None
        return "confirmed" if effect else "abandoned"

    async def _resume_order(self, order: Order) -> None:
        """Complete or abandon one open order of a predecessor.

        A receiver that honours fencing is sent the order again with the new fencing
        number, after which it refuses the predecessor's copy. For other receivers
        the outcome is read from their state once no predecessor can still send.
        """
        delay = MIN_SETTLE_DELAY_SECONDS
        run: OrderDelivery | None = None
        while self.valid() and self.journal.find(order.number):
            try:
                answered = run is not None and run.state == "answered"
                if answered or self.settled():
                    run = run or self._new_run(order)
                    if run.may_close(self._clock.monotonic(), self.settled()):
                        outcome = await self._read_outcome(order)
                        if outcome:
                            await self._close(run, outcome)
                elif self.receiver.honours_fencing(self.duty):
                    run = run or await self._adopt(order)
                    if not run.in_flight(self._clock.monotonic()):
                        await self._send(run)
            except (OrderUnanswered, OrderUnsent, OrderRefused, KvError) as error:
                log_event("order_not_resumed", duty=self.duty, error=error.code)
            except AuthorityLost:
                return
            if self.journal.find(order.number):
                await asyncio.sleep(delay)
                delay = min(MAX_SETTLE_DELAY_SECONDS, delay * 1.5)

    async def _adopt(self, order: Order) -> OrderDelivery:
        """Record in the journal that this process may send a predecessor's order."""
        number, epoch = order.number, self.epoch
        await self.update_journal(
            lambda journal: orders.adopt_order(journal, number, epoch)
        )
        return self._new_run(self.journal.find(number))
