"""Requests without faults: every route, key checks and error codes."""

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
        """Guards against responses that lose, repeat or reorder tokens."""
        expected = completion_text("assistant", "hello", 16)
        plain = await self.complete()
        self.assertEqual(plain.json["choices"][0]["text"], expected)
        streamed = await self.complete(stream=True)
        self.assertEqual(stream_text(streamed.body), (expected, list(range(16))))
        self.assertTrue(streamed.body.endswith(b"data: [DONE]\n\n"))
        self.assertTrue(streamed.is_complete)
        body = completion("", messages=[{"content": "hello"}], stream=True)
        chat = await self.call("POST", "/v1/chat/completions", body=body)
        self.assertEqual(stream_text(chat.body)[0], expected)

    async def test_engines_receive_the_priority_from_fairness(self):
        """Guards against priority for a flooding workspace, or set by callers."""
        fair = self.app.service("fairness").by_kind["engines"]
        # A workspace that has never been served starts without credit.
        for workspace, service in (("north", 1), ("south", 6000), ("south", 6000)):
            fair.enter(workspace)
            fair.start(workspace, service, self.app.clock.monotonic())
        cases = (("north", "0", "4"), ("south", "9", "0"))
        for stream in (False, True):
            for workspace, requested_priority, expected in cases:
                headers = {
                    "authorization": f"Bearer {KEYS_BY_WORKSPACE[workspace]}",
                    "x-priority": requested_priority,
                }
                body = completion(stream=stream)
                await self.call("POST", "/v1/completions", headers, body)
                with self.subTest(workspace=workspace, stream=stream):
                    sent = [e.requests.pop() for e in self.engines if e.requests]
                    found = [request["headers"]["x-priority"] for request in sent]
                    self.assertEqual(found, [expected])

    async def test_cache_events_name_prefixes_as_routing_does(self):
        """Guards against events whose digests match none that routing uses."""
        await self.complete()
        views = self.app.service("upstreams").views("models")
        routing_digests = {d for view in views for d in view.prefix_seen_at_by_digest}
        responses = [
            await engine.cache_events(Request({"type": "http", "query_string": b""}))
            for engine in self.engines
        ]
        events = [e for a in responses for e in json.loads(a.body)["events"]]
        self.assertEqual({event["prefix"] for event in events}, routing_digests)
        self.assertEqual(len(routing_digests), 1)

    async def test_errors_carry_their_codes(self):
        """Guards against errors that do not say whether the request ran."""
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
                response = await self.call(method, path, headers, content)
                expected = (code or "model_unknown", "not_run")
                self.assertEqual((response.status, response.error), (status, expected))
                self.assertIn("x-request-id", response.headers)

    async def test_service_routes_and_health(self):
        """Guards against routes of the manifest that callers cannot reach."""
        booked = await self.call("POST", "/booking/bookings", body=b"one sack")
        self.assertEqual((booked.status, booked.json["booked"]), (200, 1))
        self.assertEqual(self.bookings()[0]["body"], "one sack")
        self.assertEqual((await self.call("GET", "/info/hours", {})).status, 200)
        for path in ("/healthz", "/readyz"):
            self.assertEqual((await self.call("GET", path, {})).status, 200)
        models = (await self.call("GET", "/v1/models")).json["data"]
        self.assertEqual([model["id"] for model in models], ["assistant"])
