"""Compares the rate of small requests of two versions of the hosted daemon.

``python -m benchmarks.small_requests BASE_SOURCES [--seconds S] [--starts N]``

BASE_SOURCES is a checkout of the other version. Both daemons run at the same time, with
the same stand-ins; rounds of load alternate between them, so that the ratio of the
rates does not depend on what else the machine does. Two processes of the same version
differ by up to 7 %, so that pairs of processes are started several times. Each daemon
serves as many requests of a closed loop as it can; the figure is requests per second of
processor time.
"""

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
from pathlib import Path

import msgspec
import uvloop

from benchmarks.load_client import Connection
from camphorgate_standins.hosting_store import HostingStore
from camphorgate_standins.serving import make_server
from tests.hosted import build_hosted_settings, free_address
from tests.hosting_builders import (
    HOST,
    KEY,
    build_platform_configuration,
    build_platform_entry,
)

CONNECTIONS = 16
# A daemon loads its last libraries 6 s after its start.
START_SECONDS = 8.0
_SOURCES = ("packages/camphorgate/src", "packages/camphorgate-daemon/src")
_PLATFORM_SOURCES = "platform/src"
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_RESPONSE_BODY = b"ran"


class Worker(asyncio.Protocol):
    """An upstream that answers each request with a short body."""

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer; each read holds one request."""
        start = data.index(b"x-attempt-id: ") + 14
        attempt = data[start : data.index(b"\r\n", start)]
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Stamp: 1\r\n"
            b"Content-Length: %d\r\n\r\n%b"
            % (attempt, len(_RESPONSE_BODY), _RESPONSE_BODY)
        )


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


async def start_daemon(sources: Path, store: str, folder: str):
    """Start a daemon of a checkout."""
    settings = msgspec.to_builtins(build_hosted_settings(store))
    settings.pop("memory_mb", None)
    path = Path(folder) / f"{len(os.listdir(folder))}.json"
    path.write_text(json.dumps(settings))
    paths = [str(sources / name) for name in (*_SOURCES, _PLATFORM_SOURCES)]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "camphorgated.main",
        str(path),
        stdout=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": ":".join(paths)},
    )
    return process, settings["caller_address"]


async def run_round(address: str, pid: int, seconds: float) -> tuple[float, float]:
    """Return requests per second of the daemon's processor time, and per second."""
    request = (
        f"GET /read/a HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
        "X-Attempt-Id: attempt-1\r\nX-Deadline: 3000\r\nContent-Length: 0\r\n\r\n"
    ).encode()
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    done = 0

    async def call() -> None:
        nonlocal done
        connection = await Connection.open(address)
        while loop.time() < until:
            await connection.send(request)
            done += 1
        connection.transport.close()

    before = processor_seconds(pid)
    await asyncio.gather(*(call() for _ in range(CONNECTIONS)))
    return done / (processor_seconds(pid) - before), done / seconds


async def measure(base: Path, seconds: float, starts: int) -> None:
    """Print the rates of both versions and the ratio of each pair of rounds."""
    store = HostingStore()
    server = make_server(store.app(), free_address())
    serving = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    host, port = server.servers[0].sockets[0].getsockname()[:2]
    loop = asyncio.get_running_loop()
    worker_address = free_address()
    worker_host, _, worker_port = worker_address.rpartition(":")
    await loop.create_server(Worker, worker_host, int(worker_port))
    store.put("op/config", json.dumps(build_platform_configuration()).encode())
    store.put("servers/w1", build_platform_entry(worker_address))
    ratios = []
    for number in range(starts):
        versions = [("base", base), ("new", Path.cwd())]
        if number % 2:
            versions.reverse()
        with tempfile.TemporaryDirectory() as folder:
            daemons = {
                name: await start_daemon(sources, f"{host}:{port}", folder)
                for name, sources in versions
            }
            await asyncio.sleep(START_SECONDS)
            try:
                ratios += [await compare(daemons, seconds) for _ in range(2)]
            finally:
                for process, _ in daemons.values():
                    process.kill()
                    await process.wait()
    store.close()
    server.should_exit = server.force_exit = True
    await serving
    print(f"median ratio {statistics.median(ratios):.3f} of {len(ratios)}")


async def compare(daemons: dict, seconds: float) -> float:
    """Return the ratio of the rates of one round of load on each daemon."""
    rates = {
        name: await run_round(address, process.pid, seconds)
        for name, (process, address) in daemons.items()
    }
    ratio = rates["new"][0] / rates["base"][0]
    print(
        *(f"{name} {a:.0f} ({b:.0f}/s)" for name, (a, b) in rates.items()),
        f"ratio {ratio:.3f}",
        flush=True,
    )
    return ratio


def main() -> None:
    """Run the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("base", type=Path)
    parser.add_argument("--seconds", type=float, default=1.5)
    parser.add_argument("--starts", type=int, default=8)
    options = parser.parse_args()
    uvloop.run(measure(options.base, options.seconds, options.starts))


if __name__ == "__main__":
    main()
