"""Holding a duty: its record, the lease, and until when the holder may act."""

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
    """A process that held the duty before, and the epoch under which it did."""

    instance: str
    incarnation: int
    epoch: int


class DutyRecord(msgspec.Struct, frozen=True):
    """What the key-value service keeps of a duty.

    ``holder`` is empty after a holder gave the duty up with no order open.
    ``predecessors`` are the earlier holders that are not known to have stopped.
    """

    holder: str = ""
    incarnation: int = 0
    epoch: int = 0
    predecessors: tuple[Predecessor, ...] = ()


class LeaseRules(msgspec.Struct, frozen=True):
    """Times of a lease, in seconds."""

    ttl_seconds: float = 10.0
    renew_seconds: float = 3.0
    margin_seconds: float = 2.0


def succeed(
    record: DutyRecord, instance: str, incarnation: int, open_epochs: frozenset[int]
) -> DutyRecord:
    """Return the record under which a process takes the duty.

    The epoch grows with every change of hands, so that it serves as the fencing
    number. The former holder joins the predecessors. Those that no open order names
    have nothing left to send and are left out.

    :param open_epochs: the epochs that the journal's open orders name. The record must
        be written on the condition that the journal is unchanged.
    """
    predecessors = record.predecessors
    if record.holder:
        former = Predecessor(record.holder, record.incarnation, record.epoch)
        predecessors = (*predecessors, former)
    kept = tuple(item for item in predecessors if item.epoch in open_epochs)
    return DutyRecord(instance, incarnation, record.epoch + 1, kept)


def resign(record: DutyRecord) -> DutyRecord:
    """Return the record of a duty that its holder gave up with no order open."""
    return DutyRecord("", 0, record.epoch, record.predecessors)


class Lease:
    """The holder's own view of its lease on one duty.

    The deadline is counted from before the granting or renewing call was sent, so it
    always falls before the service can let the lease lapse, if clocks run alike.
    """

    __slots__ = ("rules", "state", "epoch", "deadline", "_ticked_at")

    def __init__(self, rules: LeaseRules) -> None:
        """Start without the duty."""
        self.rules = rules
        self.state = LIFECYCLE.initial
        self.epoch = 0
        self.deadline = 0.0
        self._ticked_at = 0.0

    def taken(self, epoch: int, sent_at: float, now: float) -> bool:
        """Start holding the duty.

        :param epoch: the fencing number that the transaction wrote.
        :param sent_at: when the call that granted the lease was about to be sent.
        :returns: whether the duty is still held when the answer arrives.
        """
        self.state = LIFECYCLE.after(self.state, "taken")
        self.epoch = epoch
        self.deadline = self._deadline(sent_at)
        self._ticked_at = now
        return self.valid(now)

    def renewed(self, sent_at: float, now: float) -> bool:
        """Extend the deadline after the service confirmed a renewal.

        An answer that arrives after the old deadline does not revive the lease: the
        holder has stopped, and others may have noticed.

        :param sent_at: when the renewal was about to be sent.
        """
        if not self.valid(now):
            return False
        self.state = LIFECYCLE.after(self.state, "renewed")
        self.deadline = max(self.deadline, self._deadline(sent_at))
        return self.valid(now)

    def tick(self, now: float) -> bool:
        """Note the time; called several times per margin while the duty is held.

        :returns: whether the duty is held.
        """
        held = self.valid(now)
        self._ticked_at = now
        return held

    def valid(self, now: float) -> bool:
        """Tell whether the holder may act at this moment.

        A jump of the clock since the last tick means that the process was paused for
        a time that it did not see pass; the duty is then dropped for good.
        """
        if self.state != "held":
            return False
        jumped = not 0.0 <= now - self._ticked_at <= self.rules.margin_seconds
        if jumped or now >= self.deadline:
            self.lose()
            return False
        return True

    def lose(self) -> None:
        """Stop acting; only taking the duty anew, with a new epoch, ends this state."""
        if LIFECYCLE.allows(self.state, "lose"):
            self.state = LIFECYCLE.after(self.state, "lose")

    def resign(self) -> None:
        """Give the duty up."""
        if LIFECYCLE.allows(self.state, "resign"):
            self.state = LIFECYCLE.after(self.state, "resign")

    def _deadline(self, sent_at: float) -> float:
        return sent_at + self.rules.ttl_seconds - self.rules.margin_seconds
