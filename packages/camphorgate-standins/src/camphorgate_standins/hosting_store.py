"""Stand-in for a hosting platform's store and its API for usage and scaling.

Faults: ``down``, ``busy`` (503 to every call), ``slow``, ``silent``, ``lose_answers``
(the write takes effect, no response is sent), ``lose_history`` (the next watch gets
410, so that the client has to read everything again). ``POST /control/restore`` with
``{"age": s, "pause": s, "rewrite": s}`` brings the store back from an older copy; see
:meth:`HostingStore.restore`. ``Store-Era`` counts how often that happened.
``GET /control/reports`` lists the calls of the operations API; ``POST /control/put``
and ``/control/remove`` write as the operator or an upstream does.
"""

import asyncio
import base64
import itertools
import time
from collections import Counter

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from camphorgate_standins.serving import (
    CONTROL_PREFIX,
    Faults,
    build_app,
    parse_options,
    run,
)

MAX_PAGE_ITEMS = 50
# Nobody but the system itself writes its keys again after the store lost them.
SYSTEM_PREFIX = "camphorgate/"
FIRST_LEASE = 1000
LEASE_CHECK_INTERVAL_SECONDS = 0.02


class HostingStore:
    """In-memory store of items with revisions, leases and long-polling watches."""

    __slots__ = (
        "revision",
        "items_by_key",
        "history",
        "leases_by_id",
        "reports",
        "faults",
        "highest_fencing",
        "era",
        "sends_era",
        "calls_by_path",
        "_event_times",
        "_latest_by_key",
        "_unwritten",
        "_lease_ids",
        "_changed",
        "closed",
    )

    def __init__(self) -> None:
        self.revision = 1
        self.items_by_key: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases_by_id: dict[int, list] = {}
        self.reports: list[dict] = []
        self.faults = Faults()
        self.highest_fencing = 0
        self.era = 0
        self.sends_era = True
        # Calls that arrived, also those that a fault made fail.
        self.calls_by_path: Counter[str] = Counter()
        # When each event of the history was written.
        self._event_times: list[float] = []
        # What the operator and the upstreams wrote before a restore, and the keys of
        # it that they have not written again.
        self._latest_by_key: dict[str, dict] = {}
        self._unwritten: set[str] = set()
        self._lease_ids = itertools.count(FIRST_LEASE)
        self._changed = asyncio.Event()
        self.closed = False

    def close(self) -> None:
        """Make the waiting watches return, as the store is about to stop."""
        self.closed = True

    def app(self):
        """Return the ASGI application."""
        routes = [
            Route("/v1/kv-key", self.read_key),
            Route("/v1/kv-range", self.read_range),
            Route("/v1/kv-watch", self.watch),
            Route("/v1/kv-txn", self.transact, methods=["POST"]),
            Route("/v1/kv-lease", self.grant_lease, methods=["POST"]),
            Route("/v1/kv-keep/{lease:int}", self.renew_lease, methods=["POST"]),
            Route(
                "/v1/kv-lease-end/{lease:int}", self.revoke_lease, methods=["DELETE"]
            ),
            Route("/usage", self.receive_operation, methods=["POST"]),
            Route("/scale", self.receive_operation, methods=["POST"]),
            Route("/control/reports", self.list_reports),
            Route("/control/put", self.control_put, methods=["POST"]),
            Route("/control/remove", self.control_remove, methods=["POST"]),
            Route("/control/restore", self.control_restore, methods=["POST"]),
        ]
        return _CountingApp(build_app(routes, self.faults), self)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item and increment the revision."""
        self.revision += 1
        self._put(key, value, lease)

    def remove(self, key: str) -> None:
        """Remove an item and increment the revision."""
        self.revision += 1
        self._remove(key)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        known = self.items_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create-rev": known["create-rev"] if known else self.revision,
            "lease": lease,
        }
        self.items_by_key[key] = item
        self._append_event(item)

    def _remove(self, key: str) -> None:
        if self.items_by_key.pop(key, None) is not None:
            self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def _append_event(self, event: dict) -> None:
        self._unwritten.discard(event["key"])
        self.history.append(event)
        self._event_times.append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()

    def expire_leases(self) -> None:
        """Revoke the leases whose time to live has elapsed."""
        now = time.monotonic()
        for lease, (_, ends_at, _) in list(self.leases_by_id.items()):
            if now >= ends_at:
                self.revoke(lease)

    def revoke(self, lease: int) -> None:
        """Revoke a lease and remove its items."""
        self.leases_by_id.pop(lease, None)
        keys = [
            key for key, item in self.items_by_key.items() if item["lease"] == lease
        ]
        for key in keys if lease else ():
            self.remove(key)

    def restore(
        self, age: float, pause: float = 0.0, rewrite: float | None = 0.3
    ) -> None:
        """Come back from an older copy, without any lease and what is attached to one.

        Revisions and ids of leases that were issued since the copy are issued again.

        :param age: age of the copy in seconds.
        :param pause: for how many seconds connections are reset before it is back.
        :param rewrite: after how many seconds the operator and the upstreams have
            written their keys again, ``None`` for never.
        """
        if pause:
            self.faults.arm({"fault": "down", "seconds": pause})
        latest = {
            key: item
            for key, item in self.items_by_key.items()
            if not key.startswith(SYSTEM_PREFIX) and key not in self._unwritten
        }
        # Lost by a restore before this one, and not written again yet.
        for key in self._unwritten & self._latest_by_key.keys():
            latest[key] = self._latest_by_key[key]
        self._latest_by_key = latest
        until = time.monotonic() - age
        kept = sum(at <= until for at in self._event_times)
        self.history, self._event_times = self.history[:kept], self._event_times[:kept]
        self.items_by_key.clear()
        self.revision = 1
        for event in self.history:
            self.revision = event["revision"]
            self.items_by_key.pop(event["key"], None)
            if not event.get("deleted") and not event["lease"]:
                self.items_by_key[event["key"]] = event
        granted = [
            lease for lease, item in self.leases_by_id.items() if item[2] <= until
        ]
        self._lease_ids = itertools.count(max(granted, default=FIRST_LEASE - 1) + 1)
        self.leases_by_id.clear()
        self.era += 1
        self._unwritten = {
            key
            for key in self._latest_by_key.keys() | self.items_by_key.keys()
            if not key.startswith(SYSTEM_PREFIX)
        }
        self._changed.set()
        self._changed = asyncio.Event()
        if rewrite is not None:
            asyncio.get_running_loop().call_later(
                pause + rewrite, self._write_again, self.era
            )

    def _write_again(self, era: int) -> None:
        """Write what the operator and the upstreams had written since the copy.

        What they have written again themselves meanwhile is left as it is.
        """
        if era != self.era:
            return
        for key in sorted(self._unwritten):
            item, known = self._latest_by_key.get(key), self.items_by_key.get(key)
            if item is None:
                self.remove(key)
            elif known is None or known["value"] != item["value"]:
                self.put(key, base64.b64decode(item["value"]))
        self._unwritten.clear()

    def _reject_if_busy(self) -> Response | None:
        self.expire_leases()
        return Response(status_code=503) if self.faults.consume("busy") else None

    async def read_key(self, request: Request) -> Response:
        """Return one item."""
        if (rejection := self._reject_if_busy()) is not None:
            return rejection
        item = self.items_by_key.get(request.query_params["key"])
        if item is None:
            return JSONResponse({"store-revision": self.revision}, 404)
        return JSONResponse({**item, "store-revision": self.revision})

    async def read_range(self, request: Request) -> Response:
        """Return a page of items."""
        if (rejection := self._reject_if_busy()) is not None:
            return rejection
        prefix = request.query_params["path-prefix"]
        after = request.query_params.get("after", "")
        keys = sorted(
            key for key in self.items_by_key if key.startswith(prefix) and key > after
        )
        page = [self.items_by_key[key] for key in keys[:MAX_PAGE_ITEMS]]
        return JSONResponse(
            {
                "items": page,
                "has-more": len(keys) > MAX_PAGE_ITEMS,
                "store-revision": self.revision,
            }
        )

    async def watch(self, request: Request) -> Response:
        """Return the events after a revision, as soon as there are any."""
        if (rejection := self._reject_if_busy()) is not None:
            return rejection
        if self.faults.consume("lose_history"):
            return Response(status_code=410)
        prefix = request.query_params["path-prefix"]
        after = int(request.query_params["after"])
        until = time.monotonic() + int(request.query_params["wait-ms"]) / 1000
        if after > self.revision:
            return Response(status_code=410)
        era = self.era
        while True:
            if era != self.era:
                return Response(status_code=503)
            self.expire_leases()
            events = [
                event
                for event in self.history
                if event["key"].startswith(prefix) and event["revision"] > after
            ]
            remaining = until - time.monotonic()
            if events or remaining <= 0 or self.closed:
                return JSONResponse({"events": events, "store-revision": self.revision})
            try:
                await asyncio.wait_for(
                    self._changed.wait(), min(remaining, LEASE_CHECK_INTERVAL_SECONDS)
                )
            except TimeoutError:
                continue

    async def transact(self, request: Request) -> Response:
        """Apply a transaction if all its preconditions hold."""
        if (rejection := self._reject_if_busy()) is not None:
            return rejection
        body = await request.json()
        failed = []
        for row in body.get("precondition", []):
            item = self.items_by_key.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                failed.append(item or {"key": row["key"]})
        if failed:
            return JSONResponse({"items": failed}, 412)
        puts = body.get("puts", [])
        if any(
            row.get("lease", 0) and row["lease"] not in self.leases_by_id
            for row in puts
        ):
            return Response(status_code=404)
        self.revision += 1
        for row in puts:
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return JSONResponse({"revision": self.revision})

    async def grant_lease(self, request: Request) -> Response:
        """Create a lease."""
        if (rejection := self._reject_if_busy()) is not None:
            return rejection
        ttl_ms = (await request.json())["ttl-ms"]
        lease = next(self._lease_ids)
        now = time.monotonic()
        self.leases_by_id[lease] = [ttl_ms, now + ttl_ms / 1000, now]
        return JSONResponse({"lease": lease, "ttl-ms": ttl_ms})

    async def renew_lease(self, request: Request) -> Response:
        """Renew a lease."""
        if (rejection := self._reject_if_busy()) is not None:
            return rejection
        lease = self.leases_by_id.get(request.path_params["lease"])
        if lease is None:
            return Response(status_code=404)
        lease[1] = time.monotonic() + lease[0] / 1000
        return JSONResponse({"ttl-ms": lease[0]})

    async def revoke_lease(self, request: Request) -> Response:
        """Handle the revocation of a lease."""
        self.revoke(request.path_params["lease"])
        return JSONResponse({})

    async def receive_operation(self, request: Request) -> Response:
        """Receive a report or an order; reject an outdated fencing number."""
        fencing = int(request.headers["x-fence-token"])
        report = {
            "path": request.url.path,
            "holder": request.headers["x-duty-holder"],
            "fencing": fencing,
            "body": await request.json(),
            "accepted": fencing >= self.highest_fencing,
        }
        self.reports.append(report)
        if not report["accepted"]:
            return JSONResponse({"error": "fence"}, 409)
        self.highest_fencing = fencing
        return JSONResponse({})

    async def list_reports(self, request: Request) -> Response:
        """Return the calls that the operations API received."""
        return JSONResponse({"reports": self.reports})

    async def control_put(self, request: Request) -> Response:
        """Write an item with the request body as its value."""
        self.put(request.query_params["key"], await request.body())
        return JSONResponse({"revision": self.revision})

    async def control_restore(self, request: Request) -> Response:
        """Bring the store back from an older copy."""
        self.restore(**await request.json())
        return JSONResponse({"era": self.era, "revision": self.revision})

    async def control_remove(self, request: Request) -> Response:
        """Remove an item."""
        self.remove(request.query_params["key"])
        return JSONResponse({"revision": self.revision})


class _CountingApp:
    """Counts the calls, and adds ``Store-Era`` to every response."""

    __slots__ = ("app", "store")

    def __init__(self, app: ASGIApp, store: HostingStore) -> None:
        self.app = app
        self.store = store

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http" or scope["path"].startswith(CONTROL_PREFIX):
            await self.app(scope, receive, send)
            return
        self.store.calls_by_path[scope["path"]] += 1

        async def send_with_era(message: Message) -> None:
            if message["type"] == "http.response.start" and self.store.sends_era:
                era = (b"store-era", b"%d" % self.store.era)
                message = {**message, "headers": [*message.get("headers", ()), era]}
            await send(message)

        await self.app(scope, receive, send_with_era)


def main() -> None:
    """Run the stand-in as a program."""
    options = parse_options("Stand-in for a hosting platform's store.")
    run(HostingStore().app(), options.address)


if __name__ == "__main__":
    main()
