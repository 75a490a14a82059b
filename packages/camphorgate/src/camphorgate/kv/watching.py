"""Watches that survive silence, broken connections and outages."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
from aiosonic.exceptions import AiosonicError

from camphorgate.kv.budget import Backoff, Priority
from camphorgate.kv.errors import KvRefused, KvUnavailable
from camphorgate.kv.records import (
    KvEntry,
    WatchBatch,
    decode_entry,
    encode_bytes,
    prefix_end,
)
from camphorgate.kv.transport import Transport

# The service reports progress every few seconds while nothing changes; a watch without
# any line for this long is taken for a connection that went silent.
SILENCE_SECONDS = 12.0
_FIRST_RETURN_SECONDS = 0.2
_LONGEST_RETURN_SECONDS = 8.0
_BROKEN = (AiosonicError, OSError, EOFError, TimeoutError, ValueError)

PrefixReader = Callable[[str, Priority], Awaitable[tuple[list[KvEntry], int]]]


class Watcher:
    """One watch of a prefix."""

    __slots__ = ("_transport", "_read_prefix", "_backoff", "silence_seconds")

    def __init__(
        self,
        transport: Transport,
        read_prefix: PrefixReader,
        generator: random.Random,
        silence_seconds: float | None = None,
    ) -> None:
        """Prepare a watch without calling the service."""
        self._transport = transport
        self._read_prefix = read_prefix
        self._backoff = Backoff(
            _FIRST_RETURN_SECONDS, _LONGEST_RETURN_SECONDS, generator
        )
        self.silence_seconds = silence_seconds or SILENCE_SECONDS

    async def run(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield batches until the caller stops iterating."""
        revision = start_revision
        while True:
            try:
                if not revision:
                    entries, seen = await self._read_prefix(
                        prefix, Priority.CONFIGURATION
                    )
                    yield WatchBatch(tuple(entries), (), seen, complete=True)
                    revision = seen + 1
                async for batch in self._stream(prefix, revision):
                    self._backoff.succeeded()
                    if batch.entries or batch.deleted:
                        yield batch
            except (KvUnavailable, KvRefused):
                pass
            # A watch does not show what happened while it was away if the service
            # compacted its history, so everything is read again.
            revision = 0
            await asyncio.sleep(self._backoff.failed())

    async def _stream(self, prefix: str, revision: int) -> AsyncIterator[WatchBatch]:
        """Yield one batch for each line until the connection breaks or is silent."""
        create = {
            "key": encode_bytes(prefix),
            "range_end": prefix_end(prefix),
            "start_revision": str(revision),
            "progress_notify": True,
        }
        response = await self._transport.open_stream(
            "/v3/watch", {"create_request": create}, Priority.CONFIGURATION
        )
        lines = response.iter_lines()
        try:
            while True:
                async with asyncio.timeout(self.silence_seconds):
                    line = await anext(lines, None)
                if line is None:
                    return
                if line:
                    yield _decode_line(line)
        except _BROKEN:
            return
        finally:
            await lines.aclose()
            await response.aclose()


def _decode_line(line: str) -> WatchBatch:
    result = msgspec.json.decode(line).get("result", {})
    if result.get("canceled"):
        raise ValueError("the service cancelled the watch")
    revision = int(result.get("header", {}).get("revision", 0))
    events = result.get("events", [])
    entries = tuple(
        decode_entry(event["kv"])
        for event in events
        if event.get("type", "PUT") == "PUT"
    )
    deleted = tuple(
        decode_entry(event["kv"]).key
        for event in events
        if event.get("type") == "DELETE"
    )
    return WatchBatch(entries, deleted, revision, complete=False)
