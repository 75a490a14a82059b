"""Records SIGHUP while the program is loading, when it would end the process.

Imports nothing that takes time to load.
"""

import signal

_reload_requested = False


def _record(signal_number: int, frame) -> None:
    global _reload_requested
    _reload_requested = True


def hold_reloads() -> None:
    """Record SIGHUP from now on."""
    signal.signal(signal.SIGHUP, _record)


def take_reload() -> bool:
    """Return whether SIGHUP has arrived since the last call."""
    global _reload_requested
    requested, _reload_requested = _reload_requested, False
    return requested
