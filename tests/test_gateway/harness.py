"""Runs a gateway and the stand-ins of its upstreams in the test process."""

import asyncio
import contextlib
import json
import unittest

import httptools
import msgspec
import uvloop
from loguru import logger

from camphorgate.application import Application
from camphorgate.manifest import ManifestIndex, Pool, Service
from camphorgate.requests.retries import RetryBudget
from camphorgate.settings import (
    KvSettings,
    LimitSettings,
    PlatformSettings,
    Settings,
    TimingSettings,
)
from camphorgate_standins.engine import EngineStandin
from camphorgate_standins.service import ServiceStandin
from camphorgate_standins.serving import make_server
from camphorgated.ext import gateway
from tests.builders import KEYS_BY_WORKSPACE, build_manifest, build_upstream

KEY = KEYS_BY_WORKSPACE["north"]
BEARER = {"authorization": f"Bearer {KEY}"}


class FakeConfiguration:
    """A configuration service whose manifest a test sets."""

    def __init__(self, app, manifest):
        self.app = app
        self.version = 0
        self.is_fresh = True
        self.index = None
        self.manifest = manifest

    def fresh(self):
        """Return whether the test marked the configuration as fresh."""
        return self.is_fresh

    def change(self, **changes):
        """Activate a changed manifest."""
        self.manifest = msgspec.structs.replace(self.manifest, **changes)
        self.version += 1
        self.index = ManifestIndex(self.manifest, self.version)
        self.app.emit("manifest-changed", self.index)

    def change_pool(self, name, **changes):
        """Activate a manifest with one changed pool."""
        pools = [
            msgspec.structs.replace(pool, **changes) if pool.name == name else pool
            for pool in self.manifest.pools
        ]
        self.change(pools=tuple(pools))


