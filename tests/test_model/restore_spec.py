"""Specifications of a restored store, and of a duty whose fencing nobody checks.

The store comes back from an older copy at most once; it then lacks the duty key or the
frozen window, and issues revisions again. Processes may pause between any two steps.
Time passes in steps; the clocks of the processes run at the rate of the store's.
"""

from typing import NamedTuple

from minicheck import Protocol

PROCESSES = 2
# In steps of time.
LEASE = 3
MARGIN = 1
CALL_TIMEOUT = 2
# How often the duty is taken in an era.
REVISIONS = 3
# Revisions of an era, in place of 2**40.
ERA = 10

UNFENCED_RULES = frozenset(
    {
        "numbers_contain_the_era",
        "wait_for_a_lease_after_a_restore",
        "calls_end_with_the_lease",
        "hand_over_when_calls_were_answered",
        "calls_carry_the_present_number",
    }
)
RESTORED_USAGE_RULES = frozenset(
    {
        "known_figures_are_written_again",
        "no_new_figures_after_a_restore",
    }
)


class Call(NamedTuple):
    """A call under way: its fencing number, and the last time at which it arrives."""

    number: int
    sender: int
    ends_at: int


class UnfencedHolder(NamedTuple):
    """A process; ``number`` is 0 without the duty.

    ``decided`` is the number of a call that was decided and is not sent yet. ``era`` is
    the newest known, since ``known_at``.
    """

    number: int = 0
    deadline: int = 0
    decided: int = 0
    era: int = 0
    known_at: int = 0


class UnfencedState(NamedTuple):
    """``entry`` is (process, time at which its lease may end) or ``None``."""

    now: int = 0
    era: int = 0
    revision: int = 0
    entry: tuple | None = None
    holders: tuple = (UnfencedHolder(),) * PROCESSES
    calls: frozenset = frozenset()
    sent: int = 0
    highest: int = 0
    users: frozenset = frozenset()
    violated: str = ""


class UnfencedDutySpec:
    """A duty key in the store, two processes, and a platform that takes all calls."""

    def __init__(
        self, rules: frozenset = UNFENCED_RULES, end: int = 5, calls: int = 2
    ) -> None:
        self.rules = rules
        self.end = end
        self.calls = calls

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
        names = ("no_lower_number", "one_process_per_number")
        return Protocol(
            name="unfenced duty",
            candidate=False,
            fields=UnfencedState._fields,
            initial=UnfencedState(),
            transitions=self.transitions,
            invariants={
                name: lambda d, name=name: d["violated"] != name for name in names
            },
        )

    def transitions(self, state: UnfencedState) -> list:
        """Return every successor state with its label."""
        if state.violated:
            return []
        successors = []
        if state.now < self.end:
            # A call whose time is over is never delivered.
            kept = frozenset(c for c in state.calls if c.ends_at > state.now)
            later = state._replace(now=state.now + 1, calls=kept)
            successors.append(("time", later))
        if state.entry is not None and state.now >= state.entry[1]:
            successors.append(("lapse", state._replace(entry=None)))
        if not state.era and state.revision:
            restored = state._replace(era=1, revision=0, entry=None)
            successors.append(("restore", restored))
        for call in sorted(state.calls):
            rest = state._replace(calls=state.calls - {call})
            successors.append((f"deliver {call.number}", self._deliver(rest, call)))
        for index, holder in enumerate(state.holders):
            successors += self._steps(state, index, holder)
        return successors

    def _steps(self, state: UnfencedState, index: int, holder: UnfencedHolder) -> list:
        successors = []
        if holder.era < state.era:
            noticed = UnfencedHolder(
                decided=holder.decided, era=state.era, known_at=state.now
            )
            successors.append((f"notice {index}", _with(state, index, noticed)))
        elif (
            state.entry is None and not holder.number and self._may_take(state, holder)
        ):
            successors.append((f"take {index}", self._take(state, index, holder)))
        if holder.era and state.now >= holder.known_at + LEASE:
            # The time at which the restore was noticed does not matter any more.
            holder = holder._replace(known_at=-LEASE)
            state = _with(state, index, holder)
        acts = holder.number and state.now < holder.deadline
        if holder.number and not acts:
            lost = holder._replace(number=0, deadline=0)
            successors.append((f"lose {index}", _with(state, index, lost)))
        if acts and state.sent < self.calls:
            decided = holder._replace(decided=holder.number)
            if not holder.decided:
                successors.append((f"decide {index}", _with(state, index, decided)))
            elif holder.decided == holder.number or (
                "calls_carry_the_present_number" not in self.rules
            ):
                successors.append((f"send {index}", self._send(state, index, holder)))
        if acts and state.entry is not None and state.entry[0] == index:
            open_calls = any(call.sender == index for call in state.calls)
            if not open_calls or "hand_over_when_calls_were_answered" not in self.rules:
                left = _with(state, index, UnfencedHolder(era=holder.era))
                successors.append((f"leave {index}", left._replace(entry=None)))
        return successors

    def _may_take(self, state: UnfencedState, holder: UnfencedHolder) -> bool:
        if state.revision == REVISIONS:
            return False
        if not holder.era or "wait_for_a_lease_after_a_restore" not in self.rules:
            return True
        return state.now >= holder.known_at + LEASE

    def _take(
        self, state: UnfencedState, index: int, holder: UnfencedHolder
    ) -> UnfencedState:
        revision = state.revision + 1
        number = revision
        if "numbers_contain_the_era" in self.rules:
            number += state.era * ERA
        taken = holder._replace(number=number, deadline=state.now + LEASE - MARGIN)
        after = _with(state, index, taken)
        return after._replace(revision=revision, entry=(index, state.now + LEASE))

    def _send(
        self, state: UnfencedState, index: int, holder: UnfencedHolder
    ) -> UnfencedState:
        ends_at = state.now + CALL_TIMEOUT
        if "calls_end_with_the_lease" in self.rules:
            ends_at = min(ends_at, holder.deadline)
        call = Call(holder.decided, index, ends_at)
        users = state.users | {(call.number, index)}
        after = _with(state, index, holder._replace(decided=0))
        after = after._replace(
            calls=state.calls | {call}, sent=state.sent + 1, users=users
        )
        if len({user for number, user in users if number == call.number}) > 1:
            return after._replace(violated="one_process_per_number")
        return after

    @staticmethod
    def _deliver(state: UnfencedState, call: Call) -> UnfencedState:
        if call.number < state.highest:
            return state._replace(violated="no_lower_number")
        return state._replace(highest=call.number)


