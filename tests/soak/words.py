"""What workers said of themselves in a soak, and who sent to them nevertheless."""

import time
from collections import defaultdict

# A request sent later than this after its instance passed the word on must not arrive
# (``drain-ms`` of the users' small sites).
DRAIN_SECONDS = 2.0
# From so long after a 503 with ``Retry-After``, at most so many requests may arrive.
SETTLED_SECONDS = 0.5
MOST_ARRIVALS = 2
# What a test of the machine's own scheduling needs beside the bounds.
SLACK_SECONDS = 0.1


class Words:
    """The starts of the workers, and when instances were disturbed."""

    __slots__ = ("born_by_worker", "starts_by_worker", "_disturbed_by_entry")

    def __init__(self) -> None:
        """Begin with the first start of every worker."""
        self.born_by_worker: dict[str, int] = defaultdict(lambda: 1000)
        # Times at which a worker that had left started anew, seconds since 1970.
        self.starts_by_worker: dict[str, list[float]] = defaultdict(list)
        self._disturbed_by_entry: dict[str, list[float]] = defaultdict(list)

    def start(self, worker_id: str) -> None:
        """Note that a worker starts anew."""
        self.born_by_worker[worker_id] += 1
        self.starts_by_worker[worker_id].append(time.time())

    def disturb(self, entry: str) -> None:
        """Note that an instance is killed, stopped, or goes on after a pause."""
        self._disturbed_by_entry[entry].append(time.time())

    def find_late(self, asked, reports_by_worker: dict[str, dict]) -> list[str]:
        """Return the requests that reached a worker against its word, a line each.

        :param reports_by_worker: what each worker says of its runs, arrivals, pauses.
        """
        by_attempt = {item.attempt: item for item in asked}
        found = []
        for worker_id, report in reports_by_worker.items():
            arrivals = [
                (at, by_attempt[attempt])
                for at, attempt in report["arrivals"]
                if attempt in by_attempt
            ]
            found += self._after_leaving(worker_id, arrivals, asked)
            for at, attempt, seconds in report["pauses"]:
                if attempt in by_attempt:
                    entry = by_attempt[attempt].entry
                    found += self._in_pause(
                        worker_id, arrivals, entry, at, float(seconds)
                    )
        return found

    def _after_leaving(self, worker_id, arrivals, asked) -> list[str]:
        found = []
        for said in asked:
            if said.left_worker != worker_id:
                continue
            until = min(
                (
                    at
                    for at in self.starts_by_worker[worker_id]
                    if at > said.answered_at
                ),
                default=float("inf"),
            )
            for at, item in arrivals:
                late = item.began_at > said.answered_at + DRAIN_SECONDS + SLACK_SECONDS
                if item.entry != said.entry or not late or at >= until:
                    continue
                if not self._excused(item.entry, said.answered_at, at):
                    found.append(
                        f"{item.attempt} reached {worker_id}, which had left by "
                        f"the answer to {said.attempt}"
                    )
        return found

    def _in_pause(self, worker_id, arrivals, entry, at, seconds) -> list[str]:
        began, end = at + SETTLED_SECONDS, at + seconds - SLACK_SECONDS
        # A pause ends with the start of the worker that asked for it.
        end = min(
            [end, *(start for start in self.starts_by_worker[worker_id] if start > at)]
        )
        late = [
            item.attempt
            for arrived_at, item in arrivals
            if item.entry == entry and began <= arrived_at < end
        ]
        if len(late) <= MOST_ARRIVALS or self._excused(entry, at, end):
            return []
        return [f"{worker_id} paused and got {late} from {entry}"]

    def _excused(self, entry: str, first: float, last: float) -> bool:
        return any(first <= at <= last for at in self._disturbed_by_entry[entry])
