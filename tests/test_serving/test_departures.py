"""Tests of upstreams that leave or pause, by the store's list or response headers."""

import asyncio
from unittest import mock

from camphorgated.serving.pool import Pool
from tests.hosted import HostedCase
from tests.hosting_builders import build_platform_entry

PROMPT = {
    b"x-model": b"m",
    b"x-token-count": b"14600,88",
    b"x-prompt-prefix": b"a:14600",
}


class WorkersCase(HostedCase):
    """Two workers of each kind, and a daemon."""

    async def asyncSetUp(self):
        """Start them."""
        await super().asyncSetUp()
        self.configure()
        for number in (1, 2):
            await self.add_worker(f"desk-{number}")
            await self.add_worker(f"p{number}", "models", phase="prefill")
            await self.add_worker(f"d{number}", "models", phase="decode")
        self.app = await self.start_ready()
        self.table = self.app.service("directory").table


class DepartureAfterSelectionTests(WorkersCase):
    """An upstream leaves between its selection and the sending of the request."""

    def remove_while_connecting(self, prefix: str) -> list[str]:
        """Remove the first worker with an id prefix while a request connects to it.

        :returns: a list to which the id of the removed worker is added.
        """
        left = []
        take = Pool.take
        table = self.table

        async def take_after_removal(pool, upstream, *options):
            lease = await take(pool, upstream, *options)
            if not left and upstream.id.startswith(prefix):
                left.append(upstream.id)
                self.store.remove(f"servers/{upstream.id}")
                await self.eventually(lambda: upstream.id not in table.by_id)
            return lease

        self.enterContext(mock.patch.object(Pool, "take", take_after_removal))
        return left

    async def test_call_is_not_sent_to_an_upstream_removed_meanwhile(self):
        """Guards against a call that is sent to its upstream after this has left."""
        left = self.remove_while_connecting("desk")
        response = await self.request(self.app, "/book/a", method="POST")
        self.assertEqual(response.status, 200)
        self.assertEqual(self.workers[left[0]].runs, [])
        health = self.app.service("upstreams").health.of((left[0], 1000))
        self.assertEqual(health.failures, 0)

    async def test_prefill_is_not_sent_to_an_engine_removed_meanwhile(self):
        """Guards against a prefill on an engine that has left."""
        left = self.remove_while_connecting("p")
        response = await self.request(
            self.app, "/chat/a", method="POST", headers=PROMPT
        )
        self.assertEqual(response.status, 200)
        self.assertEqual(self.workers[left[0]].prefills, [])

    async def test_decode_is_not_sent_to_an_engine_removed_meanwhile(self):
        """Guards against a decode on an engine that has left."""
        left = self.remove_while_connecting("d")
        response = await self.request(
            self.app, "/chat/a", method="POST", headers=PROMPT
        )
        self.assertEqual(response.status, 200)
        self.assertEqual(self.workers[left[0]].runs, [])


class FaultyWorkersCase(WorkersCase):
    """Helpers to arm faults at workers and to count the requests that reach them."""

    def arm(self, prefix: str, fault: str, **options) -> None:
        """Arm a fault at the workers whose ids have a prefix."""
        for worker_id, worker in self.workers.items():
            if worker_id.startswith(prefix):
                worker.faults.arm({"fault": fault, **options})

    def arrivals(self, worker_id: str) -> int:
        """Return how many requests have reached a worker."""
        return len(self.workers[worker_id].arrivals)

    async def request_in_sequence(
        self, count: int, path="/read/a", **options
    ) -> list[int]:
        """Send requests one after the other and return the statuses."""
        responses = [
            await self.request(self.app, path, **options) for _ in range(count)
        ]
        return [response.status for response in responses]

    async def request_concurrently(self, count: int) -> None:
        """Send concurrent requests, so that every worker receives some."""
        await asyncio.gather(*(self.request(self.app, "/read/a") for _ in range(count)))


