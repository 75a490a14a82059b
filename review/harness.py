"""Starts daemons, the platform's store and workers as processes, and calls them.

Shared by the scripts of the cases. Every process listens on loopback addresses, and all
processes that were started are ended by their ids.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
if ROOT.name == "target":
    ROOT = ROOT.parent
LOOPBACK = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.1"
HOST = "shop.example"
KEY = "key-north"
ZONE = "zone-a"
START_SECONDS = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not be run, so that it shows nothing."""


class Reply:
    """A response; ``status`` is 0 if the channel ended or was silent before it."""

    def __init__(self, status=0, headers=None, body=b"", whole=False, closed=False):
        """Keep what was received."""
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole
        self.closed = closed


class Channel:
    """A kept HTTP/1.1 channel of a caller."""

    def __init__(self, reader, writer):
        """Keep both directions."""
        self.reader = reader
        self.writer = writer

    async def call(self, method, path, headers, body=b"", seconds=10.0):
        """Send a request and read its response."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            async with asyncio.timeout(seconds):
                await self.writer.drain()
                return await self._read()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return Reply(closed=True)

    async def _read(self):
        status, headers = await read_head(self.reader)
        body, whole = await read_body(self.reader, headers)
        closed = headers.get("connection", "").lower() == "close"
        return Reply(status, headers, body, whole, closed)

    def close(self):
        """Close the channel."""
        self.writer.close()


async def read_head(reader):
    """Read the head of a response and return its status and headers."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return int(first.split()[1]), headers


async def read_body(reader, headers):
    """Read a body and return it, and whether it is complete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            try:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, OSError):
                return body, False
            if not size:
                return body, True
            body += piece[:-2]
    size = int(headers.get("content-length", 0))
    return await reader.readexactly(size), True


class Cluster:
    """A store, workers and daemons, each a process of its own."""

    def __init__(self, record):
        """Prepare without processes.

        :param record: path of the file that tells what was sent, answered and run.
        """
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self.settings = {}
        self.store = ""
        self.workers = {}
        self._record = open(record, "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.time()
        self._ports = set()

    def note(self, text):
        """Write a line to the record, with the seconds since the start."""
        self._record.write(f"{time.time() - self._began:8.3f} {text}\n")
        self._record.flush()

    def free_address(self):
        """Return a loopback address with a port that is free now."""
        while True:
            with socket.socket() as probe:
                probe.bind((LOOPBACK, 0))
                port = probe.getsockname()[1]
            if port not in self._ports:
                self._ports.add(port)
                return f"{LOOPBACK}:{port}"

    async def spawn(self, name, *words):
        """Start a Python module as a process."""
        path = os.pathsep.join(str(ROOT / "target" / item) for item in ("deps",))
        if not words[0].startswith("camphorgated"):
            path += os.pathsep + str(ROOT / "target" / "review")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = path
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                *words,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )
        self.processes[name] = process
        return process

    async def start_store(self):
        """Start the platform's store, which also takes usage reports and orders."""
        self.store = self.free_address()
        await self.spawn(
            "store", "camphorgate_standins.hosting_store", "--address", self.store
        )
        await eventually(lambda: listens(self.store), "the store")

    async def start_worker(self, name, module, service="desk", **options):
        """Start a worker and register it.

        :param options: more arguments of the program; ``phase`` is also in the entry.
        """
        address = self.free_address()
        words = ["--address", address, "--id", name]
        for key, value in options.items():
            words += [f"--{key.replace('_', '-')}", str(value)]
        await self.spawn(name, module, *words)
        await eventually(lambda: listens(address), name)
        entry = {
            "service": service,
            "address": address,
            "zone": ZONE,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        if "phase" in options:
            entry["phase"] = options["phase"]
        self.workers[name] = entry
        await self.put(f"servers/{name}", entry)

    async def put(self, key, value):
        """Write to the store as the operator or a worker does."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        reply = await self.call_http(
            self.store, "POST", f"/control/put?key={key}", body
        )
        if reply.status != 200:
            raise NotRunError(f"the store did not take {key}: {reply.status}")
        self.note(f"the store has confirmed {key}: {body[:300].decode('latin-1')}")

    async def remove(self, key):
        """Remove an item of the store, as the platform does when an entry lapses."""
        reply = await self.call_http(self.store, "POST", f"/control/remove?key={key}")
        if reply.status != 200:
            raise NotRunError(f"the store did not remove {key}: {reply.status}")
        self.note(f"the store has removed {key}")

    async def end(self, name, number=signal.SIGKILL):
        """Send a signal to a process and wait for its end."""
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)
            await process.wait()
        self.note(f"{name} has ended with {process.returncode}")

    async def start_daemon(self, name, store=None, wait=True):
        """Start a daemon with settings like those of a small deployment."""
        if name not in self.settings:
            data = {
                "instance_id": name,
                "availability_zone": ZONE,
                "adapter": "camphorgate_platform",
                "caller_address": self.free_address(),
                "ready_address": self.free_address(),
                "peer_address": self.free_address(),
                "gossip_address": self.free_address(),
                "operator_address": self.free_address(),
                "store_address": store or self.store,
                "operations_address": self.store,
                "budget": {"ratio": 0.2, "slack": 56, "window_seconds": 10},
                "times": {
                    "lease_seconds": 3.0,
                    "grace_seconds": 8,
                    "usage_window_seconds": 5,
                    "usage_late_seconds": 10,
                },
                "duties": ["usage", "fleet"],
            }
            self.settings[name] = data
            path = self.folder / f"{name}.jsonc"
            path.write_text(json.dumps(data), encoding="utf-8")
        path = self.folder / f"{name}.jsonc"
        process = await self.spawn(name, "camphorgated.main", str(path))
        if wait:
            await eventually(lambda: self.is_ready(name), name)
        return process

    async def is_ready(self, name):
        """Return whether a daemon answers the platform's question with 200."""
        address = self.settings[name]["ready_address"]
        reply = await self.call_http(address, "GET", "/v1/readyz")
        return reply.status == 200

    async def dump(self, name):
        """Return the state dump of a daemon."""
        address = self.settings[name]["operator_address"]
        reply = await self.call_http(address, "GET", "/admin/dump")
        return json.loads(reply.body) if reply.status == 200 else {}

    async def runs(self, name):
        """Return what a worker records of its arrivals and runs."""
        address = self.workers[name]["address"]
        reply = await self.call_http(address, "GET", "/control/runs")
        return json.loads(reply.body)

    async def channel(self, name):
        """Open a channel to a daemon as a caller."""
        host, port = split(self.settings[name]["caller_address"])
        async with asyncio.timeout(1.0):
            return Channel(*await asyncio.open_connection(host, port))

    async def call_http(self, address, method, path, body=b""):
        """Make one call on a channel of its own."""
        try:
            async with asyncio.timeout(3.0):
                channel = Channel(*await asyncio.open_connection(*split(address)))
        except (OSError, TimeoutError):
            return Reply(closed=True)
        try:
            return await channel.call(method, path, {}, body, 3.0)
        finally:
            channel.close()

    def log(self, name):
        """Return what a process has written."""
        return (self.folder / f"{name}.log").read_text(
            encoding="utf-8", errors="replace"
        )

    async def stop(self):
        """End all processes that were started, and close the record."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            await process.wait()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Proxy:
    """Passes channels on to an address; open ones can be made silent for good."""

    def __init__(self, target):
        """Prepare a proxy of an address."""
        self.target = target
        self.address = ""
        self._links = set()

    async def start(self, address):
        """Listen on an address."""
        self.address = address
        host, port = split(address)
        self._server = await asyncio.start_server(self._link, host, port)

    async def _link(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*split(self.target))
        except OSError:
            writer.close()
            return
        link = Link()
        self._links.add(link)
        try:
            await asyncio.gather(
                link.copy(reader, far_writer, True),
                link.copy(far_reader, writer, False),
            )
        finally:
            self._links.discard(link)
            writer.close()
            far_writer.close()

    def silence(self, chosen):
        """Pass nothing more on over open channels, and leave them open.

        :param chosen: tells by the last request on a channel whether it is meant.
        :returns: how many channels are silent now, and how many are open.
        """
        silenced = [link for link in self._links if chosen(link.request)]
        for link in silenced:
            link.silent = True
        return len(silenced), len(self._links)


class Link:
    """A channel through a proxy."""

    def __init__(self):
        """Start with nothing passed on."""
        self.request = ""
        self.silent = False

    async def copy(self, reader, writer, requests):
        """Pass bytes on until the end of the channel, none while it is silent."""
        try:
            while data := await reader.read(65536):
                if self.silent:
                    continue
                if requests and data[:4] in (b"GET ", b"POST", b"DELE"):
                    self.request = data.split(b"\r\n", 1)[0].decode("latin-1")
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if not self.silent:
                writer.close()


def split(address):
    """Split ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def listens(address):
    """Return whether an address accepts channels."""
    try:
        _, writer = await asyncio.open_connection(*split(address))
    except OSError:
        return False
    writer.close()
    return True


async def eventually(condition, what, seconds=START_SECONDS):
    """Wait until a condition holds.

    :raises NotRunError: if it does not in time.
    """
    until = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > until:
            raise NotRunError(f"not ready in time: {what}")
        await asyncio.sleep(0.05)


def route(name, prefix, service, **changes):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": "idempotent",
        "timeout-ms": 2000,
        "target-latency-ms": 150,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **changes,
    }


