"""Tests of upstreams that leave or pause, by the list's word or by their own."""

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


class ChosenBeforeTests(WorkersCase):
    """A request that chose an upstream, and is sent only after that has left."""

    def leave_while_connecting(self, prefix: str) -> list[str]:
        """Remove the first worker of a kind whose connection is asked for.

        :returns: a list that takes its id.
        """
        left = []
        take = Pool.take
        table = self.table

        async def slow_take(pool, upstream, most, sure):
            lease = await take(pool, upstream, most, sure)
            if not left and upstream.id.startswith(prefix):
                left.append(upstream.id)
                self.store.remove(f"servers/{upstream.id}")
                await self.eventually(lambda: upstream.id not in table.by_id)
            return lease

        self.enterContext(mock.patch.object(Pool, "take", slow_take))
        return left

    async def test_waiting_call_does_not_follow_an_upstream_that_left(self):
        """Guards against a call that is sent long after its upstream left."""
        left = self.leave_while_connecting("desk")
        reply = await self.ask(self.app, "/book/a", method="POST")
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.workers[left[0]].runs, [])
        health = self.app.service("upstreams").health.of((left[0], 1000))
        self.assertEqual(health.failures, 0)

    async def test_waiting_prompt_does_not_follow_an_upstream_that_left(self):
        """Guards against a prompt that is read where the engine leaves."""
        left = self.leave_while_connecting("p")
        reply = await self.ask(self.app, "/chat/a", method="POST", headers=PROMPT)
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.workers[left[0]].prefills, [])

    async def test_waiting_answer_does_not_follow_an_upstream_that_left(self):
        """Guards against an answer that begins where the engine leaves."""
        left = self.leave_while_connecting("d")
        reply = await self.ask(self.app, "/chat/a", method="POST", headers=PROMPT)
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.workers[left[0]].runs, [])


class OwnWordCase(WorkersCase):
    """Workers that say something of themselves."""

    def arm(self, prefix: str, fault: str, **options) -> None:
        """Arm a fault at the workers whose ids begin so."""
        for worker_id, worker in self.workers.items():
            if worker_id.startswith(prefix):
                worker.faults.arm({"fault": fault, **options})

    def arrivals(self, worker_id: str) -> int:
        """Return how many requests have reached a worker."""
        return len(self.workers[worker_id].arrivals)

    async def ask_calls(self, count: int, path="/read/a", **options) -> list[int]:
        """Ask one after the other and return the statuses."""
        replies = [await self.ask(self.app, path, **options) for _ in range(count)]
        return [reply.status for reply in replies]

    async def ask_together(self, count: int) -> None:
        """Send calls at the same time, so that every worker gets some."""
        await asyncio.gather(*(self.ask(self.app, "/read/a") for _ in range(count)))


class LeavingByOwnWordTests(OwnWordCase):
    """``Server-Leaving`` in any answer ends new requests to that worker."""

    async def check_left(self, worker_id: str, path: str, count: int = 12, **options):
        """Check that a worker that said so gets nothing new from here on."""
        await self.eventually(lambda: self.table.by_id[worker_id].leaving)
        before = self.arrivals(worker_id)
        statuses = await self.ask_calls(count, path, **options)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.arrivals(worker_id), before)

    async def test_answer_of_a_call_that_says_leaving_is_the_last(self):
        """Guards against calls to a worker that said in an answer that it leaves."""
        self.arm("desk-1", "leave")
        await self.ask_together(6)
        await self.check_left("desk-1", "/read/a")

    async def test_refusal_and_failure_that_say_leaving_count(self):
        """Guards against a word that is read in successes only."""
        for number, fault in enumerate(("refuse", "fail")):
            self.arm("desk-1", "leave")
            self.arm("desk-1", fault)
            await self.ask_together(6)
            await self.check_left("desk-1", "/read/a")
            entry = build_platform_entry(
                self.table.by_id["desk-1"].address, born=2000 + number
            )
            self.workers["desk-1"].faults.arm({"fault": "none"})
            self.store.put("servers/desk-1", entry)
            await self.eventually(lambda: not self.table.by_id["desk-1"].leaving)

    async def test_head_of_a_stream_that_says_leaving_counts_before_its_end(self):
        """Guards against streams that begin where another one tells of leaving."""
        self.arm("d1", "leave")
        for _ in range(6):
            await self.ask(self.app, "/chat/a", method="POST", headers=PROMPT)
        await self.check_left("d1", "/chat/a", method="POST", headers=PROMPT)

    async def test_read_prompt_that_says_leaving_counts(self):
        """Guards against prompts that are read by an engine that leaves."""
        self.arm("p", "leave")
        headers = {**PROMPT, b"x-prompt-prefix": b"z:14600"}
        await self.ask(self.app, "/chat/a", method="POST", headers=headers)
        left = [name for name in ("p1", "p2") if self.table.by_id[name].leaving]
        self.assertEqual(len(left), 1)
        await self.check_left(left[0], "/chat/a", 6, method="POST", headers=PROMPT)

    async def test_report_that_says_leaving_counts(self):
        """Guards against orders that ignore what the engine's report says."""
        self.arm("d1", "leave")
        dialect = self.app.service("dialect")
        await dialect.read_engine(self.table.by_id["d1"])
        self.assertTrue(self.table.by_id["d1"].leaving)

    async def test_word_outlasts_ready_entries_and_a_lost_watch(self):
        """Guards against a list that lags behind and brings a leaving worker back."""
        self.arm("desk-1", "leave")
        await self.ask_together(6)
        await self.eventually(lambda: self.table.by_id["desk-1"].leaving)
        entry = build_platform_entry(self.table.by_id["desk-1"].address, sequence=9)
        known = self.table.by_id["desk-1"].revision
        self.store.put("servers/desk-1", entry)
        await self.eventually(lambda: self.table.by_id["desk-1"].revision > known)
        self.app.service("directory").watches.restart("a test")
        await self.eventually(lambda: self.app.service("directory").sound)
        await self.check_left("desk-1", "/read/a")

    async def test_another_start_of_the_worker_takes_requests(self):
        """Guards against a worker that stays unused after its restart."""
        self.arm("desk-1", "leave")
        await self.ask_together(6)
        await self.eventually(lambda: self.table.by_id["desk-1"].leaving)
        self.workers["desk-1"].faults.arm({"fault": "none"})
        entry = build_platform_entry(self.table.by_id["desk-1"].address, born=2000)
        self.store.put("servers/desk-1", entry)
        await self.eventually(lambda: not self.table.by_id["desk-1"].leaving)
        before = self.arrivals("desk-1")
        await self.ask_together(8)
        self.assertGreater(self.arrivals("desk-1"), before)

    async def test_answer_that_names_another_worker_changes_nothing(self):
        """Guards against a worker that is taken away by a crossed answer."""
        self.arm("desk-1", "leave")
        self.workers["desk-1"].id = "desk-9"
        await self.ask_together(6)
        self.assertFalse(self.table.by_id["desk-1"].leaving)


