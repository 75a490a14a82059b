"""Specifications of the protocols on a hosting platform: duty, orders, usage windows.

Responses and messages may be lost or arbitrarily late. Processes may pause between any
two steps, and restart as new incarnations. Each rule can be disabled.
"""

from typing import NamedTuple

from minicheck import Protocol

PROCESSES = 2

DUTY_RULES = frozenset(
    {
        "take_only_when_absent",
        "number_is_the_revision",
        "adopt_only_own_entries",
        "never_adopt_refused_numbers",
        "orders_carry_the_preceding_count",
        "orders_carry_the_worker_start",
    }
)
USAGE_RULES = frozenset(
    {
        "store_before_reporting",
        "store_only_when_absent",
        "report_the_stored_figures",
        "remove_only_when_reporting_has_ended",
    }
)


class Bounds(NamedTuple):
    """Limits of the explored state space of the duty."""

    revisions: int = 3
    orders: int = 2
    restarts: int = 1


class Order(NamedTuple):
    """An order in transit: its sender, fencing number and contents.

    ``serial`` identifies an order within a run and grows in the order of sending.
    """

    serial: int
    sender: int
    number: int
    count: int
    start: int


class Holder(NamedTuple):
    """A process; ``number`` is the fencing number that it uses, or 0."""

    incarnation: int = 1
    number: int = 0
    refused: frozenset = frozenset()


class DutyState(NamedTuple):
    """The state of the system; ``entry`` is (number, process, incarnation) or ``None``.

    ``past_entries`` are the entries that a late watch may still deliver. ``pending``
    are requests for the duty that the store may execute late. The receiver is a worker:
    ``start`` numbers its starts, ``highest`` and ``count`` are the highest number and
    the count of orders that it has received since, and ``last`` is the last order that
    it executed.
    """

    entry: tuple | None = None
    past_entries: frozenset = frozenset()
    revision: int = 0
    pending: frozenset = frozenset()
    holders: tuple = (Holder(),) * PROCESSES
    used_numbers: frozenset = frozenset()
    orders: frozenset = frozenset()
    sent: int = 0
    start: int = 1
    highest: int = 0
    count: int = 0
    last: Order | None = None
    violated: str = ""


