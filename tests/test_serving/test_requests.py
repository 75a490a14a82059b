"""Tests of requests through a hosted daemon, from the caller to the workers."""

import asyncio

from camphorgated.serving.client_connection import connect
from tests.hosted import HostedCase
from tests.hosting_builders import build_platform_configuration, build_platform_entry

PROMPT = {
    b"x-model": b"m",
    b"x-token-count": b"1460,88",
    b"x-prompt-prefix": b"5c:800,91:660",
}


class CallTests(HostedCase):
    """Requests to a service without engines."""

    async def asyncSetUp(self):
        """Start two workers and a daemon."""
        await super().asyncSetUp()
        self.configure()
        await self.add_worker("desk-1")
        await self.add_worker("desk-2")
        self.app = await self.start_ready()

    def runs(self):
        """Return the executions at both workers."""
        return [run for worker in self.workers.values() for run in worker.runs]

    def arm(self, fault, **options):
        """Arm a fault at both workers."""
        for worker in self.workers.values():
            worker.faults.arm({"fault": fault, **options})

    async def test_request_reaches_a_worker_unchanged(self):
        """Guards against modified requests and API keys that reach a worker."""
        response = await self.request(
            self.app, "/read/a?b=c", method="POST", body=b"hi"
        )
        self.assertEqual((response.status, response.body), (200, b"done hi"))
        self.assertIn(b"x-server-stamp", response.headers)
        (run,) = self.runs()
        self.assertEqual((run["method"], run["body"]), ("POST", "hi"))
        self.assertEqual(run["headers"]["x-tenant"], "north")
        self.assertNotIn("authorization", run["headers"])
        self.assertLessEqual(int(run["headers"]["x-deadline"]), 2000)

    async def test_unknown_key_and_route_are_not_executed(self):
        """Guards against executing requests that belong to no workspace."""
        wrong = {b"authorization": b"Bearer nobody"}
        response = await self.request(self.app, "/read/a", headers=wrong)
        self.assertEqual(response.status, 401)
        response = await self.request(
            self.app, "/read/a", headers={b"authorization": None}
        )
        self.assertEqual(response.status, 401)
        self.assertEqual((await self.request(self.app, "/none/a")).status, 404)
        self.assertEqual(self.runs(), [])

    async def test_public_route_needs_no_key(self):
        """Guards against a workspace header on public routes."""
        headers = {b"authorization": None, b"x-tenant": b"forged"}
        response = await self.request(self.app, "/open/a", headers=headers)
        self.assertEqual(response.status, 200)
        self.assertNotIn("x-tenant", self.runs()[0]["headers"])

    async def test_refused_booking_is_sent_to_another_worker(self):
        """Guards against failing a booking that was not executed."""
        self.workers["desk-1"].faults.arm({"fault": "refuse", "count": 1})
        self.workers["desk-2"].faults.arm({"fault": "refuse", "count": 1})
        responses = [
            await self.request(self.app, "/book/a", method="POST") for _ in "ab"
        ]
        self.assertEqual([response.status for response in responses], [200, 200])
        self.assertEqual(len(self.runs()), 2)

    async def test_booking_with_a_lost_response_is_executed_once(self):
        """Guards against a duplicate booking and a false "not run"."""
        self.arm("lose_answers", count=1)
        response = await self.request(self.app, "/book/a", method="POST")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.runs()), 1)

    async def test_lookup_with_a_lost_response_is_retried(self):
        """Guards against failing a request that may be retried."""
        self.workers["desk-1"].faults.arm({"fault": "lose_answers", "count": 1})
        self.workers["desk-2"].faults.arm({"fault": "lose_answers", "count": 0})
        responses = [await self.request(self.app, "/read/a") for _ in range(2)]
        self.assertEqual([response.status for response in responses], [200, 200])

    async def test_response_to_another_request_is_not_forwarded(self):
        """Guards against swapped responses."""
        self.arm("wrong_attempt")
        response = await self.request(self.app, "/book/a", method="POST")
        self.assertEqual(response.status, 502)
        self.assertNotIn(b"done", response.body)

    async def test_success_without_a_stamp_is_not_forwarded(self):
        """Guards against forwarding a success that no worker confirmed."""
        self.arm("unstamped")
        response = await self.request(self.app, "/book/a", method="POST")
        self.assertEqual(response.status, 502)

    async def test_error_of_a_worker_is_forwarded_unchanged(self):
        """Guards against replacing a worker's error with another outcome."""
        self.arm("fail")
        response = await self.request(self.app, "/book/a", method="POST")
        self.assertEqual((response.status, response.body), (500, b"failed"))
        self.assertEqual(len(self.runs()), 1)

    async def test_silent_worker_gives_an_unknown_outcome_in_time(self):
        """Guards against a caller that waits beyond its deadline."""
        self.arm("silent")
        started_at = asyncio.get_running_loop().time()
        headers = {b"x-deadline": b"400"}
        response = await self.request(
            self.app, "/book/a", method="POST", headers=headers
        )
        self.assertEqual(response.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - started_at, 0.6)

    async def test_request_without_a_worker_is_refused_at_once(self):
        """Guards against making callers wait when no worker is listed."""
        for worker_id in list(self.workers):
            self.store.remove(f"servers/{worker_id}")
        directory = self.app.service("directory")
        await self.eventually(lambda: not directory.table.by_id)
        started_at = asyncio.get_running_loop().time()
        response = await self.request(self.app, "/book/a", method="POST")
        self.assertEqual(response.status, 503)
        self.assertIn(b"retry-after", response.headers)
        self.assertLess(asyncio.get_running_loop().time() - started_at, 0.5)

    async def test_leaving_worker_receives_no_new_request(self):
        """Guards against requests to a draining worker."""
        address = self.app.service("directory").table.by_id["desk-1"].address
        entry = build_platform_entry(address, state="draining", sequence=2)
        self.store.put("servers/desk-1", entry)
        directory = self.app.service("directory")
        await self.eventually(lambda: directory.table.by_id["desk-1"].leaving)
        for _ in range(6):
            await self.request(self.app, "/read/a")
        self.assertEqual(self.workers["desk-1"].runs, [])

    async def test_worker_at_a_reused_address_is_not_used(self):
        """Guards against executing a request on another service's worker."""
        self.workers["desk-1"].id = "somebody-else"
        for _ in range(4):
            response = await self.request(self.app, "/read/a")
            self.assertEqual(response.status, 200)
        self.assertEqual(self.workers["desk-1"].runs, [])

    async def test_connection_of_a_caller_is_persistent(self):
        """Guards against callers that must connect for every request."""
        host, _, port = self.app.settings.caller_address.rpartition(":")
        connection = await connect(host, int(port), 1.0)
        self.addCleanup(connection.close)
        for _ in range(3):
            response = await self.request_on(connection, "/read/a")
            self.assertEqual(response.status, 200)
        self.assertTrue(connection.usable)

    async def test_revoked_key_is_refused_on_an_open_connection(self):
        """Guards against accepting a revoked key on a persistent connection."""
        host, _, port = self.app.settings.caller_address.rpartition(":")
        connection = await connect(host, int(port), 1.0)
        self.addCleanup(connection.close)
        self.assertEqual((await self.request_on(connection, "/read/a")).status, 200)
        self.configure(2, tenants=[{"name": "north", "api-keys": []}])
        directory = self.app.service("directory")
        await self.eventually(lambda: directory.catalog.version == 2)
        self.assertEqual((await self.request_on(connection, "/read/a")).status, 401)

    async def test_raised_limit_applies_to_an_open_connection(self):
        """Guards against refusals that only an older version asks for."""
        host, _, port = self.app.settings.caller_address.rpartition(":")
        connection = await connect(host, int(port), 1.0)
        self.addCleanup(connection.close)
        self.assertEqual((await self.request_on(connection, "/read/a")).status, 200)
        limits = build_platform_configuration()["limits"]
        self.configure(2, limits={**limits, "max-body-bytes": 400_000})
        directory = self.app.service("directory")
        await self.eventually(lambda: directory.catalog.version == 2)
        response = await self.request_on(
            connection, "/book/a", method="POST", body=b"x" * 200_000
        )
        self.assertEqual(response.status, 200)

    async def test_configuration_never_goes_back(self):
        """Guards against applying an older version that arrives late."""
        self.configure(5)
        directory = self.app.service("directory")
        await self.eventually(lambda: directory.catalog.version == 5)
        self.configure(3)
        await asyncio.sleep(0.2)
        self.assertEqual(directory.catalog.version, 5)

    async def test_booking_continues_when_its_caller_disconnects(self):
        """Guards against aborting a booking during its execution."""
        self.arm("slow", value=0.2)
        host, _, port = self.app.settings.caller_address.rpartition(":")
        connection = await connect(host, int(port), 1.0)
        pending = asyncio.ensure_future(
            self.request_on(connection, "/book/a", method="POST")
        )
        await asyncio.sleep(0.1)
        connection.close()
        pending.cancel()
        await self.eventually(lambda: len(self.runs()) == 1)

    async def test_drain_completes_requests_and_closes_idle_connections(self):
        """Guards against a planned stop that interrupts requests."""
        host, _, port = self.app.settings.caller_address.rpartition(":")
        idle = await connect(host, int(port), 1.0)
        self.addCleanup(idle.close)
        front = self.app.service("front")
        self.arm("slow", value=0.3)
        pending = asyncio.ensure_future(self.request(self.app, "/read/a"))
        await asyncio.sleep(0.05)
        drain = asyncio.ensure_future(front.drain())
        await asyncio.sleep(0.05)
        self.assertFalse(front.ready())
        response = await pending
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers[b"connection"], b"close")
        await drain
        await self.eventually(lambda: not idle.usable)


