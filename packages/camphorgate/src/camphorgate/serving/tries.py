"""How often a request may be sent, and what may be said of it in the end."""

from camphorgate.serving.catalog import Stage


class Tries:
    """The sends of one request, and whether any of them may have run.

    A request that must not be repeated is sent again only while no send of it may have
    run. "Not run" may be said only then, too. ``granted`` tells whether the next send
    has its place in the budget of repeats; the first send needs none.
    """

    __slots__ = (
        "sends",
        "may_have_run",
        "granted",
        "_repeatable",
        "_possible_runs",
        "_most_runs",
    )

    def __init__(self, repeatable: bool, most_runs: int) -> None:
        """Start unsent.

        :param repeatable: whether the request may run more than once.
        :param most_runs: bound on the upstreams that may run it, at least 1.
        """
        self.sends = 0
        self.may_have_run = False
        self.granted = True
        self._repeatable = repeatable
        self._possible_runs = 0
        self._most_runs = max(1, most_runs)

    def may_send(self) -> bool:
        """Tell whether the request may be sent (again)."""
        if self.may_have_run and not self._repeatable:
            return False
        return self._possible_runs < self._most_runs

    def sending(self) -> None:
        """Note that the first byte may leave from now on.

        :raises ValueError: if the request must not be sent.
        """
        if not self.may_send():
            raise ValueError("a request that may have run must not be sent again")
        self.sends += 1
        self.granted = False
        self._possible_runs += 1

    def failed(self, stage: Stage) -> None:
        """Note how far the last send had come when it failed."""
        if stage is Stage.REFUSED:
            self._possible_runs -= 1
        elif stage is not Stage.NOT_SENT:
            self.may_have_run = True

    def ran(self) -> None:
        """Note that an upstream answered the last send itself."""
        self.may_have_run = True
