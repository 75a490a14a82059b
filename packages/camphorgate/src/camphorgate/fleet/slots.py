"""Takes turns by the clock, where holders of different duties share one limit.

Each holder knows only its own needs and needs no message to the others: a turn comes
round by wall-clock time, and an order may only be sent at the start of a turn.
"""

# Orders go out in this window at the start of a turn. It covers the planners' period.
SEND_SECONDS = 6.0
# Clocks of two instances may differ by this much.
SKEW_SECONDS = 1.0


def turn_seconds(per_minute: float) -> float:
    """Return the length of a turn that keeps a rate limit.

    The starts of two orders are then at least ``60 / per_minute`` seconds apart, so
    that any minute holds at most ``per_minute`` of them.
    """
    return 60.0 / per_minute + SEND_SECONDS + SKEW_SECONDS


def turn_of(now: float, length: float) -> int | None:
    """Return the number of the turn whose send window is open, or ``None``.

    :param now: seconds since the Unix epoch.
    """
    number, into = divmod(now, length)
    return int(number) if into < SEND_SECONDS else None


def has_turn(now: float, length: float, name: str, names: list[str]) -> bool:
    """Tell whether it is one name's turn to send.

    :param names: everyone who takes turns, the same list for all.
    """
    number = turn_of(now, length)
    order = sorted(names)
    return number is not None and order[number % len(order)] == name
