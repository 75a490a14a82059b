"""Stand-in for a worker of a hosting platform: a plain service or a model engine.

It has slots, prefills prompts at a fixed rate, caches shared prompt parts, hands
prefilled prompts over to other engines and streams. Faults: ``down``, ``silent``,
``slow``, ``lose_answers`` (the request is executed, no response is sent), ``refuse``
(503, not executed), ``fail`` (500 from the service itself), ``break_stream`` (value:
events before the connection is aborted), ``spoil_stream`` (the same, with bytes that
are no event in one piece with the last event), ``wrong_attempt`` (a response with
another attempt id), ``unstamped`` (no ``x-server-stamp``), ``leave`` (every response
announces a shutdown), ``limit`` (every response names a limit; value:
``Server-Limit``), ``pause`` (503, not executed; value: ``Retry-After``). With
``--crash-part``, the process ends when it begins to answer a prompt with that part, and
with ``--crash-log`` it first appends the time and the attempt id to a file.
``GET /control/runs`` lists every execution, prefill and arrival.
"""

import asyncio
import itertools
import os
import time
from pathlib import Path

from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from camphorgate_standins.serving import (
    ConnectionAborted,
    Faults,
    build_app,
    parse_options,
    run,
)

PREFILL_TOKENS_PER_SECOND = 55_000.0
EVENT_INTERVAL_SECONDS = 0.005
TOKENS_PER_EVENT = 11
LEAVE_FAULT = "leave"
LIMIT_FAULT = "limit"
# Time from the arrival of a request with the crashing part to the end of the process.
CRASH_SECONDS = 0.02


class AnnouncementHeaders:
    """Adds what the faults ``leave`` and ``limit`` announce to every response."""

    __slots__ = ("_app", "_faults")

    def __init__(self, app: ASGIApp, faults: Faults) -> None:
        self._app = app
        self._faults = faults

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_with_header(message: Message) -> None:
            if message["type"] == "http.response.start":
                headers = [*message.get("headers", []), *self._announcements()]
                message = {**message, "headers": headers}
            await send(message)

        await self._app(scope, receive, send_with_header)

    def _announcements(self) -> list[tuple[bytes, bytes]]:
        found = []
        if self._faults.is_active(LEAVE_FAULT):
            found.append((b"server-leaving", b"1"))
        if self._faults.is_active(LIMIT_FAULT):
            limit = self._faults.text_value(LIMIT_FAULT, "1")
            found.append((b"server-limit", limit.encode()))
        return found


