"""Follows the platform's configuration and list of upstreams.

Provides ``directory``. Both are also taken from peers, for instances that the store
turns away.
"""

import asyncio
import random

from camphorgate.application import Application
from camphorgate.kv.errors import KvError
from camphorgate.kv.records import WatchBatch
from camphorgate.log import log_event
from camphorgate.serving.catalog import Catalog, Upstream
from camphorgate.serving.errors import CatalogError
from camphorgate.serving.upstream_table import UpstreamTable

# Pause before a broken watch is opened again; doubles up to the longest.
FIRST_RETURN_SECONDS = 0.1
LONGEST_RETURN_SECONDS = 1.0
SETTLE_SECONDS = 0.25
# Changes of upstreams are collected for this long per instance, up to the bound, as
# every answer of a waiting watch is a call of every instance.
COLLECT_SECONDS_PER_INSTANCE = 0.015
MOST_COLLECT_SECONDS = 1.2
# How long the store holds a watch; grows with the instances, as every waiting watch is
# a call. A connection that went silent unnoticed is found after this time.
WATCH_SECONDS = 5.0
WATCH_SECONDS_PER_INSTANCE = 0.25
MOST_WATCH_SECONDS = 25.0
# A peer may be ahead by the spread of one change before the own watch is in doubt.
BEHIND_SECONDS = 0.5


