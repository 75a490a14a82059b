"""Engines that end as a whole when they begin to answer a prompt with some part."""

import asyncio
import contextlib
import itertools
import random

from tests.hosting_builders import build_platform_entry
from tests.scripted_worker import ScriptedRequest, ScriptedWorker

CRASHING_PART = "bad0"
# Time from the arrival of a request to the end of the engine, in seconds.
CRASH_SECONDS = (0.01, 0.05)
RESTART_SECONDS = 2.0
# Time that a normal answer takes, in seconds.
ANSWER_SECONDS = 0.05


class CrashingEngine(ScriptedWorker):
    """A decode engine that ends on requests with a crashing part."""

    def __init__(self, engine_id: str, fleet: "CrashingFleet") -> None:
        """Join a fleet, which restarts the engine after its end."""
        super().__init__(engine_id, [], engine=True)
        self.ended = False
        self._fleet = fleet
        self._writers: set[asyncio.StreamWriter] = set()

    def end(self) -> None:
        """Reset every connection and stop listening, as a process does that crashes."""
        if self.ended:
            return
        self.ended = True
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_one(self, reader, writer) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        headers = {}
        for line in head.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", "0")))
        parts = [
            item.partition(":")[0]
            for item in headers.get("x-prompt-prefix", "").split(",")
        ]
        if self._fleet.crashing_part in parts[:-1]:
            self._fleet.record_arrival(headers["x-attempt-id"])
            await asyncio.sleep(self._fleet.random.uniform(*CRASH_SECONDS))
            self._fleet.end(self)
            return False
        request = ScriptedRequest(self, reader, writer, headers)
        await asyncio.sleep(ANSWER_SECONDS)
        await request.act_respond()
        return True


class CrashingFleet:
    """Engines that come back under a new id some seconds after their end."""

    def __init__(self, store, seed: int, crashing_part: str = CRASHING_PART) -> None:
        """Start without engines.

        :param store: the store in which the engines are listed.
        """
        self.random = random.Random(seed)
        self.crashing_part = crashing_part
        self.engines: list[CrashingEngine] = []
        # Loop times: of the ends under the crashing part, and of the requests with it.
        self.ends: list[float] = []
        self.arrivals: list[tuple[float, str]] = []
        self._store = store
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    async def add_engine(self) -> CrashingEngine:
        """Start an engine and list it."""
        engine = CrashingEngine(f"e{next(self._numbers)}", self)
        await engine.start()
        entry = build_platform_entry(engine.address, service="models", phase="decode")
        self._store.put(f"servers/{engine.id}", entry)
        self.engines.append(engine)
        return engine

    def record_arrival(self, attempt: str) -> None:
        """Record that a request with the crashing part has reached an engine."""
        self.arrivals.append((asyncio.get_running_loop().time(), attempt))

    def end(self, engine: CrashingEngine, by_part: bool = True) -> None:
        """End an engine, and start another one later.

        :param by_part: whether the crashing part causes the end.
        """
        if engine.ended:
            return
        if by_part:
            self.ends.append(asyncio.get_running_loop().time())
        engine.end()
        self.engines.remove(engine)
        task = asyncio.create_task(self._replace(engine))
        self._tasks.add(task)

    async def _replace(self, engine: CrashingEngine) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        self._store.remove(f"servers/{engine.id}")
        await self.add_engine()

    def late_arrivals(self, ends: int, seconds: float) -> list[str]:
        """Return the attempts with the crashing part that came after the allowed time.

        :param ends: number of ends that start the allowed time.
        :param seconds: the allowed time.
        """
        if len(self.ends) < ends:
            return []
        last = self.ends[ends - 1] + seconds
        return [attempt for at, attempt in self.arrivals if at > last]

    async def stop(self) -> None:
        """Stop the engines and their replacement."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for engine in self.engines:
            with contextlib.suppress(asyncio.CancelledError):
                await engine.stop()
