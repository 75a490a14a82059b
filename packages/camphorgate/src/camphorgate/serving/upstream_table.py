"""The upstreams that may be used, through outages of the platform's list."""

import hashlib
from collections.abc import Iterable

from camphorgate.serving.catalog import Upstream

# Entries that lapsed in an outage return within about 2 s of its end (users' bound).
RETURN_SECONDS = 2.0


class UpstreamTable:
    """Merges entries by revision; an entry never goes back to an older one.

    An entry that vanishes while the list itself is disturbed is kept until the list
    has been sound for :data:`RETURN_SECONDS`.
    """

    __slots__ = ("by_id", "revision", "_doubtful_by_id")

    def __init__(self) -> None:
        """Start without upstreams."""
        self.by_id: dict[str, Upstream] = {}
        self.revision = 0
        self._doubtful_by_id: dict[str, tuple[int, float]] = {}

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
        self._doubtful_by_id.pop(upstream.id, None)
        self.by_id[upstream.id] = upstream
        self.revision = max(self.revision, upstream.revision)
        return True

    def remove(self, upstream_id: str, revision: int, now: float, sound: bool) -> None:
        """Take a removal.

        :param revision: of the removal.
        :param sound: whether the list has been undisturbed lately.
        """
        known = self.by_id.get(upstream_id)
        if known is not None and known.revision > revision:
            return
        self.revision = max(self.revision, revision)
        if known is not None and not sound and not known.leaving:
            self._doubtful_by_id.setdefault(upstream_id, (revision, now))
            return
        self._drop(upstream_id)

    def replace(
        self, upstreams: Iterable[Upstream], revision: int, now: float, sound: bool
    ) -> None:
        """Take a complete list; what is missing from it counts as removed.

        :param revision: at which the list was read; an older list than the table is
            ignored.
        """
        if revision < self.revision:
            return
        listed = set()
        for upstream in upstreams:
            listed.add(upstream.id)
            self.put(upstream)
        for upstream_id in self.by_id.keys() - listed:
            self.remove(upstream_id, revision, now, sound)
        self.revision = max(self.revision, revision)

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
            self._drop(upstream_id)
        return dropped

    def digest(self) -> str:
        """Return a digest of what the table holds, for peers to compare."""
        rows = sorted((item.id, item.revision) for item in self.by_id.values())
        return hashlib.blake2b(repr(rows).encode(), digest_size=8).hexdigest()

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new requests."""
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.service == service and not upstream.leaving
        ]

    def _drop(self, upstream_id: str) -> None:
        self._doubtful_by_id.pop(upstream_id, None)
        self.by_id.pop(upstream_id, None)
