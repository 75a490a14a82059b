"""Stand-in for an ordering service: non-idempotent bookings, idempotent look-ups.

Faults: ``down``, ``slow``, ``silent``, ``lose_answers`` (the booking is made, no
response is sent), ``accept_and_hang`` (the booking is made, then the request
hangs), ``short_answer`` (fewer bytes than ``Content-Length``),
``wrong_request_id`` (responds with another request's id), ``work_seconds`` (value:
processing time).
``GET /control/bookings`` lists every execution, which reveals a duplicate booking;
``GET /control/requests`` lists the received requests with their headers.
"""

import asyncio
import json

from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from camphorgate_standins.serving import Faults, build_app, parse_options, run

MAX_KEPT_REQUESTS = 1000


class ServiceStandin:
    """Executes bookings and look-ups, and records the requests it receives."""

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
        """Handle any request; each POST below ``bookings`` makes one booking."""
        self._record_request(request)
        if request.url.path.endswith("/echo"):
            return StreamingResponse(
                request.stream(),
                media_type=request.headers.get("content-type"),
                headers=self._response_headers(request),
            )
        body = await request.body()
        self.running += 1
        try:
            content = await self._process(request, body)
        finally:
            self.running -= 1
        if self.faults.consume("accept_and_hang"):
            await asyncio.sleep(3600)
        headers = self._response_headers(request)
        data = json.dumps(content).encode()
        if self.faults.consume("short_answer"):
            headers["content-length"] = str(len(data) + 10)
        return Response(data, media_type="application/json", headers=headers)

    async def _process(self, request: Request, body: bytes) -> dict:
        if self.faults.is_active("work_seconds"):
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

    def _record_request(self, request: Request) -> None:
        self.requests.append(
            {
                "method": request.method,
                "url": str(request.url),
                "headers": dict(request.headers),
                "client_port": request.client.port if request.client else 0,
            }
        )
        del self.requests[:-MAX_KEPT_REQUESTS]

    def _response_headers(self, request: Request) -> dict[str, str]:
        request_id = request.headers.get("x-request-id", "")
        if self.faults.consume("wrong_request_id"):
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
        """Announce an eviction in load reports from now on."""
        self.leaving = float((await request.json()).get("seconds", 5))
        return JSONResponse({"leaving": self.leaving})

    async def list_bookings(self, request: Request) -> JSONResponse:
        """Return every booking that was made."""
        return JSONResponse({"bookings": self.bookings})

    async def list_requests(self, request: Request) -> JSONResponse:
        """Return the most recent requests."""
        return JSONResponse({"requests": self.requests})


def main() -> None:
    """Run the stand-in as a program."""
    options = parse_options("Stand-in for an ordering service.", name="service")
    run(ServiceStandin(options.name).app(), options.address)


if __name__ == "__main__":
    main()
