"""Tests of responses that are none: early, reset, or with an impossible status."""

import asyncio

import uvloop

from camphorgated.serving.call_client import CallClient
from camphorgated.serving.errors import CallFailed
from camphorgated.serving.exchange import ENDED_CAUSES, INVALID_HEAD
from tests.hosting_builders import build_platform_configuration, build_platform_entry
from tests.scripted_worker import EVENTS, ScriptedWorker, build_event
from tests.test_serving.test_faulty_upstreams import ScriptedWorkerCase

UPLOAD_BYTES = 4_000_000
INVALID_STATUSES = ("000", "001", "099", "600", "700", "999", "2", "20", "2000", "-200")
# With and without a pause, an end arrives separately from the bytes before it and
# together with them.
PAUSES = ("0", "0.05")
STREAM = b"".join(build_event("attempt-1", n) for n in range(1, EVENTS + 1))


class InvalidResponseTests(ScriptedWorkerCase):
    """Runs in uvloop, as in production: loops report the end of a connection."""

    @classmethod
    def setUpClass(cls):
        """Use uvloop."""
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls):
        """Use the default event loop again."""
        asyncio.set_event_loop_policy(None)

    async def start_one(self):
        """Start one worker and a daemon that accepts large bodies."""
        worker = ScriptedWorker("w1", [])
        await worker.start()
        self.stack.push_async_callback(worker.stop)
        configuration = build_platform_configuration()
        limits = {**configuration["limits"], "max-body-bytes": 2 * UPLOAD_BYTES}
        self.configure(routes=configuration["routes"], limits=limits)
        self.store.put("servers/w1", build_platform_entry(worker.address))
        self.workers["w1"] = worker
        return await self.start_ready(), worker

    async def post(self, app, worker, script, path="/book/a", **options):
        """Send a request to a worker with a script; return response and runs."""
        worker.script[:] = script
        worker.runs.clear()
        headers = {b"x-deadline": b"1500"}
        response = await self.request(
            app, path, method="POST", headers=headers, **options
        )
        return response, len(worker.runs)

    async def test_partial_response_to_an_upload_is_not_a_success(self):
        """Guards against a partial body that a caller receives as a complete one."""
        app, worker = await self.start_one()
        body = b"x" * UPLOAD_BYTES
        for read in (0, 100_000):
            for pause in PAUSES:
                for ending in ("reset", "close", "half_close"):
                    for path in ("/book/a", "/read/a"):
                        case = f"respond_early:{read}:{pause}:{ending}"
                        with self.subTest(case=case, path=path):
                            response, _ = await self.post(
                                app, worker, [case] * 2, path, body=body
                            )
                            self.assertIn(response.status, (502, 504))

    async def test_stream_whose_connection_is_reset_is_resumed(self):
        """Guards against a reset that is taken for the end of a stream."""
        for pause in PAUSES:
            app, workers = await self.start_scripted([], engine=True)
            # A new instance has few retries.
            for _ in range(3):
                workers[0].script[:] = [f"respond_early:0:{pause}:reset"]
                response = await self.request_stream(app)
                self.assertEqual(response.body, STREAM)

    async def test_caller_never_sees_an_invalid_status(self):
        """Guards against an upstream in trouble whose status is passed on.

        The failure is immediate, and nothing after the head is read as a response.
        """
        app, worker = await self.start_one()
        upstream = app.service("directory").table.by_id["w1"]
        pool = app.service("upstreams").pool
        for status in (*INVALID_STATUSES, "101"):
            for behaviour in ("send_status", "send_status_before_response"):
                with self.subTest(status=status, behaviour=behaviour):
                    response, runs = await self.post(
                        app, worker, [f"{behaviour}:{status}"]
                    )
                    self.assertEqual((response.status, runs), (502, 1))
                    self.assertFalse(pool.connected(upstream.incarnation))
        # An upstream that responds has not ended under its request.
        self.assertNotIn(INVALID_HEAD, ENDED_CAUSES)

    async def test_request_is_sent_again_where_it_may_be(self):
        """Guards against giving up a request that another attempt can serve."""
        for status in ("000", "600"):
            app, _ = await self.start_scripted([f"send_status:{status}"], engine=True)
            self.assertEqual((await self.request_stream(app)).body, STREAM)

    async def test_calls_to_external_systems_fail(self):
        """Guards against an invalid status of the store or of an engine's report."""
        worker = ScriptedWorker(
            "w1", [f"send_status:{item}" for item in ("600", "999")]
        )
        await worker.start()
        self.stack.push_async_callback(worker.stop)
        host, _, port = worker.address.rpartition(":")
        for _ in range(2):
            with self.assertRaises(CallFailed):
                await CallClient((host, int(port)), 1.0).call("GET", "/v1/report")

    async def test_other_responses_are_passed_on(self):
        """Guards against unusual, interim and unframed responses that fail."""
        app, worker = await self.start_one()
        for behaviour, status in (
            *((f"send_status:{status}", status) for status in (201, 299, 418, 599)),
            *((f"send_status_before_response:{n}", 200) for n in (100, 103, 199)),
            ("respond_and_close", 200),
        ):
            with self.subTest(behaviour=behaviour):
                response, _ = await self.post(app, worker, [behaviour])
                self.assertEqual(response.status, status)
