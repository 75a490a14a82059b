"""Calls with an Idempotency-Key, over a claims service that a test controls."""

import asyncio

import msgspec

from camphorgate.errors import CamphorgateError
from tests.test_gateway.harness import BEARER, Caller, GatewayTestCase

KEYED = {**BEARER, "idempotency-key": "k-1"}


class Claim(msgspec.Struct):
    """A claim as the claims service returns it."""

    key: tuple
    digest: str
    answer: bytes | None = None


class FakeClaims:
    """Claims in memory, as one KV would hold them."""

    def __init__(self):
        self.claims_by_key = {}
        self.is_down = False
        self.finish_seconds = 0.0

    async def claim(self, workspace, key, digest):
        """Claim a key, or return the finished claim of its first run."""
        if self.is_down:
            raise CamphorgateError("KV is down", "claims_unavailable")
        known = self.claims_by_key.get((workspace, key))
        if known is None:
            self.claims_by_key[workspace, key] = Claim((workspace, key), digest)
            return msgspec.structs.replace(self.claims_by_key[workspace, key])
        if known.digest != digest:
            raise CamphorgateError("the key stands for another request", "bad_request")
        if known.answer is None:
            raise CamphorgateError("the first run has no answer", "outcome_unknown")
        return known

    async def finish(self, claim, answer):
        """Store the answer of the first run."""
        await asyncio.sleep(self.finish_seconds)
        self.claims_by_key[claim.key].answer = answer

    async def release(self, claim):
        """Forget a claim whose call did not run."""
        del self.claims_by_key[claim.key]


class ClaimTests(GatewayTestCase):
    def provide(self, app):
        self.claims = FakeClaims()
        app.provide("claims", self.claims)

    async def _book(self, body=b"one sack", headers=None):
        return await self.call("POST", "/booking/bookings", headers or KEYED, body=body)

    async def test_a_repeat_gets_the_first_answer(self):
        """Guards against a booking that a retry of its caller doubles."""
        first, second = await self._book(), await self._book()
        self.assertEqual((first.status, first.body), (second.status, second.body))
        self.assertEqual(len(self.bookings()), 1)
        other = await self._book(b"two sacks")
        self.assertEqual((other.status, other.code[0]), (422, "bad_request"))

    async def test_an_unknown_outcome_stays_unknown(self):
        """Guards against a second run after a first one without an answer."""
        self.arm(self.desks, "lose_answers", count=1)
        self.assertEqual((await self._book()).status, 502)
        repeat = await self._book()
        self.assertEqual(repeat.status, 409)
        self.assertEqual(repeat.code, ("outcome_unknown", "unknown"))
        self.assertEqual(len(self.bookings()), 1)

    async def test_a_refused_call_frees_its_key(self):
        """Guards against a key that is used up by a call that never ran."""
        for view in self.app.service("upstreams").views("desk"):
            view.leaving = True
        refused = await self._book()
        self.assertEqual(refused.code[1], "not_run")
        for view in self.app.service("upstreams").views("desk"):
            view.leaving = False
        self.assertEqual((await self._book()).status, 200)

    async def test_a_claimed_call_outlives_its_caller(self):
        """Guards against a repeat that finds no answer since its caller had left."""
        self.arm(self.desks, "work_seconds", value=0.2)
        caller = await Caller.connect(self.address)
        caller.send("POST", "/booking/bookings", KEYED, b"one sack")
        await self.until(lambda: any(desk.running for desk in self.desks))
        caller.close()
        await self.until(lambda: self.records)
        self.assertEqual((await self._book()).json["booked"], 1)
        self.assertEqual(len(self.bookings()), 1)

    async def test_a_slow_kv_does_not_hold_an_answer_back(self):
        """Guards against answers later than a service's deadline while KV is slow."""
        self.claims.finish_seconds = 1.5
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self.assertEqual((await self._book()).status, 200)
        self.assertLess(loop.time() - begun, 1.0)
        self.assertEqual((await self._book()).status, 409)
        self.assertEqual(len(self.bookings()), 1)

    async def test_no_claim_without_kv(self):
        """Guards against a claim that is not durable."""
        self.claims.is_down = True
        refused = await self._book()
        self.assertEqual(refused.code, ("claims_unavailable", "not_run"))
        self.assertEqual((await self._book(headers=BEARER)).status, 200)
        self.assertEqual(len(self.bookings()), 1)


class NoClaimsTests(GatewayTestCase):
    async def test_a_key_is_refused_without_a_claims_service(self):
        """Guards against a key that is accepted and has no effect."""
        answers = await asyncio.gather(
            self.call("POST", "/booking/bookings", KEYED),
            self.call("GET", "/booking/stock", KEYED),
        )
        self.assertEqual([a.status for a in answers], [503, 200])
        self.assertEqual(answers[0].code, ("claims_unavailable", "not_run"))
        self.assertEqual(self.bookings(), [])
