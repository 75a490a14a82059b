"""Reads the root from KV: watches it for changes and polls it for freshness."""

import asyncio
import contextlib
from typing import TYPE_CHECKING

from camphorgate.configuration.errors import PartError
from camphorgate.configuration.versions import ROOT_KEY, Root, decode_root
from camphorgate.kv.errors import KvError
from camphorgate.kv.records import KvEntry, Read, unchanged
from camphorgate.log import log_event

if TYPE_CHECKING:
    from camphorgated.ext.configuration.service import ConfigurationService

# Reads of the root per freshness bound: after a lost read there is time for another one
# before the last successful read expires.
READS_PER_FRESHNESS_BOUND = 3.0

# How often an instance checks whether it is one of the watchers.
WATCHER_CHECK_SECONDS = 1.0

# This key is never written. A transaction that reads it and compares the root's
# revision confirms the root without transferring it again. A transaction without any
# read would not be linearizable.
UNWRITTEN_KEY = "config/fence"


class RootReader:
    """Follows changes of the root while this instance is one of the watchers."""

    __slots__ = ("_service", "_revision", "_version", "_read_requested")

    def __init__(self, service: "ConfigurationService") -> None:
        """Create the reader of a configuration service."""
        self._service = service
        self._revision: int | None = None
        self._version = 0
        self._read_requested = asyncio.Event()

    def request_read(self) -> None:
        """Read the root without waiting for the next period."""
        self._read_requested.set()

    async def run_watch(self) -> None:
        """Watch the root while this instance is a watcher."""
        while True:
            if not self._service.membership.is_watcher():
                await self._sleep(WATCHER_CHECK_SECONDS)
                continue
            watch = asyncio.create_task(self._process_watch())
            try:
                while self._service.membership.is_watcher() and not watch.done():
                    await self._sleep(WATCHER_CHECK_SECONDS)
            finally:
                watch.cancel()
                await asyncio.gather(watch, return_exceptions=True)

    async def run_confirmations(self) -> None:
        """Read the root periodically while a watcher, and once at startup."""
        first = True
        bound = self._service.freshness.bound_seconds
        period = bound / READS_PER_FRESHNESS_BOUND
        while True:
            if first or self._service.membership.is_watcher():
                try:
                    await self._confirm_once()
                    first = False
                except KvError:
                    pass
                except PartError as error:
                    log_event("root_damaged", level="ERROR", error=error.message)
            self._read_requested.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._add_jitter(period)):
                    await self._read_requested.wait()

    async def read(self) -> tuple[Root | None, int]:
        """Read the root and its revision, 0 if there is none.

        :raises KvError: if KV does not answer.
        :raises PartError: if the root is corrupt.
        """
        begun_at = self._service.clock.monotonic()
        entry = await self._service.kv.get(ROOT_KEY)
        root = self._apply_entry(entry)
        self._service.record_kv_read(root.version if root else 0, begun_at)
        return root, entry.mod_revision if entry else 0

    async def _confirm_once(self) -> None:
        if self._revision is None:
            await self.read()
            return
        begun_at = self._service.clock.monotonic()
        version = self._version
        condition = unchanged(ROOT_KEY, self._revision)
        result = await self._service.kv.transact([condition], [Read(UNWRITTEN_KEY)])
        if result.succeeded:
            self._service.record_kv_read(version, begun_at)
        else:
            await self.read()

    async def _process_watch(self) -> None:
        async for batch in self._service.kv.watch(ROOT_KEY):
            for entry in batch.entries:
                try:
                    self._apply_entry(entry)
                except PartError as error:
                    log_event("root_damaged", level="ERROR", error=error.message)

    def _apply_entry(self, entry: KvEntry | None) -> Root | None:
        if entry is None or entry.key != ROOT_KEY:
            if self._revision is None and entry is None:
                self._revision = 0
            return None
        root = decode_root(entry.value)
        if self._revision is None or entry.mod_revision >= self._revision:
            self._revision = entry.mod_revision
            self._version = root.version
        self._service.learn_root(root)
        return root

    async def _sleep(self, seconds: float) -> None:
        await asyncio.sleep(self._add_jitter(seconds))

    def _add_jitter(self, seconds: float) -> float:
        return seconds * self._service.random.uniform(0.8, 1.2)
