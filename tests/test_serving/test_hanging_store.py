"""Tests of removals and revoked keys while the store hangs for some instances."""

import asyncio
from urllib.parse import unquote

from camphorgate.serving.upstream_table import LAPSED_ENTRY_GRACE_SECONDS
from camphorgated.serving.errors import CallFailed
from tests.hosting_builders import build_platform_entry
from tests.test_serving.test_followers import ZoneCase

# No instance may send to an upstream this long after its removal (``drain-ms`` of
# Akmola).
DRAIN_SECONDS = 2.0
# Every instance applies a configuration this long after the store accepted it (bound
# of the smallest deployments).
CONFIGURATION_SECONDS = 2.0


class StoreHang:
    """Makes calls to the store hang, and fail when the hang ends."""

    def __init__(self) -> None:
        """Start with a responsive store."""
        self._hanging = False
        self._ended = asyncio.Event()
        # Connections of an earlier generation never respond again.
        self.generation = 0
        # The same for the connections with an open watch of a prefix.
        self.generation_by_prefix: dict[str, int] = {}

    def install(self, store) -> None:
        """Wrap the clients of a store so that this hang applies to them."""
        store._call_client = HangingClient(store._call_client, self)
        store._watch_client = HangingClient(store._watch_client, self)

    def begin(self) -> None:
        """Start the hang: calls get no response."""
        self._hanging = True

    def silence_open_connections(self) -> None:
        """Silence the connections that are open now; new ones work."""
        self.generation += 1

    def silence_open_watches(self, prefix: str) -> None:
        """Silence only the connections on which a watch of a prefix is open now."""
        generation = self.generation_by_prefix.get(prefix, 0)
        self.generation_by_prefix[prefix] = generation + 1

    def watch_generation(self, target: str) -> int:
        """Return the generation of a call's connection if the call is a watch."""
        return self.generation_by_prefix.get(watched_prefix(target), 0)

    def end(self) -> None:
        """Fail the waiting calls, and respond again."""
        self._hanging = False
        self._ended.set()

    async def wait(self) -> None:
        """Wait until the hang ends.

        :raises CallFailed: at the end of the hang, if there was one.
        """
        if self._hanging:
            await self._ended.wait()
            raise CallFailed("the response was interrupted", True)


def watched_prefix(target: str) -> str:
    """Return the prefix that a call watches, empty for other calls."""
    path, _, query = target.partition("?path-prefix=")
    return unquote(query.partition("&")[0]) if path.endswith("/kv-watch") else ""


class HangingClient:
    """A client whose responses are delayed by a hang."""

    def __init__(self, client, hang: StoreHang) -> None:
        """Wrap a client."""
        self._client = client
        self._hang = hang
        self._generation = hang.generation
        # The prefixes of the watches that were opened by this client.
        self.prefixes: set[str] = set()

    async def call(
        self, method, target, body=b"", headers=None, timeout=None, **options
    ):
        """Send a call, and wait while the store hangs."""
        seconds = timeout or self._client._timeout
        # The first call after silence_open_connections() reuses the idle connection.
        is_silent = self._generation != self._hang.generation
        generation = self._generation = self._hang.generation
        watch_generation = self._hang.watch_generation(target)
        self.prefixes.add(watched_prefix(target))
        try:
            async with asyncio.timeout(seconds):
                await self._hang.wait()
                answer = await self._client.call(
                    method, target, body, headers, timeout=timeout, **options
                )
                is_silent = is_silent or generation != self._hang.generation
                if is_silent or watch_generation != self._hang.watch_generation(target):
                    await asyncio.Event().wait()
                await self._hang.wait()
        except TimeoutError:
            raise CallFailed(f"{method} {target}: no response", True) from None
        return answer

    def receiving(self, seconds: float) -> bool:
        """Return whether part of a response arrived within the last seconds."""
        return self._client.receiving(seconds)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()


