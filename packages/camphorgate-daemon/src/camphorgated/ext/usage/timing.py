"""Intervals and time limits of the usage extension."""

import msgspec


class UsageTiming(msgspec.Struct, frozen=True):
    """Values in seconds, except ``retained_windows``.

    ``max_wait_seconds`` is how long a window waits for a dead author that has no live
    copy holder, ``max_wait_with_holder_seconds`` for one that has. Both only decide in
    which window late usage counts, because a late holder hands it in with a window
    that is still open.
    """

    durable_timeout_seconds: float = 0.25
    copy_interval_seconds: float = 0.25
    ack_timeout_seconds: float = 2.0
    hand_in_interval_seconds: float = 1.0
    close_delay_seconds: float = 5.0
    report_interval_seconds: float = 2.0
    max_wait_seconds: float = 60.0
    max_wait_with_holder_seconds: float = 300.0
    retained_windows: int = 1440
