"""Decides when an instance may call a store in trouble.

Load addressed: 87 instances whose store answers busy for 8 s, then resets connections
for 4 s. Each instance renewed its lease every 0.33 s and opened three watches a second,
which made four times the calls of calm days.

After a failed call, an instance sends only single probes, with exponential back-off and
jitter. The instances that watch for their zone probe often, as a change after the
trouble depends on them. The others probe about as often as they renew their leases in
calm, and sooner once they are in contact with a watcher that the store answers: then
they spread their calls, so that coming back is not a flood.
"""

import random
from enum import Enum

from camphorgate.kv.rate_limit import Backoff

# Bounds of the time between the instances' calls once the store is back, so that 87
# instances make 33 calls a second, half of those of calm, besides the watchers.
SPREAD_SECONDS_PER_INSTANCE = 0.03
MIN_SPREAD_SECONDS = 0.5
MAX_SPREAD_SECONDS = 4.0
# Another probe may go while one has no response for this long; a slow store answers
# within 0.2 s. Watchers do so as the connection of a probe may be silent.
SLOW_PROBE_SECONDS = 0.3


def spread_seconds(instances: int) -> float:
    """Return over how many seconds all instances spread one call each."""
    spread = instances * SPREAD_SECONDS_PER_INSTANCE
    return min(MAX_SPREAD_SECONDS, max(MIN_SPREAD_SECONDS, spread))


class Role(Enum):
    """What an instance is to its zone, with the delays between its probes.

    The values are the first and the longest delay in seconds, before jitter of 0.5 to
    1.
    """

    # The first two of a zone's order, and the holder of the duty. A new era is detected
    # within 0.5 s.
    WATCHER = (0.1, 0.5)
    # The two that replace them.
    SUBSTITUTE = (0.2, 1.0)
    # In calm, an instance makes a call every 2 to 3 s.
    FOLLOWER = (4.0, 4.0)


class StoreCalls:
    """Admits the calls of one instance; every time is of a steady clock."""

    __slots__ = (
        "refused",
        "_role",
        "_backoff",
        "_rng",
        "_closed",
        "_probing",
        "_next_probe_at",
        "_hurried",
    )

    def __init__(self, rng: random.Random) -> None:
        """Start with a store that answers."""
        # Calls that were not sent.
        self.refused = 0
        self._rng = rng
        self._role = Role.WATCHER
        self._backoff = Backoff(*Role.WATCHER.value, rng)
        self._closed = False
        self._probing = False
        self._next_probe_at = 0.0
        self._hurried = False

    @property
    def closed(self) -> bool:
        """Return whether only probes are sent."""
        return self._closed

    def set_role(self, role: Role, now: float) -> None:
        """Set the role, which bounds the delay until the next probe."""
        if role is self._role:
            return
        self._role = role
        self._backoff.initial_seconds, self._backoff.max_seconds = role.value
        latest = now + self._backoff.max_seconds
        self._next_probe_at = min(self._next_probe_at, latest)

    def admit(self, now: float) -> bool:
        """Return whether a call may be sent; after a failure it counts as the probe."""
        if not self._closed:
            return True
        if now < self._next_probe_at:
            self.refused += 1
            return False
        wait = self._backoff.max_seconds
        if self._role is not Role.FOLLOWER:
            wait = min(wait, SLOW_PROBE_SECONDS)
        self._next_probe_at = now + wait
        self._probing = True
        return True

    def record_success(self) -> None:
        """Record a response of the store other than a refusal by load."""
        self._closed = self._probing = self._hurried = False
        self._backoff.record_success()

    def record_failure(self, now: float) -> None:
        """Record a call that was refused by load, or got no response."""
        if self._closed and not self._probing:
            # One of the calls that were on their way when the first one failed.
            return
        self._closed, self._probing = True, False
        self._next_probe_at = now + self._backoff.record_failure()

    def mark_doubtful(self, now: float) -> None:
        """Send a single probe first, as the watchers of the zone lost the store."""
        if not self._closed:
            self._closed = True
            self._next_probe_at = now

    def mark_answering(self, instances: int, now: float) -> None:
        """Probe soon, as the store answers a watcher of the zone.

        It has this effect once; if the store still refuses this instance, the usual
        delays hold.
        """
        if not self._closed or self._hurried:
            return
        self._hurried = True
        soon = now + self._rng.uniform(0.0, spread_seconds(instances))
        self._next_probe_at = min(self._next_probe_at, soon)
