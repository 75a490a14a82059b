"""Specifications of what a hosting platform adds: the duty, its orders, usage windows.

Answers and messages may be late without bound or lost, processes pause between any two
steps and restart as new incarnations. Each rule can be left out.
"""

from typing import NamedTuple

from minicheck import Protocol

PROCESSES = 2

DUTY_RULES = frozenset(
    {
        "take_only_when_absent",
        "number_is_the_revision",
        "adopt_only_own_entries",
        "forget_refused_numbers",
        "orders_name_the_count_they_follow",
        "orders_name_the_start_they_are_for",
    }
)
USAGE_RULES = frozenset(
    {
        "freeze_before_reporting",
        "freeze_only_when_absent",
        "report_what_is_frozen",
        "remove_only_when_nobody_reports",
    }
)


class Bounds(NamedTuple):
    """How far the exploration of the duty goes."""

    revisions: int = 3
    orders: int = 2
    restarts: int = 1


class Order(NamedTuple):
    """An order on its way: who gave it under which number, and what it says.

    ``serial`` tells the orders of the whole run apart, in the order of their sending.
    """

    serial: int
    sender: int
    number: int
    count: int
    start: int


class Holder(NamedTuple):
    """A process; ``number`` is the fencing number under which it acts, or 0."""

    incarnation: int = 1
    number: int = 0
    refused: frozenset = frozenset()


class DutyState(NamedTuple):
    """Everything; ``entry`` is (number, process, incarnation) or ``None``.

    ``past`` are the entries that a late watch may still show. ``asked`` are attempts to
    take the duty that the store may carry out late. The receiver is a worker: its
    start, the highest number and the count of orders that it has seen since, and the
    last order that it carried out.
    """

    entry: tuple | None = None
    past: frozenset = frozenset()
    revision: int = 0
    asked: frozenset = frozenset()
    holders: tuple = (Holder(),) * PROCESSES
    used: frozenset = frozenset()
    orders: frozenset = frozenset()
    sent: int = 0
    start: int = 1
    highest: int = 0
    count: int = 0
    last: Order | None = None
    violated: str = ""


class DutySpec:
    """One duty key in the store, two processes, one worker that takes orders."""

    def __init__(self, rules: frozenset = DUTY_RULES, bounds: Bounds | None = None):
        self.rules = rules
        self.bounds = bounds or Bounds()

    def protocol(self) -> Protocol:
        """Return the machine for minicheck."""
        names = (
            "no_running_lease_is_taken",
            "one_machine_a_number",
            "no_refused_number_again",
            "no_late_order",
        )
        return Protocol(
            name="hosted duty",
            candidate=False,
            fields=DutyState._fields,
            initial=DutyState(),
            transitions=self.transitions,
            invariants={
                name: lambda d, name=name: d["violated"] != name for name in names
            },
        )

    def transitions(self, state: DutyState) -> list:
        """Return every labelled successor."""
        if state.violated:
            return []
        found = []
        if state.entry is not None:
            found.append(("lapse", state._replace(entry=None)))
        if state.start <= self.bounds.restarts:
            fresh = {"start": state.start + 1, "highest": 0, "count": 0}
            found.append(("restart worker", state._replace(**fresh)))
        for attempt in sorted(state.asked):
            rest = state._replace(asked=state.asked - {attempt})
            found.append((f"carry out {attempt}", self._take(rest, attempt)))
        for order in sorted(state.orders):
            rest = state._replace(orders=state.orders - {order})
            found.append((f"deliver {order.serial}", self._deliver(rest, order)))
        for index, holder in enumerate(state.holders):
            found += self._steps(state, index, holder)
        return found

    def _steps(self, state: DutyState, index: int, holder: Holder) -> list:
        found = []
        attempt = (index, holder.incarnation)
        room = state.revision + len(state.asked) < self.bounds.revisions
        if room and not holder.number and attempt not in state.asked:
            asked = state._replace(asked=state.asked | {attempt})
            found.append((f"ask {index}", asked))
        if not holder.number:
            for entry in sorted(state.past):
                after = self._observe(state, index, holder, entry)
                found.append((f"observe {index} {entry}", after))
        if holder.number and state.sent < self.bounds.orders:
            found.append((f"order {index}", self._send(state, index, holder)))
        if holder.incarnation <= self.bounds.restarts:
            fresh = Holder(holder.incarnation + 1)
            found.append((f"restart {index}", _with_holder(state, index, fresh)))
        return found

    def _take(self, state: DutyState, attempt: tuple) -> DutyState:
        if state.entry is not None:
            if "take_only_when_absent" in self.rules:
                return state
            return state._replace(violated="no_running_lease_is_taken")
        revision = state.revision + 1
        number = revision
        if "number_is_the_revision" not in self.rules:
            # The number after the highest that the receiver is known to have seen.
            number = state.highest + 1
        entry = (number, *attempt)
        past = state.past | {entry}
        return state._replace(entry=entry, past=past, revision=revision)

    def _observe(
        self, state: DutyState, index: int, holder: Holder, entry: tuple
    ) -> DutyState:
        number, owner, incarnation = entry
        own = (owner, incarnation) == (index, holder.incarnation)
        if not own and "adopt_only_own_entries" in self.rules:
            return state
        if number in holder.refused and "forget_refused_numbers" in self.rules:
            return state
        return _with_holder(state, index, holder._replace(number=number))

    def _send(self, state: DutyState, index: int, holder: Holder) -> DutyState:
        serial = state.sent + 1
        order = Order(serial, index, holder.number, state.count, state.start)
        used = state.used | {(holder.number, index)}
        after = state._replace(orders=state.orders | {order}, sent=serial, used=used)
        if holder.number in holder.refused:
            return after._replace(violated="no_refused_number_again")
        if len({owner for number, owner in used if number == holder.number}) > 1:
            return after._replace(violated="one_machine_a_number")
        return after

    def _deliver(self, state: DutyState, order: Order) -> DutyState:
        named = "orders_name_the_start_they_are_for" in self.rules
        if named and order.start != state.start:
            return state
        if order.number < state.highest:
            return self._refuse(state, order)
        after = state._replace(highest=max(state.highest, order.number))
        follows = "orders_name_the_count_they_follow" in self.rules
        if follows and order.count != state.count:
            return after
        if state.last is not None and order.serial < state.last.serial:
            after = after._replace(violated="no_late_order")
        return after._replace(count=state.count + 1, last=order)

    def _refuse(self, state: DutyState, order: Order) -> DutyState:
        holder = state.holders[order.sender]
        refused = holder.refused | {order.number}
        number = 0 if holder.number == order.number else holder.number
        return _with_holder(
            state, order.sender, holder._replace(refused=refused, number=number)
        )


