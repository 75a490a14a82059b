"""Broadcasts changes that this watcher reads from the store to its zone.

Changes of the upstream list and new configurations are sent as datagrams; each watcher
covers its share of the zone. A receiver detects a lost datagram by the states that
watchers send periodically, and fetches what it lacks, see ``knowledge``.
"""

import asyncio

import msgspec

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgated.serving.catalog_parts import CatalogParts, split_catalog
from camphorgated.serving.messages import CatalogPart, Changes, split_changes

# Rate limit of a broadcast: two thirds of the slowest supported link (5 Mbit/s).
BROADCAST_BYTES_PER_SECOND = 400_000.0


class ChangeBroadcaster:
    """Sends changes to the own zone and applies those that other watchers send."""

    __slots__ = ("_app", "_directory", "_members", "_gossip", "_catalog_parts")

    def __init__(self, app: Application) -> None:
        """Register the handlers for messages of other watchers."""
        self._app = app
        self._directory = app.service("directory")
        self._members = app.service("members")
        self._gossip = app.service("gossip")
        self._catalog_parts = CatalogParts()
        self._gossip.add_handler(Changes, self._receive_changes)
        self._gossip.add_handler(CatalogPart, self._receive_catalog_part)

    def broadcast_changes(self) -> None:
        """Broadcast changes of the upstream list as soon as they are read."""
        upstreams, removed = self._directory.table.pop_changes()
        doubted = self._directory.table.pop_new_doubts()
        if not self._directory.watches.watching or not self._gossip.near:
            return
        own = self._members.own
        messages = split_changes(own.instance, own.zone, upstreams, removed, doubted)
        self._broadcast_to_zone([*messages, self._gossip.state()])

    def broadcast_catalog(self) -> None:
        """Broadcast a new configuration as soon as it is read."""
        self._catalog_parts.drop_older(self._directory.history.version)
        # What an instance reads at its start, the others read as well.
        if not self._directory.watches.chosen or not self._gossip.near:
            return
        own = self._members.own
        encoded = self._directory.history.encode_change()
        parts = split_catalog(own.instance, own.zone, encoded)
        self._broadcast_to_zone([*parts, self._gossip.state()])

    def broadcast_state(self) -> None:
        """Broadcast the loss of the store, so that other instances take over."""
        if self._directory.watches.watching:
            self._gossip.send([self._gossip.state()], self._gossip.near)

    def _broadcast_to_zone(self, messages: list) -> None:
        """Send messages to this watcher's share of the zone."""
        self._gossip.send_to_far_watchers()
        selection = self._directory.watches.watcher_selection
        receivers = selection.assigned_peers(
            self._gossip.near, self._app.clock.monotonic()
        )
        if receivers:
            self._app.spawn(self._send_paced(messages, receivers), "news")

    async def _send_paced(self, messages: list, addresses: list[str]) -> None:
        """Send to one address at a time, so that a slow link drops no datagram."""
        size = sum(len(msgspec.msgpack.encode(message)) for message in messages)
        began = self._app.clock.monotonic()
        for address in addresses:
            self._gossip.send(messages, [address])
            await asyncio.sleep(size / BROADCAST_BYTES_PER_SECOND)
        if isinstance(messages[0], CatalogPart):
            log_event(
                "configuration_broadcast",
                version=messages[0].version,
                parts=messages[0].parts,
                bytes=size,
                receivers=len(addresses),
                seconds=self._app.clock.monotonic() - began,
            )

    def _receive_changes(self, message: Changes) -> None:
        # A watcher marks the removals that it doubts, so the others are also valid for
        # an instance that follows the store again after an outage.
        if message.zone == self._members.own.zone:
            self._directory.apply_peer_changes(message)

    def _receive_catalog_part(self, message: CatalogPart) -> None:
        known = self._directory.history.version
        if message.zone != self._members.own.zone or message.version <= known:
            return
        encoded = self._catalog_parts.take(message)
        if encoded is not None:
            self._directory.apply_encoded_catalog(encoded, message.instance)


def setup(app: Application) -> None:
    """Broadcast changes when the application's events report them."""
    news = ChangeBroadcaster(app)
    app.connect("upstreams-changed", news.broadcast_changes)
    app.connect("configuration-changed", news.broadcast_catalog)
    app.connect("store-lost", news.broadcast_state)
