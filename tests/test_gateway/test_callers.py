"""Keys, limits, malformed requests, full queues and planned stops."""

import asyncio
import json

import msgspec

from camphorgate.manifest import Limits, key_digest
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
        """Guards against a key that is checked only once per connection."""
        caller = await Caller.connect(self.address)
        statuses = []
        for digests in ((key_digest(KEY),), ()):
            workspaces = tuple(
                msgspec.structs.replace(item, key_digests=digests)
                for item in self.configuration.manifest.workspaces[:1]
            )
            self.configuration.change(workspaces=workspaces)
            caller.send("GET", "/booking/stock", BEARER)
            response = await caller.read()
            statuses.append(response.status)
        self.assertEqual(statuses, [200, 401])
        self.assertEqual(response.error, ("key_unknown", "not_run"))

    async def test_no_key_leaves_the_gateway(self):
        """Guards against keys that reach upstreams, logs or dumps."""
        headers_with_key = {
            **BEARER,
            "X-Api-Key": KEY,
            "Proxy-Authorization": f"Bearer {KEY}",
            "Cookie": f"a=1; api_key={KEY}; b=2",
        }
        target = f"?api_key={KEY}&a=1&API%5Fkey={KEY}"
        self.assertEqual(
            (await self.call("GET", f"/booking/x{target}", headers_with_key)).status,
            200,
        )
        self.assertEqual(
            (await self.call("GET", f"/info/x{target}", headers_with_key)).status, 200
        )
        path = f"/v1/completions{target}"
        response = await self.call("POST", path, headers_with_key, completion())
        self.assertEqual(response.status, 200)
        seen = [r for u in (*self.workers, *self.engines) for r in u.requests]
        self.assertEqual(len(seen), 3)
        self.assertEqual(seen[0]["headers"]["cookie"], "a=1; b=2")
        self.assertNotIn(KEY, json.dumps(seen))
        self.assertNotIn(KEY, json.dumps(self.app.dump()))
        self.assertNotIn(KEY, "".join(self.log_lines))

    async def test_a_stale_configuration_refuses_keyed_requests_only(self):
        """Guards against a withdrawn key that works on a partitioned instance."""
        self.configuration.is_fresh = False
        response = await self.complete()
        self.assertEqual(response.error, ("configuration_stale", "not_run"))
        self.assertIn("retry-after", response.headers)
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
        """Guards against unbounded memory use and refusals without an error code."""
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
                response = await caller.read()
                self.assertEqual(
                    (response.status, response.error), (status, (code, "not_run"))
                )
                caller.close()
        self.assertEqual(self.workers[0].requests + self.workers[1].requests, [])

    async def test_a_chunked_body_that_grows_too_large(self):
        """Guards against unbounded bodies, and "not_run" after part of one was sent."""
        caller = await Caller.connect(self.address)
        caller.send("PUT", "/booking/x", {**BEARER, "transfer-encoding": "chunked"})
        for _ in range(3):
            caller.writer.write(b"c350\r\n%s\r\n" % bytes(50000))
        response = await caller.read()
        self.assertEqual((response.status, response.error[1]), (413, "unknown"))

    async def test_a_full_queue_refuses_at_once(self):
        """Guards against requests that queue although the queue is full."""
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
            started_at = loop.time()
            response = await self.complete(max_tokens=40)
            return response, loop.time() - started_at

        results = await asyncio.gather(*(timed() for _ in range(8)))
        codes = [a.error[0] for a, _ in results if a.status == 503]
        self.assertEqual(codes.count("queue_full"), 2)
        self.assertEqual(len(codes), 6)
        for response, seconds in results:
            if response.status == 503:
                self.assertEqual(response.error[1], "not_run")
                self.assertGreaterEqual(int(response.headers["retry-after"]), 1)
                self.assertLess(seconds, 1.5)

    async def test_a_workspace_over_its_limit(self):
        """Guards against a workspace that exceeds its request rate."""
        workspaces = tuple(
            msgspec.structs.replace(item, limits=Limits(requests_per_second=2))
            for item in self.configuration.manifest.workspaces
        )
        self.configuration.change(workspaces=workspaces)
        responses = [await self.call("GET", "/booking/x") for _ in range(8)]
        # A burst of two seconds' worth of requests is allowed.
        self.assertEqual([a.status for a in responses[:4]], [200] * 4)
        refused = [a for a in responses if a.status == 429]
        self.assertGreaterEqual(len(refused), 1)
        self.assertEqual(refused[0].error, ("limit_exceeded", "not_run"))


