"""Soaks the quarantine: ``python -m tests.soak.crashing_parts [--seed N] [--seeds N]``.

One prompt part ends each engine process that begins to answer it. Meanwhile racks of
engines are killed, and daemons are killed, stopped, paused and cut off from the store.
Sound requests share the caller, the route and the first part with the crashing ones.
"""

import asyncio
import contextlib
import itertools
import random
import sys
import time

from camphorgate.settings import split_address
from camphorgated.serving.client_connection import connect
from camphorgated.serving.http1 import encode_head
from tests.hosted import free_address
from tests.hosting_builders import HOST, KEY, build_platform_entry
from tests.soak.disrupted import DisruptedSoak
from tests.soak.seeds import build_parser, run_seeds, run_soak

PART = "bad0"
# The users' rule: more than this many sends later than this after the fifth end.
ENDS = 5
CONTACT_SECONDS = 3.0
MAX_LATE_SENDS = 3
ENGINE_RESTART_SECONDS = 2.0
SOUND_PER_SECOND = 15.0
CRASHING_PER_SECOND = 2.0
# Faults begin this long after the load, and end this long before it does.
QUIET_SECONDS = 2.0
# Sound requests are judged outside disruptions of daemons and racks.
DISRUPTION_SECONDS = 4.0
MIN_SOUND_SHARE = 0.8
FAULTS = ("kill", "stop", "pause", "store_silent", "rack")


