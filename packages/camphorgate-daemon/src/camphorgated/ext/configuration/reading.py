"""Reads the root from KV: by a watch for changes, by short reads for freshness."""

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

# Reads that confirm the root while one read counts: a lost one leaves time for another.
READS_PER_BOUND = 3.0

# How often an instance checks whether it is one of those that watch.
CHOICE_SECONDS = 1.0

# A key that is never written. A transaction that reads it and compares the root's
# revision confirms the root without sending it again. Without any read a transaction
# would not be linearizable.
FENCE_KEY = "config/fence"


class RootReader:
    """Keeps up with the root while this instance is one of those that watch."""

    __slots__ = ("_service", "_revision", "_version", "_read_now")

    def __init__(self, service: "ConfigurationService") -> None:
        """Work for a configuration service."""
        self._service = service
        self._revision: int | None = None
        self._version = 0
        self._read_now = asyncio.Event()

    def read_now(self) -> None:
        """Confirm the root at once."""
        self._read_now.set()

    async def watch(self) -> None:
        """Watch the root while chosen."""
        while True:
            if not self._service.membership.is_watcher():
                await self._pause(CHOICE_SECONDS)
                continue
            watch = asyncio.create_task(self._follow())
            try:
                while self._service.membership.is_watcher() and not watch.done():
                    await self._pause(CHOICE_SECONDS)
            finally:
                watch.cancel()
                await asyncio.gather(watch, return_exceptions=True)

    async def confirm(self) -> None:
        """Read the root again and again while chosen, and once at start."""
        first = True
        bound = self._service.freshness.bound_seconds
        period = bound / READS_PER_BOUND
        while True:
            if first or self._service.membership.is_watcher():
                try:
                    await self._confirm_once()
                    first = False
                except KvError:
                    pass
                except PartError as error:
                    log_event("root_damaged", level="ERROR", error=error.message)
            self._read_now.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._spread(period)):
                    await self._read_now.wait()

    async def read(self) -> tuple[Root | None, int]:
        """Read the root and its revision, 0 if there is none.

        :raises KvError: if KV does not answer.
        :raises PartError: if the root is damaged.
        """
        begun_at = self._service.clock.monotonic()
        entry = await self._service.kv.get(ROOT_KEY)
        root = self._take(entry)
        self._service.confirm(root.version if root else 0, begun_at)
        return root, entry.mod_revision if entry else 0

    async def _confirm_once(self) -> None:
        if self._revision is None:
            await self.read()
            return
        begun_at = self._service.clock.monotonic()
        version = self._version
        condition = unchanged(ROOT_KEY, self._revision)
        result = await self._service.kv.transact([condition], [Read(FENCE_KEY)])
        if result.succeeded:
            self._service.confirm(version, begun_at)
        else:
            await self.read()

    async def _follow(self) -> None:
        async for batch in self._service.kv.watch(ROOT_KEY):
            for entry in batch.entries:
                try:
                    self._take(entry)
                except PartError as error:
                    log_event("root_damaged", level="ERROR", error=error.message)

    def _take(self, entry: KvEntry | None) -> Root | None:
        if entry is None or entry.key != ROOT_KEY:
            if self._revision is None and entry is None:
                self._revision = 0
            return None
        root = decode_root(entry.value)
        if self._revision is None or entry.mod_revision >= self._revision:
            self._revision = entry.mod_revision
            self._version = root.version
        self._service.root_found(root)
        return root

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(self._spread(seconds))

    def _spread(self, seconds: float) -> float:
        return seconds * self._service.random.uniform(0.8, 1.2)
