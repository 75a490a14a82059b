"""What callers may send: keys, limits, malformed requests, backlog, leaving."""

import asyncio
import json

import msgspec

from camphorgate.manifest import Limits, digest_of_key
from camphorgate_standins.service import ServiceStandin
from tests.test_gateway.harness import (
    BEARER,
    KEY,
    Caller,
    GatewayTestCase,
    completion,
    stream_text,
)


class KeyTests(GatewayTestCase):
    async def test_a_withdrawn_key_stops_working_on_an_open_connection(self):
        """Guards against a key that is checked once per connection."""
        caller = await Caller.connect(self.address)
        statuses = []
        for digests in ((digest_of_key(KEY),), ()):
            workspaces = tuple(
                msgspec.structs.replace(item, key_digests=digests)
                for item in self.configuration.manifest.workspaces[:1]
            )
            self.configuration.change(workspaces=workspaces)
            caller.send("GET", "/booking/stock", BEARER)
            answer = await caller.read()
            statuses.append(answer.status)
        self.assertEqual(statuses, [200, 401])
        self.assertEqual(answer.code, ("key_unknown", "not_run"))

    async def test_no_form_of_a_key_leaves_the_gateway(self):
        """Guards against upstreams, logs or dumps that see a key."""
        forms = {
            **BEARER,
            "X-Api-Key": KEY,
            "Proxy-Authorization": f"Bearer {KEY}",
            "Cookie": f"a=1; api_key={KEY}; b=2",
        }
        target = f"?api_key={KEY}&a=1&API%5Fkey={KEY}"
        self.assertEqual(
            (await self.call("GET", f"/booking/x{target}", forms)).status, 200
        )
        self.assertEqual(
            (await self.call("GET", f"/info/x{target}", forms)).status, 200
        )
        path = f"/v1/completions{target}"
        answer = await self.call("POST", path, forms, completion())
        self.assertEqual(answer.status, 200)
        seen = [r for u in (*self.desks, *self.engines) for r in u.requests]
        self.assertEqual(len(seen), 3)
        self.assertEqual(seen[0]["headers"]["cookie"], "a=1; b=2")
        self.assertNotIn(KEY, json.dumps(seen))
        self.assertNotIn(KEY, json.dumps(self.app.dump()))
        self.assertNotIn(KEY, "".join(self.log_lines))

    async def test_a_stale_configuration_refuses_keyed_requests_only(self):
        """Guards against a withdrawn key that works on a cut-off instance."""
        self.configuration.is_fresh = False
        answer = await self.complete()
        self.assertEqual(answer.code, ("configuration_stale", "not_run"))
        self.assertIn("retry-after", answer.headers)
        self.assertEqual((await self.call("GET", "/info/x", {})).status, 200)
        self.assertEqual(sum(len(engine.requests) for engine in self.engines), 0)


class LimitTests(GatewayTestCase):
    LIMITS = {
        "header_bytes": 4096,
        "body_bytes": 100000,
        "queue_seconds": 0.5,
        "queued_requests": 4,
    }

    async def test_requests_that_are_too_large_or_malformed(self):
        """Guards against unbounded memory and against unclear refusals."""
        head = f"POST /booking/x HTTP/1.1\r\nhost: t\r\nx-api-key: {KEY}\r\n"
        cases = [
            (head + f"x: {'y' * 5000}\r\n\r\n", 431, "header_too_large"),
            (head + f"x: {'y' * 20000}", 431, "header_too_large"),
            (f"GET /{'y' * 5000} HTTP/1.1\r\n\r\n", 431, "header_too_large"),
            (head + "content-length: 100001\r\n\r\n", 413, "body_too_large"),
            (head + "content-length: x\r\n\r\n", 400, "bad_request"),
            (
                head + "content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
                400,
                "bad_request",
            ),
            (head + "connection: upgrade\r\nupgrade: h2c\r\n\r\n", 400, "bad_request"),
            ("nonsense\r\n\r\n", 400, "bad_request"),
        ]
        for data, status, code in cases:
            with self.subTest(data=data[-60:]):
                caller = await Caller.connect(self.address)
                caller.writer.write(data.encode())
                answer = await caller.read()
                self.assertEqual(
                    (answer.status, answer.code), (status, (code, "not_run"))
                )
                caller.close()
        self.assertEqual(self.desks[0].requests + self.desks[1].requests, [])

    async def test_a_chunked_body_that_grows_too_large(self):
        """Guards against unbounded bodies, and "not run" after part of one left."""
        caller = await Caller.connect(self.address)
        caller.send("PUT", "/booking/x", {**BEARER, "transfer-encoding": "chunked"})
        for _ in range(3):
            caller.writer.write(b"c350\r\n%s\r\n" % bytes(50000))
        answer = await caller.read()
        self.assertEqual((answer.status, answer.code[1]), (413, "unknown"))

    async def test_a_full_queue_refuses_at_once(self):
        """Guards against requests that wait although they cannot be served."""
        for engine in self.engines:
            engine.token_seconds = 0.05
            engine.slots = 1
        pools = self.configuration.manifest.pools
        one_slot = tuple(
            msgspec.structs.replace(item, slots=1) for item in pools[0].upstreams
        )
        for entry in self.app.service("upstreams").entries_by_id.values():
            entry.view.slots = 1
        self.configuration.change_pool("models", upstreams=one_slot)
        loop = asyncio.get_running_loop()

        async def timed():
            begun = loop.time()
            answer = await self.complete(max_tokens=40)
            return answer, loop.time() - begun

        results = await asyncio.gather(*(timed() for _ in range(8)))
        codes = [a.code[0] for a, _ in results if a.status == 503]
        self.assertEqual(codes.count("queue_full"), 2)
        self.assertEqual(len(codes), 6)
        for answer, seconds in results:
            if answer.status == 503:
                self.assertEqual(answer.code[1], "not_run")
                self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
                self.assertLess(seconds, 1.5)

    async def test_a_workspace_over_its_limit(self):
        """Guards against one workspace that takes more than it may."""
        workspaces = tuple(
            msgspec.structs.replace(item, limits=Limits(requests_per_second=2))
            for item in self.configuration.manifest.workspaces
        )
        self.configuration.change(workspaces=workspaces)
        answers = [await self.call("GET", "/booking/x") for _ in range(8)]
        # A burst of two seconds' worth may pass at once.
        self.assertEqual([a.status for a in answers[:4]], [200] * 4)
        refused = [a for a in answers if a.status == 429]
        self.assertGreaterEqual(len(refused), 1)
        self.assertEqual(refused[0].code, ("limit_exceeded", "not_run"))