def _with(state: UnfencedState, index: int, holder: UnfencedHolder) -> UnfencedState:
    holders = list(state.holders)
    holders[index] = holder
    return state._replace(holders=tuple(holders))


class RestoredReporter(NamedTuple):
    """A process: the figures that it knows of the window, 0 if none, and those to send.

    ``knows_restore`` tells whether it has noticed the restore.
    """

    known: int = 0
    figures: int = 0
    knows_restore: bool = False


class RestoredUsageState(NamedTuple):
    """One window that was due before the restore.

    ``news`` are figures under way to a process. A write that is under way when the
    store is restored has no effect: its answer is not believed.
    """

    stored: int = 0
    restored: bool = False
    reporters: tuple = (RestoredReporter(),) * 3
    news: frozenset = frozenset()
    reports: frozenset = frozenset()


class RestoredUsageSpec:
    """A usage window, and three processes whose counts differ, one after the other."""

    def __init__(self, rules: frozenset = RESTORED_USAGE_RULES) -> None:
        self.rules = rules

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
        return Protocol(
            name="usage window of a restored store",
            candidate=False,
            fields=RestoredUsageState._fields,
            initial=RestoredUsageState(),
            transitions=self.transitions,
            invariants={"one_figure_per_window": lambda d: len(d["reports"]) <= 1},
        )

    def transitions(self, state: RestoredUsageState) -> list:
        """Return every successor state with its label."""
        successors = []
        if not state.restored:
            successors.append(("restore", state._replace(stored=0, restored=True)))
        for figures, index in sorted(state.news):
            rest = state._replace(news=state.news - {(figures, index)})
            reporter = rest.reporters[index]
            kept = reporter.known
            known = reporter.known if kept else figures
            after = _with_known(rest, index, reporter._replace(known=known))
            successors.append((f"tell {index} {figures}", after))
            successors.append((f"drop {index} {figures}", rest))
        for index, reporter in enumerate(state.reporters):
            successors += self._steps(state, index, reporter)
        return successors

    def _steps(
        self, state: RestoredUsageState, index: int, reporter: RestoredReporter
    ) -> list:
        if state.restored and not reporter.knows_restore:
            # Any call to the store shows the restore; what was decided is dropped.
            noticed = reporter._replace(figures=0, knows_restore=True)
            successors = [(f"notice {index}", _with_known(state, index, noticed))]
            if reporter.figures:
                reports = state.reports | {reporter.figures}
                successors.append((f"late {index}", state._replace(reports=reports)))
            return successors
        if reporter.figures:
            sent = _with_known(state, index, reporter._replace(figures=0))
            reports = state.reports | {reporter.figures}
            return [(f"report {index}", sent._replace(reports=reports))]
        figures = state.stored or self._new_figures(state, index, reporter)
        if not figures:
            return []
        kept = reporter.known
        ready = reporter._replace(
            known=reporter.known if kept else figures, figures=figures
        )
        after = _with_known(state, index, ready)._replace(stored=figures)
        others = {(figures, other) for other in range(3) if other != index}
        if not state.stored:
            after = after._replace(news=after.news | others)
        return [(f"freeze {index} {figures}", after)]

    def _new_figures(
        self, state: RestoredUsageState, index: int, reporter: RestoredReporter
    ) -> int:
        if reporter.known and "known_figures_are_written_again" in self.rules:
            return reporter.known
        may_be_new = "no_new_figures_after_a_restore" not in self.rules
        if state.restored and not reporter.known and not may_be_new:
            return 0
        return index + 1


def _with_known(
    state: RestoredUsageState, index: int, reporter: RestoredReporter
) -> RestoredUsageState:
    reporters = list(state.reporters)
    reporters[index] = reporter
    return state._replace(reporters=tuple(reporters))