def configuration(version=1, **changes):
    """Return a configuration with a plain service and a service with engines."""
    stream = {"kind": "streaming", "sticky": True, "timeout-ms": 8000}
    once = {"max-attempts": 1}
    found = {
        "version": version,
        "routes": [
            route("read", "/read/", "desk"),
            route("book", "/book/", "desk", kind="non_idempotent", **once),
            route("draft", "/draft/", "models", **stream, **once),
        ],
        "services": [
            {"name": "desk", "health-path": "/healthz", "max-conns": 110},
            {
                "name": "models",
                "health-path": "/healthz",
                "max-conns": 370,
                "engine": {
                    "slots": 64,
                    "kv-capacity": 494558,
                    "kv-token-bytes": 18432,
                    "link-mbps": 550000.0,
                },
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "north", "api-keys": [KEY]}],
    }
    return {**found, **changes}


def caller_headers(attempt, deadline_ms=2000, **more):
    """Return the headers of a caller's request."""
    headers = {
        "X-Attempt-Id": attempt,
        "X-Deadline": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
    return {**headers, **{key.replace("_", "-"): value for key, value in more.items()}}


def main(folder, case):
    """Run a case and exit with its result.

    :param case: coroutine function that takes the cluster and whether to disrupt it,
        and returns what broke the rule, empty if nothing did.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        cluster = Cluster(Path(folder) / "record.txt")
        cluster.note("with the disruption" if trouble else "without the disruption")
        try:
            async with asyncio.timeout(110):
                broken = await case(cluster, trouble)
        except (Exception, asyncio.CancelledError) as error:
            # Whatever ends a case early shows nothing about the rule.
            cluster.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        else:
            for line in broken:
                cluster.note(f"BROKEN {line}")
            cluster.note("the rule was broken" if broken else "the rule held")
            print("\n".join(broken[:5]) or "the rule held")
            return BROKEN if broken else HELD
        finally:
            await cluster.stop()

    sys.exit(asyncio.run(run()))
