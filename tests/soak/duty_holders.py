"""Soaks the choice of a duty's holder: ``python -m tests.soak.duty_holders``.

The platform checks no fencing numbers. Holders are killed, stopped and cut off from the
store, most of them right after they acted, and start again soon; faults come in series
and overlap. No instance may act before and after another one within a lease, and no
call may carry a lower number than one before it. Time is virtual.
"""

import asyncio
import sys
from pathlib import Path

from loguru import logger

from tests.duty_fleet import (
    LEASE_SECONDS,
    WARMUP_SECONDS,
    DutyFleet,
    DutyInstance,
    find_alternations,
    find_lower_numbers,
    longest_silence,
)
from tests.soak.seeds import build_parser, run_seeds
from tests.virtual_time import run_fleet

# Size of a fleet and the number of its zones.
FLEETS = ((2, 1), (3, 1), (8, 3))
FAULTS = (
    *("kill", "kill", "kill", "stop", "stop"),
    *("refused", "lost_answers", "late_transaction", "watch_hangs"),
    *("kill_many", "restore"),
)
# Time between two series of faults, and between two faults of one.
SERIES_SECONDS = (2.0, 9.0)
FAULT_SECONDS = (0.0, 0.8)
MAX_FAULTS = 4
# Time that passes until an ended process starts again.
RESTART_SECONDS = (0.0, 2.6)
STORE_FAULT_SECONDS = (0.3, 4.0)
LATE_SECONDS = (0.3, 3.0)
# After the last fault, an instance has to hold the duty within this time.
QUIET_SECONDS = 3 * LEASE_SECONDS + 2.0


class DutySoak:
    """One run with a fleet of one size."""

    def __init__(self, fleet: DutyFleet, seconds: float) -> None:
        """Disturb a fleet for some seconds of virtual time."""
        self.fleet = fleet
        self.random = fleet.random
        self.ends_at = fleet.loop.time() + WARMUP_SECONDS + seconds
        self._pending: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        """Run the faults and return the violations."""
        await self.fleet.start()
        while self.fleet.loop.time() < self.ends_at:
            for _ in range(self.random.randint(1, MAX_FAULTS)):
                await self._disturb_holder()
                await asyncio.sleep(self.random.uniform(*FAULT_SECONDS))
            await asyncio.sleep(self.random.uniform(*SERIES_SECONDS))
        await asyncio.gather(*self._pending)
        quiet_since = self.fleet.loop.time()
        await asyncio.sleep(QUIET_SECONDS)
        acted = any(call.at > quiet_since for call in self.fleet.calls)
        self.fleet.stop()
        return self._violations(acted)

    def _violations(self, acted: bool) -> list[str]:
        calls = self.fleet.calls
        found = list(self.fleet.failures)
        found += [f"alternation {item}" for item in find_alternations(calls)]
        found += [f"lower number {item}" for item in find_lower_numbers(calls)]
        if not acted:
            found.append("nobody took the duty after the last fault")
        return found

    async def _disturb_holder(self) -> None:
        """Wait until an instance acts, and let a fault happen to it."""
        call = await self.fleet.next_call(2 * LEASE_SECONDS)
        if call is None:
            return
        instance = self.fleet.by_name(call.holder)
        fault = self.random.choice(FAULTS)
        if fault == "kill_many":
            count = self.random.randint(2, len(self.fleet.instances))
            for item in self.random.sample(self.fleet.instances, count):
                self._end(item, stops=False)
        elif fault == "restore":
            self.fleet.store.restore()
        elif fault in ("kill", "stop"):
            self._end(instance, stops=fault == "stop")
        elif instance.members is not None:
            self._disturb_store(instance, fault)

    def _end(self, instance: DutyInstance, stops: bool) -> None:
        if instance.members is not None:
            self._pending.append(asyncio.ensure_future(self._restart(instance, stops)))

    async def _restart(self, instance: DutyInstance, stops: bool) -> None:
        if stops:
            await instance.stop()
        else:
            instance.kill()
        await asyncio.sleep(self.random.uniform(*RESTART_SECONDS))
        await instance.start()

    def _disturb_store(self, instance: DutyInstance, fault: str) -> None:
        client, directory = instance.client, instance.directory
        now = self.fleet.loop.time()
        seconds = self.random.uniform(*STORE_FAULT_SECONDS)
        if fault == "refused":
            client.refused_until = now + seconds
        elif fault == "lost_answers":
            client.lost_until = now + seconds
        elif fault == "late_transaction":
            client.delay_next = self.random.uniform(*LATE_SECONDS)
            client.refused_until = now + seconds
        else:
            directory.hangs_since = now

            def resume() -> None:
                directory.hangs_since = None

            self.fleet.loop.call_later(seconds, resume)


def run_seed(
    seed: int, seconds: float, size: int | None = None, zones: int = 1
) -> tuple[list[str], float]:
    """Run a seed.

    :param size: number of instances; by default one of small fleets.
    :returns: the violations, and the longest time in which nobody acted, in seconds.
    """
    results = []

    async def play() -> None:
        instances = (size, zones) if size else FLEETS[seed % len(FLEETS)]
        fleet = DutyFleet(*instances, seed)
        violations = await DutySoak(fleet, seconds).run()
        results.append((violations, longest_silence(fleet.calls, WARMUP_SECONDS)))

    run_fleet(play)
    return results[0]


def main() -> int:
    """Run the seeds of the command line."""
    parser = build_parser(__doc__.splitlines()[0])
    parser.add_argument("--size", type=int, default=None)
    parser.add_argument("--zones", type=int, default=1)
    options = parser.parse_args()
    logger.remove()

    def run(seed: int, folder: Path) -> list[str]:
        violations, silence = run_seed(
            seed, options.seconds, options.size, options.zones
        )
        print(f"seed {seed}: at most {silence:.2f} s without a call", flush=True)
        return violations

    return run_seeds(options, "duty", run)


if __name__ == "__main__":
    sys.exit(main())
