"""Invariants, checked on records of callers, workers and the platform stand-in."""

import time
from collections import Counter

# Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# The first duty holder also reports up to this many windows from before its start.
MAX_EARLIER_WINDOWS = 30
# Requests with a withdrawn key may run for this long after the store has the change.
WITHDRAWAL_GRACE_SECONDS = 5.0


def expected_events(count: int, first: int = 1) -> bytes:
    """Return the events of a complete stream of a stand-in."""
    return b"".join(
        b"id: %d\ndata: token-%d\n\n" % (number, number)
        for number in range(first, count + 1)
    )


class CallerRequest:
    """A request and its response as the caller observed them."""

    __slots__ = (
        "attempt",
        "kind",
        "key",
        "sent_at",
        "status",
        "body",
        "complete",
        "abandoned",
        "instance",
        "created_at",
        "answered_at",
        "leaving_worker",
    )

    def __init__(self, attempt: str, kind: str, key: str, sent_at: float):
        # Address of the instance that received the request.
        self.instance = ""
        # Seconds since 1970, comparable with the arrival times that workers record.
        self.created_at = time.time()
        self.answered_at = 0.0
        # The worker that announced in its response that it is leaving.
        self.leaving_worker = ""
        self.attempt = attempt
        self.kind = kind
        self.key = key
        self.sent_at = sent_at
        self.status = 0
        self.body = b""
        self.complete = False
        self.abandoned = False


def find_violations(
    requests: list[CallerRequest],
    runs: list[dict],
    reports: list[dict],
    withdrawn_at_by_key: dict[str, float],
    events: int,
) -> list[str]:
    """Describe each violated invariant in one line.

    :param runs: runs of all workers; the headers of each include the attempt id.
    :param events: number of events in a complete stream.
    """
    violations = []
    runs_by_attempt = Counter(run["headers"]["x-attempt-id"] for run in runs)
    sent_attempts = {item.attempt for item in requests}
    for attempt in runs_by_attempt.keys() - sent_attempts:
        violations.append(f"a worker ran {attempt}, which no caller sent")
    for run in runs:
        if "authorization" in run["headers"]:
            violations.append("a worker received an API key")
        if run["headers"].get("x-tenant") not in ("north", "south"):
            violations.append("a worker ran a request without a known workspace")
    for item in requests:
        count = runs_by_attempt[item.attempt]
        if item.kind in ("book", "draft") and count > 1:
            violations.append(f"{item.kind} {item.attempt} ran {count} times")
        if item.kind in ("book", "draft") and item.status in NOT_RUN_STATUSES and count:
            violations.append(f"{item.attempt} received {item.status} but ran")
        if item.status == 200 and item.complete:
            violations += _check_body(item, events)
        withdrawn = withdrawn_at_by_key.get(item.key)
        late = (
            withdrawn is not None
            and item.sent_at > withdrawn + WITHDRAWAL_GRACE_SECONDS
        )
        if late and count:
            violations.append(f"{item.attempt} ran with a withdrawn key")
    return violations + _check_reports(reports)


def find_interruptions(requests: list[CallerRequest], runs: list[dict]) -> list[str]:
    """Describe the requests that planned maintenance interrupted.

    A request that is sent while the daemon closes the connection, and so is never read,
    is not counted: it has no response at all and has not run.
    """
    ran = {run["headers"]["x-attempt-id"] for run in runs}
    return [
        f"{item.kind} {item.attempt} was interrupted, status {item.status}"
        for item in requests
        if not item.complete
        and not item.abandoned
        and (item.status or item.attempt in ran)
    ]


def find_unexpected_windows(
    reports: list[dict], first: float, last: float
) -> list[str]:
    """Describe the reports of windows outside the duration of the soak.

    :param first: window in which the soak started; up to ``MAX_EARLIER_WINDOWS`` before
        it may be reported.
    :param last: window in which the soak ended; it is still open and not reported.
    """
    windows = [
        report["body"]["window-id"] for report in reports if report["path"] == "/usage"
    ]
    return [
        f"window {window} was reported, outside {first:.1f} to {last:.1f}"
        for window in windows
        if not first - MAX_EARLIER_WINDOWS <= window < last
    ]


def _check_body(item: CallerRequest, events: int) -> list[str]:
    if item.kind in ("chat", "draft"):
        is_expected = item.body == expected_events(events)
    else:
        is_expected = item.body == b"done " + item.attempt.encode()
    return (
        []
        if is_expected
        else [f"{item.kind} {item.attempt} has the wrong body {item.body[:80]!r}"]
    )


def _check_reports(reports: list[dict]) -> list[str]:
    violations = []
    counts_by_window: dict[int, dict] = {}
    holders_by_number: dict[int, set[str]] = {}
    for report in reports:
        holders_by_number.setdefault(report["fencing"], set()).add(report["holder"])
        if report["path"] != "/usage" or not report["accepted"]:
            continue
        window = report["body"]["window-id"]
        counts = report["body"]["counts"]
        if counts_by_window.setdefault(window, counts) != counts:
            violations.append(f"window {window} was reported with different counts")
    for number, holders in holders_by_number.items():
        if len(holders) > 1:
            violations.append(f"{sorted(holders)} used the fencing number {number}")
    return violations
