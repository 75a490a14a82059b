"""Specifications of a restored store, and of a duty whose fencing nobody checks.

The store comes back from an older copy at most once; it then lacks the duty key or the
frozen window, and issues revisions again. Processes may pause between any two steps,
and instances may be killed and start again without anything that they knew. Time passes
in steps; the clocks of the processes run at the rate of the store's.
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
# Rules on turns, each with what it says an instance has to wait for.
TURN_RULES = frozenset(
    {
        "rest_after_a_loss",
        "rest_after_a_start",
        "a_restored_store_is_no_evidence",
    }
)
# In place of the rest after a start: rest only if another instance holds the duty then.
REST_BESIDE_ANOTHER_HOLDER = "rest_after_a_start_beside_another_holder"
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
    the newest known, since ``known_at``. The duty is not taken before ``rest_until``.
    """

    number: int = 0
    deadline: int = 0
    decided: int = 0
    era: int = 0
    known_at: int = 0
    rest_until: int = 0


class UnfencedState(NamedTuple):
    """``entry`` is (process, time at which its lease may end) or ``None``.

    ``turns`` are the (process, time) of the calls received within the last lease, of
    several in a row by one process only the last.
    """

    now: int = 0
    era: int = 0
    revision: int = 0
    entry: tuple | None = None
    holders: tuple = (UnfencedHolder(),) * PROCESSES
    calls: frozenset = frozenset()
    sent: int = 0
    highest: int = 0
    users: frozenset = frozenset()
    turns: tuple = ()
    restarts: int = 0
    violated: str = ""


class UnfencedDutySpec:
    """A duty key in the store, some processes, and a platform that takes all calls.

    :param calls: how many calls are sent in all.
    :param restarts: how many times a process is killed and starts again.
    :param processes: number of instances.
    :param restores: whether the store may come back from an older copy.
    """

    def __init__(
        self,
        rules: frozenset = UNFENCED_RULES | TURN_RULES,
        end: int = 5,
        calls: int = 2,
        restarts: int = 0,
        processes: int = PROCESSES,
        restores: bool = True,
    ) -> None:
        self.rules = rules
        self.end = end
        self.calls = calls
        self.restarts = restarts
        self.processes = processes
        self.restores = restores

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
        names = ("no_lower_number", "one_process_per_number", "no_alternation")
        holders = (UnfencedHolder(),) * self.processes
        return Protocol(
            name="unfenced duty",
            candidate=False,
            fields=UnfencedState._fields,
            initial=UnfencedState(holders=holders),
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
            now = state.now + 1
            turns = tuple(turn for turn in state.turns if now - turn[1] < LEASE)
            # What has passed does not matter any more.
            holders = tuple(
                holder._replace(
                    rest_until=holder.rest_until if holder.rest_until > now else 0,
                    deadline=holder.deadline if holder.number else 0,
                )
                for holder in state.holders
            )
            later = state._replace(now=now, calls=kept, turns=turns, holders=holders)
            successors.append(("time", later))
        if state.entry is not None and state.now >= state.entry[1]:
            successors.append(("lapse", state._replace(entry=None)))
        if self.restores and not state.era and state.revision:
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
                decided=holder.decided,
                era=state.era,
                known_at=state.now,
                rest_until=self._rest(state, "rest_after_a_loss")
                if holder.number
                else holder.rest_until,
            )
            successors.append((f"notice {index}", _with(state, index, noticed)))
        elif state.entry is None and not holder.number and self._may_take(state, index):
            successors.append((f"take {index}", self._take(state, index, holder)))
        if holder.era and state.now >= holder.known_at + LEASE:
            # The time at which the restore was noticed does not matter any more.
            holder = holder._replace(known_at=-LEASE)
            state = _with(state, index, holder)
        if state.restarts < self.restarts:
            successors.append((f"restart {index}", self._restart(state, index)))
        acts = holder.number and state.now < holder.deadline
        if holder.number and not acts:
            rest_until = self._rest(state, "rest_after_a_loss")
            lost = holder._replace(number=0, deadline=0, rest_until=rest_until)
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
                rest_until = self._rest(state, "rest_after_a_loss")
                left = UnfencedHolder(era=holder.era, rest_until=rest_until)
                left = _with(state, index, left)
                successors.append((f"leave {index}", left._replace(entry=None)))
        return successors

    def _may_take(self, state: UnfencedState, index: int) -> bool:
        holder = state.holders[index]
        if state.revision == REVISIONS or state.now < holder.rest_until:
            return False
        # All processes are alike, so the one that takes the duty first is the first.
        if not state.revision and not state.era and index:
            return False
        if not holder.era or "wait_for_a_lease_after_a_restore" not in self.rules:
            return True
        return state.now >= holder.known_at + LEASE

    def _rest(self, state: UnfencedState, rule: str) -> int:
        """Return until when an instance leaves the duty to others."""
        return state.now + CALL_TIMEOUT + LEASE if rule in self.rules else 0

    def _restart(self, state: UnfencedState, index: int) -> UnfencedState:
        """Kill a process; the new one knows nothing of it."""
        rest_until = self._rest(state, "rest_after_a_start")
        if state.entry is not None and state.entry[0] != index:
            beside_another = self._rest(state, REST_BESIDE_ANOTHER_HOLDER)
            rest_until = max(rest_until, beside_another)
        if self._key_is_missing(state):
            rest_until = 0
        after = _with(state, index, UnfencedHolder(rest_until=rest_until))
        return after._replace(restarts=state.restarts + 1)

    def _key_is_missing(self, state: UnfencedState) -> bool:
        """Return whether the store shows that nobody has ever taken the duty.

        The key that tells so is written with each take, and a restore loses it.
        """
        if state.era and "a_restored_store_is_no_evidence" in self.rules:
            return False
        return not state.revision

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
        users = state.users | {(call.number, index)} if self.restores else state.users
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
        turns = state.turns
        if turns and turns[-1][0] == call.sender:
            turns = turns[:-1]
        elif any(sender == call.sender for sender, _ in turns):
            return state._replace(violated="no_alternation")
        turns = (*turns, (call.sender, state.now))
        return state._replace(highest=call.number, turns=turns)


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
