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

PROMPT = [
    (b"host", HOST.encode()),
    (b"x-model", b"m"),
    (b"x-token-count", b"14600,88"),
    (b"x-prompt-prefix", b"a:14600"),
    (b"x-deadline", b"3000"),
]
PLAIN = [(b"host", HOST.encode()), (b"x-deadline", b"3000")]


class RouteExplanationTests(ScriptedWorkerCase):
    """The explanation agrees with the decision, and causes nothing."""

    async def start_explained(self, engine, **options):
        """Start workers and a daemon; return the explainer too."""
        app, workers = await self.start_scripted([], engine, **options)
        return app, workers, RouteExplainer(app)

    def check_candidates(self, backend):
        """Check that the cheapest candidate of its phase was chosen."""
        by_id = {item["upstream"]: item for item in backend["candidates"]}
        chosen = by_id[backend["decision"]["upstream"]]
        for item in by_id.values():
            terms = {**item["wait_terms_ms"], **item["other_terms_ms"]}
            self.assertAlmostEqual(sum(terms.values()), item["cost_ms"])
            if item["phase"] == chosen["phase"]:
                self.assertLessEqual(chosen["cost_ms"], item["cost_ms"])

    async def test_call_goes_where_the_explanation_says(self):
        """Guards against an explanation that decides by rules of its own."""
        app, workers, explainer = await self.start_explained(engine=False)
        for number in range(8):
            answer = explainer.explain("/read/a", PLAIN, WORKSPACE)
            (backend,) = answer["backends"]
            self.check_candidates(backend)
            headers = {b"x-attempt-id": b"attempt-%d" % number}
            if number % 3 == 2:
                workers[0].script[:] = ["fail"]
            await self.request(app, "/read/a", headers=headers)
            first = next(
                worker.id
                for worker in workers
                if any(name == f"attempt-{number}" for _, name, _ in worker.runs)
            )
            if number % 3 != 2:
                self.assertEqual(first, backend["decision"]["upstream"])

    async def test_long_prompt_is_prefilled_where_the_explanation_says(self):
        """Guards against an explanation that ignores the phases of engines."""
        app, workers, explainer = await self.start_explained(engine=True)
        prefill = ScriptedWorker("p1", ["refuse"], engine=True)
        await prefill.start()
        self.stack.push_async_callback(prefill.stop)
        entry = build_platform_entry(prefill.address, service="models", phase="prefill")
        self.store.put("servers/p1", entry)
        await self.eventually(lambda: len(app.service("directory").table.by_id) == 3)
        (backend,) = explainer.explain("/chat/a", PROMPT, WORKSPACE)["backends"]
        self.check_candidates(backend)
        self.assertEqual(backend["decision"]["action"], "prefill")
        self.assertEqual(backend["decision"]["upstream"], "p1")
        self.assertEqual(len(backend["candidates"]), 3)
        await self.request(app, "/chat/a", method="POST", headers=dict(PROMPT))
        self.assertEqual(len(prefill.arrivals), 1)

    async def test_nothing_is_sent_or_reserved(self):
        """Guards against an explanation that has an effect."""
        app, workers, explainer = await self.start_explained(engine=True)
        before = app.service("upstreams").dump()
        for _ in range(3):
            explainer.explain("/chat/a", PROMPT, WORKSPACE)
        await asyncio.sleep(0.05)
        self.assertEqual([worker.arrivals for worker in workers], [[], []])
        after = app.service("upstreams").dump()
        for name in ("connections_opened", "own_loads", "buffered_bytes"):
            self.assertEqual(after[name], before[name])
        (budget,) = after["retry_budget"].values()
        self.assertEqual((budget["requests"], budget["retries"]), (0, 0))

    async def test_refusals_are_those_of_requests(self):
        """Guards against a refusal that differs from that of the request itself."""
        app, workers, explainer = await self.start_explained(engine=False)
        self.assertEqual(explainer.explain("/none", PLAIN, WORKSPACE)["status"], 404)
        self.assertEqual(explainer.explain("/read/a", PLAIN)["status"], 401)
        key = (b"authorization", b"Bearer " + KEY.encode())
        answer = explainer.explain("/read/a", [*PLAIN, key])
        self.assertEqual(answer["workspace"], WORKSPACE)
        self.assertNotIn(KEY, json.dumps(answer))
        upstreams, now = app.service("upstreams"), app.clock.monotonic()
        for item in app.service("directory").table.by_id.values():
            upstreams.pauses.pause(item.incarnation, 5.0, now)
        (backend,) = explainer.explain("/read/a", PLAIN, WORKSPACE)["backends"]
        reasons = {item["upstream"]: item["reason"] for item in backend["excluded"]}
        self.assertEqual(reasons, {"w1": "paused", "w2": "paused"})
        response = await self.request(app, "/read/a")
        self.assertEqual(response.status, backend["decision"]["status"])
        self.assertIn(backend["decision"]["reason"].encode(), response.body)
        self.assertGreater(backend["decision"]["retry_after_seconds"], 4.0)

    async def test_command_shows_the_explanation(self):
        """Guards against an operator address that does not explain routes."""
        address = free_address()
        app, _, _ = await self.start_explained(engine=False, operator_address=address)
        await app.load_extension("camphorgated.serving.operator")

        def run_command():
            with contextlib.redirect_stdout(io.StringIO()) as output:
                commands = Commands(address=address, json=True)
                commands.explain_route(
                    "/read/a?b=c", f"host: {HOST}", workspace=WORKSPACE
                )
            return json.loads(output.getvalue())

        answer = await asyncio.to_thread(run_command)
        self.assertEqual(answer["route"], "read")
        self.assertEqual(len(answer["backends"][0]["candidates"]), 2)
