"""Runs a soak: ``python -m tests.soak.run [--mix M] [--seed N] [--seeds N] ...``.

Daemons, store and workers run as separate processes. Faults are injected from outside:
by signals, by loopback proxies and by the control endpoints of the stand-ins. Prints
the seed and every violation; the exit code is 1 if there was one.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from pathlib import Path

import msgspec

from camphorgated.serving.call_client import CallClient
from camphorgated.serving.errors import CallFailed
from tests.hosted import build_hosted_settings, free_address
from tests.hosting_builders import (
    build_platform_configuration,
    build_platform_entry,
)
from tests.soak.callers import EVENTS_PER_STREAM, call_once, call_until_stopped
from tests.soak.checks import (
    CallerRequest,
    find_interruptions,
    find_unexpected_windows,
    find_violations,
)
from tests.soak.plan import FAULTS_BY_MIX, ScheduledFault, build_plan
from tests.soak.proxy import Proxy
from tests.soak.seeds import build_parser, run_seeds, run_soak
from tests.soak.worker_notices import DRAIN_SECONDS, WorkerNotices

DAEMONS = 3
CALLERS = 8
KEYS = {"key-north": "north", "key-south": "south"}
START_SECONDS = 15.0
RESTART_SECONDS = 0.3
WINDOW_SECONDS = 1.0
# Largest clock step; half of the steps are limited to 5 s instead.
MAX_CLOCK_STEP_SECONDS = 2400.0
# A configuration is in force this long after the store accepted it, at all instances
# that had no fault for some time before (bounds of the smallest deployments).
CONFIGURATION_SECONDS = 2.0
FAULT_FREE_SECONDS = 3.0
LATE_KEY = "key-late"
# Index of the worker that drains at the end, and requests to each daemon after that.
LATE_WORKER = 0
LATE_REQUESTS = 4
WATCH_CALL = b"/v1/kv-watch"
ODD_FIELDS = (
    {"born": 10**30},
    {"slots": -(10**30)},
    {"sequence": 2**63},
    {"state": "unknown"},
    {"slots": "many"},
    {"address": "nowhere"},
)
WORKERS = (
    ("desk-1", "desk", ""),
    ("desk-2", "desk", ""),
    ("read-1", "models", "prefill"),
    ("answer-1", "models", "decode"),
    ("answer-2", "models", "decode"),
)


class Soak:
    """One run of a fault schedule against a small cluster."""

    def __init__(self, seed: int, seconds: float, folder: Path, mix: str = "mixed"):
        self.seed = seed
        self.seconds = seconds
        self.folder = folder
        self.mix = mix
        self.keys = KEYS
        self.began_at = time.time()
        self.random = random.Random(seed + 1)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.commands: dict[str, list[str]] = {}
        self.store_address = free_address()
        self.store = CallClient(_split_address(self.store_address), 3.0)
        self.store_proxies: list[Proxy] = []
        self.worker_proxies: list[Proxy] = []
        self.worker_addresses: list[str] = []
        self.caller_addresses: list[str] = []
        self.requests: list[CallerRequest] = []
        self.withdrawn_at_by_key: dict[str, float] = {}
        self.version = 1
        self.draining: set[int] = set()
        self.notices = WorkerNotices()
        self.restarting: set[str] = set()
        self.stopping = False

    async def run(self) -> list[str]:
        """Run the schedule and return the violations."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._end_processes)
            await self._start()
            callers = [
                asyncio.create_task(call_until_stopped(self, number))
                for number in range(CALLERS)
            ]
            began = time.monotonic()
            faults = []
            for step in build_plan(self.seed, self.seconds, self.mix):
                await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
                faults.append(asyncio.create_task(self._inject(step)))
            await asyncio.sleep(max(0.0, began + self.seconds - time.monotonic()))
            await asyncio.gather(*faults)
            self.stopping = True
            await asyncio.gather(*callers)
            return await self._check()

    async def _start(self) -> None:
        python = [sys.executable, "-m"]
        self.commands["store"] = [
            *python,
            "camphorgate_standins.hosting_store",
            "--address",
            self.store_address,
        ]
        await self._spawn("store")
        for worker_id, _, phase in WORKERS:
            address = free_address()
            self.worker_addresses.append(address)
            proxy = Proxy(address)
            await proxy.start()
            self.worker_proxies.append(proxy)
            self.commands[worker_id] = [
                *python,
                "camphorgate_standins.hosting_worker",
                *("--address", address, "--id", worker_id, "--phase", phase),
                *("--slots", "16"),
            ]
            await self._spawn(worker_id)
        await self._retry_until_true(
            lambda: self._put_in_store("op/config", self._configuration())
        )
        for number in range(len(WORKERS)):
            await self._put_worker_entry(number)
        for number in range(DAEMONS):
            await self._start_daemon(number)
        for address in self.caller_addresses:
            await self._retry_until_true(
                lambda address=address: self._is_ready(address)
            )

    async def _start_daemon(self, number: int) -> None:
        proxy = Proxy(self.store_address)
        await proxy.start()
        self.store_proxies.append(proxy)
        settings = build_hosted_settings(
            proxy.address,
            instance_id=f"entry-{number}",
            duties=["usage"],
            times={"lease_seconds": 1.5, "usage_window_seconds": WINDOW_SECONDS},
        )
        self.caller_addresses.append(settings.caller_address)
        path = self.folder / f"entry-{number}.jsonc"
        path.write_bytes(msgspec.json.encode(settings))
        name = f"entry-{number}"
        program = (
            "tests.soak.shifted_clock" if self.mix == "clocks" else "camphorgated.main"
        )
        self.commands[name] = [sys.executable, "-m", program, str(path)]
        await self._spawn(name)

    async def _spawn(self, name: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        environment = {**os.environ, "SOAK_CLOCK": str(self.folder / f"{name}.clock")}
        self.processes[name] = await asyncio.create_subprocess_exec(
            *self.commands[name], stdout=log, stderr=log, env=environment
        )
        log.close()

    async def _retry_until_true(self, attempt) -> None:
        async with asyncio.timeout(START_SECONDS):
            while True:
                with contextlib.suppress(CallFailed, OSError, TimeoutError):
                    if await attempt():
                        return
                await asyncio.sleep(0.1)

    async def _is_ready(self, address: str) -> bool:
        client = CallClient(_split_address(address), 1.0)
        status, _ = await client.call("GET", "/read/x", headers=[(b"host", b"none")])
        client.close()
        return status == 404

    def _configuration(self) -> bytes:
        tenants = [
            {
                "name": name,
                "api-keys": [
                    key
                    for key, owner in self.keys.items()
                    if owner == name and key not in self.withdrawn_at_by_key
                ],
            }
            for name in dict.fromkeys(self.keys.values())
        ]
        configuration = build_platform_configuration(self.version, tenants=tenants)
        return json.dumps(configuration).encode()

    async def _put_in_store(self, key: str, value: bytes) -> bool:
        target = f"/control/put?key={key}"
        status, _ = await self.store.call("POST", target, value)
        return status == 200

    async def _put_worker_entry(self, number: int, state: str = "ready") -> None:
        worker_id, service, phase = WORKERS[number]
        changes = {"phase": phase} if phase else {}
        changes["born"] = self.notices.incarnation_by_worker[worker_id]
        entry = build_platform_entry(
            self.worker_proxies[number].address, service=service, state=state, **changes
        )
        await self._put_in_store(f"servers/{worker_id}", entry)

    async def _inject(self, step: ScheduledFault) -> None:
        kind, _, rest = step.fault.partition("_")
        if kind in ("kill", "pause", "stop"):
            await self._signal_daemon(
                kind, f"entry-{step.target % DAEMONS}", step.seconds
            )
        elif step.fault == "step_clock":
            await self._step_clock(f"entry-{step.target % DAEMONS}", step)
        elif step.fault in ("store_lose_answers", "store_lose_history"):
            await self._set_standin_fault(self.store, rest, step.seconds, 3)
        elif step.fault == "store_restore":
            await self._restore_store(step)
        elif step.fault == "odd_entry":
            await self._put_odd_entry(step)
        elif step.fault == "store_mute_watches":
            self.store_proxies[step.target % DAEMONS].mute(WATCH_CALL)
        elif kind == "store":
            proxy = self.store_proxies[step.target % DAEMONS]
            await self._inject_network_fault(proxy, rest, step.seconds)
        elif step.fault in ("worker_silent", "worker_reset"):
            proxy = self.worker_proxies[step.target % len(WORKERS)]
            if rest == "reset":
                proxy.reset()
            else:
                await self._inject_network_fault(proxy, rest, step.seconds)
        elif step.fault == "worker_leave":
            await self._announce_leaving(step)
        elif kind == "worker":
            address = self.worker_addresses[step.target % len(WORKERS)]
            client = CallClient(_split_address(address), 2.0)
            await self._set_standin_fault(client, rest, step.seconds, 2)
            client.close()
        elif step.fault == "withdraw_key":
            await self._withdraw_key(step)
        else:
            await self._drain_worker(step)

    async def _restore_store(self, step: ScheduledFault) -> None:
        """Bring the store back from a copy that is at most 6 s old."""
        order = {"age": 2 * step.seconds, "pause": step.seconds / 3}
        with contextlib.suppress(CallFailed):
            await self.store.call(
                "POST", "/control/restore", json.dumps(order).encode()
            )

    async def _put_odd_entry(self, step: ScheduledFault) -> None:
        """Write an entry of another writer among those of the workers."""
        odd = ODD_FIELDS[step.target % len(ODD_FIELDS)]
        fields = {"address": free_address(), "service": "unknown", **odd}
        entry = build_platform_entry(**fields)
        await self._put_in_store(f"servers/odd-{step.target}", entry)

    async def _announce_leaving(self, step: ScheduledFault) -> None:
        """Let a worker announce that it leaves, and restart it later."""
        number = step.target % len(WORKERS)
        if WORKERS[number][2] == "prefill":
            # Its responses, and so its notice, do not reach the callers.
            number = 0
        worker_id, address = WORKERS[number][0], self.worker_addresses[number]
        client = CallClient(_split_address(address), 2.0)
        await self._set_standin_fault(client, "leave", 60.0, 1_000_000)
        await asyncio.sleep(DRAIN_SECONDS + step.seconds)
        await self._set_standin_fault(client, "none", 0.0, 0)
        client.close()
        self.notices.record_restart(worker_id)
        await self._put_worker_entry(number)

    async def _signal_daemon(self, kind: str, name: str, seconds: float) -> None:
        process = self.processes[name]
        if process.returncode is not None:
            return
        entry = self.caller_addresses[int(name.partition("-")[2])]
        self.notices.record_disruption(entry)
        with contextlib.suppress(ProcessLookupError):
            if kind == "pause":
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                process.send_signal(signal.SIGCONT)
                self.notices.record_disruption(entry)
                return
            process.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        # A paused process handles its SIGTERM when it resumes.
        await process.wait()
        if self.processes[name] is process and name not in self.restarting:
            # Another signal may have been waiting for the same process to exit.
            self.restarting.add(name)
            await asyncio.sleep(RESTART_SECONDS)
            await self._spawn(name)
            self.restarting.discard(name)

    async def _step_clock(self, name: str, step: ScheduledFault) -> None:
        """Step the wall clock of a process, then step it back after the duration."""
        generator = random.Random(f"{self.seed} {step.at} {name}")
        max_step = generator.choice((5.0, MAX_CLOCK_STEP_SECONDS))
        path = self.folder / f"{name}.clock"
        path.write_text(str(generator.uniform(-max_step, max_step)))
        await asyncio.sleep(step.seconds)
        path.write_text("0")

    async def _inject_network_fault(
        self, proxy: Proxy, mode: str, seconds: float
    ) -> None:
        proxy.mode, proxy.delay = mode, 0.3
        await asyncio.sleep(seconds)
        proxy.mode = "pass"

    async def _set_standin_fault(
        self, client, fault: str, seconds: float, count: int
    ) -> None:
        fault_order = {"fault": fault, "seconds": seconds, "count": count, "value": 3}
        with contextlib.suppress(CallFailed):
            await client.call(
                "POST", "/control/faults", json.dumps(fault_order).encode()
            )

    async def _withdraw_key(self, step: ScheduledFault) -> None:
        """Withdraw the first API key permanently; the second one stays valid."""
        key = list(KEYS)[0]
        if key in self.withdrawn_at_by_key:
            return
        self.withdrawn_at_by_key[key] = float("inf")
        self.version += 1
        if await self._put_in_store("op/config", self._configuration()):
            self.withdrawn_at_by_key[key] = time.monotonic()

    async def _drain_worker(self, step: ScheduledFault) -> None:
        number = step.target % 2
        if self.draining:
            return
        self.draining.add(number)
        await self._put_worker_entry(number, "draining")
        await asyncio.sleep(step.seconds)
        await self._put_worker_entry(number)
        self.draining.discard(number)

    async def _send_late_requests(self) -> None:
        """Add a key and drain a worker, and use both once every daemon must know."""
        await asyncio.sleep(FAULT_FREE_SECONDS)
        self.keys = {**self.keys, LATE_KEY: "north"}
        self.version += 1
        await self._put_in_store("op/config", self._configuration())
        await self._put_worker_entry(LATE_WORKER, "draining")
        await asyncio.sleep(CONFIGURATION_SECONDS)
        for number, address in enumerate(self.caller_addresses):
            for count in range(LATE_REQUESTS):
                attempt = f"late-{number}-{count}"
                request = CallerRequest(attempt, "book", LATE_KEY, time.monotonic())
                request.instance = address
                self.requests.append(request)
                await call_once(address, request)

    def _find_outdated_daemons(self, runs: list[dict]) -> list[str]:
        """Return the late requests that were handled as before the change."""
        late = [item for item in self.requests if item.key == LATE_KEY]
        violations = [
            f"{item.attempt} at {item.instance}: status {item.status}, its key is"
            f" {CONFIGURATION_SECONDS} s old"
            for item in late
            if item.status in (0, 401, 404)
        ]
        attempts = {item.attempt for item in late}
        return violations + [
            f"{run['headers']['x-attempt-id']} ran at a worker that drains"
            for run in runs
            if run["headers"].get("x-attempt-id") in attempts
            and run["worker"] == WORKERS[LATE_WORKER][0]
        ]

    async def _check(self) -> list[str]:
        if self.mix == "odd":
            await self._send_late_requests()
        runs = []
        reports_by_worker = {}
        for (worker_id, _, _), address in zip(
            WORKERS, self.worker_addresses, strict=True
        ):
            client = CallClient(_split_address(address), 5.0)
            _, body = await client.call("GET", "/control/runs")
            client.close()
            reports_by_worker[worker_id] = json.loads(body)
            runs += reports_by_worker[worker_id]["runs"]
        _, body = await self.store.call("GET", "/control/reports")
        reports = json.loads(body)["reports"]
        served = sum(
            1 for item in self.requests if item.status == 200 and item.complete
        )
        print(
            f"seed {self.seed}: sent {len(self.requests)}, served {served}", flush=True
        )
        violations = find_violations(
            self.requests, runs, reports, self.withdrawn_at_by_key, EVENTS_PER_STREAM
        )
        violations += self._find_outdated_daemons(runs)
        violations += find_unexpected_windows(
            reports, self.began_at / WINDOW_SECONDS, time.time() / WINDOW_SECONDS
        )
        violations += self.notices.find_ignored_notices(
            self.requests, reports_by_worker
        )
        if self.mix == "planned":
            violations += find_interruptions(self.requests, runs)
        if served < len(self.requests) * MIN_SERVED_SHARE:
            violations.append(
                f"only {served} of {len(self.requests)} requests were served"
            )
        return violations

    async def _end_processes(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for proxy in (*self.store_proxies, *self.worker_proxies):
            await proxy.stop()


# Below this share of served requests, the faults would hide the violations.
MIN_SERVED_SHARE = 0.1


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def run_seed(
    seed: int, seconds: float, folder: Path | None = None, mix: str = "mixed"
) -> list[str]:
    """Run one seed and return the violations; keep the logs in the folder if given."""
    return run_soak(lambda path: Soak(seed, seconds, path, mix), folder)


def main() -> int:
    """Run one or more seeds."""
    parser = build_parser("Soak hosted daemons under faults.")
    parser.add_argument("--mix", choices=sorted(FAULTS_BY_MIX), default="mixed")
    options = parser.parse_args()
    return run_seeds(
        options,
        options.mix,
        lambda seed, folder: run_seed(seed, options.seconds, folder, options.mix),
    )


if __name__ == "__main__":
    sys.exit(main())
