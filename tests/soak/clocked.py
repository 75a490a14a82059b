"""Runs the daemon with a time of day that a soak moves.

The file that ``SOAK_CLOCK`` names holds by how many seconds the time of day is ahead.
"""

import os
import sys
from datetime import datetime, timedelta
from pathlib import Path

from camphorgate.clock import SystemClock
from camphorgated.main import main

_true_now = SystemClock.now
_offset = Path(os.environ["SOAK_CLOCK"])


def moved_now(clock: SystemClock) -> datetime:
    """Return the time of day of the moved clock."""
    text = _offset.read_text() if _offset.exists() else ""
    return _true_now(clock) + timedelta(seconds=float(text or 0.0))


SystemClock.now = moved_now

if __name__ == "__main__":
    sys.exit(main())
