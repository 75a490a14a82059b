"""Stand-in for a worker of a hosting platform: a plain service or a model engine.

It has slots, reads prompts at a rate, keeps shared parts, hands prompts over and
streams. Faults: ``down``, ``silent``, ``slow``, ``lose_answers`` (it runs, no answer
comes), ``refuse`` (503, not run), ``fail`` (500 of its own), ``break_stream`` (value:
events before the connection breaks), ``wrong_attempt`` (an answer with another id),
``unstamped``, ``leave`` (every answer says that it leaves), ``pause`` (503, not run;
value: what it sends as ``Retry-After``). ``GET /control/runs`` lists every run and what
arrived.
"""

import asyncio
import itertools
import time

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

TOKENS_PER_SECOND = 55_000.0
EVENT_SECONDS = 0.005
EVENT_TOKENS = 11
LEAVE = "leave"


class LeavingHeader:
    """Says in every answer that the worker leaves, while ``leave`` is armed."""

    __slots__ = ("_app", "_faults")

    def __init__(self, app: ASGIApp, faults: Faults) -> None:
        self._app = app
        self._faults = faults

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_marked(message: Message) -> None:
            if message["type"] == "http.response.start" and self._faults.active(LEAVE):
                headers = [*message.get("headers", []), (b"server-leaving", b"1")]
                message = {**message, "headers": headers}
            await send(message)

        await self._app(scope, receive, send_marked)


class HostingWorker:
    """Runs requests and remembers each run."""

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
        "_numbers",
        "_engine",
    )

    def __init__(self, worker_id: str, phase: str = "", slots: int = 6) -> None:
        self.id = worker_id
        self.slots = slots
        self.phase = phase
        self.faults = Faults()
        self.runs: list[dict] = []
        # When each request came, refused ones included, and its attempt.
        self.arrivals: list[tuple[float, str]] = []
        # When it asked for a pause, in the answer to which attempt, and what it said.
        self.pauses: list[tuple[float, str, str]] = []
        self.prefills: list[str] = []
        self.handles: dict[str, str] = {}
        self.cached: set[str] = set()
        self.running = 0
        self.orders = 0
        self.highest_fencing = 0
        self._numbers = itertools.count(1)
        self._engine = asyncio.Lock()

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
        return LeavingHeader(build_app(routes, self.faults), self.faults)

    def _headers(self, request: Request) -> dict[str, str]:
        attempt = request.headers.get("x-attempt-id", "")
        if self.faults.take("wrong_attempt"):
            attempt = "another"
        headers = {
            "x-attempt-id": attempt,
            "x-instance-load": f"{self.running},0,{self.slots}",
        }
        if not self.faults.take("unstamped"):
            headers["x-server-stamp"] = f"{self.id}.{next(self._numbers)}"
        return headers

    def _not_run(self, status: int, **more: str) -> Response:
        headers = {"x-not-executed": "1", "x-instance-id": self.id, **more}
        return Response(status_code=status, headers=headers)

    async def serve(self, request: Request) -> Response:
        """Run a request, or refuse it."""
        attempt = request.headers.get("x-attempt-id", "")
        self.arrivals.append((time.time(), attempt))
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return self._not_run(421)
        if self.faults.take("pause"):
            pause = self.faults.text("pause", "1")
            self.pauses.append((time.time(), attempt, pause))
            return self._not_run(503, **{"retry-after": pause})
        if self.faults.take("refuse") or self.running >= self.slots:
            return self._not_run(503)
        body = await request.body()
        prefill = request.headers.get("x-phase") == "prefill"
        if prefill != (self.phase == "prefill"):
            return self._not_run(421)
        self.running += 1
        try:
            if prefill:
                return await self._prefill(request)
            source = request.headers.get("x-kv-source")
            if self.phase and source is None:
                await self._read(request, 0.5)
            self._remember(request, body)
            if self.faults.take("fail"):
                return Response(b"failed", 500, headers=self._headers(request))
            if self.phase:
                return self._stream(request)
            await asyncio.sleep(0.002)
            return Response(b"done " + body, headers=self._headers(request))
        finally:
            self.running -= 1

    async def _read(self, request: Request, part: float) -> int:
        """Read what of the prompt is not kept; one prompt at a time."""
        tokens = 0
        known = True
        for item in request.headers.get("x-prompt-prefix", "").split(","):
            name, _, size = item.partition(":")
            known = known and name in self.cached
            if not known and size:
                tokens += int(size)
            self.cached.add(name)
        async with self._engine:
            await asyncio.sleep(tokens / (TOKENS_PER_SECOND * part))
        return tokens

    async def _prefill(self, request: Request) -> Response:
        tokens = await self._read(request, 1.0)
        handle = f"h{next(self._numbers)}"
        attempt = request.headers["x-attempt-id"]
        self.prefills.append(attempt)
        self.handles[handle] = attempt
        return JSONResponse(
            {"kv-handle": handle, "tokens": tokens, "version": 1},
            headers={"x-attempt-id": attempt},
        )

    def _stream(self, request: Request) -> Response:
        output = request.headers.get("x-token-count", "0,22").partition(",")[2]
        events = max(1, int(output) // EVENT_TOKENS)
        last = request.headers.get("last-event-id")
        first = int(last) + 1 if last else 1
        broken_after = None
        if self.faults.take("break_stream"):
            broken_after = int(self.faults.value("break_stream"))

        async def produce():
            for number in range(first, events + 1):
                if broken_after is not None and number - first >= broken_after:
                    yield b"id: 99"
                    raise ConnectionAborted
                await asyncio.sleep(EVENT_SECONDS)
                yield b"id: %d\ndata: %s-%d\n\n" % (number, b"token", number)

        headers = {**self._headers(request), "content-type": "text/event-stream"}
        return StreamingResponse(produce(), headers=headers)

    def _remember(self, request: Request, body: bytes) -> None:
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
        """Return what the engine says of itself."""
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
        """Change the phase if the order's fencing number and precondition allow it."""
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
        """Free a handle."""
        self.handles.pop(request.path_params["handle"], None)
        return JSONResponse({})

    async def list_runs(self, request: Request) -> Response:
        """Return every run."""
        return JSONResponse(
            {
                "runs": self.runs,
                "prefills": self.prefills,
                "arrivals": self.arrivals,
                "pauses": self.pauses,
            }
        )


def main() -> None:
    """Run the stand-in as a program."""
    options = parse_options(
        "Stand-in for a worker of a hosting platform.",
        id="worker",
        phase="",
        slots=6,
        leave=False,
    )
    worker = HostingWorker(options.id, options.phase, options.slots)
    if options.leave:
        worker.faults.arm({"fault": LEAVE})
    run(worker.app(), options.address)


if __name__ == "__main__":
    main()
