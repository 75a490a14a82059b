"""Property tests of the outcome of a request, from caller to worker and back.

Workers answer as a generated script tells, byte by byte; the daemon is the real one.
"""

import asyncio
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from loguru import logger

from camphorgated.serving.client_connection import connect
from camphorgated.serving.errors import ExchangeError
from tests.hosted import HostedCase
from tests.hosting_builders import KEY, build_platform_entry
from tests.scripted_worker import BEHAVIOURS, EVENTS, ScriptedWorker, build_event

DEADLINE_SECONDS = 0.6
# An answer may come this much after its deadline (users' bound).
LATE_SECONDS = 0.5
# Statuses that promise that the request has not run.
NOT_RUN = {408, 421, 429, 503}
ATTEMPTS_BY_PATH = {"/read/": 2, "/book/": 1, "/chat/": 2, "/draft/": 1}
EXAMPLES = 40


class Play:
    """One example: a daemon, two scripted workers, and callers."""

    def __init__(self, script, engine):
        """Describe the workers."""
        script = list(script)
        self.case = HostedCase("asyncSetUp")
        self.workers = [ScriptedWorker(f"w{n}", script, engine) for n in (1, 2)]
        self.changes = {"service": "models", "phase": "decode"} if engine else {}
        self.connections = {}

    async def run(self, groups):
        """Play groups of requests that are sent together on kept connections."""
        case = self.case
        case.configure()
        for worker in self.workers:
            await worker.start()
            case.stack.push_async_callback(worker.stop)
            entry = build_platform_entry(worker.address, **self.changes)
            case.store.put(f"servers/{worker.id}", entry)
            case.workers[worker.id] = worker
        self.app = await case.start_ready()
        outcomes = {}
        number = 0
        for group in groups:
            asked = []
            for caller, path in enumerate(group):
                number += 1
                asked.append(self.request(caller, path, f"attempt-{number}"))
            for attempt, path, reply, seconds in await asyncio.gather(*asked):
                outcomes[attempt] = (path, reply, seconds)
        # Work that goes on after an answer shows by now.
        await asyncio.sleep(0.05)
        return outcomes, [run for worker in self.workers for run in worker.runs]

    async def request(self, caller, path, attempt):
        """Send a request on the kept connection of a caller."""
        connection = self.connections.get(caller)
        host, _, port = self.app.settings.caller_address.rpartition(":")
        if connection is None or not connection.usable:
            connection = await connect(host, int(port), 1.0)
            self.connections[caller] = connection
            self.case.stack.callback(connection.close)
        headers = {
            b"x-attempt-id": attempt.encode(),
            b"x-deadline": b"%d" % (DEADLINE_SECONDS * 1000),
            b"x-tenant": b"forged",
        }
        if path in ("/chat/", "/draft/"):
            headers[b"x-model"] = b"m"
            headers[b"x-token-count"] = b"60,66"
            headers[b"x-prompt-prefix"] = b"5c:60"
        began = asyncio.get_running_loop().time()
        try:
            reply = await self.case.ask_on(
                connection, f"{path}a", method="POST", body=b"hi", headers=headers
            )
        except ExchangeError:
            reply = None
        return attempt, path, reply, asyncio.get_running_loop().time() - began


def play(script, groups, engine):
    """Play an example in a loop of its own."""

    async def run():
        example = Play(script, engine)
        await example.case.asyncSetUp()
        try:
            return await example.run(groups)
        finally:
            await example.case.stack.aclose()

    return asyncio.run(run())


def groups_of(*paths):
    """Return a strategy for groups of requests."""
    group = st.lists(st.sampled_from(paths), min_size=1, max_size=3)
    return st.lists(group, min_size=1, max_size=3)


SCRIPTS = st.lists(st.sampled_from(BEHAVIOURS), max_size=8)
PLAYED = settings(
    derandomize=True,
    max_examples=EXAMPLES,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)


class OutcomeTests(unittest.TestCase):
    """What callers are told agrees with what ran."""

    def setUp(self):
        """Keep the log of the examples out of the output."""
        logger.disable("camphorgate")
        self.addCleanup(logger.enable, "camphorgate")

    def check(self, outcomes, runs):
        """Check the promises that hold for every kind of request."""
        for attempt, (path, reply, seconds) in outcomes.items():
            ran = [worker for worker, name, _ in runs if name == attempt]
            self.assertLessEqual(len(ran), ATTEMPTS_BY_PATH[path])
            self.assertLess(seconds, DEADLINE_SECONDS + LATE_SECONDS)
            if reply is None:
                continue
            if reply.status in NOT_RUN:
                self.assertEqual(ran, [])
                self.assertIn(b"retry-after", reply.headers)
            if reply.status == 200:
                self.assertNotEqual(ran, [])
                self.assertEqual(reply.headers[b"x-attempt-id"], attempt.encode())
                self.assertEqual(reply.headers[b"x-server-stamp"], b"1.2.3")
        for _, _, headers in runs:
            self.assertEqual(headers["x-tenant"], "north")
            self.assertNotIn(KEY, str(headers))
            self.assertLessEqual(int(headers["x-deadline"]), DEADLINE_SECONDS * 1000)

    @PLAYED
    @given(SCRIPTS, groups_of("/read/", "/book/"))
    def test_whole_answers_belong_to_their_requests(self, script, groups):
        """Guards against doubled bookings, false refusals and mixed up answers."""
        outcomes, runs = play(script, groups, engine=False)
        self.check(outcomes, runs)
        for attempt, (_, reply, _) in outcomes.items():
            if reply is not None and reply.status == 200 and reply.whole:
                worker = next(
                    worker
                    for worker, name, _ in runs
                    if name == attempt and f" {worker}" in reply.body.decode()
                )
                body = f"ran {attempt} at {worker}".encode()
                self.assertEqual(reply.body, body)

    @PLAYED
    @given(SCRIPTS, groups_of("/chat/", "/draft/"))
    def test_streams_have_each_event_once(self, script, groups):
        """Guards against gaps, repeats and joined runs in streams."""
        outcomes, runs = play(script, groups, engine=True)
        self.check(outcomes, runs)
        for attempt, (_, reply, _) in outcomes.items():
            if reply is None or reply.status != 200:
                continue
            events = [build_event(attempt, n) for n in range(1, EVENTS + 1)]
            expected = b"".join(events)
            if reply.whole:
                self.assertEqual(reply.body, expected)
            else:
                self.assertTrue(expected.startswith(reply.body))
