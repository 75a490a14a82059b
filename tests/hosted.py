"""Runs a hosted daemon and stand-ins of its platform in the test's process."""

import asyncio
import contextlib
import json
import os
import socket
import unittest

from camphorgate.serving.settings import HostedSettings, validate_hosted_settings
from camphorgate_standins.hosting_store import (
    LEASE_CHECK_INTERVAL_SECONDS,
    HostingStore,
)
from camphorgate_standins.hosting_worker import HostingWorker
from camphorgate_standins.serving import make_server
from camphorgated.serving import daemon
from camphorgated.serving.client_connection import ClientConnection, connect
from camphorgated.serving.http1 import encode_head
from tests.hosting_builders import (
    HOST,
    KEY,
    build_platform_configuration,
    build_platform_entry,
)

WAIT_SECONDS = 5.0


# Loopback address specific to this process, so that concurrent test runs cannot take
# each other's ports between choosing and binding them.
LOOPBACK = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.1"


# Ports that free_address() has returned: they may not be bound yet at its next call.
_returned_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address whose port is free now, and was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            port = probe.getsockname()[1]
        if port not in _returned_ports:
            _returned_ports.add(port)
            return f"{LOOPBACK}:{port}"


def build_hosted_settings(store: str, **changes) -> HostedSettings:
    """Return settings of a hosted daemon on free ports."""
    data = {
        "instance_id": "entry-1",
        "availability_zone": "zone-a",
        "adapter": "camphorgate_platform",
        "caller_address": free_address(),
        "ready_address": free_address(),
        "peer_address": free_address(),
        "gossip_address": free_address(),
        "store_address": store,
        "operations_address": store,
        "times": {"lease_seconds": 1.5, "usage_window_seconds": 1.0},
        **changes,
    }
    return validate_hosted_settings(data, "test")


def encode_request(method: str, path: str, body: bytes = b"", headers=None) -> bytes:
    """Return the bytes of a request.

    :param headers: replace the usual ones or add to them; ``None`` leaves one out.
    """
    lines = {
        b"host": HOST.encode(),
        b"x-attempt-id": b"attempt-1",
        b"x-deadline": b"3000",
        b"authorization": b"Bearer " + KEY.encode(),
        b"content-length": b"%d" % len(body),
        **(headers or {}),
    }
    lines = [(name, value) for name, value in lines.items() if value is not None]
    return encode_head(f"{method} {path} HTTP/1.1".encode(), lines) + body


async def read_response(
    reader: asyncio.StreamReader, has_body: bool = True
) -> tuple[int, dict[str, str]]:
    """Read a response from a stream, and nothing that follows it.

    :returns: its status, and its headers in lower case.
    """
    async with asyncio.timeout(3.0):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *lines = head.rstrip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        if has_body:
            await reader.readexactly(int(headers["content-length"]))
    version, status, *_ = start.split()
    if version != "HTTP/1.1":
        raise AssertionError(f"no status line: {start}")
    return int(status), headers


class Response:
    """A response as the caller receives it; ``complete`` is false if truncated."""

    def __init__(self, connection: ClientConnection, body: bytes, complete: bool):
        self.status = connection.status
        self.headers = dict(connection.headers)
        self.body = body
        self.complete = complete


class HostedCase(unittest.IsolatedAsyncioTestCase):
    """A test with a store, workers and daemons, which stop when the test ends."""

    async def asyncSetUp(self):
        """Start the store."""
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.store = HostingStore()
        self.store_address = await self.serve(self.store.app())
        self.workers = {}

    async def serve(self, app) -> str:
        """Serve an application until the test ends, and return its address."""
        server = make_server(app, free_address())
        task = asyncio.create_task(server.serve())

        async def stop():
            self.store.close()
            server.should_exit = True
            await asyncio.sleep(2 * LEASE_CHECK_INTERVAL_SECONDS)
            server.force_exit = True
            await task

        self.stack.push_async_callback(stop)
        await self.eventually(lambda: server.started)
        host, port = server.servers[0].sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def add_worker(self, worker_id: str, service: str = "desk", **changes):
        """Start a worker and write its entry to the store."""
        worker = HostingWorker(worker_id, changes.get("phase", ""), 8)
        address = await self.serve(worker.app())
        entry = build_platform_entry(address, service=service, **changes)
        self.store.put(f"servers/{worker_id}", entry)
        self.workers[worker_id] = worker
        return worker

    def configure(self, version: int = 1, **changes) -> None:
        """Write a configuration to the store, as the operator does."""
        configuration = build_platform_configuration(version, **changes)
        self.store.put("op/config", json.dumps(configuration).encode())

    async def start_daemon(self, **changes):
        """Start a daemon within this process."""
        settings = build_hosted_settings(self.store_address, **changes)
        app = daemon.build(settings)
        await daemon.start(app)
        self.stack.push_async_callback(app.stop)
        return app

    async def start_ready(self, **changes):
        """Start a daemon; wait until it knows its configuration and all workers."""
        app = await self.start_daemon(**changes)
        directory = app.service("directory")
        await self.eventually(
            lambda: (
                directory.catalog and len(directory.table.by_id) >= len(self.workers)
            )
        )
        return app

    async def wait_for_peers(self, apps) -> None:
        """Wait until each daemon sends to the others of its zone."""
        await self.eventually(lambda: all(app.service("gossip").near for app in apps))

    async def eventually(self, condition, seconds: float = WAIT_SECONDS):
        """Wait until a condition holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def request(self, app, path: str, **options) -> Response:
        """Send a request on a new connection and read its response."""
        host, _, port = app.settings.caller_address.rpartition(":")
        connection = await connect(host, int(port), 1.0)
        try:
            return await self.request_on(connection, path, **options)
        finally:
            connection.close()

    async def open_caller(self, app, receive_bytes: int | None = None):
        """Open a connection of a caller as a pair of streams.

        :param receive_bytes: size of the system's buffer for what it has not read.
        """
        host, _, port = app.settings.caller_address.rpartition(":")
        caller = socket.socket()
        if receive_bytes is not None:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=caller)
        self.stack.callback(writer.close)
        return reader, writer

    async def request_on(
        self, connection, path, method="GET", body=b"", headers=None, seconds=5.0
    ) -> Response:
        """Send a request on an open connection and read its response."""
        connection.send(method, encode_request(method, path, body, headers))
        async with asyncio.timeout(seconds):
            await connection.read_head()
            pieces = []
            while piece := await connection.read_piece():
                pieces.append(piece)
        connection.finish()
        return Response(connection, b"".join(pieces), piece is not None)
