"""Measures limits of upstreams: ``python -m benchmarks.limits_spread``.

The real exchange of limits and permits in virtual time, for fleets of several sizes:
how long until every instance knows a new limit, what is sent, and how much of the
limits is used.
"""

import asyncio

from camphorgate.log import configure_logging
from tests.limited_fleet import SIZES, LimitedFleet, run_fleet
from tests.limited_workers import CONTACT_SECONDS

UPSTREAMS = 10
LIMIT_PER_SECOND = 2.0
LOSS = 0.2
WARMUP_SECONDS = 4.0
JUDGED_SECONDS = 5.0
POLL_SECONDS = 0.02


async def _spread_seconds(fleet: LimitedFleet) -> float:
    """Return the time from the first word about an upstream until all know it."""
    loop = asyncio.get_running_loop()
    incarnation = fleet.upstreams[0].entry.incarnation
    began = None
    while True:
        known = sum(
            item.limits.table.limit(incarnation) is not None for item in fleet.instances
        )
        if known and began is None:
            began = loop.time()
        if known == len(fleet.instances):
            return loop.time() - began
        await asyncio.sleep(POLL_SECONDS)


def measure(instances: int, zones: int, rate: float, loss: float) -> str:
    """Play one fleet and return a row of the table."""
    row = []

    async def run() -> None:
        fleet = LimitedFleet(instances, zones, UPSTREAMS, 1, loss)
        await asyncio.sleep(WARMUP_SECONDS)
        for upstream in fleet.upstreams:
            upstream.limit = LIMIT_PER_SECOND
        load = asyncio.ensure_future(fleet.load(rate, CONTACT_SECONDS + JUDGED_SECONDS))
        spread = await _spread_seconds(fleet)
        await load
        since = WARMUP_SECONDS + CONTACT_SECONDS
        used = fleet.used_share(since, since + JUDGED_SECONDS)
        worst = max(fleet.worst_window(item, since) for item in fleet.upstreams)
        busy = fleet.sent_bytes / instances / (CONTACT_SECONDS + JUDGED_SECONDS)
        fleet.sent_bytes = 0
        await asyncio.sleep(JUDGED_SECONDS)
        rest = fleet.sent_bytes / instances / JUDGED_SECONDS
        await fleet.stop()
        row.extend(
            [f"{spread:.2f}", worst, f"{used:.2f}", f"{busy:.0f}", f"{rest:.0f}"]
        )

    run_fleet(run)
    cells = [instances, f"{loss:.0%}", *row]
    return "| " + " | ".join(map(str, cells)) + " |"


def main() -> None:
    """Print a table."""
    configure_logging("CRITICAL")
    print(
        "| instances | lost | known to all, s | worst 4 s | used | B/s busy | at rest |"
    )
    print("|---|---|---|---|---|---|---|")
    for size in SIZES:
        for loss in (0.0, LOSS):
            print(measure(*size, loss), flush=True)


if __name__ == "__main__":
    main()
