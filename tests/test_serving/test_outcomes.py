"""Property tests of the outcome of a request, from caller to worker and back.

Workers respond by a generated script, down to the bytes sent; the daemon is real.
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
# A response may arrive this much after its deadline (requirement of the users).
DEADLINE_MARGIN_SECONDS = 0.5
# Statuses that guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
ATTEMPTS_BY_PATH = {"/read/": 2, "/book/": 1, "/chat/": 2, "/draft/": 1}
MAX_EXAMPLES = 40


class Scenario:
    """One generated example: a daemon, two scripted workers, and callers."""

    def __init__(self, script, engine):
        """Create the workers, which share one script."""
        script = list(script)
        self.case = HostedCase("asyncSetUp")
        self.workers = [ScriptedWorker(f"w{n}", script, engine) for n in (1, 2)]
        self.changes = {"service": "models", "phase": "decode"} if engine else {}
        self.connections = {}

    async def run(self, groups):
        """Send groups of concurrent requests on persistent connections."""
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
            pending = []
            for caller, path in enumerate(group):
                number += 1
                pending.append(self.request(caller, path, f"attempt-{number}"))
            for attempt, path, response, seconds in await asyncio.gather(*pending):
                outcomes[attempt] = (path, response, seconds)
        # Executions that outlast their response are recorded by then.
        await asyncio.sleep(0.05)
        return outcomes, [run for worker in self.workers for run in worker.runs]

    async def request(self, caller, path, attempt):
        """Send a request on the persistent connection of a caller."""
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
        started_at = asyncio.get_running_loop().time()
        try:
            response = await self.case.request_on(
                connection, f"{path}a", method="POST", body=b"hi", headers=headers
            )
        except ExchangeError:
            response = None
        return attempt, path, response, asyncio.get_running_loop().time() - started_at


def run_scenario(script, groups, engine):
    """Run an example in its own event loop."""

    async def run():
        scenario = Scenario(script, engine)
        await scenario.case.asyncSetUp()
        try:
            return await scenario.run(groups)
        finally:
            await scenario.case.stack.aclose()

    return asyncio.run(run())


def request_groups(*paths):
    """Return a strategy for groups of requests."""
    group = st.lists(st.sampled_from(paths), min_size=1, max_size=3)
    return st.lists(group, min_size=1, max_size=3)


SCRIPTS = st.lists(st.sampled_from(BEHAVIOURS), max_size=8)
PROPERTY_SETTINGS = settings(
    derandomize=True,
    max_examples=MAX_EXAMPLES,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)


class OutcomeTests(unittest.TestCase):
    """Outcomes that callers receive agree with what the workers executed."""

    def setUp(self):
        """Keep the log of the examples out of the output."""
        logger.disable("camphorgate")
        self.addCleanup(logger.enable, "camphorgate")

    def check(self, outcomes, runs):
        """Check the guarantees that hold for every kind of request."""
        for attempt, (path, response, seconds) in outcomes.items():
            executions = [worker for worker, name, _ in runs if name == attempt]
            self.assertLessEqual(len(executions), ATTEMPTS_BY_PATH[path])
            self.assertLess(seconds, DEADLINE_SECONDS + DEADLINE_MARGIN_SECONDS)
            if response is None:
                continue
            if response.status in NOT_EXECUTED_STATUSES:
                self.assertEqual(executions, [])
                self.assertIn(b"retry-after", response.headers)
            if response.status == 200:
                self.assertNotEqual(executions, [])
                self.assertEqual(response.headers[b"x-attempt-id"], attempt.encode())
                self.assertEqual(response.headers[b"x-server-stamp"], b"1.2.3")
        for _, _, headers in runs:
            self.assertEqual(headers["x-tenant"], "north")
            self.assertNotIn(KEY, str(headers))
            self.assertLessEqual(int(headers["x-deadline"]), DEADLINE_SECONDS * 1000)

    @PROPERTY_SETTINGS
    @given(SCRIPTS, request_groups("/read/", "/book/"))
    def test_complete_responses_match_their_requests(self, script, groups):
        """Guards against double execution, false refusals and swapped responses."""
        outcomes, runs = run_scenario(script, groups, engine=False)
        self.check(outcomes, runs)
        for attempt, (_, response, _) in outcomes.items():
            if response is not None and response.status == 200 and response.complete:
                worker = next(
                    worker
                    for worker, name, _ in runs
                    if name == attempt and f" {worker}" in response.body.decode()
                )
                body = f"ran {attempt} at {worker}".encode()
                self.assertEqual(response.body, body)

    @PROPERTY_SETTINGS
    @given(SCRIPTS, request_groups("/chat/", "/draft/"))
    def test_streams_contain_each_event_once(self, script, groups):
        """Guards against gaps, duplicates and mixed executions in a stream."""
        outcomes, runs = run_scenario(script, groups, engine=True)
        self.check(outcomes, runs)
        for attempt, (_, response, _) in outcomes.items():
            if response is None or response.status != 200:
                continue
            events = [build_event(attempt, n) for n in range(1, EVENTS + 1)]
            expected = b"".join(events)
            if response.complete:
                self.assertEqual(response.body, expected)
            else:
                self.assertTrue(expected.startswith(response.body))
