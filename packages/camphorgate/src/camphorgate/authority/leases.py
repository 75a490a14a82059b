"""Duty records, and the lease that limits how long a holder may act."""

import msgspec

from camphorgate.lifecycle import Lifecycle

LIFECYCLE = Lifecycle(
    "lease",
    ("idle", "held", "lost"),
    (
        ("taken", "idle", "held"),
        ("taken", "lost", "held"),
        ("renewed", "held", "held"),
        ("lose", "held", "lost"),
        ("resign", "held", "idle"),
        ("resign", "lost", "idle"),
    ),
)


class Predecessor(msgspec.Struct, frozen=True):
    """A process that held the duty before, with the epoch of its tenure."""

    instance: str
    incarnation: int
    epoch: int


class DutyRecord(msgspec.Struct, frozen=True):
    """The record of a duty in the key-value service.

    ``holder`` is empty after a holder resigned with no open orders. ``predecessors``
    are the former holders that are not known to have stopped.
    """

    holder: str = ""
    incarnation: int = 0
    epoch: int = 0
    predecessors: tuple[Predecessor, ...] = ()


class LeaseRules(msgspec.Struct, frozen=True):
    """Timing of a lease, in seconds."""

    ttl_seconds: float = 10.0
    renew_seconds: float = 3.0
    margin_seconds: float = 2.0


def take_over(
    record: DutyRecord, instance: str, incarnation: int, open_epochs: frozenset[int]
) -> DutyRecord:
    """Return the record with which a process takes over the duty.

    The epoch grows with every change of holder and serves as the fencing token. The
    former holder is added to the predecessors. Predecessors that no open order names
    have nothing left to send and are dropped.

    :param open_epochs: the epochs in the journal's open orders. The record must be
        written on the condition that the journal is unchanged.
    """
    predecessors = record.predecessors
    if record.holder:
        former = Predecessor(record.holder, record.incarnation, record.epoch)
        predecessors = (*predecessors, former)
    kept = tuple(item for item in predecessors if item.epoch in open_epochs)
    return DutyRecord(instance, incarnation, record.epoch + 1, kept)


def resign(record: DutyRecord) -> DutyRecord:
    """Return the record after the holder resigned with no open orders."""
    return DutyRecord("", 0, record.epoch, record.predecessors)


class Lease:
    """The holder's local view of its lease on one duty.

    The deadline counts from just before the grant or renewal call was sent. The service
    therefore cannot expire the lease before the deadline, provided that both clocks
    run at the same rate.
    """

    __slots__ = ("rules", "state", "epoch", "deadline", "_ticked_at")

    def __init__(self, rules: LeaseRules) -> None:
        """Start without the duty."""
        self.rules = rules
        self.state = LIFECYCLE.initial
        self.epoch = 0
        self.deadline = 0.0
        self._ticked_at = 0.0

    def record_acquired(self, epoch: int, sent_at: float, now: float) -> bool:
        """Record that the duty was acquired.

        :param epoch: the fencing token that the transaction wrote.
        :param sent_at: the time just before the call that granted the lease was sent.
        :returns: whether the duty is still held when the answer arrives.
        """
        self.state = LIFECYCLE.next_state(self.state, "taken")
        self.epoch = epoch
        self.deadline = self._deadline(sent_at)
        self._ticked_at = now
        return self.check_valid(now)

    def record_renewed(self, sent_at: float, now: float) -> bool:
        """Extend the deadline after the service confirmed a renewal.

        An answer that arrives after the old deadline does not restore the lease: the
        holder has already stopped, and other processes may have acted on that.

        :param sent_at: the time just before the renewal was sent.
        """
        if not self.check_valid(now):
            return False
        self.state = LIFECYCLE.next_state(self.state, "renewed")
        self.deadline = max(self.deadline, self._deadline(sent_at))
        return self.check_valid(now)

    def tick(self, now: float) -> bool:
        """Record the time; must be called several times per margin while held.

        :returns: whether the duty is held.
        """
        held = self.check_valid(now)
        self._ticked_at = now
        return held

    def check_valid(self, now: float) -> bool:
        """Return whether the holder may act now.

        A clock jump since the last tick means that the process was paused. The lease is
        then lost, and the duty must be acquired again under a new epoch.
        """
        if self.state != "held":
            return False
        jumped = not 0.0 <= now - self._ticked_at <= self.rules.margin_seconds
        if jumped or now >= self.deadline:
            self.mark_lost()
            return False
        return True

    def mark_lost(self) -> None:
        """Mark the lease as lost until the duty is acquired under a new epoch."""
        if LIFECYCLE.allows(self.state, "lose"):
            self.state = LIFECYCLE.next_state(self.state, "lose")

    def resign(self) -> None:
        """Record that the holder gave up the duty."""
        if LIFECYCLE.allows(self.state, "resign"):
            self.state = LIFECYCLE.next_state(self.state, "resign")

    def _deadline(self, sent_at: float) -> float:
        return sent_at + self.rules.ttl_seconds - self.rules.margin_seconds