class CrashSoak(DisruptedSoak):
    """One run with several daemons and engines."""

    def __init__(self, seed, seconds, folder, daemons=3, engines=6) -> None:
        super().__init__(seed, seconds, folder, daemons)
        self.engine_count = engines
        self.crash_log = folder / "crashes"
        self.engine_numbers = itertools.count(1)
        self.engines: dict[str, int] = {}
        self.outcomes: list[tuple[float, str, bool]] = []

    async def run(self) -> list[str]:
        """Run the load and the faults and return the violations."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._end_processes)
            await self._start_all()
            keeper = asyncio.create_task(self._replace_engines())
            load = [
                asyncio.create_task(self._load(SOUND_PER_SECOND, "m{}")),
                asyncio.create_task(self._load(CRASHING_PER_SECOND, PART)),
            ]
            faults = []
            at = QUIET_SECONDS
            began = time.monotonic()
            while at < self.seconds - QUIET_SECONDS - DISRUPTION_SECONDS:
                await asyncio.sleep(max(0.0, began + at - time.monotonic()))
                faults.append(asyncio.create_task(self._inject_fault()))
                at += self.random.uniform(0.5, 3.0)
            await asyncio.gather(*load, *faults)
            self.stopping = True
            keeper.cancel()
            await asyncio.gather(keeper, return_exceptions=True)
            return self.violations()

    async def _start_upstreams(self) -> None:
        for _ in range(self.engine_count):
            await self._start_engine()

    async def _start_engine(self) -> None:
        name = f"engine-{next(self.engine_numbers)}"
        address = free_address()
        self.commands[name] = [
            *(sys.executable, "-m", "camphorgate_standins.hosting_worker"),
            *("--address", address, "--id", name, "--phase", "decode"),
            *("--slots", "64", "--crash-part", PART),
            *("--crash-log", str(self.crash_log)),
        ]
        await self._spawn(name)
        entry = build_platform_entry(address, service="models", phase="decode")
        self.engines[name] = self.processes[name].pid
        # An engine is listed once it listens.
        async with asyncio.timeout(10.0):
            while True:
                try:
                    connection = await connect(*split_address(address), 1.0)
                except OSError:
                    if self.processes[name].returncode is not None:
                        # A failing rack ended it meanwhile.
                        return
                    await asyncio.sleep(0.05)
                    continue
                connection.close()
                break
        await self._put_in_store(f"servers/{name}", entry)

    async def _replace_engines(self) -> None:
        starts = set()
        while True:
            await asyncio.sleep(0.05)
            for name in list(self.engines):
                if self.processes[name].returncode is not None:
                    del self.engines[name]
                    starts.add(asyncio.create_task(self._replace_engine(name)))

    async def _replace_engine(self, name: str) -> None:
        await asyncio.sleep(ENGINE_RESTART_SECONDS)
        target = f"/control/remove?key=servers/{name}"
        await self.store.call("POST", target)
        if not self.stopping:
            await self._start_engine()

    async def _inject_fault(self) -> None:
        fault, seconds, number = self._draw_fault(FAULTS)
        if fault != "rack":
            await self._disrupt_daemon(fault, seconds, number)
            return
        self._disrupt("rack")
        for name in self.random.sample(
            list(self.engines), min(len(self.engines), self.engine_count // 3)
        ):
            with contextlib.suppress(ProcessLookupError):
                self.processes[name].kill()

    async def _load(self, rate: float, part: str) -> None:
        generator = random.Random(f"{self.seed} {part}")
        ends_at = time.monotonic() + self.seconds
        tasks = set()
        count = 0
        while time.monotonic() < ends_at:
            await asyncio.sleep(generator.expovariate(rate))
            count += 1
            attempt = f"{part.format('')}{self.seed}-{count}"
            number = generator.randrange(self.daemon_count)
            middle = part.format(generator.randrange(20))
            tasks.add(asyncio.create_task(self._send(number, attempt, middle)))
        await asyncio.gather(*tasks)

    async def _send(self, number: int, attempt: str, middle: str) -> None:
        sent_at = time.time()
        served = False
        connection = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(5.0):
                address = self.caller_addresses[number]
                connection = await connect(*split_address(address), 1.0)
                served = await _request(connection, attempt, middle, number)
        if connection is not None:
            connection.close()
        if middle != PART:
            self.outcomes.append((sent_at, f"entry-{number}", served))

    def violations(self) -> list[str]:
        """Return what broke the rules."""
        lines = []
        if self.crash_log.exists():
            lines = self.crash_log.read_text(encoding="utf-8").splitlines()
        crashes = sorted(
            (float(at), attempt) for at, _, attempt in map(str.split, lines)
        )
        ends: dict[str, float] = {}
        for line in lines:
            at, engine, _ = line.split()
            ends.setdefault(engine, float(at))
        found = []
        times = sorted(ends.values())
        late = []
        if len(times) >= ENDS:
            last = times[ENDS - 1] + CONTACT_SECONDS
            late = [(at, name) for at, name in crashes if at > last]
        numbers = self._daemons_by_attempt()
        counted = [
            attempt
            for at, attempt in late
            if not self._disrupted(numbers.get(attempt, ""), at, CONTACT_SECONDS)
        ]
        if len(counted) > MAX_LATE_SENDS:
            found.append(f"{len(counted)} late sends, {len(times)} ends: {counted}")
        judged = [
            served
            for at, name, served in self.outcomes
            if not self._disrupted(name, at, DISRUPTION_SECONDS)
            and not self._disrupted("rack", at, DISRUPTION_SECONDS)
            and (len(times) < ENDS or at > times[ENDS - 1] + 2 * CONTACT_SECONDS)
        ]
        share = sum(judged) / len(judged) if judged else 1.0
        if len(judged) >= 20 and share < MIN_SOUND_SHARE:
            found.append(f"only {share:.2f} of {len(judged)} sound requests served")
        print(
            f"seed {self.seed}: {len(times)} ends, {len(crashes)} sends, "
            f"{len(late)} late, {len(counted)} counted; sound {share:.3f} of "
            f"{len(judged)} judged, {len(self.outcomes)} sent",
            flush=True,
        )
        return found

    def _daemons_by_attempt(self) -> dict[str, str]:
        """Return the daemon that each crashing request was sent to."""
        generator = random.Random(f"{self.seed} {PART}")
        found = {}
        for count in range(1, int(self.seconds * CRASHING_PER_SECOND * 3) + 10):
            generator.expovariate(CRASHING_PER_SECOND)
            number = generator.randrange(self.daemon_count)
            generator.randrange(20)
            found[f"{PART}{self.seed}-{count}"] = f"entry-{number}"
        return found


async def _request(connection, attempt: str, middle: str, number: int) -> bool:
    """Send a request and return whether the caller got its whole stream."""
    parts = f"common:60,{middle}:60,own-{attempt}:60"
    lines = [
        (b"host", HOST.encode()),
        (b"x-attempt-id", attempt.encode()),
        (b"x-deadline", b"4000"),
        (b"authorization", b"Bearer " + KEY.encode()),
        (b"x-model", b"m"),
        (b"x-token-count", b"180,44"),
        (b"x-prompt-prefix", parts.encode()),
        (b"content-length", b"0"),
    ]
    path = "chat" if number % 2 else "draft"
    connection.send("POST", encode_head(f"POST /{path}/x HTTP/1.1".encode(), lines))
    status = await connection.read_head()
    while piece := await connection.read_piece():
        pass
    return status == 200 and piece is not None


def run_seed(seed, seconds, folder=None, daemons=3, engines=6) -> list[str]:
    """Run one seed and return the violations; keep the logs in the folder if given."""
    return run_soak(
        lambda path: CrashSoak(seed, seconds, path, daemons, engines), folder
    )


def main() -> int:
    """Run one or more seeds."""
    parser = build_parser("Soak the quarantine of parts.")
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--engines", type=int, default=6)
    options = parser.parse_args()
    return run_seeds(
        options,
        f"crashes-{options.daemons}",
        lambda seed, folder: run_seed(
            seed, options.seconds, folder, options.daemons, options.engines
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
