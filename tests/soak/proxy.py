"""A loopback TCP proxy that injects network faults into connections."""

import asyncio
import contextlib

from tests.hosted import free_address

CHUNK_BYTES = 65536
# How long the second side of a blackholed connection stays open after the first closed.
BLACKHOLE_LINGER_SECONDS = 2.0


class Proxy:
    """Forwards connections to a target address; the mode may change at any time.

    ``pass`` forwards, ``delay`` delays each chunk, ``silent`` drops both directions
    without closing, ``one_way`` drops what the server sends, ``refuse`` resets.
    A connection that dropped data under ``silent`` or ``one_way`` never forwards again.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.mode = "pass"
        self.delay = 0.0
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._states: list[dict] = []

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        # A port chosen by the kernel (port 0) may be one that is already reserved for a
        # process that has not bound it yet.
        self.address = free_address()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening and reset every open connection."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def mute(self, request: bytes) -> None:
        """Silence the open connections whose last request contains some bytes.

        They stay open and never forward again; new connections work.
        """
        for state in self._states:
            if request in state["sent"]:
                state["blackholed"] = True

    async def _serve(self, reader, writer) -> None:
        if self.mode == "refuse":
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        # ``sent`` holds the last bytes from the client.
        state = {"blackholed": False, "sent": b""}
        self._states.append(state)
        pumps = {
            asyncio.create_task(self._pump(reader, target_writer, state, False)),
            asyncio.create_task(self._pump(target_reader, writer, state, True)),
        }
        try:
            _, open_pumps = await asyncio.wait(
                pumps, return_when=asyncio.FIRST_COMPLETED
            )
            # A blackholed connection does not pass the close on to its other side.
            timeout = BLACKHOLE_LINGER_SECONDS if state["blackholed"] else None
            await asyncio.wait(open_pumps or pumps, timeout=timeout)
        finally:
            for pump in pumps:
                pump.cancel()
            self._writers -= {writer, target_writer}
            self._states = [item for item in self._states if item is not state]
            for item in (writer, target_writer):
                item.transport.abort()

    async def _pump(self, reader, writer, state: dict, from_server: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode == "silent" or (self.mode == "one_way" and from_server):
                    state["blackholed"] = True
                if state["blackholed"]:
                    continue
                if not from_server:
                    state["sent"] = data
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                if self.mode == "refuse":
                    break
                writer.write(data)
                await writer.drain()
        if not state["blackholed"]:
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
