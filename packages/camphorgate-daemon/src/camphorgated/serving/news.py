"""Broadcasts changes that this watcher reads from the store to its zone.

Changes of the upstream list and new configurations are sent as datagrams. Each watcher
sends changes of the list to its share of the zone, and configurations in its turn to
all of it, in part through relays, see :mod:`camphorgate.serving.broadcast_plan`. A
receiver detects a lost datagram by the states that watchers send periodically, and
fetches what it lacks, see ``knowledge``.
"""

import asyncio
from bisect import bisect

import msgspec

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.broadcast_plan import plan_broadcast
from camphorgate.serving.watcher_selection import WATCHERS_PER_ZONE
from camphorgated.serving.catalog_parts import split_catalog
from camphorgated.serving.gossip import encode_datagram
from camphorgated.serving.messages import CatalogPart, Changes, split_changes
from camphorgated.serving.paced_sender import PacedSender

# Rate limit of a broadcast: two thirds of the slowest supported link (5 Mbit/s).
BROADCAST_BYTES_PER_SECOND = 400_000.0
# Watchers after the first ones broadcast a configuration one by one at this interval.
# One that a broadcast reaches later than that repeats it, which only costs bytes.
BROADCAST_TURN_SECONDS = 0.1
# A peer that was silent for longer does not relay. Peers of the largest zones (44
# instances) send a state every 1.2 s.
MAX_RELAY_SILENCE_SECONDS = 1.5


class ChangeBroadcaster:
    """Sends changes to the own zone and applies those that other watchers send."""

    __slots__ = (
        "_app",
        "_directory",
        "_members",
        "_gossip",
        "_sender",
        "_heard_version",
    )

    def __init__(self, app: Application) -> None:
        """Register the handlers for messages of other watchers."""
        self._app = app
        self._directory = app.service("directory")
        self._members = app.service("members")
        self._gossip = app.service("gossip")
        self._sender = PacedSender(
            app, self._gossip.send_datagram, BROADCAST_BYTES_PER_SECOND
        )
        # The newest configuration that another watcher of the zone broadcast.
        self._heard_version = 0
        self._gossip.add_handler(Changes, self._receive_changes)
        self._gossip.add_handler(CatalogPart, self._receive_catalog_part)

    def broadcast_changes(self) -> None:
        """Broadcast changes of the upstream list as soon as they are read."""
        upstreams, removed = self._directory.table.pop_changes()
        doubted = self._directory.table.pop_new_doubts()
        if not self._directory.watches.watching or not self._gossip.near:
            return
        self._gossip.send_to_far_watchers()
        own = self._members.own
        messages = split_changes(own.instance, own.zone, upstreams, removed, doubted)
        datagrams = [encode_datagram(message) for message in messages]
        datagrams.append(encode_datagram(self._gossip.state()))
        selection = self._directory.watches.watcher_selection
        receivers = selection.assigned_peers(
            self._gossip.near, self._app.clock.monotonic()
        )
        self._sender.enqueue(
            ((datagram, receiver) for receiver in receivers for datagram in datagrams),
            urgent=True,
        )

    def broadcast_catalog(self) -> None:
        """Broadcast a new configuration in this watcher's turn."""
        watches = self._directory.watches
        # What an instance reads at its start, the others read as well.
        if not watches.chosen or self._directory.configuration.initial:
            return
        turn = watches.watcher_selection.broadcast_turn(self._app.clock.monotonic())
        if turn == 0:
            self._broadcast_catalog()
        else:
            version = self._directory.configuration.version
            self._app.spawn(
                self._broadcast_in_turn(version, turn), "configuration broadcast"
            )

    async def _broadcast_in_turn(self, version: int, turn: int) -> None:
        """Broadcast a version unless another watcher has begun to, or it is replaced.

        The watchers that precede this one may have slower links to the store.
        """
        await asyncio.sleep(turn * BROADCAST_TURN_SECONDS)
        replaced = self._directory.configuration.version != version
        if not replaced and self._heard_version < version:
            self._broadcast_catalog()

    def _broadcast_catalog(self) -> None:
        if not self._gossip.near:
            return
        self._gossip.send_to_far_watchers()
        own = self._members.own
        encoded = self._directory.configuration.history.encode_change()
        parts = split_catalog(own.instance, own.zone, encoded)
        plan = list(
            plan_broadcast(
                len(parts),
                self._gossip.near,
                self._gossip.peers.near_live_addresses(MAX_RELAY_SILENCE_SECONDS),
                own.instance,
            )
        )
        if not plan:
            return
        relayed = plan[0].relayed
        datagrams = [
            encode_datagram(msgspec.structs.replace(part, relayed=relayed))
            for part in parts
        ]
        # The parts of all watchers reach a peer at the same time.
        self._sender.enqueue(
            ((datagrams[item.part], item.receiver) for item in plan),
            urgent=not relayed,
            rate_share=1 / WATCHERS_PER_ZONE if relayed else 1.0,
        )
        log_event(
            "configuration_broadcast",
            version=encoded.version,
            base=encoded.base,
            bytes=len(encoded.data),
            parts=len(parts),
            datagrams=len(plan),
            relayed=relayed,
        )

    def broadcast_state(self) -> None:
        """Broadcast the loss of the store, so that other instances take over."""
        if self._directory.watches.watching:
            self._gossip.send([self._gossip.state()], self._gossip.near)

    def _receive_changes(self, message: Changes) -> None:
        # A watcher marks the removals that it doubts, so the others are also valid for
        # an instance that follows the store again after an outage.
        if message.zone == self._members.own.zone:
            self._directory.apply_peer_changes(message)

    def _receive_catalog_part(self, message: CatalogPart) -> None:
        if message.zone != self._members.own.zone:
            return
        self._heard_version = max(self._heard_version, message.version)
        if message.relayed:
            self._forward(message)
        self._directory.configuration.receive_part(message)

    def _forward(self, part: CatalogPart) -> None:
        """Forward a part to the zone, also if this instance does not need it."""
        datagram = encode_datagram(msgspec.structs.replace(part, relayed=False))
        # Relays that send in the same order overload one receiver after the other.
        near = self._gossip.near
        start = bisect(near, self._members.own.gossip_address)
        self._sender.enqueue(
            (datagram, address) for address in near[start:] + near[:start]
        )


def setup(app: Application) -> None:
    """Broadcast changes when the application's events report them."""
    news = ChangeBroadcaster(app)
    app.connect("upstreams-changed", news.broadcast_changes)
    app.connect("configuration-changed", news.broadcast_catalog)
    app.connect("store-lost", news.broadcast_state)