class Directory:
    """The configuration in force and the upstreams, as this instance knows them."""

    __slots__ = (
        "catalog",
        "table",
        "own_entries_by_key",
        "_sound_since_by_prefix",
        "_handlers_by_prefix",
        "own_prefix",
        "instances",
        "_app",
        "_dialect",
        "_store",
        "_watch_tasks",
        "_random",
        "_behind_since",
    )

    def __init__(self, app: Application, own_prefix: str) -> None:
        """Start without knowledge.

        :param own_prefix: of the keys of the instances' own that are watched.
        """
        self.catalog: Catalog | None = None
        self.table = UpstreamTable()
        self.own_entries_by_key: dict = {}
        self.own_prefix = own_prefix
        # How many instances there are; kept up to date by the members.
        self.instances = 1
        self._app = app
        self._dialect = app.service("dialect")
        self._store = app.service("store")
        # Since when each watch has worked; those that do not are missing.
        self._sound_since_by_prefix: dict[str, float] = {}
        self._handlers_by_prefix = {
            self._dialect.configuration_prefix: self._take_configuration,
            self._dialect.upstream_prefix: self._take_upstreams,
            own_prefix: self._take_own,
        }
        self._watch_tasks: dict[str, asyncio.Task] = {}
        self._random = random.Random()
        self._behind_since: float | None = None

    @property
    def sound(self) -> bool:
        """Tell whether the store answers every watch of this instance."""
        return len(self._sound_since_by_prefix) == len(self._handlers_by_prefix)

    @property
    def upstreams_sound_since(self) -> float | None:
        """Return since when the list of upstreams is followed without a break.

        The other watches do not count: a removal that is seen while only one of them
        hangs is no consequence of an outage.
        """
        return self._sound_since_by_prefix.get(self._dialect.upstream_prefix)

    async def start(self) -> None:
        """Start the watches."""
        for prefix in self._handlers_by_prefix:
            self._start_watch(prefix)
        self._app.spawn(self._settle(), "directory settle")

    def _start_watch(self, prefix: str) -> None:
        task = self._app.spawn(self._follow(prefix), f"watch {prefix}")
        self._watch_tasks[prefix] = task

    def restart_watches(self, reason: str) -> None:
        """Open every watch anew, as its connection may have gone silent.

        Until each of them works, the store counts as lost, so that peers are asked.
        """
        log_event("watches_reopened", level="WARNING", reason=reason)
        self._sound_since_by_prefix.clear()
        for prefix, task in list(self._watch_tasks.items()):
            task.cancel()
            self._start_watch(prefix)

    def service_upstreams(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new requests."""
        return self.table.usable(service)

    def take_catalog(self, raw: bytes, source: str) -> None:
        """Take a configuration if it is newer than the one in force.

        :param source: where it comes from, for the log.
        """
        try:
            catalog = self._dialect.decode_catalog(raw)
        except CatalogError as error:
            log_event("configuration_unreadable", level="ERROR", error=error.message)
            return
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        self.catalog = catalog
        log_event("configuration_in_force", version=catalog.version, source=source)

    def take_peer_upstreams(
        self, upstreams: list[Upstream], revision: int, peer: str
    ) -> None:
        """Take the list of a peer that the store serves."""
        before = self.table.digest()
        self.table.replace(upstreams, revision, self._app.clock.monotonic(), True)
        if self.table.digest() != before:
            log_event("upstreams_from_peer", peer=peer, revision=revision)
            self._app.emit("upstreams-changed")

    def peer_ahead(self, ahead: bool) -> None:
        """Note whether a peer knows a newer configuration than this instance."""
        now = self._app.clock.monotonic()
        if not ahead:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > BEHIND_SECONDS and self.sound:
            self._behind_since = now
            self.restart_watches("a peer knows a newer version")

    async def _follow(self, prefix: str) -> None:
        handler = self._handlers_by_prefix[prefix]
        delay = FIRST_RETURN_SECONDS
        while True:
            try:
                async for batch in self._store.watch(prefix, self._watch_seconds):
                    self._watch_works(prefix)
                    delay = FIRST_RETURN_SECONDS
                    handler(batch)
                    if prefix == self._dialect.upstream_prefix:
                        await asyncio.sleep(self._collect_seconds())
            except KvError as error:
                self._watch_fails(prefix, error.message)
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
            delay = min(LONGEST_RETURN_SECONDS, delay * 2)

    def _watch_seconds(self) -> float:
        seconds = self.instances * WATCH_SECONDS_PER_INSTANCE
        return min(MOST_WATCH_SECONDS, max(WATCH_SECONDS, seconds))

    def _collect_seconds(self) -> float:
        seconds = self.instances * COLLECT_SECONDS_PER_INSTANCE
        return min(MOST_COLLECT_SECONDS, seconds)

    def _watch_works(self, prefix: str) -> None:
        if prefix in self._sound_since_by_prefix:
            return
        self._sound_since_by_prefix[prefix] = self._app.clock.monotonic()
        if self.sound:
            log_event("store_regained")

    def _watch_fails(self, prefix: str, message: str) -> None:
        if self.sound:
            log_event("store_lost", level="WARNING", watch=prefix, error=message)
        self._sound_since_by_prefix.pop(prefix, None)

    def _take_configuration(self, batch: WatchBatch) -> None:
        for entry in batch.entries:
            if entry.key == self._dialect.configuration_key:
                self.take_catalog(entry.value, "store")

    def _take_upstreams(self, batch: WatchBatch) -> None:
        now = self._app.clock.monotonic()
        # After an outage, the first complete list lacks entries that come back.
        since = self.upstreams_sound_since
        sound = since is not None and now - since > SETTLE_SECONDS
        found = []
        for entry in batch.entries:
            try:
                found.append(self._dialect.decode_upstream(entry))
            except CatalogError as error:
                log_event("upstream_entry_skipped", error=error.message)
                upstream_id = self._dialect.upstream_id(entry.key)
                if not batch.complete:
                    self.table.remove(upstream_id, entry.mod_revision, now, sound)
        if batch.complete:
            self.table.replace(found, batch.revision, now, sound)
        else:
            self._apply(found, batch, now, sound)
        self.table.revision = max(self.table.revision, batch.revision)
        if batch.entries or batch.deleted or batch.complete:
            self._app.emit("upstreams-changed")

    def _apply(
        self, found: list[Upstream], batch: WatchBatch, now: float, sound: bool
    ) -> None:
        for upstream in found:
            known = self.table.by_id.get(upstream.id)
            if self.table.put(upstream) and (
                known is None
                or known.leaving != upstream.leaving
                or known.phase != upstream.phase
            ):
                log_event(
                    "upstream_listed",
                    upstream=upstream.id,
                    service=upstream.service,
                    address=upstream.address,
                    zone=upstream.zone,
                    leaving=upstream.leaving,
                    phase=upstream.phase.value if upstream.phase else None,
                    cheap=upstream.cheap,
                    revision=upstream.revision,
                )
        for key, revision in batch.deleted:
            upstream_id = self._dialect.upstream_id(key)
            log_event("upstream_unlisted", upstream=upstream_id, sound=sound)
            self.table.remove(upstream_id, revision, now, sound)

    def _take_own(self, batch: WatchBatch) -> None:
        if batch.complete:
            self.own_entries_by_key.clear()
        for entry in batch.entries:
            self.own_entries_by_key[entry.key] = entry
        for key, _ in batch.deleted:
            self.own_entries_by_key.pop(key, None)

    async def _settle(self) -> None:
        while True:
            await asyncio.sleep(SETTLE_SECONDS)
            now = self._app.clock.monotonic()
            dropped = self.table.settle(now, self.upstreams_sound_since)
            if dropped:
                log_event("upstreams_gone_after_outage", upstreams=",".join(dropped))
                self._app.emit("upstreams-changed")

    def dump(self) -> dict:
        """Return the state for the operators."""
        return {
            "version": self.catalog.version if self.catalog else None,
            "store_sound": self.sound,
            "revision": self.table.revision,
            "upstreams": {
                item.id: {
                    "service": item.service,
                    "address": item.address,
                    "zone": item.zone,
                    "leaving": item.leaving,
                    "phase": item.phase.value if item.phase else None,
                    "cheap": item.cheap,
                }
                for item in self.table.by_id.values()
            },
        }


# Prefix of the keys that the instances themselves write.
OWN_PREFIX = "camphorgate/"
# The only one of them that every instance watches.
DUTY_KEY = OWN_PREFIX + "duty"


def setup(app: Application) -> None:
    """Provide the directory and start its watches."""
    app.add_event("upstreams-changed")
    directory = Directory(app, DUTY_KEY)
    app.provide("directory", directory)
    app.add_dump_section("directory", directory.dump)
    app.on_start(directory.start)
