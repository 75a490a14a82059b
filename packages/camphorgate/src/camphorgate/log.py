"""Logging: one line of key=value pairs for each event."""

import sys
from typing import Any

from loguru import logger

# Characters that would break a line into other pairs.
_QUOTED = set(" =\"'\n\t")


def _format_value(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if not text or not _QUOTED.isdisjoint(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text


def _format_line(record: dict[str, Any]) -> str:
    """Return the template of a line.

    The time is formatted here, as loguru's own formatter takes a large part of the
    time of a line.
    """
    record["extra"]["at"] = record["time"].isoformat(timespec="milliseconds")
    return "time={extra[at]} level={level} {message}\n"


def configure_logging(level: str = "INFO") -> None:
    """Send events to the standard error stream.

    :param level: lowest level that is written, such as ``"INFO"``.
    """
    logger.remove()
    logger.add(
        sys.stderr,
        level=level.upper(),
        format=_format_line,
        colorize=False,
    )


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one event.

    :param event: short name of what happened, in snake case.
    :param level: loguru level name.
    :param fields: the pairs; a value of ``None`` is left out. Never a key or a body.
    """
    pairs = [f"event={event}"]
    pairs += [
        f"{name}={_format_value(value)}"
        for name, value in fields.items()
        if value is not None
    ]
    logger.log(level, " ".join(pairs))
