"""Hand-over of a duty to a successor when receivers ignore fencing tokens.

A holder that pauses after checking its lease may resume and send an outdated order.
Receivers that check the fencing token reject it. For all others, the successor waits
until no predecessor can have an order in flight.
"""

import msgspec

from camphorgate.authority.leases import Predecessor
from camphorgate.authority.orders import Journal


class Acknowledgement(msgspec.Struct, frozen=True):
    """An instance's answer to the announcement of a newer epoch.

    :param in_flight: number of the duty's orders that may still reach the receiver.
    """

    instance: str
    incarnation: int
    epoch: int
    in_flight: int


class Handover:
    """Tracks which predecessors of an epoch may still send orders."""

    __slots__ = ("epoch", "drain_seconds", "_unsettled", "_dead_since_by_predecessor")

    def __init__(
        self,
        epoch: int,
        predecessors: tuple[Predecessor, ...],
        journal: Journal,
        drain_seconds: float,
    ) -> None:
        """Start after the duty changed holders.

        :param epoch: the successor's epoch.
        :param predecessors: the predecessors in the duty record.
        :param journal: the journal, read after the record was written. Orders are
            journaled before they are sent, and a predecessor can no longer write to
            the journal. One that no open order names has nothing left to send.
        """
        self.epoch = epoch
        self.drain_seconds = drain_seconds
        open_epochs = journal.open_epochs()
        self._unsettled = [item for item in predecessors if item.epoch in open_epochs]
        self._dead_since_by_predecessor: dict[Predecessor, float] = {}

    @property
    def unsettled_predecessors(self) -> tuple[Predecessor, ...]:
        """Return the predecessors that may still send orders."""
        return tuple(self._unsettled)

    def update_settled(self, now: float) -> bool:
        """Return whether the successor may send to receivers that ignore fencing."""
        for predecessor in self.unsettled_predecessors:
            dead_since = self._dead_since_by_predecessor.get(predecessor)
            if dead_since is not None and now - dead_since >= self.drain_seconds:
                self._unsettled.remove(predecessor)
        return not self._unsettled

    def receive_acknowledgement(self, answer: Acknowledgement, now: float) -> None:
        """Process an instance's acknowledgement of this epoch.

        An answer from the predecessor's own incarnation means that it has stopped, and
        tells whether it has orders in flight. An answer from a newer incarnation proves
        that the older process is dead; its last orders then have the drain time to
        arrive.

        :param now: when the answer arrived.
        """
        if answer.epoch < self.epoch:
            return
        for predecessor in self.unsettled_predecessors:
            if predecessor.instance != answer.instance:
                continue
            if answer.incarnation > predecessor.incarnation:
                self._dead_since_by_predecessor.setdefault(predecessor, now)
            elif answer.incarnation == predecessor.incarnation and not answer.in_flight:
                self._unsettled.remove(predecessor)

    def mark_gone(self, instance: str, now: float) -> None:
        """Process the platform's report that an instance is gone.

        Absence from the platform's list is no such report, because the list lags.

        :param now: when the list was read.
        """
        for predecessor in self.unsettled_predecessors:
            if predecessor.instance == instance:
                self._dead_since_by_predecessor.setdefault(predecessor, now)