class DutySpec:
    """One duty key in the store, two processes, and one worker that receives orders."""

    def __init__(self, rules: frozenset = DUTY_RULES, bounds: Bounds | None = None):
        self.rules = rules
        self.bounds = bounds or Bounds()

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
        names = (
            "no_running_lease_is_taken",
            "one_process_per_number",
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
        """Return every successor state with its label."""
        if state.violated:
            return []
        successors = []
        if state.entry is not None:
            successors.append(("lapse", state._replace(entry=None)))
        if state.start <= self.bounds.restarts:
            fresh = {"start": state.start + 1, "highest": 0, "count": 0}
            successors.append(("restart worker", state._replace(**fresh)))
        for attempt in sorted(state.pending):
            rest = state._replace(pending=state.pending - {attempt})
            successors.append((f"execute {attempt}", self._execute_take(rest, attempt)))
        for order in sorted(state.orders):
            rest = state._replace(orders=state.orders - {order})
            successors.append((f"deliver {order.serial}", self._deliver(rest, order)))
        for index, holder in enumerate(state.holders):
            successors += self._steps(state, index, holder)
        return successors

    def _steps(self, state: DutyState, index: int, holder: Holder) -> list:
        successors = []
        attempt = (index, holder.incarnation)
        room = state.revision + len(state.pending) < self.bounds.revisions
        if room and not holder.number and attempt not in state.pending:
            pending = state._replace(pending=state.pending | {attempt})
            successors.append((f"request {index}", pending))
        if not holder.number:
            for entry in sorted(state.past_entries):
                after = self._observe(state, index, holder, entry)
                successors.append((f"observe {index} {entry}", after))
        if holder.number and state.sent < self.bounds.orders:
            successors.append((f"order {index}", self._send(state, index, holder)))
        if holder.incarnation <= self.bounds.restarts:
            fresh = Holder(holder.incarnation + 1)
            successors.append((f"restart {index}", _with_holder(state, index, fresh)))
        return successors

    def _execute_take(self, state: DutyState, attempt: tuple) -> DutyState:
        if state.entry is not None:
            if "take_only_when_absent" in self.rules:
                return state
            return state._replace(violated="no_running_lease_is_taken")
        revision = state.revision + 1
        number = revision
        if "number_is_the_revision" not in self.rules:
            # One above the highest number that the receiver is known to have received.
            number = state.highest + 1
        entry = (number, *attempt)
        past_entries = state.past_entries | {entry}
        return state._replace(entry=entry, past_entries=past_entries, revision=revision)

    def _observe(
        self, state: DutyState, index: int, holder: Holder, entry: tuple
    ) -> DutyState:
        number, owner, incarnation = entry
        own = (owner, incarnation) == (index, holder.incarnation)
        if not own and "adopt_only_own_entries" in self.rules:
            return state
        if number in holder.refused and "never_adopt_refused_numbers" in self.rules:
            return state
        return _with_holder(state, index, holder._replace(number=number))

    def _send(self, state: DutyState, index: int, holder: Holder) -> DutyState:
        serial = state.sent + 1
        order = Order(serial, index, holder.number, state.count, state.start)
        used_numbers = state.used_numbers | {(holder.number, index)}
        after = state._replace(
            orders=state.orders | {order}, sent=serial, used_numbers=used_numbers
        )
        if holder.number in holder.refused:
            return after._replace(violated="no_refused_number_again")
        if (
            len({owner for number, owner in used_numbers if number == holder.number})
            > 1
        ):
            return after._replace(violated="one_process_per_number")
        return after

    def _deliver(self, state: DutyState, order: Order) -> DutyState:
        checks_start = "orders_carry_the_worker_start" in self.rules
        if checks_start and order.start != state.start:
            return state
        if order.number < state.highest:
            return self._refuse(state, order)
        after = state._replace(highest=max(state.highest, order.number))
        checks_count = "orders_carry_the_preceding_count" in self.rules
        if checks_count and order.count != state.count:
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
    """A process that may report the window, with the figures that it would send."""

    figures: int = 0
    step: str = "idle"


class UsageState(NamedTuple):
    """One window: its figures in the store, 0 if there are none, and the reports.

    ``reporting_ended`` is true once no holder reports the window any more.
    """

    stored: int = 0
    pending: frozenset = frozenset()
    reporters: tuple = (Reporter(),) * PROCESSES
    reports: frozenset = frozenset()
    reporting_ended: bool = False
    violated: str = ""


class UsageSpec:
    """One usage window and two processes whose counts differ."""

    def __init__(self, rules: frozenset = USAGE_RULES) -> None:
        self.rules = rules

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
        return Protocol(
            name="usage window",
            candidate=False,
            fields=UsageState._fields,
            initial=UsageState(),
            transitions=self.transitions,
            invariants={"one_figure_per_window": lambda d: len(d["reports"]) <= 1},
        )

    def transitions(self, state: UsageState) -> list:
        """Return every successor state with its label."""
        successors = []
        if not state.reporting_ended:
            successors.append(("end", state._replace(reporting_ended=True)))
        removable = (
            state.reporting_ended
            or "remove_only_when_reporting_has_ended" not in self.rules
        )
        if state.stored and removable:
            successors.append(("remove", state._replace(stored=0)))
        for figures in sorted(state.pending):
            rest = state._replace(pending=state.pending - {figures})
            may_store = not state.stored or "store_only_when_absent" not in self.rules
            after = rest._replace(stored=figures) if may_store else rest
            successors.append((f"execute {figures}", after))
        for index, reporter in enumerate(state.reporters):
            successors += self._steps(state, index, reporter)
        return successors

    def _steps(self, state: UsageState, index: int, reporter: Reporter) -> list:
        own = index + 1
        if reporter.step == "idle":
            pending = state._replace(pending=state.pending | {own})
            successors = [
                (f"store {own}", _with_reporter(pending, index, 0, "pending"))
            ]
            if "store_before_reporting" not in self.rules:
                ready = _with_reporter(state, index, own, "ready")
                successors.append((f"count {own}", ready))
            return successors
        if reporter.step == "pending" and state.stored:
            reports_stored = "report_the_stored_figures" in self.rules
            figures = state.stored if reports_stored else own
            return [(f"read {own}", _with_reporter(state, index, figures, "ready"))]
        # A holder sends no report once reporting has ended; its last report may arrive
        # even later.
        if reporter.step == "ready" and not state.reporting_ended:
            sent = _with_reporter(state, index, 0, "idle")
            reports = state.reports | {reporter.figures}
            return [(f"report {own}", sent._replace(reports=reports))]
        return []


def _with_reporter(
    state: UsageState, index: int, figures: int, step: str
) -> UsageState:
    reporters = list(state.reporters)
    reporters[index] = Reporter(figures, step)
    return state._replace(reporters=tuple(reporters))
