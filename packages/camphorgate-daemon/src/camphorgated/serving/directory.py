"""Knows the platform's configuration and list of upstreams.

Provides ``directory``. Both come from the store, or from peers: those that follow the
store for this zone, or any that it serves where it turns this instance away.
"""

import asyncio

from camphorgate.application import Application
from camphorgate.kv.records import WatchBatch
from camphorgate.log import log_event
from camphorgate.serving.catalog import Catalog, Upstream
from camphorgate.serving.errors import CatalogError
from camphorgate.serving.upstream_table import Removal, UpstreamTable
from camphorgated.serving.messages import Changes, Knowledge, State
from camphorgated.serving.watches import Watches

# Prefix of the keys that the instances themselves write.
OWN_PREFIX = "camphorgate/"
# The only one of them that is watched.
DUTY_KEY = OWN_PREFIX + "duty"
SETTLE_SECONDS = 0.25
# Changes of upstreams are collected for this long per instance, up to the bound, as
# each of them is told to every instance.
COLLECT_SECONDS_PER_INSTANCE = 0.005
MOST_COLLECT_SECONDS = 0.5
# A peer may be ahead by the spread of one change before the own watch is in doubt.
BEHIND_SECONDS = 0.5


class Directory:
    """The configuration in force and the upstreams, as this instance knows them."""

    __slots__ = (
        "catalog",
        "table",
        "own_entries_by_key",
        "instances",
        "watches",
        "_app",
        "_dialect",
        "_behind_since",
        "_list_behind_since",
        "_ahead_version",
        "_list_ahead_revision",
    )

    def __init__(self, app: Application) -> None:
        """Start without knowledge."""
        self.catalog: Catalog | None = None
        self.table = UpstreamTable()
        self.own_entries_by_key: dict = {}
        # How many instances there are; kept up to date by the members.
        self.instances = 1
        self._app = app
        self._dialect = app.service("dialect")
        handlers_by_prefix = {
            self._dialect.configuration_prefix: self._take_configuration,
            self._dialect.upstream_prefix: self._take_upstreams,
            DUTY_KEY: self._take_own,
        }
        self.watches = Watches(
            app, handlers_by_prefix, frozenset({DUTY_KEY}), checked_key=DUTY_KEY
        )
        self._behind_since: float | None = None
        self._list_behind_since: float | None = None
        # The newest version that a watcher told.
        self._ahead_version = 0
        # The newest list that a watcher told and this instance has not.
        self._list_ahead_revision = 0

    @property
    def sound(self) -> bool:
        """Tell whether what this instance knows is up to date."""
        return self.watches.sound

    @property
    def upstreams_sound_since(self) -> float | None:
        """Return since when the list of upstreams is followed without a break.

        The other watches do not count: a removal that is seen while only one of them
        hangs is no consequence of an outage.
        """
        return self.watches.sound_since(self._dialect.upstream_prefix)

    @property
    def sees_duty(self) -> bool:
        """Tell whether this instance follows who holds the duty."""
        return self.watches.sound_since(DUTY_KEY) is not None

    async def start(self) -> None:
        """Start reading the store."""
        await self.watches.start()
        self._app.spawn(self._settle(), "directory settle")

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
        self._app.emit("configuration-changed")

    def take_peer_upstreams(self, knowledge: Knowledge) -> None:
        """Take the whole list of a peer that is up to date."""
        now = self._app.clock.monotonic()
        revision, peer = knowledge.revision, knowledge.instance
        before = self.table.digest()
        removals_by_id = self.table.replace(knowledge.upstreams, revision, now, True)
        self._log_removals(removals_by_id, revision, peer)
        self._take_removals(knowledge.doubted, peer, sound=False)
        if self.table.digest() != before:
            log_event("upstreams_from_peer", peer=peer, revision=revision)
            self._app.emit("upstreams-changed")

    def take_leaving(self, upstream: Upstream) -> bool:
        """Take an upstream's own word that it leaves, before or without the list's.

        :returns: whether it is news.
        """
        if not self.table.leave(upstream.incarnation):
            return False
        log_event(
            "upstream_leaves_by_its_word",
            upstream=upstream.id,
            service=upstream.service,
            list_revision=self.table.revision,
            store_sound=self.sound,
        )
        self._app.emit("upstreams-changed")
        return True

    def take_certain_removals(self, knowledge: Knowledge) -> None:
        """Take removals that a peer saw with a sound watch and this instance doubts.

        The store told them while it answered that peer, so that the entries left rather
        than lapsed, whatever zone the peer is in.
        """
        if self._take_removals(knowledge.removed, knowledge.instance, sound=True):
            self._app.emit("upstreams-changed")

    def take_peer_changes(self, changes: Changes) -> None:
        """Take changes of the list that a watcher of this zone tells."""
        peer = changes.instance
        news = [self._put(upstream, peer) for upstream in changes.upstreams]
        news.append(self._take_removals(changes.removed, peer, sound=True))
        news.append(self._take_removals(changes.doubted, peer, sound=False))
        if any(news):
            self._app.emit("upstreams-changed")

    def _take_removals(
        self, removals: list[tuple[str, int]], source: str, sound: bool
    ) -> bool:
        """Take removals as pairs of id and revision.

        :returns: whether any is news.
        """
        now = self._app.clock.monotonic()
        news = False
        for upstream_id, revision in removals:
            outcome = self.table.remove(upstream_id, revision, now, sound)
            self._log_removals({upstream_id: outcome}, revision, source)
            news = news or outcome is not Removal.STALE
        return news

    def compare(self, peer: State) -> None:
        """Note what a watcher knows.

        Where it is ahead for longer than a change takes to arrive, a watcher's own
        watches are opened anew; any other instance asks a peer.
        """
        now = self._app.clock.monotonic()
        own_version = self.catalog.version if self.catalog else 0
        self._ahead_version = max(self._ahead_version, peer.version)
        if self._ahead_version <= own_version:
            self._behind_since = None
        else:
            self._behind_since = self._behind_since or now
        self._compare_lists(peer, now)
        if not self.watches.watching or not self.sound:
            return
        behind_seconds = BEHIND_SECONDS + self._collect_seconds()
        if self._longer(self._behind_since, BEHIND_SECONDS, now):
            self._behind_since = None
            self.watches.restart("a peer knows a newer version")
        elif self._longer(self._list_behind_since, behind_seconds, now):
            self._list_behind_since = None
            self.watches.restart("a peer knows a newer list of upstreams")

    def _compare_lists(self, peer: State, now: float) -> None:
        """Note since when a watcher knows a newer list of upstreams.

        A watcher that lags like this instance proves nothing, so only one that is as
        far as the newest that was heard ends the doubt.
        """
        watching, revision = self.watches.watching, self.table.revision
        followed = watching and revision >= self._list_ahead_revision
        same = peer.list_digest == self.table.digest()
        if followed or (same and peer.list_revision >= self._list_ahead_revision):
            self._list_behind_since = None
            self._list_ahead_revision = 0
        # The lists of two watchers at one revision may differ in what they doubt.
        undoubted = not watching or not (peer.doubting or self.table.doubts())
        ahead = peer.list_revision >= revision + watching
        if not same and ahead and undoubted:
            self._list_behind_since = self._list_behind_since or now
            self._list_ahead_revision = max(
                self._list_ahead_revision, peer.list_revision
            )

    @staticmethod
    def _longer(since: float | None, seconds: float, now: float) -> bool:
        return since is not None and now - since > seconds

    def lacks_news(self) -> bool:
        """Tell whether a peer should be asked, as a change did not arrive."""
        if self.watches.watching:
            return False
        now = self._app.clock.monotonic()
        late = self._longer(self._list_behind_since, BEHIND_SECONDS, now)
        return late or self._behind_since is not None

    def _collect_seconds(self) -> float:
        seconds = self.instances * COLLECT_SECONDS_PER_INSTANCE
        return min(MOST_COLLECT_SECONDS, seconds)

    def _take_configuration(self, batch: WatchBatch) -> float:
        for entry in batch.entries:
            if entry.key == self._dialect.configuration_key:
                self.take_catalog(entry.value, "store")
        return 0.0

    def _take_upstreams(self, batch: WatchBatch) -> float:
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
                    removal = (upstream_id, entry.mod_revision)
                    self._take_removals([removal], "store", sound)
        if batch.complete:
            removals_by_id = self.table.replace(found, batch.revision, now, sound)
            self._log_removals(removals_by_id, batch.revision, "store")
        else:
            self._apply(found, batch, sound)
        self.table.revision = max(self.table.revision, batch.revision)
        if batch.entries or batch.deleted or batch.complete:
            self._app.emit("upstreams-changed")
        return self._collect_seconds()

    def _apply(self, found: list[Upstream], batch: WatchBatch, sound: bool) -> None:
        for upstream in found:
            known = self.table.by_id.get(upstream.id)
            if self._put(upstream, "store") and (
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
        removals = [
            (self._dialect.upstream_id(key), revision)
            for key, revision in batch.deleted
        ]
        self._take_removals(removals, "store", sound)

    def _put(self, upstream: Upstream, source: str) -> bool:
        """Take an entry.

        :returns: whether it is news.
        """
        doubted = self.table.doubted(upstream.id)
        news = self.table.put(upstream)
        if news and doubted:
            log_event(
                "upstream_returned",
                upstream=upstream.id,
                source=source,
                revision=upstream.revision,
            )
        return news

    def _log_removals(
        self, removals_by_id: dict[str, Removal], revision: int, source: str
    ) -> None:
        """Log which entries are gone, or doubted because the watch was disturbed.

        :param source: ``store``, or the peer that told of them.
        """
        since = self.upstreams_sound_since
        now = self._app.clock.monotonic()
        for upstream_id, outcome in removals_by_id.items():
            if outcome is Removal.STALE:
                continue
            log_event(
                "upstream_unlisted",
                upstream=upstream_id,
                outcome=outcome.value,
                source=source,
                revision=revision,
                watch_sound_seconds=None if since is None else now - since,
            )

    def _take_own(self, batch: WatchBatch) -> float:
        if batch.complete:
            self.own_entries_by_key.clear()
        for entry in batch.entries:
            self.own_entries_by_key[entry.key] = entry
        for key, _ in batch.deleted:
            self.own_entries_by_key.pop(key, None)
        return 0.0

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
            "sound": self.sound,
            "watching": self.watches.watching,
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


def setup(app: Application) -> None:
    """Provide the directory and start its watches."""
    app.add_event("upstreams-changed")
    app.add_event("configuration-changed")
    app.add_event("watching-begun")
    app.add_event("store-lost")
    directory = Directory(app)
    app.provide("directory", directory)
    app.add_dump_section("directory", directory.dump)
    app.on_start(directory.start)
