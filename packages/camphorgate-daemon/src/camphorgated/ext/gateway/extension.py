"""Sets up the gateway as an extension of the daemon."""

import asyncio
from typing import Any

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgated.ext.gateway.callers import Listener
from camphorgated.ext.gateway.gateway import Gateway

REFRESH_INTERVAL_SECONDS = 0.5
# How long a stopping daemon waits for responses that are being stored in KV.
MAX_STORE_DRAIN_SECONDS = 5.0


def setup(app: Application) -> None:
    """Add the request path to a daemon."""
    gateway = Gateway(app)
    listener = Listener(gateway)
    for event in ("upstreams-changed", "leaving", "request-finished"):
        app.declare_event(event)
    app.connect("manifest-changed", gateway.apply_manifest)
    app.provide("upstreams", gateway.upstreams)
    app.provide("fairness", gateway.admission.fairness)
    app.provide("demand", gateway.demand)
    app.provide("gateway", GatewayService(gateway, listener))
    app.add_dump_section("gateway", lambda: _dump(gateway))

    async def start() -> None:
        gateway.start()
        app.supervise(gateway.deadline_monitor.run, "end overdue waits")
        app.supervise(
            lambda: _refresh(gateway), "refresh upstreams from the platform's list"
        )
        await listener.start()

    async def stop() -> None:
        await drain(gateway, listener)

    app.on_start(start)
    app.on_stop(stop)


class GatewayService:
    """Interface of the gateway for other extensions and tests."""

    __slots__ = ("gateway", "_listener")

    def __init__(self, gateway: Gateway, listener: Listener) -> None:
        """Wrap the gateway."""
        self.gateway = gateway
        self._listener = listener

    @property
    def address(self) -> str:
        """Return the address on which callers are accepted."""
        return self._listener.address

    def counters(self) -> dict[str, Any]:
        """Return the counters and the backlog, for metrics."""
        return _dump(self.gateway)


async def drain(gateway: Gateway, listener: Listener) -> None:
    """Shut down without aborting a request.

    ``/readyz`` fails first. Requests are accepted for as long as the platform's list
    may lag, because its load balancer sends them here until then.
    """
    gateway.leaving = True
    if gateway.app.has_service("membership"):
        gateway.app.service("membership").announce_leaving()
    gateway.app.emit("leaving")
    log_event("leaving", in_flight=gateway.recorder.in_flight)
    await asyncio.sleep(gateway.settings.platform.list_lag_seconds)
    await listener.stop(gateway.settings.timing.stop_grace_seconds)
    if gateway.storing_tasks:
        await asyncio.wait(gateway.storing_tasks, timeout=MAX_STORE_DRAIN_SECONDS)
    await gateway.connector.cleanup()
    log_event("left", in_flight=gateway.recorder.in_flight)


async def _refresh(gateway: Gateway) -> None:
    """Apply changes of the platform's list and close idle connections."""
    last: Any = None
    while True:
        await asyncio.sleep(REFRESH_INTERVAL_SECONDS)
        gateway.connector.pool.close_idle()
        gateway.admission.update_window_shares()
        if not gateway.app.has_service("membership"):
            continue
        listed = list(gateway.app.service("membership").platform_upstreams())
        index = gateway.configuration.index
        state = (listed, gateway.update_instance_count())
        if index is not None and state != last:
            last = state
            gateway.apply_manifest(index)


def _dump(gateway: Gateway) -> dict[str, Any]:
    return {
        "leaving": gateway.leaving,
        "requests": gateway.recorder.dump(),
        "queues": gateway.admission.dump(),
        "upstreams": gateway.upstreams.dump(),
        "fairness": {
            kind: order.snapshot()
            for kind, order in gateway.admission.fairness.by_kind.items()
        },
    }
