"""Holds the platform's configuration and list of upstreams.

Provides ``directory``. Both come from the store or from peers: the watchers of this
zone, or any peer that the store answers while it does not answer this instance.
"""

import asyncio

from camphorgate.application import Application
from camphorgate.kv.records import WatchBatch
from camphorgate.log import log_event
from camphorgate.serving.catalog import Catalog, Upstream
from camphorgate.serving.errors import CatalogError
from camphorgate.serving.upstream_table import Removal, UpstreamTable
from camphorgated.serving.catalog_state import CatalogState
from camphorgated.serving.messages import Changes, FetchResponse, State
from camphorgated.serving.watches import Watches

# Prefix of the keys that instances write.
INSTANCE_PREFIX = "camphorgate/"
# The only one of them that is watched.
DUTY_KEY = INSTANCE_PREFIX + "duty"
# Exists once any instance has taken the duty; the watch of the duty key shows it, too.
DUTY_TAKEN_KEY = DUTY_KEY + "-taken"
# Removals are doubted until the list has been watched for this long without a break.
# Lapsed entries are looked for at this interval.
SETTLE_SECONDS = 0.25
# Changes of upstreams are collected for this long per instance, up to the maximum, as
# each batch is sent to every instance.
COLLECT_SECONDS_PER_INSTANCE = 0.005
MAX_COLLECT_SECONDS = 0.5
# A peer may be ahead for this long, the time in which a change spreads, before this
# instance assumes that it missed a change.
BEHIND_SECONDS = 0.5


