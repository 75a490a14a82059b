"""TCP forwarders on the loopback interface in which tests can inject faults."""

import asyncio
from collections.abc import Callable


class Forwarder:
    """Forwards connections to one address, and can drop data or reset connections.

    ``silent`` keeps connections open and drops all data, as a partition does.
    """

    def __init__(self, target: str) -> None:
        """Create a forwarder.

        :param target: ``host:port`` of the server.
        """
        self.target = target
        self.address = ""
        self.silent = False
        self.bytes_forwarded = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> "Forwarder":
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    def break_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset every open connection."""
        self._server.close()
        self.break_connections()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, reader, writer) -> None:
        # Not a coroutine function, as asyncio logs the cancelled task of one.
        task = asyncio.create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        self._writers.add(writer)
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(upstream[1])
        await asyncio.gather(
            self._copy(reader, upstream[1]),
            self._copy(upstream[0], writer),
            return_exceptions=True,
        )
        self._writers -= {writer, upstream[1]}

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                if self.silent:
                    # Data that a partition drops never arrives later on a connection.
                    await asyncio.sleep(3600)
                self.bytes_forwarded += len(data)
                writer.write(data)
                await writer.drain()
        finally:
            writer.transport.abort()


async def eventually(
    condition: Callable[[], object], seconds: float = 10.0, what: str = ""
) -> None:
    """Wait until a condition holds.

    :param seconds: a generous limit; the wait ends as soon as the condition holds.
    :raises AssertionError: if the condition does not hold in time.
    """
    try:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(f"condition not met within {seconds} s: {what}") from None
