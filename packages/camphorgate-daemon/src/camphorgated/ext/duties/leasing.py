"""The key-value lease that all duties of this process share."""

from typing import Any

from camphorgate.clock import Clock
from camphorgate.kv.errors import KvError

# A lease confirmed within this time is not renewed before another duty is acquired:
# at start many duties are acquired in a row, and one renewal covers them all.
RENEWAL_REUSE_SECONDS = 1.0


class SharedLease:
    """A single lease, so that one call renews any number of duties."""

    __slots__ = ("id", "sent_at", "_kv", "_clock", "_ttl_seconds")

    def __init__(self, kv: Any, clock: Clock, ttl_seconds: float) -> None:
        """Start without a lease."""
        self.id = 0
        # Monotonic time just before the last confirmed grant or renewal was sent.
        self.sent_at = 0.0
        self._kv = kv
        self._clock = clock
        self._ttl_seconds = int(ttl_seconds)

    async def ensure(self) -> bool:
        """Grant or renew the lease unless it was confirmed recently.

        :returns: false if the lease could not be renewed.
        :raises KvError: if the key-value service does not answer a grant.
        """
        if self.id and self._clock.monotonic() - self.sent_at < RENEWAL_REUSE_SECONDS:
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
        """Renew the lease; ``id`` becomes 0 if it has expired.

        :returns: false if the key-value service did not answer.
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
        """Stop renewing the lease.

        It expires together with any key that a late write still attaches to it.
        """
        self.id = 0
