"""Tests of responses whose bytes stand where those of another response belong."""

from tests.hosting_builders import build_platform_configuration, build_platform_entry
from tests.scripted_worker import EVENTS, ScriptedWorker, build_event
from tests.test_serving.test_faulty_upstreams import ScriptedWorkerCase


class RepeatedRefusalTests(ScriptedWorkerCase):
    """A refusal is believed only if it answers the request that waits for it."""

    async def start_with_one_worker(self, script):
        """Start a scripted worker and a daemon."""
        worker = ScriptedWorker("w1", script)
        await worker.start()
        self.stack.push_async_callback(worker.stop)
        self.configure(routes=build_platform_configuration()["routes"])
        self.store.put("servers/w1", build_platform_entry(worker.address))
        self.workers["w1"] = worker
        return await self.start_ready(), worker

    async def book(self, app, attempt="attempt-1"):
        """Send a booking, which may run once."""
        headers = {b"x-attempt-id": attempt.encode()}
        return await self.request(app, "/book/a", method="POST", headers=headers)

    async def test_refusal_of_an_earlier_send_is_not_believed(self):
        """Guards against a booking that runs twice after a refusal is repeated."""
        app, worker = await self.start_with_one_worker(
            ["refuse_and_keep", "run_after_repeated_refusal"]
        )
        response = await self.book(app)
        self.assertEqual(len(worker.runs), 1)
        self.assertEqual(response.status, 200)

    async def test_unnamed_refusal_on_a_used_connection_is_not_believed(self):
        """Guards against a booking that runs twice after another one's refusal."""
        app, worker = await self.start_with_one_worker(
            ["respond", "run_after_unnamed_refusal"]
        )
        self.assertEqual((await self.book(app)).status, 200)
        response = await self.book(app, "attempt-2")
        attempts = [attempt for _, attempt, _ in worker.runs]
        self.assertEqual(attempts.count("attempt-2"), 1)
        self.assertEqual(response.status, 502)

    async def test_unnamed_refusal_on_a_new_connection_is_believed(self):
        """Guards against true refusals that count as unknown outcomes."""
        app, worker = await self.start_with_one_worker(["refuse_early"])
        self.assertEqual((await self.book(app)).status, 200)
        self.assertEqual(len(worker.runs), 1)


class ForeignStreamBytesTests(ScriptedWorkerCase):
    """Callers get events of their stream and nothing else."""

    async def check_stream(self, *script, path="/chat/a", complete=True):
        """Check what the caller of a stream gets for a script."""
        app, workers = await self.start_scripted(
            script, engine=True, routes={"max-attempts": 3}
        )
        response = await self.request_stream(app, path)
        events = [build_event("attempt-1", n) for n in range(1, EVENTS + 1)]
        whole = b"".join(events)
        self.assertTrue(whole.startswith(response.body), response.body)
        self.assertEqual(response.complete and response.status == 200, complete)
        if complete:
            self.assertEqual(response.body, whole)

    async def test_text_after_a_cut_is_not_passed_on(self):
        """Guards against an error's text at the end of a stream that seems complete."""
        await self.check_stream("truncate_between_events", "respond_with_text")

    async def test_second_head_after_a_cut_is_not_passed_on(self):
        """Guards against an error's head in the middle of a stream."""
        await self.check_stream("truncate_between_events", "respond_with_second_head")

    async def test_events_before_malformed_bytes_of_one_read_are_passed_on(self):
        """Guards against events that are missing in a resumed stream."""
        await self.check_stream("spoil_after_event")

    async def test_framed_response_that_ends_within_an_event_is_resumed(self):
        """Guards against a truncated event at the end of a complete stream."""
        await self.check_stream("end_framed_within_event")

    async def test_framed_response_that_ends_within_an_event_is_incomplete(self):
        """Guards against reporting success for a stream that cannot be resumed."""
        await self.check_stream(
            "end_framed_within_event", path="/draft/a", complete=False
        )


class TruncatedHeadTests(ScriptedWorkerCase):
    """A response that ends within its head is no response."""

    async def test_truncated_heads_are_failures(self):
        """Guards against an empty success for a head that was cut."""
        for place in ("", "_between_lines", "_before_its_end"):
            with self.subTest(place=place):
                app, _ = await self.start_scripted(
                    [f"truncate_head{place}"] * 2, engine=False
                )
                response = await self.request(app, "/read/a")
                self.assertEqual(response.status, 502)

    async def test_streams_with_truncated_heads_are_failures(self):
        """Guards against an empty stream for a head that was cut."""
        for place in ("", "_between_lines", "_before_its_end"):
            with self.subTest(place=place):
                app, _ = await self.start_scripted(
                    [f"truncate_head{place}"] * 2, engine=True
                )
                response = await self.request_stream(app)
                self.assertEqual(response.status, 502)
