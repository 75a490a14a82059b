"""Fault injection and the command-line server that all stand-ins share."""

import argparse
import asyncio
import time
from collections.abc import Sequence

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

CONTROL_PREFIX = "/control"


class ConnectionAborted(Exception):
    """Raised by a handler to abort its connection without a response."""


class Faults:
    """Faults that a test has armed, by name, each with an expiry and a count.

    ``POST /control/faults`` with ``{"fault": name, "seconds": s, "count": n,
    "value": v}`` arms one; ``{"fault": "none"}`` clears all.
    """

    __slots__ = ("_armed_by_name",)

    def __init__(self) -> None:
        self._armed_by_name: dict[str, dict] = {}

    def arm(self, order: dict) -> None:
        """Arm one fault, or clear all."""
        if order["fault"] == "none":
            self._armed_by_name.clear()
            return
        self._armed_by_name[order["fault"]] = {
            "until": time.monotonic() + float(order.get("seconds", 1e9)),
            "count": int(order.get("count", 1_000_000_000)),
            "value": order.get("value"),
        }

    def is_active(self, name: str) -> bool:
        """Return whether a fault is armed, without consuming a use."""
        armed = self._armed_by_name.get(name)
        return bool(armed and armed["count"] and time.monotonic() < armed["until"])

    def consume(self, name: str) -> bool:
        """Return whether a fault is armed, and consume one use of it."""
        if not self.is_active(name):
            return False
        self._armed_by_name[name]["count"] -= 1
        return True

    def value(self, name: str, default: float = 0.0) -> float:
        """Return the value that a fault was armed with, as a number."""
        armed = self._armed_by_name.get(name)
        armed_value = armed["value"] if armed else None
        return default if armed_value is None else float(armed_value)

    def text_value(self, name: str, default: str) -> str:
        """Return the value that a fault was armed with, as text."""
        armed = self._armed_by_name.get(name)
        armed_value = armed["value"] if armed else None
        return default if armed_value is None else str(armed_value)

    def routes(self) -> list[Route]:
        """Return the control routes."""

        async def arm(request: Request) -> JSONResponse:
            self.arm(await request.json())
            return JSONResponse({"armed": sorted(self._armed_by_name)})

        return [Route(f"{CONTROL_PREFIX}/faults", arm, methods=["POST"])]


class FaultyApp:
    """Injects ``down``, ``slow``, ``silent`` and ``lose_answers`` into an application.

    Control calls are not affected.
    """

    __slots__ = ("app", "faults")

    def __init__(self, app: ASGIApp, faults: Faults) -> None:
        self.app = app
        self.faults = faults

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http" or scope["path"].startswith(CONTROL_PREFIX):
            await self.app(scope, receive, send)
            return
        if self.faults.consume("down"):
            _abort(scope)
            return
        if self.faults.consume("silent"):
            await asyncio.sleep(3600)
        if self.faults.is_active("slow"):
            await asyncio.sleep(self.faults.value("slow", 0.5))
        lose_response = self.faults.consume("lose_answers")

        async def send_unless_lost(message: Message) -> None:
            if not lose_response:
                await send(message)

        try:
            await self.app(scope, receive, send_unless_lost)
        except ConnectionAborted:
            _abort(scope)
            return
        if lose_response:
            _abort(scope)


def _abort(scope: Scope) -> None:
    """Abort the connection of a request without a response."""
    transport = scope.get("extensions", {}).get("camphorgate.transport")
    if transport is not None:
        transport.abort()


class TransportProtocol:
    """Exposes uvicorn's transport to the application, so that faults can abort it."""

    def __new__(cls, *args, **kwargs):
        from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

        class Protocol(HttpToolsProtocol):
            def on_message_begin(self) -> None:
                super().on_message_begin()
                self.scope["extensions"] = {"camphorgate.transport": self.transport}

        return Protocol(*args, **kwargs)


def make_server(app: ASGIApp, address: str) -> uvicorn.Server:
    """Create a server for an address without starting it.

    :param address: ``host:port``; port 0 selects a free port.
    """
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        http=TransportProtocol,
        loop="uvloop",
        log_level="error",
        access_log=False,
        timeout_keep_alive=120,
        timeout_graceful_shutdown=1,
        lifespan="off",
    )
    return uvicorn.Server(config)


def build_app(routes: Sequence[Route], faults: Faults) -> FaultyApp:
    """Return an application with fault injection around the routes."""
    # The fault routes come first, as a stand-in may have a catch-all route.
    return FaultyApp(Starlette(routes=[*faults.routes(), *routes]), faults)


def parse_options(description: str, **defaults: object) -> argparse.Namespace:
    """Parse the command-line options of a stand-in; each has ``--address``.

    :param defaults: further options with their defaults.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1:0", help="host:port")
    for name, default in defaults.items():
        flag = f"--{name.replace('_', '-')}"
        if isinstance(default, bool):
            parser.add_argument(flag, action="store_true")
        else:
            parser.add_argument(flag, default=default, type=type(default))
    return parser.parse_args()


def run(app: ASGIApp, address: str) -> None:
    """Serve until SIGTERM or SIGINT."""
    make_server(app, address).run()
