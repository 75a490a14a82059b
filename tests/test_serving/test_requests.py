"""Tests of requests through a hosted daemon, from the caller to the workers."""

import asyncio

from camphorgated.serving.client_connection import connect
from tests.hosted import HostedCase
from tests.hosting_builders import build_platform_entry

PROMPT = {
    b"x-model": b"m",
    b"x-token-count": b"1460,88",
    b"x-prompt-prefix": b"5c:800,91:660",
}


class CallTests(HostedCase):
    """Requests to a plain service."""

    async def asyncSetUp(self):
        """Start two workers and a daemon."""
        await super().asyncSetUp()
        self.configure()
        await self.add_worker("desk-1")
        await self.add_worker("desk-2")
        self.app = await self.start_ready()

    def runs(self):
        """Return the runs at both workers."""
        return [run for worker in self.workers.values() for run in worker.runs]

    def arm(self, fault, **options):
        """Arm a fault at both workers."""
        for worker in self.workers.values():
            worker.faults.arm({"fault": fault, **options})

    async def test_request_reaches_a_worker_unchanged(self):
        """Guards against changed requests and keys that are passed on."""
        reply = await self.ask(self.app, "/read/a?b=c", method="POST", body=b"hi")
        self.assertEqual((reply.status, reply.body), (200, b"done hi"))
        self.assertIn(b"x-server-stamp", reply.headers)
        (run,) = self.runs()
        self.assertEqual((run["method"], run["body"]), ("POST", "hi"))
        self.assertEqual(run["headers"]["x-tenant"], "north")
        self.assertNotIn("authorization", run["headers"])
        self.assertLessEqual(int(run["headers"]["x-deadline"]), 2000)

    async def test_unknown_key_and_route_run_nowhere(self):
        """Guards against work for nobody's workspace."""
        wrong = {b"authorization": b"Bearer nobody"}
        reply = await self.ask(self.app, "/read/a", headers=wrong)
        self.assertEqual(reply.status, 401)
        reply = await self.ask(self.app, "/read/a", headers={b"authorization": None})
        self.assertEqual(reply.status, 401)
        self.assertEqual((await self.ask(self.app, "/none/a")).status, 404)
        self.assertEqual(self.runs(), [])

    async def test_open_route_needs_no_key(self):
        """Guards against a workspace on routes that are open to all."""
        headers = {b"authorization": None, b"x-tenant": b"forged"}
        reply = await self.ask(self.app, "/open/a", headers=headers)
        self.assertEqual(reply.status, 200)
        self.assertNotIn("x-tenant", self.runs()[0]["headers"])

    async def test_refused_booking_moves_to_another_worker(self):
        """Guards against giving up a booking that has not run."""
        self.workers["desk-1"].faults.arm({"fault": "refuse", "count": 1})
        self.workers["desk-2"].faults.arm({"fault": "refuse", "count": 1})
        replies = [await self.ask(self.app, "/book/a", method="POST") for _ in "ab"]
        self.assertEqual([reply.status for reply in replies], [200, 200])
        self.assertEqual(len(self.runs()), 2)

    async def test_booking_whose_answer_is_lost_runs_once(self):
        """Guards against a doubled booking and a false "not run"."""
        self.arm("lose_answers", count=1)
        reply = await self.ask(self.app, "/book/a", method="POST")
        self.assertEqual(reply.status, 502)
        self.assertEqual(len(self.runs()), 1)

    async def test_lookup_whose_answer_is_lost_is_repeated(self):
        """Guards against failing what may run again."""
        self.workers["desk-1"].faults.arm({"fault": "lose_answers", "count": 1})
        self.workers["desk-2"].faults.arm({"fault": "lose_answers", "count": 0})
        replies = [await self.ask(self.app, "/read/a") for _ in range(2)]
        self.assertEqual([reply.status for reply in replies], [200, 200])

    async def test_answer_of_another_request_is_not_passed_on(self):
        """Guards against answers that are mixed up."""
        self.arm("wrong_attempt")
        reply = await self.ask(self.app, "/book/a", method="POST")
        self.assertEqual(reply.status, 502)
        self.assertNotIn(b"done", reply.body)

    async def test_success_without_a_stamp_is_not_passed_on(self):
        """Guards against bytes that no worker vouches for."""
        self.arm("unstamped")
        reply = await self.ask(self.app, "/book/a", method="POST")
        self.assertEqual(reply.status, 502)

    async def test_failure_of_a_worker_is_passed_on_as_it_is(self):
        """Guards against an outcome that the system invents."""
        self.arm("fail")
        reply = await self.ask(self.app, "/book/a", method="POST")
        self.assertEqual((reply.status, reply.body), (500, b"failed"))
        self.assertEqual(len(self.runs()), 1)

    async def test_silent_worker_ends_with_an_unknown_outcome_in_time(self):
        """Guards against a caller that waits beyond its deadline."""
        self.arm("silent")
        began = asyncio.get_running_loop().time()
        headers = {b"x-deadline": b"400"}
        reply = await self.ask(self.app, "/book/a", method="POST", headers=headers)
        self.assertEqual(reply.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - began, 0.6)

    async def test_no_worker_refuses_at_once_as_not_run(self):
        """Guards against callers that wait for nothing."""
        for worker_id in list(self.workers):
            self.store.remove(f"servers/{worker_id}")
        directory = self.app.service("directory")
        await self.eventually(lambda: not directory.table.by_id)
        began = asyncio.get_running_loop().time()
        reply = await self.ask(self.app, "/book/a", method="POST")
        self.assertEqual(reply.status, 503)
        self.assertIn(b"retry-after", reply.headers)
        self.assertLess(asyncio.get_running_loop().time() - began, 0.5)

    async def test_leaving_worker_gets_nothing_new(self):
        """Guards against work for a worker that drains."""
        address = self.app.service("directory").table.by_id["desk-1"].address
        entry = build_platform_entry(address, state="draining", sequence=2)
        self.store.put("servers/desk-1", entry)
        directory = self.app.service("directory")
        await self.eventually(lambda: directory.table.by_id["desk-1"].leaving)
        for _ in range(6):
            await self.ask(self.app, "/read/a")
        self.assertEqual(self.workers["desk-1"].runs, [])

    async def test_worker_at_a_reused_address_is_not_used(self):
        """Guards against a request that runs at another service's worker."""
        self.workers["desk-1"].id = "somebody-else"
        for _ in range(4):
            reply = await self.ask(self.app, "/read/a")
            self.assertEqual(reply.status, 200)
        self.assertEqual(self.workers["desk-1"].runs, [])

    async def test_connection_of_a_caller_is_kept(self):
        """Guards against callers that must connect for every request."""
        host, _, port = self.app.settings.caller_address.rpartition(":")
        connection = await connect(host, int(port), 1.0)
        self.addCleanup(connection.close)
        for _ in range(3):
            reply = await self.ask_on(connection, "/read/a")
            self.assertEqual(reply.status, 200)
        self.assertTrue(connection.usable)

    async def test_withdrawn_key_stops_on_an_open_connection(self):
        """Guards against callers that go on after their key was taken away."""
        host, _, port = self.app.settings.caller_address.rpartition(":")
        connection = await connect(host, int(port), 1.0)
        self.addCleanup(connection.close)
        self.assertEqual((await self.ask_on(connection, "/read/a")).status, 200)
        self.configure(2, tenants=[{"name": "north", "api-keys": []}])
        directory = self.app.service("directory")
        await self.eventually(lambda: directory.catalog.version == 2)
        self.assertEqual((await self.ask_on(connection, "/read/a")).status, 401)

    async def test_configuration_never_goes_back(self):
        """Guards against an older version that arrives late."""
        self.configure(5)
        directory = self.app.service("directory")
        await self.eventually(lambda: directory.catalog.version == 5)
        self.configure(3)
        await asyncio.sleep(0.2)
        self.assertEqual(directory.catalog.version, 5)

    async def test_booking_goes_on_when_its_caller_leaves(self):
        """Guards against bookings that are broken off half done."""
        self.arm("slow", value=0.2)
        host, _, port = self.app.settings.caller_address.rpartition(":")
        connection = await connect(host, int(port), 1.0)
        asked = asyncio.ensure_future(self.ask_on(connection, "/book/a", method="POST"))
        await asyncio.sleep(0.1)
        connection.close()
        asked.cancel()
        await self.eventually(lambda: len(self.runs()) == 1)

    async def test_drain_ends_requests_and_closes_idle_connections(self):
        """Guards against requests that a planned stop cuts."""
        host, _, port = self.app.settings.caller_address.rpartition(":")
        idle = await connect(host, int(port), 1.0)
        self.addCleanup(idle.close)
        front = self.app.service("front")
        self.arm("slow", value=0.3)
        asked = asyncio.ensure_future(self.ask(self.app, "/read/a"))
        await asyncio.sleep(0.05)
        drain = asyncio.ensure_future(front.drain())
        await asyncio.sleep(0.05)
        self.assertFalse(front.ready())
        reply = await asked
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.headers[b"connection"], b"close")
        await drain
        await self.eventually(lambda: not idle.usable)


