"""Soaks the limits of upstreams: ``python -m tests.soak.limited_upstreams``.

Workers name limits, change and end them. Meanwhile daemons are killed, stopped, paused
and cut off from the store. Callers keep their connections until they break. The sum of
the requests that reach a worker from undisrupted daemons has to stay within what its
limit allows, and no request that a daemon refused as not run may have run.
"""

import asyncio
import contextlib
import json
import random
import sys
import time

from camphorgate.settings import split_address
from camphorgated.serving.call_client import CallClient
from camphorgated.serving.client_connection import connect
from camphorgated.serving.http1 import encode_head
from tests.hosted import free_address
from tests.hosting_builders import HOST, KEY, build_platform_entry
from tests.limited_workers import CONTACT_SECONDS, WINDOW_SECONDS, allowed
from tests.soak.disrupted import DisruptedSoak
from tests.soak.seeds import build_parser, run_seeds, run_soak

LIMITS = ("0.5", "1.5", "3.1", "8")
# Load of all callers, in requests a second, and connections to each daemon.
REQUESTS_PER_SECOND = 45.0
CONNECTIONS = 3
# Times between two changes of limits, and between two faults.
CHANGE_SECONDS = (1.0, 6.0)
FAULT_SECONDS = (0.5, 3.0)
QUIET_SECONDS = 2.0
FAULTS = ("kill", "stop", "pause", "store_silent")
REFUSED = frozenset({408, 421, 429, 503})


