"""Time slots for holders of different duties that share one rate limit.

Turns follow the wall clock, so holders need not exchange messages or know each other's
needs. An order may be sent only in the window at the start of a turn.
"""

# Orders are sent within this window at the start of a turn. It is longer than the
# planning interval, so that every turn contains a plan.
SEND_WINDOW_SECONDS = 6.0
# Largest difference between the clocks of two instances that the turns tolerate.
MAX_CLOCK_SKEW_SECONDS = 1.0


def turn_length_seconds(per_minute: float) -> float:
    """Return the length of a turn that enforces a rate limit.

    Two orders are sent at least ``60 / per_minute`` seconds apart, so any minute
    contains at most ``per_minute`` of them.
    """
    return 60.0 / per_minute + SEND_WINDOW_SECONDS + MAX_CLOCK_SKEW_SECONDS


def current_turn(now: float, length: float) -> int | None:
    """Return the number of the turn whose send window is open, or ``None``.

    :param now: seconds since the Unix epoch.
    """
    turn, elapsed = divmod(now, length)
    return int(turn) if elapsed < SEND_WINDOW_SECONDS else None


def is_turn_of(now: float, length: float, name: str, names: list[str]) -> bool:
    """Return whether it is the turn of ``name`` and its send window is open.

    :param names: all participants; every holder must pass the same names.
    """
    turn = current_turn(now, length)
    order = sorted(names)
    return turn is not None and order[turn % len(order)] == name