class ServerLeavingTests(FaultyWorkersCase):
    """``Server-Leaving`` in any response ends new requests to that worker."""

    async def check_receives_nothing(
        self, worker_id: str, path: str, count: int = 12, **options
    ):
        """Check that a worker is marked as leaving and receives no new request."""
        await self.eventually(lambda: self.table.by_id[worker_id].leaving)
        before = self.arrivals(worker_id)
        statuses = await self.request_in_sequence(count, path, **options)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.arrivals(worker_id), before)

    async def test_response_with_server_leaving_ends_new_requests(self):
        """Guards against calls to a worker that announced its leaving in a response."""
        self.arm("desk-1", "leave")
        await self.request_concurrently(6)
        await self.check_receives_nothing("desk-1", "/read/a")

    async def test_server_leaving_in_refusals_and_errors_counts(self):
        """Guards against reading the header in successful responses only."""
        for number, fault in enumerate(("refuse", "fail")):
            self.arm("desk-1", "leave")
            self.arm("desk-1", fault)
            await self.request_concurrently(6)
            await self.check_receives_nothing("desk-1", "/read/a")
            entry = build_platform_entry(
                self.table.by_id["desk-1"].address, born=2000 + number
            )
            self.workers["desk-1"].faults.arm({"fault": "none"})
            self.store.put("servers/desk-1", entry)
            await self.eventually(lambda: not self.table.by_id["desk-1"].leaving)

    async def test_server_leaving_in_a_stream_head_counts_before_its_end(self):
        """Guards against new streams on an engine that announced leaving in another."""
        self.arm("d1", "leave")
        for _ in range(6):
            await self.request(self.app, "/chat/a", method="POST", headers=PROMPT)
        await self.check_receives_nothing(
            "d1", "/chat/a", method="POST", headers=PROMPT
        )

    async def test_server_leaving_in_a_prefill_response_counts(self):
        """Guards against prefills on an engine that is leaving."""
        self.arm("p", "leave")
        headers = {**PROMPT, b"x-prompt-prefix": b"z:14600"}
        await self.request(self.app, "/chat/a", method="POST", headers=headers)
        left = [name for name in ("p1", "p2") if self.table.by_id[name].leaving]
        self.assertEqual(len(left), 1)
        await self.check_receives_nothing(
            left[0], "/chat/a", 6, method="POST", headers=PROMPT
        )

    async def test_server_leaving_in_an_engine_report_counts(self):
        """Guards against ignoring the header in the response to a report request."""
        self.arm("d1", "leave")
        dialect = self.app.service("dialect")
        await dialect.read_engine(self.table.by_id["d1"])
        self.assertTrue(self.table.by_id["d1"].leaving)

    async def test_server_leaving_outlasts_ready_entries_and_a_lost_watch(self):
        """Guards against a stale list that makes a leaving worker eligible again."""
        self.arm("desk-1", "leave")
        await self.request_concurrently(6)
        await self.eventually(lambda: self.table.by_id["desk-1"].leaving)
        entry = build_platform_entry(self.table.by_id["desk-1"].address, sequence=9)
        known = self.table.by_id["desk-1"].revision
        self.store.put("servers/desk-1", entry)
        await self.eventually(lambda: self.table.by_id["desk-1"].revision > known)
        self.app.service("directory").watches.restart("a test")
        await self.eventually(lambda: self.app.service("directory").sound)
        await self.check_receives_nothing("desk-1", "/read/a")

    async def test_new_incarnation_of_the_worker_receives_requests(self):
        """Guards against a worker that stays unused after its restart."""
        self.arm("desk-1", "leave")
        await self.request_concurrently(6)
        await self.eventually(lambda: self.table.by_id["desk-1"].leaving)
        self.workers["desk-1"].faults.arm({"fault": "none"})
        entry = build_platform_entry(self.table.by_id["desk-1"].address, born=2000)
        self.store.put("servers/desk-1", entry)
        await self.eventually(lambda: not self.table.by_id["desk-1"].leaving)
        before = self.arrivals("desk-1")
        await self.request_concurrently(8)
        self.assertGreater(self.arrivals("desk-1"), before)

    async def test_response_naming_another_worker_changes_nothing(self):
        """Guards against excluding a worker because of another worker's response."""
        self.arm("desk-1", "leave")
        self.workers["desk-1"].id = "desk-9"
        await self.request_concurrently(6)
        self.assertFalse(self.table.by_id["desk-1"].leaving)


