"""Tests of upstreams that name the requests a second that they take from all."""

import asyncio
import contextlib
import time

from camphorgated.serving.limited_upstreams import LIMITED
from tests.hosted import HostedCase
from tests.hosting_builders import build_platform_entry
from tests.limited_workers import CONTACT_SECONDS, LimitedWorker, allowed

REQUESTS_PER_SECOND = 45.0
WORKERS = 4
# Load before the limits are named, and after the time that does not count.
QUIET_SECONDS = 1.0
JUDGED_SECONDS = 6.0
# Part of the limits that is used where there is demand for all of it.
MIN_USED_SHARE = 0.9
# The median refusal comes within the target latency of the routes.
MAX_REFUSAL_SECONDS = 0.1
MIN_RETURN_SPREAD_SECONDS = 0.5


class LimitCase(HostedCase):
    """Several daemons before workers that name limits."""

    async def asyncSetUp(self):
        """Measure times without the debug mode, which takes most of the processor."""
        asyncio.get_running_loop().set_debug(False)
        await super().asyncSetUp()

    async def start_fleet(self, instances=3, workers=WORKERS, phases=("",)):
        """Start workers and daemons that know each other."""
        self.configure()
        self.limited = []
        for number in range(workers):
            phase = phases[number % len(phases)]
            worker = LimitedWorker(f"w{number}", phase)
            await worker.start()
            self.stack.push_async_callback(worker.stop)
            changes = {"service": "models", "phase": phase} if phase else {}
            entry = build_platform_entry(worker.address, slots=64, **changes)
            self.store.put(f"servers/{worker.id}", entry)
            self.workers[worker.id] = worker
            self.limited.append(worker)
        self.apps = [
            await self.start_ready(instance_id=f"entry-{number}")
            for number in range(instances)
        ]
        await self.eventually(
            lambda: all(
                len(app.service("gossip").live_states()) >= instances - 1
                for app in self.apps
            )
        )

    async def send_load(self, path, seconds, apps=None, rate=REQUESTS_PER_SECOND):
        """Send requests at a steady rate.

        :returns: the attempt id, the seconds it took and the response, ``None`` if
            there was none.
        """
        apps = apps or self.apps
        loop = asyncio.get_running_loop()
        began = loop.time()
        answers = []

        async def send(number):
            sent_at = time.monotonic()
            response = None
            attempt = f"attempt-{number}"
            headers = {
                b"x-attempt-id": attempt.encode(),
                b"x-model": b"m",
                b"x-token-count": b"120,66",
                b"x-prompt-prefix": b"c0:60,own%d:60" % number,
                b"x-deadline": b"4000",
            }
            with contextlib.suppress(OSError, TimeoutError):
                response = await self.request(
                    apps[number % len(apps)],
                    path,
                    method="POST",
                    headers=headers,
                    seconds=6.0,
                )
            answers.append((attempt, time.monotonic() - sent_at, response))

        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * seconds)):
                await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
                group.create_task(send(number))
        return answers

    async def play(self, path, limits, apps=None):
        """Send load, name limits, and judge the windows that count.

        :param limits: limit in requests per second by number of the worker; the
            workers are numbered anew, the busiest one first.
        """

        async def name():
            await asyncio.sleep(QUIET_SECONDS)
            self.limited.sort(key=lambda worker: -len(worker.requests))
            for number, limit in limits.items():
                self.limited[number].name_limit(f"{limit}")

        seconds = QUIET_SECONDS + CONTACT_SECONDS + JUDGED_SECONDS
        answers, _ = await asyncio.gather(self.send_load(path, seconds, apps), name())
        found = {n: self.limited[n].worst_window() for n in limits}
        for number, limit in limits.items():
            self.assertLessEqual(found[number], allowed(limit), found)
        return answers

    def check_refusals(self, answers):
        """Check that refusals are true, come at once, and spread the returns."""
        runs = {attempt for item in self.limited for _, attempt, _ in item.runs}
        refused = [item for item in answers if item[2] and item[2].status == 503]
        self.assertGreater(len(refused), 20)
        for attempt, _, response in refused:
            self.assertNotIn(attempt, runs)
            self.assertIn(LIMITED.encode(), response.body)
        seconds = sorted(taken for _, taken, _ in refused)
        self.assertLess(seconds[len(seconds) // 2], MAX_REFUSAL_SECONDS)
        returns = sorted(float(item.headers[b"retry-after"]) for *_, item in refused)
        self.assertGreater(returns[-1] - returns[0], MIN_RETURN_SPREAD_SECONDS)

    def check_use(self, limits):
        """Check that the limits are used where there is demand for more."""
        for number, limit in limits.items():
            worker = self.limited[number]
            since = worker.named_at + CONTACT_SECONDS
            last = max(at for at, _ in worker.requests)
            count = sum(since <= at <= last for at, _ in worker.requests)
            share = count / (limit * JUDGED_SECONDS)
            self.assertGreaterEqual(share, MIN_USED_SHARE, worker.id)


class LimitTests(LimitCase):
    """All instances together keep the limit of an upstream."""

    async def test_one_limited_upstream_of_a_plain_service(self):
        """Guards against a limit that no instance keeps."""
        await self.start_fleet()
        answers = await self.play("/read/a", {0: 3.1})
        self.assertTrue(all(item and item.status == 200 for _, _, item in answers))

    async def test_limit_with_all_callers_at_one_instance(self):
        """Guards against a limit that is shared by the number of instances."""
        await self.start_fleet()
        await self.play("/read/a", {0: 3.1}, self.apps[:1])

    async def test_small_limit_with_six_instances(self):
        """Guards against a limit of all that each instance keeps for itself."""
        await self.start_fleet(instances=6)
        await self.play("/read/a", {0: 0.5})

    async def test_all_upstreams_of_a_plain_service_are_limited(self):
        """Guards against limits that are kept by not being used."""
        await self.start_fleet()
        limits = dict.fromkeys(range(WORKERS), 2.0)
        answers = await self.play("/read/a", limits)
        self.check_use(limits)
        self.check_refusals(answers)

    async def test_bookings_keep_limits(self):
        """Guards against requests that run once and pass the limits by."""
        await self.start_fleet()
        limits = dict.fromkeys(range(WORKERS), 2.0)
        answers = await self.play("/book/a", limits)
        self.check_use(limits)
        self.check_refusals(answers)

    async def test_one_limited_engine(self):
        """Guards against streams that pass the limit of an engine by."""
        await self.start_fleet(phases=("decode",))
        answers = await self.play("/draft/a", {0: 3.1})
        self.assertTrue(all(item and item.status == 200 for _, _, item in answers))

    async def test_all_engines_are_limited(self):
        """Guards against resumable streams that pass the limits by."""
        await self.start_fleet(phases=("decode",))
        limits = dict.fromkeys(range(WORKERS), 2.0)
        answers = await self.play("/chat/a", limits)
        self.check_use(limits)
        self.check_refusals(answers)

    async def test_prefill_calls_keep_limits(self):
        """Guards against prefill calls that do not count within a limit."""
        await self.start_fleet(phases=("prefill", "decode"))
        await self.play("/chat/a", dict.fromkeys(range(WORKERS), 2.0))

    async def test_limit_ends_and_another_process_has_none(self):
        """Guards against an upstream that is well again and stays unused."""
        await self.start_fleet(workers=1)
        worker = self.limited[0]
        worker.name_limit("0.5")
        await self.send_load("/read/a", 3.0)
        worker.name_limit(None)
        await self.send_load("/read/a", 3.0)
        ended_at = time.monotonic()
        await self.send_load("/read/a", 2.0)
        sent = 2.0 * REQUESTS_PER_SECOND
        self.assertGreaterEqual(worker.count_since(ended_at), MIN_USED_SHARE * sent)
        worker.name_limit("0.5")
        await self.send_load("/read/a", 2.0)
        worker.name_limit(None)
        entry = build_platform_entry(worker.address, slots=64, born=2000, sequence=2)
        self.store.put(f"servers/{worker.id}", entry)
        await asyncio.sleep(0.5)
        started_at = time.monotonic()
        await self.send_load("/read/a", 2.0)
        self.assertGreaterEqual(worker.count_since(started_at), MIN_USED_SHARE * sent)

    async def test_values_that_are_no_limit(self):
        """Guards against requests that fail on a header that makes no sense."""
        await self.start_fleet(workers=1)
        for value in ("nan", "-3", "abc", "1e999", "", "0", "9" * 400, "2,3"):
            self.limited[0].name_limit(value)
            answers = await self.send_load("/read/a", 0.5)
            self.assertTrue(all(item and item.status == 200 for *_, item in answers))