class LimitSoak(DisruptedSoak):
    """One run with several daemons and workers that name limits."""

    def __init__(self, seed, seconds, folder, daemons=3, workers=4) -> None:
        super().__init__(seed, seconds, folder, daemons)
        self.workers: dict[str, CallClient] = {}
        self.worker_count = workers
        # Changes of limits by worker: time and limit, 0 for none.
        self.changes: dict[str, list[tuple[float, float]]] = {}
        self.statuses: dict[str, int] = {}
        # Reports of the workers by name, read at the end.
        self.reports: dict[str, dict] = {}

    async def run(self) -> list[str]:
        """Run the load, the limits and the faults, and return the violations."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._end_processes)
            await self._start_all()
            ends_at = time.monotonic() + self.seconds
            callers = [
                self._call(number, caller, ends_at)
                for number in range(self.daemon_count)
                for caller in range(CONNECTIONS)
            ]
            await asyncio.gather(
                *callers, self._change_limits(ends_at), self._inject_faults(ends_at)
            )
            for name, client in self.workers.items():
                _, body = await client.call("GET", "/control/runs")
                self.reports[name] = json.loads(body)
                client.close()
            return self.violations()

    async def _start_upstreams(self) -> None:
        for number in range(self.worker_count):
            name, address = f"worker-{number}", free_address()
            self.commands[name] = [
                *(sys.executable, "-m", "camphorgate_standins.hosting_worker"),
                *("--address", address, "--id", name, "--slots", "64"),
            ]
            await self._spawn(name)
            self.workers[name] = CallClient(split_address(address), 5.0)
            self.changes[name] = []
            await self._retry_until_true(lambda name=name: self._arm(name, "none", ""))
            entry = build_platform_entry(address, slots=64)
            await self._put_in_store(f"servers/{name}", entry)

    async def _arm(self, name: str, fault: str, value: str) -> bool:
        order = json.dumps({"fault": fault, "value": value}).encode()
        status, _ = await self.workers[name].call("POST", "/control/faults", order)
        return status == 200

    async def _change_limits(self, ends_at: float) -> None:
        generator = random.Random(f"{self.seed} limits")
        for name in generator.sample(list(self.workers), self.worker_count - 1):
            await self._set_limit(name, generator.choice(LIMITS))
        while time.monotonic() < ends_at:
            name = generator.choice(list(self.workers))
            await asyncio.sleep(generator.uniform(*CHANGE_SECONDS))
            await self._set_limit(name, generator.choice((*LIMITS, *LIMITS, "")))

    async def _set_limit(self, name: str, value: str) -> None:
        await self._arm(name, "limit" if value else "none", value)
        self.changes[name].append((time.time(), float(value or 0.0)))

    async def _inject_faults(self, ends_at: float) -> None:
        faults = []
        await asyncio.sleep(QUIET_SECONDS)
        while time.monotonic() < ends_at - QUIET_SECONDS - CONTACT_SECONDS:
            faults.append(asyncio.create_task(self._inject_fault()))
            await asyncio.sleep(self.random.uniform(*FAULT_SECONDS))
        await asyncio.gather(*faults)

    async def _inject_fault(self) -> None:
        await self._disrupt_daemon(*self._draw_fault(FAULTS))

    async def _call(self, number: int, caller: int, ends_at: float) -> None:
        """Send requests one after the other on a connection until it breaks."""
        generator = random.Random(f"{self.seed} {number} {caller}")
        rate = REQUESTS_PER_SECOND / self.daemon_count / CONNECTIONS
        address = split_address(self.caller_addresses[number])
        connection = None
        count = 0
        while time.monotonic() < ends_at:
            await asyncio.sleep(generator.expovariate(rate))
            count += 1
            attempt = f"{number}-{caller}-{count}"
            status = 0
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(4.0):
                    if connection is None or connection.closed:
                        connection = await connect(*address, 1.0)
                    path = generator.choice(("read", "book"))
                    status = await _request(connection, attempt, path)
            self.statuses[attempt] = status
            if not status and connection is not None:
                connection.close()
                connection = None

    def violations(self) -> list[str]:
        """Return what broke the rules."""
        found = []
        worst_part = 0.0
        for name, report in self.reports.items():
            times = sorted(
                at
                for at, attempt in report["arrivals"]
                if not self._disrupted(
                    f"entry-{attempt.partition('-')[0]}", at, CONTACT_SECONDS
                )
            )
            for begin in times:
                limit = self._limit_of_window(name, begin)
                if limit is None:
                    continue
                count = sum(begin <= at < begin + WINDOW_SECONDS for at in times)
                worst_part = max(worst_part, count / allowed(limit))
                if count > allowed(limit):
                    found.append(f"{name}: {count} in a window with limit {limit}")
                    break
            for run in report["runs"]:
                attempt = run["headers"]["x-attempt-id"]
                if self.statuses.get(attempt) in REFUSED:
                    found.append(f"{attempt} was refused and ran at {name}")
        statuses = list(self.statuses.values())
        print(
            f"seed {self.seed}: {len(statuses)} requests, "
            f"{statuses.count(200)} served, "
            f"{sum(item in REFUSED for item in statuses)} refused, "
            f"{sum(map(len, self.changes.values()))} changes, "
            f"{sum(map(len, self.disrupted_at.values())) // 2} faults, "
            f"fullest window {worst_part:.2f} of what is allowed",
            flush=True,
        )
        return found

    def _limit_of_window(self, name: str, begin: float) -> float | None:
        """Return the highest limit of a window, ``None`` if the window does not count.

        News of a limit take some time, so the limits of that time before count too.
        """
        first, last = begin - CONTACT_SECONDS, begin + WINDOW_SECONDS
        before = [limit for at, limit in self.changes[name] if at <= first]
        within = [limit for at, limit in self.changes[name] if first < at < last]
        in_force = [*before[-1:], *within]
        return max(in_force) if before and all(in_force) else None


async def _request(connection, attempt: str, path: str) -> int:
    """Send a request and return the status of its complete answer, else 0."""
    lines = [
        (b"host", HOST.encode()),
        (b"x-attempt-id", attempt.encode()),
        (b"x-deadline", b"1000"),
        (b"authorization", b"Bearer " + KEY.encode()),
        (b"content-length", b"0"),
    ]
    connection.send("POST", encode_head(f"POST /{path}/x HTTP/1.1".encode(), lines))
    status = await connection.read_head()
    while piece := await connection.read_piece():
        pass
    if piece is None:
        return 0
    connection.finish()
    return status


def run_seed(seed, seconds, folder=None, daemons=3, workers=4) -> list[str]:
    """Run one seed and return the violations; keep the logs in the folder if given."""
    return run_soak(
        lambda path: LimitSoak(seed, seconds, path, daemons, workers), folder
    )


def main() -> int:
    """Run one or more seeds."""
    parser = build_parser("Soak the limits of upstreams.")
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    return run_seeds(
        options,
        f"limits-{options.daemons}",
        lambda seed, folder: run_seed(
            seed, options.seconds, folder, options.daemons, options.workers
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
