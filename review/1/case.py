"""Wrong bytes behind an event, in a stream that another worker goes on with."""

import asyncio
import re
from pathlib import Path

import harness
from harness import NotRunError, caller_headers, configuration, route

DAEMONS = ("entry-1", "entry-2")
# The system plans two decoding engines for three in a zone; the third prefills.
WORKERS = ("engine-1", "engine-2")
PREFILL_MODULE = "camphorgate_standins.hosting_worker"
EVENTS = 12
SPOILED_AFTER = 5
# About 80 answers a worker, of which one is spoiled.
REQUESTS = 160
CALLERS = 8


async def case(cluster, trouble):
    """Return the complete streams in which an event is missing or comes twice."""
    await cluster.start_store()
    changes = {"kind": "streaming", "sticky": True, "resumable": True}
    chat = route("chat", "/chat/", "models", **changes, **{"timeout-ms": 8000})
    routes = [*configuration()["routes"], chat]
    await cluster.put("op/config", configuration(routes=routes))
    for name in WORKERS:
        # One answer of one worker is spoiled.
        spoiled = SPOILED_AFTER if trouble and name == WORKERS[0] else 0
        options = {"phase": "decode", "events": EVENTS, "spoil_after": spoiled}
        await cluster.start_worker(name, "scripted_worker", "models", **options)
    options = {"phase": "prefill", "slots": 64}
    await cluster.start_worker("engine-3", PREFILL_MODULE, "models", **options)
    for name in DAEMONS:
        await cluster.start_daemon(name)
    await asyncio.sleep(4.0)
    broken = []
    numbers = iter(range(REQUESTS))
    callers = [call(cluster, numbers, broken) for _ in range(CALLERS)]
    served = sum(await asyncio.gather(*callers))
    cluster.note(f"{served} of {REQUESTS} streams are complete")
    if not trouble and served < REQUESTS:
        raise NotRunError(f"{served} of {REQUESTS} streams were served")
    for name in WORKERS:
        for run in (await cluster.runs(name))["runs"]:
            cluster.note(f"{name} ran {run}")
    return broken


async def call(cluster, numbers, broken):
    """Send requests one after the other and return how many streams are complete."""
    served = 0
    for number in numbers:
        daemon = DAEMONS[number % len(DAEMONS)]
        attempt = f"attempt-{number}"
        prompt = {
            "X_Model": "m",
            "X_Token_Count": f"300,{11 * EVENTS}",
            "X_Prompt_Prefix": f"aa{number:02x}:200,bb{number:02x}:100",
        }
        headers = caller_headers(attempt, 8000, **prompt)
        channel = await cluster.channel(daemon)
        reply = await channel.call("POST", "/chat/a", headers, b"{}")
        channel.close()
        ids = [int(item) for item in re.findall(rb"^id: (\d+)$", reply.body, re.M)]
        cluster.note(
            f"{attempt} to {daemon} is answered {reply.status}, complete: "
            f"{reply.whole}, events {ids}"
        )
        complete = reply.status == 200 and reply.whole
        served += complete
        if complete and ids != list(range(1, EVENTS + 1)):
            broken.append(f"ORDER: {attempt} is complete with the events {ids}")
    return served


if __name__ == "__main__":
    harness.main(Path(__file__).parent, case)
