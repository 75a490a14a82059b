"""Measures the latency that a daemon adds at half load, and its processor time.

``python -m benchmarks.overhead [--seconds S] [--streams N] [--log-level LEVEL]``

One client process calls the same stand-ins alternately directly and through one daemon.
Stand-ins and daemon run as separate processes. For requests, half load is half of the
rate that saturates the daemon; for streams, it is about half of a core.
"""

import argparse
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.load_client import run_closed_loop, run_open_loop, run_streams
from camphorgate.manifest import key_digest

API_KEY = "measured"
WORKERS = 4
SLOTS = 256
MAX_TOKENS = 200
TOKEN_SECONDS = 0.02
CONNECTIONS = 64


class Processes:
    """Child processes of the measurement."""

    def __init__(self) -> None:
        """Create an empty list of processes."""
        self._started: list[subprocess.Popen] = []

    def start(self, *arguments: str) -> subprocess.Popen:
        """Run a Python module as a process."""
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stderr=subprocess.DEVNULL
        )
        self._started.append(process)
        return process

    def stop(self) -> None:
        """Terminate all processes and wait for them."""
        for process in reversed(self._started):
            process.send_signal(signal.SIGTERM)
        for process in self._started:
            process.wait(timeout=30)


def _free_addresses(count: int) -> list[str]:
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    for item in sockets:
        item.close()
    return addresses


def _wait_for(address: str) -> None:
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"no process listens on {address}")