class Response:
    """A response as a caller receives it.

    ``is_complete`` is false if the connection ended before the response did.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.started_at = 0.0

    def on_header(self, name, value):
        """Store a header."""
        self.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self):
        """Record when the headers were complete."""
        self.started_at = asyncio.get_running_loop().time()

    def on_body(self, body):
        """Append a chunk of the body."""
        self.body += body

    def on_message_complete(self):
        """Record the end of the response."""
        self.is_complete = True

    @property
    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)

    @property
    def error(self):
        """Return the error code, and whether the request ran."""
        error = self.json["error"]
        return error["code"], error["run"]


class Caller:
    """One connection of a caller."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address):
        """Open a connection."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, method, path, headers=None, body=b""):
        """Send a complete request."""
        fields = {"host": "test", **(headers or {})}
        if body or method == "POST":
            fields.setdefault("content-length", str(len(body)))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)

    async def read(self, seconds=10.0):
        """Return the next response."""
        response = Response()
        parser = httptools.HttpResponseParser(response)
        async with asyncio.timeout(seconds):
            while not response.is_complete:
                try:
                    data = await self.reader.read(65536)
                except ConnectionError:
                    break
                if not data:
                    break
                parser.feed_data(data)
                response.status = parser.get_status_code()
        return response

    def close(self):
        """Abort the connection."""
        self.writer.transport.abort()


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Two engines, two service workers and a gateway in front of them."""

    LIMITS: dict = {"silence_seconds": 0.4, "queue_seconds": 1.0}
    LIST_LAG_SECONDS = 0.0

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls):
        asyncio.set_event_loop_policy(None)

    async def asyncSetUp(self):
        logger.remove()
        self.log_lines = []
        logger.add(self.log_lines.append, format="{message}")
        self.servers = []
        self.engines = [EngineStandin(f"engine-{n}") for n in (1, 2)]
        self.workers = [ServiceStandin(f"desk-{n}") for n in (1, 2)]
        self.records = []
        self.app = await self.start_gateway()
        self.address = self.app.service("gateway").address

    async def asyncTearDown(self):
        # A task that does not end when it is cancelled causes a timeout here.
        if not self.app.service("gateway").gateway.leaving:
            async with asyncio.timeout(10):
                await self.app.stop()
        for server in self.servers:
            server.should_exit = True
            server.force_exit = True
        await asyncio.sleep(0.02)
        logger.remove()

    async def serve(self, app):
        """Serve a stand-in on a free port and return its address."""
        server = make_server(app, "127.0.0.1:0")
        server.capture_signals = contextlib.nullcontext
        server.config.lifespan = "off"
        task = asyncio.create_task(server.serve())
        task.add_done_callback(lambda task: task.cancelled() or task.exception())
        while not server.started:
            await asyncio.sleep(0.005)
        self.servers.append(server)
        port = server.servers[0].sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def start_gateway(self):
        """Start the gateway with a fake configuration."""
        engines = [
            build_upstream(engine.name, address=await self.serve(engine.app()))
            for engine in self.engines
        ]
        workers = [
            build_upstream(
                worker.name, address=await self.serve(worker.app()), slots=16
            )
            for worker in self.workers
        ]
        manifest = build_manifest(
            pools=(
                Pool("models", "engines", upstreams=tuple(engines)),
                Pool("desk", "service", upstreams=tuple(workers)),
            ),
            services=(
                Service("booking", "/booking", "desk", deadline_seconds=1.0),
                Service("info", "/info", "desk", access="open", deadline_seconds=1.0),
            ),
        )
        app = Application(self.settings())
        app.declare_event("manifest-changed")
        self.configuration = FakeConfiguration(app, manifest)
        app.provide("configuration", self.configuration)
        self.provide(app)
        gateway.setup(app)
        app.connect("request-finished", self.records.append)
        await app.start()
        self.configuration.change()
        return app

    def provide(self, app):
        """Provide further services before the gateway starts."""

    def settings(self):
        """Return the settings of the gateway under test."""
        platform = "127.0.0.1:9"
        return Settings(
            instance_id="i-1",
            availability_zone="zone-a",
            region="region-1",
            caller_address="127.0.0.1:0",
            admin_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            kv=KvSettings(("127.0.0.1:9",)),
            platform=PlatformSettings(
                platform, platform, platform, list_lag_seconds=self.LIST_LAG_SECONDS
            ),
            limits=LimitSettings(**self.LIMITS),
            timing=TimingSettings(stop_grace_seconds=5.0),
            seed=1,
        )

    async def call(self, method, path, headers=None, body=b"", seconds=10.0):
        """Send one request on a new connection and return the response."""
        caller = await Caller.connect(self.address)
        caller.send(method, path, BEARER if headers is None else headers, body)
        response = await caller.read(seconds)
        caller.close()
        return response

    async def complete(self, prompt="hello", stream=False, **fields):
        """Send one completion request."""
        return await self.call(
            "POST", "/v1/completions", body=completion(prompt, stream=stream, **fields)
        )

    def arm(self, standins, fault, **fields):
        """Arm a fault at each stand-in."""
        for standin in standins:
            standin.faults.arm({"fault": fault, **fields})

    def reset_health(self):
        """Reset the health of every upstream, and the retry budget."""
        table = self.app.service("upstreams")
        for entry in table.entries_by_id.values():
            table._board(entry).forget(entry.view.id)
            entry.view.health = "healthy"
        gateway = self.app.service("gateway").gateway
        gateway.retry_budget = RetryBudget(gateway.now())

    def bookings(self):
        """Return the bookings that the service workers executed."""
        return [booking for worker in self.workers for booking in worker.bookings]

    async def wait_until(self, condition, seconds=5.0):
        """Wait until a condition holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)


def completion(prompt="hello", model="assistant", **fields):
    """Return the body of a completion request."""
    return json.dumps({"model": model, "prompt": prompt, **fields}).encode()


def stream_text(body):
    """Return the text of a streamed response, and the ids of its events."""
    texts, event_ids = [], []
    for event in body.decode().split("\n\n"):
        lines = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
        if "id" in lines:
            event_ids.append(int(lines["id"]))
            choice = json.loads(lines["data"])["choices"][0]
            texts.append(choice.get("text") or choice["delta"]["content"])
    return "".join(texts), event_ids
