"""Holds a request while every upstream is being avoided after failures.

This covers crashes of many upstreams at once: a refused caller retries once, during the
same outage, whereas most upstreams are back or replaced within a few seconds.
"""

import asyncio

from camphorgate.clock import Clock
from camphorgate.serving.placement import Choice
from camphorgated.serving.front import RequestContext

# Bounds on holding a request: an absolute time, and a fraction of the time left until
# its deadline. After that the request is refused, and the caller retries later, when an
# upstream may be available.
MAX_HOLD_SECONDS = 2.0
MAX_HOLD_FRACTION = 0.4
# Interval at which a held request checks for newly available upstreams.
UPSTREAM_POLL_SECONDS = 0.05


async def wait_for_upstream(
    context: RequestContext, choice: Choice, clock: Clock
) -> bool:
    """Wait one poll interval if the best upstream is being avoided.

    :returns: whether to choose an upstream again; false if this one may be used now.
    """
    now = clock.monotonic()
    wait = choice.avoid_until - now
    held = context.decisions.get("held_ms", 0.0)
    max_hold_seconds = min(
        MAX_HOLD_SECONDS, context.seconds_left(now) * MAX_HOLD_FRACTION
    )
    if wait <= 0 or held / 1000 >= max_hold_seconds:
        return False
    context.decisions["held_ms"] = held + UPSTREAM_POLL_SECONDS * 1000
    await asyncio.sleep(min(wait, UPSTREAM_POLL_SECONDS))
    return True
