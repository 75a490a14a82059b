"""Stand-in for an ordering service: bookings that count, stock look-ups that repeat.

Faults: ``down``, ``slow``, ``silent``, ``lose_answers`` (the booking is made, no answer
comes), ``accept_and_hang`` (the booking is made, then silence), ``short_answer`` (fewer
bytes than announced), ``wrong_request_id`` (answers with another request's id).
``GET /control/bookings`` lists every run, so that a doubled booking shows;
``GET /control/requests`` lists the headers that arrived.
"""

import asyncio
import json

from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from camphorgate_standins.serving import Faults, build_app, parse_options, run

KEPT_REQUESTS = 1000


class ServiceStandin:
    """Books and answers, and remembers everything that arrived."""

    __slots__ = ("name", "faults", "bookings", "requests", "running", "leaving")

    def __init__(self, name: str = "service") -> None:
        self.name = name
        self.faults = Faults()
        self.bookings: list[dict] = []
        self.requests: list[dict] = []
        self.running = 0
        self.leaving = 0.0

    def app(self):
        """Return the ASGI application."""
        routes = [
            Route("/control/bookings", self.list_bookings),
            Route("/control/requests", self.list_requests),
            Route("/control/load", self.load),
            Route("/control/leave", self.leave, methods=["POST"]),
            Route(
                "/{path:path}",
                self.serve,
                methods=["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"],
            ),
        ]
        return build_app(routes, self.faults)

    async def serve(self, request: Request) -> Response:
        """Answer any call; a POST below ``bookings`` books once per arrival."""
        self._remember(request)
        if request.url.path.endswith("/echo"):
            return StreamingResponse(
                request.stream(),
                media_type=request.headers.get("content-type"),
                headers=self._headers(request),
            )
        body = await request.body()
        self.running += 1
        try:
            content = await self._work(request, body)
        finally:
            self.running -= 1
        if self.faults.take("accept_and_hang"):
            await asyncio.sleep(3600)
        headers = self._headers(request)
        data = json.dumps(content).encode()
        if self.faults.take("short_answer"):
            headers["content-length"] = str(len(data) + 10)
        return Response(data, media_type="application/json", headers=headers)

    async def _work(self, request: Request, body: bytes) -> dict:
        if self.faults.active("work_seconds"):
            await asyncio.sleep(self.faults.value("work_seconds"))
        if request.method == "POST" and "/bookings" in request.url.path:
            booking = {
                "number": len(self.bookings) + 1,
                "request_id": request.headers.get("x-request-id"),
                "body": body.decode(errors="replace"),
                "server": self.name,
            }
            self.bookings.append(booking)
            return {"booked": booking["number"], "server": self.name}
        return {"path": request.url.path, "stock": 42, "server": self.name}

    def _remember(self, request: Request) -> None:
        self.requests.append(
            {
                "method": request.method,
                "url": str(request.url),
                "headers": dict(request.headers),
                "client_port": request.client.port if request.client else 0,
            }
        )
        del self.requests[:-KEPT_REQUESTS]

    def _headers(self, request: Request) -> dict[str, str]:
        request_id = request.headers.get("x-request-id", "")
        if self.faults.take("wrong_request_id"):
            request_id = "somebody-elses"
        load = f"running={self.running};waiting=0;slots=16"
        if self.leaving:
            load += f";leaving={self.leaving:g}"
        return {"x-request-id": request_id, "x-load": load}

    async def load(self, request: Request) -> JSONResponse:
        """Return the load report."""
        report = {"running": self.running, "waiting": 0, "slots": 16}
        if self.leaving:
            report["leaving"] = self.leaving
        return JSONResponse(report)

    async def leave(self, request: Request) -> JSONResponse:
        """Start an eviction notice."""
        self.leaving = float((await request.json()).get("seconds", 5))
        return JSONResponse({"leaving": self.leaving})

    async def list_bookings(self, request: Request) -> JSONResponse:
        """Return every booking that ran."""
        return JSONResponse({"bookings": self.bookings})

    async def list_requests(self, request: Request) -> JSONResponse:
        """Return what arrived last."""
        return JSONResponse({"requests": self.requests})


def main() -> None:
    """Run the stand-in as a program."""
    options = parse_options("Stand-in for an ordering service.", name="service")
    run(ServiceStandin(options.name).app(), options.address)


if __name__ == "__main__":
    main()
