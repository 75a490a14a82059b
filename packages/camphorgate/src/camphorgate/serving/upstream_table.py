"""Table of usable upstreams that tolerates outages of the platform's list."""

import hashlib
from collections.abc import Iterable
from enum import Enum

import msgspec

from camphorgate.serving.catalog import Upstream
from camphorgate.serving.store_eras import is_newer_era

# Entries that lapsed in an outage return within about 2 s of its end (bound given by
# the users).
LAPSED_ENTRY_GRACE_SECONDS = 2.0
# Doubted entries take requests only if they exceed this fraction of a service's
# entries. If a few vanish, they probably left, and the others can carry their load. If
# most vanish at once, they lapsed, and refusing all requests would be worse.
DOUBTED_FRACTION = 0.5

# Number of remembered removals, which keep a late message from restoring an entry. A
# fleet loses fewer upstreams than this within the delay of messages.
MAX_REMEMBERED_REMOVALS = 500


class Removal(Enum):
    """Result of a removal."""

    STALE = "stale"
    DOUBTED = "doubted"
    DROPPED = "dropped"


class UpstreamTable:
    """Merges entries by revision; an entry never reverts to an older revision.

    An entry that vanishes during a disturbance of the list may have lapsed or left. As
    it may return, it is kept until the list has been sound for
    :data:`LAPSED_ENTRY_GRACE_SECONDS`. Until then it takes no new requests unless most
    entries of its service vanished.
    """

    __slots__ = (
        "by_id",
        "revision",
        "_doubtful_by_id",
        "_new_doubts",
        "_removed_by_id",
        "_removed_starts_by_id",
        "_unconfirmed_ids",
        "_left_starts_by_id",
        "_changed_ids",
        "_digest",
        "_usable_by_service",
        "_usable_incarnations_by_service",
    )

    def __init__(self) -> None:
        """Initialize an empty table."""
        self.by_id: dict[str, Upstream] = {}
        self.revision = 0
        self._doubtful_by_id: dict[str, tuple[int, float]] = {}
        self._new_doubts: set[str] = set()
        self._removed_by_id: dict[str, int] = {}
        # Start times of the removed incarnations.
        self._removed_starts_by_id: dict[str, int] = {}
        # Ids whose removal was reported only during disturbances of the list, for
        # example by a peer that doubted the entry.
        self._unconfirmed_ids: set[str] = set()
        # Start times of the newest incarnations that announced that they are leaving.
        self._left_starts_by_id: dict[str, int] = {}
        self._changed_ids: set[str] = set()
        self._digest = ""
        self._usable_by_service: dict[str, list[Upstream]] = {}
        self._usable_incarnations_by_service: dict[str, set[tuple[str, int]]] = {}

    def apply_entry(self, upstream: Upstream) -> bool:
        """Add or update an entry.

        :returns: whether the table changed.
        """
        known = self.by_id.get(upstream.id)
        if known is not None and (
            known.revision >= upstream.revision
            or known.started_at > upstream.started_at
        ):
            return False
        if self._removed_by_id.get(upstream.id, 0) >= upstream.revision:
            return False
        ended = self._ended_before_era(upstream, known)
        self._removed_by_id.pop(upstream.id, None)
        self._removed_starts_by_id.pop(upstream.id, None)
        self._unconfirmed_ids.discard(upstream.id)
        self._doubtful_by_id.pop(upstream.id, None)
        if ended:
            upstream = msgspec.structs.replace(upstream, leaving=True)
        if self._left_starts_by_id.get(upstream.id) == upstream.started_at:
            upstream = msgspec.structs.replace(upstream, leaving=True)
        self.by_id[upstream.id] = upstream
        self.revision = max(self.revision, upstream.revision)
        self._changed(upstream.id)
        return True

    def _ended_before_era(self, upstream: Upstream, known: Upstream | None) -> bool:
        """Return whether an incarnation had left or was removed in an older era.

        The first entry of a newer era may come from the copy of the list, so it is
        taken as leaving. One that the upstream has written again has a newer revision.
        """
        if known is not None:
            left = known.leaving and known.started_at >= upstream.started_at
            return left and is_newer_era(upstream.revision, known.revision)
        started_at = self._removed_starts_by_id.get(upstream.id)
        if started_at is None or started_at < upstream.started_at:
            return False
        removed_at = self._removed_by_id.get(upstream.id, upstream.revision)
        return is_newer_era(upstream.revision, removed_at)

    def apply_removal(
        self, upstream_id: str, revision: int, now: float, sound: bool
    ) -> Removal:
        """Apply a removal.

        An entry that is leaving is dropped even if the list was disturbed.

        :param revision: revision of the removal.
        :param sound: whether the list has been undisturbed recently.
        :returns: ``DROPPED`` if an entry was removed, ``DOUBTED`` if it is doubted from
            now on, ``STALE`` if no entry is affected.
        """
        known = self.by_id.get(upstream_id)
        if known is not None and known.revision > revision:
            return Removal.STALE
        self.revision = max(self.revision, revision)
        if known is not None and not sound and not known.leaving:
            if upstream_id in self._doubtful_by_id:
                return Removal.STALE
            self._doubtful_by_id[upstream_id] = (revision, now)
            self._new_doubts.add(upstream_id)
            self._forget_derived()
            return Removal.DOUBTED
        if known is None and not sound:
            # An older entry may still arrive, but the removal is not confirmed.
            if upstream_id not in self._removed_by_id:
                self._unconfirmed_ids.add(upstream_id)
            self._remember_removal(upstream_id, revision)
            return Removal.STALE
        self._drop(upstream_id, revision)
        return Removal.STALE if known is None else Removal.DROPPED

    def mark_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Mark an upstream as leaving by its own announcement.

        The announcement overrides every entry of the same incarnation and ends with the
        next incarnation.

        :returns: whether an entry of the table changed.
        """
        upstream_id, started_at = incarnation
        if self._left_starts_by_id.get(upstream_id, -1) >= started_at:
            return False
        self._left_starts_by_id.pop(upstream_id, None)
        self._left_starts_by_id[upstream_id] = started_at
        _forget_oldest(self._left_starts_by_id)
        known = self.by_id.get(upstream_id)
        if known is None or known.incarnation != incarnation or known.leaving:
            return False
        self.by_id[upstream_id] = msgspec.structs.replace(known, leaving=True)
        self._forget_derived()
        return True

    def apply_list(
        self, upstreams: Iterable[Upstream], revision: int, now: float, sound: bool
    ) -> dict[str, Removal]:
        """Apply a complete list; entries missing from it are removed.

        :param revision: revision at which the list was read; a list older than the
            table is ignored.
        :returns: the result of each removal by id.
        """
        if revision < self.revision:
            return {}
        listed = set()
        for upstream in upstreams:
            listed.add(upstream.id)
            self.apply_entry(upstream)
        removals_by_id = {
            upstream_id: self.apply_removal(upstream_id, revision, now, sound)
            for upstream_id in self.by_id.keys() - listed
        }
        self.revision = max(self.revision, revision)
        return removals_by_id

    def drop_lapsed(self, now: float, sound_since: float | None) -> list[str]:
        """Drop doubted entries once the list has been sound for long enough.

        :param sound_since: end of the last disturbance; ``None`` during one.
        :returns: the ids that were dropped.
        """
        if sound_since is None:
            return []
        dropped = [
            upstream_id
            for upstream_id, (_, since) in self._doubtful_by_id.items()
            if now - max(since, sound_since) >= LAPSED_ENTRY_GRACE_SECONDS
        ]
        for upstream_id in dropped:
            self._drop(upstream_id, self._doubtful_by_id[upstream_id][0])
        return dropped

    def is_doubted(self, upstream_id: str) -> bool:
        """Return whether an entry is missing from the list but may return."""
        return upstream_id in self._doubtful_by_id

    def doubted_entries(self) -> list[tuple[str, int]]:
        """Return the doubted entries as pairs of id and removal revision."""
        return [
            (upstream_id, revision)
            for upstream_id, (revision, _) in self._doubtful_by_id.items()
        ]

    def pop_new_doubts(self) -> list[tuple[str, int]]:
        """Return the entries doubted since the last call that still are, and reset."""
        new, self._new_doubts = self._new_doubts, set()
        return [pair for pair in self.doubted_entries() if pair[0] in new]

    def confirmed_removals(self, upstream_ids: Iterable[str]) -> list[tuple[str, int]]:
        """Return the confirmed removals among the given ids, with their revisions."""
        return [
            (upstream_id, self._removed_by_id[upstream_id])
            for upstream_id in upstream_ids
            if upstream_id in self._removed_by_id
            and upstream_id not in self._unconfirmed_ids
        ]

    def pop_changes(self) -> tuple[list[Upstream], list[tuple[str, int]]]:
        """Return the changes since the last call and reset them.

        :returns: the added or updated entries, and pairs of id and revision of the
            removed ones.
        """
        changed, self._changed_ids = sorted(self._changed_ids), set()
        present = [self.by_id[item] for item in changed if item in self.by_id]
        removed = [
            (item, self._removed_by_id[item])
            for item in changed
            if item in self._removed_by_id
        ]
        return present, removed

    def digest(self) -> str:
        """Return a digest of the table for comparison between peers."""
        if not self._digest:
            rows = sorted(
                (item.id, item.revision, item.id in self._doubtful_by_id)
                for item in self.by_id.values()
            )
            digest = hashlib.blake2b(repr(rows).encode(), digest_size=8)
            self._digest = digest.hexdigest()
        return self._digest

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new requests.

        :returns: a list that is shared between calls and must not be changed.
        """
        usable = self._usable_by_service.get(service)
        if usable is None:
            listed = [
                upstream
                for upstream in self.by_id.values()
                if upstream.service == service and not upstream.leaving
            ]
            confirmed = [item for item in listed if item.id not in self._doubtful_by_id]
            mostly_doubted = len(listed) - len(confirmed) > DOUBTED_FRACTION * len(
                listed
            )
            usable = listed if mostly_doubted else confirmed
            self._usable_by_service[service] = usable
        return usable

    def accepts_requests(self, upstream: Upstream) -> bool:
        """Return whether an incarnation of an upstream still takes new requests."""
        incarnations = self._usable_incarnations_by_service.get(upstream.service)
        if incarnations is None:
            incarnations = {item.incarnation for item in self.usable(upstream.service)}
            self._usable_incarnations_by_service[upstream.service] = incarnations
        return upstream.incarnation in incarnations

    def _drop(self, upstream_id: str, revision: int) -> None:
        self._doubtful_by_id.pop(upstream_id, None)
        known = self.by_id.pop(upstream_id, None)
        if known is not None:
            self._removed_starts_by_id.pop(upstream_id, None)
            self._removed_starts_by_id[upstream_id] = known.started_at
            _forget_oldest(self._removed_starts_by_id)
        self._unconfirmed_ids.discard(upstream_id)
        self._remember_removal(upstream_id, revision)
        self._changed(upstream_id)

    def _remember_removal(self, upstream_id: str, revision: int) -> None:
        known = self._removed_by_id.pop(upstream_id, 0)
        self._removed_by_id[upstream_id] = max(known, revision)
        _forget_oldest(self._removed_by_id)
        if len(self._unconfirmed_ids) > MAX_REMEMBERED_REMOVALS:
            self._unconfirmed_ids &= self._removed_by_id.keys()

    def _changed(self, upstream_id: str) -> None:
        self._changed_ids.add(upstream_id)
        self._forget_derived()

    def _forget_derived(self) -> None:
        self._digest = ""
        self._usable_by_service.clear()
        self._usable_incarnations_by_service.clear()


def _forget_oldest(remembered_by_id: dict[str, int]) -> None:
    """Evict the oldest item beyond :data:`MAX_REMEMBERED_REMOVALS`."""
    if len(remembered_by_id) > MAX_REMEMBERED_REMOVALS:
        del remembered_by_id[next(iter(remembered_by_id))]
