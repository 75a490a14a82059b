"""A moved route goes on to its old service while a watch of the store is silent."""

import asyncio
import time
from pathlib import Path

import harness
from harness import Proxy, caller_headers, configuration, route

DAEMONS = ("entry-1", "entry-2")
WORKER_MODULE = "camphorgate_standins.hosting_worker"
WORKERS = {"desk-1": "desk", "desk-2": "desk", "depot-1": "depot"}
# Bounds of the deployment: a version is in force, and a machine is in touch again.
APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
MARGIN_SECONDS = 0.25
SILENCE_AFTER_SECONDS = 0.5
MOVE_AFTER_SECONDS = 1.0
CALL_SECONDS = 8.0
CALL_INTERVAL_SECONDS = 0.05


def build_version(version, service):
    """Return a version in which a service takes the bookings."""
    desk, models = configuration()["services"]
    routes = [
        route("read", "/read/", "desk"),
        route("book", "/book/", service, kind="non_idempotent", **{"max-attempts": 1}),
    ]
    services = [desk, {**desk, "name": "depot"}, models]
    return configuration(version, routes=routes, services=services)


async def case(cluster, trouble):
    """Return the bookings that the old service ran later than the bound."""
    await cluster.start_store()
    await cluster.put("op/config", build_version(1, "desk"))
    for name, service in WORKERS.items():
        await cluster.start_worker(name, WORKER_MODULE, service, slots=6)
    proxies = []
    for name in DAEMONS:
        proxy = Proxy(cluster.store)
        await proxy.start(cluster.free_address())
        proxies.append(proxy)
        await cluster.start_daemon(name, store=proxy.address)
    await asyncio.sleep(CONTACT_SECONDS + 4.0)
    await cluster.put("op/config", build_version(2, "desk"))
    await asyncio.sleep(SILENCE_AFTER_SECONDS)
    silent_at = time.time()
    if trouble:
        for name, proxy in zip(DAEMONS, proxies, strict=True):
            silent, channels = proxy.silence(is_watch)
            cluster.note(f"{silent} of {channels} channels of {name} are silent")
    await asyncio.sleep(MOVE_AFTER_SECONDS)
    await cluster.put("op/config", build_version(3, "depot"))
    confirmed_at = time.time()
    bound = max(confirmed_at + APPLY_SECONDS, silent_at + CONTACT_SECONDS)
    broken = []
    number = 0
    until = time.monotonic() + CALL_SECONDS
    while time.monotonic() < until:
        daemon = DAEMONS[number % len(DAEMONS)]
        attempt = f"attempt-{number}"
        channel = await cluster.channel(daemon)
        sent_at = time.time()
        reply = await channel.call("POST", "/book/a", caller_headers(attempt), b"{}")
        channel.close()
        seconds = sent_at - confirmed_at
        stamp = reply.headers.get("x-server-stamp", "")
        cluster.note(
            f"{attempt} to {daemon}, sent {seconds:.2f} s after the confirmation, is "
            f"answered {reply.status} by {stamp}"
        )
        if stamp.startswith("desk-") and sent_at > bound + MARGIN_SECONDS:
            broken.append(
                f"CONFIG: {attempt} was run by the old service {seconds:.2f} s after "
                f"the confirmation, {sent_at - silent_at:.2f} s after the channel went "
                "silent"
            )
        number += 1
        await asyncio.sleep(CALL_INTERVAL_SECONDS)
    for name in WORKERS:
        cluster.note(f"{name} ran {len((await cluster.runs(name))['runs'])} bookings")
    return broken


def is_watch(request):
    """Return whether a channel waits for changes of the configuration."""
    return "/v1/kv-watch" in request and "path-prefix=op/" in request


if __name__ == "__main__":
    harness.main(Path(__file__).parent, case)