def _with_holder(state: DutyState, index: int, holder: Holder) -> DutyState:
    holders = list(state.holders)
    holders[index] = holder
    return state._replace(holders=tuple(holders))


class Reporter(NamedTuple):
    """A process that may report the window; ``known`` are the figures it would send."""

    known: int = 0
    step: str = "idle"


class UsageState(NamedTuple):
    """One window: its figures in the store, 0 if there are none, and the reports.

    ``over`` tells that no holder reports the window any more.
    """

    frozen: int = 0
    asked: frozenset = frozenset()
    reporters: tuple = (Reporter(),) * PROCESSES
    reports: frozenset = frozenset()
    over: bool = False
    violated: str = ""


class UsageSpec:
    """One usage window and two processes that count differently."""

    def __init__(self, rules: frozenset = USAGE_RULES) -> None:
        self.rules = rules

    def protocol(self) -> Protocol:
        """Return the machine for minicheck."""
        return Protocol(
            name="usage window",
            candidate=False,
            fields=UsageState._fields,
            initial=UsageState(),
            transitions=self.transitions,
            invariants={"one_figure_a_window": lambda d: len(d["reports"]) <= 1},
        )

    def transitions(self, state: UsageState) -> list:
        """Return every labelled successor."""
        found = []
        if not state.over:
            found.append(("end", state._replace(over=True)))
        removable = state.over or "remove_only_when_nobody_reports" not in self.rules
        if state.frozen and removable:
            found.append(("remove", state._replace(frozen=0)))
        for figures in sorted(state.asked):
            rest = state._replace(asked=state.asked - {figures})
            free = not state.frozen or "freeze_only_when_absent" not in self.rules
            after = rest._replace(frozen=figures) if free else rest
            found.append((f"carry out {figures}", after))
        for index, reporter in enumerate(state.reporters):
            found += self._steps(state, index, reporter)
        return found

    def _steps(self, state: UsageState, index: int, reporter: Reporter) -> list:
        own = index + 1
        if reporter.step == "idle":
            asked = state._replace(asked=state.asked | {own})
            found = [(f"freeze {own}", _with_reporter(asked, index, 0, "asked"))]
            if "freeze_before_reporting" not in self.rules:
                ready = _with_reporter(state, index, own, "ready")
                found.append((f"count {own}", ready))
            return found
        if reporter.step == "asked" and state.frozen:
            frozen = "report_what_is_frozen" in self.rules
            known = state.frozen if frozen else own
            return [(f"read {own}", _with_reporter(state, index, known, "ready"))]
        # A holder gives up a window that is over; its last report may come later still.
        if reporter.step == "ready" and not state.over:
            sent = _with_reporter(state, index, 0, "idle")
            reports = state.reports | {reporter.known}
            return [(f"report {own}", sent._replace(reports=reports))]
        return []


def _with_reporter(state: UsageState, index: int, known: int, step: str) -> UsageState:
    reporters = list(state.reporters)
    reporters[index] = Reporter(known, step)
    return state._replace(reporters=tuple(reporters))
