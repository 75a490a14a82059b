"""Runs stand-ins inside the test's own event loop."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator

from camphorgate_standins.serving import make_server


@contextlib.asynccontextmanager
async def serve(app) -> AsyncIterator[str]:
    """Serve an ASGI application on a free port and yield its address."""
    server = make_server(app, "127.0.0.1:0")
    # Injected faults break connections, and uvicorn logs each as an error.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    task = asyncio.create_task(server.serve())
    try:
        while not server.started:
            if task.done():
                task.result()
            await asyncio.sleep(0.005)
        host, port = server.servers[0].sockets[0].getsockname()[:2]
        yield f"{host}:{port}"
    finally:
        server.should_exit = True
        server.force_exit = True
        await task
