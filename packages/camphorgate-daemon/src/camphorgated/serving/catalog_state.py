"""Holds the configuration in force, and what is known of newer ones.

A version comes from the store, or from peers: in parts, as watchers broadcast it, or
as a whole where this instance fetched it.
"""

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Catalog
from camphorgate.serving.catalog_encoding import EncodedCatalog
from camphorgate.serving.catalog_history import CatalogHistory
from camphorgate.serving.errors import CatalogError
from camphorgated.serving.catalog_parts import CatalogParts
from camphorgated.serving.messages import CatalogPart, MissingParts

# A configuration of which a new part arrived within this time is still arriving, if it
# can be decoded here.
ARRIVAL_GAP_SECONDS = 0.3
# Parts that go on arriving for longer do not complete it, as some of them were lost.
MAX_ARRIVAL_SECONDS = 1.5


class CatalogState:
    """The configuration in force at this instance; versions only rise.

    ``initial`` tells whether it was in the first list that this instance read from the
    store, as it is for all instances that start.
    """

    __slots__ = (
        "catalog",
        "initial",
        "history",
        "_app",
        "_platform",
        "_parts",
        "_part_arrived_at",
        "_newest_reported",
        "_behind_since",
    )

    def __init__(self, app: Application) -> None:
        """Start without a configuration."""
        self.catalog: Catalog | None = None
        self.initial = False
        self.history = CatalogHistory()
        self._app = app
        self._platform = app.service("dialect")
        self._parts = CatalogParts()
        self._part_arrived_at = float("-inf")
        # The newest version that a watcher reported, and since when it is known that
        # there is one that this instance lacks.
        self._newest_reported = 0
        self._behind_since: float | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 without a configuration."""
        return self.history.version

    def apply(self, raw: bytes, source: str, initial: bool = False) -> None:
        """Apply a configuration if it is newer than the one in force.

        :param source: where it comes from, for the log.
        :param initial: whether it is in the first list from the store.
        """
        # A watcher reads from the store what another one's broadcast has brought.
        if self.catalog is not None and raw == self.catalog.raw:
            return
        try:
            catalog = self._platform.decode_catalog(raw)
        except CatalogError as error:
            log_event("configuration_unreadable", level="ERROR", error=error.message)
            return
        if catalog.version <= self.version:
            return
        log_event(
            "configuration_in_force",
            version=catalog.version,
            source=source,
            bytes=len(raw),
            behind_seconds=self.behind_seconds(),
        )
        self.catalog, self.initial = catalog, initial
        self.history.add(catalog.version, raw)
        self._parts.drop_older(catalog.version)
        behind = self._newest_reported > catalog.version
        self._behind_since = self._app.clock.monotonic() if behind else None
        self._app.emit("configuration-changed")
        following = self.history.pop_waiting()
        if following is not None:
            self.apply_encoded(following, source)

    def apply_encoded(self, encoded: EncodedCatalog, source: str) -> None:
        """Apply a configuration of a peer if it is newer than the one in force.

        :param source: the peer, for the log.
        """
        if encoded.version <= self.version:
            return
        try:
            raw = self.history.decode(encoded)
        except ValueError as error:
            log_event("configuration_unreadable", level="ERROR", error=str(error))
            return
        if raw is not None:
            self.apply(raw, source)

    def receive_part(self, part: CatalogPart) -> None:
        """Add a part of a configuration, and apply it once it is complete."""
        if part.version <= self.version:
            return
        # A patch of a version that is not here cannot be applied, however soon it is
        # complete.
        if self._parts.lacks(part) and self.history.can_decode(part.base):
            self._part_arrived_at = self._app.clock.monotonic()
        encoded = self._parts.take(part)
        if encoded is not None:
            self.apply_encoded(encoded, part.instance)

    def missing_parts(self) -> MissingParts | None:
        """Return the parts that are missing of a configuration that arrived in part.

        :returns: ``None`` if there are none, or if they would not help without another
            version, of which the configuration is a patch.
        """
        missing = self._parts.missing()
        if missing is None or not self.history.can_decode(missing.base):
            return None
        return missing

    def record_report(self, version: int, peer: str) -> None:
        """Record the version that a watcher reports."""
        self._newest_reported = max(self._newest_reported, version)
        if self._newest_reported <= self.version or self._behind_since is not None:
            return
        self._behind_since = self._app.clock.monotonic()
        log_event(
            "configuration_behind",
            version=self.version,
            newer=self._newest_reported,
            peer=peer,
        )

    def restart_behind(self) -> None:
        """Count anew from the next report for how long this instance is behind."""
        self._behind_since = None

    def behind_seconds(self) -> float | None:
        """Return for how long a newer version has been known, ``None`` if none is."""
        if self._behind_since is None:
            return None
        return self._app.clock.monotonic() - self._behind_since

    def needs_fetch(self) -> bool:
        """Return whether there is a newer version that is not arriving by itself."""
        behind_seconds = self.behind_seconds()
        if behind_seconds is None:
            return False
        silence_seconds = self._app.clock.monotonic() - self._part_arrived_at
        return (
            silence_seconds >= ARRIVAL_GAP_SECONDS
            or behind_seconds >= MAX_ARRIVAL_SECONDS
        )