class LeavingTests(GatewayTestCase):
    LIST_LAG_SECONDS = 0.3

    async def test_a_planned_stop_cuts_nothing(self):
        """Guards against a planned stop that interrupts requests."""
        streams = [
            asyncio.create_task(self.complete(stream=True, max_tokens=300))
            for _ in range(4)
        ]
        await self.wait_until(lambda: sum(e.running for e in self.engines) == 4)
        stopping = asyncio.create_task(self.app.stop())
        await asyncio.sleep(0.1)
        self.assertEqual((await self.call("GET", "/readyz", {})).status, 503)
        late = await self.complete()
        self.assertEqual((late.status, late.headers["connection"]), (200, "close"))
        for response in await asyncio.gather(*streams):
            self.assertTrue(response.is_complete)
            self.assertEqual(stream_text(response.body)[1], list(range(300)))
        await stopping
        with self.assertRaises(OSError):
            await Caller.connect(self.address)

    async def test_leaving_upstreams_get_no_new_requests(self):
        """Guards against requests to an upstream that is leaving."""
        notices = {"notice": 0, "manifest": 1}
        for cause, worker_index in notices.items():
            with self.subTest(cause=cause):
                worker = self.workers[worker_index]
                if cause == "notice":
                    worker.leaving = 30.0
                    await self.wait_until(lambda: self._leaving() == ["desk-1"], 2.0)
                    worker.leaving = 0.0
                    await self.wait_until(lambda: not self._leaving(), 2.0)
                else:
                    upstreams = self.configuration.manifest.pools[1].upstreams
                    changed = tuple(
                        msgspec.structs.replace(item, leaving=item.id == worker.name)
                        for item in upstreams
                    )
                    self.configuration.change_pool("desk", upstreams=changed)
                    self.assertEqual(self._leaving(), [worker.name])
                    worker.requests.clear()
                    for _ in range(6):
                        await self.call("GET", "/booking/x")
                    self.assertEqual(worker.requests, [])

    def _leaving(self):
        views = self.app.service("upstreams").views("desk")
        return [view.id for view in views if view.leaving]


class PlatformListTests(GatewayTestCase):
    """The test case is the membership service, and sets the list of upstreams."""

    def provide(self, app):
        self.listed = []
        self.announced = False
        app.provide("membership", self)

    def live_count(self):
        """Return the number of live instances, which is 1."""
        return 1

    def announce_leaving(self):
        """Record the announcement."""
        self.announced = True

    def platform_upstreams(self):
        """Return the list that the test set."""
        return self.listed

    async def test_the_list_adds_withdraws_and_removes_upstreams(self):
        """Guards against requests to upstreams that the platform removes."""
        worker = ServiceStandin("desk-9")
        entry = {"id": "desk-9", "address": await self.serve(worker.app())}
        entry |= {"pool": "desk", "zone": "zone-a", "kind": "ordinary"}

        def states():
            views = self.app.service("upstreams").views("desk")
            return [view.leaving for view in views if view.id == "desk-9"]

        for state, expected in (("live", [False]), ("leaving", [True]), ("gone", [])):
            self.listed = [{**entry, "state": state}]
            await self.wait_until(lambda wanted=expected: states() == wanted, 2.0)
            worker.requests.clear()
            for _ in range(6):
                self.assertEqual((await self.call("GET", "/booking/x")).status, 200)
            self.assertEqual(bool(worker.requests), state == "live")
        await self.app.stop()
        self.assertTrue(self.announced)


class UsageTests(GatewayTestCase):
    def provide(self, app):
        self.entries = []
        self.stored = asyncio.Event()
        app.provide("usage", self)

    def record(self, entry):
        """Record an entry, as the usage service does."""
        self.entries.append(entry)

    async def durable(self, entry):
        """Wait until the test marks the entry as durable."""
        await self.stored.wait()

    async def test_usage_is_durable_before_the_end_of_a_response(self):
        """Guards against a response whose usage is lost when the process dies."""
        caller = await Caller.connect(self.address)
        caller.send("POST", "/v1/completions", BEARER, completion(stream=True))
        await caller.reader.readuntil(b"id: 15\n")
        await self.wait_until(lambda: self.entries)
        waiting = asyncio.create_task(caller.reader.readuntil(b"[DONE]\n\n"))
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        self.stored.set()
        await waiting
        entry = self.entries[0]
        self.assertEqual((entry.workspace, entry.output_tokens), ("north", 16))
        await self.call("GET", "/booking/x")
        self.assertEqual(
            (self.entries[1].service, self.entries[1].calls), ("booking", 1)
        )
