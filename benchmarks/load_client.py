"""A lightweight HTTP load generator: fixed requests on persistent connections."""

import asyncio
import time

import httptools


class Connection(asyncio.Protocol):
    """Sends one request at a time and measures its response."""

    def __init__(self) -> None:
        """Create a connection without a request in progress."""
        self.transport: asyncio.Transport | None = None
        self._done: asyncio.Future | None = None
        self._parser = None
        self.tokens = 0
        self.first_at = 0.0
        self.gaps: list[float] = []
        self._last_at = 0.0

    @classmethod
    async def open(cls, address: str) -> "Connection":
        """Connect to ``host:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(cls, host, int(port))
        return connection

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    async def send(self, request: bytes) -> float:
        """Send a request and return the seconds until the end of its response."""
        self._done = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self.tokens = 0
        self.first_at = self._last_at = 0.0
        started_at = time.perf_counter()
        self.transport.write(request)
        await self._done
        return time.perf_counter() - started_at

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a response."""
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Count the events of a stream."""
        count = body.count(b"\n\n")
        if not count:
            return
        now = time.perf_counter()
        if self.tokens:
            self.gaps.append((now - self._last_at) / count)
        else:
            self.first_at = now
        self._last_at = now
        self.tokens += count

    def on_message_complete(self) -> None:
        """Complete the request, with an error unless the status is 200."""
        if self._parser.get_status_code() != 200:
            self._done.set_exception(RuntimeError(self._parser.get_status_code()))
        else:
            self._done.set_result(None)

    def connection_lost(self, error) -> None:
        """Fail the request in progress."""
        if self._done is not None and not self._done.done():
            self._done.set_exception(error or ConnectionResetError())


async def run_closed_loop(
    addresses: list[str], request: bytes, connections: int, seconds: float
) -> int:
    """Send the next request on each connection as soon as the response is complete.

    :returns: number of completed requests.
    """
    deadline = time.perf_counter() + seconds
    counts = []

    async def run_connection(address: str) -> None:
        connection = await Connection.open(address)
        count = 0
        while time.perf_counter() < deadline:
            await connection.send(request)
            count += 1
        counts.append(count)
        connection.transport.close()

    tasks = [run_connection(addresses[n % len(addresses)]) for n in range(connections)]
    await asyncio.gather(*tasks)
    return sum(counts)


async def run_open_loop(
    addresses: list[str], request: bytes, rate: float, seconds: float
) -> list[float]:
    """Send at a fixed rate, regardless of outstanding responses.

    :returns: latencies in seconds, measured from the time at which a request was due.
    """
    idle_by_address: dict[str, list[Connection]] = {name: [] for name in addresses}
    latencies: list[float] = []

    async def one(address: str, due: float) -> None:
        idle = idle_by_address[address]
        connection = idle.pop() if idle else await Connection.open(address)
        await connection.send(request)
        latencies.append(time.perf_counter() - due)
        idle.append(connection)

    tasks = set()
    started_at = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = started_at + number / rate
        wait = due - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        due = max(due, time.perf_counter())
        task = asyncio.create_task(one(addresses[number % len(addresses)], due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    for idle in idle_by_address.values():
        for connection in idle:
            connection.transport.close()
    return latencies


async def run_streams(
    addresses: list[str], request: bytes, count: int
) -> tuple[list[float], list[float], int]:
    """Run many streams concurrently.

    :returns: times to first token, gaps between tokens, number of tokens.
    """
    first_token_seconds: list[float] = []
    gaps: list[float] = []
    tokens = 0

    async def one(address: str, delay: float) -> None:
        nonlocal tokens
        await asyncio.sleep(delay)
        connection = await Connection.open(address)
        started_at = time.perf_counter()
        await connection.send(request)
        first_token_seconds.append(connection.first_at - started_at)
        gaps.extend(connection.gaps)
        tokens += connection.tokens
        connection.transport.close()

    # The starts are spread over one second, as real callers are not synchronized.
    tasks = [one(addresses[n % len(addresses)], n / count) for n in range(count)]
    await asyncio.gather(*tasks)
    return first_token_seconds, gaps, tokens
