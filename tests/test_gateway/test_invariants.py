"""Invariants that must hold for each of many requests under changing faults."""

import asyncio
import random

from camphorgate_standins.tokens import completion_text
from tests.test_gateway.harness import BEARER, Caller, GatewayTestCase, stream_text

MIN_RUN_SECONDS = 2.0
# A busy machine continues until enough requests have finished, at most this long.
MAX_RUN_SECONDS = 30.0
MIN_REQUESTS = 20
CALLER_COUNT = 12
ENGINE_FAULTS = [
    ("die_after", {"value": 3, "count": 2}),
    ("silent_after", {"value": 5, "count": 1}),
    ("end_without_done", {"count": 2}),
    ("wrong_request_id", {"count": 2}),
    ("overload", {"count": 3}),
    ("down", {"count": 2}),
    ("forget_streams", {"seconds": 0.3}),
    ("none", {}),
]
WORKER_FAULTS = [
    ("short_answer", {"count": 2}),
    ("lose_answers", {"count": 2}),
    ("wrong_request_id", {"count": 2}),
    ("accept_and_hang", {"count": 1}),
    ("down", {"count": 2}),
    ("none", {}),
]


class InvariantTests(GatewayTestCase):
    LIMITS = {"silence_seconds": 0.2, "queue_seconds": 1.0}

    async def test_requests_under_changing_faults(self):
        """Guards against cut or swapped responses, double runs and false "not_run"."""
        self.generator = random.Random(7)
        self.started_at = asyncio.get_running_loop().time()
        self.outcomes_by_booking = {}
        self.streams = 0
        async with asyncio.TaskGroup() as group:
            group.create_task(self._arm_faults())
            for number in range(CALLER_COUNT):
                group.create_task(self._stream(number))
                group.create_task(self._book(number))
        self.assertGreater(self.streams, MIN_REQUESTS)
        self.assertGreater(len(self.outcomes_by_booking), MIN_REQUESTS)
        runs_by_booking = {}
        for booking in self.bookings():
            count = runs_by_booking.get(booking["body"], 0)
            runs_by_booking[booking["body"]] = count + 1
        for body, outcome in self.outcomes_by_booking.items():
            runs = runs_by_booking.get(body, 0)
            allowed = {"run": (1,), "not_run": (0,), "unknown": (0, 1)}[outcome]
            self.assertIn(runs, allowed, (body, outcome))
        for entry in self.app.service("upstreams").entries_by_id.values():
            self.assertEqual(entry.view.own_requests, 0)

    def _should_continue(self):
        elapsed = asyncio.get_running_loop().time() - self.started_at
        finished = min(self.streams, len(self.outcomes_by_booking))
        return elapsed < MIN_RUN_SECONDS or (
            finished <= MIN_REQUESTS and elapsed < MAX_RUN_SECONDS
        )

    async def _arm_faults(self):
        while self._should_continue():
            faults = ENGINE_FAULTS if self.generator.random() < 0.5 else WORKER_FAULTS
            standins = self.engines if faults is ENGINE_FAULTS else self.workers
            name, fields = self.generator.choice(faults)
            self.arm([self.generator.choice(standins)], name, **fields)
            await asyncio.sleep(0.05)

    async def _stream(self, number):
        turn = 0
        while self._should_continue():
            turn += 1
            prompt = f"caller {number} turn {turn}"
            response = await self.complete(prompt, stream=True)
            if response.status != 200:
                self.assertIn(response.error[1], ("not_run", "unknown"))
                continue
            self.streams += 1
            text, event_ids = stream_text(response.body)
            expected = completion_text("assistant", prompt, 16)
            self.assertTrue(response.is_complete)
            self.assertEqual(event_ids, list(range(len(event_ids))))
            if response.body.endswith(b"data: [DONE]\n\n"):
                self.assertEqual(text, expected)
            else:
                self.assertTrue(expected.startswith(text))
                self.assertIn(b"event: error\n", response.body)

    async def _book(self, number):
        caller = await Caller.connect(self.address)
        turn = 0
        while self._should_continue():
            turn += 1
            body = f"booking {number} turn {turn}"
            caller.send("POST", "/booking/bookings", BEARER, body.encode())
            response = await caller.read()
            self.assertTrue(response.is_complete)
            outcome = "run" if response.status == 200 else response.error[1]
            self.outcomes_by_booking[body] = outcome
        caller.close()
