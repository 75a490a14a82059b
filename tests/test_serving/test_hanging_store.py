"""Tests of removals and withdrawn keys while the store hangs for some instances."""

import asyncio

from camphorgate.serving.upstream_table import RETURN_SECONDS
from camphorgated.serving.errors import CallFailed
from tests.hosting_builders import build_platform_entry
from tests.test_serving.test_relay import ZoneCase

# After so long nobody may send to an upstream that left (``drain-ms`` of Akmola).
DRAIN_SECONDS = 2.0


class Hang:
    """Calls to the store that get no answer while the hang lasts, then break off."""

    def __init__(self) -> None:
        """Start with a store that answers."""
        self._hanging = False
        self._over = asyncio.Event()
        # Connections of another generation are silent for good.
        self.generation = 0

    def hold(self, store) -> None:
        """Put this between a store's client and its connections."""
        store._call_client = HeldCalls(store._call_client, self)
        store._watch_client = HeldCalls(store._watch_client, self)

    def begin(self) -> None:
        """Answer nothing from now on."""
        self._hanging = True

    def silence_connections(self) -> None:
        """Answer nothing on the connections that are open now; new ones work."""
        self.generation += 1

    def end(self) -> None:
        """Break off what waits, and answer again."""
        self._hanging = False
        self._over.set()

    async def wait(self) -> None:
        """Hold a call for as long as the hang lasts.

        :raises CallFailed: at its end, if it held the call at all.
        """
        if self._hanging:
            await self._over.wait()
            raise CallFailed("the answer broke off", True)


class HeldCalls:
    """A client whose answers a hang holds back."""

    def __init__(self, client, hang: Hang) -> None:
        """Keep both."""
        self._client = client
        self._hang = hang
        self._generation = hang.generation

    async def call(self, method, target, body=b"", headers=None, timeout=None):
        """Call, and wait while the store hangs."""
        seconds = timeout or self._client._timeout
        # The first call after the silence takes the idle connection.
        silent = self._generation != self._hang.generation
        generation = self._generation = self._hang.generation
        try:
            async with asyncio.timeout(seconds):
                await self._hang.wait()
                answer = await self._client.call(
                    method, target, body, headers, timeout=timeout
                )
                if silent or generation != self._hang.generation:
                    await asyncio.Event().wait()
                await self._hang.wait()
        except TimeoutError:
            raise CallFailed(f"{method} {target}: no answer", True) from None
        return answer

    def close(self) -> None:
        """Close the connections."""
        self._client.close()


class HangingStoreTests(ZoneCase):
    """Nobody goes by a list whose watch hangs for longer than the bound."""

    async def start_hanging_zone(self, elsewhere: int):
        """Start a zone whose watchers' store hangs once :class:`Hang` is set.

        :param elsewhere: instances of another zone, which the store goes on serving.
        :returns: the watchers' hang, the watchers and the followers.
        """
        for number in range(2, 5):
            await self.add_worker(f"desk-{number}")
        watchers, followers = await self.start_zone(5)
        for number in range(elsewhere):
            await self.start_ready(
                instance_id=f"entry-b{number}", availability_zone="zone-b"
            )
        hang = Hang()
        for app in watchers:
            hang.hold(app.service("store"))
        # Ends the watches that were opened before the store could hang.
        self.configure(2)
        table = watchers[0].service("directory").table
        entry = build_platform_entry(table.by_id["desk-2"].address, sequence=2)
        self.store.put("servers/desk-2", entry)
        await asyncio.sleep(0.3)
        return hang, watchers, followers

    async def obeyed_seconds(self, apps) -> float:
        """Return how long after now nobody sends to the first worker any more."""
        clock = asyncio.get_running_loop()
        began = clock.time()
        self.store.remove("servers/desk-1")

        def obeyed():
            return all(
                "desk-1"
                not in {
                    upstream.id
                    for upstream in app.service("upstreams").candidates("desk", set())
                }
                for app in apps
            )

        await self.eventually(obeyed, seconds=8.0)
        return clock.time() - began

    async def test_removal_is_obeyed_while_the_watches_of_the_zone_hang(self):
        """Guards against a zone that goes by its hanging watchers, not by the others.

        Seen on Akmola: the store fell silent for both watchers 6 ms before a removal.
        """
        hang, _, followers = await self.start_hanging_zone(elsewhere=2)
        hang.begin()
        self.assertLess(await self.obeyed_seconds(followers), DRAIN_SECONDS)

    async def test_withdrawn_key_is_obeyed_while_the_watches_of_the_zone_hang(self):
        """Guards against followers that a hanging watcher's old version reassures."""
        hang, _, followers = await self.start_hanging_zone(elsewhere=2)
        hang.begin()
        self.configure(3, tenants=[{"name": "north", "api-keys": ["another"]}])
        await self.eventually(
            lambda: all(
                app.service("directory").catalog.version == 3 for app in followers
            ),
            seconds=DRAIN_SECONDS,
        )

    async def test_removal_is_obeyed_after_connections_went_silent(self):
        """Guards against watches that wait on connections which are silent for good."""
        hang, _, followers = await self.start_hanging_zone(elsewhere=0)
        hang.silence_connections()
        self.assertLess(await self.obeyed_seconds(followers), DRAIN_SECONDS)

    async def test_removal_is_obeyed_while_every_watch_hangs(self):
        """Guards against a fleet whose watchers all wait for a silent store."""
        hang, _, followers = await self.start_hanging_zone(elsewhere=0)
        hang.begin()
        self.assertLess(await self.obeyed_seconds(followers), DRAIN_SECONDS)

    async def test_removal_during_a_short_hang_is_obeyed_within_the_bound(self):
        """Guards against a removal that is doubted for as long as the bound.

        Seen on Akmola: every instance of the zone read its first list after a break.
        """
        hang, _, followers = await self.start_hanging_zone(elsewhere=0)
        hang.begin()
        asyncio.get_running_loop().call_later(1.2, hang.end)
        self.assertLess(await self.obeyed_seconds(followers), DRAIN_SECONDS)

    async def test_doubt_ends_by_the_word_of_another_zone(self):
        """Guards against watchers that doubt what another zone has seen for certain."""
        hang, watchers, _ = await self.start_hanging_zone(elsewhere=2)
        tables = [app.service("directory").table for app in watchers]
        hang.begin()
        self.store.remove("servers/desk-1")
        await asyncio.sleep(0.2)
        hang.end()
        await self.eventually(lambda: any(table.doubts() for table in tables))
        await self.eventually(
            lambda: not any("desk-1" in table.by_id for table in tables),
            seconds=RETURN_SECONDS / 2,
        )
