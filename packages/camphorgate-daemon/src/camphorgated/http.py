"""HTTP servers that run inside the daemon's own event loop."""

import asyncio
import contextlib
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from camphorgate.application import Application
from camphorgate.settings import split_address
from camphorgated.errors import ListenError

START_POLL_SECONDS = 0.01
LISTEN_BACKLOG = 2048


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing: the daemon installs its own signal handlers."""
        yield


async def start_server(app: ASGIApp, address: str, **options) -> EmbeddedServer:
    """Start a server and return when it is listening.

    :param address: ``host:port``.
    :param options: further options of :class:`uvicorn.Config`.
    :raises ListenError: if the address cannot be bound.
    """
    host, port = split_address(address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        backlog=LISTEN_BACKLOG,
        **options,
    )
    server = EmbeddedServer(config)
    task = asyncio.create_task(_serve(server, address), name=f"http {address}")
    server.task = task
    while not server.started:
        if task.done():
            await task
            raise ListenError(f"cannot listen on {address}")
        await asyncio.sleep(START_POLL_SECONDS)
    return server


async def stop_server(server: EmbeddedServer) -> None:
    """Stop accepting connections and wait until open requests have finished."""
    server.should_exit = True
    await server.task


def serve_pages(app: Application, pages: ASGIApp, address: str) -> None:
    """Serve an ASGI application from the start of the daemon until its stop."""
    servers: list[EmbeddedServer] = []

    async def start() -> None:
        servers.append(await start_server(pages, address))

    async def stop() -> None:
        for server in servers:
            await stop_server(server)

    app.on_start(start)
    app.on_stop(stop)


async def _serve(server: EmbeddedServer, address: str) -> None:
    try:
        await server.serve()
    except SystemExit:
        # uvicorn calls sys.exit() if it cannot bind, which would end the daemon.
        raise ListenError(f"cannot listen on {address}") from None
