"""Stand-in for a model engine: deterministic tokens, resumable streams and orders.

Token ``n`` of a completion depends only on the model and the prompt, so that a resumed
stream can be compared with an uninterrupted one. Faults: ``down``, ``slow``,
``silent``, ``die_after`` (value: tokens before the connection is aborted),
``silent_after`` (value: tokens before the stream hangs), ``end_without_done``,
``wrong_request_id``, ``crash_on_order``, ``forget_streams`` (resuming on this engine
fails), ``overload`` (responds with 503).
"""

import asyncio
import hashlib
import time
from collections import OrderedDict

import xxhash
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from camphorgate_standins.serving import (
    ConnectionAborted,
    Faults,
    build_app,
    parse_options,
    run,
)
from camphorgate_standins.slots import PrioritySlots
from camphorgate_standins.tokens import (
    completion_text,
    count_tokens,
    encode_event,
    prefix_key,
    prompt_text,
)

DEFAULT_MAX_TOKENS = 16
MAX_KEPT_STREAMS = 1000
MAX_CACHED_PREFIXES = 64


class EngineStandin:
    """An engine with slots, roles, a prefix cache and a log of orders."""

    __slots__ = (
        "name",
        "fencing",
        "faults",
        "role",
        "draining",
        "models",
        "slots",
        "token_seconds",
        "prefill_tokens_per_second",
        "role_seconds",
        "running",
        "waiting",
        "leaving_until",
        "orders",
        "highest_fencing",
        "streams",
        "requests",
        "cancelled",
        "_cache",
        "_cache_events",
        "_free_slots",
        "_unavailable_until",
        "_handles",
    )

    def __init__(
        self,
        name: str = "engine",
        fencing: bool = False,
        slots: int = 8,
        token_seconds: float = 0.002,
        prefill_tokens_per_second: float = 20000.0,
        role_seconds: float = 2.0,
    ) -> None:
        self.name = name
        self.fencing = fencing
        self.faults = Faults()
        self.role = "both"
        self.draining = False
        self.models: set[str] = set()
        self.slots = slots
        self.token_seconds = token_seconds
        self.prefill_tokens_per_second = prefill_tokens_per_second
        self.role_seconds = role_seconds
        self.running = 0
        self.waiting = 0
        self.leaving_until = 0.0
        self.orders: list[dict] = []
        self.highest_fencing = 0
        self.streams: OrderedDict[str, tuple[str, str, int]] = OrderedDict()
        self.requests: list[dict] = []
        self.cancelled = 0
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cache_events: list[dict] = []
        self._free_slots = PrioritySlots(slots)
        self._unavailable_until = 0.0
        self._handles: dict[str, str] = {}

    def app(self):
        """Return the ASGI application."""
        routes = [
            Route("/v1/chat/completions", self.complete, methods=["POST"]),
            Route("/v1/completions", self.complete, methods=["POST"]),
            Route("/v1/prefill", self.prefill, methods=["POST"]),
            Route("/control/load", self.load),
            Route("/control/state", self.state),
            Route("/control/cache-events", self.cache_events),
            Route("/control/orders", self.order, methods=["POST"]),
            Route("/control/orders", self.list_orders, methods=["GET"]),
            Route("/control/requests", self.list_requests),
            Route("/control/leave", self.leave, methods=["POST"]),
            Route("/control/kv-export", self.kv_export, methods=["POST"]),
            Route("/control/kv-import", self.kv_import, methods=["POST"]),
        ]
        return build_app(routes, self.faults)

    async def complete(self, request: Request) -> Response:
        """Handle a completion, buffered or streamed, from the start or resumed."""
        body = await request.json()
        self._record_request(request)
        if self.faults.consume("overload"):
            headers = {"retry-after": "1", **self._response_headers(request)}
            return JSONResponse({"error": "overloaded"}, 503, headers)
        if time.monotonic() < self._unavailable_until:
            return JSONResponse(
                {"error": "changing role"}, 503, self._response_headers(request)
            )
        prompt = prompt_text(body)
        model = body.get("model", "")
        count = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        first = int(request.headers.get("last-event-id", -1)) + 1
        if first and "continuation" not in body:
            stored = self.streams.get(request.headers.get("x-request-id", ""))
            if stored is None or self.faults.is_active("forget_streams"):
                return JSONResponse(
                    {"error": "no such stream"}, 410, self._response_headers(request)
                )
            model, prompt, count = stored
        self._store_stream(request, model, prompt, count)
        if body.get("stream"):
            return StreamingResponse(
                self._stream(request, model, prompt, first, count),
                media_type="text/event-stream",
                headers=self._response_headers(request),
            )
        return await self._complete_buffered(request, model, prompt, count)

    async def _complete_buffered(
        self, request: Request, model: str, prompt: str, count: int
    ) -> Response:
        await self._start_request(request, model, prompt)
        try:
            await asyncio.sleep(self.token_seconds * count)
        finally:
            self._end_request()
        text = completion_text(model, prompt, count)
        choice = {"index": 0, "finish_reason": "stop", "text": text}
        if request.url.path.endswith("chat/completions"):
            message = {"role": "assistant", "content": text}
            choice = {"index": 0, "finish_reason": "stop", "message": message}
        usage = {
            "prompt_tokens": count_tokens(prompt),
            "completion_tokens": count,
            "total_tokens": count_tokens(prompt) + count,
        }
        answer = {"id": request.headers.get("x-request-id", ""), "model": model}
        answer |= {"choices": [choice], "usage": usage}
        return JSONResponse(answer, headers=self._response_headers(request))

    async def _stream(
        self, request: Request, model: str, prompt: str, first: int, count: int
    ):
        await self._start_request(request, model, prompt)
        chat = request.url.path.endswith("chat/completions")
        finished = False
        try:
            for position in range(first, count):
                await self._inject_stream_fault(position)
                await asyncio.sleep(self.token_seconds)
                yield encode_event(model, prompt, position, chat)
            if not self.faults.consume("end_without_done"):
                yield b"data: [DONE]\n\n"
            finished = True
        finally:
            self.cancelled += not finished
            self._end_request()

    async def _inject_stream_fault(self, position: int) -> None:
        abort_armed = self.faults.is_active("die_after")
        if abort_armed and position >= self.faults.value("die_after"):
            self.faults.consume("die_after")
            raise ConnectionAborted
        silence_armed = self.faults.is_active("silent_after")
        if silence_armed and position >= self.faults.value("silent_after"):
            self.faults.consume("silent_after")
            await asyncio.sleep(3600)

    async def _start_request(self, request: Request, model: str, prompt: str) -> None:
        priority = int(request.headers.get("x-priority", 0))
        self.waiting += 1
        try:
            await self._free_slots.acquire(priority)
        finally:
            self.waiting -= 1
        self.running += 1
        prefix = prefix_key(model, prompt)
        tokens = count_tokens(prompt)
        if prefix in self._cache:
            tokens = max(1, tokens // 10)
        self._cache_prefix(prefix)
        try:
            await asyncio.sleep(tokens / self.prefill_tokens_per_second)
        except BaseException:
            self._end_request()
            raise

    def _end_request(self) -> None:
        self.running -= 1
        self._free_slots.release()

    def _cache_prefix(self, prefix: str) -> None:
        if prefix not in self._cache:
            self._add_cache_event("stored", prefix)
        self._cache[prefix] = 1
        self._cache.move_to_end(prefix)
        if len(self._cache) > MAX_CACHED_PREFIXES:
            self._add_cache_event("removed", self._cache.popitem(last=False)[0])

    def _add_cache_event(self, kind: str, prefix: str) -> None:
        digest = xxhash.xxh3_64_hexdigest(prefix.encode("utf-8", "replace"))
        sequence = len(self._cache_events) + 1
        self._cache_events.append({"seq": sequence, "kind": kind, "prefix": digest})

    def _store_stream(
        self, request: Request, model: str, prompt: str, count: int
    ) -> None:
        self.streams[request.headers.get("x-request-id", "")] = (model, prompt, count)
        if len(self.streams) > MAX_KEPT_STREAMS:
            self.streams.popitem(last=False)

    def _record_request(self, request: Request) -> None:
        self.requests.append(
            {"url": str(request.url), "headers": dict(request.headers)}
        )
        del self.requests[:-MAX_KEPT_STREAMS]

    def _load_report(self) -> dict:
        report = {
            "running": self.running,
            "waiting": self.waiting,
            "slots": self.slots,
            "free_cache": round(1 - len(self._cache) / MAX_CACHED_PREFIXES, 3),
            "prefill_tps": self.prefill_tokens_per_second,
            "decode_tps": round(1 / self.token_seconds, 1),
        }
        if self.leaving_until:
            report["leaving"] = round(max(0, self.leaving_until - time.monotonic()), 1)
        return report

    def _response_headers(self, request: Request) -> dict[str, str]:
        request_id = request.headers.get("x-request-id", "")
        if self.faults.consume("wrong_request_id"):
            request_id = "somebody-elses"
        load = ";".join(f"{k}={v:g}" for k, v in self._load_report().items())
        return {"x-request-id": request_id, "x-load": load}

    async def prefill(self, request: Request) -> JSONResponse:
        """Prefill a prompt and return a handle of its KV cache."""
        body = await request.json()
        model, prompt = body.get("model", ""), prompt_text(body)
        await self._start_request(request, model, prompt)
        self._end_request()
        handle = hashlib.sha256(prompt.encode()).hexdigest()[:24]
        self._handles[handle] = prefix_key(model, prompt)
        return JSONResponse({"handle": handle}, headers=self._response_headers(request))

    async def kv_export(self, request: Request) -> JSONResponse:
        """Return the cached prefix of a handle."""
        handle = (await request.json())["handle"]
        if handle not in self._handles:
            return JSONResponse({"error": "no such handle"}, 404)
        return JSONResponse({"handle": handle, "prefix": self._handles[handle]})

    async def kv_import(self, request: Request) -> JSONResponse:
        """Import a prefix that another engine exported."""
        body = await request.json()
        self._handles[body["handle"]] = body["prefix"]
        self._cache_prefix(body["prefix"])
        return JSONResponse({"imported": True})

    async def load(self, request: Request) -> JSONResponse:
        """Return the load report."""
        return JSONResponse(self._load_report())

    async def state(self, request: Request) -> JSONResponse:
        """Return role, models and the last accepted order."""
        accepted = [order for order in self.orders if order["accepted"]]
        return JSONResponse(
            {
                "name": self.name,
                "role": self.role,
                "draining": self.draining,
                "models": sorted(self.models),
                "busy": time.monotonic() < self._unavailable_until,
                "fencing": self.highest_fencing,
                "last_order": accepted[-1] if accepted else None,
                "cancelled": self.cancelled,
            }
        )

    async def cache_events(self, request: Request) -> JSONResponse:
        """Return cache events after a sequence number, and the last sequence number."""
        after = int(request.query_params.get("after", 0))
        events = self._cache_events[after : after + 500]
        return JSONResponse({"events": events, "last": len(self._cache_events)})

    async def order(self, request: Request) -> JSONResponse:
        """Receive an order; reject outdated fencing numbers if ``fencing`` is set."""
        order = await request.json()
        fencing = int(order.get("fencing", 0))
        stale = self.fencing and fencing < self.highest_fencing
        entry = {**order, "sender": request.headers.get("x-sender")}
        entry |= {"accepted": not stale, "at": time.time()}
        self.orders.append(entry)
        if stale:
            return JSONResponse(
                {"error": "old fencing number", "highest": self.highest_fencing}, 409
            )
        self.highest_fencing = max(self.highest_fencing, fencing)
        if self.faults.consume("crash_on_order"):
            raise ConnectionAborted
        self._apply(order)
        return JSONResponse({"accepted": True})

    def _apply(self, order: dict) -> None:
        if order["kind"] == "set_role":
            if order["role"] != self.role:
                self._unavailable_until = time.monotonic() + self.role_seconds
            self.role = order["role"]
            self.draining = False
        elif order["kind"] in ("drain", "release"):
            self.draining = order["kind"] == "drain"
        elif order["kind"] == "load_model":
            self.models.add(order["model"])
        elif order["kind"] == "unload_model":
            self.models.discard(order["model"])

    async def list_orders(self, request: Request) -> JSONResponse:
        """Return every received order."""
        return JSONResponse({"orders": self.orders})

    async def list_requests(self, request: Request) -> JSONResponse:
        """Return the most recent requests."""
        return JSONResponse({"requests": self.requests})

    async def leave(self, request: Request) -> JSONResponse:
        """Announce an eviction in load reports from now on."""
        seconds = float((await request.json()).get("seconds", 5))
        self.leaving_until = time.monotonic() + seconds
        return JSONResponse({"leaving": seconds})


def main() -> None:
    """Run the stand-in as a program."""
    options = parse_options(
        "Stand-in for a model engine.",
        name="engine",
        fencing=False,
        slots=8,
        token_seconds=0.002,
        prefill_tokens_per_second=20000.0,
        role_seconds=2.0,
    )
    engine = EngineStandin(
        options.name,
        options.fencing,
        options.slots,
        options.token_seconds,
        options.prefill_tokens_per_second,
        options.role_seconds,
    )
    run(engine.app(), options.address)


if __name__ == "__main__":
    main()
