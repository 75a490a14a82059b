"""Measures how long a new configuration takes to reach every instance of a zone.

``python -m benchmarks.configuration_spread`` prints a row for each number of instances
and routes: the size of the value, and the seconds until the last instance has many new
routes, and one moved route. The daemons run their real exchange in virtual time over
links of 10 Mbit/s (:mod:`tests.simulated_zone`), so the figures repeat on any machine.
"""

import asyncio

from loguru import logger

from tests.simulated_zone import SimulatedZone
from tests.test_serving.test_configuration_spread import (
    START_SECONDS,
    WORKSPACES,
    build_changes,
    build_configuration,
    encode,
)

ZONE_INSTANCES = (8, 16, 33, 44, 88)
ROUTES = (10, 1410, 2810)
# A version that takes longer is shown as inf.
MAX_SECONDS = 8.0


def measure(instances: int, routes: int) -> tuple[int, list[float]]:
    """Return the size of the value in bytes and the seconds of the two versions."""
    zone = SimulatedZone(instances, 6 * instances)
    added, moved, _ = build_changes(routes, WORKSPACES)
    seconds = []

    async def scenario(zone: SimulatedZone) -> None:
        zone.configure(encode(build_configuration(1, 5, WORKSPACES)))
        await asyncio.sleep(START_SECONDS)
        for configuration in (added, moved):
            confirmed_at = zone.configure(encode(configuration))
            await asyncio.sleep(MAX_SECONDS)
            spread = zone.spread_seconds(configuration["version"], confirmed_at)
            seconds.append(spread[-1])

    zone.run(scenario)
    return len(encode(added)), seconds


def main() -> None:
    """Print a row for each number of instances and routes."""
    logger.remove()
    print("instances routes   bytes  routes_added  one_route_moved")
    for instances in ZONE_INSTANCES:
        for routes in ROUTES:
            size, (added, moved) = measure(instances, routes)
            print(f"{instances:9} {routes:6} {size:7} {added:13.2f} {moved:16.2f}")


if __name__ == "__main__":
    main()