class Directory:
    """The configuration in force and the upstreams, as this instance knows them."""

    __slots__ = (
        "configuration",
        "table",
        "instance_entries_by_key",
        "instances",
        "watches",
        "_app",
        "_platform",
        "_list_behind_since",
        "_list_ahead_revision",
    )

    def __init__(self, app: Application) -> None:
        """Start without a configuration or upstreams."""
        self.configuration = CatalogState(app)
        self.table = UpstreamTable()
        self.instance_entries_by_key: dict = {}
        # How many instances there are; kept up to date by the members.
        self.instances = 1
        self._app = app
        self._platform = app.service("dialect")
        handlers_by_prefix = {
            self._platform.configuration_prefix: self._apply_configuration,
            self._platform.upstream_prefix: self._apply_upstreams,
            DUTY_KEY: self._apply_own_entries,
        }
        self.watches = Watches(
            app, handlers_by_prefix, frozenset({DUTY_KEY}), probe_key=DUTY_KEY
        )
        self._list_behind_since: float | None = None
        # The newest list that a watcher reported and this instance lacks.
        self._list_ahead_revision = 0

    @property
    def catalog(self) -> Catalog | None:
        """Return the configuration in force."""
        return self.configuration.catalog

    @property
    def sound(self) -> bool:
        """Return whether the state of this instance is up to date."""
        return self.watches.sound

    @property
    def upstreams_sound_since(self) -> float | None:
        """Return since when the list of upstreams is watched without interruption.

        The other watches do not count: a removal that is seen while only one of them
        hangs does not result from an outage.
        """
        return self.watches.sound_since(self._platform.upstream_prefix)

    @property
    def follows_duty_key(self) -> bool:
        """Return whether this instance watches the key of the duty."""
        return self.watches.sound_since(DUTY_KEY) is not None

    async def start(self) -> None:
        """Start reading the store."""
        await self.watches.start()
        self._app.supervise(self._settle, "directory settle")

    def service_upstreams(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new requests."""
        return self.table.usable(service)

    def apply_peer_upstreams(self, knowledge: FetchResponse) -> None:
        """Replace the list of upstreams by that of a peer that is up to date."""
        now = self._app.clock.monotonic()
        revision, peer = knowledge.revision, knowledge.instance
        before = self.table.digest()
        removals_by_id = self.table.apply_list(knowledge.upstreams, revision, now, True)
        self._log_removals(removals_by_id, revision, peer)
        self._apply_removals(knowledge.doubted, peer, sound=False)
        if self.table.digest() != before:
            log_event("upstreams_from_peer", peer=peer, revision=revision)
            self._app.emit("upstreams-changed")

    def apply_leaving(self, upstream: Upstream) -> bool:
        """Mark an upstream that itself reports that it leaves.

        The list may show this later or never.

        :returns: whether this changes the table.
        """
        if not self.table.mark_leaving(upstream.incarnation):
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

    def apply_confirmed_removals(self, knowledge: FetchResponse) -> None:
        """Apply removals that this instance doubts and a peer with a sound watch saw.

        The store reported them while it answered that peer, so the entries were removed
        and did not lapse in an outage. This holds for peers of any zone.
        """
        if self._apply_removals(knowledge.removed, knowledge.instance, sound=True):
            self._app.emit("upstreams-changed")

    def apply_peer_changes(self, changes: Changes) -> None:
        """Apply changes of the list that a watcher of this zone sent."""
        peer = changes.instance
        news = [self._apply_entry(upstream, peer) for upstream in changes.upstreams]
        news.append(self._apply_removals(changes.removed, peer, sound=True))
        news.append(self._apply_removals(changes.doubted, peer, sound=False))
        if any(news):
            self._app.emit("upstreams-changed")

    def _apply_removals(
        self, removals: list[tuple[str, int]], source: str, sound: bool
    ) -> bool:
        """Apply removals, given as pairs of id and revision.

        :returns: whether any changes the table.
        """
        now = self._app.clock.monotonic()
        news = False
        for upstream_id, revision in removals:
            outcome = self.table.apply_removal(upstream_id, revision, now, sound)
            self._log_removals({upstream_id: outcome}, revision, source)
            news = news or outcome is not Removal.STALE
        return news

    def compare(self, peer: State) -> None:
        """Compare the state of a watcher with the own state.

        If the watcher is ahead for longer than a change takes to arrive, an instance
        that is a watcher itself reopens its watches. Any other instance asks a peer as
        soon as :meth:`missed_changes` is true.
        """
        now = self._app.clock.monotonic()
        self.configuration.record_report(peer.version, peer.instance)
        self._compare_lists(peer, now)
        if not self.watches.watching or not self.sound:
            return
        if self.watches.receiving(BEHIND_SECONDS):
            return
        behind_seconds = BEHIND_SECONDS + self._collect_seconds()
        if (self.configuration.behind_seconds() or 0.0) > BEHIND_SECONDS:
            self.configuration.restart_behind()
            self.watches.restart("a peer knows a newer version")
        elif self._exceeds(self._list_behind_since, behind_seconds, now):
            self._list_behind_since = None
            self.watches.restart("a peer knows a newer list of upstreams")

    def _compare_lists(self, peer: State, now: float) -> None:
        """Record since when a watcher has had a newer list of upstreams.

        A watcher that lags like this instance proves nothing, so only one that has the
        newest reported list shows that this instance is not behind.
        """
        watching, revision = self.watches.watching, self.table.revision
        followed = watching and revision >= self._list_ahead_revision
        same = peer.list_digest == self.table.digest()
        if followed or (same and peer.list_revision >= self._list_ahead_revision):
            self._list_behind_since = None
            self._list_ahead_revision = 0
        # The lists of two watchers at one revision may differ in doubted removals.
        undoubted = not watching or not (peer.doubting or self.table.doubted_entries())
        # A watcher has every change up to its revision, so only a newer list counts.
        # For other instances, a different list of the same revision counts, too.
        ahead = peer.list_revision >= revision + watching
        if not same and ahead and undoubted:
            self._list_behind_since = self._list_behind_since or now
            self._list_ahead_revision = max(
                self._list_ahead_revision, peer.list_revision
            )

    @staticmethod
    def _exceeds(since: float | None, seconds: float, now: float) -> bool:
        return since is not None and now - since > seconds

    def missed_changes(self) -> bool:
        """Return whether a change has not arrived, so that a peer should be asked."""
        if self.watches.watching:
            return False
        now = self._app.clock.monotonic()
        late = self._exceeds(self._list_behind_since, BEHIND_SECONDS, now)
        return late or self.configuration.needs_fetch()

    def _collect_seconds(self) -> float:
        seconds = self.instances * COLLECT_SECONDS_PER_INSTANCE
        return min(MAX_COLLECT_SECONDS, seconds)

    def _apply_configuration(self, batch: WatchBatch) -> float:
        initial = batch.complete and self.catalog is None
        for entry in batch.entries:
            if entry.key == self._platform.configuration_key:
                self.configuration.apply(entry.value, "store", initial)
        return 0.0

    def _apply_upstreams(self, batch: WatchBatch) -> float:
        now = self._app.clock.monotonic()
        # After an outage, the first complete list lacks entries that come back.
        since = self.upstreams_sound_since
        sound = since is not None and now - since > SETTLE_SECONDS
        found = []
        for entry in batch.entries:
            try:
                found.append(self._platform.decode_upstream(entry))
            except CatalogError as error:
                log_event("upstream_entry_skipped", error=error.message)
                upstream_id = self._platform.upstream_id(entry.key)
                if not batch.complete:
                    removal = (upstream_id, entry.mod_revision)
                    self._apply_removals([removal], "store", sound)
        if batch.complete:
            removals_by_id = self.table.apply_list(found, batch.revision, now, sound)
            self._log_removals(removals_by_id, batch.revision, "store")
        else:
            self._apply_changes(found, batch, sound)
        self.table.revision = max(self.table.revision, batch.revision)
        if batch.entries or batch.deleted or batch.complete:
            self._app.emit("upstreams-changed")
        return self._collect_seconds()

    def _apply_changes(
        self, found: list[Upstream], batch: WatchBatch, sound: bool
    ) -> None:
        for upstream in found:
            known = self.table.by_id.get(upstream.id)
            if self._apply_entry(upstream, "store") and (
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
            (self._platform.upstream_id(key), revision)
            for key, revision in batch.deleted
        ]
        self._apply_removals(removals, "store", sound)

    def _apply_entry(self, upstream: Upstream, source: str) -> bool:
        """Apply an entry.

        :returns: whether it changes the table.
        """
        doubted = self.table.is_doubted(upstream.id)
        news = self.table.apply_entry(upstream)
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

        :param source: ``store``, or the peer that reported them.
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

    def _apply_own_entries(self, batch: WatchBatch) -> float:
        if batch.complete:
            self.instance_entries_by_key.clear()
        for entry in batch.entries:
            self.instance_entries_by_key[entry.key] = entry
        for key, _ in batch.deleted:
            self.instance_entries_by_key.pop(key, None)
        return 0.0

    async def _settle(self) -> None:
        while True:
            await asyncio.sleep(SETTLE_SECONDS)
            now = self._app.clock.monotonic()
            dropped = self.table.drop_lapsed(now, self.upstreams_sound_since)
            if dropped:
                log_event("upstreams_gone_after_outage", upstreams=",".join(dropped))
                self._app.emit("upstreams-changed")

    def dump(self) -> dict:
        """Return the state for the dump."""
        return {
            "version": self.configuration.version or None,
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
    app.declare_event("upstreams-changed")
    app.declare_event("configuration-changed")
    app.declare_event("watching-begun")
    app.declare_event("store-lost")
    directory = Directory(app)
    app.provide("directory", directory)
    app.add_dump_section("directory", directory.dump)
    app.on_start(directory.start)
