"""What must hold, from what callers, workers and the platform's stand-in saw."""

import time
from collections import Counter

# Answers that promise that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
# The first holder reports windows that ended this many before its start.
EARLIER_WINDOWS = 30
# A withdrawn key may run requests for this long after the store has it.
WITHDRAWN_SECONDS = 5.0


def expected_events(count: int, first: int = 1) -> bytes:
    """Return the events of a stand-in's whole stream."""
    return b"".join(
        b"id: %d\ndata: token-%d\n\n" % (number, number)
        for number in range(first, count + 1)
    )


class Asked:
    """One request as its caller saw it."""

    __slots__ = (
        "attempt",
        "kind",
        "key",
        "sent_at",
        "status",
        "body",
        "whole",
        "left",
        "entry",
        "began_at",
        "answered_at",
        "left_worker",
    )

    def __init__(self, attempt: str, kind: str, key: str, sent_at: float):
        # Address of the instance that was asked.
        self.entry = ""
        # Seconds since 1970, to compare with what workers note.
        self.began_at = time.time()
        self.answered_at = 0.0
        # The worker that said in the answer that it leaves.
        self.left_worker = ""
        self.attempt = attempt
        self.kind = kind
        self.key = key
        self.sent_at = sent_at
        self.status = 0
        self.body = b""
        self.whole = False
        self.left = False


def find_violations(
    asked: list[Asked],
    runs: list[dict],
    reports: list[dict],
    withdrawn_at_by_key: dict[str, float],
    events: int,
) -> list[str]:
    """Return what was violated, a line each.

    :param runs: of all workers; each has the attempt id among its headers.
    :param events: in a whole stream.
    """
    found = []
    runs_by_attempt = Counter(run["headers"]["x-attempt-id"] for run in runs)
    known = {item.attempt for item in asked}
    for attempt in runs_by_attempt.keys() - known:
        found.append(f"a worker ran {attempt}, which nobody asked")
    for run in runs:
        if "authorization" in run["headers"]:
            found.append("a worker saw a key")
        if run["headers"].get("x-tenant") not in ("north", "south"):
            found.append("a worker ran a request for no workspace")
    for item in asked:
        count = runs_by_attempt[item.attempt]
        if item.kind in ("book", "draft") and count > 1:
            found.append(f"{item.kind} {item.attempt} ran {count} times")
        if item.kind in ("book", "draft") and item.status in NOT_RUN and count:
            found.append(f"{item.attempt} got {item.status} and ran")
        if item.status == 200 and item.whole:
            found += _check_body(item, events)
        withdrawn = withdrawn_at_by_key.get(item.key)
        late = withdrawn is not None and item.sent_at > withdrawn + WITHDRAWN_SECONDS
        if late and count:
            found.append(f"{item.attempt} ran with a key that was withdrawn")
    return found + _check_reports(reports)


def find_cuts(asked: list[Asked], runs: list[dict]) -> list[str]:
    """Return the requests that planned work has cut.

    A request that crosses the close of its connection and is not read is no cut: it has
    no answer at all, and has not run.
    """
    ran = {run["headers"]["x-attempt-id"] for run in runs}
    return [
        f"{item.kind} {item.attempt} was cut, status {item.status}"
        for item in asked
        if not item.whole and not item.left and (item.status or item.attempt in ran)
    ]


def find_wrong_windows(reports: list[dict], first: float, last: float) -> list[str]:
    """Return the reports of windows that were not due.

    :param first: the window of the soak's start; one before may be reported.
    :param last: the window of its end, which has not ended itself.
    """
    windows = [
        report["body"]["window-id"] for report in reports if report["path"] == "/usage"
    ]
    return [
        f"window {window} was reported, between {first:.1f} and {last:.1f}"
        for window in windows
        if not first - EARLIER_WINDOWS <= window < last
    ]


def _check_body(item: Asked, events: int) -> list[str]:
    if item.kind in ("chat", "draft"):
        right = item.body == expected_events(events)
    else:
        right = item.body == b"done " + item.attempt.encode()
    return [] if right else [f"{item.kind} {item.attempt} got {item.body[:80]!r}"]


def _check_reports(reports: list[dict]) -> list[str]:
    found = []
    counts_by_window: dict[int, dict] = {}
    holders_by_number: dict[int, set[str]] = {}
    for report in reports:
        holders_by_number.setdefault(report["fencing"], set()).add(report["holder"])
        if report["path"] != "/usage" or not report["accepted"]:
            continue
        window = report["body"]["window-id"]
        counts = report["body"]["counts"]
        if counts_by_window.setdefault(window, counts) != counts:
            found.append(f"window {window} was reported with two figures")
    for number, holders in holders_by_number.items():
        if len(holders) > 1:
            found.append(f"{sorted(holders)} used the number {number}")
    return found
