"""The plain path: every route, the key check, and errors with codes."""

import json

from starlette.requests import Request

from camphorgate_standins.tokens import completion_text
from tests.builders import KEYS_BY_WORKSPACE
from tests.test_gateway.harness import (
    BEARER,
    GatewayTestCase,
    completion,
    stream_text,
)


class RouteTests(GatewayTestCase):
    async def test_completions_plain_and_streamed(self):
        """Guards against answers that lose, repeat or reorder tokens."""
        expected = completion_text("assistant", "hello", 16)
        plain = await self.complete()
        self.assertEqual(plain.json["choices"][0]["text"], expected)
        streamed = await self.complete(stream=True)
        self.assertEqual(stream_text(streamed.body), (expected, list(range(16))))
        self.assertTrue(streamed.body.endswith(b"data: [DONE]\n\n"))
        self.assertTrue(streamed.whole)
        body = completion("", messages=[{"content": "hello"}], stream=True)
        chat = await self.call("POST", "/v1/chat/completions", body=body)
        self.assertEqual(stream_text(chat.body)[0], expected)

    async def test_engines_learn_the_priority_that_the_service_gives(self):
        """Guards against a flood that goes first in engines, or callers that choose."""
        fair = self.app.service("fairness").by_kind["engines"]
        # A workspace that has never been served starts without a credit.
        for workspace, service in (("north", 1), ("south", 6000), ("south", 6000)):
            fair.enter(workspace)
            fair.start(workspace, service, self.app.clock.monotonic())
        cases = (("north", "0", "4"), ("south", "9", "0"))
        for stream in (False, True):
            for workspace, chosen, expected in cases:
                headers = {
                    "authorization": f"Bearer {KEYS_BY_WORKSPACE[workspace]}",
                    "x-priority": chosen,
                }
                body = completion(stream=stream)
                await self.call("POST", "/v1/completions", headers, body)
                with self.subTest(workspace=workspace, stream=stream):
                    sent = [e.requests.pop() for e in self.engines if e.requests]
                    found = [request["headers"]["x-priority"] for request in sent]
                    self.assertEqual(found, [expected])

    async def test_cache_events_name_prefixes_as_routing_does(self):
        """Guards against events whose digests match nothing that routing knows."""
        await self.complete()
        views = self.app.service("upstreams").views("models")
        noted = {d for view in views for d in view.prefix_seen_at_by_digest}
        answers = [
            await engine.cache_events(Request({"type": "http", "query_string": b""}))
            for engine in self.engines
        ]
        events = [e for a in answers for e in json.loads(a.body)["events"]]
        self.assertEqual({event["prefix"] for event in events}, noted)
        self.assertEqual(len(noted), 1)

    async def test_errors_carry_their_codes(self):
        """Guards against callers that cannot tell whether a request ran."""
        key, body = BEARER, completion()
        wrong = {"authorization": "Bearer nobody"}
        cases = [
            ("POST", "/v1/completions", {}, body, 401, "key_missing"),
            ("POST", "/v1/completions", wrong, body, 401, "key_unknown"),
            ("POST", "/v1/completions", key, b"{", 400, "bad_request"),
            ("GET", "/v1/completions", key, b"", 405, "bad_request"),
            ("POST", "/v1/completions", key, completion(model="x"), 404, None),
            ("GET", "/nowhere", key, b"", 404, "route_unknown"),
            ("GET", "/booking/../info", key, b"", 400, "bad_request"),
            ("GET", "/booking", {**key, "x-api-key": "b"}, b"", 400, "bad_request"),
        ]
        for method, path, headers, content, status, code in cases:
            with self.subTest(path=path, code=code):
                answer = await self.call(method, path, headers, content)
                expected = (code or "model_unknown", "not_run")
                self.assertEqual((answer.status, answer.code), (status, expected))
                self.assertIn("x-request-id", answer.headers)

    async def test_service_routes_and_health(self):
        """Guards against routes that the manifest declares but no caller reaches."""
        booked = await self.call("POST", "/booking/bookings", body=b"one sack")
        self.assertEqual((booked.status, booked.json["booked"]), (200, 1))
        self.assertEqual(self.bookings()[0]["body"], "one sack")
        self.assertEqual((await self.call("GET", "/info/hours", {})).status, 200)
        for path in ("/healthz", "/readyz"):
            self.assertEqual((await self.call("GET", path, {})).status, 200)
        models = (await self.call("GET", "/v1/models")).json["data"]
        self.assertEqual([model["id"] for model in models], ["assistant"])
