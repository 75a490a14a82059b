"""Runs the daemon with a wall clock that a soak can shift.

The file named by ``SOAK_CLOCK`` holds the offset of the wall clock in seconds.
"""

import os
import sys
from datetime import datetime, timedelta
from pathlib import Path

from camphorgate.clock import SystemClock
from camphorgated.main import main

_unshifted_now = SystemClock.now
_offset_path = Path(os.environ["SOAK_CLOCK"])


def shifted_now(clock: SystemClock) -> datetime:
    """Return the current wall-clock time with the offset applied."""
    text = _offset_path.read_text() if _offset_path.exists() else ""
    return _unshifted_now(clock) + timedelta(seconds=float(text or 0.0))


SystemClock.now = shifted_now

if __name__ == "__main__":
    sys.exit(main())
