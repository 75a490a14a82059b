"""Holders act in the order A, B, A within a lease where no fence is checked."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from review_fleet import (  # noqa: E402
    Fleet,
    Record,
    configuration,
    route,
    run_case,
    service,
    trouble,
)
from review_platform import Call, Platform  # noqa: E402

LEASE_SECONDS = 3.0
RESTART_SECONDS = 0.3
# An order is not repeated before startup-s and 2 s have passed.
STARTUP_SECONDS = 4.0
# Delays of the cycles, so that they meet different moments between two renewals, which
# are a second apart.
OFFSETS = (0.0, 0.0, 0.5, 0.25, 0.75)
LAST_CYCLE_SECONDS = 88.0
SLOTS = 64
SPOT = "scale models zone-a spot"
# The holder, which starts first, and the instance that starts after it. Of two
# instances that want a free duty, front-1 has the first turn.
FIRST, SECOND = "front-2", "front-1"


def find_alternation(calls: list[Call]) -> tuple[Call, Call, Call] | None:
    """Return calls of holders A, B, A on one subject within a lease."""
    for subject in {call.subject for call in calls}:
        turns = [call for call in calls if call.subject == subject]
        for last, third in enumerate(turns):
            for middle in range(last):
                second = turns[middle]
                if second.holder == third.holder:
                    continue
                for first in turns[:middle]:
                    within = third.at - first.at < LEASE_SECONDS
                    if first.holder == third.holder and within:
                        return first, second, third
    return None


async def case(record: Record) -> bool:
    """Play cycles until the rule is broken, and return whether it held."""
    platform = Platform(record, checks_fence=False)
    await platform.start()
    async with Fleet(record) as fleet:
        await fleet.start_store()
        engine = {"slots": SLOTS, "kv-capacity": 460806, "kv-token-bytes": 18432}
        engine |= {"link-mbps": 550000.0, "kv-hold-s": 5.0, "role-switch-s": 3.0}
        scaling = {"min": 1, "max": 4, "startup-s": STARTUP_SECONDS}
        scaling |= {"spot-price": 0.15, "zone-prices": {"zone-a": 1.0}}
        models = {**service("models"), "engine": engine, "scaling": scaling}
        routes = [route("chat", "streaming", "models", sticky=True)]
        await fleet.put("op/config", configuration(routes, [models]))
        await fleet.start_engine("engine-0", "decode", SLOTS)
        await fleet.start_engine("engine-1", "decode", SLOTS, spot=True)
        await fleet.start_engine("engine-2", "prefill", SLOTS, spot=True)
        await fleet.start_engine("engine-3", "prefill", SLOTS, spot=True)
        seeds: list[str] = []
        for name in (FIRST, SECOND):
            settings = fleet.daemon_settings(
                name,
                seeds,
                operations_address=platform.address,
                duty={"require_fence": False},
                budget={"ratio": 0.2, "slack": 214, "window_seconds": 10},
            )
            await fleet.start_daemon(name, settings)
            await fleet.wait_ready(name)
            seeds = [settings["peer_address"]]
            if name == FIRST:
                await platform.next_call(0, 15.0, SPOT)
        for cycle in range(len(OFFSETS)):
            if time.monotonic() - record.began > LAST_CYCLE_SECONDS:
                break
            # The lease ends 2 to 3 s after the kill, as the last renewal was up to 1 s
            # before it; each cycle meets another moment between two renewals.
            await asyncio.sleep(STARTUP_SECONDS + OFFSETS[cycle])
            await play(fleet, platform, cycle)
            if find_alternation(platform.calls):
                break
    found = find_alternation(platform.calls)
    for call in found or ():
        record.line(
            f"alternation: {call.holder} at {call.at - record.began:.3f}"
            f" with token {call.token} on {call.subject}"
        )
    return found is None


async def play(fleet: Fleet, platform: Platform, cycle: int) -> None:
    """Let a spot engine be lost; kill who orders another one, stop who comes next."""
    record = fleet.record
    known = len(platform.calls)
    engine = f"engine-{cycle + 3}"
    record.line(f"{engine} of four is lost for good")
    await fleet.lose_worker(engine)
    first = await platform.next_call(known, 8.0, SPOT)
    if first is None:
        record.line("nobody ordered another engine")
    elif trouble():
        await kill_and_stop(fleet, platform, first)
    # What was ordered is there after startup-s.
    ordered_at = first.at if first is not None else time.monotonic()
    await asyncio.sleep(max(0.0, ordered_at + STARTUP_SECONDS - time.monotonic()))
    await fleet.start_engine(f"engine-{cycle + 4}", "prefill", SLOTS, spot=True)


async def kill_and_stop(fleet: Fleet, platform: Platform, first: Call) -> None:
    """Kill the holder, and stop the next one once it has acted."""
    record = fleet.record
    known = len(platform.calls)
    record.line(f"SIGKILL {first.holder}, which acted last")
    fleet.processes[first.holder].kill()
    await fleet.processes[first.holder].wait()
    await asyncio.sleep(RESTART_SECONDS)
    record.line(f"{first.holder} starts again")
    await fleet.start_daemon(first.holder)
    second = await platform.next_call(known, 6.0, SPOT)
    if second is None or second.holder == first.holder:
        record.line("no other instance acted")
        return
    record.line(f"SIGTERM {second.holder}, which holds the duty now")
    fleet.signal(second.holder, signal.SIGTERM)
    await fleet.processes[second.holder].wait()
    await asyncio.sleep(RESTART_SECONDS)
    await fleet.start_daemon(second.holder)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
