"""Crowds of badly behaved clients of one hosted daemon that runs as a process.

The settings lower the limits, so that a small crowd shows what a large one does.
"""

import asyncio
import contextlib
import os
import socket
import struct
import sys
import tempfile
from pathlib import Path

import msgspec

from tests.hosted import HostedCase, build_hosted_settings
from tests.hosting_builders import (
    HOST,
    KEY,
    build_platform_configuration,
    build_platform_entry,
)
from tests.scripted_worker import ScriptedWorker

# Limits of the daemon. The memory is that of its machine; it bounds what it buffers.
MEMORY_MB = 64
BODY_BYTES = 1_048_576
HEADER_TIMEOUT_MS = 1500
# Far longer than a test, so that only the time for a request to arrive closes.
IDLE_TIMEOUT_MS = 120_000

CLIENTS = 40
PIPELINED_REQUESTS = 6000
# Payload bytes of a body that is sent in chunks of one byte.
SMALL_CHUNK_BYTES = 262_144
PROMPT_PARTS = 1500
PROMPT_CLIENTS = 80
SHORT_FIELDS = 1900
# What the process may gain from its first answer on, and the connections that may be
# left open. It loads libraries of 15 to 20 MB and 10 descriptors meanwhile.
MAX_GROWTH_BYTES = 32 * 2**20
MAX_LEFT_DESCRIPTORS = 16
# A crowd that waits for the daemon to read stops after this time.
CROWD_SECONDS = 4.0
# How long the closing of connections may take on a busy machine.
CLOSE_SECONDS = 20.0
READY_PATH = "/v1/readyz"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CrowdCase(HostedCase):
    """A daemon process with one worker, and a crowd of its clients."""

    async def start_process(self):
        """Start the store, a worker and the daemon; wait until it serves."""
        configuration = build_platform_configuration()
        limits = {
            **configuration["limits"],
            "max-body-bytes": BODY_BYTES,
            "header-timeout-ms": HEADER_TIMEOUT_MS,
            "idle-timeout-ms": IDLE_TIMEOUT_MS,
        }
        self.configure(limits=limits)
        await self.add_worker("desk-1")
        self.engine = ScriptedWorker("e1", ["stall_after_late_head"] * 9999, True)
        await self.engine.start()
        self.stack.push_async_callback(self.engine.stop)
        self.store.put("servers/e1", self.engine_entry())
        self.settings = build_hosted_settings(self.store_address, memory_mb=MEMORY_MB)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / "settings.jsonc"
        path.write_bytes(msgspec.json.encode(self.settings))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "camphorgated.main",
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.stack.push_async_callback(self.end_process)
        self.proc = Path(f"/proc/{self.process.pid}")
        await self.check_ordinary_request(20.0)

    def engine_entry(self) -> bytes:
        """Return the entry of the engine that never answers."""
        return build_platform_entry(
            self.engine.address, service="models", phase="decode"
        )

    async def end_process(self):
        """End the daemon."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def memory_bytes(self, field: str) -> int:
        """Return a figure of the daemon's memory, such as ``VmHWM``."""
        for line in (self.proc / "status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
        raise KeyError(field)

    def descriptors(self) -> int:
        """Return how many descriptors the daemon has open."""
        return len(os.listdir(self.proc / "fd"))

    async def check_ordinary_request(self, seconds: float = CLOSE_SECONDS):
        """Check that an ordinary request is answered."""
        status = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while status != 200:
                    with contextlib.suppress(OSError, TimeoutError):
                        status = (await self.request(self, "/read/a")).status
                    if status != 200:
                        await asyncio.sleep(0.1)
        self.assertEqual(status, 200, "no ordinary request was answered")

    async def run_crowd(self, address: str, act, clients: int = CLIENTS):
        """Let a crowd act and check the daemon meanwhile and afterwards.

        :param act: coroutine function of one client, with its reader and writer.
        """
        before = self.memory_bytes("VmRSS")
        descriptors = self.descriptors()
        # Resets the recorded maximum of the resident memory.
        (self.proc / "clear_refs").write_text("5")
        tasks = [
            asyncio.create_task(self._run_client(address, act)) for _ in range(clients)
        ]
        await asyncio.wait(tasks, timeout=CROWD_SECONDS)
        try:
            self.assertIsNone(self.process.returncode, "the process ended")
            await self.check_ordinary_request()
            left = self.descriptors() - descriptors
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_SECONDS):
                    while (left := self.descriptors() - descriptors) > (
                        MAX_LEFT_DESCRIPTORS
                    ):
                        await asyncio.sleep(0.1)
            growth = self.memory_bytes("VmHWM") - before
            figures = f"+{growth / 1e6:.1f} MB, {left} descriptors left open"
            if os.environ.get("CROWD_FIGURES"):
                print(f"{self.id()}: {figures}", file=sys.stderr)
            self.assertLess(growth, MAX_GROWTH_BYTES, figures)
            self.assertLessEqual(left, MAX_LEFT_DESCRIPTORS, figures)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await self.check_ordinary_request()
        self.assertIsNone(self.process.returncode, "the process ended")

    async def _run_client(self, address: str, act) -> None:
        """Act, and keep the connection open until cancelled."""
        host, _, port = address.rpartition(":")
        raw = socket.socket()
        raw.setblocking(False)
        # The client's own buffers are small, so that the daemon notices that nothing
        # is read.
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await asyncio.get_running_loop().sock_connect(raw, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=raw, limit=1024)
        try:
            with contextlib.suppress(ConnectionError):
                await act(writer)
            # Only a client that the daemon does not read is still here later.
            await asyncio.sleep(3600)
        finally:
            writer.close()