class GenerationTests(HostedCase):
    """Requests to language models."""

    async def asyncSetUp(self):
        """Start a reading and two answering engines, and a daemon."""
        await super().asyncSetUp()
        self.configure()
        self.reader = await self.add_worker("p1", "models", phase="prefill")
        self.answerers = [
            await self.add_worker(f"d{n}", "models", phase="decode") for n in (1, 2)
        ]
        self.app = await self.start_ready()

    def runs(self):
        """Return the runs at the answering engines."""
        return [run for worker in self.answerers for run in worker.runs]

    def expected(self, first=1, last=8):
        """Return the events of a whole stream."""
        return b"".join(
            b"id: %d\ndata: token-%d\n\n" % (number, number)
            for number in range(first, last + 1)
        )

    async def test_prompt_is_read_apart_and_its_handle_taken(self):
        """Guards against prompts that are read twice, or by the wrong engine."""
        headers = {
            **PROMPT,
            b"x-token-count": b"14600,88",
            b"x-prompt-prefix": b"a:14600",
        }
        reply = await self.ask(self.app, "/draft/a", method="POST", headers=headers)
        self.assertEqual((reply.status, reply.whole), (200, True))
        self.assertEqual(reply.body, self.expected())
        self.assertEqual(len(self.reader.prefills), 1)
        (run,) = self.runs()
        self.assertIn("/h", run["headers"]["x-kv-source"])

    async def test_broken_stream_goes_on_without_gap_or_repeat(self):
        """Guards against lost, doubled and half events after a break."""
        for worker in self.answerers:
            worker.faults.arm({"fault": "break_stream", "count": 1, "value": 3})
        self.answerers[1].faults.arm({"fault": "none"})
        replies = []
        for _ in range(2):
            replies.append(
                await self.ask(self.app, "/chat/a", method="POST", headers=PROMPT)
            )
        for reply in replies:
            self.assertTrue(reply.whole)
            self.assertEqual(reply.body, self.expected())
        resumed = [run for run in self.runs() if "last-event-id" in run["headers"]]
        self.assertEqual([run["headers"]["last-event-id"] for run in resumed], ["3"])

    async def test_broken_stream_that_may_not_resume_is_cut(self):
        """Guards against a part of a stream that looks complete."""
        for worker in self.answerers:
            worker.faults.arm({"fault": "break_stream", "count": 1, "value": 3})
        reply = await self.ask(self.app, "/draft/a", method="POST", headers=PROMPT)
        self.assertFalse(reply.whole)
        self.assertEqual(len(self.runs()), 1)

    def long_prompt(self):
        """Return the headers of a prompt that is read apart."""
        return {
            **PROMPT,
            b"x-token-count": b"14600,88",
            b"x-prompt-prefix": b"a:14600",
        }

    async def test_refused_handle_is_taken_by_another_engine(self):
        """Guards against reading a prompt again because one engine was full."""
        self.answerers[0].phase = "prefill"
        headers = self.long_prompt()
        for _ in range(2):
            reply = await self.ask(self.app, "/draft/a", method="POST", headers=headers)
            self.assertEqual(reply.body, self.expected())
        self.assertEqual(len(self.reader.prefills), 2)
        for run in self.runs():
            self.assertIn("/h", run["headers"]["x-kv-source"])

    async def test_handle_that_is_gone_is_read_again_by_a_reading_engine(self):
        """Guards against long prompts that hold up the streams of an engine."""
        for worker in self.answerers:
            worker.faults.arm({"fault": "refuse", "count": 1})
        headers = self.long_prompt()
        reply = await self.ask(self.app, "/draft/a", method="POST", headers=headers)
        self.assertEqual(reply.body, self.expected())
        self.assertEqual(len(self.reader.prefills), 2)
        self.assertEqual(len(self.runs()), 1)

    async def test_dead_reader_leaves_the_reading_to_the_answerer(self):
        """Guards against requests that die with the engine that reads."""
        self.reader.faults.arm({"fault": "down"})
        headers = {
            **PROMPT,
            b"x-token-count": b"14600,88",
            b"x-prompt-prefix": b"a:14600",
        }
        reply = await self.ask(self.app, "/draft/a", method="POST", headers=headers)
        self.assertEqual(reply.body, self.expected())
        self.assertNotIn("x-kv-source", self.runs()[0]["headers"])

    async def test_forged_handle_of_a_caller_is_dropped(self):
        """Guards against a stream that goes on from another's memory."""
        headers = {**PROMPT, b"x-kv-source": b"1.2.3.4:5/stolen", b"x-phase": b"decode"}
        await self.ask(self.app, "/draft/a", method="POST", headers=headers)
        for run in self.runs():
            self.assertNotIn("stolen", run["headers"].get("x-kv-source", ""))
