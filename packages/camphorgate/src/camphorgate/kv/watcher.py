"""Watches that recover from idle timeouts, broken connections and outages."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec

from camphorgate.http_client import RESPONSE_ERRORS
from camphorgate.kv.errors import KvRefused, KvUnavailable
from camphorgate.kv.rate_limit import Backoff, Priority
from camphorgate.kv.records import (
    KvEntry,
    WatchBatch,
    decode_entry,
    encode_bytes,
    prefix_end,
)
from camphorgate.kv.transport import Transport

# The service sends a progress notification every few seconds while nothing changes. A
# watch that receives no line for this long is treated as a dead connection.
IDLE_TIMEOUT_SECONDS = 12.0
_INITIAL_RETRY_DELAY_SECONDS = 0.2
_MAX_RETRY_DELAY_SECONDS = 8.0

PrefixReader = Callable[[str, Priority], Awaitable[tuple[list[KvEntry], int]]]


class Watcher:
    """Watches one prefix and reconnects when the stream fails."""

    __slots__ = ("_transport", "_read_prefix", "_backoff", "idle_timeout_seconds")

    def __init__(
        self,
        transport: Transport,
        read_prefix: PrefixReader,
        rng: random.Random,
        idle_timeout_seconds: float | None = None,
    ) -> None:
        """Create a watch; ``run`` opens the stream."""
        self._transport = transport
        self._read_prefix = read_prefix
        self._backoff = Backoff(
            _INITIAL_RETRY_DELAY_SECONDS, _MAX_RETRY_DELAY_SECONDS, rng
        )
        self.idle_timeout_seconds = idle_timeout_seconds or IDLE_TIMEOUT_SECONDS

    async def run(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield batches until the caller stops iterating."""
        revision = start_revision
        while True:
            try:
                if not revision:
                    entries, read_revision = await self._read_prefix(
                        prefix, Priority.CONFIGURATION
                    )
                    yield WatchBatch(tuple(entries), (), read_revision, complete=True)
                    revision = read_revision + 1
                async for batch in self._stream(prefix, revision):
                    self._backoff.record_success()
                    if batch.entries or batch.deleted:
                        yield batch
            except (KvUnavailable, KvRefused):
                pass
            # The service may have compacted the changes made while the watch was
            # disconnected, so the whole prefix is read again.
            revision = 0
            await asyncio.sleep(self._backoff.record_failure())

    async def _stream(self, prefix: str, revision: int) -> AsyncIterator[WatchBatch]:
        """Yield one batch for each line until the connection fails or is idle."""
        create_request = {
            "key": encode_bytes(prefix),
            "range_end": prefix_end(prefix),
            "start_revision": str(revision),
            "progress_notify": True,
        }
        response = await self._transport.open_stream(
            "/v3/watch", {"create_request": create_request}, Priority.CONFIGURATION
        )
        lines = response.iter_lines()
        try:
            while True:
                async with asyncio.timeout(self.idle_timeout_seconds):
                    line = await anext(lines, None)
                if line is None:
                    return
                if line:
                    yield _decode_line(line)
        except RESPONSE_ERRORS:
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
