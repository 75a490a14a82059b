"""Logging: one line of key=value pairs for each event."""

import os
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


class NonBlockingSink:
    """Writes lines to a descriptor and drops those that it does not take at once."""

    __slots__ = ("dropped", "_descriptor", "_rest")

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b""
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line; called by loguru."""
        data = self._rest + line.encode()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return
        except OSError:
            # Nobody reads the output any more.
            self.dropped += 1
            self._rest = b""
            return
        # The rest of a cut line goes first, so that lines stay whole.
        self._rest = data[written:]


def configure_standard_output(level: str = "INFO") -> None:
    """Send events to the standard output without ever waiting for its reader.

    :param level: lowest level that is written, such as ``"INFO"``.
    """
    logger.remove()
    logger.add(
        NonBlockingSink(sys.stdout.fileno()),
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
