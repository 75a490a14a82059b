"""Retry policy: the action after a failed attempt, and the retry budget.

Invariant: once the first byte of a non-idempotent request may have been sent, the
request is never sent again and never reported as "not run".
"""

from enum import Enum

import msgspec

# Share of a retry that each new request adds to the budget.
RETRIES_PER_REQUEST = 0.1
# Retries that are always allowed, so that a nearly idle instance can retry at all.
MIN_RETRIES_PER_SECOND = 3.0
# Time over which the budget above the minimum fades.
BUDGET_DECAY_SECONDS = 10.0
MAX_ATTEMPTS = 4
# Streams that may resume beyond the budget when an engine fails: the slots of one large
# engine. They are charged to the budget, so further retries have to wait.
MAX_RESUME_DEBT_RETRIES = 64.0


class Stage(Enum):
    """The progress of an attempt when it failed.

    ``NOT_SENT``: no byte can have been sent. ``REFUSED``: the upstream answered that it
    does not accept the request. ``SENT``: bytes may have been sent, but no part of an
    answer was forwarded. ``BEGUN``: part of the answer was forwarded to the caller.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    BEGUN = "begun"


class Action(Enum):
    """The gateway's next step; ``PASS_ON`` forwards the upstream's refusal."""

    RETRY = "retry"
    RESUME = "resume"
    REFUSE_NOT_RUN = "not_run"
    PASS_ON = "pass_on"
    OUTCOME_UNKNOWN = "outcome_unknown"


class RetryBudget:
    """Limits retries to a fraction of recent traffic plus a few per second."""

    __slots__ = ("_level", "_refilled_at")

    def __init__(self, now: float) -> None:
        """Start with the minimum of one second.

        :param now: monotonic seconds.
        """
        self._level = MIN_RETRIES_PER_SECOND
        self._refilled_at = now

    def record_request(self, now: float) -> None:
        """Count a new request, which adds a fraction of a retry."""
        self._refill(now)
        self._level += RETRIES_PER_REQUEST

    def take(self, now: float, debt: float = 0.0) -> bool:
        """Take one retry from the budget, and return whether that was possible.

        :param debt: how far below zero the level may fall.
        """
        self._refill(now)
        if self._level < 1.0 - debt:
            return False
        self._level -= 1.0
        return True

    def _refill(self, now: float) -> None:
        """Refill up to the minimum, and decay what exceeds it."""
        elapsed = min(max(0.0, now - self._refilled_at), BUDGET_DECAY_SECONDS)
        self._refilled_at = now
        if self._level > MIN_RETRIES_PER_SECOND:
            excess = (self._level - MIN_RETRIES_PER_SECOND) * (
                1 - elapsed / BUDGET_DECAY_SECONDS
            )
            self._level = MIN_RETRIES_PER_SECOND + excess
        else:
            filled = self._level + elapsed * MIN_RETRIES_PER_SECOND
            self._level = min(MIN_RETRIES_PER_SECOND, filled)


class Attempts(msgspec.Struct, eq=False, kw_only=True):
    """The attempts of one request, and whether any of them may have run.

    ``may_have_run`` is set before the first byte of an attempt can be sent, and is
    never reset.
    """

    idempotent: bool
    resumable: bool = False
    count: int = 0
    may_have_run: bool = False
    in_progress: bool = False
    closed: bool = False

    def may_dispatch(self) -> bool:
        """Return whether the request may be sent now, for the first time or again."""
        if self.closed or self.in_progress:
            return False
        return self.idempotent or not self.may_have_run

    def begin(self) -> None:
        """Start an attempt; must be called before anything is sent.

        :raises ValueError: if :meth:`may_dispatch` is false, a bug in the caller.
        """
        if not self.may_dispatch():
            raise ValueError("a request that may have run must not be sent again")
        self.count += 1
        self.in_progress = True

    def record_send(self) -> None:
        """Record that bytes may be sent from now on."""
        self.may_have_run = True

    def succeed(self) -> None:
        """Record that the complete answer was forwarded."""
        self.in_progress = False
        self.closed = True

    def fail(self, stage: Stage, budget: RetryBudget, now: float) -> Action:
        """Return the action after a failed attempt.

        :param stage: the progress of the attempt.
        :param budget: is charged for a retry or a resumption.
        """
        self.in_progress = False
        if stage is not Stage.NOT_SENT:
            self.may_have_run = True
        action = self._next_action(stage)
        if action in (Action.RETRY, Action.RESUME):
            debt = MAX_RESUME_DEBT_RETRIES if action is Action.RESUME else 0.0
            if self.count < MAX_ATTEMPTS and budget.take(now, debt):
                return action
            action = self._final_action(stage)
        self.closed = True
        return action

    def give_up(self) -> Action:
        """Return the final action when no upstream can take the next attempt."""
        self.closed = True
        return self._final_action(Stage.NOT_SENT)

    def _next_action(self, stage: Stage) -> Action:
        if stage is Stage.BEGUN:
            # Resuming on another upstream runs the request again.
            may_resume = self.resumable and self.idempotent
            return Action.RESUME if may_resume else Action.OUTCOME_UNKNOWN
        if self.idempotent or not self.may_have_run:
            return Action.RETRY
        return self._final_action(stage)

    def _final_action(self, stage: Stage) -> Action:
        if stage is Stage.REFUSED:
            return Action.PASS_ON
        return Action.OUTCOME_UNKNOWN if self.may_have_run else Action.REFUSE_NOT_RUN
