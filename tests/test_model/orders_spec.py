"""Specification of leases, epochs, write-ahead orders and hand-over.

Two processes compete for one duty and send orders to one receiver. Time is modelled
only as the order of events: a lease may lapse at any moment, but a running holder stops
before that (the margin); the drain time ends once no message of the sender is in
transit. A process may pause between any two steps, crash, and restart with a higher
incarnation; responses and messages may be lost or arbitrarily late. Each rule can be
disabled.
"""

from typing import NamedTuple

from minicheck import Protocol

PROCESSES = 2

RULES = frozenset(
    {
        "take_only_when_the_lease_is_absent",
        "stop_before_the_lease_can_lapse",
        "recheck_after_a_pause",
        "write_before_sending",
        "write_only_under_the_current_epoch",
        "resolve_unknown_outcomes",
        "refuse_writes_while_an_order_is_open",
        "fencing",
        "wait_for_predecessors",
        "stop_when_acknowledging",
        "report_orders_in_flight",
        "drain_dead_predecessors",
        "drain_unanswered_attempts",
        "adopt_before_resending",
        "close_adopted_orders_only_when_answered",
    }
)


class Bounds(NamedTuple):
    """Limits of the explored state space."""

    epochs: int = 3
    orders: int = 2
    incarnations: int = 2
    pauses: int = 1


class Process(NamedTuple):
    """One process; ``step`` is its position in the protocol."""

    incarnation: int = 1
    alive: bool = True
    paused: bool = False
    valid: bool = False
    epoch: int = 0
    step: str = "idle"
    number: int = 0
    waiting: frozenset = frozenset()


class State(NamedTuple):
    """The state of the system; ``open_order`` is (number, epochs) or ``None``."""

    epoch: int = 0
    lease: int = 0
    holders: tuple = ()
    open_order: tuple | None = None
    next_number: int = 1
    messages: frozenset = frozenset()
    last_number: int = 0
    last_epoch: int = 0
    pauses: int = 0
    violated: str = ""
    processes: tuple = (Process(),) * PROCESSES


def _with_process(state: State, index: int, process: Process, **changes) -> State:
    processes = list(state.processes)
    processes[index] = process
    return state._replace(processes=tuple(processes), **changes)


def _idle(process: Process) -> Process:
    return Process(process.incarnation, process.alive, process.paused)


def _holds(process: Process) -> bool:
    return process.step not in ("idle", "taking")


def _drop_unused_holders(state: State) -> State:
    """Drop the holders of epochs that no other part of the state refers to."""
    needed = {epoch for epoch, _ in state.messages} | {state.lease}
    for process in state.processes:
        needed |= process.waiting | {process.epoch}
    if state.open_order:
        needed |= state.open_order[1]
    holders = tuple(
        holder if epoch in needed else None
        for epoch, holder in enumerate(state.holders, 1)
    )
    return state if holders == state.holders else state._replace(holders=holders)


