"""The key-value lease of this process, which all its duties share."""

from typing import Any

from camphorgate.clock import Clock
from camphorgate.kv.errors import KvError

# A start takes many duties one after the other; one renewal serves them all.
RECENT_SECONDS = 1.0


class SharedLease:
    """One lease, so that renewing costs one call for any number of duties."""

    __slots__ = ("id", "sent_at", "_kv", "_clock", "_ttl_seconds")

    def __init__(self, kv: Any, clock: Clock, ttl_seconds: float) -> None:
        """Start without a lease."""
        self.id = 0
        # When the last confirmed grant or renewal was about to be sent.
        self.sent_at = 0.0
        self._kv = kv
        self._clock = clock
        self._ttl_seconds = int(ttl_seconds)

    async def ensure(self) -> bool:
        """Have a lease that was granted or renewed a moment ago.

        :raises KvError: if the service does not answer.
        """
        if self.id and self._clock.monotonic() - self.sent_at < RECENT_SECONDS:
            return True
        if self.id and await self.renew() and self.id:
            return True
        if self.id:
            return False
        sent_at = self._clock.monotonic()
        self.id = await self._kv.grant(self._ttl_seconds)
        self.sent_at = sent_at
        return True

    async def renew(self) -> bool:
        """Renew the lease; ``id`` is 0 afterwards if it has ended.

        :returns: false if no answer came.
        """
        sent_at = self._clock.monotonic()
        lease = self.id
        try:
            ttl = await self._kv.renew(lease)
        except KvError:
            return False
        if self.id != lease:
            return True
        if ttl is None:
            self.id = 0
        else:
            self.sent_at = max(self.sent_at, sent_at)
        return True

    def abandon(self) -> None:
        """Let the lease lapse, with all that a late write may still attach to it."""
        self.id = 0
