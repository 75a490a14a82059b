"""Many requests while faults come and go: what must hold for each of them."""

import asyncio
import random

from camphorgate_standins.tokens import completion_text
from tests.test_gateway.harness import BEARER, Caller, GatewayTestCase, stream_text

SECONDS = 2.0
# A busy machine plays on until there were enough requests to judge, at most this long.
LONGEST_SECONDS = 30.0
ENOUGH = 20
CALLERS = 12
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
DESK_FAULTS = [
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
        """Guards against cut or foreign answers, double runs and a false "not run"."""
        self.source = random.Random(7)
        self.began_at = asyncio.get_running_loop().time()
        self.outcomes_by_booking = {}
        self.streams = 0
        async with asyncio.TaskGroup() as group:
            group.create_task(self._arm_faults())
            for number in range(CALLERS):
                group.create_task(self._stream(number))
                group.create_task(self._book(number))
        self.assertGreater(self.streams, ENOUGH)
        self.assertGreater(len(self.outcomes_by_booking), ENOUGH)
        runs_by_booking = {}
        for booking in self.bookings():
            count = runs_by_booking.get(booking["body"], 0)
            runs_by_booking[booking["body"]] = count + 1
        for body, outcome in self.outcomes_by_booking.items():
            runs = runs_by_booking.get(body, 0)
            allowed = {"run": (1,), "not_run": (0,), "unknown": (0, 1)}[outcome]
            self.assertIn(runs, allowed, (body, outcome))
        for view in self.app.service("upstreams").entries_by_id.values():
            self.assertEqual(view.view.own_requests, 0)

    def _running(self):
        passed = asyncio.get_running_loop().time() - self.began_at
        fewest = min(self.streams, len(self.outcomes_by_booking))
        return passed < SECONDS or (fewest <= ENOUGH and passed < LONGEST_SECONDS)

    async def _arm_faults(self):
        while self._running():
            faults = ENGINE_FAULTS if self.source.random() < 0.5 else DESK_FAULTS
            standins = self.engines if faults is ENGINE_FAULTS else self.desks
            name, fields = self.source.choice(faults)
            self.arm([self.source.choice(standins)], name, **fields)
            await asyncio.sleep(0.05)

    async def _stream(self, number):
        turn = 0
        while self._running():
            turn += 1
            prompt = f"caller {number} turn {turn}"
            answer = await self.complete(prompt, stream=True)
            if answer.status != 200:
                self.assertIn(answer.code[1], ("not_run", "unknown"))
                continue
            self.streams += 1
            text, numbers = stream_text(answer.body)
            expected = completion_text("assistant", prompt, 16)
            self.assertTrue(answer.whole)
            self.assertEqual(numbers, list(range(len(numbers))))
            if answer.body.endswith(b"data: [DONE]\n\n"):
                self.assertEqual(text, expected)
            else:
                self.assertTrue(expected.startswith(text))
                self.assertIn(b"event: error\n", answer.body)

    async def _book(self, number):
        caller = await Caller.connect(self.address)
        turn = 0
        while self._running():
            turn += 1
            body = f"booking {number} turn {turn}"
            caller.send("POST", "/booking/bookings", BEARER, body.encode())
            answer = await caller.read()
            self.assertTrue(answer.whole)
            outcome = "run" if answer.status == 200 else answer.code[1]
            self.outcomes_by_booking[body] = outcome
        caller.close()