class OrderSpec:
    """The transitions, for a receiver with or without support for fencing."""

    def __init__(
        self, fences: bool, rules: frozenset = RULES, bounds: Bounds | None = None
    ) -> None:
        self.fences = fences
        self.rules = rules
        self.bounds = bounds or Bounds()

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
        return Protocol(
            name="orders",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=self.transitions,
            invariants={
                "I1_no_conflicting_orders": lambda d: d["violated"] != "I1",
                "I3_lost_authority_has_no_effect": lambda d: d["violated"] != "I3",
                "I5_I6_one_process_holds_authority": self._one_process_holds_authority,
                "I5_I6_one_process_sends": self._one_process_sends,
            },
        )

    def _one_process_holds_authority(self, state: dict) -> bool:
        processes = state["processes"]
        return sum(p.valid and not p.paused and _holds(p) for p in processes) <= 1

    def _one_process_sends(self, state: dict) -> bool:
        epochs = {epoch for epoch, _ in state["messages"]}
        return self.fences or len(epochs) <= 1

    def transitions(self, state: State) -> list:
        """Return every successor state with its label."""
        if state.violated:
            return []
        successors = self._lapse(state) + self._network(state)
        for index, process in enumerate(state.processes):
            if process.paused:
                successors.append(
                    (f"resume {index}", self._resume(state, index, process))
                )
            elif process.alive:
                successors += self._faults(state, index, process)
                successors += self._steps(state, index, process)
        return [(label, _drop_unused_holders(after)) for label, after in successors]

    # Faults.

    def _faults(self, state, index, process):
        if not process.epoch:
            return []
        # A restarted process that takes no step also models one that stays dead.
        dead = Process(process.incarnation, alive=False)
        if process.incarnation < self.bounds.incarnations:
            dead = Process(process.incarnation + 1)
        successors = [(f"crash {index}", _with_process(state, index, dead))]
        if state.pauses < self.bounds.pauses:
            paused = process._replace(paused=True)
            pauses = state.pauses + 1
            successors.append(
                (f"pause {index}", _with_process(state, index, paused, pauses=pauses))
            )
        return successors

    def _resume(self, state, index, process):
        valid = process.valid
        if "recheck_after_a_pause" in self.rules:
            valid = valid and state.lease == process.epoch
        return _with_process(state, index, process._replace(paused=False, valid=valid))

    def _lapse(self, state):
        if not state.lease:
            return []
        index, _ = state.holders[state.lease - 1]
        holder = state.processes[index]
        running = holder.valid and not holder.paused and holder.epoch == state.lease
        if running and "stop_before_the_lease_can_lapse" in self.rules:
            stopped = holder._replace(valid=False)
            return [("lapse", _with_process(state, index, stopped, lease=0))]
        return [("lapse", state._replace(lease=0))]

    def _network(self, state):
        successors = []
        for message in sorted(state.messages):
            epoch, number = message
            rest = state._replace(messages=state.messages - {message})
            after = self.deliver(rest, epoch, number)
            index, waiting = self._waiting_sender(state, message)
            if waiting:
                answered = waiting._replace(step="answered")
                late = waiting._replace(step="unanswered")
                successors.append(
                    (f"deliver {epoch}.{number}", _with_process(after, index, answered))
                )
                successors.append(
                    (f"time out {epoch}.{number}", _with_process(state, index, late))
                )
            else:
                successors.append((f"deliver {epoch}.{number}, no answer", after))
                successors.append((f"lose {epoch}.{number}", rest))
        return successors

    def _waiting_sender(self, state, message):
        epoch, number = message
        index, incarnation = state.holders[epoch - 1]
        sender = state.processes[index]
        waits = (
            sender.alive
            and not sender.paused
            and sender.incarnation == incarnation
            and sender.step == "sent"
            and (sender.epoch, sender.number) == message
        )
        return (index, sender) if waits else (index, None)

    def deliver(self, state: State, epoch: int, number: int) -> State:
        """Let the receiver accept or refuse a message."""
        fences = self.fences and "fencing" in self.rules
        if fences and epoch < state.last_epoch:
            return state
        violated = ""
        if number < state.last_number:
            violated = "I1"
        elif epoch < state.last_epoch or not self._is_open(state, number):
            violated = "I3"
        return state._replace(last_number=number, last_epoch=epoch, violated=violated)

    def _is_open(self, state, number):
        return state.open_order is not None and state.open_order[0] == number

    # Steps of a running process.

    def _steps(self, state, index, process):
        successors = []
        if process.step == "idle":
            successors += self._take(state, index, process)
        elif process.step == "taking":
            after = _idle(process)
            if state.epoch == process.epoch:
                # The lease may have lapsed before the read.
                valid = state.lease == process.epoch
                waiting = self._predecessors(state, process.epoch)
                after = process._replace(step="hold", valid=valid, waiting=waiting)
            successors.append(
                (f"resolve take {index}", _with_process(state, index, after))
            )
        elif not process.valid and process.step != "checked":
            successors.append(
                (f"drop {index}", _with_process(state, index, _idle(process)))
            )
        if process.step in ("hold", "unanswered"):
            successors += self._settle(state, index, process)
        if process.step == "hold":
            successors += self._write(state, index, process)
            successors += self._resume_order(state, index, process)
        elif process.step == "writing":
            successors.append(self._resolve_write(state, index, process))
        elif process.step == "ready" and process.valid:
            checked = process._replace(step="checked")
            successors.append((f"check {index}", _with_process(state, index, checked)))
        elif process.step == "checked":
            messages = state.messages | {(process.epoch, process.number)}
            sent = process._replace(step="sent")
            successors.append(
                (f"send {index}", _with_process(state, index, sent, messages=messages))
            )
        elif process.step in ("answered", "unanswered"):
            successors += self._close(state, index, process)
        return successors

    def _take(self, state, index, process):
        if state.epoch >= self.bounds.epochs:
            return []
        # The processes are symmetric, so the first to take the duty is process 0.
        if not state.epoch and index:
            return []
        if state.lease and "take_only_when_the_lease_is_absent" in self.rules:
            return []
        epoch = state.epoch + 1
        holders = (*state.holders, (index, process.incarnation))
        written = {"epoch": epoch, "lease": epoch, "holders": holders}
        waiting = self._predecessors(state, epoch)
        held = process._replace(epoch=epoch, step="hold", valid=True, waiting=waiting)
        unknown = process._replace(epoch=epoch, step="taking")
        return [
            (f"take {index}", _with_process(state, index, held, **written)),
            (
                f"take {index}, no answer",
                _with_process(state, index, unknown, **written),
            ),
        ]

    def _write(self, state, index, process):
        number = state.next_number
        if number > self.bounds.orders:
            return []
        if state.open_order and "refuse_writes_while_an_order_is_open" in self.rules:
            return []
        ready = process._replace(step="ready", number=number)
        if "write_before_sending" not in self.rules:
            return [
                (
                    f"no write {index}",
                    _with_process(state, index, ready, next_number=number + 1),
                )
            ]
        checks_epoch = "write_only_under_the_current_epoch" in self.rules
        if checks_epoch and state.epoch != process.epoch:
            return [
                (f"refused write {index}", _with_process(state, index, _idle(process)))
            ]
        unknown = process._replace(step="writing", number=number)
        written = {
            "open_order": (number, frozenset({process.epoch})),
            "next_number": number + 1,
        }
        return [
            (f"write {index}", _with_process(state, index, ready, **written)),
            (
                f"write {index}, no answer",
                _with_process(state, index, unknown, **written),
            ),
            (f"lost write {index}", _with_process(state, index, unknown)),
        ]

    def _resolve_write(self, state, index, process):
        stored = self._is_open(state, process.number) and (
            process.epoch in state.open_order[1]
        )
        if stored or "resolve_unknown_outcomes" not in self.rules:
            after = process._replace(step="ready")
        else:
            after = process._replace(step="hold", number=0)
        return (f"resolve write {index}", _with_process(state, index, after))

    def _close(self, state, index, process):
        late = (process.epoch, process.number) in state.messages
        if late and "drain_unanswered_attempts" in self.rules:
            return []
        if state.epoch != process.epoch:
            return [
                (f"refused close {index}", _with_process(state, index, _idle(process)))
            ]
        resent = process._replace(step="ready")
        successors = []
        if process.step == "unanswered":
            successors.append((f"resend {index}", _with_process(state, index, resent)))
        # A response proves that the receiver has the new fencing number.
        receiver_is_current = process.step == "answered" or not process.waiting
        if (
            receiver_is_current
            or "close_adopted_orders_only_when_answered" not in self.rules
        ):
            held = process._replace(step="hold", number=0, waiting=frozenset())
            closed = _with_process(state, index, held, open_order=None)
            successors.append((f"close {index}", closed))
        return successors

    # Hand-over.

    def _predecessors(self, state: State, epoch: int) -> frozenset:
        """Return the earlier epochs that a new holder has to wait for.

        They are read from the journal after the record was written. A predecessor
        whose epoch no open order carries has nothing left to send.
        """
        return state.open_order[1] - {epoch} if state.open_order else frozenset()

    def _settle(self, state, index, process):
        successors = []
        for epoch in sorted(process.waiting):
            settled = process._replace(waiting=process.waiting - {epoch})
            former_index, incarnation = state.holders[epoch - 1]
            former = state.processes[former_index]
            sending = any(message[0] == epoch for message in state.messages)
            if former.alive and former.incarnation == incarnation:
                successors += self._acknowledge(
                    state, index, settled, former_index, epoch, sending
                )
            elif not sending or "drain_dead_predecessors" not in self.rules:
                successors.append(
                    (f"drained {epoch}", _with_process(state, index, settled))
                )
        return successors

    def _acknowledge(self, state, index, settled, former_index, epoch, sending):
        former = state.processes[former_index]
        busy = former.step == "checked" and former.epoch == epoch
        if (sending or busy) and "report_orders_in_flight" in self.rules:
            return []
        if former.paused:
            return []
        after = _with_process(state, index, settled)
        if former_index != index and "stop_when_acknowledging" in self.rules:
            after = _with_process(after, former_index, _idle(former))
        return [(f"acknowledge {epoch}", after)]

    def _resume_order(self, state, index, process):
        if state.open_order is None or process.epoch in state.open_order[1]:
            return []
        if state.epoch != process.epoch:
            return []
        number, epochs = state.open_order
        settled = not process.waiting or "wait_for_predecessors" not in self.rules
        if not self.fences and not settled:
            return []
        if "adopt_before_resending" in self.rules:
            epochs = epochs | {process.epoch}
        ready = process._replace(step="ready", number=number)
        successors = [
            (
                f"adopt {index}",
                _with_process(state, index, ready, open_order=(number, epochs)),
            )
        ]
        if settled:
            successors.append((f"abandon {index}", state._replace(open_order=None)))
        return successors
