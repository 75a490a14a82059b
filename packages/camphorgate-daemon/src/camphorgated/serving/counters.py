"""Tells usage counters to the holder of the duty and to a few keepers.

Counters of an incarnation only rise, so a message may be lost, doubled or late; those
of incarnations that ended are told by whoever kept them.
"""

import math
import random

from camphorgate.application import Application
from camphorgated.serving.gossip import TICK_SECONDS
from camphorgated.serving.messages import Counters, split_counters
from camphorgated.serving.peers import in_turn

# Usage counters reach the holder of the duty at most this often in all, messages per
# second; the period of the instances follows from their number.
COUNTERS_PER_SECOND = 400.0
# Usage counters that are told in one tick, over all peers but the holder. Peers keep
# them in case this instance is killed.
MOST_COUNTERS_PER_TICK = 120
LEAST_KEEPERS = 2
# Unchanged counters are told again after this many ticks, as datagrams may be lost.
REPEAT_TICKS = 5
# Counters of incarnations that ended are told while their windows may be reported.
ORPHAN_SECONDS = 25.0
# Of these the holder hears so many per second from all instances together.
ORPHANS_PER_SECOND = 150.0
MOST_ORPHANS = 6


class CounterTelling:
    """Sends and merges usage counters."""

    __slots__ = ("_members", "_gossip", "_told_counts", "_random")

    def __init__(self, app: Application) -> None:
        """Tell counters at the ticks of the gossip."""
        self._members = app.service("members")
        self._gossip = app.service("gossip")
        self._told_counts: dict[int, dict[str, int]] = {}
        self._random = random.Random()
        self._gossip.hear(Counters, self._take)
        self._gossip.each_tick(self.tell)

    def tell(self, turn: int) -> None:
        """Tell the own counters, and some of instances that ended."""
        peers = self._gossip.near + self._gossip.far
        if not peers:
            return
        period = counter_ticks(len(peers) + 1)
        counts = self._gossip.usage.own_recent(self._gossip.true_now())
        repeated = turn % (period * REPEAT_TICKS) == 0
        if turn % period or (counts == self._told_counts and not repeated):
            messages = []
        else:
            self._told_counts = counts
            messages = split_counters(
                self._members.own.incarnation,
                self._gossip.true_now(),
                self._gossip.usage.own_totals(self._gossip.true_now()),
                counts,
            )
            self._gossip.send(messages, self._keepers(peers, counts, turn // period))
        orphans = self._orphaned_counters(len(peers) + 1)
        messages += orphans
        holder = self._members.holder_address()
        if holder and holder != self._members.own.gossip_address:
            self._gossip.send(messages, [holder])
        elif orphans:
            self._gossip.send(orphans, in_turn(peers, turn, LEAST_KEEPERS))

    def _keepers(
        self, peers: list[str], counts: dict[int, dict[str, int]], turn: int
    ) -> list[str]:
        """Return the peers that hear the counters in a turn, beside the holder."""
        entries = sum(len(item) for item in counts.values())
        most = max(LEAST_KEEPERS, MOST_COUNTERS_PER_TICK // max(1, entries))
        keepers = in_turn(peers, turn, most)
        holder = self._members.holder_address()
        return [address for address in keepers if address != holder]

    def _orphaned_counters(self, instances: int) -> list[Counters]:
        """Return some of the counters of incarnations that ended, at random."""
        most = ORPHANS_PER_SECOND * TICK_SECONDS / instances
        number = min(MOST_ORPHANS, int(most) + (self._random.random() < most % 1))
        if not number:
            return []
        true_now = self._gossip.true_now()
        orphans = self._gossip.usage.orphans(
            self._gossip.live_incarnations(), true_now - ORPHAN_SECONDS
        )
        chosen = self._random.sample(orphans, min(number, len(orphans)))
        return [
            message
            for incarnation, counts in chosen
            for message in split_counters(incarnation, true_now, None, counts)
        ]

    def _take(self, message: Counters) -> None:
        for window, counts in message.counts.items():
            self._gossip.usage.merge(message.incarnation, window, counts)
        if message.totals is not None:
            self._gossip.usage.hear(
                message.incarnation, message.told_at, message.totals
            )


def counter_ticks(instances: int) -> int:
    """Return after how many ticks an instance tells its usage counters."""
    seconds = instances / COUNTERS_PER_SECOND
    return max(1, math.ceil(seconds / TICK_SECONDS))


def setup(app: Application) -> None:
    """Start telling counters."""
    app.provide("counters", CounterTelling(app))
