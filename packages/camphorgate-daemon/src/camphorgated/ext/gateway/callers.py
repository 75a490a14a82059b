"""Caller-facing server: routes, health endpoints, and uvicorn in the daemon's loop."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import msgspec
import uvicorn
from starlette.routing import Route, Router
from starlette.types import ASGIApp, Receive, Scope, Send

from camphorgate.log import log_event
from camphorgate.settings import split_address
from camphorgated.ext.gateway.access import check_key
from camphorgated.ext.gateway.call import CallerDisconnected, RequestContext
from camphorgated.ext.gateway.completion_handler import complete
from camphorgated.ext.gateway.completions import list_models
from camphorgated.ext.gateway.errors import GatewayError
from camphorgated.ext.gateway.protocol import make_protocol
from camphorgated.ext.gateway.services import serve

KEEP_ALIVE_SECONDS = 75
TIMEOUT_CHECK_INTERVAL_SECONDS = 0.5
BACKLOG = 2048

Handler = Callable[[RequestContext], Awaitable[None]]
_JSON = (b"content-type", b"application/json")


class Endpoint:
    """Runs a handler for each request and records how the request ended."""

    __slots__ = ("_gateway", "_handler")

    def __init__(self, gateway: Any, handler: Handler) -> None:
        """Wrap a handler."""
        self._gateway = gateway
        self._handler = handler

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        call = RequestContext(self._gateway, scope, receive, send)
        recorder = self._gateway.recorder
        recorder.begin()
        try:
            await self._run(call)
        except (CallerDisconnected, asyncio.CancelledError):
            call.record.outcome = "caller_left"
            call.abort()
        finally:
            call.close()
            recorder.finish(call.record)

    async def _run(self, call: RequestContext) -> None:
        try:
            await self._handler(call)
        except GatewayError as error:
            await call.send_error(error)
        except (CallerDisconnected, asyncio.CancelledError):
            raise
        except Exception as error:
            log_event(
                "request_failed",
                level="ERROR",
                id=call.record.request_id,
                error=repr(error),
            )
            await call.send_error(GatewayError("internal_error", "internal error"))
        else:
            call.record.outcome = call.record.outcome or "ok"


class UncountedEndpoint:
    """Serves a route whose requests are neither counted nor logged."""

    __slots__ = ("_build_response",)

    def __init__(self, build_response: Callable[[], tuple[int, list, bytes]]) -> None:
        """Wrap a function that returns status, headers and body."""
        self._build_response = build_response

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        status, headers, body = self._build_response()
        headers = [*headers, (b"content-length", b"%d" % len(body))]
        if scope["method"] == "HEAD":
            body = b""
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


def build_app(gateway: Any) -> ASGIApp:
    """Return the ASGI application that serves callers."""

    async def list_workspace_models(call: RequestContext) -> None:
        index, workspace = check_key(gateway, call)
        await call.send_response(200, [_JSON], list_models(index, workspace))

    def endpoint(handler: Handler) -> Endpoint:
        return Endpoint(gateway, handler)

    routes = [
        Route("/v1/chat/completions", endpoint(complete)),
        Route("/v1/completions", endpoint(complete)),
        Route("/v1/models", endpoint(list_workspace_models)),
        Route(
            "/healthz", UncountedEndpoint(lambda: _json_response(200, {"status": "ok"}))
        ),
        Route("/readyz", UncountedEndpoint(lambda: _readiness(gateway))),
        Route("/metrics", UncountedEndpoint(lambda: _metrics(gateway))),
    ]
    # Router instead of Starlette: Starlette's exception middleware wraps each send of
    # a stream, and Endpoint handles every error itself.
    return Router(routes, redirect_slashes=False, default=endpoint(serve))


def _json_response(status: int, content: dict) -> tuple[int, list, bytes]:
    return status, [_JSON], msgspec.json.encode(content)


def _readiness(gateway: Any) -> tuple[int, list, bytes]:
    if gateway.leaving:
        return _json_response(503, {"status": "leaving"})
    configuration = gateway.configuration
    if configuration is None or configuration.index is None:
        return _json_response(503, {"status": "no configuration"})
    return _json_response(200, {"status": "ready"})


def _metrics(gateway: Any) -> tuple[int, list, bytes]:
    if not gateway.app.has_service("metrics"):
        return _json_response(404, {"status": "no metrics extension"})
    content_type, body = gateway.app.service("metrics").render()
    return 200, [(b"content-type", content_type.encode())], body


class CallerServer(uvicorn.Server):
    """uvicorn server in the daemon's event loop; the daemon handles signals."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Prepare a server."""
        super().__init__(config)
        self.stopping = asyncio.Event()

    async def main_loop(self) -> None:
        """Update the Date header once a second until the server is stopped."""
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self.stopping.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Keep the daemon's signal handlers."""
        yield


class Listener:
    """Accepts callers until it is stopped, then lets running requests finish."""

    __slots__ = ("address", "_gateway", "_server", "_task", "_next_timeout_check")

    def __init__(self, gateway: Any) -> None:
        """Prepare a server for the address in the settings."""
        self.address = gateway.settings.caller_address
        self._gateway = gateway
        config = uvicorn.Config(
            build_app(gateway),
            http=make_protocol(gateway),
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            log_level="critical",
            proxy_headers=False,
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            backlog=BACKLOG,
        )
        self._server = CallerServer(config)
        self._task: asyncio.Task | None = None
        self._next_timeout_check = 0.0

    async def start(self) -> None:
        """Bind the address and accept connections.

        :raises OSError: if the address cannot be used.
        """
        host, port = split_address(self.address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
        self.address = f"{host}:{listening.getsockname()[1]}"
        serving = self._server.serve(sockets=[listening])
        self._task = asyncio.create_task(serving, name="serve callers")
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0.005)
        self._gateway.deadline_monitor.add_tick_callback(
            self._check_connection_timeouts
        )
        log_event("listening", address=self.address)

    async def stop(self, grace_seconds: float) -> None:
        """Stop accepting connections and wait for running requests.

        :param grace_seconds: after which requests that still run are abandoned.
        """
        self._server.should_exit = True
        self._server.stopping.set()
        if self._task is None:
            return
        done, _ = await asyncio.wait([self._task], timeout=grace_seconds)
        if not done:
            log_event(
                "grace_over",
                level="ERROR",
                in_flight=self._gateway.recorder.in_flight,
            )
            self._server.force_exit = True
            await asyncio.wait([self._task], timeout=1.0)

    def _check_connection_timeouts(self, now: float) -> None:
        if now < self._next_timeout_check:
            return
        self._next_timeout_check = now + TIMEOUT_CHECK_INTERVAL_SECONDS
        for connection in list(self._server.server_state.connections):
            connection.check_timeouts(now)
