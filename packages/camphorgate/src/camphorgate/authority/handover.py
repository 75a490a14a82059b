"""When a successor may send to a receiver that ignores fencing numbers.

A paused holder may wake after its last check and send. The fencing number stops it
where the receiver honours it. Elsewhere the successor waits until every predecessor
that may have an order on its way is known to have none.
"""

import msgspec

from camphorgate.authority.leases import Predecessor
from camphorgate.authority.orders import Journal


class Acknowledgement(msgspec.Struct, frozen=True):
    """What an instance answered to a newer epoch.

    :param in_flight: orders of the duty that may still reach the receiver.
    """

    instance: str
    incarnation: int
    epoch: int
    in_flight: int


class Handover:
    """Which predecessors of one epoch may still send something."""

    __slots__ = ("epoch", "drain_seconds", "_waiting", "_dead_since_by_predecessor")

    def __init__(
        self,
        epoch: int,
        predecessors: tuple[Predecessor, ...],
        journal: Journal,
        drain_seconds: float,
    ) -> None:
        """Start after a change of hands.

        :param epoch: the successor's epoch.
        :param predecessors: those of the duty record.
        :param journal: the journal as it was read after the record was written. A
            predecessor that is not named by an open order has nothing left to send,
            as orders are written first and it can no longer write.
        """
        self.epoch = epoch
        self.drain_seconds = drain_seconds
        open_epochs = journal.open_epochs()
        self._waiting = [item for item in predecessors if item.epoch in open_epochs]
        self._dead_since_by_predecessor: dict[Predecessor, float] = {}

    @property
    def waiting(self) -> tuple[Predecessor, ...]:
        """Return the predecessors that may still send something."""
        return tuple(self._waiting)

    def settled(self, now: float) -> bool:
        """Tell whether the successor may send to a receiver that ignores fencing."""
        for predecessor in self.waiting:
            dead_since = self._dead_since_by_predecessor.get(predecessor)
            if dead_since is not None and now - dead_since >= self.drain_seconds:
                self._waiting.remove(predecessor)
        return not self._waiting

    def acknowledged(self, answer: Acknowledgement, now: float) -> None:
        """Take an instance's answer to this epoch.

        The same incarnation answers for itself: it has stopped, and says whether an
        order is in flight. A newer incarnation proves that the older process is dead;
        what that sent last is drained.

        :param now: when the answer arrived.
        """
        if answer.epoch < self.epoch:
            return
        for predecessor in self.waiting:
            if predecessor.instance != answer.instance:
                continue
            if answer.incarnation > predecessor.incarnation:
                self._dead_since_by_predecessor.setdefault(predecessor, now)
            elif answer.incarnation == predecessor.incarnation and not answer.in_flight:
                self._waiting.remove(predecessor)

    def listed_gone(self, instance: str, now: float) -> None:
        """Take the platform's word that an instance is gone.

        An instance that the list does not name is not gone: the list lags.

        :param now: when the list was read.
        """
        for predecessor in self.waiting:
            if predecessor.instance == instance:
                self._dead_since_by_predecessor.setdefault(predecessor, now)
