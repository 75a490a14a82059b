"""Send attempts of one request, and what each of them takes from the retry budget.

The users count each arrival of a request at an upstream beyond its first; only a first
call that had the prompt read is left out. Where engines refuse most requests, each
refused prefill call is such an arrival, although it read nothing. This module therefore
knows the sends of both phases. What each of them takes from the budget:

===============================================  =====================================
first send of a request, of either phase         nothing
first prefill call that had the prompt read      nothing, nor does the answer after it
first prefill call that was refused or failed    nothing, but each later send takes 1
prefill call after that, also for a lost handle  1, and 1 for the answer after it
answer after a refusal or failure                1
resumption of a stream                           1
send that repeats one on a stale connection      1; the bytes may have arrived
trial of a blocked request                       nothing; it is the request's first send
attempt that failed before its first byte        nothing; its grant covers the next one
===============================================  =====================================
"""

from camphorgate.serving.catalog import Stage


class SendAttempts:
    """Tracks the sends of one request and whether any of them may have run.

    A request that is not repeatable is sent again only while none of its sends may have
    run, and only then may the caller be told that it did not run. Nothing is sent
    without a grant: the first one is free, all others come from the retry budget.
    """

    __slots__ = (
        "sends",
        "prefills",
        "may_have_run",
        "_free",
        "_granted_at",
        "_repeatable",
        "_possible_runs",
        "_max_runs",
    )

    def __init__(self, repeatable: bool, max_runs: int) -> None:
        """Initialize the state of a request that was not sent yet.

        :param repeatable: whether the request may run more than once.
        :param max_runs: maximum number of upstreams that may run it; at least 1.
        """
        # Sends that ask for the answer, and prefill calls.
        self.sends = 0
        self.prefills = 0
        self.may_have_run = False
        # Whether the next send takes nothing from the budget.
        self._free = True
        # When the budget granted each send that has not happened yet.
        self._granted_at: list[float] = []
        self._repeatable = repeatable
        self._possible_runs = 0
        self._max_runs = max(1, max_runs)

    @property
    def retry_granted(self) -> bool:
        """Return whether the next send is free or covered by the retry budget."""
        return self._free or bool(self._granted_at)

    def grants_needed(self, prefill: bool = False) -> int:
        """Return how many sends the budget has to grant before the next one.

        :param prefill: whether the next send is a prefill call, which is useless
            without the answer after it.
        """
        wanted = 2 if prefill and (self.sends or self.prefills) else 1
        return max(0, wanted - self._free - len(self._granted_at))

    def add_grants(self, count: int, now: float) -> None:
        """Add sends that the budget granted."""
        self._granted_at += [now] * count

    def take_unused_grants(self) -> list[float]:
        """Remove the grants of sends that did not happen; return when they were made.

        They go back to the budget when the request has ended.
        """
        unused, self._granted_at = self._granted_at, []
        return unused

    def may_send(self) -> bool:
        """Return whether the request may be sent now, for the first time or again."""
        if self.may_have_run and not self._repeatable:
            return False
        return self._possible_runs < self._max_runs

    def record_send(self) -> None:
        """Record a send; call this before the first byte is written.

        :raises ValueError: if the request must not be sent.
        """
        if not self.may_send():
            raise ValueError("a request that may have run must not be sent again")
        self._use_grant()
        self.sends += 1
        self._possible_runs += 1

    def record_prefill(self) -> None:
        """Record a prefill call; call this before the first byte is written.

        :raises ValueError: if the retry budget does not cover it.
        """
        self._use_grant()
        self.prefills += 1

    def record_prefill_read(self) -> None:
        """Record that the last prefill call had the prompt read.

        If it was the first send of the request, the users do not count it.
        """
        if self.prefills == 1 and not self.sends:
            self._free = True

    def record_failure(self, stage: Stage) -> None:
        """Record the stage at which the last send failed."""
        if stage is Stage.REFUSED:
            self._possible_runs -= 1
        elif stage is not Stage.NOT_SENT:
            self.may_have_run = True

    def record_execution(self) -> None:
        """Record that an upstream answered the last send itself."""
        self.may_have_run = True

    def _use_grant(self) -> None:
        if self._free:
            self._free = False
        elif self._granted_at:
            self._granted_at.pop(0)
        else:
            raise ValueError("the retry budget does not cover this send")
