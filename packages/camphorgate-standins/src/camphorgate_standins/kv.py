"""Stand-in for the key-value service: a subset of the etcd v3 JSON gateway.

Faults: ``down``, ``slow`` (value: seconds), ``silent``, ``lose_answers`` (the write
takes effect, the connection is aborted without a response). ``GET /control/calls``
counts calls by kind; an open watch counts as one.
"""

import asyncio
import base64
import json
import time
from collections import Counter

from starlette.requests import Request
from starlette.responses import JSONResponse, StreamingResponse
from starlette.routing import Route

from camphorgate_standins.serving import Faults, build_app, parse_options, run

MAX_VALUE_BYTES = 1_000_000
WATCH_PROGRESS_INTERVAL_SECONDS = 5.0


class Store:
    """In-memory store of keys with revisions, leases and watchers."""

    __slots__ = (
        "revision",
        "entries_by_key",
        "deleted_at_by_key",
        "leases_by_id",
        "_next_lease",
        "watchers",
    )

    def __init__(self) -> None:
        self.revision = 1
        self.entries_by_key: dict[bytes, dict] = {}
        self.deleted_at_by_key: dict[bytes, int] = {}
        self.leases_by_id: dict[int, dict] = {}
        self._next_lease = 1000
        self.watchers: list[tuple[bytes, bytes, asyncio.Queue]] = []

    def put(self, key: bytes, value: bytes, lease: int) -> None:
        """Write a key at the current revision, which the caller has incremented."""
        old = self.entries_by_key.get(key)
        self.entries_by_key[key] = {
            "value": value,
            "create": old["create"] if old else self.revision,
            "mod": self.revision,
            "version": old["version"] + 1 if old else 1,
            "lease": lease,
        }
        self._notify("PUT", key)

    def delete(self, key: bytes) -> None:
        """Remove a key at the current revision, which the caller has incremented."""
        if self.entries_by_key.pop(key, None) is not None:
            self.deleted_at_by_key[key] = self.revision
            self._notify("DELETE", key)

    def keys_between(self, key: bytes, end: bytes) -> list[bytes]:
        """Return the keys of an etcd range."""
        if not end:
            return [key] if key in self.entries_by_key else []
        if end == b"\0":
            return sorted(k for k in self.entries_by_key if k >= key)
        return sorted(k for k in self.entries_by_key if key <= k < end)

    def encode(self, key: bytes) -> dict:
        """Return an entry in the encoding of the JSON gateway."""
        entry = self.entries_by_key[key]
        return {
            "key": _encode_field(key),
            "value": _encode_field(entry["value"]),
            "create_revision": str(entry["create"]),
            "mod_revision": str(entry["mod"]),
            "version": str(entry["version"]),
            "lease": str(entry["lease"]),
        }

    def grant(self, ttl: float) -> int:
        """Create a lease.

        :param ttl: time to live in seconds.
        """
        self._next_lease += 1
        lease = self._next_lease
        self.leases_by_id[lease] = {"ttl": ttl, "until": time.monotonic() + ttl}
        return lease

    def revoke(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""
        if self.leases_by_id.pop(lease, None) is None:
            return
        keys = [k for k, e in self.entries_by_key.items() if e["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)

    def expire_leases(self) -> None:
        """Revoke the leases whose time to live has elapsed."""
        now = time.monotonic()
        for lease, state in list(self.leases_by_id.items()):
            if state["until"] < now:
                self.revoke(lease)

    def _notify(self, kind: str, key: bytes) -> None:
        event = {"type": kind, "kv": {"key": _encode_field(key)}}
        if kind == "PUT":
            event["kv"] = self.encode(key)
        else:
            event["kv"]["mod_revision"] = str(self.revision)
        for start, end, queue in self.watchers:
            if key == start or (end and start <= key < end):
                queue.put_nowait(event)


def _encode_field(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode_field(body: dict, name: str) -> bytes:
    return base64.b64decode(body.get(name, ""))


class KvStandin:
    """HTTP interface of one store."""

    __slots__ = ("store", "faults", "calls")

    def __init__(self) -> None:
        self.store = Store()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()

    def app(self):
        """Return the ASGI application."""
        routes = [
            Route("/v3/kv/range", self.range, methods=["POST"]),
            Route("/v3/kv/txn", self.transaction, methods=["POST"]),
            Route("/v3/kv/put", self.put, methods=["POST"]),
            Route("/v3/kv/deleterange", self.delete_range, methods=["POST"]),
            Route("/v3/lease/grant", self.grant, methods=["POST"]),
            Route("/v3/lease/keepalive", self.keepalive, methods=["POST"]),
            Route("/v3/lease/revoke", self.revoke, methods=["POST"]),
            Route("/v3/watch", self.watch, methods=["POST"]),
            Route("/control/calls", self.count_calls),
        ]
        return build_app(routes, self.faults)

    async def _read_body(self, request: Request, kind: str) -> dict:
        self.calls[kind] += 1
        self.store.expire_leases()
        return await request.json()

    def _header(self) -> dict:
        return {"revision": str(self.store.revision)}

    async def range(self, request: Request) -> JSONResponse:
        """Read a key or a range."""
        body = await self._read_body(request, "range")
        return JSONResponse({"header": self._header(), **self._range(body)})

    def _range(self, body: dict) -> dict:
        keys = self.store.keys_between(
            _decode_field(body, "key"), _decode_field(body, "range_end")
        )
        limit = int(body.get("limit", 0)) or len(keys)
        entries = [self.store.encode(key) for key in keys[:limit]]
        more = len(keys) > limit
        return {"kvs": entries, "count": str(len(keys)), "more": more}

    async def put(self, request: Request) -> JSONResponse:
        """Write one key."""
        body = await self._read_body(request, "put")
        rejection = self._validate_puts([{"request_put": body}])
        if rejection:
            return rejection
        self.store.revision += 1
        self._apply({"request_put": body})
        return JSONResponse({"header": self._header()})

    async def delete_range(self, request: Request) -> JSONResponse:
        """Remove a key or a range."""
        body = await self._read_body(request, "delete")
        self.store.revision += 1
        result = self._apply({"request_delete_range": body})
        return JSONResponse(
            {"header": self._header(), **result["response_delete_range"]}
        )

    async def transaction(self, request: Request) -> JSONResponse:
        """Evaluate the comparisons and apply the matching list of operations."""
        body = await self._read_body(request, "txn")
        succeeded = all(
            self._comparison_holds(item) for item in body.get("compare", [])
        )
        operations = body.get("success" if succeeded else "failure", [])
        rejection = self._validate_puts(operations)
        if rejection:
            return rejection
        if any("request_range" not in operation for operation in operations):
            self.store.revision += 1
        responses = [self._apply(operation) for operation in operations]
        return JSONResponse(
            {
                "header": self._header(),
                "succeeded": succeeded,
                "responses": responses,
            }
        )

    def _validate_puts(self, operations: list[dict]) -> JSONResponse | None:
        for operation in operations:
            put = operation.get("request_put")
            if put is None:
                continue
            if len(_decode_field(put, "value")) > MAX_VALUE_BYTES:
                return JSONResponse(
                    {"error": "request is too large", "code": 3}, status_code=400
                )
            lease = int(put.get("lease", 0))
            if lease and lease not in self.store.leases_by_id:
                return JSONResponse(
                    {"error": "requested lease not found", "code": 5}, status_code=404
                )
        return None

    def _comparison_holds(self, compare: dict) -> bool:
        entry = self.store.entries_by_key.get(_decode_field(compare, "key"))
        target = compare.get("target", "VERSION")
        if target == "VALUE":
            actual: object = entry["value"] if entry else None
            expected: object = _decode_field(compare, "value")
        else:
            field = {"MOD": "mod", "CREATE": "create", "VERSION": "version"}[target]
            names = {"MOD": "mod_revision", "CREATE": "create_revision"}
            actual = entry[field] if entry else 0
            expected = int(compare.get(names.get(target, "version"), 0))
        result = compare.get("result", "EQUAL")
        if result == "EQUAL":
            return actual == expected
        if result == "NOT_EQUAL":
            return actual != expected
        return actual > expected if result == "GREATER" else actual < expected

    def _apply(self, operation: dict) -> dict:
        if "request_put" in operation:
            put = operation["request_put"]
            lease = int(put.get("lease", 0))
            self.store.put(
                _decode_field(put, "key"), _decode_field(put, "value"), lease
            )
            return {"response_put": {"header": self._header()}}
        if "request_range" in operation:
            return {"response_range": self._range(operation["request_range"])}
        body = operation["request_delete_range"]
        keys = self.store.keys_between(
            _decode_field(body, "key"), _decode_field(body, "range_end")
        )
        for key in keys:
            self.store.delete(key)
        return {"response_delete_range": {"deleted": str(len(keys))}}

    async def grant(self, request: Request) -> JSONResponse:
        """Create a lease."""
        body = await self._read_body(request, "lease_grant")
        lease = self.store.grant(float(body["TTL"]))
        return JSONResponse(
            {"header": self._header(), "ID": str(lease), "TTL": str(body["TTL"])}
        )

    async def keepalive(self, request: Request) -> JSONResponse:
        """Renew a lease; a time to live of 0 means that it has ended."""
        body = await self._read_body(request, "lease_keepalive")
        state = self.store.leases_by_id.get(int(body["ID"]))
        if state is not None:
            state["until"] = time.monotonic() + state["ttl"]
        ttl = str(int(state["ttl"])) if state else "0"
        return JSONResponse(
            {"result": {"header": self._header(), "ID": str(body["ID"]), "TTL": ttl}}
        )

    async def revoke(self, request: Request) -> JSONResponse:
        """Revoke a lease."""
        body = await self._read_body(request, "lease_revoke")
        self.store.revoke(int(body["ID"]))
        return JSONResponse({"header": self._header()})

    async def watch(self, request: Request) -> StreamingResponse:
        """Stream changes of a key or a range, with progress messages while idle."""
        body = await self._read_body(request, "watch")
        create = body["create_request"]
        queue: asyncio.Queue = asyncio.Queue()
        entry = (
            _decode_field(create, "key"),
            _decode_field(create, "range_end"),
            queue,
        )
        self.store.watchers.append(entry)
        self._replay(create, queue)
        return StreamingResponse(
            self._stream_events(entry), media_type="application/json"
        )

    def _replay(self, create: dict, queue: asyncio.Queue) -> None:
        """Queue the latest state of the keys that changed since the start revision."""
        start = int(create.get("start_revision", 0))
        if not start:
            return
        keys = self.store.keys_between(
            _decode_field(create, "key"), _decode_field(create, "range_end")
        )
        for key in keys:
            if self.store.entries_by_key[key]["mod"] >= start:
                queue.put_nowait({"type": "PUT", "kv": self.store.encode(key)})
        first, end = _decode_field(create, "key"), _decode_field(create, "range_end")
        for key, revision in self.store.deleted_at_by_key.items():
            covered = key == first or (end and first <= key < end)
            if covered and revision >= start and key not in self.store.entries_by_key:
                entry = {"key": _encode_field(key), "mod_revision": str(revision)}
                queue.put_nowait({"type": "DELETE", "kv": entry})

    async def _stream_events(self, entry: tuple):
        queue = entry[2]
        try:
            yield _encode_line({"header": self._header(), "created": True})
            while True:
                try:
                    event = await asyncio.wait_for(
                        queue.get(), WATCH_PROGRESS_INTERVAL_SECONDS
                    )
                except TimeoutError:
                    self.store.expire_leases()
                    if self.faults.is_active("silent") or self.faults.is_active("down"):
                        continue
                    yield _encode_line({"header": self._header(), "events": []})
                    continue
                if self.faults.is_active("down"):
                    return
                if not self.faults.is_active("silent"):
                    yield _encode_line({"header": self._header(), "events": [event]})
        finally:
            self.store.watchers.remove(entry)

    async def count_calls(self, request: Request) -> JSONResponse:
        """Return the number of calls by kind and of open watches."""
        counted = dict(self.calls)
        return JSONResponse({"calls": counted, "watches": len(self.store.watchers)})


def _encode_line(result: dict) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"


def main() -> None:
    """Run the stand-in as a program."""
    options = parse_options("Stand-in for the key-value service.")
    run(KvStandin().app(), options.address)


if __name__ == "__main__":
    main()
