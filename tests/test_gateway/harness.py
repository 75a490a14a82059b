"""Runs a gateway and stand-ins within a test, on free ports."""

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
        """Return what the test set."""
        return self.is_fresh

    def change(self, **changes):
        """Put a changed manifest in force."""
        self.manifest = msgspec.structs.replace(self.manifest, **changes)
        self.version += 1
        self.index = ManifestIndex(self.manifest, self.version)
        self.app.emit("manifest-changed", self.index)

    def change_pool(self, name, **changes):
        """Put a manifest with one changed pool in force."""
        pools = [
            msgspec.structs.replace(pool, **changes) if pool.name == name else pool
            for pool in self.manifest.pools
        ]
        self.change(pools=tuple(pools))


class Answer:
    """An answer as a caller sees it; ``whole`` is false if it was cut."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.whole = False
        self.begun_at = 0.0

    def on_header(self, name, value):
        """Keep a header."""
        self.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self):
        """Note when the answer began."""
        self.begun_at = asyncio.get_running_loop().time()

    def on_body(self, body):
        """Keep a piece of the body."""
        self.body += body

    def on_message_complete(self):
        """Note the end."""
        self.whole = True

    @property
    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)

    @property
    def code(self):
        """Return the error code and the outcome."""
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
        """Send a whole request."""
        fields = {"host": "test", **(headers or {})}
        if body or method == "POST":
            fields.setdefault("content-length", str(len(body)))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)

    async def read(self, seconds=10.0):
        """Return the next answer."""
        answer = Answer()
        parser = httptools.HttpResponseParser(answer)
        async with asyncio.timeout(seconds):
            while not answer.whole:
                try:
                    data = await self.reader.read(65536)
                except ConnectionError:
                    break
                if not data:
                    break
                parser.feed_data(data)
                answer.status = parser.get_status_code()
        return answer

    def close(self):
        """Close at once."""
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
        self.desks = [ServiceStandin(f"desk-{n}") for n in (1, 2)]
        self.records = []
        self.app = await self.start_gateway()
        self.address = self.app.service("gateway").address

    async def asyncTearDown(self):
        # A task that outlives its cancellation shows as a timeout here.
        if not self.app.service("gateway").gateway.leaving:
            async with asyncio.timeout(10):
                await self.app.stop()
        for server in self.servers:
            server.should_exit = True
            server.force_exit = True
        await asyncio.sleep(0.02)
        logger.remove()

    async def serve(self, app):
        """Run a stand-in and return its address."""
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
        """Start the application with a fake configuration."""
        engines = [
            build_upstream(engine.name, address=await self.serve(engine.app()))
            for engine in self.engines
        ]
        desks = [
            build_upstream(desk.name, address=await self.serve(desk.app()), slots=16)
            for desk in self.desks
        ]
        manifest = build_manifest(
            pools=(
                Pool("models", "engines", upstreams=tuple(engines)),
                Pool("desk", "service", upstreams=tuple(desks)),
            ),
            services=(
                Service("booking", "/booking", "desk", deadline_seconds=1.0),
                Service("info", "/info", "desk", access="open", deadline_seconds=1.0),
            ),
        )
        app = Application(self.settings())
        app.add_event("manifest-changed")
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
        """Send one request on a connection of its own and return the answer."""
        caller = await Caller.connect(self.address)
        caller.send(method, path, BEARER if headers is None else headers, body)
        answer = await caller.read(seconds)
        caller.close()
        return answer

    async def complete(self, prompt="hello", stream=False, **fields):
        """Send one completion."""
        return await self.call(
            "POST", "/v1/completions", body=completion(prompt, stream=stream, **fields)
        )

    def arm(self, standins, fault, **fields):
        """Arm a fault at each stand-in."""
        for standin in standins:
            standin.faults.arm({"fault": fault, **fields})

    def heal(self):
        """Forget every failure that the gateway has seen."""
        table = self.app.service("upstreams")
        for entry in table.entries_by_id.values():
            table._board(entry).forget(entry.view.id)
            entry.view.health = "healthy"
        gateway = self.app.service("gateway").gateway
        gateway.retry_budget = RetryBudget(gateway.now())

    def bookings(self):
        """Return every booking that ran on any worker."""
        return [booking for desk in self.desks for booking in desk.bookings]

    async def until(self, condition, seconds=5.0):
        """Wait until a condition holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)


def completion(prompt="hello", model="assistant", **fields):
    """Return the body of a completion request."""
    return json.dumps({"model": model, "prompt": prompt, **fields}).encode()


def stream_text(body):
    """Return the text of a streamed answer, and the numbers of its events."""
    texts, numbers = [], []
    for event in body.decode().split("\n\n"):
        lines = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
        if "id" in lines:
            numbers.append(int(lines["id"]))
            choice = json.loads(lines["data"])["choices"][0]
            texts.append(choice.get("text") or choice["delta"]["content"])
    return "".join(texts), numbers
