"""Health of one upstream, from the answers that this process got from it."""

from camphorgate.requests.views import UpstreamView

FAILURES_UNTIL_SUSPECTED = 2
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8.0


class HealthRecord:
    """Moves an upstream between healthy, suspected and probing.

    A suspected upstream gets no work. Once a load poll succeeds after the backoff it
    may get one request; its outcome decides.
    """

    __slots__ = ("view", "retry_at", "_failures", "_failed_polls", "_backoff")

    def __init__(self, view: UpstreamView) -> None:
        """Start healthy."""
        self.view = view
        self.retry_at = 0.0
        self._failures = 0
        self._failed_polls = 0
        self._backoff = FIRST_BACKOFF_SECONDS

    def succeeded(self) -> None:
        """Take a whole answer of a request."""
        self._failures = 0
        self._backoff = FIRST_BACKOFF_SECONDS
        self.view.health = "healthy"

    def failed(self, now: float, refused: bool, poll: bool = False) -> None:
        """Take a broken, late or refused request or poll.

        Polls and requests count apart, as an upstream that answers polls may still
        be silent to requests.

        :param refused: no connection could be made, which needs no second proof.
        """
        if poll:
            self._failed_polls += 1
        else:
            self._failures += 1
        count = self._failed_polls if poll else self._failures
        probing = self.view.health == "probing"
        if not (refused or probing or count >= FAILURES_UNTIL_SUSPECTED):
            return
        if self.view.health != "suspected":
            self.view.health = "suspected"
            self.retry_at = now + self._backoff
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)

    def polled(self, now: float) -> None:
        """Take a successful load poll, which permits one request as a probe."""
        self._failed_polls = 0
        if self.view.health == "suspected" and now >= self.retry_at:
            self.view.health = "probing"
