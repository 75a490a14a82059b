"""Another writer's entry among the workers', then a release of a service's workers."""

import asyncio
import time
from pathlib import Path

import harness
from harness import caller_headers, configuration

DAEMONS = ("entry-1", "entry-2")
OLD_WORKERS = ("desk-1", "desk-2")
NEW_WORKERS = ("desk-3", "desk-4")
WORKER_MODULE = "camphorgate_standins.hosting_worker"
DRAIN_SECONDS = 2.0
# Arrivals this much later than the bound count, as processes are scheduled late.
MARGIN_SECONDS = 0.25
# An old worker serves on for the bound and this much longer, and then exits.
LINGER_SECONDS = 2.0
CALL_SECONDS = 10.0
CALL_INTERVAL_SECONDS = 0.05
# A whole number that no integer of 64 bits holds.
FOREIGN_BORN = 1764950000000 * 10**12


async def case(cluster, trouble):
    """Return the requests that reached a worker after it had drained."""
    await cluster.start_store()
    await cluster.put("op/config", configuration())
    for name in OLD_WORKERS:
        await cluster.start_worker(name, WORKER_MODULE, slots=6)
    for name in DAEMONS:
        await cluster.start_daemon(name)
    await asyncio.sleep(5.0)
    if trouble:
        entry = cluster.workers["desk-1"]
        foreign = {**entry, "service": "unknown", "born": FOREIGN_BORN}
        await cluster.put("servers/foreign", foreign)
    await asyncio.sleep(5.0)
    for name in NEW_WORKERS:
        await cluster.start_worker(name, WORKER_MODULE, slots=6)
    for name in OLD_WORKERS:
        entry = {**cluster.workers[name], "state": "draining", "sequence": 2}
        await cluster.put(f"servers/{name}", entry)
    confirmed = time.time()
    sent_at = {}
    statuses = {}
    calls = asyncio.create_task(call(cluster, sent_at, statuses))
    await asyncio.sleep(DRAIN_SECONDS + LINGER_SECONDS)
    arrivals = {name: (await cluster.runs(name))["arrivals"] for name in OLD_WORKERS}
    for name in OLD_WORKERS:
        await cluster.remove(f"servers/{name}")
        await cluster.end(name)
    ended = time.time()
    await calls
    broken = []
    for name, rows in arrivals.items():
        for at, attempt in rows:
            seconds = at - confirmed
            cluster.note(f"{attempt} reached {name} {seconds:.3f} s after the change")
            if attempt in sent_at and seconds > DRAIN_SECONDS + MARGIN_SECONDS:
                broken.append(
                    f"DRAIN: {attempt} reached {name} {seconds:.2f} s after the "
                    "store confirmed that it drains"
                )
    late = [name for name, at in sent_at.items() if at > ended]
    served = sum(statuses[name] == 200 for name in late)
    cluster.note(f"{served} of {len(late)} bookings sent after the exits were served")
    for name in DAEMONS:
        for line in cluster.log(name).splitlines():
            if "task_failed" in line or "task=" in line:
                cluster.note(f"{name}: {line}")
    return broken


async def call(cluster, sent_at, statuses):
    """Send bookings to the daemons in turn, each on a channel of its own."""
    until = time.monotonic() + CALL_SECONDS
    number = 0
    while time.monotonic() < until:
        daemon = DAEMONS[number % len(DAEMONS)]
        attempt = f"attempt-{number}"
        channel = await cluster.channel(daemon)
        sent_at[attempt] = time.time()
        headers = caller_headers(attempt)
        reply = await channel.call("POST", "/book/a", headers, b"{}")
        channel.close()
        statuses[attempt] = reply.status
        cluster.note(f"{attempt} to {daemon} is answered {reply.status}")
        number += 1
        await asyncio.sleep(CALL_INTERVAL_SECONDS)


if __name__ == "__main__":
    harness.main(Path(__file__).parent, case)
