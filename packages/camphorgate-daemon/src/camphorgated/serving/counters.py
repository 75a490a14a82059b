"""Sends usage counters to the holder of the duty and to a few keepers.

Keepers are peers that store copies. The counters of an incarnation only rise, so
messages may be lost, duplicated or late. Those of incarnations that ended are sent by
the instances that keep a copy.
"""

import math
import random

from camphorgate.application import Application
from camphorgated.serving.gossip import TICK_SECONDS
from camphorgated.serving.messages import Counters, split_counters
from camphorgated.serving.peers import select_in_rotation

# Usage counters reach the holder of the duty at most this often in all, messages per
# second; the period of the instances follows from their number.
COUNTERS_PER_SECOND = 400.0
# Usage counters sent in one tick, over all peers but the holder. Peers keep copies in
# case this instance is killed.
MAX_COUNTERS_PER_TICK = 120
MIN_KEEPERS = 2
# Unchanged counters are sent again after this many of an instance's periods, as
# datagrams may be lost.
REPEAT_PERIODS = 5
# Counters of incarnations that ended are sent while their windows may be reported.
ORPHAN_SECONDS = 25.0
# Limit of these counters per second that the holder receives from all instances.
ORPHANS_PER_SECOND = 150.0
MAX_ORPHANS_PER_TICK = 6


class CounterBroadcast:
    """Sends and merges usage counters."""

    __slots__ = ("_members", "_gossip", "_sent_counts", "_random")

    def __init__(self, app: Application) -> None:
        """Send counters at the ticks of the gossip."""
        self._members = app.service("members")
        self._gossip = app.service("gossip")
        self._sent_counts: dict[int, dict[str, int]] = {}
        self._random = random.Random()
        self._gossip.add_handler(Counters, self._receive)
        self._gossip.add_tick_listener(self.send)

    def send(self, turn: int) -> None:
        """Send the own counters, and some of incarnations that ended."""
        peers = self._gossip.near + self._gossip.far
        if not peers:
            return
        period = counter_period_ticks(len(peers) + 1)
        counts = self._gossip.usage.own_open_counts(self._gossip.synchronized_now())
        repeated = turn % (period * REPEAT_PERIODS) == 0
        if turn % period or (counts == self._sent_counts and not repeated):
            messages = []
        else:
            self._sent_counts = counts
            messages = split_counters(
                self._members.own.incarnation,
                self._gossip.synchronized_now(),
                self._gossip.usage.own_totals(self._gossip.synchronized_now()),
                counts,
            )
            self._gossip.send(messages, self._keepers(peers, counts, turn // period))
        orphans = self._orphaned_counters(len(peers) + 1)
        messages += orphans
        holder = self._members.holder_address()
        if holder and holder != self._members.own.gossip_address:
            self._gossip.send(messages, [holder])
        elif orphans:
            self._gossip.send(orphans, select_in_rotation(peers, turn, MIN_KEEPERS))

    def _keepers(
        self, peers: list[str], counts: dict[int, dict[str, int]], turn: int
    ) -> list[str]:
        """Return the peers that get the counters in a turn, besides the holder."""
        entries = sum(len(item) for item in counts.values())
        most = max(MIN_KEEPERS, MAX_COUNTERS_PER_TICK // max(1, entries))
        keepers = select_in_rotation(peers, turn, most)
        holder = self._members.holder_address()
        return [address for address in keepers if address != holder]

    def _orphaned_counters(self, instances: int) -> list[Counters]:
        """Return a random sample of the counters of incarnations that ended."""
        most = ORPHANS_PER_SECOND * TICK_SECONDS / instances
        number = min(
            MAX_ORPHANS_PER_TICK, int(most) + (self._random.random() < most % 1)
        )
        if not number:
            return []
        true_now = self._gossip.synchronized_now()
        orphans = self._gossip.usage.ended_incarnation_counts(
            self._gossip.live_incarnations(), true_now - ORPHAN_SECONDS
        )
        chosen = self._random.sample(orphans, min(number, len(orphans)))
        return [
            message
            for incarnation, counts in chosen
            for message in split_counters(incarnation, true_now, None, counts)
        ]

    def _receive(self, message: Counters) -> None:
        for window, counts in message.counts.items():
            self._gossip.usage.merge(message.incarnation, window, counts)
        if message.totals is not None:
            self._gossip.usage.receive_totals(
                message.incarnation, message.told_at, message.totals
            )


def counter_period_ticks(instances: int) -> int:
    """Return the interval in ticks at which an instance sends its counters."""
    seconds = instances / COUNTERS_PER_SECOND
    return max(1, math.ceil(seconds / TICK_SECONDS))


def setup(app: Application) -> None:
    """Start sending counters."""
    app.provide("counters", CounterBroadcast(app))
