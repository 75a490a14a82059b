"""Tests of the explanation of routing: true, complete, and without any effect."""

import asyncio
import contextlib
import io
import json

from camphorgate_cli.main import Commands
from camphorgated.serving.route_explanation import RouteExplainer
from tests.hosted import free_address
from tests.hosting_builders import HOST, KEY, WORKSPACE, build_platform_entry
from tests.scripted_worker import ScriptedWorker
from tests.test_serving.test_faulty_upstreams import ScriptedWorkerCase

PLAIN = [(b"host", HOST.encode()), (b"x-deadline", b"3000")]
PROMPT = [
    *PLAIN,
    (b"x-model", b"m"),
    (b"x-token-count", b"14600,88"),
    (b"x-prompt-prefix", b"a:14600"),
]


class RouteExplanationTests(ScriptedWorkerCase):
    """The explanation agrees with the decision, and causes nothing."""

    async def test_calls_go_where_the_explanation_says(self):
        """Guards against an explanation that decides by rules of its own."""
        app, workers = await self.start_scripted([], engine=False)
        # Choices among about equal upstreams are random: both draw the same numbers.
        draws = app.service("upstreams").placement.random_source
        for number in range(8):
            draws.seed(number)
            answer = RouteExplainer(app).explain("/read/a", PLAIN, WORKSPACE)
            (backend,) = answer["backends"]
            for item in backend["candidates"]:
                terms = {**item["wait_terms_ms"], **item["other_terms_ms"]}
                self.assertAlmostEqual(sum(terms.values()), item["cost_ms"])
            workers[0].script[:] = ["fail"] if number % 3 == 2 else []
            before = [len(worker.arrivals) for worker in workers]
            draws.seed(number)
            await self.request(app, "/read/a")
            reached = [
                worker.id
                for worker, count in zip(workers, before, strict=True)
                if len(worker.arrivals) > count
            ]
            self.assertIn(backend["decision"]["upstream"], reached)
            if number % 3 != 2:
                self.assertEqual(len(reached), 1)

    async def test_long_prompt_is_explained_without_any_effect(self):
        """Guards against an explanation that sends, reserves or ignores phases."""
        app, workers = await self.start_scripted([], engine=True)
        prefill = ScriptedWorker("p1", ["refuse"], engine=True)
        await prefill.start()
        self.stack.push_async_callback(prefill.stop)
        entry = build_platform_entry(prefill.address, service="models", phase="prefill")
        self.store.put("servers/p1", entry)
        await self.eventually(lambda: len(app.service("directory").table.by_id) == 3)
        for _ in range(3):
            answer = RouteExplainer(app).explain("/chat/a", PROMPT, WORKSPACE)
        (backend,) = answer["backends"]
        decision = backend["decision"]
        self.assertEqual((decision["action"], decision["upstream"]), ("prefill", "p1"))
        self.assertEqual(len(backend["candidates"]), 3)
        dump = app.service("upstreams").dump()
        self.assertEqual((dump["connections_opened"], dump["own_loads"]), (0, {}))
        (budget,) = dump["retry_budget"].values()
        self.assertEqual((budget["requests"], budget["retries"]), (0, 0))
        await self.request(app, "/chat/a", method="POST", headers=dict(PROMPT))
        self.assertEqual(len(prefill.arrivals), 1)

    async def test_refusals_are_those_of_requests(self):
        """Guards against a refusal that differs from that of the request itself."""
        app, _ = await self.start_scripted([], engine=False)
        explain = RouteExplainer(app).explain
        self.assertEqual(explain("/none", PLAIN, WORKSPACE)["status"], 404)
        self.assertEqual(explain("/read/a", PLAIN)["status"], 401)
        answer = explain("/read/a", [*PLAIN, (b"authorization", b"Bearer key-north")])
        self.assertEqual(answer["workspace"], WORKSPACE)
        self.assertNotIn(KEY, json.dumps(answer))
        upstreams, now = app.service("upstreams"), app.clock.monotonic()
        for item in app.service("directory").table.by_id.values():
            upstreams.pauses.pause(item.incarnation, 5.0, now)
        (backend,) = explain("/read/a", PLAIN, WORKSPACE)["backends"]
        self.assertEqual({item["reason"] for item in backend["excluded"]}, {"paused"})
        response = await self.request(app, "/read/a")
        self.assertEqual(response.status, backend["decision"]["status"])
        self.assertIn(backend["decision"]["reason"].encode(), response.body)
        self.assertGreater(backend["decision"]["retry_after_seconds"], 4.0)

    async def test_command_shows_the_explanation(self):
        """Guards against an operator address that does not explain routes."""
        address = free_address()
        app, _ = await self.start_scripted([], engine=False, operator_address=address)
        await app.load_extension("camphorgated.serving.operator")
        commands = Commands(address=address, json=True)
        with contextlib.redirect_stdout(io.StringIO()) as output:
            await asyncio.to_thread(
                commands.explain_route,
                "/read/a?b=c",
                f"host: {HOST}",
                workspace="north",
            )
        answer = json.loads(output.getvalue())
        self.assertEqual(answer["route"], "read")
        self.assertEqual(len(answer["backends"][0]["candidates"]), 2)
