"""Soaks the spread of configurations: ``python -m tests.soak.configurations``.

The daemons of a few zones run in virtual time, see :mod:`tests.simulated_zone`. A seed
determines sizes, links, versions and faults, which come in series and overlap. Prints
every violation; the exit code is 1 if there was one.
"""

import argparse
import asyncio
import json
import logging
import random
import sys

import msgspec
from loguru import logger

from camphorgate.log import log_event
from tests.hosting_builders import build_platform_configuration, build_platform_route
from tests.simulated_zone import LINK_BYTES_PER_SECOND, SimulatedZone

# The users' bounds at 195 instances: a version is in force after this time at each
# instance that was not disturbed for the contact time before.
BOUND_SECONDS = 4.0
CONTACT_SECONDS = 5.0
# An instance that restarted has this long to start.
START_SECONDS = 6.0
MAX_ROUTES = 2810
FAULTS = ("isolate", "cut_store", "lose_datagrams", "restart", "kill")


class Disturbance(msgspec.Struct, frozen=True):
    """A time in which the bound does not hold for an instance."""

    name: str
    begin: float
    end: float


class ConfigurationSoak:
    """One run of versions and faults against the daemons of a few zones."""

    def __init__(self, seed: int, seconds: float, size: int | None = None) -> None:
        """Draw the fleet.

        :param seconds: how long versions and faults go on.
        :param size: number of instances, by default drawn from the seed.
        """
        self.random = random.Random(seed)
        self.seconds = seconds
        size = size or self.random.randrange(6, 45)
        zones = self.random.choice((1, 1, 2, 3))
        rates = self.random.choice(
            (
                (LINK_BYTES_PER_SECOND,),
                (LINK_BYTES_PER_SECOND, 10 * LINK_BYTES_PER_SECOND),
                (LINK_BYTES_PER_SECOND // 2, LINK_BYTES_PER_SECOND),
            )
        )
        loss = self.random.choice((0.0, 0.0, 0.01, 0.03))
        self.zone = SimulatedZone(size, 6 * size // zones, loss, seed, rates, zones)
        self.confirmed_at_by_version: dict[int, float] = {}
        self.disturbances: list[Disturbance] = []
        self._routes: list[dict] = []
        self._version = 0

    def run(self) -> list[str]:
        """Run the soak and return the violations."""
        self.zone.run(self._play)
        return [*self._find_late(), *self._find_older()]

    async def _play(self, zone: SimulatedZone) -> None:
        self._routes = self._build_routes(20)
        self._configure()
        await asyncio.sleep(START_SECONDS)
        end = zone.loop.time() + self.seconds
        await asyncio.gather(self._change_until(end), self._disturb_until(end))
        await asyncio.sleep(BOUND_SECONDS + 1.0)

    def _build_routes(self, count: int) -> list[dict]:
        first = len(self._routes)
        return [
            build_platform_route(
                f"route-{number}-{self.random.randrange(10**6)}",
                f"/area-{number}/{self.random.randrange(10**5)}/",
                "desk",
            )
            for number in range(first, first + count)
        ]

    def _configure(self) -> None:
        self._version += self.random.randrange(1, 5)
        configuration = build_platform_configuration(self._version, routes=self._routes)
        value = json.dumps(configuration, separators=(",", ":")).encode()
        log_event("confirmed", version=self._version, bytes=len(value))
        self.confirmed_at_by_version[self._version] = self.zone.configure(value)

    async def _change_until(self, end: float) -> None:
        """Add many routes or change one, at times in quick succession."""
        while self.zone.loop.time() < end:
            await asyncio.sleep(self.random.choice((0.05, 0.3, 1.0, 3.0)))
            room = MAX_ROUTES - len(self._routes)
            if room > 0 and self.random.random() < 0.2:
                count = min(room, self.random.choice((40, 400, 1400)))
                self._routes += self._build_routes(count)
            else:
                route = self.random.choice(self._routes)
                route["service"] = self.random.choice(("desk", "models"))
                route["timeout-ms"] = self.random.randrange(1000, 9000)
            self._configure()

    async def _disturb_until(self, end: float) -> None:
        """Disturb a few instances at a time, with a preference for watchers."""
        while self.zone.loop.time() < end:
            await asyncio.sleep(self.random.uniform(0.2, 3.0))
            fault = self.random.choice(FAULTS)
            live = [name for name in self.zone.apps if name not in self.zone.dead]
            candidates = self.random.choice((self.zone.watchers(), live))
            most = max(1, len(live) // 4)
            count = min(len(candidates), self.random.randrange(1, most + 1))
            seconds = self.random.choice((0.2, 0.6, 1.1, 2.5))
            for name in self.random.sample(candidates, count):
                await self._disturb(fault, name, seconds)

    async def _disturb(self, fault: str, name: str, seconds: float) -> None:
        zone, now = self.zone, self.zone.loop.time()
        log_event("fault", fault=fault, target=name, duration_seconds=seconds)
        affected_by_fault = {
            "isolate": zone.isolated,
            "cut_store": zone.without_store,
            "lose_datagrams": zone.lossy,
        }
        if fault == "kill":
            zone.kill(name)
            self.disturbances.append(Disturbance(name, now, float("inf")))
        elif fault == "restart":
            await zone.restart(name)
            self.disturbances.append(Disturbance(name, now, now + START_SECONDS))
        else:
            affected = affected_by_fault[fault]
            affected.add(name)
            zone.loop.call_later(seconds, affected.discard, name)
            self.disturbances.append(Disturbance(name, now, now + seconds))

    def _find_late(self) -> list[str]:
        """Return the versions that undisturbed instances did not have in time."""
        found = []
        for version, confirmed_at in self.confirmed_at_by_version.items():
            due_at = confirmed_at + BOUND_SECONDS
            if confirmed_at < START_SECONDS:
                continue
            for name in self.zone.apps:
                if self._is_disturbed(name, confirmed_at - CONTACT_SECONDS, due_at):
                    continue
                at = self.zone.in_force_at(name, version)
                if at > due_at:
                    found.append(
                        f"{name}: version {version}, confirmed at {confirmed_at:.2f}, "
                        f"is in force after {at - confirmed_at:.2f} s"
                    )
        return found

    def _is_disturbed(self, name: str, begin: float, end: float) -> bool:
        return any(
            item.name == name and item.begin < end and item.end > begin
            for item in self.disturbances
        )

    def _find_older(self) -> list[str]:
        """Return the instances at which a version came into force after a newer one."""
        found = []
        for name, versions in self.zone.versions.items():
            newest = 0
            for at, version in versions:
                if 0 < version <= newest:
                    found.append(f"{name}: {version} after {newest} at {at:.2f}")
                newest = max(newest, version) if version else 0
        return found


def _log_in_virtual_time(zone: SimulatedZone) -> None:
    """Write each event with its virtual time and its instance."""
    logger.remove()
    logger.configure(
        extra={"instance": "-"},
        patcher=lambda record: record["extra"].update(seconds=zone.loop.time()),
    )
    line = "seconds={extra[seconds]:.3f} instance={extra[instance]} {message}"
    logger.add(sys.stdout, format=line)


def main() -> int:
    """Run the soak of each seed and return the exit code."""
    parser = argparse.ArgumentParser(description="Soak the spread of configurations.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--size", type=int, help="number of instances")
    parser.add_argument("--log", action="store_true", help="print the log of the run")
    options = parser.parse_args()
    if not options.log:
        logger.remove()
        logging.disable()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = ConfigurationSoak(seed, options.seconds, options.size)
        if options.log:
            _log_in_virtual_time(soak.zone)
        violations = soak.run()
        failed += bool(violations)
        print(
            f"seed {seed}: {len(soak.zone.apps)} instances, "
            f"{len(soak.confirmed_at_by_version)} versions, "
            f"{len(soak.disturbances)} disturbances, {len(violations)} violations",
            flush=True,
        )
        for violation in violations[:10]:
            print(f"  {violation}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