class PauseTests(OwnWordCase):
    """``Retry-After`` in a worker's 503 ends requests to it for so long."""

    async def test_paused_worker_gets_nothing_until_the_end(self):
        """Guards against more requests than the two that were on their way."""
        self.arm("desk-1", "pause", value="0.8", count=1)
        await self.ask_together(6)
        before = self.arrivals("desk-1")
        began = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - began < 0.5:
            await self.ask_calls(1)
        self.assertEqual(self.arrivals("desk-1"), before)
        await asyncio.sleep(0.4)
        await self.ask_together(8)
        self.assertGreater(self.arrivals("desk-1"), before)
        health = self.app.service("upstreams").health.of(("desk-1", 1000))
        self.assertEqual((health.failures, health.refusals), (0, 0))

    async def test_request_waits_for_a_pause_that_ends_in_time(self):
        """Guards against refusals where a short wait would do."""
        self.arm("desk", "pause", value="0.5", count=1)
        began = asyncio.get_running_loop().time()
        reply = await self.ask(self.app, "/book/a", method="POST")
        self.assertEqual(reply.status, 200)
        self.assertGreater(asyncio.get_running_loop().time() - began, 0.45)

    async def test_request_that_cannot_wait_is_refused_at_once(self):
        """Guards against callers who wait for nothing, or return all together."""
        self.arm("desk", "pause", value="30")
        await self.ask(self.app, "/read/a")
        seconds = []
        for _ in range(5):
            began = asyncio.get_running_loop().time()
            reply = await self.ask(self.app, "/read/a")
            self.assertLess(asyncio.get_running_loop().time() - began, 0.3)
            self.assertEqual(reply.status, 503)
            self.assertIn(b"not_run", reply.body)
            seconds.append(float(reply.headers[b"retry-after"]))
        self.assertGreater(min(seconds), 25.0)
        self.assertEqual(len(set(seconds)), 5)

    async def test_pause_of_one_worker_sends_no_caller_away_for_so_long(self):
        """Guards against refusals for another reason that name a pause's end."""
        self.arm("desk-1", "pause", value="30", count=1)
        await self.ask_together(6)
        self.arm("desk-2", "refuse")
        reply = await self.ask(self.app, "/read/a")
        self.assertEqual(reply.status, 503)
        self.assertLess(float(reply.headers[b"retry-after"]), 5.0)

    async def test_waiting_requests_resume_one_after_the_other(self):
        """Guards against a worker that gets everything at the end of its pause."""
        self.arm("desk", "pause", value="0.5", count=1)
        replies = await asyncio.gather(
            *(self.ask(self.app, "/book/a", method="POST") for _ in range(12))
        )
        self.assertEqual({reply.status for reply in replies}, {200})
        times = sorted(
            at
            for name in ("desk-1", "desk-2")
            for at, _ in self.workers[name].arrivals[-20:]
        )[-10:]
        self.assertGreater(times[-1] - times[0], 0.1)

    async def test_paused_reader_reads_nothing(self):
        """Guards against prompts that go to an engine that asked for a pause."""
        self.arm("p1", "pause", value="30")
        self.arm("p2", "pause", value="30")
        headers = {**PROMPT, b"x-prompt-prefix": b"z:14600"}
        for _ in range(4):
            await self.ask(self.app, "/chat/a", method="POST", headers=headers)
        self.assertLessEqual(self.arrivals("p1"), 1)
        self.assertLessEqual(self.arrivals("p2"), 1)
        book = self.app.service("upstreams").health
        refusals = [book.of((name, 1000)).refusals for name in ("p1", "p2")]
        self.assertEqual(refusals, [0, 0])