class LeavingTests(GatewayTestCase):
    LIST_LAG_SECONDS = 0.3

    async def test_a_planned_stop_cuts_nothing(self):
        """Guards against requests that a planned stop interrupts."""
        streams = [
            asyncio.create_task(self.complete(stream=True, max_tokens=300))
            for _ in range(4)
        ]
        await self.until(lambda: sum(e.running for e in self.engines) == 4)
        stopping = asyncio.create_task(self.app.stop())
        await asyncio.sleep(0.1)
        self.assertEqual((await self.call("GET", "/readyz", {})).status, 503)
        late = await self.complete()
        self.assertEqual((late.status, late.headers["connection"]), (200, "close"))
        for answer in await asyncio.gather(*streams):
            self.assertTrue(answer.whole)
            self.assertEqual(stream_text(answer.body)[1], list(range(300)))
        await stopping
        with self.assertRaises(OSError):
            await Caller.connect(self.address)

    async def test_leaving_upstreams_get_no_new_work(self):
        """Guards against work that is sent to an upstream about to go."""
        notices = {"notice": 0, "manifest": 1}
        for cause, number in notices.items():
            with self.subTest(cause=cause):
                desk = self.desks[number]
                if cause == "notice":
                    desk.leaving = 30.0
                    await self.until(lambda: self._leaving() == ["desk-1"], 2.0)
                    desk.leaving = 0.0
                    await self.until(lambda: not self._leaving(), 2.0)
                else:
                    upstreams = self.configuration.manifest.pools[1].upstreams
                    changed = tuple(
                        msgspec.structs.replace(item, leaving=item.id == desk.name)
                        for item in upstreams
                    )
                    self.configuration.change_pool("desk", upstreams=changed)
                    self.assertEqual(self._leaving(), [desk.name])
                    desk.requests.clear()
                    for _ in range(6):
                        await self.call("GET", "/booking/x")
                    self.assertEqual(desk.requests, [])

    def _leaving(self):
        views = self.app.service("upstreams").views("desk")
        return [view.id for view in views if view.leaving]


class PlatformListTests(GatewayTestCase):
    """A membership service whose list a test sets."""

    def provide(self, app):
        self.listed = []
        self.announced = False
        app.provide("membership", self)

    def live_count(self):
        """Return one instance."""
        return 1

    def announce_leaving(self):
        """Note the announcement."""
        self.announced = True

    def platform_upstreams(self):
        """Return what the test listed."""
        return self.listed

    async def test_the_list_adds_withdraws_and_removes_upstreams(self):
        """Guards against work for upstreams that the platform takes away."""
        desk = ServiceStandin("desk-9")
        entry = {"id": "desk-9", "address": await self.serve(desk.app())}
        entry |= {"pool": "desk", "zone": "zone-a", "kind": "ordinary"}

        def states():
            views = self.app.service("upstreams").views("desk")
            return [view.leaving for view in views if view.id == "desk-9"]

        for state, expected in (("live", [False]), ("leaving", [True]), ("gone", [])):
            self.listed = [{**entry, "state": state}]
            await self.until(lambda wanted=expected: states() == wanted, 2.0)
            desk.requests.clear()
            for _ in range(6):
                self.assertEqual((await self.call("GET", "/booking/x")).status, 200)
            self.assertEqual(bool(desk.requests), state == "live")
        await self.app.stop()
        self.assertTrue(self.announced)


class UsageTests(GatewayTestCase):
    def provide(self, app):
        self.entries = []
        self.gate = asyncio.Event()
        app.provide("usage", self)

    def record(self, entry):
        """Take an entry, as the usage service does."""
        self.entries.append(entry)

    async def durable(self, entry):
        """Wait until the test says that the entry is safe."""
        await self.gate.wait()

    async def test_usage_is_durable_before_the_end_of_an_answer(self):
        """Guards against usage that is lost with the process after an answer."""
        caller = await Caller.connect(self.address)
        caller.send("POST", "/v1/completions", BEARER, completion(stream=True))
        await caller.reader.readuntil(b"id: 15\n")
        await self.until(lambda: self.entries)
        waiting = asyncio.create_task(caller.reader.readuntil(b"[DONE]\n\n"))
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        self.gate.set()
        await waiting
        entry = self.entries[0]
        self.assertEqual((entry.workspace, entry.output_tokens), ("north", 16))
        await self.call("GET", "/booking/x")
        self.assertEqual(
            (self.entries[1].service, self.entries[1].calls), ("booking", 1)
        )