class HostingWorker:
    """Executes requests and records each execution."""

    __slots__ = (
        "id",
        "slots",
        "phase",
        "faults",
        "runs",
        "arrivals",
        "pauses",
        "prefills",
        "handles",
        "cached",
        "running",
        "orders",
        "highest_fencing",
        "crash_part",
        "crash_log",
        "slowdown",
        "_sequence_numbers",
        "_prefill_lock",
    )

    def __init__(self, worker_id: str, phase: str = "", slots: int = 6) -> None:
        self.id = worker_id
        self.slots = slots
        self.phase = phase
        self.faults = Faults()
        self.runs: list[dict] = []
        # Arrival time and attempt id of each request, including rejected ones.
        self.arrivals: list[tuple[float, str]] = []
        # Time, attempt id and Retry-After value of each response that requests a pause.
        self.pauses: list[tuple[float, str, str]] = []
        self.prefills: list[str] = []
        self.handles: dict[str, str] = {}
        self.cached: set[str] = set()
        self.running = 0
        self.orders = 0
        self.highest_fencing = 0
        # A prompt part that ends the process, and the file that records it.
        self.crash_part = ""
        self.crash_log = ""
        # How many times as long as usual work takes, reported unless it is ``None``.
        self.slowdown: float | None = None
        self._sequence_numbers = itertools.count(1)
        self._prefill_lock = asyncio.Lock()

    def app(self):
        """Return the ASGI application."""
        methods = ["GET", "POST", "PUT", "DELETE", "HEAD"]
        routes = [
            Route("/control/runs", self.list_runs),
            Route("/v1/report", self.report),
            Route("/v1/order", self.order, methods=["POST"]),
            Route("/v1/kv-handle/{handle}", self.release, methods=["DELETE"]),
            Route("/{path:path}", self.serve, methods=methods),
        ]
        return AnnouncementHeaders(build_app(routes, self.faults), self.faults)

    def _response_headers(self, request: Request) -> dict[str, str]:
        attempt = request.headers.get("x-attempt-id", "")
        if self.faults.consume("wrong_attempt"):
            attempt = "another"
        headers = {
            "x-attempt-id": attempt,
            "x-instance-load": f"{self.running},0,{self.slots}",
        }
        if self.slowdown is not None:
            headers["x-instance-load"] += f",{round(self.slowdown * 100)}"
        if not self.faults.consume("unstamped"):
            headers["x-server-stamp"] = f"{self.id}.{next(self._sequence_numbers)}"
        return headers

    def _reject_unexecuted(
        self, request: Request, status: int, **extra_headers: str
    ) -> Response:
        headers = {
            "x-attempt-id": request.headers.get("x-attempt-id", ""),
            "x-not-executed": "1",
            "x-instance-id": self.id,
            **extra_headers,
        }
        return Response(status_code=status, headers=headers)

    async def serve(self, request: Request) -> Response:
        """Execute a request or reject it."""
        attempt = request.headers.get("x-attempt-id", "")
        self.arrivals.append((time.time(), attempt))
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return self._reject_unexecuted(request, 421)
        if self.faults.consume("pause"):
            pause = self.faults.text_value("pause", "1")
            self.pauses.append((time.time(), attempt, pause))
            return self._reject_unexecuted(request, 503, **{"retry-after": pause})
        if self.faults.consume("refuse") or self.running >= self.slots:
            return self._reject_unexecuted(request, 503)
        body = await request.body()
        prefill = request.headers.get("x-phase") == "prefill"
        if prefill != (self.phase == "prefill"):
            return self._reject_unexecuted(request, 421)
        self.running += 1
        try:
            if prefill:
                return await self._prefill(request)
            source = request.headers.get("x-kv-source")
            if self.phase and source is None:
                await self._prefill_uncached(request, 0.5)
            self._record_run(request, body)
            if self.crash_part in _shared_parts(request):
                await self._crash(attempt)
            if self.faults.consume("fail"):
                return Response(b"failed", 500, headers=self._response_headers(request))
            if self.phase:
                return self._stream(request)
            await asyncio.sleep(0.002 * (self.slowdown or 1.0))
            return Response(b"done " + body, headers=self._response_headers(request))
        finally:
            self.running -= 1

    async def _crash(self, attempt: str) -> None:
        """Record the attempt and end the process."""
        self._log_crash(attempt)
        await asyncio.sleep(CRASH_SECONDS)
        os._exit(1)

    def _log_crash(self, attempt: str) -> None:
        if self.crash_log:
            with Path(self.crash_log).open("a", encoding="utf-8") as log:
                log.write(f"{time.time()} {self.id} {attempt}\n")

    async def _prefill_uncached(self, request: Request, rate_factor: float) -> int:
        """Prefill the parts of a prompt that are not cached, one prompt at a time.

        :returns: the number of tokens that were prefilled.
        """
        tokens = 0
        prefix_cached = True
        for item in request.headers.get("x-prompt-prefix", "").split(","):
            name, _, size = item.partition(":")
            prefix_cached = prefix_cached and name in self.cached
            if not prefix_cached and size:
                tokens += int(size)
            self.cached.add(name)
        async with self._prefill_lock:
            seconds = tokens / (PREFILL_TOKENS_PER_SECOND * rate_factor)
            await asyncio.sleep(seconds * (self.slowdown or 1.0))
        return tokens

    async def _prefill(self, request: Request) -> Response:
        tokens = await self._prefill_uncached(request, 1.0)
        handle = f"h{next(self._sequence_numbers)}"
        attempt = request.headers["x-attempt-id"]
        self.prefills.append(attempt)
        self.handles[handle] = attempt
        return JSONResponse(
            {"kv-handle": handle, "tokens": tokens, "version": 1},
            headers={"x-attempt-id": attempt},
        )

    def _stream(self, request: Request) -> Response:
        output = request.headers.get("x-token-count", "0,22").partition(",")[2]
        events = max(1, int(output) // TOKENS_PER_EVENT)
        last = request.headers.get("last-event-id")
        first = int(last) + 1 if last else 1
        abort_after = None
        if self.faults.consume("break_stream"):
            abort_after = int(self.faults.value("break_stream"))
        spoil_after = None
        if self.faults.consume("spoil_stream"):
            spoil_after = int(self.faults.value("spoil_stream"))

        async def generate_events():
            for number in range(first, events + 1):
                if abort_after is not None and number - first >= abort_after:
                    yield b"id: 99"
                    raise ConnectionAborted
                await asyncio.sleep(EVENT_INTERVAL_SECONDS)
                event = b"id: %d\ndata: %s-%d\n\n" % (number, b"token", number)
                if spoil_after is not None and number - first >= spoil_after:
                    yield event + b"spoiled\n\n"
                    raise ConnectionAborted
                yield event

        headers = {
            **self._response_headers(request),
            "content-type": "text/event-stream",
        }
        return StreamingResponse(generate_events(), headers=headers)

    def _record_run(self, request: Request, body: bytes) -> None:
        self.runs.append(
            {
                "worker": self.id,
                "method": request.method,
                "target": str(request.url.path),
                "body": body.decode("latin-1"),
                "headers": dict(request.headers),
            }
        )

    async def report(self, request: Request) -> Response:
        """Return the engine's reported state."""
        return JSONResponse(
            {
                "phase": self.phase or "decode",
                "busy": False,
                "sequence": self.orders,
                "running": self.running,
                "waiting": 0,
            }
        )

    async def order(self, request: Request) -> Response:
        """Change the phase if the order's fencing number and precondition are valid."""
        body = await request.json()
        if body["fence-token"] < self.highest_fencing:
            return Response(status_code=412)
        self.highest_fencing = body["fence-token"]
        if body.get("precondition", self.orders) != self.orders:
            return Response(status_code=409)
        self.orders += 1
        self.phase = body["phase"]
        return Response(status_code=202)

    async def release(self, request: Request) -> Response:
        """Release a handle."""
        self.handles.pop(request.path_params["handle"], None)
        return JSONResponse({})

    async def list_runs(self, request: Request) -> Response:
        """Return executions, prefills, arrivals and requested pauses."""
        return JSONResponse(
            {
                "runs": self.runs,
                "prefills": self.prefills,
                "arrivals": self.arrivals,
                "pauses": self.pauses,
            }
        )


def _shared_parts(request: Request) -> list[str]:
    """Return the ids of the parts that a prompt shares with others."""
    parts = request.headers.get("x-prompt-prefix", "").split(",")
    return [item.partition(":")[0] for item in parts[:-1]]


def main() -> None:
    """Run the stand-in as a program."""
    options = parse_options(
        "Stand-in for a worker of a hosting platform.",
        id="worker",
        phase="",
        slots=6,
        leave=False,
        crash_part="",
        crash_log="",
    )
    worker = HostingWorker(options.id, options.phase, options.slots)
    worker.crash_part = options.crash_part
    worker.crash_log = options.crash_log
    if options.leave:
        worker.faults.arm({"fault": LEAVE_FAULT})
    run(worker.app(), options.address)


if __name__ == "__main__":
    main()
