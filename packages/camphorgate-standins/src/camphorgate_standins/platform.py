"""Stand-in for the platform: lists of instances and upstreams, capacity and usage.

Faults: ``down``, ``slow``, ``silent``, ``lose_answers``, ``list_lag`` (value: seconds
for which changes of the lists stay invisible). ``POST /control/instances`` and
``POST /control/upstreams`` set an entry of a list; ``GET /control/log`` returns every
order and report as received, with the ``x-sender`` that it stated.
"""

import hashlib
import time

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from camphorgate_standins.serving import Faults, build_app, parse_options, run

DEFAULT_LAG_SECONDS = 2.0


class PlatformStandin:
    """Keeps lists, orders and reports in memory."""

    __slots__ = ("faults", "instances_by_id", "upstreams_by_id", "orders", "windows")

    def __init__(self) -> None:
        self.faults = Faults()
        self.instances_by_id: dict[str, list[tuple[float, dict]]] = {}
        self.upstreams_by_id: dict[str, list[tuple[float, dict]]] = {}
        self.orders: list[dict] = []
        self.windows: list[dict] = []

    def app(self):
        """Return the ASGI application."""
        routes = [
            Route("/instances", self.list_instances),
            Route("/upstreams", self.list_upstreams),
            Route("/capacity/start", self.start, methods=["POST"]),
            Route("/capacity/stop", self.stop, methods=["POST"]),
            Route("/capacity/orders", self.list_orders),
            Route("/usage/windows/{window}", self.report, methods=["PUT", "GET"]),
            Route("/control/instances", self.set_instance, methods=["POST"]),
            Route("/control/upstreams", self.set_upstream, methods=["POST"]),
            Route("/control/log", self.log),
        ]
        return build_app(routes, self.faults)

    async def set_instance(self, request: Request) -> JSONResponse:
        """Add or change an instance: id, address, zone, state."""
        return self._append_change(self.instances_by_id, await request.json())

    async def set_upstream(self, request: Request) -> JSONResponse:
        """Add or change an upstream: id, address, pool, zone, kind, state."""
        return self._append_change(self.upstreams_by_id, await request.json())

    def _append_change(self, entries_by_id: dict, entry: dict) -> JSONResponse:
        history = entries_by_id.setdefault(entry["id"], [])
        known = history[-1][1] if history else {}
        history.append((time.monotonic(), {**known, **entry}))
        return JSONResponse(history[-1][1])

    def _visible_entries(self, entries_by_id: dict) -> list[dict]:
        """Return the entries as of one lag ago; new entries are visible at once."""
        lag = self.faults.value("list_lag", DEFAULT_LAG_SECONDS)
        cutoff = time.monotonic() - lag
        visible = []
        for history in entries_by_id.values():
            old = [entry for changed_at, entry in history if changed_at <= cutoff]
            visible.append(old[-1] if old else history[0][1])
        return visible

    async def list_instances(self, request: Request) -> JSONResponse:
        """Return the instances, with delayed changes."""
        visible = self._visible_entries(self.instances_by_id)
        return _list_response(request, {"instances": visible})

    async def list_upstreams(self, request: Request) -> JSONResponse:
        """Return the upstreams that the capacity API started, with delayed changes."""
        visible = self._visible_entries(self.upstreams_by_id)
        return _list_response(request, {"upstreams": visible})

    async def start(self, request: Request) -> JSONResponse:
        """Receive an order to start an upstream; duplicate order ids have no effect."""
        return self._receive_order("start", request, await request.json())

    async def stop(self, request: Request) -> JSONResponse:
        """Receive an order to stop an upstream; duplicate order ids have no effect."""
        return self._receive_order("stop", request, await request.json())

    def _receive_order(self, kind: str, request: Request, body: dict) -> JSONResponse:
        known = [o for o in self.orders if o["order_id"] == body["order_id"]]
        order = {"kind": kind, "sender": request.headers.get("x-sender"), **body}
        order |= {"at": time.time(), "repeat": bool(known)}
        self.orders.append(order)
        if kind == "stop" and not known:
            history = self.upstreams_by_id.get(body["upstream_id"])
            if history:
                self._append_change(
                    self.upstreams_by_id, {**history[-1][1], "state": "leaving"}
                )
        return JSONResponse({"accepted": True, "repeat": bool(known)})

    async def list_orders(self, request: Request) -> JSONResponse:
        """Return the received orders."""
        return JSONResponse({"orders": self.orders})

    async def report(self, request: Request) -> JSONResponse:
        """Receive or return the figures of a usage window."""
        window = request.path_params["window"]
        received = [item for item in self.windows if item["window"] == window]
        if request.method == "GET":
            if not received:
                return JSONResponse({"error": "no such window"}, status_code=404)
            return JSONResponse(received[0])
        entry = {
            "window": window,
            "figures": await request.json(),
            "sender": request.headers.get("x-sender"),
            "at": time.time(),
        }
        self.windows.append(entry)
        return JSONResponse({"accepted": True})

    async def log(self, request: Request) -> JSONResponse:
        """Return every order and every report."""
        return JSONResponse({"orders": self.orders, "windows": self.windows})


def _list_response(request: Request, content: dict) -> Response:
    """Return a list with its entity tag, or 304 if the caller's tag matches."""
    response = JSONResponse(content)
    tag = f'"{hashlib.sha256(response.body).hexdigest()[:16]}"'
    if request.headers.get("if-none-match") == tag:
        return Response(status_code=304, headers={"etag": tag})
    response.headers["etag"] = tag
    return response


def main() -> None:
    """Run the stand-in as a program."""
    options = parse_options("Stand-in for the platform's interfaces.")
    run(PlatformStandin().app(), options.address)


if __name__ == "__main__":
    main()
