"""Starts a small deployment of the project's programs for the scripts of a review.

The store is the project's stand-in, the workers are those of ``review_worker``, and the
daemons are started with the command of the deploy file. All of them are processes of
their own on loopback addresses with free ports and a temporary folder.
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
DEPENDENCIES = ROOT / "target" / "deps"
STANDINS = ROOT / "packages" / "camphorgate-standins" / "src"
HOST = "shop.example"
KEY = "key-north"
TENANT = "north"
START_SECONDS = 30.0
# A worker writes its entry at this interval; after three of them in silence the
# platform removes the entry.
HEARTBEAT_SECONDS = 1.2
SILENT_HEARTBEATS = 3
# A script that takes longer has not run.
MAX_SECONDS = 117.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

_used_ports: set[int] = set()


def free_port() -> int:
    """Return a loopback port that is free now and was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


def trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route of the platform's configuration; its prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 8000,
        "target-latency-ms": 300,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gap-aim-ms": 250,
        **changes,
    }


def configuration(routes: list[dict], services: list[dict], version: int = 1) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    }


def service(name: str) -> dict:
    """Return a service without engines."""
    return {
        "name": name,
        "health-path": "/healthz",
        "max-conns": 110,
        "protocol": "h1",
        "tls": False,
    }


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, folder: Path):
        self.path = folder / "record.txt"
        self.began = time.monotonic()
        self.file = self.path.open("w")

    def line(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        seconds = time.monotonic() - self.began
        self.file.write(f"{seconds:8.3f} {text}\n")
        self.file.flush()


class Fleet:
    """The processes of a deployment; use it as an async context manager."""

    def __init__(self, record: Record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.store_port = free_port()
        self.settings_by_name: dict[str, dict] = {}
        self._entry_by_worker: dict[str, dict] = {}
        self._beats: asyncio.Task | None = None

    async def __aenter__(self) -> "Fleet":
        self._beats = asyncio.create_task(self._beat())
        return self

    async def __aexit__(self, *_) -> None:
        self._beats.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def spawn(self, name: str, *words: str, path: str = "") -> None:
        """Start a process; its output goes to a file of the temporary folder."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": path or str(DEPENDENCIES),
        }
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    async def start_store(self) -> None:
        """Start the project's stand-in of the platform's store."""
        await self.spawn(
            "store",
            "python3",
            "-S",
            "-m",
            "camphorgate_standins.hosting_store",
            "--address",
            f"127.0.0.1:{self.store_port}",
            path=f"{DEPENDENCIES}:{STANDINS}",
        )
        await self.eventually(lambda: can_connect(self.store_port), "store")

    async def start_worker(self, name: str, service_name: str, **changes) -> None:
        """Start a worker of ``review_worker`` and list it in the store."""
        script = str(Path(__file__).with_name("review_worker.py"))
        runs = str(self.folder / f"{name}.runs")
        port = free_port()
        await self.spawn(name, "python3", "-S", script, str(port), name, runs)
        await self.eventually(lambda: can_connect(port), name)
        await self._list(name, port, {"service": service_name, **changes})

    async def start_engine(self, name: str, phase: str, slots: int, **changes) -> None:
        """Start an engine with the project's stand-in and list it in the store."""
        port = free_port()
        await self.spawn(
            name,
            *("python3", "-S", "-m", "camphorgate_standins.hosting_worker"),
            *("--address", f"127.0.0.1:{port}", "--id", name),
            *("--phase", phase, "--slots", str(slots)),
            path=f"{DEPENDENCIES}:{STANDINS}",
        )
        await self.eventually(lambda: can_connect(port), name)
        models = [{"name": "m", "version": 1, "adapters": []}]
        entry = {"service": "models", "slots": slots, "phase": phase, "models": models}
        await self._list(name, port, {**entry, **changes})

    async def _list(self, name: str, port: int, changes: dict) -> None:
        self._entry_by_worker[name] = {
            "address": f"127.0.0.1:{port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
            **changes,
        }
        await self.put(f"servers/{name}", self._entry_by_worker[name])

    async def lose_worker(self, name: str) -> None:
        """Kill a worker; its entry goes after three intervals of silence."""
        self._entry_by_worker.pop(name)
        self.processes[name].kill()
        await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_SECONDS)
        await self.control("POST", f"/control/remove?key=servers/{name}")

    async def _beat(self) -> None:
        """Write the entries of the workers again and again, as these do."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name, entry in list(self._entry_by_worker.items()):
                entry["sequence"] += 1
                with contextlib.suppress(OSError, RuntimeError, TimeoutError):
                    await self.put(f"servers/{name}", entry)

    def runs(self, name: str) -> list[dict]:
        """Return what a worker has run."""
        path = self.folder / f"{name}.runs"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    async def put(self, key: str, value: dict) -> None:
        """Write to the store as the operator or a worker does."""
        status, _ = await self.control("POST", f"/control/put?key={key}", value)
        if status != 200:
            raise RuntimeError(f"the store answered {status} to {key}")

    async def control(self, method: str, path: str, value: dict | None = None):
        """Call the control address of the store; return status and body."""
        client = Client(self.store_port)
        body = json.dumps(value or {}).encode()
        await client.open()
        client.send(method, path, body=body, headers={"connection": "close"})
        answer = await client.read_answer(method)
        client.abort()
        return answer.status, answer.body

    def daemon_settings(self, name: str, seeds: list[str], **changes) -> dict:
        """Return what the deploy file's template gives for a small machine."""
        ports = [free_port() for _ in range(4)]
        front, ready, control, free = (f"127.0.0.1:{port}" for port in ports)
        return {
            "instance_id": name,
            "availability_zone": "zone-a",
            "adapter": "camphorgate_platform",
            "caller_address": front,
            "ready_address": ready,
            "peer_address": control,
            "gossip_address": free,
            "store_address": f"127.0.0.1:{self.store_port}",
            "operations_address": f"127.0.0.1:{self.store_port}",
            "operator_address": free,
            "seeds": seeds or [control],
            "budget": {"ratio": 0.2, "slack": 56, "window_seconds": 10},
            "times": {
                "lease_seconds": 3.0,
                "grace_seconds": 8,
                "usage_window_seconds": 5,
                "usage_late_seconds": 10,
            },
            "duty": {"require_fence": True},
            "memory_mb": 300,
            "duties": ["usage", "fleet"],
            **changes,
        }

    async def start_daemon(self, name: str, settings: dict | None = None) -> None:
        """Start a daemon with the command of the deploy file."""
        if settings is None:
            settings = self.settings_by_name.get(name)
        if settings is None:
            known = list(self.settings_by_name.values())
            seeds = [item["peer_address"] for item in known[:3]]
            settings = self.daemon_settings(name, seeds)
        self.settings_by_name[name] = settings
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = ("python3", "-S", "-m", "camphorgated.main", str(path))
        await self.spawn(name, *command)

    def front_port(self, name: str) -> int:
        """Return the port at which a daemon serves callers."""
        return int(self.settings_by_name[name]["caller_address"].rpartition(":")[2])

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon answers the platform's readiness check with 200."""
        port = int(self.settings_by_name[name]["ready_address"].rpartition(":")[2])

        async def ready() -> bool:
            client = Client(port)
            try:
                await client.open()
                client.send("GET", "/v1/readyz")
                return (await client.read_answer("GET")).status == 200
            except (OSError, TimeoutError):
                return False
            finally:
                client.abort()

        await self.eventually(ready, f"{name} to be ready")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this fleet started."""
        self.processes[name].send_signal(number)

    async def eventually(self, condition, what: str) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: if it does not in time.
        """
        until = time.monotonic() + START_SECONDS
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            if time.monotonic() > until:
                raise TimeoutError(f"waited in vain for {what}")
            await asyncio.sleep(0.05)


def can_connect(port: int) -> bool:
    """Return whether a process listens at a loopback port."""
    with socket.socket() as probe:
        probe.settimeout(0.5)
        return probe.connect_ex(("127.0.0.1", port)) == 0


class Answer:
    """An answer as a client reads it; ``complete`` is false if it ended early."""

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""


class Client:
    """A plain HTTP/1.1 client with one connection."""

    def __init__(self, port: int, receive_buffer: int = 0):
        self.port = port
        self.receive_buffer = receive_buffer
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        sock = socket.socket()
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5.0):
            try:
                await loop.sock_connect(sock, ("127.0.0.1", self.port))
            except OSError:
                sock.close()
                raise
        limit = self.receive_buffer or 65536
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=limit)

    def send(
        self,
        method: str,
        path: str,
        attempt: str = "",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a request with the headers that the protocol page names."""
        fields = {"host": HOST, "authorization": f"Bearer {KEY}"}
        if attempt:
            fields["x-attempt-id"] = attempt
        if body is not None:
            fields["content-length"] = str(len(body))
        fields.update(headers or {})
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))

    async def read_answer(self, method: str, seconds: float = 10.0) -> Answer:
        """Read the next answer of the connection."""
        answer = Answer()
        try:
            async with asyncio.timeout(seconds):
                await self._read(answer, method)
        except TimeoutError:
            answer.error = "no complete answer in time"
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            answer.error = repr(error)
        return answer

    async def _read(self, answer: Answer, method: str) -> None:
        await self._read_head(answer)
        while 100 <= answer.status < 200:
            await self._read_head(answer)
        if method == "HEAD" or answer.status in (204, 304):
            answer.complete = True
        elif answer.headers.get("transfer-encoding") == "chunked":
            await self._read_chunks(answer)
        elif "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            answer.body = await self.reader.readexactly(size)
            answer.complete = True
        else:
            answer.body = await self.reader.read()
            answer.complete = True

    async def _read_head(self, answer: Answer) -> None:
        line = await self.reader.readline()
        if not line:
            raise ValueError("the connection was closed before an answer")
        words = line.split()
        if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
            raise ValueError(f"{line[:60]!r} is no status line")
        answer.status = int(words[1])
        answer.headers = {}
        while (line := await self.reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            answer.headers[name.strip().lower()] = value.strip()

    async def _read_chunks(self, answer: Answer) -> None:
        while True:
            line = await self.reader.readline()
            try:
                size = int(line, 16)
            except ValueError:
                raise ValueError(f"{line[:60]!r} is no size of a chunk") from None
            answer.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if not size:
                answer.complete = True
                return

    def abort(self) -> None:
        """Close the connection at once."""
        if self.writer is not None:
            self.writer.transport.abort()


def run_case(case, folder: Path) -> int:
    """Run a case and return its exit code.

    :param case: coroutine function with the record; returns whether the rule held.
    """
    record = Record(folder)
    record.line(f"the disruption is {'on' if trouble() else 'off'}")
    try:
        held = asyncio.run(_run(case, record))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    record.line("the rule held" if held else "THE RULE WAS BROKEN")
    print("held" if held else "broken")
    return HELD if held else BROKEN


async def _run(case, record: Record) -> bool:
    """Run a case; SIGTERM and a run that takes too long end it with its processes."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(MAX_SECONDS):
        return await case(record)
