"""Tests of responses that are none: early, reset, or with an impossible status."""

import asyncio

import uvloop

from camphorgate.serving.catalog import Stage
from camphorgated.serving.call_client import CallClient
from camphorgated.serving.client_connection import connect
from camphorgated.serving.errors import CallFailed, ExchangeError
from camphorgated.serving.exchange import ENDED_CAUSES
from tests.hosting_builders import (
    HOST,
    build_platform_configuration,
    build_platform_entry,
)
from tests.scripted_worker import EVENTS, ScriptedWorker, build_event
from tests.test_serving.test_faulty_upstreams import ScriptedWorkerCase

UPLOAD_BYTES = 4_000_000
# Statuses outside 100 to 599, and malformed ones.
INVALID_STATUSES = ("000", "001", "099", "600", "700", "999", "2", "20", "2000", "-200")
ENDINGS = ("reset", "close", "half_close")
# With and without a pause, an end arrives separately from the bytes before it and
# together with them.
PAUSES = ("0", "0.05")


class UvloopCase(ScriptedWorkerCase):
    """Runs the daemon in the event loop that it uses in production.

    libuv reports a reset that it sees together with the last bytes as an orderly end.
    """

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
        entry = build_platform_entry(worker.address)
        self.store.put(f"servers/{worker.id}", entry)
        self.workers[worker.id] = worker
        return await self.start_ready(), worker


class EarlyResponseTests(UvloopCase):
    """A response that ends while the request is being written is incomplete."""

    async def test_partial_response_to_an_upload_is_not_a_success(self):
        """Guards against a partial body that a caller receives as a complete one."""
        body = b"x" * UPLOAD_BYTES
        cases = [
            f"respond_early:{read}:{pause}:{ending}"
            for read in (0, 100_000)
            for pause in PAUSES
            for ending in ENDINGS
        ]
        app, worker = await self.start_one()
        for number, case in enumerate(cases):
            for path in ("/book/a", "/read/a"):
                with self.subTest(case=case, path=path):
                    worker.script[:] = [case] * 2
                    attempt = f"attempt-{number}".encode()
                    response = await self.request(
                        app,
                        path,
                        method="POST",
                        body=body,
                        headers={b"x-attempt-id": attempt, b"x-deadline": b"1500"},
                    )
                    self.assertIn(response.status, (502, 504))
                    self.assertNotIn(b"x-not-executed", response.headers)