class GenerationTests(HostedCase):
    """Requests to language models."""

    async def asyncSetUp(self):
        """Start one prefill and two decode engines, and a daemon."""
        await super().asyncSetUp()
        self.configure()
        self.prefill_engine = await self.add_worker("p1", "models", phase="prefill")
        self.decode_engines = [
            await self.add_worker(f"d{n}", "models", phase="decode") for n in (1, 2)
        ]
        self.app = await self.start_ready()

    def runs(self):
        """Return the executions at the decode engines."""
        return [run for worker in self.decode_engines for run in worker.runs]

    def build_expected_events(self, first=1, last=8):
        """Return the events of a complete stream."""
        return b"".join(
            b"id: %d\ndata: token-%d\n\n" % (number, number)
            for number in range(first, last + 1)
        )

    async def test_long_prompt_is_prefilled_separately(self):
        """Guards against prompts prefilled twice, or by the wrong engine."""
        headers = {
            **PROMPT,
            b"x-token-count": b"14600,88",
            b"x-prompt-prefix": b"a:14600",
        }
        response = await self.request(
            self.app, "/draft/a", method="POST", headers=headers
        )
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual(response.body, self.build_expected_events())
        self.assertEqual(len(self.prefill_engine.prefills), 1)
        (run,) = self.runs()
        self.assertIn("/h", run["headers"]["x-kv-source"])

    async def test_broken_stream_resumes_without_gap_or_duplicate(self):
        """Guards against lost, duplicate and partial events after a break."""
        for worker in self.decode_engines:
            worker.faults.arm({"fault": "break_stream", "count": 1, "value": 3})
        self.decode_engines[1].faults.arm({"fault": "none"})
        responses = []
        for _ in range(2):
            responses.append(
                await self.request(self.app, "/chat/a", method="POST", headers=PROMPT)
            )
        for response in responses:
            self.assertTrue(response.complete)
            self.assertEqual(response.body, self.build_expected_events())
        resumed = [run for run in self.runs() if "last-event-id" in run["headers"]]
        self.assertEqual([run["headers"]["last-event-id"] for run in resumed], ["3"])

    async def test_broken_stream_that_may_not_resume_is_incomplete(self):
        """Guards against an incomplete stream that looks complete."""
        for worker in self.decode_engines:
            worker.faults.arm({"fault": "break_stream", "count": 1, "value": 3})
        response = await self.request(
            self.app, "/draft/a", method="POST", headers=PROMPT
        )
        self.assertFalse(response.complete)
        self.assertEqual(len(self.runs()), 1)

    async def test_prompt_that_no_engine_can_hold_is_refused(self):
        """Guards against retries of a prompt that is beyond an engine's memory."""
        headers = {
            **PROMPT,
            b"x-token-count": b"400001,88",
            b"x-prompt-prefix": b"a:400001",
        }
        response = await self.request(
            self.app, "/chat/a", method="POST", headers=headers
        )
        self.assertEqual(response.status, 503)
        self.assertNotIn(b"retry-after", response.headers)
        self.assertIn(b'"run":"not_run"', response.body)
        self.assertEqual(self.runs(), [])

    def build_long_prompt_headers(self):
        """Return the headers of a prompt that is prefilled separately."""
        return {
            **PROMPT,
            b"x-token-count": b"14600,88",
            b"x-prompt-prefix": b"a:14600",
        }

    async def test_refused_handle_is_used_on_another_engine(self):
        """Guards against a second prefill because one decode engine was full."""
        self.decode_engines[0].phase = "prefill"
        headers = self.build_long_prompt_headers()
        for _ in range(2):
            response = await self.request(
                self.app, "/draft/a", method="POST", headers=headers
            )
            self.assertEqual(response.body, self.build_expected_events())
        self.assertEqual(len(self.prefill_engine.prefills), 2)
        for run in self.runs():
            self.assertIn("/h", run["headers"]["x-kv-source"])

    async def test_lost_handle_is_prefilled_again_by_a_prefill_engine(self):
        """Guards against long prefills that delay the streams of a decode engine."""
        for worker in self.decode_engines:
            worker.faults.arm({"fault": "refuse", "count": 1})
        headers = self.build_long_prompt_headers()
        response = await self.request(
            self.app, "/draft/a", method="POST", headers=headers
        )
        self.assertEqual(response.body, self.build_expected_events())
        self.assertEqual(len(self.prefill_engine.prefills), 2)
        self.assertEqual(len(self.runs()), 1)

    async def test_decode_engine_prefills_if_the_prefill_engine_is_down(self):
        """Guards against requests that fail with their prefill engine."""
        self.prefill_engine.faults.arm({"fault": "down"})
        headers = {
            **PROMPT,
            b"x-token-count": b"14600,88",
            b"x-prompt-prefix": b"a:14600",
        }
        response = await self.request(
            self.app, "/draft/a", method="POST", headers=headers
        )
        self.assertEqual(response.body, self.build_expected_events())
        self.assertNotIn("x-kv-source", self.runs()[0]["headers"])

    async def test_forged_handle_of_a_caller_is_dropped(self):
        """Guards against decoding from another request's KV cache."""
        headers = {**PROMPT, b"x-kv-source": b"1.2.3.4:5/stolen", b"x-phase": b"decode"}
        await self.request(self.app, "/draft/a", method="POST", headers=headers)
        for run in self.runs():
            self.assertNotIn("stolen", run["headers"].get("x-kv-source", ""))
