"""Which instances follow the platform's store themselves.

Answers fleets of hundreds of instances, where a change that the store tells each of
them is as many calls. A few watchers in each availability zone follow the store and
tell the others of their zone. Who they are follows from an order of the zone's
instances that all of them compute alike, so nothing has to be agreed on: two instances
that see different peers are at worst one watcher too many.
"""

from collections.abc import Iterable

import xxhash

# One watcher may be paused, cut off or turned away while the other goes on.
WATCHERS_PER_ZONE = 2
# An instance that no sound watcher told anything for this long has lost touch. Watchers
# tell every instance of their zone more than twice in this time.
TOUCH_SECONDS = 1.0
# Instances take the place of missing watchers one after the other, this far apart; the
# first read of the store and the word of it take less.
TURN_SECONDS = 0.15
# A watcher that others replace goes on this long, so that a short pause of theirs does
# not leave the zone without one.
KEEP_SECONDS = 3.0
# A peer that was not heard for this long is not counted on.
LIVE_SECONDS = 3.0


class Relay:
    """What one instance knows of the watchers of its zone."""

    __slots__ = (
        "_own",
        "_listed",
        "_heard_at_by_instance",
        "_sound_at_by_instance",
        "_unsound_at",
        "_missing_since",
        "_spare_since",
    )

    def __init__(self, own: str) -> None:
        """Start without peers.

        :param own: name of this instance.
        """
        self._own = own
        self._listed: frozenset[str] = frozenset()
        self._heard_at_by_instance: dict[str, float] = {}
        self._sound_at_by_instance: dict[str, float] = {}
        self._unsound_at = float("-inf")
        self._missing_since: float | None = None
        self._spare_since: float | None = None

    def listed(self, instances: Iterable[str]) -> None:
        """Take the names of the zone's instances that the store lists."""
        self._listed = frozenset(instances)

    def hear(self, instance: str, watching: bool, sound: bool, now: float) -> None:
        """Note that an instance of the zone was heard.

        :param watching: whether it follows the store itself.
        :param sound: whether the store answers it, if it does.
        """
        self._heard_at_by_instance[instance] = now
        if watching and sound:
            self._sound_at_by_instance[instance] = now
            return
        self._sound_at_by_instance.pop(instance, None)
        if watching:
            self._unsound_at = now

    def in_touch(self, now: float) -> bool:
        """Tell whether a sound watcher was heard lately."""
        return bool(self._sound_watchers(now))

    def share(self, peers: list[str], now: float) -> list[str]:
        """Return the peers that this watcher tells of a change; others tell the rest.

        Each peer belongs to the watcher that comes first for it. Whatever watchers know
        of each other, the first of all that live tells it. A peer whose watcher is gone
        notices that it knows less than another one.
        """
        watchers = {*self._sound_watchers(now), self._own}
        return [
            peer
            for peer in peers
            if self._own == max(watchers, key=lambda name: _place(f"{name}/{peer}"))
        ]

    def doubtful(self, now: float) -> bool:
        """Tell whether a watcher lately lost the store, rather than fell silent."""
        return now - self._unsound_at < LIVE_SECONDS

    def elected(self, now: float) -> bool:
        """Tell whether this instance is one of the first in its zone's order."""
        return len(self._ahead(now)) < 2 * WATCHERS_PER_ZONE

    def needed(self, watching: bool, now: float) -> bool:
        """Tell whether this instance should follow the store itself.

        :param watching: whether it does so now.
        """
        sound = self._sound_watchers(now)
        ahead = self._ahead(now)
        if len(sound & ahead) >= WATCHERS_PER_ZONE:
            return self._while_spare(watching, now)
        self._spare_since = None
        if watching or len(ahead) < WATCHERS_PER_ZONE:
            return True
        if len(sound) >= WATCHERS_PER_ZONE:
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = now
        turn = len(ahead) - WATCHERS_PER_ZONE
        return now - self._missing_since >= turn * TURN_SECONDS

    def _while_spare(self, watching: bool, now: float) -> bool:
        self._missing_since = None
        if not watching:
            return False
        if self._spare_since is None:
            self._spare_since = now
        return now - self._spare_since < KEEP_SECONDS

    def _sound_watchers(self, now: float) -> set[str]:
        return {
            instance
            for instance, heard_at in self._sound_at_by_instance.items()
            if now - heard_at < TOUCH_SECONDS
        }

    def _ahead(self, now: float) -> set[str]:
        """Return the instances of the zone that come before this one."""
        heard = {
            instance
            for instance, heard_at in self._heard_at_by_instance.items()
            if now - heard_at < LIVE_SECONDS
        }
        own = _place(self._own)
        return {name for name in self._listed | heard if _place(name) < own}


def _place(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"watch/{instance}".encode())
