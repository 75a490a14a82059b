"""Holds a request while every upstream is left alone after failures.

Answers crashes of many upstreams at once: refused callers come back once, into the same
outage, while most upstreams are back or replaced within a few seconds.
"""

import asyncio

from camphorgate.clock import Clock
from camphorgate.serving.placement import Choice
from camphorgated.serving.front import Job

# A request is held at most this long, and at most for this part of its time. After
# that it is refused, and its caller returns when there may be an upstream.
HELD_SECONDS = 2.0
HELD_PART = 0.4
# Upstreams that appear meanwhile are noticed at this period.
LOOK_SECONDS = 0.05


async def wait_for_upstream(job: Job, choice: Choice, clock: Clock) -> bool:
    """Wait a little if the best upstream should be left alone.

    :returns: whether to choose again; false if the upstream may be tried now.
    """
    now = clock.monotonic()
    wait = choice.avoid_until - now
    held = job.decisions.get("held_ms", 0.0)
    most = min(HELD_SECONDS, job.left(now) * HELD_PART)
    if wait <= 0 or held / 1000 >= most:
        return False
    job.decisions["held_ms"] = held + LOOK_SECONDS * 1000
    await asyncio.sleep(min(wait, LOOK_SECONDS))
    return True
