"""What follows a failed attempt, by what may have happened, and how many retries.

The rule behind every entry: once the first byte of a request that must not be repeated
may have left, it is never sent again and never called "not run".
"""

from enum import Enum

import msgspec

BUDGET_SHARE = 0.1
# Retries that are always allowed, so that a nearly idle instance can retry at all.
BUDGET_PER_SECOND = 3.0
BUDGET_SECONDS = 10.0
MAX_ATTEMPTS = 4
# Streams that may resume beyond the budget when an engine fails: the slots of one
# large engine. They are charged, so that further retries wait.
RESUME_DEBT = 64.0


class Stage(Enum):
    """How far an attempt had come when it failed.

    ``NOT_SENT``: no byte can have left. ``REFUSED``: the upstream answered that it
    does not take the request. ``SENT``: bytes may have left, no part of an answer was
    passed on. ``BEGUN``: a part of the answer was passed on to the caller.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    BEGUN = "begun"


class Action(Enum):
    """What the gateway does next; ``PASS_ON`` passes the upstream's refusal on."""

    RETRY = "retry"
    RESUME = "resume"
    REFUSE_NOT_RUN = "not_run"
    PASS_ON = "pass_on"
    OUTCOME_UNKNOWN = "outcome_unknown"


class RetryBudget:
    """Allows retries as a part of recent traffic, and a few per second in any case."""

    __slots__ = ("_level", "_filled_at")

    def __init__(self, now: float) -> None:
        """Start with one second's minimum.

        :param now: monotonic seconds.
        """
        self._level = BUDGET_PER_SECOND
        self._filled_at = now

    def note_request(self, now: float) -> None:
        """Count a new request, which earns a part of a retry."""
        self._fill(now)
        self._level += BUDGET_SHARE

    def take(self, now: float, debt: float = 0.0) -> bool:
        """Take one retry from the budget if there is one.

        :param debt: how far below zero the budget may go.
        """
        self._fill(now)
        if self._level < 1.0 - debt:
            return False
        self._level -= 1.0
        return True

    def _fill(self, now: float) -> None:
        """Add the minimum; what is above it fades over the budget's period."""
        passed = min(max(0.0, now - self._filled_at), BUDGET_SECONDS)
        self._filled_at = now
        if self._level > BUDGET_PER_SECOND:
            above = (self._level - BUDGET_PER_SECOND) * (1 - passed / BUDGET_SECONDS)
            self._level = BUDGET_PER_SECOND + above
        else:
            filled = self._level + passed * BUDGET_PER_SECOND
            self._level = min(BUDGET_PER_SECOND, filled)


class Attempts(msgspec.Struct, eq=False, kw_only=True):
    """The attempts of one request, and what may have come of them.

    ``may_have_run`` is set before the first byte of any attempt can leave and is taken
    back only where that attempt proves that none left.
    """

    idempotent: bool
    resumable: bool = False
    count: int = 0
    may_have_run: bool = False
    under_way: bool = False
    closed: bool = False

    def may_dispatch(self) -> bool:
        """Tell whether the request may be sent (again) now."""
        if self.closed or self.under_way:
            return False
        return self.idempotent or not self.may_have_run

    def begin(self) -> None:
        """Note that an attempt starts; call it before anything is sent.

        :raises ValueError: if it may not, which is an error of the caller.
        """
        if not self.may_dispatch():
            raise ValueError("a request that may have run must not be sent again")
        self.count += 1
        self.under_way = True

    def sending(self) -> None:
        """Note that the first byte may leave from now on."""
        self.may_have_run = True

    def succeed(self) -> None:
        """Note that the answer was passed on whole."""
        self.under_way = False
        self.closed = True

    def fail(self, stage: Stage, budget: RetryBudget, now: float) -> Action:
        """Decide what follows a failed attempt.

        :param stage: how far the attempt had come.
        :param budget: from which a retry or a resumption is taken.
        """
        self.under_way = False
        if stage is not Stage.NOT_SENT:
            self.may_have_run = True
        action = self._action(stage)
        if action in (Action.RETRY, Action.RESUME):
            debt = RESUME_DEBT if action is Action.RESUME else 0.0
            if self.count < MAX_ATTEMPTS and budget.take(now, debt):
                return action
            action = self._give_up(stage)
        self.closed = True
        return action

    def give_up(self) -> Action:
        """Decide the answer when no upstream can take the next attempt."""
        self.closed = True
        return self._give_up(Stage.NOT_SENT)

    def _action(self, stage: Stage) -> Action:
        if stage is Stage.BEGUN:
            # Continuing on another upstream runs the request again.
            may_resume = self.resumable and self.idempotent
            return Action.RESUME if may_resume else Action.OUTCOME_UNKNOWN
        if self.idempotent or not self.may_have_run:
            return Action.RETRY
        return self._give_up(stage)

    def _give_up(self, stage: Stage) -> Action:
        if stage is Stage.REFUSED:
            return Action.PASS_ON
        return Action.OUTCOME_UNKNOWN if self.may_have_run else Action.REFUSE_NOT_RUN
