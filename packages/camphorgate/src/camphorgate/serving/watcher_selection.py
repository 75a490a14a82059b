"""Selection of the instances that watch the platform's store themselves.

In fleets of hundreds of instances, notifying each of them of a change costs the store
as many calls. Instead, a few watchers in each availability zone watch the store and
forward changes to the other instances of their zone. All instances compute the same
hash order of their zone to select the watchers, so no agreement is needed: instances
with different views of their peers cause at worst one watcher too many.
"""

from collections.abc import Iterable

import xxhash

# One watcher may be paused, disconnected or rejected while the other continues.
WATCHERS_PER_ZONE = 2
# An instance that received no message of a sound watcher for this long lost contact.
# Watchers send to every instance of their zone more than twice in this time.
MAX_WATCHER_SILENCE_SECONDS = 1.0
# Instances replace missing watchers one by one at this interval. The first read of the
# store and the message that announces it take less time.
TAKEOVER_INTERVAL_SECONDS = 0.15
# A watcher that was replaced continues for this long, so that a short pause of its
# replacements does not leave the zone without a watcher.
REPLACED_GRACE_SECONDS = 3.0
# A peer from which nothing was received for this long is not considered live.
MAX_PEER_SILENCE_SECONDS = 3.0


class WatcherSelection:
    """Tracks the watchers of this instance's zone."""

    __slots__ = (
        "_own",
        "_listed",
        "_received_at_by_instance",
        "_sound_at_by_instance",
        "_unsound_at",
        "_missing_since",
        "_spare_since",
    )

    def __init__(self, own: str) -> None:
        """Initialize without peers.

        :param own: name of this instance.
        """
        self._own = own
        self._listed: frozenset[str] = frozenset()
        self._received_at_by_instance: dict[str, float] = {}
        self._sound_at_by_instance: dict[str, float] = {}
        self._unsound_at = float("-inf")
        self._missing_since: float | None = None
        self._spare_since: float | None = None

    def set_listed(self, instances: Iterable[str]) -> None:
        """Set the names of the zone's instances that the store lists."""
        self._listed = frozenset(instances)

    def receive_state(
        self, instance: str, watching: bool, sound: bool, now: float
    ) -> None:
        """Record a message from an instance of the zone.

        :param watching: whether it watches the store itself.
        :param sound: whether the store answers it, if it is watching.
        """
        self._received_at_by_instance[instance] = now
        if watching and sound:
            self._sound_at_by_instance[instance] = now
            return
        self._sound_at_by_instance.pop(instance, None)
        if watching:
            self._unsound_at = now

    def in_contact(self, now: float) -> bool:
        """Return whether a message of a sound watcher was received recently."""
        return bool(self._sound_watchers(now))

    def assigned_peers(self, peers: list[str], now: float) -> list[str]:
        """Return the peers to which this watcher forwards changes.

        Each peer is assigned to the first watcher in a hash order that is specific to
        the peer. The first live watcher in that order forwards to the peer even if it
        does not know all others. A peer whose watcher is gone notices from the states
        of other instances that it is behind.
        """
        watchers = {*self._sound_watchers(now), self._own}
        return [
            peer
            for peer in peers
            if self._own == max(watchers, key=lambda name: _order_key(f"{name}/{peer}"))
        ]

    def broadcast_turn(self, now: float) -> int:
        """Return the turn in which this watcher broadcasts a configuration.

        The first watchers of the zone's order have turn 0. The others take one turn
        each, as many instances watch the store during an outage, and each would send to
        the whole zone.
        """
        preceding = self._before_own(self._sound_watchers(now))
        return max(0, len(preceding) - WATCHERS_PER_ZONE + 1)

    def store_lost_recently(self, now: float) -> bool:
        """Return whether a watcher recently lost the store, not just fell silent."""
        return now - self._unsound_at < MAX_PEER_SILENCE_SECONDS

    def rank(self, now: float) -> int:
        """Return how many instances of the zone precede this one in its order."""
        return len(self._preceding(now))

    def may_yield(self, now: float) -> bool:
        """Return whether another instance watches, and this one is not elected.

        If too few watch, it takes its turn again.
        """
        return self.rank(now) >= WATCHERS_PER_ZONE and self.in_contact(now)

    def is_candidate(self, now: float) -> bool:
        """Return whether this instance is one of the first in its zone's order."""
        return len(self._preceding(now)) < 2 * WATCHERS_PER_ZONE

    def should_watch(self, watching: bool, now: float) -> bool:
        """Return whether this instance should watch the store itself.

        :param watching: whether it watches the store now.
        """
        sound = self._sound_watchers(now)
        preceding = self._preceding(now)
        if len(sound & preceding) >= WATCHERS_PER_ZONE:
            return self._needed_as_spare(watching, now)
        self._spare_since = None
        if watching or len(preceding) < WATCHERS_PER_ZONE:
            self._missing_since = None
            return True
        if len(sound) >= WATCHERS_PER_ZONE:
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = now
        turn = len(preceding) - WATCHERS_PER_ZONE
        return now - self._missing_since >= turn * TAKEOVER_INTERVAL_SECONDS

    def _needed_as_spare(self, watching: bool, now: float) -> bool:
        self._missing_since = None
        if not watching:
            return False
        if self._spare_since is None:
            self._spare_since = now
        return now - self._spare_since < REPLACED_GRACE_SECONDS

    def _sound_watchers(self, now: float) -> set[str]:
        return {
            instance
            for instance, received_at in self._sound_at_by_instance.items()
            if now - received_at < MAX_WATCHER_SILENCE_SECONDS
        }

    def _preceding(self, now: float) -> set[str]:
        """Return the instances of the zone that precede this one in its order."""
        return self._before_own(self._present(now))

    def _before_own(self, names: set[str]) -> set[str]:
        """Return those of some instances that precede this one in the zone's order."""
        own = _order_key(self._own)
        return {name for name in names if _order_key(name) < own}

    def _present(self, now: float) -> set[str]:
        """Return the instances that are heard, or listed and not known to be gone.

        The list still has an instance for many seconds after it was killed. One that
        was heard before and is silent now is gone, unless most of the others are silent
        as well: then it is this instance that hears nobody.
        """
        heard = {
            instance
            for instance, received_at in self._received_at_by_instance.items()
            if now - received_at < MAX_PEER_SILENCE_SECONDS
        }
        if 2 * len(heard) < len(self._listed - {self._own}):
            return self._listed | heard
        return self._listed - self._received_at_by_instance.keys() | heard


def first_in_zone(instances: Iterable[str]) -> list[str]:
    """Return the instances of a zone that watch the store if all of them work."""
    return sorted(instances, key=_order_key)[:WATCHERS_PER_ZONE]


def _order_key(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"watch/{instance}".encode())