def _processor_seconds(process: subprocess.Popen) -> tuple[float, float]:
    """Return the user and kernel processor time of a process in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    ticks = os.sysconf("SC_CLK_TCK")
    return int(fields[11]) / ticks, int(fields[12]) / ticks


def _run_queue_seconds(process: subprocess.Popen) -> float:
    """Return how long a process was runnable but waited for a processor."""
    fields = Path(f"/proc/{process.pid}/schedstat").read_text().split()
    return int(fields[1]) / 1e9


def _processor_seconds_per_item(
    process: subprocess.Popen, before: tuple[float, float], count: int
):
    """Return user, kernel and total processor time per item in seconds."""
    now = _processor_seconds(process)
    user, kernel = (now[0] - before[0]) / count, (now[1] - before[1]) / count
    return user, kernel, user + kernel


def _manifest(engines: list[str], services: list[str]) -> dict:
    def upstreams(name: str, addresses: list[str]) -> list[dict]:
        fields = {"availability_zone": "zone-a", "slots": SLOTS}
        return [
            {"id": f"{name}-{number}", "address": address, **fields}
            for number, address in enumerate(addresses)
        ]

    return {
        "deployment": "measurement",
        "availability_zones": [{"name": "zone-a", "region": "r"}],
        "pools": [
            {
                "name": "models",
                "kind": "engines",
                "upstreams": upstreams("engine", engines),
            },
            {
                "name": "desk",
                "kind": "service",
                "upstreams": upstreams("desk", services),
            },
        ],
        "workspaces": [{"name": "north", "key_digests": [key_digest(API_KEY)]}],
        "models": [{"name": "assistant", "pool": "models"}],
        "services": [{"name": "booking", "route": "/booking", "pool": "desk"}],
    }


def _settings(address: str, log_level: str) -> dict:
    unused = "127.0.0.1:9"
    return {
        "instance_id": "i-1",
        "availability_zone": "zone-a",
        "region": "r",
        "caller_address": address,
        "admin_address": unused,
        "peer_address": unused,
        "kv": {"addresses": [unused]},
        "platform": {
            "list_address": unused,
            "capacity_address": unused,
            "usage_address": unused,
            "list_lag_seconds": 0,
        },
        "log_level": log_level,
    }


def _request(method: str, path: str, body: bytes = b"") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {API_KEY}\r\n"
    if body:
        head += f"content-type: application/json\r\ncontent-length: {len(body)}\r\n"
    return f"{head}x-request-id: direct\r\n\r\n".encode() + body


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _print_latencies(name: str, direct: list[float], proxied: list[float]) -> None:
    for label, share in (("median", 0.5), ("p99", 0.99)):
        first, second = _quantile(direct, share), _quantile(proxied, share)
        print(
            f"{name:<34}{label:<8}{first * 1000:>10.3f}{second * 1000:>10.3f}"
            f"{(second - first) * 1000:>10.3f}"
        )


async def _measure_requests(daemon, address: str, services: list[str], seconds: float):
    request = _request("GET", "/booking/stock")
    await run_closed_loop([address], request, CONNECTIONS, 1.0)
    before = _processor_seconds(daemon)
    started_at = time.perf_counter()
    count = await run_closed_loop([address], request, CONNECTIONS, seconds)
    rate = count / (time.perf_counter() - started_at)
    _, kernel, per_request = _processor_seconds_per_item(daemon, before, count)
    half = min(rate, 1 / per_request) / 2
    direct, proxied = [], []
    waited_seconds = 0.0
    for _ in range(2):
        direct += await run_open_loop(services, request, half, seconds / 2)
        before = _run_queue_seconds(daemon)
        proxied += await run_open_loop([address], request, half, seconds / 2)
        waited_seconds += _run_queue_seconds(daemon) - before
    print(f"{'requests/s, saturated':<42}{rate:>10.0f}")
    print(f"{'requests/s per core':<42}{1 / per_request:>10.0f}")
    print(f"{'processor time per request, us':<42}{per_request * 1e6:>10.1f}")
    print(f"{'  of it in the kernel, us':<42}{kernel * 1e6:>10.1f}")
    print(f"{'half load, requests/s':<42}{half:>10.0f}")
    # Above a few percent, the latencies reflect the machine more than the daemon.
    print(
        f"{'part of it waiting for a processor':<42}{waited_seconds / seconds:>10.2f}"
    )
    print(f"\n{'':<42}{'direct ms':>10}{'daemon ms':>10}{'added ms':>10}")
    _print_latencies("request", direct, proxied)


async def _measure_streams(daemon, address: str, engines: list[str], count: int):
    body = {"model": "assistant", "prompt": "hello", "stream": True}
    content = json.dumps({**body, "max_tokens": MAX_TOKENS}).encode()
    request = _request("POST", "/v1/completions", content)
    await run_streams([address], request, 8)
    direct = await run_streams(engines, request, count)
    before, started_at = _processor_seconds(daemon), time.perf_counter()
    proxied = await run_streams([address], request, count)
    _, kernel, per_token = _processor_seconds_per_item(daemon, before, proxied[2])
    seconds = time.perf_counter() - started_at
    _print_latencies("stream, first token", direct[0], proxied[0])
    _print_latencies("stream, between tokens", direct[1], proxied[1])
    tokens = proxied[2]
    if tokens != direct[2] or tokens != count * (MAX_TOKENS + 1):
        raise RuntimeError(
            f"{tokens} of {count * (MAX_TOKENS + 1)} tokens were received"
        )
    print(f"\n{'streams at once':<42}{count:>10}")
    print(f"{'tokens/s':<42}{tokens / seconds:>10.0f}")
    used = per_token * tokens / seconds
    print(f"{'part of a core used':<42}{used:>10.2f}")
    print(f"{'processor time per token, us':<42}{per_token * 1e6:>10.1f}")
    print(f"{'  of it in the kernel, us':<42}{kernel * 1e6:>10.1f}")


async def _measure(daemon, address, engines, services, options) -> None:
    await asyncio.sleep(1.5)
    await _measure_requests(daemon, address, services, options.seconds)
    await _measure_streams(daemon, address, engines, options.streams)


def main() -> None:
    """Run the measurement and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--streams", type=int, default=256)
    parser.add_argument("--log-level", default="INFO")
    parser.add_argument("--launcher", nargs="*", default=["benchmarks.static_daemon"])
    options = parser.parse_args()
    addresses = _free_addresses(2 * WORKERS + 1)
    address, engines = addresses[0], addresses[1 : WORKERS + 1]
    services = addresses[WORKERS + 1 :]
    processes = Processes()
    with tempfile.TemporaryDirectory() as folder:
        settings, manifest = (
            Path(folder, "settings.json"),
            Path(folder, "manifest.json"),
        )
        settings.write_text(json.dumps(_settings(address, options.log_level)))
        manifest.write_text(json.dumps(_manifest(engines, services)))
        try:
            for item in engines:
                flags = f"--slots {SLOTS} --token-seconds {TOKEN_SECONDS}".split()
                processes.start(
                    "camphorgate_standins.engine", "--address", item, *flags
                )
            for item in services:
                processes.start("camphorgate_standins.service", "--address", item)
            daemon = processes.start(*options.launcher, str(settings), str(manifest))
            for item in addresses:
                _wait_for(item)
            uvloop.run(_measure(daemon, address, engines, services, options))
        finally:
            processes.stop()


if __name__ == "__main__":
    main()
