"""Checks that no instance sends to a worker that announced leaving or a pause."""

import time
from collections import defaultdict

# A request that is sent later than this after its instance passed on the leaving notice
# must not reach the worker (``drain-ms`` of the users' small sites).
DRAIN_SECONDS = 2.0
# At most ``MAX_ARRIVALS_IN_PAUSE`` requests may arrive later than this after a 503 with
# ``Retry-After``.
PAUSE_GRACE_SECONDS = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
# Added to the bounds, because the machine's scheduler delays the processes of a test.
SCHEDULING_TOLERANCE_SECONDS = 0.1


class WorkerNotices:
    """Records when workers restarted and when instances were disrupted.

    A disrupted instance may forget a notice, so requests around that time are allowed.
    """

    __slots__ = (
        "incarnation_by_worker",
        "restarts_by_worker",
        "_disruptions_by_instance",
    )

    def __init__(self) -> None:
        """Start with the first incarnation of every worker."""
        self.incarnation_by_worker: dict[str, int] = defaultdict(lambda: 1000)
        # When workers restarted after leaving, in seconds since 1970.
        self.restarts_by_worker: dict[str, list[float]] = defaultdict(list)
        self._disruptions_by_instance: dict[str, list[float]] = defaultdict(list)

    def record_restart(self, worker_id: str) -> None:
        """Record that a worker restarts."""
        self.incarnation_by_worker[worker_id] += 1
        self.restarts_by_worker[worker_id].append(time.time())

    def record_disruption(self, instance: str) -> None:
        """Record that an instance is killed, stopped, paused or resumed."""
        self._disruptions_by_instance[instance].append(time.time())

    def find_ignored_notices(
        self, requests, reports_by_worker: dict[str, dict]
    ) -> list[str]:
        """Describe the requests that reached a worker in spite of its notice.

        :param reports_by_worker: runs, arrivals and pauses that each worker recorded.
        """
        by_attempt = {item.attempt: item for item in requests}
        violations = []
        for worker_id, report in reports_by_worker.items():
            arrivals = [
                (at, by_attempt[attempt])
                for at, attempt in report["arrivals"]
                if attempt in by_attempt
            ]
            violations += self._find_after_leaving(worker_id, arrivals, requests)
            for at, attempt, seconds in report["pauses"]:
                if attempt in by_attempt:
                    instance = by_attempt[attempt].instance
                    violations += self._find_during_pause(
                        worker_id, arrivals, instance, at, float(seconds)
                    )
        return violations

    def _find_after_leaving(self, worker_id, arrivals, requests) -> list[str]:
        violations = []
        for leaving in requests:
            if leaving.leaving_worker != worker_id:
                continue
            restarted_at = min(
                (
                    at
                    for at in self.restarts_by_worker[worker_id]
                    if at > leaving.answered_at
                ),
                default=float("inf"),
            )
            for at, item in arrivals:
                late = (
                    item.created_at
                    > leaving.answered_at + DRAIN_SECONDS + SCHEDULING_TOLERANCE_SECONDS
                )
                if item.instance != leaving.instance or not late or at >= restarted_at:
                    continue
                if not self._is_excused(item.instance, leaving.answered_at, at):
                    violations.append(
                        f"{item.attempt} reached {worker_id}, which had left "
                        f"according to the response to {leaving.attempt}"
                    )
        return violations

    def _find_during_pause(
        self, worker_id, arrivals, instance, at, seconds
    ) -> list[str]:
        grace_end, pause_end = (
            at + PAUSE_GRACE_SECONDS,
            at + seconds - SCHEDULING_TOLERANCE_SECONDS,
        )
        # A restart of the worker ends the pause that it announced.
        pause_end = min(
            [
                pause_end,
                *(
                    restart
                    for restart in self.restarts_by_worker[worker_id]
                    if restart > at
                ),
            ]
        )
        late = [
            item.attempt
            for arrived_at, item in arrivals
            if item.instance == instance and grace_end <= arrived_at < pause_end
        ]
        if len(late) <= MAX_ARRIVALS_IN_PAUSE or self._is_excused(
            instance, at, pause_end
        ):
            return []
        return [f"{worker_id} had paused but received {late} from {instance}"]

    def _is_excused(self, instance: str, start: float, end: float) -> bool:
        return any(start <= at <= end for at in self._disruptions_by_instance[instance])