class UnframedResponseTests(UvloopCase):
    """A response without a length is complete only if its connection was closed."""

    async def test_reset_is_not_the_end_of_a_response(self):
        """Guards against a reset that is taken for the end of the connection."""
        for pause in PAUSES:
            for _ in range(10):
                with self.subTest(pause=pause):
                    connection, ending = await self.read_unframed(pause, "reset")
                    self.assertIsNone(ending)
                    self.assertFalse(connection.complete)

    async def test_close_is_the_end_of_a_response(self):
        """Guards against complete responses that count as truncated."""
        for pause in PAUSES:
            connection, ending = await self.read_unframed(pause, "close")
            self.assertEqual(ending, b"")
            self.assertTrue(connection.complete)

    async def read_unframed(self, pause, ending):
        """Read a response to a small request; return connection and last piece."""
        worker = ScriptedWorker("w1", [f"respond_early:0:{pause}:{ending}"])
        await worker.start()
        self.stack.push_async_callback(worker.stop)
        host, _, port = worker.address.rpartition(":")
        connection = await connect(host, int(port), 1.0)
        self.stack.callback(connection.close)
        connection.send("GET", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(await connection.read_head(), 200)
        while piece := await connection.read_piece():
            pass
        return connection, piece

    async def test_stream_whose_connection_is_reset_is_resumed(self):
        """Guards against a stream that ends early and seems complete."""
        for pause in PAUSES:
            app, workers = await self.start_scripted([], engine=True)
            script = workers[0].script
            for _ in range(5):
                script[:] = [f"respond_early:0:{pause}:reset"]
                response = await self.request_stream(app)
                events = [build_event("attempt-1", n) for n in range(1, EVENTS + 1)]
                self.assertEqual(response.body, b"".join(events))


class InvalidStatusTests(UvloopCase):
    """A status outside 100 to 599 is no response, and 101 is none either."""

    async def test_caller_never_sees_an_invalid_status(self):
        """Guards against an upstream in trouble whose status is passed on."""
        app, worker = await self.start_one()
        for number, status in enumerate((*INVALID_STATUSES, "101")):
            for behaviour in ("send_status", "send_status_before_response"):
                with self.subTest(status=status, behaviour=behaviour):
                    worker.script[:] = [f"{behaviour}:{status}"]
                    attempt = f"attempt-{number}-{behaviour}".encode()
                    response = await self.request(
                        app,
                        "/book/a",
                        method="POST",
                        headers={b"x-attempt-id": attempt},
                    )
                    self.assertEqual(response.status, 502)
                    runs = [run for run in worker.runs if run[1] == attempt.decode()]
                    self.assertEqual(len(runs), 1)

    async def test_failure_is_immediate_and_closes_the_connection(self):
        """Guards against waiting for a response that cannot follow."""
        app, worker = await self.start_one()
        upstreams = app.service("upstreams")
        upstream = app.service("directory").table.by_id["w1"]
        for status in (*INVALID_STATUSES, "101"):
            with self.subTest(status=status):
                worker.script[:] = [f"send_status:{status}"]
                async with upstreams.exchange(upstream) as exchange:
                    await exchange.open(4, False, set())
                    lines = [(b"host", HOST.encode()), (b"x-attempt-id", b"a-1")]
                    exchange.send("GET", b"/read/a", lines, b"")
                    with self.assertRaises(ExchangeError) as caught:
                        await exchange.read_head("a-1", 1.0)
                self.assertIs(caught.exception.stage, Stage.SENT)
                self.assertEqual(caught.exception.cause, "invalid_head")
                # An upstream that responds has not ended under its request.
                self.assertNotIn(caught.exception.cause, ENDED_CAUSES)
                self.assertFalse(upstreams.pool.connected(upstream.incarnation))

    async def test_repeatable_request_is_retried(self):
        """Guards against giving up a request that another attempt can serve."""
        for status in ("000", "600"):
            app, _ = await self.start_scripted([f"send_status:{status}"], engine=False)
            response = await self.request(app, "/read/a")
            self.assertEqual(response.status, 200)

    async def test_stream_is_retried(self):
        """Guards against a stream whose status is invalid."""
        for status in ("000", "600"):
            app, _ = await self.start_scripted([f"send_status:{status}"], engine=True)
            response = await self.request_stream(app)
            events = [build_event("attempt-1", n) for n in range(1, EVENTS + 1)]
            self.assertEqual(response.body, b"".join(events))

    async def test_calls_to_external_systems_fail(self):
        """Guards against an invalid status of the store or of an engine's report."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                worker = ScriptedWorker("w1", [f"send_status:{status}"])
                await worker.start()
                self.stack.push_async_callback(worker.stop)
                host, _, port = worker.address.rpartition(":")
                client = CallClient((host, int(port)), 1.0)
                with self.assertRaises(CallFailed):
                    await client.call("GET", "/v1/report")

    async def test_valid_statuses_are_passed_on(self):
        """Guards against valid but unusual statuses that count as failures."""
        app, worker = await self.start_one()
        for status in (200, 201, 299, 399, 418, 499, 599):
            with self.subTest(status=status):
                worker.script[:] = [f"send_status:{status}"]
                headers = {b"x-attempt-id": f"attempt-{status}".encode()}
                response = await self.request(
                    app, "/book/a", method="POST", headers=headers
                )
                self.assertEqual(response.status, status)

    async def test_interim_responses_are_skipped(self):
        """Guards against an interim response that ends the request."""
        app, worker = await self.start_one()
        for status in (100, 102, 103, 199):
            with self.subTest(status=status):
                worker.script[:] = [f"send_status_before_response:{status}"]
                response = await self.request(app, "/read/a")
                self.assertEqual(response.status, 200)