class PauseTests(FaultyWorkersCase):
    """``Retry-After`` in a worker's 503 pauses requests to it for that time."""

    async def test_paused_worker_receives_nothing_until_the_end(self):
        """Guards against more requests than the two that were already in flight."""
        self.arm("desk-1", "pause", value="0.8", count=1)
        await self.request_concurrently(6)
        before = self.arrivals("desk-1")
        started_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started_at < 0.5:
            await self.request_in_sequence(1)
        self.assertEqual(self.arrivals("desk-1"), before)
        await asyncio.sleep(0.4)
        await self.request_concurrently(8)
        self.assertGreater(self.arrivals("desk-1"), before)
        health = self.app.service("upstreams").health.of(("desk-1", 1000))
        self.assertEqual((health.failures, health.refusals), (0, 0))

    async def test_request_waits_for_a_pause_that_ends_in_time(self):
        """Guards against refusing a request that could wait for a short pause."""
        self.arm("desk", "pause", value="0.5", count=1)
        started_at = asyncio.get_running_loop().time()
        response = await self.request(self.app, "/book/a", method="POST")
        self.assertEqual(response.status, 200)
        self.assertGreater(asyncio.get_running_loop().time() - started_at, 0.45)

    async def test_request_that_cannot_wait_is_refused_at_once(self):
        """Guards against futile waits, and callers that all retry simultaneously."""
        self.arm("desk", "pause", value="30")
        await self.request(self.app, "/read/a")
        seconds = []
        for _ in range(5):
            started_at = asyncio.get_running_loop().time()
            response = await self.request(self.app, "/read/a")
            self.assertLess(asyncio.get_running_loop().time() - started_at, 0.3)
            self.assertEqual(response.status, 503)
            self.assertIn(b"not_run", response.body)
            seconds.append(float(response.headers[b"retry-after"]))
        self.assertGreater(min(seconds), 25.0)
        self.assertEqual(len(set(seconds)), 5)

    async def test_request_with_a_late_turn_after_a_pause_is_refused_at_once(self):
        """Guards against answers after the timeout when many wait for a pause."""
        self.arm("desk", "pause", value="0.5")
        await self.request(self.app, "/read/a")
        # So many wait that the last resumes after 20 s; the timeout is 2 s.
        upstreams = self.app.service("upstreams")
        with mock.patch.dict(upstreams._resuming_by_service, {"desk": 1000}):
            started_at = asyncio.get_running_loop().time()
            response = await self.request(self.app, "/read/a")
        self.assertLess(asyncio.get_running_loop().time() - started_at, 0.3)
        self.assertEqual(response.status, 503)
        self.assertIn(b"not_run", response.body)
        self.assertGreater(float(response.headers[b"retry-after"]), 10.0)

    async def test_pause_of_one_worker_does_not_extend_retry_after(self):
        """Guards against ``Retry-After`` from a pause unrelated to the refusal."""
        self.arm("desk-1", "pause", value="30", count=1)
        await self.request_concurrently(6)
        self.arm("desk-2", "refuse")
        response = await self.request(self.app, "/read/a")
        self.assertEqual(response.status, 503)
        self.assertLess(float(response.headers[b"retry-after"]), 5.0)

    async def test_waiting_requests_resume_one_by_one(self):
        """Guards against a burst of all waiting requests at the end of a pause."""
        self.arm("desk", "pause", value="0.5", count=1)
        responses = await asyncio.gather(
            *(self.request(self.app, "/book/a", method="POST") for _ in range(12))
        )
        self.assertEqual({response.status for response in responses}, {200})
        times = sorted(
            at
            for name in ("desk-1", "desk-2")
            for at, _ in self.workers[name].arrivals[-20:]
        )[-10:]
        self.assertGreater(times[-1] - times[0], 0.1)

    async def test_paused_prefill_engine_receives_nothing(self):
        """Guards against prefills on an engine that requested a pause."""
        self.arm("p1", "pause", value="30")
        self.arm("p2", "pause", value="30")
        headers = {**PROMPT, b"x-prompt-prefix": b"z:14600"}
        for _ in range(4):
            await self.request(self.app, "/chat/a", method="POST", headers=headers)
        self.assertLessEqual(self.arrivals("p1"), 1)
        self.assertLessEqual(self.arrivals("p2"), 1)
        health_table = self.app.service("upstreams").health
        refusals = [health_table.of((name, 1000)).refusals for name in ("p1", "p2")]
        self.assertEqual(refusals, [0, 0])
