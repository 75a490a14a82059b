"""Send attempts of one request and whether it may be sent again."""

from camphorgate.serving.catalog import Stage


class SendAttempts:
    """Tracks the sends of one request and whether any of them may have run.

    A request that is not repeatable is sent again only while none of its sends may have
    run, and only then may the caller be told that it did not run. ``retry_granted``
    tells whether the retry budget covers the next send; the first send needs no retry
    budget.
    """

    __slots__ = (
        "sends",
        "may_have_run",
        "retry_granted",
        "_repeatable",
        "_possible_runs",
        "_max_runs",
    )

    def __init__(self, repeatable: bool, max_runs: int) -> None:
        """Initialize the state of a request that was not sent yet.

        :param repeatable: whether the request may run more than once.
        :param max_runs: maximum number of upstreams that may run it; at least 1.
        """
        self.sends = 0
        self.may_have_run = False
        self.retry_granted = True
        self._repeatable = repeatable
        self._possible_runs = 0
        self._max_runs = max(1, max_runs)

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
        self.sends += 1
        self.retry_granted = False
        self._possible_runs += 1

    def record_failure(self, stage: Stage) -> None:
        """Record the stage at which the last send failed."""
        if stage is Stage.REFUSED:
            self._possible_runs -= 1
        elif stage is not Stage.NOT_SENT:
            self.may_have_run = True

    def record_execution(self) -> None:
        """Record that an upstream answered the last send itself."""
        self.may_have_run = True
