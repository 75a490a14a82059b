"""Tests of requests whose slots are lent, with daemons and workers."""

import asyncio

from camphorgated.serving.gossip import encode_datagram
from camphorgated.serving.messages import RoomReturn
from tests.hosted import HostedCase


class RoomCallTests(HostedCase):
    """Two daemons before one worker that runs few requests at a time."""

    async def asyncSetUp(self):
        """Start a worker of two slots and two daemons."""
        await super().asyncSetUp()
        self.configure()
        self.worker = await self.add_worker("w1", slots=2)

    async def start_pair(self, **changes):
        """Start two daemons that know each other, and a reported load."""
        apps = [
            await self.start_ready(instance_id=f"entry-{n}", **changes) for n in (1, 2)
        ]
        await self.wait_for_peers(apps)
        candidates = [app.service("permit_grants").candidates for app in apps]
        await self.eventually(
            lambda: all(len(item.by_instance("zone-a")) == 2 for item in candidates)
        )
        for app in apps:
            upstream = app.service("directory").table.by_id["w1"]
            now = app.clock.monotonic()
            app.service("room").record_reported_load(upstream, 0, 0, 2, now)
        return apps

    async def test_slots_are_lent_across_instances(self):
        """Guards against sending more than an upstream has slots for."""
        # Enough for any machine, so that no instance takes the owner for silent.
        apps = await self.start_pair(room={"reply_seconds": 2.0})
        running = []

        async def watch():
            while True:
                running.append(self.worker.running)
                await asyncio.sleep(0.002)

        watching = asyncio.ensure_future(watch())
        responses = await asyncio.gather(
            *(self.request(apps[n % 2], "/read/a") for n in range(12))
        )
        watching.cancel()
        statuses = {response.status for response in responses}
        self.assertLessEqual(statuses, {200, 503})
        self.assertGreaterEqual(sum(r.status == 200 for r in responses), 2)
        self.assertLessEqual(max(running), 2)
        dumps = [app.service("room").dump() for app in apps]
        self.assertEqual([dump["borrowed"] for dump in dumps], [0, 0])
        owners = {dump["owners"].get("desk") for dump in dumps}
        self.assertEqual(len(owners), 1, dumps)
        await self.eventually(
            lambda: not any(app.service("room").counts()[0] for app in apps)
        )

    async def test_owner_without_reply(self):
        """Guards against responses that are lost with the owner of the slots."""
        apps = await self.start_pair()
        for app in apps:
            handlers = app.service("gossip")._handlers
            for kind in list(handlers):
                if kind.__name__.startswith("Room"):
                    handlers[kind] = lambda message: None
        for app in apps:
            response = await self.request(app, "/book/a", method="POST")
            self.assertEqual(response.status, 200)
        self.assertEqual(len(self.worker.runs), 2)

    async def test_switch(self):
        """Guards against loans where the settings switch them off."""
        (app, _) = await self.start_pair(room={"enabled": False})
        response = await self.request(app, "/read/a")
        self.assertEqual(response.status, 200)
        self.assertEqual(app.service("room").dump()["owners"], {})

    async def test_malformed_messages_of_a_peer(self):
        """Guards against a peer whose address or duration ends tasks or all loans."""
        app, _ = await self.start_pair()
        gossip = app.service("gossip")
        self.assertEqual((await self.request(app, "/read/a")).status, 200)
        for seconds in (float("inf"), float("nan"), 1e308, -1.0):
            message = RoomReturn(1, "nobody", "desk", 0, seconds)
            gossip._receive(encode_datagram(message))
        gossip.send([message], ["nobody"])
        gossip.send_datagram(b"x", "10.0.0.1:99999")
        self.assertEqual((await self.request(app, "/read/a")).status, 200)