def build_head(path: str, *lines: str, method: str = "POST") -> bytes:
    """Return the head of a request."""
    rows = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        "X-Attempt-Id: attempt-1",
        "X-Deadline: 3000",
        *lines,
    ]
    return "\r\n".join([*rows, "", ""]).encode()


async def send(writer, data: bytes) -> None:
    """Send bytes and wait until most of them are sent."""
    for start in range(0, len(data), 65536):
        writer.write(data[start : start + 65536])
        await writer.drain()


def stop_short(path: str):
    """Return a client that sends a body of legal size except its last byte."""

    async def act(writer):
        await send(writer, build_head(path, f"Content-Length: {BODY_BYTES}"))
        await send(writer, b"x" * (BODY_BYTES - 1))

    return act


def stop_short_in_chunks(path: str, size: int, total: int):
    """Return a client that sends chunks of a size but not the last one."""

    async def act(writer):
        await send(writer, build_head(path, "Transfer-Encoding: chunked"))
        chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
        await send(writer, chunk * (total // size - 1))

    return act


def pipeline(path: str):
    """Return a client that sends requests ahead and reads no response."""

    async def act(writer):
        request = build_head(path, method="GET")
        if path == READY_PATH:
            request = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        writer.transport.pause_reading()
        await send(writer, request * PIPELINED_REQUESTS)

    return act


def exceed_limit(path: str):
    """Return a client that sends a body far over the limit."""

    async def act(writer):
        await send(writer, build_head(path, f"Content-Length: {20 * BODY_BYTES}"))
        await send(writer, b"x" * (4 * BODY_BYTES))

    return act


def stop_within_head(path: str):
    """Return a client that sends a part of a head with many fields."""

    async def act(writer):
        fields = [f"{n % 10}:" for n in range(SHORT_FIELDS)]
        await send(writer, build_head(path, *fields)[:-2])

    return act


def stop_within_small_body(path: str):
    """Return a client that stops within a small body."""

    async def act(writer):
        await send(writer, build_head(path, "Content-Length: 10"))
        await send(writer, b"12345")

    return act


def send_many_parts(path: str):
    """Return a client whose prompt has very many parts."""

    async def act(writer):
        parts = ",".join(f"{n:x}:1" for n in range(PROMPT_PARTS))
        head = build_head(
            path,
            "X-Model: m",
            f"X-Token-Count: {PROMPT_PARTS},20",
            f"X-Prompt-Prefix: {parts}",
            "Content-Length: 0",
            # An answered client that stays open would be within its idle time.
            "Connection: close",
        )
        await send(writer, head)

    return act
