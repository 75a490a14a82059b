"""The service ``configuration``: versions, freshness and the data for peers."""

import asyncio
import random
from typing import Any

from camphorgate.application import Application
from camphorgate.configuration.freshness import Freshness
from camphorgate.configuration.parts import PartStore
from camphorgate.configuration.versions import Root, VersionTracker, encode_root
from camphorgate.log import log_event
from camphorgate.manifest import Manifest, ManifestIndex
from camphorgate.membership.roster import hash_name
from camphorgated.ext.configuration.fetching import Fetcher
from camphorgated.ext.configuration.reading import RootReader
from camphorgated.ext.configuration.submitting import Submission, Submitter


class ConfigurationService:
    """Maintains the configuration in force; see section 9 of the design."""

    def __init__(self, app: Application) -> None:
        """Create the service; ``start`` starts its tasks."""
        self.ledger = VersionTracker()
        self.store = PartStore()
        self.freshness = Freshness(app.settings.timing.freshness_seconds)
        self.app = app
        self.clock = app.clock
        self.random = random.Random(f"{app.settings.seed}/{app.settings.instance_id}/c")
        self.membership: Any = None
        self.kv: Any = None
        # Set when a member's version increased or a new version came into force here.
        self.versions_changed = asyncio.Event()
        self._fetcher = Fetcher(self)
        self._reader = RootReader(self)
        self._submitter = Submitter(self)
        self._confirmed = False
        self._retained_digests: list[set[bytes]] = []

    # Public interface (section 9 of the design).

    @property
    def index(self) -> ManifestIndex | None:
        """Return the manifest in force with its lookup tables."""
        return self.ledger.index

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self.ledger.version

    @property
    def highest_known(self) -> int:
        """Return the highest version that this instance has learned of."""
        return self.ledger.highest_known

    def fresh(self) -> bool:
        """Return whether the configuration is fresh enough to decide about keys."""
        return self.ledger.index is not None and self._freshness_rule() is not None

    async def submit(
        self, text: str, base_version: int, wait_seconds: float = 8.0
    ) -> Submission:
        """Submit a manifest.

        :param text: JSON with comments.
        :param base_version: the version that the manifest is based on.
        :param wait_seconds: maximum time to wait until it is in force everywhere.
        :returns: the state of the new version once it is in force everywhere or the
            wait has timed out.
        :raises ManifestError: with every error of the manifest; nothing was written.
        :raises ConflictError: if another version is newest; nothing was written.
        :raises SubmissionError: if KV is not available; nothing is in force.
        :raises OutcomeUnknownError: if KV failed before the outcome was known.
        """
        return await self._submitter.submit(text, base_version, wait_seconds)

    def in_force_by_instance(self) -> dict[str, int | None]:
        """Return the version in force at each listed instance, ``None`` if not known.

        Of other zones in a large system, only a summary is known. Their instances are
        listed with a version only if all of them run it.
        """
        book = self.membership.book
        versions: dict[str, int | None] = {}
        for zone, members in book.roster.listed_by_zone().items():
            if book.detailed(zone):
                versions |= {m.instance_id: m.version or None for m in members}
                continue
            summary = book.summaries_by_hash.get(hash_name(zone))
            complete = summary is not None and summary.current >= len(members)
            common_version = summary.version if complete else None
            versions |= {member.instance_id: common_version for member in members}
        return versions

    # Implementation of ``VersionSource``, used by the beats.

    def newest_read(self) -> tuple[int, float]:
        """Return the newest KV read known: its version and when it began."""
        return self.freshness.newest_read()

    def receive_kv_read(self, version: int, begun_at: float) -> bool:
        """Record a KV read that a peer relayed; return whether it is newer."""
        return self.record_kv_read(version, begun_at)

    def receive_versions(self, highest: int, instance_id: str, in_force: int) -> None:
        """Process the versions that a peer knows and runs."""
        if in_force > self.version:
            self._fetcher.add_source(instance_id)
        if self.ledger.record_known(highest) or in_force > self.version:
            self._fetcher.wake()

    def member_version_increased(self) -> None:
        """Process an increase of a member's version."""
        self.versions_changed.set()

    def part(self, digest: bytes) -> bytes | None:
        """Return a part of the configuration, ``None`` if it is not stored."""
        return self.store.get(digest)

    def root(self, above_version: int) -> tuple[int, bytes]:
        """Return the version in force and its root, empty if not above a version."""
        root = self.ledger.root
        if root is None or root.version <= above_version:
            return self.version, b""
        return root.version, encode_root(root)

    # Used by the other modules of this extension.

    def record_kv_read(self, version: int, begun_at: float) -> bool:
        """Record a read of the root from KV, by this instance or a peer.

        :param begun_at: the read began no earlier than this.
        :returns: whether it is newer than the reads of this version known so far.
        """
        if self.ledger.record_known(version):
            self._fetcher.wake()
        return self.freshness.record_read(version, begun_at, self.ledger.highest_known)

    def learn_root(self, root: Root) -> None:
        """Process a root that was read from or written to KV."""
        self._fetcher.add_root(root)
        self.ledger.record_known(root.version)
        if root.version > self.version:
            self._fetcher.wake()

    def apply(self, root: Root, manifest: Manifest) -> None:
        """Put a version in force unless the current one is at least as new."""
        if not self.ledger.apply(root, manifest):
            return
        self._retain_parts(root)
        log_event("configuration_in_force", version=root.version, base=root.base)
        self.membership.set_own_version(self.version, self._confirmed)
        self.app.emit("manifest-changed", self.ledger.index)
        self.versions_changed.set()

    def forget_evidence(self) -> None:
        """Discard the evidence of freshness after the process was paused."""
        self.freshness.clear()
        self._reader.request_read()

    async def start(self) -> None:
        """Start the tasks."""
        self.membership = self.app.service("membership")
        self.kv = self.app.service("kv")
        self.membership.set_version_source(self)
        supervise = self.app.supervise
        supervise(self._reader.run_watch, "configuration watch")
        supervise(self._reader.run_confirmations, "configuration confirmation")
        supervise(self._fetcher.run, "configuration fetch")
        supervise(self._monitor_freshness, "configuration freshness")

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        version, read_at = self.freshness.newest_read()
        now = self.clock.monotonic()
        return {
            "version": self.version,
            "highest_known": self.highest_known,
            "fresh": self.fresh(),
            "rule": self._freshness_rule(),
            "confirmed": self._confirmed,
            "kv_read_version": version,
            "kv_read_age": round(now - read_at, 3) if version else None,
            "parts": len(self.store),
            "fetches": dict(self._fetcher.counts),
            "in_force_by_instance": self.in_force_by_instance(),
        }

    def _freshness_rule(self) -> str | None:
        """Return the rule that makes this instance fresh, ``None`` if it is not."""
        self.membership.check_pause()
        now = self.clock.monotonic()
        if self.freshness.is_fresh_by_kv(self.version, now):
            rule = "kv"
        elif self._confirmed_by_majority(now):
            rule = "majority"
        else:
            return None
        if not self._confirmed:
            self._confirmed = True
            self.membership.set_own_version(self.version, True)
        return rule

    def _confirmed_by_majority(self, now: float) -> bool:
        if not self.membership.roster_known:
            return False
        book = self.membership.book
        confirmed = book.count_confirmed(now, self.freshness.bound_seconds)
        listed = len(book.roster.listed())
        return self.freshness.is_fresh_by_majority(
            self.version, self.highest_known, confirmed, listed
        )

    async def _monitor_freshness(self) -> None:
        """Check freshness periodically, so that it is confirmed without a request."""
        was_fresh = None
        while True:
            is_fresh = self._freshness_rule() is not None
            if is_fresh != was_fresh:
                level = "INFO" if is_fresh else "WARNING"
                log_event("freshness", level=level, fresh=is_fresh)
            was_fresh = is_fresh
            await asyncio.sleep(self.app.settings.timing.beat_seconds)

    def _retain_parts(self, root: Root) -> None:
        """Retain the parts of this and the previous version, which peers may fetch."""
        self._retained_digests.append(set(root.digests_by_name().values()))
        del self._retained_digests[:-2]
        self.store.retain(set().union(*self._retained_digests))
