"""Tells the zone at once what the store has told this watcher.

Changes of the list of upstreams and configurations go as datagrams, each watcher to its
share of the zone. What is lost shows in the states that watchers tell all the time, and
is asked for, see ``knowledge``.
"""

import asyncio

import msgspec

from camphorgate.application import Application
from camphorgated.serving.messages import CatalogPart, Changes, split_changes
from camphorgated.serving.parts import CatalogParts, split_catalog

# News go out at this rate, two thirds of the slowest link of the users (5 Mbit/s).
NEWS_BYTES_PER_SECOND = 400_000.0


class News:
    """What this watcher tells its zone, and what it hears from others."""

    __slots__ = ("_app", "_directory", "_members", "_gossip", "_catalog_parts")

    def __init__(self, app: Application) -> None:
        """Hear the news of watchers."""
        self._app = app
        self._directory = app.service("directory")
        self._members = app.service("members")
        self._gossip = app.service("gossip")
        self._catalog_parts = CatalogParts()
        self._gossip.hear(Changes, self._take_changes)
        self._gossip.hear(CatalogPart, self._take_catalog_part)

    def tell_changes(self) -> None:
        """Tell the zone at once what the store has just told this instance."""
        upstreams, removed = self._directory.table.take_changes()
        doubted = self._directory.table.take_doubts()
        if not self._directory.watches.watching or not self._gossip.near:
            return
        own = self._members.own
        messages = split_changes(own.instance, own.zone, upstreams, removed, doubted)
        self._tell_zone([*messages, self._gossip.state()])

    def tell_catalog(self) -> None:
        """Tell the zone at once of a configuration that the store has just told."""
        catalog = self._directory.catalog
        if not self._directory.watches.watching or not self._gossip.near:
            return
        own = self._members.own
        parts = split_catalog(own.instance, own.zone, catalog.version, catalog.raw)
        self._tell_zone([*parts, self._gossip.state()])

    def tell_state(self) -> None:
        """Tell the zone at once that the store is lost, so that others take over."""
        if self._directory.watches.watching:
            self._gossip.send([self._gossip.state()], self._gossip.near)

    def _tell_zone(self, messages: list) -> None:
        """Send this watcher's share of the zone some messages."""
        self._gossip.tell_far_watchers()
        relay = self._directory.watches.relay
        told = relay.share(self._gossip.near, self._app.clock.monotonic())
        if told:
            self._app.spawn(self._send_paced(messages, told), "news")

    async def _send_paced(self, messages: list, addresses: list[str]) -> None:
        """Send to one address after the other, so that a slow link loses none."""
        size = sum(len(msgspec.msgpack.encode(message)) for message in messages)
        for address in addresses:
            self._gossip.send(messages, [address])
            await asyncio.sleep(size / NEWS_BYTES_PER_SECOND)

    def _take_changes(self, message: Changes) -> None:
        # A watcher tells which removals it doubts, so its word on the others also
        # counts for one that follows the store again after a cut.
        if message.zone == self._members.own.zone:
            self._directory.take_peer_changes(message)

    def _take_catalog_part(self, message: CatalogPart) -> None:
        catalog = self._directory.catalog
        known = catalog.version if catalog else 0
        if message.zone != self._members.own.zone or message.version <= known:
            return
        try:
            raw = self._catalog_parts.take(message)
        except ValueError as error:
            self._gossip.note_unreadable(str(error))
            return
        if raw is not None:
            self._directory.take_catalog(raw, message.instance)


def setup(app: Application) -> None:
    """Tell what changes."""
    news = News(app)
    app.connect("upstreams-changed", news.tell_changes)
    app.connect("configuration-changed", news.tell_catalog)
    app.connect("store-lost", news.tell_state)