class HangingStoreTests(ZoneCase):
    """No instance relies on a list whose watch hangs for longer than the bound."""

    async def start_hanging_zone(self, other_zone_instances: int):
        """Start a zone whose watchers are subject to a :class:`StoreHang`.

        :param other_zone_instances: number of instances in another zone, for which the
            store does not hang.
        :returns: the watchers' hang, the watchers and the followers.
        """
        for number in range(2, 5):
            await self.add_worker(f"desk-{number}")
        watchers, followers = await self.start_zone(5)
        others = [
            await self.start_ready(
                instance_id=f"entry-b{number}", availability_zone="zone-b"
            )
            for number in range(other_zone_instances)
        ]
        # An instance answers fetches a second after its start.
        await self.eventually(
            lambda: all(
                app.service("gossip").answers_fetches
                for app in (*watchers, *followers, *others)
            )
        )
        hang = StoreHang()
        for app in watchers:
            hang.install(app.service("store"))
        # Ends the watches that were opened before the clients were wrapped.
        self.configure(2)
        table = watchers[0].service("directory").table
        entry = build_platform_entry(table.by_id["desk-2"].address, sequence=2)
        self.store.put("servers/desk-2", entry)
        await self.eventually(lambda: all(map(self.watches_are_wrapped, watchers)))
        await asyncio.sleep(0.3)
        return hang, watchers, followers

    @staticmethod
    def watches_are_wrapped(app) -> bool:
        """Return whether a hang applies to every watch of a watcher.

        A surplus watcher may have ended its watches meanwhile.
        """
        prefixes = app.service("store")._watch_client.prefixes
        watching = app.service("directory").watches.watching
        return not watching or {"op/", "servers/"} <= prefixes

    async def measure_removal_seconds(self, apps) -> float:
        """Remove the first worker; return the time until no instance may choose it."""
        clock = asyncio.get_running_loop()
        started_at = clock.time()
        self.store.remove("servers/desk-1")

        def is_excluded():
            return all(
                "desk-1"
                not in {
                    upstream.id
                    for upstream in app.service("upstreams").candidates("desk", set())
                }
                for app in apps
            )

        await self.eventually(is_excluded, seconds=8.0)
        return clock.time() - started_at

    async def test_removal_applies_while_the_watches_of_the_zone_hang(self):
        """Guards against a zone that relies on its hanging watchers only.

        Seen on Akmola: the store became silent for both watchers 6 ms before a removal.
        """
        hang, _, followers = await self.start_hanging_zone(other_zone_instances=2)
        hang.begin()
        self.assertLess(await self.measure_removal_seconds(followers), DRAIN_SECONDS)

    async def test_key_revocation_applies_while_the_watches_of_the_zone_hang(self):
        """Guards against followers that trust a hanging watcher's old version."""
        hang, _, followers = await self.start_hanging_zone(other_zone_instances=2)
        hang.begin()
        self.configure(3, tenants=[{"name": "north", "api-keys": ["another"]}])
        await self.eventually(
            lambda: all(
                app.service("directory").catalog.version == 3 for app in followers
            ),
            seconds=DRAIN_SECONDS,
        )

    async def test_removal_applies_after_connections_become_silent(self):
        """Guards against watches that wait on permanently silent connections."""
        hang, _, followers = await self.start_hanging_zone(other_zone_instances=0)
        hang.silence_open_connections()
        self.assertLess(await self.measure_removal_seconds(followers), DRAIN_SECONDS)

    async def test_removal_applies_although_only_the_watches_are_silent(self):
        """Guards against silent watches beside other connections that work."""
        hang, _, followers = await self.start_hanging_zone(other_zone_instances=0)
        hang.silence_open_watches("servers/")
        self.assertLess(await self.measure_removal_seconds(followers), DRAIN_SECONDS)

    async def test_configuration_applies_although_only_the_watches_are_silent(self):
        """Guards against watches that end in step after a change, a silent one too."""
        hang, watchers, followers = await self.start_hanging_zone(
            other_zone_instances=0
        )
        self.configure(3)
        await asyncio.sleep(0.5)
        hang.silence_open_watches("op/")
        await asyncio.sleep(0.2)
        self.configure(4)
        await self.eventually(
            lambda: all(
                app.service("directory").catalog.version == 4
                for app in (*watchers, *followers)
            ),
            seconds=CONFIGURATION_SECONDS,
        )

    async def test_removal_applies_after_a_renewal_found_the_silence(self):
        """Guards against silent watches because the probe got a new connection."""
        hang, watchers, followers = await self.start_hanging_zone(
            other_zone_instances=0
        )
        hang.silence_open_connections()
        calls = [app.service("store").get("camphorgate/other") for app in watchers]
        renewals = asyncio.gather(*calls, return_exceptions=True)
        self.assertLess(await self.measure_removal_seconds(followers), DRAIN_SECONDS)
        await renewals

    async def test_removal_applies_while_every_watch_hangs(self):
        """Guards against a fleet whose watchers all wait for a silent store."""
        hang, _, followers = await self.start_hanging_zone(other_zone_instances=0)
        hang.begin()
        self.assertLess(await self.measure_removal_seconds(followers), DRAIN_SECONDS)

    async def test_removal_during_a_short_hang_applies_in_time(self):
        """Guards against a removal that stays doubted for as long as the bound.

        Seen on Akmola: every instance of the zone read its first list after a break.
        """
        hang, _, followers = await self.start_hanging_zone(other_zone_instances=0)
        hang.begin()
        asyncio.get_running_loop().call_later(1.2, hang.end)
        self.assertLess(await self.measure_removal_seconds(followers), DRAIN_SECONDS)

    async def test_doubted_removal_is_confirmed_by_another_zone(self):
        """Guards against doubting a removal that another zone has confirmed."""
        hang, watchers, _ = await self.start_hanging_zone(other_zone_instances=2)
        tables = [app.service("directory").table for app in watchers]
        hang.begin()
        self.store.remove("servers/desk-1")
        await asyncio.sleep(0.2)
        hang.end()
        await self.eventually(lambda: any(table.doubted_entries() for table in tables))
        await self.eventually(
            lambda: not any("desk-1" in table.by_id for table in tables),
            seconds=LAPSED_ENTRY_GRACE_SECONDS / 2,
        )
