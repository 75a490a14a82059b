"""A loopback proxy that delays, resets, cuts one way and silences connections."""

import asyncio
import contextlib

from tests.hosted import free_address

CHUNK = 65536
# How long the far side of a dead connection stays open after the near side closed.
DEAD_SECONDS = 2.0


class Proxy:
    """Forwards one address to another, under a mode that may change at any time.

    ``pass`` forwards, ``delay`` holds each piece back, ``silent`` drops both directions
    without closing, ``one_way`` drops what the server sends, ``refuse`` resets.
    Connections that were open under ``silent`` or ``one_way`` stay silent for good.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.mode = "pass"
        self.delay = 0.0
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        # Not a port of the kernel's choice, which may be one that was chosen for a
        # process that has not bound it yet.
        self.address = free_address()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        if self.mode == "refuse":
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        state = {"dead": False}
        pumps = {
            asyncio.create_task(self._pump(reader, far_writer, state, False)),
            asyncio.create_task(self._pump(far_reader, writer, state, True)),
        }
        try:
            _, open_pumps = await asyncio.wait(
                pumps, return_when=asyncio.FIRST_COMPLETED
            )
            # The far side of a dead connection hears nothing of its end.
            timeout = DEAD_SECONDS if state["dead"] else None
            await asyncio.wait(open_pumps or pumps, timeout=timeout)
        finally:
            for pump in pumps:
                pump.cancel()
            self._writers -= {writer, far_writer}
            for item in (writer, far_writer):
                item.transport.abort()

    async def _pump(self, reader, writer, state: dict, from_server: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.mode == "silent" or (self.mode == "one_way" and from_server):
                    state["dead"] = True
                if state["dead"]:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                if self.mode == "refuse":
                    break
                writer.write(data)
                await writer.drain()
        if not state["dead"]:
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
