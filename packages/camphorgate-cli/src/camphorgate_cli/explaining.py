"""Collects the events of one request from the logs of many instances."""

import re
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Any

# Fields that hold a request id: in log lines of hosted daemons and of the product's own
# interface.
ID_FIELDS = ("attempt", "request", "id")
# Fields that hold the id of an upstream of a request.
UPSTREAM_FIELDS = ("upstream", "answerer", "reader")
# Events about the state of an instance and of the services that it depends on.
DEPENDENCY_EVENTS = frozenset(
    {
        "started",
        "draining",
        "stopped",
        "store_lost",
        "store_regained",
        "watches_reopened",
        "watching",
        "watching_ended",
        "configuration_in_force",
        "duty_taken",
        "duty_lost",
        "prompt_part_blocked",
        "prompt_part_lifted",
        "upstream_limit_changed",
        "permit_owner_unknown",
    }
)
# How long before a request's first line the events of its upstreams and instances are
# included.
LOOKBACK_SECONDS = 5.0
_FIELD_PATTERN = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_LINE_START_PATTERN = re.compile(r"\btime=\S+ level=")


class LogLine:
    """One logged event: its time, source, name and fields."""

    __slots__ = ("at", "source", "event", "fields")

    def __init__(self, at: datetime, source: str, fields: dict[str, str]) -> None:
        """Move the event's name out of the fields."""
        self.at = at
        self.source = source
        self.event = fields.pop("event", "")
        self.fields = fields

    def mentions(self, request_id: str) -> bool:
        """Return whether the event is about a request."""
        return any(self.fields.get(name) == request_id for name in ID_FIELDS)

    def upstreams(self) -> set[str]:
        """Return the upstreams that the event names."""
        return {self.fields[name] for name in UPSTREAM_FIELDS if name in self.fields}


def parse_line(text: str, source: str) -> LogLine | None:
    """Parse a log line; return ``None`` if it contains no event.

    :param source: the line's source, unless a word before the time names it.
    """
    start = _LINE_START_PATTERN.search(text)
    if start is None:
        return None
    prefix_words = text[: start.start()].split()
    fields = {
        name: _unquote(value)
        for name, value in _FIELD_PATTERN.findall(text[start.start() :])
    }
    try:
        at = datetime.fromisoformat(fields.pop("time"))
    except ValueError:
        return None
    fields.pop("level", None)
    return LogLine(at, prefix_words[-1] if prefix_words else source, fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return re.sub(r"\\(.)", lambda m: "\n" if m[1] == "n" else m[1], value[1:-1])


def explain(lines: Iterable[LogLine], request_id: str) -> dict[str, Any]:
    """Return the events that concern a request, in order of time.

    Beside the request's own lines, these are the events of any instance about its
    upstreams, and the :data:`DEPENDENCY_EVENTS` of the instances that handled it, from
    :data:`LOOKBACK_SECONDS` before its first line to its last.

    :returns: ``found`` is true if any line mentions the request.
    """
    sorted_lines = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in sorted_lines if line.mentions(request_id)]
    if not request_lines:
        return {"request": request_id, "found": False, "events": []}
    first, last = request_lines[0].at, request_lines[-1].at
    since = first - timedelta(seconds=LOOKBACK_SECONDS)
    sources = {line.source for line in request_lines}
    upstreams = set().union(*(line.upstreams() for line in request_lines))
    events = []
    for line in sorted_lines:
        about_request = line.mentions(request_id)
        if not about_request and not since <= line.at <= last:
            continue
        about_upstream = line.event.startswith("upstream") and (
            line.upstreams() & upstreams
        )
        dependency = line.event in DEPENDENCY_EVENTS and line.source in sources
        if about_request or about_upstream or dependency:
            events.append(
                {
                    "seconds": round((line.at - first).total_seconds(), 4),
                    "instance": line.source,
                    "event": line.event,
                    "request": about_request,
                    "fields": line.fields,
                }
            )
    return {
        "request": request_id,
        "found": True,
        "began": first.isoformat(),
        "instances": sorted(sources),
        "upstreams": sorted(upstreams),
        "outcome": _outcome(request_lines),
        "events": events,
    }


def _outcome(request_lines: list[LogLine]) -> dict[str, str]:
    """Return how the request ended, and the reason if the system gave it up."""
    outcome: dict[str, str] = {}
    for line in request_lines:
        for name in ("status", "reason", "outcome", "seconds"):
            if name in line.fields and line.event != "try_failed":
                outcome[name] = line.fields[name]
    return outcome


def format_explanation(found: dict[str, Any]) -> str:
    """Format events as lines; those of the request itself are marked with ``*``."""
    rows = [
        f"request {found['request']} at {', '.join(found['instances'])}, "
        f"first line {found['began']}"
    ]
    for event in found["events"]:
        fields = " ".join(f"{name}={value}" for name, value in event["fields"].items())
        mark = "*" if event["request"] else " "
        rows.append(
            f"{mark} {event['seconds']:+9.4f} s  {event['instance']}  "
            f"{event['event']}  {fields}"
        )
    ending = " ".join(f"{name}={value}" for name, value in found["outcome"].items())
    rows.append(
        f"outcome: {ending or 'not logged; the request may still be in progress'}"
    )
    return "\n".join(rows)
