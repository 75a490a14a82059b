"""Periods and bounds of the usage extension."""

import msgspec


class UsageTiming(msgspec.Struct, frozen=True):
    """All in seconds, but ``retained_windows``.

    ``force_seconds`` is how long a window waits for a dead author none of whose copy
    holders lives, ``force_held_seconds`` if one does. Either only decides in which
    window late usage counts, as a late holder hands it in with an open window.
    """

    durable_seconds: float = 0.25
    copy_tick_seconds: float = 0.25
    ack_seconds: float = 2.0
    hand_in_seconds: float = 1.0
    close_seconds: float = 5.0
    report_seconds: float = 2.0
    force_seconds: float = 60.0
    force_held_seconds: float = 300.0
    retained_windows: int = 1440
