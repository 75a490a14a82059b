"""The upstreams that may be used, through outages of the platform's list."""

import hashlib
from collections.abc import Iterable
from enum import Enum

import msgspec

from camphorgate.serving.catalog import Upstream

# Entries that lapsed in an outage return within about 2 s of its end (users' bound).
RETURN_SECONDS = 2.0
# Doubted entries take requests only where they are more than this part of a service's
# entries. A few that vanish mostly left, and the others can carry their load; when most
# vanish at once, they lapsed, and refusing everyone would be worse.
DOUBTED_PART = 0.5

# Removals that are remembered, so that a late message does not bring an entry back; a
# fleet loses fewer upstreams within the time that messages take.
MOST_REMOVALS = 500


class Removal(Enum):
    """What came of a removal."""

    STALE = "stale"
    DOUBTED = "doubted"
    DROPPED = "dropped"


class UpstreamTable:
    """Merges entries by revision; an entry never goes back to an older one.

    An entry that vanishes while the list itself is disturbed may have lapsed or left.
    It is kept until the list has been sound for :data:`RETURN_SECONDS`, as it may
    return, and takes no new requests meanwhile unless most of its service vanished.
    """

    __slots__ = (
        "by_id",
        "revision",
        "_doubtful_by_id",
        "_new_doubts",
        "_removed_by_id",
        "_unsure_ids",
        "_left_starts_by_id",
        "_changed_ids",
        "_digest",
        "_usable_by_service",
        "_usable_starts_by_service",
    )

    def __init__(self) -> None:
        """Start without upstreams."""
        self.by_id: dict[str, Upstream] = {}
        self.revision = 0
        self._doubtful_by_id: dict[str, tuple[int, float]] = {}
        self._new_doubts: set[str] = set()
        self._removed_by_id: dict[str, int] = {}
        # Those of them that only a peer that doubted them told of.
        self._unsure_ids: set[str] = set()
        # Starts of upstreams that said in an answer that they leave.
        self._left_starts_by_id: dict[str, int] = {}
        self._changed_ids: set[str] = set()
        self._digest = ""
        self._usable_by_service: dict[str, list[Upstream]] = {}
        self._usable_starts_by_service: dict[str, set[tuple[str, int]]] = {}

    def put(self, upstream: Upstream) -> bool:
        """Take an entry.

        :returns: whether it is news.
        """
        known = self.by_id.get(upstream.id)
        if known is not None and (
            known.revision >= upstream.revision
            or known.started_at > upstream.started_at
        ):
            return False
        if self._removed_by_id.get(upstream.id, 0) >= upstream.revision:
            return False
        self._removed_by_id.pop(upstream.id, None)
        self._unsure_ids.discard(upstream.id)
        self._doubtful_by_id.pop(upstream.id, None)
        if self._left_starts_by_id.get(upstream.id) == upstream.started_at:
            upstream = msgspec.structs.replace(upstream, leaving=True)
        self.by_id[upstream.id] = upstream
        self.revision = max(self.revision, upstream.revision)
        self._changed(upstream.id)
        return True

    def remove(
        self, upstream_id: str, revision: int, now: float, sound: bool
    ) -> Removal:
        """Take a removal.

        :param revision: of the removal.
        :param sound: whether the list has been undisturbed lately.
        :returns: ``STALE`` if no entry is affected.
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
            # An older entry may still arrive, but nobody may take this for certain.
            if upstream_id not in self._removed_by_id:
                self._unsure_ids.add(upstream_id)
            self._remember_removal(upstream_id, revision)
            return Removal.STALE
        self._drop(upstream_id, revision)
        return Removal.STALE if known is None else Removal.DROPPED

    def leave(self, incarnation: tuple[str, int]) -> bool:
        """Take an upstream's own word that it leaves.

        It holds against every entry of the same start, and ends with another start.

        :returns: whether it is news.
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

    def replace(
        self, upstreams: Iterable[Upstream], revision: int, now: float, sound: bool
    ) -> dict[str, Removal]:
        """Take a complete list; what is missing from it counts as removed.

        :param revision: at which the list was read; an older list than the table is
            ignored.
        :returns: what came of each removal, by id.
        """
        if revision < self.revision:
            return {}
        listed = set()
        for upstream in upstreams:
            listed.add(upstream.id)
            self.put(upstream)
        removals_by_id = {
            upstream_id: self.remove(upstream_id, revision, now, sound)
            for upstream_id in self.by_id.keys() - listed
        }
        self.revision = max(self.revision, revision)
        return removals_by_id

    def settle(self, now: float, sound_since: float | None) -> list[str]:
        """Drop doubtful entries once the list has been sound for long enough.

        :param sound_since: when the last disturbance ended, ``None`` during one.
        :returns: the ids that were dropped.
        """
        if sound_since is None:
            return []
        dropped = [
            upstream_id
            for upstream_id, (_, since) in self._doubtful_by_id.items()
            if now - max(since, sound_since) >= RETURN_SECONDS
        ]
        for upstream_id in dropped:
            self._drop(upstream_id, self._doubtful_by_id[upstream_id][0])
        return dropped

    def doubted(self, upstream_id: str) -> bool:
        """Tell whether an entry is missing from the list, but may come back."""
        return upstream_id in self._doubtful_by_id

    def doubts(self) -> list[tuple[str, int]]:
        """Return the doubted entries as pairs of id and revision of the removal."""
        return [
            (upstream_id, revision)
            for upstream_id, (revision, _) in self._doubtful_by_id.items()
        ]

    def take_doubts(self) -> list[tuple[str, int]]:
        """Return the doubts since the last call that still stand, and forget them."""
        new, self._new_doubts = self._new_doubts, set()
        return [pair for pair in self.doubts() if pair[0] in new]

    def removals_of(self, upstream_ids: Iterable[str]) -> list[tuple[str, int]]:
        """Return those of some upstreams that are certainly gone, with the revision."""
        return [
            (upstream_id, self._removed_by_id[upstream_id])
            for upstream_id in upstream_ids
            if upstream_id in self._removed_by_id
            and upstream_id not in self._unsure_ids
        ]

    def take_changes(self) -> tuple[list[Upstream], list[tuple[str, int]]]:
        """Return what changed since the last call, and forget it.

        :returns: the entries as they are now, and id and revision of those removed.
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
        """Return a digest of what the table holds, for peers to compare."""
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
            sure = [item for item in listed if item.id not in self._doubtful_by_id]
            mostly_doubted = len(listed) - len(sure) > DOUBTED_PART * len(listed)
            usable = listed if mostly_doubted else sure
            self._usable_by_service[service] = usable
        return usable

    def takes_requests(self, upstream: Upstream) -> bool:
        """Tell whether a start of an upstream still takes new requests."""
        starts = self._usable_starts_by_service.get(upstream.service)
        if starts is None:
            starts = {item.incarnation for item in self.usable(upstream.service)}
            self._usable_starts_by_service[upstream.service] = starts
        return upstream.incarnation in starts

    def _drop(self, upstream_id: str, revision: int) -> None:
        self._doubtful_by_id.pop(upstream_id, None)
        self.by_id.pop(upstream_id, None)
        self._unsure_ids.discard(upstream_id)
        self._remember_removal(upstream_id, revision)
        self._changed(upstream_id)

    def _remember_removal(self, upstream_id: str, revision: int) -> None:
        known = self._removed_by_id.pop(upstream_id, 0)
        self._removed_by_id[upstream_id] = max(known, revision)
        _forget_oldest(self._removed_by_id)
        if len(self._unsure_ids) > MOST_REMOVALS:
            self._unsure_ids &= self._removed_by_id.keys()

    def _changed(self, upstream_id: str) -> None:
        self._changed_ids.add(upstream_id)
        self._forget_derived()

    def _forget_derived(self) -> None:
        self._digest = ""
        self._usable_by_service.clear()
        self._usable_starts_by_service.clear()


def _forget_oldest(remembered_by_id: dict[str, int]) -> None:
    """Keep no more than :data:`MOST_REMOVALS`."""
    if len(remembered_by_id) > MOST_REMOVALS:
        del remembered_by_id[next(iter(remembered_by_id))]
