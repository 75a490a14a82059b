"""Fetches roots and parts: from peers first, then from KV."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Sequence
from typing import TYPE_CHECKING

from camphorgate.configuration.errors import PartError
from camphorgate.configuration.parts import encode_digest
from camphorgate.configuration.versions import (
    PART_PREFIX,
    ROOT_KEY,
    Root,
    decode_root,
)
from camphorgate.kv.errors import KvError
from camphorgate.kv.records import Read
from camphorgate.log import log_event
from camphorgate.peers.errors import PeerError

if TYPE_CHECKING:
    from camphorgated.ext.configuration.service import ConfigurationService

# An instance that does not watch KV fetches only from its peers for this long, so that
# a change does not make every instance read from KV.
KV_FALLBACK_DELAY_SECONDS = 1.0
MIN_RETRY_DELAY_SECONDS = 0.15
MAX_RETRY_DELAY_SECONDS = 2.0

# 64 parts of one bucket each stay far below 3 MB.
MAX_PARTS_PER_CALL = 64


class Fetcher:
    """Fetches the highest known version and puts it in force."""

    def __init__(self, service: "ConfigurationService") -> None:
        """Create the fetcher of a configuration service."""
        self.counts: Counter[str] = Counter()
        self._service = service
        self._wake_event = asyncio.Event()
        self._root: Root | None = None
        self._sources: list[str] = []

    def add_source(self, instance_id: str) -> None:
        """Record that a peer runs a newer version."""
        if instance_id in self._sources:
            self._sources.remove(instance_id)
        self._sources.append(instance_id)

    def add_root(self, root: Root) -> None:
        """Store a root read from KV or a peer if it is the newest so far."""
        if self._root is None or root.version > self._root.version:
            self._root = root

    def wake(self) -> None:
        """Start fetching the highest known version, or retry at once."""
        self._wake_event.set()

    async def run(self) -> None:
        """Fetch whenever a newer version is known."""
        while True:
            await self._wake_event.wait()
            self._wake_event.clear()
            await self._catch_up()

    async def _catch_up(self) -> None:
        ledger = self._service.ledger
        begun_at = self._service.clock.monotonic()
        delay = MIN_RETRY_DELAY_SECONDS
        while ledger.version < ledger.highest_known:
            version_before = ledger.version
            waited = self._service.clock.monotonic() - begun_at
            defer_kv = waited < KV_FALLBACK_DELAY_SECONDS
            try:
                await self._apply_newest(defer_kv)
            except (PeerError, KvError, PartError) as error:
                self.counts["failed"] += 1
                log_event(
                    "fetch_failed",
                    level="WARNING",
                    version=ledger.highest_known,
                    error=error.message,
                )
            if ledger.version == version_before:
                # A peer that reports running the version ends the delay early.
                self._wake_event.clear()
                with contextlib.suppress(TimeoutError):
                    jitter = self._service.random.uniform(0.5, 1.0)
                    async with asyncio.timeout(delay * jitter):
                        await self._wake_event.wait()
                delay = min(MAX_RETRY_DELAY_SECONDS, delay * 2)

    async def _apply_newest(self, defer_kv: bool) -> None:
        """Fetch the newest available root with its parts and put it in force.

        :param patient: whether only instances that watch KV may read from it.
        """
        service = self._service
        use_kv = not defer_kv or service.membership.is_watcher()
        sources = self._source_addresses()
        if self._root is None or self._root.version <= service.version:
            await self._fetch_root(sources, use_kv)
        root = self._root
        if root is None or root.version <= service.version:
            return
        digests = root.digests_by_name()
        await self._fetch_parts(list(digests.values()), sources, use_kv)
        if not service.store.missing(digests.values()):
            service.apply(root, service.store.join(digests))

    async def _fetch_root(self, sources: Sequence[str], use_kv: bool) -> None:
        for address in sources:
            try:
                links = self._service.membership.links
                answer = await links.snapshot(address, self._service.version)
            except PeerError:
                self.counts["peer_failed"] += 1
                continue
            if answer.root:
                self.counts["root_from_peer"] += 1
                self.add_root(decode_root(answer.root))
                return
        if use_kv:
            entry = await self._service.kv.get(ROOT_KEY)
            self.counts["root_from_kv"] += 1
            if entry is not None:
                self.add_root(decode_root(entry.value))

    async def _fetch_parts(
        self, digests: list[bytes], sources: Sequence[str], use_kv: bool
    ) -> None:
        store = self._service.store
        for address in sources:
            missing = store.missing(digests)
            if not missing:
                return
            try:
                await self._fetch_parts_from_peer(address, missing)
            except PeerError:
                self.counts["peer_failed"] += 1
        missing = store.missing(digests)
        if missing and use_kv:
            await self._fetch_parts_from_kv(missing)

    async def _fetch_parts_from_peer(self, address: str, missing: list[bytes]) -> None:
        links = self._service.membership.links
        while missing:
            parts = await links.fetch_parts(address, missing[:MAX_PARTS_PER_CALL])
            added = [d for d, c in parts.items() if self._service.store.add(d, c)]
            self.counts["parts_from_peer"] += len(added)
            if not added:
                return
            missing = self._service.store.missing(missing)

    async def _fetch_parts_from_kv(self, missing: list[bytes]) -> None:
        for start in range(0, len(missing), MAX_PARTS_PER_CALL):
            batch = missing[start : start + MAX_PARTS_PER_CALL]
            keys = {PART_PREFIX + encode_digest(digest): digest for digest in batch}
            result = await self._service.kv.transact([], [Read(key) for key in keys])
            for key, entry in result.entries_by_key.items():
                if self._service.store.add(keys[key], entry.value):
                    self.counts["parts_from_kv"] += 1

    def _source_addresses(self) -> list[str]:
        """Return up to three peers that run a newer version, the latest heard first."""
        roster = self._service.membership.roster
        members = [roster.member(item) for item in reversed(self._sources)]
        del self._sources[:-8]
        version = self._service.version
        return [m.peer_address for m in members if m and m.version > version][:3]
