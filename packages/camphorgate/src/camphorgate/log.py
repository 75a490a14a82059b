"""Structured logging, with one line of key=value pairs for each event."""

import os
import sys
from typing import Any

from loguru import logger

# Characters that require quoting, as they would change how a line splits into pairs.
_CHARACTERS_TO_QUOTE = set(" =\"'\n\t")


def _format_value(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if not text or not _CHARACTERS_TO_QUOTE.isdisjoint(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text


def _format_line(record: dict[str, Any]) -> str:
    """Return the loguru format template of a line.

    The timestamp is formatted here because the formatter of loguru would take a large
    part of the time spent on a line.
    """
    record["extra"]["at"] = record["time"].isoformat(timespec="milliseconds")
    return "time={extra[at]} level={level} {message}\n"


def configure_logging(level: str = "INFO") -> None:
    """Write events to standard error.

    :param level: minimum level that is written, such as ``"INFO"``.
    """
    logger.remove()
    logger.add(
        sys.stderr,
        level=level.upper(),
        format=_format_line,
        colorize=False,
    )


class NonBlockingSink:
    """Writes lines to a file descriptor and drops lines that would block."""

    __slots__ = ("dropped_lines", "_descriptor", "_unwritten")

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b""
        self.dropped_lines = 0

    def write(self, line: str) -> None:
        """Write a line or drop it; called by loguru."""
        data = self._unwritten + line.encode()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped_lines += 1
            return
        except OSError:
            # The reader has closed the output.
            self.dropped_lines += 1
            self._unwritten = b""
            return
        # The unwritten part of this line precedes the next line, so lines stay whole.
        self._unwritten = data[written:]


def configure_standard_output(level: str = "INFO") -> None:
    """Write events to standard output without ever blocking on its reader.

    :param level: minimum level that is written, such as ``"INFO"``.
    """
    logger.remove()
    logger.add(
        NonBlockingSink(sys.stdout.fileno()),
        level=level.upper(),
        format=_format_line,
        colorize=False,
    )


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Log one event.

    :param event: name of the event in snake case.
    :param level: name of the loguru level.
    :param fields: key=value pairs; ``None`` values are omitted. Must never contain API
        keys or request bodies.
    """
    pairs = [f"event={event}"]
    pairs += [
        f"{name}={_format_value(value)}"
        for name, value in fields.items()
        if value is not None
    ]
    logger.log(level, " ".join(pairs))
