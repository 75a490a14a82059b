"""Streams under failure are complete without repeats, or end with an error event."""

import asyncio
import unittest

import msgspec

from camphorgate_standins.tokens import completion_text
from camphorgated.ext.gateway.errors import UpstreamFault
from camphorgated.ext.gateway.token_stream import MAX_BUFFERED_BYTES, TokenStream
from tests.test_gateway.harness import (
    BEARER,
    Caller,
    GatewayTestCase,
    completion,
    stream_text,
)


class BrokenStreamTests(GatewayTestCase):
    LIMITS = {"silence_seconds": 0.25, "queue_seconds": 1.0}

    FAULTS = [
        ("die_after", {"value": 5, "count": 1}),
        ("die_after", {"value": 0, "count": 1}),
        ("silent_after", {"value": 5, "count": 1}),
        ("end_without_done", {"count": 1}),
        ("wrong_request_id", {"count": 1}),
        ("down", {"count": 1}),
    ]

    async def test_a_broken_stream_is_finished_without_gap_or_repeat(self):
        """Guards against tokens that a resumed stream loses or repeats."""
        expected = (completion_text("assistant", "hello", 16), list(range(16)))
        for fault, fields in self.FAULTS:
            with self.subTest(fault=fault, **fields):
                self.arm(self.engines, fault, **fields)
                response = await self.complete(stream=True)
                self.assertEqual(stream_text(response.body), expected)
                self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))
                self.arm(self.engines, "none")
                self.reset_health()

    async def test_a_stream_continues_on_another_engine(self):
        """Guards against streams that end when their first engine fails."""
        self.arm(self.engines, "forget_streams")
        self.arm(self.engines, "die_after", value=5, count=1)
        response = await self.complete(stream=True)
        # The engine that resumes the stream dies at once, the other one after 5 tokens.
        text, event_ids = stream_text(response.body)
        self.assertEqual(text, completion_text("assistant", "hello", 16))
        self.assertEqual(event_ids, list(range(16)))
        self.assertGreaterEqual(self.records[0].resumes, 1)
        resumed = [
            request["headers"]
            for engine in self.engines
            for request in engine.requests
            if "last-event-id" in request["headers"]
        ]
        self.assertTrue(resumed)

    async def test_a_stream_that_cannot_go_on_ends_with_an_error(self):
        """Guards against a cut stream that a caller cannot tell from a complete one."""
        self.arm(self.engines, "die_after", value=5)
        response = await self.complete(stream=True)
        self.assertTrue(response.is_complete)
        self.assertNotIn(b"[DONE]", response.body)
        last = response.body.rstrip().split(b"\n\n")[-1]
        self.assertTrue(last.startswith(b"event: error\ndata: "))
        self.assertIn(b'"code":"stream_broken"', last)
        self.assertEqual(self.records[0].outcome, "stream_broken")

    async def test_a_silent_engine_is_abandoned_in_time(self):
        """Guards against streams that hang on a connection without traffic."""
        self.arm(self.engines, "silent_after", value=3)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await self.complete(stream=True)
        self.assertIn(b"stream_broken", response.body)
        self.assertLess(loop.time() - started_at, 5.0)

    async def test_a_caller_that_disconnects_cancels_its_stream(self):
        """Guards against engines that generate for callers that have disconnected."""
        caller = await Caller.connect(self.address)
        body = completion(stream=True, max_tokens=5000)
        caller.send("POST", "/v1/completions", BEARER, body)
        await caller.reader.readuntil(b"id: 3")
        caller.close()
        await self.wait_until(lambda: sum(e.cancelled for e in self.engines) == 1)
        await self.wait_until(lambda: self.records)
        self.assertEqual(self.records[0].outcome, "caller_left")
        views = self.app.service("upstreams").views("models")
        self.assertEqual([view.own_requests for view in views], [0, 0])


class HandoffTests(GatewayTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        roles = ("prefill", "decode")
        upstreams = tuple(
            msgspec.structs.replace(item, role=role)
            for item, role in zip(
                self.configuration.manifest.pools[0].upstreams, roles, strict=True
            )
        )
        self.configuration.change_pool("models", upstreams=upstreams)

    async def test_a_long_prompt_is_processed_by_a_prefill_engine(self):
        """Guards against long prompts that stall the streams of decode engines."""
        prompt = "x" * 4000
        for stream in (False, True):
            response = await self.complete(prompt, stream=stream)
            expected = completion_text("assistant", prompt, 16)
            text = (
                stream_text(response.body)[0]
                if stream
                else response.json["choices"][0]["text"]
            )
            self.assertEqual(text, expected)
        prefill, decode = self.engines
        handles = [r["headers"].get("x-kv-handle") for r in decode.requests]
        self.assertEqual(len(handles), 2)
        self.assertEqual(set(handles), set(prefill._handles))

    async def test_a_failed_prefill_does_not_fail_the_request(self):
        """Guards against requests that fail because the prefill engine fails."""
        self.arm(self.engines[:1], "down")
        prompt = "x" * 4000
        response = await self.complete(prompt, stream=True)
        expected = completion_text("assistant", prompt, 16)
        self.assertEqual(stream_text(response.body)[0], expected)

    async def test_an_observed_role_is_kept_by_a_manifest_change(self):
        """Guards against a manifest change that reverts a role change."""
        entry = self.app.service("upstreams").entries_by_id["engine-1"]
        self.assertEqual((entry.kind, entry.view.role), ("engines", "prefill"))
        entry.view.role = "decode"
        self.configuration.change()
        self.assertEqual(entry.view.role, "decode")


class TokenStreamTests(unittest.TestCase):
    def test_events_are_forwarded_whole(self):
        """Guards against part of an event being sent before another engine resumes."""
        stream = TokenStream()
        whole = b'id: 0\ndata: {"choices":[{"text":"a"}]}\n\n'
        second = b'id: 1\ndata: {"choices":[{"text":"id: 7"}]}\n\n'
        forwarded = b""
        data = whole + second + b"data: [DONE]\n\n"
        for position in range(0, len(data), 7):
            forwarded += stream.feed(data[position : position + 7])
        self.assertEqual(forwarded, whole + second)
        self.assertTrue(stream.done)
        self.assertEqual((stream.tokens, stream.text()), (2, "aid: 7"))

    def test_events_that_are_not_returned_do_not_count(self):
        """Guards against a resumption that skips events which were never forwarded."""
        stream = TokenStream()
        text = b"x" * MAX_BUFFERED_BYTES
        returned = 0
        with self.assertRaises(UpstreamFault):
            for number in range(3):
                event = b"id: %d\ndata: no JSON %b\n\n" % (number, text)
                returned += stream.feed(event).count(b"\n\n")
        self.assertEqual(stream.last_id, returned - 1)

    def test_a_fault_in_the_last_read_does_not_end_the_stream(self):
        """Guards against a stream without its end that is not resumed."""
        stream = TokenStream()
        with self.assertRaises(UpstreamFault):
            stream.feed(b"id: 0\ndata: {}\n\nid: 5\ndata: {}\n\ndata: [DONE]\n\n")
        self.assertFalse(stream.done)

    def test_a_gap_or_repeat_is_refused(self):
        """Guards against late events of another run within a stream."""
        for event_ids in ((0, 0), (0, 2), (1,), (0, 1, 1)):
            with self.subTest(event_ids=event_ids), self.assertRaises(UpstreamFault):
                stream = TokenStream()
                stream.feed(b"".join(b"id: %d\ndata: {}\n\n" % n for n in event_ids))
