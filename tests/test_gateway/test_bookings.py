"""Calls with an Idempotency-Key, with a fake claims service."""

import asyncio

import msgspec

from camphorgate.errors import CamphorgateError
from tests.test_gateway.harness import BEARER, Caller, GatewayTestCase

IDEMPOTENT = {**BEARER, "idempotency-key": "k-1"}


class Claim(msgspec.Struct):
    """A claim as the claims service returns it."""

    key: tuple
    digest: str
    answer: bytes | None = None


class FakeClaims:
    """Claims in memory instead of the key-value service."""

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
        """Store the response of the first run."""
        await asyncio.sleep(self.finish_seconds)
        self.claims_by_key[claim.key].answer = answer

    async def release(self, claim):
        """Delete the claim of a call that did not run."""
        del self.claims_by_key[claim.key]


class ClaimTests(GatewayTestCase):
    def provide(self, app):
        self.claims = FakeClaims()
        app.provide("claims", self.claims)

    async def _book(self, body=b"one sack", headers=None):
        return await self.call(
            "POST", "/booking/bookings", headers or IDEMPOTENT, body=body
        )

    async def test_a_retry_gets_the_first_response(self):
        """Guards against a booking that runs twice when its caller retries."""
        first, second = await self._book(), await self._book()
        self.assertEqual((first.status, first.body), (second.status, second.body))
        self.assertEqual(len(self.bookings()), 1)
        other = await self._book(b"two sacks")
        self.assertEqual((other.status, other.error[0]), (422, "bad_request"))

    async def test_an_unknown_outcome_stays_unknown(self):
        """Guards against a second run after a first run without a response."""
        self.arm(self.workers, "lose_answers", count=1)
        self.assertEqual((await self._book()).status, 502)
        repeat = await self._book()
        self.assertEqual(repeat.status, 409)
        self.assertEqual(repeat.error, ("outcome_unknown", "unknown"))
        self.assertEqual(len(self.bookings()), 1)

    async def test_a_refused_call_releases_its_key(self):
        """Guards against a key that stays claimed by a call that never ran."""
        for view in self.app.service("upstreams").views("desk"):
            view.leaving = True
        refused = await self._book()
        self.assertEqual(refused.error[1], "not_run")
        for view in self.app.service("upstreams").views("desk"):
            view.leaving = False
        self.assertEqual((await self._book()).status, 200)

    async def test_a_claimed_call_continues_after_its_caller_disconnects(self):
        """Guards against a retry without a result because its caller disconnected."""
        self.arm(self.workers, "work_seconds", value=0.2)
        caller = await Caller.connect(self.address)
        caller.send("POST", "/booking/bookings", IDEMPOTENT, b"one sack")
        await self.wait_until(lambda: any(worker.running for worker in self.workers))
        caller.close()
        await self.wait_until(lambda: self.records)
        self.assertEqual((await self._book()).json["booked"], 1)
        self.assertEqual(len(self.bookings()), 1)

    async def test_a_slow_kv_does_not_delay_a_response(self):
        """Guards against responses after the deadline of a service while KV is slow."""
        self.claims.finish_seconds = 1.5
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.assertEqual((await self._book()).status, 200)
        self.assertLess(loop.time() - started_at, 1.0)
        self.assertEqual((await self._book()).status, 409)
        self.assertEqual(len(self.bookings()), 1)

    async def test_no_claim_without_kv(self):
        """Guards against a call whose claim is not stored in KV."""
        self.claims.is_down = True
        refused = await self._book()
        self.assertEqual(refused.error, ("claims_unavailable", "not_run"))
        self.assertEqual((await self._book(headers=BEARER)).status, 200)
        self.assertEqual(len(self.bookings()), 1)


class NoClaimsTests(GatewayTestCase):
    async def test_a_key_is_refused_without_a_claims_service(self):
        """Guards against a key that is accepted but has no effect."""
        responses = await asyncio.gather(
            self.call("POST", "/booking/bookings", IDEMPOTENT),
            self.call("GET", "/booking/stock", IDEMPOTENT),
        )
        self.assertEqual([r.status for r in responses], [503, 200])
        self.assertEqual(responses[0].error, ("claims_unavailable", "not_run"))
        self.assertEqual(self.bookings(), [])
